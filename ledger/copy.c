/*
 * Sender of bill copies: an acknowledged copy at the buddy lets a bill be
 * released before the store has recorded it.
 */
#include "ledger/local.h"

#include <string.h>

#define COPY_MESSAGE_BILLS_MAX 64

/*
 * A copy message without an acknowledgement.  The acknowledgement is valid for
 * ledger_opts_t.ack_valid_us from the sending of the message.
 */
typedef struct sent_copy_t {
	uint64_t seq;
	int64_t sent_at;
} sent_copy_t;

void copy_init(ledger_t *ledger)
{
	copy_out_t *out = &ledger->copy_out;

	out->sent = g_array_new(FALSE, FALSE, sizeof(sent_copy_t));
	out->unsent = g_array_new(FALSE, FALSE, sizeof(handle_t));
	out->unacked = g_array_new(FALSE, FALSE, sizeof(handle_t));
}

void copy_finish(ledger_t *ledger)
{
	copy_out_t *out = &ledger->copy_out;

	g_array_unref(out->sent);
	g_array_unref(out->unsent);
	g_array_unref(out->unacked);
}

void peer_send(ledger_t *ledger, const char *to, peer_body_t *body)
{
	kernel_post_peer(ledger->kernel, ledger->self, ledger->peer, to, body);
}

/* Sends the bills of one event loop iteration together. */
void copy_schedule(ledger_t *ledger)
{
	copy_out_t *out = &ledger->copy_out;

	if (out->flush_queued || out->unsent->len == 0 ||
	    out->buddy[0] == '\0' || out->blocked)
		return;
	out->flush_queued = true;
	kernel_timer(ledger->kernel, ledger->self, 0, HANDLE_NONE,
		     TIMER_COPY_FLUSH);
}

void copy_queue(ledger_t *ledger, pending_bill_t *bill)
{
	bill->copy_seq = 0;
	g_array_append_val(ledger->copy_out.unsent, bill->handle);
	copy_schedule(ledger);
}

static void send_copy(ledger_t *ledger, GArray *bills, bool reset)
{
	copy_out_t *out = &ledger->copy_out;
	peer_body_t *body = peer_body_new(PEER_BILL_COPY);
	sent_copy_t sent = {.seq = ++out->seq,
			    .sent_at = kernel_now(ledger->kernel)};

	body->u.bill_copy.session = out->session;
	body->u.bill_copy.seq = sent.seq;
	body->u.bill_copy.reset = reset;
	for (guint i = 0; i < bills->len; i++) {
		handle_t handle = g_array_index(bills, handle_t, i);
		pending_bill_t *bill = table_get(&ledger->bills, handle);

		bill->copy_seq = sent.seq;
		g_array_append_val(body->u.bill_copy.bills, bill->bill);
		g_array_append_val(out->unacked, handle);
	}
	g_array_append_val(out->sent, sent);
	peer_send(ledger, out->buddy, body);
}

/*
 * A copy is valid only if the grant was verified after the last lapse of
 * protection: an earlier buddy may have recovered the grant without this bill.
 * Bills already released are always copied, because a new session replaces the
 * copies of the previous one.
 */
static bool may_copy(ledger_t *ledger, const pending_bill_t *bill)
{
	const slice_t *slice = table_get(&ledger->slices, bill->slice);

	if (bill->orphan || bill->copy_seq != 0)
		return false;
	if (bill->replied)
		return true;
	return (!ledger->protection_lapsed || ledger->copy_out.trusted) &&
	       slice->verified_epoch == ledger->epoch &&
	       !slice->grant.recovered;
}

static void send_unsent(ledger_t *ledger, bool reset)
{
	copy_out_t *out = &ledger->copy_out;
	GArray *batch = g_array_new(FALSE, FALSE, sizeof(handle_t));
	GArray *queue = out->unsent;

	out->unsent = g_array_new(FALSE, FALSE, sizeof(handle_t));
	for (guint i = 0; i < queue->len; i++) {
		handle_t handle = g_array_index(queue, handle_t, i);
		const pending_bill_t *bill = table_get(&ledger->bills, handle);

		if (bill == NULL || bill->copy_seq != 0)
			continue;
		if (!may_copy(ledger, bill)) {
			g_array_append_val(out->unsent, handle);
			continue;
		}
		g_array_append_val(batch, handle);
		if (batch->len < COPY_MESSAGE_BILLS_MAX)
			continue;
		send_copy(ledger, batch, reset);
		reset = false;
		g_array_set_size(batch, 0);
	}
	if (batch->len > 0 || reset)
		send_copy(ledger, batch, reset);
	g_array_unref(batch);
	g_array_unref(queue);
}

void copy_flush(ledger_t *ledger)
{
	copy_out_t *out = &ledger->copy_out;

	out->flush_queued = false;
	if (out->buddy[0] == '\0' || out->blocked)
		return;
	protection_update(ledger);
	send_unsent(ledger, false);
}

/* Starts a session, whose first message replaces all copies at the buddy. */
static void start_session(ledger_t *ledger)
{
	copy_out_t *out = &ledger->copy_out;
	uint32_t cursor = 0;
	pending_bill_t *bill;

	protection_update(ledger);
	out->session++;
	out->seq = 0;
	out->acked = 0;
	out->trimmed = 0;
	out->trusted = !ledger->protection_lapsed;
	out->blocked = false;
	out->last_progress_at = kernel_now(ledger->kernel);
	g_array_set_size(out->sent, 0);
	g_array_set_size(out->unsent, 0);
	g_array_set_size(out->unacked, 0);
	while ((bill = table_next(&ledger->bills, &cursor, NULL)) != NULL) {
		bill->copy_seq = 0;
		if (!bill->queued)
			g_array_append_val(out->unsent, bill->handle);
	}
	send_unsent(ledger, true);
}

