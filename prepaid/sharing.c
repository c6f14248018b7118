#include "prepaid/sharing.h"

#include "kernel/hash.h"
#include "log/log.h"

#include <string.h>

/* Peers asked for one reservation: each costs a message. */
#define ASK_PEERS 6
/* A peer answers within a few ms, unless it has to ask the store itself. */
#define PEER_WAIT_US (120 * USEC_PER_MSEC)
/* A home may have to ask the store first, which answers in some ms. */
#define HOME_WAIT_US (250 * USEC_PER_MSEC)
/* After the home said that an account is spent, without a new request. */
#define SPENT_PAUSE_US (300 * USEC_PER_MSEC)
/* A home that failed is not asked; the next one is meanwhile. */
#define HOME_RETRY_US USEC_PER_SEC

static void send_body(prepaid_t *prepaid, const char *peer, peer_body_t *body)
{
	kernel_post_peer(prepaid->kernel, prepaid->svc, prepaid->peer, peer,
			 body);
}

static void ask_peer(prepaid_t *prepaid, const reservation_t *reservation,
		     const char *peer)
{
	peer_body_t *body = peer_body_new(PEER_SLICE_REQUEST);

	g_strlcpy(body->u.slice.client_account, reservation->account->name,
		  sizeof(body->u.slice.client_account));
	body->u.slice.tokens = reservation->tokens;
	send_body(prepaid, peer, body);
}

void sharing_ask_peers(prepaid_t *prepaid, reservation_t *reservation,
		       int64_t wait)
{
	guint count = peer_set_count(&prepaid->peers);
	guint first;

	if (reservation->asked_peers ||
	    reservation->kind != RESERVATION_REQUEST)
		return;
	reservation->asked_peers = true;
	reservation_limit(prepaid, reservation, wait);
	if (count == 0)
		return;
	first = (guint)kernel_random_below(prepaid->kernel, count);
	for (guint i = 0; i < MIN(count, ASK_PEERS); i++)
		ask_peer(prepaid, reservation,
			 peer_set_at(&prepaid->peers, (first + i) % count)
				 ->incarnation);
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
			sharing_ask_peers(prepaid, reservation, PEER_WAIT_US);
	}
}

static bool is_avoided(const prepaid_account_t *account,
		       const char *incarnation)
{
	for (uint32_t i = 0; i < account->avoided_count; i++)
		if (strcmp(account->avoided[i], incarnation) == 0)
			return true;
	return false;
}

static void choose_home(prepaid_t *prepaid, prepaid_account_t *account)
{
	uint64_t best = 0;

	/* One that the store turns away can take nothing for others. */
	if (prepaid->store_up)
		best = hash_rendezvous(prepaid->opts.incarnation,
				       account->name);
	account->home[0] = '\0';
	account->home_version = prepaid->homes_version;
	for (guint i = 0; i < peer_set_count(&prepaid->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&prepaid->peers, i);
		uint64_t weight;

		if (strcmp(peer->availability_zone,
			   prepaid->opts.availability_zone) != 0 ||
		    is_avoided(account, peer->incarnation))
			continue;
		weight = hash_rendezvous(peer->incarnation, account->name);
		if (weight <= best)
			continue;
		best = weight;
		g_strlcpy(account->home, peer->incarnation,
			  sizeof(account->home));
	}
}

/* Peers that wait here are served from the store, or both would wait. */
static bool serves_peers(const prepaid_account_t *account)
{
	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		if (((const reservation_t *)link->data)->kind !=
		    RESERVATION_REQUEST)
			return true;
	return false;
}

fleet_share_t sharing_share(const prepaid_t *prepaid,
			    const prepaid_account_t *account)
{
	if (peer_set_is_large(&prepaid->peers) && account->home[0] == '\0')
		return reservation_zone_share(prepaid);
	return (fleet_share_t){.own = 1, .all = prepaid->instances};
}

