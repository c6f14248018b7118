#include "route/queue.h"

#include <string.h>

#define VICTIMS_TRIED 32

static gint compare_asks(gconstpointer a, gconstpointer b, gpointer data)
{
	const ask_t *x = a, *y = b;

	(void)data;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return 0;
}

static gint compare_latest(gconstpointer a, gconstpointer b, gpointer data)
{
	const ask_t *x = a, *y = b;

	(void)data;
	return (x->latest > y->latest) - (x->latest < y->latest);
}

static gint compare_sizes(gconstpointer a, gconstpointer b, gpointer data)
{
	const ask_t *x = a, *y = b;

	(void)data;
	return (x->duration > y->duration) - (x->duration < y->duration);
}

static gint compare_flows(gconstpointer a, gconstpointer b, gpointer data)
{
	const flow_t *x = a, *y = b;

	(void)data;
	if (x->served < y->served)
		return -1;
	return x->served > y->served;
}

static void free_flow(gpointer data)
{
	flow_t *flow = data;

	g_sequence_free(flow->asks);
	g_free(flow);
}

void queue_init(queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
	for (int work = 0; work < WORK_COUNT; work++) {
		queue->flows[work] = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, free_flow);
		queue->waiting[work] = g_sequence_new(NULL);
		queue->by_latest[work] = g_sequence_new(NULL);
	}
	queue->by_size = g_sequence_new(NULL);
}

void queue_finish(queue_t *queue)
{
	for (int work = 0; work < WORK_COUNT; work++) {
		g_sequence_free(queue->waiting[work]);
		g_sequence_free(queue->by_latest[work]);
		g_hash_table_unref(queue->flows[work]);
	}
	g_sequence_free(queue->by_size);
}

static flow_t *get_flow(queue_t *queue, work_t work, const char *client_account)
{
	flow_t *flow = g_hash_table_lookup(queue->flows[work], client_account);

	if (flow != NULL)
		return flow;
	flow = g_new0(flow_t, 1);
	g_strlcpy(flow->client_account, client_account,
		  sizeof(flow->client_account));
	flow->asks = g_sequence_new(NULL);
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
			length += (uint32_t)g_sequence_get_length(flow->asks);
	}
	return length;
}

static void count_work(queue_t *queue, ask_t *ask, int64_t duration)
{
	uint32_t size = estimate_size_class(ask->tokens);

	queue->duration[ask->work][size] += duration;
	queue->total += duration;
	ask->flow->duration += duration;
	if (ask->bucket >= 0)
		queue->due[ask->bucket] += duration;
}

void queue_push(queue_t *queue, ask_t *ask, const char *client_account,
		uint32_t weight)
{
	flow_t *flow = get_flow(queue, ask->work, client_account);

	if (flow->place == NULL)
		flow->weight = MAX(weight, 1);
	ask->flow = flow;
	ask->place =
		g_sequence_insert_sorted(flow->asks, ask, compare_asks, NULL);
	ask->latest_place = g_sequence_insert_sorted(
		queue->by_latest[ask->work], ask, compare_latest, NULL);
	ask->size_place = g_sequence_insert_sorted(queue->by_size, ask,
						   compare_sizes, NULL);
	ask->bucket = -1;
	if (ask->latest >= ask->since &&
	    ask->latest - ask->since < (DUE_BUCKETS - 1) * DUE_STEP)
		ask->bucket = (int32_t)(ask->latest / DUE_STEP % DUE_BUCKETS);
	count_work(queue, ask, ask->duration);
	queue->length++;
	if (flow->place != NULL)
		return;
	queue->weight += flow->weight;
	/* An account that was idle has no claim on the time that passed. */
	flow->served = MAX(flow->served, queue->served[ask->work]);
	flow->place = g_sequence_insert_sorted(queue->waiting[ask->work], flow,
					       compare_flows, NULL);
}

void queue_remove(queue_t *queue, ask_t *ask)
{
	flow_t *flow = ask->flow;

	if (flow == NULL)
		return;
	g_sequence_remove(ask->place);
	g_sequence_remove(ask->latest_place);
	g_sequence_remove(ask->size_place);
	count_work(queue, ask, -ask->duration);
	ask->flow = NULL;
	queue->length--;
	if (g_sequence_is_empty(flow->asks)) {
		queue->weight -= flow->weight;
		g_sequence_remove(flow->place);
		flow->place = NULL;
	}
}

void queue_served(queue_t *queue, ask_t *ask)
{
	flow_t *flow = ask->flow;

	if (flow == NULL)
		return;
	queue_remove(queue, ask);
	queue->served[ask->work] = MAX(queue->served[ask->work], flow->served);
	flow->served += (double)ask->tokens / flow->weight;
	if (flow->place != NULL)
		g_sequence_sort_changed(flow->place, compare_flows, NULL);
}

static gpointer nth_of(GSequence *sequence, uint32_t nth)
{
	GSequenceIter *i = g_sequence_get_begin_iter(sequence);

	while (nth-- > 0 && !g_sequence_iter_is_end(i))
		i = g_sequence_iter_next(i);
	return g_sequence_iter_is_end(i) ? NULL : g_sequence_get(i);
}

ask_t *queue_head(const queue_t *queue, work_t work, uint32_t nth, bool pressed)
{
	const flow_t *flow;

	if (pressed)
		return nth_of(queue->by_latest[work], nth);
	flow = nth_of(queue->waiting[work], nth);
	return flow == NULL ? NULL : nth_of(flow->asks, 0);
}

double queue_pressure(const queue_t *queue, int64_t now, uint32_t parallel,
		      int64_t *violated)
{
	int64_t first = now / DUE_STEP, sum = 0;
	double most = 0;

	*violated = INT64_MAX;
	for (int64_t i = first; i < first + DUE_BUCKETS; i++) {
		double left = (double)((i + 1) * DUE_STEP - now) * parallel;

		sum += queue->due[i % DUE_BUCKETS];
		if ((double)sum > left && *violated == INT64_MAX)
			*violated = (i + 1) * DUE_STEP;
		most = MAX(most, (double)sum / left);
	}
	return most;
}

ask_t *queue_victim(const queue_t *queue, int64_t violated)
{
	GSequenceIter *i = g_sequence_get_end_iter(queue->by_size);
	ask_t *largest = NULL;

	for (int n = 0; n < VICTIMS_TRIED && !g_sequence_iter_is_begin(i);
	     n++) {
		ask_t *ask;

		i = g_sequence_iter_prev(i);
		ask = g_sequence_get(i);
		if (ask->latest >= violated)
			continue;
		if (largest == NULL)
			largest = ask;
		if ((double)ask->flow->duration * (double)queue->weight >
		    (double)queue->total * ask->flow->weight)
			return ask;
	}
	return largest;
}

int64_t queue_ahead(const queue_t *queue, const ask_t *ask)
{
	uint32_t own = estimate_size_class(ask->tokens);
	int64_t sum = 0;

	for (int work = 0; work <= (int)ask->work; work++) {
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
	return flow->place == NULL &&
	       flow->served <= flow->queue->served[flow->work];
}

void queue_prune(queue_t *queue)
{
	for (int work = 0; work < WORK_COUNT; work++)
		g_hash_table_foreach_remove(queue->flows[work], is_idle_flow,
					    NULL);
}
