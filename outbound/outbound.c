#include "outbound/outbound.h"

#include "log/log.h"
#include "outbound/conn.h"

#include <string.h>

/* Resolution of the idle limits. */
#define SWEEP_INTERVAL_US (250 * USEC_PER_MSEC)
/* A larger body is not copied; "proxy" holds it until the request ends. */
#define COPIED_BODY_MAX 16384

static void remove_call(outbound_t *outbound, out_call_t *call)
{
	kernel_timer_cancel(outbound->kernel, &call->timer);
	kernel_timer_cancel(outbound->kernel, &call->head_timer);
	table_remove(&outbound->calls, call->self);
}

static void post_checked(outbound_t *outbound, const out_call_t *call,
			 check_result_t result)
{
	msg_t msg = {.kind = MSG_OUT_CHECKED};

	g_strlcpy(msg.u.out_check.instance, call->check,
		  sizeof(msg.u.out_check.instance));
	msg.u.out_check.reach = call->check_reach;
	msg.u.out_check.result = result;
	kernel_post(outbound->kernel, outbound->svc, call->owner, &msg);
}

void out_check_end(outbound_t *outbound, out_call_t *call)
{
	post_checked(outbound, call, CHECK_ACCEPTED);
	out_conn_release_unused(table_get(&outbound->conns, call->conn));
	remove_call(outbound, call);
}

/* No connection after a timeout or a local error says nothing of the target. */
static void check_failed(outbound_t *outbound, const out_call_t *call,
			 const out_conn_t *conn)
{
	bool refused = conn != NULL && conn->sock.refused;

	if (!refused)
		log_event(LOG_LEVEL_INFO, "outbound", "check_without_answer",
			  "target=%s", log_quote(call->check));
	post_checked(outbound, call, refused ? CHECK_REFUSED : CHECK_UNKNOWN);
}

static void post_failed(outbound_t *outbound, const out_call_t *call,
			const out_conn_t *conn, failure_t failure, bool sent,
			bool reset)
{
	msg_t msg = {
		.kind = MSG_OUT_FAILED, .ref = call->ref, .id = call->self};

	msg.u.out_failed.failure = failure;
	msg.u.out_failed.sent = sent;
	msg.u.out_failed.reset = reset;
	msg.u.out_failed.refused = !sent && conn != NULL && conn->sock.refused;
	kernel_post(outbound->kernel, outbound->svc, call->owner, &msg);
}

/*
 * Resets the connection: what the system has not delivered yet must not reach
 * the target later, when a partition ends.
 */
static void abandon(out_conn_t *conn)
{
	http_socket_abort(&conn->sock);
	out_conn_close(conn);
}

void out_call_fail(outbound_t *outbound, out_call_t *call, failure_t failure,
		   bool sent, bool reset)
{
	out_conn_t *conn = table_get(&outbound->conns, call->conn);

	if (call->check[0] != '\0')
		check_failed(outbound, call, conn);
	else
		post_failed(outbound, call, conn, failure, sent, reset);
	if (conn != NULL)
		abandon(conn);
	remove_call(outbound, call);
}

void out_conn_closed(const out_conn_t *conn)
{
	outbound_t *outbound = conn->outbound;
	msg_t msg = {.kind = MSG_OUT_CLOSED};

	g_strlcpy(msg.u.out_closed.host, conn->host,
		  sizeof(msg.u.out_closed.host));
	msg.u.out_closed.port = conn->port;
	kernel_post(outbound->kernel, outbound->svc,
		    kernel_find(outbound->kernel, "balance"), &msg);
}

void out_call_end(outbound_t *outbound, out_call_t *call)
{
	out_conn_t *conn = table_get(&outbound->conns, call->conn);
	msg_t msg = {.kind = MSG_OUT_END, .ref = call->ref, .id = call->self};

	kernel_post(outbound->kernel, outbound->svc, call->owner, &msg);
	remove_call(outbound, call);
	if (conn != NULL)
		out_conn_release(conn);
}

/* A small body is copied behind its head, so that both are sent at once. */
static void write_request(out_conn_t *conn, const msg_t *msg)
{
	GByteArray *bytes = g_byte_array_new();
	GBytes *body = msg->u.out_send.body;
	gsize size = body != NULL ? g_bytes_get_size(body) : 0;

	http_head_write(msg->u.out_send.head, bytes);
	if (size > 0 && size <= COPIED_BODY_MAX)
		g_byte_array_append(bytes, g_bytes_get_data(body, NULL),
				    (guint)size);
	http_socket_write(&conn->sock, bytes->data, bytes->len);
	if (size > COPIED_BODY_MAX)
		http_socket_write_bytes(&conn->sock, body);
	g_byte_array_unref(bytes);
}

static void start_timer(outbound_t *outbound, const out_call_t *call,
			handle_t *timer, int64_t deadline, out_timer_t kind)
{
	int64_t remaining = deadline - kernel_now(outbound->kernel);

	if (deadline > 0)
		*timer = kernel_timer(outbound->kernel, outbound->svc,
				      MAX(remaining, 0), call->self, (int)kind);
}

static out_conn_t *acquire_conn(outbound_t *outbound, const msg_t *msg,
				bool *reused)
{
	out_conn_t *conn;

	if (!msg->u.out_send.own_connection)
		return out_conn_acquire(outbound, msg, reused);
	*reused = false;
	conn = out_conn_open(outbound, msg->u.out_send.host,
			     msg->u.out_send.port);
	if (conn != NULL)
		conn->own = true;
	return conn;
}

