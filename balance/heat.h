/*
 * What this instance knows of cold targets, how it learns of them, and which
 * part of their rate it admits as their home; see balance/cold.h.
 */
#ifndef BALANCE_HEAT_H
#define BALANCE_HEAT_H

#include "balance/target.h"

G_BEGIN_DECLS

bool heat_is_cold(const balance_target_t *target, int64_t now);
/* Time for which the target has been cold, for peers; us. */
uint64_t heat_age(const balance_target_t *target, int64_t now);

/* The target's entry has arrived.  used: the target was listed before. */
void heat_listed(balance_t *balance, balance_target_t *target, bool used);
/* The head of a response of the target has come. */
void heat_heard(balance_t *balance, balance_target_t *target,
		const target_report_t *report);
/*
 * A peer told about a target's limit.  Returns true if it is the rate of a cold
 * target.
 */
bool heat_told(balance_t *balance, balance_target_t *target,
	       const target_limit_t *limit, uint64_t age_us);
void heat_timed_out(balance_t *balance, handle_t ref);
void heat_update_gauge(balance_t *balance);

/* Brings the share up to date, before the peers or the fleet change. */
void heat_update_share(balance_t *balance);
/* MSG_PEER_DOWN: the peer may go on to admit requests elsewhere. */
void heat_peer_lost(balance_t *balance, const msg_t *msg);
/* Admits a request to a cold target if this instance is its home. */
admission_t heat_admit(balance_t *balance, balance_target_t *target,
		       const limit_request_t *request);

G_END_DECLS

#endif
