#include "ledger/local.h"
#include "log/log.h"

#include <string.h>

#define JOB_RETRY (500 * USEC_PER_MSEC)
/* Routers with copies come first; the others look again after this. */
#define WAIT_WITHOUT_COPIES (5 * USEC_PER_SEC)
/*
 * A buddy that stays cut off from the store this long is not waited for: two
 * routers that were each other's buddies may both be gone.
 */
#define BUDDY_WAIT_MAX (1800 * USEC_PER_SEC)
static job_t *job_find(const ledger_t *ledger, const char *incarnation)
{
	return table_get(&ledger->jobs,
			 handle_unpack(g_hash_table_lookup(ledger->job_names,
							   incarnation)));
}

/* Copies must not be accepted while their writer's grants are recovered. */
bool recover_is_active(const ledger_t *ledger, const char *incarnation)
{
	const job_t *job = job_find(ledger, incarnation);

	return job != NULL && job->step != JOB_WAIT;
}

void recover_free(ledger_t *ledger, job_t *job)
{
	g_hash_table_remove(ledger->job_names, job->incarnation);
	kernel_timer_cancel(ledger->kernel, &job->timer);
	g_array_unref(job->grants);
	g_array_unref(job->bills);
	table_remove(&ledger->jobs, job->handle);
}

static void clear_kv(gpointer data)
{
	store_kv_t *kv = data;

	record_clear(&kv->record);
}

static job_t *job_new(ledger_t *ledger, const char *incarnation)
{
	job_t *job;
	handle_t handle = table_add(&ledger->jobs, (void **)&job);

	job->handle = handle;
	g_strlcpy(job->incarnation, incarnation, sizeof(job->incarnation));
	job->since = kernel_now(ledger->kernel);
	job->began = job->since;
	job->grants = g_array_new(FALSE, TRUE, sizeof(store_kv_t));
	g_array_set_clear_func(job->grants, clear_kv);
	job->bills = g_array_new(FALSE, FALSE, sizeof(bill_t));
	g_hash_table_insert(ledger->job_names, g_strdup(incarnation),
			    handle_pack(handle));
	return job;
}

static void job_wait(ledger_t *ledger, job_t *job, int64_t delay)
{
	kernel_timer_cancel(ledger->kernel, &job->timer);
	job->timer = kernel_timer(ledger->kernel, ledger->self, delay,
				  job->handle, TIMER_JOB);
}

static bool has_copies(const ledger_t *ledger, const job_t *job)
{
	const holder_t *holder = holder_find(ledger, job->incarnation);

	return holder != NULL && holder->session != 0;
}

/* Returns how long the job must still wait, 0 to begin, -1 to give up. */
static int64_t job_delay(const ledger_t *ledger, const job_t *job)
{
	const holder_t *holder = holder_find(ledger, job->incarnation);
	int64_t now = kernel_now(ledger->kernel);
	int64_t silence = 2 * ledger->opts.buddy_valid_us;

	if (has_copies(ledger, job))
		return MAX(holder->heard_at + silence - now, 0);
	if (!job->instance_gone)
		return -1;
	return MAX(job->since + WAIT_WITHOUT_COPIES - now, 0);
}

static void job_get(ledger_t *ledger, job_t *job, const char *key, bool prefix)
{
	msg_t msg = {.kind = MSG_STORE_GET};
	call_t *call = call_new(ledger, CALL_JOB);

	call->job = job->handle;
	msg.id = call->handle;
	g_strlcpy(msg.u.store_get.key, key, sizeof(msg.u.store_get.key));
	msg.u.store_get.prefix = prefix;
	kernel_post(ledger->kernel, ledger->self, ledger->store, &msg);
}

static void member_key(char out[STORE_KEY_SIZE], const job_t *job)
{
	g_snprintf(out, STORE_KEY_SIZE, "member/%s", job->incarnation);
}

static void alive_key(char out[STORE_KEY_SIZE], const job_t *job)
{
	g_snprintf(out, STORE_KEY_SIZE, "alive/%s", job->incarnation);
}

static void job_begin(ledger_t *ledger, job_t *job)
{
	holder_t *holder = holder_find(ledger, job->incarnation);
	char key[STORE_KEY_SIZE];

	if (holder != NULL)
		holder_raise_floor(ledger, holder);
	job->step = JOB_MEMBER;
	job->closing = job->instance_gone;
	member_key(key, job);
	job_get(ledger, job, key, false);
}

