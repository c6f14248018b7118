#include "streams/streams.h"

#include "log/log.h"
#include "streams/saved.h"

#include <string.h>

/*
 * Limit on the time from the beginning of a stream to a caller's last attempt
 * to take it up again, in time limits of the routes: one for the stream and one
 * for the attempts.
 */
#define STREAM_TTL_TIMEOUTS 2
#define STREAM_TTL_MIN_US (10 * USEC_PER_SEC)
#define STREAM_TTL_MAX_US (600 * USEC_PER_SEC)
#define ENTRIES_MAX 65536
/* Peers that keep a copy of an entry. */
#define KEEPERS 3
/* Peers of a large fleet that are asked; some keepers may have ended. */
#define ASKED_PEERS_LARGE_FLEET 8
/* A peer answers within a few ms. */
#define ANSWER_WAIT_US (150 * USEC_PER_MSEC)
#define STORE_WAIT_US (400 * USEC_PER_MSEC)
/* Time for a read of the list of targets. */
#define LIST_WAIT_US (400 * USEC_PER_MSEC)

typedef struct stream_entry_t {
	char request_id[REQUEST_ID_SIZE]; /* of the attempt that began it */
	stream_origin_t origin;
	int64_t at; /* monotonic, us */
} stream_entry_t;

typedef struct known_target_t {
	char service[NAME_SIZE];
	char version[NAME_SIZE];
} known_target_t;

/* A version of a service that is listed, or was lately. */
typedef struct version_t {
	char service[NAME_SIZE];
	char version[NAME_SIZE];
	uint32_t targets; /* listed now */
	int64_t until; /* monotonic, us, when the last target left */
} version_t;

typedef struct lookup_t {
	handle_t self;
	svc_t owner;
	handle_t ref; /* the owner's handle */
	char request_id[REQUEST_ID_SIZE]; /* of the stream */
	char service[NAME_SIZE];
	char account[NAME_SIZE];
	uint32_t answers_due;
	/* Peers that know of one version only, and which one. */
	uint32_t sole_answers;
	/* Several versions are known of, or the stream began at none of them.
	 */
	bool several;
	bool loading; /* waiting for the store */
	bool listing; /* waiting for a list that is read after started_at */
	int64_t started_at; /* monotonic, us */
	char sole_version[NAME_SIZE];
	handle_t timer;
} lookup_t;

static version_t *find_version(const streams_t *streams, const char *service,
			       const char *version)
{
	for (guint i = 0; i < streams->versions->len; i++) {
		version_t *known =
			&g_array_index(streams->versions, version_t, i);

		if (strcmp(known->service, service) == 0 &&
		    strcmp(known->version, version) == 0)
			return known;
	}
	return NULL;
}

static bool is_current(const streams_t *streams, const version_t *version)
{
	return version->targets > 0 ||
	       kernel_now(streams->kernel) - version->until < streams->ttl;
}

/* Counts the versions that the service has, or had lately. */
static guint count_versions(const streams_t *streams, const char *service)
{
	guint count = 0;

	for (guint i = 0; i < streams->versions->len; i++) {
		const version_t *version =
			&g_array_index(streams->versions, version_t, i);

		count += strcmp(version->service, service) == 0 &&
			 is_current(streams, version);
	}
	return count;
}

/* Returns the only version for as long as a stream may last, or NULL. */
static const version_t *sole_version(const streams_t *streams,
				     const char *service)
{
	if (streams->listed_since == 0 ||
	    kernel_now(streams->kernel) - streams->listed_since <
		    streams->ttl ||
	    count_versions(streams, service) != 1)
		return NULL;
	for (guint i = 0; i < streams->versions->len; i++) {
		const version_t *version =
			&g_array_index(streams->versions, version_t, i);

		if (strcmp(version->service, service) == 0 &&
		    is_current(streams, version))
			return version;
	}
	return NULL;
}

