#include "peer/conn.h"

#include "log/log.h"
#include "peer/kinds.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define READ_SIZE 16384 /* bytes per receive */
#define HANDSHAKE_FRAME_MAX 1024 /* bytes, until the peer is authenticated */
#define KEEPALIVE_S 1
#define KEEPALIVE_PROBES 2
/* Time for data to be acknowledged. */
#define USER_TIMEOUT_MS 3000
#define BUFFER_RETAIN_MAX 65536 /* bytes kept allocated while empty */

void peer_conn_free(conn_t *conn)
{
	pollset_remove(&conn->peer->kernel->pollset, &conn->watch);
	window_finish(&conn->window, &conn->peer->kernel->pollset.windows);
	g_socket_close(conn->socket, NULL);
	g_object_unref(conn->stream);
	g_byte_array_unref(conn->input);
	g_byte_array_unref(conn->output);
	g_byte_array_unref(conn->hello_sent);
	g_byte_array_unref(conn->hello_received);
	table_remove(&conn->peer->conns, conn->self);
}

void peer_conn_close(conn_t *conn, const char *reason)
{
	peer_t *peer = conn->peer;
	handle_t dialler = conn->dialler;
	bool was_up = conn->state == CONN_UP;

	log_event(LOG_LEVEL_INFO, "peer", "closed", "peer=%s reason=%s",
		  log_quote(conn->remote.incarnation), log_quote(reason));
	peer_conn_down(peer, conn);
	peer_conn_free(conn);
	peer_dial_conn_closed(peer, dialler, was_up);
}

static void close_protocol_error(conn_t *conn, const char *reason)
{
	metrics_add(conn->peer->kernel->metrics, COUNTER_PEER_FRAMES_BAD, 1);
	peer_conn_close(conn, reason);
}

/*
 * Empties a buffer that holds size bytes.  A large buffer is freed, so that one
 * large frame does not keep its memory allocated.
 */
static void reset_buffer(GByteArray **buffer, guint size)
{
	if (size <= BUFFER_RETAIN_MAX) {
		g_byte_array_set_size(*buffer, 0);
		return;
	}
	g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
}

void peer_conn_flush(conn_t *conn)
{
	GError *error = NULL;
	gssize n;

	n = g_socket_send(conn->socket,
			  (const gchar *)conn->output->data + conn->written,
			  conn->output->len - conn->written, NULL, &error);
	if (n < 0) {
		/* A failed connection is closed by on_ready(). */
		g_clear_error(&error);
		return;
	}
	conn->written += (guint)n;
	traffic_sent(&conn->peer->kernel->pollset.traffic, (size_t)n);
	metrics_add(conn->peer->kernel->metrics, COUNTER_PEER_BYTES_OUT,
		    (uint64_t)n);
	if (conn->written == conn->output->len) {
		reset_buffer(&conn->output, conn->output->len);
		conn->written = 0;
	} else if (conn->written > BUFFER_RETAIN_MAX) {
		g_byte_array_remove_range(conn->output, 0, conn->written);
		conn->written = 0;
	}
}

static void on_writable(conn_t *conn)
{
	peer_conn_flush(conn);
	if (conn->output->len == 0)
		pollset_set(&conn->peer->kernel->pollset, conn->watch,
			    POLLSET_IN);
}

/*
 * Frames queued in the same iteration of the main loop are written together by
 * on_ready().
 */
bool peer_conn_send(conn_t *conn, const uint8_t *data, size_t len)
{
	if (conn->output->len - conn->written + len > PEER_OUTPUT_MAX) {
		peer_conn_close(conn, "output buffer is full");
		return false;
	}
	g_byte_array_append(conn->output, data, (guint)len);
	conn->last_sent = kernel_now(conn->peer->kernel);
	metrics_add(conn->peer->kernel->metrics, COUNTER_PEER_FRAMES_OUT, 1);
	pollset_set(&conn->peer->kernel->pollset, conn->watch,
		    POLLSET_IN | POLLSET_OUT);
	return true;
}

