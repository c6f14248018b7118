#include "replica/relay.h"

#include "log/log.h"
#include "replica/entry.h"

#include <string.h>

/*
 * Up to so many peers each instance reads for itself: a call to the store is
 * then cheaper than the messages and the delay of passing changes on.
 */
#define RELAY_PEERS_MIN 16
/* Of an availability zone; with one of them gone the other goes on. */
#define READERS 2
/* More than the pause between two reads and less than any bound on changes. */
#define RELAY_SILENT_US USEC_PER_SEC
/*
 * A configuration of some 100 kB to each instance of a zone would fill the
 * reader's link for seconds; the store's is wide, and it changes seldom.
 */
#define PUSHED_BYTES_MAX 8192 /* of one item */

static bool in_zone(const replica_t *replica, const replica_peer_t *peer)
{
	return strcmp(peer->availability_zone,
		      replica->opts.availability_zone) == 0;
}

/* Peers of the zone with an incarnation below this one's. */
static uint32_t own_rank(const replica_t *replica)
{
	uint32_t rank = 0;

	for (guint i = 0; i < replica->peers->len; i++) {
		const replica_peer_t *peer =
			&g_array_index(replica->peers, replica_peer_t, i);

		rank += in_zone(replica, peer) &&
			strcmp(peer->incarnation, replica->opts.incarnation) <
				0;
	}
	return rank;
}

bool replica_is_large(const replica_t *replica)
{
	return replica->peers->len >= RELAY_PEERS_MIN;
}

bool replica_reads(const replica_t *replica)
{
	return !replica_is_large(replica) || own_rank(replica) < READERS;
}

bool replica_is_relayed(const replica_t *replica)
{
	return replica->heard_at > 0 &&
	       kernel_now(replica->kernel) - replica->heard_at <
		       RELAY_SILENT_US;
}

static void send_body(replica_t *replica, const char *incarnation,
		      peer_body_t *body)
{
	msg_t msg = {.kind = MSG_PEER_SEND};

	g_strlcpy(msg.u.peer.incarnation, incarnation,
		  sizeof(msg.u.peer.incarnation));
	msg.u.peer.body = body;
	kernel_post(replica->kernel, replica->svc, replica->peer, &msg);
}

static peer_body_t *items_since(const replica_t *replica, int64_t after)
{
	peer_body_t *body = peer_body_new(PEER_STORE_ITEMS);

	body->u.store_items.after = after;
	body->u.store_items.up_to = replica_entries_since(
		replica->entries, after, replica->revision,
		body->u.store_items.items);
	return body;
}

/* Leaves large items to the store. */
static void leave_out_large(peer_body_t *body)
{
	GArray *items = body->u.store_items.items;

	for (guint i = items->len; i > 0; i--) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i - 1);

		if (item->value == NULL ||
		    g_bytes_get_size(item->value) <= PUSHED_BYTES_MAX)
			continue;
		body->u.store_items.partial = true;
		body->u.store_items.up_to =
			MIN(body->u.store_items.up_to, item->revision - 1);
		g_array_remove_index(items, i - 1);
	}
}

void replica_push(replica_t *replica)
{
	int64_t up_to = replica->revision;
	uint32_t before = 0; /* peers of the zone seen so far */

	if (!replica_is_large(replica) || !replica_reads(replica)) {
		replica->pushed_to = replica->revision;
		return;
	}
	for (guint i = 0; i < replica->peers->len; i++) {
		const replica_peer_t *peer =
			&g_array_index(replica->peers, replica_peer_t, i);
		peer_body_t *body;
		bool reads;

		if (!in_zone(replica, peer))
			continue;
		reads = before + (strcmp(replica->opts.incarnation,
					 peer->incarnation) < 0) <
			READERS;
		before++;
		if (reads)
			continue;
		body = items_since(replica, replica->pushed_to);
		body->u.store_items.live = true;
		up_to = body->u.store_items.up_to;
		leave_out_large(body);
		send_body(replica, peer->incarnation, body);
	}
	replica->pushed_to = up_to;
}

