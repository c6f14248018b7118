/*
 * Internal types and functions of the ledger.  Times are monotonic and in us
 * unless a name states another unit.
 */
#ifndef LEDGER_LOCAL_H
#define LEDGER_LOCAL_H

#include "ledger/ledger.h"

G_BEGIN_DECLS

/* etcd rejects transactions of more than 128 operations by default. */
#define CALL_OPS_MAX 100
#define GROUP_BILLS_MAX 90
#define TOKENS_MAX ((int64_t)1 << 50)

/* A lease takes new bills for an hour, so each bill is kept for 48 h. */
#define BILL_LEASE_TTL_S (49 * 3600)

typedef enum timer_kind_t {
	TIMER_TICK,
	TIMER_COMMIT,
	TIMER_RETRY,
	TIMER_KEEPALIVE,
	TIMER_COPY_FLUSH,
	TIMER_RESERVE_WAIT, /* reservation timeout */
	TIMER_SLICE_REPLY, /* timeout for replies to slice requests */
	TIMER_RECOVERY,
} timer_kind_t;

/* Operation on a grant in the store; a grant has at most one at a time. */
typedef enum update_kind_t {
	UPDATE_NONE,
	UPDATE_READ, /* compares revisions; returns values that differ */
	UPDATE_SETTLE,
	UPDATE_RESIZE,
	UPDATE_CLOSE,
} update_kind_t;

typedef struct grant_update_t {
	update_kind_t kind;
	bool sent; /* a store call is in progress */
	bool outcome_unknown; /* an earlier call may have taken effect */
	uint64_t epoch; /* value of ledger_t::epoch at the time of the call */
	int64_t ceded; /* tokens returned to the budget for peers */
	record_grant_t grant; /* new value */
	record_budget_t budget; /* new value */
	GArray *bills; /* handle_t */
} grant_update_t;

/* Peer that requested unused tokens of a slice. */
typedef struct requester_t {
	char incarnation[INCARNATION_SIZE];
	int64_t tokens;
} requester_t;

/* The share of one budget that this router manages. */
typedef struct slice_t {
	handle_t handle;
	char client_account[NAME_SIZE];
	char budget[NAME_SIZE];

	record_grant_t grant;
	int64_t grant_rev; /* 0: no grant in the store */
	record_budget_t budget_record;
	int64_t budget_rev; /* 0: unknown or absent */
	bool budget_fresh; /* the budget was read after the shortage began */
	uint64_t verified_epoch; /* epoch of the grant's last verification */

	/* The reserved and pending tokens exclude orphans. */
	int64_t reserved_tokens;
	int64_t pending_tokens; /* unsettled bills */
	int64_t unprotected_used; /* reserved or pending without protection */
	int64_t waiting_tokens;
	GArray *waiting; /* handle_t of reservations, in order of arrival */
	GArray *bills; /* handle_t of unsettled bills */
	bool unchecked; /* the buddy may have settled some bills */
	bool is_dirty;
	bool is_stalled;
	uint32_t refs; /* number of reservations and bills */
	uint32_t conflicts; /* consecutive writes lost to other members */
	grant_update_t update;

	uint32_t request_rounds;
	uint32_t replies_expected;
	handle_t reply_timer;
	GArray *requesters; /* requester_t */
	int64_t spent_until; /* end of the cached refusal */
	int64_t spent_tokens; /* smallest amount refused */

	int64_t demand_tokens; /* requested since the last tick */
	int64_t demand_since;
	int64_t demand_rate; /* tokens per second, smoothed */
	int64_t used_at; /* last reservation */
} slice_t;

typedef struct reservation_t {
	handle_t handle;
	handle_t slice;
	svc_t client;
	handle_t client_ref;
	int64_t tokens;
	int64_t deadline;
	bool waiting;
	bool unprotected; /* admitted without protection */
	bool orphan; /* the grant was lost */
	handle_t timer;
} reservation_t;

/* Bill that the store has not yet confirmed. */
typedef struct pending_bill_t {
	handle_t handle;
	handle_t slice;
	svc_t client;
	handle_t client_ref;
	bill_t bill;
	int64_t created_at;
	uint64_t copy_seq; /* copy message that carried the bill; 0: none */
	bool replied;
	bool unprotected;
	bool orphan; /* no grant covers the bill */
	bool queued; /* waits for another bill with the same key */
	bool in_flight;
	bool unchecked; /* the buddy may have settled the bill */
} pending_bill_t;

typedef enum call_kind_t {
	CALL_UPDATES,
	CALL_COMMIT, /* settlement updates of a group commit */
	CALL_LEASE,
	CALL_RECOVERY,
} call_kind_t;

typedef struct call_t {
	handle_t handle;
	call_kind_t kind;
	GArray *slices; /* handle_t of the slice of each group */
	handle_t recovery;
} call_t;

/* Bills copied to this router by another router. */
typedef struct copy_in_t {
	handle_t handle;
	char incarnation[INCARNATION_SIZE];
	uint64_t session; /* 0: none */
	uint64_t seq;
	uint64_t session_floor; /* sessions up to this number are rejected */
	int64_t last_recv_at;
	GArray *bills; /* bill_t */
} copy_in_t;

typedef enum recovery_step_t {
	RECOVERY_WAIT,
	RECOVERY_MEMBER, /* reads the member record */
	RECOVERY_BUDDY, /* reads the member record of the dead router's buddy */
	RECOVERY_LIST, /* reads the grants */
	RECOVERY_GRANT, /* writes one grant */
	RECOVERY_DELETE, /* deletes the member record */
} recovery_step_t;

