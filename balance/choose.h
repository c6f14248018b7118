/*
 * Chooses the target for one request.
 */
#ifndef BALANCE_CHOOSE_H
#define BALANCE_CHOOSE_H

#include "balance/target.h"

G_BEGIN_DECLS

typedef enum choice_kind_t {
	CHOICE_TARGET, /* the request goes to the target */
	CHOICE_ASK, /* a permit for the target is worth asking for */
	CHOICE_WAIT, /* no target has room */
	CHOICE_NONE, /* the service has no target for the request */
} choice_kind_t;

/* Targets of the service that the request did not go to. */
typedef struct passed_over_t {
	uint32_t count[PASS_COUNT]; /* by reason */
	/* Oldest statement that was a reason; monotonic, us; 0: none. */
	int64_t stated_at;
} passed_over_t;

typedef struct choice_t {
	choice_kind_t kind;
	passed_over_t passed_over;
	union {
		balance_target_t *target; /* CHOICE_TARGET */
		struct {
			balance_target_t *target;
			bool at_once; /* another target has room now */
		} ask;
		struct {
			/* The time from which a target has room; monotonic, us.
			 */
			int64_t until;
			bool known; /* false: one may have room before */
		} wait;
	} u;
} choice_t;

/* What was found of one target of the service. */
typedef struct considered_t {
	const balance_target_t *target;
	pass_reason_t reason; /* PASS_NONE: it has room */
	target_cost_t cost;
} considered_t;

/* Costs differ by up to this at random in a choice. */
#define CHOICE_JITTER_MS 2.0 /* keeps instances from choosing in lockstep */

/* Whether targets were passed over for what they had stated. */
bool passed_over_stated(const passed_over_t *passed_over);
/* Chooses the target with the lowest expected delay. */
void balance_choose(balance_t *balance, const msg_t *request, choice_t *choice);
/*
 * Decides as balance_choose() does, by costs without jitter, and has no effect.
 * Appends a considered_t for each target of the service.
 */
void balance_explain(balance_t *balance, const msg_t *request, choice_t *choice,
		     GArray *considered);
/*
 * How long a request may wait for a permit: the less urgent it is, the fewer
 * others may go before it.
 */
limit_request_t balance_limit_request(const msg_t *request, int64_t now);
/* Whether the target may get the request, now or later. */
bool balance_is_usable(const balance_target_t *target, const msg_t *request);

G_END_DECLS

#endif
