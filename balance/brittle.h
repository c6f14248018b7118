/*
 * Targets that fall over if they have to turn too many requests away in a
 * second.  All instances leave such a target alone for a while after one has
 * been turned away.
 */
#ifndef BALANCE_BRITTLE_H
#define BALANCE_BRITTLE_H

#include "balance/target.h"

G_BEGIN_DECLS

/* The head of a response of the target has come. */
void brittle_heard(balance_t *balance, balance_target_t *target,
		   const target_report_t *report);
/* The target has turned a request away. */
void brittle_rejected(balance_t *balance, balance_target_t *target);
/* A peer's request was turned away. */
void brittle_told(balance_t *balance, const peer_body_t *body);
bool brittle_is_paused(const balance_target_t *target, int64_t now);

G_END_DECLS

#endif
