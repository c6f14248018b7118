/*
 * Updates of grants in the store: sends them, retries them and applies their
 * results.  Settlements of several slices share one call.
 */
#include "ledger/local.h"
#include "log/log.h"

#include <string.h>

#define RETRY_DELAY_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_DELAY_MAX_US USEC_PER_SEC
/* Time for which new bills share a store lease. */
#define BILL_LEASE_RENEW_US (3600 * USEC_PER_SEC)
/* Consecutive conflicts with other writers before a slice is delayed. */
#define CONFLICTS_BEFORE_DELAY 3

call_t *call_new(ledger_t *ledger, call_kind_t kind)
{
	call_t *call;
	handle_t handle = table_add(&ledger->calls, (void **)&call);

	call->handle = handle;
	call->kind = kind;
	call->slices = g_array_new(FALSE, FALSE, sizeof(handle_t));
	return call;
}

void call_free(ledger_t *ledger, call_t *call)
{
	g_array_unref(call->slices);
	table_remove(&ledger->calls, call->handle);
}

void call_post_txn(ledger_t *ledger, const call_t *call, store_txn_t *txn)
{
	msg_t msg = {.kind = MSG_STORE_TXN, .id = call->handle};

	msg.u.store_txn = txn;
	kernel_post(ledger->kernel, ledger->self, ledger->store, &msg);
}

static void schedule_retry(ledger_t *ledger)
{
	if (!handle_is_none(ledger->retry_timer))
		return;
	ledger->retry_delay = CLAMP(ledger->retry_delay * 2, RETRY_DELAY_MIN_US,
				    RETRY_DELAY_MAX_US);
	ledger->retry_timer =
		kernel_timer(ledger->kernel, ledger->self, ledger->retry_delay,
			     HANDLE_NONE, TIMER_RETRY);
}

/* Delays updates of the slice until the next retry. */
void slice_stall(ledger_t *ledger, slice_t *slice)
{
	if (!slice->is_stalled)
		g_array_append_val(ledger->stalled_slices, slice->handle);
	slice->is_stalled = true;
	schedule_retry(ledger);
}

static void add_bills(const ledger_t *ledger, store_txn_t *txn,
		      const slice_t *slice)
{
	char key[STORE_KEY_SIZE];
	record_t record;

	for (guint i = 0; i < slice->update.bills->len; i++) {
		const pending_bill_t *bill = table_get(
			&ledger->bills,
			g_array_index(slice->update.bills, handle_t, i));

		ledger_bill_key(key, &bill->bill);
		if (slice->update.kind == UPDATE_READ) {
			store_txn_check(txn, key, EXPECT_ABSENT);
			continue;
		}
		bill_record(&record, ledger->opts.incarnation, &bill->bill);
		store_txn_put(txn, key, EXPECT_ABSENT, ledger->bill_lease,
			      &record);
	}
}

/* Adds the slice's update as one group, whose content a resend repeats. */
static void add_group(ledger_t *ledger, store_txn_t *txn, slice_t *slice)
{
	grant_update_t *update = &slice->update;
	record_t grant = {.kind = RECORD_GRANT};
	record_t budget = {.kind = RECORD_BUDGET};
	char key[STORE_KEY_SIZE];
	char budget_name[STORE_KEY_SIZE];

	store_txn_group(txn);
	grant_key(key, ledger->opts.incarnation, slice->client_account,
		  slice->budget);
	budget_key(budget_name, slice->client_account, slice->budget);
	grant.u.grant = update->grant;
	budget.u.budget = update->budget;
	switch (update->kind) {
	case UPDATE_NONE:
		break;
	case UPDATE_READ:
		store_txn_check(txn, key, slice->grant_rev);
		store_txn_check(txn, budget_name, slice->budget_rev);
		break;
	case UPDATE_SETTLE:
		store_txn_put(txn, key, slice->grant_rev, 0, &grant);
		break;
	case UPDATE_RESIZE:
		store_txn_put(txn, key, slice->grant_rev, 0, &grant);
		store_txn_put(txn, budget_name, slice->budget_rev, 0, &budget);
		break;
	case UPDATE_CLOSE:
		store_txn_delete(txn, key, slice->grant_rev);
		store_txn_put(txn, budget_name, slice->budget_rev, 0, &budget);
		break;
	}
	add_bills(ledger, txn, slice);
	update->sent = true;
	update->epoch = ledger->epoch;
}

void update_send(ledger_t *ledger, slice_t *slice)
{
	call_t *call = call_new(ledger, CALL_UPDATES);
	store_txn_t *txn = store_txn_new();

	add_group(ledger, txn, slice);
	g_array_append_val(call->slices, slice->handle);
	call_post_txn(ledger, call, txn);
}

