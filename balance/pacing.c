#include "balance/pacing.h"

#include "balance/heat.h"
#include "balance/home.h"
#include "balance/queue.h"
#include "log/log.h"

#include <string.h>

/*
 * Targets that are listed in this time after the start of an instance may have
 * run for long.
 */
#define START_US (5 * USEC_PER_SEC)
/*
 * A target that two instances have seen fail within this time has failed, and
 * not the link of one of them.
 */
#define CONFIRM_US USEC_PER_SEC
/* Weight of one answer in the mean of a target's answers. */
#define ANSWER_WEIGHT 0.1
#define CALLS_PER_SLOT 2

static uint32_t room(const balance_target_t *target)
{
	uint32_t slots = MAX(target->info.slots, 1);

	return target->engine ? slots : slots * CALLS_PER_SLOT;
}

static void update_gauge(balance_t *balance)
{
	const balance_target_t *target;
	uint32_t cursor = 0;
	int64_t count = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		count += target->pace.active;
	metrics_set(balance->kernel->metrics, GAUGE_TARGETS_PACED, count);
}

static void log_pace(balance_t *balance, const balance_target_t *target,
		     const char *reason)
{
	log_event(LOG_LEVEL_INFO, "balance", "pace",
		  "target=%s service=%s active=%d level=%u reason=%s "
		  "outstanding=%u",
		  target->info.id, target->info.service, target->pace.active,
		  target->pace.level, reason, target->outstanding);
	update_gauge(balance);
}

/*
 * The frame of limits with a kind that says nothing of a limit: a former
 * release ignores it.
 */
static void tell(balance_t *balance, const balance_target_t *target,
		 uint32_t level, const char *to)
{
	peer_body_t *body = peer_body_new(PEER_TARGET_LIMIT);

	g_strlcpy(body->u.limit.target, target->info.id,
		  sizeof(body->u.limit.target));
	body->u.limit.limit.kind = LIMIT_UNKNOWN;
	body->u.limit.limit.per_ks = level;
	kernel_post_peer(balance->kernel, balance->svc, balance->peer, to,
			 body);
}

static void begin(balance_t *balance, balance_target_t *target,
		  const char *reason)
{
	pace_begin(&target->pace, kernel_now(balance->kernel));
	metrics_add(balance->kernel->metrics, COUNTER_TARGETS_PACED_SEEN, 1);
	log_pace(balance, target, reason);
}

void pacing_listed(balance_t *balance, balance_target_t *target)
{
	if (balance->pace &&
	    kernel_now(balance->kernel) - balance->started_at >= START_US)
		begin(balance, target, "listed");
}

/* Mean time to an answer of the targets that are not restrained; 0: none. */
static int64_t usual_answer(const balance_t *balance, const char *service)
{
	const balance_target_t *target;
	uint32_t cursor = 0, count = 0;
	double sum = 0.0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (target->pace.active || target->answer_us <= 0.0 ||
		    strcmp(target->info.service, service) != 0)
			continue;
		sum += target->answer_us;
		count++;
	}
	return count > 0 ? (int64_t)(sum / count) : 0;
}

static void changed(balance_t *balance, balance_target_t *target,
		    const char *reason)
{
	log_pace(balance, target, reason);
	tell(balance, target,
	     target->pace.active ? target->pace.level : PACE_FREE, "");
}

bool pacing_answered(balance_t *balance, balance_target_t *target,
		     int64_t sent_at)
{
	int64_t now = kernel_now(balance->kernel);
	int64_t us = now - sent_at;
	pace_answer_t answer;

	if (!target->pace.active) {
		target->answer_us +=
			((double)us - target->answer_us) *
			(target->answer_us > 0.0 ? ANSWER_WEIGHT : 1.0);
		return false;
	}
	answer = pace_rate_answer(us,
				  usual_answer(balance, target->info.service));
	if (!pace_answered(&target->pace, answer, sent_at, room(target), now))
		return false;
	changed(balance, target, answer == PACE_FAST ? "fast" : "slow");
	return true;
}

