#include "dispatch/call.h"

#include "dispatch/body.h"
#include "dispatch/head.h"
#include "dispatch/order.h"
#include "dispatch/statement.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#define READ_SIZE 16384 /* bytes read from a target at a time */
#define READS_PER_TURN_MAX 4 /* reads from a target in a loop iteration */
/* Bytes of an unwanted response read so that the connection can be reused. */
#define DISCARD_BYTES_MAX 65536
#define TIMEOUT_MS_DEFAULT 60000 /* replaces a timeout of 0 */

static void read_more(call_t *call);

void call_post(call_t *call, msg_t *msg)
{
	if (call->is_order) {
		order_recv(call, msg);
		return;
	}
	msg->ref = call->owner_ref;
	msg->id = call->self;
	kernel_post(call->dispatch->kernel, call->dispatch->svc, call->owner,
		    msg);
}

static void free_call(call_t *call)
{
	kernel_timer_cancel(call->dispatch->kernel, &call->timer);
	if (call->msg != NULL)
		g_signal_handlers_disconnect_by_data(call->msg, call);
	g_clear_object(&call->stream);
	g_clear_object(&call->msg);
	g_clear_object(&call->socket);
	g_clear_object(&call->cancellable);
	tokens_finish(&call->tokens);
	table_remove(&call->dispatch->calls, call->self);
}

static void on_closed(GObject *source, GAsyncResult *result, gpointer data)
{
	call_t *call = data;

	g_input_stream_close_finish(G_INPUT_STREAM(source), result, NULL);
	call->pending = false;
	free_call(call);
}

/* Frees a call that has ended, once no operation is in progress. */
static void release(call_t *call)
{
	if (!call->ended || call->pending)
		return;
	if (call->stream == NULL) {
		free_call(call);
		return;
	}
	call->pending = true;
	g_input_stream_close_async(call->stream, G_PRIORITY_DEFAULT,
				   call->cancellable, on_closed, call);
}

static void post_failed(call_t *call, failure_t failure, bool reset)
{
	msg_t msg = {.kind = MSG_TARGET_FAILED};

	msg.u.target_failed.failure = failure;
	msg.u.target_failed.reset = reset;
	call_post(call, &msg);
	call->ended = true;
}

static void close_connection(call_t *call)
{
	kernel_timer_cancel(call->dispatch->kernel, &call->timer);
	g_cancellable_cancel(call->cancellable);
	release(call);
}

/* Ends the call and closes its connection. */
static void fail(call_t *call, failure_t failure, bool reset)
{
	if (!call->ended)
		post_failed(call, failure, reset);
	close_connection(call);
}

static int64_t next_timeout(const call_t *call)
{
	int64_t timeout = call->last_progress +
			  (call->stream == NULL ? call->first_byte_timeout_us
						: call->idle_timeout_us);

	return call->paused ? call->deadline : MIN(timeout, call->deadline);
}

static void arm_timer(call_t *call)
{
	kernel_t *kernel = call->dispatch->kernel;
	int64_t wait = next_timeout(call) - kernel_now(kernel);

	kernel_timer_cancel(kernel, &call->timer);
	call->timer = kernel_timer(kernel, call->dispatch->svc, MAX(wait, 0),
				   call->self, 0);
}

/*
 * Reads only update call->last_progress.  The timer fires at the old time and
 * is set again here, which is cheaper than a new timer for each read.
 */
static void on_timer(call_t *call)
{
	int64_t now = kernel_now(call->dispatch->kernel);

	call->timer = HANDLE_NONE;
	if (now >= call->deadline)
		fail(call, FAILURE_DEADLINE, false);
	else if (now >= next_timeout(call))
		fail(call, FAILURE_SILENT, false);
	else
		arm_timer(call);
}

static bool is_connection_reset(const GError *error)
{
	return g_error_matches(error, G_IO_ERROR,
			       G_IO_ERROR_CONNECTION_CLOSED) ||
	       g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT);
}