static void remove_target(streams_t *streams, const char *id)
{
	const known_target_t *known = g_hash_table_lookup(streams->targets, id);
	version_t *version;

	if (known == NULL)
		return;
	version = find_version(streams, known->service, known->version);
	if (version != NULL && --version->targets == 0)
		version->until = kernel_now(streams->kernel);
	g_hash_table_remove(streams->targets, id);
}

static void add_target(streams_t *streams, const fleet_target_t *target)
{
	known_target_t *known = g_new0(known_target_t, 1);
	version_t *version;

	if (streams->listed_since == 0)
		streams->listed_since = kernel_now(streams->kernel);
	g_strlcpy(known->service, target->service, sizeof(known->service));
	g_strlcpy(known->version, target->version, sizeof(known->version));
	g_hash_table_insert(streams->targets, g_strdup(target->id), known);
	version = find_version(streams, target->service, target->version);
	if (version == NULL) {
		version_t added = {0};

		g_strlcpy(added.service, target->service,
			  sizeof(added.service));
		g_strlcpy(added.version, target->version,
			  sizeof(added.version));
		g_array_append_val(streams->versions, added);
		version = &g_array_index(streams->versions, version_t,
					 streams->versions->len - 1);
	}
	version->targets++;
}

/* Forgets versions that can't have begun a stream that still goes on. */
static void drop_versions(streams_t *streams)
{
	for (guint i = streams->versions->len; i > 0; i--)
		if (!is_current(streams, &g_array_index(streams->versions,
							version_t, i - 1)))
			g_array_remove_index_fast(streams->versions, i - 1);
}

static void drop_oldest(streams_t *streams)
{
	stream_entry_t *entry = g_queue_pop_head(&streams->by_age);

	g_hash_table_remove(streams->entries, entry->request_id);
}

static void drop_expired(streams_t *streams)
{
	int64_t now = kernel_now(streams->kernel);
	const stream_entry_t *oldest;

	while ((oldest = g_queue_peek_head(&streams->by_age)) != NULL &&
	       (now - oldest->at >= streams->ttl ||
		g_queue_get_length(&streams->by_age) > ENTRIES_MAX))
		drop_oldest(streams);
}

/* The version at which the stream began has become known. */
static bool learn_version(stream_entry_t *entry, const stream_origin_t *origin)
{
	if (version_is_known(entry->origin.version) ||
	    !version_is_known(origin->version))
		return false;
	entry->origin = *origin;
	return true;
}

/* The first version holds: later attempts do not change it. */
bool streams_remember(streams_t *streams, const char *request_id,
		      const stream_origin_t *origin)
{
	stream_entry_t *entry;

	drop_expired(streams);
	if (request_id[0] == '\0')
		return false;
	entry = g_hash_table_lookup(streams->entries, request_id);
	if (entry != NULL)
		return learn_version(entry, origin);
	entry = g_new0(stream_entry_t, 1);
	g_strlcpy(entry->request_id, request_id, sizeof(entry->request_id));
	entry->origin = *origin;
	entry->at = kernel_now(streams->kernel);
	g_hash_table_insert(streams->entries, entry->request_id, entry);
	g_queue_push_tail(&streams->by_age, entry);
	return true;
}

/* A stream of a service with one version needs no record. */
static void add_entry(streams_t *streams, const char *request_id,
		      const stream_origin_t *origin)
{
	if (streams_remember(streams, request_id, origin) &&
	    saved_is_writer(streams) &&
	    (count_versions(streams, origin->service) > 1 ||
	     !version_is_known(origin->version)))
		saved_add(streams, request_id, origin);
}

/* Saves what is known of a service that has just got a second version. */
static void save_known(streams_t *streams, const char *service)
{
	if (!saved_is_writer(streams))
		return;
	for (const GList *link = streams->by_age.head; link != NULL;
	     link = link->next) {
		const stream_entry_t *entry = link->data;

		if (strcmp(entry->origin.service, service) == 0)
			saved_add(streams, entry->request_id, &entry->origin);
	}
}

