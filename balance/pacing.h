/*
 * Which targets are restrained by the pace, and what the instances tell each
 * other of it; see balance/pace.h.
 */
#ifndef BALANCE_PACING_H
#define BALANCE_PACING_H

#include "balance/target.h"

G_BEGIN_DECLS

/* The target was listed, or another process of it. */
void pacing_listed(balance_t *balance, balance_target_t *target);
/*
 * The first byte of the answer to a request that was sent then has come.
 * Returns true if requests that wait may have room now.
 */
bool pacing_answered(balance_t *balance, balance_target_t *target,
		     int64_t sent_at);
/* Such a request has failed, with its connection (lost), or was refused. */
void pacing_failed(balance_t *balance, balance_target_t *target,
		   int64_t sent_at, bool lost);
/* A peer told of the pace of a target. */
void pacing_told(balance_t *balance, const msg_t *msg);

/*
 * Whether the pace restrains targets of the service: if most are restrained,
 * none attracts the requests of all others.
 */
bool pacing_applies(const balance_t *balance, const char *service);
bool pacing_is_open(const balance_t *balance, const balance_target_t *target,
		    int64_t now);

G_END_DECLS

#endif
