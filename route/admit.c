#include "route/admit.h"

#include "route/flight.h"
#include "route/pick.h"

#include <string.h>

#define RETRY_AFTER_MIN 1 /* s */
#define RETRY_AFTER_MAX 30
/* Flows tried when the head of one can't go where there is room. */
#define HEADS_TRIED 8
#define WORST_MAX (INT64_C(1) << 40) /* tokens, keeps sums in range */

static gint64 key_of(handle_t handle)
{
	return ((gint64)handle.gen << 32) | handle.index;
}

static void remove_ask(route_t *route, ask_t *ask)
{
	kernel_timer_cancel(route->kernel, &ask->timer);
	if (ask->flow != NULL) {
		queue_remove(&ask->group->queue, ask);
		route->waiting--;
	}
	if (g_hash_table_lookup(route->by_attempt, &ask->key) == ask)
		g_hash_table_remove(route->by_attempt, &ask->key);
	metrics_set(route->kernel->metrics, GAUGE_QUEUE_LENGTH, route->waiting);
	table_remove(&route->asks, ask->self);
}

static void post_refusal(route_t *route, handle_t attempt, refusal_t reason,
			 int64_t wait_us)
{
	msg_t msg = {.kind = MSG_ROUTE_REFUSED, .ref = attempt};
	int64_t wait_s = wait_us / USEC_PER_SEC + 1;

	msg.u.route_refused.reason = reason;
	msg.u.route_refused.retry_after_s =
		(uint32_t)CLAMP(wait_s, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
	kernel_post(route->kernel, route->svc, route->request, &msg);
}

/* Expected wait of a request: the work before it, done side by side. */
static int64_t expected_wait(const ask_t *ask)
{
	const group_t *group = ask->group;
	uint32_t running = group->running[WORK_SHORT];
	int64_t ahead = queue_ahead(&group->queue, ask);

	if (ask->work == WORK_LONG)
		running += group->running[WORK_LONG];
	/* Its own work is counted while it waits. */
	if (ask->flow != NULL)
		ahead -= ask->duration;
	return MAX(ahead, 0) / MAX(running, 1);
}

static void refuse(route_t *route, ask_t *ask, refusal_t reason)
{
	post_refusal(route, ask->id, reason, expected_wait(ask));
	remove_ask(route, ask);
}

/* True when the request would end too late if it started after wait. */
static bool is_hopeless(const route_t *route, const ask_t *ask, int64_t wait)
{
	int64_t left = ask->deadline - kernel_now(route->kernel);

	return (double)(wait + ask->duration) >
	       (double)left * route->policy->refuse_percent / 100.0;
}

static void assign(route_t *route, ask_t *ask, target_t *target)
{
	metrics_observe(route->kernel->metrics, HISTOGRAM_QUEUE_WAIT,
			kernel_now(route->kernel) - ask->since);
	if (ask->flow != NULL) {
		queue_served(&ask->group->queue, ask);
		route->waiting--;
	}
	flight_start(route, ask, target);
	remove_ask(route, ask);
}

/* Gives the head of a class of work a target, or refuses it. */
static bool serve_one(route_t *route, group_t *group, work_t work, bool pressed)
{
	for (uint32_t nth = 0; nth < HEADS_TRIED; nth++) {
		ask_t *ask = queue_head(&group->queue, work, nth, pressed);
		target_t *target;

		if (ask == NULL)
			return false;
		if (ask->since < kernel_now(route->kernel) &&
		    is_hopeless(route, ask, 0)) {
			refuse(route, ask, REFUSAL_OVERLOADED);
			return true;
		}
		target = pick_choose(route, ask);
		if (target != NULL) {
			assign(route, ask, target);
			return true;
		}
		if (ask->avoid_count == 0)
			return false;
	}
	return false;
}

/* The class of work whose head goes first. */
static work_t first_class(const ask_t *short_head, const ask_t *long_head,
			  bool pressed)
{
	if (short_head == NULL || long_head == NULL)
		return short_head == NULL ? WORK_LONG : WORK_SHORT;
	if (pressed)
		return long_head->latest < short_head->latest ? WORK_LONG
							      : WORK_SHORT;
	/* Long work that has aged goes before newer short work. */
	return long_head->order < short_head->order ? WORK_LONG : WORK_SHORT;
}

static double pressure_of(const route_t *route, const group_t *group,
			  int64_t *violated)
{
	uint32_t running =
		group->running[WORK_SHORT] + group->running[WORK_LONG];

	return queue_pressure(&group->queue, kernel_now(route->kernel),
			      MAX(running, 1), violated);
}

/* True when a waiting request must start soon to end in time. */
static bool is_pressed(const route_t *route, const queue_t *queue)
{
	int64_t soon = kernel_now(route->kernel) +
		       route->policy->urgent_ms * USEC_PER_MSEC;

	for (int work = 0; work < WORK_COUNT; work++) {
		const ask_t *ask = queue_head(queue, (work_t)work, 0, true);

		if (ask != NULL && ask->latest < soon)
			return true;
	}
	return false;
}

void admit_serve(route_t *route, group_t *group)
{
	const queue_t *queue = &group->queue;

	while (queue->length > 0) {
		bool pressed = is_pressed(route, queue);
		ask_t *head[WORK_COUNT] = {
			queue_head(queue, WORK_SHORT, 0, pressed),
			queue_head(queue, WORK_LONG, 0, pressed)};
		work_t first = first_class(head[0], head[1], pressed);

		if (group->open == 0) {
			refuse(route, head[first], REFUSAL_NO_TARGET);
			continue;
		}
		if (!serve_one(route, group, first, pressed) &&
		    !serve_one(route, group,
			       first == WORK_LONG ? WORK_SHORT : WORK_LONG,
			       pressed))
			return;
	}
}

/* Refuses as few requests as possible, so that the others end in time. */
static void shed(route_t *route, group_t *group)
{
	int64_t violated;
	ask_t *victim;

	while (pressure_of(route, group, &violated) * 100 >
	       route->policy->refuse_percent) {
		victim = queue_victim(&group->queue, violated);
		if (victim == NULL)
			return;
		refuse(route, victim, REFUSAL_OVERLOADED);
	}
}

/* Targets that could ever serve it, now or later. */
static uint32_t count_usable(const route_t *route, const group_t *group,
			     const msg_t *msg)
{
	uint32_t usable = group->open;

	for (uint32_t i = 0; i < MIN(msg->u.route.avoid_count, ROUTE_AVOID_MAX);
	     i++) {
		const target_t *target =
			table_get(&route->targets, msg->u.route.avoid[i]);
		bool twice = false;

		for (uint32_t j = 0; j < i; j++)
			twice = twice || handle_equal(msg->u.route.avoid[i],
						      msg->u.route.avoid[j]);
		if (!twice && target != NULL && target->group == group &&
		    target_is_open(route, target))
			usable--;
	}
	return usable;
}

/*
 * The margin is there because a request may well need 1.8 times what is
 * expected; without it a tenth of the work in a crest ended too late.
 */
static int64_t latest_start(const route_t *route, const ask_t *ask)
{
	int64_t margin = ask->duration * route->policy->margin_percent / 100;

	margin = MIN(margin, (ask->deadline - ask->since) / 2);
	return ask->deadline - ask->duration - margin;
}

static ask_t *new_ask(route_t *route, group_t *group, const msg_t *msg)
{
	ask_t *ask;
	handle_t self = table_add(&route->asks, (void **)&ask);
	const estimate_t *estimate = &group->estimate;

	ask->self = self;
	ask->id = msg->id;
	ask->group = group;
	ask->hedge = msg->u.route.hedge;
	ask->worst = CLAMP(msg->u.route.tokens, 1, WORST_MAX);
	ask->tokens = estimate_tokens(estimate, ask->worst);
	ask->duration = estimate_duration(estimate, ask->tokens);
	ask->work = ask->tokens <= group->record.short_tokens ? WORK_SHORT
							      : WORK_LONG;
	ask->deadline = msg->u.route.deadline;
	ask->since = kernel_now(route->kernel);
	ask->order = ask->since +
		     ask->duration * route->policy->size_weight_percent / 100;
	ask->latest = latest_start(route, ask);
	ask->prefix_hash = msg->u.route.prefix_hash;
	ask->avoid_count = MIN(msg->u.route.avoid_count, ROUTE_AVOID_MAX);
	memcpy(ask->avoid, msg->u.route.avoid, sizeof(ask->avoid));
	ask->key = key_of(ask->id);
	g_hash_table_replace(route->by_attempt, &ask->key, ask);
	return ask;
}

static gint compare_account(gconstpointer a, gconstpointer b)
{
	return strcmp(((const record_client_account_t *)a)->name,
		      ((const record_client_account_t *)b)->name);
}

static uint32_t weight_of(const route_t *route, const char *client_account)
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

/* Decides on an ask that found no room whether it may wait. */
static void wait_or_refuse(route_t *route, ask_t *ask,
			   const char *client_account)
{
	const queue_t *queue = &ask->group->queue;
	uint32_t max = route->policy->queue_max;
	int64_t left = ask->deadline - kernel_now(route->kernel);
	int64_t wait = expected_wait(ask);

	if (queue->length > max ||
	    queue_account_length(queue, client_account) >
		    MAX(max * route->policy->account_queue_percent / 100, 1)) {
		refuse(route, ask, REFUSAL_QUEUE_FULL);
		return;
	}
	/* Beyond the horizon of shed() the whole queue before it counts. */
	if (ask->bucket >= 0)
		wait = 0;
	if (ask->hedge || is_hopeless(route, ask, wait)) {
		refuse(route, ask, REFUSAL_OVERLOADED);
		return;
	}
	ask->timer = kernel_timer(route->kernel, route->svc,
				  left - ask->duration, ask->self, TIMER_ASK);
	shed(route, ask->group);
}

void admit_ask(route_t *route, const msg_t *msg)
{
	group_t *group = group_find(route, msg->u.route.service);
	ask_t *ask;
	handle_t self;

	if (group == NULL || count_usable(route, group, msg) == 0) {
		post_refusal(route, msg->id, REFUSAL_NO_TARGET, 0);
		return;
	}
	if (msg->u.route.deadline <= kernel_now(route->kernel)) {
		post_refusal(route, msg->id, REFUSAL_DEADLINE, 0);
		return;
	}
	ask = new_ask(route, group, msg);
	self = ask->self;
	queue_push(&group->queue, ask, msg->u.route.client_account,
		   weight_of(route, msg->u.route.client_account));
	route->waiting++;
	admit_serve(route, group);
	ask = table_get(&route->asks, self);
	if (ask != NULL)
		wait_or_refuse(route, ask, msg->u.route.client_account);
	metrics_set(route->kernel->metrics, GAUGE_QUEUE_LENGTH, route->waiting);
}

void admit_cancel(route_t *route, handle_t attempt)
{
	gint64 key = key_of(attempt);
	ask_t *ask = g_hash_table_lookup(route->by_attempt, &key);

	if (ask != NULL)
		remove_ask(route, ask);
}

void admit_expired(route_t *route, handle_t handle)
{
	ask_t *ask = table_get(&route->asks, handle);

	if (ask == NULL)
		return;
	ask->timer = HANDLE_NONE;
	refuse(route, ask,
	       kernel_now(route->kernel) >= ask->deadline ? REFUSAL_DEADLINE
							  : REFUSAL_OVERLOADED);
}

void admit_finish(route_t *route)
{
	ask_t *ask;
	uint32_t cursor = 0;

	while ((ask = table_next(&route->asks, &cursor, NULL)) != NULL)
		remove_ask(route, ask);
}
