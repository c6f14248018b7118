#define _GNU_SOURCE /* POLLRDHUP */

#include "front/stream.h"

#include "front/caller.h"
#include "front/refusal.h"

#include <glib-unix.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#define WATCH_DELAY_US (50 * USEC_PER_MSEC)
#define TIMER_SEND_HEAD 1

static void post(stream_t *stream, msg_kind_t kind)
{
	msg_t msg = {.kind = kind, .ref = stream->request, .id = stream->self};

	kernel_post(stream->front->kernel, stream->front->svc,
		    stream->front->request, &msg);
}

static void adjust_key_count(front_t *front, const char *hash, int change)
{
	guint count = GPOINTER_TO_UINT(
		g_hash_table_lookup(front->streams_per_key, hash));

	count = (guint)((int)count + change);
	if (count == 0)
		g_hash_table_remove(front->streams_per_key, hash);
	else
		g_hash_table_insert(front->streams_per_key, g_strdup(hash),
				    GUINT_TO_POINTER(count));
}

static void release_message(stream_t *stream)
{
	if (stream->watch != NULL) {
		g_source_destroy(stream->watch);
		g_clear_pointer(&stream->watch, g_source_unref);
	}
	if (stream->msg == NULL)
		return;
	g_signal_handlers_disconnect_by_data(stream->msg, stream);
	g_clear_object(&stream->msg);
}

void stream_free(stream_t *stream)
{
	front_t *front = stream->front;

	release_message(stream);
	adjust_key_count(front, stream->key_hash, -1);
	table_remove(&front->streams, stream->self);
	front_check_stopped(front);
}

/*
 * MSG_REQ_CANCEL needs the handle from MSG_REQ_STARTED, so a stream that is
 * closed before its request has started is kept until then.
 */
static void close_stream(stream_t *stream)
{
	release_message(stream);
	if (!stream->ended && handle_is_none(stream->request))
		return;
	if (!stream->ended && !stream->cancel_sent) {
		stream->cancel_sent = true;
		post(stream, MSG_REQ_CANCEL);
	}
	stream_free(stream);
}

static void on_finished(SoupServerMessage *msg, stream_t *stream)
{
	(void)msg;
	close_stream(stream);
}

static void on_wrote_body(SoupServerMessage *msg, guint size, stream_t *stream)
{
	(void)msg;
	stream->unsent -= MIN(stream->unsent, size);
	if (stream->paused && stream->unsent < stream->front->opts.low_water) {
		stream->paused = false;
		post(stream, MSG_REQ_RESUME);
	}
}

/*
 * Closes the connection so that the caller sees an incomplete response.  The
 * end of the connection completes an HTTP/1.0 response, so an HTTP/1.0
 * connection is reset instead.
 */
static void abort_message(stream_t *stream)
{
	SoupServerMessage *msg = stream->msg;
	GSocket *socket = caller_socket(msg);
	SoupMessageBody *body = soup_server_message_get_response_body(msg);
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (socket != NULL &&
	    soup_server_message_get_http_version(msg) == SOUP_HTTP_1_0) {
		setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
		g_socket_close(socket, NULL);
	} else if (socket != NULL) {
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	}
	if (!stream->head_set)
		soup_server_message_set_status(msg, 500, NULL);
	/* libsoup notices the closed socket at its next write. */
	soup_message_body_append(body, SOUP_MEMORY_STATIC, "\n", 1);
	soup_server_message_unpause(msg);
}

static gboolean on_hangup(gint fd, GIOCondition condition, gpointer data)
{
	stream_t *stream = data;

	(void)fd;
	(void)condition;
	g_source_destroy(stream->watch);
	g_clear_pointer(&stream->watch, g_source_unref);
	abort_message(stream);
	return G_SOURCE_REMOVE;
}

/*
 * libsoup does not poll the connection of a paused request.  POLLRDHUP
 * distinguishes a disconnect from a pipelined request.
 */
static void watch_caller(stream_t *stream)
{
	GSocket *socket = caller_socket(stream->msg);

	if (socket == NULL)
		return;
	stream->watch = g_unix_fd_source_new(g_socket_get_fd(socket),
					     (GIOCondition)POLLRDHUP |
						     G_IO_HUP | G_IO_ERR);
	g_source_set_callback(stream->watch, G_SOURCE_FUNC(on_hangup), stream,
			      NULL);
	g_source_attach(stream->watch, NULL);
}

