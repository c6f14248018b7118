#include "replica/relay.h"

#include "log/log.h"
#include "replica/entry.h"
#include "replica/offer.h"

#include <string.h>

/* Two relays, so that the other one still pushes if one fails. */
#define RELAYS_PER_ZONE 2
/*
 * Time without a push after which an instance reads from the store.  The time
 * is longer than the interval between two reads and shorter than any limit on
 * the time that a change may take to arrive.  The standby readers, one a zone,
 * take over one after the other, so that few of them read at a time.
 */
#define STANDBY_TIMEOUT_US (750 * USEC_PER_MSEC)
#define STANDBY_STEP_US (120 * USEC_PER_MSEC)
#define RELAY_TIMEOUT_US USEC_PER_SEC
#define FOLLOWER_TIMEOUT_US (1200 * USEC_PER_MSEC)
/*
 * Intervals between two reads of an instance of a large fleet while the store
 * does not respond.  The reads of all instances add up, so few of them look for
 * its return, and a push tells the others.
 */
#define OUTAGE_RETRY_US USEC_PER_SEC
#define OUTAGE_RETRY_STANDBY_US (2 * USEC_PER_SEC)
#define OUTAGE_RETRY_OTHERS_US (4 * USEC_PER_SEC)
/*
 * Interval between two pulls of a large item that a push has left out.  On a
 * full link, one takes seconds to arrive.
 */
#define MISSING_PULL_US (2 * USEC_PER_SEC)
/*
 * Larger items are not pushed: a configuration of some 100 kB, sent to each
 * instance of a zone, would saturate the reader's link for seconds.  The store
 * has a fast link, and the configuration seldom changes.
 */
#define PUSH_ITEM_BYTES_MAX 8192

/*
 * What an instance of a large fleet does for the others.  Each zone has relays,
 * its instances with the lowest incarnations.  The first relay of the zone with
 * the lowest one is the reader, the first relays of the other zones stand by.
 */
typedef enum role_kind_t {
	ROLE_READER,
	ROLE_STANDBY,
	ROLE_RELAY,
	ROLE_FOLLOWER,
} role_kind_t;

typedef struct role_t {
	role_kind_t kind;
	uint32_t rank; /* standby readers only, from 1 */
} role_t;

static bool in_own_zone(const replica_t *replica, const peer_ref_t *peer)
{
	return strcmp(peer->availability_zone,
		      replica->opts.availability_zone) == 0;
}

/* Counts the instances of a zone with a lower incarnation. */
static uint32_t rank_in_zone(const replica_t *replica, const char *incarnation,
			     const char *zone)
{
	bool own_zone = strcmp(replica->opts.availability_zone, zone) == 0;
	uint32_t rank =
		own_zone && strcmp(replica->opts.incarnation, incarnation) < 0;

	for (guint i = 0; i < peer_set_count(&replica->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&replica->peers, i);

		if (strcmp(peer->incarnation, incarnation) >= 0)
			break;
		rank += strcmp(peer->availability_zone, zone) == 0;
	}
	return rank;
}

static bool is_relay(const replica_t *replica, const peer_ref_t *peer)
{
	return rank_in_zone(replica, peer->incarnation,
			    peer->availability_zone) < RELAYS_PER_ZONE;
}

/* Counts the zones whose first relay has a lower incarnation. */
static uint32_t count_zones_before(const replica_t *replica)
{
	uint32_t count = 0;

	for (guint i = 0; i < peer_set_count(&replica->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&replica->peers, i);

		if (strcmp(peer->incarnation, replica->opts.incarnation) >= 0)
			break;
		count += rank_in_zone(replica, peer->incarnation,
				      peer->availability_zone) == 0;
	}
	return count;
}