static void update_end(ledger_t *ledger, slice_t *slice)
{
	for (guint i = 0; i < slice->update.bills->len; i++) {
		pending_bill_t *bill = table_get(
			&ledger->bills,
			g_array_index(slice->update.bills, handle_t, i));

		if (bill != NULL)
			bill->in_flight = false;
	}
	g_array_set_size(slice->update.bills, 0);
	slice->update.kind = UPDATE_NONE;
	slice->update.outcome_unknown = false;
	slice->update.sent = false;
}

static void update_unchecked(ledger_t *ledger, slice_t *slice)
{
	slice->unchecked = false;
	for (guint i = 0; i < slice->bills->len; i++) {
		const pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		slice->unchecked |= bill->unchecked && !bill->queued;
	}
}

/* Applies a committed update to the slice. */
static void apply_update(ledger_t *ledger, slice_t *slice, int64_t revision)
{
	grant_update_t *update = &slice->update;
	metrics_t *metrics = ledger->kernel->metrics;

	switch (update->kind) {
	case UPDATE_NONE:
	case UPDATE_READ:
		break;
	case UPDATE_SETTLE:
		update->grant.recovered = slice->grant.recovered;
		slice->grant = update->grant;
		slice->grant_rev = revision;
		break;
	case UPDATE_RESIZE:
		metrics_add(metrics,
			    update->grant.granted > slice->grant.granted
				    ? COUNTER_GRANTS_TAKEN
				    : COUNTER_GRANTS_RETURNED,
			    1);
		slice->grant = update->grant;
		slice->grant_rev = revision;
		slice->budget_record = update->budget;
		slice->budget_rev = revision;
		break;
	case UPDATE_CLOSE:
		metrics_add(metrics, COUNTER_GRANTS_RETURNED, 1);
		memset(&slice->grant, 0, sizeof(slice->grant));
		slice->grant_rev = 0;
		slice->budget_record = update->budget;
		slice->budget_rev = revision;
		break;
	}
}

static void complete_bills(ledger_t *ledger, slice_t *slice)
{
	grant_update_t *update = &slice->update;

	for (guint i = 0; i < update->bills->len; i++) {
		pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(update->bills, handle_t, i));

		bill->in_flight = false;
		if (update->kind == UPDATE_SETTLE)
			bill_settled(ledger, bill);
		else
			bill->unchecked = false;
	}
}

/* Settles, refuses or keeps each bill according to its record in the store. */
static void reconcile_bills(ledger_t *ledger, slice_t *slice,
			    const store_result_t *result)
{
	grant_update_t *update = &slice->update;
	char key[STORE_KEY_SIZE];

	for (guint i = 0; i < update->bills->len; i++) {
		pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(update->bills, handle_t, i));
		const store_kv_t *kv;

		bill->in_flight = false;
		ledger_bill_key(key, &bill->bill);
		kv = store_result_find(result, key);
		if (kv != NULL && kv->record.kind == RECORD_BILL)
			bill_found(ledger, bill, &kv->record.u.bill);
		else if (kv != NULL && kv->revision != 0)
			bill_refuse(ledger, bill); /* invalid record */
		else
			bill->unchecked = false;
	}
}

static void adopt_budget(slice_t *slice, const store_kv_t *kv)
{
	if (kv == NULL)
		return;
	slice->budget_fresh = true;
	slice->budget_rev = kv->record.kind == RECORD_BUDGET ? kv->revision : 0;
	if (slice->budget_rev != 0)
		slice->budget_record = kv->record.u.budget;
}

/* Copies the grant from the store. */
static void adopt_grant(ledger_t *ledger, slice_t *slice, const store_kv_t *kv)
{
	bool had_grant = slice->grant_rev != 0;
	bool was_recovered = had_grant && slice->grant.recovered;
	bool foreign = had_grant && kv->revision != slice->grant_rev &&
		       strcmp(kv->record.u.grant.op.writer,
			      ledger->opts.incarnation) != 0;

	if (kv->record.kind != RECORD_GRANT) {
		memset(&slice->grant, 0, sizeof(slice->grant));
		slice->grant_rev = 0;
		if (had_grant && slice->update.kind != UPDATE_CLOSE)
			slice_grant_lost(ledger, slice);
		return;
	}
	slice->grant = kv->record.u.grant;
	slice->grant_rev = kv->revision;
	if (slice->grant.recovered && !was_recovered)
		slice_grant_lost(ledger, slice);
	else if (foreign)
		slice_mark_unchecked(ledger, slice);
	if (!slice->grant.recovered)
		slice->verified_epoch = slice->update.epoch;
}

