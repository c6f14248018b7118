/*
 * Prepaid token budgets of a router.  The ledger takes grants out of the
 * budgets in the store, admits reservations against them, records each bill
 * once, copies unsettled bills to its buddy, a peer router, and recovers the
 * grants of dead routers.
 */
#ifndef LEDGER_LEDGER_H
#define LEDGER_LEDGER_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

typedef struct ledger_opts_t {
	char incarnation[INCARNATION_SIZE]; /* incarnation of this router */
	int64_t horizon_us; /* period of recent demand that a grant covers */
	int64_t commit_interval_us; /* minimum time between commits */
	uint32_t fleet_commits_per_s; /* limit on commits of all members */
	int64_t ack_valid_us; /* lifetime of an acknowledgement */
	uint32_t unprotected_percent; /* share of a grant's unspent tokens */
	int64_t min_slice_tokens; /* minimum while the budget has enough */
	int64_t reserve_wait_us; /* longest wait of a reservation */
	int64_t peer_reply_wait_us; /* longest wait for slice replies */
	int64_t spent_cache_us; /* lifetime of a cached refusal */
	int64_t tick_us; /* interval of grant adjustments */
	int64_t idle_close_us; /* an unused grant is closed after this time */
} ledger_opts_t;

/* State of the session that copies this router's bills to its buddy. */
typedef struct copy_out_t {
	char buddy[INCARNATION_SIZE]; /* empty: none */
	uint64_t session;
	uint64_t seq; /* last message sent in the session */
	uint64_t acked; /* last message that the buddy acknowledged */
	int64_t last_progress_at; /* last acknowledgement or session start */
	bool trusted; /* the session began while protected */
	bool blocked; /* rejected by the buddy; grants must be verified first */
	bool flush_queued;
	uint64_t trimmed; /* bill number of the last trim message */
	GArray *sent; /* sent_copy_t of unacknowledged messages */
	GArray *unsent; /* handle_t of bills to be copied */
	GArray *unacked; /* handle_t of bills sent, in order */
} copy_out_t;

/* Times are monotonic and in us. */
typedef struct ledger_t {
	kernel_t *kernel;
	svc_t self;
	svc_t store;
	svc_t member;
	svc_t peer;
	svc_t router;
	ledger_opts_t opts;

	table_t slices; /* slice_t */
	table_t reservations; /* reservation_t */
	table_t bills; /* pending_bill_t */
	table_t calls; /* call_t */
	table_t copies_in; /* copy_in_t */
	table_t recoveries; /* recovery_t */
	GHashTable *slices_by_name; /* ACCOUNT/BUDGET -> handle */
	GHashTable *bills_by_key; /* store key -> handle of the unqueued bill */
	GHashTable *copies_in_by_sender; /* incarnation -> handle */
	GHashTable *recoveries_by_member; /* incarnation -> handle */
	GHashTable *withheld; /* incarnation -> withheld_t */

	member_list_t *members;
	uint64_t op_seq; /* last operation number of a grant or budget write */
	uint64_t bill_seq;
	uint32_t queued_bills; /* bills that wait for one with the same key */

	/* Peers don't recover the grants before both times have passed. */
	int64_t lease_valid_until;
	int64_t ack_valid_until;
	bool protection_lapsed;
	uint64_t epoch; /* incremented when all grants must be verified again */
	copy_out_t copy_out;

	GArray *dirty_slices; /* handle_t of slices with bills to settle */
	uint32_t commits_running;
	int64_t last_commit;
	handle_t commit_timer;
	GArray *stalled_slices; /* handle_t of slices to be retried */
	handle_t retry_timer;
	int64_t retry_delay;

	int64_t bill_lease; /* store lease of bill keys; 0: none */
	int64_t bill_lease_at;
	bool bill_lease_pending;

	bool stopping;
	bool copies_closed; /* copies are no longer acknowledged */
	bool stopped;
} ledger_t;

void ledger_opts_init(ledger_opts_t *opts, const char *incarnation);
void ledger_init(ledger_t *ledger, kernel_t *kernel, const ledger_opts_t *opts);
void ledger_finish(ledger_t *ledger);

/* Formats the store key of a bill and escapes unsafe bytes in it. */
void ledger_bill_key(char out[STORE_KEY_SIZE], const bill_t *bill);

G_END_DECLS

#endif
