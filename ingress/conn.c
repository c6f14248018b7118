#include "ingress/conn.h"

#include <stdio.h>
#include <string.h>

#define READ_SIZE 16384 /* bytes read at a time */
#define READS_MAX 8 /* reads from one connection in a turn of the loop */
/* Bytes of further requests held while one is answered. */
#define INPUT_MAX 262144
/* Unsent bytes of an answer at which its caller is given up as stuck. */
#define OUTPUT_MAX 1048576
/* For the other end to read the last answer and close. */
#define LINGER_US USEC_PER_SEC

static gboolean on_ready(GSocket *socket, GIOCondition condition,
			 gpointer data);

static void enter(ingress_conn_t *conn, ingress_phase_t phase)
{
	if (phase == INGRESS_BUSY)
		conn->ingress->busy++;
	if (conn->phase == INGRESS_BUSY)
		conn->ingress->busy--;
	conn->phase = phase;
	conn->since = kernel_now(conn->ingress->kernel);
}

void ingress_conn_open(ingress_t *ingress, GSocket *socket,
		       listener_kind_t kind)
{
	ingress_conn_t *conn;
	handle_t self = table_add(&ingress->conns, (void **)&conn);

	conn->ingress = ingress;
	conn->self = self;
	conn->kind = kind;
	conn->input = g_byte_array_new();
	http_parse_init(&conn->parse, false);
	conn->parse.max_head = ingress->limits.max_header;
	http_socket_init(&conn->sock, socket, on_ready, conn);
	enter(conn, INGRESS_IDLE);
	metrics_set(ingress->kernel->metrics, GAUGE_CONNECTIONS,
		    table_count(&ingress->conns));
}

void ingress_conn_drop(ingress_conn_t *conn)
{
	ingress_t *ingress = conn->ingress;
	msg_t msg = {.kind = MSG_EXCHANGE_CANCEL, .ref = conn->exchange};

	if (conn->phase == INGRESS_BUSY) {
		kernel_post(ingress->kernel, ingress->svc, ingress->proxy,
			    &msg);
		enter(conn, INGRESS_LINGER);
	}
	http_socket_finish(&conn->sock);
	http_parse_finish(&conn->parse);
	g_byte_array_unref(conn->input);
	table_remove(&ingress->conns, conn->self);
	metrics_set(ingress->kernel->metrics, GAUGE_CONNECTIONS,
		    table_count(&ingress->conns));
}

static void write_text(ingress_conn_t *conn, const char *text)
{
	http_socket_write(&conn->sock, text, strlen(text));
}

/* The answer is written: goes on with the next request or closes. */
static void finish_answer(ingress_conn_t *conn)
{
	conn->exchange = HANDLE_NONE;
	conn->head_sent = false;
	if (conn->close_after) {
		enter(conn, INGRESS_LINGER);
		if (!http_socket_has_output(&conn->sock))
			http_socket_shutdown(&conn->sock);
		return;
	}
	enter(conn, INGRESS_IDLE);
	http_parse_reset(&conn->parse);
	conn->parse.max_head = conn->ingress->limits.max_header;
}

static void write_head(ingress_conn_t *conn, http_head_t *head, int64_t length)
{
	GByteArray *bytes = g_byte_array_new();

	if (length >= 0)
		http_head_add_int(head, "Content-Length", length);
	else
		http_head_add(head, "Transfer-Encoding", "chunked");
	conn->close_after |= conn->ingress->stopping;
	if (conn->close_after)
		http_head_add(head, "Connection", "close");
	http_head_write(head, bytes);
	http_socket_write(&conn->sock, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	conn->head_sent = true;
	conn->chunked = length < 0;
}

static void write_answer(ingress_conn_t *conn, http_head_t *head,
			 const char *type, const char *text)
{
	http_head_add(head, "Content-Type", type);
	write_head(conn, head, (int64_t)strlen(text));
	write_text(conn, text);
	http_head_free(head);
	finish_answer(conn);
}

void ingress_conn_answer(ingress_conn_t *conn, uint32_t status,
			 const char *type, const char *text, bool close)
{
	conn->close_after |= close;
	write_answer(conn, http_head_response(status), type, text);
}

void ingress_conn_refuse_later(ingress_conn_t *conn, uint32_t status,
			       const char *text, const char *retry_after)
{
	http_head_t *head = http_head_response(status);

	conn->close_after = true;
	http_head_add(head, "Retry-After", retry_after);
	write_answer(conn, head, "text/plain", text);
}

static void refuse(ingress_conn_t *conn, uint32_t status, const char *text)
{
	ingress_conn_answer(conn, status, "text/plain", text, true);
}

/* Checks what has been read of a request against the limits. */
static bool within_limits(ingress_conn_t *conn)
{
	const fleet_limits_t *limits = &conn->ingress->limits;

	if (conn->parse.too_large) {
		refuse(conn, 431, "the head of the request is too large\n");
		return false;
	}
	if (conn->parse.state == HTTP_STATE_ERROR) {
		refuse(conn, 400, "the request is not valid HTTP\n");
		return false;
	}
	if (conn->parse.body->len > limits->max_body ||
	    http_parse_content_length(&conn->parse) >
		    (int64_t)limits->max_body) {
		refuse(conn, 413, "the body of the request is too large\n");
		return false;
	}
	return true;
}

static void invite_body(ingress_conn_t *conn)
{
	const char *expect = http_head_get(conn->parse.head, "Expect");

	if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0 &&
	    conn->parse.body->len == 0)
		write_text(conn, "HTTP/1.1 100 Continue\r\n\r\n");
}