/* Recovery of a dead router's grants, or the settlement of copies at a stop. */
typedef struct recovery_t {
	handle_t handle;
	char incarnation[INCARNATION_SIZE];
	bool instance_gone;
	bool return_unspent; /* unspent tokens may go back to the budget */
	bool copies_only; /* records copied bills; the owner may be alive */
	int64_t waiting_since;
	int64_t created_at;
	recovery_step_t step;
	bool close_grants; /* empty grants are deleted: the instance is gone */
	bool wrote; /* a grant was written since the last listing */
	int64_t member_rev;
	char buddy[INCARNATION_SIZE]; /* buddy in the member record */
	GArray *grants; /* store_kv_t */
	guint grant_index;
	int64_t budget_rev;
	record_budget_t budget;
	GArray *bills; /* bill_t of the current grant that the store may lack */
	guint bills_checked; /* leading bills known not to be recorded */
	guint batch_start; /* index of the first bill in the call */
	guint batch_len;
	bool read_only; /* the call only compares revisions */
	bool finishes_grant; /* the call settles the last bills of the grant */
	bool outcome_unknown;
	op_id_t op;
	handle_t timer;
} recovery_t;

/* Tokens withheld in the recovered grants of a dead router. */
typedef struct withheld_t {
	int64_t tokens;
	int64_t checked_at;
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
void slices_step(ledger_t *ledger);

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
void slice_mark_unchecked(ledger_t *ledger, slice_t *slice);
void slice_grant_lost(ledger_t *ledger, slice_t *slice);

/* reserve.c */
void reserve_recv(ledger_t *ledger, const msg_t *msg);
void release_recv(ledger_t *ledger, const msg_t *msg);
void reserve_timeout(ledger_t *ledger, handle_t handle);
void reserve_admit_waiting(ledger_t *ledger, slice_t *slice);
void reserve_end(ledger_t *ledger, reservation_t *res, int64_t used);
void reserve_refuse(ledger_t *ledger, reservation_t *res,
		    reserve_result_t result);
void reserve_reply(ledger_t *ledger, reservation_t *res,
		   reserve_result_t result);

/* grant.c */
void slice_step(ledger_t *ledger, slice_t *slice);
void slice_tick(ledger_t *ledger, slice_t *slice);
void slice_request_recv(ledger_t *ledger, const char *from,
			const peer_body_t *body);
void slice_reply_recv(ledger_t *ledger, const peer_body_t *body);
void slice_reply_timeout(ledger_t *ledger, handle_t handle);
void requesters_reply(ledger_t *ledger, slice_t *slice, int64_t ceded);

/* update.c */
void update_send(ledger_t *ledger, slice_t *slice);
void updates_result(ledger_t *ledger, call_t *call,
		    const store_result_t *result);
void updates_retry(ledger_t *ledger);
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
void bill_release(ledger_t *ledger, pending_bill_t *bill);
void bill_settled(ledger_t *ledger, pending_bill_t *bill);
void bill_found(ledger_t *ledger, pending_bill_t *bill,
		const record_bill_t *record);
bool bill_is_same(const bill_t *a, const bill_t *b);
void bill_refuse(ledger_t *ledger, pending_bill_t *bill);
void bills_cover(ledger_t *ledger, slice_t *slice);
int64_t orphan_bill_tokens(const ledger_t *ledger, const slice_t *slice);
void slice_mark_dirty(ledger_t *ledger, slice_t *slice);
void bill_record(record_t *out, const char *writer, const bill_t *bill);

/* copy.c */
void copy_init(ledger_t *ledger);
void copy_finish(ledger_t *ledger);
void copy_queue(ledger_t *ledger, pending_bill_t *bill);
void copy_schedule(ledger_t *ledger);
void copy_flush(ledger_t *ledger);
void copy_keepalive(ledger_t *ledger);
void copy_set_buddy(ledger_t *ledger, const char *buddy);
void copy_ack_recv(ledger_t *ledger, const char *from, const peer_body_t *body);
void peer_send(ledger_t *ledger, const char *to, peer_body_t *body);

/* copy_in.c */
copy_in_t *copy_in_find(const ledger_t *ledger, const char *incarnation);
void copy_in_recv(ledger_t *ledger, const char *from, const peer_body_t *body);
void copy_in_trim(ledger_t *ledger, const char *from, const peer_body_t *body);
void copy_in_free(ledger_t *ledger, copy_in_t *copies);
void copy_in_raise_floor(ledger_t *ledger, copy_in_t *copies);
void copy_in_log_unsettled(ledger_t *ledger);
void copy_in_tick(ledger_t *ledger);

/* recover.c */
void recovery_member_expired(ledger_t *ledger, const msg_t *msg);
void recovery_timer(ledger_t *ledger, handle_t handle);
void recovery_result(ledger_t *ledger, handle_t handle,
		     const store_result_t *result);
bool recovery_is_active(const ledger_t *ledger, const char *incarnation);
bool recovery_settle_copies(ledger_t *ledger);
void recovery_free(ledger_t *ledger, recovery_t *recovery);

/* withheld.c */
int64_t grant_unspent(const record_grant_t *grant);
int64_t grant_withheld(const record_grant_t *grant);
bool grant_is_withheld(const record_grant_t *grant);
void withheld_record(ledger_t *ledger, const recovery_t *recovery);
bool withheld_is_recent(const ledger_t *ledger, const char *incarnation);
int64_t withheld_sum(ledger_t *ledger);

G_END_DECLS

#endif
