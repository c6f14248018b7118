#include "store/store.h"

#include "log/log.h"
#include "store/call.h"
#include "store/watch.h"

#include <string.h>

#define IDLE_CONN_TIMEOUT_S 30 /* limit for unused pooled connections */

static void reject_call(store_t *store, const msg_t *msg, const errmsg_t *err)
{
	msg_t reply = {.kind = MSG_STORE_RESULT, .ref = msg->id};

	log_event(LOG_LEVEL_ERROR, "store", "call_invalid",
		  "caller=%s reason=%s",
		  kernel_service_name(store->kernel, msg->from),
		  log_quote(err->text));
	reply.u.store_result = store_result_new(STORE_INVALID);
	kernel_post(store->kernel, store->self, msg->from, &reply);
}

static void start_get(store_t *store, const msg_t *msg)
{
	wire_range_t range = {.key = msg->u.store_get.key,
			      .prefix = msg->u.store_get.prefix,
			      .limit = STORE_PAGE_KEYS};
	wire_t wire = store_wire(store);

	call_start(store, msg, CALL_GET, wire_range(&wire, &range), NULL);
}

static void start_txn(store_t *store, msg_t *msg)
{
	wire_t wire = store_wire(store);
	errmsg_t err = {""};
	gchar *body = wire_txn(&wire, msg->u.store_txn, &err);

	if (body == NULL) {
		reject_call(store, msg, &err);
		return;
	}
	call_start(store, msg, CALL_TXN, body,
		   g_steal_pointer(&msg->u.store_txn));
}

static void on_timer(store_t *store, const msg_t *msg)
{
	switch ((store_timer_t)msg->u.timer.kind) {
	case STORE_TIMER_CALL:
		call_timeout(store, msg->ref);
		break;
	case STORE_TIMER_WATCH:
		watch_timeout(store, msg->ref);
		break;
	}
}

static void receive(void *self, msg_t *msg)
{
	store_t *store = self;

	switch (msg->kind) {
	case MSG_STORE_GET:
		start_get(store, msg);
		break;
	case MSG_STORE_TXN:
		start_txn(store, msg);
		break;
	case MSG_STORE_LEASE:
		call_start(store, msg, CALL_LEASE,
			   wire_lease_grant(msg->u.store_lease.ttl_s), NULL);
		break;
	case MSG_STORE_KEEPALIVE:
		call_start(store, msg, CALL_KEEPALIVE,
			   wire_lease_id(msg->u.store_lease.lease), NULL);
		break;
	case MSG_STORE_REVOKE:
		call_start(store, msg, CALL_REVOKE,
			   wire_lease_id(msg->u.store_lease.lease), NULL);
		break;
	case MSG_STORE_WATCH:
		watch_start(store, msg);
		break;
	case MSG_TIMER:
		on_timer(store, msg);
		break;
	default:
		break;
	}
}

/* Keeps the endpoints that are http or https URLs and trims final slashes. */
static void parse_endpoints(store_t *store, const char *const *endpoints)
{
	GPtrArray *list = g_ptr_array_new();
	GUri *uri;
	gchar *url;

	for (; endpoints != NULL && *endpoints != NULL &&
	       list->len < STORE_ENDPOINTS_MAX;
	     endpoints++) {
		uri = g_uri_parse(*endpoints, SOUP_HTTP_URI_FLAGS, NULL);
		if (uri == NULL || g_uri_get_host(uri) == NULL ||
		    !g_str_has_prefix(g_uri_get_scheme(uri), "http")) {
			log_event(LOG_LEVEL_ERROR, "store", "bad_endpoint",
				  "url=%s", log_quote(*endpoints));
		} else {
			url = g_strdup(*endpoints);
			while (g_str_has_suffix(url, "/"))
				url[strlen(url) - 1] = '\0';
			g_ptr_array_add(list, url);
		}
		g_clear_pointer(&uri, g_uri_unref);
	}
	store->endpoint_count = list->len;
	g_ptr_array_add(list, NULL);
	store->endpoints = (gchar **)g_ptr_array_free(list, FALSE);
}

void store_init(store_t *store, kernel_t *kernel, const store_opts_t *opts)
{
	int32_t timeout =
		opts->timeout_ms > 0 ? opts->timeout_ms : STORE_TIMEOUT_MS;
	int32_t idle = opts->watch_idle_ms > 0 ? opts->watch_idle_ms
					       : STORE_WATCH_IDLE_MS;

	memset(store, 0, sizeof(*store));
	store->kernel = kernel;
	parse_endpoints(store, opts->endpoints);
	store->token = g_strdup(opts->token);
	store->key_prefix = g_strdup(
		opts->key_prefix != NULL ? opts->key_prefix : STORE_KEY_PREFIX);
	store->timeout_us = timeout * USEC_PER_MSEC;
	store->watch_idle_us = idle * USEC_PER_MSEC;
	table_init(&store->calls, sizeof(call_t));
	table_init(&store->watches, watch_size());
	g_queue_init(&store->queue);
	/* A proxy resolver could start threads, so the session has none. */
	store->session = soup_session_new_with_options(
		"max-conns", STORE_CALLS_MAX * 2, "max-conns-per-host",
		STORE_CALLS_MAX * 2, "timeout", 0, "idle-timeout",
		IDLE_CONN_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	store->self = kernel_register(kernel, "store", receive, store);
}

void store_finish(store_t *store)
{
	watch_cancel_all(store);
	call_cancel_all(store);
	kernel_unregister(store->kernel, store->self);
	soup_session_abort(store->session);
	g_object_unref(store->session);
	table_finish(&store->calls);
	table_finish(&store->watches);
	g_strfreev(store->endpoints);
	g_free(store->token);
	g_free(store->key_prefix);
	memset(store, 0, sizeof(*store));
}
