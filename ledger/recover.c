/*
 * Recovery of the grants of dead routers: records the bills copied here and
 * returns unspent tokens to the budgets.  A planned stop records the copied
 * bills of all routers, dead or alive, and leaves their grants.
 */
#include "ledger/local.h"
#include "log/log.h"

#include <string.h>

#define RECOVERY_RETRY_US (500 * USEC_PER_MSEC)
/* Delay of routers without copies, so that those with copies recover first. */
#define NO_COPIES_DELAY_US (5 * USEC_PER_SEC)
/*
 * Longest wait for the dead router's buddy.  The buddy may be gone as well, if
 * the two routers were each other's buddies.
 */
#define BUDDY_WAIT_MAX_US (1800 * USEC_PER_SEC)

static recovery_t *recovery_find(const ledger_t *ledger,
				 const char *incarnation)
{
	return table_get(&ledger->recoveries,
			 handle_unpack(g_hash_table_lookup(
				 ledger->recoveries_by_member, incarnation)));
}

/*
 * Returns true while a member's grants are being recovered.  Copies from the
 * member are rejected during that time.
 */
bool recovery_is_active(const ledger_t *ledger, const char *incarnation)
{
	const recovery_t *recovery = recovery_find(ledger, incarnation);

	return recovery != NULL && recovery->step != RECOVERY_WAIT &&
	       !recovery->copies_only;
}

void recovery_free(ledger_t *ledger, recovery_t *recovery)
{
	g_hash_table_remove(ledger->recoveries_by_member,
			    recovery->incarnation);
	kernel_timer_cancel(ledger->kernel, &recovery->timer);
	g_array_unref(recovery->grants);
	g_array_unref(recovery->bills);
	table_remove(&ledger->recoveries, recovery->handle);
}

static void clear_kv(gpointer data)
{
	store_kv_t *kv = data;

	record_clear(&kv->record);
}

static recovery_t *recovery_new(ledger_t *ledger, const char *incarnation)
{
	recovery_t *recovery;
	handle_t handle = table_add(&ledger->recoveries, (void **)&recovery);

	recovery->handle = handle;
	g_strlcpy(recovery->incarnation, incarnation,
		  sizeof(recovery->incarnation));
	recovery->waiting_since = kernel_now(ledger->kernel);
	recovery->created_at = recovery->waiting_since;
	recovery->grants = g_array_new(FALSE, TRUE, sizeof(store_kv_t));
	g_array_set_clear_func(recovery->grants, clear_kv);
	recovery->bills = g_array_new(FALSE, FALSE, sizeof(bill_t));
	g_hash_table_insert(ledger->recoveries_by_member, g_strdup(incarnation),
			    handle_pack(handle));
	return recovery;
}

static void recovery_wait(ledger_t *ledger, recovery_t *recovery, int64_t delay)
{
	kernel_timer_cancel(ledger->kernel, &recovery->timer);
	recovery->timer = kernel_timer(ledger->kernel, ledger->self, delay,
				       recovery->handle, TIMER_RECOVERY);
}

static bool holds_copies(const ledger_t *ledger, const recovery_t *recovery)
{
	const copy_in_t *copies = copy_in_find(ledger, recovery->incarnation);

	return copies != NULL && copies->session != 0;
}

/* Returns the delay of the recovery in us, 0 for none, -1 to cancel. */
static int64_t recovery_delay(const ledger_t *ledger,
			      const recovery_t *recovery)
{
	const copy_in_t *copies = copy_in_find(ledger, recovery->incarnation);
	int64_t now = kernel_now(ledger->kernel);
	int64_t expiry = 2 * ledger->opts.ack_valid_us;

	if (recovery->copies_only)
		return 0;
	if (holds_copies(ledger, recovery))
		return MAX(copies->last_recv_at + expiry - now, 0);
	if (!recovery->instance_gone)
		return -1;
	return MAX(recovery->waiting_since + NO_COPIES_DELAY_US - now, 0);
}

static void recovery_get(ledger_t *ledger, recovery_t *recovery,
			 const char *key, bool prefix)
{
	msg_t msg = {.kind = MSG_STORE_GET};
	call_t *call = call_new(ledger, CALL_RECOVERY);

	call->recovery = recovery->handle;
	msg.id = call->handle;
	g_strlcpy(msg.u.store_get.key, key, sizeof(msg.u.store_get.key));
	msg.u.store_get.prefix = prefix;
	kernel_post(ledger->kernel, ledger->self, ledger->store, &msg);
}

