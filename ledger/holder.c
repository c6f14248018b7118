#include "ledger/local.h"

#include <string.h>

#define COPIES_MAX 8192 /* bills held for one router */
#define HOLDERS_MAX 4096
#define HOLDER_KEEP (3600 * USEC_PER_SEC) /* after the last message */
#define FLOOR_SHIFT 20 /* sessions that a router may start in 1 ms */

holder_t *holder_find(const ledger_t *ledger, const char *incarnation)
{
	return table_get(&ledger->holders,
			 handle_unpack(g_hash_table_lookup(ledger->holder_names,
							   incarnation)));
}

static holder_t *holder_get(ledger_t *ledger, const char *incarnation)
{
	holder_t *holder = holder_find(ledger, incarnation);
	handle_t handle;

	if (holder != NULL || table_count(&ledger->holders) >= HOLDERS_MAX)
		return holder;
	handle = table_add(&ledger->holders, (void **)&holder);
	holder->handle = handle;
	g_strlcpy(holder->incarnation, incarnation,
		  sizeof(holder->incarnation));
	holder->bills = g_array_new(FALSE, FALSE, sizeof(bill_t));
	g_hash_table_insert(ledger->holder_names, g_strdup(incarnation),
			    handle_pack(handle));
	return holder;
}

void holder_free(ledger_t *ledger, holder_t *holder)
{
	g_hash_table_remove(ledger->holder_names, holder->incarnation);
	g_array_unref(holder->bills);
	table_remove(&ledger->holders, holder->handle);
}

/*
 * Sessions up to the floor are rejected.  It comes from the clock, so that a
 * sender gets past it only by having seen the rejection, not by counting up.
 */
void holder_raise_floor(ledger_t *ledger, holder_t *holder)
{
	uint64_t ms = (uint64_t)(kernel_wall(ledger->kernel) / USEC_PER_MSEC);

	holder->floor =
		MAX(MAX(holder->floor, holder->session) + 1, ms << FLOOR_SHIFT);
}

static void acknowledge(ledger_t *ledger, const holder_t *holder,
			uint64_t session, bool rejected)
{
	peer_body_t *body = peer_body_new(PEER_COPY_ACK);

	body->u.copy_ack.session = session;
	body->u.copy_ack.seq = holder->seq;
	body->u.copy_ack.rejected = rejected;
	peer_send(ledger, holder->incarnation, body);
}

static bool take_bills(ledger_t *ledger, holder_t *holder,
		       const peer_body_t *body)
{
	GArray *bills = body->u.bill_copy.bills;

	if (holder->bills->len + bills->len > COPIES_MAX)
		return false;
	g_array_append_vals(holder->bills, bills->data, bills->len);
	metrics_add(ledger->kernel->metrics, COUNTER_COPIES_HELD, bills->len);
	return true;
}

void holder_copy_recv(ledger_t *ledger, const char *from,
		      const peer_body_t *body)
{
	holder_t *holder = holder_get(ledger, from);
	uint64_t session = body->u.bill_copy.session;
	uint64_t seq = body->u.bill_copy.seq;

	if (holder == NULL)
		return;
	if (recover_is_active(ledger, from))
		holder_raise_floor(ledger, holder);
	if (session <= holder->floor) {
		acknowledge(ledger, holder, holder->floor, true);
		return;
	}
	if (session < holder->session)
		return;
	holder->heard_at = kernel_now(ledger->kernel);
	if (session > holder->session) {
		if (!body->u.bill_copy.reset)
			return;
		g_array_set_size(holder->bills, 0);
		holder->session = session;
		holder->seq = seq - 1;
	}
	/* Only a message that follows the last one is taken. */
	if (seq == holder->seq + 1 && take_bills(ledger, holder, body))
		holder->seq = seq;
	acknowledge(ledger, holder, session, false);
}

void holder_trim_recv(ledger_t *ledger, const char *from,
		      const peer_body_t *body)
{
	holder_t *holder = holder_find(ledger, from);
	guint kept = 0;

	if (holder == NULL || holder->session != body->u.copy_trim.session)
		return;
	for (guint i = 0; i < holder->bills->len; i++) {
		bill_t *bill = &g_array_index(holder->bills, bill_t, i);

		if (bill->seq > body->u.copy_trim.up_to)
			g_array_index(holder->bills, bill_t, kept++) = *bill;
	}
	g_array_set_size(holder->bills, kept);
}

/* Forgets routers that have nothing copied here and are silent. */
void holder_tick(ledger_t *ledger)
{
	int64_t now = kernel_now(ledger->kernel);
	uint32_t cursor = 0;
	holder_t *holder;

	while ((holder = table_next(&ledger->holders, &cursor, NULL)) != NULL) {
		if (now - holder->heard_at > HOLDER_KEEP &&
		    !recover_is_active(ledger, holder->incarnation))
			holder_free(ledger, holder);
	}
}
