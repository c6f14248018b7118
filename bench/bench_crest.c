/*
 * Share of requests answered before their deadline when demand rises tenfold
 * within 2 s, to just above the targets' capacity or to well above it.
 */
#include "bench/figure.h"

#define RAMP_UP_START_US 10000000
#define RAMP_UP_END_US 12000000
#define RAMP_DOWN_START_US 27000000
#define RAMP_DOWN_END_US 29000000
#define END_US 45000000
#define INTERVAL_STEP_US 1000000 /* resolution of the bound */
#define GOAL_MARGIN 0.01 /* below the upper bound */

static const uint32_t sizes[] = {20, 25, 30, 40, 50, 60, 80, 100, 130, 250};

static void make_trace(trace_t *trace, const char *name, double peak)
{
	workload_t workload = {.counted = true,
			       .to = END_US,
			       .ramp_up_start = RAMP_UP_START_US,
			       .ramp_up_end = RAMP_UP_END_US,
			       .ramp_down_start = RAMP_DOWN_START_US,
			       .ramp_down_end = RAMP_DOWN_END_US,
			       .sizes = sizes,
			       .size_count = G_N_ELEMENTS(sizes),
			       .deadline_us = trace->deployment.deadline_us};

	workload.peak_rate =
		peak * trace_capacity(trace, 0, sizes, workload.size_count);
	workload.base_rate = workload.peak_rate / 10;
	trace_add(trace, &workload, 1);
	trace_add_plain(trace, END_US);
	trace_complete(trace, name);
}

static gint compare_sizes(gconstpointer a, gconstpointer b)
{
	const job_t *x = a, *y = b;

	return (x->tokens > y->tokens) - (x->tokens < y->tokens);
}

/*
 * Returns the least number of requests of an interval that miss their
 * deadlines under any schedule: all but the smallest ones that fit into the
 * work which the targets can do from the start of the interval to the deadline
 * of its last request.
 */
static uint32_t missed_in_interval(const GArray *sorted, int64_t from,
				   int64_t to, double concurrency,
				   int64_t deadline)
{
	double capacity_us = concurrency * (double)(to + deadline - from);
	uint32_t missed = 0;

	for (guint i = 0; i < sorted->len; i++) {
		const job_t *job = &g_array_index(sorted, job_t, i);

		if (!job->counted || job->arrival < from || job->arrival >= to)
			continue;
		capacity_us -= (double)job->tokens * US_PER_TOKEN;
		missed += capacity_us < 0;
	}
	return missed;
}

/* Upper bound of the share of requests that any schedule answers in time. */
static double best_share_in_time(const trace_t *trace)
{
	const deployment_t *d = &trace->deployment;
	GArray *sorted = g_array_copy(trace->jobs);
	uint32_t counted = 0, missed = 0;

	g_array_sort(sorted, compare_sizes);
	for (guint i = 0; i < sorted->len; i++)
		counted += g_array_index(sorted, job_t, i).counted;
	for (int64_t from = 0; from < END_US; from += INTERVAL_STEP_US) {
		for (int64_t to = from + INTERVAL_STEP_US; to <= END_US;
		     to += INTERVAL_STEP_US) {
			uint32_t n = missed_in_interval(
				sorted, from, to, d->targets[0] * d->batch[0],
				d->deadline_us);

			missed = MAX(missed, n);
		}
	}
	g_array_unref(sorted);
	return (double)(counted - missed) / counted;
}

static bool run(const char *name, const deployment_t *deployment, uint64_t seed,
		double peak)
{
	trace_t trace;
	double best, value;
	bool ok = true;

	trace_init(&trace, deployment, seed);
	make_trace(&trace, name, peak);
	best = best_share_in_time(&trace);
	for (int policy = 0; policy < BENCH_POLICY_COUNT; policy++) {
		replay_t replay;

		replay_init(&replay, &trace, (bench_policy_t)policy);
		replay_run(&replay, NULL);
		replay_print_summary(&replay);
		value = replay_share_in_time(&replay);
		ok = bench_print(name, &trace, (bench_policy_t)policy, value,
				 best - GOAL_MARGIN,
				 value >= best - GOAL_MARGIN) &&
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
