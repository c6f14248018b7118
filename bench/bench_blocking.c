/*
 * Head-of-line blocking: p99 waiting time of short requests while requests of
 * 50 times their size take 70 % of the capacity, compared with the same short
 * requests alone.
 */
#include "bench/figure.h"

#define END_US 240000000
#define WARM_UP_US 120000000 /* the long requests then reach their load */
#define LONG_LOAD 0.70 /* share of the capacity */
#define SHORT_LOAD 0.15 /* share of the capacity */
#define LONG_FACTOR 50
#define GOAL_P99_RATIO 1.5 /* relative to the p99 without long requests */
#define GOAL_ROUND_ROBIN_RATIO 0.1 /* relative to the p99 of round robin */

static const uint32_t sizes[] = {20, 30, 40, 50, 60, 70, 80};

static void make_trace(trace_t *trace, const char *name, bool with_long)
{
	uint32_t long_sizes[G_N_ELEMENTS(sizes)];
	workload_t workload = {.to = END_US,
			       .sizes = sizes,
			       .size_count = G_N_ELEMENTS(sizes),
			       .deadline_us =
				       trace->deployment.deadline_us * 100};

	workload.base_rate = SHORT_LOAD * trace_capacity(trace, 0, sizes,
							 workload.size_count);
	workload.to = WARM_UP_US;
	trace_add(trace, &workload, 1);
	workload.from = WARM_UP_US;
	workload.to = END_US;
	workload.counted = true;
	trace_add(trace, &workload, 2);
	trace_add_plain(trace, END_US);
	if (with_long) {
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			long_sizes[i] = sizes[i] * LONG_FACTOR;
		workload.counted = false;
		workload.from = 0;
		workload.sizes = long_sizes;
		workload.base_rate =
			LONG_LOAD * trace_capacity(trace, 0, long_sizes,
						   workload.size_count);
		trace_add(trace, &workload, 3);
	}
	trace_complete(trace, name);
}

static double p99_wait_ms(const trace_t *trace, bench_policy_t policy)
{
	replay_t replay;
	double p99;

	replay_init(&replay, trace, policy);
	replay_run(&replay, NULL);
	replay_print_summary(&replay);
	p99 = replay_p99(&replay, true);
	replay_finish(&replay);
	return p99;
}

static bool run(const deployment_t *deployment, uint64_t seed)
{
	trace_t alone, mixed;
	double own_ms = 0, base_ms = 0, round_robin_ms = 0;
	bool ok = true;

	trace_init(&alone, deployment, seed);
	trace_init(&mixed, deployment, seed);
	make_trace(&alone, "blocking_alone", false);
	make_trace(&mixed, "blocking", true);
	for (int policy = 0; policy < BENCH_POLICY_COUNT; policy++) {
		double alone_ms = p99_wait_ms(&alone, (bench_policy_t)policy);
		double mixed_ms = p99_wait_ms(&mixed, (bench_policy_t)policy);

		if (policy == BENCH_TANAGERTRESTLE) {
			own_ms = mixed_ms;
			base_ms = alone_ms;
		}
		if (policy == BENCH_ROUND_ROBIN)
			round_robin_ms = mixed_ms;
		ok = bench_print("blocking_p99_wait_ms", &mixed,
				 (bench_policy_t)policy, mixed_ms,
				 GOAL_P99_RATIO * base_ms,
				 mixed_ms <= GOAL_P99_RATIO * base_ms) &&
		     ok;
	}
	ok = bench_print("blocking_of_round_robin", &mixed,
			 BENCH_TANAGERTRESTLE, own_ms / round_robin_ms,
			 GOAL_ROUND_ROBIN_RATIO,
			 own_ms <= GOAL_ROUND_ROBIN_RATIO * round_robin_ms) &&
	     ok;
	trace_finish(&alone);
	trace_finish(&mixed);
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
