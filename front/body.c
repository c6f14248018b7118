#include "front/body.h"

#include "front/caller.h"
#include "front/refusal.h"
#include "front/stream.h"
#include "log/log.h"

#define BODY_KEY "front-body"
/* Bytes read beyond the limit of a body before the connection is closed. */
#define DISCARD_BYTES_MAX 1048576

static body_t *find(SoupServerMessage *msg)
{
	return g_object_get_data(G_OBJECT(msg), BODY_KEY);
}

static void count(body_t *body)
{
	kernel_count_bytes(body->front->kernel, BUFFER_BODIES, &body->counted,
			   body->bytes->len);
}

static void free_body(gpointer data)
{
	body_t *body = data;

	g_byte_array_set_size(body->bytes, 0);
	count(body);
	g_byte_array_unref(body->bytes);
	table_remove(&body->front->bodies, body->self);
}

/* An array that is only emptied keeps its memory. */
static void empty(body_t *body)
{
	g_byte_array_unref(body->bytes);
	body->bytes = g_byte_array_new();
	count(body);
}

void body_drop(SoupServerMessage *msg)
{
	body_t *body = find(msg);

	if (body == NULL)
		return;
	body->dropped = true;
	empty(body);
}

static void on_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
	body_t *body = find(msg);
	GSocket *socket = caller_socket(msg);
	front_t *front;
	gsize size;
	const void *bytes = g_bytes_get_data(chunk, &size);

	(void)data;
	if (body == NULL)
		return;
	front = body->front;
	body->received += size;
	if (body->received > front->opts.max_body && !body->dropped)
		front_refuse_unread(front, msg, REFUSAL_TOO_LARGE);
	if (body->received >
		    (uint64_t)front->opts.max_body + DISCARD_BYTES_MAX &&
	    socket != NULL)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	if (body->dropped)
		return;
	g_byte_array_append(body->bytes, bytes, (guint)size);
	count(body);
	kernel_flush(front->kernel);
}

void body_collect(front_t *front, SoupServerMessage *msg)
{
	body_t *body;
	handle_t self = table_add(&front->bodies, (void **)&body);

	body->front = front;
	body->self = self;
	body->msg = msg;
	body->bytes = g_byte_array_new();
	/* libsoup would keep an object for each chunk, however small. */
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(msg), FALSE);
	g_object_set_data_full(G_OBJECT(msg), BODY_KEY, body, free_body);
	g_signal_connect(msg, "got-chunk", G_CALLBACK(on_chunk), NULL);
}

size_t body_size(SoupServerMessage *msg)
{
	const body_t *body = find(msg);

	return body == NULL ? 0 : body->bytes->len;
}

GBytes *body_take(SoupServerMessage *msg)
{
	body_t *body = find(msg);
	GBytes *bytes;

	if (body == NULL)
		return g_bytes_new(NULL, 0);
	bytes = g_byte_array_free_to_bytes(body->bytes);
	body->bytes = g_byte_array_new();
	count(body);
	return bytes;
}

static body_t *find_largest(const front_t *front)
{
	body_t *body, *largest = NULL;
	uint32_t cursor = 0;

	while ((body = table_next(&front->bodies, &cursor, NULL)) != NULL)
		if (body->bytes->len > 0 &&
		    (largest == NULL || body->bytes->len > largest->bytes->len))
			largest = body;
	return largest;
}

void body_relieve(front_t *front)
{
	const buffers_t *buffers = &front->kernel->buffers;
	body_t *body;

	while (!buffers_relieved(buffers) &&
	       (body = find_largest(front)) != NULL) {
		metrics_add(front->kernel->metrics, COUNTER_BUFFERS_DROPPED, 1);
		log_event(LOG_LEVEL_WARN, "front", "dropped",
			  "bytes=%u buffered=%" G_GUINT64_FORMAT,
			  body->bytes->len, buffers_total(buffers));
		front_refuse_unread(front, body->msg, REFUSAL_OVERLOADED);
	}
	kernel_buffers_relieved(front->kernel);
}

void body_finish(front_t *front)
{
	uint32_t cursor = 0;
	body_t *body;

	while ((body = table_next(&front->bodies, &cursor, NULL)) != NULL)
		g_object_set_data(G_OBJECT(body->msg), BODY_KEY, NULL);
	table_finish(&front->bodies);
}
