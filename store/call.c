#include "store/call.h"

#include "log/log.h"
#include "store/watch.h"

#include <string.h>

wire_t store_wire(store_t *store)
{
	return (wire_t){store->key_prefix, store->kernel->metrics};
}

static const char *call_path(call_kind_t kind)
{
	switch (kind) {
	case CALL_GET:
	case CALL_WATCH_READ:
		return "/v3/kv/range";
	case CALL_TXN:
		return "/v3/kv/txn";
	case CALL_LEASE:
		return "/v3/lease/grant";
	case CALL_KEEPALIVE:
		return "/v3/lease/keepalive";
	case CALL_REVOKE:
		return "/v3/lease/revoke";
	}
	return "/";
}

static bool call_is_read(const call_t *call)
{
	return call->kind == CALL_GET || call->kind == CALL_WATCH_READ;
}

static void call_free(store_t *store, handle_t handle, call_t *call)
{
	if (call->exchange != NULL) {
		exchange_cancel(call->exchange);
		store->in_flight--;
	}
	kernel_timer_cancel(store->kernel, &call->timer);
	g_free(call->body);
	if (call->response != NULL)
		g_byte_array_unref(call->response);
	store_txn_free(call->txn);
	store_result_free(call->pages);
	table_remove(&store->calls, handle);
}

static void send_call(store_t *store, handle_t handle, call_t *call)
{
	bool idempotent = call_is_read(call) || call->kind == CALL_KEEPALIVE;

	call->exchange =
		exchange_open(store, OWNER_CALL, handle, call_path(call->kind),
			      call->body, idempotent);
}

/* Sends queued calls up to the limit on concurrent calls. */
static void send_queued(store_t *store)
{
	handle_t *next;
	call_t *call;

	while (store->in_flight < STORE_CALLS_MAX) {
		next = g_queue_pop_head(&store->queue);
		if (next == NULL)
			return;
		call = table_get(&store->calls, *next);
		/* A call that timed out in the queue no longer exists. */
		if (call != NULL) {
			store->in_flight++;
			send_call(store, *next, call);
		}
		g_free(next);
	}
}

static void send_result(store_t *store, const call_t *call,
			store_result_t *result)
{
	msg_t msg = {.kind = MSG_STORE_RESULT, .ref = call->ref};

	if (call->kind == CALL_WATCH_READ) {
		watch_read_done(store, call->ref, result);
		return;
	}
	msg.u.store_result = result;
	kernel_post(store->kernel, store->self, call->requester, &msg);
}

static void finish_call(store_t *store, handle_t handle, call_t *call,
			store_result_t *result)
{
	metrics_observe(store->kernel->metrics, HISTOGRAM_STORE_CALL,
			kernel_now(store->kernel) - call->started);
	send_result(store, call, result);
	call_free(store, handle, call);
	send_queued(store);
}

static void fail_call(store_t *store, handle_t handle, call_t *call)
{
	bool sent = call->exchange != NULL && call->exchange->sent;

	finish_call(store, handle, call,
		    store_result_new(sent && !call_is_read(call)
					     ? STORE_UNKNOWN
					     : STORE_UNAVAILABLE));
}

static handle_t enqueue(store_t *store, call_t *call, handle_t handle)
{
	handle_t *queued;

	call->started = kernel_now(store->kernel);
	call->response = g_byte_array_new();
	if (store->endpoint_count == 0 ||
	    store->queue.length >= STORE_QUEUE_MAX) {
		fail_call(store, handle, call);
		return HANDLE_NONE;
	}
	call->timer = kernel_timer(store->kernel, store->self,
				   store->timeout_us, handle, STORE_TIMER_CALL);
	queued = g_new(handle_t, 1);
	*queued = handle;
	g_queue_push_tail(&store->queue, queued);
	send_queued(store);
	return handle;
}

handle_t call_start(store_t *store, const msg_t *msg, call_kind_t kind,
		    gchar *body, store_txn_t *txn)
{
	call_t *call;
	handle_t handle = table_add(&store->calls, (void **)&call);

	call->kind = kind;
	call->requester = msg->from;
	call->ref = msg->id;
	call->body = body;
	call->txn = txn;
	if (kind == CALL_GET) {
		g_strlcpy(call->key, msg->u.store_get.key, sizeof(call->key));
		call->prefix = msg->u.store_get.prefix;
	}
	return enqueue(store, call, handle);
}

handle_t call_start_watch_read(store_t *store, handle_t watch, const char *key,
			       bool prefix)
{
	wire_range_t range = {
		.key = key, .prefix = prefix, .limit = STORE_PAGE_KEYS};
	wire_t wire = store_wire(store);
	call_t *call;
	handle_t handle = table_add(&store->calls, (void **)&call);

	call->kind = CALL_WATCH_READ;
	call->ref = watch;
	call->body = wire_range(&wire, &range);
	g_strlcpy(call->key, key, sizeof(call->key));
	call->prefix = prefix;
	return enqueue(store, call, handle);
}

/* Requests the page after last_key, at the revision of the first page. */
static void request_next_page(store_t *store, handle_t handle, call_t *call,
			      const char *last_key)
{
	wire_t wire = store_wire(store);
	wire_range_t range = {.key = call->key,
			      .prefix = call->prefix,
			      .after = last_key,
			      .revision = call->revision,
			      .limit = STORE_PAGE_KEYS};

	exchange_cancel(call->exchange);
	g_free(call->body);
	call->body = wire_range(&wire, &range);
	g_byte_array_set_size(call->response, 0);
	kernel_timer_cancel(store->kernel, &call->timer);
	call->timer = kernel_timer(store->kernel, store->self,
				   store->timeout_us, handle, STORE_TIMER_CALL);
	send_call(store, handle, call);
}

