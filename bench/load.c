/*
 * Load generator: small model requests over kept connections, sent on a fixed
 * schedule whatever the answers do (open loop).  With two ports the requests
 * alternate between them, so that both see the same machine.  A latency is
 * counted from the scheduled time.  Loopback only; bounded in count and time.
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
#include <sys/timerfd.h>
#include <unistd.h>

#define PORTS_MAX 2
#define BUFFER_SIZE 4096 /* bytes of an answer */
#define REQUESTS_MAX 2000000
#define DRAIN_US 2000000 /* wait for answers after the last request */
#define BURST_MAX 256 /* requests sent in one turn of the loop */
#define NS_PER_US 1000

typedef struct path_t {
	int port;
	GArray *latency; /* gint64, us */
	GQueue idle; /* conn_t */
	GQueue late; /* scheduled times that wait for a connection */
	unsigned errors;
	unsigned sent;
} path_t;

typedef struct conn_t {
	path_t *path;
	int fd;
	gint64 since; /* scheduled time of the running request, 0: idle */
	size_t used;
	char buffer[BUFFER_SIZE];
} conn_t;

static path_t paths[PORTS_MAX];
static int path_count;
static int ports[PORTS_MAX];
static double rate = 1000;
static double seconds = 5;
static double warm = 1;
static int conns = 16;
static char *key;
static gboolean stream;
static const char *names[PORTS_MAX] = {"a", "b"};
static char request[2048];
static size_t request_size;
static gint64 begin;
static gint64 end;
static gint64 sent;
static gint64 total;
static int timer_fd;
static GMainLoop *loop;

static const GOptionEntry options[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &ports[0], "port", "N"},
	{"second", 0, 0, G_OPTION_ARG_INT, &ports[1],
	 "port that every other request goes to", "N"},
	{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate, "requests/s at each port",
	 "R"},
	{"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds, "length", "S"},
	{"warm", 0, 0, G_OPTION_ARG_DOUBLE, &warm,
	 "seconds at the start that are not counted", "S"},
	{"connections", 0, 0, G_OPTION_ARG_INT, &conns, "at each port", "N"},
	{"key", 0, 0, G_OPTION_ARG_STRING, &key, "API key", "KEY"},
	{"stream", 0, 0, G_OPTION_ARG_NONE, &stream,
	 "open one idle stream per connection and hold them", NULL},
	G_OPTION_ENTRY_NULL};

static void make_request(void)
{
	char body[256];

	g_snprintf(body, sizeof(body),
		   "{\"model\":\"assistant\",\"max_tokens\":16,%s\"messages\":"
		   "[{\"role\":\"user\",\"content\":"
		   "\"What time does the ferry leave?\"}]}",
		   stream ? "\"stream\":true," : "");
	g_snprintf(request, sizeof(request),
		   "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
		   "Authorization: Bearer %s\r\n"
		   "Content-Type: application/json\r\n"
		   "Content-Length: %zu\r\n\r\n%s",
		   key == NULL ? "none" : key, strlen(body), body);
	request_size = strlen(request);
}

static void start_request(conn_t *conn, gint64 since)
{
	conn->since = since;
	conn->used = 0;
	if (send(conn->fd, request, request_size, MSG_NOSIGNAL) !=
	    (ssize_t)request_size)
		conn->path->errors++;
}

/* True when the answer in the buffer is whole. */
static bool is_whole(const conn_t *conn)
{
	const char *head_end = memmem(conn->buffer, conn->used, "\r\n\r\n", 4);
	const char *length;

	if (head_end == NULL)
		return false;
	length = strcasestr(conn->buffer, "\r\nContent-Length:");
	if (length != NULL && length < head_end)
		return conn->used >=
		       (size_t)(head_end - conn->buffer) + 4 +
			       strtoul(length + strlen("\r\nContent-Length:"),
				       NULL, 10);
	return conn->used >= 5 &&
	       memcmp(conn->buffer + conn->used - 5, "0\r\n\r\n", 5) == 0;
}

static void finish_request(conn_t *conn)
{
	path_t *path = conn->path;
	gint64 latency = g_get_monotonic_time() - conn->since;
	gint64 *late;

	if (strncmp(conn->buffer, "HTTP/1.1 200", 12) != 0) {
		if (path->errors++ == 0)
			fprintf(stderr, "first error: %.*s\n",
				(int)MIN(conn->used, 600), conn->buffer);
	} else if (conn->since >= begin + (gint64)(warm * 1e6)) {
		g_array_append_val(path->latency, latency);
	}
	conn->since = 0;
	late = g_queue_pop_head(&path->late);
	if (late != NULL)
		start_request(conn, *late);
	else
		g_queue_push_head(&path->idle, conn);
	g_free(late);
}

static gboolean on_answer(gint fd, GIOCondition condition, gpointer data)
{
	conn_t *conn = data;
	ssize_t got;

	(void)condition;
	got = recv(fd, conn->buffer + conn->used,
		   sizeof(conn->buffer) - 1 - conn->used, MSG_DONTWAIT);
	if (got < 0 && errno == EAGAIN)
		return G_SOURCE_CONTINUE;
	if (got <= 0) {
		conn->path->errors++;
		return G_SOURCE_REMOVE;
	}
	conn->used += (size_t)got;
	conn->buffer[conn->used] = '\0';
	if (conn->since != 0 && !stream && is_whole(conn))
		finish_request(conn);
	return G_SOURCE_CONTINUE;
}

