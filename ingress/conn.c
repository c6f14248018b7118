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
/* Memory of a connection without a request; 1.9 KiB were measured. */
#define CONN_MEMORY 2048
/*
 * Unsent response bytes beyond which a caller that reads too slowly is dropped
 * when more follows.
 */
#define OUTPUT_MAX 1048576
/* Time for a request on an idle connection to arrive before it is closed. */
#define KEEP_ALIVE_MARGIN_MS 500
#define MSEC_PER_SEC 1000
/* Time for the caller to close after the last response was written. */
#define LINGER_TIMEOUT_US USEC_PER_SEC
/* Time for a caller that reads slowly to read the end of a response. */
#define OUTPUT_TIMEOUT_US (30 * USEC_PER_SEC)

/*
 * Bytes a second that a caller has to read of an answer, on average over the
 * idle limit of the configuration.
 */
#define READ_RATE_MIN 1024

/* Part of the time for a head while no further caller can connect. */
#define FULL_HEAD_DIVISOR 4

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

static void count_bytes(ingress_conn_t *conn)
{
	kernel_t *kernel = conn->ingress->kernel;

	kernel_count_bytes(kernel, BUFFER_REQUESTS, &conn->counted_requests,
			   CONN_MEMORY + conn->input->len +
				   http_parse_memory(&conn->parse));
	kernel_count_bytes(kernel, BUFFER_OUTPUT, &conn->counted_output,
			   http_socket_output_memory(&conn->sock));
}

/* An array that is only emptied keeps its memory. */
static void free_input(ingress_conn_t *conn)
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
	free_input(conn);
	http_parse_reset(&conn->parse);
}

static int64_t idle_limit(const ingress_conn_t *conn)
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
	set_phase(conn, INGRESS_IDLE);
	keep_idle_limit(conn);
	if (!watched) {
		log_event(LOG_LEVEL_WARN, "ingress", "not_watched", "reason=%s",
			  log_quote(g_strerror(errno)));
		ingress_conn_close(conn);
		return;
	}
	count_bytes(conn);
	metrics_set(ingress->kernel->metrics, GAUGE_CONNECTIONS,
		    table_count(&ingress->conns));
}

static const char *phase_name(ingress_phase_t phase)
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
		  phase_name(conn->phase),
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

static void respond_error(ingress_conn_t *conn, uint32_t status,
			  const char *text)
{
	ingress_conn_respond(conn, status, "text/plain", text, true);
}

