/*
 * A job is the newest order for one target and the attempt to carry it out.  An
 * attempt acquires the target's lease key in the store, order/TARGET/lease,
 * sends the order once and writes the result.  Each retry is a new attempt with
 * a higher fencing token.
 */
#ifndef ORDERS_JOB_H
#define ORDERS_JOB_H

#include "orders/orders.h"

G_BEGIN_DECLS

typedef enum phase_t {
	PHASE_IDLE, /* job->timer is set if an attempt is due */
	PHASE_READING,
	PHASE_LEASING,
	PHASE_ACQUIRING, /* the lease key and the state are being written */
	PHASE_WAITING, /* an earlier order may still be running */
	PHASE_SENT,
	PHASE_ENDING, /* the result is being written */
} phase_t;

typedef struct attempt_t {
	record_target_t target;
	record_order_t order;
	int64_t lease;
	int64_t valid_until; /* monotonic, us, less the margin; 0: lost */
	/* Revision of the lease key, which is the fencing token. */
	int64_t lease_revision;
	int64_t state_revision; /* revision of order/TARGET/state */
	record_order_state_t state; /* last written, or being written */
	uint32_t wait_ms; /* delay between acquiring the key and sending */
	int64_t send_at; /* monotonic, us */
	bool keepalive_pending;
	int64_t keepalive_at; /* monotonic, us */
} attempt_t;

typedef struct job_t {
	handle_t self;
	record_target_t target;
	record_order_t order;
	bool removed; /* the target or order was removed */
	/* Number of the newest order known to be done or failed. */
	int64_t finished_number;
	phase_t phase;
	/* Incremented so that results of earlier store calls are ignored. */
	uint32_t generation;
	attempt_t attempt;
	/*
	 * When the lease key was first seen free, monotonic, us; 0: the key has
	 * not been read yet, -1: the key has not been seen free.
	 */
	int64_t free_since;
	uint32_t held_polls; /* reads in a row that found the key held */
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

/*
 * Ends the attempt, if there is one, and starts the next after a delay.  May
 * free the job.
 */
void job_reschedule(orders_t *orders, job_t *job, int64_t delay_us);
/* Starts an attempt, unless one is in progress or none is needed. */
void job_start(orders_t *orders, job_t *job);
void job_timer(orders_t *orders, job_t *job);
void job_store_result(orders_t *orders, job_t *job, const store_call_t *call,
		      const store_result_t *result);
void job_order_result(orders_t *orders, job_t *job, const msg_t *msg);

/*
 * Returns the rank of this router among the routers that may handle the target,
 * 0 for the first, or -1 if it must not handle the target.
 */
int orders_rank(const orders_t *orders, const record_target_t *target);
/*
 * Must be called when an attempt has ended.  Frees the job of a target or order
 * that is no longer in the configuration.
 */
void orders_job_ended(orders_t *orders, job_t *job);

G_END_DECLS

#endif