static void post_head(call_t *call, SoupMessageHeaders *headers,
		      uint32_t status)
{
	const char *type =
		soup_message_headers_get_one(headers, "Content-Type");
	msg_t msg = {.kind = MSG_TARGET_HEAD};

	if (type == NULL)
		type = "";
	tokens_init(&call->tokens, g_str_has_prefix(type, "text/event-stream"));
	msg.u.target_head.status = status;
	g_strlcpy(msg.u.target_head.content_type, type,
		  sizeof(msg.u.target_head.content_type));
	call_post(call, &msg);
}

static void post_end(call_t *call)
{
	tokens_t *tokens = &call->tokens;
	msg_t msg = {.kind = MSG_TARGET_END};

	if (call->is_model)
		tokens_end(tokens);
	msg.u.target_end.usage_known = tokens->usage_known;
	msg.u.target_end.prompt_tokens = tokens->prompt_tokens;
	msg.u.target_end.completion_tokens = tokens->usage_known
						     ? tokens->completion_tokens
						     : tokens->content_records;
	call_post(call, &msg);
	call->ended = true;
	kernel_timer_cancel(call->dispatch->kernel, &call->timer);
}

static bool connection_is_open(const call_t *call)
{
	ssize_t got;
	char byte;

	if (call->socket == NULL || g_socket_is_closed(call->socket))
		return false;
	got = recv(g_socket_get_fd(call->socket), &byte, 1,
		   MSG_PEEK | MSG_DONTWAIT);
	return got > 0 || (got < 0 && errno == EAGAIN);
}

/*
 * libsoup reports a truncated chunked response as a complete one.  After
 * truncation the connection is at its end; after the last chunk the connection
 * is still open, unless the target closes it without being asked to.  For a
 * response that is delimited by the end of the connection, the state of the
 * connection proves nothing, and a response with a truncated head looks like
 * such a response.  Where the connection proves nothing, the content of the
 * response has to show that the response is complete, or, if it has none, the
 * size of its head.
 */
static bool response_is_complete(call_t *call)
{
	switch (call->encoding) {
	case SOUP_ENCODING_NONE:
		return connection_is_open(call) || head_has_end(call->msg);
	case SOUP_ENCODING_CONTENT_LENGTH:
		return call->received > 0 || connection_is_open(call) ||
		       head_has_end(call->msg);
	case SOUP_ENCODING_CHUNKED:
		if (connection_is_open(call))
			return true;
		break;
	default:
		break;
	}
	if (!call->is_model)
		return false;
	tokens_end(&call->tokens);
	return call->tokens.sse ? call->tokens.done : call->tokens.usage_known;
}

static void on_end(call_t *call)
{
	if (!call->ended && !response_is_complete(call)) {
		fail(call, FAILURE_STREAM, true);
		return;
	}
	/*
	 * A failing engine may still complete its HTTP response, but without
	 * [DONE].
	 */
	if (!call->ended && call->is_model && call->tokens.sse &&
	    !call->tokens.done) {
		fail(call, FAILURE_STREAM, false);
		return;
	}
	if (!call->ended)
		post_end(call);
	release(call);
}

static void post_data(call_t *call, GBytes *bytes)
{
	msg_t msg = {.kind = MSG_TARGET_DATA};

	if (call->is_model)
		msg.u.target_data.tokens = tokens_feed(
			&call->tokens, g_bytes_get_data(bytes, NULL),
			g_bytes_get_size(bytes));
	msg.u.target_data.marker = call->tokens.done;
	msg.u.target_data.bytes = g_bytes_ref(bytes);
	call_post(call, &msg);
}

/* Handles the bytes of one read.  Returns false if reading must stop. */
static bool handle_bytes(call_t *call, const char *buffer, gsize size)
{
	GBytes *bytes;

	if (call->discard) {
		call->discarded += (uint32_t)size;
		if (call->discarded <= DISCARD_BYTES_MAX)
			return true;
		fail(call, FAILURE_NONE, false);
		return false;
	}
	if (call->ended) {
		release(call);
		return false;
	}
	call->received += size;
	bytes = g_bytes_new(buffer, size);
	post_data(call, bytes);
	g_bytes_unref(bytes);
	return true;
}

