/*
 * Service "replica": keeps the newest known state of the store's keys and
 * reports changes to watches.  Changes are read from the store at intervals.
 * In a large fleet one instance does this, and its changes are pushed to the
 * others (relay.c).  An instance that receives no pushes reads from the store
 * itself.  While the store does not respond, changes are pulled from peers.
 *
 * An event with a status other than STORE_OK reports that the store stopped
 * responding; an event with STORE_OK and no keys, that it responds again or was
 * restored.  The revision of that event has the store's era.  After each read,
 * MSG_LIST_CURRENT tells as of when the watches know all changes.
 */
#ifndef REPLICA_REPLICA_H
#define REPLICA_REPLICA_H

#include "kernel/kernel.h"
#include "kernel/peer_set.h"
#include "replica/patch.h"

G_BEGIN_DECLS

#define REPLICA_WATCHES_MAX 4
#define REPLICA_KEY_CONF "fleet/conf"
#define REPLICA_EVACUATIONS "evacuation/"
/*
 * An item without a value in a message of a build that knows evacuations.
 * Items of a build that does not are not complete.
 */
#define REPLICA_KEY_COMPLETE "evacuation"

typedef struct replica_opts_t {
	char incarnation[INCARNATION_SIZE];
	char availability_zone[NAME_SIZE];
	uint32_t poll_interval_ms; /* between two reads of changes */
} replica_opts_t;

typedef struct replica_watch_t {
	svc_t owner;
	handle_t ref;
	char prefix[STORE_KEY_SIZE];
} replica_watch_t;

/* Kind of a call to the store, sent as the index of the message's id. */
typedef enum replica_read_t {
	READ_NONE,
	READ_LIST, /* all keys, in pages */
	READ_CHANGES,
	READ_RELAYED, /* decoding of items from a peer */
	READ_RELAYED_PARTLY, /* of a build that passes over keys */
} replica_read_t;

typedef struct replica_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t store;
	svc_t peer;
	replica_opts_t opts;
	replica_watch_t watches[REPLICA_WATCHES_MAX];
	uint32_t watch_count;
	GHashTable *entries; /* key -> replica_entry_t */
	int64_t revision; /* entries hold all changes up to this revision */
	int64_t era; /* of the store, by reads and pushes; -1: not known yet */
	/* A change of this revision is known of and not here; 0: none. */
	int64_t missing_revision;
	int64_t last_pull_at; /* monotonic, us, pull for the missing change */
	bool synced; /* entries hold the complete state at revision */
	/* The state at revision comes from a build that passes over keys. */
	bool incomplete;
	bool store_up; /* the last read succeeded */
	bool read_requested; /* the next timer reads, even in a follower */
	bool read_again; /* once the read in progress has ended */
	replica_read_t reading; /* the read in progress */
	int64_t last_read_at; /* monotonic, us, start of the last read */
	uint32_t list_prefix; /* index of the prefix being listed */
	int64_t list_revision; /* revision of the first page; -1: unknown */
	int64_t listed_version; /* of the configuration; -1: none found */
	GHashTable *listed_keys; /* keys found by the listing in progress */
	handle_t timer;
	peer_set_t peers;
	uint32_t next_peer;
	int64_t last_relay_at; /* monotonic, us, last push received */
	bool forward_due; /* changes that were pushed are not passed on yet */
	/* The missing change is only in the store, for all instances. */
	bool missing_for_all;
	int64_t pushed_revision; /* changes up to this revision were pushed */
	GBytes *pushed_conf; /* as of pushed_revision; NULL: none */
	int64_t pushed_conf_revision;
	patch_t patch; /* to the newest configuration; revision 0: none */
	/* Highest of the configuration, by a peer; -1: none. */
	int64_t offered_version;
	char offered_by[INCARNATION_SIZE];
	int64_t requested_version; /* last one requested from a peer; -1: none
				    */
	int64_t requested_at; /* monotonic, us */
} replica_t;

void replica_init(replica_t *replica, kernel_t *kernel,
		  const replica_opts_t *opts);
void replica_finish(replica_t *replica);

G_END_DECLS

#endif
