#include "balance/limit.h"

#include "kernel/kernel.h"

#include <string.h>

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
#define REFUSED_PER_ADMITTED 2 /* refused requests asked to come again */
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
	limit->burst = BURST_US;
	most = now + BURST_US + interval(limit, 1.0);
	/* What was sent before is not known, so nothing is left of the burst.
	 */
	if (!limit->stated || limit->due > most)
		limit->due = most;
	limit->stated = true;
	memset(limit->next_turn, 0, sizeof(limit->next_turn));
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

/*
 * Less urgent requests come after this one.  The times follow each other faster
 * than requests are admitted, because some of those that were refused do not
 * come again.
 */
static int64_t take_turn(limit_t *limit, int64_t at, int64_t now, int64_t step,
			 uint32_t priority)
{
	at = MAX(at, limit->next_turn[priority]);
	at = MIN(at, now + TURN_MAX_US);
	for (uint32_t i = priority; i < LIMIT_PRIORITIES; i++)
		limit->next_turn[i] = MAX(limit->next_turn[i],
					  at + step / REFUSED_PER_ADMITTED);
	return at;
}

admission_t limit_admit(limit_t *limit, double share, int64_t now,
			const limit_request_t *request)
{
	int64_t wait = CLAMP(request->wait, 0, LIMIT_WAIT_MAX_US);
	uint32_t priority = MIN(request->priority, LIMIT_PRIORITIES - 1);
	int64_t step = interval(limit, share);
	int64_t burst = limit->burst * (LIMIT_PRIORITIES - 1 - priority) /
			(LIMIT_PRIORITIES - 1);
	admission_t admission = {.at = MAX(now, limit->due - burst)};

	if (admission.at - now <= wait) {
		admission.admitted = true;
		limit->due = MAX(limit->due, now) + step;
	} else {
		admission.at =
			take_turn(limit, admission.at, now, step, priority);
	}
	return admission;
}
