#include "ingress/conn.h"

#include "log/log.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define READ_SIZE 16384 /* bytes read at a time */
#define READS_MAX 8 /* reads from one connection per loop iteration */
/*
 * Bytes of further requests that are buffered while one is in progress: two
 * heads of the greatest size.  The rest stays unread.
 */
#define INPUT_MAX 32768
/* An emptied array that has held more than this is freed. */
#define INPUT_KEPT 2048
/*
 * Unsent response bytes beyond which a caller that reads too slowly is dropped
 * when more follows.
 */
#define OUTPUT_MAX 1048576
/* Time for a request on an idle connection to arrive before it is closed. */
#define KEEP_ALIVE_MARGIN_MS 500
#define MSEC_PER_SEC 1000

#define FULL_RETRY_AFTER "1" /* s */

static void on_ready(void *data, unsigned ready);

/*
 * A lowered limit applies from the next request on: until then the caller may
 * rely on the former one.
 */
static void keep_idle_limit(ingress_conn_t *conn)
{
	conn->idle_timeout_ms = conn->ingress->limits.idle_timeout_ms;
}

/* New requests wait while others are to be answered. */
static pollset_class_t input_class(const ingress_conn_t *conn)
{
	if (conn->kind == LISTENER_READINESS)
		return POLLSET_PROMPT;
	switch (conn->phase) {
	case INGRESS_IDLE:
	case INGRESS_READING:
		return POLLSET_DEFERRED;
	case INGRESS_BUSY:
	case INGRESS_LINGER:
		break;
	}
	return POLLSET_PROMPT;
}

static void set_phase(ingress_conn_t *conn, ingress_phase_t phase)
{
	if (phase == INGRESS_BUSY)
		conn->ingress->busy++;
	if (conn->phase == INGRESS_BUSY)
		conn->ingress->busy--;
	conn->phase = phase;
	conn->phase_since = kernel_now(conn->ingress->kernel);
	if (phase == INGRESS_READING)
		keep_idle_limit(conn);
	pollset_classify(&conn->ingress->kernel->pollset, conn->sock.watch,
			 input_class(conn));
}

void ingress_conn_count_bytes(ingress_conn_t *conn)
{
	kernel_t *kernel = conn->ingress->kernel;

	kernel_count_bytes(kernel, BUFFER_REQUESTS, &conn->counted_requests,
			   CONN_MEMORY + conn->input->len +
				   http_parse_memory(&conn->parse));
	kernel_count_bytes(kernel, BUFFER_OUTPUT, &conn->counted_output,
			   http_socket_output_memory(&conn->sock));
}

/* An array that is only emptied keeps its memory. */
void ingress_conn_free_input(ingress_conn_t *conn)
{
	if (conn->input_peak > INPUT_KEPT) {
		g_byte_array_unref(conn->input);
		conn->input = g_byte_array_new();
		conn->input_peak = 0;
	} else {
		g_byte_array_set_size(conn->input, 0);
	}
}

/* Frees what was received of a request that is not read any further. */
static void discard_request(ingress_conn_t *conn)
{
	ingress_conn_free_input(conn);
	http_parse_reset(&conn->parse);
}

int64_t ingress_conn_idle_limit(const ingress_conn_t *conn)
{
	return MAX(conn->idle_timeout_ms,
		   conn->ingress->limits.idle_timeout_ms) *
	       USEC_PER_MSEC;
}

void ingress_conn_open(ingress_t *ingress, GSocket *socket,
		       listener_kind_t kind)
{
	ingress_conn_t *conn;
	handle_t self = table_add(&ingress->conns, (void **)&conn);
	bool watched;

	conn->ingress = ingress;
	conn->self = self;
	conn->kind = kind;
	conn->input = g_byte_array_new();
	http_parse_init(&conn->parse, false);
	conn->parse.max_head = ingress->limits.max_header;
	watched = http_socket_init(&conn->sock, &ingress->kernel->pollset,
				   socket, on_ready, conn);
	ingress_limit_window(conn);
	set_phase(conn, INGRESS_IDLE);
	keep_idle_limit(conn);
	if (!watched) {
		log_event(LOG_LEVEL_WARN, "ingress", "not_watched", "reason=%s",
			  log_quote(g_strerror(errno)));
		ingress_conn_close(conn);
		return;
	}
	ingress_conn_count_bytes(conn);
	metrics_set(ingress->kernel->metrics, GAUGE_CONNECTIONS,
		    table_count(&ingress->conns));
}

