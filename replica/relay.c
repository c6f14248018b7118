#include "replica/relay.h"

#include "log/log.h"
#include "replica/entry.h"

#include <string.h>

/* Two readers, so that the other one still pushes if one fails. */
#define READERS_PER_ZONE 2
/*
 * Longer than the interval between two reads, and shorter than any limit on
 * the time that a change may take to arrive.
 */
#define RELAY_TIMEOUT_US USEC_PER_SEC
/*
 * Larger items are not pushed: a configuration of some 100 kB, sent to each
 * instance of a zone, would saturate the reader's link for seconds. The store
 * has a fast link, and the configuration seldom changes.
 */
#define PUSH_ITEM_BYTES_MAX 8192

static bool in_own_zone(const replica_t *replica, const peer_ref_t *peer)
{
	return strcmp(peer->availability_zone,
		      replica->opts.availability_zone) == 0;
}

/* The readers are the instances of the zone with the lowest incarnations. */
static bool is_reader(const replica_t *replica, const char *incarnation)
{
	uint32_t lower = strcmp(replica->opts.incarnation, incarnation) < 0;

	for (guint i = 0;
	     lower < READERS_PER_ZONE && i < peer_set_count(&replica->peers);
	     i++) {
		const peer_ref_t *peer = peer_set_at(&replica->peers, i);

		if (strcmp(peer->incarnation, incarnation) >= 0)
			break;
		lower += in_own_zone(replica, peer);
	}
	return lower < READERS_PER_ZONE;
}

bool replica_reads_store(const replica_t *replica)
{
	return !peer_set_is_large(&replica->peers) ||
	       is_reader(replica, replica->opts.incarnation);
}

bool replica_relay_active(const replica_t *replica)
{
	return replica->last_relay_at > 0 &&
	       kernel_now(replica->kernel) - replica->last_relay_at <
		       RELAY_TIMEOUT_US;
}

static void send_body(replica_t *replica, const char *incarnation,
		      peer_body_t *body)
{
	kernel_post_peer(replica->kernel, replica->svc, replica->peer,
			 incarnation, body);
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

void replica_push_changes(replica_t *replica)
{
	bool pushes = peer_set_is_large(&replica->peers) &&
		      replica_reads_store(replica);
	int64_t up_to = replica->revision;

	for (guint i = 0; pushes && i < peer_set_count(&replica->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&replica->peers, i);
		peer_body_t *body;

		if (!in_own_zone(replica, peer) ||
		    is_reader(replica, peer->incarnation))
			continue;
		body = items_since(replica, replica->pushed_revision);
		body->u.store_items.live = true;
		up_to = body->u.store_items.up_to;
		drop_large_items(body);
		send_body(replica, peer->incarnation, body);
	}
	replica->pushed_revision = up_to;
}

static void send_pull(replica_t *replica, const char *incarnation)
{
	peer_body_t *body = peer_body_new(PEER_STORE_PULL);

	body->u.store_pull.after = replica->synced ? replica->revision : 0;
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

static void answer_pull(replica_t *replica, const msg_t *msg)
{
	int64_t after = msg->u.peer.body->u.store_pull.after;

	if (!replica->synced || replica->revision <= after)
		return;
	send_body(replica, msg->u.peer.incarnation,
		  items_since(replica, after));
}

/*
 * Removes items that are already known, as most are: decoding a configuration
 * takes long.
 */
static void drop_known_items(const replica_t *replica, GArray *items)
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

/* Has the store service decode the items, as it decodes what it reads. */
static void items_received(replica_t *replica, msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	msg_t decode = {.kind = MSG_STORE_DECODE,
			.id = {.index = READ_RELAYED, .gen = 1}};

	drop_known_items(replica, body->u.store_items.items);
	if (body->u.store_items.after > replica->revision ||
	    (!replica->synced && body->u.store_items.after > 0)) {
		/*
		 * Changes before these items are missing. A read that is due
		 * or in progress fetches them; otherwise the sender is asked.
		 */
		if (replica->store_up &&
		    (replica->read_requested || replica->reading != READ_NONE))
			return;
		send_pull(replica, msg->u.peer.incarnation);
		return;
	}
	/*
	 * Only a reader's push counts: the answer to a pull may come from a
	 * peer that cannot reach the store either.
	 */
	if (body->u.store_items.live)
		replica->last_relay_at = kernel_now(replica->kernel);
	if (body->u.store_items.partial)
		replica_request_read(replica);
	if (body->u.store_items.up_to <= replica->revision &&
	    body->u.store_items.items->len == 0)
		return;
	log_event(replica->store_up ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
		  "replica", "relayed",
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
