#include "proxy/reach.h"

#include <string.h>

/* A request that was sent for a trial and has no answer is given up. */
#define TRIAL_US INT64_C(1000000)

/*
 * Congestion excuses connects only while something arrives, however late.
 * Input waited for up to 1.2 s at instances with several times the load that
 * they bear.
 */
#define CONGESTED_SILENCE_US INT64_C(2000000)

void reach_heard(reach_t *reach, int64_t now)
{
	reach->heard_at = now;
}

reach_late_t reach_judge_late(const reach_t *reach, int64_t began, int64_t now)
{
	if (reach->congested && reach->heard_at > 0 &&
	    now - reach->heard_at < CONGESTED_SILENCE_US)
		return REACH_LATE_LOCAL;
	return reach->heard_at > began ? REACH_LATE_TARGET : REACH_LATE_CUT;
}

static bool is_known(const reach_t *reach, const char *instance)
{
	for (uint32_t i = 0; i < reach->failed_count; i++)
		if (strcmp(reach->failed[i].instance, instance) == 0)
			return true;
	return false;
}

bool reach_failed(reach_t *reach, const reach_target_t *target, int64_t now)
{
	if (reach->state != REACH_OPEN) {
		reach->state = REACH_CUT;
		return false;
	}
	if (is_known(reach, target->instance))
		return false;
	reach->failed[reach->failed_count++] = *target;
	if (reach->failed_count < REACH_FAILED_MAX)
		return false;
	reach->state = REACH_CUT;
	reach->cut_at = now;
	reach->checked = 0;
	return true;
}

bool reach_answered(reach_t *reach)
{
	bool changed = reach->state != REACH_OPEN;

	reach->state = REACH_OPEN;
	reach->failed_count = 0;
	return changed;
}

void reach_accepted(reach_t *reach, int64_t now)
{
	if (reach->state != REACH_CUT)
		return;
	reach->state = REACH_TRYING;
	reach->accepted_at = now;
	reach->trial_at = 0;
}

bool reach_allows_trial(reach_t *reach, bool idempotent, int64_t now)
{
	if (reach->state != REACH_TRYING ||
	    (!idempotent && now - reach->accepted_at < TRIAL_US) ||
	    (reach->trial_at != 0 && now - reach->trial_at < TRIAL_US))
		return false;
	reach->trial_at = now;
	return true;
}

const reach_target_t *reach_next_check(reach_t *reach)
{
	if (reach->state != REACH_CUT)
		return NULL;
	return &reach->failed[reach->checked++ % reach->failed_count];
}
