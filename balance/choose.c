#include "balance/choose.h"

#include "balance/placement.h"

#include <string.h>

#define JITTER_MS 2.0 /* keeps instances from choosing in lockstep */
/*
 * A target that runs calls queues a few requests.  Further ones would only wait
 * there.
 */
#define CALL_REQUESTS_PER_SLOT 2

/* Returns the limit on this instance's concurrent requests to a target. */
static uint32_t max_outstanding(const balance_t *balance,
				const balance_target_t *target)
{
	const fleet_service_t *service =
		fleet_conf_service(balance->conf, target->info.service);
	uint32_t slots = MAX(target->info.slots, 1);
	uint32_t limit =
		target->engine ? slots : slots * CALL_REQUESTS_PER_SLOT;

	if (service != NULL && service->max_connections > 0)
		limit = MIN(limit, MAX(service->max_connections /
					       MAX(balance->instances, 1),
				       1));
	return limit;
}

static bool is_avoided(const msg_t *request, handle_t target)
{
	for (uint32_t i = 0; i < request->u.place.avoid_count; i++)
		if (handle_equal(request->u.place.avoid[i], target))
			return true;
	return false;
}

/* Returns the age of the oldest request to the target with no first byte. */
static int64_t oldest_unanswered_age(const balance_t *balance,
				     const balance_target_t *target,
				     int64_t now)
{
	const placement_t *placement;
	uint32_t cursor = 0;
	int64_t oldest = 0;

	/*
	 * Skips the search of the placements: in a large fleet, most targets
	 * have no request of this instance.
	 */
	if (target->outstanding == 0)
		return 0;
	while ((placement = table_next(&balance->placements, &cursor, NULL)) !=
	       NULL)
		if (placement->placed_at > 0 &&
		    handle_equal(placement->target, target->self))
			oldest = MAX(oldest, now - placement->placed_at);
	return oldest;
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

balance_target_t *balance_choose(balance_t *balance, const msg_t *request,
				 bool *usable)
{
	int64_t now = kernel_now(balance->kernel);
	preferred_t preferred = preferred_for(balance, request);
	balance_target_t *best = NULL, *target;
	double best_cost = 0.0, cost;
	uint32_t cursor = 0;

	*usable = false;
	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (target->unavailable ||
		    strcmp(target->info.service, request->u.place.service) != 0)
			continue;
		if (is_avoided(request, target->self))
			continue;
		*usable = true;
		if (target->outstanding >= max_outstanding(balance, target))
			continue;
		cost = balance_target_cost(
			       target, request,
			       strcmp(target->info.zone, balance->zone) == 0,
			       target_rank(&preferred, target),
			       oldest_unanswered_age(balance, target, now),
			       now) +
		       (double)kernel_random_below(balance->kernel, 1000) /
			       1000.0 * JITTER_MS;
		if (best == NULL || cost < best_cost) {
			best = target;
			best_cost = cost;
		}
	}
	return best;
}
