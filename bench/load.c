/*
 * Open-loop load generator: sends small model requests over persistent
 * connections on a fixed schedule, independent of the responses.  With two
 * ports the requests alternate between them, so that both are measured under
 * the same load of the machine.  Latency is measured from the scheduled time.
 * The generator connects to loopback only; the number of requests and the
 * running time are limited.
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

#define ENDPOINTS_MAX 2
#define BUFFER_SIZE 4096 /* largest response */
#define REQUESTS_MAX 2000000
#define DRAIN_US 2000000 /* wait for responses after the last request */
#define BURST_REQUESTS_MAX 256 /* sent in one iteration of the loop */
#define NS_PER_US 1000

typedef struct endpoint_t {
	int port;
	GArray *latency; /* gint64, us */
	GQueue idle; /* conn_t */
	GQueue overdue; /* gint64, scheduled times of unsent requests */
	unsigned errors;
	unsigned sent;
} endpoint_t;

typedef struct conn_t {
	endpoint_t *endpoint;
	int fd;
	gint64 due; /* scheduled time of the current request, 0: idle */
	size_t used;
	char buffer[BUFFER_SIZE];
} conn_t;

static endpoint_t endpoints[ENDPOINTS_MAX];
static int endpoint_count;
static int ports[ENDPOINTS_MAX];
static double rate = 1000;
static double seconds = 5;
static double warm_up = 1;
static int conns = 16;
static char *key;
static gboolean stream;
static const char *labels[ENDPOINTS_MAX] = {"a", "b"};
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
	{"warm", 0, 0, G_OPTION_ARG_DOUBLE, &warm_up,
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

static void start_request(conn_t *conn, gint64 due)
{
	conn->due = due;
	conn->used = 0;
	if (send(conn->fd, request, request_size, MSG_NOSIGNAL) !=
	    (ssize_t)request_size)
		conn->endpoint->errors++;
}

/* Returns true if the buffer holds a complete response. */
static bool is_complete(const conn_t *conn)
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
	endpoint_t *endpoint = conn->endpoint;
	gint64 latency = g_get_monotonic_time() - conn->due;
	gint64 *overdue;

	if (strncmp(conn->buffer, "HTTP/1.1 200", 12) != 0) {
		if (endpoint->errors++ == 0)
			fprintf(stderr, "first error: %.*s\n",
				(int)MIN(conn->used, 600), conn->buffer);
	} else if (conn->due >= begin + (gint64)(warm_up * 1e6)) {
		g_array_append_val(endpoint->latency, latency);
	}
	conn->due = 0;
	overdue = g_queue_pop_head(&endpoint->overdue);
	if (overdue != NULL)
		start_request(conn, *overdue);
	else
		g_queue_push_head(&endpoint->idle, conn);
	g_free(overdue);
}

static gboolean on_answer(gint fd, GIOCondition condition, gpointer data)
{
	conn_t *conn = data;
	ssize_t received;

	(void)condition;
	received = recv(fd, conn->buffer + conn->used,
			sizeof(conn->buffer) - 1 - conn->used, MSG_DONTWAIT);
	if (received < 0 && errno == EAGAIN)
		return G_SOURCE_CONTINUE;
	if (received <= 0) {
		conn->endpoint->errors++;
		return G_SOURCE_REMOVE;
	}
	conn->used += (size_t)received;
	conn->buffer[conn->used] = '\0';
	if (conn->due != 0 && !stream && is_complete(conn))
		finish_request(conn);
	return G_SOURCE_CONTINUE;
}

static void open_connection(endpoint_t *endpoint)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				 .sin_port = htons((uint16_t)endpoint->port)};
	conn_t *conn = g_new0(conn_t, 1);
	int one = 1;

	conn->endpoint = endpoint;
	conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(conn->fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		perror("connect");
		exit(1);
	}
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	g_unix_fd_add(conn->fd, G_IO_IN, on_answer, conn);
	g_queue_push_tail(&endpoint->idle, conn);
}

static gint64 send_time(gint64 i)
{
	return begin + (gint64)((double)i * 1e6 / (rate * endpoint_count));
}

static void arm_timer(gint64 due)
{
	struct itimerspec spec = {0};

	spec.it_value.tv_sec = due / G_USEC_PER_SEC;
	spec.it_value.tv_nsec = due % G_USEC_PER_SEC * NS_PER_US;
	timerfd_settime(timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void send_next(void)
{
	endpoint_t *endpoint = &endpoints[sent % endpoint_count];
	gint64 due = send_time(sent++);
	conn_t *conn = g_queue_pop_head(&endpoint->idle);
	gint64 *overdue;

	endpoint->sent++;
	if (conn != NULL) {
		start_request(conn, due);
		return;
	}
	overdue = g_new(gint64, 1);
	*overdue = due;
	g_queue_push_tail(&endpoint->overdue, overdue);
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
	    (sent >= total && g_queue_is_empty(&endpoints[0].overdue))) {
		if (now >= end + DRAIN_US / 4)
			g_main_loop_quit(loop);
		else
			arm_timer(end + DRAIN_US / 4);
		return G_SOURCE_CONTINUE;
	}
	for (int i = 0;
	     i < BURST_REQUESTS_MAX && sent < total && send_time(sent) <= now;
	     i++)
		send_next();
	arm_timer(sent < total ? MAX(send_time(sent), now + 1)
			       : end + DRAIN_US / 4);
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

static void report(endpoint_t *endpoint, const char *name)
{
	unsigned unanswered = g_queue_get_length(&endpoint->overdue) +
			      (unsigned)conns -
			      g_queue_get_length(&endpoint->idle);

	g_array_sort(endpoint->latency, compare);
	printf("%s count=%u rate=%.0f p50_ms=%.3f p99_ms=%.3f p999_ms=%.3f "
	       "errors=%u unanswered=%u\n",
	       name, endpoint->latency->len,
	       (double)endpoint->latency->len / (seconds - warm_up),
	       quantile(endpoint->latency, 0.5),
	       quantile(endpoint->latency, 0.99),
	       quantile(endpoint->latency, 0.999), endpoint->errors,
	       unanswered);
}

static void hold_streams(void)
{
	conn_t *conn;

	while ((conn = g_queue_pop_head(&endpoints[0].idle)) != NULL) {
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
	    ports[0] == 0 || rate <= 0 || conns <= 0 || seconds <= warm_up) {
		fprintf(stderr, "usage: load --port N [--second N] [--rate R] "
				"[--seconds S] ...\n");
		return 2;
	}
	endpoint_count = ports[1] == 0 ? 1 : 2;
	total = MIN((gint64)(rate * seconds) * endpoint_count, REQUESTS_MAX);
	loop = g_main_loop_new(NULL, FALSE);
	make_request();
	for (int p = 0; p < endpoint_count; p++) {
		endpoints[p].port = ports[p];
		endpoints[p].latency =
			g_array_new(FALSE, FALSE, sizeof(gint64));
		for (int i = 0; i < conns; i++)
			open_connection(&endpoints[p]);
	}
	begin = g_get_monotonic_time();
	if (stream) {
		hold_streams();
		g_timeout_add((guint)(seconds * 1e3), on_hold_end, loop);
		g_main_loop_run(loop);
		printf("errors=%u\n", endpoints[0].errors);
		return 0;
	}
	end = begin + (gint64)(seconds * 1e6);
	timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	g_unix_fd_add(timer_fd, G_IO_IN, on_timer, NULL);
	arm_timer(begin);
	g_main_loop_run(loop);
	for (int p = 0; p < endpoint_count; p++)
		report(&endpoints[p], labels[p]);
	return 0;
}
