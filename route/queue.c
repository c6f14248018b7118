#include "route/queue.h"

#include <string.h>

#define VICTIMS_TRIED_MAX 32

static gint compare_sort_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	const route_req_t *x = a, *y = b;

	(void)data;
	if (x->sort_key != y->sort_key)
		return x->sort_key < y->sort_key ? -1 : 1;
	return 0;
}

static gint compare_latest_start(gconstpointer a, gconstpointer b,
				 gpointer data)
{
	const route_req_t *x = a, *y = b;

	(void)data;
	return (x->latest_start > y->latest_start) -
	       (x->latest_start < y->latest_start);
}

static gint compare_durations(gconstpointer a, gconstpointer b, gpointer data)
{
	const route_req_t *x = a, *y = b;

	(void)data;
	return (x->duration > y->duration) - (x->duration < y->duration);
}

static gint compare_virtual_times(gconstpointer a, gconstpointer b,
				  gpointer data)
{
	const flow_t *x = a, *y = b;

	(void)data;
	if (x->virtual_time < y->virtual_time)
		return -1;
	return x->virtual_time > y->virtual_time;
}

static void flow_free(gpointer data)
{
	flow_t *flow = data;

	g_sequence_free(flow->reqs);
	g_free(flow);
}

void queue_init(queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
	for (int work = 0; work < WORK_COUNT; work++) {
		queue->flows[work] = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, flow_free);
		queue->active_flows[work] = g_sequence_new(NULL);
		queue->by_latest_start[work] = g_sequence_new(NULL);
	}
	queue->by_size = g_sequence_new(NULL);
}

void queue_finish(queue_t *queue)
{
	for (int work = 0; work < WORK_COUNT; work++) {
		g_sequence_free(queue->active_flows[work]);
		g_sequence_free(queue->by_latest_start[work]);
		g_hash_table_unref(queue->flows[work]);
	}
	g_sequence_free(queue->by_size);
}

static flow_t *flow_get(queue_t *queue, work_class_t work,
			const char *client_account)
{
	flow_t *flow = g_hash_table_lookup(queue->flows[work], client_account);

	if (flow != NULL)
		return flow;
	flow = g_new0(flow_t, 1);
	g_strlcpy(flow->client_account, client_account,
		  sizeof(flow->client_account));
	flow->reqs = g_sequence_new(NULL);
	flow->queue = queue;
	flow->work = work;
	g_hash_table_insert(queue->flows[work], flow->client_account, flow);
	return flow;
}

uint32_t queue_account_length(const queue_t *queue, const char *client_account)
{
	uint32_t length = 0;

	for (int work = 0; work < WORK_COUNT; work++) {
		const flow_t *flow =
			g_hash_table_lookup(queue->flows[work], client_account);

		if (flow != NULL)
			length += (uint32_t)g_sequence_get_length(flow->reqs);
	}
	return length;
}

static void add_duration(queue_t *queue, route_req_t *req, int64_t duration)
{
	uint32_t size = estimate_size_class(req->tokens);

	queue->duration[req->work][size] += duration;
	queue->total_duration += duration;
	req->flow->total_duration += duration;
	if (req->bucket >= 0)
		queue->due_duration[req->bucket] += duration;
}

void queue_add(queue_t *queue, route_req_t *req, const char *client_account,
	       uint32_t weight)
{
	flow_t *flow = flow_get(queue, req->work, client_account);

	if (flow->active_iter == NULL)
		flow->weight = MAX(weight, 1);
	req->flow = flow;
	req->flow_iter = g_sequence_insert_sorted(flow->reqs, req,
						  compare_sort_keys, NULL);
	req->latest_iter =
		g_sequence_insert_sorted(queue->by_latest_start[req->work], req,
					 compare_latest_start, NULL);
	req->size_iter = g_sequence_insert_sorted(queue->by_size, req,
						  compare_durations, NULL);
	req->bucket = -1;
	if (req->latest_start >= req->arrival &&
	    req->latest_start - req->arrival < (DUE_BUCKETS - 1) * DUE_STEP_US)
		req->bucket = (int32_t)(req->latest_start / DUE_STEP_US %
					DUE_BUCKETS);
	add_duration(queue, req, req->duration);
	queue->length++;
	if (flow->active_iter != NULL)
		return;
	queue->active_weight += flow->weight;
	/* An idle account earns no credit for the time it was idle. */
	flow->virtual_time =
		MAX(flow->virtual_time, queue->virtual_time[req->work]);
	flow->active_iter =
		g_sequence_insert_sorted(queue->active_flows[req->work], flow,
					 compare_virtual_times, NULL);
}