static void target_changed(streams_t *streams, const msg_t *msg)
{
	const fleet_target_t *target = &msg->u.fleet_target.target;
	guint before;

	drop_versions(streams);
	before = count_versions(streams, target->service);
	remove_target(streams, target->id);
	if (!msg->u.fleet_target.gone)
		add_target(streams, target);
	if (before == 1 && count_versions(streams, target->service) > 1)
		save_known(streams, target->service);
}

static void send_body(streams_t *streams, const char *peer, peer_body_t *body)
{
	kernel_post_peer(streams->kernel, streams->svc, streams->peer, peer,
			 body);
}

static void stream_began(streams_t *streams, const msg_t *msg)
{
	const char *request_id = msg->u.stream.request_id;
	const char *keepers[KEEPERS + 1];
	const char *writer = saved_writer(streams);
	bool is_keeper = writer == NULL;
	guint count;

	add_entry(streams, request_id, &msg->u.stream.origin);
	count = peer_set_prefer(&streams->peers, request_id, keepers, KEEPERS);
	for (guint i = 0; i < count; i++)
		is_keeper |= g_strcmp0(writer, keepers[i]) == 0;
	if (!is_keeper)
		keepers[count++] = writer;
	for (guint i = 0; i < count; i++) {
		peer_body_t *body = peer_body_new(PEER_STREAM_BEGAN);

		g_strlcpy(body->u.stream.request_id, request_id,
			  sizeof(body->u.stream.request_id));
		body->u.stream.origin = msg->u.stream.origin;
		send_body(streams, keepers[i], body);
	}
}

static void finish_lookup(streams_t *streams, lookup_t *lookup,
			  const stream_origin_t *origin, const char *source)
{
	msg_t msg = {.kind = MSG_STREAM_RESOLVED, .ref = lookup->ref};

	/* A stream belongs to the account with which it began. */
	if (origin != NULL && strcmp(origin->account, lookup->account) != 0) {
		origin = NULL;
		source = "other_account";
	} else if (origin != NULL && !version_is_known(origin->version)) {
		origin = NULL;
		source = "version_unknown";
	}
	msg.u.stream.known = origin != NULL;
	if (origin != NULL)
		msg.u.stream.origin = *origin;
	log_event(LOG_LEVEL_INFO, "streams", "resolved",
		  "stream=%s service=%s software=%s source=%s",
		  log_quote(lookup->request_id), lookup->service,
		  msg.u.stream.origin.version, source);
	kernel_post(streams->kernel, streams->svc, lookup->owner, &msg);
	kernel_timer_cancel(streams->kernel, &lookup->timer);
	table_remove(&streams->lookups, lookup->self);
}

/*
 * Returns the version of a stream that neither an instance nor the store knows,
 * or NULL.  Streams are saved while a service has several versions, so a store
 * that has none of them shows that there was one.
 */
static const char *version_of_unknown(const streams_t *streams,
				      const lookup_t *lookup)
{
	const version_t *sole = sole_version(streams, lookup->service);

	if (lookup->several || count_versions(streams, lookup->service) > 1)
		return NULL;
	if (lookup->answers_due == 0 && lookup->sole_answers > 0)
		return lookup->sole_version;
	if (lookup->answers_due == 0 && sole != NULL)
		return sole->version;
	if (!saved_is_empty(streams))
		return NULL;
	for (guint i = 0; i < streams->versions->len; i++) {
		const version_t *version =
			&g_array_index(streams->versions, version_t, i);

		if (strcmp(version->service, lookup->service) == 0)
			return version->version;
	}
	return NULL;
}

static void start_timer(streams_t *streams, lookup_t *lookup, int64_t delay)
{
	kernel_timer_cancel(streams->kernel, &lookup->timer);
	lookup->timer = kernel_timer(streams->kernel, streams->svc, delay,
				     lookup->self, STREAMS_TIMER_LOOKUP);
}

