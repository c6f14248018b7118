#include "balance/queue.h"

#include "balance/choose.h"
#include "balance/evacuation.h"
#include "balance/flow.h"
#include "balance/permit.h"
#include "balance/placement.h"
#include "log/log.h"

#include <string.h>

/* Suggested to a refused caller if it isn't known when a target has room. */
#define RETRY_AFTER_MS 300
#define RETRY_AFTER_MAX_MS 60000
/* An instance learns of the end of an evacuation within about a second. */
#define EVACUATED_TIME_US USEC_PER_SEC
/* By then, a target that sent no report has been asked again. */
#define DOUBT_TIME_US USEC_PER_SEC
#define PASSED_OVER_SIZE 320 /* bytes, with terminator */

static void refuse(balance_t *balance, const msg_t *request, refusal_t reason,
		   uint32_t retry_after_ms)
{
	msg_t msg = {.kind = MSG_PLACE_REFUSED, .ref = request->id};

	msg.u.place_refused.reason = reason;
	msg.u.place_refused.retry_after_ms = retry_after_ms;
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
				     MAX(wait, 0), self, BALANCE_TIMER_QUEUE);
	update_queue_gauge(balance);
}

static void count_passed_over(balance_t *balance,
			      const passed_over_t *passed_over)
{
	for (int i = PASS_NONE + 1; i < PASS_COUNT; i++)
		metrics_passed_over(balance->kernel->metrics, (pass_reason_t)i,
				    passed_over->count[i]);
}

/* Writes the counts and the age of the oldest statement, for the log. */
static const char *format_passed_over(const balance_t *balance,
				      const passed_over_t *passed_over,
				      char text[PASSED_OVER_SIZE])
{
	int64_t age_ms =
		(kernel_now(balance->kernel) - passed_over->stated_at) /
		USEC_PER_MSEC;
	size_t len = 0;

	for (int i = PASS_NONE + 1; i < PASS_COUNT; i++)
		len += (size_t)g_snprintf(text + len, PASSED_OVER_SIZE - len,
					  "%s=%u ",
					  pass_reason_name((pass_reason_t)i),
					  passed_over->count[i]);
	g_snprintf(text + len, PASSED_OVER_SIZE - len,
		   "stated_age_ms=%" G_GINT64_FORMAT,
		   passed_over->stated_at > 0 ? age_ms : -1);
	return text;
}

static void place(balance_t *balance, const msg_t *request,
		  const choice_t *choice)
{
	char text[PASSED_OVER_SIZE];

	flow_add(balance, request->u.place.service);
	count_passed_over(balance, &choice->passed_over);
	if (passed_over_stated(&choice->passed_over))
		log_event(LOG_LEVEL_INFO, "balance", "passed_over",
			  "request=%s target=%s %s",
			  log_quote(request->u.place.request_id),
			  choice->u.target->info.id,
			  format_passed_over(balance, &choice->passed_over,
					     text));
	placement_start(balance, request, choice->u.target);
}

static bool precedes(const queued_t *a, const queued_t *b)
{
	if (a->request.u.place.priority != b->request.u.place.priority)
		return a->request.u.place.priority <
		       b->request.u.place.priority;
	return a->arrival < b->arrival;
}

/* Counts the requests of the same service that are placed before this one. */
static uint32_t count_ahead(const balance_t *balance, const queued_t *queued)
{
	const queued_t *other;
	uint32_t cursor = 0, ahead = 0;

	while ((other = table_next(&balance->queue, &cursor, NULL)) != NULL)
		ahead += other != queued && precedes(other, queued) &&
			 strcmp(other->request.u.place.service,
				queued->request.u.place.service) == 0;
	return ahead;
}

/*
 * Returns when a target may have room for the request, as far as is known;
 * monotonic, us.
 */
static int64_t room_at(balance_t *balance, const queued_t *queued,
		       const choice_t *choice)
{
	if (choice->kind == CHOICE_WAIT && choice->u.wait.known)
		return choice->u.wait.until;
	return kernel_now(balance->kernel) +
	       flow_time(balance, queued->request.u.place.service,
			 count_ahead(balance, queued));
}

/*
 * Returns the time until a target may have room, up to doubled at random: the
 * callers that are refused must not all come back at one moment.
 */
static uint32_t retry_after_ms(const balance_t *balance, int64_t at)
{
	int64_t wait_ms = (at - kernel_now(balance->kernel)) / USEC_PER_MSEC;
	uint32_t least_ms =
		(uint32_t)CLAMP(wait_ms, RETRY_AFTER_MS, RETRY_AFTER_MAX_MS);

	return least_ms +
	       (uint32_t)kernel_random_below(balance->kernel, least_ms);
}

