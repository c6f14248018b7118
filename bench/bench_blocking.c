/*
 * p99 waiting time of short work while long jobs of 50 times its size hold
 * 70 % of the capacity, against the same short work alone.
 */
#include "bench/figure.h"

#define END 240000000 /* us */
#define WARM 120000000 /* until the long jobs hold their part */
#define LONG_PART 0.70
#define SHORT_PART 0.15
#define LONG_FACTOR 50
#define GOAL 1.5 /* times the p99 without the long jobs */
#define GOAL_ROUND_ROBIN 0.1 /* of round robin's p99 */

static const uint32_t sizes[] = {20, 30, 40, 50, 60, 70, 80};

static void make(trace_t *trace, const char *name, bool with_long)
{
	uint32_t longs[G_N_ELEMENTS(sizes)];
	stream_t stream = {.to = END,
			   .sizes = sizes,
			   .size_count = G_N_ELEMENTS(sizes),
			   .deadline_us = trace->deployment.deadline_us * 100};

	stream.low =
		SHORT_PART * trace_capacity(trace, 0, sizes, stream.size_count);
	stream.to = WARM;
	trace_add(trace, &stream, 1);
	stream.from = WARM;
	stream.to = END;
	stream.counted = true;
	trace_add(trace, &stream, 2);
	trace_add_plain(trace, END);
	if (with_long) {
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			longs[i] = sizes[i] * LONG_FACTOR;
		stream.counted = false;
		stream.from = 0;
		stream.sizes = longs;
		stream.low = LONG_PART *
			     trace_capacity(trace, 0, longs, stream.size_count);
		trace_add(trace, &stream, 3);
	}
	trace_close(trace, name);
}

static double wait_of(const trace_t *trace, bench_policy_t policy)
{
	replay_t replay;
	double p99;

	replay_init(&replay, trace, policy);
	replay_run(&replay, NULL);
	replay_explain(&replay);
	p99 = replay_p99(&replay, true);
	replay_finish(&replay);
	return p99;
}

static bool run(const deployment_t *deployment, uint64_t seed)
{
	trace_t alone, mixed;
	double own = 0, base = 0, round_robin = 0;
	bool ok = true;

	trace_init(&alone, deployment, seed);
	trace_init(&mixed, deployment, seed);
	make(&alone, "blocking_alone", false);
	make(&mixed, "blocking", true);
	for (int policy = 0; policy < BENCH_POLICIES; policy++) {
		double without = wait_of(&alone, (bench_policy_t)policy);
		double with = wait_of(&mixed, (bench_policy_t)policy);

		if (policy == BENCH_TANAGERTRESTLE) {
			own = with;
			base = without;
		}
		if (policy == BENCH_ROUND_ROBIN)
			round_robin = with;
		ok = bench_print("blocking_p99_wait_ms", &mixed,
				 (bench_policy_t)policy, with, GOAL * base,
				 with <= GOAL * base) &&
		     ok;
	}
	ok = bench_print("blocking_of_round_robin", &mixed,
			 BENCH_TANAGERTRESTLE, own / round_robin,
			 GOAL_ROUND_ROBIN,
			 own <= GOAL_ROUND_ROBIN * round_robin) &&
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
