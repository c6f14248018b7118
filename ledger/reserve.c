/*
 * Reservations: admission against the grant, and the queue of reservations
 * that wait for tokens.
 */
#include "ledger/local.h"

#include <string.h>

#define WAITING_MAX 10000 /* waiting reservations per budget */

static void reservation_free(ledger_t *ledger, reservation_t *res)
{
	slice_t *slice = table_get(&ledger->slices, res->slice);

	slice->refs--;
	kernel_timer_cancel(ledger->kernel, &res->timer);
	table_remove(&ledger->reservations, res->handle);
}

void reserve_reply(ledger_t *ledger, reservation_t *res,
		   reserve_result_t result)
{
	msg_t msg = {.kind = MSG_RESERVED,
		     .ref = res->client_ref,
		     .id = res->handle};

	msg.u.reserved.result = result;
	kernel_post(ledger->kernel, ledger->self, res->client, &msg);
	kernel_timer_cancel(ledger->kernel, &res->timer);
	if (result != RESERVE_OK)
		reservation_free(ledger, res);
}

static bool admit(ledger_t *ledger, slice_t *slice, reservation_t *res)
{
	int64_t limit = slice->grant.unprotected;

	if (res->tokens > slice_available(slice) || slice->grant_rev == 0)
		return false;
	if (!is_protected(ledger, slice)) {
		if (slice->update.kind == UPDATE_RESIZE)
			limit = MIN(limit, slice->update.grant.unprotected);
		if (res->tokens > limit - slice->unprotected_used)
			return false;
		res->unprotected = true;
		slice->unprotected_used += res->tokens;
	}
	slice->reserved_tokens += res->tokens;
	return true;
}

static void enqueue(ledger_t *ledger, slice_t *slice, reservation_t *res)
{
	int64_t wait = ledger->opts.reserve_wait_us;
	int64_t now = kernel_now(ledger->kernel);

	if (res->deadline > 0)
		wait = MIN(wait, MAX(res->deadline - now, 0));
	if (slice->waiting->len == 0) {
		slice->budget_fresh = false;
		slice->request_rounds = 0;
	}
	res->waiting = true;
	slice->waiting_tokens += res->tokens;
	g_array_append_val(slice->waiting, res->handle);
	res->timer = kernel_timer(ledger->kernel, ledger->self, wait,
				  res->handle, TIMER_RESERVE_WAIT);
}

static void dequeue(slice_t *slice, reservation_t *res)
{
	res->waiting = false;
	slice->waiting_tokens -= res->tokens;
	array_remove_handle(slice->waiting, res->handle);
}

/* Refuses a waiting reservation. */
void reserve_refuse(ledger_t *ledger, reservation_t *res,
		    reserve_result_t result)
{
	dequeue(table_get(&ledger->slices, res->slice), res);
	reserve_reply(ledger, res, result);
}

static bool is_cached_spent(const ledger_t *ledger, const slice_t *slice,
			    int64_t tokens)
{
	return kernel_now(ledger->kernel) < slice->spent_until &&
	       tokens >= slice->spent_tokens;
}

static void refuse(ledger_t *ledger, const msg_t *msg, reserve_result_t result)
{
	msg_t reply = {.kind = MSG_RESERVED, .ref = msg->id};

	reply.u.reserved.result = result;
	kernel_post(ledger->kernel, ledger->self, msg->from, &reply);
}

void reserve_recv(ledger_t *ledger, const msg_t *msg)
{
	int64_t tokens = msg->u.reserve.tokens;
	reservation_t *res;
	slice_t *slice;
	handle_t handle;

	if (ledger->stopping) {
		refuse(ledger, msg, RESERVE_UNAVAILABLE);
		return;
	}
	if (tokens < 0 || tokens > TOKENS_MAX ||
	    !name_is_valid(msg->u.reserve.client_account) ||
	    !name_is_valid(msg->u.reserve.budget)) {
		refuse(ledger, msg, RESERVE_SPENT);
		return;
	}
	slice = slice_get(ledger, msg->u.reserve.client_account,
			  msg->u.reserve.budget);
	slice->used_at = kernel_now(ledger->kernel);
	if (slice->waiting->len >= WAITING_MAX) {
		refuse(ledger, msg, RESERVE_UNAVAILABLE);
		return;
	}
	handle = table_add(&ledger->reservations, (void **)&res);
	res->handle = handle;
	res->slice = slice->handle;
	res->client = msg->from;
	res->client_ref = msg->id;
	res->tokens = tokens;
	res->deadline = msg->u.reserve.deadline;
	slice->refs++;
	slice->demand_tokens = MIN(slice->demand_tokens + tokens, TOKENS_MAX);
	if (slice->waiting->len == 0 && admit(ledger, slice, res)) {
		reserve_reply(ledger, res, RESERVE_OK);
	} else if (is_cached_spent(ledger, slice, tokens)) {
		slice->demand_tokens -= tokens;
		reserve_reply(ledger, res, RESERVE_SPENT);
	} else {
		enqueue(ledger, slice, res);
		slice_step(ledger, slice);
	}
}

/* Covers orphan bills, then admits waiting reservations in order. */
void reserve_admit_waiting(ledger_t *ledger, slice_t *slice)
{
	reservation_t *res;

	bills_cover(ledger, slice);
	while (slice->waiting->len > 0) {
		res = table_get(&ledger->reservations,
				g_array_index(slice->waiting, handle_t, 0));
		if (!admit(ledger, slice, res))
			return;
		dequeue(slice, res);
		reserve_reply(ledger, res, RESERVE_OK);
	}
}

/* Ends a reservation; the used tokens are charged by a bill. */
void reserve_end(ledger_t *ledger, reservation_t *res, int64_t used)
{
	slice_t *slice = table_get(&ledger->slices, res->slice);

	if (res->waiting) {
		dequeue(slice, res);
	} else if (!res->orphan) {
		slice->reserved_tokens -= res->tokens;
		if (res->unprotected)
			slice->unprotected_used -= res->tokens;
	}
	slice->demand_tokens =
		MAX(slice->demand_tokens - (res->tokens - used), 0);
	reservation_free(ledger, res);
}

void release_recv(ledger_t *ledger, const msg_t *msg)
{
	reservation_t *res = table_get(&ledger->reservations, msg->ref);
	slice_t *slice;

	if (res == NULL)
		return;
	slice = table_get(&ledger->slices, res->slice);
	reserve_end(ledger, res, 0);
	reserve_admit_waiting(ledger, slice);
	slice_step(ledger, slice);
	check_stopped(ledger);
}

void reserve_timeout(ledger_t *ledger, handle_t handle)
{
	reservation_t *res = table_get(&ledger->reservations, handle);
	slice_t *slice;

	if (res == NULL || !res->waiting)
		return;
	slice = table_get(&ledger->slices, res->slice);
	res->timer = HANDLE_NONE;
	reserve_refuse(ledger, res, RESERVE_UNAVAILABLE);
	reserve_admit_waiting(ledger, slice);
	slice_step(ledger, slice);
}