const char *ingress_phase_name(ingress_phase_t phase)
{
	switch (phase) {
	case INGRESS_IDLE:
		return "idle";
	case INGRESS_READING:
		return "reading";
	case INGRESS_BUSY:
		return "busy";
	case INGRESS_LINGER:
		return "linger";
	}
	return "unknown";
}

/* Logs what the caller loses when this side closes the connection. */
static void log_lost_bytes(const ingress_conn_t *conn)
{
	bool unread = http_socket_has_input(&conn->sock);
	size_t unsent = http_socket_output_len(&conn->sock);

	if (unsent == 0 && !unread && conn->input->len == 0)
		return;
	/* The rest of a refused body is left unread on purpose. */
	if (conn->leaves_body && unsent == 0)
		return;
	log_event(LOG_LEVEL_INFO, "ingress", "closed",
		  "phase=%s age_ms=%" G_GINT64_FORMAT
		  " unsent=%zu unread=%d unparsed=%u stopping=%d",
		  ingress_phase_name(conn->phase),
		  (kernel_now(conn->ingress->kernel) - conn->phase_since) /
			  USEC_PER_MSEC,
		  unsent, unread, conn->input->len, conn->ingress->stopping);
}

void ingress_conn_close(ingress_conn_t *conn)
{
	ingress_t *ingress = conn->ingress;
	msg_t msg = {.kind = MSG_EXCHANGE_CANCEL, .ref = conn->exchange};

	log_lost_bytes(conn);
	if (conn->phase == INGRESS_BUSY) {
		kernel_post(ingress->kernel, ingress->svc, ingress->proxy,
			    &msg);
		set_phase(conn, INGRESS_LINGER);
	}
	kernel_count_bytes(ingress->kernel, BUFFER_REQUESTS,
			   &conn->counted_requests, 0);
	kernel_count_bytes(ingress->kernel, BUFFER_OUTPUT,
			   &conn->counted_output, 0);
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

/* Leaves the caller time to read the end of the response and to close. */
static void start_linger(ingress_conn_t *conn)
{
	set_phase(conn, INGRESS_LINGER);
	http_socket_shutdown(&conn->sock);
}

/* Continues with the next request, or closes, after a complete response. */
static void finish_response(ingress_conn_t *conn)
{
	ingress_answered(conn);
	conn->exchange = HANDLE_NONE;
	conn->served = true;
	conn->head_sent = false;
	conn->unread = 0;
	if (conn->close_after) {
		discard_request(conn);
		set_phase(conn, INGRESS_LINGER);
		if (!http_socket_has_output(&conn->sock))
			start_linger(conn);
		return;
	}
	set_phase(conn, INGRESS_IDLE);
	http_parse_reset(&conn->parse);
	conn->parse.max_head = conn->ingress->limits.max_header;
}

/* States how long the caller may leave the connection idle. */
static void add_keep_alive(ingress_conn_t *conn, http_head_t *head)
{
	int64_t seconds;
	char value[32];

	keep_idle_limit(conn);
	if (conn->idle_timeout_ms < KEEP_ALIVE_MARGIN_MS + MSEC_PER_SEC)
		return;
	seconds = (conn->idle_timeout_ms - KEEP_ALIVE_MARGIN_MS) / MSEC_PER_SEC;
	g_snprintf(value, sizeof(value), "timeout=%" G_GINT64_FORMAT, seconds);
	http_head_add(head, "Keep-Alive", value);
}

static void write_head(ingress_conn_t *conn, http_head_t *head, int64_t length)
{
	GByteArray *bytes = g_byte_array_new();

	if (length >= 0)
		http_head_add_int(head, "Content-Length", length);
	else
		http_head_add(head, "Transfer-Encoding", "chunked");
	conn->close_after |=
		conn->ingress->stopping ||
		(conn->kind == LISTENER_CALLERS && ingress_sends_away(conn));
	if (conn->close_after)
		http_head_add(head, "Connection", "close");
	else
		add_keep_alive(conn, head);
	http_head_write(head, bytes);
	http_socket_write(&conn->sock, bytes->data, bytes->len);
	conn->answer_bytes += traffic_on_link(bytes->len);
	g_byte_array_unref(bytes);
	conn->head_sent = true;
	conn->chunked = length < 0;
}

static void write_response(ingress_conn_t *conn, http_head_t *head,
			   const char *text)
{
	write_head(conn, head, (int64_t)strlen(text));
	write_text(conn, text);
	http_head_free(head);
	finish_response(conn);
}

void ingress_conn_respond(ingress_conn_t *conn, uint32_t status,
			  const char *type, const char *text, bool close)
{
	http_head_t *head = http_head_response(status);

	conn->close_after |= close;
	http_head_add(head, "Content-Type", type);
	write_response(conn, head, text);
}

void ingress_conn_respond_head(ingress_conn_t *conn, http_head_t *head,
			       const char *text)
{
	conn->close_after = true;
	write_response(conn, head, text);
}

void ingress_conn_refuse(ingress_conn_t *conn, http_head_t *head,
			 const char *text, bool close)
{
	conn->close_after |= close;
	write_head(conn, head, (int64_t)strlen(text));
	write_text(conn, text);
	http_head_free(head);
	finish_response(conn);
}

void ingress_conn_respond_retry_after(ingress_conn_t *conn, uint32_t status,
				      const char *text, const char *retry_after)
{
	http_head_t *head = http_head_response(status);

	conn->close_after = true;
	http_head_add(head, "Retry-After", retry_after);
	http_head_add(head, "Content-Type", "text/plain");
	write_response(conn, head, text);
}

void ingress_conn_respond_error(ingress_conn_t *conn, uint32_t status,
				const char *text)
{
	ingress_conn_respond(conn, status, "text/plain", text, true);
}

/* Returns false after refusing a request that is too large or malformed. */
static bool check_limits(ingress_conn_t *conn)
{
	const fleet_limits_t *limits = &conn->ingress->limits;

	if (conn->parse.too_large) {
		ingress_conn_respond_error(
			conn, 431, "the head of the request is too large\n");
		return false;
	}
	if (conn->parse.padded) {
		ingress_conn_respond_error(conn, 413,
					   "the body has too much framing\n");
		return false;
	}
	if (conn->parse.state == HTTP_STATE_ERROR) {
		ingress_conn_respond_error(conn, 400,
					   "the request is not valid HTTP\n");
		return false;
	}
	if (conn->parse.body->len > limits->max_body ||
	    http_parse_content_length(&conn->parse) >
		    (int64_t)limits->max_body) {
		ingress_conn_respond_error(
			conn, 413, "the body of the request is too large\n");
		return false;
	}
	return true;
}

static void send_continue(ingress_conn_t *conn)
{
	const char *expect = http_head_get(conn->parse.head, "Expect");

	if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0 &&
	    conn->parse.body->len == 0)
		write_text(conn, "HTTP/1.1 100 Continue\r\n\r\n");
}