bool sharing_has_home(prepaid_t *prepaid, prepaid_account_t *account)
{
	if (!peer_set_is_large(&prepaid->peers) || prepaid->stopping ||
	    account->prepaid < 0)
		return false;
	if (account->avoided_count > 0 &&
	    kernel_now(prepaid->kernel) >= account->avoided_until) {
		account->avoided_count = 0;
		choose_home(prepaid, account);
	}
	if (account->avoided_count == HOMES_AVOIDED_MAX)
		return false;
	if (account->home_version != prepaid->homes_version)
		choose_home(prepaid, account);
	return account->home[0] != '\0' && !serves_peers(account);
}

static bool all_asked_peers(const prepaid_account_t *account)
{
	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		if (!((const reservation_t *)link->data)->asked_peers)
			return false;
	return true;
}

void sharing_refill(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t available = account_available(account);
	fleet_share_t share = sharing_share(prepaid, account);
	int64_t headroom =
		account_headroom(account, &share, kernel_now(prepaid->kernel));
	peer_body_t *body;

	if (account->asking)
		return;
	if (all_asked_peers(account) &&
	    (available >= headroom / REFILL_PART ||
	     kernel_now(prepaid->kernel) - account->spent_at < SPENT_PAUSE_US))
		return;
	body = peer_body_new(PEER_REFILL_REQUEST);
	g_strlcpy(body->u.refill_request.client_account, account->name,
		  sizeof(body->u.refill_request.client_account));
	body->u.refill_request.tokens =
		MAX(reservations_sum(account) + headroom - available, 0);
	body->u.refill_request.least =
		account->waiting.length > 0
			? MAX(reservations_least_missing(account), 0)
			: 0;
	send_body(prepaid, account->home, body);
	account->asking = true;
	account->ask_timer =
		kernel_timer(prepaid->kernel, prepaid->svc, HOME_WAIT_US,
			     account->self, PREPAID_TIMER_HOME);
}

void sharing_home_answered(prepaid_t *prepaid, prepaid_account_t *account)
{
	account->asking = false;
	kernel_timer_cancel(prepaid->kernel, &account->ask_timer);
}

void sharing_home_failed(prepaid_t *prepaid, prepaid_account_t *account)
{
	account->asking = false;
	kernel_timer_cancel(prepaid->kernel, &account->ask_timer);
	account->most = -1;
	log_event(LOG_LEVEL_INFO, "prepaid", "home_failed",
		  "account=%s home=%s waiting=%u", account->name, account->home,
		  account->waiting.length);
	if (account->avoided_count == HOMES_AVOIDED_MAX ||
	    account->home[0] == '\0')
		return;
	g_strlcpy(account->avoided[account->avoided_count++], account->home,
		  INCARNATION_SIZE);
	account->avoided_until = kernel_now(prepaid->kernel) + HOME_RETRY_US;
	choose_home(prepaid, account);
}

void sharing_give_back(prepaid_t *prepaid, prepaid_account_t *account)
{
	fleet_share_t share;
	int64_t headroom, excess;

	if (account->asking || account->calling || account->sealed ||
	    account->waiting.length > 0 || !sharing_has_home(prepaid, account))
		return;
	share = sharing_share(prepaid, account);
	/* What was taken before there was a home; it says more when asked. */
	if (account->most < 0)
		account->most = account_part_max(account, &share);
	headroom =
		account_headroom(account, &share, kernel_now(prepaid->kernel));
	excess = account_available(account) - headroom;
	/* A small excess stays: it would be asked for again. */
	if (excess > MAX(headroom, (int64_t)account->usual))
		reservation_give(prepaid, account, account->home, excess);
}

void sharing_return(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t surplus = account_surplus(account);

	if (surplus <= 0 || peer_set_count(&prepaid->peers) == 0)
		return;
	if (account->home_version != prepaid->homes_version)
		choose_home(prepaid, account);
	reservation_give(prepaid, account,
			 account->home[0] != '\0'
				 ? account->home
				 : peer_set_at(&prepaid->peers, 0)->incarnation,
			 surplus);
}
