/*
 * Blames and quarantine of request fingerprints.  The table is bounded: the
 * oldest fingerprint makes room for a new one.
 */
#ifndef REQUEST_QUARANTINE_H
#define REQUEST_QUARANTINE_H

#include "kernel/msg.h"

G_BEGIN_DECLS

#define QUARANTINE_ENTRIES_MAX 1024 /* fingerprints */
#define QUARANTINE_BLAME_THRESHOLD 2 /* blames */
#define QUARANTINE_BLAMES_MAX 4
#define QUARANTINE_DURATION_MS ((int64_t)3600 * 1000)

typedef struct quarantine_t {
	GHashTable *entries; /* fingerprint -> entry */
	GQueue order; /* entries, oldest first */
	uint32_t blame_threshold; /* that quarantine a fingerprint */
	int64_t duration_ms; /* time in quarantine, and that a blame counts */
} quarantine_t;

/* blames is at most QUARANTINE_BLAMES_MAX. */
void quarantine_init(quarantine_t *quarantine, uint32_t blame_threshold,
		     int64_t duration_ms);
void quarantine_finish(quarantine_t *quarantine);

/*
 * Records the loss of one attempt; a repeated (reporter, seq) is ignored.
 * True when this blame put the fingerprint into quarantine.
 */
bool quarantine_blame(quarantine_t *quarantine, const char *fingerprint,
		      const char *reporter, uint64_t seq, int64_t now_ms);
bool quarantine_contains(const quarantine_t *quarantine,
			 const char *fingerprint, int64_t now_ms);
/* A success clears the blames, but lifts no quarantine. */
void quarantine_clear_blames(quarantine_t *quarantine, const char *fingerprint);

G_END_DECLS

#endif
