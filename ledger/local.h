/*
 * Types and functions shared by the files of the ledger only.
 */
#ifndef LEDGER_LOCAL_H
#define LEDGER_LOCAL_H

#include "ledger/ledger.h"

G_BEGIN_DECLS

/* etcd refuses a transaction of more than 128 operations by default. */
#define CALL_OPS_MAX 100
#define GROUP_BILLS_MAX 90
#define TOKENS_MAX ((int64_t)1 << 50)
#define BILL_TTL_S (49 * 3600) /* used for an hour, so each key has 48 h */

typedef enum timer_kind_t {
	TIMER_TICK,
	TIMER_COMMIT,
	TIMER_RETRY,
	TIMER_KEEPALIVE,
	TIMER_COPY_FLUSH,
	TIMER_WAIT, /* a reservation has waited too long */
	TIMER_ASK, /* peers have not all answered */
	TIMER_JOB,
} timer_kind_t;

/* What is being done to a grant in the store; one at a time for each. */
typedef enum flight_kind_t {
	FLIGHT_NONE,
	FLIGHT_READ, /* compares the known revisions only */
	FLIGHT_SETTLE,
	FLIGHT_RESIZE,
	FLIGHT_CLOSE,
} flight_kind_t;

typedef struct flight_t {
	flight_kind_t kind;
	bool sent; /* a call is running */
	bool doubt; /* an earlier call may have taken effect */
	uint64_t epoch; /* when it was sent */
	int64_t given; /* tokens returned on behalf of peers */
	record_grant_t grant; /* to be written */
	record_budget_t budget;
	GArray *bills; /* handle_t */
} flight_t;

/* A peer that asked for unused tokens. */
typedef struct asker_t {
	char incarnation[INCARNATION_SIZE];
	int64_t tokens;
} asker_t;

/* This router's part of one budget. */
typedef struct slice_t {
	handle_t handle;
	char client_account[NAME_SIZE];
	char budget[NAME_SIZE];

	record_grant_t grant;
	int64_t grant_rev; /* 0: no grant in the store */
	record_budget_t record;
	int64_t budget_rev; /* 0: unknown or absent */
	bool fresh; /* the budget was read since the shortage began */
	uint64_t verified; /* epoch in which the grant was seen intact */

	/* Tokens; reserved and pending leave out orphans. */
	int64_t reserved;
	int64_t pending; /* bills not settled */
	int64_t exposed; /* of these: admitted without protection */
	int64_t waiting_tokens;
	GArray *waiting; /* handle_t of reservations, first come first */
	GArray *bills; /* handle_t of bills not settled */
	bool unchecked; /* some bills may have been settled by a buddy */
	bool is_dirty;
	bool is_stalled;
	uint32_t refs; /* reservations and bills */
	uint32_t conflicts; /* writes lost to other members in a row */
	flight_t flight;

	uint32_t ask_rounds;
	uint32_t ask_replies; /* still expected */
	handle_t ask_timer;
	GArray *askers; /* asker_t */
	int64_t spent_until;
	int64_t spent_tokens; /* least amount refused */

	int64_t demand; /* tokens since the last tick */
	int64_t demand_from;
	int64_t rate; /* tokens per second, smoothed */
	int64_t used_at;
} slice_t;

typedef struct reservation_t {
	handle_t handle;
	handle_t slice;
	svc_t from;
	handle_t ref;
	int64_t tokens;
	int64_t deadline;
	bool waiting;
	bool exposed; /* admitted against the unprotected part */
	bool orphan; /* its grant was lost */
	handle_t timer;
} reservation_t;

/* A bill that is not yet known to be in the store. */
typedef struct pending_t {
	handle_t handle;
	handle_t slice;
	svc_t from;
	handle_t ref;
	bill_t bill;
	int64_t since;
	uint64_t copy_seq; /* message that carried it, 0 for none */
	bool answered;
	bool exposed;
	bool orphan; /* no grant covers it */
	bool follower; /* another bill of the same key comes first */
	bool in_flight;
	bool unchecked; /* the buddy may have settled it */
} pending_t;