/*
 * An instance that has been cut off or stood still knows one version because it
 * has heard of no other.
 */
static void await_list(streams_t *streams, lookup_t *lookup)
{
	msg_t msg = {.kind = MSG_LIST_REQUEST};

	lookup->loading = false;
	lookup->listing = true;
	kernel_post(streams->kernel, streams->svc, streams->replica, &msg);
	start_timer(streams, lookup, LIST_WAIT_US);
}

static void finish_unknown(streams_t *streams, lookup_t *lookup,
			   const char *reason)
{
	const char *version = version_of_unknown(streams, lookup);
	stream_origin_t origin = {.version = ""};

	if (version == NULL) {
		finish_lookup(streams, lookup, NULL, reason);
		return;
	}
	if (streams->list_as_of < lookup->started_at) {
		await_list(streams, lookup);
		return;
	}
	g_strlcpy(origin.version, version, sizeof(origin.version));
	g_strlcpy(origin.service, lookup->service, sizeof(origin.service));
	g_strlcpy(origin.account, lookup->account, sizeof(origin.account));
	finish_lookup(streams, lookup, &origin, "sole");
}

/* No instance knows the stream: the store may. */
static void look_in_store(streams_t *streams, lookup_t *lookup,
			  const char *reason)
{
	if (version_of_unknown(streams, lookup) != NULL ||
	    lookup->request_id[0] == '\0' || !saved_load(streams)) {
		finish_unknown(streams, lookup, reason);
		return;
	}
	lookup->loading = true;
	start_timer(streams, lookup, STORE_WAIT_US);
}

static void streams_loaded(streams_t *streams)
{
	uint32_t cursor = 0;
	lookup_t *lookup;

	while ((lookup = table_next(&streams->lookups, &cursor, NULL)) !=
	       NULL) {
		const stream_entry_t *entry = g_hash_table_lookup(
			streams->entries, lookup->request_id);

		if (!lookup->loading)
			continue;
		if (entry != NULL)
			finish_lookup(streams, lookup, &entry->origin, "store");
		else
			finish_unknown(streams, lookup, "not_in_store");
	}
}

static void list_current(streams_t *streams, int64_t as_of)
{
	uint32_t cursor = 0;
	lookup_t *lookup;

	streams->list_as_of = MAX(streams->list_as_of, as_of);
	while ((lookup = table_next(&streams->lookups, &cursor, NULL)) != NULL)
		if (lookup->listing && lookup->started_at <= as_of)
			finish_unknown(streams, lookup, "unknown");
}

static void ask_peers(streams_t *streams, lookup_t *lookup)
{
	const char *peers[ASKED_PEERS_LARGE_FLEET];
	guint count = peer_set_prefer(&streams->peers, lookup->request_id,
				      peers, ASKED_PEERS_LARGE_FLEET);

	for (guint i = 0; i < count; i++) {
		peer_body_t *body = peer_body_new(PEER_STREAM_QUERY);

		g_strlcpy(body->u.stream.request_id, lookup->request_id,
			  sizeof(body->u.stream.request_id));
		g_strlcpy(body->u.stream.origin.service, lookup->service,
			  sizeof(body->u.stream.origin.service));
		body->u.stream.lookup =
			(uint64_t)lookup->self.gen << 32 | lookup->self.index;
		send_body(streams, peers[i], body);
	}
	lookup->several |= count_versions(streams, lookup->service) > 1;
	lookup->answers_due = count;
	if (count == 0) {
		look_in_store(streams, lookup, "unknown");
		return;
	}
	start_timer(streams, lookup, ANSWER_WAIT_US);
}

