#include "balance/choose.h"

#include "balance/brittle.h"
#include "balance/heat.h"
#include "balance/notice.h"
#include "balance/pacing.h"
#include "balance/permit.h"
#include "balance/placement.h"
#include "balance/process.h"
#include "balance/zone_reach.h"

#include <string.h>

/*
 * A target that runs calls queues a few requests.  Further ones would only wait
 * there.
 */
#define CALL_REQUESTS_PER_SLOT 2
/*
 * Bytes of requests that one target holds of all instances, and what each may
 * send in any case: 64 requests of 16 KiB.  A target crashes if it holds more
 * than its memory.
 */
#define TARGET_BYTES (UINT64_C(64) * 1024 * 1024)
#define INSTANCE_BYTES_MIN (UINT64_C(1024) * 1024)

/* Returns the limit on this instance's concurrent requests to a target. */
static uint32_t max_outstanding(const balance_t *balance,
				const balance_target_t *target)
{
	const fleet_service_t *service =
		fleet_conf_service(balance->conf, target->info.service);
	uint32_t slots = MAX(target->info.slots, 1);
	uint32_t limit =
		target->engine ? slots : slots * CALL_REQUESTS_PER_SLOT;

	/* Otherwise all instances might fill what one of them may. */
	if (target->notice.brittle.stated)
		limit = MAX(slots / MAX(balance->instances, 1), 1);
	if (service != NULL && service->max_connections > 0)
		limit = MIN(limit, MAX(service->max_connections /
					       MAX(balance->instances, 1),
				       1));
	return limit;
}

/*
 * One request may exceed the bound, so that a large one does not wait for ever
 * while small ones pass it.
 */
static bool holds_too_much(const balance_t *balance,
			   const balance_target_t *target)
{
	return target->outstanding_bytes >=
	       MAX(TARGET_BYTES / MAX(balance->instances, 1),
		   INSTANCE_BYTES_MIN);
}

/*
 * Beyond its slots, an engine lets requests wait, in its order and without an
 * end in sight.
 */
static bool is_full(const balance_t *balance, const balance_target_t *target,
		    int64_t now)
{
	if (target->outstanding >= max_outstanding(balance, target) ||
	    holds_too_much(balance, target))
		return true;
	/* What would wait there may be turned away. */
	return (target->engine || target->notice.brittle.stated) &&
	       balance_target_requests(target, now) >=
		       MAX(target->info.slots, 1);
}

static bool is_avoided(const msg_t *request, handle_t target)
{
	for (uint32_t i = 0; i < request->u.place.avoid_count; i++)
		if (handle_equal(request->u.place.avoid[i], target))
			return true;
	return false;
}

/* Returns the age of the oldest request to the target with no first byte. */
static int64_t oldest_unanswered_age(const balance_target_t *target,
				     int64_t now)
{
	const GList *first = target->unanswered.head;

	if (first == NULL)
		return 0;
	return now - ((const placement_t *)first->data)->placed_at;
}

/* The targets that all instances prefer for a prompt, or NULL. */
typedef struct preferred_t {
	const balance_target_t *primary;
	const balance_target_t *secondary; /* used while primary is busy */
} preferred_t;

static preferred_t preferred_for(const balance_t *balance, const msg_t *request)
{
	preferred_t found = {NULL, NULL};
	uint64_t primary_score = 0, secondary_score = 0, score;
	const balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (!target->engine || target->unavailable ||
		    target->evacuated || target->notice.leaving ||
		    zones_is_cut(balance, target) ||
		    strcmp(target->info.service, request->u.place.service) != 0)
			continue;
		score = balance_target_affinity(target, request->u.place.parts,
						request->u.place.part_count);
		if (found.primary == NULL || score > primary_score) {
			found.secondary = found.primary;
			secondary_score = primary_score;
			found.primary = target;
			primary_score = score;
		} else if (found.secondary == NULL || score > secondary_score) {
			found.secondary = target;
			secondary_score = score;
		}
	}
	return found;
}

static target_rank_t target_rank(const preferred_t *preferred,
				 const balance_target_t *target)
{
	if (target == preferred->primary)
		return TARGET_PRIMARY;
	return target == preferred->secondary ? TARGET_SECONDARY : TARGET_OTHER;
}

static bool has_other_version(const balance_target_t *target,
			      const msg_t *request)
{
	return request->u.place.one_version &&
	       strcmp(target->info.version, request->u.place.version) != 0;
}

