/*
 * Traces of the benchmarks: requests in the order of arrival.  A trace is
 * generated from a seed with integer and basic floating-point arithmetic
 * only, so that the committed checksums hold on every machine.
 */
#ifndef BENCH_TRACE_H
#define BENCH_TRACE_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TRACE_ROUTERS 7
#define TRACE_ACCOUNTS 10
#define TRACE_SERVICES 2
#define TRACE_TICK_US 250 /* at most one arrival of a workload in each tick */
#define US_PER_TOKEN 20000 /* for each request in a batch */
#define CHECKSUMS_PATH "bench/traces/checksums.txt"

/* Topology of a deployment.  Service 0 is the model, 1 the plain service. */
typedef struct deployment_t {
	char name; /* A: Szunyoghalo, B: Pemberton & Vance */
	uint32_t zones;
	uint32_t router_zone[TRACE_ROUTERS];
	uint32_t targets[TRACE_SERVICES];
	uint32_t batch[TRACE_SERVICES]; /* requests in progress on a target */
	uint32_t short_tokens;
	int64_t deadline_us;
	uint32_t scale; /* percent, applied to the sizes of model requests */
} deployment_t;

typedef struct job_t {
	int64_t arrival; /* us */
	int64_t deadline; /* us, absolute */
	uint32_t router;
	uint32_t account;
	uint32_t service;
	bool counted; /* included in the figures */
	int64_t tokens; /* actual size */
	int64_t token_limit; /* size that the caller states to the router */
} job_t;

/*
 * A stream of requests whose arrival rate rises linearly from base_rate to
 * peak_rate, and falls back.
 */
typedef struct workload_t {
	uint32_t service;
	bool counted;
	int64_t from, to; /* us */
	int64_t ramp_up_start, ramp_up_end; /* us */
	int64_t ramp_down_start, ramp_down_end; /* us */
	double base_rate, peak_rate; /* requests/s */
	const uint32_t *sizes; /* tokens, equally likely */
	uint32_t size_count;
	int64_t deadline_us;
} workload_t;

typedef struct trace_t {
	deployment_t deployment;
	uint64_t seed;
	GArray *jobs; /* job_t */
} trace_t;

static const deployment_t deployments[] = {
	{.name = 'A',
	 .zones = 4,
	 .router_zone = {0, 0, 1, 1, 2, 2, 3},
	 .targets = {12, 4},
	 .batch = {32, 16},
	 .short_tokens = 128,
	 .deadline_us = 8000000,
	 .scale = 100},
	{.name = 'B',
	 .zones = 3,
	 .router_zone = {0, 0, 0, 1, 1, 2, 2},
	 .targets = {18, 3},
	 .batch = {16, 16},
	 .short_tokens = 320,
	 .deadline_us = 20000000,
	 .scale = 250},
};

