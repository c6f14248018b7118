#include "route/admit.h"

#include "route/assignment.h"
#include "route/pick.h"

#include <string.h>

#define RETRY_AFTER_MIN_S 1
#define RETRY_AFTER_MAX_S 30
/* Requests tried in turn while each of them avoids all targets with room. */
#define REQS_TRIED_MAX 8
#define WORST_TOKENS_MAX (INT64_C(1) << 40) /* avoids overflow of sums */

static gint64 handle_key(handle_t handle)
{
	return ((gint64)handle.gen << 32) | handle.index;
}

static void remove_req(route_t *route, route_req_t *req)
{
	kernel_timer_cancel(route->kernel, &req->timer);
	if (req->flow != NULL) {
		queue_remove(&req->group->queue, req);
		route->waiting--;
	}
	if (g_hash_table_lookup(route->by_attempt, &req->attempt_key) == req)
		g_hash_table_remove(route->by_attempt, &req->attempt_key);
	metrics_set(route->kernel->metrics, GAUGE_QUEUE_LENGTH, route->waiting);
	table_remove(&route->reqs, req->self);
}

static void post_refusal(route_t *route, handle_t attempt, refusal_t reason,
			 int64_t wait_us)
{
	msg_t msg = {.kind = MSG_ROUTE_REFUSED, .ref = attempt};
	int64_t wait_s = wait_us / USEC_PER_SEC + 1;

	msg.u.route_refused.reason = reason;
	msg.u.route_refused.retry_after_s =
		(uint32_t)CLAMP(wait_s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
	kernel_post(route->kernel, route->svc, route->request, &msg);
}

/*
 * Returns the expected wait in us: the queued work ahead of the request,
 * divided by the number of requests that run in parallel.
 */
static int64_t expected_wait(const route_req_t *req)
{
	const group_t *group = req->group;
	uint32_t running = group->running[WORK_SHORT];
	int64_t ahead = queue_work_ahead(&group->queue, req);

	if (req->work == WORK_LONG)
		running += group->running[WORK_LONG];
	/* The work ahead of a queued request includes its own. */
	if (req->flow != NULL)
		ahead -= req->duration;
	return MAX(ahead, 0) / MAX(running, 1);
}

static void refuse(route_t *route, route_req_t *req, refusal_t reason)
{
	post_refusal(route, req->attempt, reason, expected_wait(req));
	remove_req(route, req);
}

/*
 * Returns true if a request that starts after the given wait would use more of
 * its remaining time than the policy allows.
 */
static bool would_miss_deadline(const route_t *route, const route_req_t *req,
				int64_t wait)
{
	int64_t remaining = req->deadline - kernel_now(route->kernel);

	return (double)(wait + req->duration) >
	       (double)remaining * route->policy->refuse_percent / 100.0;
}

static void assign(route_t *route, route_req_t *req, target_t *target)
{
	metrics_observe(route->kernel->metrics, HISTOGRAM_QUEUE_WAIT,
			kernel_now(route->kernel) - req->arrival);
	if (req->flow != NULL) {
		queue_charge(&req->group->queue, req);
		route->waiting--;
	}
	assignment_start(route, req, target);
	remove_req(route, req);
}

/*
 * Assigns the first request of a work class to a target, or refuses the
 * request.  Returns false when no target can take one.
 */
static bool serve_class(route_t *route, group_t *group, work_class_t work,
			bool by_deadline)
{
	for (uint32_t nth = 0; nth < REQS_TRIED_MAX; nth++) {
		route_req_t *req =
			queue_head(&group->queue, work, nth, by_deadline);
		target_t *target;

		if (req == NULL)
			return false;
		if (req->arrival < kernel_now(route->kernel) &&
		    would_miss_deadline(route, req, 0)) {
			refuse(route, req, REFUSAL_OVERLOADED);
			return true;
		}
		target = pick_target(route, req);
		if (target != NULL) {
			assign(route, req, target);
			return true;
		}
		if (req->avoid_count == 0)
			return false;
	}
	return false;
}

/* Chooses the work class to serve next from the first request of each. */
static work_class_t next_class(const route_req_t *short_head,
			       const route_req_t *long_head, bool by_deadline)
{
	if (short_head == NULL || long_head == NULL)
		return short_head == NULL ? WORK_LONG : WORK_SHORT;
	if (by_deadline)
		return long_head->latest_start < short_head->latest_start
			       ? WORK_LONG
			       : WORK_SHORT;
	/* Aged long work goes before newer short work. */
	return long_head->sort_key < short_head->sort_key ? WORK_LONG
							  : WORK_SHORT;
}

static double group_utilization(const route_t *route, const group_t *group,
				int64_t *first_missed)
{
	uint32_t running =
		group->running[WORK_SHORT] + group->running[WORK_LONG];

	return queue_utilization(&group->queue, kernel_now(route->kernel),
				 MAX(running, 1), first_missed);
}

/* Returns true if a queued request reaches its latest start time soon. */
static bool is_deadline_near(const route_t *route, const queue_t *queue)
{
	int64_t soon = kernel_now(route->kernel) +
		       route->policy->urgent_ms * USEC_PER_MSEC;

	for (int work = 0; work < WORK_COUNT; work++) {
		const route_req_t *req =
			queue_head(queue, (work_class_t)work, 0, true);

		if (req != NULL && req->latest_start < soon)
			return true;
	}
	return false;
}

void admit_serve_queue(route_t *route, group_t *group)
{
	const queue_t *queue = &group->queue;

	while (queue->length > 0) {
		bool by_deadline = is_deadline_near(route, queue);
		route_req_t *head[WORK_COUNT] = {
			queue_head(queue, WORK_SHORT, 0, by_deadline),
			queue_head(queue, WORK_LONG, 0, by_deadline)};
		work_class_t first = next_class(head[0], head[1], by_deadline);

		if (group->available == 0) {
			refuse(route, head[first], REFUSAL_NO_TARGET);
			continue;
		}
		if (!serve_class(route, group, first, by_deadline) &&
		    !serve_class(route, group,
				 first == WORK_LONG ? WORK_SHORT : WORK_LONG,
				 by_deadline))
			return;
	}
}

/* Refuses as few requests as possible so that the others end in time. */
static void shed_load(route_t *route, group_t *group)
{
	int64_t first_missed;
	route_req_t *victim;

	while (group_utilization(route, group, &first_missed) * 100 >
	       route->policy->refuse_percent) {
		victim = queue_victim(&group->queue, first_missed);
		if (victim == NULL)
			return;
		refuse(route, victim, REFUSAL_OVERLOADED);
	}
}

/* Counts the available targets that the request doesn't avoid. */
static uint32_t count_usable(const route_t *route, const group_t *group,
			     const msg_t *msg)
{
	uint32_t usable = group->available;

	for (uint32_t i = 0; i < MIN(msg->u.route.avoid_count, ROUTE_AVOID_MAX);
	     i++) {
		const target_t *target =
			table_get(&route->targets, msg->u.route.avoid[i]);
		bool duplicate = false;

		for (uint32_t j = 0; j < i; j++)
			duplicate = duplicate ||
				    handle_equal(msg->u.route.avoid[i],
						 msg->u.route.avoid[j]);
		if (!duplicate && target != NULL && target->group == group &&
		    target_is_available(route, target))
			usable--;
	}
	return usable;
}

/*
 * The margin covers requests that take longer than expected: a request may
 * well need 1.8 times its expected duration.  Without a margin, a tenth of the
 * requests missed their deadline during load peaks.
 */
static int64_t compute_latest_start(const route_t *route,
				    const route_req_t *req)
{
	int64_t margin = req->duration * route->policy->margin_percent / 100;

	margin = MIN(margin, (req->deadline - req->arrival) / 2);
	return req->deadline - req->duration - margin;
}

static route_req_t *req_new(route_t *route, group_t *group, const msg_t *msg)
{
	route_req_t *req;
	handle_t self = table_add(&route->reqs, (void **)&req);
	const estimate_t *estimate = &group->estimate;

	req->self = self;
	req->attempt = msg->id;
	req->group = group;
	req->hedge = msg->u.route.hedge;
	req->worst_tokens = CLAMP(msg->u.route.tokens, 1, WORST_TOKENS_MAX);
	req->tokens = estimate_tokens(estimate, req->worst_tokens);
	req->duration = estimate_duration(estimate, req->tokens);
	req->work = req->tokens <= group->record.short_tokens ? WORK_SHORT
							      : WORK_LONG;
	req->deadline = msg->u.route.deadline;
	req->arrival = kernel_now(route->kernel);
	req->sort_key =
		req->arrival +
		req->duration * route->policy->size_weight_percent / 100;
	req->latest_start = compute_latest_start(route, req);
	req->prefix_hash = msg->u.route.prefix_hash;
	req->avoid_count = MIN(msg->u.route.avoid_count, ROUTE_AVOID_MAX);
	memcpy(req->avoid, msg->u.route.avoid, sizeof(req->avoid));
	req->attempt_key = handle_key(req->attempt);
	g_hash_table_replace(route->by_attempt, &req->attempt_key, req);
	return req;
}

static gint compare_account(gconstpointer a, gconstpointer b)
{
	return strcmp(((const record_client_account_t *)a)->name,
		      ((const record_client_account_t *)b)->name);
}

static uint32_t account_weight(const route_t *route, const char *client_account)
{
	record_client_account_t key = {0};
	guint index;

	if (route->conf == NULL)
		return 1;
	g_strlcpy(key.name, client_account, sizeof(key.name));
	if (!g_array_binary_search(route->conf->client_accounts, &key,
				   compare_account, &index))
		return 1;
	return g_array_index(route->conf->client_accounts,
			     record_client_account_t, index)
		.weight;
}

/* Keeps a request that found no free target in the queue, or refuses it. */
static void wait_or_refuse(route_t *route, route_req_t *req,
			   const char *client_account)
{
	const queue_t *queue = &req->group->queue;
	uint32_t max = route->policy->queue_max;
	int64_t remaining = req->deadline - kernel_now(route->kernel);
	int64_t wait = expected_wait(req);

	if (queue->length > max ||
	    queue_account_length(queue, client_account) >
		    MAX(max * route->policy->account_queue_percent / 100, 1)) {
		refuse(route, req, REFUSAL_QUEUE_FULL);
		return;
	}
	/*
	 * Up to the horizon of the due buckets, shed_load() decides.  Beyond
	 * it, the work ahead in the queue decides.
	 */
	if (req->bucket >= 0)
		wait = 0;
	if (req->hedge || would_miss_deadline(route, req, wait)) {
		refuse(route, req, REFUSAL_OVERLOADED);
		return;
	}
	req->timer = kernel_timer(route->kernel, route->svc,
				  remaining - req->duration, req->self,
				  TIMER_LATEST_START);
	shed_load(route, req->group);
}

/* Returns the time until the first target may be used again, 0 if unknown. */
static int64_t hold_left(const route_t *route, const group_t *group)
{
	int64_t left = 0;

	for (guint i = 0; i < group->targets->len; i++) {
		int64_t hold = target_hold(
			route, g_ptr_array_index(group->targets, i));

		if (hold > 0 && (left == 0 || hold < left))
			left = hold;
	}
	return left;
}

void admit_request(route_t *route, const msg_t *msg)
{
	group_t *group = group_find(route, msg->u.route.service);
	route_req_t *req;
	handle_t self;

	if (group == NULL || count_usable(route, group, msg) == 0) {
		post_refusal(route, msg->id, REFUSAL_NO_TARGET,
			     group != NULL ? hold_left(route, group) : 0);
		return;
	}
	if (msg->u.route.deadline <= kernel_now(route->kernel)) {
		post_refusal(route, msg->id, REFUSAL_DEADLINE, 0);
		return;
	}
	req = req_new(route, group, msg);
	self = req->self;
	queue_add(&group->queue, req, msg->u.route.client_account,
		  account_weight(route, msg->u.route.client_account));
	route->waiting++;
	admit_serve_queue(route, group);
	req = table_get(&route->reqs, self);
	if (req != NULL)
		wait_or_refuse(route, req, msg->u.route.client_account);
	metrics_set(route->kernel->metrics, GAUGE_QUEUE_LENGTH, route->waiting);
}

void admit_cancel(route_t *route, handle_t attempt)
{
	gint64 key = handle_key(attempt);
	route_req_t *req = g_hash_table_lookup(route->by_attempt, &key);

	if (req != NULL)
		remove_req(route, req);
}

void admit_timeout(route_t *route, handle_t handle)
{
	route_req_t *req = table_get(&route->reqs, handle);

	if (req == NULL)
		return;
	req->timer = HANDLE_NONE;
	refuse(route, req,
	       kernel_now(route->kernel) >= req->deadline ? REFUSAL_DEADLINE
							  : REFUSAL_OVERLOADED);
}

void admit_finish(route_t *route)
{
	route_req_t *req;
	uint32_t cursor = 0;

	while ((req = table_next(&route->reqs, &cursor, NULL)) != NULL)
		remove_req(route, req);
}
