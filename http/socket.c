#include "http/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
/*
 * Time without an acknowledgement after which the operating system closes a
 * connection.  A peer behind a network partition sends no reset.
 */
#define USER_TIMEOUT_MS 4000

static void set_options(GSocket *socket)
{
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    USER_TIMEOUT_MS, NULL);
}

static void clear_source(GSource **source)
{
	if (*source == NULL)
		return;
	g_source_destroy(*source);
	g_clear_pointer(source, g_source_unref);
}

void http_socket_watch_input(http_socket_t *sock, bool watch)
{
	if (!watch) {
		clear_source(&sock->in_source);
		return;
	}
	if (sock->in_source != NULL)
		return;
	sock->in_source = g_socket_create_source(sock->socket, G_IO_IN, NULL);
	g_source_set_callback(sock->in_source, G_SOURCE_FUNC(sock->ready),
			      sock->data, NULL);
	g_source_attach(sock->in_source, NULL);
}

void http_socket_init(http_socket_t *sock, GSocket *socket,
		      GSocketSourceFunc ready, gpointer data)
{
	memset(sock, 0, sizeof(*sock));
	sock->socket = g_object_ref(socket);
	sock->output = g_byte_array_new();
	sock->ready = ready;
	sock->data = data;
	set_options(socket);
	http_socket_watch_input(sock, true);
}

static void flush(http_socket_t *sock)
{
	GError *error = NULL;
	gssize n;

	while (sock->written < sock->output->len) {
		n = g_socket_send(
			sock->socket,
			(const gchar *)sock->output->data + sock->written,
			sock->output->len - sock->written, NULL, &error);
		if (n < 0)
			break;
		sock->written += (guint)n;
	}
	if (error != NULL &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		sock->failed = true;
	g_clear_error(&error);
	if (sock->written == sock->output->len) {
		g_byte_array_set_size(sock->output, 0);
		sock->written = 0;
	}
}

static gboolean on_writable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	http_socket_t *sock = data;

	if (sock->connecting) {
		sock->connecting = false;
		if (!g_socket_check_connect_result(socket, NULL)) {
			sock->failed = true;
			clear_source(&sock->out_source);
			sock->ready(socket, condition, sock->data);
			return G_SOURCE_REMOVE;
		}
		http_socket_watch_input(sock, true);
	}
	flush(sock);
	if (sock->output->len > 0 && !sock->failed)
		return G_SOURCE_CONTINUE;
	clear_source(&sock->out_source);
	/* The owner may be waiting until all output is written. */
	sock->ready(socket, G_IO_OUT, sock->data);
	return G_SOURCE_REMOVE;
}

static void watch_output(http_socket_t *sock)
{
	if (sock->out_source != NULL)
		return;
	sock->out_source = g_socket_create_source(sock->socket, G_IO_OUT, NULL);
	g_source_set_callback(sock->out_source, G_SOURCE_FUNC(on_writable),
			      sock, NULL);
	g_source_attach(sock->out_source, NULL);
}

bool http_socket_connect(http_socket_t *sock, const char *host, uint16_t port,
			 GSocketSourceFunc ready, gpointer data)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string(host, port);
	GError *error = NULL;
	bool ok = false;

	memset(sock, 0, sizeof(*sock));
	if (address == NULL)
		return false;
	sock->socket =
		g_socket_new(g_socket_address_get_family(address),
			     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	if (sock->socket == NULL)
		goto out;
	sock->output = g_byte_array_new();
	sock->ready = ready;
	sock->data = data;
	set_options(sock->socket);
	if (!g_socket_connect(sock->socket, address, NULL, &error) &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		http_socket_finish(sock);
		goto out;
	}
	sock->connecting = true;
	watch_output(sock);
	ok = true;
out:
	g_clear_error(&error);
	g_object_unref(address);
	return ok;
}

void http_socket_finish(http_socket_t *sock)
{
	clear_source(&sock->in_source);
	clear_source(&sock->out_source);
	if (sock->socket != NULL)
		g_socket_close(sock->socket, NULL);
	g_clear_object(&sock->socket);
	g_clear_pointer(&sock->output, g_byte_array_unref);
}

void http_socket_write(http_socket_t *sock, const void *data, size_t len)
{
	g_byte_array_append(sock->output, data, (guint)len);
	if (sock->connecting || sock->out_source != NULL)
		return;
	flush(sock);
	if (sock->output->len > 0 && !sock->failed)
		watch_output(sock);
}

bool http_socket_has_output(const http_socket_t *sock)
{
	return sock->output->len > 0;
}

socket_read_t http_socket_read(http_socket_t *sock, char *buffer, size_t size,
			       size_t *received)
{
	GError *error = NULL;
	socket_read_t result = SOCKET_ERROR;
	gssize n;

	n = g_socket_receive(sock->socket, buffer, size, NULL, &error);
	if (n > 0) {
		*received = (size_t)n;
		return SOCKET_DATA;
	}
	if (n == 0)
		return SOCKET_EOF;
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		result = SOCKET_AGAIN;
	g_clear_error(&error);
	return result;
}

bool http_socket_is_idle(const http_socket_t *sock)
{
	char byte;

	return recv(g_socket_get_fd(sock->socket), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

void http_socket_abort(http_socket_t *sock)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(g_socket_get_fd(sock->socket), SOL_SOCKET, SO_LINGER,
		   &linger, sizeof(linger));
}

void http_socket_shutdown(http_socket_t *sock)
{
	g_socket_shutdown(sock->socket, FALSE, TRUE, NULL);
}

GSocket *http_socket_listen(const char *host, uint16_t port, errmsg_t *err)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string(host, port);
	GError *error = NULL;
	GSocket *socket = NULL;

	if (address == NULL) {
		errmsg_set(err, "%s is not an IP address", host);
		return NULL;
	}
	socket = g_socket_new(g_socket_address_get_family(address),
			      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
			      &error);
	if (socket != NULL) {
		g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
		g_socket_set_blocking(socket, FALSE);
		if (!g_socket_bind(socket, address, TRUE, &error) ||
		    !g_socket_listen(socket, &error))
			g_clear_object(&socket);
	}
	if (socket == NULL)
		errmsg_set(err, "cannot listen on %s port %u: %s", host, port,
			   error->message);
	g_clear_error(&error);
	g_object_unref(address);
	return socket;
}
