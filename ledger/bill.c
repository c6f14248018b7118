/*
 * Bills: store keys, records and replies.  Bills with the same key are recorded
 * once.
 */
#include "ledger/local.h"

#include <string.h>

/* A longer escaped idempotency key is replaced by its hash. */
#define KEY_ESCAPED_BYTES_MAX 200
/* Hex digits of the fingerprint in a bill's key: 128 bits. */
#define KEY_FINGERPRINT_DIGITS 32

/*
 * An escape is '%' and two hex digits, so an escaped key never contains the
 * "%%" that precedes a hash.  The fingerprint is part of the key: a caller that
 * reuses an idempotency key for another request pays for both, because the
 * caller has received the stream before the bill reaches the store.
 */
void ledger_bill_key(char out[STORE_KEY_SIZE], const bill_t *bill)
{
	GString *text = g_string_new(NULL);

	for (const char *c = bill->idem_key; *c != '\0'; c++) {
		if (g_ascii_isalnum(*c) || strchr("._-", *c) != NULL)
			g_string_append_c(text, *c);
		else
			g_string_append_printf(text, "%%%02X",
					       (unsigned int)(guchar)*c);
	}
	if (text->len > KEY_ESCAPED_BYTES_MAX) {
		char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
							   bill->idem_key, -1);

		g_string_printf(text, "%%%%%s", hash);
		g_free(hash);
	}
	g_snprintf(out, STORE_KEY_SIZE, "bill/%s/%s/%.*s", bill->client_account,
		   text->str, KEY_FINGERPRINT_DIGITS, bill->fingerprint);
	g_string_free(text, TRUE);
}

/* Returns true if two bills are for the same request. */
bool bill_is_same(const bill_t *a, const bill_t *b)
{
	return strcmp(a->idem_key, b->idem_key) == 0 &&
	       strcmp(a->fingerprint, b->fingerprint) == 0 &&
	       strcmp(a->client_account, b->client_account) == 0;
}

/*
 * The writer is the router that billed, even if its buddy writes the record, so
 * that both identify the record as the same bill.
 */
void bill_record(record_t *out, const char *writer, const bill_t *bill)
{
	record_bill_t *record = &out->u.bill;

	memset(out, 0, sizeof(*out));
	out->kind = RECORD_BILL;
	g_strlcpy(record->op.writer, writer, sizeof(record->op.writer));
	record->op.seq = bill->seq;
	g_strlcpy(record->budget, bill->budget, sizeof(record->budget));
	g_strlcpy(record->fingerprint, bill->fingerprint,
		  sizeof(record->fingerprint));
	record->tokens = bill->tokens;
	record->wall_ms = bill->wall_ms;
}

static void reply_bill(ledger_t *ledger, pending_bill_t *bill,
		       bill_result_t result)
{
	msg_t msg = {.kind = MSG_BILLED, .ref = bill->client_ref};
	metrics_t *metrics = ledger->kernel->metrics;

	if (bill->replied)
		return;
	bill->replied = true;
	msg.u.billed.result = result;
	kernel_post(ledger->kernel, ledger->self, bill->client, &msg);
	metrics_observe(metrics, HISTOGRAM_BILL,
			kernel_now(ledger->kernel) - bill->created_at);
	switch (result) {
	case BILL_RECORDED:
		metrics_add(metrics, COUNTER_BILLS, 1);
		metrics_add(metrics, COUNTER_TOKENS_BILLED,
			    (uint64_t)bill->bill.tokens);
		break;
	case BILL_DUPLICATE:
		metrics_add(metrics, COUNTER_BILLS_DUPLICATE, 1);
		break;
	case BILL_REFUSED:
		break;
	}
}

static pending_bill_t *first_queued(const ledger_t *ledger,
				    const pending_bill_t *first)
{
	uint32_t cursor = 0;
	pending_bill_t *bill;

	while ((bill = table_next(&ledger->bills, &cursor, NULL)) != NULL) {
		if (bill->queued && bill_is_same(&bill->bill, &first->bill))
			return bill;
	}
	return NULL;
}

static void bill_free(ledger_t *ledger, pending_bill_t *bill)
{
	slice_t *slice = table_get(&ledger->slices, bill->slice);

	if (!bill->orphan) {
		slice->pending_tokens -= bill->bill.tokens;
		if (bill->unprotected)
			slice->unprotected_used -= bill->bill.tokens;
	}
	if (bill->queued)
		ledger->queued_bills--;
	slice->refs--;
	array_remove_handle(slice->bills, bill->handle);
	table_remove(&ledger->bills, bill->handle);
}

static void bill_activate(ledger_t *ledger, pending_bill_t *bill)
{
	char key[STORE_KEY_SIZE];

	ledger_bill_key(key, &bill->bill);
	g_hash_table_insert(ledger->bills_by_key, g_strdup(key),
			    handle_pack(bill->handle));
	if (bill->orphan)
		return;
	copy_queue(ledger, bill);
	slice_mark_dirty(ledger, table_get(&ledger->slices, bill->slice));
}

/* Ends the active bill of a key and activates the next one in its queue. */
static void finish_bill(ledger_t *ledger, pending_bill_t *bill)
{
	char key[STORE_KEY_SIZE];
	pending_bill_t *next = NULL;

	ledger_bill_key(key, &bill->bill);
	g_hash_table_remove(ledger->bills_by_key, key);
	if (ledger->queued_bills > 0)
		next = first_queued(ledger, bill);
	bill_free(ledger, bill);
	if (next != NULL) {
		next->queued = false;
		ledger->queued_bills--;
		/* Reads of unchecked bills skip queued ones. */
		if (next->unchecked) {
			slice_t *slice =
				table_get(&ledger->slices, next->slice);

			slice->unchecked = true;
		}
		bill_activate(ledger, next);
	}
}

