#include "balance/permit.h"

#include "balance/heat.h"
#include "balance/home.h"
#include "log/log.h"

#include <string.h>

/* A permit that is not used within this time lapses. */
#define VALID_US (200 * USEC_PER_MSEC)
/* A home answers within a few ms. */
#define REPLY_WAIT_US (120 * USEC_PER_MSEC)
/* Longest delay that is believed of a home. */
#define DELAY_MAX_US (10 * USEC_PER_SEC)
/* Time after which a home that does not list the target yet is asked again. */
#define UNLISTED_RETRY_US (250 * USEC_PER_MSEC)

/* Time after which the home of a cold target is asked again. */
#define COLD_RETRY_US (500 * USEC_PER_MSEC)

typedef struct ask_t {
	handle_t self;
	handle_t target;
	handle_t queued;
	uint32_t priority;
	char home[INCARNATION_SIZE];
	handle_t timer;
} ask_t;

void permit_init(balance_t *balance)
{
	table_init(&balance->asks, sizeof(ask_t));
}

void permit_reset(balance_target_t *target)
{
	target->permit_count = 0;
	memset(target->free_at, 0, sizeof(target->free_at));
}

static bool is_valid(int64_t from, int64_t now)
{
	return from <= now && now < from + VALID_US;
}

bool permit_is_open(const balance_target_t *target, int64_t now)
{
	if (!target->notice.limit.stated && !heat_is_cold(target, now))
		return true;
	for (uint32_t i = 0; i < target->permit_count; i++)
		if (is_valid(target->permits[i], now))
			return true;
	return false;
}

static void remove_permit(balance_target_t *target, uint32_t i)
{
	target->permit_count--;
	memmove(&target->permits[i], &target->permits[i + 1],
		(target->permit_count - i) * sizeof(target->permits[0]));
}

void permit_use(balance_target_t *target, int64_t now)
{
	for (uint32_t i = 0; i < target->permit_count; i++) {
		if (!is_valid(target->permits[i], now))
			continue;
		remove_permit(target, i);
		if (i < target->claimed)
			target->claimed--;
		return;
	}
}

static void remove_lapsed(balance_t *balance, balance_target_t *target)
{
	int64_t now = kernel_now(balance->kernel);
	uint32_t i = 0;

	while (i < target->permit_count) {
		if (now < target->permits[i] + VALID_US) {
			i++;
			continue;
		}
		remove_permit(target, i);
		metrics_add(balance->kernel->metrics, COUNTER_PERMITS_LAPSED,
			    1);
	}
}

void permit_reset_claims(balance_t *balance)
{
	balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		remove_lapsed(balance, target);
		target->claimed = 0;
	}
}

/* Keeps the permits in the order in which they become valid. */
static void add_permit(balance_target_t *target, int64_t from)
{
	uint32_t i = target->permit_count;

	if (i == G_N_ELEMENTS(target->permits))
		return;
	for (; i > 0 && target->permits[i - 1] > from; i--)
		target->permits[i] = target->permits[i - 1];
	target->permits[i] = from;
	target->permit_count++;
}

/* What is refused to a request is refused to less urgent ones as well. */
static void receive_refusal(balance_target_t *target, uint32_t priority,
			    int64_t at)
{
	for (uint32_t i = priority; i < LIMIT_PRIORITIES; i++)
		target->free_at[i] = MAX(target->free_at[i], at);
}

static void receive_admission(balance_t *balance, balance_target_t *target,
			      uint32_t priority, const admission_t *admission)
{
	remove_lapsed(balance, target);
	if (!admission->admitted) {
		receive_refusal(target, priority, admission->at);
		metrics_add(balance->kernel->metrics, COUNTER_PERMITS_REFUSED,
			    1);
		return;
	}
	metrics_add(balance->kernel->metrics, COUNTER_PERMITS, 1);
	add_permit(target, admission->at);
}

/* Returns true if the home of the target is another instance. */
static bool find_home(balance_t *balance, const balance_target_t *target,
		      char home[INCARNATION_SIZE])
{
	if (heat_is_cold(target, kernel_now(balance->kernel)))
		return home_find_cold(balance, target, home);
	return home_find(balance, target, home);
}

/* This instance is the home. */
static admission_t admit(balance_t *balance, balance_target_t *target,
			 const limit_request_t *request)
{
	int64_t now = kernel_now(balance->kernel);
	admission_t admission = {.admitted = true, .at = now};

	if (heat_is_cold(target, now))
		return heat_admit(balance, target, request);
	if (target->notice.limit.stated)
		admission = limit_admit(&target->notice.limit,
					home_share(balance), now, request);
	return admission;
}

static uint64_t pack_handle(handle_t handle)
{
	return (uint64_t)handle.gen << 32 | handle.index;
}

static handle_t unpack_handle(uint64_t packed)
{
	return (handle_t){(uint32_t)packed, (uint32_t)(packed >> 32)};
}

