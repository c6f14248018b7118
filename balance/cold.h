/*
 * Targets that are cold: after a start, and at times later, a target sustains
 * few requests and crashes well above that.  While it is cold, each request to
 * it needs a permit of its home, which admits them by the schedule of a limit
 * with a lower rate and without a burst.
 */
#ifndef BALANCE_COLD_H
#define BALANCE_COLD_H

#include "balance/limit.h"

G_BEGIN_DECLS

/*
 * In no second a cold target may get more requests of the whole fleet than it
 * sustains, times overage, plus slack.
 */
typedef struct cold_bounds_t {
	double overage;
	double slack;
} cold_bounds_t;

#define COLD_BOUNDS_DEFAULT ((cold_bounds_t){.overage = 1.5, .slack = 5.0})

typedef struct cold_t {
	int64_t until; /* monotonic, us; 0: it has not been cold */
	limit_t schedule; /* of the home, in its own time */
	/*
	 * The schedule's time passes as fast as the share of the fleet that the
	 * home reaches, so that the share may change at any moment.
	 */
	int64_t elapsed; /* us, of the schedule's time */
	int64_t read_at; /* monotonic, us */
	double share; /* at read_at */
} cold_t;

/* What the news of a peer or of the target changes. */
typedef enum cold_news_t {
	COLD_NO_NEWS,
	COLD_EXTENDED,
	COLD_BEGUN,
} cold_news_t;

bool cold_is(const cold_t *cold, int64_t now);
/*
 * Applies that the target is cold until then.  used: it may have got requests
 * before that the home does not know of.
 */
cold_news_t cold_apply(cold_t *cold, int64_t until, bool used, int64_t now);
/* Whether a peer's news is more than what was heard before from others. */
bool cold_is_news(const cold_t *cold, int64_t until, int64_t now);

/* Rate of the whole fleet that keeps the bound; requests in 1,000 s. */
uint32_t cold_rate(uint32_t cold_per_ks, const cold_bounds_t *bounds);
/* Admits a request if this part of the rate has room for it in time. */
admission_t cold_admit(cold_t *cold, uint32_t per_ks, double share, int64_t now,
		       const limit_request_t *request);

G_END_DECLS

#endif