typedef enum call_kind_t {
	CALL_FLIGHTS,
	CALL_COMMIT, /* flights of a group commit */
	CALL_LEASE,
	CALL_JOB,
} call_kind_t;

typedef struct call_t {
	handle_t handle;
	call_kind_t kind;
	GArray *slices; /* handle_t by group */
	handle_t job;
} call_t;

/* Copies of another router's bills. */
typedef struct holder_t {
	handle_t handle;
	char incarnation[INCARNATION_SIZE];
	uint64_t session; /* 0: nothing copied */
	uint64_t seq;
	uint64_t floor; /* sessions up to this are rejected */
	int64_t heard_at;
	GArray *bills; /* bill_t */
} holder_t;

typedef enum job_step_t {
	JOB_WAIT,
	JOB_MEMBER, /* reads the member record */
	JOB_BUDDY, /* looks whether the dead router's buddy is there */
	JOB_LIST, /* reads the grants */
	JOB_GRANT, /* writes one grant */
	JOB_FORGET, /* deletes the member record */
} job_step_t;

/* Recovery of a dead router's grants. */
typedef struct job_t {
	handle_t handle;
	char incarnation[INCARNATION_SIZE];
	bool instance_gone;
	bool give_back; /* the unspent part may be returned */
	int64_t since; /* of the wait */
	int64_t began;
	job_step_t step;
	bool closing; /* the instance is gone: empty grants are closed */
	bool progress; /* something was written since the last listing */
	int64_t member_rev;
	char buddy[INCARNATION_SIZE]; /* as the member record says */
	GArray *grants; /* store_kv_t */
	guint next;
	int64_t budget_rev;
	record_budget_t budget;
	GArray *bills; /* bill_t of the present grant, not in the store */
	guint checked; /* how many of them the store is known to lack */
	guint attempt_from; /* those in the call */
	guint attempt_bills;
	bool checking; /* the call only reads */
	bool last; /* the call gives back or closes */
	bool doubt;
	op_id_t op;
	handle_t timer;
} job_t;

/* What the recovered grants of a dead router still hold. */
typedef struct withheld_t {
	int64_t tokens;
	int64_t looked_at;
} withheld_t;

static inline gpointer handle_pack(handle_t handle)
{
	return GSIZE_TO_POINTER(((gsize)handle.gen << 32) | handle.index);
}

static inline handle_t handle_unpack(gconstpointer packed)
{
	gsize bits = GPOINTER_TO_SIZE(packed);

	return (handle_t){(uint32_t)bits, (uint32_t)(bits >> 32)};
}

void array_remove_handle(GArray *array, handle_t handle);
op_id_t next_op(ledger_t *ledger);
uint32_t member_count(const ledger_t *ledger);
void check_stopped(ledger_t *ledger);
void step_slices(ledger_t *ledger);

/* slice.c */
slice_t *slice_find(const ledger_t *ledger, const char *client_account,
		    const char *budget);
slice_t *slice_get(ledger_t *ledger, const char *client_account,
		   const char *budget);
void slice_free(ledger_t *ledger, slice_t *slice);
int64_t slice_available(const slice_t *slice);
void protection_update(ledger_t *ledger);
void protection_renewed(ledger_t *ledger, bool trusted);
bool is_protected(ledger_t *ledger, const slice_t *slice);
void grant_key(char out[STORE_KEY_SIZE], const char *incarnation,
	       const char *client_account, const char *budget);
void budget_key(char out[STORE_KEY_SIZE], const char *client_account,
		const char *budget);
void slice_check_bills(ledger_t *ledger, slice_t *slice);
void slice_lost(ledger_t *ledger, slice_t *slice);

/* reserve.c */
void reserve_recv(ledger_t *ledger, const msg_t *msg);
void release_recv(ledger_t *ledger, const msg_t *msg);
void reserve_timeout(ledger_t *ledger, handle_t handle);
void reserve_pump(ledger_t *ledger, slice_t *slice);
void reserve_end(ledger_t *ledger, reservation_t *res, int64_t used);
void reserve_withdraw(ledger_t *ledger, reservation_t *res,
		      reserve_result_t result);
