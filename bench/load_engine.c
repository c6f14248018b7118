/*
 * Engine stand-in of the latency measurements.  It answers each request at
 * once with a small completion over raw sockets, so that it costs far less
 * than what is measured.  A request whose body asks for a stream gets a head
 * and one record, and then nothing: an idle stream.
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

#define BUFFER_SIZE 8192 /* bytes of a request */
#define LIFE_S 600 /* ends by itself */

typedef struct peer_t {
	int fd;
	size_t used;
	char buffer[BUFFER_SIZE];
} peer_t;

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

/* Returns the bytes of the first whole request, or 0. */
static size_t whole_request(const peer_t *peer)
{
	const char *end = memmem(peer->buffer, peer->used, "\r\n\r\n", 4);
	const char *length;
	size_t size;

	if (end == NULL)
		return 0;
	size = (size_t)(end - peer->buffer) + 4;
	length = strcasestr(peer->buffer, "\r\nContent-Length:");
	if (length != NULL && length < end)
		size += strtoul(length + strlen("\r\nContent-Length:"), NULL,
				10);
	return size <= peer->used ? size : 0;
}

static void reply(const peer_t *peer, size_t size)
{
	bool stream = memmem(peer->buffer, size, "\"stream\":true", 13) != NULL;
	const char *text = stream ? stream_answer : answer;

	if (send(peer->fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		perror("send");
}

static gboolean on_input(gint fd, GIOCondition condition, gpointer data)
{
	peer_t *peer = data;
	ssize_t got;
	size_t size;

	(void)condition;
	got = recv(fd, peer->buffer + peer->used,
		   sizeof(peer->buffer) - 1 - peer->used, MSG_DONTWAIT);
	if (got < 0 && errno == EAGAIN)
		return G_SOURCE_CONTINUE;
	if (got <= 0) {
		close(fd);
		g_free(peer);
		return G_SOURCE_REMOVE;
	}
	peer->used += (size_t)got;
	peer->buffer[peer->used] = '\0';
	while ((size = whole_request(peer)) > 0) {
		reply(peer, size);
		peer->used -= size;
		memmove(peer->buffer, peer->buffer + size, peer->used + 1);
	}
	return G_SOURCE_CONTINUE;
}

static gboolean on_accept(gint fd, GIOCondition condition, gpointer data)
{
	int one = 1;
	peer_t *peer;
	int taken;

	(void)condition;
	(void)data;
	taken = accept(fd, NULL, NULL);
	if (taken < 0)
		return G_SOURCE_CONTINUE;
	setsockopt(taken, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	peer = g_new0(peer_t, 1);
	peer->fd = taken;
	g_unix_fd_add(taken, G_IO_IN, on_input, peer);
	return G_SOURCE_CONTINUE;
}

static gboolean on_end(gpointer data)
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
	g_timeout_add_seconds(LIFE_S, on_end, loop);
	g_main_loop_run(loop);
	return 0;
}
