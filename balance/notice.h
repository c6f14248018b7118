/*
 * What targets state about themselves in their responses: that they leave, that
 * they want no requests for a while, and how many they take.  It holds for one
 * process of a target, also while the target is not listed.
 */
#ifndef BALANCE_NOTICE_H
#define BALANCE_NOTICE_H

#include "balance/target.h"

G_BEGIN_DECLS

void notices_init(balance_t *balance);
void notices_finish(balance_t *balance);

/* The head of a response of the target has come. */
void notice_heard(balance_t *balance, balance_target_t *target,
		  const target_report_t *report);
/* A peer has heard that a target leaves. */
void notice_told(balance_t *balance, const peer_body_t *body);
/* Tells a peer that the target leaves. */
void notice_tell(balance_t *balance, const balance_target_t *target,
		 const char *incarnation);
bool notice_is_paused(const balance_target_t *target, int64_t now);

/* Keeps the notice of a target that is not listed any more. */
void notice_keep(balance_t *balance, const balance_target_t *target);
/* Restores the notice of a target that is listed again. */
void notice_restore(balance_t *balance, balance_target_t *target);

G_END_DECLS

#endif