/* A stream goes on only where the version is known. */
static bool is_doubted(const balance_target_t *target, const msg_t *request)
{
	return request->u.place.one_version && !process_is_known(target);
}

bool balance_is_usable(const balance_target_t *target, const msg_t *request)
{
	return strcmp(target->info.service, request->u.place.service) == 0 &&
	       !has_other_version(target, request) &&
	       !is_doubted(target, request) && !target->unavailable &&
	       !target->evacuated && !target->notice.leaving &&
	       !is_avoided(request, target->self);
}

limit_request_t balance_limit_request(const msg_t *request, int64_t now)
{
	limit_request_t limit_request;

	limit_request.priority = (uint32_t)CLAMP(request->u.place.priority, 0,
						 LIMIT_PRIORITIES - 1);
	limit_request.wait =
		CLAMP(request->u.place.deadline - now, 0, LIMIT_WAIT_MAX_US) >>
		limit_request.priority;
	return limit_request;
}

/* The cheapest targets among those looked at so far. */
typedef struct candidates_t {
	balance_target_t *open;
	double open_cost;
	balance_target_t *free; /* may give a permit at once */
	double free_cost;
	balance_target_t *later; /* may give a permit for later */
	double later_cost;
	balance_target_t *cut_off; /* in a zone that seems to be cut off */
	double cut_off_cost;
	int64_t room_at; /* earliest known; monotonic, us; INT64_MAX: none */
	bool reporting; /* a target in doubt may soon be known */
} candidates_t;

static void keep_cheapest(balance_target_t **best, double *best_cost,
			  balance_target_t *target, double cost)
{
	if (*best != NULL && cost >= *best_cost)
		return;
	*best = target;
	*best_cost = cost;
}

static void decide(const candidates_t *found, choice_t *choice)
{
	const uint32_t *count = choice->passed_over.count;

	if (found->open != NULL &&
	    (found->free == NULL || found->open_cost <= found->free_cost)) {
		choice->kind = CHOICE_TARGET;
		choice->u.target = found->open;
	} else if (found->free != NULL) {
		choice->kind = CHOICE_ASK;
		choice->u.ask.target = found->free;
		choice->u.ask.at_once = found->open != NULL;
	} else if (found->later != NULL) {
		choice->kind = CHOICE_ASK;
		choice->u.ask.target = found->later;
	} else if (count[PASS_FULL] + count[PASS_LIMITED] + count[PASS_PAUSED] +
				   count[PASS_COLD] + count[PASS_PACED] >
			   0 ||
		   found->reporting) {
		choice->kind = CHOICE_WAIT;
		choice->u.wait.until = found->room_at;
		choice->u.wait.known =
			count[PASS_FULL] + count[PASS_PACED] == 0 &&
			!found->reporting;
	} else if (found->cut_off != NULL) {
		/* The zone may be reached again, or never was cut off. */
		choice->kind = CHOICE_TARGET;
		choice->u.target = found->cut_off;
	} else {
		choice->kind = CHOICE_NONE;
	}
}

static pass_reason_t reason_to_pass(const balance_t *balance,
				    const balance_target_t *target,
				    const msg_t *request, bool paced,
				    int64_t now)
{
	if (target->evacuated)
		return PASS_EVACUATED;
	if (has_other_version(target, request))
		return PASS_VERSION;
	if (is_doubted(target, request))
		return PASS_DOUBTED;
	if (target->unavailable)
		return PASS_UNAVAILABLE;
	if (target->notice.leaving)
		return PASS_LEAVING;
	if (is_avoided(request, target->self))
		return PASS_TRIED;
	if (notice_is_paused(target, now) || brittle_is_paused(target, now))
		return PASS_PAUSED;
	if (is_full(balance, target, now))
		return PASS_FULL;
	if (zones_is_cut(balance, target))
		return PASS_ZONE_CUT;
	if (paced && !pacing_is_open(balance, target, now))
		return PASS_PACED;
	if (permit_is_open(target, now))
		return PASS_NONE;
	return heat_is_cold(target, now) ? PASS_COLD : PASS_LIMITED;
}

static int64_t stated_at(const target_notice_t *notice, pass_reason_t reason)
{
	switch (reason) {
	case PASS_LEAVING:
		return notice->leaving_at;
	case PASS_PAUSED:
		return notice->paused_at;
	case PASS_LIMITED:
		return notice->limit.as_of;
	default:
		return 0;
	}
}