/*
 * Handles failed expectations: either an earlier call with this update took
 * effect, or another writer changed the records.
 */
static void resolve_conflict(ledger_t *ledger, slice_t *slice,
			     const store_result_t *result)
{
	grant_update_t *update = &slice->update;
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	grant_key(key, ledger->opts.incarnation, slice->client_account,
		  slice->budget);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->record.kind == RECORD_GRANT &&
	    (update->kind == UPDATE_SETTLE || update->kind == UPDATE_RESIZE) &&
	    op_id_equal(&kv->record.u.grant.op, &update->grant.op)) {
		apply_update(ledger, slice, kv->revision);
		slice->verified_epoch = update->epoch;
		complete_bills(ledger, slice);
	} else if (kv != NULL) {
		if (update->kind != UPDATE_READ)
			slice->conflicts++;
		adopt_grant(ledger, slice, kv);
		reconcile_bills(ledger, slice, result);
	}
	budget_key(key, slice->client_account, slice->budget);
	adopt_budget(slice, store_result_find(result, key));
}

static void update_replied(ledger_t *ledger, slice_t *slice,
			   const store_result_t *result, uint32_t group)
{
	grant_update_t *update = &slice->update;
	int64_t ceded = update->ceded;

	if (store_result_committed(result, group)) {
		apply_update(ledger, slice, result->revision);
		slice->verified_epoch = update->epoch;
		if (update->kind != UPDATE_SETTLE)
			slice->budget_fresh = true;
		slice->conflicts = 0;
		complete_bills(ledger, slice);
	} else {
		ceded = 0;
		resolve_conflict(ledger, slice, result);
	}
	update_end(ledger, slice);
	update_unchecked(ledger, slice);
	if (ceded > 0)
		requesters_reply(ledger, slice, ceded);
	if (slice->conflicts >= CONFLICTS_BEFORE_DELAY) {
		slice->conflicts = 0;
		slice_stall(ledger, slice);
	}
	reserve_admit_waiting(ledger, slice);
	slice_step(ledger, slice);
	slice_mark_dirty(ledger, slice);
	copy_schedule(ledger);
}

static void update_failed(ledger_t *ledger, slice_t *slice,
			  store_status_t status)
{
	slice->update.sent = false;
	if (status == STORE_UNKNOWN)
		slice->update.outcome_unknown = true;
	if (status == STORE_INVALID) {
		ledger->bill_lease = 0;
		log_event(LOG_LEVEL_ERROR, "ledger", "call_refused",
			  "account=%s budget=%s", slice->client_account,
			  slice->budget);
	}
	/* An update of unknown outcome is resent; any other is replanned. */
	if (!slice->update.outcome_unknown)
		update_end(ledger, slice);
	slice_stall(ledger, slice);
	slice_mark_dirty(ledger, slice);
}

void updates_result(ledger_t *ledger, call_t *call,
		    const store_result_t *result)
{
	GArray *slices = g_array_ref(call->slices);

	if (call->kind == CALL_COMMIT)
		ledger->commits_running--;
	call_free(ledger, call);
	for (guint i = 0; i < slices->len; i++) {
		slice_t *slice = table_get(&ledger->slices,
					   g_array_index(slices, handle_t, i));

		if (result->status == STORE_OK)
			update_replied(ledger, slice, result, i);
		else
			update_failed(ledger, slice, result->status);
	}
	g_array_unref(slices);
	commit_schedule(ledger);
}

/* Resends updates of unknown outcome in as few calls as possible. */
void updates_retry(ledger_t *ledger)
{
	GArray *stalled = ledger->stalled_slices;
	call_t *call = NULL;
	store_txn_t *txn = NULL;

	ledger->stalled_slices = g_array_new(FALSE, FALSE, sizeof(handle_t));
	for (guint i = 0; i < stalled->len; i++) {
		slice_t *slice = table_get(&ledger->slices,
					   g_array_index(stalled, handle_t, i));

		if (slice == NULL)
			continue;
		slice->is_stalled = false;
		if (slice->update.kind == UPDATE_NONE) {
			slice_step(ledger, slice);
			continue;
		}
		if (txn != NULL &&
		    txn->ops->len + slice->update.bills->len + 2 >
			    CALL_OPS_MAX) {
			call_post_txn(ledger, call, txn);
			txn = NULL;
		}
		if (txn == NULL) {
			call = call_new(ledger, CALL_UPDATES);
			txn = store_txn_new();
		}
		add_group(ledger, txn, slice);
		g_array_append_val(call->slices, slice->handle);
	}
	if (txn != NULL)
		call_post_txn(ledger, call, txn);
	g_array_unref(stalled);
	commit_schedule(ledger);
}