void reserve_answer(ledger_t *ledger, reservation_t *res,
		    reserve_result_t result);

/* grant.c */
void slice_step(ledger_t *ledger, slice_t *slice);
void slice_tick(ledger_t *ledger, slice_t *slice);
void ask_recv(ledger_t *ledger, const char *from, const peer_body_t *body);
void ask_reply_recv(ledger_t *ledger, const peer_body_t *body);
void ask_timeout(ledger_t *ledger, handle_t handle);
void askers_answer(ledger_t *ledger, slice_t *slice, int64_t given);

/* flight.c */
void flight_send(ledger_t *ledger, slice_t *slice);
void flights_result(ledger_t *ledger, call_t *call,
		    const store_result_t *result);
void flights_retry(ledger_t *ledger);
void slice_stall(ledger_t *ledger, slice_t *slice);
call_t *call_new(ledger_t *ledger, call_kind_t kind);
void call_free(ledger_t *ledger, call_t *call);
void call_post_txn(ledger_t *ledger, const call_t *call, store_txn_t *txn);
void commit_schedule(ledger_t *ledger);
void commit_run(ledger_t *ledger);
void lease_result(ledger_t *ledger, const store_result_t *result);
bool lease_ready(ledger_t *ledger);

/* bill.c */
void bill_recv(ledger_t *ledger, const msg_t *msg);
void bill_release(ledger_t *ledger, pending_t *bill);
void bill_settled(ledger_t *ledger, pending_t *bill);
void bill_present(ledger_t *ledger, pending_t *bill,
		  const record_bill_t *record);
bool bill_is_same(const bill_t *a, const bill_t *b);
void bill_refuse(ledger_t *ledger, pending_t *bill);
void bills_cover(ledger_t *ledger, slice_t *slice);
int64_t bills_orphaned(const ledger_t *ledger, const slice_t *slice);
void bill_dirty(ledger_t *ledger, slice_t *slice);
void bill_record(record_t *out, const char *writer, const bill_t *bill);

/* copy.c */
void copy_init(ledger_t *ledger);
void copy_finish(ledger_t *ledger);
void copy_queue(ledger_t *ledger, pending_t *bill);
void copy_schedule(ledger_t *ledger);
void copy_flush(ledger_t *ledger);
void copy_keepalive(ledger_t *ledger);
void copy_buddy(ledger_t *ledger, const char *buddy);
void copy_ack_recv(ledger_t *ledger, const char *from, const peer_body_t *body);
void peer_send(ledger_t *ledger, const char *to, peer_body_t *body);

/* holder.c */
holder_t *holder_find(const ledger_t *ledger, const char *incarnation);
void holder_copy_recv(ledger_t *ledger, const char *from,
		      const peer_body_t *body);
void holder_trim_recv(ledger_t *ledger, const char *from,
		      const peer_body_t *body);
void holder_free(ledger_t *ledger, holder_t *holder);
void holder_raise_floor(ledger_t *ledger, holder_t *holder);
void holder_tick(ledger_t *ledger);

/* recover.c */
void recover_gone(ledger_t *ledger, const msg_t *msg);
void recover_timer(ledger_t *ledger, handle_t handle);
void recover_result(ledger_t *ledger, handle_t handle,
		    const store_result_t *result);
bool recover_is_active(const ledger_t *ledger, const char *incarnation);
void recover_free(ledger_t *ledger, job_t *job);

/* withheld.c */
int64_t grant_rest(const record_grant_t *grant);
int64_t grant_withheld(const record_grant_t *grant);
bool grant_is_withheld(const record_grant_t *grant);
void withheld_note(ledger_t *ledger, const job_t *job);
bool withheld_is_known(const ledger_t *ledger, const char *incarnation);
int64_t withheld_sum(ledger_t *ledger);

G_END_DECLS

#endif
