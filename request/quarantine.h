/*
 * Quarantine of requests that seem to crash targets, by fingerprint.  A blame
 * reports the loss of one attempt; enough blames quarantine a fingerprint.  The
 * table is bounded: a new fingerprint evicts the oldest one.
 */
#ifndef REQUEST_QUARANTINE_H
#define REQUEST_QUARANTINE_H

#include "kernel/msg.h"

G_BEGIN_DECLS

#define QUARANTINE_ENTRIES_MAX 1024 /* fingerprints */
#define QUARANTINE_BLAME_THRESHOLD 2 /* blames */
#define QUARANTINE_BLAMES_MAX 4 /* blames kept for a fingerprint */
#define QUARANTINE_DURATION_MS ((int64_t)3600 * 1000)

typedef struct quarantine_t {
	GHashTable *entries; /* fingerprint -> quarantine_entry_t */
	GQueue order; /* entries, oldest first */
	uint32_t blame_threshold; /* blames that start a quarantine */
	int64_t duration_ms; /* length of a quarantine, validity of a blame */
	int64_t spacing_ms; /* a blame this soon after another does not count */
} quarantine_t;

/* The threshold is capped at QUARANTINE_BLAMES_MAX. */
void quarantine_init(quarantine_t *quarantine, uint32_t blame_threshold,
		     int64_t duration_ms, int64_t spacing_ms);
void quarantine_finish(quarantine_t *quarantine);

/*
 * Records the loss of one attempt; a repeated (reporter, seq) is ignored.
 * Returns true when this blame puts the fingerprint into quarantine.  now_ms
 * may be the time of any clock, but of the same one in all calls.
 */
bool quarantine_blame(quarantine_t *quarantine, const char *fingerprint,
		      const char *reporter, uint64_t seq, int64_t now_ms);
bool quarantine_contains(const quarantine_t *quarantine,
			 const char *fingerprint, int64_t now_ms);
/* Clears the blames after a success, but does not end a quarantine. */
void quarantine_clear_blames(quarantine_t *quarantine, const char *fingerprint);

G_END_DECLS

#endif