static void member_key(char out[STORE_KEY_SIZE], const recovery_t *recovery)
{
	g_snprintf(out, STORE_KEY_SIZE, "member/%s", recovery->incarnation);
}

static void alive_key(char out[STORE_KEY_SIZE], const recovery_t *recovery)
{
	g_snprintf(out, STORE_KEY_SIZE, "alive/%s", recovery->incarnation);
}

static void recovery_begin(ledger_t *ledger, recovery_t *recovery)
{
	copy_in_t *copies = copy_in_find(ledger, recovery->incarnation);
	char key[STORE_KEY_SIZE];

	if (copies != NULL && !recovery->copies_only)
		copy_in_raise_floor(ledger, copies);
	recovery->step = RECOVERY_MEMBER;
	recovery->close_grants =
		recovery->instance_gone && !recovery->copies_only;
	member_key(key, recovery);
	recovery_get(ledger, recovery, key, false);
}

static void recovery_list_grants(ledger_t *ledger, recovery_t *recovery)
{
	char key[STORE_KEY_SIZE];

	recovery->step = RECOVERY_LIST;
	recovery->grant_index = 0;
	recovery->wrote = false;
	g_array_set_size(recovery->grants, 0);
	g_snprintf(key, sizeof(key), "grant/%s/", recovery->incarnation);
	recovery_get(ledger, recovery, key, true);
}

/* Ends the recovery and discards the copies if they have been settled. */
static void recovery_end(ledger_t *ledger, recovery_t *recovery, bool settled)
{
	copy_in_t *copies = copy_in_find(ledger, recovery->incarnation);

	if (copies != NULL) {
		if (settled)
			g_array_set_size(copies->bills, 0);
		copy_in_raise_floor(ledger, copies);
		copies->session = 0;
	}
	recovery_free(ledger, recovery);
}

/* Adds the expectations that the owner is still dead with the same buddy. */
static void add_owner_checks(store_txn_t *txn, const recovery_t *recovery)
{
	char key[STORE_KEY_SIZE];

	alive_key(key, recovery);
	store_txn_check(txn, key, EXPECT_ABSENT);
	member_key(key, recovery);
	store_txn_check(txn, key, recovery->member_rev);
}

static void recovery_delete_member(ledger_t *ledger, recovery_t *recovery)
{
	call_t *call = call_new(ledger, CALL_RECOVERY);
	store_txn_t *txn = store_txn_new();
	char key[STORE_KEY_SIZE];

	recovery->step = RECOVERY_DELETE;
	call->recovery = recovery->handle;
	store_txn_group(txn);
	alive_key(key, recovery);
	store_txn_check(txn, key, EXPECT_ABSENT);
	member_key(key, recovery);
	store_txn_delete(txn, key, recovery->member_rev);
	call_post_txn(ledger, call, txn);
}

static bool split_grant_key(const char *key, char account[NAME_SIZE],
			    char budget[NAME_SIZE])
{
	gchar **parts = g_strsplit(key, "/", 4);
	bool ok = g_strv_length(parts) == 4 && name_is_valid(parts[2]) &&
		  name_is_valid(parts[3]);

	if (ok) {
		g_strlcpy(account, parts[2], NAME_SIZE);
		g_strlcpy(budget, parts[3], NAME_SIZE);
	}
	g_strfreev(parts);
	return ok;
}

static store_kv_t *current_grant(const recovery_t *recovery)
{
	return &g_array_index(recovery->grants, store_kv_t,
			      recovery->grant_index);
}

/*
 * Adds a copied bill.  Of several bills with the same key only the last one may
 * be charged, since the others ended without a record of their own.
 */
static void collect_bill(recovery_t *recovery, const bill_t *bill)
{
	for (guint i = 0; i < recovery->bills->len; i++) {
		bill_t *other = &g_array_index(recovery->bills, bill_t, i);

		if (bill_is_same(other, bill)) {
			*other = *bill;
			return;
		}
	}
	g_array_append_vals(recovery->bills, bill, 1);
}

/* Collects the copied bills of the current grant. */
static void collect_bills(ledger_t *ledger, recovery_t *recovery)
{
	const copy_in_t *copies = copy_in_find(ledger, recovery->incarnation);
	char account[NAME_SIZE];
	char budget[NAME_SIZE];

	g_array_set_size(recovery->bills, 0);
	recovery->budget_rev = 0;
	recovery->bills_checked = 0;
	recovery->outcome_unknown = false;
	if (copies == NULL ||
	    !split_grant_key(current_grant(recovery)->key, account, budget))
		return;
	for (guint i = 0; i < copies->bills->len; i++) {
		const bill_t *bill = &g_array_index(copies->bills, bill_t, i);

		if (strcmp(bill->client_account, account) == 0 &&
		    strcmp(bill->budget, budget) == 0)
			collect_bill(recovery, bill);
	}
}