static void open_call(outbound_t *outbound, const msg_t *msg)
{
	out_call_t *call;
	handle_t self = table_add(&outbound->calls, (void **)&call);
	msg_t started = {.kind = MSG_OUT_STARTED, .ref = msg->id, .id = self};
	out_conn_t *conn;

	call->self = self;
	call->owner = msg->from;
	call->ref = msg->id;
	g_strlcpy(call->echo_name, msg->u.out_send.echo_name,
		  sizeof(call->echo_name));
	g_strlcpy(call->echo_value, msg->u.out_send.echo_value,
		  sizeof(call->echo_value));
	conn = acquire_conn(outbound, msg, &started.u.out_started.reused);
	kernel_post(outbound->kernel, outbound->svc, msg->from, &started);
	if (conn == NULL) {
		out_call_fail(outbound, call, FAILURE_CONNECT, false, false);
		return;
	}
	call->conn = conn->self;
	conn->call = self;
	conn->discarding = false;
	conn->discarded = 0;
	start_timer(outbound, call, &call->timer, msg->u.out_send.deadline,
		    OUT_TIMER_DEADLINE);
	start_timer(outbound, call, &call->head_timer,
		    msg->u.out_send.head_deadline, OUT_TIMER_HEAD);
	write_request(conn, msg);
}

static void open_check(outbound_t *outbound, const msg_t *msg)
{
	out_call_t *call;
	handle_t self = table_add(&outbound->calls, (void **)&call);
	out_conn_t *conn;

	call->self = self;
	call->owner = msg->from;
	g_strlcpy(call->check, msg->u.out_check.instance, sizeof(call->check));
	call->check_reach = msg->u.out_check.reach;
	conn = out_conn_open(outbound, msg->u.out_check.host,
			     msg->u.out_check.port);
	if (conn == NULL) {
		out_call_fail(outbound, call, FAILURE_CONNECT, false, false);
		return;
	}
	call->conn = conn->self;
	conn->call = self;
}

static void cancel_call(outbound_t *outbound, handle_t ref)
{
	out_call_t *call = table_get(&outbound->calls, ref);
	out_conn_t *conn;

	if (call == NULL)
		return;
	conn = table_get(&outbound->conns, call->conn);
	if (conn != NULL)
		abandon(conn);
	remove_call(outbound, call);
}

/* Bytes may have reached the server once the connection is established. */
static bool was_sent(const outbound_t *outbound, const out_call_t *call)
{
	const out_conn_t *conn = table_get(&outbound->conns, call->conn);

	return conn != NULL && !conn->sock.connecting;
}

static void call_timed_out(outbound_t *outbound, handle_t ref,
			   failure_t failure)
{
	out_call_t *call = table_get(&outbound->calls, ref);

	if (call != NULL)
		out_call_fail(outbound, call, failure, was_sent(outbound, call),
			      false);
}

static void connect_timed_out(outbound_t *outbound, handle_t ref)
{
	out_conn_t *conn = table_get(&outbound->conns, ref);
	out_call_t *call;

	if (conn == NULL)
		return;
	conn->connect_timer = HANDLE_NONE;
	call = table_get(&outbound->calls, conn->call);
	if (conn->sock.connecting && call != NULL)
		out_call_fail(outbound, call, FAILURE_CONNECT, false, false);
}

static void sweep(outbound_t *outbound)
{
	out_conn_sweep(outbound);
	outbound->sweep_timer =
		kernel_timer(outbound->kernel, outbound->svc, SWEEP_INTERVAL_US,
			     HANDLE_NONE, OUT_TIMER_SWEEP);
}

static void on_timer(outbound_t *outbound, const msg_t *msg)
{
	switch ((out_timer_t)msg->u.timer.kind) {
	case OUT_TIMER_SWEEP:
		sweep(outbound);
		break;
	case OUT_TIMER_CONNECT:
		connect_timed_out(outbound, msg->ref);
		break;
	case OUT_TIMER_DEADLINE:
		call_timed_out(outbound, msg->ref, FAILURE_DEADLINE);
		break;
	case OUT_TIMER_HEAD:
		call_timed_out(outbound, msg->ref, FAILURE_SILENT);
		break;
	}
}

static void receive(void *self, msg_t *msg)
{
	outbound_t *outbound = self;

	switch (msg->kind) {
	case MSG_START:
		sweep(outbound);
		break;
	case MSG_TIMER:
		on_timer(outbound, msg);
		break;
	case MSG_OUT_SEND:
		open_call(outbound, msg);
		break;
	case MSG_OUT_CHECK:
		open_check(outbound, msg);
		break;
	case MSG_OUT_CANCEL:
		cancel_call(outbound, msg->ref);
		break;
	default:
		break;
	}
}

static void free_queue(gpointer data)
{
	g_queue_free(data);
}

void outbound_init(outbound_t *outbound, kernel_t *kernel)
{
	memset(outbound, 0, sizeof(*outbound));
	outbound->kernel = kernel;
	outbound->svc = kernel_register(kernel, "outbound", receive, outbound);
	table_init(&outbound->calls, sizeof(out_call_t));
	table_init(&outbound->conns, sizeof(out_conn_t));
	outbound->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_queue);
}

void outbound_finish(outbound_t *outbound)
{
	uint32_t cursor = 0;
	out_conn_t *conn;
	out_call_t *call;

	while ((call = table_next(&outbound->calls, &cursor, NULL)) != NULL)
		remove_call(outbound, call);
	cursor = 0;
	while ((conn = table_next(&outbound->conns, &cursor, NULL)) != NULL)
		out_conn_close(conn);
	kernel_timer_cancel(outbound->kernel, &outbound->sweep_timer);
	g_hash_table_unref(outbound->idle);
	table_finish(&outbound->calls);
	table_finish(&outbound->conns);
	kernel_unregister(outbound->kernel, outbound->svc);
}
