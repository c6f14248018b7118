#include "ledger/local.h"

#include <string.h>

#define ASK_FANOUT 8 /* peers asked for their slices in one round */
#define ASK_ROUNDS 2
#define ASKERS_MAX 64
/* Keeps the fleet's repeated looks at one budget under 1,000 a second. */
#define SPENT_SPREAD_PER_MEMBER USEC_PER_MSEC
#define RATE_MAX (TOKENS_MAX / 4096)
#define LEVEL 3
#define LEVEL_SLACK 8 /* smaller parts of a slice are not moved */
#define RATE_MIN_TIME USEC_PER_SEC /* shortest time a rate is taken over */

static void begin(ledger_t *ledger, slice_t *slice, flight_kind_t kind)
{
	flight_t *flight = &slice->flight;

	flight->kind = kind;
	flight->doubt = false;
	flight->given = 0;
	g_array_set_size(flight->bills, 0);
	flight->grant = slice->grant;
	flight->grant.op = next_op(ledger);
	flight->grant.recovered = false;
	flight->budget = slice->record;
}

static void begin_read(ledger_t *ledger, slice_t *slice)
{
	begin(ledger, slice, FLIGHT_READ);
	for (guint i = 0; i < slice->bills->len; i++) {
		handle_t handle = g_array_index(slice->bills, handle_t, i);
		pending_t *bill = table_get(&ledger->bills, handle);

		if (!bill->unchecked || bill->follower)
			continue;
		bill->in_flight = true;
		g_array_append_val(slice->flight.bills, handle);
		if (slice->flight.bills->len >= GROUP_BILLS_MAX)
			break;
	}
	flight_send(ledger, slice);
}

static void begin_resize(ledger_t *ledger, slice_t *slice, int64_t granted,
			 int64_t given)
{
	flight_t *flight = &slice->flight;
	int64_t rest = granted - slice->grant.settled;

	begin(ledger, slice, FLIGHT_RESIZE);
	flight->given = given;
	flight->budget.granted += granted - slice->grant.granted;
	flight->grant.granted = granted;
	flight->grant.unprotected =
		MAX(rest / 100 * ledger->opts.unprotected_percent +
			    rest % 100 * ledger->opts.unprotected_percent / 100,
		    slice->exposed);
	flight_send(ledger, slice);
}

static void begin_close(ledger_t *ledger, slice_t *slice)
{
	flight_t *flight = &slice->flight;

	begin(ledger, slice, FLIGHT_CLOSE);
	flight->budget.granted -= slice->grant.granted - slice->grant.settled;
	flight->budget.retired += slice->grant.settled;
	flight_send(ledger, slice);
}

/* Granted tokens that neither a bill nor a reservation uses. */
static int64_t unused(const slice_t *slice)
{
	return slice->grant.granted - slice->grant.settled - slice->pending -
	       slice->reserved;
}

static int64_t unallocated(const slice_t *slice)
{
	return slice->budget_rev == 0
		       ? 0
		       : MAX(slice->record.budget - slice->record.granted, 0);
}

static int64_t current_rate(const ledger_t *ledger, const slice_t *slice)
{
	int64_t elapsed = kernel_now(ledger->kernel) - slice->demand_from;
	int64_t rate = slice->demand /
		       (MAX(elapsed, RATE_MIN_TIME) / USEC_PER_MSEC) * 1000;

	return MIN(MAX(rate, slice->rate), RATE_MAX);
}

/* Unused tokens that the slice should hold at recent demand. */
static int64_t wanted(const ledger_t *ledger, const slice_t *slice)
{
	return current_rate(ledger, slice) *
		       (ledger->opts.horizon_us / USEC_PER_SEC) +
	       ledger->opts.min_slice;
}

/* A larger share than this is taken only for requests that wait. */
static int64_t fair_share(const ledger_t *ledger, const slice_t *slice)
{
	return unallocated(slice) / (int64_t)member_count(ledger);
}

/*
 * Every holder aims at LEVEL times what is unallocated, so that all hold about
 * the same and little stays in the store, out of reach of a partitioned
 * availability zone: where the demand will be during a partition is unknown.
 * Returns what is missing, or less than 0 for what is too much.
 */
static int64_t below_level(const slice_t *slice)
{
	return (LEVEL * unallocated(slice) - unused(slice)) / (LEVEL + 1);
}

