/*
 * Chooses the target for one request.
 */
#ifndef BALANCE_CHOOSE_H
#define BALANCE_CHOOSE_H

#include "balance/target.h"

G_BEGIN_DECLS

typedef struct placement_t {
	handle_t self;
	handle_t target;
	int64_t placed_at; /* monotonic, us; 0 once the first byte came */
	int64_t prefill_tokens; /* unread tokens; 0 after the first byte */
} placement_t;

/*
 * Returns the target with the lowest expected delay, or NULL if none has room.
 * Sets usable to whether the service has any target that may get the request,
 * with or without room.
 */
balance_target_t *balance_choose(balance_t *balance, const msg_t *request,
				 bool *usable);

G_END_DECLS

#endif
