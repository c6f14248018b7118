#include "prepaid/sharing.h"

#include "kernel/hash.h"
#include "log/log.h"

#include <string.h>

/*
 * Peers of a large fleet that are asked for slices for one reservation.  In a
 * small fleet all are asked, because the last tokens of an account are spread
 * over all instances.
 */
#define ASKED_PEERS_LARGE_FLEET 6
/* A peer replies within a few ms, unless it has to call the store itself. */
#define PEER_WAIT_US (120 * USEC_PER_MSEC)
/* A home may have to call the store first, which takes some ms. */
#define HOME_WAIT_US (250 * USEC_PER_MSEC)
/*
 * Time without refill requests after the home has reported the account as
 * spent, unless a new reservation arrives.
 */
#define EXHAUSTED_PAUSE_US (300 * USEC_PER_MSEC)
/* Time that failed homes are skipped; the next instance is asked instead. */
#define HOME_RETRY_US USEC_PER_SEC

static void send_body(prepaid_t *prepaid, const char *peer, peer_body_t *body)
{
	kernel_post_peer(prepaid->kernel, prepaid->svc, prepaid->peer, peer,
			 body);
}

static void send_slice_request(prepaid_t *prepaid,
			       const reservation_t *reservation,
			       const char *peer)
{
	peer_body_t *body = peer_body_new(PEER_SLICE_REQUEST);

	g_strlcpy(body->u.slice.client_account, reservation->account->name,
		  sizeof(body->u.slice.client_account));
	body->u.slice.tokens = reservation->tokens;
	send_body(prepaid, peer, body);
}

static void add_asked_peer(prepaid_account_t *account, const char *incarnation)
{
	asked_peer_t *asked;

	for (uint32_t i = 0; i < account->asked_count; i++) {
		if (strcmp(account->asked[i].incarnation, incarnation) != 0)
			continue;
		account->asked[i].replies_due++;
		return;
	}
	if (account->asked_count == G_N_ELEMENTS(account->asked))
		return;
	asked = &account->asked[account->asked_count++];
	g_strlcpy(asked->incarnation, incarnation, sizeof(asked->incarnation));
	asked->replies_due = 1;
}

void sharing_slice_received(prepaid_account_t *account, const char *incarnation)
{
	for (uint32_t i = 0; i < account->asked_count; i++) {
		asked_peer_t *asked = &account->asked[i];

		if (strcmp(asked->incarnation, incarnation) != 0)
			continue;
		if (--asked->replies_due == 0)
			*asked = account->asked[--account->asked_count];
		return;
	}
}

bool sharing_is_answered(const prepaid_account_t *account)
{
	return account->asked_count == 0;
}

void sharing_forget_asked(prepaid_account_t *account)
{
	account->asked_count = 0;
}

void sharing_request_slices(prepaid_t *prepaid, reservation_t *reservation,
			    int64_t wait)
{
	guint count = peer_set_count(&prepaid->peers);
	guint asked = peer_set_is_large(&prepaid->peers)
			      ? ASKED_PEERS_LARGE_FLEET
			      : count;
	guint first;

	if (reservation->slices_requested ||
	    reservation->kind != RESERVATION_REQUEST)
		return;
	reservation->slices_requested = true;
	reservation_set_timeout(prepaid, reservation, wait);
	if (count == 0)
		return;
	first = (guint)kernel_random_below(prepaid->kernel, count);
	for (guint i = 0; i < asked; i++) {
		const peer_ref_t *peer =
			peer_set_at(&prepaid->peers, (first + i) % count);

		send_slice_request(prepaid, reservation, peer->incarnation);
		add_asked_peer(reservation->account, peer->incarnation);
	}
}

void sharing_exhausted(prepaid_t *prepaid, prepaid_account_t *account)
{
	GList *link = account->waiting.head;

	while (link != NULL) {
		reservation_t *reservation = link->data;

		link = link->next;
		if (reservation->kind != RESERVATION_REQUEST ||
		    peer_set_count(&prepaid->peers) == 0)
			reservation_refuse(prepaid, reservation, RESERVE_SPENT);
		else
			sharing_request_slices(prepaid, reservation,
					       PEER_WAIT_US);
	}
}

static bool is_failed_home(const prepaid_account_t *account,
			   const char *incarnation)
{
	for (uint32_t i = 0; i < account->failed_home_count; i++)
		if (strcmp(account->failed_homes[i], incarnation) == 0)
			return true;
	return false;
}

static void choose_home(prepaid_t *prepaid, prepaid_account_t *account)
{
	uint64_t best = 0;

	/* A home has to call the store, and keeps its grant. */
	if (prepaid->store_up && !prepaid->stopping)
		best = hash_rendezvous(prepaid->opts.incarnation,
				       account->name);
	account->home[0] = '\0';
	account->home_version = prepaid->homes_version;
	for (guint i = 0; i < peer_set_count(&prepaid->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&prepaid->peers, i);
		uint64_t weight;

		if ((!account_has_fleet_home(account) &&
		     strcmp(peer->availability_zone,
			    prepaid->opts.availability_zone) != 0) ||
		    is_failed_home(account, peer->incarnation))
			continue;
		weight = hash_rendezvous(peer->incarnation, account->name);
		if (weight <= best)
			continue;
		best = weight;
		g_strlcpy(account->home, peer->incarnation,
			  sizeof(account->home));
	}
}

/*
 * Reservations for peers are served from the store.  If this instance asked a
 * home for them, two instances could wait for each other.
 */
static bool has_peer_reservations(const prepaid_account_t *account)
{
	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		if (((const reservation_t *)link->data)->kind !=
		    RESERVATION_REQUEST)
			return true;
	return false;
}

