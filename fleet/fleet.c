#include "fleet/fleet.h"

#include "kernel/identifier.h"
#include "log/log.h"

#include <string.h>

/*
 * Delay from the store's recovery or restore to the removal of targets whose
 * entries are missing then.  Targets that are up write their entries again
 * within two seconds.
 */
#define REMOVAL_DELAY_US (2 * USEC_PER_SEC)
#define KEY_CONF "fleet/conf"
#define KEY_PREFIX_TARGETS "fleet/target/"

#define KEY_PREFIX_EVACUATIONS "evacuation/"

typedef struct evacuation_t {
	bool removal_pending; /* key deleted around a store outage */
	int64_t removal_revision; /* if removal_pending */
} evacuation_t;

typedef struct known_target_t {
	fleet_target_t target;
	bool removal_pending; /* entry deleted around a store outage */
} known_target_t;

static void post_target(fleet_t *fleet, svc_t to, const fleet_target_t *target,
			bool removed)
{
	msg_t msg = {.kind = MSG_FLEET_TARGET};

	msg.u.fleet_target.target = *target;
	msg.u.fleet_target.gone = removed;
	kernel_post(fleet->kernel, fleet->svc, to, &msg);
}

static void publish_target(fleet_t *fleet, const fleet_target_t *target,
			   bool removed)
{
	for (uint32_t i = 0; i < fleet->subscriber_count; i++)
		post_target(fleet, fleet->subscribers[i], target, removed);
	log_event(LOG_LEVEL_INFO, "fleet", "target",
		  "target=%s service=%s address=%s:%u state=%s "
		  "sequence=%" G_GUINT64_FORMAT,
		  target->id, target->service, target->host, target->port,
		  removed	     ? "gone"
		  : target->draining ? "draining"
				     : "ready",
		  target->sequence);
	metrics_set(fleet->kernel->metrics, GAUGE_TARGETS,
		    g_hash_table_size(fleet->targets));
}

static void post_conf(fleet_t *fleet, svc_t to)
{
	msg_t msg = {.kind = MSG_FLEET_CONF};

	if (fleet->conf == NULL)
		return;
	msg.u.fleet_conf = fleet_conf_ref(fleet->conf);
	kernel_post(fleet->kernel, fleet->svc, to, &msg);
}

static void post_size(fleet_t *fleet, svc_t to)
{
	msg_t msg = {.kind = MSG_FLEET_SIZE};

	msg.u.fleet_size.instances = fleet->instances;
	kernel_post(fleet->kernel, fleet->svc, to, &msg);
}

static void post_evacuation(fleet_t *fleet, svc_t to, const char *zone,
			    bool evacuated)
{
	msg_t msg = {.kind = MSG_FLEET_EVACUATION};

	g_strlcpy(msg.u.fleet_evacuation.zone, zone,
		  sizeof(msg.u.fleet_evacuation.zone));
	msg.u.fleet_evacuation.evacuated = evacuated;
	kernel_post(fleet->kernel, fleet->svc, to, &msg);
}

static void post_behind(fleet_t *fleet, svc_t to)
{
	msg_t msg = {.kind = MSG_FLEET_BEHIND};

	msg.u.fleet_behind.behind = fleet->behind;
	kernel_post(fleet->kernel, fleet->svc, to, &msg);
}

static void set_behind(fleet_t *fleet, bool behind)
{
	fleet->behind = behind;
	for (uint32_t i = 0; i < fleet->subscriber_count; i++)
		post_behind(fleet, fleet->subscribers[i]);
}

static void subscribe(fleet_t *fleet, svc_t subscriber)
{
	GHashTableIter iter;
	gpointer zone, data;

	if (fleet->subscriber_count == FLEET_SUBSCRIBERS_MAX)
		return;
	fleet->subscribers[fleet->subscriber_count++] = subscriber;
	post_conf(fleet, subscriber);
	post_size(fleet, subscriber);
	post_behind(fleet, subscriber);
	g_hash_table_iter_init(&iter, fleet->evacuations);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		post_evacuation(fleet, subscriber, zone, true);
	g_hash_table_iter_init(&iter, fleet->targets);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		post_target(fleet, subscriber,
			    &((known_target_t *)data)->target, false);
}

