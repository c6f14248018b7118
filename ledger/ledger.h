/*
 * Ledger: prepaid token budgets.  It holds escrow grants from the store,
 * admits reservations against them, records each bill once, copies unsettled
 * bills to its buddy and recovers the grants of dead routers.
 */
#ifndef LEDGER_LEDGER_H
#define LEDGER_LEDGER_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

typedef struct ledger_opts_t {
	char incarnation[INCARNATION_SIZE]; /* of this router */
	int64_t horizon_us; /* of recent demand that a grant covers at least */
	int64_t commit_interval_us; /* least time between settlement calls */
	uint32_t fleet_commits_per_s; /* settlement calls per second of all
					 members */
	int64_t ack_valid_us; /* an acknowledgement protects this long */
	uint32_t unprotected_percent; /* of a grant's unspent tokens */
	int64_t min_slice_tokens; /* tokens, when the budget is far from spent
				   */
	int64_t reserve_wait_us; /* longest wait for a grant */
	int64_t peer_reply_wait_us; /* longest wait for the peers' slices */
	int64_t spent_cache_us; /* a spent answer is repeated this long */
	int64_t tick_us; /* between adjustments of grant sizes */
	int64_t idle_close_us; /* an unused grant is closed after this */
} ledger_opts_t;

/* Bills copied to the buddy. */
typedef struct copy_out_t {
	char buddy[INCARNATION_SIZE]; /* empty: none */
	uint64_t session;
	uint64_t seq; /* of the last message sent in the session */
	uint64_t acked;
	int64_t last_progress_at; /* last acknowledgement or start of session */
	bool trusted; /* the session began while protected */
	bool blocked; /* rejected: grants must be verified first */
	bool flush_queued;
	uint64_t trimmed; /* last trim sent */
	GArray *sent; /* sent_copy_t, not yet acknowledged */
	GArray *unsent; /* handle_t of bills to be copied */
	GArray *unacked; /* handle_t of bills sent, in order */
} copy_out_t;

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
	GHashTable *bills_by_key; /* store key -> handle of the first bill */
	GHashTable *copies_in_by_sender; /* incarnation -> handle */
	GHashTable *recoveries_by_member; /* incarnation -> handle */
	GHashTable *withheld; /* incarnation -> withheld_t */

	member_list_t *members;
	uint64_t op_seq; /* of grant and budget writes */
	uint64_t bill_seq;
	uint32_t queued_bills; /* bills behind another one of the same key */

	int64_t lease_valid_until;
	int64_t ack_valid_until;
	bool protection_lapsed; /* protection has been interrupted */
	uint64_t epoch; /* rises when grants must be verified again */
	copy_out_t copy_out;

	GArray *dirty_slices; /* handle_t of slices with bills to settle */
	uint32_t commits_running;
	int64_t last_commit;
	handle_t commit_timer;
	GArray *stalled_slices; /* handle_t of slices that wait for the store */
	handle_t retry_timer;
	int64_t retry_delay;

	int64_t bill_lease; /* store lease of bill keys, 0 for none */
	int64_t bill_lease_at;
	bool bill_lease_pending;

	bool stopping;
	bool stopped;
} ledger_t;

void ledger_opts_init(ledger_opts_t *opts, const char *incarnation);
void ledger_init(ledger_t *ledger, kernel_t *kernel, const ledger_opts_t *opts);
void ledger_finish(ledger_t *ledger);

/* Writes the store key of a bill; unsafe bytes are escaped. */
void ledger_bill_key(char out[STORE_KEY_SIZE], const bill_t *bill);

G_END_DECLS

#endif