fleet_share_t sharing_fleet_share(const prepaid_t *prepaid,
				  const prepaid_account_t *account)
{
	if (peer_set_is_large(&prepaid->peers) && account->home[0] == '\0')
		return reservation_home_share(prepaid, account);
	return (fleet_share_t){.served = 1, .total = prepaid->instances};
}

bool sharing_has_home(prepaid_t *prepaid, prepaid_account_t *account)
{
	if (!peer_set_is_large(&prepaid->peers) || prepaid->stopping ||
	    account->prepaid_tokens < 0)
		return false;
	if (account->failed_home_count > 0 &&
	    kernel_now(prepaid->kernel) >= account->failed_homes_until) {
		account->failed_home_count = 0;
		choose_home(prepaid, account);
	}
	if (account->failed_home_count == FAILED_HOMES_MAX)
		return false;
	if (account->home_version != prepaid->homes_version)
		choose_home(prepaid, account);
	return account->home[0] != '\0' && !has_peer_reservations(account);
}

static bool all_requested_slices(const prepaid_account_t *account)
{
	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		if (!((const reservation_t *)link->data)->slices_requested)
			return false;
	return true;
}

void sharing_request_refill(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t available = account_available(account);
	fleet_share_t share = sharing_fleet_share(prepaid, account);
	int64_t headroom =
		account_headroom(account, &share, kernel_now(prepaid->kernel));
	peer_body_t *body;

	if (account->refill_pending)
		return;
	if (all_requested_slices(account) &&
	    (available >= headroom / REFILL_DIVISOR ||
	     kernel_now(prepaid->kernel) - account->exhausted_at <
		     EXHAUSTED_PAUSE_US))
		return;
	body = peer_body_new(PEER_REFILL_REQUEST);
	g_strlcpy(body->u.refill_request.client_account, account->name,
		  sizeof(body->u.refill_request.client_account));
	body->u.refill_request.tokens =
		MAX(reservations_total(account) + headroom - available, 0);
	account->refill_least =
		account->waiting.length > 0
			? MAX(reservations_min_shortfall(account), 0)
			: 0;
	body->u.refill_request.least = account->refill_least;
	send_body(prepaid, account->home, body);
	account->refill_pending = true;
	account->refill_timer =
		kernel_timer(prepaid->kernel, prepaid->svc, HOME_WAIT_US,
			     account->self, PREPAID_TIMER_REFILL);
}

void sharing_home_replied(prepaid_t *prepaid, prepaid_account_t *account)
{
	account->refill_pending = false;
	kernel_timer_cancel(prepaid->kernel, &account->refill_timer);
}

void sharing_home_failed(prepaid_t *prepaid, prepaid_account_t *account)
{
	account->refill_pending = false;
	kernel_timer_cancel(prepaid->kernel, &account->refill_timer);
	account->headroom_limit = -1;
	log_event(LOG_LEVEL_INFO, "prepaid", "home_failed",
		  "account=%s home=%s waiting=%u", account->name, account->home,
		  account->waiting.length);
	if (account->failed_home_count == FAILED_HOMES_MAX ||
	    account->home[0] == '\0')
		return;
	g_strlcpy(account->failed_homes[account->failed_home_count++],
		  account->home, INCARNATION_SIZE);
	account->failed_homes_until =
		kernel_now(prepaid->kernel) + HOME_RETRY_US;
	choose_home(prepaid, account);
}

void sharing_return_excess(prepaid_t *prepaid, prepaid_account_t *account)
{
	fleet_share_t share;
	int64_t headroom, excess;

	if (account->refill_pending || account->call_pending ||
	    account->grant_closed || account->waiting.length > 0 ||
	    !sharing_has_home(prepaid, account))
		return;
	share = sharing_fleet_share(prepaid, account);
	/*
	 * Tokens taken before there was a home are limited as well.  The home's
	 * own limit replaces this one with its next reply.
	 */
	if (account->headroom_limit < 0)
		account->headroom_limit = account_headroom_max(account, &share);
	headroom =
		account_headroom(account, &share, kernel_now(prepaid->kernel));
	excess = account_available(account) - headroom;
	/* A small excess is kept, because it would be requested again. */
	if (excess > MAX(headroom, (int64_t)account->mean_tokens))
		reservation_send_slice(prepaid, account, account->home, excess);
}

static const char *return_address(prepaid_t *prepaid,
				  prepaid_account_t *account)
{
	if (account->home_version != prepaid->homes_version)
		choose_home(prepaid, account);
	return account->home[0] != '\0'
		       ? account->home
		       : peer_set_at(&prepaid->peers, 0)->incarnation;
}

void sharing_return_transfers(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t unused = account_unused_transfers(account);

	if (unused <= 0 || peer_set_count(&prepaid->peers) == 0)
		return;
	reservation_send_slice(prepaid, account,
			       return_address(prepaid, account), unused);
}

void sharing_tokens_received(prepaid_t *prepaid, prepaid_account_t *account,
			     int64_t tokens)
{
	account->transferred_in += tokens;
	reservations_serve(prepaid, account);
	if (!prepaid->stopping || tokens <= 0)
		return;
	if (!account->grant_closed)
		sharing_return_transfers(prepaid, account);
	else if (peer_set_count(&prepaid->peers) > 0)
		reservation_forward_slice(prepaid, account,
					  return_address(prepaid, account),
					  tokens);
	else
		log_event(LOG_LEVEL_WARN, "prepaid", "lost",
			  "account=%s tokens=%" G_GINT64_FORMAT
			  " reason=no_peer",
			  account->name, tokens);
}

void sharing_announce_stop(prepaid_t *prepaid)
{
	send_body(prepaid, "", peer_body_new(PEER_LEAVE));
}
