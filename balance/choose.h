/*
 * The choice of a target for one request.
 */
#ifndef BALANCE_CHOOSE_H
#define BALANCE_CHOOSE_H

#include "balance/target.h"

G_BEGIN_DECLS

typedef struct placement_t {
	handle_t self;
	handle_t target;
	int64_t placed_at; /* monotonic, us */
	int64_t prefill_tokens; /* until the first byte */
} placement_t;

/*
 * The target with the least expected delay, or NULL when none has room.
 * usable: at least one target of the service may be used.
 */
balance_target_t *balance_choose(balance_t *balance, const msg_t *request,
				 bool *usable);

G_END_DECLS

#endif
