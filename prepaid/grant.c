#include "prepaid/grant.h"

#include "log/log.h"
#include "prepaid/restore.h"

#include <string.h>

/* Delay after a call that failed or whose result is unknown. */
#define STORE_RETRY_US (250 * USEC_PER_MSEC)
/*
 * Limit on the random delay after a conflict with another instance's write.
 * The limit doubles with each consecutive conflict.  The delay is random so
 * that the same instances do not conflict again.
 */
#define CONFLICT_DELAY_US (4 * USEC_PER_MSEC)
#define CONFLICT_DELAY_MAX_US (64 * USEC_PER_MSEC)
#define CONFLICT_SHIFT_MAX 10 /* avoids an overflow; the delay is capped */
/* Time that a reservation waits for peers if the store is not available. */
#define STORE_WAIT_US (350 * USEC_PER_MSEC)

static void record_key(const prepaid_account_t *account,
		       char key[STORE_KEY_SIZE])
{
	g_snprintf(key, STORE_KEY_SIZE, RECORD_KEY_PREFIX "%s", account->name);
}

static void read_record(prepaid_t *prepaid, prepaid_account_t *account)
{
	msg_t msg = {.kind = MSG_STORE_GET, .id = account->self};

	record_key(account, msg.u.store_get.key);
	account->call_pending = true;
	kernel_post(prepaid->kernel, prepaid->svc, prepaid->store, &msg);
}

static void write_record(prepaid_t *prepaid, prepaid_account_t *account,
			 int64_t granted, bool close)
{
	msg_t msg = {.kind = MSG_STORE_TXN, .id = account->self};
	record_t record = {.kind = RECORD_ALLOCATION};
	char key[STORE_KEY_SIZE];

	record_key(account, key);
	record.u.allocation =
		account_next_record(account, &prepaid->opts, granted, close);
	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	/* A record that was never read is expected to be absent in this era. */
	store_txn_put(msg.u.store_txn, key,
		      account->revision != 0 || prepaid->era < 0
			      ? account->revision
			      : revision_make(prepaid->era, 0),
		      0, &record);
	record_clear(&record);
	account->call_pending = true;
	account->call_closes = close;
	account->call_granted = granted;
	account->call_saves = account->unsaved;
	account->unsaved = false;
	kernel_post(prepaid->kernel, prepaid->svc, prepaid->store, &msg);
}

static void extend_grant(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t available = account_available(account);
	int64_t unallocated = account_unallocated(account);
	int64_t headroom, want;
	fleet_share_t share;

	account->headroom_limit = -1;
	share = sharing_fleet_share(prepaid, account);
	headroom =
		account_headroom(account, &share, kernel_now(prepaid->kernel));
	want = reservations_total(account) + headroom - available;
	if (account->waiting.length == 0 &&
	    available >= headroom / REFILL_DIVISOR)
		return;
	if (account->waiting.length > 0 &&
	    reservations_min_shortfall(account) > unallocated) {
		if (kernel_now(prepaid->kernel) - account->read_at >
		    RECORD_MAX_AGE_US)
			read_record(prepaid, account);
		else
			sharing_exhausted(prepaid, account);
		return;
	}
	want = MIN(want, unallocated);
	if (want <= 0)
		return;
	metrics_add(prepaid->kernel->metrics, COUNTER_GRANTS_TAKEN, 1);
	write_record(prepaid, account,
		     account_recorded_grant(account, &prepaid->opts) + want,
		     false);
}

/* A write whose result is unknown may have created a grant. */
static bool may_hold_grant(const prepaid_account_t *account)
{
	return account->granted > 0 || account->call_granted > 0;
}

static void close_grant(prepaid_t *prepaid, prepaid_account_t *account)
{
	if (account->granted == 0)
		return;
	metrics_add(prepaid->kernel->metrics, COUNTER_GRANTS_RETURNED, 1);
	account->grant_closed = true;
	write_record(prepaid, account, account_grant_used(account), true);
}

