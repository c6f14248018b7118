/*
 * Traces of the benchmarks: requests in the order of arrival, made from a
 * seed with integer and basic floating-point arithmetic only, so that the
 * committed checksums hold on every machine.
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
#define TRACE_TICK 250 /* us; at most one arrival of a stream in each */
#define US_PER_TOKEN 20000 /* of one request in a batch */
#define CHECKSUMS "bench/traces/checksums.txt"

/* The sizes of a deployment; service 0 is the model, 1 the plain service. */
typedef struct deployment_t {
	char name; /* A: Szunyoghalo, B: Pemberton & Vance */
	uint32_t zones;
	uint32_t router_zone[TRACE_ROUTERS];
	uint32_t targets[TRACE_SERVICES];
	uint32_t batch[TRACE_SERVICES]; /* requests in progress on a target */
	uint32_t short_tokens;
	int64_t deadline_us;
	uint32_t scale; /* of the sizes of the model's requests, percent */
} deployment_t;

typedef struct job_t {
	int64_t arrival; /* us */
	int64_t deadline; /* us, absolute */
	uint32_t router;
	uint32_t account;
	uint32_t service;
	bool counted; /* part of the figure */
	int64_t real; /* tokens */
	int64_t worst; /* tokens, as the router is told */
} job_t;

/* Requests that arrive at a rate which changes linearly between points. */
typedef struct stream_t {
	uint32_t service;
	bool counted;
	int64_t from, to; /* us */
	int64_t low_to, high_from, high_to, low_from; /* us, of a swing */
	double low, high; /* requests/s */
	const uint32_t *sizes; /* tokens, equally likely */
	uint32_t size_count;
	int64_t deadline_us;
} stream_t;

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

static inline uint64_t trace_random(uint64_t *state)
{
	uint64_t z = *state += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static inline uint32_t trace_below(uint64_t *state, uint32_t n)
{
	return (uint32_t)((trace_random(state) >> 32) * n >> 32);
}

static inline double trace_rate(const stream_t *stream, int64_t t)
{
	double part = 0;

	if (t < stream->low_to || t >= stream->low_from)
		part = 0;
	else if (t < stream->high_from)
		part = (double)(t - stream->low_to) /
		       (double)(stream->high_from - stream->low_to);
	else if (t < stream->high_to)
		part = 1;
	else
		part = (double)(stream->low_from - t) /
		       (double)(stream->low_from - stream->high_to);
	return stream->low + part * (stream->high - stream->low);
}

/* A few client accounts are large: 3 of 10 send three quarters. */
static inline uint32_t trace_account(uint64_t *state)
{
	uint32_t n = trace_below(state, 100);

	return n < 75 ? n / 25 : 3 + trace_below(state, TRACE_ACCOUNTS - 3);
}

static inline void trace_add(trace_t *trace, const stream_t *stream,
			     uint64_t stream_seed)
{
	uint64_t state = trace->seed * 1000003 + stream_seed;
	uint32_t scale = trace->deployment.scale;

	for (int64_t t = stream->from; t < stream->to; t += TRACE_TICK) {
		double chance = trace_rate(stream, t) * TRACE_TICK / 1e6;
		job_t job = {.service = stream->service,
			     .counted = stream->counted};

		if ((double)(trace_random(&state) >> 11) / 9007199254740992.0 >=
		    chance)
			continue;
		job.arrival = t + trace_below(&state, TRACE_TICK);
		job.deadline = job.arrival + stream->deadline_us;
		job.router = trace_below(&state, TRACE_ROUTERS);
		job.account = trace_account(&state);
		job.real =
			stream->sizes[trace_below(&state, stream->size_count)];
		/* The limit that callers state is 2 to 6 times the need. */
		if (job.service == 0) {
			job.real = job.real * scale / 100;
			job.worst = job.real *
				    (200 + trace_below(&state, 400)) / 100;
		} else {
			job.worst = job.real;
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
	return (x->real > y->real) - (x->real < y->real);
}

static inline uint64_t trace_sum(const trace_t *trace)
{
	uint64_t sum = UINT64_C(0xcbf29ce484222325);

	for (guint i = 0; i < trace->jobs->len; i++) {
		const job_t *job = &g_array_index(trace->jobs, job_t, i);
		uint64_t parts[] = {(uint64_t)job->arrival,
				    (uint64_t)job->deadline,
				    job->router,
				    job->account,
				    job->service,
				    (uint64_t)job->real,
				    (uint64_t)job->worst};

		for (size_t n = 0; n < G_N_ELEMENTS(parts); n++)
			sum = (sum ^ parts[n]) * UINT64_C(0x100000001b3);
	}
	return sum;
}

/*
 * Sorts, and compares with the committed checksum if there is one.  With
 * BENCH_CHECKSUMS set it writes the line for the file of checksums instead.
 */
static inline void trace_close(trace_t *trace, const char *name)
{
	char line[128], wanted_name[32], wanted_trace;
	uint64_t seed, sum, own;
	bool ok = true;
	FILE *file;

	g_array_sort(trace->jobs, trace_compare);
	own = trace_sum(trace);
	if (getenv("BENCH_CHECKSUMS") != NULL) {
		fprintf(stderr, "%s %c %" PRIu64 " %016" PRIx64 "\n", name,
			trace->deployment.name, trace->seed, own);
		return;
	}
	file = fopen(CHECKSUMS, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		if (sscanf(line, "%31s %c %" SCNu64 " %" SCNx64, wanted_name,
			   &wanted_trace, &seed, &sum) == 4 &&
		    strcmp(wanted_name, name) == 0 && seed == trace->seed &&
		    wanted_trace == trace->deployment.name && sum != own)
			ok = false;
	}
	if (file != NULL)
		fclose(file);
	if (!ok) {
		fprintf(stderr,
			"%s: trace %c of seed %" PRIu64 " has checksum "
			"%016" PRIx64 ", not the committed one\n",
			name, trace->deployment.name, trace->seed, own);
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

/* Requests/s that keep all targets of a service busy. */
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

/* The plain service runs beside at 40 % of its capacity. */
static inline void trace_add_plain(trace_t *trace, int64_t to)
{
	static const uint32_t sizes[] = {5, 5, 6, 8, 10, 12};
	stream_t stream = {.service = 1,
			   .to = to,
			   .low_from = 0,
			   .sizes = sizes,
			   .size_count = G_N_ELEMENTS(sizes),
			   .deadline_us = 5000000};

	stream.low = 0.4 * trace_capacity(trace, 1, sizes, stream.size_count);
	trace_add(trace, &stream, 99);
}

#endif