static bool takes_length(const conn_t *conn, size_t len)
{
	return len <= PEER_FRAME_FORMER_MAX + PEER_FRAME_HEADER_SIZE ||
	       (conn->kinds & PEER_KINDS_LONG_FRAMES) != 0;
}

bool peer_conn_takes(conn_t *conn, peer_kind_t kind, size_t len)
{
	if (peer_kind_is_known(conn->kinds, kind) && takes_length(conn, len))
		return true;
	metrics_add(conn->peer->kernel->metrics, COUNTER_PEER_FRAMES_WITHHELD,
		    1);
	if (!conn->withheld_logged)
		log_event(LOG_LEVEL_INFO, "peer", "kind_not_sent",
			  "peer=%s kind=%d bytes=%zu "
			  "kinds=%" G_GINT64_MODIFIER "x",
			  log_quote(conn->remote.incarnation), (int)kind, len,
			  conn->kinds);
	conn->withheld_logged = true;
	return false;
}

static bool send_frame(conn_t *conn, const peer_frame_t *frame)
{
	GByteArray *scratch = conn->peer->scratch;

	g_byte_array_set_size(scratch, 0);
	if (!peer_encode(frame, scratch, &conn->peer->err)) {
		peer_conn_close(conn, conn->peer->err.text);
		return false;
	}
	return peer_conn_send(conn, scratch->data, scratch->len);
}

/* Computes the proof of this side if by_local is set, else the peer's proof. */
static void compute_proof(const conn_t *conn, bool by_local, uint8_t *proof)
{
	bool dialled = !handle_is_none(conn->dialler);

	peer_auth_proof(conn->peer->opts.key, by_local == dialled,
			dialled ? conn->hello_sent : conn->hello_received,
			dialled ? conn->hello_received : conn->hello_sent,
			proof);
}

static bool process_hello(conn_t *conn, const peer_frame_t *hello,
			  const uint8_t *data, size_t len)
{
	peer_frame_t proof = {.kind = FRAME_PROOF};
	dialler_t *dialler = table_get(&conn->peer->diallers, conn->dialler);

	conn->remote = hello->u.hello.self;
	conn->kinds = hello->u.hello.kinds;
	if (strcmp(conn->remote.incarnation,
		   conn->peer->opts.self.incarnation) == 0) {
		if (dialler != NULL)
			dialler->own_address = true;
		peer_conn_close(conn, "connected to itself");
		return false;
	}
	if (conn->remote.incarnation[0] == '\0') {
		close_protocol_error(conn, "hello has no incarnation");
		return false;
	}
	if (dialler != NULL && dialler->incarnation[0] != '\0' &&
	    strcmp(dialler->incarnation, conn->remote.incarnation) != 0) {
		peer_conn_close(conn, "address belongs to another incarnation");
		return false;
	}
	g_byte_array_append(conn->hello_received, data, (guint)len);
	compute_proof(conn, true, proof.u.proof);
	conn->state = CONN_PROOF;
	return send_frame(conn, &proof);
}

static bool process_proof(conn_t *conn, const peer_frame_t *frame)
{
	handle_t self = conn->self;
	peer_t *peer = conn->peer;
	uint8_t expected[PEER_PROOF_SIZE];

	compute_proof(conn, false, expected);
	if (!peer_auth_equal(expected, frame->u.proof, sizeof(expected))) {
		metrics_add(peer->kernel->metrics, COUNTER_PEER_AUTH_FAILED, 1);
		log_event(LOG_LEVEL_WARN, "peer", "auth_failed", "claimed=%s",
			  log_quote(conn->remote.name));
		peer_conn_close(conn, "authentication failed");
		return false;
	}
	conn->state = CONN_UP;
	peer_conn_up(peer, conn);
	return table_get(&peer->conns, self) != NULL;
}

