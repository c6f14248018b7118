#include "ledger/local.h"
#include "log/log.h"

#include <string.h>

#define RETRY_FIRST (50 * USEC_PER_MSEC)
#define RETRY_LAST USEC_PER_SEC
#define BILL_LEASE_TIME (3600 * USEC_PER_SEC) /* bills put under one lease */
#define CONFLICTS_MAX 3 /* lost races before pausing */

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

static void retry_arm(ledger_t *ledger)
{
	if (!handle_is_none(ledger->retry_timer))
		return;
	ledger->retry_delay =
		CLAMP(ledger->retry_delay * 2, RETRY_FIRST, RETRY_LAST);
	ledger->retry_timer =
		kernel_timer(ledger->kernel, ledger->self, ledger->retry_delay,
			     HANDLE_NONE, TIMER_RETRY);
}

/* Keeps the slice from the store until the next retry. */
void slice_stall(ledger_t *ledger, slice_t *slice)
{
	if (!slice->is_stalled)
		g_array_append_val(ledger->stalled, slice->handle);
	slice->is_stalled = true;
	retry_arm(ledger);
}

static void add_bills(const ledger_t *ledger, store_txn_t *txn,
		      const slice_t *slice)
{
	char key[STORE_KEY_SIZE];
	record_t record;

	for (guint i = 0; i < slice->flight.bills->len; i++) {
		const pending_t *bill = table_get(
			&ledger->bills,
			g_array_index(slice->flight.bills, handle_t, i));

		ledger_bill_key(key, &bill->bill);
		if (slice->flight.kind == FLIGHT_READ) {
			store_txn_check(txn, key, EXPECT_ABSENT);
			continue;
		}
		bill_record(&record, ledger->opts.incarnation, &bill->bill);
		store_txn_put(txn, key, EXPECT_ABSENT, ledger->bill_lease,
			      &record);
	}
}

/* Adds the slice's write as one group; the same again when it is resent. */
static void add_group(ledger_t *ledger, store_txn_t *txn, slice_t *slice)
{
	flight_t *flight = &slice->flight;
	record_t grant = {.kind = RECORD_GRANT};
	record_t budget = {.kind = RECORD_BUDGET};
	char key[STORE_KEY_SIZE];
	char budget_name[STORE_KEY_SIZE];

	store_txn_group(txn);
	grant_key(key, ledger->opts.incarnation, slice->client_account,
		  slice->budget);
	budget_key(budget_name, slice->client_account, slice->budget);
	grant.u.grant = flight->grant;
	budget.u.budget = flight->budget;
	switch (flight->kind) {
	case FLIGHT_NONE:
		break;
	case FLIGHT_READ:
		store_txn_check(txn, key, slice->grant_rev);
		store_txn_check(txn, budget_name, slice->budget_rev);
		break;
	case FLIGHT_SETTLE:
		store_txn_put(txn, key, slice->grant_rev, 0, &grant);
		break;
	case FLIGHT_RESIZE:
		store_txn_put(txn, key, slice->grant_rev, 0, &grant);
		store_txn_put(txn, budget_name, slice->budget_rev, 0, &budget);
		break;
	case FLIGHT_CLOSE:
		store_txn_delete(txn, key, slice->grant_rev);
		store_txn_put(txn, budget_name, slice->budget_rev, 0, &budget);
		break;
	}
	add_bills(ledger, txn, slice);
	flight->sent = true;
	flight->epoch = ledger->epoch;
}

void flight_send(ledger_t *ledger, slice_t *slice)
{
	call_t *call = call_new(ledger, CALL_FLIGHTS);
	store_txn_t *txn = store_txn_new();

	add_group(ledger, txn, slice);
	g_array_append_val(call->slices, slice->handle);
	call_post_txn(ledger, call, txn);
}

static void flight_end(ledger_t *ledger, slice_t *slice)
{
	for (guint i = 0; i < slice->flight.bills->len; i++) {
		pending_t *bill = table_get(
			&ledger->bills,
			g_array_index(slice->flight.bills, handle_t, i));

		if (bill != NULL)
			bill->in_flight = false;
	}
	g_array_set_size(slice->flight.bills, 0);
	slice->flight.kind = FLIGHT_NONE;
	slice->flight.doubt = false;
	slice->flight.sent = false;
}

