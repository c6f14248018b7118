#include "outbound/conn.h"

#include "kernel/identifier.h"

#include <string.h>

#define READ_SIZE 16384 /* bytes read at a time */
#define READS_MAX 8 /* reads from one connection per loop iteration */
/*
 * Bytes of interim and stale responses that are skipped during one call.  A
 * broken server may send them without end.
 */
#define DISCARD_MAX 131072
/* Idle limit for servers that do not state how long they keep connections. */
#define IDLE_LIMIT_DEFAULT_US (500 * USEC_PER_MSEC)
/* Time for a request to arrive before the server closes the connection. */
#define IDLE_LIMIT_MARGIN_US (400 * USEC_PER_MSEC)
#define IDLE_LIMIT_MAX_US (30 * USEC_PER_SEC)

static void remove_idle(out_conn_t *conn)
{
	GQueue *queue =
		g_hash_table_lookup(conn->outbound->idle, conn->address);

	if (queue == NULL)
		return;
	g_queue_remove(queue, conn);
	if (g_queue_is_empty(queue))
		g_hash_table_remove(conn->outbound->idle, conn->address);
}

void out_conn_close(out_conn_t *conn)
{
	outbound_t *outbound = conn->outbound;

	if (handle_is_none(conn->call))
		remove_idle(conn);
	kernel_timer_cancel(outbound->kernel, &conn->connect_timer);
	http_socket_finish(&conn->sock);
	http_parse_finish(&conn->parse);
	table_remove(&outbound->conns, conn->self);
}

static bool sent_last(const out_conn_t *conn, const char *echo_value)
{
	return echo_value[0] != '\0' &&
	       strcmp(conn->last_echo, echo_value) == 0;
}

static out_conn_t *take_idle(outbound_t *outbound, const char *address,
			     const char *echo_value)
{
	int64_t now = kernel_now(outbound->kernel);
	out_conn_t *conn;
	GQueue *queue;

	while ((queue = g_hash_table_lookup(outbound->idle, address)) != NULL) {
		conn = g_queue_peek_tail(queue);
		if (now - conn->idle_since < conn->idle_limit &&
		    !sent_last(conn, echo_value)) {
			if (http_socket_is_idle(&conn->sock)) {
				remove_idle(conn);
				return conn;
			}
			out_conn_closed(conn);
		}
		out_conn_close(conn);
	}
	return NULL;
}

out_conn_t *out_conn_open(outbound_t *outbound, const char *host, uint16_t port)
{
	out_conn_t *conn;
	handle_t self = table_add(&outbound->conns, (void **)&conn);

	conn->outbound = outbound;
	conn->self = self;
	g_snprintf(conn->address, sizeof(conn->address), "%s:%u", host, port);
	g_strlcpy(conn->host, host, sizeof(conn->host));
	conn->port = port;
	if (!http_socket_connect(&conn->sock, &outbound->kernel->pollset, host,
				 port, out_conn_ready, conn)) {
		table_remove(&outbound->conns, self);
		return NULL;
	}
	http_parse_init(&conn->parse, true);
	conn->connect_timer =
		kernel_timer(outbound->kernel, outbound->svc,
			     OUT_CONNECT_TIMEOUT_US, self, OUT_TIMER_CONNECT);
	return conn;
}

out_conn_t *out_conn_acquire(outbound_t *outbound, const msg_t *msg,
			     bool *reused)
{
	const char *host = msg->u.out_send.host;
	uint16_t port = msg->u.out_send.port;
	char address[ADDRESS_SIZE];
	out_conn_t *conn;

	g_snprintf(address, sizeof(address), "%s:%u", host, port);
	conn = take_idle(outbound, address, msg->u.out_send.echo_value);
	*reused = conn != NULL;
	if (conn == NULL)
		conn = out_conn_open(outbound, host, port);
	if (conn != NULL)
		g_strlcpy(conn->last_echo, msg->u.out_send.echo_value,
			  sizeof(conn->last_echo));
	return conn;
}

