/*
 * The routers' configuration at one revision.
 */
#ifndef KERNEL_SNAPSHOT_H
#define KERNEL_SNAPSHOT_H

#include "kernel/record.h"

G_BEGIN_DECLS

/*
 * Immutable copy of the configuration, shared by reference.  The arrays are
 * sorted by name and hold no tombstones.
 */
typedef struct conf_snapshot_t {
	int refs;
	int64_t revision; /* highest revision applied */
	preset_t preset;
	GArray *client_accounts; /* record_client_account_t */
	GArray *services; /* record_service_t */
	GArray *targets; /* record_target_t */
	GArray *quarantine; /* record_quarantine_t */
	GArray *orders; /* record_order_t, sorted by target */
	GHashTable *by_key_hash; /* API key hash -> index + 1 */
} conf_snapshot_t;

conf_snapshot_t *conf_snapshot_new(void);
conf_snapshot_t *conf_snapshot_ref(conf_snapshot_t *snapshot);
void conf_snapshot_unref(conf_snapshot_t *snapshot);
const record_client_account_t *
conf_snapshot_account_by_key(const conf_snapshot_t *snapshot,
			     const char *key_hash, const char **budget);
const record_service_t *conf_snapshot_service(const conf_snapshot_t *snapshot,
					      const char *name);
/* The plain service with the longest path prefix of path. */
const record_service_t *
conf_snapshot_service_by_path(const conf_snapshot_t *snapshot,
			      const char *path);

G_END_DECLS

#endif
