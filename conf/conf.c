#include "conf/conf.h"

#include "conf/entry.h"
#include "log/log.h"

#include <string.h>

typedef enum conf_timer_t {
	CONF_TIMER_PUBLISH,
	CONF_TIMER_EXPIRY,
} conf_timer_t;

typedef struct subscriber_t {
	svc_t svc;
	handle_t ref;
} subscriber_t;

static void send_snapshot(conf_t *conf, const subscriber_t *subscriber)
{
	msg_t msg = {.kind = MSG_CONF_CHANGED, .ref = subscriber->ref};

	msg.u.conf = conf_snapshot_ref(conf->snapshot);
	kernel_post(conf->kernel, conf->self, subscriber->svc, &msg);
}

static void subscribe(conf_t *conf, const msg_t *msg)
{
	subscriber_t subscriber = {msg->from, msg->id};

	g_array_append_val(conf->subscribers, subscriber);
	send_snapshot(conf, &subscriber);
}

static void set_expiry_timer(conf_t *conf)
{
	int64_t next = conf_entries_next_expiry(conf->entries);
	int64_t wait;

	kernel_timer_cancel(conf->kernel, &conf->expiry_timer);
	if (next == 0)
		return;
	wait = next - kernel_wall(conf->kernel) / USEC_PER_MSEC;
	wait = CLAMP(wait, 0, CONF_EXPIRY_WAIT_MAX_MS) * USEC_PER_MSEC;
	conf->expiry_timer = kernel_timer(conf->kernel, conf->self, wait,
					  HANDLE_NONE, CONF_TIMER_EXPIRY);
}

static void publish(conf_t *conf)
{
	conf->publish_timer = HANDLE_NONE;
	conf->published_at = kernel_now(conf->kernel);
	conf_entries_expire(conf->entries,
			    kernel_wall(conf->kernel) / USEC_PER_MSEC);
	conf_snapshot_unref(conf->snapshot);
	conf->snapshot =
		conf_entries_snapshot(conf->entries, conf->complete_revision);
	metrics_set(conf->kernel->metrics, GAUGE_CONF_REVISION,
		    conf->complete_revision);
	set_expiry_timer(conf);
	for (guint i = 0; i < conf->subscribers->len; i++)
		send_snapshot(conf, &g_array_index(conf->subscribers,
						   subscriber_t, i));
}

/*
 * Schedules a snapshot for after the messages that are queued now, so that a
 * burst of changes is published once.  Nothing is published until the first
 * configuration is complete: a partial one would refuse callers whose records
 * have not arrived yet.
 */
static void schedule_publish(conf_t *conf)
{
	int64_t wait;

	if (!conf->loaded || !handle_is_none(conf->publish_timer))
		return;
	wait = conf->published_at + CONF_PUBLISH_INTERVAL_MS * USEC_PER_MSEC -
	       kernel_now(conf->kernel);
	conf->publish_timer =
		kernel_timer(conf->kernel, conf->self, MAX(wait, 0),
			     HANDLE_NONE, CONF_TIMER_PUBLISH);
}

/*
 * Applies newer records and returns whether there were any.  Raises *highest
 * to the highest revision in kvs.
 */
static bool apply_all(conf_t *conf, const GArray *kvs, int64_t *highest)
{
	bool changed = false;

	for (guint i = 0; i < kvs->len; i++) {
		const store_kv_t *kv = &g_array_index(kvs, store_kv_t, i);

		*highest = MAX(*highest, kv->revision);
		switch (conf_entries_apply(conf->entries, kv)) {
		case CONF_APPLY_NEW:
			metrics_add(conf->kernel->metrics, COUNTER_CONF_CHANGES,
				    1);
			changed = true;
			break;
		case CONF_APPLY_SAME:
			break;
		case CONF_APPLY_STALE:
			metrics_add(conf->kernel->metrics, COUNTER_CONF_STALE,
				    1);
			break;
		case CONF_APPLY_REFUSED:
			log_event(LOG_LEVEL_WARN, "conf", "record_refused",
				  "key=%s revision=%" G_GINT64_FORMAT
				  " reason=%s",
				  log_quote(kv->key), kv->revision,
				  kv->record.kind == RECORD_NONE ? "deleted"
								 : "invalid");
			break;
		}
	}
	return changed;
}

static void advance(conf_t *conf, int64_t complete, bool changed)
{
	if (complete > conf->complete_revision) {
		conf->complete_revision = complete;
		changed = true;
	}
	if (changed)
		schedule_publish(conf);
}

/*
 * Store events have no gaps, so each one is complete up to the highest
 * revision of its records.  The revision of the result also counts writes to
 * other keys: if that revision were used, peers with equal records would have
 * different revisions and pull from each other without end.
 */
static void on_store_event(conf_t *conf, const store_result_t *result)
{
	int64_t highest = 0;
	bool first = !conf->loaded;
	bool changed;

	if (result->status != STORE_OK)
		return;
	conf->store_answered = true;
	conf->loaded = true;
	changed = apply_all(conf, result->kvs, &highest);
	advance(conf, highest, changed || first);
}

/* --- exchange with peers -------------------------------------------------- */