static gboolean on_readable(GObject *stream, gpointer data)
{
	call_t *call = data;
	kernel_t *kernel = call->dispatch->kernel;

	(void)stream;
	call->pending = false;
	/* Reading stops if the call ended while it waited for data. */
	if (call->ended && !call->discard)
		release(call);
	else
		read_more(call);
	kernel_flush(kernel);
	return G_SOURCE_REMOVE;
}

static void wait_readable(call_t *call)
{
	GSource *source = g_pollable_input_stream_create_source(
		G_POLLABLE_INPUT_STREAM(call->stream), call->cancellable);

	call->pending = true;
	g_source_set_callback(source, G_SOURCE_FUNC(on_readable), call, NULL);
	g_source_attach(source, NULL);
	g_source_unref(source);
}

/*
 * Reads the data that has arrived without blocking.  An asynchronous read would
 * take an iteration of the event loop for each part of a small response, and
 * would need a buffer of full size.
 */
static void read_more(call_t *call)
{
	char buffer[READ_SIZE];
	GError *error = NULL;
	gssize size;

	if (call->paused || call->pending || call->stream == NULL)
		return;
	for (int i = 0; i < READS_PER_TURN_MAX; i++) {
		size = g_pollable_input_stream_read_nonblocking(
			G_POLLABLE_INPUT_STREAM(call->stream), buffer,
			sizeof(buffer), call->cancellable, &error);
		if (size < 0)
			break;
		call->last_progress = kernel_now(call->dispatch->kernel);
		if (size == 0) {
			on_end(call);
			return;
		}
		if (!handle_bytes(call, buffer, (gsize)size))
			return;
	}
	if (error == NULL ||
	    g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		wait_readable(call);
	else
		fail(call, FAILURE_STREAM, is_connection_reset(error));
	g_clear_error(&error);
}

/*
 * libsoup does not report whether a part of the head had arrived.  Therefore
 * only a malformed head is FAILURE_HEAD, and any other loss after the start of
 * the request is FAILURE_SENT.
 */
static void on_head_error(call_t *call, const GError *error)
{
	failure_t failure = FAILURE_SENT;

	if (!call->started)
		failure = FAILURE_CONNECT;
	else if (error->domain == SOUP_SESSION_ERROR)
		failure = FAILURE_HEAD;
	fail(call, failure, call->started && is_connection_reset(error));
}

static void on_network_event(SoupMessage *msg, GSocketClientEvent event,
			     GIOStream *connection, call_t *call)
{
	(void)msg;
	if (event != G_SOCKET_CLIENT_COMPLETE ||
	    !G_IS_SOCKET_CONNECTION(connection))
		return;
	g_clear_object(&call->socket);
	call->socket = g_object_ref(g_socket_connection_get_socket(
		G_SOCKET_CONNECTION(connection)));
}

typedef struct socket_entry_t {
	GHashTable *sockets;
	gint64 id;
} socket_entry_t;

static void on_socket_finalized(gpointer data, GObject *socket)
{
	socket_entry_t *entry = data;

	(void)socket;
	g_hash_table_remove(entry->sockets, &entry->id);
	g_hash_table_unref(entry->sockets);
	g_free(entry);
}

/*
 * A reused connection emits no network events, so its socket is looked up by
 * the id of the connection.
 */
static void find_socket(call_t *call)
{
	GHashTable *sockets = call->dispatch->sockets;
	gint64 id = (gint64)soup_message_get_connection_id(call->msg);
	socket_entry_t *entry;
	gint64 *key;

	if (call->socket == NULL) {
		call->socket = g_hash_table_lookup(sockets, &id);
		if (call->socket != NULL)
			g_object_ref(call->socket);
		return;
	}
	key = g_new(gint64, 1);
	*key = id;
	g_hash_table_insert(sockets, key, call->socket);
	entry = g_new(socket_entry_t, 1);
	entry->sockets = g_hash_table_ref(sockets);
	entry->id = id;
	g_object_weak_ref(G_OBJECT(call->socket), on_socket_finalized, entry);
}

/*
 * A response without a body is complete, whatever length its head states, so
 * its encoding must not be taken from the head.
 */
static bool has_body(SoupMessage *msg, uint32_t status)
{
	return status != 204 && status != 304 &&
	       strcmp(soup_message_get_method(msg), "HEAD") != 0;
}

static void handle_head(call_t *call, SoupSession *session,
			GAsyncResult *result)
{
	SoupMessageHeaders *headers;
	GError *error = NULL;
	uint32_t status;

	call->stream = soup_session_send_finish(session, result, &error);
	call->pending = false;
	if (call->stream == NULL) {
		on_head_error(call, error);
		g_error_free(error);
		return;
	}
	if (call->ended) {
		release(call);
		return;
	}
	call->last_progress = kernel_now(call->dispatch->kernel);
	arm_timer(call);
	headers = soup_message_get_response_headers(call->msg);
	status = soup_message_get_status(call->msg);
	call->encoding = has_body(call->msg, status)
				 ? soup_message_headers_get_encoding(headers)
				 : SOUP_ENCODING_NONE;
	find_socket(call);
	statement_report_load(call, headers);
	if (!statement_refuses(call, headers, status))
		post_head(call, headers, status);
	if (call->ended && !call->discard)
		close_connection(call);
	else
		read_more(call);
}

static void on_head(GObject *source, GAsyncResult *result, gpointer data)
{
	call_t *call = data;
	kernel_t *kernel = call->dispatch->kernel;

	handle_head(call, SOUP_SESSION(source), result);
	kernel_flush(kernel);
}

static void on_starting(SoupMessage *msg, call_t *call)
{
	(void)msg;
	/*
	 * Connecting may have lasted beyond send_before, and this is the last
	 * moment at which an order can be withheld.
	 */
	if (order_send_expired(call)) {
		fail(call, FAILURE_DEADLINE, false);
		return;
	}
	call->started = true;
}

/*
 * libsoup resends some requests by itself when a reused connection turns out to
 * be closed.  The call is cancelled instead, because its owner decides whether
 * to retry.
 */
static void on_restarted(SoupMessage *msg, call_t *call)
{
	(void)msg;
	g_cancellable_cancel(call->cancellable);
}

static bool reuses_connection(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PATCH") == 0;
}

static SoupMessage *new_message(const msg_t *msg)
{
	bool v6 = strchr(msg->u.send.host, ':') != NULL;
	SoupMessage *message;
	char *uri;

	uri = g_strdup_printf("http://%s%s%s:%u%s", v6 ? "[" : "",
			      msg->u.send.host, v6 ? "]" : "", msg->u.send.port,
			      msg->u.send.path);
	message = soup_message_new(msg->u.send.method, uri);
	g_free(uri);
	if (message == NULL)
		return NULL;
	/*
	 * libsoup resends GET, HEAD, PUT and DELETE when a reused connection
	 * turns out to be stale, so these methods get a new connection.
	 * libsoup never resends POST and PATCH, and the flag IDEMPOTENT only
	 * lets them reuse connections.
	 */
	soup_message_set_flags(message,
			       SOUP_MESSAGE_NO_REDIRECT |
				       (reuses_connection(msg->u.send.method)
						? SOUP_MESSAGE_IDEMPOTENT
						: SOUP_MESSAGE_NEW_CONNECTION));
	return message;
}

static void set_headers(SoupMessage *message, const msg_t *msg)
{
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	char text[16];

	g_snprintf(text, sizeof(text), "%d", msg->u.send.priority);
	soup_message_headers_replace(headers, "X-Request-Id",
				     msg->u.send.request_id);
	soup_message_headers_replace(headers, "X-Request-Priority", text);
}

/* Returns false if the request is not valid. */
static bool prepare_message(call_t *call, const msg_t *msg)
{
	const char *type = msg->u.send.content_type;
	GBytes *body = NULL;

	call->msg = new_message(msg);
	if (call->msg == NULL)
		return false;
	set_headers(call->msg, msg);
	if (msg->u.send.model) {
		body = body_rewrite(msg->u.send.body, msg->u.send.max_tokens);
		if (body == NULL)
			return false;
	} else if (msg->u.send.body != NULL) {
		body = g_bytes_ref(msg->u.send.body);
	}
	if (body != NULL && g_bytes_get_size(body) > 0)
		soup_message_set_request_body_from_bytes(
			call->msg, type[0] != '\0' ? type : NULL, body);
	g_clear_pointer(&body, g_bytes_unref);
	soup_message_add_flags(call->msg, SOUP_MESSAGE_COLLECT_METRICS);
	g_signal_connect(call->msg, "starting", G_CALLBACK(on_starting), call);
	g_signal_connect(call->msg, "network-event",
			 G_CALLBACK(on_network_event), call);
	g_signal_connect(call->msg, "restarted", G_CALLBACK(on_restarted),
			 call);
	return true;
}

static int64_t timeout_us(uint32_t ms)
{
	return (ms == 0 ? TIMEOUT_MS_DEFAULT : ms) * USEC_PER_MSEC;
}

static call_t *new_call(dispatch_t *dispatch, const msg_t *msg)
{
	call_t *call;
	handle_t self = table_add(&dispatch->calls, (void **)&call);

	call->dispatch = dispatch;
	call->self = self;
	call->owner = msg->from;
	call->owner_ref = msg->id;
	call->is_model = msg->u.send.model;
	call->port = msg->u.send.port;
	g_strlcpy(call->host, msg->u.send.host, sizeof(call->host));
	call->first_byte_timeout_us = timeout_us(msg->u.send.first_byte_ms);
	call->idle_timeout_us = timeout_us(msg->u.send.idle_ms);
	call->deadline =
		msg->u.send.deadline > 0 ? msg->u.send.deadline : G_MAXINT64;
	call->last_progress = kernel_now(dispatch->kernel);
	call->cancellable = g_cancellable_new();
	return call;
}

static void start_call(call_t *call, const msg_t *msg)
{
	if (!prepare_message(call, msg)) {
		fail(call, FAILURE_CONNECT, false);
		return;
	}
	arm_timer(call);
	call->pending = true;
	soup_session_send_async(call->dispatch->session, call->msg,
				G_PRIORITY_DEFAULT, call->cancellable, on_head,
				call);
}

void call_open(dispatch_t *dispatch, const msg_t *msg)
{
	msg_t started = {.kind = MSG_SEND_STARTED};
	call_t *call = new_call(dispatch, msg);

	call_post(call, &started);
	start_call(call, msg);
}

void call_open_order(dispatch_t *dispatch, const msg_t *msg,
		     int64_t send_before)
{
	call_t *call = new_call(dispatch, msg);

	call->is_order = true;
	call->send_before = send_before;
	if (order_send_expired(call))
		fail(call, FAILURE_DEADLINE, false);
	else
		start_call(call, msg);
}

void call_abort(call_t *call)
{
	call->ended = true;
	fail(call, FAILURE_NONE, false);
}

void call_recv(dispatch_t *dispatch, const msg_t *msg)
{
	call_t *call = table_get(&dispatch->calls, msg->ref);

	if (call == NULL)
		return;
	if (msg->kind == MSG_TIMER) {
		on_timer(call);
		return;
	}
	if (call->ended)
		return;
	if (msg->kind == MSG_SEND_CANCEL) {
		fail(call, FAILURE_CANCELLED, false);
	} else if (msg->kind == MSG_SEND_PAUSE) {
		call->paused = true;
	} else if (msg->kind == MSG_SEND_RESUME && call->paused) {
		call->paused = false;
		call->last_progress = kernel_now(dispatch->kernel);
		arm_timer(call);
		read_more(call);
	}
}
