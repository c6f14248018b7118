#include "store/watch.h"

#include "log/log.h"
#include "store/call.h"

#include <string.h>

#define BACKOFF_MIN_US (100 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * USEC_PER_SEC)

typedef enum watch_state_t {
	WATCH_READING,
	WATCH_OPENING, /* stream requested */
	WATCH_OPEN, /* stream confirmed by the store */
	WATCH_BACKOFF, /* waiting before the next read */
} watch_state_t;

typedef struct watch_t {
	svc_t watcher; /* service that receives the events */
	handle_t ref; /* handle given by the watcher */
	char key[STORE_KEY_SIZE];
	bool prefix;
	watch_state_t state;
	int64_t next_revision; /* first revision not delivered, 0 if unknown */
	int64_t backoff; /* us */
	exchange_t *exchange;
	GByteArray *line; /* incomplete line of the stream */
	handle_t timer;
	GHashTable *known_keys; /* existing keys, as far as delivered */
} watch_t;

size_t watch_size(void)
{
	return sizeof(watch_t);
}

static void set_timer(store_t *store, handle_t handle, watch_t *watch,
		      int64_t delay)
{
	kernel_timer_cancel(store->kernel, &watch->timer);
	watch->timer = kernel_timer(store->kernel, store->self, delay, handle,
				    STORE_TIMER_WATCH);
}

static void read_keys(store_t *store, handle_t handle, watch_t *watch)
{
	watch->state = WATCH_READING;
	call_start_watch_read(store, handle, watch->key, watch->prefix);
}

static void close_stream(watch_t *watch)
{
	if (watch->exchange != NULL)
		exchange_cancel(watch->exchange);
	watch->exchange = NULL;
	g_byte_array_set_size(watch->line, 0);
}

static void open_stream(store_t *store, handle_t handle, watch_t *watch)
{
	wire_t wire = store_wire(store);
	gchar *body = wire_watch(&wire, watch->key, watch->prefix,
				 watch->next_revision);

	close_stream(watch);
	watch->state = WATCH_OPENING;
	watch->exchange = exchange_open(store, OWNER_WATCH, handle, "/v3/watch",
					body, false);
	g_free(body);
	set_timer(store, handle, watch, store->timeout_us);
}

/* Reads the keys again after a delay that doubles with each failure. */
static void schedule_retry(store_t *store, handle_t handle, watch_t *watch)
{
	int64_t delay;

	close_stream(watch);
	watch->state = WATCH_BACKOFF;
	watch->backoff =
		CLAMP(watch->backoff * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	/*
	 * Half of the delay is random, so that the routers do not all
	 * reconnect at the same time.
	 */
	delay = watch->backoff / 2 +
		(int64_t)kernel_random_below(store->kernel,
					     (uint64_t)watch->backoff / 2 + 1);
	set_timer(store, handle, watch, delay);
}

void watch_start(store_t *store, const msg_t *msg)
{
	watch_t *watch;
	handle_t handle = table_add(&store->watches, (void **)&watch);

	watch->watcher = msg->from;
	watch->ref = msg->id;
	g_strlcpy(watch->key, msg->u.store_get.key, sizeof(watch->key));
	watch->prefix = msg->u.store_get.prefix;
	watch->line = g_byte_array_new();
	watch->known_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (msg->u.store_get.min_revision > 0) {
		watch->next_revision = msg->u.store_get.min_revision;
		open_stream(store, handle, watch);
	} else {
		read_keys(store, handle, watch);
	}
}

/* Updates known_keys and passes the result to the watcher. */
static void deliver(store_t *store, watch_t *watch, store_result_t *result)
{
	msg_t msg = {.kind = MSG_STORE_EVENT, .ref = watch->ref};

	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		if (kv->record.kind == RECORD_NONE)
			g_hash_table_remove(watch->known_keys, kv->key);
		else
			g_hash_table_add(watch->known_keys, g_strdup(kv->key));
	}
	watch->next_revision = MAX(watch->next_revision, result->revision + 1);
	msg.u.store_result = result;
	kernel_post(store->kernel, store->self, watch->watcher, &msg);
}

/*
 * A read returns only the keys that exist.  Adds the known keys that were
 * deleted in the meantime as absent.
 */
static void add_deletions(watch_t *watch, store_result_t *result)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	guint count = result->kvs->len;
	gpointer key;

	for (guint i = 0; i < count; i++)
		g_hash_table_add(
			listed,
			g_strdup(
				g_array_index(result->kvs, store_kv_t, i).key));
	g_hash_table_iter_init(&iter, watch->known_keys);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(listed, key))
			store_result_add(result, 0, key, result->revision,
					 NULL);
	}
	g_hash_table_iter_init(&iter, listed);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_free(key);
	g_hash_table_unref(listed);
}

