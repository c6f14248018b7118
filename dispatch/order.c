#include "dispatch/order.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define ORDER_PATH "/orders"

static GBytes *build_body(const msg_t *msg)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_alloc();
	const char *subject = msg->u.order_send.subject;
	char *text;

	json_object_set_int_member(object, "fencing_token",
				   msg->u.order_send.fencing_token);
	json_object_set_string_member(object, "order",
				      order_kind_name(msg->u.order_send.kind));
	json_object_set_string_member(
		object, msg->u.order_send.kind == ORDER_ROLE ? "role" : "model",
		subject);
	if (msg->u.order_send.version[0] != '\0')
		json_object_set_string_member(object, "version",
					      msg->u.order_send.version);
	json_node_init_object(node, object);
	json_object_unref(object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return g_bytes_new_take(text, strlen(text));
}

static void post_result(call_t *call, order_result_t result, const char *fmt,
			...) G_GNUC_PRINTF(3, 4);

static void post_result(call_t *call, order_result_t result, const char *fmt,
			...)
{
	msg_t msg = {.kind = MSG_ORDER_RESULT, .ref = call->owner_ref};
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(msg.u.order_result.message,
		    sizeof(msg.u.order_result.message), fmt, ap);
	va_end(ap);
	msg.u.order_result.result = result;
	kernel_post(call->dispatch->kernel, call->dispatch->svc, call->owner,
		    &msg);
}

bool order_send_expired(const call_t *call)
{
	return call->is_order &&
	       kernel_now(call->dispatch->kernel) >= call->send_before;
}

void order_open(dispatch_t *dispatch, const msg_t *msg)
{
	msg_t send = {.kind = MSG_SEND, .from = msg->from, .id = msg->id};
	uint32_t timeout_ms = msg->u.order_send.longest_ms;

	g_strlcpy(send.u.send.host, msg->u.order_send.host,
		  sizeof(send.u.send.host));
	send.u.send.port = msg->u.order_send.port;
	g_strlcpy(send.u.send.method, "POST", sizeof(send.u.send.method));
	g_strlcpy(send.u.send.path, ORDER_PATH, sizeof(send.u.send.path));
	g_strlcpy(send.u.send.content_type, "application/json",
		  sizeof(send.u.send.content_type));
	send.u.send.body = build_body(msg);
	send.u.send.first_byte_ms = timeout_ms;
	send.u.send.idle_ms = timeout_ms;
	send.u.send.deadline =
		kernel_now(dispatch->kernel) + timeout_ms * USEC_PER_MSEC;
	call_open_order(dispatch, &send, msg->u.order_send.send_before);
	msg_clear(&send);
}

static void handle_end(call_t *call)
{
	uint32_t status = call->order_status;

	if (status >= 200 && status < 300)
		post_result(call, ORDER_RESULT_DONE, "status %u", status);
	else if (status == 409)
		post_result(call, ORDER_RESULT_REFUSED_FENCING,
			    "status 409, fencing number is old");
	else if (status >= 500)
		post_result(call, ORDER_RESULT_UNKNOWN, "status %u", status);
	else
		post_result(call, ORDER_RESULT_FAILED, "status %u", status);
}

void order_recv(call_t *call, msg_t *msg)
{
	switch (msg->kind) {
	case MSG_TARGET_HEAD:
		call->order_status = msg->u.target_head.status;
		break;
	case MSG_TARGET_END:
		handle_end(call);
		break;
	case MSG_TARGET_FAILED:
		post_result(call,
			    !call->started || msg->u.target_failed.not_run
				    ? ORDER_RESULT_NOT_SENT
				    : ORDER_RESULT_UNKNOWN,
			    "failure %s",
			    failure_name(msg->u.target_failed.failure));
		break;
	default:
		break;
	}
	msg_clear(msg);
}
