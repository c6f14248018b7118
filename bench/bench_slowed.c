/*
 * p99 latency while 3 targets at a time are slowed tenfold for 5 s, load
 * reports 2 s late, against the same trace unslowed.
 */
#include "bench/figure.h"

#define END 120000000 /* us */
#define FIRST 20000000 /* of the slowings */
#define EVERY 25000000
#define SPREAD 5000000
#define LENGTH 5000000
#define AT_ONCE 3
#define LOAD 0.6
#define GOAL 2.0 /* times the unslowed p99 */
#define GOAL_EXTRA 0.05 /* of the work */

/* Of little spread: a long tail of sizes would hide a slowed target. */
static const uint32_t sizes[] = {20, 30, 40, 50, 60, 70, 80};

static void make(trace_t *trace)
{
	stream_t stream = {.counted = true,
			   .to = END,
			   .sizes = sizes,
			   .size_count = G_N_ELEMENTS(sizes),
			   .deadline_us = trace->deployment.deadline_us * 4};

	stream.low = LOAD * trace_capacity(trace, 0, sizes, stream.size_count);
	trace_add(trace, &stream, 1);
	trace_add_plain(trace, END);
	trace_close(trace, "slowed");
}

static GArray *make_slowings(const trace_t *trace)
{
	GArray *slowings = g_array_new(FALSE, FALSE, sizeof(slowing_t));
	uint64_t state = trace->seed * 77;

	for (int64_t t = FIRST; t + SPREAD + LENGTH < END; t += EVERY) {
		int64_t from = t + trace_below(&state, SPREAD);
		uint32_t first =
			trace_below(&state, trace->deployment.targets[0]);

		for (uint32_t i = 0; i < AT_ONCE; i++) {
			slowing_t slowing = {
				.from = from,
				.to = from + LENGTH,
				.target = (first + 5 * i) %
					  trace->deployment.targets[0]};

			g_array_append_val(slowings, slowing);
		}
	}
	return slowings;
}

static bool run(const deployment_t *deployment, uint64_t seed)
{
	trace_t trace;
	GArray *slowings;
	double base = 0;
	bool ok = true;

	trace_init(&trace, deployment, seed);
	make(&trace);
	slowings = make_slowings(&trace);
	for (int p = 0; p < BENCH_POLICIES; p++) {
		bench_policy_t policy = (bench_policy_t)p;
		replay_t replay;
		double p99, extra;

		if (policy == BENCH_TANAGERTRESTLE) {
			replay_init(&replay, &trace, policy);
			replay_run(&replay, NULL);
			replay_explain(&replay);
			base = replay_p99(&replay, false);
			replay_finish(&replay);
		}
		replay_init(&replay, &trace, policy);
		replay_run(&replay, slowings);
		replay_explain(&replay);
		p99 = replay_p99(&replay, false);
		extra = replay.work_lost / replay.work_useful;
		ok = bench_print("slowed_p99_ms", &trace, policy, p99,
				 GOAL * base, p99 <= GOAL * base) &&
		     ok;
		if (policy == BENCH_TANAGERTRESTLE)
			ok = bench_print("slowed_extra_work", &trace, policy,
					 extra, GOAL_EXTRA,
					 extra < GOAL_EXTRA) &&
			     ok;
		replay_finish(&replay);
	}
	g_array_unref(slowings);
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
