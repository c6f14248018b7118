/*
 * Entries of a replica: one per key, with the key's newest known state.
 */
#ifndef REPLICA_ENTRY_H
#define REPLICA_ENTRY_H

#include "kernel/msg.h"

G_BEGIN_DECLS

typedef struct replica_entry_t {
	int64_t revision; /* revision of the last write */
	/* Revision of the last write other than a heartbeat. */
	int64_t changed_revision;
	record_t record; /* RECORD_NONE if the key is deleted */
	GBytes *raw; /* value as stored, to be sent to peers */
	int64_t changed_at; /* monotonic, us, when the change was applied */
	/* Newest statement of a target, kept after the key is deleted. */
	int64_t started_ms; /* 0: none, or the target does not state it */
	uint64_t sequence;
} replica_entry_t;

GHashTable *replica_entries_new(void);
/*
 * Stores a newer state of a key.  Returns true if the value has changed.  A
 * configuration is replaced only by one of the same or a higher version,
 * because a restored store may hold an older one, and what a restored store
 * holds of a target only if the target has not stated something newer.
 */
bool replica_entries_apply(GHashTable *entries, const store_kv_t *kv,
			   int64_t now);
/* Removes the entries of keys that were deleted before the given time. */
void replica_entries_expire(GHashTable *entries, int64_t before);
/* Returns the bytes of all values, as the store sends them. */
uint64_t replica_entries_bytes(GHashTable *entries);
/*
 * Appends the keys that changed after a revision to items, as many as fit in
 * one frame, and returns the revision up to which items is complete.
 */
int64_t replica_entries_since(GHashTable *entries, int64_t after, int64_t up_to,
			      GArray *items);

G_END_DECLS

#endif