static void find_unchecked(ledger_t *ledger, slice_t *slice)
{
	slice->unchecked = false;
	for (guint i = 0; i < slice->bills->len; i++) {
		const pending_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		slice->unchecked |= bill->unchecked && !bill->follower;
	}
}

/* The flight's write has taken effect. */
static void apply(ledger_t *ledger, slice_t *slice, int64_t revision)
{
	flight_t *flight = &slice->flight;
	metrics_t *metrics = ledger->kernel->metrics;

	switch (flight->kind) {
	case FLIGHT_NONE:
	case FLIGHT_READ:
		break;
	case FLIGHT_SETTLE:
		flight->grant.recovered = slice->grant.recovered;
		slice->grant = flight->grant;
		slice->grant_rev = revision;
		break;
	case FLIGHT_RESIZE:
		metrics_add(metrics,
			    flight->grant.granted > slice->grant.granted
				    ? COUNTER_GRANTS_TAKEN
				    : COUNTER_GRANTS_RETURNED,
			    1);
		slice->grant = flight->grant;
		slice->grant_rev = revision;
		slice->record = flight->budget;
		slice->budget_rev = revision;
		break;
	case FLIGHT_CLOSE:
		metrics_add(metrics, COUNTER_GRANTS_RETURNED, 1);
		memset(&slice->grant, 0, sizeof(slice->grant));
		slice->grant_rev = 0;
		slice->record = flight->budget;
		slice->budget_rev = revision;
		break;
	}
}

static void finish_bills(ledger_t *ledger, slice_t *slice)
{
	flight_t *flight = &slice->flight;

	for (guint i = 0; i < flight->bills->len; i++) {
		pending_t *bill =
			table_get(&ledger->bills,
				  g_array_index(flight->bills, handle_t, i));

		bill->in_flight = false;
		if (flight->kind == FLIGHT_SETTLE)
			bill_settled(ledger, bill);
		else
			bill->unchecked = false;
	}
}

/* Settles, drops or frees each bill by what the store holds for it. */
static void sort_bills(ledger_t *ledger, slice_t *slice,
		       const store_result_t *result)
{
	flight_t *flight = &slice->flight;
	char key[STORE_KEY_SIZE];

	for (guint i = 0; i < flight->bills->len; i++) {
		pending_t *bill =
			table_get(&ledger->bills,
				  g_array_index(flight->bills, handle_t, i));
		const store_kv_t *kv;

		bill->in_flight = false;
		ledger_bill_key(key, &bill->bill);
		kv = store_result_find(result, key);
		if (kv != NULL && kv->record.kind == RECORD_BILL)
			bill_present(ledger, bill, &kv->record.u.bill);
		else if (kv != NULL && kv->revision != 0)
			bill_refuse(ledger, bill); /* unreadable record */
		else
			bill->unchecked = false;
	}
}

static void adopt_budget(slice_t *slice, const store_kv_t *kv)
{
	if (kv == NULL)
		return;
	slice->fresh = true;
	slice->budget_rev = kv->record.kind == RECORD_BUDGET ? kv->revision : 0;
	if (slice->budget_rev != 0)
		slice->record = kv->record.u.budget;
}

/* Takes over the grant as the store has it. */
static void adopt_grant(ledger_t *ledger, slice_t *slice, const store_kv_t *kv)
{
	bool had = slice->grant_rev != 0;
	bool was_recovered = had && slice->grant.recovered;
	bool foreign = had && kv->revision != slice->grant_rev &&
		       strcmp(kv->record.u.grant.op.writer,
			      ledger->opts.incarnation) != 0;

	if (kv->record.kind != RECORD_GRANT) {
		memset(&slice->grant, 0, sizeof(slice->grant));
		slice->grant_rev = 0;
		if (had && slice->flight.kind != FLIGHT_CLOSE)
			slice_lost(ledger, slice);
		return;
	}
	slice->grant = kv->record.u.grant;
	slice->grant_rev = kv->revision;
	if (slice->grant.recovered && !was_recovered)
		slice_lost(ledger, slice);
	else if (foreign)
		slice_check_bills(ledger, slice);
	if (!slice->grant.recovered)
		slice->verified = slice->flight.epoch;
}

