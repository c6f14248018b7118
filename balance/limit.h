/*
 * The limit that a target states on the requests of all instances, and the
 * schedule by which one instance, the target's home, admits them.
 */
#ifndef BALANCE_LIMIT_H
#define BALANCE_LIMIT_H

#include "kernel/exchange.h"

G_BEGIN_DECLS

/* Levels of priority that are told apart; the last one stands for the rest. */
#define LIMIT_PRIORITIES 4

typedef struct limit_t {
	bool stated;
	uint32_t per_ks; /* requests in 1,000 s */
	int64_t as_of; /* monotonic, us; last statement that is known */
	int64_t burst; /* us; part of the limit that may be used at once */
	/* The home's schedule: times in monotonic us. */
	int64_t due; /* when the requests admitted so far are used up */
	/* Times that the next refused requests are given, by priority. */
	int64_t next_turn[LIMIT_PRIORITIES];
} limit_t;

/*
 * Applies what the target stated at the time as_of, unless it is older than
 * what is known.  Returns whether the limit has changed.
 */
bool limit_apply(limit_t *limit, const target_limit_t *stated, int64_t as_of,
		 int64_t now);

/* Longest time ahead for which requests are admitted. */
#define LIMIT_WAIT_MAX_US INT64_C(1000000)

typedef struct admission_t {
	bool admitted;
	/* When the request may start, or when the next one may; monotonic, us.
	 */
	int64_t at;
} admission_t;

typedef struct limit_request_t {
	int64_t wait; /* us; a later start is of no use */
	uint32_t priority; /* 0 is the highest */
} limit_request_t;

/*
 * Admits a request if the schedule has room in time.  Those that are refused
 * are given times one after the other, so that they do not come back together.
 * share is the part of the limit that applies.
 */
admission_t limit_admit(limit_t *limit, double share, int64_t now,
			const limit_request_t *request);

G_END_DECLS

#endif