static void job_list(ledger_t *ledger, job_t *job)
{
	char key[STORE_KEY_SIZE];

	job->step = JOB_LIST;
	job->next = 0;
	job->progress = false;
	g_array_set_size(job->grants, 0);
	g_snprintf(key, sizeof(key), "grant/%s/", job->incarnation);
	job_get(ledger, job, key, true);
}

/* Ends the job; copies that are now in the store are forgotten. */
static void job_end(ledger_t *ledger, job_t *job, bool settled)
{
	holder_t *holder = holder_find(ledger, job->incarnation);

	if (holder != NULL) {
		if (settled)
			g_array_set_size(holder->bills, 0);
		holder_raise_floor(ledger, holder);
		holder->session = 0;
	}
	recover_free(ledger, job);
}

/* Adds the expectations that the owner is not back and its buddy the same. */
static void add_checks(store_txn_t *txn, const job_t *job)
{
	char key[STORE_KEY_SIZE];

	alive_key(key, job);
	store_txn_check(txn, key, EXPECT_ABSENT);
	member_key(key, job);
	store_txn_check(txn, key, job->member_rev);
}

static void job_forget(ledger_t *ledger, job_t *job)
{
	call_t *call = call_new(ledger, CALL_JOB);
	store_txn_t *txn = store_txn_new();
	char key[STORE_KEY_SIZE];

	job->step = JOB_FORGET;
	call->job = job->handle;
	store_txn_group(txn);
	alive_key(key, job);
	store_txn_check(txn, key, EXPECT_ABSENT);
	member_key(key, job);
	store_txn_delete(txn, key, job->member_rev);
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

static store_kv_t *job_grant(const job_t *job)
{
	return &g_array_index(job->grants, store_kv_t, job->next);
}

/*
 * Adds a copied bill.  Of two with the same key the first was not recorded
 * for its own sake: only the last one may count.
 */
static void collect_bill(job_t *job, const bill_t *bill)
{
	for (guint i = 0; i < job->bills->len; i++) {
		bill_t *other = &g_array_index(job->bills, bill_t, i);

		if (bill_is_same(other, bill)) {
			*other = *bill;
			return;
		}
	}
	g_array_append_vals(job->bills, bill, 1);
}

/* The copied bills of the present grant. */
static void collect_bills(ledger_t *ledger, job_t *job)
{
	const holder_t *holder = holder_find(ledger, job->incarnation);
	char account[NAME_SIZE];
	char budget[NAME_SIZE];

	g_array_set_size(job->bills, 0);
	job->budget_rev = 0;
	job->checked = 0;
	job->doubt = false;
	if (holder == NULL ||
	    !split_grant_key(job_grant(job)->key, account, budget))
		return;
	for (guint i = 0; i < holder->bills->len; i++) {
		const bill_t *bill = &g_array_index(holder->bills, bill_t, i);

		if (strcmp(bill->client_account, account) == 0 &&
		    strcmp(bill->budget, budget) == 0)
			collect_bill(job, bill);
	}
}

/*
 * The grant after the next write, which settles the bills that fit.  All do
 * unless the owner has broken its grant: bills billed elsewhere are out.
 */
static record_grant_t next_grant(job_t *job)
{
	record_grant_t grant = job_grant(job)->record.u.grant;
	guint i = 0;

	while (i < job->bills->len && i < GROUP_BILLS_MAX) {
		int64_t tokens = g_array_index(job->bills, bill_t, i).tokens;

		if (tokens < 0 || tokens > grant.granted - grant.settled) {
			log_event(LOG_LEVEL_ERROR, "ledger", "copy_too_large",
				  "grant=%s", job_grant(job)->key);
			g_array_remove_index(job->bills, i);
			continue;
		}
		grant.settled += tokens;
		i++;
	}
	job->attempt_from = 0;
	job->attempt_bills = i;
	job->last = i == job->bills->len;
	grant.op = job->op;
	return grant;
}

static void add_bills(ledger_t *ledger, store_txn_t *txn, const job_t *job)
{
	char key[STORE_KEY_SIZE];
	record_t record;

	for (guint i = 0; i < job->attempt_bills; i++) {
		const bill_t *bill = &g_array_index(job->bills, bill_t,
						    job->attempt_from + i);

		ledger_bill_key(key, bill);
		if (job->checking) {
			store_txn_check(txn, key, EXPECT_ABSENT);
			continue;
		}
		bill_record(&record, job->incarnation, bill);
		store_txn_put(txn, key, EXPECT_ABSENT, ledger->bill_lease,
			      &record);
	}
}

/* Writes the grant as recovered or closed, and the budget with it. */
static void add_return(store_txn_t *txn, job_t *job, record_grant_t *grant,
		       const char *budget_name)
{
	int64_t rest = grant_rest(grant);
	int64_t keep = grant_withheld(grant);
	record_t record = {.kind = RECORD_BUDGET};
	record_t grant_record = {.kind = RECORD_GRANT};
	int64_t revision = job_grant(job)->revision;

	record.u.budget = job->budget;
	if (job->closing && keep == 0) {
		record.u.budget.granted -= rest;
		record.u.budget.retired += grant->settled;
		store_txn_delete(txn, job_grant(job)->key, revision);
	} else {
		record.u.budget.granted -= rest - keep;
		grant->granted = grant->settled + keep;
		grant->recovered = true;
		grant_record.u.grant = *grant;
		store_txn_put(txn, job_grant(job)->key, revision, 0,
			      &grant_record);
	}
	store_txn_put(txn, budget_name, job->budget_rev, 0, &record);
}

/* Reads the budget and whether copied bills are in the store already. */
static void add_reads(store_txn_t *txn, job_t *job, const char *budget_name)
{
	job->attempt_from = job->checked;
	job->attempt_bills =
		MIN(job->bills->len - job->checked, GROUP_BILLS_MAX);
	store_txn_check(txn, budget_name, job->budget_rev);
	store_txn_check(txn, job_grant(job)->key, job_grant(job)->revision);
}

static void add_writes(store_txn_t *txn, job_t *job, const char *budget_name)
{
	record_t record = {.kind = RECORD_GRANT};
	record_grant_t grant;

	grant = next_grant(job);
	if (job->last && job->give_back) {
		add_return(txn, job, &grant, budget_name);
		return;
	}
	record.u.grant = grant;
	store_txn_put(txn, job_grant(job)->key, job_grant(job)->revision, 0,
		      &record);
	store_txn_check(txn, budget_name, job->budget_rev);
}

static void job_write(ledger_t *ledger, job_t *job)
{
	char account[NAME_SIZE] = "";
	char budget[NAME_SIZE] = "";
	char key[STORE_KEY_SIZE];
	call_t *call = call_new(ledger, CALL_JOB);
	store_txn_t *txn = store_txn_new();

	call->job = job->handle;
	split_grant_key(job_grant(job)->key, account, budget);
	budget_key(key, account, budget);
	job->checking = job->budget_rev == 0 || job->checked < job->bills->len;
	if (!job->doubt)
		job->op = next_op(ledger);
	store_txn_group(txn);
	add_checks(txn, job);
	if (job->checking)
		add_reads(txn, job, key);
	else
		add_writes(txn, job, key);
	add_bills(ledger, txn, job);
	call_post_txn(ledger, call, txn);
}

/* Goes on with the next grant that is left to do. */
static void job_next(ledger_t *ledger, job_t *job)
{
	char account[NAME_SIZE];
	char budget[NAME_SIZE];

	for (; job->next < job->grants->len; job->next++) {
		const store_kv_t *kv = job_grant(job);

		if (kv->record.kind != RECORD_GRANT ||
		    !split_grant_key(kv->key, account, budget) ||
		    (kv->record.u.grant.recovered && !job->closing))
			continue;
		collect_bills(ledger, job);
		if (job->bills->len == 0 &&
		    (!job->give_back || grant_is_withheld(&kv->record.u.grant)))
			continue;
		job->step = JOB_GRANT;
		job_write(ledger, job);
		return;
	}
	withheld_note(ledger, job);
	if (job->instance_gone && !job->closing)
		job_begin(ledger, job);
	else if (job->closing && job->progress)
		job_list(ledger, job);
	else
		job_end(ledger, job, job->give_back);
}

/* The copied bills may have turned out to be in the store already. */
static void job_go_on(ledger_t *ledger, job_t *job)
{
	if (job->bills->len > 0 ||
	    !grant_is_withheld(&job_grant(job)->record.u.grant)) {
		job_write(ledger, job);
		return;
	}
	job->next++;
	job_next(ledger, job);
}

static void get_buddy(ledger_t *ledger, job_t *job)
{
	char key[STORE_KEY_SIZE];

	job->step = JOB_BUDDY;
	g_snprintf(key, sizeof(key), "member/%s", job->buddy);
	job_get(ledger, job, key, false);
}

/* The buddy may hold bills, so it comes first unless it is gone as well. */
static bool must_ask_for_buddy(const ledger_t *ledger, const job_t *job)
{
	const job_t *other = job_find(ledger, job->buddy);

	return job->buddy[0] != '\0' &&
	       strcmp(job->buddy, ledger->opts.incarnation) != 0 &&
	       (other == NULL || !other->instance_gone) &&
	       kernel_now(ledger->kernel) - job->began < BUDDY_WAIT_MAX;
}

static void handle_member(ledger_t *ledger, job_t *job,
			  const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	member_key(key, job);
	kv = store_result_find(result, key);
	job->member_rev = kv == NULL ? 0 : kv->revision;
	job->buddy[0] = '\0';
	if (kv != NULL && kv->record.kind == RECORD_MEMBER)
		g_strlcpy(job->buddy, kv->record.u.member.buddy,
			  sizeof(job->buddy));
	/* Without being the buddy it only records the bills copied here. */
	job->give_back = job->closing ||
			 strcmp(job->buddy, ledger->opts.incarnation) == 0;
	if (job->closing && must_ask_for_buddy(ledger, job))
		get_buddy(ledger, job);
	else
		job_list(ledger, job);
}

static void handle_buddy(ledger_t *ledger, job_t *job,
			 const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	g_snprintf(key, sizeof(key), "member/%s", job->buddy);
	kv = store_result_find(result, key);
	if (kv == NULL || kv->revision == 0) {
		job_list(ledger, job);
		return;
	}
	job->step = JOB_WAIT;
	job->since = kernel_now(ledger->kernel);
	job_wait(ledger, job, WAIT_WITHOUT_COPIES);
}

static void handle_list(ledger_t *ledger, job_t *job,
			const store_result_t *result)
{
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		if (kv->revision != 0)
			g_array_append_vals(job->grants, kv, 1);
	}
	if (result->more)
		return;
	if (job->grants->len == 0 && job->closing && job->member_rev != 0)
		job_forget(ledger, job);
	else if (job->grants->len == 0)
		job_end(ledger, job, true);
	else
		job_next(ledger, job);
}

