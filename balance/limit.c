#include "balance/limit.h"

#include "kernel/kernel.h"

/*
 * Time by which a response that states a limit may overtake an older one that
 * states none, on another connection or on its way through a peer.
 */
#define OVERTAKE_US (100 * USEC_PER_MSEC)
/* Part of the limit that may be used at once after a pause. */
#define BURST_US (500 * USEC_PER_MSEC)
/*
 * A target that takes no requests still gets this many, because only a response
 * tells that its limit has ended.
 */
#define PROBES_PER_KS 100
/* Longest time after which a refused request may come again. */
#define TURN_MAX_US (2 * LIMIT_WAIT_MAX_US)
#define USEC_PER_KS (1000 * USEC_PER_SEC)

static int64_t interval(const limit_t *limit, double share)
{
	double per_ks = MAX(limit->per_ks, PROBES_PER_KS) * share;

	return (int64_t)((double)USEC_PER_KS / per_ks);
}

static bool set_limit(limit_t *limit, uint32_t per_ks, int64_t now)
{
	int64_t most;

	if (limit->stated && limit->per_ks == per_ks)
		return false;
	limit->per_ks = per_ks;
	most = now + BURST_US + interval(limit, 1.0);
	/* What was sent before is not known, so nothing is left of the burst.
	 */
	if (!limit->stated || limit->due > most)
		limit->due = most;
	limit->stated = true;
	limit->next_turn = 0;
	return true;
}

bool limit_apply(limit_t *limit, const target_limit_t *stated, int64_t as_of,
		 int64_t now)
{
	switch (stated->kind) {
	case LIMIT_UNKNOWN:
		return false;
	case LIMIT_NONE:
		if (!limit->stated || as_of < limit->as_of + OVERTAKE_US)
			return false;
		limit->stated = false;
		limit->as_of = as_of;
		return true;
	case LIMIT_STATED:
		if (as_of < limit->as_of)
			return false;
		limit->as_of = as_of;
		return set_limit(limit, stated->per_ks, now);
	}
	return false;
}

admission_t limit_admit(limit_t *limit, double share, int64_t now, int64_t wait)
{
	int64_t step = interval(limit, share);
	admission_t admission = {.at = MAX(now, limit->due - BURST_US)};

	wait = CLAMP(wait, 0, LIMIT_WAIT_MAX_US);
	if (admission.at - now <= wait) {
		admission.admitted = true;
		limit->due = MAX(limit->due, now) + step;
		return admission;
	}
	admission.at = MAX(admission.at, limit->next_turn);
	admission.at = MIN(admission.at, now + TURN_MAX_US);
	limit->next_turn = admission.at + step;
	return admission;
}