/* This instance is the home, and an instance has seen the target fail. */
static bool is_confirmed(balance_t *balance, balance_target_t *target,
			 const char *doubter)
{
	int64_t now = kernel_now(balance->kernel);
	bool confirmed = target->doubter[0] != '\0' &&
			 strcmp(target->doubter, doubter) != 0 &&
			 now - target->doubter_at < CONFIRM_US;

	g_strlcpy(target->doubter, doubter, sizeof(target->doubter));
	target->doubter_at = now;
	return confirmed;
}

void pacing_failed(balance_t *balance, balance_target_t *target,
		   int64_t sent_at, bool lost)
{
	int64_t now = kernel_now(balance->kernel);
	char home[INCARNATION_SIZE];
	bool is_home;

	if (!balance->pace)
		return;
	if (target->pace.active) {
		if (pace_answered(&target->pace, PACE_FAILED, sent_at,
				  room(target), now))
			changed(balance, target, "failed");
		return;
	}
	if (!lost)
		return;
	begin(balance, target, "failed");
	is_home = !home_find(balance, target, home);
	if (!is_home)
		tell(balance, target, 0, home);
	else if (is_confirmed(balance, target, balance->incarnation))
		tell(balance, target, 0, "");
}

/*
 * A failure that only one instance has seen does not restrain the others, and
 * that instance is told to go on.
 */
static void answer_doubt(balance_t *balance, balance_target_t *target,
			 const char *from)
{
	bool known = target->pace.active;

	if (!is_confirmed(balance, target, from)) {
		if (!known)
			tell(balance, target, PACE_FREE, from);
		return;
	}
	if (!known)
		begin(balance, target, "peer");
	else
		pace_told(&target->pace, 0, room(target),
			  kernel_now(balance->kernel));
	tell(balance, target, 0, "");
}

void pacing_told(balance_t *balance, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	const char *from = msg->u.peer.incarnation;
	balance_target_t *target = g_hash_table_lookup(balance->targets_by_id,
						       body->u.limit.target);
	uint32_t level = body->u.limit.limit.per_ks;
	char home[INCARNATION_SIZE];
	bool is_home, is_other;

	if (target == NULL || !balance->pace)
		return;
	is_home = !home_find(balance, target, home);
	if (level == 0 && is_home) {
		answer_doubt(balance, target, from);
	} else if (target->pace.active) {
		is_other = level != target->pace.level;
		pace_told(&target->pace, level, room(target),
			  kernel_now(balance->kernel));
		if (is_other)
			log_pace(balance, target, "peer");
		queue_run(balance);
	} else if (level == 0 && strcmp(home, from) == 0 &&
		   !target->pace.active) {
		begin(balance, target, "peer");
	}
}

bool pacing_applies(const balance_t *balance, const char *service)
{
	const balance_target_t *target;
	uint32_t cursor = 0, count = 0, paced = 0;

	if (!balance->pace)
		return false;
	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (target->unavailable || target->notice.leaving ||
		    strcmp(target->info.service, service) != 0)
			continue;
		count++;
		paced += target->pace.active;
	}
	return 2 * paced <= count;
}

/* What the target states itself comes first. */
bool pacing_is_open(const balance_t *balance, const balance_target_t *target,
		    int64_t now)
{
	pace_place_t place = {
		.reached = peer_set_count(&balance->peers) + 1,
		.instances = balance->instances,
		.outstanding = target->outstanding,
	};

	if (!target->pace.active || target->notice.limit.stated ||
	    heat_is_cold(target, now))
		return true;
	for (guint i = 0; i < peer_set_count(&balance->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&balance->peers, i);

		place.rank += home_precedes(balance, target, peer->incarnation,
					    peer->availability_zone);
	}
	place.answer_us = usual_answer(balance, target->info.service);
	return pace_is_open(&target->pace, &place, now);
}
