/*
 * Cost of an iteration of the main loop with one active and many idle
 * connections: descriptors in the kernel's epoll set, compared with a source of
 * the main loop for each of them.
 */
#include "kernel/kernel.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ITERATIONS 4000
#define WARM_UP_ITERATIONS 200
#define IDLE_MAX 2000
#define ROUNDS 5 /* the fastest counts */
#define GOAL_RATIO 1.5 /* largest fleet relative to the smallest */

static const int idle_counts[] = {10, 300, IDLE_MAX};

typedef enum form_t {
	FORM_POLLSET,
	FORM_SOURCES,
} form_t;

typedef struct pair_t {
	int ours;
	int other;
	handle_t watch;
	GSource *source;
} pair_t;

static void read_byte(int fd)
{
	char byte;

	if (read(fd, &byte, 1) != 1)
		g_error("read failed");
}

static void on_ready(void *data, unsigned ready)
{
	const pair_t *pair = data;

	(void)ready;
	read_byte(pair->ours);
}

static gboolean on_source(gint fd, GIOCondition condition, gpointer data)
{
	(void)condition;
	(void)data;
	read_byte(fd);
	return G_SOURCE_CONTINUE;
}

static void open_pair(kernel_t *kernel, pair_t *pair, form_t form)
{
	int fds[2];

	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) != 0)
		g_error("socketpair failed");
	pair->ours = fds[0];
	pair->other = fds[1];
	switch (form) {
	case FORM_POLLSET:
		pair->watch = pollset_add(&kernel->pollset, pair->ours,
					  POLLSET_IN, on_ready, pair);
		break;
	case FORM_SOURCES:
		pair->source = g_unix_fd_source_new(pair->ours, G_IO_IN);
		g_source_set_callback(pair->source, G_SOURCE_FUNC(on_source),
				      NULL, NULL);
		g_source_attach(pair->source, kernel->context);
		break;
	}
}

static void close_pair(kernel_t *kernel, pair_t *pair)
{
	pollset_remove(&kernel->pollset, &pair->watch);
	if (pair->source != NULL) {
		g_source_destroy(pair->source);
		g_clear_pointer(&pair->source, g_source_unref);
	}
	close(pair->ours);
	close(pair->other);
}

static void iterate(const kernel_t *kernel, const pair_t *active, int count)
{
	for (int i = 0; i < count; i++) {
		if (write(active->other, "x", 1) != 1)
			g_error("write failed");
		g_main_context_iteration(kernel->context, TRUE);
	}
}

/* Returns the time of one iteration in us. */
static double measure(form_t form, int idle)
{
	static pair_t pairs[IDLE_MAX + 1];
	kernel_t kernel;
	double best = 0.0;

	kernel_init(&kernel, CLOCK_REAL, 0);
	memset(pairs, 0, sizeof(pairs));
	for (int i = 0; i <= idle; i++)
		open_pair(&kernel, &pairs[i], form);
	iterate(&kernel, &pairs[0], WARM_UP_ITERATIONS);
	for (int round = 0; round < ROUNDS; round++) {
		int64_t start = g_get_monotonic_time();
		double us;

		iterate(&kernel, &pairs[0], ITERATIONS);
		us = (double)(g_get_monotonic_time() - start) / ITERATIONS;
		best = round == 0 ? us : MIN(best, us);
	}
	for (int i = 0; i <= idle; i++)
		close_pair(&kernel, &pairs[i]);
	kernel_finish(&kernel);
	return best;
}

static double measure_growth(form_t form, const char *name)
{
	double first = 0.0, last = 0.0;

	for (gsize i = 0; i < G_N_ELEMENTS(idle_counts); i++) {
		last = measure(form, idle_counts[i]);
		if (i == 0)
			first = last;
		printf("note poll form=%s idle=%d us=%.2f\n", name,
		       idle_counts[i], last);
	}
	return last / first;
}

static void print_growth(const char *policy, double growth)
{
	printf("bench poll_iteration_growth trace=idle policy=%s value=%.2f "
	       "goal=%.1f met=%s\n",
	       policy, growth, GOAL_RATIO, growth <= GOAL_RATIO ? "yes" : "no");
}

int main(void)
{
	double growth = measure_growth(FORM_POLLSET, "pollset");

	print_growth("tanagertrestle", growth);
	print_growth("sources", measure_growth(FORM_SOURCES, "sources"));
	return growth <= GOAL_RATIO ? 0 : 1;
}