static role_t own_role(const replica_t *replica)
{
	uint32_t rank = rank_in_zone(replica, replica->opts.incarnation,
				     replica->opts.availability_zone);
	role_t role = {.kind = ROLE_FOLLOWER};

	if (rank == 0) {
		role.rank = count_zones_before(replica);
		role.kind = role.rank == 0 ? ROLE_READER : ROLE_STANDBY;
	} else if (rank < RELAYS_PER_ZONE) {
		role.kind = ROLE_RELAY;
	}
	return role;
}

bool replica_reads_store(const replica_t *replica)
{
	return !peer_set_is_large(&replica->peers) ||
	       own_role(replica).kind == ROLE_READER;
}

static int64_t push_timeout(const replica_t *replica)
{
	role_t role = own_role(replica);

	switch (role.kind) {
	case ROLE_READER:
		return 0;
	case ROLE_STANDBY:
		return MIN(STANDBY_TIMEOUT_US +
				   (role.rank - 1) * STANDBY_STEP_US,
			   RELAY_TIMEOUT_US);
	case ROLE_RELAY:
		return RELAY_TIMEOUT_US;
	case ROLE_FOLLOWER:
		break;
	}
	return FOLLOWER_TIMEOUT_US;
}

int64_t replica_relay_expires_in(const replica_t *replica)
{
	if (replica->last_relay_at == 0)
		return 0;
	return MAX(replica->last_relay_at + push_timeout(replica) -
			   kernel_now(replica->kernel),
		   0);
}

bool replica_relay_active(const replica_t *replica)
{
	return replica_relay_expires_in(replica) > 0;
}

int64_t replica_outage_retry(const replica_t *replica)
{
	if (!peer_set_is_large(&replica->peers))
		return 0;
	if (replica_relay_active(replica))
		return OUTAGE_RETRY_US;
	switch (own_role(replica).kind) {
	case ROLE_READER:
		return OUTAGE_RETRY_US;
	case ROLE_STANDBY:
		return OUTAGE_RETRY_STANDBY_US;
	case ROLE_RELAY:
	case ROLE_FOLLOWER:
		break;
	}
	return OUTAGE_RETRY_OTHERS_US;
}

static void send_body(replica_t *replica, const char *incarnation,
		      peer_body_t *body)
{
	kernel_post_peer(replica->kernel, replica->svc, replica->peer,
			 incarnation, body);
}

/*
 * The mark has no value and a revision that the receiver knows, so that builds
 * that do not know it pass over it.
 */
static void add_complete_mark(peer_body_t *body)
{
	store_item_t mark = {.revision = body->u.store_items.after};

	g_strlcpy(mark.key, REPLICA_KEY_COMPLETE, sizeof(mark.key));
	g_array_append_val(body->u.store_items.items, mark);
}

static bool take_complete_mark(GArray *items)
{
	for (guint i = items->len; i > 0; i--) {
		if (strcmp(g_array_index(items, store_item_t, i - 1).key,
			   REPLICA_KEY_COMPLETE) != 0)
			continue;
		g_array_remove_index(items, i - 1);
		return true;
	}
	return false;
}

static peer_body_t *items_since(const replica_t *replica, int64_t after)
{
	peer_body_t *body = peer_body_new(PEER_STORE_ITEMS);

	body->u.store_items.after = after;
	body->u.store_items.up_to = replica_entries_since(
		replica->entries, after, replica->revision,
		body->u.store_items.items);
	if (!replica->incomplete)
		add_complete_mark(body);
	return body;
}

/* Removes large items, which followers read from the store. */
static void drop_large_items(peer_body_t *body)
{
	GArray *items = body->u.store_items.items;

	for (guint i = items->len; i > 0; i--) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i - 1);

		if (item->value == NULL ||
		    g_bytes_get_size(item->value) <= PUSH_ITEM_BYTES_MAX)
			continue;
		body->u.store_items.partial = true;
		body->u.store_items.up_to =
			MIN(body->u.store_items.up_to, item->revision - 1);
		g_array_remove_index(items, i - 1);
	}
}