static void wait_for_store(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t retry_at = MAX(account->retry_at, prepaid->retry_at);
	int64_t wait = MAX(retry_at - kernel_now(prepaid->kernel),
			   restore_settles_in(prepaid));

	/* Without store and peers, only a retry by the caller can succeed. */
	if (!prepaid->store_up && peer_set_count(&prepaid->peers) == 0) {
		reservations_refuse_all(prepaid, account);
		return;
	}
	/* A store that is down needs no timer: an event reports its return. */
	if (prepaid->store_up && handle_is_none(account->retry_timer))
		account->retry_timer = kernel_timer(
			prepaid->kernel, prepaid->svc, MAX(wait, 0),
			account->self, PREPAID_TIMER_RETRY);
	/* After a conflict a retry follows soon, so no peers are asked. */
	if (!restore_is_settling(prepaid) && account->conflicts > 0 &&
	    account->revision != REVISION_UNKNOWN)
		return;
	for (GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		sharing_request_slices(prepaid, link->data, STORE_WAIT_US);
}

void grant_advance(prepaid_t *prepaid, prepaid_account_t *account)
{
	reservations_serve(prepaid, account);
	if (prepaid->stopping && !account->grant_closed)
		sharing_return_transfers(prepaid, account);
	if (account->grant_closed || prepaid->stopped)
		reservations_refuse_all(prepaid, account);
	if (prepaid->stopped || account->call_pending ||
	    account->refill_pending)
		return;
	if (sharing_has_home(prepaid, account)) {
		sharing_request_refill(prepaid, account);
		return;
	}
	restore_settle(prepaid);
	if (!prepaid->store_up ||
	    (restore_is_settling(prepaid) && !prepaid->stopping) ||
	    kernel_now(prepaid->kernel) <
		    MAX(account->retry_at, prepaid->retry_at))
		wait_for_store(prepaid, account);
	else if (account->revision == REVISION_UNKNOWN &&
		 (account->waiting.length > 0 ||
		  (prepaid->stopping && may_hold_grant(account))))
		read_record(prepaid, account);
	else if (prepaid->stopping && account->waiting.length == 0)
		close_grant(prepaid, account);
	else if (account->revision != REVISION_UNKNOWN)
		extend_grant(prepaid, account);
}

static void back_off(prepaid_t *prepaid, prepaid_account_t *account)
{
	account->retry_at = kernel_now(prepaid->kernel) + STORE_RETRY_US;
}

static void back_off_conflict(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t limit = CONFLICT_DELAY_US
			<< MIN(account->conflicts, CONFLICT_SHIFT_MAX);

	account->conflicts++;
	limit = MIN(limit, CONFLICT_DELAY_MAX_US);
	account->retry_at =
		kernel_now(prepaid->kernel) +
		(int64_t)kernel_random_below(prepaid->kernel, (uint64_t)limit);
}

void grant_save(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t now = kernel_now(prepaid->kernel);

	if (!account->unsaved || prepaid->stopped)
		return;
	if (!prepaid->store_up || account->call_pending ||
	    now < MAX(account->retry_at, prepaid->retry_at)) {
		restore_schedule_save(prepaid, account, STORE_RETRY_US);
		return;
	}
	/* No changes of records arrive in a large fleet. */
	if (account->revision == REVISION_UNKNOWN ||
	    (peer_set_is_large(&prepaid->peers) &&
	     now - account->read_at > STORE_RETRY_US)) {
		account->saving = true;
		read_record(prepaid, account);
		return;
	}
	log_event(LOG_LEVEL_INFO, "prepaid", "save",
		  "account=%s revision=" REVISION_FORMAT
		  " unallocated=%" G_GINT64_FORMAT,
		  account->name, REVISION_ARGS(account->revision),
		  account_unallocated(account));
	write_record(prepaid, account, account->granted, false);
}

static void write_committed(prepaid_t *prepaid, prepaid_account_t *account,
			    int64_t revision)
{
	record_allocation_t *next = account_next_record(account, &prepaid->opts,
							account->call_granted,
							account->call_closes);

	allocation_free(account->record);
	account->record = next;
	account->revision = revision;
	account->read_at = kernel_now(prepaid->kernel);
	account->conflicts = 0;
	account->granted = account->call_closes ? 0 : account->call_granted;
	account->call_saves = false;
	restore_announce_grant(prepaid, account);
	log_event(LOG_LEVEL_DEBUG, "prepaid",
		  account->call_closes ? "returned" : "taken",
		  "account=%s granted=%" G_GINT64_FORMAT
		  " unallocated=%" G_GINT64_FORMAT " revision=" REVISION_FORMAT,
		  account->name, account->call_granted,
		  account_unallocated(account), REVISION_ARGS(revision));
}

static void update_from_result(prepaid_t *prepaid, prepaid_account_t *account,
			       const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	record_key(account, key);
	kv = store_result_find(result, key);
	if (kv == NULL) {
		account->revision = REVISION_UNKNOWN;
		back_off(prepaid, account);
		return;
	}
	account_update(account, &kv->record, kv->revision);
	account_adopt_grant(account, &prepaid->opts);
	account->read_at = kernel_now(prepaid->kernel);
}

static void note_result_era(prepaid_t *prepaid, const store_result_t *result)
{
	restore_note_era(prepaid, revision_era(result->revision));
	for (guint i = 0; i < result->kvs->len; i++)
		restore_note_era(
			prepaid,
			revision_era(g_array_index(result->kvs, store_kv_t, i)
					     .revision));
}

void grant_store_result(prepaid_t *prepaid, prepaid_account_t *account,
			const store_result_t *result)
{
	store_status_t status = result->status;

	account->call_pending = false;
	note_result_era(prepaid, result);
	if (store_result_committed(result, 0) &&
	    revision_era(result->revision) < prepaid->era)
		status = STORE_UNKNOWN; /* lost by a restore since */
	switch (status) {
	case STORE_OK:
		if (store_result_committed(result, 0)) {
			write_committed(prepaid, account, result->revision);
			break;
		}
		update_from_result(prepaid, account, result);
		/* The result of a read has no entry for a write. */
		if (result->committed->len > 0)
			back_off_conflict(prepaid, account);
		break;
	case STORE_UNKNOWN:
		/*
		 * The write may still take effect, so the record is read
		 * before the next one.
		 */
		account->revision = REVISION_UNKNOWN;
		back_off(prepaid, account);
		break;
	case STORE_UNAVAILABLE:
		/* Calls for other accounts would fail too and are delayed. */
		account->conflicts = 0;
		prepaid->retry_at =
			kernel_now(prepaid->kernel) + STORE_RETRY_US;
		break;
	case STORE_INVALID:
	case STORE_COMPACTED:
	case STORE_TOO_LARGE:
		account->conflicts = 0;
		back_off(prepaid, account);
		break;
	}
	account->call_closes = false;
	account->unsaved |= account->call_saves;
	account->call_saves = false;
	if (account->unsaved)
		restore_schedule_save(prepaid, account,
				      account->saving ? 0 : STORE_RETRY_US);
	account->saving = false;
	grant_advance(prepaid, account);
}