static void count_passed(passed_over_t *passed_over,
			 const balance_target_t *target, pass_reason_t reason)
{
	int64_t at = stated_at(&target->notice, reason);

	passed_over->count[reason]++;
	if (at > 0 &&
	    (passed_over->stated_at == 0 || at < passed_over->stated_at))
		passed_over->stated_at = at;
}

bool passed_over_stated(const passed_over_t *passed_over)
{
	return passed_over->count[PASS_LEAVING] +
		       passed_over->count[PASS_PAUSED] +
		       passed_over->count[PASS_LIMITED] +
		       passed_over->count[PASS_COLD] >
	       0;
}

/* Adds a target for which the request needs a permit. */
static void add_limited(candidates_t *found, balance_target_t *target,
			const limit_request_t *limit_request, double cost,
			int64_t now)
{
	int64_t free_at = target->free_at[limit_request->priority];

	if (free_at <= now) {
		keep_cheapest(&found->free, &found->free_cost, target, cost);
		return;
	}
	found->room_at = MIN(found->room_at, free_at);
	if (free_at - now <= limit_request->wait)
		keep_cheapest(&found->later, &found->later_cost, target, cost);
}

static double target_cost(const balance_t *balance,
			  const balance_target_t *target, const msg_t *request,
			  const preferred_t *preferred, int64_t now,
			  target_cost_t *parts)
{
	bool same_zone = strcmp(target->info.zone, balance->zone) == 0;

	balance_target_cost_parts(
		target, request, same_zone, target_rank(preferred, target),
		oldest_unanswered_age(target, now), now, parts);
	return parts->total;
}

static double jitter(balance_t *balance)
{
	return (double)kernel_random_below(balance->kernel, 1000) / 1000.0 *
	       CHOICE_JITTER_MS;
}

static int64_t paused_until(const balance_target_t *target)
{
	return MAX(target->notice.paused_until,
		   target->notice.brittle.paused_until);
}

static bool needs_cost(pass_reason_t reason)
{
	return reason == PASS_NONE || reason == PASS_LIMITED ||
	       reason == PASS_COLD || reason == PASS_ZONE_CUT;
}

/* considered is NULL for a choice; otherwise the search has no effect. */
static void search(balance_t *balance, const msg_t *request, choice_t *choice,
		   GArray *considered)
{
	int64_t now = kernel_now(balance->kernel);
	limit_request_t limit_request = balance_limit_request(request, now);
	preferred_t preferred = preferred_for(balance, request);
	candidates_t found = {.room_at = INT64_MAX};
	balance_target_t *target;
	/* A stream that goes on may have no other target. */
	bool paced = !request->u.place.one_version &&
		     pacing_applies(balance, request->u.place.service);
	uint32_t cursor = 0;
	double cost;

	memset(choice, 0, sizeof(*choice));
	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		considered_t found_here = {.target = target};
		pass_reason_t reason;

		if (strcmp(target->info.service, request->u.place.service) != 0)
			continue;
		reason = reason_to_pass(balance, target, request, paced, now);
		if (reason != PASS_NONE)
			count_passed(&choice->passed_over, target, reason);
		cost = 0.0;
		if (considered != NULL || needs_cost(reason))
			cost = target_cost(balance, target, request, &preferred,
					   now, &found_here.cost);
		if (considered == NULL && needs_cost(reason))
			cost += jitter(balance);
		switch (reason) {
		case PASS_NONE:
			keep_cheapest(&found.open, &found.open_cost, target,
				      cost);
			break;
		case PASS_LIMITED:
		case PASS_COLD:
			add_limited(&found, target, &limit_request, cost, now);
			break;
		case PASS_ZONE_CUT:
			if (!permit_is_open(target, now))
				break;
			keep_cheapest(&found.cut_off, &found.cut_off_cost,
				      target, cost);
			break;
		case PASS_PAUSED:
			found.room_at =
				MIN(found.room_at, paused_until(target));
			break;
		case PASS_DOUBTED:
			if (considered == NULL)
				process_want(balance, target);
			found.reporting |= process_is_reporting(target);
			break;
		default:
			break;
		}
		found_here.reason = reason;
		if (considered != NULL)
			g_array_append_val(considered, found_here);
	}
	decide(&found, choice);
}

void balance_choose(balance_t *balance, const msg_t *request, choice_t *choice)
{
	search(balance, request, choice, NULL);
}

void balance_explain(balance_t *balance, const msg_t *request, choice_t *choice,
		     GArray *considered)
{
	search(balance, request, choice, considered);
}
