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
 * Larger items are not passed on: a configuration of some 100 kB, sent to each
 * instance of a zone, would saturate the reader's link for seconds.  Instances
 * get a patch of it.  One that has no version to which the patch applies reads
 * from the store, which has a fast link, or asks one peer for the document.
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

/* Returns 1 more than the index of the item, or 0 if there is none. */
static guint find_item(const GArray *items, const char *key)
{
	guint i = items->len;

	while (i > 0 &&
	       strcmp(g_array_index(items, store_item_t, i - 1).key, key) != 0)
		i--;
	return i;
}

static bool take_complete_mark(GArray *items)
{
	guint found = find_item(items, REPLICA_KEY_COMPLETE);

	if (found > 0)
		g_array_remove_index(items, found - 1);
	return found > 0;
}

static patch_t take_patch(GArray *items)
{
	guint found = find_item(items, REPLICA_KEY_PATCH);
	GBytes *value =
		found > 0 ? g_array_index(items, store_item_t, found - 1).value
			  : NULL;
	patch_t patch = {0};

	if (value != NULL && !patch_decode(value, &patch))
		patch_clear(&patch);
	if (found > 0)
		g_array_remove_index(items, found - 1);
	return patch;
}

/* Adds the configuration that the patch makes of the known one. */
static bool apply_patch(const replica_t *replica, const patch_t *patch,
			GArray *items)
{
	const replica_entry_t *conf = replica_find_conf(replica);
	store_item_t item = {.revision = patch->revision};

	if (patch->frame == NULL || conf == NULL || conf->raw == NULL ||
	    conf->changed_revision != patch->base)
		return false;
	item.value = patch_apply_frame(conf->raw, patch->frame);
	if (item.value == NULL)
		return false;
	g_strlcpy(item.key, REPLICA_KEY_CONF, sizeof(item.key));
	g_array_append_val(items, item);
	return true;
}

/*
 * Completes a message without its configuration, if that is known or can be
 * made.  Relays pass the patch on.
 */
static void restore_conf(replica_t *replica, peer_body_t *body)
{
	const replica_entry_t *conf = replica_find_conf(replica);
	patch_t patch = take_patch(body->u.store_items.items);

	replica->missing_for_all =
		body->u.store_items.partial && patch.frame == NULL &&
		body->u.store_items.up_to >= replica->revision;
	if (patch.revision == 0)
		return;
	if (conf == NULL || conf->revision < patch.revision) {
		if (!apply_patch(replica, &patch, body->u.store_items.items))
			goto out;
		patch_clear(&replica->patch);
		replica->patch = patch;
		patch.frame = NULL;
	}
	body->u.store_items.partial = false;
	body->u.store_items.up_to = patch.up_to;
	replica->missing_for_all = false;
out:
	patch_clear(&patch);
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

/*
 * Makes the patch from the configuration that was pushed last, unless it is
 * known from the peer that has sent it.
 */
static void update_patch(replica_t *replica)
{
	const replica_entry_t *conf = replica_find_conf(replica);
	patch_t *patch = &replica->patch;

	if (conf == NULL || conf->raw == NULL ||
	    patch->revision == conf->changed_revision)
		return;
	patch_clear(patch);
	patch->revision = conf->changed_revision;
	if (replica->pushed_conf == NULL ||
	    g_bytes_get_size(conf->raw) <= PUSH_ITEM_BYTES_MAX)
		return;
	patch->base = replica->pushed_conf_revision;
	patch->frame = patch_make_frame(replica->pushed_conf, conf->raw);
	if (patch->frame != NULL &&
	    g_bytes_get_size(patch->frame) > PUSH_ITEM_BYTES_MAX)
		g_clear_pointer(&patch->frame, g_bytes_unref);
}

/* As the mark of completeness, passed over by builds that do not know it. */
static void add_patch(const replica_t *replica, peer_body_t *body,
		      int64_t up_to)
{
	const replica_entry_t *conf = replica_find_conf(replica);
	store_item_t item = {.revision = body->u.store_items.after};
	patch_t patch = {0};

	if (replica->patch.revision == conf->changed_revision)
		patch = replica->patch;
	patch.revision = conf->changed_revision;
	patch.up_to = up_to;
	g_strlcpy(item.key, REPLICA_KEY_PATCH, sizeof(item.key));
	item.value = patch_encode(&patch);
	g_array_append_val(body->u.store_items.items, item);
}

/*
 * Removes large items.  For a peer that takes patches, the one of the
 * configuration takes its place.  Returns true if there was one.
 */
static bool drop_large_items(const replica_t *replica, const peer_ref_t *peer,
			     peer_body_t *body)
{
	GArray *items = body->u.store_items.items;
	bool readable = replica_find_conf(replica) != NULL;
	int64_t up_to = body->u.store_items.up_to;
	bool has_conf = false;

	for (guint i = items->len; i > 0; i--) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i - 1);

		if (item->value == NULL ||
		    g_bytes_get_size(item->value) <= PUSH_ITEM_BYTES_MAX)
			continue;
		has_conf |=
			readable && strcmp(item->key, REPLICA_KEY_CONF) == 0;
		body->u.store_items.partial = true;
		body->u.store_items.up_to =
			MIN(body->u.store_items.up_to, item->revision - 1);
		g_array_remove_index(items, i - 1);
	}
	if (has_conf && peer->takes_patches)
		add_patch(replica, body, up_to);
	return has_conf;
}

