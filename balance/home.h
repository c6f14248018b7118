/*
 * The home of a target that states a limit: the instance that admits requests
 * to it for all.  The instances that reach each other choose the same one.
 */
#ifndef BALANCE_HOME_H
#define BALANCE_HOME_H

#include "balance/target.h"

G_BEGIN_DECLS

/*
 * Writes the incarnation of the target's home, and returns true if it is
 * another instance.
 */
bool home_find(balance_t *balance, const balance_target_t *target,
	       char incarnation[INCARNATION_SIZE]);
/*
 * The same for a cold target, whose home is not replaced while this instance
 * has a connection to it: two homes would admit more than the target sustains.
 */
bool home_find_cold(balance_t *balance, const balance_target_t *target,
		    char incarnation[INCARNATION_SIZE]);
/* Whether a peer would be the home of the target instead of this instance. */
bool home_precedes(const balance_t *balance, const balance_target_t *target,
		   const char *incarnation, const char *zone);
/* The home did not answer: another instance takes its place for a while. */
void home_failed(balance_t *balance, const char *incarnation);
/* Part of a limit that the instances which reach this one may use. */
double home_share(const balance_t *balance);

/* A response of the target stated a limit, or none. */
void home_heard(balance_t *balance, balance_target_t *target,
		const target_limit_t *limit);
/* A peer told about a target's limit. */
void home_told(balance_t *balance, const peer_body_t *body);
/* Applies what a peer knows about a target's limit. */
void home_apply(balance_t *balance, balance_target_t *target,
		const target_limit_t *limit, uint64_t age_us);
/*
 * Tells a new peer what the targets have stated whose home this instance is,
 * pauses aside: these are meant for one instance.
 */
void home_tell_peer(balance_t *balance, const char *incarnation);

/* What this instance knows about a target's limit, for a message to a peer. */
target_limit_t home_limit(const balance_t *balance,
			  const balance_target_t *target);
/*
 * Tells that a target has become cold: its home tells all peers, others tell
 * the home, unless the target has just been listed: the home then has the same
 * entry.
 */
void home_tell_cold(balance_t *balance, const balance_target_t *target,
		    bool used);
uint64_t home_limit_age(const balance_t *balance,
			const balance_target_t *target);

G_END_DECLS

#endif
