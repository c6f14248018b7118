#include "metrics/metrics.h"

#define PREFIX "tanagertrestle_"

typedef struct metric_desc_t {
	const char *name;
	const char *help;
} metric_desc_t;

static const metric_desc_t counter_descs[COUNTER_COUNT] = {
#define X(id, name, help) [COUNTER_##id] = {name, help},
	COUNTER_LIST(X)
#undef X
};

static const metric_desc_t gauge_descs[GAUGE_COUNT] = {
#define X(id, name, help) [GAUGE_##id] = {name, help},
	GAUGE_LIST(X)
#undef X
};

static const metric_desc_t histogram_descs[HISTOGRAM_COUNT] = {
#define X(id, name, help) [HISTOGRAM_##id] = {name, help},
	HISTOGRAM_LIST(X)
#undef X
};

metrics_t *metrics_new(void)
{
	return g_new0(metrics_t, 1);
}

void metrics_free(metrics_t *metrics)
{
	g_free(metrics);
}

void metrics_add(metrics_t *metrics, counter_t counter, uint64_t n)
{
	metrics->counters[counter] += n;
}

void metrics_set(metrics_t *metrics, gauge_t gauge, int64_t value)
{
	metrics->gauges[gauge] = value;
}

void metrics_refusal(metrics_t *metrics, refusal_t reason)
{
	metrics->refusals[reason]++;
}

void metrics_retry(metrics_t *metrics, failure_t reason)
{
	metrics->retries[reason]++;
}

void metrics_passed_over(metrics_t *metrics, pass_reason_t reason, uint64_t n)
{
	metrics->passed_over[reason] += n;
}

void metrics_observe(metrics_t *metrics, histogram_id_t id, int64_t us)
{
	histogram_t *histogram = &metrics->histograms[id];
	uint32_t bucket = 0;

	us = MAX(us, 0);
	while (bucket < HISTOGRAM_BUCKETS - 1 && us > (INT64_C(1) << bucket))
		bucket++;
	histogram->buckets[bucket]++;
	histogram->count++;
	histogram->sum_us += (uint64_t)us;
}

static void print_header(GString *out, const char *name, const char *suffix,
			 const char *help, const char *type)
{
	g_string_append_printf(out,
			       "# HELP " PREFIX "%s%s %s\n"
			       "# TYPE " PREFIX "%s%s %s\n",
			       name, suffix, help, name, suffix, type);
}

static void print_histogram(const histogram_t *histogram,
			    const metric_desc_t *desc, GString *out)
{
	const char *name = desc->name;
	uint64_t sum = 0;

	print_header(out, name, "_seconds", desc->help, "histogram");
	for (int i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
		sum += histogram->buckets[i];
		g_string_append_printf(
			out,
			PREFIX "%s_seconds_bucket{le=\"%g\"} %" G_GUINT64_FORMAT
			       "\n",
			name, (double)(INT64_C(1) << i) / 1e6, sum);
	}
	g_string_append_printf(out,
			       PREFIX "%s_seconds_bucket{le=\"+Inf\"} "
				      "%" G_GUINT64_FORMAT "\n",
			       name, histogram->count);
	g_string_append_printf(out, PREFIX "%s_seconds_sum %.6f\n", name,
			       (double)histogram->sum_us / 1e6);
	g_string_append_printf(
		out, PREFIX "%s_seconds_count %" G_GUINT64_FORMAT "\n", name,
		histogram->count);
}

void metrics_print(const metrics_t *metrics, GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		print_header(out, counter_descs[i].name, "_total",
			     counter_descs[i].help, "counter");
		g_string_append_printf(
			out, PREFIX "%s_total %" G_GUINT64_FORMAT "\n",
			counter_descs[i].name, metrics->counters[i]);
	}
	for (int i = 0; i < GAUGE_COUNT; i++) {
		print_header(out, gauge_descs[i].name, "", gauge_descs[i].help,
			     "gauge");
		g_string_append_printf(out, PREFIX "%s %" G_GINT64_FORMAT "\n",
				       gauge_descs[i].name, metrics->gauges[i]);
	}
	print_header(out, "refusals", "_total", "refusals by reason",
		     "counter");
	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++)
		g_string_append_printf(out,
				       PREFIX "refusals_total{reason=\"%s\"} "
					      "%" G_GUINT64_FORMAT "\n",
				       refusal_name((refusal_t)i),
				       metrics->refusals[i]);
	print_header(out, "retries", "_total", "retries by reason", "counter");
	for (int i = FAILURE_NONE + 1; i < FAILURE_COUNT; i++)
		g_string_append_printf(out,
				       PREFIX "retries_total{reason=\"%s\"} "
					      "%" G_GUINT64_FORMAT "\n",
				       failure_name((failure_t)i),
				       metrics->retries[i]);
	print_header(out, "passed_over", "_total",
		     "targets passed over by reason", "counter");
	for (int i = PASS_NONE + 1; i < PASS_COUNT; i++)
		g_string_append_printf(out,
				       PREFIX
				       "passed_over_total{reason=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       pass_reason_name((pass_reason_t)i),
				       metrics->passed_over[i]);
	for (int i = 0; i < HISTOGRAM_COUNT; i++)
		print_histogram(&metrics->histograms[i], &histogram_descs[i],
				out);
}
