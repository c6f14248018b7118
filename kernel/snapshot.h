/*
 * The routers' configuration at one revision.
 */
#ifndef KERNEL_SNAPSHOT_H
#define KERNEL_SNAPSHOT_H

#include "kernel/record.h"

G_BEGIN_DECLS

/*
 * Immutable, reference-counted copy of the configuration.  The arrays are
 * sorted by name and contain no tombstones.
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
	GHashTable *by_key_hash; /* API key hash -> account index + 1 */
} conf_snapshot_t;

conf_snapshot_t *conf_snapshot_new(void);
conf_snapshot_t *conf_snapshot_ref(conf_snapshot_t *snapshot);
void conf_snapshot_unref(conf_snapshot_t *snapshot);
const record_client_account_t *
conf_snapshot_account_by_key(const conf_snapshot_t *snapshot,
			     const char *key_hash, const char **budget);
const record_service_t *conf_snapshot_service(const conf_snapshot_t *snapshot,
					      const char *name);
/* Returns the plain service with the longest prefix that matches path. */
const record_service_t *
conf_snapshot_service_by_path(const conf_snapshot_t *snapshot,
			      const char *path);

G_END_DECLS

#endif