/*
 * Returns the grant after the next write, which settles the bills that fit.
 * All of them fit unless the owner exceeded its grant, because the bills that
 * the store already has are excluded.
 */
static record_grant_t plan_grant(recovery_t *recovery)
{
	record_grant_t grant = current_grant(recovery)->record.u.grant;
	guint i = 0;

	while (i < recovery->bills->len && i < GROUP_BILLS_MAX) {
		int64_t tokens =
			g_array_index(recovery->bills, bill_t, i).tokens;

		if (tokens < 0 || tokens > grant.granted - grant.settled) {
			log_event(LOG_LEVEL_ERROR, "ledger", "copy_too_large",
				  "grant=%s", current_grant(recovery)->key);
			g_array_remove_index(recovery->bills, i);
			continue;
		}
		grant.settled += tokens;
		i++;
	}
	recovery->batch_start = 0;
	recovery->batch_len = i;
	recovery->finishes_grant = i == recovery->bills->len;
	grant.op = recovery->op;
	return grant;
}

static void add_bills(ledger_t *ledger, store_txn_t *txn,
		      const recovery_t *recovery)
{
	char key[STORE_KEY_SIZE];
	record_t record;

	for (guint i = 0; i < recovery->batch_len; i++) {
		const bill_t *bill = &g_array_index(recovery->bills, bill_t,
						    recovery->batch_start + i);

		ledger_bill_key(key, bill);
		if (recovery->read_only) {
			store_txn_check(txn, key, EXPECT_ABSENT);
			continue;
		}
		bill_record(&record, recovery->incarnation, bill);
		store_txn_put(txn, key, EXPECT_ABSENT, ledger->bill_lease,
			      &record);
	}
}

/* Marks the grant recovered or deletes it, and returns tokens to the budget. */
static void add_grant_return(store_txn_t *txn, recovery_t *recovery,
			     record_grant_t *grant, const char *budget_name)
{
	int64_t unspent = grant_unspent(grant);
	int64_t withheld = grant_withheld(grant);
	record_t record = {.kind = RECORD_BUDGET};
	record_t grant_record = {.kind = RECORD_GRANT};
	int64_t revision = current_grant(recovery)->revision;

	record.u.budget = recovery->budget;
	if (recovery->close_grants && withheld == 0) {
		record.u.budget.granted -= unspent;
		record.u.budget.retired += grant->settled;
		store_txn_delete(txn, current_grant(recovery)->key, revision);
	} else {
		record.u.budget.granted -= unspent - withheld;
		grant->granted = grant->settled + withheld;
		grant->recovered = true;
		grant_record.u.grant = *grant;
		store_txn_put(txn, current_grant(recovery)->key, revision, 0,
			      &grant_record);
	}
	store_txn_put(txn, budget_name, recovery->budget_rev, 0, &record);
}

/* Reads the budget, and checks which copied bills the store already has. */
static void add_reads(store_txn_t *txn, recovery_t *recovery,
		      const char *budget_name)
{
	recovery->batch_start = recovery->bills_checked;
	recovery->batch_len =
		MIN(recovery->bills->len - recovery->bills_checked,
		    GROUP_BILLS_MAX);
	store_txn_check(txn, budget_name, recovery->budget_rev);
	store_txn_check(txn, current_grant(recovery)->key,
			current_grant(recovery)->revision);
}

static void add_writes(store_txn_t *txn, recovery_t *recovery,
		       const char *budget_name)
{
	record_t record = {.kind = RECORD_GRANT};
	record_grant_t grant;

	grant = plan_grant(recovery);
	if (recovery->finishes_grant && recovery->return_unspent) {
		add_grant_return(txn, recovery, &grant, budget_name);
		return;
	}
	record.u.grant = grant;
	store_txn_put(txn, current_grant(recovery)->key,
		      current_grant(recovery)->revision, 0, &record);
	store_txn_check(txn, budget_name, recovery->budget_rev);
}