static void pull(replica_t *replica, const char *incarnation)
{
	peer_body_t *body = peer_body_new(PEER_STORE_PULL);

	body->u.store_pull.after = replica->synced ? replica->revision : 0;
	send_body(replica, incarnation, body);
}

void replica_ask_peer(replica_t *replica)
{
	if (replica->peers->len == 0)
		return;
	replica->next_peer = (replica->next_peer + 1) % replica->peers->len;
	pull(replica,
	     g_array_index(replica->peers, replica_peer_t, replica->next_peer)
		     .incarnation);
}

static void answer_pull(replica_t *replica, const msg_t *msg)
{
	int64_t after = msg->u.peer.body->u.store_pull.after;

	if (!replica->synced || replica->revision <= after)
		return;
	send_body(replica, msg->u.peer.incarnation,
		  items_since(replica, after));
}

/* Decoding a configuration takes long; most of them are known already. */
static void drop_known(const replica_t *replica, GArray *items)
{
	for (guint i = items->len; i > 0; i--) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i - 1);
		const replica_entry_t *entry =
			g_hash_table_lookup(replica->entries, item->key);

		if (entry != NULL && entry->revision >= item->revision)
			g_array_remove_index(items, i - 1);
	}
}

/* The store decodes the items, as it does with those that it has read. */
static void items_received(replica_t *replica, msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	msg_t decode = {.kind = MSG_STORE_DECODE,
			.id = {.index = READ_RELAYED, .gen = 1}};

	drop_known(replica, body->u.store_items.items);
	if (body->u.store_items.after > replica->revision ||
	    (!replica->synced && body->u.store_items.after > 0)) {
		/* Changes in between are missing; a read brings them too. */
		if (replica->up &&
		    (replica->doubted || replica->reading != READ_NONE))
			return;
		pull(replica, msg->u.peer.incarnation);
		return;
	}
	/* The answer to a pull may come from one that is turned away too. */
	if (body->u.store_items.live)
		replica->heard_at = kernel_now(replica->kernel);
	if (body->u.store_items.partial && replica->up)
		replica_read_now(replica);
	if (body->u.store_items.up_to <= replica->revision &&
	    body->u.store_items.items->len == 0)
		return;
	log_event(LOG_LEVEL_DEBUG, "replica", "relayed",
		  "peer=%s revision=%" G_GINT64_FORMAT " items=%u",
		  msg->u.peer.incarnation, body->u.store_items.up_to,
		  body->u.store_items.items->len);
	decode.u.peer.body = g_steal_pointer(&msg->u.peer.body);
	kernel_post(replica->kernel, replica->svc, replica->store, &decode);
}

void replica_peer_received(replica_t *replica, msg_t *msg)
{
	if (msg->u.peer.body->kind == PEER_STORE_PULL)
		answer_pull(replica, msg);
	else if (msg->u.peer.body->kind == PEER_STORE_ITEMS)
		items_received(replica, msg);
}

static gint compare_peers(gconstpointer a, gconstpointer b)
{
	const replica_peer_t *x = a, *y = b;

	return strcmp(x->incarnation, y->incarnation);
}

void replica_peer_changed(replica_t *replica, const msg_t *msg)
{
	replica_peer_t peer = {0};

	g_strlcpy(peer.incarnation, msg->u.peer_addr.incarnation,
		  sizeof(peer.incarnation));
	g_strlcpy(peer.availability_zone, msg->u.peer_addr.availability_zone,
		  sizeof(peer.availability_zone));
	for (guint i = 0; i < replica->peers->len; i++) {
		const replica_peer_t *known =
			&g_array_index(replica->peers, replica_peer_t, i);

		if (strcmp(known->incarnation, peer.incarnation) == 0) {
			g_array_remove_index(replica->peers, i);
			break;
		}
	}
	if (msg->kind != MSG_PEER_UP)
		return;
	g_array_append_val(replica->peers, peer);
	g_array_sort(replica->peers, compare_peers);
	if (!replica->up)
		replica_ask_peer(replica);
}
