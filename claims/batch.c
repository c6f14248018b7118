/*
 * Group commit of the claims service: collects pending writes into store
 * transactions, handles their results and obtains the lease of the records.
 */
#include "claims/claim.h"

#include <string.h>

#define GROUPS_MAX 100 /* claims in one transaction */
/* Outcome bytes in one transaction; the store limits values to 1 MB. */
#define CALL_OUTCOME_BYTES_MAX ((size_t)524288)
/*
 * A claim expires 48 hours after its write, plus or minus two hours: one lease
 * serves the claims of one hour, and of a second hour if the store is down.
 */
#define LEASE_TTL_S (50 * 3600)
#define LEASE_RENEW_AGE_US (3600 * USEC_PER_SEC)
#define LEASE_MAX_AGE_US (2 * LEASE_RENEW_AGE_US)
#define INVALID_MAX 3 /* retries of a write rejected as malformed */
#define BACKOFF_FIRST_US (20 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (2 * USEC_PER_SEC)
/* Kinds of store call, used as the index in the handle of a call. */
#define CALL_TXN 1
#define CALL_LEASE 2

void batch_enqueue(claims_svc_t *claims, claim_t *claim)
{
	if (claim->is_waiting)
		return;
	claim->is_waiting = true;
	g_queue_push_tail_link(&claims->waiting, &claim->link);
}

void batch_dequeue(claims_svc_t *claims, claim_t *claim)
{
	if (!claim->is_waiting)
		return;
	claim->is_waiting = false;
	g_queue_unlink(&claims->waiting, &claim->link);
}

static handle_t new_call(claims_svc_t *claims, uint32_t kind)
{
	uint32_t gen = (uint32_t)++claims->call_seq;

	/* Generation 0 is reserved for "no call". */
	if (gen == 0)
		gen = (uint32_t)++claims->call_seq;
	return (handle_t){kind, gen};
}

/* Delays the next call so that the store can recover. */
static void back_off(claims_svc_t *claims)
{
	int64_t delay = BACKOFF_FIRST_US;

	for (uint32_t i = 0; i < claims->failures && delay < BACKOFF_MAX_US;
	     i++)
		delay *= 2;
	delay = MIN(delay, BACKOFF_MAX_US);
	delay = delay / 2 + (int64_t)kernel_random_below(
				    claims->kernel, (uint64_t)delay / 2 + 1);
	claims->failures++;
	kernel_timer_cancel(claims->kernel, &claims->retry_timer);
	claims->retry_timer = kernel_timer(claims->kernel, claims->self, delay,
					   HANDLE_NONE, TIMER_RETRY);
}

static bool lease_usable(const claims_svc_t *claims, int64_t max_age)
{
	return claims->lease != 0 &&
	       kernel_now(claims->kernel) - claims->lease_start < max_age;
}

static void request_lease(claims_svc_t *claims)
{
	msg_t msg = {.kind = MSG_STORE_LEASE};

	if (!handle_is_none(claims->lease_call))
		return;
	claims->lease_call = new_call(claims, CALL_LEASE);
	msg.id = claims->lease_call;
	msg.u.store_lease.ttl_s = LEASE_TTL_S;
	kernel_post(claims->kernel, claims->self, claims->store, &msg);
}

static void add_group(claims_svc_t *claims, store_txn_t *txn, claim_t *claim)
{
	record_t record = {.kind = RECORD_CLAIM};
	record_claim_t *to = &record.u.claim;

	switch (claim->step) {
	case STEP_OPEN:
	case STEP_OWNED:
		to->state = CLAIM_OPEN;
		to->op = claim->open_op;
		break;
	case STEP_DONE:
		to->state = CLAIM_FINISHED;
		to->op = claim->final_op;
		to->outcome = claim->outcome;
		break;
	case STEP_ABORT:
		to->state = CLAIM_ABORTED;
		to->op = claim->final_op;
		break;
	}
	g_strlcpy(to->fingerprint, claim->fingerprint, sizeof(to->fingerprint));
	to->wall_ms = claim->wall_ms;
	store_txn_group(txn);
	/* store_txn_put() copies the record and references the body. */
	store_txn_put(txn, claim->key, claim->expect, claims->lease, &record);
	claim->in_flight = true;
	claim->sent_step = claim->step;
	g_array_append_val(claims->batch, claim->self);
}

