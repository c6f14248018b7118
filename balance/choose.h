/*
 * Chooses the target for one request.
 */
#ifndef BALANCE_CHOOSE_H
#define BALANCE_CHOOSE_H

#include "balance/target.h"

G_BEGIN_DECLS

/*
 * Returns the target with the lowest expected delay, or NULL if none has room.
 * Sets usable to whether the service has any target that may get the request,
 * with or without room.
 */
balance_target_t *balance_choose(balance_t *balance, const msg_t *request,
				 bool *usable);

G_END_DECLS

#endif