static void recovery_write(ledger_t *ledger, recovery_t *recovery)
{
	char account[NAME_SIZE] = "";
	char budget[NAME_SIZE] = "";
	char key[STORE_KEY_SIZE];
	call_t *call = call_new(ledger, CALL_RECOVERY);
	store_txn_t *txn = store_txn_new();

	call->recovery = recovery->handle;
	split_grant_key(current_grant(recovery)->key, account, budget);
	budget_key(key, account, budget);
	recovery->read_only = recovery->budget_rev == 0 ||
			      recovery->bills_checked < recovery->bills->len;
	if (!recovery->outcome_unknown)
		recovery->op = next_op(ledger);
	store_txn_group(txn);
	if (!recovery->copies_only)
		add_owner_checks(txn, recovery);
	if (recovery->read_only)
		add_reads(txn, recovery, key);
	else
		add_writes(txn, recovery, key);
	add_bills(ledger, txn, recovery);
	call_post_txn(ledger, call, txn);
}

/* Continues with the next grant that needs recovery. */
static void recovery_next_grant(ledger_t *ledger, recovery_t *recovery)
{
	char account[NAME_SIZE];
	char budget[NAME_SIZE];

	for (; recovery->grant_index < recovery->grants->len;
	     recovery->grant_index++) {
		const store_kv_t *kv = current_grant(recovery);

		if (kv->record.kind != RECORD_GRANT ||
		    !split_grant_key(kv->key, account, budget) ||
		    (kv->record.u.grant.recovered && !recovery->close_grants))
			continue;
		collect_bills(ledger, recovery);
		if (recovery->bills->len == 0 &&
		    (!recovery->return_unspent ||
		     grant_is_withheld(&kv->record.u.grant)))
			continue;
		recovery->step = RECOVERY_GRANT;
		recovery_write(ledger, recovery);
		return;
	}
	withheld_record(ledger, recovery);
	if (recovery->instance_gone && !recovery->close_grants &&
	    !recovery->copies_only)
		recovery_begin(ledger, recovery);
	else if (recovery->close_grants && recovery->wrote)
		recovery_list_grants(ledger, recovery);
	else
		recovery_end(ledger, recovery,
			     recovery->return_unspent || recovery->copies_only);
}

/*
 * Writes the current grant, or skips it if no tokens are to be returned and the
 * store already has all copied bills.
 */
static void recovery_continue(ledger_t *ledger, recovery_t *recovery)
{
	if (recovery->bills->len > 0 ||
	    (!recovery->copies_only &&
	     !grant_is_withheld(&current_grant(recovery)->record.u.grant))) {
		recovery_write(ledger, recovery);
		return;
	}
	recovery->grant_index++;
	recovery_next_grant(ledger, recovery);
}

static void read_buddy(ledger_t *ledger, recovery_t *recovery)
{
	char key[STORE_KEY_SIZE];

	recovery->step = RECOVERY_BUDDY;
	g_snprintf(key, sizeof(key), "member/%s", recovery->buddy);
	recovery_get(ledger, recovery, key, false);
}

/* The buddy may have copies and recovers first, unless it is gone as well. */
static bool must_check_buddy(const ledger_t *ledger, const recovery_t *recovery)
{
	const recovery_t *other = recovery_find(ledger, recovery->buddy);

	return recovery->buddy[0] != '\0' &&
	       strcmp(recovery->buddy, ledger->opts.incarnation) != 0 &&
	       (other == NULL || !other->instance_gone) &&
	       kernel_now(ledger->kernel) - recovery->created_at <
		       BUDDY_WAIT_MAX_US;
}

static void handle_member(ledger_t *ledger, recovery_t *recovery,
			  const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	if (recovery->copies_only) {
		/* Only now: there is no other buddy during a store outage. */
		ledger->copies_closed = true;
		recovery_list_grants(ledger, recovery);
		return;
	}
	member_key(key, recovery);
	kv = store_result_find(result, key);
	recovery->member_rev = kv == NULL ? 0 : kv->revision;
	recovery->buddy[0] = '\0';
	if (kv != NULL && kv->record.kind == RECORD_MEMBER)
		g_strlcpy(recovery->buddy, kv->record.u.member.buddy,
			  sizeof(recovery->buddy));
	/* A router that is not the buddy only records the bills copied here. */
	recovery->return_unspent =
		recovery->close_grants ||
		strcmp(recovery->buddy, ledger->opts.incarnation) == 0;
	if (recovery->close_grants && must_check_buddy(ledger, recovery))
		read_buddy(ledger, recovery);
	else
		recovery_list_grants(ledger, recovery);
}

