/*
 * Computes the figures of a replay and prints them, one line each.
 */
#ifndef BENCH_FIGURE_H
#define BENCH_FIGURE_H

#include "bench/replay.h"

static inline gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the p99 of the counted requests in ms.  A request without an answer
 * counts with the time from its arrival to its deadline.
 */
static inline double replay_p99(const replay_t *r, bool wait)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	double p99_us;

	for (guint i = 0; i < r->trace->jobs->len; i++) {
		const job_t *job = replay_job(r, i);
		int64_t time = wait ? r->jobs[i].wait : r->jobs[i].latency;

		if (!job->counted)
			continue;
		if (time < 0)
			time = job->deadline - job->arrival;
		g_array_append_val(times, time);
	}
	g_array_sort(times, compare_times);
	p99_us = (double)g_array_index(times, int64_t, times->len * 99 / 100);
	g_array_unref(times);
	return p99_us / 1000;
}

/* Prints how the requests ended to stderr if BENCH_VERBOSE is set. */
static inline void replay_print_summary(const replay_t *r)
{
	uint64_t ejections = 0;
	uint32_t unanswered = 0;

	if (getenv("BENCH_VERBOSE") == NULL)
		return;
	for (uint32_t i = 0; i < TRACE_ROUTERS; i++)
		ejections +=
			r->routers[i]
				.kernel.metrics->counters[COUNTER_EJECTIONS];
	for (guint i = 0; i < r->trace->jobs->len; i++)
		unanswered += r->jobs[i].latency < 0;
	fprintf(stderr,
		"%s: %u requests, %u without an answer, %u hedges, "
		"%" PRIu64 " ejections, lost %.4f of the work, refused",
		bench_policy_names[r->policy], r->trace->jobs->len, unanswered,
		r->hedges, ejections, r->work_wasted / r->work_useful);
	for (int i = 0; i < REFUSAL_COUNT; i++) {
		if (r->refused[i] > 0)
			fprintf(stderr, " %s %u", refusal_name((refusal_t)i),
				r->refused[i]);
	}
	fprintf(stderr, "\n");
}

/* Share of the counted requests that were answered. */
static inline double replay_share_in_time(const replay_t *r)
{
	uint32_t counted = 0, in_time = 0;

	for (guint i = 0; i < r->trace->jobs->len; i++) {
		counted += replay_job(r, i)->counted;
		in_time += replay_job(r, i)->counted && r->jobs[i].latency >= 0;
	}
	return (double)in_time / counted;
}

/*
 * Prints one figure.  Returns false if the shipped policy misses the goal; the
 * baselines are printed for comparison only.
 */
static inline bool bench_print(const char *name, const trace_t *trace,
			       bench_policy_t policy, double value, double goal,
			       bool met)
{
	printf("bench %s trace=%c seed=%" PRIu64 " policy=%s value=%.4f "
	       "goal=%.4f met=%s\n",
	       name, trace->deployment.name, trace->seed,
	       bench_policy_names[policy], value, goal, met ? "yes" : "no");
	fflush(stdout);
	return met || policy != BENCH_TANAGERTRESTLE;
}

#endif