void watch_read_done(store_t *store, handle_t handle, store_result_t *result)
{
	watch_t *watch = table_get(&store->watches, handle);

	if (watch == NULL || result->status != STORE_OK ||
	    watch->state != WATCH_READING) {
		if (watch != NULL)
			schedule_retry(store, handle, watch);
		store_result_free(result);
		return;
	}
	/*
	 * A result older than what was delivered comes from a lagging
	 * endpoint; the keys are read again from the next endpoint.
	 */
	if (result->revision + 1 < watch->next_revision) {
		log_event(LOG_LEVEL_WARN, "store", "endpoint_behind",
			  "key=%s revision=%" G_GINT64_FORMAT,
			  log_quote(watch->key), result->revision);
		store_result_free(result);
		store->endpoint_index =
			(store->endpoint_index + 1) % store->endpoint_count;
		schedule_retry(store, handle, watch);
		return;
	}
	add_deletions(watch, result);
	watch->next_revision = result->revision + 1;
	deliver(store, watch, result);
	open_stream(store, handle, watch);
}

static void handle_line(store_t *store, handle_t handle, watch_t *watch,
			const char *text, size_t len)
{
	store_result_t *result = store_result_new(STORE_OK);
	wire_t wire = store_wire(store);

	switch (wire_parse_watch(&wire, text, len, result)) {
	case WIRE_WATCH_EVENTS:
		deliver(store, watch, result);
		result = NULL;
		break;
	case WIRE_WATCH_PROGRESS:
		if (watch->state == WATCH_OPEN)
			watch->next_revision =
				MAX(watch->next_revision, result->revision + 1);
		break;
	case WIRE_WATCH_CREATED:
		watch->state = WATCH_OPEN;
		watch->backoff = 0;
		break;
	case WIRE_WATCH_CANCELED:
	case WIRE_WATCH_INVALID:
		/* The next read returns the current state. */
		store_result_free(result);
		log_event(LOG_LEVEL_WARN, "store", "watch_ended", "key=%s",
			  log_quote(watch->key));
		schedule_retry(store, handle, watch);
		return;
	}
	store_result_free(result);
	set_timer(store, handle, watch, store->watch_idle_us);
}

static void handle_data(store_t *store, handle_t handle, watch_t *watch,
			const char *data, size_t len)
{
	const exchange_t *exchange = watch->exchange;
	const char *newline;
	size_t chunk_len;

	while (len > 0 && watch->exchange == exchange) {
		newline = memchr(data, '\n', len);
		chunk_len = newline == NULL ? len : (size_t)(newline - data);
		if (watch->line->len + chunk_len > STORE_RESPONSE_MAX) {
			schedule_retry(store, handle, watch);
			return;
		}
		g_byte_array_append(watch->line, (const guint8 *)data,
				    (guint)chunk_len);
		if (newline == NULL)
			return;
		if (watch->line->len > 0)
			handle_line(store, handle, watch,
				    (const char *)watch->line->data,
				    watch->line->len);
		g_byte_array_set_size(watch->line, 0);
		data = newline + 1;
		len -= chunk_len + 1;
	}
}

void watch_event(store_t *store, exchange_t *exchange, exchange_event_t event,
		 const char *data, size_t len)
{
	handle_t handle = exchange->owner;
	watch_t *watch = table_get(&store->watches, handle);

	if (watch == NULL || watch->exchange != exchange)
		return;
	switch (event) {
	case EXCHANGE_DATA:
		if (exchange->status == 200)
			handle_data(store, handle, watch, data, len);
		break;
	case EXCHANGE_END:
	case EXCHANGE_FAILED:
		if (!exchange->sent)
			store->endpoint_index = (store->endpoint_index + 1) %
						store->endpoint_count;
		schedule_retry(store, handle, watch);
		break;
	}
}

void watch_timeout(store_t *store, handle_t handle)
{
	watch_t *watch = table_get(&store->watches, handle);

	if (watch == NULL)
		return;
	switch (watch->state) {
	case WATCH_READING:
		break;
	case WATCH_BACKOFF:
		read_keys(store, handle, watch);
		break;
	case WATCH_OPENING:
		store->endpoint_index =
			(store->endpoint_index + 1) % store->endpoint_count;
		schedule_retry(store, handle, watch);
		break;
	case WATCH_OPEN:
		/*
		 * An idle stream means either that nothing changed or that the
		 * connection is dead.  A new stream continues at
		 * next_revision.
		 */
		open_stream(store, handle, watch);
		break;
	}
}

void watch_cancel_all(store_t *store)
{
	uint32_t cursor = 0;
	handle_t handle;
	watch_t *watch;

	while ((watch = table_next(&store->watches, &cursor, &handle)) !=
	       NULL) {
		close_stream(watch);
		kernel_timer_cancel(store->kernel, &watch->timer);
		g_byte_array_unref(watch->line);
		g_hash_table_unref(watch->known_keys);
		table_remove(&store->watches, handle);
	}
}
