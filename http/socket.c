#include "http/socket.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/*
 * Time without an acknowledgement after which the operating system closes a
 * connection.  A peer behind a network partition sends no reset.
 */
#define USER_TIMEOUT_MS 4000
/*
 * Bytes that the system holds for a peer beyond what it has sent.  Left alone,
 * it takes megabytes for a peer that read fast before it stopped.
 */
#define UNSENT_MAX 16384
/* Memory of a part of the output beside its bytes. */
#define OUTPUT_PART_MEMORY 128

static void set_options(GSocket *socket)
{
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    USER_TIMEOUT_MS, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, UNSENT_MAX,
			    NULL);
}

static void update_interest(http_socket_t *sock)
{
	pollset_set(sock->pollset, sock->watch,
		    (sock->watches_input ? POLLSET_IN : 0) |
			    (sock->watches_output ? POLLSET_OUT : 0));
}

static void watch_output(http_socket_t *sock, bool watch)
{
	sock->watches_output = watch;
	update_interest(sock);
}

void http_socket_watch_input(http_socket_t *sock, bool watch)
{
	sock->watches_input = watch;
	update_interest(sock);
}

static gboolean would_block(const GError *error)
{
	return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
}

/* Returns how much was written; an error other than a full socket fails it. */
static size_t send_some(http_socket_t *sock, const char *data, size_t len)
{
	GError *error = NULL;
	size_t sent = 0;
	gssize n;

	while (sent < len) {
		n = g_socket_send(sock->socket, data + sent, len - sent, NULL,
				  &error);
		if (n < 0)
			break;
		sent += (size_t)n;
		traffic_sent(&sock->pollset->traffic, (size_t)n);
	}
	if (error != NULL && !would_block(error))
		sock->failed = true;
	g_clear_error(&error);
	sock->sent += sent;
	return sent;
}

/* What is written is freed at once: large answers may be read slowly. */
static void flush(http_socket_t *sock)
{
	GBytes *first;

	while ((first = g_queue_peek_head(&sock->output)) != NULL) {
		gsize size;
		const char *data = g_bytes_get_data(first, &size);
		size_t sent = send_some(sock, data + sock->written,
					size - sock->written);

		sock->written += sent;
		sock->unwritten -= sent;
		if (sock->written < size)
			return;
		sock->written = 0;
		g_bytes_unref(g_queue_pop_head(&sock->output));
	}
}

static bool connected(http_socket_t *sock)
{
	GError *error = NULL;

	if (g_socket_check_connect_result(sock->socket, &error))
		return true;
	sock->refused = g_error_matches(error, G_IO_ERROR,
					G_IO_ERROR_CONNECTION_REFUSED) ||
			g_error_matches(error, G_IO_ERROR,
					G_IO_ERROR_CONNECTION_CLOSED);
	g_clear_error(&error);
	return false;
}

static void on_writable(http_socket_t *sock)
{
	if (sock->connecting) {
		sock->connecting = false;
		if (!connected(sock)) {
			sock->failed = true;
			watch_output(sock, false);
			sock->ready(sock->data, POLLSET_ERROR);
			return;
		}
		sock->connected = true;
		sock->watches_input = true;
	}
	flush(sock);
	if (http_socket_has_output(sock) && !sock->failed) {
		update_interest(sock);
		return;
	}
	watch_output(sock, false);
	/* The owner may be waiting until all output is written. */
	sock->ready(sock->data, POLLSET_OUT);
}

/*
 * The callback may free the socket, so only one is made.  Input is reported
 * again in the next iteration.
 */
static void on_event(void *data, unsigned ready)
{
	http_socket_t *sock = data;

	if (sock->watches_output && (ready & (POLLSET_OUT | POLLSET_ERROR)))
		on_writable(sock);
	else
		sock->ready(sock->data, ready);
}

static bool start_watch(http_socket_t *sock, pollset_t *pollset,
			unsigned interest, pollset_fn_t ready, void *data)
{
	sock->pollset = pollset;
	window_init(&sock->window);
	g_queue_init(&sock->output);
	sock->ready = ready;
	sock->data = data;
	sock->watches_input = (interest & POLLSET_IN) != 0;
	sock->watches_output = (interest & POLLSET_OUT) != 0;
	sock->watch = pollset_add(pollset, g_socket_get_fd(sock->socket),
				  interest, on_event, sock);
	return !handle_is_none(sock->watch);
}

bool http_socket_init(http_socket_t *sock, pollset_t *pollset, GSocket *socket,
		      pollset_fn_t ready, void *data)
{
	memset(sock, 0, sizeof(*sock));
	sock->socket = g_object_ref(socket);
	sock->connected = true;
	set_options(socket);
	return start_watch(sock, pollset, POLLSET_IN, ready, data);
}

