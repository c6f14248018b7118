/*
 * The wish for one target and the attempt at carrying it out.  An attempt
 * takes the target's key in the store, sends the order once and writes the
 * result; each further try is a new attempt with a higher fencing number.
 */
#ifndef ORDERS_JOB_H
#define ORDERS_JOB_H

#include "orders/orders.h"

G_BEGIN_DECLS

typedef enum phase_t {
	PHASE_IDLE, /* job->timer is set if there is something to do */
	PHASE_READING,
	PHASE_LEASING,
	PHASE_ACQUIRING, /* the key and the state, in one transaction */
	PHASE_WAITING, /* an earlier order may still run */
	PHASE_SENT,
	PHASE_ENDING, /* the result is being written */
} phase_t;

/* From the start of an attempt to its end. */
typedef struct attempt_t {
	record_target_t target;
	record_order_t order;
	int64_t lease;
	int64_t valid_until; /* monotonic, us, margin taken; 0: lost */
	int64_t lease_revision; /* of order/TARGET/lease; the fencing number */
	int64_t state_revision; /* of order/TARGET/state */
	record_order_state_t state; /* as written last, or to be written */
	uint32_t wait_ms; /* before sending, once the key is taken */
	int64_t send_at;
	bool keepalive_pending; /* a keepalive is in flight */
	int64_t keepalive_at;
} attempt_t;

typedef struct job_t {
	handle_t self;
	record_target_t target;
	record_order_t order;
	bool removed; /* no longer in the configuration */
	int64_t finished_number; /* number of the wish known to be done or
				    failed */
	phase_t phase;
	uint32_t generation; /* rises with each attempt */
	attempt_t attempt;
	/* The key was seen free; 0: not looked yet, -1: not seen free. */
	int64_t free_since;
	uint32_t held_polls; /* reads in a row that saw the key held */
	uint32_t failures; /* attempts in a row without a result */
	handle_t timer;
} job_t;

typedef enum call_kind_t {
	CALL_READ,
	CALL_LEASE,
	CALL_KEEPALIVE,
	CALL_ACQUIRE,
	CALL_END,
} call_kind_t;

typedef struct store_call_t {
	call_kind_t kind;
	handle_t job;
	uint32_t generation;
	int64_t sent; /* monotonic, us */
} store_call_t;

/* Looks at the job again after a delay, instead of what was planned. */
void job_reschedule(orders_t *orders, job_t *job, int64_t delay_us);
/* Starts an attempt, unless one runs or there is nothing to do. */
void job_start(orders_t *orders, job_t *job);
void job_timer(orders_t *orders, job_t *job);
void job_store_result(orders_t *orders, job_t *job, const store_call_t *call,
		      const store_result_t *result);
void job_order_result(orders_t *orders, job_t *job, const msg_t *msg);

/*
 * Place of this router among those that may act for the target, 0 for the
 * first, or -1 when it isn't to act.
 */
int orders_rank(const orders_t *orders, const record_target_t *target);
/* Called when an attempt has ended. */
void orders_job_ended(orders_t *orders, job_t *job);

G_END_DECLS

#endif