/* SplitMix64. */
static inline uint64_t trace_random(uint64_t *state)
{
	uint64_t z = *state += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static inline uint32_t trace_random_below(uint64_t *state, uint32_t n)
{
	return (uint32_t)((trace_random(state) >> 32) * n >> 32);
}

static inline double workload_rate(const workload_t *workload, int64_t t)
{
	double part = 0;

	if (t < workload->ramp_up_start || t >= workload->ramp_down_end)
		part = 0;
	else if (t < workload->ramp_up_end)
		part = (double)(t - workload->ramp_up_start) /
		       (double)(workload->ramp_up_end -
				workload->ramp_up_start);
	else if (t < workload->ramp_down_start)
		part = 1;
	else
		part = (double)(workload->ramp_down_end - t) /
		       (double)(workload->ramp_down_end -
				workload->ramp_down_start);
	return workload->base_rate +
	       part * (workload->peak_rate - workload->base_rate);
}

/* 3 of the 10 client accounts send three quarters of the requests. */
static inline uint32_t trace_random_account(uint64_t *state)
{
	uint32_t n = trace_random_below(state, 100);

	return n < 75 ? n / 25
		      : 3 + trace_random_below(state, TRACE_ACCOUNTS - 3);
}

static inline void trace_add(trace_t *trace, const workload_t *workload,
			     uint64_t workload_seed)
{
	uint64_t state = trace->seed * 1000003 + workload_seed;
	uint32_t scale = trace->deployment.scale;

	for (int64_t t = workload->from; t < workload->to; t += TRACE_TICK_US) {
		double chance =
			workload_rate(workload, t) * TRACE_TICK_US / 1e6;
		job_t job = {.service = workload->service,
			     .counted = workload->counted};

		if ((double)(trace_random(&state) >> 11) / 9007199254740992.0 >=
		    chance)
			continue;
		job.arrival = t + trace_random_below(&state, TRACE_TICK_US);
		job.deadline = job.arrival + workload->deadline_us;
		job.router = trace_random_below(&state, TRACE_ROUTERS);
		job.account = trace_random_account(&state);
		job.tokens = workload->sizes[trace_random_below(
			&state, workload->size_count)];
		/* Callers state a limit of 2 to 6 times the actual size. */
		if (job.service == 0) {
			job.tokens = job.tokens * scale / 100;
			job.token_limit =
				job.tokens *
				(200 + trace_random_below(&state, 400)) / 100;
		} else {
			job.token_limit = job.tokens;
		}
		g_array_append_val(trace->jobs, job);
	}
}

static inline gint trace_compare(gconstpointer a, gconstpointer b)
{
	const job_t *x = a, *y = b;

	if (x->arrival != y->arrival)
		return x->arrival < y->arrival ? -1 : 1;
	if (x->service != y->service)
		return x->service < y->service ? -1 : 1;
	return (x->tokens > y->tokens) - (x->tokens < y->tokens);
}

/* 64-bit FNV-1a over the fields of all requests. */
static inline uint64_t trace_checksum(const trace_t *trace)
{
	uint64_t sum = UINT64_C(0xcbf29ce484222325);

	for (guint i = 0; i < trace->jobs->len; i++) {
		const job_t *job = &g_array_index(trace->jobs, job_t, i);
		uint64_t parts[] = {(uint64_t)job->arrival,
				    (uint64_t)job->deadline,
				    job->router,
				    job->account,
				    job->service,
				    (uint64_t)job->tokens,
				    (uint64_t)job->token_limit};

		for (size_t n = 0; n < G_N_ELEMENTS(parts); n++)
			sum = (sum ^ parts[n]) * UINT64_C(0x100000001b3);
	}
	return sum;
}

/*
 * Sorts the requests, and exits if a checksum is committed for this trace and
 * theirs differs.  If BENCH_CHECKSUMS is set, prints the line for the file of
 * checksums instead of comparing.
 */
static inline void trace_complete(trace_t *trace, const char *name)
{
	char line[128], committed_name[32], committed_trace;
	uint64_t seed, sum, checksum;
	bool ok = true;
	FILE *file;

	g_array_sort(trace->jobs, trace_compare);
	checksum = trace_checksum(trace);
	if (getenv("BENCH_CHECKSUMS") != NULL) {
		fprintf(stderr, "%s %c %" PRIu64 " %016" PRIx64 "\n", name,
			trace->deployment.name, trace->seed, checksum);
		return;
	}
	file = fopen(CHECKSUMS_PATH, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		if (sscanf(line, "%31s %c %" SCNu64 " %" SCNx64, committed_name,
			   &committed_trace, &seed, &sum) == 4 &&
		    strcmp(committed_name, name) == 0 && seed == trace->seed &&
		    committed_trace == trace->deployment.name &&
		    sum != checksum)
			ok = false;
	}
	if (file != NULL)
		fclose(file);
	if (!ok) {
		fprintf(stderr,
			"%s: trace %c of seed %" PRIu64 " has checksum "
			"%016" PRIx64 ", not the committed one\n",
			name, trace->deployment.name, trace->seed, checksum);
		exit(2);
	}
}

static inline void trace_init(trace_t *trace, const deployment_t *deployment,
			      uint64_t seed)
{
	trace->deployment = *deployment;
	trace->seed = seed;
	trace->jobs = g_array_new(FALSE, FALSE, sizeof(job_t));
}

static inline void trace_finish(trace_t *trace)
{
	g_array_unref(trace->jobs);
}

/* Returns the requests/s that keep all targets of a service busy. */
static inline double trace_capacity(const trace_t *trace, uint32_t service,
				    const uint32_t *sizes, uint32_t count)
{
	const deployment_t *d = &trace->deployment;
	double sum = 0;

	for (uint32_t i = 0; i < count; i++)
		sum += sizes[i] * (service == 0 ? d->scale / 100.0 : 1.0);
	return d->targets[service] * d->batch[service] * 1e6 /
	       (sum / count * US_PER_TOKEN);
}

/* Adds requests for the plain service at 40 % of its capacity. */
static inline void trace_add_plain(trace_t *trace, int64_t to)
{
	static const uint32_t sizes[] = {5, 5, 6, 8, 10, 12};
	workload_t workload = {.service = 1,
			       .to = to,
			       .ramp_down_end = 0,
			       .sizes = sizes,
			       .size_count = G_N_ELEMENTS(sizes),
			       .deadline_us = 5000000};

	workload.base_rate =
		0.4 * trace_capacity(trace, 1, sizes, workload.size_count);
	trace_add(trace, &workload, 99);
}

#endif