static void send_ask(balance_t *balance, const balance_target_t *target,
		     const ask_t *ask, int64_t wait)
{
	peer_body_t *body = peer_body_new(PEER_PERMIT_REQUEST);

	g_strlcpy(body->u.permit_request.target, target->info.id,
		  sizeof(body->u.permit_request.target));
	body->u.permit_request.ask = pack_handle(ask->self);
	body->u.permit_request.wait_us = (uint64_t)wait;
	body->u.permit_request.priority = ask->priority;
	body->u.permit_request.limit = home_limit(balance, target);
	body->u.permit_request.age_us = home_limit_age(balance, target);
	kernel_post_peer(balance->kernel, balance->svc, balance->peer,
			 ask->home, body);
}

void permit_ask(balance_t *balance, balance_target_t *target, queued_t *queued,
		const limit_request_t *request)
{
	char home[INCARNATION_SIZE];
	admission_t admission;
	ask_t *ask;
	handle_t self;

	if (!find_home(balance, target, home)) {
		admission = admit(balance, target, request);
		receive_admission(balance, target, request->priority,
				  &admission);
		return;
	}
	self = table_add(&balance->asks, (void **)&ask);
	ask->self = self;
	ask->target = target->self;
	ask->queued = queued->self;
	ask->priority = request->priority;
	g_strlcpy(ask->home, home, sizeof(ask->home));
	ask->timer = kernel_timer(balance->kernel, balance->svc, REPLY_WAIT_US,
				  self, BALANCE_TIMER_ASK);
	queued->asking = true;
	send_ask(balance, target, ask, request->wait);
}

static void reply(balance_t *balance, const msg_t *request,
		  const balance_target_t *target, const admission_t *admission)
{
	peer_body_t *body = peer_body_new(PEER_PERMIT_REPLY);
	const peer_body_t *asked = request->u.peer.body;
	int64_t delay = admission->at - kernel_now(balance->kernel);

	g_strlcpy(body->u.permit_reply.target, asked->u.permit_request.target,
		  sizeof(body->u.permit_reply.target));
	body->u.permit_reply.ask = asked->u.permit_request.ask;
	body->u.permit_reply.admitted = admission->admitted;
	body->u.permit_reply.delay_us = (uint64_t)MAX(delay, 0);
	if (target != NULL) {
		body->u.permit_reply.limit = home_limit(balance, target);
		body->u.permit_reply.age_us = home_limit_age(balance, target);
	}
	kernel_post_peer(balance->kernel, balance->svc, balance->peer,
			 request->u.peer.incarnation, body);
}

/* A peer asks for a permit. */
void permit_asked(balance_t *balance, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	balance_target_t *target = g_hash_table_lookup(
		balance->targets_by_id, body->u.permit_request.target);
	int64_t now = kernel_now(balance->kernel);
	admission_t admission = {.admitted = true, .at = now};
	limit_request_t request = {
		.wait = (int64_t)MIN(body->u.permit_request.wait_us,
				     LIMIT_WAIT_MAX_US),
		.priority = body->u.permit_request.priority,
	};

	/* The peer may not know of the evacuation yet. */
	if (target == NULL || target->evacuated) {
		admission.admitted = false;
		admission.at = now + UNLISTED_RETRY_US;
		goto out;
	}
	home_apply(balance, target, &body->u.permit_request.limit,
		   body->u.permit_request.age_us);
	admission = admit(balance, target, &request);
out:
	reply(balance, msg, target, &admission);
}

static void end_ask(balance_t *balance, ask_t *ask)
{
	queued_t *queued = table_get(&balance->queue, ask->queued);

	if (queued != NULL)
		queued->asking = false;
	kernel_timer_cancel(balance->kernel, &ask->timer);
	table_remove(&balance->asks, ask->self);
}

void permit_replied(balance_t *balance, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	int64_t delay =
		(int64_t)MIN(body->u.permit_reply.delay_us, DELAY_MAX_US);
	admission_t admission = {
		.admitted = body->u.permit_reply.admitted,
		.at = kernel_now(balance->kernel) + delay,
	};
	ask_t *ask = table_get(&balance->asks,
			       unpack_handle(body->u.permit_reply.ask));
	balance_target_t *target;

	/* The reply to an ask that was given up is of no use. */
	if (ask == NULL || strcmp(ask->home, msg->u.peer.incarnation) != 0)
		return;
	target = table_get(&balance->targets, ask->target);
	if (target != NULL) {
		receive_admission(balance, target, ask->priority, &admission);
		home_apply(balance, target, &body->u.permit_reply.limit,
			   body->u.permit_reply.age_us);
	}
	end_ask(balance, ask);
	queue_run(balance);
}

void permit_timed_out(balance_t *balance, handle_t ref)
{
	ask_t *ask = table_get(&balance->asks, ref);
	balance_target_t *target;
	int64_t now = kernel_now(balance->kernel);

	if (ask == NULL)
		return;
	ask->timer = HANDLE_NONE;
	target = table_get(&balance->targets, ask->target);
	log_event(LOG_LEVEL_INFO, "balance", "home_failed", "home=%s target=%s",
		  ask->home, target != NULL ? target->info.id : "");
	home_failed(balance, ask->home);
	/* The home of a cold target has no deputy. */
	if (target != NULL && heat_is_cold(target, now))
		receive_refusal(target, 0, now + COLD_RETRY_US);
	end_ask(balance, ask);
	queue_run(balance);
}