static void append_page(call_t *call, store_result_t *page)
{
	if (call->pages == NULL) {
		call->pages = page;
		return;
	}
	for (guint i = 0; i < page->kvs->len; i++) {
		const store_kv_t *kv = &g_array_index(page->kvs, store_kv_t, i);

		store_result_add(call->pages, 0, kv->key, kv->revision,
				 &kv->record);
	}
	store_result_free(page);
}

static void handle_page(store_t *store, handle_t handle, call_t *call)
{
	store_result_t *result = store_result_new(STORE_OK);
	wire_t wire = store_wire(store);
	char last_key[STORE_KEY_SIZE] = "";
	bool more;

	if (!wire_parse_range(&wire, (const char *)call->response->data,
			      call->response->len, result, last_key)) {
		store_result_free(result);
		fail_call(store, handle, call);
		return;
	}
	/*
	 * The response header states the newest revision of the store, not
	 * the revision at which the page was read.
	 */
	if (call->revision == 0)
		call->revision = result->revision;
	result->revision = call->revision;
	more = result->more;
	if (call->kind == CALL_WATCH_READ) {
		append_page(call, result);
		if (!more) {
			result = call->pages;
			call->pages = NULL;
			result->more = false;
		}
	} else if (more) {
		send_result(store, call, result);
	}
	if (more)
		request_next_page(store, handle, call, last_key);
	else
		finish_call(store, handle, call, result);
}

static void parse_response(store_t *store, handle_t handle, call_t *call)
{
	const char *text = (const char *)call->response->data;
	size_t len = call->response->len;
	store_result_t *result;
	wire_t wire = store_wire(store);
	bool ok = false;

	if (call_is_read(call)) {
		handle_page(store, handle, call);
		return;
	}
	result = store_result_new(STORE_OK);
	switch (call->kind) {
	case CALL_TXN:
		ok = wire_parse_txn(&wire, text, len, call->txn, result);
		break;
	case CALL_LEASE:
	case CALL_KEEPALIVE:
		ok = wire_parse_lease(text, len, result);
		break;
	default:
		ok = true; /* the response to a revoke has no content */
		break;
	}
	if (ok) {
		finish_call(store, handle, call, result);
	} else {
		store_result_free(result);
		fail_call(store, handle, call);
	}
}

/* Maps the HTTP status of a complete response to a result. */
static void handle_response(store_t *store, handle_t handle, call_t *call)
{
	guint status = call->exchange->status;

	if (status == 200) {
		parse_response(store, handle, call);
	} else if (status == 404 && call->kind == CALL_REVOKE) {
		/* The lease no longer exists, so the revoke has succeeded. */
		finish_call(store, handle, call, store_result_new(STORE_OK));
	} else if (status == 429) {
		/* An overloaded store refuses a call without applying it. */
		finish_call(store, handle, call,
			    store_result_new(STORE_UNAVAILABLE));
	} else if (status >= 400 && status < 500) {
		log_event(LOG_LEVEL_ERROR, "store", "call_refused",
			  "path=%s status=%u response=%s",
			  call_path(call->kind), status,
			  log_quote((const char *)call->response->data));
		/*
		 * A request for a later page fails if the revision of the
		 * first page has been compacted.
		 */
		finish_call(store, handle, call,
			    store_result_new(call->revision > 0
						     ? STORE_UNAVAILABLE
						     : STORE_INVALID));
	} else {
		metrics_add(store->kernel->metrics, COUNTER_STORE_ERRORS, 1);
		fail_call(store, handle, call);
	}
}

static void retry_or_fail(store_t *store, handle_t handle, call_t *call)
{
	bool sent = call->exchange->sent;

	store->endpoint_index =
		(store->endpoint_index + 1) % store->endpoint_count;
	if (!sent && ++call->endpoints_tried < store->endpoint_count) {
		exchange_cancel(call->exchange);
		send_call(store, handle, call);
		return;
	}
	fail_call(store, handle, call);
}

void call_event(store_t *store, exchange_t *exchange, exchange_event_t event,
		const char *data, size_t len)
{
	handle_t handle = exchange->owner;
	call_t *call = table_get(&store->calls, handle);

	if (call == NULL || call->exchange != exchange)
		return;
	switch (event) {
	case EXCHANGE_DATA:
		if (call->response->len + len > STORE_RESPONSE_MAX)
			fail_call(store, handle, call);
		else
			g_byte_array_append(call->response,
					    (const guint8 *)data, (guint)len);
		break;
	case EXCHANGE_END:
		g_byte_array_append(call->response, (const guint8 *)"", 1);
		g_byte_array_set_size(call->response, call->response->len - 1);
		handle_response(store, handle, call);
		break;
	case EXCHANGE_FAILED:
		retry_or_fail(store, handle, call);
		break;
	}
}

void call_timeout(store_t *store, handle_t handle)
{
	call_t *call = table_get(&store->calls, handle);

	if (call == NULL)
		return;
	if (call->exchange != NULL) {
		metrics_add(store->kernel->metrics, COUNTER_STORE_ERRORS, 1);
		metrics_set(store->kernel->metrics, GAUGE_STORE_UP, 0);
		/* The connection may be dead and never respond again. */
		store->new_conn_until = kernel_now(store->kernel) +
					STORE_NEW_CONN_MS * USEC_PER_MSEC;
		store->endpoint_index =
			(store->endpoint_index + 1) % store->endpoint_count;
	}
	fail_call(store, handle, call);
}

void call_cancel_all(store_t *store)
{
	uint32_t cursor = 0;
	handle_t handle;
	call_t *call;

	g_queue_clear_full(&store->queue, g_free);
	while ((call = table_next(&store->calls, &cursor, &handle)) != NULL)
		call_free(store, handle, call);
}