void ingress_conn_refuse_full(ingress_conn_t *conn)
{
	ingress_conn_respond_retry_after(conn, 503, "too many large requests\n",
					 FULL_RETRY_AFTER);
}

/* Returns false after refusing a request that is too large to run now. */
static bool check_room(ingress_conn_t *conn)
{
	kernel_t *kernel = conn->ingress->kernel;
	size_t bytes = http_parse_memory(&conn->parse);

	if (!ingress_is_forwarded(conn) ||
	    buffers_may_run(&kernel->buffers, bytes))
		return true;
	metrics_add(kernel->metrics, COUNTER_BUFFERS_DROPPED, 1);
	log_event(LOG_LEVEL_WARN, "ingress", "refused",
		  "reason=no_room bytes=%zu running=%" G_GUINT64_FORMAT, bytes,
		  kernel->buffers.held[BUFFER_RUNNING]);
	ingress_conn_refuse_full(conn);
	return false;
}

/* Parses the buffered input and starts the requests that are complete. */
static void parse_input(ingress_conn_t *conn)
{
	http_state_t before;
	size_t used;

	while (conn->input->len > 0 && (conn->phase == INGRESS_IDLE ||
					conn->phase == INGRESS_READING)) {
		if (conn->phase == INGRESS_IDLE) {
			conn->arrived_at = conn->input_since;
			set_phase(conn, INGRESS_READING);
		}
		before = conn->parse.state;
		used = http_parse_feed(&conn->parse,
				       (const char *)conn->input->data,
				       conn->input->len);
		if (used < conn->input->len)
			g_byte_array_remove_range(conn->input, 0, (guint)used);
		else
			ingress_conn_free_input(conn);
		if (!check_limits(conn))
			return;
		if (before < HTTP_STATE_BODY &&
		    conn->parse.state >= HTTP_STATE_BODY) {
			if ((http_parse_has_body(&conn->parse) ||
			     http_parse_asks_tunnel(&conn->parse)) &&
			    !ingress_check_head(conn->ingress, conn))
				return;
			if (conn->parse.state == HTTP_STATE_BODY) {
				if (!ingress_admit_head(conn))
					return;
				send_continue(conn);
			}
		}
		if (conn->parse.state != HTTP_STATE_COMPLETE ||
		    !check_room(conn))
			return;
		conn->close_after = !conn->parse.keep_alive;
		set_phase(conn, INGRESS_BUSY);
		ingress_request(conn->ingress, conn);
	}
}

