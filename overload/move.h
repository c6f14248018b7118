/*
 * Decides whether an instance whose callers ask for more than it bears is out
 * of the load balancer's rotation, and which part of them it sends to other
 * instances.  The load is what is asked for, admitted or not, relative to what
 * is admitted at most.
 */
#ifndef OVERLOAD_MOVE_H
#define OVERLOAD_MOVE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Callers are handed over before requests are refused. */
#define MOVE_LOAD_HIGH 0.9
/* Callers up to this load are kept. */
#define MOVE_LOAD_KEPT 0.85
/* Below it for this time, what it keeps is no load any more. */
#define MOVE_LOAD_LOW 0.5
#define MOVE_CALM_US INT64_C(2000000)
/*
 * An instance that takes new callers again gets all that the load balancer's
 * hash leads to it, which were too many before.  When it came back once it was
 * calm, the callers of one large account went round four small instances for
 * as long as they came, each of them over capacity in its turn.  Kept out, they
 * reach an instance that bears them.
 */
#define MOVE_HOLD_US INT64_C(60000000)

typedef struct move_t {
	double load; /* smoothed, 1: all that is admitted at most */
	bool needy;
	int64_t high_at; /* monotonic, us; last time above MOVE_LOAD_HIGH */
	int64_t low_at; /* monotonic, us; last time above MOVE_LOAD_LOW */
} move_t;

/* Adds the load of the last 50 ms.  Returns whether needy has changed. */
bool move_update(move_t *move, double load, int64_t now);
/* Returns the part of its callers that the instance does not bear. */
double move_excess(const move_t *move);
/*
 * Whether a needy instance moves callers, given the instances of its zone and
 * the needy ones of them, both including itself, and how many of these come
 * before it.  Fewer than half may be out of rotation, or the load balancer
 * uses all of them; if most are needy, moving callers gains nothing.
 */
bool move_may_yield(uint32_t instances, uint32_t needy, uint32_t before);

G_END_DECLS

#endif