static bool is_idle(const slice_t *slice)
{
	return slice->refs == 0 && slice->flight.kind == FLIGHT_NONE;
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

/* Running requests whose reservation went with a lost grant. */
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

/* The first amount that a new grant must cover, or -1. */
static int64_t head_need(const ledger_t *ledger, const slice_t *slice)
{
	const reservation_t *res;

	for (guint i = 0; i < slice->bills->len; i++) {
		const pending_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		if (bill->orphan && !bill->unchecked && !bill->follower)
			return bill->bill.tokens;
	}
	if (slice->waiting->len == 0)
		return -1;
	res = table_get(&ledger->reservations,
			g_array_index(slice->waiting, handle_t, 0));
	return res->tokens;
}

static void enlarge(ledger_t *ledger, slice_t *slice)
{
	int64_t all = bills_orphaned(ledger, slice) + slice->waiting_tokens +
		      (slice->grant.recovered || slice->grant_rev == 0
			       ? orphan_reservations(ledger, slice)
			       : 0);
	int64_t take = all - unused(slice);
	int64_t wish =
		MAX(wanted(ledger, slice) - unused(slice), below_level(slice));

	if (unallocated(slice) >= ledger->opts.min_slice)
		take = MAX(take, MIN(wish, fair_share(ledger, slice)));
	take = MIN(take, unallocated(slice));
	begin_resize(ledger, slice, slice->grant.granted + take, 0);
}

static bool ask_peers(ledger_t *ledger, slice_t *slice)
{
	GArray *members =
		ledger->members == NULL ? NULL : ledger->members->members;
	guint count = members == NULL ? 0 : members->len;
	guint first =
		count == 0 ? 0
			   : (guint)kernel_random_below(ledger->kernel, count);

	if (slice->ask_rounds >= ASK_ROUNDS)
		return false;
	slice->ask_rounds++;
	slice->ask_replies = 0;
	for (guint i = 0; i < count && slice->ask_replies < ASK_FANOUT; i++) {
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
		body->u.slice.tokens = MAX(
			bills_orphaned(ledger, slice) + slice->waiting_tokens -
				unused(slice) - unallocated(slice),
			1);
		peer_send(ledger, info->incarnation, body);
		slice->ask_replies++;
	}
	if (slice->ask_replies == 0)
		return false;
	slice->ask_timer = kernel_timer(ledger->kernel, ledger->self,
					ledger->opts.ask_wait_us, slice->handle,
					TIMER_ASK);
	return true;
}

/*
 * Remembers the refusal.  While some tokens are left, here or in reservations
 * that will not use all of theirs, they may soon be enough, so it is brief.
 */
static void conclude_spent(ledger_t *ledger, slice_t *slice, int64_t need)
{
	int64_t now = kernel_now(ledger->kernel);
	int64_t spread =
		(int64_t)member_count(ledger) * SPENT_SPREAD_PER_MEMBER;
	int64_t keep = MAX(ledger->opts.spent_cache_us, spread);

	if (unallocated(slice) + unused(slice) + slice->reserved > 0)
		keep = MIN(keep, spread);
	slice->spent_tokens = now < slice->spent_until
				      ? MIN(slice->spent_tokens, need)
				      : need;
	slice->spent_until = now + keep;
}

/* Refuses the first in line; false when it can't be refused. */
static bool refuse_head(ledger_t *ledger, slice_t *slice)
{
	reservation_t *res;

	for (guint i = 0; i < slice->bills->len; i++) {
		pending_t *bill =
			table_get(&ledger->bills,
				  g_array_index(slice->bills, handle_t, i));

		if (!bill->orphan || bill->unchecked || bill->follower ||
		    bill->answered)
			continue;
		bill_refuse(ledger, bill);
		return true;
	}
	if (slice->waiting->len == 0)
		return false;
	res = table_get(&ledger->reservations,
			g_array_index(slice->waiting, handle_t, 0));
	conclude_spent(ledger, slice, res->tokens);
	reserve_withdraw(ledger, res, RESERVE_SPENT);
	return true;
}

/* Something waits for tokens that the grant doesn't have. */
static void handle_shortage(ledger_t *ledger, slice_t *slice)
{
	int64_t need;

	while (slice->flight.kind == FLIGHT_NONE &&
	       (need = head_need(ledger, slice)) >= 0) {
		if (need <= slice_available(slice) && slice->grant_rev != 0)
			return; /* waits for protection */
		if (slice->ask_replies > 0)
			return;
		if (slice->budget_rev != 0 &&
		    need - unused(slice) <= unallocated(slice)) {
			enlarge(ledger, slice);
		} else if (!slice->fresh) {
			begin_read(ledger, slice);
		} else if (slice->budget_rev == 0 ||
			   !ask_peers(ledger, slice)) {
			if (!refuse_head(ledger, slice))
				return;
			reserve_pump(ledger, slice);
		}
	}
}

void askers_answer(ledger_t *ledger, slice_t *slice, int64_t given)
{
	for (guint i = 0; i < slice->askers->len; i++) {
		const asker_t *asker =
			&g_array_index(slice->askers, asker_t, i);
		peer_body_t *body = peer_body_new(PEER_SLICE_REPLY);

		g_strlcpy(body->u.slice.client_account, slice->client_account,
			  sizeof(body->u.slice.client_account));
		g_strlcpy(body->u.slice.budget, slice->budget,
			  sizeof(body->u.slice.budget));
		body->u.slice.tokens = given;
		peer_send(ledger, asker->incarnation, body);
	}
	g_array_set_size(slice->askers, 0);
}

static void serve_askers(ledger_t *ledger, slice_t *slice)
{
	int64_t asked = 0;
	int64_t give;

	for (guint i = 0; i < slice->askers->len; i++)
		asked += g_array_index(slice->askers, asker_t, i).tokens;
	give = MIN(asked, slice_available(slice));
	if (give <= 0)
		askers_answer(ledger, slice, 0);
	else if (slice->budget_rev == 0)
		begin_read(ledger, slice);
	else
		begin_resize(ledger, slice, slice->grant.granted - give, give);
}

/* A recovered grant is taken over again as far as it is used or needed. */
static void take_over(ledger_t *ledger, slice_t *slice)
{
	int64_t used = slice->grant.settled + slice->pending + slice->reserved;

	if (slice->budget_rev == 0)
		begin_read(ledger, slice);
	else if (slice->refs == 0)
		begin_close(ledger, slice);
	else if (head_need(ledger, slice) >= 0 && unallocated(slice) > 0)
		enlarge(ledger, slice);
	else
		begin_resize(ledger, slice,
			     MIN(MAX(used, slice->grant.settled),
				 slice->grant.granted),
			     0);
}

/* Starts what the slice needs next from the store. */
void slice_step(ledger_t *ledger, slice_t *slice)
{
	if (slice->flight.kind != FLIGHT_NONE || slice->is_stalled)
		return;
	protection_update(ledger);
	if (slice->unchecked ||
	    (slice->grant_rev != 0 && slice->verified != ledger->epoch &&
	     !ledger->lapsed && !slice->grant.recovered)) {
		begin_read(ledger, slice);
		return;
	}
	if (slice->grant_rev != 0 && slice->grant.recovered) {
		take_over(ledger, slice);
		return;
	}
	if (slice->askers->len > 0)
		serve_askers(ledger, slice);
	if (slice->flight.kind == FLIGHT_NONE)
		handle_shortage(ledger, slice);
	if (ledger->stopping)
		try_close(ledger, slice);
}

static void adjust(ledger_t *ledger, slice_t *slice)
{
	int64_t target = wanted(ledger, slice);
	int64_t have = slice_available(slice);
	int64_t excess;

	if (slice->grant_rev == 0 || slice->grant.recovered ||
	    slice->budget_rev == 0 || slice->verified != ledger->epoch)
		return;
	excess = MIN(have - target, -below_level(slice));
	if (excess > have / LEVEL_SLACK)
		begin_resize(ledger, slice, slice->grant.granted - excess, 0);
	else if (MIN(MAX(target - have, below_level(slice)),
		     fair_share(ledger, slice)) >
		 MAX(have, target) / LEVEL_SLACK)
		enlarge(ledger, slice);
}

/* Follows demand; closes and forgets what is not used. */
void slice_tick(ledger_t *ledger, slice_t *slice)
{
	int64_t now = kernel_now(ledger->kernel);
	int64_t elapsed = MAX(now - slice->demand_from, RATE_MIN_TIME);
	int64_t rate = slice->demand / (elapsed / USEC_PER_MSEC) * 1000;

	slice->rate = MIN((slice->rate + rate) / 2, RATE_MAX);
	slice->demand = 0;
	slice->demand_from = now;
	/* Released bills without a grant must be tried again and again. */
	slice->fresh = false;
	slice_step(ledger, slice);
	if (slice->flight.kind != FLIGHT_NONE || slice->is_stalled)
		return;
	if (slice->refs == 0 &&
	    now - slice->used_at >= ledger->opts.close_after_us) {
		if (!try_close(ledger, slice) && !slice->is_dirty)
			slice_free(ledger, slice);
		return;
	}
	if (slice->waiting->len == 0)
		adjust(ledger, slice);
}

void ask_recv(ledger_t *ledger, const char *from, const peer_body_t *body)
{
	slice_t *slice = slice_find(ledger, body->u.slice.client_account,
				    body->u.slice.budget);
	peer_body_t *reply;
	asker_t asker = {.tokens = CLAMP(body->u.slice.tokens, 0, TOKENS_MAX)};

	if (slice != NULL && slice->askers->len < ASKERS_MAX) {
		g_strlcpy(asker.incarnation, from, sizeof(asker.incarnation));
		g_array_append_val(slice->askers, asker);
		slice_step(ledger, slice);
		return;
	}
	reply = peer_body_new(PEER_SLICE_REPLY);
	reply->u.slice = body->u.slice;
	reply->u.slice.tokens = 0;
	peer_send(ledger, from, reply);
}

static void ask_done(ledger_t *ledger, slice_t *slice)
{
	kernel_timer_cancel(ledger->kernel, &slice->ask_timer);
	slice->ask_replies = 0;
	slice->fresh = false;
	slice_step(ledger, slice);
}

void ask_reply_recv(ledger_t *ledger, const peer_body_t *body)
{
	slice_t *slice = slice_find(ledger, body->u.slice.client_account,
				    body->u.slice.budget);

	if (slice != NULL && slice->ask_replies > 0 &&
	    --slice->ask_replies == 0)
		ask_done(ledger, slice);
}

void ask_timeout(ledger_t *ledger, handle_t handle)
{
	slice_t *slice = table_get(&ledger->slices, handle);

	if (slice != NULL && slice->ask_replies > 0)
		ask_done(ledger, slice);
}