bool http_socket_connect(http_socket_t *sock, pollset_t *pollset,
			 const char *host, uint16_t port, pollset_fn_t ready,
			 void *data)
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
	set_options(sock->socket);
	if (pollset->windows.least > 0)
		windows_apply(g_socket_get_fd(sock->socket),
			      pollset->windows.least);
	if (!g_socket_connect(sock->socket, address, NULL, &error) &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
		http_socket_finish(sock);
		goto out;
	}
	sock->connecting = true;
	ok = start_watch(sock, pollset, POLLSET_OUT, ready, data);
	if (!ok)
		http_socket_finish(sock);
out:
	g_clear_error(&error);
	g_object_unref(address);
	return ok;
}

void http_socket_check_window(http_socket_t *sock)
{
	window_check(&sock->window, &sock->pollset->windows,
		     g_socket_get_fd(sock->socket));
}

void http_socket_finish(http_socket_t *sock)
{
	if (sock->pollset != NULL) {
		pollset_remove(sock->pollset, &sock->watch);
		window_finish(&sock->window, &sock->pollset->windows);
	}
	if (sock->socket != NULL)
		g_socket_close(sock->socket, NULL);
	g_clear_object(&sock->socket);
	g_queue_clear_full(&sock->output, (GDestroyNotify)g_bytes_unref);
	sock->written = 0;
	sock->unwritten = 0;
}

/* Takes over the bytes. */
static void append(http_socket_t *sock, GBytes *bytes)
{
	g_queue_push_tail(&sock->output, bytes);
	sock->unwritten += g_bytes_get_size(bytes);
	if (sock->watches_output)
		return;
	flush(sock);
	if (http_socket_has_output(sock) && !sock->failed)
		watch_output(sock, true);
}

void http_socket_write(http_socket_t *sock, const void *data, size_t len)
{
	size_t sent = 0;

	if (!sock->watches_output && !sock->failed &&
	    !http_socket_has_output(sock))
		sent = send_some(sock, data, len);
	if (sent < len)
		append(sock,
		       g_bytes_new((const char *)data + sent, len - sent));
}

void http_socket_write_bytes(http_socket_t *sock, GBytes *bytes)
{
	if (g_bytes_get_size(bytes) > 0)
		append(sock, g_bytes_ref(bytes));
}

bool http_socket_has_output(const http_socket_t *sock)
{
	return sock->output.length > 0;
}

size_t http_socket_output_len(const http_socket_t *sock)
{
	return sock->unwritten;
}

size_t http_socket_output_memory(const http_socket_t *sock)
{
	/* Written bytes stay until their part is written as a whole. */
	return sock->unwritten + sock->written +
	       (size_t)sock->output.length * OUTPUT_PART_MEMORY;
}

uint64_t http_socket_delivered(const http_socket_t *sock)
{
	int queued = 0;

	/* The system may hold megabytes that the peer has not taken yet. */
	if (ioctl(g_socket_get_fd(sock->socket), SIOCOUTQ, &queued) != 0)
		queued = 0;
	return sock->sent - MIN((uint64_t)queued, sock->sent);
}

/* Unlike a receive, this does not take a pending error. */
bool http_socket_has_input(const http_socket_t *sock)
{
	int len = 0;

	return ioctl(g_socket_get_fd(sock->socket), FIONREAD, &len) == 0 &&
	       len > 0;
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
		traffic_received(&sock->pollset->traffic, (size_t)n);
		window_received(&sock->window, &sock->pollset->windows,
				g_socket_get_fd(sock->socket), (size_t)n);
		return SOCKET_DATA;
	}
	if (n == 0)
		return sock->failed ? SOCKET_ERROR : SOCKET_EOF;
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		result = SOCKET_AGAIN;
	g_clear_error(&error);
	return result;
}

bool http_socket_is_idle(http_socket_t *sock)
{
	char byte;

	if (recv(g_socket_get_fd(sock->socket), &byte, 1,
		 MSG_PEEK | MSG_DONTWAIT) >= 0)
		return false;
	if (errno == EAGAIN || errno == EWOULDBLOCK)
		return true;
	sock->failed = true;
	return false;
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

GSocket *http_socket_listen(const http_listen_t *listen, errmsg_t *err)
{
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		listen->host, listen->port);
	GError *error = NULL;
	GSocket *socket = NULL;

	if (address == NULL) {
		errmsg_set(err, "%s is not an IP address", listen->host);
		return NULL;
	}
	socket = g_socket_new(g_socket_address_get_family(address),
			      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
			      &error);
	if (socket != NULL) {
		g_socket_set_listen_backlog(socket, listen->backlog);
		g_socket_set_blocking(socket, FALSE);
		if (listen->window > 0)
			windows_apply(g_socket_get_fd(socket), listen->window);
		if (!g_socket_bind(socket, address, TRUE, &error) ||
		    !g_socket_listen(socket, &error))
			g_clear_object(&socket);
	}
	if (socket == NULL)
		errmsg_set(err, "cannot listen on %s port %u: %s", listen->host,
			   listen->port, error->message);
	g_clear_error(&error);
	g_object_unref(address);
	return socket;
}
