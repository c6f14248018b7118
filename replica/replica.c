#include "replica/replica.h"

#include "log/log.h"
#include "replica/entry.h"
#include "replica/offer.h"
#include "replica/relay.h"

#include <string.h>

/* Interval between two reads while the store does not respond. */
#define RETRY_US (300 * USEC_PER_MSEC)
/* Deleted keys are kept this long, for peers that were disconnected. */
#define TOMBSTONE_TTL_US (300 * USEC_PER_SEC)

/*
 * Limit on a read of changes: the state, in base64, may be read this often, or
 * a value of the largest size once.  Beyond it the state is listed: the store
 * keeps many versions of a large configuration, only one of which matters.
 */
#define CHANGES_STATES_MAX 2
#define CHANGES_BYTES_LEAST 1500000
/*
 * A reader of a large fleet whose read is still arriving says so for this long,
 * so that others do not begin the same read.
 */
#define ANNOUNCED_READ_US (800 * USEC_PER_MSEC)

/* Least time between two reads that other services ask for. */
#define READ_SPACING_US (100 * USEC_PER_MSEC)

/*
 * The evacuations come before the targets, so that an instance that starts
 * knows no target of an evacuated zone before its evacuation.
 */
static const char *const prefixes[] = {REPLICA_EVACUATIONS, REPLICA_KEY_CONF,
				       "fleet/target/", "prepaid/"};

static void post_event(replica_t *replica, const replica_watch_t *watch,
		       store_result_t *result)
{
	msg_t msg = {.kind = MSG_STORE_EVENT, .ref = watch->ref};

	msg.u.store_result = result;
	kernel_post(replica->kernel, replica->svc, watch->owner, &msg);
}

/* A service with several watches is told once of what concerns all keys. */
static bool is_first_of_owner(const replica_t *replica, uint32_t index)
{
	for (uint32_t i = 0; i < index; i++)
		if (handle_equal(replica->watches[i].owner,
				 replica->watches[index].owner))
			return false;
	return true;
}

static void post_store_status(replica_t *replica)
{
	for (uint32_t i = 0; i < replica->watch_count; i++) {
		store_result_t *result;

		if (!is_first_of_owner(replica, i))
			continue;
		result = store_result_new(
			replica->store_up ? STORE_OK : STORE_UNAVAILABLE);
		result->revision =
			replica->era >= 0 ? revision_make(replica->era, 0) : -1;
		post_event(replica, &replica->watches[i], result);
	}
}

/*
 * Reports a restore before its changes, which delete what the copy did not
 * have.
 */
static void set_era(replica_t *replica, int64_t revision)
{
	if (revision_era(revision) <= replica->era)
		return;
	replica->era = revision_era(revision);
	log_event(LOG_LEVEL_INFO, "replica", "era", "era=%" G_GINT64_FORMAT,
		  replica->era);
	if (replica->store_up)
		post_store_status(replica);
}

static void set_store_up(replica_t *replica, bool up, const char *reason)
{
	if (replica->store_up == up)
		return;
	replica->store_up = up;
	metrics_set(replica->kernel->metrics, GAUGE_STORE_UP, up);
	log_event(up ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "replica",
		  up ? "store_available" : "store_unavailable",
		  "revision=" REVISION_FORMAT " reason=%s",
		  REVISION_ARGS(replica->revision), reason);
	post_store_status(replica);
}

static void post_behind(replica_t *replica)
{
	bool behind = replica->missing_revision != 0;

	log_event(LOG_LEVEL_INFO, "replica", "behind",
		  "behind=%d revision=" REVISION_FORMAT
		  " missing=" REVISION_FORMAT " store_up=%d",
		  behind, REVISION_ARGS(replica->revision),
		  REVISION_ARGS(replica->missing_revision), replica->store_up);
	for (uint32_t i = 0; i < replica->watch_count; i++) {
		msg_t msg = {.kind = MSG_FLEET_BEHIND};

		if (!is_first_of_owner(replica, i))
			continue;
		msg.u.fleet_behind.behind = behind;
		kernel_post(replica->kernel, replica->svc,
			    replica->watches[i].owner, &msg);
	}
}

void replica_set_missing(replica_t *replica, int64_t revision)
{
	bool was_behind = replica->missing_revision != 0;

	if (revision <= replica->revision)
		return;
	replica->missing_revision = MAX(replica->missing_revision, revision);
	if (!was_behind)
		post_behind(replica);
}

/* The watches have been told of all changes up to the start of the read. */
static void post_list_current(replica_t *replica, int64_t as_of)
{
	for (uint32_t i = 0; i < replica->watch_count; i++) {
		msg_t msg = {.kind = MSG_LIST_CURRENT};

		if (!is_first_of_owner(replica, i))
			continue;
		msg.u.list_current.as_of = as_of;
		kernel_post(replica->kernel, replica->svc,
			    replica->watches[i].owner, &msg);
	}
}