static bool process_body(conn_t *conn, peer_frame_t *frame)
{
	peer_body_t *body = frame->u.body;
	handle_t self = conn->self;
	peer_t *peer = conn->peer;

	if (body->kind == PEER_HEARTBEAT &&
	    strcmp(body->u.heartbeat.self.incarnation,
		   conn->remote.incarnation) != 0) {
		close_protocol_error(conn,
				     "heartbeat names another incarnation");
		return false;
	}
	frame->u.body = NULL;
	peer_body_received(peer, conn, body);
	return table_get(&peer->conns, self) != NULL;
}

/* Counts what an authenticated peer of a newer build sent and is skipped. */
static void note_skipped(conn_t *conn, const peer_frame_t *frame)
{
	metrics_t *metrics = conn->peer->kernel->metrics;

	if (frame->kind == FRAME_UNKNOWN) {
		metrics_add(metrics, COUNTER_PEER_FRAMES_UNKNOWN, 1);
		if (!conn->unknown_logged)
			log_event(LOG_LEVEL_INFO, "peer", "kind_unknown",
				  "peer=%s kind=%" G_GUINT64_FORMAT,
				  log_quote(conn->remote.incarnation),
				  frame->u.unknown);
		conn->unknown_logged = true;
	}
	if (frame->extra_fields > 0) {
		metrics_add(metrics, COUNTER_PEER_FIELDS_UNKNOWN,
			    frame->extra_fields);
		if (!conn->extra_logged)
			log_event(LOG_LEVEL_INFO, "peer", "fields_unknown",
				  "peer=%s kind=%d fields=%u",
				  log_quote(conn->remote.incarnation),
				  frame->kind == FRAME_BODY
					  ? (int)frame->u.body->kind
					  : -1,
				  frame->extra_fields);
		conn->extra_logged = true;
	}
}

/* Processes a frame with its header.  Returns false if conn was closed. */
static bool process_frame(conn_t *conn, const uint8_t *data, size_t len)
{
	peer_frame_t frame;
	bool open = true;

	metrics_add(conn->peer->kernel->metrics, COUNTER_PEER_FRAMES_IN, 1);
	if (!peer_decode(data + PEER_FRAME_HEADER_SIZE,
			 len - PEER_FRAME_HEADER_SIZE, &frame,
			 &conn->peer->err)) {
		close_protocol_error(conn, conn->peer->err.text);
		return false;
	}
	if (conn->state == CONN_UP)
		note_skipped(conn, &frame);
	if (frame.kind == FRAME_HELLO && conn->state == CONN_HELLO)
		open = process_hello(conn, &frame, data, len);
	else if (frame.kind == FRAME_PROOF && conn->state == CONN_PROOF)
		open = process_proof(conn, &frame);
	else if (frame.kind == FRAME_BODY && conn->state == CONN_UP)
		open = process_body(conn, &frame);
	else if ((frame.kind != FRAME_PING && frame.kind != FRAME_UNKNOWN) ||
		 conn->state != CONN_UP) {
		close_protocol_error(conn, "unexpected frame");
		open = false;
	}
	peer_frame_clear(&frame);
	return open;
}

/* Processes all complete frames, unless one of them closes conn. */
static void process_input(conn_t *conn)
{
	guint offset = 0, size = conn->input->len;
	size_t len = 0;
	frame_status_t status;

	for (;;) {
		status = peer_frame_find(conn->input->data + offset,
					 size - offset, &len);
		if (status == FRAME_BAD ||
		    (len > HANDSHAKE_FRAME_MAX && conn->state != CONN_UP)) {
			close_protocol_error(conn,
					     "frame length is out of range");
			return;
		}
		if (status == FRAME_PARTIAL)
			break;
		len += PEER_FRAME_HEADER_SIZE;
		if (!process_frame(conn, conn->input->data + offset, len))
			return;
		offset += (guint)len;
		len = 0;
	}
	if (offset == size)
		reset_buffer(&conn->input, size);
	else if (offset > 0)
		g_byte_array_remove_range(conn->input, 0, offset);
}

