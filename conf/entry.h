/*
 * The newest known record of each configuration key, and the snapshot built
 * from these records.
 */
#ifndef CONF_ENTRY_H
#define CONF_ENTRY_H

#include "conf/conf.h"

G_BEGIN_DECLS

typedef struct conf_entry_t {
	char key[STORE_KEY_SIZE];
	int64_t revision;
	record_t record; /* valid, possibly a tombstone */
} conf_entry_t;

typedef enum conf_apply_result_t {
	CONF_APPLY_NEW, /* the record was stored */
	CONF_APPLY_SAME, /* this revision was applied before */
	CONF_APPLY_STALE, /* a higher revision is known */
	CONF_APPLY_REFUSED, /* no valid record for this key */
} conf_apply_result_t;

GTree *conf_entries_new(void);
conf_apply_result_t conf_entries_apply(GTree *entries, const store_kv_t *kv);

/*
 * Appends the records with a revision above after, ordered by revision, to
 * kvs for one frame to a peer.  Returns the revision up to which the frame is
 * complete, which is at most the argument complete.
 */
int64_t conf_entries_since(GTree *entries, int64_t after, int64_t complete,
			   GArray *kvs);

/* Removes quarantines that have expired; returns their number. */
guint conf_entries_expire(GTree *entries, int64_t wall_ms);
/* Returns the earliest end of a quarantine, or 0 if there is none. */
int64_t conf_entries_next_expiry(GTree *entries);

conf_snapshot_t *conf_entries_snapshot(GTree *entries, int64_t revision);

G_END_DECLS

#endif