void batch_send(claims_svc_t *claims)
{
	msg_t msg = {.kind = MSG_STORE_TXN};
	size_t bytes = 0;
	claim_t *claim;

	if (!handle_is_none(claims->txn_call) ||
	    !handle_is_none(claims->retry_timer) || claims->waiting.length == 0)
		return;
	if (!lease_usable(claims, LEASE_RENEW_AGE_US))
		request_lease(claims);
	if (!lease_usable(claims, LEASE_MAX_AGE_US))
		return;
	msg.u.store_txn = store_txn_new();
	while (claims->waiting.length > 0 && claims->batch->len < GROUPS_MAX &&
	       bytes < CALL_OUTCOME_BYTES_MAX) {
		claim = claims->waiting.head->data;
		batch_dequeue(claims, claim);
		if (claim->step == STEP_DONE && claim->outcome.body != NULL)
			bytes += g_bytes_get_size(claim->outcome.body);
		add_group(claims, msg.u.store_txn, claim);
	}
	claims->txn_call = new_call(claims, CALL_TXN);
	msg.id = claims->txn_call;
	kernel_post(claims->kernel, claims->self, claims->store, &msg);
}

/* Handles a committed open record, whose revision is claim->expect. */
static void set_owned(claims_svc_t *claims, claim_t *claim)
{
	if (kernel_now(claims->kernel) >= claim->deadline) {
		claim_reply(claims, claim, CLAIM_STORE_UNAVAILABLE, NULL);
		claim_abort(claims, claim);
		return;
	}
	claim->step = STEP_OWNED;
	claim_reply(claims, claim, CLAIM_OWNED, NULL);
}

static void group_committed(claims_svc_t *claims, claim_t *claim,
			    int64_t revision)
{
	switch (claim->sent_step) {
	case STEP_OPEN:
	case STEP_OWNED:
		claim->expect = revision;
		claim->open_unknown = false;
		if (claim->step == STEP_OPEN)
			set_owned(claims, claim);
		else
			batch_enqueue(claims, claim);
		break;
	case STEP_DONE:
		claim_finish(claims, claim, true);
		break;
	case STEP_ABORT:
		claim_remove(claims, claim);
		break;
	}
}

/* Handles an open claim whose key holds the record of another claim. */
static void open_conflict(claims_svc_t *claims, claim_t *claim,
			  int64_t revision, const record_t *record)
{
	const record_claim_t *found = &record->u.claim;
	claim_result_t result = CLAIM_IN_DOUBT;

	if (record->kind == RECORD_CLAIM && found->state == CLAIM_ABORTED) {
		claim->expect = revision;
		claim->open_unknown = false;
		batch_enqueue(claims, claim);
		return;
	}
	if (record->kind == RECORD_CLAIM) {
		if (strcmp(found->fingerprint, claim->fingerprint) != 0)
			result = CLAIM_MISMATCH;
		else if (found->state == CLAIM_FINISHED)
			result = CLAIM_REPLAY;
	}
	claim_reply(claims, claim, result,
		    result == CLAIM_REPLAY ? &found->outcome : NULL);
	claim_remove(claims, claim);
}

/* Handles a failed revision check of a key that the store reports absent. */
static void conflict_absent(claims_svc_t *claims, claim_t *claim)
{
	switch (claim->step) {
	case STEP_OPEN:
	case STEP_OWNED:
		if (claim->expect == EXPECT_ABSENT) {
			/* The store contradicts itself; a retry is useless. */
			claim_reply(claims, claim, CLAIM_STORE_UNAVAILABLE,
				    NULL);
			claim_abort(claims, claim);
			break;
		}
		/* An aborted record has expired in the meantime. */
		claim->expect = EXPECT_ABSENT;
		batch_enqueue(claims, claim);
		break;
	case STEP_DONE:
		claim_finish(claims, claim, false);
		break;
	case STEP_ABORT:
		claim_remove(claims, claim);
		break;
	}
}

static bool written_by(const record_t *record, const op_id_t *op)
{
	return record->kind == RECORD_CLAIM &&
	       op_id_equal(&record->u.claim.op, op);
}

