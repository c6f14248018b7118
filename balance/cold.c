#include "balance/cold.h"

#include "kernel/kernel.h"

#include <string.h>

/*
 * Time over which the permits may have been given that are used within one
 * second: a permit arrives up to 120 ms after it was given, lives 200 ms, and
 * the request takes up to 180 ms more to reach the target.
 */
#define SPREAD_S 1.5
/*
 * Homes that admit requests at the same time during a partition.  Their shares
 * sum up to one, but each may admit one request more than its share.
 */
#define HOMES_MAX 5.0
/* Least part of the bound that is used, however many homes there may be. */
#define RATE_PART_MIN 0.25
/*
 * Requests that were sent before the fleet knew are counted for one second and
 * arrive within SPREAD_S.
 */
#define HOLD_US (1500 * USEC_PER_MSEC)
/*
 * A peer's news has this much delay at most.  News that says no more than what
 * is known with its delay would let two instances extend it for ever.
 */
#define NEWS_DELAY_US (500 * USEC_PER_MSEC)
/* With a smaller share no request is admitted while a target is cold. */
#define SHARE_MIN 0.001
#define RETRY_US (500 * USEC_PER_MSEC)

bool cold_is(const cold_t *cold, int64_t now)
{
	return now < cold->until;
}

static int64_t interval(uint32_t per_ks)
{
	return (int64_t)(1e9 / (double)MAX(per_ks, 1));
}

cold_news_t cold_apply(cold_t *cold, int64_t until, bool used, int64_t now)
{
	bool was_cold = cold_is(cold, now);

	if (until <= now || until <= cold->until)
		return COLD_NO_NEWS;
	cold->until = until;
	if (was_cold)
		return COLD_EXTENDED;
	memset(&cold->schedule, 0, sizeof(cold->schedule));
	cold->schedule.stated = true;
	cold->schedule.due = used ? HOLD_US : 0;
	cold->elapsed = 0;
	cold->read_at = now;
	cold->share = 0.0;
	return COLD_BEGUN;
}

bool cold_is_news(const cold_t *cold, int64_t until, int64_t now)
{
	return until > now + NEWS_DELAY_US / 2 &&
	       until > cold->until + NEWS_DELAY_US;
}

uint32_t cold_rate(uint32_t cold_per_ks, const cold_bounds_t *bounds)
{
	double sustained = (double)cold_per_ks / 1000.0;
	double allowed = sustained * bounds->overage + bounds->slack;
	double rate =
		MAX(allowed - HOMES_MAX, allowed * RATE_PART_MIN) / SPREAD_S;

	return (uint32_t)(MIN(rate, sustained) * 1000.0);
}

/* The share at the start of the time counts if it has risen since. */
static void pass_time(cold_t *cold, double share, int64_t now)
{
	double passed = (double)MAX(now - cold->read_at, 0);

	cold->elapsed += (int64_t)(passed * MIN(share, cold->share));
	cold->read_at = now;
	cold->share = share;
}

admission_t cold_admit(cold_t *cold, uint32_t per_ks, double share, int64_t now,
		       const limit_request_t *request)
{
	admission_t admission = {.at = now + RETRY_US};
	limit_request_t scaled = *request;

	pass_time(cold, share, now);
	if (share < SHARE_MIN || per_ks == 0)
		return admission;
	/* A new home does not know what the former one has admitted. */
	if (cold->schedule.per_ks == 0)
		cold->schedule.due += interval(per_ks);
	cold->schedule.per_ks = per_ks;
	scaled.wait = (int64_t)((double)request->wait * share);
	admission = limit_admit(&cold->schedule, 1.0, cold->elapsed, &scaled);
	admission.at =
		now + (int64_t)((double)(admission.at - cold->elapsed) / share);
	return admission;
}
