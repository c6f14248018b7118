/*
 * Grant sizes: grows, shrinks and closes the grant of a slice according to
 * demand, and exchanges unused tokens with peers.
 */
#include "ledger/local.h"

#include <string.h>

#define REQUEST_FANOUT 8 /* slice requests per round */
#define REQUEST_ROUNDS_MAX 2
#define REQUESTERS_MAX 64
/*
 * A cached refusal lasts this long for each member, which limits the reads of
 * one spent budget to 1,000 a second for the whole fleet.
 */
#define SPENT_CACHE_PER_MEMBER_US USEC_PER_MSEC
#define DEMAND_RATE_MAX (TOKENS_MAX / 4096)
#define LEVEL_FACTOR 3
/* A grant is resized only by more than this fraction of its slice: 1/8. */
#define RESIZE_MIN_DIVISOR 8
/* Demand is averaged over at least this time. */
#define RATE_PERIOD_MIN_US USEC_PER_SEC

static void update_begin(ledger_t *ledger, slice_t *slice, update_kind_t kind)
{
	grant_update_t *update = &slice->update;

	update->kind = kind;
	update->outcome_unknown = false;
	update->ceded = 0;
	g_array_set_size(update->bills, 0);
	update->grant = slice->grant;
	update->grant.op = next_op(ledger);
	update->grant.recovered = false;
	update->budget = slice->budget_record;
}

static void begin_read(ledger_t *ledger, slice_t *slice)
{
	update_begin(ledger, slice, UPDATE_READ);
	for (guint i = 0; i < slice->bills->len; i++) {
		handle_t handle = g_array_index(slice->bills, handle_t, i);
		pending_bill_t *bill = table_get(&ledger->bills, handle);

		if (!bill->unchecked || bill->queued)
			continue;
		bill->in_flight = true;
		g_array_append_val(slice->update.bills, handle);
		if (slice->update.bills->len >= GROUP_BILLS_MAX)
			break;
	}
	update_send(ledger, slice);
}

static void begin_resize(ledger_t *ledger, slice_t *slice, int64_t granted,
			 int64_t ceded)
{
	grant_update_t *update = &slice->update;
	int64_t unspent = granted - slice->grant.settled;

	update_begin(ledger, slice, UPDATE_RESIZE);
	update->ceded = ceded;
	update->budget.granted += granted - slice->grant.granted;
	update->grant.granted = granted;
	update->grant.unprotected = MAX(
		unspent / 100 * ledger->opts.unprotected_percent +
			unspent % 100 * ledger->opts.unprotected_percent / 100,
		slice->unprotected_used);
	update_send(ledger, slice);
}

static void begin_close(ledger_t *ledger, slice_t *slice)
{
	grant_update_t *update = &slice->update;

	update_begin(ledger, slice, UPDATE_CLOSE);
	update->budget.granted -= slice->grant.granted - slice->grant.settled;
	update->budget.retired += slice->grant.settled;
	update_send(ledger, slice);
}

/* Returns the granted tokens that no bill and no reservation uses. */
static int64_t unused_tokens(const slice_t *slice)
{
	return slice->grant.granted - slice->grant.settled -
	       slice->pending_tokens - slice->reserved_tokens;
}

static int64_t unallocated_tokens(const slice_t *slice)
{
	return slice->budget_rev == 0
		       ? 0
		       : MAX(slice->budget_record.budget -
				     slice->budget_record.granted,
			     0);
}

static int64_t current_rate(const ledger_t *ledger, const slice_t *slice)
{
	int64_t elapsed = kernel_now(ledger->kernel) - slice->demand_since;
	int64_t rate = slice->demand_tokens /
		       (MAX(elapsed, RATE_PERIOD_MIN_US) / USEC_PER_MSEC) *
		       1000;

	return MIN(MAX(rate, slice->demand_rate), DEMAND_RATE_MAX);
}

/* Returns the unused tokens that the slice needs at recent demand. */
static int64_t wanted_tokens(const ledger_t *ledger, const slice_t *slice)
{
	return current_rate(ledger, slice) *
		       (ledger->opts.horizon_us / USEC_PER_SEC) +
	       ledger->opts.min_slice_tokens;
}

/*
 * Returns an equal share of the unallocated tokens.  A grant grows by more only
 * to cover bills and reservations.
 */
static int64_t fair_share(const ledger_t *ledger, const slice_t *slice)
{
	return unallocated_tokens(slice) / (int64_t)member_count(ledger);
}

