#include "balance/choose.h"

#include <string.h>

#define JITTER_MS 2.0 /* keeps instances from choosing in step */
/* A call's target queues a few requests; more only wait there. */
#define CALL_QUEUE_SHARE 2

/* Requests that this instance may have at a target at one time. */
static uint32_t cap_of(const balance_t *balance, const balance_target_t *target)
{
	const fleet_service_t *service =
		fleet_conf_service(balance->conf, target->info.service);
	uint32_t slots = MAX(target->info.slots, 1);
	uint32_t cap = target->engine ? slots : slots * CALL_QUEUE_SHARE;

	if (service != NULL && service->max_connections > 0)
		cap = MIN(cap, MAX(service->max_connections /
					   MAX(balance->instances, 1),
				   1));
	return cap;
}

static bool is_avoided(const msg_t *ask, handle_t target)
{
	for (uint32_t i = 0; i < ask->u.place.avoid_count; i++)
		if (handle_equal(ask->u.place.avoid[i], target))
			return true;
	return false;
}

/* Age of the oldest request at the target that has no first byte. */
static int64_t oldest_unanswered(const balance_t *balance,
				 const balance_target_t *target, int64_t now)
{
	const placement_t *placement;
	uint32_t cursor = 0;
	int64_t oldest = 0;

	/* Most of many targets have nothing of this instance. */
	if (target->outstanding == 0)
		return 0;
	while ((placement = table_next(&balance->placements, &cursor, NULL)) !=
	       NULL)
		if (placement->since > 0 &&
		    handle_equal(placement->target, target->self))
			oldest = MAX(oldest, now - placement->since);
	return oldest;
}

/* The targets that all instances prefer for a prompt; NULL: none. */
typedef struct preferred_t {
	const balance_target_t *first;
	const balance_target_t *second; /* while the first one is busy */
} preferred_t;

static preferred_t preferred_for(const balance_t *balance, const msg_t *ask)
{
	preferred_t found = {NULL, NULL};
	uint64_t first_score = 0, second_score = 0, score;
	const balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (!target->engine || target->closed ||
		    strcmp(target->info.service, ask->u.place.service) != 0)
			continue;
		score = balance_target_affinity(target, ask->u.place.parts,
						ask->u.place.part_count);
		if (found.first == NULL || score > first_score) {
			found.second = found.first;
			second_score = first_score;
			found.first = target;
			first_score = score;
		} else if (found.second == NULL || score > second_score) {
			found.second = target;
			second_score = score;
		}
	}
	return found;
}

static target_rank_t rank_of(const preferred_t *preferred,
			     const balance_target_t *target)
{
	if (target == preferred->first)
		return TARGET_FIRST;
	return target == preferred->second ? TARGET_SECOND : TARGET_OTHER;
}

balance_target_t *balance_choose(balance_t *balance, const msg_t *ask,
				 bool *listed)
{
	int64_t now = kernel_now(balance->kernel);
	preferred_t preferred = preferred_for(balance, ask);
	balance_target_t *best = NULL, *target;
	double best_cost = 0.0, cost;
	uint32_t cursor = 0;

	*listed = false;
	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (target->closed ||
		    strcmp(target->info.service, ask->u.place.service) != 0)
			continue;
		if (is_avoided(ask, target->self))
			continue;
		*listed = true;
		if (target->outstanding >= cap_of(balance, target))
			continue;
		cost = balance_target_cost(
			       target, ask,
			       strcmp(target->info.zone, balance->zone) == 0,
			       rank_of(&preferred, target),
			       oldest_unanswered(balance, target, now), now) +
		       (double)kernel_random_below(balance->kernel, 1000) /
			       1000.0 * JITTER_MS;
		if (best == NULL || cost < best_cost) {
			best = target;
			best_cost = cost;
		}
	}
	return best;
}
