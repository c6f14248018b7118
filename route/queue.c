#include "route/queue.h"

#include <string.h>

static gint compare_asks(gconstpointer a, gconstpointer b, gpointer data)
{
	const ask_t *x = a, *y = b;

	(void)data;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return 0;
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
	}
}

void queue_finish(queue_t *queue)
{
	for (int work = 0; work < WORK_COUNT; work++) {
		g_sequence_free(queue->waiting[work]);
		g_hash_table_unref(queue->flows[work]);
	}
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

static int64_t *duration_of(queue_t *queue, const ask_t *ask)
{
	return &queue->duration[ask->work][estimate_size_class(ask->tokens)];
}

void queue_push(queue_t *queue, ask_t *ask, const char *client_account,
		uint32_t weight)
{
	flow_t *flow = get_flow(queue, ask->work, client_account);

	flow->weight = MAX(weight, 1);
	ask->flow = flow;
	ask->place =
		g_sequence_insert_sorted(flow->asks, ask, compare_asks, NULL);
	*duration_of(queue, ask) += ask->duration;
	queue->length++;
	if (flow->place != NULL)
		return;
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
	ask->flow = NULL;
	*duration_of(queue, ask) -= ask->duration;
	queue->length--;
	if (g_sequence_is_empty(flow->asks)) {
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

ask_t *queue_head(const queue_t *queue, work_t work, uint32_t nth)
{
	GSequenceIter *i = g_sequence_get_begin_iter(queue->waiting[work]);
	const flow_t *flow;

	while (nth-- > 0 && !g_sequence_iter_is_end(i))
		i = g_sequence_iter_next(i);
	if (g_sequence_iter_is_end(i))
		return NULL;
	flow = g_sequence_get(i);
	return g_sequence_get(g_sequence_get_begin_iter(flow->asks));
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