/*
 * Each router aims at LEVEL_FACTOR times the unallocated tokens, so that all
 * routers hold about the same and few tokens stay in the store, where a
 * partitioned availability zone can't reach them: the demand of each zone
 * during a partition is unknown.  Returns the deficit; an excess is negative.
 */
static int64_t level_deficit(const slice_t *slice)
{
	return (LEVEL_FACTOR * unallocated_tokens(slice) -
		unused_tokens(slice)) /
	       (LEVEL_FACTOR + 1);
}

static bool is_idle(const slice_t *slice)
{
	return slice->refs == 0 && slice->update.kind == UPDATE_NONE;
}

static bool try_close(ledger_t *ledger, slice_t *slice)
{
	if (!is_idle(slice) || slice->grant_rev == 0)
		return false;
	if (slice->budget_rev == 0)
		begin_read(ledger, slice);
	else
		begin_close(ledger, slice);
	return true;
}

/* Returns the tokens reserved by running requests against a lost grant. */
static int64_t orphan_reservations(const ledger_t *ledger, const slice_t *slice)
{
	uint32_t cursor = 0;
	const reservation_t *res;
	int64_t sum = 0;

	while ((res = table_next(&ledger->reservations, &cursor, NULL)) !=
	       NULL) {
		if (res->orphan && handle_equal(res->slice, slice->handle))
			sum += res->tokens;
	}
	return sum;
}

/* Returns the next amount that the grant must cover, or -1 for none. */
static int64_t next_need(const ledger_t *ledger, const slice_t *slice)
{
	const reservation_t *res;

	for (guint i = 0; i < slice->bills->len; i++) {
		const pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		if (bill->orphan && !bill->unchecked && !bill->queued)
			return bill->bill.tokens;
	}
	if (slice->waiting->len == 0)
		return -1;
	res = table_get(&ledger->reservations,
			g_array_index(slice->waiting, handle_t, 0));
	return res->tokens;
}

static void grow_grant(ledger_t *ledger, slice_t *slice)
{
	int64_t needed = orphan_bill_tokens(ledger, slice) +
			 slice->waiting_tokens +
			 (slice->grant.recovered || slice->grant_rev == 0
				  ? orphan_reservations(ledger, slice)
				  : 0);
	int64_t growth = needed - unused_tokens(slice);
	int64_t desired =
		MAX(wanted_tokens(ledger, slice) - unused_tokens(slice),
		    level_deficit(slice));

	if (unallocated_tokens(slice) >= ledger->opts.min_slice_tokens)
		growth = MAX(growth, MIN(desired, fair_share(ledger, slice)));
	growth = MIN(growth, unallocated_tokens(slice));
	begin_resize(ledger, slice, slice->grant.granted + growth, 0);
}

static bool request_slices(ledger_t *ledger, slice_t *slice)
{
	GArray *members =
		ledger->members == NULL ? NULL : ledger->members->members;
	guint count = members == NULL ? 0 : members->len;
	guint first =
		count == 0 ? 0
			   : (guint)kernel_random_below(ledger->kernel, count);

	if (slice->request_rounds >= REQUEST_ROUNDS_MAX)
		return false;
	slice->request_rounds++;
	slice->replies_expected = 0;
	for (guint i = 0; i < count && slice->replies_expected < REQUEST_FANOUT;
	     i++) {
		const member_info_t *info = &g_array_index(
			members, member_info_t, (first + i) % count);
		peer_body_t *body;

		if (info->state != MEMBER_ALIVE ||
		    strcmp(info->incarnation, ledger->opts.incarnation) == 0)
			continue;
		body = peer_body_new(PEER_SLICE_REQUEST);
		g_strlcpy(body->u.slice.client_account, slice->client_account,
			  sizeof(body->u.slice.client_account));
		g_strlcpy(body->u.slice.budget, slice->budget,
			  sizeof(body->u.slice.budget));
		body->u.slice.tokens = MAX(orphan_bill_tokens(ledger, slice) +
						   slice->waiting_tokens -
						   unused_tokens(slice) -
						   unallocated_tokens(slice),
					   1);
		peer_send(ledger, info->incarnation, body);
		slice->replies_expected++;
	}
	if (slice->replies_expected == 0)
		return false;
	slice->reply_timer = kernel_timer(ledger->kernel, ledger->self,
					  ledger->opts.peer_reply_wait_us,
					  slice->handle, TIMER_SLICE_REPLY);
	return true;
}