void queue_remove(queue_t *queue, route_req_t *req)
{
	flow_t *flow = req->flow;

	if (flow == NULL)
		return;
	g_sequence_remove(req->flow_iter);
	g_sequence_remove(req->latest_iter);
	g_sequence_remove(req->size_iter);
	add_duration(queue, req, -req->duration);
	req->flow = NULL;
	queue->length--;
	if (g_sequence_is_empty(flow->reqs)) {
		queue->active_weight -= flow->weight;
		g_sequence_remove(flow->active_iter);
		flow->active_iter = NULL;
	}
}

void queue_charge(queue_t *queue, route_req_t *req)
{
	flow_t *flow = req->flow;

	if (flow == NULL)
		return;
	queue_remove(queue, req);
	queue->virtual_time[req->work] =
		MAX(queue->virtual_time[req->work], flow->virtual_time);
	flow->virtual_time += (double)req->tokens / flow->weight;
	if (flow->active_iter != NULL)
		g_sequence_sort_changed(flow->active_iter,
					compare_virtual_times, NULL);
}

static gpointer sequence_nth(GSequence *sequence, uint32_t nth)
{
	GSequenceIter *i = g_sequence_get_begin_iter(sequence);

	while (nth-- > 0 && !g_sequence_iter_is_end(i))
		i = g_sequence_iter_next(i);
	return g_sequence_iter_is_end(i) ? NULL : g_sequence_get(i);
}

route_req_t *queue_head(const queue_t *queue, work_class_t work, uint32_t nth,
			bool by_deadline)
{
	const flow_t *flow;

	if (by_deadline)
		return sequence_nth(queue->by_latest_start[work], nth);
	flow = sequence_nth(queue->active_flows[work], nth);
	return flow == NULL ? NULL : sequence_nth(flow->reqs, 0);
}

double queue_utilization(const queue_t *queue, int64_t now, uint32_t parallel,
			 int64_t *first_missed)
{
	int64_t first = now / DUE_STEP_US, sum = 0;
	double utilization = 0;

	*first_missed = INT64_MAX;
	for (int64_t i = first; i < first + DUE_BUCKETS; i++) {
		double available =
			(double)((i + 1) * DUE_STEP_US - now) * parallel;

		sum += queue->due_duration[i % DUE_BUCKETS];
		if ((double)sum > available && *first_missed == INT64_MAX)
			*first_missed = (i + 1) * DUE_STEP_US;
		utilization = MAX(utilization, (double)sum / available);
	}
	return utilization;
}

route_req_t *queue_victim(const queue_t *queue, int64_t first_missed)
{
	GSequenceIter *i = g_sequence_get_end_iter(queue->by_size);
	route_req_t *largest = NULL;

	for (int n = 0; n < VICTIMS_TRIED_MAX && !g_sequence_iter_is_begin(i);
	     n++) {
		route_req_t *req;

		i = g_sequence_iter_prev(i);
		req = g_sequence_get(i);
		if (req->latest_start >= first_missed)
			continue;
		if (largest == NULL)
			largest = req;
		if ((double)req->flow->total_duration *
			    (double)queue->active_weight >
		    (double)queue->total_duration * req->flow->weight)
			return req;
	}
	return largest;
}

int64_t queue_work_ahead(const queue_t *queue, const route_req_t *req)
{
	uint32_t own = estimate_size_class(req->tokens);
	int64_t sum = 0;

	for (int work = 0; work <= (int)req->work; work++) {
		for (uint32_t class = 0; class <= own; class ++)
			sum += queue->duration[work][class];
	}
	return sum;
}

static gboolean is_idle_flow(gpointer key, gpointer value, gpointer data)
{
	const flow_t *flow = value;

	(void)key;
	(void)data;
	return flow->active_iter == NULL &&
	       flow->virtual_time <= flow->queue->virtual_time[flow->work];
}

void queue_prune(queue_t *queue)
{
	for (int work = 0; work < WORK_COUNT; work++)
		g_hash_table_foreach_remove(queue->flows[work], is_idle_flow,
					    NULL);
}