static void drop_present(job_t *job, const store_result_t *result)
{
	char key[STORE_KEY_SIZE];

	for (guint i = job->attempt_bills; i > 0; i--) {
		guint at = job->attempt_from + i - 1;
		const bill_t *bill = &g_array_index(job->bills, bill_t, at);
		const store_kv_t *kv;

		ledger_bill_key(key, bill);
		kv = store_result_find(result, key);
		if (kv == NULL || kv->revision == 0)
			continue;
		g_array_remove_index(job->bills, at);
		job->attempt_bills--;
	}
	job->checked =
		MAX(job->checked, job->attempt_from + job->attempt_bills);
	job->checked = MIN(job->checked, job->bills->len);
}

/* Takes over what the store holds; bills already there are left out. */
static bool refresh(job_t *job, const store_result_t *result)
{
	store_kv_t *grant = job_grant(job);
	char account[NAME_SIZE];
	char budget[NAME_SIZE];
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	alive_key(key, job);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->revision != 0)
		return false;
	member_key(key, job);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->revision != job->member_rev)
		return false;
	kv = store_result_find(result, grant->key);
	if (kv != NULL) {
		grant->revision = kv->revision;
		grant->record = kv->record;
	}
	split_grant_key(grant->key, account, budget);
	budget_key(key, account, budget);
	kv = store_result_find(result, key);
	if (kv != NULL && kv->record.kind == RECORD_BUDGET) {
		job->budget_rev = kv->revision;
		job->budget = kv->record.u.budget;
	}
	drop_present(job, result);
	return true;
}