/* Feeds the input until a request is complete. */
static void parse_input(ingress_conn_t *conn)
{
	http_state_t before;
	size_t used;

	while (conn->input->len > 0 && (conn->phase == INGRESS_IDLE ||
					conn->phase == INGRESS_READING)) {
		if (conn->phase == INGRESS_IDLE)
			enter(conn, INGRESS_READING);
		before = conn->parse.state;
		used = http_parse_feed(&conn->parse,
				       (const char *)conn->input->data,
				       conn->input->len);
		g_byte_array_remove_range(conn->input, 0, (guint)used);
		if (!within_limits(conn))
			return;
		if (before < HTTP_STATE_BODY &&
		    conn->parse.state == HTTP_STATE_BODY)
			invite_body(conn);
		if (conn->parse.state != HTTP_STATE_COMPLETE)
			return;
		conn->close_after = !conn->parse.keep_alive;
		enter(conn, INGRESS_BUSY);
		ingress_request(conn->ingress, conn);
	}
}

/* False when the connection is gone. */
static bool read_input(ingress_conn_t *conn)
{
	char buffer[READ_SIZE];
	size_t got = 0;

	for (int i = 0; i < READS_MAX; i++) {
		switch (http_socket_read(&conn->sock, buffer, sizeof(buffer),
					 &got)) {
		case SOCKET_DATA:
			if (conn->phase != INGRESS_LINGER)
				g_byte_array_append(conn->input,
						    (const guint8 *)buffer,
						    (guint)got);
			break;
		case SOCKET_AGAIN:
			return true;
		case SOCKET_EOF:
		case SOCKET_ERROR:
			ingress_conn_drop(conn);
			return false;
		}
	}
	return true;
}

static gboolean on_ready(GSocket *socket, GIOCondition condition, gpointer data)
{
	ingress_conn_t *conn = data;
	kernel_t *kernel = conn->ingress->kernel;

	(void)socket;
	if (condition == G_IO_OUT) {
		if (conn->phase == INGRESS_LINGER)
			http_socket_shutdown(&conn->sock);
		return G_SOURCE_CONTINUE;
	}
	if (read_input(conn)) {
		/* A caller that sends on while it waits is read later. */
		if (conn->phase == INGRESS_BUSY && conn->input->len > INPUT_MAX)
			http_socket_watch_input(&conn->sock, false);
		else
			parse_input(conn);
	}
	kernel_flush(kernel);
	return G_SOURCE_CONTINUE;
}

static void send_head(ingress_conn_t *conn, msg_t *msg)
{
	write_head(conn, msg->u.exchange_head.head,
		   msg->u.exchange_head.length);
}

static void send_data(ingress_conn_t *conn, GBytes *bytes)
{
	char line[24];
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);
	GByteArray *chunk;

	if (size == 0)
		return;
	if (!conn->chunked) {
		http_socket_write(&conn->sock, data, size);
		return;
	}
	chunk = g_byte_array_sized_new((guint)size + sizeof(line));
	g_snprintf(line, sizeof(line), "%zx\r\n", (size_t)size);
	g_byte_array_append(chunk, (const guint8 *)line, (guint)strlen(line));
	g_byte_array_append(chunk, data, (guint)size);
	g_byte_array_append(chunk, (const guint8 *)"\r\n", 2);
	http_socket_write(&conn->sock, chunk->data, chunk->len);
	g_byte_array_unref(chunk);
}

static void send_end(ingress_conn_t *conn)
{
	if (conn->chunked)
		write_text(conn, "0\r\n\r\n");
	finish_answer(conn);
	http_socket_watch_input(&conn->sock, true);
	parse_input(conn);
}

/* An answer that stays incomplete must not look like a whole one. */
static void send_broken(ingress_conn_t *conn)
{
	conn->exchange = HANDLE_NONE;
	enter(conn, INGRESS_LINGER);
	http_socket_abort(&conn->sock);
	ingress_conn_drop(conn);
}

void ingress_conn_recv(ingress_t *ingress, msg_t *msg)
{
	ingress_conn_t *conn = table_get(&ingress->conns, msg->ref);

	if (conn == NULL || conn->phase != INGRESS_BUSY)
		return;
	switch (msg->kind) {
	case MSG_EXCHANGE_STARTED:
		conn->exchange = msg->id;
		break;
	case MSG_EXCHANGE_HEAD:
		send_head(conn, msg);
		break;
	case MSG_EXCHANGE_DATA:
		send_data(conn, msg->u.data.bytes);
		if (conn->sock.output->len > OUTPUT_MAX)
			ingress_conn_drop(conn);
		break;
	case MSG_EXCHANGE_END:
		send_end(conn);
		break;
	case MSG_EXCHANGE_ABORTED:
		send_broken(conn);
		break;
	default:
		break;
	}
}

static void sweep(ingress_conn_t *conn, int64_t now)
{
	const fleet_limits_t *limits = &conn->ingress->limits;
	int64_t age = now - conn->since;

	switch (conn->phase) {
	case INGRESS_IDLE:
		if (age > limits->idle_timeout_ms * USEC_PER_MSEC)
			ingress_conn_drop(conn);
		break;
	case INGRESS_READING:
		if (conn->parse.state < HTTP_STATE_BODY &&
		    age > limits->header_timeout_ms * USEC_PER_MSEC)
			refuse(conn, 408, "the head did not come in time\n");
		else if (age > limits->idle_timeout_ms * USEC_PER_MSEC)
			refuse(conn, 408, "the body did not come in time\n");
		break;
	case INGRESS_BUSY:
		break;
	case INGRESS_LINGER:
		if (age > LINGER_US)
			ingress_conn_drop(conn);
		break;
	}
}

void ingress_conn_sweep(ingress_t *ingress)
{
	int64_t now = kernel_now(ingress->kernel);
	uint32_t cursor = 0;
	ingress_conn_t *conn;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL)
		sweep(conn, now);
}
