/*
 * Internals of the claims service: its table's entry and the group commit.
 */
#ifndef CLAIMS_CLAIM_H
#define CLAIMS_CLAIM_H

#include "claims/claims.h"

G_BEGIN_DECLS

typedef enum claim_step_t {
	STEP_OPEN, /* is to be, or being, written as open */
	STEP_OWNED, /* known to be committed, runs */
	STEP_DONE, /* its outcome is to be written */
	STEP_ABORT, /* is to be written as aborted */
} claim_step_t;

typedef struct claim_t {
	handle_t self;
	claim_step_t step;
	char key[STORE_KEY_SIZE];
	char fingerprint[HASH_SIZE];
	svc_t requester;
	handle_t requester_id;
	int64_t deadline; /* monotonic, us */
	handle_t deadline_timer;
	int64_t wall_ms;
	op_id_t open_op; /* of the write as open, the same in each repeat */
	op_id_t final_op; /* of the write as finished or aborted */
	int64_t expect; /* the record's revision before our next write */
	bool replied;
	bool open_unknown; /* the open write may have taken effect */
	bool in_flight;
	claim_step_t sent_step; /* what the call in flight writes */
	uint32_t invalid_count; /* times the store refused it as malformed */
	outcome_t outcome; /* with STEP_DONE */
	GList link; /* in waiting */
	bool is_waiting;
} claim_t;

typedef enum claims_timer_t {
	TIMER_DEADLINE,
	TIMER_RETRY,
	TIMER_STOP,
} claims_timer_t;

/* claims.c */
void claim_reply(claims_svc_t *claims, claim_t *claim, claim_result_t result,
		 const outcome_t *outcome);
void claim_remove(claims_svc_t *claims, claim_t *claim);
void claim_abort(claims_svc_t *claims, claim_t *claim);
/* Tells the requester whether its outcome is stored, and ends the claim. */
void claim_finish(claims_svc_t *claims, claim_t *claim, bool stored);

/* batch.c */
void batch_enqueue(claims_svc_t *claims, claim_t *claim);
void batch_dequeue(claims_svc_t *claims, claim_t *claim);
/* Starts the next call if none is in flight. */
void batch_send(claims_svc_t *claims);
void batch_result(claims_svc_t *claims, const msg_t *msg);

G_END_DECLS

#endif
