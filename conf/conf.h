/*
 * Service "conf": the configuration in force.  It watches conf/ in the store,
 * exchanges what is missing with peers, never applies a revision of a key
 * that is not higher than its own, and publishes immutable snapshots.
 */
#ifndef CONF_CONF_H
#define CONF_CONF_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

#define CONF_PREFIX "conf/"
#define CONF_ITEMS_MAX 128 /* records of one frame to a peer */
#define CONF_PULL_TIMEOUT_MS 1000
#define CONF_PUBLISH_INTERVAL_MS 50 /* least time between two snapshots */
#define CONF_EXPIRY_WAIT_MAX_MS 60000 /* the wall clock may be set */

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
	bool loaded; /* the store or a peer gave a complete configuration */
	char pull_peer[INCARNATION_SIZE]; /* asked for items; empty: none */
	int64_t pull_deadline; /* monotonic, us */
	int64_t published_at; /* monotonic, us, of the last snapshot */
	handle_t publish_timer;
	handle_t expiry_timer;
} conf_t;

void conf_init(conf_t *conf, kernel_t *kernel);
void conf_finish(conf_t *conf);

/* Whether a record of this kind belongs under the key. */
bool conf_key_matches(const char *key, const record_t *record);

G_END_DECLS

#endif
