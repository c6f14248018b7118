/*
 * The newest known record of each configuration key, and the snapshot built
 * from them.
 */
#ifndef CONF_ENTRY_H
#define CONF_ENTRY_H

#include "conf/conf.h"

G_BEGIN_DECLS

typedef struct conf_entry_t {
	char key[STORE_KEY_SIZE];
	int64_t revision;
	record_t record; /* always valid; may be a tombstone */
} conf_entry_t;

typedef enum conf_apply_result_t {
	CONF_APPLY_NEW, /* the entry now holds the record */
	CONF_APPLY_SAME, /* this revision was applied before */
	CONF_APPLY_STALE, /* a higher revision is known */
	CONF_APPLY_REFUSED, /* no record, or not one for this key */
} conf_apply_result_t;

GTree *conf_entries_new(void);
conf_apply_result_t conf_entries_apply(GTree *entries, const store_kv_t *kv);

/*
 * Adds the records above from, ordered by revision, to a frame for a peer.
 * Returns the revision up to which the frame is complete, at most complete.
 */
int64_t conf_entries_since(GTree *entries, int64_t after, int64_t complete,
			   GArray *kvs);

/* Removes quarantine entries that have expired; returns their number. */
guint conf_entries_expire(GTree *entries, int64_t wall_ms);
/* Earliest end of a quarantine, or 0 when there is none. */
int64_t conf_entries_next_expiry(GTree *entries);

conf_snapshot_t *conf_entries_snapshot(GTree *entries, int64_t revision);

G_END_DECLS

#endif