/* Whether further requests wait in the socket until this one is answered. */
static bool is_saturated(const ingress_conn_t *conn)
{
	return conn->phase == INGRESS_BUSY && conn->input->len >= INPUT_MAX;
}

/*
 * Reads until nothing is left.  Without a hang-up, less than was asked for
 * shows that.  Returns false if the connection was closed.
 */
static bool read_input(ingress_conn_t *conn, bool hangup)
{
	char buffer[READ_SIZE];
	size_t received = 0;

	for (int i = 0; i < READS_MAX; i++) {
		switch (http_socket_read(&conn->sock, buffer, sizeof(buffer),
					 &received)) {
		case SOCKET_DATA:
			if (conn->phase != INGRESS_LINGER)
				g_byte_array_append(conn->input,
						    (const guint8 *)buffer,
						    (guint)received);
			conn->input_peak =
				MAX(conn->input_peak, conn->input->len);
			if (is_saturated(conn) && !hangup)
				return true;
			if (received < sizeof(buffer) && !hangup)
				return true;
			break;
		case SOCKET_AGAIN:
			return true;
		case SOCKET_EOF:
		case SOCKET_ERROR:
			ingress_conn_close(conn);
			return false;
		}
	}
	return true;
}

/* The caller's time to close or to send the next request starts now. */
static void on_output_written(ingress_conn_t *conn)
{
	switch (conn->phase) {
	case INGRESS_IDLE:
		set_phase(conn, INGRESS_IDLE);
		break;
	case INGRESS_LINGER:
		start_linger(conn);
		break;
	case INGRESS_READING:
	case INGRESS_BUSY:
		break;
	}
}

/* Notes since when the input that is about to be read has been there. */
static void note_wait(ingress_conn_t *conn)
{
	const kernel_t *kernel = conn->ingress->kernel;
	int64_t since = kernel->pollset.ready_since;

	if (conn->input->len == 0)
		conn->input_since = since;
	if (conn->phase == INGRESS_IDLE)
		conn->unread = 0;
	if (conn->phase == INGRESS_IDLE || conn->phase == INGRESS_READING)
		conn->unread += kernel_now(kernel) - since;
}

static void on_ready(void *data, unsigned ready)
{
	ingress_conn_t *conn = data;
	kernel_t *kernel = conn->ingress->kernel;

	if (ready == POLLSET_OUT) {
		on_output_written(conn);
		ingress_conn_count_bytes(conn);
		kernel_flush(kernel);
		return;
	}
	note_wait(conn);
	if (read_input(conn, (ready & POLLSET_ERROR) != 0)) {
		/* If too much is buffered, send_end() resumes reading. */
		if (is_saturated(conn))
			http_socket_watch_input(&conn->sock, false);
		else
			parse_input(conn);
		ingress_conn_count_bytes(conn);
	}
	kernel_flush(kernel);
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
	conn->answer_bytes += traffic_on_link(size);
	if (!conn->chunked) {
		http_socket_write_bytes(&conn->sock, bytes);
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
	finish_response(conn);
	http_socket_watch_input(&conn->sock, true);
	parse_input(conn);
}

/* Resets the connection, so that the response does not look complete. */
static void abort_response(ingress_conn_t *conn)
{
	conn->exchange = HANDLE_NONE;
	set_phase(conn, INGRESS_LINGER);
	http_socket_abort(&conn->sock);
	ingress_conn_close(conn);
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
		if (http_socket_output_len(&conn->sock) > OUTPUT_MAX)
			ingress_conn_close(conn);
		else
			send_data(conn, msg->u.data.bytes);
		break;
	case MSG_EXCHANGE_END:
		send_end(conn);
		break;
	case MSG_EXCHANGE_ABORTED:
		abort_response(conn);
		break;
	default:
		break;
	}
	/* The message may have closed the connection. */
	conn = table_get(&ingress->conns, msg->ref);
	if (conn != NULL)
		ingress_conn_count_bytes(conn);
}
