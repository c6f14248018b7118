#include "balance/home.h"

#include "balance/heat.h"
#include "balance/notice.h"
#include "balance/queue.h"
#include "kernel/hash.h"
#include "log/log.h"

#include <string.h>

/* Time for which a home that did not answer is not asked again. */
#define AVOID_US USEC_PER_SEC
/*
 * Interval at which a home that knows of a limit is told that it has ended.
 * Responses may come faster than its answer.
 */
#define END_INTERVAL_US (200 * USEC_PER_MSEC)
#define AGE_MAX_US (60 * USEC_PER_SEC) /* a peer's older news has this age */

static bool is_avoided(balance_t *balance, const char *incarnation)
{
	int64_t now = kernel_now(balance->kernel);

	for (uint32_t i = 0; i < G_N_ELEMENTS(balance->failed_homes); i++)
		if (balance->failed_homes[i].until > now &&
		    strcmp(balance->failed_homes[i].incarnation, incarnation) ==
			    0)
			return true;
	return false;
}

void home_failed(balance_t *balance, const char *incarnation)
{
	failed_home_t *oldest = &balance->failed_homes[0];

	for (uint32_t i = 1; i < G_N_ELEMENTS(balance->failed_homes); i++)
		if (balance->failed_homes[i].until < oldest->until)
			oldest = &balance->failed_homes[i];
	g_strlcpy(oldest->incarnation, incarnation,
		  sizeof(oldest->incarnation));
	oldest->until = kernel_now(balance->kernel) + AVOID_US;
}

/*
 * Chooses among the instances in the zone, or among all if zone is NULL.
 * Returns false if there is none.
 */
static bool find_in_zone(balance_t *balance, const char *target,
			 const char *zone, bool avoid, const char **incarnation)
{
	uint64_t best = 0;

	*incarnation = NULL;
	if (zone == NULL || strcmp(balance->zone, zone) == 0) {
		*incarnation = balance->incarnation;
		best = hash_rendezvous(balance->incarnation, target);
	}
	for (guint i = 0; i < peer_set_count(&balance->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&balance->peers, i);
		uint64_t weight;

		if (zone != NULL && strcmp(peer->availability_zone, zone) != 0)
			continue;
		weight = hash_rendezvous(peer->incarnation, target);
		if ((*incarnation != NULL && weight <= best) ||
		    (avoid && is_avoided(balance, peer->incarnation)))
			continue;
		best = weight;
		*incarnation = peer->incarnation;
	}
	return *incarnation != NULL;
}

/* Most requests to a target come from its zone, so its home is there too. */
static bool find(balance_t *balance, const balance_target_t *target, bool avoid,
		 char incarnation[INCARNATION_SIZE])
{
	const char *found;

	if (!find_in_zone(balance, target->info.id, target->info.zone, avoid,
			  &found))
		find_in_zone(balance, target->info.id, NULL, avoid, &found);
	g_strlcpy(incarnation, found, INCARNATION_SIZE);
	return strcmp(found, balance->incarnation) != 0;
}

bool home_find(balance_t *balance, const balance_target_t *target,
	       char incarnation[INCARNATION_SIZE])
{
	return find(balance, target, true, incarnation);
}

bool home_find_cold(balance_t *balance, const balance_target_t *target,
		    char incarnation[INCARNATION_SIZE])
{
	return find(balance, target, false, incarnation);
}

bool home_precedes(const balance_t *balance, const balance_target_t *target,
		   const char *incarnation, const char *zone)
{
	bool near = strcmp(zone, target->info.zone) == 0;

	if (near != (strcmp(balance->zone, target->info.zone) == 0))
		return near;
	return hash_rendezvous(incarnation, target->info.id) >
	       hash_rendezvous(balance->incarnation, target->info.id);
}

/*
 * Each side of a partition has a home of its own.  The larger part of the fleet
 * uses all of a limit, the others their part of it, so that all together stay
 * below one and a half times the limit.
 */
double home_share(const balance_t *balance)
{
	uint32_t reached = peer_set_count(&balance->peers) + 1;

	if (2 * reached > balance->instances)
		return 1.0;
	return (double)reached / balance->instances;
}

static void tell(balance_t *balance, const balance_target_t *target,
		 const target_limit_t *limit, uint64_t age_us, const char *to)
{
	peer_body_t *body = peer_body_new(PEER_TARGET_LIMIT);

	g_strlcpy(body->u.limit.target, target->info.id,
		  sizeof(body->u.limit.target));
	body->u.limit.limit = *limit;
	body->u.limit.age_us = age_us;
	kernel_post_peer(balance->kernel, balance->svc, balance->peer, to,
			 body);
}

/* Whether messages state the rate of a cold target as its limit. */
static bool is_limited_by_cold(const balance_t *balance,
			       const balance_target_t *target)
{
	return heat_is_cold(target, kernel_now(balance->kernel)) &&
	       (!target->notice.limit.stated ||
		target->notice.limit.per_ks >= target->cold_per_ks);
}

