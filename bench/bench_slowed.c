/*
 * p99 latency while 3 targets at a time run at a tenth of their speed for 5 s
 * and load reports arrive 2 s late, compared with the same trace without
 * slowdowns.
 */
#include "bench/figure.h"

#define END_US 120000000
#define FIRST_SLOWDOWN_US 20000000
#define SLOWDOWN_PERIOD_US 25000000
#define SLOWDOWN_JITTER_US 5000000
#define SLOWDOWN_LENGTH_US 5000000
#define SLOWED_TARGETS 3
#define LOAD 0.6 /* share of the capacity */
#define GOAL_P99_RATIO 2.0 /* relative to the p99 without slowdowns */
#define GOAL_EXTRA_WORK 0.05 /* share of the useful work */

/* The sizes vary little: a long tail would hide the effect of slow targets. */
static const uint32_t sizes[] = {20, 30, 40, 50, 60, 70, 80};

static void make_trace(trace_t *trace)
{
	workload_t workload = {.counted = true,
			       .to = END_US,
			       .sizes = sizes,
			       .size_count = G_N_ELEMENTS(sizes),
			       .deadline_us =
				       trace->deployment.deadline_us * 4};

	workload.base_rate =
		LOAD * trace_capacity(trace, 0, sizes, workload.size_count);
	trace_add(trace, &workload, 1);
	trace_add_plain(trace, END_US);
	trace_complete(trace, "slowed");
}

static GArray *make_slowdowns(const trace_t *trace)
{
	GArray *slowdowns = g_array_new(FALSE, FALSE, sizeof(slowdown_t));
	uint64_t state = trace->seed * 77;

	for (int64_t t = FIRST_SLOWDOWN_US;
	     t + SLOWDOWN_JITTER_US + SLOWDOWN_LENGTH_US < END_US;
	     t += SLOWDOWN_PERIOD_US) {
		int64_t from =
			t + trace_random_below(&state, SLOWDOWN_JITTER_US);
		uint32_t first = trace_random_below(
			&state, trace->deployment.targets[0]);

		for (uint32_t i = 0; i < SLOWED_TARGETS; i++) {
			slowdown_t slowdown = {
				.from = from,
				.to = from + SLOWDOWN_LENGTH_US,
				.target = (first + 5 * i) %
					  trace->deployment.targets[0]};

			g_array_append_val(slowdowns, slowdown);
		}
	}
	return slowdowns;
}

static bool run(const deployment_t *deployment, uint64_t seed)
{
	trace_t trace;
	GArray *slowdowns;
	double base_ms = 0;
	bool ok = true;

	trace_init(&trace, deployment, seed);
	make_trace(&trace);
	slowdowns = make_slowdowns(&trace);
	for (int p = 0; p < BENCH_POLICY_COUNT; p++) {
		bench_policy_t policy = (bench_policy_t)p;
		replay_t replay;
		double p99_ms, extra_work;

		if (policy == BENCH_TANAGERTRESTLE) {
			replay_init(&replay, &trace, policy);
			replay_run(&replay, NULL);
			replay_print_summary(&replay);
			base_ms = replay_p99(&replay, false);
			replay_finish(&replay);
		}
		replay_init(&replay, &trace, policy);
		replay_run(&replay, slowdowns);
		replay_print_summary(&replay);
		p99_ms = replay_p99(&replay, false);
		extra_work = replay.work_wasted / replay.work_useful;
		ok = bench_print("slowed_p99_ms", &trace, policy, p99_ms,
				 GOAL_P99_RATIO * base_ms,
				 p99_ms <= GOAL_P99_RATIO * base_ms) &&
		     ok;
		if (policy == BENCH_TANAGERTRESTLE)
			ok = bench_print("slowed_extra_work", &trace, policy,
					 extra_work, GOAL_EXTRA_WORK,
					 extra_work < GOAL_EXTRA_WORK) &&
			     ok;
		replay_finish(&replay);
	}
	g_array_unref(slowdowns);
	trace_finish(&trace);
	return ok;
}

int main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	bool ok = true;

	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++)
		ok = run(&deployments[i], seed) && ok;
	return ok ? 0 : 1;
}