static bool is_same_document(const fleet_conf_t *a, const fleet_conf_t *b)
{
	return a->document == b->document ||
	       (a->document != NULL && b->document != NULL &&
		g_bytes_equal(a->document, b->document));
}

/*
 * Applies a configuration unless it is older than the one in force.  The
 * operator may write another one with the same version after a restore of the
 * store; the one that is written last is in force.
 */
static void apply_conf(fleet_t *fleet, const record_t *record,
		       const char *source)
{
	fleet_conf_t *conf = record->u.fleet_conf;

	if (record->kind != RECORD_FLEET_CONF)
		return;
	if (fleet->conf != NULL && (conf->version < fleet->conf->version ||
				    (conf->version == fleet->conf->version &&
				     is_same_document(conf, fleet->conf)))) {
		metrics_add(fleet->kernel->metrics, COUNTER_CONF_STALE, 1);
		return;
	}
	fleet_conf_unref(fleet->conf);
	fleet->conf = fleet_conf_ref(conf);
	metrics_add(fleet->kernel->metrics, COUNTER_CONF_CHANGES, 1);
	metrics_set(fleet->kernel->metrics, GAUGE_CONF_REVISION, conf->version);
	metrics_set(fleet->kernel->metrics, GAUGE_CONF_PARTS_UNREADABLE,
		    conf->unreadable);
	log_event(LOG_LEVEL_INFO, "fleet", "configuration",
		  "version=%" G_GINT64_FORMAT " routes=%u accounts=%u "
		  "store_up=%d source=%s unreadable=%u fault=%s",
		  conf->version, conf->routes->len, conf->accounts->len,
		  fleet->store_up, source, conf->unreadable,
		  log_quote(conf->fault.text));
	for (uint32_t i = 0; i < fleet->subscriber_count; i++)
		post_conf(fleet, fleet->subscribers[i]);
}

static void update_target(fleet_t *fleet, const fleet_target_t *target)
{
	known_target_t *known = g_hash_table_lookup(fleet->targets, target->id);
	bool changed =
		known == NULL || !fleet_target_equal(&known->target, target);

	if (known == NULL) {
		known = g_new0(known_target_t, 1);
		g_hash_table_insert(fleet->targets, g_strdup(target->id),
				    known);
	}
	known->target = *target;
	known->removal_pending = false;
	if (changed)
		publish_target(fleet, target, false);
}

static bool is_removal_deferred(const fleet_t *fleet)
{
	return !fleet->store_up ||
	       kernel_now(fleet->kernel) - fleet->store_up_since <
		       REMOVAL_DELAY_US;
}

static void arm_removal_timer(fleet_t *fleet)
{
	int64_t wait = fleet->store_up_since + REMOVAL_DELAY_US -
		       kernel_now(fleet->kernel);

	if (!fleet->store_up || !handle_is_none(fleet->removal_timer))
		return;
	fleet->removal_timer = kernel_timer(fleet->kernel, fleet->svc,
					    MAX(wait, 0), HANDLE_NONE, 0);
}

static void remove_target(fleet_t *fleet, const char *id)
{
	known_target_t *known = g_hash_table_lookup(fleet->targets, id);
	fleet_target_t target;

	if (known == NULL)
		return;
	if (is_removal_deferred(fleet) && !known->target.draining) {
		known->removal_pending = true;
		arm_removal_timer(fleet);
		return;
	}
	target = known->target;
	g_hash_table_remove(fleet->targets, id);
	publish_target(fleet, &target, true);
}

static uint32_t count_targets(const fleet_t *fleet, const char *zone)
{
	GHashTableIter iter;
	gpointer data;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->targets);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		count += strcmp(((known_target_t *)data)->target.zone, zone) ==
			 0;
	return count;
}

