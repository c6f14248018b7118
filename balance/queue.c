#include "balance/queue.h"

#include "balance/choose.h"
#include "balance/placement.h"

#define RETRY_AFTER_MS 300 /* suggested to a refused caller */

static void refuse(balance_t *balance, const msg_t *request, refusal_t reason)
{
	msg_t msg = {.kind = MSG_PLACE_REFUSED, .ref = request->id};

	msg.u.place_refused.reason = reason;
	msg.u.place_refused.retry_after_ms = RETRY_AFTER_MS;
	kernel_post(balance->kernel, balance->svc, request->from, &msg);
}

static void update_queue_gauge(balance_t *balance)
{
	metrics_set(balance->kernel->metrics, GAUGE_QUEUE_LENGTH,
		    table_count(&balance->queue));
}

static void dequeue(balance_t *balance, queued_t *queued)
{
	kernel_timer_cancel(balance->kernel, &queued->timer);
	table_remove(&balance->queue, queued->self);
	update_queue_gauge(balance);
}

static void enqueue(balance_t *balance, const msg_t *request)
{
	int64_t wait = request->u.place.deadline - kernel_now(balance->kernel);
	queued_t *queued;
	handle_t self = table_add(&balance->queue, (void **)&queued);

	queued->self = self;
	queued->request = *request;
	queued->arrival = balance->arrivals++;
	queued->timer = kernel_timer(balance->kernel, balance->svc,
				     MAX(wait, 0), self, 0);
	update_queue_gauge(balance);
}

void queue_place(balance_t *balance, const msg_t *msg)
{
	balance_target_t *target;
	bool usable;

	if (balance->conf == NULL) {
		refuse(balance, msg, REFUSAL_NO_CONFIGURATION);
		return;
	}
	target = balance_choose(balance, msg, &usable);
	if (target != NULL)
		placement_start(balance, msg, target);
	else
		enqueue(balance, msg);
}

static bool precedes(const queued_t *a, const queued_t *b)
{
	if (a->request.u.place.priority != b->request.u.place.priority)
		return a->request.u.place.priority <
		       b->request.u.place.priority;
	return a->arrival < b->arrival;
}

void queue_run(balance_t *balance)
{
	GPtrArray *order;
	queued_t *queued;
	uint32_t cursor = 0;
	bool usable;

	if (table_count(&balance->queue) == 0)
		return;
	order = g_ptr_array_new();
	while ((queued = table_next(&balance->queue, &cursor, NULL)) != NULL) {
		guint at = order->len;

		while (at > 0 &&
		       precedes(queued, g_ptr_array_index(order, at - 1)))
			at--;
		g_ptr_array_insert(order, (gint)at, queued);
	}
	for (guint i = 0; i < order->len; i++) {
		balance_target_t *target;

		queued = g_ptr_array_index(order, i);
		target = balance_choose(balance, &queued->request, &usable);
		if (target == NULL)
			continue;
		placement_start(balance, &queued->request, target);
		dequeue(balance, queued);
	}
	g_ptr_array_unref(order);
}

void queue_timed_out(balance_t *balance, handle_t ref)
{
	queued_t *queued = table_get(&balance->queue, ref);
	bool usable;

	if (queued == NULL)
		return;
	queued->timer = HANDLE_NONE;
	balance_choose(balance, &queued->request, &usable);
	refuse(balance, &queued->request,
	       usable ? REFUSAL_OVERLOADED : REFUSAL_NO_TARGET);
	dequeue(balance, queued);
}

void queue_cancel(balance_t *balance, const msg_t *msg)
{
	uint32_t cursor = 0;
	queued_t *queued;

	while ((queued = table_next(&balance->queue, &cursor, NULL)) != NULL)
		if (handle_equal(queued->request.id, msg->id))
			dequeue(balance, queued);
}