static void resolve(streams_t *streams, const msg_t *msg)
{
	const stream_origin_t *asked = &msg->u.stream.origin;
	const stream_entry_t *entry;
	lookup_t *lookup;
	handle_t self = table_add(&streams->lookups, (void **)&lookup);

	lookup->self = self;
	lookup->started_at = kernel_now(streams->kernel);
	lookup->owner = msg->from;
	lookup->ref = msg->id;
	g_strlcpy(lookup->request_id, msg->u.stream.request_id,
		  sizeof(lookup->request_id));
	g_strlcpy(lookup->service, asked->service, sizeof(lookup->service));
	g_strlcpy(lookup->account, asked->account, sizeof(lookup->account));
	drop_expired(streams);
	entry = g_hash_table_lookup(streams->entries, lookup->request_id);
	if (entry != NULL && version_is_known(entry->origin.version)) {
		finish_lookup(streams, lookup, &entry->origin, "known");
		return;
	}
	lookup->several = entry != NULL;
	ask_peers(streams, lookup);
}

static void query_received(streams_t *streams, const msg_t *msg)
{
	const peer_body_t *query = msg->u.peer.body;
	const stream_entry_t *entry = g_hash_table_lookup(
		streams->entries, query->u.stream.request_id);
	const version_t *sole =
		sole_version(streams, query->u.stream.origin.service);
	peer_body_t *body = peer_body_new(PEER_STREAM_ANSWER);

	g_strlcpy(body->u.stream.request_id, query->u.stream.request_id,
		  sizeof(body->u.stream.request_id));
	body->u.stream.lookup = query->u.stream.lookup;
	if (entry != NULL) {
		body->u.stream.answer = STREAM_KNOWN;
		body->u.stream.origin = entry->origin;
	} else if (count_versions(streams, query->u.stream.origin.service) >
		   1) {
		body->u.stream.answer = STREAM_VERSIONS;
	} else if (sole != NULL) {
		body->u.stream.answer = STREAM_SOLE_VERSION;
		g_strlcpy(body->u.stream.origin.version, sole->version,
			  sizeof(body->u.stream.origin.version));
	}
	send_body(streams, msg->u.peer.incarnation, body);
}

static void answer_received(streams_t *streams, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	const stream_origin_t *origin = &body->u.stream.origin;
	handle_t ref = {.index = (uint32_t)body->u.stream.lookup,
			.gen = (uint32_t)(body->u.stream.lookup >> 32)};
	lookup_t *lookup = table_get(&streams->lookups, ref);

	if (lookup == NULL ||
	    strcmp(lookup->request_id, body->u.stream.request_id) != 0)
		return;
	switch (body->u.stream.answer) {
	case STREAM_KNOWN:
		if (!version_is_known(origin->version)) {
			lookup->several = true;
			break;
		}
		add_entry(streams, lookup->request_id, origin);
		finish_lookup(streams, lookup, origin, "peer");
		return;
	case STREAM_SOLE_VERSION:
		lookup->several |=
			lookup->sole_answers > 0 &&
			strcmp(lookup->sole_version, origin->version) != 0;
		lookup->sole_answers++;
		g_strlcpy(lookup->sole_version, origin->version,
			  sizeof(lookup->sole_version));
		break;
	case STREAM_VERSIONS:
		lookup->several = true;
		break;
	case STREAM_UNKNOWN:
	case STREAM_ANSWER_COUNT:
		break;
	}
	if (!lookup->loading && !lookup->listing && --lookup->answers_due == 0)
		look_in_store(streams, lookup, "unknown");
}

static void timed_out(streams_t *streams, handle_t ref)
{
	lookup_t *lookup = table_get(&streams->lookups, ref);

	if (lookup == NULL)
		return;
	lookup->timer = HANDLE_NONE;
	if (lookup->listing)
		finish_lookup(streams, lookup, NULL, "list_outdated");
	else if (lookup->loading)
		finish_lookup(streams, lookup, NULL, "store_silent");
	else
		look_in_store(streams, lookup, "no_answer");
}