void stream_watch_all(front_t *front)
{
	front->watch_timer = HANDLE_NONE;
	for (guint i = 0; i < front->unwatched->len; i++) {
		stream_t *stream =
			table_get(&front->streams,
				  g_array_index(front->unwatched, handle_t, i));

		if (stream != NULL && stream->msg != NULL)
			watch_caller(stream);
	}
	g_array_set_size(front->unwatched, 0);
}

/*
 * A watch costs two wake-ups and a turn of the loop, so a response that is
 * complete within WATCH_DELAY_US gets none.
 */
static void schedule_watch(stream_t *stream)
{
	front_t *front = stream->front;

	g_array_append_val(front->unwatched, stream->self);
	if (handle_is_none(front->watch_timer))
		front->watch_timer =
			kernel_timer(front->kernel, front->svc, WATCH_DELAY_US,
				     HANDLE_NONE, FRONT_TIMER_WATCH);
}

void stream_open(front_t *front, SoupServerMessage *msg, request_spec_t *spec)
{
	msg_t out = {.kind = MSG_REQ_OPEN};
	stream_t *stream;
	handle_t self = table_add(&front->streams, (void **)&stream);

	stream->front = front;
	stream->self = self;
	stream->msg = g_object_ref(msg);
	g_strlcpy(stream->request_id, spec->request_id,
		  sizeof(stream->request_id));
	g_strlcpy(stream->key_hash, spec->key_hash, sizeof(stream->key_hash));
	adjust_key_count(front, stream->key_hash, 1);
	g_signal_connect(msg, "finished", G_CALLBACK(on_finished), stream);
	g_signal_connect(msg, "wrote-body-data", G_CALLBACK(on_wrote_body),
			 stream);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(msg), FALSE);
	soup_server_message_pause(msg);
	schedule_watch(stream);
	out.id = self;
	out.u.open = spec;
	kernel_post(front->kernel, front->svc, front->request, &out);
}

static void set_header(SoupMessageHeaders *headers, const char *name,
		       const char *value)
{
	if (value[0] != '\0')
		soup_message_headers_replace(headers, name, value);
}

static void set_common_headers(front_t *front, SoupMessageHeaders *headers,
			       const char *request_id, run_state_t run)
{
	set_header(headers, "X-Request-Id", request_id);
	set_header(headers, "X-Request-State", run_state_name(run));
	if (front->stopping)
		set_header(headers, "Connection", "close");
}

/* A 503 with Retry-After invites a repeat, which is safe if nothing ran. */
static bool is_cut_by_stop(refusal_t reason, run_state_t run)
{
	return reason == REFUSAL_STOPPING && run != RUN_NOT_RUN;
}

void stream_refuse(front_t *front, SoupServerMessage *msg,
		   const char *request_id, refusal_t reason, run_state_t run,
		   uint32_t retry_after_s, const char *detail)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(msg);
	char *json = refusal_json(reason, run, request_id, detail);
	uint32_t retry_after = refusal_retry_after(reason, retry_after_s);
	uint32_t status = refusal_status(reason);
	char text[16];

	if (is_cut_by_stop(reason, run)) {
		status = refusal_status(REFUSAL_TARGET_FAILED);
		retry_after = 0;
	}
	set_common_headers(front, headers, request_id, run);
	if (retry_after > 0) {
		g_snprintf(text, sizeof(text), "%u", retry_after);
		set_header(headers, "Retry-After", text);
	}
	if (status == 401)
		set_header(headers, "WWW-Authenticate", "Bearer");
	soup_server_message_set_status(msg, status, NULL);
	soup_message_headers_set_content_length(headers, (goffset)strlen(json));
	soup_server_message_set_response(msg, "application/json",
					 SOUP_MEMORY_TAKE, json, strlen(json));
}

static void send_head(stream_t *stream)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(stream->msg);

	if (stream->head_sent)
		return;
	stream->head_sent = true;
	/* libsoup closes the connection after status 204 unannounced. */
	if (soup_server_message_get_status(stream->msg) == 204)
		set_header(headers, "Connection", "close");
	if (stream->ended) {
		soup_message_headers_set_content_length(
			headers, (goffset)stream->unsent);
	} else if (soup_server_message_get_http_version(stream->msg) ==
		   SOUP_HTTP_1_0) {
		soup_message_headers_set_encoding(headers, SOUP_ENCODING_EOF);
		set_header(headers, "Connection", "close");
	} else {
		soup_message_headers_set_encoding(headers,
						  SOUP_ENCODING_CHUNKED);
	}
	soup_server_message_unpause(stream->msg);
}

