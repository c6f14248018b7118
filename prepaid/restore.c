#include "prepaid/restore.h"

#include "kernel/hash.h"
#include "log/log.h"
#include "prepaid/grant.h"

#include <string.h>

/*
 * Limit on the wait for peers.  An instance that is not connected to all others
 * waits until those have written back what they know.
 */
#define SETTLE_US (2500 * USEC_PER_MSEC)
#define NOT_ASKED (-1) /* settle_since: the peers are not asked yet */
/* Time in which an instance that has just started connects to its peers. */
#define CONNECT_US (300 * USEC_PER_MSEC)
/* Interval between two requests to a peer that has not replied. */
#define ASK_AGAIN_US (300 * USEC_PER_MSEC)
/* Peers of a large fleet that are told of an account's grants. */
#define SUCCESSORS 8
/*
 * Delays of the write of a joined record.  One instance writes first; the
 * others see its record before it is their turn.
 */
#define SAVE_FIRST_US (100 * USEC_PER_MSEC)
#define SAVE_OTHERS_US (1200 * USEC_PER_MSEC)

static int64_t spread(prepaid_t *prepaid, int64_t delay)
{
	return delay +
	       (int64_t)kernel_random_below(prepaid->kernel, (uint64_t)delay);
}

/* Counts the peers that are preferred to this instance for the account. */
static guint own_rank(const prepaid_t *prepaid,
		      const prepaid_account_t *account)
{
	uint64_t own =
		hash_rendezvous(prepaid->opts.incarnation, account->name);
	guint rank = 0;

	for (guint i = 0; i < peer_set_count(&prepaid->peers); i++)
		rank += hash_rendezvous(
				peer_set_at(&prepaid->peers, i)->incarnation,
				account->name) > own;
	return rank;
}

void restore_schedule_save(prepaid_t *prepaid, prepaid_account_t *account,
			   int64_t delay)
{
	if (handle_is_none(account->save_timer))
		account->save_timer =
			kernel_timer(prepaid->kernel, prepaid->svc, delay,
				     account->self, PREPAID_TIMER_SAVE);
}

/*
 * Schedules the write of what the store may lack.  In a large fleet, whose
 * instances learn of a restore one after the other, the account's home and its
 * successors do that, and the others tell them.
 */
static void schedule_join(prepaid_t *prepaid, prepaid_account_t *account)
{
	bool large = peer_set_is_large(&prepaid->peers);
	guint rank = own_rank(prepaid, account);

	if (rank == 0)
		restore_schedule_save(prepaid, account,
				      large ? SAVE_OTHERS_US : SAVE_FIRST_US);
	else if (!large || rank <= SUCCESSORS)
		restore_schedule_save(prepaid, account,
				      spread(prepaid, large ? 2 * SAVE_OTHERS_US
							    : SAVE_OTHERS_US));
}

static peer_body_t *holdings_new(const prepaid_t *prepaid, bool complete)
{
	peer_body_t *body = peer_body_new(PEER_HOLDINGS);

	body->u.holdings.era = prepaid->era;
	body->u.holdings.complete = complete;
	return body;
}

static void add_holding(peer_body_t *body, const prepaid_account_t *account,
			const grant_holder_t *holder)
{
	holding_t holding = {.holder = *holder};

	g_strlcpy(holding.client_account, account->name,
		  sizeof(holding.client_account));
	g_array_append_val(body->u.holdings.list, holding);
}

static void send_holdings(prepaid_t *prepaid, const char *peer,
			  peer_body_t *body)
{
	kernel_post_peer(prepaid->kernel, prepaid->svc, prepaid->peer, peer,
			 body);
}

/* Sends the message once it is full.  Returns the one to go on with. */
static peer_body_t *send_if_full(prepaid_t *prepaid, const char *peer,
				 peer_body_t *body)
{
	if (body->u.holdings.list->len < PEER_HOLDINGS_MAX)
		return body;
	send_holdings(prepaid, peer, body);
	return holdings_new(prepaid, false);
}