static int64_t idle_limit(const http_head_t *head)
{
	const char *value = http_head_get(head, "Keep-Alive");
	const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
	int64_t seconds;

	if (timeout == NULL)
		return IDLE_LIMIT_DEFAULT_US;
	seconds = g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10);
	seconds = CLAMP(seconds, 0, IDLE_LIMIT_MAX_US / USEC_PER_SEC);
	return MAX(seconds * USEC_PER_SEC - IDLE_LIMIT_MARGIN_US, 0);
}

static void keep_idle(out_conn_t *conn, int64_t limit)
{
	outbound_t *outbound = conn->outbound;
	GQueue *queue;

	conn->call = HANDLE_NONE;
	conn->idle_since = kernel_now(outbound->kernel);
	conn->idle_limit = limit;
	queue = g_hash_table_lookup(outbound->idle, conn->address);
	if (queue == NULL) {
		queue = g_queue_new();
		g_hash_table_insert(outbound->idle, g_strdup(conn->address),
				    queue);
	}
	g_queue_push_tail(queue, conn);
}

void out_conn_release(out_conn_t *conn)
{
	int64_t limit;

	/* An early response can leave a part of the request unsent. */
	if (conn->own || !conn->parse.keep_alive || conn->parse.until_eof ||
	    http_socket_has_output(&conn->sock) || conn->sock.failed ||
	    idle_limit(conn->parse.head) == 0) {
		out_conn_close(conn);
		return;
	}
	limit = idle_limit(conn->parse.head);
	http_parse_reset(&conn->parse);
	keep_idle(conn, limit);
}

void out_conn_release_unused(out_conn_t *conn)
{
	keep_idle(conn, IDLE_LIMIT_DEFAULT_US);
}

void out_conn_sweep(outbound_t *outbound)
{
	int64_t now = kernel_now(outbound->kernel);
	uint32_t cursor = 0;
	out_conn_t *conn;

	while ((conn = table_next(&outbound->conns, &cursor, NULL)) != NULL) {
		if (handle_is_none(conn->call) &&
		    now - conn->idle_since >= conn->idle_limit)
			out_conn_close(conn);
		else
			http_socket_check_window(&conn->sock);
	}
}

static void post_head(out_conn_t *conn, out_call_t *call)
{
	outbound_t *outbound = conn->outbound;
	msg_t msg = {.kind = MSG_OUT_HEAD, .ref = call->ref, .id = call->self};

	call->head_posted = true;
	kernel_timer_cancel(outbound->kernel, &call->head_timer);
	/* out_conn_release() reads the idle limit from the head. */
	msg.u.out_head.head = http_head_copy(conn->parse.head);
	kernel_post(outbound->kernel, outbound->svc, call->owner, &msg);
}

static void post_body(out_conn_t *conn, out_call_t *call)
{
	outbound_t *outbound = conn->outbound;
	GBytes *bytes = http_parse_take_body(&conn->parse);
	msg_t msg = {.kind = MSG_OUT_DATA, .ref = call->ref, .id = call->self};

	if (bytes == NULL)
		return;
	if (conn->discarding) {
		g_bytes_unref(bytes);
		return;
	}
	msg.u.data.bytes = bytes;
	kernel_post(outbound->kernel, outbound->svc, call->owner, &msg);
}

static bool is_stale_response(const out_conn_t *conn, const out_call_t *call)
{
	const char *value;

	if (call->echo_name[0] == '\0')
		return false;
	value = http_head_get(conn->parse.head, call->echo_name);
	return value != NULL &&
	       !identifier_matches(call->echo_value, sizeof(call->echo_value),
				   value);
}

/* Posts the head and the body bytes received so far to the owner. */
static void forward_response(out_conn_t *conn, out_call_t *call)
{
	if (conn->parse.state != HTTP_STATE_BODY &&
	    conn->parse.state != HTTP_STATE_COMPLETE)
		return;
	if (conn->parse.head->status < 200) {
		conn->discarding = true;
	} else if (!call->head_posted && !conn->discarding) {
		if (is_stale_response(conn, call))
			conn->discarding = true;
		else
			post_head(conn, call);
	}
	post_body(conn, call);
}