static void on_readable(conn_t *conn)
{
	gchar buffer[READ_SIZE];
	GError *error = NULL;
	gssize n;

	n = g_socket_receive(conn->socket, buffer, sizeof(buffer), NULL,
			     &error);
	if (n < 0 &&
	    g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_clear_error(&error);
		return;
	}
	if (n <= 0) {
		peer_conn_close(conn,
				n == 0 ? "closed by the peer" : error->message);
		g_clear_error(&error);
		return;
	}
	metrics_add(conn->peer->kernel->metrics, COUNTER_PEER_BYTES_IN,
		    (uint64_t)n);
	traffic_received(&conn->peer->kernel->pollset.traffic, (size_t)n);
	if (conn->state == CONN_UP)
		window_received(&conn->window,
				&conn->peer->kernel->pollset.windows,
				g_socket_get_fd(conn->socket), (size_t)n);
	conn->last_received = kernel_now(conn->peer->kernel);
	g_byte_array_append(conn->input, (const guint8 *)buffer, (guint)n);
	process_input(conn);
}

static void on_ready(void *data, unsigned ready)
{
	conn_t *conn = data;

	/* The last frames of a lost connection are read before it is closed. */
	if (ready == POLLSET_OUT || ready == (POLLSET_IN | POLLSET_OUT))
		on_writable(conn);
	if ((ready & ~POLLSET_OUT) != 0)
		on_readable(conn);
}

static void send_hello(conn_t *conn)
{
	peer_frame_t hello = {.kind = FRAME_HELLO};

	hello.u.hello.self = conn->peer->opts.self;
	hello.u.hello.kinds = peer_kinds_own();
	if (!peer_auth_nonce(hello.u.hello.nonce) ||
	    !peer_encode(&hello, conn->hello_sent, &conn->peer->err)) {
		peer_conn_close(conn, "cannot create the hello");
		return;
	}
	peer_conn_send(conn, conn->hello_sent->data, conn->hello_sent->len);
}

/*
 * The operating system probes idle connections, which finds a lost peer without
 * waking up either process.  Where a user timeout is set, it decides when the
 * system gives up, whatever the number of probes: with the first probe after
 * it.
 */
static void set_options(GSocket *socket)
{
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    USER_TIMEOUT_MS, NULL);
}

void peer_conn_open(peer_t *peer, GSocketConnection *stream, handle_t dialler)
{
	conn_t *conn;
	handle_t self = table_add(&peer->conns, (void **)&conn);
	dialler_t *entry = table_get(&peer->diallers, dialler);

	conn->peer = peer;
	conn->self = self;
	conn->dialler = dialler;
	if (entry != NULL)
		entry->conn = self;
	conn->stream = g_object_ref(stream);
	conn->socket = g_socket_connection_get_socket(stream);
	conn->input = g_byte_array_new();
	conn->output = g_byte_array_new();
	conn->hello_sent = g_byte_array_new();
	conn->hello_received = g_byte_array_new();
	conn->opened = kernel_now(peer->kernel);
	conn->last_sent = conn->opened;
	conn->last_received = conn->opened;
	g_socket_set_blocking(conn->socket, FALSE);
	set_options(conn->socket);
	window_init(&conn->window);
	if (peer->kernel->pollset.windows.least > 0)
		windows_apply(g_socket_get_fd(conn->socket),
			      peer->kernel->pollset.windows.least);
	conn->watch = pollset_add(&peer->kernel->pollset,
				  g_socket_get_fd(conn->socket), POLLSET_IN,
				  on_ready, conn);
	if (handle_is_none(conn->watch))
		peer_conn_close(conn, g_strerror(errno));
	else
		send_hello(conn);
}