/*
 * Sends what the store may lack, in messages of limited size.  The rest is in
 * the record that an instance reads before it takes tokens.
 */
static void reply_to_pull(prepaid_t *prepaid, const char *peer)
{
	peer_body_t *body = holdings_new(prepaid, false);
	uint32_t cursor = 0;
	const prepaid_account_t *account;

	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL) {
		if (!account->unsaved || account->record == NULL)
			continue;
		for (guint i = 0; i < account->record->holders->len; i++) {
			add_holding(body, account,
				    &g_array_index(account->record->holders,
						   grant_holder_t, i));
			body = send_if_full(prepaid, peer, body);
		}
	}
	body->u.holdings.complete = true;
	send_holdings(prepaid, peer, body);
}

void restore_announce_grant(prepaid_t *prepaid,
			    const prepaid_account_t *account)
{
	const grant_holder_t *own = account_own_holder(account, &prepaid->opts);
	const char *peers[SUCCESSORS] = {""};
	guint count = 1;

	if (peer_set_is_large(&prepaid->peers))
		count = peer_set_prefer(&prepaid->peers, account->name, peers,
					SUCCESSORS);
	for (guint i = 0; own != NULL && i < count; i++) {
		peer_body_t *body = holdings_new(prepaid, false);

		body->u.holdings.in_store = true;
		add_holding(body, account, own);
		send_holdings(prepaid, peers[i], body);
	}
}

static void pull_from(prepaid_t *prepaid, const char *peer)
{
	peer_body_t *body = peer_body_new(PEER_HOLDINGS_PULL);

	body->u.holdings.era = prepaid->era;
	send_holdings(prepaid, peer, body);
}

static bool has_replied(const prepaid_t *prepaid, const char *incarnation)
{
	return g_hash_table_contains(prepaid->replied_peers, incarnation);
}

/* Asks the peers that have not been asked since the wait began. */
static void pull(prepaid_t *prepaid)
{
	for (guint i = 0; i < peer_set_count(&prepaid->peers); i++) {
		const char *peer = peer_set_at(&prepaid->peers, i)->incarnation;

		if (!has_replied(prepaid, peer) &&
		    g_hash_table_add(prepaid->pulled_peers, g_strdup(peer)))
			pull_from(prepaid, peer);
	}
}

static void forget_revision(prepaid_t *prepaid, prepaid_account_t *account)
{
	if (account->revision > 0 &&
	    revision_era(account->revision) < prepaid->era)
		account->revision = REVISION_UNKNOWN;
	if (account->record == NULL)
		return;
	account->unsaved = true;
	schedule_join(prepaid, account);
}

static void settle_timer(prepaid_t *prepaid, int64_t delay)
{
	kernel_timer(prepaid->kernel, prepaid->svc, delay, HANDLE_NONE,
		     PREPAID_TIMER_SETTLE);
}

void restore_note_era(prepaid_t *prepaid, int64_t era)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;
	bool first = prepaid->era < 0;

	if (era <= prepaid->era)
		return;
	prepaid->era = era;
	prepaid->era_is_first = first;
	prepaid->settle_since = NOT_ASKED;
	prepaid->settling = true;
	g_hash_table_remove_all(prepaid->pulled_peers);
	g_hash_table_remove_all(prepaid->replied_peers);
	log_event(LOG_LEVEL_INFO, "prepaid", "era",
		  "era=%" G_GINT64_FORMAT " peers=%u instances=%u", era,
		  peer_set_count(&prepaid->peers), prepaid->instances);
	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		forget_revision(prepaid, account);
	if (first || !peer_set_is_large(&prepaid->peers))
		restore_settle(prepaid);
}