/* A zone without targets may be misspelt, which the number of them shows. */
static void publish_evacuation(fleet_t *fleet, const char *zone, bool evacuated,
			       int64_t revision, const char *source)
{
	for (uint32_t i = 0; i < fleet->subscriber_count; i++)
		post_evacuation(fleet, fleet->subscribers[i], zone, evacuated);
	log_event(LOG_LEVEL_WARN, "fleet",
		  evacuated ? "evacuation_begun" : "evacuation_ended",
		  "zone=%s revision=" REVISION_FORMAT
		  " source=%s store_up=%d targets=%u",
		  log_quote(zone), REVISION_ARGS(revision), source,
		  fleet->store_up, count_targets(fleet, zone));
	metrics_set(fleet->kernel->metrics, GAUGE_ZONES_EVACUATED,
		    g_hash_table_size(fleet->evacuations));
}

static void begin_evacuation(fleet_t *fleet, const char *zone, int64_t revision,
			     const char *source)
{
	evacuation_t *known = g_hash_table_lookup(fleet->evacuations, zone);

	if (known != NULL) {
		known->removal_pending = false;
		return;
	}
	g_hash_table_insert(fleet->evacuations, g_strdup(zone),
			    g_new0(evacuation_t, 1));
	publish_evacuation(fleet, zone, true, revision, source);
}

/* As with targets, an absence counts only once the store answers. */
static void end_evacuation(fleet_t *fleet, const char *zone, int64_t revision,
			   const char *source)
{
	evacuation_t *known = g_hash_table_lookup(fleet->evacuations, zone);

	if (known == NULL)
		return;
	if (is_removal_deferred(fleet)) {
		known->removal_pending = true;
		known->removal_revision = revision;
		arm_removal_timer(fleet);
		return;
	}
	g_hash_table_remove(fleet->evacuations, zone);
	publish_evacuation(fleet, zone, false, revision, source);
}

static void apply_evacuation(fleet_t *fleet, const store_kv_t *kv,
			     const char *source)
{
	char zone[NAME_SIZE];

	identifier_set(zone, sizeof(zone),
		       kv->key + strlen(KEY_PREFIX_EVACUATIONS));
	switch (kv->record.kind) {
	case RECORD_EVACUATION:
		begin_evacuation(fleet, zone, kv->revision, source);
		break;
	case RECORD_NONE:
		end_evacuation(fleet, zone, kv->revision, source);
		break;
	default:
		break;
	}
}

/* Ends the evacuations whose keys were not written again. */
static void flush_pending_ends(fleet_t *fleet)
{
	GPtrArray *ended = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer zone, data;

	g_hash_table_iter_init(&iter, fleet->evacuations);
	while (g_hash_table_iter_next(&iter, &zone, &data))
		if (((evacuation_t *)data)->removal_pending)
			g_ptr_array_add(ended, g_strdup(zone));
	for (guint i = 0; i < ended->len; i++) {
		const evacuation_t *known = g_hash_table_lookup(
			fleet->evacuations, g_ptr_array_index(ended, i));

		end_evacuation(fleet, g_ptr_array_index(ended, i),
			       known->removal_revision, "store");
	}
	g_ptr_array_unref(ended);
}

/* Removes the targets whose entries were not written again. */
static void flush_pending_removals(fleet_t *fleet)
{
	GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key, data;

	fleet->removal_timer = HANDLE_NONE;
	if (is_removal_deferred(fleet)) {
		arm_removal_timer(fleet);
		goto out;
	}
	g_hash_table_iter_init(&iter, fleet->targets);
	while (g_hash_table_iter_next(&iter, &key, &data))
		if (((known_target_t *)data)->removal_pending)
			g_ptr_array_add(removed, g_strdup(key));
	for (guint i = 0; i < removed->len; i++)
		remove_target(fleet, g_ptr_array_index(removed, i));
	flush_pending_ends(fleet);
out:
	g_ptr_array_unref(removed);
}