/*
 * Caches a refusal.  The cache time is short while tokens are left in the
 * budget, in the grant or in reservations, which may not use all their tokens,
 * because the tokens left may soon suffice.
 */
static void cache_spent(ledger_t *ledger, slice_t *slice, int64_t need)
{
	int64_t now = kernel_now(ledger->kernel);
	int64_t fleet_lifetime =
		(int64_t)member_count(ledger) * SPENT_CACHE_PER_MEMBER_US;
	int64_t lifetime = MAX(ledger->opts.spent_cache_us, fleet_lifetime);

	if (unallocated_tokens(slice) + unused_tokens(slice) +
		    slice->reserved_tokens >
	    0)
		lifetime = MIN(lifetime, fleet_lifetime);
	slice->spent_tokens = now < slice->spent_until
				      ? MIN(slice->spent_tokens, need)
				      : need;
	slice->spent_until = now + lifetime;
}

/* Refuses the next orphan bill or waiting reservation; false if none. */
static bool refuse_next(ledger_t *ledger, slice_t *slice)
{
	reservation_t *res;

	for (guint i = 0; i < slice->bills->len; i++) {
		pending_bill_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		if (!bill->orphan || bill->unchecked || bill->queued ||
		    bill->replied)
			continue;
		bill_refuse(ledger, bill);
		return true;
	}
	if (slice->waiting->len == 0)
		return false;
	res = table_get(&ledger->reservations,
			g_array_index(slice->waiting, handle_t, 0));
	cache_spent(ledger, slice, res->tokens);
	reserve_refuse(ledger, res, RESERVE_SPENT);
	return true;
}

/* Obtains tokens from the budget or from peers for bills and reservations. */
static void handle_shortage(ledger_t *ledger, slice_t *slice)
{
	int64_t need;

	while (slice->update.kind == UPDATE_NONE &&
	       (need = next_need(ledger, slice)) >= 0) {
		if (need <= slice_available(slice) && slice->grant_rev != 0)
			return; /* waits for protection */
		if (slice->replies_expected > 0)
			return;
		if (slice->budget_rev != 0 &&
		    need - unused_tokens(slice) <= unallocated_tokens(slice)) {
			grow_grant(ledger, slice);
		} else if (!slice->budget_fresh) {
			begin_read(ledger, slice);
		} else if (slice->budget_rev == 0 ||
			   !request_slices(ledger, slice)) {
			if (!refuse_next(ledger, slice))
				return;
			reserve_admit_waiting(ledger, slice);
		}
	}
}

void requesters_reply(ledger_t *ledger, slice_t *slice, int64_t ceded)
{
	for (guint i = 0; i < slice->requesters->len; i++) {
		const requester_t *requester =
			&g_array_index(slice->requesters, requester_t, i);
		peer_body_t *body = peer_body_new(PEER_SLICE_REPLY);

		g_strlcpy(body->u.slice.client_account, slice->client_account,
			  sizeof(body->u.slice.client_account));
		g_strlcpy(body->u.slice.budget, slice->budget,
			  sizeof(body->u.slice.budget));
		body->u.slice.tokens = ceded;
		peer_send(ledger, requester->incarnation, body);
	}
	g_array_set_size(slice->requesters, 0);
}

static void serve_requesters(ledger_t *ledger, slice_t *slice)
{
	int64_t requested = 0;
	int64_t ceded;

	for (guint i = 0; i < slice->requesters->len; i++)
		requested +=
			g_array_index(slice->requesters, requester_t, i).tokens;
	ceded = MIN(requested, slice_available(slice));
	if (ceded <= 0)
		requesters_reply(ledger, slice, 0);
	else if (slice->budget_rev == 0)
		begin_read(ledger, slice);
	else
		begin_resize(ledger, slice, slice->grant.granted - ceded,
			     ceded);
}

/* Takes back a recovered grant as far as its tokens are used or needed. */
static void readopt_grant(ledger_t *ledger, slice_t *slice)
{
	int64_t used = slice->grant.settled + slice->pending_tokens +
		       slice->reserved_tokens;

	if (slice->budget_rev == 0)
		begin_read(ledger, slice);
	else if (slice->refs == 0)
		begin_close(ledger, slice);
	else if (next_need(ledger, slice) >= 0 && unallocated_tokens(slice) > 0)
		grow_grant(ledger, slice);
	else
		begin_resize(ledger, slice,
			     MIN(MAX(used, slice->grant.settled),
				 slice->grant.granted),
			     0);
}

