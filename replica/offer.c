#include "replica/offer.h"

#include "log/log.h"

#include <string.h>

/* Interval between two requests of a document; a full link takes that long. */
#define REQUEST_INTERVAL_US (2 * USEC_PER_SEC)

const replica_entry_t *replica_find_conf(const replica_t *replica)
{
	const replica_entry_t *entry =
		g_hash_table_lookup(replica->entries, REPLICA_KEY_CONF);

	return entry != NULL && entry->record.kind == RECORD_FLEET_CONF ? entry
									: NULL;
}

static int64_t known_version(const replica_t *replica)
{
	const replica_entry_t *entry = replica_find_conf(replica);

	return entry != NULL ? entry->record.u.fleet_conf->version : -1;
}

void replica_offer_conf(replica_t *replica, const char *incarnation)
{
	peer_body_t *body;

	if (replica_find_conf(replica) == NULL)
		return;
	body = peer_body_new(PEER_CONF_OFFER);
	body->u.conf_offer.version = known_version(replica);
	kernel_post_peer(replica->kernel, replica->svc, replica->peer,
			 incarnation, body);
}

void replica_offer_lost_conf(replica_t *replica)
{
	if (known_version(replica) <= replica->listed_version)
		return;
	log_event(LOG_LEVEL_WARN, "replica", "conf_lost",
		  "version=%" G_GINT64_FORMAT " listed=%" G_GINT64_FORMAT,
		  known_version(replica), replica->listed_version);
	replica_offer_conf(replica, "");
}

void replica_check_offer(replica_t *replica)
{
	int64_t now = kernel_now(replica->kernel);
	peer_body_t *body;

	if (!replica->synced ||
	    replica->offered_version <= known_version(replica))
		return;
	/* One document at a time: several would fill a slow link. */
	if (known_version(replica) < replica->requested_version &&
	    now - replica->requested_at < REQUEST_INTERVAL_US)
		return;
	replica->requested_version = replica->offered_version;
	replica->requested_at = now;
	log_event(LOG_LEVEL_INFO, "replica", "conf_requested",
		  "version=%" G_GINT64_FORMAT " known=%" G_GINT64_FORMAT
		  " peer=%s",
		  replica->offered_version, known_version(replica),
		  replica->offered_by);
	body = peer_body_new(PEER_CONF_REQUEST);
	body->u.conf_offer.version = replica->offered_version;
	kernel_post_peer(replica->kernel, replica->svc, replica->peer,
			 replica->offered_by, body);
}

void replica_offer_received(replica_t *replica, const msg_t *msg)
{
	int64_t version = msg->u.peer.body->u.conf_offer.version;

	if (version < replica->offered_version ||
	    version <= known_version(replica))
		return;
	replica->offered_version = version;
	g_strlcpy(replica->offered_by, msg->u.peer.incarnation,
		  sizeof(replica->offered_by));
	replica_check_offer(replica);
}

void replica_conf_requested(replica_t *replica, const msg_t *msg)
{
	const replica_entry_t *entry = replica_find_conf(replica);
	store_item_t item = {0};
	peer_body_t *body;

	if (entry == NULL || entry->raw == NULL)
		return;
	body = peer_body_new(PEER_STORE_ITEMS);
	g_strlcpy(item.key, REPLICA_KEY_CONF, sizeof(item.key));
	item.revision = entry->changed_revision;
	item.value = g_bytes_ref(entry->raw);
	g_array_append_val(body->u.store_items.items, item);
	kernel_post_peer(replica->kernel, replica->svc, replica->peer,
			 msg->u.peer.incarnation, body);
}