void restore_settle(prepaid_t *prepaid)
{
	if (!prepaid->settling || prepaid->settle_since != NOT_ASKED)
		return;
	prepaid->settle_since = kernel_now(prepaid->kernel);
	settle_timer(prepaid,
		     prepaid->era_is_first ? CONNECT_US : ASK_AGAIN_US);
	restore_check_settled(prepaid);
}

bool restore_is_settling(const prepaid_t *prepaid)
{
	return prepaid->settling;
}

int64_t restore_settles_in(const prepaid_t *prepaid)
{
	int64_t elapsed = kernel_now(prepaid->kernel) - prepaid->settle_since;

	if (!prepaid->settling)
		return 0;
	if (prepaid->settle_since == NOT_ASKED)
		return CONNECT_US;
	if (elapsed < CONNECT_US)
		return CONNECT_US - elapsed;
	/* The end is noticed when the peers would be asked again. */
	return MAX(SETTLE_US - elapsed, ASK_AGAIN_US);
}

static bool all_replied(const prepaid_t *prepaid)
{
	guint count = peer_set_count(&prepaid->peers);

	if (count + 1 < prepaid->instances)
		return false;
	for (guint i = 0; i < count; i++)
		if (!has_replied(prepaid,
				 peer_set_at(&prepaid->peers, i)->incarnation))
			return false;
	return true;
}

static bool is_settled(const prepaid_t *prepaid)
{
	int64_t elapsed = kernel_now(prepaid->kernel) - prepaid->settle_since;

	return elapsed >= SETTLE_US ||
	       ((!prepaid->era_is_first || elapsed >= CONNECT_US) &&
		all_replied(prepaid));
}

void restore_timed_out(prepaid_t *prepaid)
{
	/* A message is lost with a connection that is replaced by another. */
	g_hash_table_remove_all(prepaid->pulled_peers);
	restore_check_settled(prepaid);
	if (prepaid->settling && prepaid->settle_since != NOT_ASKED)
		settle_timer(prepaid, ASK_AGAIN_US);
}

void restore_check_settled(prepaid_t *prepaid)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	if (!prepaid->settling || prepaid->settle_since == NOT_ASKED)
		return;
	pull(prepaid);
	if (!is_settled(prepaid))
		return;
	prepaid->settling = false;
	log_event(LOG_LEVEL_INFO, "prepaid", "settled",
		  "era=%" G_GINT64_FORMAT " ms=%" G_GINT64_FORMAT
		  " peers=%u replies=%u",
		  prepaid->era,
		  (kernel_now(prepaid->kernel) - prepaid->settle_since) /
			  USEC_PER_MSEC,
		  peer_set_count(&prepaid->peers),
		  g_hash_table_size(prepaid->replied_peers));
	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		if (account->waiting.length > 0)
			grant_advance(prepaid, account);
}

void restore_pulled(prepaid_t *prepaid, const msg_t *msg)
{
	restore_note_era(prepaid, msg->u.peer.body->u.holdings.era);
	reply_to_pull(prepaid, msg->u.peer.incarnation);
}

static void join_holding(prepaid_t *prepaid, const holding_t *holding,
			 bool in_store)
{
	prepaid_account_t *account =
		prepaid_find_account(prepaid, holding->client_account);

	if (account->record == NULL)
		account->record = allocation_new();
	if (!allocation_join_holder(account->record, &holding->holder))
		return;
	account->unsaved = true;
	if (!in_store)
		schedule_join(prepaid, account);
}

void restore_holdings_received(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	const char *from = msg->u.peer.incarnation;

	restore_note_era(prepaid, body->u.holdings.era);
	for (guint i = 0; i < body->u.holdings.list->len; i++)
		join_holding(
			prepaid,
			&g_array_index(body->u.holdings.list, holding_t, i),
			body->u.holdings.in_store &&
				body->u.holdings.era == prepaid->era);
	if (!body->u.holdings.complete || body->u.holdings.era < prepaid->era)
		return;
	g_hash_table_add(prepaid->replied_peers, g_strdup(from));
	restore_check_settled(prepaid);
}