static void advance(replica_t *replica, int64_t revision)
{
	replica->revision = MAX(replica->revision, revision);
	if (replica->missing_revision == 0 ||
	    replica->revision < replica->missing_revision)
		return;
	replica->missing_revision = 0;
	replica->missing_for_all = false;
	post_behind(replica);
}

/* Stores a state that is newer than the known one and notifies the watches. */
static void apply_kv(replica_t *replica, const store_kv_t *kv, bool relayed)
{
	if (!replica_entries_apply(replica->entries, kv,
				   kernel_now(replica->kernel)))
		return;
	for (uint32_t i = 0; i < replica->watch_count; i++) {
		const replica_watch_t *watch = &replica->watches[i];
		store_result_t *result;

		if (!g_str_has_prefix(kv->key, watch->prefix))
			continue;
		result = store_result_new(STORE_OK);
		result->revision = kv->revision;
		result->relayed = relayed;
		store_result_add(result, 0, kv->key, kv->revision, &kv->record);
		post_event(replica, watch, result);
	}
}

static bool is_replicated(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++)
		if (g_str_has_prefix(key, prefixes[i]))
			return true;
	return false;
}

/* The store reports the changes of all keys. */
static void apply_all(replica_t *replica, const store_result_t *result,
		      bool relayed)
{
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		if (is_replicated(kv->key))
			apply_kv(replica, kv, relayed);
	}
}

static void schedule(replica_t *replica, int64_t delay)
{
	kernel_timer_cancel(replica->kernel, &replica->timer);
	replica->timer = kernel_timer(replica->kernel, replica->svc, delay,
				      HANDLE_NONE, 0);
}

static int64_t poll_interval(const replica_t *replica)
{
	return replica->opts.poll_interval_ms * USEC_PER_MSEC;
}

static void list_page(replica_t *replica, const char *after)
{
	msg_t msg = {.kind = MSG_STORE_LIST,
		     .id = {.index = READ_LIST, .gen = 1}};

	g_strlcpy(msg.u.store_list.prefix, prefixes[replica->list_prefix],
		  sizeof(msg.u.store_list.prefix));
	g_strlcpy(msg.u.store_list.after, after,
		  sizeof(msg.u.store_list.after));
	replica->reading = READ_LIST;
	kernel_post(replica->kernel, replica->svc, replica->store, &msg);
}

static void start_listing(replica_t *replica)
{
	g_hash_table_remove_all(replica->listed_keys);
	replica->list_revision = -1;
	replica->listed_version = -1;
	replica->list_prefix = 0;
	list_page(replica, "");
}

static void read_changes(replica_t *replica)
{
	msg_t msg = {.kind = MSG_STORE_CHANGES,
		     .id = {.index = READ_CHANGES, .gen = 1}};

	msg.u.store_get.prefix = true;
	msg.u.store_get.min_revision = replica->revision;
	msg.u.store_get.max_bytes = MAX(
		CHANGES_STATES_MAX * replica_entries_bytes(replica->entries),
		CHANGES_BYTES_LEAST);
	replica->reading = READ_CHANGES;
	kernel_post(replica->kernel, replica->svc, replica->store, &msg);
}

/* Marks keys that the listing did not find as deleted. */
static void finish_listing(replica_t *replica)
{
	GArray *deleted = store_kvs_new();
	GHashTableIter iter;
	gpointer key, data;

	g_hash_table_iter_init(&iter, replica->entries);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		const replica_entry_t *entry = data;
		store_kv_t kv = {.revision = replica->list_revision};

		if (entry->record.kind == RECORD_NONE ||
		    entry->revision > replica->list_revision ||
		    g_hash_table_contains(replica->listed_keys, key))
			continue;
		g_strlcpy(kv.key, key, sizeof(kv.key));
		g_array_append_val(deleted, kv);
	}
	for (guint i = 0; i < deleted->len; i++)
		apply_kv(replica, &g_array_index(deleted, store_kv_t, i),
			 false);
	g_array_unref(deleted);
	g_hash_table_remove_all(replica->listed_keys);
	advance(replica, replica->list_revision);
	replica->synced = true;
	replica->incomplete &= replica->revision > replica->list_revision;
	post_list_current(replica, replica->last_read_at);
	replica_check_offer(replica);
	replica_offer_lost_conf(replica);
	log_event(LOG_LEVEL_INFO, "replica", "listed",
		  "revision=" REVISION_FORMAT " keys=%u",
		  REVISION_ARGS(replica->revision),
		  g_hash_table_size(replica->entries));
}