/* The call has taken effect as planned. */
static void handle_committed(ledger_t *ledger, job_t *job, int64_t revision)
{
	store_kv_t *grant = job_grant(job);

	if (job->checking && job->budget_rev == 0) {
		log_event(LOG_LEVEL_ERROR, "ledger", "budget_missing",
			  "grant=%s", grant->key);
		job->next++;
		job_next(ledger, job);
		return;
	}
	if (job->checking) {
		job->checked += job->attempt_bills;
		job_go_on(ledger, job);
		return;
	}
	job->progress = true;
	if (job->last) {
		metrics_add(ledger->kernel->metrics, COUNTER_GRANTS_RECOVERED,
			    job->give_back);
		job->next++;
		job_next(ledger, job);
		return;
	}
	grant->record.u.grant = next_grant(job);
	grant->revision = revision;
	g_array_remove_range(job->bills, 0, job->attempt_bills);
	job->checked -= job->attempt_bills;
	job_write(ledger, job);
}

static void handle_grant(ledger_t *ledger, job_t *job,
			 const store_result_t *result)
{
	const record_t *grant = &job_grant(job)->record;

	job->doubt = false;
	if (store_result_committed(result, 0)) {
		handle_committed(ledger, job, result->revision);
		return;
	}
	if (!refresh(job, result)) {
		/* The owner is back, or another router is its buddy. */
		job_end(ledger, job, false);
		return;
	}
	if (grant->kind == RECORD_GRANT &&
	    !(grant->u.grant.recovered && !job->closing) &&
	    job->budget_rev != 0) {
		job_go_on(ledger, job);
		return;
	}
	job->next++;
	job_next(ledger, job);
}