/* The expectations failed: an earlier call succeeded, or another writer. */
static void examine(ledger_t *ledger, slice_t *slice,
		    const store_result_t *result)
{
	flight_t *flight = &slice->flight;
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	grant_key(key, ledger->opts.incarnation, slice->client_account,
		  slice->budget);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->record.kind == RECORD_GRANT &&
	    (flight->kind == FLIGHT_SETTLE || flight->kind == FLIGHT_RESIZE) &&
	    op_id_equal(&kv->record.u.grant.op, &flight->grant.op)) {
		apply(ledger, slice, kv->revision);
		slice->verified = flight->epoch;
		finish_bills(ledger, slice);
	} else if (kv != NULL) {
		if (flight->kind != FLIGHT_READ)
			slice->conflicts++;
		adopt_grant(ledger, slice, kv);
		sort_bills(ledger, slice, result);
	}
	budget_key(key, slice->client_account, slice->budget);
	adopt_budget(slice, store_result_find(result, key));
}

static void flight_answered(ledger_t *ledger, slice_t *slice,
			    const store_result_t *result, uint32_t group)
{
	flight_t *flight = &slice->flight;
	int64_t given = flight->given;

	if (store_result_committed(result, group)) {
		apply(ledger, slice, result->revision);
		slice->verified = flight->epoch;
		if (flight->kind != FLIGHT_SETTLE)
			slice->fresh = true;
		slice->conflicts = 0;
		finish_bills(ledger, slice);
	} else {
		given = 0;
		examine(ledger, slice, result);
	}
	flight_end(ledger, slice);
	find_unchecked(ledger, slice);
	if (given > 0)
		askers_answer(ledger, slice, given);
	if (slice->conflicts >= CONFLICTS_MAX) {
		slice->conflicts = 0;
		slice_stall(ledger, slice);
	}
	reserve_pump(ledger, slice);
	slice_step(ledger, slice);
	bill_dirty(ledger, slice);
	copy_schedule(ledger);
}

static void flight_failed(ledger_t *ledger, slice_t *slice,
			  store_status_t status)
{
	slice->flight.sent = false;
	if (status == STORE_UNKNOWN)
		slice->flight.doubt = true;
	if (status == STORE_INVALID) {
		ledger->bill_lease = 0;
		log_event(LOG_LEVEL_ERROR, "ledger", "call_refused",
			  "account=%s budget=%s", slice->client_account,
			  slice->budget);
	}
	/* Without doubt it is planned anew; otherwise it is sent again. */
	if (!slice->flight.doubt)
		flight_end(ledger, slice);
	slice_stall(ledger, slice);
	bill_dirty(ledger, slice);
}

void flights_result(ledger_t *ledger, call_t *call,
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
			flight_answered(ledger, slice, result, i);
		else
			flight_failed(ledger, slice, result->status);
	}
	g_array_unref(slices);
	commit_schedule(ledger);
}

