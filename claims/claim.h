/*
 * Internals of the claims service: the table entry of a claim and the group
 * commit.
 */
#ifndef CLAIMS_CLAIM_H
#define CLAIMS_CLAIM_H

#include "claims/claims.h"

G_BEGIN_DECLS

typedef enum claim_step_t {
	STEP_OPEN, /* the open record is not known to be committed */
	STEP_OWNED, /* the open record is committed, the request runs */
	STEP_DONE, /* the outcome is to be written */
	STEP_ABORT, /* the claim is to be written as aborted */
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
	op_id_t open_op; /* id of the open write, the same in each retry */
	op_id_t final_op; /* id of the finished or aborted write */
	int64_t expect; /* revision of the record before the next write */
	bool replied; /* the requester has its CLAIM_RESULT */
	bool open_unknown; /* the open write may have taken effect */
	bool in_flight; /* part of the transaction in flight */
	claim_step_t sent_step; /* step that the transaction in flight writes */
	uint32_t invalid_count; /* writes rejected by the store as malformed */
	outcome_t outcome; /* set in STEP_DONE */
	GList link; /* node in claims_svc_t.waiting */
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
/* Tells the requester whether the outcome is stored and removes the claim. */
void claim_finish(claims_svc_t *claims, claim_t *claim, bool stored);

/* batch.c */
void batch_enqueue(claims_svc_t *claims, claim_t *claim);
void batch_dequeue(claims_svc_t *claims, claim_t *claim);
/* Sends the next transaction unless one is in flight or delayed by backoff. */
void batch_send(claims_svc_t *claims);
void batch_result(claims_svc_t *claims, const msg_t *msg);

G_END_DECLS

#endif