/* Handles a failed revision check; kv is the current state of the key. */
static void group_conflict(claims_svc_t *claims, claim_t *claim,
			   const store_kv_t *kv)
{
	if (kv == NULL || kv->record.kind == RECORD_NONE) {
		conflict_absent(claims, claim);
		return;
	}
	if (written_by(&kv->record, &claim->open_op)) {
		/* An earlier call took effect, but its reply was lost. */
		claim->expect = kv->revision;
		claim->open_unknown = false;
		if (claim->step == STEP_OPEN)
			set_owned(claims, claim);
		else
			batch_enqueue(claims, claim);
		return;
	}
	switch (claim->step) {
	case STEP_OPEN:
	case STEP_OWNED:
		open_conflict(claims, claim, kv->revision, &kv->record);
		break;
	case STEP_DONE:
		claim_finish(claims, claim,
			     written_by(&kv->record, &claim->final_op));
		break;
	case STEP_ABORT:
		claim_remove(claims, claim);
		break;
	}
}

/*
 * Handles a claim of a failed call, which may have taken effect.  The write is
 * queued again or, after too many rejections, dropped; the claim is refused if
 * its open write certainly had no effect.
 */
static void group_failed(claims_svc_t *claims, claim_t *claim,
			 store_status_t status)
{
	if (claim->sent_step == STEP_OPEN && status == STORE_UNKNOWN)
		claim->open_unknown = true;
	if (status == STORE_INVALID && ++claim->invalid_count > INVALID_MAX &&
	    claim->sent_step != STEP_OPEN) {
		if (claim->sent_step == STEP_DONE)
			claim_finish(claims, claim, false);
		else
			claim_remove(claims, claim);
		return;
	}
	if (claim->open_unknown || claim->sent_step != STEP_OPEN) {
		batch_enqueue(claims, claim);
		return;
	}
	claim_reply(claims, claim, CLAIM_STORE_UNAVAILABLE, NULL);
	claim_remove(claims, claim);
}

static void txn_result(claims_svc_t *claims, const store_result_t *result)
{
	GArray *batch = claims->batch;
	claim_t *claim;

	claims->batch = g_array_new(FALSE, FALSE, sizeof(handle_t));
	claims->txn_call = HANDLE_NONE;
	if (result->status == STORE_OK)
		claims->failures = 0;
	else
		back_off(claims);
	/* The store may have rejected a lease that it has lost. */
	if (result->status == STORE_INVALID)
		claims->lease = 0;
	for (guint i = 0; i < batch->len; i++) {
		claim = table_get(&claims->claims,
				  g_array_index(batch, handle_t, i));
		if (claim == NULL)
			continue;
		claim->in_flight = false;
		if (result->status != STORE_OK)
			group_failed(claims, claim, result->status);
		else if (store_result_committed(result, i))
			group_committed(claims, claim, result->revision);
		else
			group_conflict(claims, claim,
				       store_result_find(result, claim->key));
	}
	g_array_unref(batch);
	batch_send(claims);
}

/* Refuses the waiting requests: no claim can be written without a lease. */
static void refuse_waiting(claims_svc_t *claims)
{
	GList *link = claims->waiting.head;

	while (link != NULL) {
		claim_t *claim = link->data;

		link = link->next;
		if (claim->step != STEP_OPEN || claim->open_unknown)
			continue;
		claim_reply(claims, claim, CLAIM_STORE_UNAVAILABLE, NULL);
		claim_remove(claims, claim);
	}
}

static void lease_result(claims_svc_t *claims, const store_result_t *result)
{
	claims->lease_call = HANDLE_NONE;
	if (result->status == STORE_OK && result->lease != 0) {
		claims->lease = result->lease;
		claims->lease_start = kernel_now(claims->kernel);
		claims->failures = 0;
	} else if (!lease_usable(claims, LEASE_MAX_AGE_US)) {
		if (result->status != STORE_UNKNOWN)
			refuse_waiting(claims);
		back_off(claims);
	}
	batch_send(claims);
}

void batch_result(claims_svc_t *claims, const msg_t *msg)
{
	if (handle_is_none(msg->ref))
		return;
	if (handle_equal(msg->ref, claims->txn_call))
		txn_result(claims, msg->u.store_result);
	else if (handle_equal(msg->ref, claims->lease_call))
		lease_result(claims, msg->u.store_result);
}
