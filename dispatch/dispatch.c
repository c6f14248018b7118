#include "dispatch/dispatch.h"

#include "dispatch/call.h"
#include "dispatch/order.h"

#include <string.h>

/*
 * Service "route" limits the requests to a target; this limit only has to be
 * higher.
 */
#define CONNECTIONS_MAX 100000
#define CONNECTION_IDLE_S 30 /* limit for an unused connection */

static void receive(void *self, msg_t *msg)
{
	dispatch_t *dispatch = self;

	switch (msg->kind) {
	case MSG_START:
		dispatch->route = kernel_find(dispatch->kernel, "route");
		break;
	case MSG_SEND:
		call_open(dispatch, msg);
		break;
	case MSG_ORDER_SEND:
		order_open(dispatch, msg);
		break;
	case MSG_TIMER:
	case MSG_SEND_CANCEL:
	case MSG_SEND_PAUSE:
	case MSG_SEND_RESUME:
		call_recv(dispatch, msg);
		break;
	default:
		break;
	}
}

void dispatch_init(dispatch_t *dispatch, kernel_t *kernel)
{
	memset(dispatch, 0, sizeof(*dispatch));
	dispatch->kernel = kernel;
	dispatch->svc = kernel_register(kernel, "dispatch", receive, dispatch);
	table_init(&dispatch->calls, sizeof(call_t));
	dispatch->sockets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	dispatch->session = soup_session_new_with_options(
		"max-conns", CONNECTIONS_MAX, "max-conns-per-host",
		CONNECTIONS_MAX, "idle-timeout", CONNECTION_IDLE_S, "timeout",
		0, NULL);
	soup_session_set_proxy_resolver(dispatch->session, NULL);
	/*
	 * Without the decoder responses pass through unchanged, and without
	 * the authentication manager no request is sent twice.
	 */
	soup_session_remove_feature_by_type(dispatch->session,
					    SOUP_TYPE_CONTENT_DECODER);
	soup_session_remove_feature_by_type(dispatch->session,
					    SOUP_TYPE_AUTH_MANAGER);
}

void dispatch_finish(dispatch_t *dispatch)
{
	uint32_t cursor = 0;
	call_t *call;

	while ((call = table_next(&dispatch->calls, &cursor, NULL)) != NULL)
		call_abort(call);
	soup_session_abort(dispatch->session);
	/* The callbacks of the cancelled operations free the calls. */
	while (table_count(&dispatch->calls) > 0)
		g_main_context_iteration(NULL, TRUE);
	g_clear_object(&dispatch->session);
	g_hash_table_unref(dispatch->sockets);
	table_finish(&dispatch->calls);
	kernel_unregister(dispatch->kernel, dispatch->svc);
}
