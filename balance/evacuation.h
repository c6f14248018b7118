/*
 * Evacuated zones: no request, permit or report goes to their targets.
 */
#ifndef BALANCE_EVACUATION_H
#define BALANCE_EVACUATION_H

#include "balance/choose.h"

G_BEGIN_DECLS

void evacuation_init(balance_t *balance);
void evacuation_finish(balance_t *balance);

bool evacuation_covers(const balance_t *balance, const char *zone);
/* The evacuation of a zone has begun or ended: the queue is run again. */
void evacuation_changed(balance_t *balance, const msg_t *msg);
/* Updates the gauge of this instance's requests in evacuated zones. */
void evacuation_count_running(const balance_t *balance);
/*
 * Whether evacuations leave the service no target: all others are draining, or
 * have stated that they leave.
 */
bool evacuation_leaves_none(const choice_t *choice);

G_END_DECLS

#endif
