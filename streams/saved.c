#include "streams/saved.h"

#include "log/log.h"

#include <string.h>

#define KEY_PREFIX "streams/"
/* Delay that gathers streams into one write. */
#define SAVE_DELAY_US (150 * USEC_PER_MSEC)
/* Delay after a failed write or read. */
#define STORE_RETRY_US USEC_PER_SEC
/* Streams that began after a read are known to peers. */
#define READ_INTERVAL_US (10 * USEC_PER_SEC)
#define REMOVALS_MAX 16 /* outdated records removed by one write */

/* Kind of a call to the store, sent as the index of the message's id. */
typedef enum saved_call_t {
	CALL_WRITE = 1,
	CALL_READ,
} saved_call_t;

/* A record in the store, to be removed once its streams have ended. */
typedef struct saved_key_t {
	char key[STORE_KEY_SIZE];
	int64_t at; /* monotonic, us, when it was written or found */
} saved_key_t;

GArray *saved_keys_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(saved_key_t));
}

const char *saved_writer(const streams_t *streams)
{
	const char *first;

	if (peer_set_count(&streams->peers) == 0)
		return NULL;
	first = peer_set_at(&streams->peers, 0)->incarnation;
	return strcmp(first, streams->incarnation) < 0 ? first : NULL;
}

bool saved_is_writer(const streams_t *streams)
{
	return saved_writer(streams) == NULL;
}

static void schedule(streams_t *streams, int64_t delay)
{
	if (handle_is_none(streams->save_timer))
		streams->save_timer =
			kernel_timer(streams->kernel, streams->svc, delay,
				     HANDLE_NONE, STREAMS_TIMER_SAVE);
}

void saved_add(streams_t *streams, const char *request_id,
	       const stream_origin_t *origin)
{
	saved_stream_t saved = {.origin = *origin};

	g_strlcpy(saved.request_id, request_id, sizeof(saved.request_id));
	g_array_append_val(streams->unsaved, saved);
	schedule(streams, SAVE_DELAY_US);
}

static void add_key(streams_t *streams, const char *key)
{
	saved_key_t saved = {.at = kernel_now(streams->kernel)};

	for (guint i = 0; i < streams->saved_keys->len; i++)
		if (strcmp(g_array_index(streams->saved_keys, saved_key_t, i)
				   .key,
			   key) == 0)
			return;
	g_strlcpy(saved.key, key, sizeof(saved.key));
	g_array_append_val(streams->saved_keys, saved);
}

static void remove_outdated(streams_t *streams, store_txn_t *txn)
{
	int64_t now = kernel_now(streams->kernel);
	guint removed = 0;

	/* The oldest come first. */
	while (removed < streams->saved_keys->len && removed < REMOVALS_MAX) {
		const saved_key_t *saved = &g_array_index(streams->saved_keys,
							  saved_key_t, removed);

		if (now - saved->at < streams->ttl)
			break;
		store_txn_delete(txn, saved->key, EXPECT_ANY);
		removed++;
	}
	if (removed > 0)
		g_array_remove_range(streams->saved_keys, 0, removed);
}

void saved_write(streams_t *streams)
{
	msg_t msg = {.kind = MSG_STORE_TXN,
		     .id = {.index = CALL_WRITE, .gen = 1}};
	record_t record = {.kind = RECORD_STREAMS};
	char key[STORE_KEY_SIZE];

	streams->save_timer = HANDLE_NONE;
	if (streams->unsaved->len == 0 || streams->writing != NULL)
		return;
	streams->writing = record_streams_new();
	g_array_append_vals(streams->writing->list, streams->unsaved->data,
			    MIN(streams->unsaved->len, SAVED_STREAMS_MAX));
	g_array_remove_range(streams->unsaved, 0, streams->writing->list->len);
	g_snprintf(key, sizeof(key), KEY_PREFIX "%s.%" G_GUINT64_FORMAT,
		   streams->incarnation, ++streams->save_seq);
	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	record.u.streams = streams->writing;
	store_txn_put(msg.u.store_txn, key, EXPECT_ANY, 0, &record);
	remove_outdated(streams, msg.u.store_txn);
	add_key(streams, key);
	kernel_post(streams->kernel, streams->svc, streams->store, &msg);
}

static void write_finished(streams_t *streams, store_status_t status)
{
	record_streams_t *written = g_steal_pointer(&streams->writing);

	if (status != STORE_OK) {
		log_event(LOG_LEVEL_WARN, "streams", "not_saved", "streams=%u",
			  written->list->len);
		g_array_prepend_vals(streams->unsaved, written->list->data,
				     written->list->len);
	}
	record_streams_free(written);
	if (streams->unsaved->len > 0)
		schedule(streams,
			 status == STORE_OK ? SAVE_DELAY_US : STORE_RETRY_US);
}

static void read_page(streams_t *streams, const char *after)
{
	msg_t msg = {.kind = MSG_STORE_LIST,
		     .id = {.index = CALL_READ, .gen = 1}};

	g_strlcpy(msg.u.store_list.prefix, KEY_PREFIX,
		  sizeof(msg.u.store_list.prefix));
	g_strlcpy(msg.u.store_list.after, after,
		  sizeof(msg.u.store_list.after));
	kernel_post(streams->kernel, streams->svc, streams->store, &msg);
}

bool saved_load(streams_t *streams)
{
	int64_t now = kernel_now(streams->kernel);

	if (streams->loading)
		return true;
	if (handle_is_none(streams->store) ||
	    (streams->loaded_at > 0 &&
	     now - streams->loaded_at <
		     (streams->loaded < 0 ? STORE_RETRY_US : READ_INTERVAL_US)))
		return false;
	streams->loading = true;
	streams->loaded_at = now;
	streams->loaded = 0;
	read_page(streams, "");
	return true;
}

bool saved_is_empty(const streams_t *streams)
{
	return !streams->loading && streams->loaded_at > 0 &&
	       streams->loaded == 0 &&
	       kernel_now(streams->kernel) - streams->loaded_at <
		       READ_INTERVAL_US;
}

static bool page_received(streams_t *streams, const store_result_t *result)
{
	const char *last = "";

	streams->loading = false;
	if (result->status != STORE_OK) {
		streams->loaded = -1;
		return true;
	}
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);
		const GArray *list;

		last = kv->key;
		if (kv->record.kind != RECORD_STREAMS)
			continue;
		list = kv->record.u.streams->list;
		streams->loaded += (int)list->len;
		for (guint j = 0; j < list->len; j++) {
			const saved_stream_t *saved =
				&g_array_index(list, saved_stream_t, j);

			streams_remember(streams, saved->request_id,
					 &saved->origin);
		}
		if (saved_is_writer(streams))
			add_key(streams, kv->key);
	}
	if (result->more && last[0] != '\0') {
		streams->loading = true;
		read_page(streams, last);
		return false;
	}
	log_event(LOG_LEVEL_INFO, "streams", "loaded", "streams=%d",
		  streams->loaded);
	return true;
}

bool saved_store_result(streams_t *streams, const msg_t *msg)
{
	switch ((saved_call_t)msg->ref.index) {
	case CALL_WRITE:
		write_finished(streams, msg->u.store_result->status);
		return false;
	case CALL_READ:
		return page_received(streams, msg->u.store_result);
	}
	return false;
}