static void list_received(replica_t *replica, const store_result_t *result)
{
	const char *last = "";

	if (replica->list_revision < 0)
		replica->list_revision = result->revision;
	if (revision_era(result->revision) !=
	    revision_era(replica->list_revision)) {
		start_listing(replica);
		return;
	}
	set_era(replica, result->revision);
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		last = kv->key;
		g_hash_table_add(replica->listed_keys, g_strdup(last));
		if (kv->record.kind == RECORD_FLEET_CONF)
			replica->listed_version =
				kv->record.u.fleet_conf->version;
	}
	apply_all(replica, result, false);
	if (result->more && last[0] != '\0') {
		list_page(replica, last);
	} else if (replica->list_prefix + 1 < G_N_ELEMENTS(prefixes)) {
		replica->list_prefix++;
		list_page(replica, "");
	} else {
		finish_listing(replica);
		replica_push_changes(replica);
		schedule(replica, poll_interval(replica));
	}
}

static void changes_received(replica_t *replica, const store_result_t *result)
{
	apply_all(replica, result, false);
	advance(replica, result->revision);
	if (replica->incomplete) {
		/* Changes that peers passed over are in no read of changes. */
		replica->synced = false;
		schedule(replica, RETRY_US);
		return;
	}
	post_list_current(replica, replica->last_read_at);
	replica_push_changes(replica);
	schedule(replica, replica->read_again ? READ_SPACING_US
					      : poll_interval(replica));
	replica->read_again = false;
}

static const char *status_name(store_status_t status)
{
	switch (status) {
	case STORE_OK:
		return "ok";
	case STORE_UNAVAILABLE:
		return "unavailable";
	case STORE_UNKNOWN:
		return "no_answer";
	case STORE_INVALID:
		return "invalid";
	case STORE_COMPACTED:
		return "compacted";
	case STORE_TOO_LARGE:
		return "too_large";
	}
	return "unknown";
}

/*
 * Asks a peer for changes, unless readers push all changes: the pushes are more
 * complete than the reply of any peer.
 */
static void pull_unless_relayed(replica_t *replica)
{
	if (!replica_relay_active(replica))
		replica_pull_next_peer(replica);
}

static void read_failed(replica_t *replica, store_status_t status)
{
	if (status == STORE_COMPACTED || status == STORE_TOO_LARGE) {
		log_event(LOG_LEVEL_WARN, "replica", "changes_compacted",
			  "revision=" REVISION_FORMAT " reason=%s",
			  REVISION_ARGS(replica->revision),
			  status_name(status));
		replica->synced = false;
		/* The store responds, so the listing does not wait. */
		set_store_up(replica, true, status_name(status));
		schedule(replica, 0);
		return;
	}
	set_store_up(replica, false, status_name(status));
	pull_unless_relayed(replica);
	schedule(replica, RETRY_US);
}

/*
 * The items from a peer are complete up to the result's revision, except those
 * of a build that passes over keys.  What it passed over is fetched from
 * another peer; only an instance that knows nothing yet goes on from that
 * revision.
 */
static void relay_received(replica_t *replica, const store_result_t *result,
			   bool complete)
{
	set_era(replica, result->revision);
	apply_all(replica, result, true);
	if (result->revision > replica->revision &&
	    (complete || (!replica->synced && !replica->store_up))) {
		advance(replica, result->revision);
		replica->synced = true;
		replica->incomplete |= !complete;
	}
	replica_check_offer(replica);
	replica_forward_changes(replica);
}

static void result_received(replica_t *replica, const msg_t *msg)
{
	const store_result_t *result = msg->u.store_result;

	if (msg->ref.index == READ_RELAYED ||
	    msg->ref.index == READ_RELAYED_PARTLY) {
		relay_received(replica, result, msg->ref.index == READ_RELAYED);
		return;
	}
	replica->reading = READ_NONE;
	if (result->status != STORE_OK) {
		read_failed(replica, result->status);
		return;
	}
	set_store_up(replica, true, "answered");
	if (msg->ref.index == READ_LIST)
		list_received(replica, result);
	else
		changes_received(replica, result);
}

void replica_request_read(replica_t *replica)
{
	int64_t since = kernel_now(replica->kernel) - replica->last_read_at;

	/*
	 * No read is scheduled while the store is retried, while a read is due,
	 * or if this instance reads at intervals.
	 */
	if (!replica->store_up || replica->read_requested ||
	    replica_reads_store(replica))
		return;
	replica->read_requested = true;
	if (replica->reading == READ_NONE)
		schedule(replica, MAX(RETRY_US - since, 0));
}

static int64_t wait_after_read(const replica_t *replica, int64_t spacing)
{
	return MAX(replica->last_read_at + spacing -
			   kernel_now(replica->kernel),
		   0);
}