void copy_set_buddy(ledger_t *ledger, const char *buddy)
{
	copy_out_t *out = &ledger->copy_out;

	if (strcmp(out->buddy, buddy) == 0)
		return;
	g_strlcpy(out->buddy, buddy, sizeof(out->buddy));
	out->blocked = false;
	if (buddy[0] != '\0')
		start_session(ledger);
}

static bool all_verified(const ledger_t *ledger)
{
	uint32_t cursor = 0;
	const slice_t *slice;

	while ((slice = table_next(&ledger->slices, &cursor, NULL)) != NULL) {
		if (slice->unchecked ||
		    (slice->grant_rev != 0 &&
		     (slice->verified_epoch != ledger->epoch ||
		      slice->grant.recovered)))
			return false;
	}
	return true;
}

/*
 * Handles a rejection: the buddy has recovered grants of this router.  Copies
 * are invalid until each grant has been read from the store.
 */
static void handle_rejected(ledger_t *ledger, uint64_t floor)
{
	copy_out_t *out = &ledger->copy_out;
	uint32_t cursor = 0;
	slice_t *slice;

	out->blocked = true;
	out->session = MAX(out->session, floor);
	ledger->ack_valid_until = 0;
	ledger->epoch++;
	protection_update(ledger);
	while ((slice = table_next(&ledger->slices, &cursor, NULL)) != NULL)
		slice_step(ledger, slice);
}

static uint64_t first_unsettled(const ledger_t *ledger)
{
	uint32_t cursor = 0;
	const pending_bill_t *bill;
	uint64_t first = ledger->bill_seq + 1;

	while ((bill = table_next(&ledger->bills, &cursor, NULL)) != NULL)
		first = MIN(first, bill->bill.seq);
	return first;
}

static void send_trim(ledger_t *ledger)
{
	copy_out_t *out = &ledger->copy_out;
	uint64_t up_to = first_unsettled(ledger) - 1;
	peer_body_t *body;

	if (up_to <= out->trimmed)
		return;
	out->trimmed = up_to;
	body = peer_body_new(PEER_COPY_TRIM);
	body->u.copy_trim.session = out->session;
	body->u.copy_trim.up_to = up_to;
	peer_send(ledger, out->buddy, body);
}

/* Keeps protection valid between bills, and restarts a stalled session. */
void copy_keepalive(ledger_t *ledger)
{
	copy_out_t *out = &ledger->copy_out;
	int64_t now = kernel_now(ledger->kernel);
	GArray *empty;

	if (out->buddy[0] == '\0')
		return;
	if (out->blocked) {
		protection_update(ledger);
		if (all_verified(ledger))
			start_session(ledger);
		return;
	}
	/* A message or acknowledgement was lost; copies must be contiguous. */
	if (out->acked < out->seq &&
	    now - out->last_progress_at >= ledger->opts.ack_valid_us) {
		start_session(ledger);
		return;
	}
	empty = g_array_new(FALSE, FALSE, sizeof(handle_t));
	send_copy(ledger, empty, false);
	g_array_unref(empty);
	send_trim(ledger);
}

static void record_ack(ledger_t *ledger, uint64_t seq)
{
	copy_out_t *out = &ledger->copy_out;
	guint done = 0;

	while (done < out->sent->len &&
	       g_array_index(out->sent, sent_copy_t, done).seq <= seq) {
		ledger->ack_valid_until = MAX(
			ledger->ack_valid_until,
			g_array_index(out->sent, sent_copy_t, done).sent_at +
				ledger->opts.ack_valid_us);
		done++;
	}
	g_array_remove_range(out->sent, 0, done);
	out->acked = seq;
	out->last_progress_at = kernel_now(ledger->kernel);
}

static void release_copied(ledger_t *ledger, uint64_t seq)
{
	GArray *unacked = ledger->copy_out.unacked;
	guint done;

	for (done = 0; done < unacked->len; done++) {
		pending_bill_t *bill = table_get(
			&ledger->bills, g_array_index(unacked, handle_t, done));

		if (bill == NULL)
			continue;
		if (bill->copy_seq > seq)
			break;
		if (!bill->orphan && bill->copy_seq != 0)
			bill_release(ledger, bill);
	}
	g_array_remove_range(unacked, 0, done);
}

void copy_ack_recv(ledger_t *ledger, const char *from, const peer_body_t *body)
{
	copy_out_t *out = &ledger->copy_out;
	uint64_t session = body->u.copy_ack.session;
	uint64_t seq = body->u.copy_ack.seq;

	if (strcmp(from, out->buddy) != 0)
		return;
	if (body->u.copy_ack.rejected) {
		if (session >= out->session)
			handle_rejected(ledger, session);
		return;
	}
	if (session != out->session || out->blocked || seq <= out->acked ||
	    seq > out->seq)
		return;
	protection_update(ledger);
	record_ack(ledger, seq);
	release_copied(ledger, seq);
	if (ledger->protection_lapsed &&
	    kernel_now(ledger->kernel) < ledger->ack_valid_until) {
		protection_renewed(ledger, out->trusted);
		out->trusted = true;
		slices_step(ledger);
	}
}