/* Starts the next update that the slice needs. */
void slice_step(ledger_t *ledger, slice_t *slice)
{
	if (slice->update.kind != UPDATE_NONE || slice->is_stalled)
		return;
	protection_update(ledger);
	if (slice->unchecked ||
	    (slice->grant_rev != 0 && slice->verified_epoch != ledger->epoch &&
	     !ledger->protection_lapsed && !slice->grant.recovered)) {
		begin_read(ledger, slice);
		return;
	}
	if (slice->grant_rev != 0 && slice->grant.recovered) {
		readopt_grant(ledger, slice);
		return;
	}
	if (slice->requesters->len > 0)
		serve_requesters(ledger, slice);
	if (slice->update.kind == UPDATE_NONE)
		handle_shortage(ledger, slice);
	if (ledger->stopping)
		try_close(ledger, slice);
}

static void adjust_grant(ledger_t *ledger, slice_t *slice)
{
	int64_t wanted = wanted_tokens(ledger, slice);
	int64_t available = slice_available(slice);
	int64_t excess;

	if (slice->grant_rev == 0 || slice->grant.recovered ||
	    slice->budget_rev == 0 || slice->verified_epoch != ledger->epoch)
		return;
	excess = MIN(available - wanted, -level_deficit(slice));
	if (excess > available / RESIZE_MIN_DIVISOR)
		begin_resize(ledger, slice, slice->grant.granted - excess, 0);
	else if (MIN(MAX(wanted - available, level_deficit(slice)),
		     fair_share(ledger, slice)) >
		 MAX(available, wanted) / RESIZE_MIN_DIVISOR)
		grow_grant(ledger, slice);
}

/* Adapts the grant to demand; closes an idle grant and frees its slice. */
void slice_tick(ledger_t *ledger, slice_t *slice)
{
	int64_t now = kernel_now(ledger->kernel);
	int64_t elapsed = MAX(now - slice->demand_since, RATE_PERIOD_MIN_US);
	int64_t rate = slice->demand_tokens / (elapsed / USEC_PER_MSEC) * 1000;

	slice->demand_rate =
		MIN((slice->demand_rate + rate) / 2, DEMAND_RATE_MAX);
	slice->demand_tokens = 0;
	slice->demand_since = now;
	/* Read the budget again, so that released orphan bills are retried. */
	slice->budget_fresh = false;
	slice_step(ledger, slice);
	if (slice->update.kind != UPDATE_NONE || slice->is_stalled)
		return;
	if (slice->refs == 0 &&
	    now - slice->used_at >= ledger->opts.idle_close_us) {
		if (!try_close(ledger, slice) && !slice->is_dirty)
			slice_free(ledger, slice);
		return;
	}
	if (slice->waiting->len == 0)
		adjust_grant(ledger, slice);
}

void slice_request_recv(ledger_t *ledger, const char *from,
			const peer_body_t *body)
{
	slice_t *slice = slice_find(ledger, body->u.slice.client_account,
				    body->u.slice.budget);
	peer_body_t *reply;
	requester_t requester = {
		.tokens = CLAMP(body->u.slice.tokens, 0, TOKENS_MAX)};

	if (slice != NULL && slice->requesters->len < REQUESTERS_MAX) {
		g_strlcpy(requester.incarnation, from,
			  sizeof(requester.incarnation));
		g_array_append_val(slice->requesters, requester);
		slice_step(ledger, slice);
		return;
	}
	reply = peer_body_new(PEER_SLICE_REPLY);
	reply->u.slice = body->u.slice;
	reply->u.slice.tokens = 0;
	peer_send(ledger, from, reply);
}

static void slice_replies_done(ledger_t *ledger, slice_t *slice)
{
	kernel_timer_cancel(ledger->kernel, &slice->reply_timer);
	slice->replies_expected = 0;
	slice->budget_fresh = false;
	slice_step(ledger, slice);
}

void slice_reply_recv(ledger_t *ledger, const peer_body_t *body)
{
	slice_t *slice = slice_find(ledger, body->u.slice.client_account,
				    body->u.slice.budget);

	if (slice != NULL && slice->replies_expected > 0 &&
	    --slice->replies_expected == 0)
		slice_replies_done(ledger, slice);
}

void slice_reply_timeout(ledger_t *ledger, handle_t handle)
{
	slice_t *slice = table_get(&ledger->slices, handle);

	if (slice != NULL && slice->replies_expected > 0)
		slice_replies_done(ledger, slice);
}