static void handle_buddy(ledger_t *ledger, recovery_t *recovery,
			 const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	g_snprintf(key, sizeof(key), "member/%s", recovery->buddy);
	kv = store_result_find(result, key);
	if (kv == NULL || kv->revision == 0) {
		recovery_list_grants(ledger, recovery);
		return;
	}
	recovery->step = RECOVERY_WAIT;
	recovery->waiting_since = kernel_now(ledger->kernel);
	recovery_wait(ledger, recovery, NO_COPIES_DELAY_US);
}

static void handle_list(ledger_t *ledger, recovery_t *recovery,
			const store_result_t *result)
{
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		if (kv->revision != 0)
			g_array_append_vals(recovery->grants, kv, 1);
	}
	if (result->more)
		return;
	if (recovery->grants->len == 0 && recovery->close_grants &&
	    recovery->member_rev != 0)
		recovery_delete_member(ledger, recovery);
	else if (recovery->grants->len == 0)
		recovery_end(ledger, recovery, true);
	else
		recovery_next_grant(ledger, recovery);
}

static void drop_recorded(recovery_t *recovery, const store_result_t *result,
			  bool grant_changed)
{
	char key[STORE_KEY_SIZE];

	for (guint i = recovery->batch_len; i > 0; i--) {
		guint at = recovery->batch_start + i - 1;
		const bill_t *bill =
			&g_array_index(recovery->bills, bill_t, at);
		const store_kv_t *kv;

		ledger_bill_key(key, bill);
		kv = store_result_find(result, key);
		if (kv == NULL || kv->revision == 0)
			continue;
		g_array_remove_index(recovery->bills, at);
		recovery->batch_len--;
	}
	recovery->bills_checked =
		MAX(recovery->bills_checked,
		    recovery->batch_start + recovery->batch_len);
	recovery->bills_checked =
		MIN(recovery->bills_checked, recovery->bills->len);
	/* With the grant, bills outside the call may have been recorded. */
	if (grant_changed)
		recovery->bills_checked =
			recovery->batch_start == 0 ? recovery->batch_len : 0;
}

/*
 * Copies the current values from the store and drops recorded bills.  Returns
 * false if the owner is back or its member record has changed.
 */
static bool adopt_values(recovery_t *recovery, const store_result_t *result)
{
	store_kv_t *grant = current_grant(recovery);
	char account[NAME_SIZE];
	char budget[NAME_SIZE];
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;
	bool grant_changed;

	alive_key(key, recovery);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->revision != 0)
		return false;
	member_key(key, recovery);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->revision != recovery->member_rev)
		return false;
	kv = store_result_find(result, grant->key);
	grant_changed = kv != NULL && kv->revision != grant->revision;
	if (kv != NULL) {
		grant->revision = kv->revision;
		grant->record = kv->record;
	}
	split_grant_key(grant->key, account, budget);
	budget_key(key, account, budget);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->record.kind == RECORD_BUDGET) {
		recovery->budget_rev = kv->revision;
		recovery->budget = kv->record.u.budget;
	}
	drop_recorded(recovery, result, grant_changed);
	return true;
}

/* Handles a call whose expectations held. */
static void handle_committed(ledger_t *ledger, recovery_t *recovery,
			     int64_t revision)
{
	store_kv_t *grant = current_grant(recovery);

	if (recovery->read_only && recovery->budget_rev == 0) {
		log_event(LOG_LEVEL_ERROR, "ledger", "budget_missing",
			  "grant=%s", grant->key);
		recovery->grant_index++;
		recovery_next_grant(ledger, recovery);
		return;
	}
	if (recovery->read_only) {
		recovery->bills_checked += recovery->batch_len;
		recovery_continue(ledger, recovery);
		return;
	}
	recovery->wrote = true;
	if (recovery->finishes_grant) {
		metrics_add(ledger->kernel->metrics, COUNTER_GRANTS_RECOVERED,
			    recovery->return_unspent);
		recovery->grant_index++;
		recovery_next_grant(ledger, recovery);
		return;
	}
	grant->record.u.grant = plan_grant(recovery);
	grant->revision = revision;
	g_array_remove_range(recovery->bills, 0, recovery->batch_len);
	recovery->bills_checked -= recovery->batch_len;
	recovery_write(ledger, recovery);
}

