/*
 * Stand-in for a model engine in the latency measurements.  It answers each
 * request at once with a small completion over raw sockets, and so costs far
 * less than the router under test.  A request for a stream gets the response
 * header and one event; the stream then stays open and idle.
 */
#define _GNU_SOURCE /* memmem */

#include <errno.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_SIZE 8192 /* largest request */
#define LIFETIME_S 600 /* the program then exits */

typedef struct client_t {
	int fd;
	size_t used;
	char buffer[BUFFER_SIZE];
} client_t;

static const char small_body[] =
	"{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
	"\"content\":\"At nine.\"},\"finish_reason\":\"stop\"}],\"usage\":{"
	"\"prompt_tokens\":9,\"completion_tokens\":3,\"total_tokens\":12}}";
static const char stream_head[] =
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	"Transfer-Encoding: chunked\r\n\r\n";
static const char stream_record[] =
	"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"At\"}}]}"
	"\n\n";
static char answer[1024];
static char stream_answer[1024];

static void make_answers(void)
{
	g_snprintf(answer, sizeof(answer),
		   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		   "Content-Length: %zu\r\n\r\n%s",
		   strlen(small_body), small_body);
	g_snprintf(stream_answer, sizeof(stream_answer), "%s%zx\r\n%s\r\n",
		   stream_head, strlen(stream_record), stream_record);
}

/* Returns the size of the first complete request in the buffer, or 0. */
static size_t complete_request_size(const client_t *client)
{
	const char *end = memmem(client->buffer, client->used, "\r\n\r\n", 4);
	const char *length;
	size_t size;

	if (end == NULL)
		return 0;
	size = (size_t)(end - client->buffer) + 4;
	length = strcasestr(client->buffer, "\r\nContent-Length:");
	if (length != NULL && length < end)
		size += strtoul(length + strlen("\r\nContent-Length:"), NULL,
				10);
	return size <= client->used ? size : 0;
}

static void reply(const client_t *client, size_t size)
{
	bool stream =
		memmem(client->buffer, size, "\"stream\":true", 13) != NULL;
	const char *text = stream ? stream_answer : answer;

	if (send(client->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		perror("send");
}

static gboolean on_input(gint fd, GIOCondition condition, gpointer data)
{
	client_t *client = data;
	ssize_t received;
	size_t size;

	(void)condition;
	received =
		recv(fd, client->buffer + client->used,
		     sizeof(client->buffer) - 1 - client->used, MSG_DONTWAIT);
	if (received < 0 && errno == EAGAIN)
		return G_SOURCE_CONTINUE;
	if (received <= 0) {
		close(fd);
		g_free(client);
		return G_SOURCE_REMOVE;
	}
	client->used += (size_t)received;
	client->buffer[client->used] = '\0';
	while ((size = complete_request_size(client)) > 0) {
		reply(client, size);
		client->used -= size;
		memmove(client->buffer, client->buffer + size,
			client->used + 1);
	}
	return G_SOURCE_CONTINUE;
}

static gboolean on_accept(gint fd, GIOCondition condition, gpointer data)
{
	int one = 1;
	client_t *client;
	int client_fd;

	(void)condition;
	(void)data;
	client_fd = accept(fd, NULL, NULL);
	if (client_fd < 0)
		return G_SOURCE_CONTINUE;
	setsockopt(client_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	client = g_new0(client_t, 1);
	client->fd = client_fd;
	g_unix_fd_add(client_fd, G_IO_IN, on_input, client);
	return G_SOURCE_CONTINUE;
}

static gboolean on_lifetime_end(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_REMOVE;
}

int main(void)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	GInetAddress *host = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address = g_inet_socket_address_new(host, 0);
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *local;

	make_answers();
	g_socket_set_listen_backlog(socket, 1024);
	if (!g_socket_bind(socket, address, TRUE, NULL) ||
	    !g_socket_listen(socket, NULL)) {
		fprintf(stderr, "load_engine: can't listen\n");
		return 1;
	}
	local = g_socket_get_local_address(socket, NULL);
	printf("listening %u\n",
	       g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local)));
	fflush(stdout);
	g_unix_fd_add(g_socket_get_fd(socket), G_IO_IN, on_accept, NULL);
	g_timeout_add_seconds(LIFETIME_S, on_lifetime_end, loop);
	g_main_loop_run(loop);
	return 0;
}