/* Refuses a request that no target has room for before this time. */
static void refuse_choice(balance_t *balance, queued_t *queued,
			  const choice_t *choice, int64_t at)
{
	refusal_t reason = choice->kind == CHOICE_NONE ? REFUSAL_NO_TARGET
						       : REFUSAL_OVERLOADED;
	uint32_t wait_ms = retry_after_ms(balance, at);
	char text[PASSED_OVER_SIZE];

	count_passed_over(balance, &choice->passed_over);
	log_event(LOG_LEVEL_INFO, "balance", "refused",
		  "request=%s service=%s reason=%s retry_after_ms=%u %s",
		  log_quote(queued->request.u.place.request_id),
		  queued->request.u.place.service, refusal_name(reason),
		  wait_ms,
		  format_passed_over(balance, &choice->passed_over, text));
	refuse(balance, &queued->request, reason, wait_ms);
	dequeue(balance, queued);
}

/*
 * Returns a target with a permit that becomes valid in time and is not claimed
 * by a more urgent request, or NULL.
 */
static balance_target_t *find_permit(const balance_t *balance,
				     const msg_t *request)
{
	balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (target->claimed >= target->permit_count ||
		    target->permits[target->claimed] >
			    request->u.place.deadline ||
		    !balance_is_usable(target, request))
			continue;
		return target;
	}
	return NULL;
}

static bool claim_permit(balance_t *balance, const msg_t *request)
{
	balance_target_t *target = find_permit(balance, request);

	if (target == NULL)
		return false;
	/* A valid permit of a target that is full waits for its room. */
	if (target->permits[target->claimed] > kernel_now(balance->kernel))
		queue_wake_at(balance, target->permits[target->claimed]);
	target->claimed++;
	return true;
}

static void ask(balance_t *balance, queued_t *queued, const choice_t *choice)
{
	limit_request_t limit_request = balance_limit_request(
		&queued->request, kernel_now(balance->kernel));

	if (choice->u.ask.at_once)
		limit_request.wait = 0;
	permit_ask(balance, choice->u.ask.target, queued, &limit_request);
}

static void wait_or_refuse(balance_t *balance, queued_t *queued,
			   const choice_t *choice)
{
	int64_t at;

	if (claim_permit(balance, &queued->request))
		return;
	at = room_at(balance, queued, choice);
	if (at > queued->request.u.place.deadline)
		refuse_choice(balance, queued, choice, at);
	else if (choice->u.wait.until < INT64_MAX)
		queue_wake_at(balance, choice->u.wait.until);
}

/*
 * True if no target that is known to be of the version that the request needs
 * is listed.
 */
static bool is_version_gone(const msg_t *request, const choice_t *choice)
{
	if (!request->u.place.one_version)
		return false;
	for (int i = PASS_NONE + 1; i < PASS_COUNT; i++)
		if (i != PASS_VERSION && i != PASS_DOUBTED &&
		    i != PASS_EVACUATED && choice->passed_over.count[i] > 0)
			return false;
	return true;
}

static void refuse_version(balance_t *balance, const msg_t *request,
			   const choice_t *choice)
{
	uint32_t doubted = choice->passed_over.count[PASS_DOUBTED];
	uint32_t wait_ms = RETRY_AFTER_MS;

	if (doubted > 0)
		wait_ms = retry_after_ms(balance, kernel_now(balance->kernel) +
							  DOUBT_TIME_US);
	count_passed_over(balance, &choice->passed_over);
	log_event(LOG_LEVEL_INFO, "balance", "refused",
		  "request=%s service=%s reason=%s software=%s doubted=%u "
		  "retry_after_ms=%u",
		  log_quote(request->u.place.request_id),
		  request->u.place.service,
		  doubted > 0 ? "version_doubted" : "version_gone",
		  request->u.place.version, doubted, wait_ms);
	refuse(balance, request, REFUSAL_NO_TARGET, wait_ms);
}

static int64_t evacuated_until(const balance_t *balance)
{
	return kernel_now(balance->kernel) + EVACUATED_TIME_US;
}

/* Asks for permits as long as this instance answers them itself. */
static void try_place(balance_t *balance, queued_t *queued)
{
	const msg_t *request = &queued->request;
	choice_t choice;

	while (!queued->asking) {
		balance_choose(balance, request, &choice);
		switch (choice.kind) {
		case CHOICE_TARGET:
			place(balance, request, &choice);
			dequeue(balance, queued);
			return;
		case CHOICE_ASK:
			if (!choice.u.ask.at_once &&
			    claim_permit(balance, request))
				return;
			ask(balance, queued, &choice);
			break;
		case CHOICE_WAIT:
			wait_or_refuse(balance, queued, &choice);
			return;
		case CHOICE_NONE:
			if (evacuation_leaves_none(&choice)) {
				refuse_choice(balance, queued, &choice,
					      evacuated_until(balance));
				return;
			}
			if (!is_version_gone(request, &choice))
				return;
			refuse_version(balance, request, &choice);
			dequeue(balance, queued);
			return;
		}
	}
}