target_limit_t home_limit(const balance_t *balance,
			  const balance_target_t *target)
{
	target_limit_t limit = {.kind = LIMIT_NONE};

	if (is_limited_by_cold(balance, target)) {
		limit.kind = LIMIT_STATED;
		limit.per_ks = target->cold_per_ks;
	} else if (target->notice.limit.stated) {
		limit.kind = LIMIT_STATED;
		limit.per_ks = target->notice.limit.per_ks;
	}
	return limit;
}

uint64_t home_limit_age(const balance_t *balance,
			const balance_target_t *target)
{
	int64_t now = kernel_now(balance->kernel);
	int64_t as_of = target->notice.limit.as_of;

	if (is_limited_by_cold(balance, target))
		return heat_age(target, now);
	/* A peer of a former release takes the cold rate for a limit. */
	if (!target->notice.limit.stated)
		as_of = MAX(as_of, target->notice.cold.until);
	return (uint64_t)MAX(now - as_of, 0);
}

void home_tell_cold(balance_t *balance, const balance_target_t *target,
		    bool used)
{
	target_limit_t limit = home_limit(balance, target);
	char home[INCARNATION_SIZE];

	if (!home_find_cold(balance, target, home))
		home[0] = '\0';
	else if (!used)
		return;
	tell(balance, target, &limit, home_limit_age(balance, target), home);
}

static void log_limit(const balance_target_t *target, const char *source,
		      uint64_t age_us)
{
	log_event(LOG_LEVEL_INFO, "balance", "limit",
		  "target=%s service=%s kind=%s per_s=%.3f source=%s "
		  "age_ms=%" G_GUINT64_FORMAT " outstanding=%u",
		  target->info.id, target->info.service,
		  target->notice.limit.stated ? "stated" : "none",
		  target->notice.limit.stated
			  ? target->notice.limit.per_ks / 1000.0
			  : 0.0,
		  source, age_us / USEC_PER_MSEC, target->outstanding);
}

/* The home passes a change on to all instances, others to the home. */
static void pass_on(balance_t *balance, const balance_target_t *target,
		    const target_limit_t *limit, uint64_t age_us)
{
	char home[INCARNATION_SIZE];

	if (!home_find(balance, target, home))
		home[0] = '\0';
	tell(balance, target, limit, age_us, home);
}

/*
 * Only the home ends a limit: it knows whether another instance has heard of it
 * since.  Until it tells so, this instance keeps to the limit.
 */
static void end_heard(balance_t *balance, balance_target_t *target,
		      const target_limit_t *limit)
{
	int64_t now = kernel_now(balance->kernel);
	char home[INCARNATION_SIZE];

	if (!target->notice.limit.stated)
		return;
	if (!home_find(balance, target, home)) {
		if (!limit_apply(&target->notice.limit, limit, now, now))
			return;
		log_limit(target, "response", 0);
		tell(balance, target, limit, 0, "");
		queue_run(balance);
	} else if (now - target->end_told_at >= END_INTERVAL_US) {
		target->end_told_at = now;
		tell(balance, target, limit, 0, home);
	}
}

void home_heard(balance_t *balance, balance_target_t *target,
		const target_limit_t *limit)
{
	int64_t now = kernel_now(balance->kernel);

	switch (limit->kind) {
	case LIMIT_UNKNOWN:
		break;
	case LIMIT_NONE:
		end_heard(balance, target, limit);
		break;
	case LIMIT_STATED:
		metrics_add(balance->kernel->metrics, COUNTER_LIMITS_STATED, 1);
		if (!limit_apply(&target->notice.limit, limit, now, now))
			break;
		log_limit(target, "response", 0);
		pass_on(balance, target, limit, 0);
		break;
	}
}

void home_apply(balance_t *balance, balance_target_t *target,
		const target_limit_t *limit, uint64_t age_us)
{
	int64_t now = kernel_now(balance->kernel);
	char home[INCARNATION_SIZE];

	age_us = MIN(age_us, AGE_MAX_US);
	if (heat_told(balance, target, limit, age_us))
		return;
	if (!limit_apply(&target->notice.limit, limit, now - (int64_t)age_us,
			 now))
		return;
	log_limit(target, "peer", age_us);
	if (!home_find(balance, target, home))
		tell(balance, target, limit, age_us, "");
	queue_run(balance);
}

void home_told(balance_t *balance, const peer_body_t *body)
{
	balance_target_t *target = g_hash_table_lookup(balance->targets_by_id,
						       body->u.limit.target);

	if (target != NULL)
		home_apply(balance, target, &body->u.limit.limit,
			   body->u.limit.age_us);
}

/* The new peer may have become the home itself: it is told all the same. */
void home_tell_peer(balance_t *balance, const char *incarnation)
{
	char home[INCARNATION_SIZE];
	balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		target_limit_t limit = home_limit(balance, target);

		if (limit.kind != LIMIT_STATED && !target->notice.leaving)
			continue;
		if (home_find(balance, target, home) &&
		    strcmp(home, incarnation) != 0)
			continue;
		if (target->notice.leaving)
			notice_tell(balance, target, incarnation);
		if (limit.kind == LIMIT_STATED)
			tell(balance, target, &limit,
			     home_limit_age(balance, target), incarnation);
	}
}