static failure_t classify_failure(const out_call_t *call,
				  const out_conn_t *conn)
{
	if (call->head_posted)
		return FAILURE_STREAM;
	return conn->parse.state == HTTP_STATE_IDLE ? FAILURE_SENT
						    : FAILURE_HEAD;
}

/* Returns false if the connection was closed or released. */
static bool parse_bytes(out_conn_t *conn, out_call_t *call, const char *data,
			size_t len)
{
	outbound_t *outbound = conn->outbound;
	size_t used = 0, fed;

	while (used < len) {
		fed = http_parse_feed(&conn->parse, data + used, len - used);
		used += fed;
		forward_response(conn, call);
		if (conn->discarding)
			conn->discarded += fed;
		if (conn->discarded > DISCARD_MAX) {
			out_call_fail(outbound, call, FAILURE_HEAD, true,
				      false);
			return false;
		}
		if (conn->parse.state == HTTP_STATE_ERROR) {
			out_call_fail(outbound, call,
				      classify_failure(call, conn), true,
				      false);
			return false;
		}
		if (conn->parse.state != HTTP_STATE_COMPLETE)
			continue;
		if (!conn->discarding) {
			/* Bytes after the response belong to no request. */
			if (used < len)
				conn->parse.keep_alive = false;
			out_call_end(outbound, call);
			return false;
		}
		conn->discarding = false;
		http_parse_reset(&conn->parse);
	}
	return true;
}

static void handle_eof(out_conn_t *conn, out_call_t *call, bool reset)
{
	outbound_t *outbound = conn->outbound;

	if (!reset) {
		http_parse_eof(&conn->parse);
		forward_response(conn, call);
		if (conn->parse.state == HTTP_STATE_COMPLETE &&
		    !conn->discarding) {
			out_call_end(outbound, call);
			return;
		}
	}
	out_call_fail(outbound, call, classify_failure(call, conn), true, true);
}

static void read_response(out_conn_t *conn, out_call_t *call)
{
	char buffer[READ_SIZE];
	size_t received = 0;

	for (int i = 0; i < READS_MAX; i++) {
		switch (http_socket_read(&conn->sock, buffer, sizeof(buffer),
					 &received)) {
		case SOCKET_DATA:
			if (!parse_bytes(conn, call, buffer, received))
				return;
			break;
		case SOCKET_AGAIN:
			return;
		case SOCKET_EOF:
			handle_eof(conn, call, false);
			return;
		case SOCKET_ERROR:
			handle_eof(conn, call, true);
			return;
		}
	}
}

void out_conn_ready(void *data, unsigned ready)
{
	out_conn_t *conn = data;
	outbound_t *outbound = conn->outbound;
	out_call_t *call = table_get(&outbound->calls, conn->call);

	if (call == NULL) {
		/* The only input expected on an idle connection is its end. */
		if (kernel_now(outbound->kernel) - conn->idle_since <
		    conn->idle_limit)
			out_conn_closed(conn);
		out_conn_close(conn);
		kernel_flush(outbound->kernel);
		return;
	}
	if (!handle_is_none(conn->connect_timer) && !conn->sock.connecting) {
		kernel_timer_cancel(outbound->kernel, &conn->connect_timer);
		/* A connection that was established may have failed since. */
		if (!conn->sock.connected) {
			out_call_fail(outbound, call, FAILURE_CONNECT, false,
				      false);
			goto out;
		}
		if (call->check[0] != '\0') {
			out_check_end(outbound, call);
			goto out;
		}
	}
	if ((ready & ~POLLSET_OUT) != 0 || conn->sock.failed)
		read_response(conn, call);
out:
	kernel_flush(outbound->kernel);
}