/* Returns false after refusing a request that is too large or malformed. */
static bool check_limits(ingress_conn_t *conn)
{
	const fleet_limits_t *limits = &conn->ingress->limits;

	if (conn->parse.too_large) {
		respond_error(conn, 431,
			      "the head of the request is too large\n");
		return false;
	}
	if (conn->parse.state == HTTP_STATE_ERROR) {
		respond_error(conn, 400, "the request is not valid HTTP\n");
		return false;
	}
	if (conn->parse.body->len > limits->max_body ||
	    http_parse_content_length(&conn->parse) >
		    (int64_t)limits->max_body) {
		respond_error(conn, 413,
			      "the body of the request is too large\n");
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

static void refuse_full(ingress_conn_t *conn)
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
	refuse_full(conn);
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
			free_input(conn);
		if (!check_limits(conn))
			return;
		if (before < HTTP_STATE_BODY &&
		    conn->parse.state >= HTTP_STATE_BODY) {
			if (http_parse_has_body(&conn->parse) &&
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
		count_bytes(conn);
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
		count_bytes(conn);
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
		count_bytes(conn);
}

/*
 * Only a request that is being read can be refused as not run.  Behind one in
 * progress, the further ones can be left unread.
 */
static size_t droppable_bytes(const ingress_conn_t *conn, buffer_kind_t kind)
{
	if (kind == BUFFER_OUTPUT)
		return conn->counted_output;
	switch (conn->phase) {
	case INGRESS_READING:
		return conn->counted_requests - CONN_MEMORY;
	case INGRESS_BUSY:
		return conn->input->len;
	case INGRESS_IDLE:
	case INGRESS_LINGER:
		break;
	}
	return 0;
}

static ingress_conn_t *find_largest(const ingress_t *ingress,
				    buffer_kind_t kind)
{
	ingress_conn_t *conn, *largest = NULL;
	uint32_t cursor = 0;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL)
		if (droppable_bytes(conn, kind) > 0 &&
		    (largest == NULL || droppable_bytes(conn, kind) >
						droppable_bytes(largest, kind)))
			largest = conn;
	return largest;
}

static void drop(ingress_conn_t *conn, buffer_kind_t kind)
{
	if (kind == BUFFER_OUTPUT) {
		/* A truncated response must not look complete. */
		http_socket_abort(&conn->sock);
		ingress_conn_close(conn);
		return;
	}
	if (conn->phase == INGRESS_BUSY) {
		/* The connection closes after the answer in progress. */
		conn->close_after = true;
		free_input(conn);
		http_socket_watch_input(&conn->sock, false);
	} else {
		refuse_full(conn);
	}
	count_bytes(conn);
}

void ingress_conn_relieve(ingress_t *ingress, buffer_kind_t kind)
{
	const buffers_t *buffers = &ingress->kernel->buffers;
	ingress_conn_t *conn;

	while (!buffers_relieved(buffers) &&
	       (conn = find_largest(ingress, kind)) != NULL) {
		metrics_add(ingress->kernel->metrics, COUNTER_BUFFERS_DROPPED,
			    1);
		log_event(LOG_LEVEL_WARN, "ingress", "dropped",
			  "kind=%s phase=%s bytes=%zu "
			  "buffered=%" G_GUINT64_FORMAT,
			  buffers_kind_name(kind), phase_name(conn->phase),
			  droppable_bytes(conn, kind), buffers_total(buffers));
		drop(conn, kind);
	}
	kernel_buffers_relieved(ingress->kernel);
}

static int64_t header_limit(const ingress_conn_t *conn)
{
	return conn->ingress->limits.header_timeout_ms * USEC_PER_MSEC;
}

/*
 * Returns how long a connection without a request stays open.  One that has
 * had none yet makes room while no further caller can connect.
 */
static int64_t rest_limit(const ingress_conn_t *conn)
{
	if (http_socket_has_output(&conn->sock))
		return OUTPUT_TIMEOUT_US;
	if (conn->phase == INGRESS_LINGER)
		return LINGER_TIMEOUT_US;
	if (!conn->served && ingress_is_full(conn->ingress))
		return MIN(header_limit(conn), idle_limit(conn));
	return idle_limit(conn);
}

/*
 * Returns whether a caller reads its answer too slowly: over the idle limit,
 * and OUTPUT_TIMEOUT_US at least, it has taken neither all nor READ_RATE_MIN a
 * second.
 */
static bool reads_too_slowly(ingress_conn_t *conn, int64_t now)
{
	/* Sound callers pause for seconds before they read. */
	int64_t limit = MAX(idle_limit(conn), OUTPUT_TIMEOUT_US);
	uint64_t least = (uint64_t)(READ_RATE_MIN * limit / USEC_PER_SEC);
	uint64_t taken;

	if (!http_socket_has_output(&conn->sock)) {
		conn->read_since = 0;
		return false;
	}
	taken = http_socket_delivered(&conn->sock);
	if (conn->read_since == 0 || taken - conn->read_then >= least) {
		conn->read_since = now;
		conn->read_then = taken;
	}
	return now - conn->read_since > limit;
}

static void reset_slow_reader(ingress_conn_t *conn)
{
	metrics_add(conn->ingress->kernel->metrics, COUNTER_SLOW_READERS, 1);
	log_event(LOG_LEVEL_INFO, "ingress", "reads_too_slowly",
		  "phase=%s unread=%zu", phase_name(conn->phase),
		  http_socket_output_len(&conn->sock));
	http_socket_abort(&conn->sock);
	ingress_conn_close(conn);
}

/*
 * Returns the time for a request to arrive.  While no further caller can
 * connect, slow ones have less: sound heads come in one piece.
 */
static int64_t read_limit(const ingress_conn_t *conn)
{
	bool full = ingress_is_full(conn->ingress);

	if (conn->parse.state < HTTP_STATE_BODY)
		return full ? header_limit(conn) / FULL_HEAD_DIVISOR
			    : header_limit(conn);
	return full ? header_limit(conn) : idle_limit(conn);
}

static void sweep(ingress_conn_t *conn, int64_t now)
{
	int64_t age = now - conn->phase_since;

	if (reads_too_slowly(conn, now)) {
		reset_slow_reader(conn);
		return;
	}
	switch (conn->phase) {
	case INGRESS_IDLE:
		/* A request that has arrived is read in this iteration. */
		if (age > rest_limit(conn) &&
		    !http_socket_has_input(&conn->sock))
			ingress_conn_close(conn);
		break;
	case INGRESS_READING:
		/* A caller is not late if its input waits to be read. */
		if (http_socket_has_input(&conn->sock))
			break;
		if (age <= read_limit(conn))
			break;
		respond_error(conn, 408,
			      conn->parse.state < HTTP_STATE_BODY
				      ? "the head did not come in time\n"
				      : "the body did not come in time\n");
		break;
	case INGRESS_BUSY:
		break;
	case INGRESS_LINGER:
		if (age > rest_limit(conn))
			ingress_conn_close(conn);
		break;
	}
}

static bool is_unfinished(const ingress_conn_t *conn)
{
	if (conn->sock.failed)
		return false;
	if (conn->phase == INGRESS_READING ||
	    http_socket_has_output(&conn->sock))
		return true;
	return conn->phase == INGRESS_IDLE &&
	       http_socket_has_input(&conn->sock);
}

bool ingress_conn_any_unfinished(const ingress_t *ingress)
{
	uint32_t cursor = 0;
	const ingress_conn_t *conn;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL)
		if (is_unfinished(conn))
			return true;
	return false;
}

void ingress_conn_make_room(ingress_t *ingress, listener_kind_t kind,
			    uint32_t most)
{
	ingress_conn_t *conn, *oldest = NULL;
	uint32_t cursor = 0, count = 0;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL) {
		if (conn->kind != kind || conn->phase == INGRESS_BUSY)
			continue;
		count++;
		if (oldest == NULL || conn->phase_since < oldest->phase_since)
			oldest = conn;
	}
	if (count >= most && oldest != NULL)
		ingress_conn_close(oldest);
}

void ingress_conn_sweep(ingress_t *ingress)
{
	int64_t now = kernel_now(ingress->kernel);
	uint32_t cursor = 0;
	ingress_conn_t *conn;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL) {
		handle_t self = conn->self;

		sweep(conn, now);
		/* What a slow caller reads is not reported one by one. */
		if (table_get(&ingress->conns, self) != NULL)
			count_bytes(conn);
	}
}