/* True if this instance passes its changes on to the peer. */
static bool pushes_to(const replica_t *replica, const peer_ref_t *peer,
		      bool to_relays)
{
	if (is_relay(replica, peer))
		return to_relays;
	return in_own_zone(replica, peer);
}

static void set_pushed(replica_t *replica, int64_t up_to)
{
	const replica_entry_t *conf = replica_find_conf(replica);

	replica->pushed_revision = up_to;
	if (conf == NULL || conf->raw == NULL || conf->changed_revision > up_to)
		return;
	g_clear_pointer(&replica->pushed_conf, g_bytes_unref);
	replica->pushed_conf = g_bytes_ref(conf->raw);
	replica->pushed_conf_revision = conf->changed_revision;
}

static void push_changes(replica_t *replica, bool to_relays)
{
	int64_t up_to = replica->revision;

	update_patch(replica);
	for (guint i = 0; i < peer_set_count(&replica->peers); i++) {
		const peer_ref_t *peer = peer_set_at(&replica->peers, i);
		peer_body_t *body;

		if (!pushes_to(replica, peer, to_relays))
			continue;
		body = items_since(replica, replica->pushed_revision);
		body->u.store_items.live = true;
		/* Followers begin to read when the relay does. */
		body->u.store_items.partial = replica->missing_for_all;
		up_to = body->u.store_items.up_to;
		drop_large_items(replica, peer, body);
		send_body(replica, peer->incarnation, body);
	}
	set_pushed(replica, up_to);
}

void replica_push_changes(replica_t *replica)
{
	if (peer_set_is_large(&replica->peers) &&
	    own_role(replica).kind != ROLE_FOLLOWER)
		/* A relay that read for itself leaves the others to the reader.
		 */
		push_changes(replica, !replica_relay_active(replica));
	else
		set_pushed(replica, replica->revision);
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

/*
 * Peers that lack changes ask one of the others after the other.  They are
 * offered a large configuration rather than sent it, and ask one for it.
 */
static void answer_pull(replica_t *replica, const msg_t *msg)
{
	const peer_ref_t *peer =
		peer_set_find(&replica->peers, msg->u.peer.incarnation);
	int64_t after = msg->u.peer.body->u.store_pull.after;
	peer_body_t *body;
	bool offered;

	if (!replica->synced || replica->revision <= after)
		return;
	body = items_since(replica, after);
	offered = peer != NULL && peer->takes_patches &&
		  drop_large_items(replica, peer, body);
	log_event(LOG_LEVEL_INFO, "replica", "pull_answered",
		  "peer=%s after=" REVISION_FORMAT " revision=" REVISION_FORMAT
		  " items=%u bytes=%" G_GSIZE_FORMAT,
		  msg->u.peer.incarnation, REVISION_ARGS(after),
		  REVISION_ARGS(body->u.store_items.up_to),
		  body->u.store_items.items->len,
		  count_bytes(body->u.store_items.items));
	send_body(replica, msg->u.peer.incarnation, body);
	if (offered)
		replica_offer_conf(replica, msg->u.peer.incarnation);
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
	peer_body_t *body = msg->u.peer.body;
	bool complete = take_complete_mark(body->u.store_items.items);

	restore_conf(replica, body);
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
