/*
 * Rate at which the requests of a service are placed, for an estimate of how
 * long those that wait will wait.
 */
#ifndef BALANCE_FLOW_H
#define BALANCE_FLOW_H

#include "balance/balance.h"

G_BEGIN_DECLS

void flows_init(balance_t *balance);
void flows_finish(balance_t *balance);
/* Counts a request that was placed. */
void flow_add(balance_t *balance, const char *service);
/* Returns the time in which this many requests are placed; us. */
int64_t flow_time(const balance_t *balance, const char *service,
		  uint32_t requests);

G_END_DECLS

#endif