static void apply_item(fleet_t *fleet, const store_kv_t *kv, bool relayed)
{
	const char *source = relayed ? "peer" : "store";
	char id[NAME_SIZE];

	if (strcmp(kv->key, KEY_CONF) == 0) {
		apply_conf(fleet, &kv->record, source);
		return;
	}
	if (g_str_has_prefix(kv->key, KEY_PREFIX_EVACUATIONS)) {
		apply_evacuation(fleet, kv, source);
		return;
	}
	if (!g_str_has_prefix(kv->key, KEY_PREFIX_TARGETS))
		return;
	if (kv->record.kind == RECORD_FLEET_TARGET) {
		update_target(fleet, kv->record.u.fleet_target);
		return;
	}
	fleet_target_id(id, kv->key + strlen(KEY_PREFIX_TARGETS));
	remove_target(fleet, id);
}

static void handle_store_event(fleet_t *fleet, const store_result_t *result)
{
	bool up = result->status == STORE_OK;
	bool restored = revision_era(result->revision) > fleet->store_era;

	/* Items relayed by peers during an outage don't end the outage. */
	if (result->kvs->len == 0 && (up != fleet->store_up || restored)) {
		fleet->store_up = up;
		fleet->store_era =
			MAX(fleet->store_era, revision_era(result->revision));
		if (up) {
			fleet->store_up_since = kernel_now(fleet->kernel);
			arm_removal_timer(fleet);
		}
	}
	for (guint i = 0; i < result->kvs->len; i++)
		apply_item(fleet, &g_array_index(result->kvs, store_kv_t, i),
			   result->relayed);
}

static void forward_list_current(const fleet_t *fleet, int64_t as_of)
{
	for (uint32_t i = 0; i < fleet->subscriber_count; i++) {
		msg_t msg = {.kind = MSG_LIST_CURRENT};

		msg.u.list_current.as_of = as_of;
		kernel_post(fleet->kernel, fleet->svc, fleet->subscribers[i],
			    &msg);
	}
}

static void set_instances(fleet_t *fleet, uint32_t instances)
{
	fleet->instances = instances;
	for (uint32_t i = 0; i < fleet->subscriber_count; i++)
		post_size(fleet, fleet->subscribers[i]);
}

static void watch(fleet_t *fleet, const char *prefix)
{
	msg_t msg = {.kind = MSG_STORE_WATCH};

	g_strlcpy(msg.u.store_get.key, prefix, sizeof(msg.u.store_get.key));
	msg.u.store_get.prefix = true;
	kernel_post(fleet->kernel, fleet->svc,
		    kernel_find(fleet->kernel, "replica"), &msg);
}

static void start(fleet_t *fleet)
{
	watch(fleet, "fleet/");
	watch(fleet, KEY_PREFIX_EVACUATIONS);
}

static void receive(void *self, msg_t *msg)
{
	fleet_t *fleet = self;

	switch (msg->kind) {
	case MSG_START:
		start(fleet);
		break;
	case MSG_TIMER:
		flush_pending_removals(fleet);
		break;
	case MSG_FLEET_SUBSCRIBE:
		subscribe(fleet, msg->from);
		break;
	case MSG_STORE_EVENT:
		handle_store_event(fleet, msg->u.store_result);
		break;
	case MSG_FLEET_BEHIND:
		set_behind(fleet, msg->u.fleet_behind.behind);
		break;
	case MSG_LIST_CURRENT:
		forward_list_current(fleet, msg->u.list_current.as_of);
		break;
	case MSG_FLEET_SIZE:
		set_instances(fleet, msg->u.fleet_size.instances);
		break;
	default:
		break;
	}
}

void fleet_init(fleet_t *fleet, kernel_t *kernel)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->kernel = kernel;
	fleet->instances = 1;
	fleet->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->evacuations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->svc = kernel_register(kernel, "fleet", receive, fleet);
}

void fleet_finish(fleet_t *fleet)
{
	kernel_timer_cancel(fleet->kernel, &fleet->removal_timer);
	fleet_conf_unref(fleet->conf);
	g_hash_table_unref(fleet->targets);
	g_hash_table_unref(fleet->evacuations);
	kernel_unregister(fleet->kernel, fleet->svc);
}