/*
 * A follower has only what readers push, which may be behind.  An instance that
 * reads at intervals does so at once.
 */
static void read_soon(replica_t *replica)
{
	if (!replica_reads_store(replica))
		replica_request_read(replica);
	else if (replica->reading != READ_NONE)
		replica->read_again = true;
	else if (replica->store_up)
		schedule(replica, wait_after_read(replica, READ_SPACING_US));
}

static void add_watch(replica_t *replica, const msg_t *msg)
{
	replica_watch_t *to;

	if (replica->watch_count == REPLICA_WATCHES_MAX) {
		log_event(LOG_LEVEL_ERROR, "replica", "watch_refused",
			  "prefix=%s reason=too_many",
			  log_quote(msg->u.store_get.key));
		return;
	}
	to = &replica->watches[replica->watch_count++];
	to->owner = msg->from;
	to->ref = msg->id;
	g_strlcpy(to->prefix, msg->u.store_get.key, sizeof(to->prefix));
}

/* True if this instance relies on the changes that readers push to it. */
static bool relies_on_relay(const replica_t *replica)
{
	return replica->synced && replica->store_up &&
	       !replica->read_requested && !replica_reads_store(replica) &&
	       replica_relay_active(replica);
}

static void tick(replica_t *replica)
{
	int64_t now = kernel_now(replica->kernel);

	replica->timer = HANDLE_NONE;
	if (replica->reading != READ_NONE)
		return;
	replica_entries_expire(replica->entries, now - TOMBSTONE_TTL_US);
	if (relies_on_relay(replica)) {
		schedule(replica, replica_relay_expires_in(replica));
		return;
	}
	if (!replica->store_up && replica->last_read_at > 0 &&
	    now - replica->last_read_at < replica_outage_retry(replica)) {
		pull_unless_relayed(replica);
		schedule(replica, RETRY_US);
		return;
	}
	replica->read_requested = false;
	replica->last_read_at = now;
	if (replica->synced)
		read_changes(replica);
	else
		start_listing(replica);
}

/* An empty push tells the others that this instance reads for them. */
static void read_goes_on(replica_t *replica)
{
	if (replica->reading == READ_CHANGES &&
	    peer_set_is_large(&replica->peers) &&
	    replica_reads_store(replica) &&
	    kernel_now(replica->kernel) - replica->last_read_at <
		    ANNOUNCED_READ_US)
		replica_push_changes(replica);
}

static void start(replica_t *replica)
{
	replica->store = kernel_find(replica->kernel, "store");
	replica->peer = kernel_find(replica->kernel, "peer");
	schedule(replica, 0);
}

static void receive(void *self, msg_t *msg)
{
	replica_t *replica = self;

	switch (msg->kind) {
	case MSG_START:
		start(replica);
		break;
	case MSG_TIMER:
		tick(replica);
		break;
	case MSG_STORE_WATCH:
		add_watch(replica, msg);
		break;
	case MSG_LIST_REQUEST:
		read_soon(replica);
		break;
	case MSG_STORE_ARRIVING:
		read_goes_on(replica);
		break;
	case MSG_STORE_RESULT:
		result_received(replica, msg);
		break;
	case MSG_STORE_EVENT:
		/*
		 * Another service's call to the store failed; a read shows
		 * whether the store still responds.
		 */
		replica_request_read(replica);
		break;
	case MSG_PEER_UP:
		peer_set_update(&replica->peers, msg);
		if (!replica->store_up)
			pull_unless_relayed(replica);
		replica_offer_conf(replica, msg->u.peer_addr.incarnation);
		break;
	case MSG_PEER_DOWN:
		peer_set_update(&replica->peers, msg);
		break;
	case MSG_PEER_RECEIVED:
		replica_peer_received(replica, msg);
		break;
	default:
		break;
	}
}

void replica_init(replica_t *replica, kernel_t *kernel,
		  const replica_opts_t *opts)
{
	memset(replica, 0, sizeof(*replica));
	replica->kernel = kernel;
	replica->opts = *opts;
	/*
	 * store_up is false until the store first responds, which is then
	 * reported to the watches.
	 */
	replica->entries = replica_entries_new();
	replica->era = -1;
	replica->offered_version = -1;
	replica->requested_version = -1;
	replica->listed_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peer_set_init(&replica->peers);
	replica->svc = kernel_register(kernel, "replica", receive, replica);
}

void replica_finish(replica_t *replica)
{
	kernel_timer_cancel(replica->kernel, &replica->timer);
	g_hash_table_unref(replica->entries);
	g_hash_table_unref(replica->listed_keys);
	g_clear_pointer(&replica->pushed_conf, g_bytes_unref);
	patch_clear(&replica->patch);
	peer_set_finish(&replica->peers);
	kernel_unregister(replica->kernel, replica->svc);
}
