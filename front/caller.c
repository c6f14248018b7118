#include "front/caller.h"

#include <string.h>

#define DATA_KEY "front-caller"
/*
 * Reads in a row after which other connections have their turn.  libsoup reads
 * for as long as there is input.
 */
#define READS_MAX 8

static const char synthetic_request[] = "GET / HTTP/1.0\r\n\r\n";
static const char timeout_response[] =
	"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
	"Content-Length: 0\r\n\r\n";

typedef struct caller_input_t {
	GInputStream parent;
	GPollableInputStream *base;
	windows_t *windows;
	window_t window; /* receive window of the socket */
	int reads; /* in a row */
	caller_phase_t phase;
	int64_t body_since; /* monotonic, us; first check of a body; 0: none */
	bool progressed; /* phase change or data since the last check */
	/* Monotonic time of the last timeout check that saw progress. */
	int64_t last_progress_us;
	bool eof;
	size_t synthetic_read; /* bytes of synthetic_request returned */
} caller_input_t;

typedef GInputStreamClass caller_input_tClass;

typedef struct caller_io_t {
	GIOStream parent;
	GIOStream *base;
	caller_input_t *input;
} caller_io_t;

typedef GIOStreamClass caller_io_tClass;

static void pollable_init(GPollableInputStreamInterface *iface);

static GType caller_input_get_type(void);
static GType caller_io_get_type(void);

G_DEFINE_TYPE_WITH_CODE(caller_input_t, caller_input, G_TYPE_INPUT_STREAM,
			G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM,
					      pollable_init))
G_DEFINE_TYPE(caller_io_t, caller_io, G_TYPE_IO_STREAM)

static gssize read_synthetic_request(caller_input_t *input, void *buffer,
				     gsize count)
{
	size_t remaining =
		sizeof(synthetic_request) - 1 - input->synthetic_read;
	size_t n = MIN(count, remaining);

	memcpy(buffer, synthetic_request + input->synthetic_read, n);
	input->synthetic_read += n;
	return (gssize)n;
}

static void set_phase(caller_input_t *input, caller_phase_t phase)
{
	if (input->phase == CALLER_EXPIRED)
		return;
	input->phase = phase;
	input->body_since = 0;
	input->progressed = true;
}

static bool is_idle(const caller_input_t *input)
{
	return input->phase == CALLER_NEW || input->phase == CALLER_IDLE;
}

/* The timeout of a body restarts at each read, that of a head does not. */
static void note_progress(caller_input_t *input)
{
	if (is_idle(input))
		set_phase(input, CALLER_HEAD);
	else if (input->phase == CALLER_BODY)
		input->progressed = true;
}

static int descriptor(caller_input_t *input)
{
	return g_socket_get_fd(g_object_get_data(G_OBJECT(input), DATA_KEY));
}

/* Returns whether this connection has had its turn; it is polled again. */
static bool is_turn_over(caller_input_t *input, GError **error)
{
	if (input->reads < READS_MAX)
		return false;
	input->reads = 0;
	g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
			    "other connections have their turn");
	return true;
}

static gssize read_nonblocking(GPollableInputStream *stream, void *buffer,
			       gsize count, GError **error)
{
	caller_input_t *input = (caller_input_t *)stream;
	GError *failure = NULL;
	gssize n;

	if (input->eof)
		return read_synthetic_request(input, buffer, count);
	if (is_turn_over(input, error))
		return -1;
	n = g_pollable_input_stream_read_nonblocking(input->base, buffer, count,
						     NULL, &failure);
	input->reads = n > 0 ? input->reads + 1 : 0;
	if (n > 0) {
		note_progress(input);
		window_received(&input->window, input->windows,
				descriptor(input), (size_t)n);
	} else if (is_idle(input) && !g_error_matches(failure, G_IO_ERROR,
						      G_IO_ERROR_WOULD_BLOCK)) {
		g_clear_error(&failure);
		input->eof = true;
		return read_synthetic_request(input, buffer, count);
	}
	if (failure != NULL)
		g_propagate_error(error, failure);
	return n;
}

