/*
 * Permits: a request goes to a target that states a limit only with a permit
 * of the target's home.  A request that waits asks for one; when it comes, the
 * most urgent request that waits then uses it.
 */
#ifndef BALANCE_PERMIT_H
#define BALANCE_PERMIT_H

#include "balance/queue.h"
#include "balance/target.h"

G_BEGIN_DECLS

void permit_init(balance_t *balance);
/* Forgets the permits, as the target's process was replaced. */
void permit_reset(balance_target_t *target);
/* Whether a request may go to the target now. */
bool permit_is_open(const balance_target_t *target, int64_t now);
/* Counts a request that goes to the target. */
void permit_use(balance_target_t *target, int64_t now);

/* No request has claimed a permit. */
void permit_reset_claims(balance_t *balance);
void permit_ask(balance_t *balance, balance_target_t *target, queued_t *queued,
		const limit_request_t *request);
void permit_asked(balance_t *balance, const msg_t *msg);
void permit_replied(balance_t *balance, const msg_t *msg);
void permit_timed_out(balance_t *balance, handle_t ask);

G_END_DECLS

#endif