void recover_result(ledger_t *ledger, handle_t handle,
		    const store_result_t *result)
{
	job_t *job = table_get(&ledger->jobs, handle);

	if (job == NULL)
		return;
	if (result->status != STORE_OK) {
		if (job->step == JOB_GRANT && result->status == STORE_UNKNOWN)
			job->doubt = true;
		job_wait(ledger, job, JOB_RETRY);
		return;
	}
	switch (job->step) {
	case JOB_WAIT:
		break;
	case JOB_MEMBER:
		handle_member(ledger, job, result);
		break;
	case JOB_BUDDY:
		handle_buddy(ledger, job, result);
		break;
	case JOB_LIST:
		handle_list(ledger, job, result);
		break;
	case JOB_GRANT:
		handle_grant(ledger, job, result);
		break;
	case JOB_FORGET:
		g_hash_table_remove(ledger->withheld, job->incarnation);
		job_end(ledger, job, true);
		break;
	}
}

void recover_timer(ledger_t *ledger, handle_t handle)
{
	job_t *job = table_get(&ledger->jobs, handle);
	int64_t delay;

	if (job == NULL)
		return;
	job->timer = HANDLE_NONE;
	switch (job->step) {
	case JOB_WAIT:
		delay = job_delay(ledger, job);
		if (delay < 0)
			recover_free(ledger, job);
		else if (delay > 0)
			job_wait(ledger, job, delay);
		else if (!lease_ready(ledger))
			job_wait(ledger, job, JOB_RETRY);
		else
			job_begin(ledger, job);
		break;
	case JOB_MEMBER:
	case JOB_BUDDY:
		job_begin(ledger, job);
		break;
	case JOB_LIST:
		job_list(ledger, job);
		break;
	case JOB_GRANT:
		job_write(ledger, job);
		break;
	case JOB_FORGET:
		job_forget(ledger, job);
		break;
	}
}

/* Who the buddy was is read from the member record, which can't be stale. */
void recover_gone(ledger_t *ledger, const msg_t *msg)
{
	const char *incarnation = msg->u.expired.incarnation;
	job_t *job = job_find(ledger, incarnation);

	if (strcmp(incarnation, ledger->opts.incarnation) == 0 ||
	    withheld_is_known(ledger, incarnation))
		return;
	if (job == NULL)
		job = job_new(ledger, incarnation);
	job->instance_gone |= msg->u.expired.instance_gone;
	if (job->step == JOB_WAIT)
		job_wait(ledger, job, 0);
}
