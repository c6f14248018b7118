#include "prepaid/reservation.h"

#include "log/log.h"
#include "prepaid/restore.h"

#include <string.h>

reservation_t *reservation_add(prepaid_t *prepaid, prepaid_account_t *account,
			       reservation_kind_t kind, int64_t tokens)
{
	reservation_t *reservation;
	handle_t self =
		table_add(&prepaid->reservations, (void **)&reservation);

	reservation->self = self;
	reservation->kind = kind;
	reservation->account = account;
	reservation->tokens = tokens;
	reservation->min_tokens = tokens;
	reservation->waiting = true;
	g_queue_push_tail(&account->waiting, reservation);
	return reservation;
}

void reservation_remove(prepaid_t *prepaid, reservation_t *reservation)
{
	kernel_timer_cancel(prepaid->kernel, &reservation->timer);
	if (reservation->waiting)
		g_queue_remove(&reservation->account->waiting, reservation);
	table_remove(&prepaid->reservations, reservation->self);
}

void reservation_set_timeout(prepaid_t *prepaid, reservation_t *reservation,
			     int64_t wait)
{
	kernel_timer_cancel(prepaid->kernel, &reservation->timer);
	reservation->timer =
		kernel_timer(prepaid->kernel, prepaid->svc, wait,
			     reservation->self, PREPAID_TIMER_WAIT);
}

/*
 * Bounds of the time after which a caller is asked to return during an outage
 * of the store.
 */
#define OUTAGE_RETRY_MIN_MS 300
#define OUTAGE_RETRY_MAX_MS 5000

/*
 * Estimates when the store is available again: an outage is expected to last
 * as long again as it has lasted.  A caller that returns earlier would be
 * refused a second time.
 */
static uint32_t retry_after_ms(const prepaid_t *prepaid)
{
	int64_t elapsed_ms =
		(kernel_now(prepaid->kernel) - prepaid->store_down_since) /
		USEC_PER_MSEC;

	if (prepaid->store_up)
		return (uint32_t)(restore_settles_in(prepaid) / USEC_PER_MSEC);
	return (uint32_t)CLAMP(elapsed_ms, OUTAGE_RETRY_MIN_MS,
			       OUTAGE_RETRY_MAX_MS);
}

static void post_result(prepaid_t *prepaid, const reservation_t *reservation,
			reserve_result_t result)
{
	msg_t msg = {.kind = MSG_RESERVED,
		     .ref = reservation->ref,
		     .id = reservation->self};

	msg.u.reserved.result = result;
	msg.u.reserved.retry_after_ms = retry_after_ms(prepaid);
	kernel_post(prepaid->kernel, prepaid->svc, reservation->owner, &msg);
}

static void send_body(prepaid_t *prepaid, const char *peer, peer_body_t *body)
{
	kernel_post_peer(prepaid->kernel, prepaid->svc, prepaid->peer, peer,
			 body);
}

/* Deducts up to this many tokens for a transfer to a peer. */
static int64_t transfer_out(prepaid_account_t *account, int64_t tokens)
{
	tokens = CLAMP(account_available(account), 0, tokens);
	account->transferred_out += tokens;
	return tokens;
}

static void send_slice(prepaid_t *prepaid, const prepaid_account_t *account,
		       const char *peer, int64_t tokens)
{
	peer_body_t *body = peer_body_new(PEER_SLICE_REPLY);

	g_strlcpy(body->u.slice.client_account, account->name,
		  sizeof(body->u.slice.client_account));
	body->u.slice.tokens = tokens;
	log_event(LOG_LEVEL_DEBUG, "prepaid", "sent",
		  "account=%s tokens=%" G_GINT64_FORMAT " stopping=%d peer=%s",
		  account->name, tokens, prepaid->stopping, peer);
	send_body(prepaid, peer, body);
}

void reservation_send_slice(prepaid_t *prepaid, prepaid_account_t *account,
			    const char *peer, int64_t tokens)
{
	send_slice(prepaid, account, peer, transfer_out(account, tokens));
}

void reservation_forward_slice(prepaid_t *prepaid, prepaid_account_t *account,
			       const char *peer, int64_t tokens)
{
	account->transferred_out += tokens;
	send_slice(prepaid, account, peer, tokens);
}

fleet_share_t reservation_home_share(const prepaid_t *prepaid,
				     const prepaid_account_t *account)
{
	fleet_share_t share = {
		.served = prepaid->instances,
		.total = prepaid->instances,
	};

	if (!account_has_fleet_home(account))
		share.served = peer_set_count_in_zone(
				       &prepaid->peers,
				       prepaid->opts.availability_zone) +
			       1;
	return share;
}