/* Keeps the commits of all members within opts.fleet_commits_per_s. */
static int64_t commit_interval(const ledger_t *ledger)
{
	return MAX(ledger->opts.commit_interval_us,
		   (int64_t)member_count(ledger) * USEC_PER_SEC /
			   MAX(ledger->opts.fleet_commits_per_s, 1));
}

void commit_schedule(ledger_t *ledger)
{
	int64_t due = ledger->last_commit + commit_interval(ledger);

	if (ledger->dirty_slices->len == 0 || ledger->commits_running > 0 ||
	    !handle_is_none(ledger->commit_timer))
		return;
	ledger->commit_timer =
		kernel_timer(ledger->kernel, ledger->self,
			     MAX(due - kernel_now(ledger->kernel), 0),
			     HANDLE_NONE, TIMER_COMMIT);
}

/* Plans the settlement of at most room bills; false if there are none. */
static bool plan_settlement(ledger_t *ledger, slice_t *slice, uint32_t room)
{
	grant_update_t *update = &slice->update;
	int64_t settled = slice->grant.settled;

	g_array_set_size(update->bills, 0);
	for (guint i = 0; i < slice->bills->len; i++) {
		handle_t handle = g_array_index(slice->bills, handle_t, i);
		pending_bill_t *bill = table_get(&ledger->bills, handle);

		if (update->bills->len >= MIN(room, GROUP_BILLS_MAX))
			break;
		if (bill->orphan || bill->queued || bill->unchecked ||
		    bill->bill.tokens > slice->grant.granted - settled)
			continue;
		settled += bill->bill.tokens;
		bill->in_flight = true;
		g_array_append_val(update->bills, handle);
	}
	if (update->bills->len == 0)
		return false;
	update->kind = UPDATE_SETTLE;
	update->outcome_unknown = false;
	update->ceded = 0;
	update->grant = slice->grant;
	update->grant.settled = settled;
	update->grant.op = next_op(ledger);
	return true;
}

/* Settles the bills of as many slices as fit into one call. */
void commit_run(ledger_t *ledger)
{
	GArray *dirty = ledger->dirty_slices;
	call_t *call = NULL;
	store_txn_t *txn = NULL;

	if (ledger->commits_running > 0 || !lease_ready(ledger))
		return;
	ledger->dirty_slices = g_array_new(FALSE, FALSE, sizeof(handle_t));
	for (guint i = 0; i < dirty->len; i++) {
		handle_t handle = g_array_index(dirty, handle_t, i);
		slice_t *slice = table_get(&ledger->slices, handle);
		uint32_t used = txn == NULL ? 0 : txn->ops->len;

		if (slice->update.kind != UPDATE_NONE || slice->is_stalled ||
		    used + 2 > CALL_OPS_MAX) {
			g_array_append_val(ledger->dirty_slices, handle);
			continue;
		}
		slice->is_dirty = false;
		if (slice->grant_rev == 0 ||
		    !plan_settlement(ledger, slice, CALL_OPS_MAX - used - 1))
			continue;
		if (txn == NULL) {
			call = call_new(ledger, CALL_COMMIT);
			txn = store_txn_new();
		}
		add_group(ledger, txn, slice);
		g_array_append_val(call->slices, handle);
	}
	g_array_unref(dirty);
	if (txn == NULL)
		return;
	ledger->commits_running++;
	ledger->last_commit = kernel_now(ledger->kernel);
	call_post_txn(ledger, call, txn);
}

/* Bill keys expire with a store lease, which is replaced every hour. */
bool lease_ready(ledger_t *ledger)
{
	msg_t msg = {.kind = MSG_STORE_LEASE};
	bool old = kernel_now(ledger->kernel) - ledger->bill_lease_at >=
		   BILL_LEASE_RENEW_US;

	if ((ledger->bill_lease == 0 || old) && !ledger->bill_lease_pending) {
		ledger->bill_lease_pending = true;
		msg.id = call_new(ledger, CALL_LEASE)->handle;
		msg.u.store_lease.ttl_s = BILL_LEASE_TTL_S;
		kernel_post(ledger->kernel, ledger->self, ledger->store, &msg);
	}
	return ledger->bill_lease != 0;
}

void lease_result(ledger_t *ledger, const store_result_t *result)
{
	ledger->bill_lease_pending = false;
	if (result->status != STORE_OK || result->lease == 0) {
		schedule_retry(ledger);
		return;
	}
	ledger->bill_lease = result->lease;
	ledger->bill_lease_at = kernel_now(ledger->kernel);
	commit_schedule(ledger);
}
