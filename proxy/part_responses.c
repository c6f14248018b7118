/*
 * What responses that went on change about the sets in quarantine.
 */
#include "proxy/part_hold.h"

/* Responses with all of a set that end its quarantine. */
#define RESPONSES_RELEASE 3

G_STATIC_ASSERT(PART_SET_MAX <= 32); /* bits of part_hold_t.cleared */

static part_set_t not_cleared(const part_hold_t *hold)
{
	part_set_t rest = {.count = 0};

	for (uint32_t i = 0; i < hold->set.count; i++) {
		if ((hold->cleared & (UINT32_C(1) << i)) == 0)
			part_set_add(&rest, hold->set.parts[i]);
	}
	return rest;
}

void part_hold_explain_others(part_holds_t *holds, const part_set_t *set,
			      const part_set_t *rest, int64_t now)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (!part_set_contains(rest, set->parts[i]))
			part_scores_explained(holds->scores, set->parts[i],
					      now);
	}
}

/* The quarantine goes on for some of its parts. */
static void narrow(part_holds_t *holds, part_hold_t *hold,
		   const part_set_t *rest, part_origin_t origin, int64_t now)
{
	part_hold_t *other = part_hold_find(holds, rest);

	if (other != NULL && !other->held &&
	    other->released_at >= hold->decided_at)
		return;
	part_hold_add_change(holds, PART_CHANGE_REPLACED, hold, origin, now);
	part_hold_explain_others(holds, &hold->set, rest, now);
	if (other != NULL && other->held) {
		part_hold_remove(holds, hold);
		return;
	}
	if (other != NULL) {
		hold->strikes = MAX(hold->strikes, other->strikes);
		part_hold_remove(holds, other);
	}
	hold->set = *rest;
	hold->cleared = 0;
	hold->against = 0;
	/* Responses speak for it, whatever explains its crashes. */
	hold->decided = (known_crash_t){.target = 0};
	part_hold_add_change(holds, PART_CHANGE_HELD, hold, origin, now);
}

void part_hold_weigh_cleared(part_holds_t *holds, part_hold_t *hold,
			     part_origin_t origin, int64_t now)
{
	part_set_t rest = not_cleared(hold);

	if (rest.count == hold->set.count)
		return;
	if (rest.count == 0) {
		if (hold->strikes <= 1)
			part_hold_end(holds, hold, origin, now);
		return;
	}
	if (!part_scores_all_sound_lately(holds->scores, &rest, now))
		narrow(holds, hold, &rest, origin, now);
}

static void clear_parts(part_hold_t *hold, const uint64_t *parts,
			uint32_t count, int64_t began_at)
{
	if (began_at <= hold->decided_at)
		return;
	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t j = 0; j < hold->set.count; j++) {
			if (hold->set.parts[j] == parts[i])
				hold->cleared |= UINT32_C(1) << j;
		}
	}
}

/* A response with all of the set went on. */
static void count_against(part_holds_t *holds, part_hold_t *hold,
			  int64_t began_at, part_origin_t origin, int64_t now)
{
	hold->against++;
	if (hold->probed || hold->against >= RESPONSES_RELEASE ||
	    (began_at > hold->decided_at &&
	     part_hold_is_doubted(holds, hold, now)))
		part_hold_end(holds, hold, origin, now);
}

bool part_holds_contain(const part_holds_t *holds, uint64_t part)
{
	uint32_t cursor = 0;
	const part_hold_t *hold;

	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (hold->held && part_set_contains(&hold->set, part))
			return true;
	}
	return false;
}

bool part_holds_await(const part_holds_t *holds, uint64_t part, int64_t now)
{
	uint32_t cursor = 0;
	const part_hold_t *hold;

	if (holds->held == 0)
		return false;
	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		part_set_t rest = not_cleared(hold);

		if (hold->held && part_set_contains(&rest, part) &&
		    (hold->set.count > 1 ||
		     part_hold_is_doubted(holds, hold, now)))
			return true;
	}
	return false;
}

void part_holds_weigh(part_holds_t *holds, const uint64_t *parts,
		      uint32_t count, int64_t began_at, part_origin_t origin,
		      int64_t now)
{
	uint32_t cursor = 0;
	part_hold_t *hold;

	if (holds->held == 0)
		return;
	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (!hold->held)
			continue;
		if (part_set_is_within(&hold->set, parts, count)) {
			count_against(holds, hold, began_at, origin, now);
			continue;
		}
		clear_parts(hold, parts, count, began_at);
		part_hold_weigh_cleared(holds, hold, origin, now);
	}
}
