/*
 * Requests that wait for a target with room, in order of priority.
 */
#ifndef BALANCE_QUEUE_H
#define BALANCE_QUEUE_H

#include "balance/choose.h"

G_BEGIN_DECLS

typedef struct queued_t {
	handle_t self;
	msg_t request; /* MSG_PLACE */
	uint64_t arrival;
	handle_t timer;
	bool asking; /* a home is to answer whether there is a permit */
} queued_t;

typedef enum prospect_kind_t {
	PROSPECT_SENT, /* to choice.u.target */
	PROSPECT_ASKS, /* the home of choice.u.ask.target for a permit */
	PROSPECT_WAITS, /* until room_at, if that is known */
	PROSPECT_REFUSED,
} prospect_kind_t;

/* What would happen to a request now. */
typedef struct prospect_t {
	prospect_kind_t kind;
	refusal_t reason; /* PROSPECT_REFUSED */
	choice_t choice;
	uint32_t ahead; /* requests of the service that go first */
	int64_t room_at; /* monotonic, us; INT64_MAX: not known */
} prospect_t;

/* Places the request, or lets it wait if no target has room. */
void queue_place(balance_t *balance, const msg_t *msg);
/*
 * Tells what queue_place() would do with the request, without any effect.
 * Appends a considered_t for each target of the service.
 */
void queue_explain(balance_t *balance, const msg_t *msg, GArray *considered,
		   prospect_t *prospect);
/* Places the requests that wait, as far as targets have room. */
void queue_run(balance_t *balance);
/* Runs the queue at this time, if not before. */
void queue_wake_at(balance_t *balance, int64_t at);
void queue_woken(balance_t *balance);
void queue_timed_out(balance_t *balance, handle_t ref);
void queue_cancel(balance_t *balance, const msg_t *msg);

G_END_DECLS

#endif