static void reply_head(stream_t *stream, const msg_t *msg)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(stream->msg);
	msg_t deferred = {.kind = MSG_TIMER, .ref = stream->self};
	front_t *front = stream->front;
	const char *type = msg->u.head.content_type;

	if (stream->head_set)
		return;
	stream->head_set = true;
	stream->sse = g_str_has_prefix(type, "text/event-stream");
	soup_server_message_set_status(stream->msg, msg->u.head.status, NULL);
	set_common_headers(front, headers, stream->request_id, RUN_RAN);
	set_header(headers, "Content-Type", type);
	set_header(headers, "Idempotency-Key", msg->u.head.idem_key);
	if (msg->u.head.replayed)
		set_header(headers, "Idempotent-Replayed", "true");
	/*
	 * MSG_TIMER is queued behind the messages that "request" has already
	 * sent in this turn of the loop.  If MSG_REPLY_END is among them, the
	 * response gets a Content-Length.
	 */
	deferred.u.timer.kind = TIMER_SEND_HEAD;
	kernel_post(front->kernel, front->svc, front->svc, &deferred);
}

static void append_body(stream_t *stream, GBytes *bytes)
{
	if (g_bytes_get_size(bytes) == 0)
		return;
	soup_message_body_append_bytes(
		soup_server_message_get_response_body(stream->msg), bytes);
	stream->unsent += g_bytes_get_size(bytes);
	if (stream->head_sent)
		soup_server_message_unpause(stream->msg);
	if (stream->unsent > stream->front->opts.high_water &&
	    !stream->paused && !stream->ended) {
		stream->paused = true;
		post(stream, MSG_REQ_PAUSE);
	}
}

static void reply_end(stream_t *stream)
{
	stream->ended = true;
	stream->paused = false;
	if (stream->msg == NULL) {
		stream_free(stream);
		return;
	}
	soup_message_body_complete(
		soup_server_message_get_response_body(stream->msg));
	if (stream->head_sent)
		soup_server_message_unpause(stream->msg);
	else
		send_head(stream);
}

static void reply_refused(stream_t *stream, const msg_t *msg)
{
	SoupMessageHeaders *headers;

	stream->ended = true;
	stream->paused = false;
	if (stream->msg == NULL) {
		stream_free(stream);
		return;
	}
	headers = soup_server_message_get_response_headers(stream->msg);
	/* Clears the fields of a head that was set but not sent. */
	soup_message_headers_clear(headers);
	soup_message_body_truncate(
		soup_server_message_get_response_body(stream->msg));
	set_header(headers, "Idempotency-Key", msg->u.refused.idem_key);
	stream->head_set = true;
	stream->head_sent = true;
	stream_refuse(stream->front, stream->msg, stream->request_id,
		      msg->u.refused.reason, msg->u.refused.run,
		      msg->u.refused.retry_after_s, NULL);
	soup_server_message_unpause(stream->msg);
}

static void reply_aborted(stream_t *stream, const msg_t *msg)
{
	GBytes *bytes;
	char *json, *event;

	if (!stream->head_sent) {
		reply_refused(stream, msg);
		return;
	}
	stream->ended = true;
	stream->paused = false;
	if (stream->msg == NULL) {
		stream_free(stream);
		return;
	}
	if (!stream->sse) {
		abort_message(stream);
		return;
	}
	json = refusal_json(msg->u.refused.reason, msg->u.refused.run,
			    stream->request_id, NULL);
	/* The blank line ends a truncated event. */
	event = g_strdup_printf("\n\nevent: error\ndata: %s\n\n", json);
	bytes = g_bytes_new_take(event, strlen(event));
	append_body(stream, bytes);
	g_bytes_unref(bytes);
	g_free(json);
	reply_end(stream);
}

static void reply_started(stream_t *stream, const msg_t *msg)
{
	stream->request = msg->id;
	if (stream->msg == NULL)
		close_stream(stream);
}

void stream_recv(front_t *front, msg_t *msg)
{
	stream_t *stream = table_get(&front->streams, msg->ref);

	if (stream == NULL)
		return;
	if (msg->kind == MSG_REQ_STARTED)
		reply_started(stream, msg);
	else if (msg->kind == MSG_REPLY_END)
		reply_end(stream);
	else if (msg->kind == MSG_REPLY_REFUSED)
		reply_refused(stream, msg);
	else if (msg->kind == MSG_REPLY_ABORTED)
		reply_aborted(stream, msg);
	else if (stream->msg == NULL || stream->ended)
		return;
	else if (msg->kind == MSG_REPLY_HEAD)
		reply_head(stream, msg);
	else if (msg->kind == MSG_REPLY_DATA)
		append_body(stream, msg->u.data.bytes);
	else if (msg->kind == MSG_TIMER)
		send_head(stream);
}