/* Required by GInputStream; libsoup uses only non-blocking reads. */
static gssize read_blocking(GInputStream *stream, void *buffer, gsize count,
			    GCancellable *cancellable, GError **error)
{
	(void)cancellable;
	return read_nonblocking(G_POLLABLE_INPUT_STREAM(stream), buffer, count,
				error);
}

static gboolean is_readable(GPollableInputStream *stream)
{
	caller_input_t *input = (caller_input_t *)stream;

	return input->eof || g_pollable_input_stream_is_readable(input->base);
}

static GSource *create_source(GPollableInputStream *stream,
			      GCancellable *cancellable)
{
	caller_input_t *input = (caller_input_t *)stream;
	GSource *child =
		g_pollable_input_stream_create_source(input->base, NULL);
	GSource *source =
		g_pollable_source_new_full(stream, child, cancellable);

	g_source_unref(child);
	return source;
}

static void pollable_init(GPollableInputStreamInterface *iface)
{
	iface->is_readable = is_readable;
	iface->create_source = create_source;
	iface->read_nonblocking = read_nonblocking;
}

static void input_finalize(GObject *object)
{
	caller_input_t *input = (caller_input_t *)object;

	window_finish(&input->window, input->windows);
	g_object_unref(input->base);
	G_OBJECT_CLASS(caller_input_parent_class)->finalize(object);
}

static void caller_input_class_init(caller_input_tClass *class)
{
	G_OBJECT_CLASS(class)->finalize = input_finalize;
	class->read_fn = read_blocking;
}

static void caller_input_init(caller_input_t *input)
{
	input->phase = CALLER_NEW;
	input->progressed = true;
	window_init(&input->window);
}

static GInputStream *get_input(GIOStream *stream)
{
	return G_INPUT_STREAM(((caller_io_t *)stream)->input);
}

static GOutputStream *get_output(GIOStream *stream)
{
	return g_io_stream_get_output_stream(((caller_io_t *)stream)->base);
}

static gboolean close_io(GIOStream *stream, GCancellable *cancellable,
			 GError **error)
{
	return g_io_stream_close(((caller_io_t *)stream)->base, cancellable,
				 error);
}

/* The default implementation would close the stream in another thread. */
static void close_async(GIOStream *stream, int priority,
			GCancellable *cancellable, GAsyncReadyCallback callback,
			gpointer data)
{
	GTask *task = g_task_new(stream, cancellable, callback, data);

	g_task_set_priority(task, priority);
	g_task_return_boolean(task, close_io(stream, NULL, NULL));
	g_object_unref(task);
}

static gboolean close_finish(GIOStream *stream, GAsyncResult *result,
			     GError **error)
{
	(void)stream;
	return g_task_propagate_boolean(G_TASK(result), error);
}

static void io_finalize(GObject *object)
{
	caller_io_t *io = (caller_io_t *)object;

	g_object_unref(io->input);
	g_object_unref(io->base);
	G_OBJECT_CLASS(caller_io_parent_class)->finalize(object);
}

static void caller_io_class_init(caller_io_tClass *class)
{
	G_OBJECT_CLASS(class)->finalize = io_finalize;
	class->get_input_stream = get_input;
	class->get_output_stream = get_output;
	class->close_fn = close_io;
	class->close_async = close_async;
	class->close_finish = close_finish;
}

static void caller_io_init(caller_io_t *io)
{
	(void)io;
}

GIOStream *caller_new(GIOStream *base, GSocket *socket, windows_t *windows)
{
	caller_io_t *io = g_object_new(caller_io_get_type(), NULL);

	io->base = base;
	io->input = g_object_new(caller_input_get_type(), NULL);
	io->input->windows = windows;
	io->input->base = G_POLLABLE_INPUT_STREAM(
		g_object_ref(g_io_stream_get_input_stream(base)));
	g_object_set_data_full(G_OBJECT(io->input), DATA_KEY,
			       g_object_ref(socket), g_object_unref);
	return G_IO_STREAM(io);
}