static void receive_peer(streams_t *streams, const msg_t *msg)
{
	switch (msg->u.peer.body->kind) {
	case PEER_STREAM_BEGAN:
		add_entry(streams, msg->u.peer.body->u.stream.request_id,
			  &msg->u.peer.body->u.stream.origin);
		break;
	case PEER_STREAM_QUERY:
		query_received(streams, msg);
		break;
	case PEER_STREAM_ANSWER:
		answer_received(streams, msg);
		break;
	default:
		break;
	}
}

static void conf_changed(streams_t *streams, const fleet_conf_t *conf)
{
	int64_t longest = 0;

	for (guint i = 0; i < conf->routes->len; i++) {
		const fleet_route_t *route =
			&g_array_index(conf->routes, fleet_route_t, i);

		if (route->terms.kind == ROUTE_STREAM && route->terms.resumable)
			longest =
				MAX(longest, (int64_t)route->terms.timeout_ms *
						     USEC_PER_MSEC);
	}
	streams->ttl = CLAMP(longest * STREAM_TTL_TIMEOUTS, STREAM_TTL_MIN_US,
			     STREAM_TTL_MAX_US);
}

static void start(streams_t *streams)
{
	msg_t msg = {.kind = MSG_FLEET_SUBSCRIBE};

	streams->peer = kernel_find(streams->kernel, "peer");
	streams->store = kernel_find(streams->kernel, "store");
	streams->replica = kernel_find(streams->kernel, "replica");
	kernel_post(streams->kernel, streams->svc,
		    kernel_find(streams->kernel, "fleet"), &msg);
}

static void receive(void *self, msg_t *msg)
{
	streams_t *streams = self;

	switch (msg->kind) {
	case MSG_START:
		start(streams);
		break;
	case MSG_TIMER:
		if (msg->u.timer.kind == STREAMS_TIMER_SAVE)
			saved_write(streams);
		else
			timed_out(streams, msg->ref);
		break;
	case MSG_STORE_RESULT:
		if (saved_store_result(streams, msg))
			streams_loaded(streams);
		break;
	case MSG_LIST_CURRENT:
		list_current(streams, msg->u.list_current.as_of);
		break;
	case MSG_FLEET_CONF:
		conf_changed(streams, msg->u.fleet_conf);
		break;
	case MSG_FLEET_TARGET:
		target_changed(streams, msg);
		break;
	case MSG_STREAM_BEGAN:
		stream_began(streams, msg);
		break;
	case MSG_STREAM_RESOLVE:
		resolve(streams, msg);
		break;
	case MSG_PEER_UP:
	case MSG_PEER_DOWN:
		peer_set_update(&streams->peers, msg);
		break;
	case MSG_PEER_RECEIVED:
		receive_peer(streams, msg);
		break;
	default:
		break;
	}
}

void streams_init(streams_t *streams, kernel_t *kernel, const char *incarnation)
{
	memset(streams, 0, sizeof(*streams));
	streams->kernel = kernel;
	streams->ttl = STREAM_TTL_MAX_US;
	g_strlcpy(streams->incarnation, incarnation,
		  sizeof(streams->incarnation));
	streams->unsaved = g_array_new(FALSE, TRUE, sizeof(saved_stream_t));
	streams->saved_keys = saved_keys_new();
	peer_set_init(&streams->peers);
	/* The key of an entry is a part of it. */
	streams->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&streams->by_age);
	streams->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	streams->versions = g_array_new(FALSE, TRUE, sizeof(version_t));
	table_init(&streams->lookups, sizeof(lookup_t));
	streams->svc = kernel_register(kernel, "streams", receive, streams);
}

void streams_finish(streams_t *streams)
{
	peer_set_finish(&streams->peers);
	g_queue_clear(&streams->by_age);
	g_hash_table_unref(streams->entries);
	g_hash_table_unref(streams->targets);
	g_array_unref(streams->versions);
	g_array_unref(streams->unsaved);
	g_array_unref(streams->saved_keys);
	record_streams_free(streams->writing);
	table_finish(&streams->lookups);
	kernel_unregister(streams->kernel, streams->svc);
}
