/*
 * Service "conf": the configuration in force.  The service watches conf/ in
 * the store, exchanges missing records with peers, applies a record only if
 * its revision is higher than the known one of the key, and publishes
 * immutable snapshots.
 */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

#define CONF_PREFIX "conf/"
#define CONF_ITEMS_MAX 128 /* records per frame; a revision is not split */
#define CONF_PULL_TIMEOUT_MS 1000
#define CONF_PUBLISH_INTERVAL_MS 50 /* minimum between two snapshots */
/* Expiry is checked at least this often, as the wall clock may be set. */
#define CONF_EXPIRY_WAIT_MAX_MS 60000

typedef struct conf_t {
	kernel_t *kernel;
	svc_t self;
	svc_t store;
	svc_t peer;
	GTree *entries; /* key -> conf_entry_t, tombstones included */
	GArray *subscribers; /* subscriber_t */
	conf_snapshot_t *snapshot;
	/* Every record with a revision up to this one was received. */
	int64_t complete_revision;
	bool store_answered;
	bool loaded; /* the store or a peer sent a full configuration */
	char pull_peer[INCARNATION_SIZE]; /* asked for items, or empty */
	int64_t pull_deadline; /* monotonic, us */
	int64_t published_at; /* monotonic, us, of the last snapshot */
	handle_t publish_timer;
	handle_t expiry_timer;
} conf_t;

void conf_init(conf_t *conf, kernel_t *kernel);
void conf_finish(conf_t *conf);

/* Returns whether the key is that of the record's kind and name. */
bool conf_key_matches(const char *key, const record_t *record);

G_END_DECLS

#endif