/* Replies to a bill that is recorded, copied or released without protection. */
void bill_release(ledger_t *ledger, pending_bill_t *bill)
{
	pending_bill_t *next;

	reply_bill(ledger, bill, BILL_RECORDED);
	while (ledger->queued_bills > 0 &&
	       (next = first_queued(ledger, bill)) != NULL) {
		reply_bill(ledger, next, BILL_DUPLICATE);
		bill_free(ledger, next);
	}
}

void bill_settled(ledger_t *ledger, pending_bill_t *bill)
{
	bill_release(ledger, bill);
	finish_bill(ledger, bill);
}

/* Handles a record that the store already has under the bill's key. */
void bill_found(ledger_t *ledger, pending_bill_t *bill,
		const record_bill_t *record)
{
	if (record->op.seq == bill->bill.seq &&
	    strcmp(record->op.writer, ledger->opts.incarnation) == 0) {
		bill_settled(ledger, bill);
		return;
	}
	reply_bill(ledger, bill, BILL_DUPLICATE);
	finish_bill(ledger, bill);
}

void bill_refuse(ledger_t *ledger, pending_bill_t *bill)
{
	reply_bill(ledger, bill, BILL_REFUSED);
	finish_bill(ledger, bill);
}

static void fill_bill(ledger_t *ledger, pending_bill_t *bill, const msg_t *msg,
		      const reservation_t *res)
{
	const slice_t *slice = table_get(&ledger->slices, res->slice);
	bill_t *data = &bill->bill;

	bill->slice = res->slice;
	bill->client = msg->from;
	bill->client_ref = handle_is_none(msg->id) ? res->client_ref : msg->id;
	bill->unprotected = res->unprotected;
	bill->orphan = res->orphan;
	bill->created_at = kernel_now(ledger->kernel);
	data->seq = ++ledger->bill_seq;
	data->tokens = CLAMP(msg->u.bill.tokens, 0, res->tokens);
	data->wall_ms = kernel_wall(ledger->kernel) / USEC_PER_MSEC;
	g_strlcpy(data->client_account, slice->client_account,
		  sizeof(data->client_account));
	g_strlcpy(data->budget, slice->budget, sizeof(data->budget));
	g_strlcpy(data->idem_key, msg->u.bill.idem_key, sizeof(data->idem_key));
	g_strlcpy(data->fingerprint, msg->u.bill.fingerprint,
		  sizeof(data->fingerprint));
}

/* Activates the bill, or queues it behind another one with the same key. */
static void start_bill(ledger_t *ledger, pending_bill_t *bill)
{
	char key[STORE_KEY_SIZE];
	const pending_bill_t *first;

	ledger_bill_key(key, &bill->bill);
	first = table_get(&ledger->bills, handle_unpack(g_hash_table_lookup(
						  ledger->bills_by_key, key)));
	if (first != NULL && first->replied) {
		reply_bill(ledger, bill, BILL_DUPLICATE);
		bill_free(ledger, bill);
		return;
	}
	if (first != NULL) {
		bill->queued = true;
		ledger->queued_bills++;
		return;
	}
	bill_activate(ledger, bill);
	if (bill->unprotected) {
		metrics_add(ledger->kernel->metrics, COUNTER_BILLS_UNPROTECTED,
			    1);
		bill_release(ledger, bill);
	}
}

void bill_recv(ledger_t *ledger, const msg_t *msg)
{
	reservation_t *res = table_get(&ledger->reservations, msg->ref);
	msg_t reply = {.kind = MSG_BILLED, .ref = msg->id};
	pending_bill_t *bill;
	slice_t *slice;
	handle_t handle;

	if (res == NULL || res->waiting) {
		reply.u.billed.result = BILL_REFUSED;
		kernel_post(ledger->kernel, ledger->self, msg->from, &reply);
		return;
	}
	slice = table_get(&ledger->slices, res->slice);
	handle = table_add(&ledger->bills, (void **)&bill);
	bill->handle = handle;
	fill_bill(ledger, bill, msg, res);
	slice->refs++;
	reserve_end(ledger, res, bill->bill.tokens);
	if (!bill->orphan) {
		slice->pending_tokens += bill->bill.tokens;
		if (bill->unprotected)
			slice->unprotected_used += bill->bill.tokens;
	}
	g_array_append_val(slice->bills, handle);
	start_bill(ledger, bill);
	reserve_admit_waiting(ledger, slice);
	slice_step(ledger, slice);
}

/* Charges orphan bills to the new grant, oldest first. */
void bills_cover(ledger_t *ledger, slice_t *slice)
{
	for (guint i = 0; i < slice->bills->len; i++) {
		pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		if (!bill->orphan || bill->unchecked || bill->queued)
			continue;
		if (slice->grant_rev == 0 ||
		    bill->bill.tokens > slice_available(slice))
			return;
		bill->orphan = false;
		slice->pending_tokens += bill->bill.tokens;
		copy_queue(ledger, bill);
		slice_mark_dirty(ledger, slice);
	}
}

int64_t orphan_bill_tokens(const ledger_t *ledger, const slice_t *slice)
{
	int64_t sum = 0;

	for (guint i = 0; i < slice->bills->len; i++) {
		const pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		if (bill->orphan && !bill->queued)
			sum += bill->bill.tokens;
	}
	return sum;
}

/* Schedules the settlement of the slice's bills. */
void slice_mark_dirty(ledger_t *ledger, slice_t *slice)
{
	if (!slice->is_dirty && slice->bills->len > 0) {
		slice->is_dirty = true;
		g_array_append_val(ledger->dirty_slices, slice->handle);
	}
	commit_schedule(ledger);
}
