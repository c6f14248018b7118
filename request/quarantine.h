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
	/*
	 * A blame this soon after another does not count if the request was
	 * completed lately: a rack or a network that fails takes many targets,
	 * and the requests that are in use with them.
	 */
	int64_t spacing_ms;
	GHashTable *completed; /* fingerprint -> completed_t */
	GQueue completed_order; /* oldest first */
} quarantine_t;

/* What an instance knows of a fingerprint, for another one. */
typedef struct quarantine_news_t {
	char fingerprint[HASH_SIZE];
	uint32_t blames;
	int64_t age_ms; /* since the last blame */
	int64_t left_ms; /* of the quarantine; 0: none */
} quarantine_news_t;

/* The threshold is capped at QUARANTINE_BLAMES_MAX. */
void quarantine_init(quarantine_t *quarantine, uint32_t blame_threshold,
		     int64_t duration_ms, int64_t spacing_ms);
void quarantine_finish(quarantine_t *quarantine);

/*
 * Records the loss of one attempt; a repeated (reporter, seq) is ignored, and
 * so is another loss in the same crash.  target is the hash of the id of the
 * target that crashed, 0 if it is not known.  Returns true when this blame puts
 * the fingerprint into quarantine.  now_ms may be the time of any clock, but of
 * the same one in all calls.
 */
bool quarantine_blame(quarantine_t *quarantine, const char *fingerprint,
		      const char *reporter, uint64_t seq, uint64_t target,
		      int64_t now_ms);
bool quarantine_contains(const quarantine_t *quarantine,
			 const char *fingerprint, int64_t now_ms);
/*
 * Returns false if there is neither a quarantine in force nor a valid blame.
 */
bool quarantine_news(const quarantine_t *quarantine, const char *fingerprint,
		     int64_t now_ms, quarantine_news_t *news);
/* Writes the news of the fingerprints blamed last, and returns their number. */
uint32_t quarantine_list(const quarantine_t *quarantine, int64_t now_ms,
			 quarantine_news_t *list, uint32_t max);
/*
 * Applies what another instance knows.  Blames that both know count once.  A
 * quarantine is left to the blames that are counted here if the request was
 * completed lately.  Returns true when the fingerprint is put into quarantine.
 */
bool quarantine_adopt(quarantine_t *quarantine, const quarantine_news_t *news,
		      int64_t now_ms);
/*
 * Clears the blames after a success, but does not end a quarantine.  Returns
 * whether there were any.
 */
bool quarantine_clear_blames(quarantine_t *quarantine, const char *fingerprint);

/* What a response that was completed changes. */
typedef enum quarantine_change_t {
	QUARANTINE_UNCHANGED,
	QUARANTINE_CLEARED, /* there were blames, and no quarantine */
	QUARANTINE_ENDED,
} quarantine_change_t;

/*
 * Notes that the request was completed.
 * Clears the blames after a response that a target began to write at began_ms.
 * Ends a quarantine if that was after the first of its blames: a request that
 * crashes targets would have crashed this one too.
 */
quarantine_change_t quarantine_complete(quarantine_t *quarantine,
					const char *fingerprint,
					int64_t began_ms, int64_t now_ms);

G_END_DECLS

#endif