int64_t reservation_refill_max(const prepaid_t *prepaid,
			       const prepaid_account_t *account)
{
	fleet_share_t share = reservation_home_share(prepaid, account);

	return account_headroom_max(account, &share) / share.served;
}

static void send_refill(prepaid_t *prepaid, const reservation_t *reservation,
			bool spent)
{
	prepaid_account_t *account = reservation->account;
	peer_body_t *body = peer_body_new(PEER_REFILL_REPLY);
	int64_t tokens = transfer_out(account, reservation->tokens);

	g_strlcpy(body->u.refill_reply.client_account, account->name,
		  sizeof(body->u.refill_reply.client_account));
	body->u.refill_reply.tokens = tokens;
	body->u.refill_reply.most = reservation_refill_max(prepaid, account);
	body->u.refill_reply.spent = spent && tokens < reservation->min_tokens;
	body->u.refill_reply.later = restore_is_settling(prepaid);
	send_body(prepaid, reservation->peer, body);
}

void reservation_accept(prepaid_t *prepaid, reservation_t *reservation)
{
	prepaid_account_t *account = reservation->account;

	switch (reservation->kind) {
	case RESERVATION_REQUEST:
		g_queue_remove(&account->waiting, reservation);
		reservation->waiting = false;
		kernel_timer_cancel(prepaid->kernel, &reservation->timer);
		account->reserved += reservation->tokens;
		post_result(prepaid, reservation, RESERVE_OK);
		break;
	case RESERVATION_SLICE:
		reservation_send_slice(prepaid, account, reservation->peer,
				       reservation->tokens);
		reservation_remove(prepaid, reservation);
		break;
	case RESERVATION_REFILL:
		send_refill(prepaid, reservation, false);
		reservation_remove(prepaid, reservation);
		break;
	}
}

static const char *kind_name(reservation_kind_t kind)
{
	switch (kind) {
	case RESERVATION_REQUEST:
		return "request";
	case RESERVATION_SLICE:
		return "slice";
	case RESERVATION_REFILL:
		return "refill";
	}
	return "unknown";
}

void reservation_refuse(prepaid_t *prepaid, reservation_t *reservation,
			reserve_result_t result)
{
	prepaid_account_t *account = reservation->account;

	log_event(LOG_LEVEL_INFO, "prepaid", "refused",
		  "kind=%s request=%s account=%s tokens=%" G_GINT64_FORMAT
		  " reason=%s available=%" G_GINT64_FORMAT
		  " unallocated=%" G_GINT64_FORMAT " prepaid=%" G_GINT64_FORMAT
		  " revision=" REVISION_FORMAT
		  " store_up=%d stopping=%d home=%s peer=%s",
		  kind_name(reservation->kind),
		  log_quote(reservation->request_id), account->name,
		  reservation->tokens,
		  result == RESERVE_SPENT ? "spent" : "store_unavailable",
		  account_available(account), account_unallocated(account),
		  account->prepaid_tokens,
		  REVISION_ARGS(MAX(account->revision, 0)), prepaid->store_up,
		  prepaid->stopping, account->home, reservation->peer);
	switch (reservation->kind) {
	case RESERVATION_REQUEST:
		post_result(prepaid, reservation, result);
		break;
	case RESERVATION_SLICE:
		reservation_send_slice(prepaid, account, reservation->peer,
				       reservation->tokens);
		break;
	case RESERVATION_REFILL:
		send_refill(prepaid, reservation, result == RESERVE_SPENT);
		break;
	}
	reservation_remove(prepaid, reservation);
}

void reservations_serve(prepaid_t *prepaid, prepaid_account_t *account)
{
	GList *link = account->waiting.head;

	while (link != NULL) {
		reservation_t *reservation = link->data;

		link = link->next;
		if (account_available(account) >= reservation->tokens)
			reservation_accept(prepaid, reservation);
	}
}

void reservations_refuse_all(prepaid_t *prepaid, prepaid_account_t *account)
{
	reservation_t *reservation;

	while ((reservation = g_queue_peek_head(&account->waiting)) != NULL)
		reservation_refuse(prepaid, reservation, RESERVE_UNAVAILABLE);
}

int64_t reservations_total(const prepaid_account_t *account)
{
	int64_t sum = 0;

	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		sum += ((const reservation_t *)link->data)->tokens;
	return sum;
}

int64_t reservations_min_shortfall(const prepaid_account_t *account)
{
	int64_t min_tokens = INT64_MAX;

	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		min_tokens =
			MIN(min_tokens,
			    ((const reservation_t *)link->data)->min_tokens);
	return min_tokens - account_available(account);
}