static void open_connection(path_t *path)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				 .sin_port = htons((uint16_t)path->port)};
	conn_t *conn = g_new0(conn_t, 1);
	int one = 1;

	conn->path = path;
	conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(conn->fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		perror("connect");
		exit(1);
	}
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	g_unix_fd_add(conn->fd, G_IO_IN, on_answer, conn);
	g_queue_push_tail(&path->idle, conn);
}

static gint64 scheduled(gint64 i)
{
	return begin + (gint64)((double)i * 1e6 / (rate * path_count));
}

static void arm(gint64 due)
{
	struct itimerspec spec = {0};

	spec.it_value.tv_sec = due / G_USEC_PER_SEC;
	spec.it_value.tv_nsec = due % G_USEC_PER_SEC * NS_PER_US;
	timerfd_settime(timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void send_next(void)
{
	path_t *path = &paths[sent % path_count];
	gint64 since = scheduled(sent++);
	conn_t *conn = g_queue_pop_head(&path->idle);
	gint64 *late;

	path->sent++;
	if (conn != NULL) {
		start_request(conn, since);
		return;
	}
	late = g_new(gint64, 1);
	*late = since;
	g_queue_push_tail(&path->late, late);
}

static gboolean on_timer(gint fd, GIOCondition condition, gpointer data)
{
	gint64 now = g_get_monotonic_time();
	uint64_t expired;

	(void)condition;
	(void)data;
	if (read(fd, &expired, sizeof(expired)) < 0)
		return G_SOURCE_CONTINUE;
	if (now >= end + DRAIN_US ||
	    (sent >= total && g_queue_is_empty(&paths[0].late))) {
		if (now >= end + DRAIN_US / 4)
			g_main_loop_quit(loop);
		else
			arm(end + DRAIN_US / 4);
		return G_SOURCE_CONTINUE;
	}
	for (int i = 0; i < BURST_MAX && sent < total && scheduled(sent) <= now;
	     i++)
		send_next();
	arm(sent < total ? MAX(scheduled(sent), now + 1) : end + DRAIN_US / 4);
	return G_SOURCE_CONTINUE;
}

static int compare(gconstpointer a, gconstpointer b)
{
	gint64 left = *(const gint64 *)a, right = *(const gint64 *)b;

	return (left > right) - (left < right);
}

static double quantile(const GArray *sorted, double q)
{
	guint i = (guint)((double)sorted->len * q);

	if (sorted->len == 0)
		return -1;
	return (double)g_array_index(sorted, gint64, MIN(i, sorted->len - 1)) /
	       1e3;
}

static void report(path_t *path, const char *name)
{
	unsigned lost = g_queue_get_length(&path->late) + (unsigned)conns -
			g_queue_get_length(&path->idle);

	g_array_sort(path->latency, compare);
	printf("%s count=%u rate=%.0f p50_ms=%.3f p99_ms=%.3f p999_ms=%.3f "
	       "errors=%u unanswered=%u\n",
	       name, path->latency->len,
	       (double)path->latency->len / (seconds - warm),
	       quantile(path->latency, 0.5), quantile(path->latency, 0.99),
	       quantile(path->latency, 0.999), path->errors, lost);
}

static void hold_streams(void)
{
	conn_t *conn;

	while ((conn = g_queue_pop_head(&paths[0].idle)) != NULL) {
		start_request(conn, begin);
		g_main_context_iteration(NULL, FALSE);
	}
	printf("held %d\n", conns);
	fflush(stdout);
}

static gboolean on_hold_end(gpointer data)
{
	g_main_loop_quit(data);
	return G_SOURCE_REMOVE;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    ports[0] == 0 || rate <= 0 || conns <= 0 || seconds <= warm) {
		fprintf(stderr, "usage: load --port N [--second N] [--rate R] "
				"[--seconds S] ...\n");
		return 2;
	}
	path_count = ports[1] == 0 ? 1 : 2;
	total = MIN((gint64)(rate * seconds) * path_count, REQUESTS_MAX);
	loop = g_main_loop_new(NULL, FALSE);
	make_request();
	for (int p = 0; p < path_count; p++) {
		paths[p].port = ports[p];
		paths[p].latency = g_array_new(FALSE, FALSE, sizeof(gint64));
		for (int i = 0; i < conns; i++)
			open_connection(&paths[p]);
	}
	begin = g_get_monotonic_time();
	if (stream) {
		hold_streams();
		g_timeout_add((guint)(seconds * 1e3), on_hold_end, loop);
		g_main_loop_run(loop);
		printf("errors=%u\n", paths[0].errors);
		return 0;
	}
	end = begin + (gint64)(seconds * 1e6);
	timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	g_unix_fd_add(timer_fd, G_IO_IN, on_timer, NULL);
	arm(begin);
	g_main_loop_run(loop);
	for (int p = 0; p < path_count; p++)
		report(&paths[p], names[p]);
	return 0;
}