/* Sends what was in doubt again, in as few calls as fit. */
void flights_retry(ledger_t *ledger)
{
	GArray *stalled = ledger->stalled;
	call_t *call = NULL;
	store_txn_t *txn = NULL;

	ledger->stalled = g_array_new(FALSE, FALSE, sizeof(handle_t));
	for (guint i = 0; i < stalled->len; i++) {
		slice_t *slice = table_get(&ledger->slices,
					   g_array_index(stalled, handle_t, i));

		if (slice == NULL)
			continue;
		slice->is_stalled = false;
		if (slice->flight.kind == FLIGHT_NONE) {
			slice_step(ledger, slice);
			continue;
		}
		if (txn != NULL &&
		    txn->ops->len + slice->flight.bills->len + 2 >
			    CALL_OPS_MAX) {
			call_post_txn(ledger, call, txn);
			txn = NULL;
		}
		if (txn == NULL) {
			call = call_new(ledger, CALL_FLIGHTS);
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

/* The fleet's settlement calls stay within opts.fleet_calls a second. */
static int64_t commit_spacing(const ledger_t *ledger)
{
	return MAX(ledger->opts.commit_spacing_us,
		   (int64_t)member_count(ledger) * USEC_PER_SEC /
			   MAX(ledger->opts.fleet_calls, 1));
}

void commit_schedule(ledger_t *ledger)
{
	int64_t due = ledger->last_commit + commit_spacing(ledger);

	if (ledger->dirty->len == 0 || ledger->commits_running > 0 ||
	    !handle_is_none(ledger->commit_timer))
		return;
	ledger->commit_timer =
		kernel_timer(ledger->kernel, ledger->self,
			     MAX(due - kernel_now(ledger->kernel), 0),
			     HANDLE_NONE, TIMER_COMMIT);
}

/* Plans a settlement of at most room bills; false when there is none. */
static bool begin_settle(ledger_t *ledger, slice_t *slice, uint32_t room)
{
	flight_t *flight = &slice->flight;
	int64_t settled = slice->grant.settled;

	g_array_set_size(flight->bills, 0);
	for (guint i = 0; i < slice->bills->len; i++) {
		handle_t handle = g_array_index(slice->bills, handle_t, i);
		pending_t *bill = table_get(&ledger->bills, handle);

		if (flight->bills->len >= MIN(room, GROUP_BILLS_MAX))
			break;
		if (bill->orphan || bill->follower || bill->unchecked ||
		    bill->bill.tokens > slice->grant.granted - settled)
			continue;
		settled += bill->bill.tokens;
		bill->in_flight = true;
		g_array_append_val(flight->bills, handle);
	}
	if (flight->bills->len == 0)
		return false;
	flight->kind = FLIGHT_SETTLE;
	flight->doubt = false;
	flight->given = 0;
	flight->grant = slice->grant;
	flight->grant.settled = settled;
	flight->grant.op = next_op(ledger);
	return true;
}

/* Settles the bills of as many slices as one call takes. */
void commit_run(ledger_t *ledger)
{
	GArray *dirty = ledger->dirty;
	call_t *call = NULL;
	store_txn_t *txn = NULL;

	if (ledger->commits_running > 0 || !lease_ready(ledger))
		return;
	ledger->dirty = g_array_new(FALSE, FALSE, sizeof(handle_t));
	for (guint i = 0; i < dirty->len; i++) {
		handle_t handle = g_array_index(dirty, handle_t, i);
		slice_t *slice = table_get(&ledger->slices, handle);
		uint32_t used = txn == NULL ? 0 : txn->ops->len;

		if (slice->flight.kind != FLIGHT_NONE || slice->is_stalled ||
		    used + 2 > CALL_OPS_MAX) {
			g_array_append_val(ledger->dirty, handle);
			continue;
		}
		slice->is_dirty = false;
		if (slice->grant_rev == 0 ||
		    !begin_settle(ledger, slice, CALL_OPS_MAX - used - 1))
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

/* Bill keys expire by a store lease, of which a new one is asked hourly. */
bool lease_ready(ledger_t *ledger)
{
	msg_t msg = {.kind = MSG_STORE_LEASE};
	bool old = kernel_now(ledger->kernel) - ledger->bill_lease_at >=
		   BILL_LEASE_TIME;

	if ((ledger->bill_lease == 0 || old) && !ledger->bill_lease_asked) {
		ledger->bill_lease_asked = true;
		msg.id = call_new(ledger, CALL_LEASE)->handle;
		msg.u.store_lease.ttl_s = BILL_TTL_S;
		kernel_post(ledger->kernel, ledger->self, ledger->store, &msg);
	}
	return ledger->bill_lease != 0;
}

void lease_result(ledger_t *ledger, const store_result_t *result)
{
	ledger->bill_lease_asked = false;
	if (result->status != STORE_OK || result->lease == 0) {
		retry_arm(ledger);
		return;
	}
	ledger->bill_lease = result->lease;
	ledger->bill_lease_at = kernel_now(ledger->kernel);
	commit_schedule(ledger);
}