/*
 * The remote address is the only object that leads from a message to its
 * connection, so the input stream is attached to the address.
 */
bool caller_accept(SoupServer *server, GIOStream *caller, GSocket *socket)
{
	GSocketAddress *local = g_socket_get_local_address(socket, NULL);
	GSocketAddress *remote = g_socket_get_remote_address(socket, NULL);
	bool ok = false;

	if (local == NULL || remote == NULL)
		goto out;
	g_object_set_data_full(G_OBJECT(remote), DATA_KEY,
			       g_object_ref(((caller_io_t *)caller)->input),
			       g_object_unref);
	ok = soup_server_accept_iostream(server, caller, local, remote, NULL);
out:
	g_clear_object(&local);
	g_clear_object(&remote);
	return ok;
}

static caller_input_t *find_input(SoupServerMessage *msg)
{
	GSocketAddress *address = soup_server_message_get_remote_address(msg);

	return address == NULL ? NULL
			       : g_object_get_data(G_OBJECT(address), DATA_KEY);
}

GSocket *caller_socket(SoupServerMessage *msg)
{
	caller_input_t *input = find_input(msg);

	return input == NULL ? NULL
			     : g_object_get_data(G_OBJECT(input), DATA_KEY);
}

void caller_set_phase(SoupServerMessage *msg, caller_phase_t phase)
{
	caller_input_t *input = find_input(msg);

	if (input != NULL)
		set_phase(input, phase);
}

bool caller_at_eof(SoupServerMessage *msg)
{
	caller_input_t *input = find_input(msg);

	return input != NULL && input->eof;
}

static int64_t phase_timeout(caller_phase_t phase,
			     const caller_timeouts_t *timeouts)
{
	switch (phase) {
	case CALLER_NEW:
	case CALLER_HEAD:
		return timeouts->head_us;
	case CALLER_BODY:
		return timeouts->body_us;
	case CALLER_IDLE:
		return timeouts->idle_us;
	case CALLER_BUSY:
	case CALLER_EXPIRED:
		break;
	}
	return G_MAXINT64;
}

/*
 * libsoup has written nothing for a request that it is still reading, so the
 * 408 response is written directly to the connection.  libsoup then reads the
 * end of the input and closes the connection.
 */
static void expire(caller_io_t *io)
{
	caller_input_t *input = io->input;
	GSocket *socket = g_object_get_data(G_OBJECT(input), DATA_KEY);
	GOutputStream *out = get_output(G_IO_STREAM(io));

	/* libsoup would run a request that has arrived but not been read. */
	if (is_idle(input) && g_pollable_input_stream_is_readable(input->base))
		return;
	if (!is_idle(input)) {
		g_pollable_output_stream_write_nonblocking(
			G_POLLABLE_OUTPUT_STREAM(out), timeout_response,
			sizeof(timeout_response) - 1, NULL, NULL);
		input->phase = CALLER_EXPIRED;
	}
	g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

void caller_check_timeout(GIOStream *caller, int64_t now,
			  const caller_timeouts_t *timeouts)
{
	caller_io_t *io = (caller_io_t *)caller;
	caller_input_t *input = io->input;

	window_check(&input->window, input->windows, descriptor(input));
	if (input->phase == CALLER_BODY && input->body_since == 0)
		input->body_since = now;
	if (input->phase == CALLER_BODY &&
	    now - input->body_since >= timeouts->whole_body_us) {
		expire(io);
	} else if (input->progressed) {
		input->progressed = false;
		input->last_progress_us = now;
	} else if (now - input->last_progress_us >=
		   phase_timeout(input->phase, timeouts)) {
		expire(io);
	}
}