static void handle_grant(ledger_t *ledger, recovery_t *recovery,
			 const store_result_t *result)
{
	const record_t *grant = &current_grant(recovery)->record;

	recovery->outcome_unknown = false;
	if (store_result_committed(result, 0)) {
		handle_committed(ledger, recovery, result->revision);
		return;
	}
	if (!adopt_values(recovery, result)) {
		/* The owner is back or has another buddy. */
		recovery_end(ledger, recovery, false);
		return;
	}
	if (grant->kind == RECORD_GRANT &&
	    !(grant->u.grant.recovered && !recovery->close_grants) &&
	    recovery->budget_rev != 0) {
		recovery_continue(ledger, recovery);
		return;
	}
	recovery->grant_index++;
	recovery_next_grant(ledger, recovery);
}

void recovery_result(ledger_t *ledger, handle_t handle,
		     const store_result_t *result)
{
	recovery_t *recovery = table_get(&ledger->recoveries, handle);

	if (recovery == NULL)
		return;
	if (result->status != STORE_OK) {
		if (recovery->step == RECOVERY_GRANT &&
		    result->status == STORE_UNKNOWN)
			recovery->outcome_unknown = true;
		recovery_wait(ledger, recovery, RECOVERY_RETRY_US);
		return;
	}
	switch (recovery->step) {
	case RECOVERY_WAIT:
		break;
	case RECOVERY_MEMBER:
		handle_member(ledger, recovery, result);
		break;
	case RECOVERY_BUDDY:
		handle_buddy(ledger, recovery, result);
		break;
	case RECOVERY_LIST:
		handle_list(ledger, recovery, result);
		break;
	case RECOVERY_GRANT:
		handle_grant(ledger, recovery, result);
		break;
	case RECOVERY_DELETE:
		g_hash_table_remove(ledger->withheld, recovery->incarnation);
		recovery_end(ledger, recovery, true);
		break;
	}
}

void recovery_timer(ledger_t *ledger, handle_t handle)
{
	recovery_t *recovery = table_get(&ledger->recoveries, handle);
	int64_t delay;

	if (recovery == NULL)
		return;
	recovery->timer = HANDLE_NONE;
	switch (recovery->step) {
	case RECOVERY_WAIT:
		delay = recovery_delay(ledger, recovery);
		if (delay < 0)
			recovery_free(ledger, recovery);
		else if (delay > 0)
			recovery_wait(ledger, recovery, delay);
		else if (!lease_ready(ledger))
			recovery_wait(ledger, recovery, RECOVERY_RETRY_US);
		else
			recovery_begin(ledger, recovery);
		break;
	case RECOVERY_MEMBER:
	case RECOVERY_BUDDY:
		recovery_begin(ledger, recovery);
		break;
	case RECOVERY_LIST:
		recovery_list_grants(ledger, recovery);
		break;
	case RECOVERY_GRANT:
		recovery_write(ledger, recovery);
		break;
	case RECOVERY_DELETE:
		recovery_delete_member(ledger, recovery);
		break;
	}
}

/* The last buddy is read from the member record, which can't be stale. */
void recovery_member_expired(ledger_t *ledger, const msg_t *msg)
{
	const char *incarnation = msg->u.expired.incarnation;
	recovery_t *recovery = recovery_find(ledger, incarnation);

	if (strcmp(incarnation, ledger->opts.incarnation) == 0 ||
	    withheld_is_recent(ledger, incarnation))
		return;
	if (recovery == NULL)
		recovery = recovery_new(ledger, incarnation);
	recovery->instance_gone |= msg->u.expired.instance_gone;
	if (recovery->step == RECOVERY_WAIT)
		recovery_wait(ledger, recovery, 0);
}

/*
 * Starts to record the bills copied here, and returns true while any are left.
 * A bill that its owner records at the same time is recorded once: each writer
 * expects the grant's revision and no record of the bill.
 */
bool recovery_settle_copies(ledger_t *ledger)
{
	uint32_t cursor = 0;
	bool left = false;
	const copy_in_t *copies;
	recovery_t *recovery;

	while ((copies = table_next(&ledger->copies_in, &cursor, NULL)) !=
	       NULL) {
		if (copies->bills->len == 0)
			continue;
		left = true;
		recovery = recovery_find(ledger, copies->incarnation);
		if (recovery == NULL)
			recovery = recovery_new(ledger, copies->incarnation);
		if (recovery->step != RECOVERY_WAIT || recovery->copies_only)
			continue;
		log_event(LOG_LEVEL_INFO, "ledger", "settle_copies",
			  "member=%s bills=%u", log_quote(copies->incarnation),
			  copies->bills->len);
		recovery->copies_only = true;
		recovery_wait(ledger, recovery, 0);
	}
	return left;
}
