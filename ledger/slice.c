/*
 * Slices: the state of each budget at this router, and whether its bills are
 * protected against the loss of the router.
 */
#include "ledger/local.h"

#include <string.h>

void grant_key(char out[STORE_KEY_SIZE], const char *incarnation,
	       const char *client_account, const char *budget)
{
	g_snprintf(out, STORE_KEY_SIZE, "grant/%s/%s/%s", incarnation,
		   client_account, budget);
}

void budget_key(char out[STORE_KEY_SIZE], const char *client_account,
		const char *budget)
{
	g_snprintf(out, STORE_KEY_SIZE, "budget/%s/%s", client_account, budget);
}

static void slice_name(char out[2 * NAME_SIZE], const char *client_account,
		       const char *budget)
{
	g_snprintf(out, 2 * (gulong)NAME_SIZE, "%s/%s", client_account, budget);
}

slice_t *slice_find(const ledger_t *ledger, const char *client_account,
		    const char *budget)
{
	char name[2 * NAME_SIZE];

	slice_name(name, client_account, budget);
	return table_get(&ledger->slices,
			 handle_unpack(g_hash_table_lookup(
				 ledger->slices_by_name, name)));
}

slice_t *slice_get(ledger_t *ledger, const char *client_account,
		   const char *budget)
{
	slice_t *slice = slice_find(ledger, client_account, budget);
	char name[2 * NAME_SIZE];
	handle_t handle;

	if (slice != NULL)
		return slice;
	handle = table_add(&ledger->slices, (void **)&slice);
	slice->handle = handle;
	g_strlcpy(slice->client_account, client_account,
		  sizeof(slice->client_account));
	g_strlcpy(slice->budget, budget, sizeof(slice->budget));
	slice->waiting = g_array_new(FALSE, FALSE, sizeof(handle_t));
	slice->bills = g_array_new(FALSE, FALSE, sizeof(handle_t));
	slice->requesters = g_array_new(FALSE, FALSE, sizeof(requester_t));
	slice->update.bills = g_array_new(FALSE, FALSE, sizeof(handle_t));
	slice->demand_since = kernel_now(ledger->kernel);
	slice->used_at = slice->demand_since;
	slice_name(name, client_account, budget);
	g_hash_table_insert(ledger->slices_by_name, g_strdup(name),
			    handle_pack(handle));
	return slice;
}

void slice_free(ledger_t *ledger, slice_t *slice)
{
	char name[2 * NAME_SIZE];

	slice_name(name, slice->client_account, slice->budget);
	g_hash_table_remove(ledger->slices_by_name, name);
	kernel_timer_cancel(ledger->kernel, &slice->reply_timer);
	g_array_unref(slice->waiting);
	g_array_unref(slice->bills);
	g_array_unref(slice->requesters);
	g_array_unref(slice->update.bills);
	table_remove(&ledger->slices, slice->handle);
}

/* Returns the tokens that may be reserved, less a reduction in progress. */
int64_t slice_available(const slice_t *slice)
{
	int64_t granted = slice->grant.granted;

	if (slice->grant_rev == 0 || slice->grant.recovered)
		return 0;
	switch (slice->update.kind) {
	case UPDATE_CLOSE:
		return 0;
	case UPDATE_RESIZE:
		granted = MIN(granted, slice->update.grant.granted);
		break;
	default:
		break;
	}
	return MAX(granted - slice->grant.settled - slice->pending_tokens -
			   slice->reserved_tokens,
		   0);
}

/* Records a lapse once both the lease and the acknowledgement have expired. */
void protection_update(ledger_t *ledger)
{
	int64_t until = MAX(ledger->lease_valid_until, ledger->ack_valid_until);

	if (kernel_now(ledger->kernel) >= until)
		ledger->protection_lapsed = true;
	metrics_set(ledger->kernel->metrics, GAUGE_PROTECTED,
		    !ledger->protection_lapsed);
}

/*
 * Ends a lapse of protection.  The buddy may have recovered the grants in the
 * meantime, so they must be verified, unless the acknowledgement shows that the
 * same buddy has not done so (trusted).
 */
void protection_renewed(ledger_t *ledger, bool trusted)
{
	if (!ledger->protection_lapsed)
		return;
	ledger->protection_lapsed = false;
	if (!trusted)
		ledger->epoch++;
}

bool is_protected(ledger_t *ledger, const slice_t *slice)
{
	protection_update(ledger);
	return !ledger->protection_lapsed &&
	       slice->verified_epoch == ledger->epoch;
}

static void orphan_bill(slice_t *slice, pending_bill_t *bill)
{
	if (bill->orphan)
		return;
	bill->orphan = true;
	bill->copy_seq = 0;
	slice->pending_tokens -= bill->bill.tokens;
	if (bill->unprotected)
		slice->unprotected_used -= bill->bill.tokens;
	bill->unprotected = false;
}

static void orphan_reservation(slice_t *slice, reservation_t *res)
{
	if (res->orphan || res->waiting)
		return;
	res->orphan = true;
	slice->reserved_tokens -= res->tokens;
	if (res->unprotected)
		slice->unprotected_used -= res->tokens;
	res->unprotected = false;
}

/*
 * Marks all bills unchecked: another router wrote the grant, and may have
 * settled any of them.
 */
void slice_mark_unchecked(ledger_t *ledger, slice_t *slice)
{
	for (guint i = 0; i < slice->bills->len; i++) {
		pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		bill->unchecked = true;
		slice->unchecked = true;
	}
}

/*
 * Handles the recovery or deletion of the grant by another router.  A recovered
 * grant still covers the tokens spent without protection, which are withheld;
 * all other bills and reservations become orphans and need a new grant.
 */
void slice_grant_lost(ledger_t *ledger, slice_t *slice)
{
	bool withheld = slice->grant_rev != 0;
	uint32_t cursor = 0;
	reservation_t *res;

	metrics_add(ledger->kernel->metrics, COUNTER_GRANTS_LOST, 1);
	for (guint i = 0; i < slice->bills->len; i++) {
		pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		bill->unchecked = true;
		if (!withheld || !bill->unprotected)
			orphan_bill(slice, bill);
		slice->unchecked = true;
	}
	while ((res = table_next(&ledger->reservations, &cursor, NULL)) !=
	       NULL) {
		if (handle_equal(res->slice, slice->handle) &&
		    (!withheld || !res->unprotected))
			orphan_reservation(slice, res);
	}
	slice->budget_fresh = false;
}