/* True if this instance passes its changes on to the peer. */
static bool pushes_to(const replica_t *replica, const peer_ref_t *peer,
		      bool to_relays)
{
	if (is_relay(replica, peer))
		return to_relays;
	return in_own_zone(replica, peer);
}

static void push_changes(replica_t *replica, bool to_relays)
{
	int64_t up_to = replica->revision;

	for (guint i = 0; i < peer_set_count(&replica->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&replica->peers, i);
		peer_body_t *body;

		if (!pushes_to(replica, peer, to_relays))
			continue;
		body = items_since(replica, replica->pushed_revision);
		body->u.store_items.live = true;
		up_to = body->u.store_items.up_to;
		drop_large_items(body);
		send_body(replica, peer->incarnation, body);
	}
	replica->pushed_revision = up_to;
}

void replica_push_changes(replica_t *replica)
{
	if (peer_set_is_large(&replica->peers) &&
	    own_role(replica).kind != ROLE_FOLLOWER)
		/* A relay that read for itself leaves the others to the reader.
		 */
		push_changes(replica, !replica_relay_active(replica));
	else
		replica->pushed_revision = replica->revision;
}

void replica_forward_changes(replica_t *replica)
{
	if (!replica->forward_due)
		return;
	replica->forward_due = false;
	if (peer_set_is_large(&replica->peers) &&
	    own_role(replica).kind != ROLE_FOLLOWER)
		push_changes(replica, false);
}

static void send_pull(replica_t *replica, const char *incarnation)
{
	peer_body_t *body = peer_body_new(PEER_STORE_PULL);

	body->u.store_pull.after =
		replica->synced && !replica->incomplete ? replica->revision : 0;
	send_body(replica, incarnation, body);
}

void replica_pull_next_peer(replica_t *replica)
{
	guint count = peer_set_count(&replica->peers);

	if (count == 0)
		return;
	replica->next_peer = (replica->next_peer + 1) % count;
	send_pull(
		replica,
		peer_set_at(&replica->peers, replica->next_peer)->incarnation);
}

static gsize count_bytes(const GArray *items)
{
	gsize bytes = 0;

	for (guint i = 0; i < items->len; i++) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i);

		if (item->value != NULL)
			bytes += g_bytes_get_size(item->value);
	}
	return bytes;
}

static void answer_pull(replica_t *replica, const msg_t *msg)
{
	int64_t after = msg->u.peer.body->u.store_pull.after;
	peer_body_t *body;

	if (!replica->synced || replica->revision <= after)
		return;
	body = items_since(replica, after);
	log_event(LOG_LEVEL_INFO, "replica", "pull_answered",
		  "peer=%s after=" REVISION_FORMAT " revision=" REVISION_FORMAT
		  " items=%u bytes=%" G_GSIZE_FORMAT,
		  msg->u.peer.incarnation, REVISION_ARGS(after),
		  REVISION_ARGS(body->u.store_items.up_to),
		  body->u.store_items.items->len,
		  count_bytes(body->u.store_items.items));
	send_body(replica, msg->u.peer.incarnation, body);
}

/*
 * True if nothing new can be in the item.  A key that is missing from the
 * complete state at a later revision was deleted.  A configuration with the
 * revision that the store has may be a higher version, which the store lost.
 */
static bool is_known_item(const replica_t *replica, const store_item_t *item)
{
	const replica_entry_t *entry =
		g_hash_table_lookup(replica->entries, item->key);

	if (strcmp(item->key, REPLICA_KEY_CONF) == 0 && item->value != NULL &&
	    (entry == NULL || entry->raw == NULL ||
	     !g_bytes_equal(entry->raw, item->value)))
		return false;
	if (replica->incomplete && entry == NULL &&
	    g_str_has_prefix(item->key, REPLICA_EVACUATIONS))
		return false;
	if (entry == NULL)
		return replica->synced && item->revision <= replica->revision;
	return entry->revision >= item->revision;
}

/*
 * Removes known items before they are decoded: most items are known, and
 * decoding a configuration takes long.
 */
