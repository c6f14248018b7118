/*
 * Share of requests answered in time when demand swings tenfold within 2 s,
 * to just above the targets' capacity and to well above it.
 */
#include "bench/figure.h"

#define LOW_TO 10000000 /* us */
#define HIGH_FROM 12000000
#define HIGH_TO 27000000
#define LOW_FROM 29000000
#define END 45000000
#define GRID 1000000 /* us, of the intervals of the bound */
#define GOAL 0.01 /* below the best possible */

static const uint32_t sizes[] = {20, 25, 30, 40, 50, 60, 80, 100, 130, 250};

static void make(trace_t *trace, const char *name, double peak)
{
	stream_t stream = {.counted = true,
			   .to = END,
			   .low_to = LOW_TO,
			   .high_from = HIGH_FROM,
			   .high_to = HIGH_TO,
			   .low_from = LOW_FROM,
			   .sizes = sizes,
			   .size_count = G_N_ELEMENTS(sizes),
			   .deadline_us = trace->deployment.deadline_us};

	stream.high = peak * trace_capacity(trace, 0, sizes, stream.size_count);
	stream.low = stream.high / 10;
	trace_add(trace, &stream, 1);
	trace_add_plain(trace, END);
	trace_close(trace, name);
}

static gint compare_sizes(gconstpointer a, gconstpointer b)
{
	const job_t *x = a, *y = b;

	return (x->real > y->real) - (x->real < y->real);
}

/*
 * At most this many of the requests that arrive in an interval can end in
 * time, whatever the order: the smallest that fit into the work that all
 * targets do from its beginning to its last deadline.
 */
static uint32_t lost_in(const GArray *sorted, int64_t from, int64_t to,
			double rate, int64_t deadline)
{
	double room = rate * (double)(to + deadline - from);
	uint32_t lost = 0;

	for (guint i = 0; i < sorted->len; i++) {
		const job_t *job = &g_array_index(sorted, job_t, i);

		if (!job->counted || job->arrival < from || job->arrival >= to)
			continue;
		room -= (double)job->real * US_PER_TOKEN;
		lost += room < 0;
	}
	return lost;
}

static double best_possible(const trace_t *trace)
{
	const deployment_t *d = &trace->deployment;
	GArray *sorted = g_array_copy(trace->jobs);
	uint32_t counted = 0, lost = 0;

	g_array_sort(sorted, compare_sizes);
	for (guint i = 0; i < sorted->len; i++)
		counted += g_array_index(sorted, job_t, i).counted;
	for (int64_t from = 0; from < END; from += GRID) {
		for (int64_t to = from + GRID; to <= END; to += GRID) {
			uint32_t n = lost_in(sorted, from, to,
					     d->targets[0] * d->batch[0],
					     d->deadline_us);

			lost = MAX(lost, n);
		}
	}
	g_array_unref(sorted);
	return (double)(counted - lost) / counted;
}

static bool run(const char *name, const deployment_t *deployment, uint64_t seed,
		double peak)
{
	trace_t trace;
	double best, value;
	bool ok = true;

	trace_init(&trace, deployment, seed);
	make(&trace, name, peak);
	best = best_possible(&trace);
	for (int policy = 0; policy < BENCH_POLICIES; policy++) {
		replay_t replay;

		replay_init(&replay, &trace, (bench_policy_t)policy);
		replay_run(&replay, NULL);
		replay_explain(&replay);
		value = replay_in_time(&replay);
		ok = bench_print(name, &trace, (bench_policy_t)policy, value,
				 best - GOAL, value >= best - GOAL) &&
		     ok;
		replay_finish(&replay);
	}
	trace_finish(&trace);
	return ok;
}

int main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	bool ok = true;

	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		ok = run("crest", &deployments[i], seed, 1.05) && ok;
		ok = run("crest_above", &deployments[i], seed, 1.6) && ok;
	}
	return ok ? 0 : 1;
}