/* Only one pull is outstanding; it times out if there is no answer. */
static void pull(conf_t *conf, const char *incarnation)
{
	peer_body_t *body;
	int64_t now = kernel_now(conf->kernel);

	if (conf->pull_peer[0] != '\0' && now < conf->pull_deadline)
		return;
	g_strlcpy(conf->pull_peer, incarnation, sizeof(conf->pull_peer));
	conf->pull_deadline = now + CONF_PULL_TIMEOUT_MS * USEC_PER_MSEC;
	body = peer_body_new(PEER_CONF_PULL);
	body->u.conf_pull.from_revision = conf->complete_revision;
	kernel_post_peer(conf->kernel, conf->self, conf->peer, incarnation,
			 body);
}

static void on_pull(conf_t *conf, const char *incarnation, int64_t from)
{
	peer_body_t *body = peer_body_new(PEER_CONF_ITEMS);

	body->u.conf_items.up_to_revision = conf_entries_since(
		conf->entries, MAX(from, 0), conf->complete_revision,
		body->u.conf_items.kvs);
	kernel_post_peer(conf->kernel, conf->self, conf->peer, incarnation,
			 body);
}

/*
 * Records are applied from any peer.  The revision up to which a frame is
 * complete is accepted only from the peer that was asked: that frame starts at
 * a revision up to which this process had all records when it asked, and still
 * has them.
 */
static void on_items(conf_t *conf, const char *incarnation,
		     const peer_body_t *body)
{
	bool asked = strcmp(conf->pull_peer, incarnation) == 0 &&
		     conf->pull_peer[0] != '\0';
	int64_t before = conf->complete_revision;
	int64_t highest = 0;
	bool changed;

	changed = apply_all(conf, body->u.conf_items.kvs, &highest);
	advance(conf, asked ? body->u.conf_items.up_to_revision : 0, changed);
	if (!asked)
		return;
	conf->pull_peer[0] = '\0';
	if (conf->complete_revision > before) {
		/* The peer may have more, until a frame adds nothing. */
		pull(conf, incarnation);
	} else if (conf->complete_revision > 0 && !conf->loaded) {
		conf->loaded = true;
		schedule_publish(conf);
	}
}

static void on_peer(conf_t *conf, const msg_t *msg)
{
	const char *incarnation = msg->u.peer.incarnation;
	const peer_body_t *body = msg->u.peer.body;

	switch (body->kind) {
	case PEER_HEARTBEAT:
		if (body->u.heartbeat.conf_revision > conf->complete_revision)
			pull(conf, incarnation);
		break;
	case PEER_CONF_PULL:
		on_pull(conf, incarnation, body->u.conf_pull.from_revision);
		break;
	case PEER_CONF_ITEMS:
		on_items(conf, incarnation, body);
		break;
	default:
		break;
	}
}

/* --- service -------------------------------------------------------------- */

static void on_start(conf_t *conf)
{
	msg_t msg = {.kind = MSG_STORE_WATCH};

	conf->store = kernel_find(conf->kernel, "store");
	conf->peer = kernel_find(conf->kernel, "peer");
	g_strlcpy(msg.u.store_get.key, CONF_PREFIX,
		  sizeof(msg.u.store_get.key));
	msg.u.store_get.prefix = true;
	kernel_post(conf->kernel, conf->self, conf->store, &msg);
}

static void on_timer(conf_t *conf, const msg_t *msg)
{
	switch ((conf_timer_t)msg->u.timer.kind) {
	case CONF_TIMER_PUBLISH:
		publish(conf);
		break;
	case CONF_TIMER_EXPIRY:
		conf->expiry_timer = HANDLE_NONE;
		if (conf_entries_expire(conf->entries,
					kernel_wall(conf->kernel) /
						USEC_PER_MSEC) > 0)
			schedule_publish(conf);
		else
			set_expiry_timer(conf);
		break;
	}
}

static void receive(void *self, msg_t *msg)
{
	conf_t *conf = self;

	switch (msg->kind) {
	case MSG_START:
		on_start(conf);
		break;
	case MSG_TIMER:
		on_timer(conf, msg);
		break;
	case MSG_CONF_SUBSCRIBE:
		subscribe(conf, msg);
		break;
	case MSG_STORE_EVENT:
		on_store_event(conf, msg->u.store_result);
		break;
	case MSG_PEER_RECEIVED:
		on_peer(conf, msg);
		break;
	case MSG_PEER_UP:
		if (!conf->store_answered)
			pull(conf, msg->u.peer_addr.incarnation);
		break;
	default:
		break;
	}
}

void conf_init(conf_t *conf, kernel_t *kernel)
{
	memset(conf, 0, sizeof(*conf));
	conf->kernel = kernel;
	conf->entries = conf_entries_new();
	conf->subscribers = g_array_new(FALSE, FALSE, sizeof(subscriber_t));
	conf->snapshot = conf_snapshot_new();
	conf->published_at =
		kernel_now(kernel) - CONF_PUBLISH_INTERVAL_MS * USEC_PER_MSEC;
	conf->self = kernel_register(kernel, "conf", receive, conf);
}

void conf_finish(conf_t *conf)
{
	kernel_timer_cancel(conf->kernel, &conf->publish_timer);
	kernel_timer_cancel(conf->kernel, &conf->expiry_timer);
	kernel_unregister(conf->kernel, conf->self);
	conf_snapshot_unref(conf->snapshot);
	g_array_unref(conf->subscribers);
	g_tree_unref(conf->entries);
	memset(conf, 0, sizeof(*conf));
}
