/*
 * Receiver of bill copies: holds the unsettled bills of the routers that use
 * this one as their buddy.
 */
#include "ledger/local.h"
#include "log/log.h"

#include <string.h>

#define COPIES_PER_SENDER_MAX 8192 /* bills */
#define SENDERS_MAX 4096
#define SENDER_EXPIRY_US (3600 * USEC_PER_SEC) /* since last message */
/* A router may start up to 2^20 sessions in 1 ms. */
#define SESSIONS_PER_MS_BITS 20

copy_in_t *copy_in_find(const ledger_t *ledger, const char *incarnation)
{
	return table_get(&ledger->copies_in,
			 handle_unpack(g_hash_table_lookup(
				 ledger->copies_in_by_sender, incarnation)));
}

static copy_in_t *copy_in_get(ledger_t *ledger, const char *incarnation)
{
	copy_in_t *copies = copy_in_find(ledger, incarnation);
	handle_t handle;

	if (copies != NULL || table_count(&ledger->copies_in) >= SENDERS_MAX)
		return copies;
	handle = table_add(&ledger->copies_in, (void **)&copies);
	copies->handle = handle;
	g_strlcpy(copies->incarnation, incarnation,
		  sizeof(copies->incarnation));
	copies->bills = g_array_new(FALSE, FALSE, sizeof(bill_t));
	g_hash_table_insert(ledger->copies_in_by_sender, g_strdup(incarnation),
			    handle_pack(handle));
	return copies;
}

void copy_in_free(ledger_t *ledger, copy_in_t *copies)
{
	g_hash_table_remove(ledger->copies_in_by_sender, copies->incarnation);
	g_array_unref(copies->bills);
	table_remove(&ledger->copies_in, copies->handle);
}

/*
 * Rejects all sessions so far.  The floor is derived from the clock, so that a
 * sender exceeds it only after it has seen the rejection, not by incrementing
 * its session number.
 */
void copy_in_raise_floor(ledger_t *ledger, copy_in_t *copies)
{
	uint64_t ms = (uint64_t)(kernel_wall(ledger->kernel) / USEC_PER_MSEC);

	copies->session_floor =
		MAX(MAX(copies->session_floor, copies->session) + 1,
		    ms << SESSIONS_PER_MS_BITS);
}

static void acknowledge(ledger_t *ledger, const copy_in_t *copies,
			uint64_t session, bool rejected)
{
	peer_body_t *body = peer_body_new(PEER_COPY_ACK);

	body->u.copy_ack.session = session;
	body->u.copy_ack.seq = copies->seq;
	body->u.copy_ack.rejected = rejected;
	peer_send(ledger, copies->incarnation, body);
}

static bool store_bills(ledger_t *ledger, copy_in_t *copies,
			const peer_body_t *body)
{
	GArray *bills = body->u.bill_copy.bills;

	if (copies->bills->len + bills->len > COPIES_PER_SENDER_MAX)
		return false;
	g_array_append_vals(copies->bills, bills->data, bills->len);
	metrics_add(ledger->kernel->metrics, COUNTER_COPIES_HELD, bills->len);
	return true;
}

void copy_in_recv(ledger_t *ledger, const char *from, const peer_body_t *body)
{
	copy_in_t *copies = copy_in_get(ledger, from);
	uint64_t session = body->u.bill_copy.session;
	uint64_t seq = body->u.bill_copy.seq;

	/* A rejection would make the sender spend without protection. */
	if (copies == NULL || ledger->copies_closed)
		return;
	if (recovery_is_active(ledger, from))
		copy_in_raise_floor(ledger, copies);
	if (session <= copies->session_floor) {
		acknowledge(ledger, copies, copies->session_floor, true);
		return;
	}
	if (session < copies->session)
		return;
	copies->last_recv_at = kernel_now(ledger->kernel);
	if (session > copies->session) {
		if (!body->u.bill_copy.reset)
			return;
		g_array_set_size(copies->bills, 0);
		copies->session = session;
		copies->seq = seq - 1;
	}
	/* Copies must be contiguous: any other message is ignored. */
	if (seq == copies->seq + 1 && store_bills(ledger, copies, body))
		copies->seq = seq;
	acknowledge(ledger, copies, session, false);
}

void copy_in_trim(ledger_t *ledger, const char *from, const peer_body_t *body)
{
	copy_in_t *copies = copy_in_find(ledger, from);
	guint kept = 0;

	if (copies == NULL || copies->session != body->u.copy_trim.session)
		return;
	for (guint i = 0; i < copies->bills->len; i++) {
		bill_t *bill = &g_array_index(copies->bills, bill_t, i);

		if (bill->seq > body->u.copy_trim.up_to)
			g_array_index(copies->bills, bill_t, kept++) = *bill;
	}
	g_array_set_size(copies->bills, kept);
}

/* Discards the copies of routers that have sent nothing for too long. */
void copy_in_tick(ledger_t *ledger)
{
	int64_t now = kernel_now(ledger->kernel);
	uint32_t cursor = 0;
	copy_in_t *copies;

	while ((copies = table_next(&ledger->copies_in, &cursor, NULL)) !=
	       NULL) {
		if (now - copies->last_recv_at > SENDER_EXPIRY_US &&
		    !recovery_is_active(ledger, copies->incarnation))
			copy_in_free(ledger, copies);
	}
}

/* Logs the copies that a stop leaves unsettled, one line a sender. */
void copy_in_log_unsettled(ledger_t *ledger)
{
	uint32_t cursor = 0;
	const copy_in_t *copies;

	while ((copies = table_next(&ledger->copies_in, &cursor, NULL)) !=
	       NULL) {
		int64_t tokens = 0;

		for (guint i = 0; i < copies->bills->len; i++)
			tokens +=
				g_array_index(copies->bills, bill_t, i).tokens;
		if (copies->bills->len > 0)
			log_event(LOG_LEVEL_ERROR, "ledger", "copies_unsettled",
				  "member=%s bills=%u tokens=%" G_GINT64_FORMAT,
				  log_quote(copies->incarnation),
				  copies->bills->len, tokens);
	}
}