static void drop_known_items(const replica_t *replica, GArray *items)
{
	for (guint i = items->len; i > 0; i--) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i - 1);

		if (is_known_item(replica, item))
			g_array_remove_index(items, i - 1);
	}
}

/*
 * Reads the items that a push has left out, or asks its sender for them while
 * the store does not respond to this instance.
 */
static void fetch_missing(replica_t *replica, const msg_t *msg)
{
	int64_t now = kernel_now(replica->kernel);

	if (replica->store_up) {
		replica_request_read(replica);
	} else if (now - replica->last_pull_at >= MISSING_PULL_US) {
		replica->last_pull_at = now;
		send_pull(replica, msg->u.peer.incarnation);
	}
}

/* Has the store service decode the items, as it decodes what it reads. */
static void decode_items(replica_t *replica, msg_t *msg, replica_read_t kind)
{
	msg_t decode = {.kind = MSG_STORE_DECODE,
			.id = {.index = kind, .gen = 1}};

	decode.u.peer.body = g_steal_pointer(&msg->u.peer.body);
	kernel_post(replica->kernel, replica->svc, replica->store, &decode);
}

static void items_received(replica_t *replica, msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	bool complete = take_complete_mark(body->u.store_items.items);

	drop_known_items(replica, body->u.store_items.items);
	if (!complete && replica->store_up) {
		/*
		 * This instance takes the items, among them a configuration
		 * that it asked for, and reads what they lack from the store.
		 */
		if (body->u.store_items.items->len > 0)
			decode_items(replica, msg, READ_RELAYED_PARTLY);
		return;
	}
	if (body->u.store_items.partial)
		replica_set_missing(replica, body->u.store_items.up_to + 1);
	if (body->u.store_items.after > replica->revision ||
	    (!replica->synced && body->u.store_items.after > 0)) {
		/*
		 * Changes before these items are missing.  A read that is due
		 * or in progress fetches them; otherwise the sender is asked.
		 */
		if (replica->store_up &&
		    (replica->read_requested || replica->reading != READ_NONE))
			return;
		send_pull(replica, msg->u.peer.incarnation);
		return;
	}
	/*
	 * Only a reader's push counts: the reply to a pull may come from a
	 * peer that cannot reach the store either.
	 */
	if (body->u.store_items.live) {
		replica->last_relay_at = kernel_now(replica->kernel);
		replica->forward_due = true;
	}
	if (body->u.store_items.partial &&
	    body->u.store_items.up_to >= replica->revision)
		fetch_missing(replica, msg);
	if (body->u.store_items.up_to <= replica->revision &&
	    body->u.store_items.items->len == 0) {
		replica_forward_changes(replica);
		return;
	}
	log_event(replica->store_up ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
		  "replica", "relayed",
		  "peer=%s revision=" REVISION_FORMAT " items=%u"
		  " bytes=%" G_GSIZE_FORMAT " live=%d",
		  msg->u.peer.incarnation,
		  REVISION_ARGS(body->u.store_items.up_to),
		  body->u.store_items.items->len,
		  count_bytes(body->u.store_items.items),
		  body->u.store_items.live);
	if (complete && body->u.store_items.after == 0 &&
	    body->u.store_items.up_to >= replica->revision)
		replica->incomplete = false;
	decode_items(replica, msg,
		     complete ? READ_RELAYED : READ_RELAYED_PARTLY);
}

void replica_peer_received(replica_t *replica, msg_t *msg)
{
	switch (msg->u.peer.body->kind) {
	case PEER_STORE_PULL:
		answer_pull(replica, msg);
		break;
	case PEER_STORE_ITEMS:
		items_received(replica, msg);
		break;
	case PEER_CONF_OFFER:
		replica_offer_received(replica, msg);
		break;
	case PEER_CONF_REQUEST:
		replica_conf_requested(replica, msg);
		break;
	default:
		break;
	}
}