void queue_place(balance_t *balance, const msg_t *msg)
{
	choice_t choice;

	if (balance->conf == NULL) {
		refuse(balance, msg, REFUSAL_NO_CONFIGURATION, RETRY_AFTER_MS);
		return;
	}
	balance_choose(balance, msg, &choice);
	if (choice.kind == CHOICE_TARGET) {
		place(balance, msg, &choice);
		return;
	}
	if (choice.kind == CHOICE_NONE && is_version_gone(msg, &choice)) {
		refuse_version(balance, msg, &choice);
		return;
	}
	enqueue(balance, msg);
	/* More urgent requests claim their permits first. */
	if (choice.kind != CHOICE_NONE || evacuation_leaves_none(&choice))
		queue_run(balance);
}

/* The request can't go at once and has found no permit of its own. */
static void explain_wait(balance_t *balance, const queued_t *queued,
			 prospect_t *prospect)
{
	const choice_t *choice = &prospect->choice;

	prospect->kind = PROSPECT_WAITS;
	switch (choice->kind) {
	case CHOICE_WAIT:
		prospect->room_at = room_at(balance, queued, choice);
		if (prospect->room_at <= queued->request.u.place.deadline)
			break;
		prospect->kind = PROSPECT_REFUSED;
		prospect->reason = REFUSAL_OVERLOADED;
		break;
	case CHOICE_NONE:
		/* Refused at its deadline, unless a target joins. */
		prospect->reason = REFUSAL_NO_TARGET;
		if (is_version_gone(&queued->request, choice))
			prospect->kind = PROSPECT_REFUSED;
		break;
	case CHOICE_TARGET:
	case CHOICE_ASK:
		break;
	}
}

void queue_explain(balance_t *balance, const msg_t *msg, GArray *considered,
		   prospect_t *prospect)
{
	queued_t queued = {.request = *msg, .arrival = balance->arrivals};
	const balance_target_t *permitted;

	memset(prospect, 0, sizeof(*prospect));
	prospect->room_at = INT64_MAX;
	if (balance->conf == NULL) {
		prospect->kind = PROSPECT_REFUSED;
		prospect->reason = REFUSAL_NO_CONFIGURATION;
		return;
	}
	balance_explain(balance, msg, &prospect->choice, considered);
	prospect->ahead = count_ahead(balance, &queued);
	if (prospect->choice.kind == CHOICE_TARGET) {
		prospect->kind = PROSPECT_SENT;
		return;
	}
	permitted = prospect->choice.kind == CHOICE_NONE
			    ? NULL
			    : find_permit(balance, msg);
	if (prospect->choice.kind == CHOICE_ASK &&
	    (permitted == NULL || prospect->choice.u.ask.at_once)) {
		prospect->kind = PROSPECT_ASKS;
	} else if (permitted != NULL) {
		prospect->kind = PROSPECT_WAITS;
		prospect->room_at = permitted->permits[permitted->claimed];
	} else {
		explain_wait(balance, &queued, prospect);
	}
}

void queue_run(balance_t *balance)
{
	GPtrArray *order;
	queued_t *queued;
	uint32_t cursor = 0;

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
	permit_reset_claims(balance);
	for (guint i = 0; i < order->len; i++)
		try_place(balance, g_ptr_array_index(order, i));
	g_ptr_array_unref(order);
}

void queue_wake_at(balance_t *balance, int64_t at)
{
	int64_t wait = at - kernel_now(balance->kernel);

	if (!handle_is_none(balance->wake_timer) && balance->wake_at <= at)
		return;
	kernel_timer_cancel(balance->kernel, &balance->wake_timer);
	balance->wake_at = at;
	balance->wake_timer =
		kernel_timer(balance->kernel, balance->svc, MAX(wait, 0),
			     HANDLE_NONE, BALANCE_TIMER_WAKE);
}

void queue_woken(balance_t *balance)
{
	balance->wake_timer = HANDLE_NONE;
	queue_run(balance);
}

void queue_timed_out(balance_t *balance, handle_t ref)
{
	queued_t *queued = table_get(&balance->queue, ref);
	choice_t choice;

	if (queued == NULL)
		return;
	queued->timer = HANDLE_NONE;
	balance_choose(balance, &queued->request, &choice);
	refuse_choice(balance, queued, &choice,
		      room_at(balance, queued, &choice));
}

void queue_cancel(balance_t *balance, const msg_t *msg)
{
	uint32_t cursor = 0;
	queued_t *queued;

	while ((queued = table_next(&balance->queue, &cursor, NULL)) != NULL)
		if (handle_equal(queued->request.id, msg->id))
			dequeue(balance, queued);
}
