/*
 * Requests placed at targets, until their responses end.
 */
#ifndef BALANCE_PLACEMENT_H
#define BALANCE_PLACEMENT_H

#include "balance/target.h"

G_BEGIN_DECLS

typedef struct placement_t {
	handle_t self;
	handle_t target;
	char zone[NAME_SIZE]; /* of the target, which may be gone */
	int64_t placed_at; /* monotonic, us; 0 once the first byte came */
	int64_t sent_at; /* monotonic, us */
	int64_t prefill_tokens; /* unread tokens; 0 after the first byte */
	uint64_t bytes; /* of the request's body */
	GList link; /* in the target's unanswered; data is NULL if not */
} placement_t;

/* Sends the request to the target, and tells the peers. */
void placement_start(balance_t *balance, const msg_t *request,
		     balance_target_t *target);
/* A peer has placed a request. */
void placement_announced(balance_t *balance, const peer_body_t *body);
void placement_first_byte(balance_t *balance, handle_t ref);
/* The head of the response told about the target. */
void placement_reported(balance_t *balance, const msg_t *msg);
void placement_done(balance_t *balance, const msg_t *msg);

G_END_DECLS

#endif
