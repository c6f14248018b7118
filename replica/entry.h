/*
 * Entries of a replica: the newest known state of one key each.
 */
#ifndef REPLICA_ENTRY_H
#define REPLICA_ENTRY_H

#include "kernel/msg.h"

G_BEGIN_DECLS

typedef struct replica_entry_t {
	int64_t revision; /* of the last write */
	int64_t changed_revision; /* of the last write that changed its meaning
				   */
	record_t record; /* RECORD_NONE: deleted */
	GBytes *raw; /* as it lies in the store, for peers */
	int64_t changed_at; /* monotonic, us */
} replica_entry_t;

GHashTable *replica_entries_new(void);
/* True if the state is newer than the known one and says something else. */
bool replica_entries_apply(GHashTable *entries, const store_kv_t *kv,
			   int64_t now);
/* Forgets keys that were deleted before the given time. */
void replica_entries_expire(GHashTable *entries, int64_t before);
/*
 * Adds what changed after a revision to items, as much as one frame holds,
 * and returns the revision up to which it is complete.
 */
int64_t replica_entries_since(GHashTable *entries, int64_t after, int64_t up_to,
			      GArray *items);

G_END_DECLS

#endif
