/*
 * Decides which prompt parts are quarantined because they crash the targets
 * that begin to answer requests with them.  Several parts occur in each crash,
 * and often nothing tells yet which of them is the cause: what is quarantined
 * is the set of all parts of a request that the crashes point to.  Requests
 * without the cause do not have all of it, and go on.
 *
 * A crash of a request with some parts of the set only, and responses that show
 * parts of it to be sound, make it smaller.
 *
 * Times are in ms, of any clock, but of the same one in all calls.
 */
#ifndef PROXY_PART_QUARANTINE_H
#define PROXY_PART_QUARANTINE_H

#include "proxy/part_holds.h"
#include "proxy/part_scores.h"

G_BEGIN_DECLS

/*
 * Parts counted for one crash, each of which is told to all peers.  Sound
 * requests share the parts beside the cause, so that it is among the ones with
 * the highest scores.
 */
#define CRASH_PARTS_MAX PART_SET_MAX

/* A request that may have caused a crash. */
typedef struct part_request_t {
	uint64_t request; /* hash of all of it */
	const uint64_t *parts; /* which other requests share, in order */
	uint32_t count;
} part_request_t;

/* A part of the requests that may have caused a crash. */
typedef struct part_suspect_t {
	uint64_t part;
	uint64_t request; /* the first one with the part */
	bool counted; /* unless the crash was counted before */
	bool explained; /* other parts are in quarantine for the crash */
} part_suspect_t;

typedef struct part_suspects_t {
	uint32_t count;
	part_suspect_t list[CRASH_PARTS_MAX];
} part_suspects_t;

/* The last crash that this instance has seen itself. */
typedef struct own_crash_t {
	part_crash_t crash;
	part_request_t *requests; /* with their parts */
	uint32_t count; /* of requests; 0: none */
	part_suspects_t suspects;
} own_crash_t;

typedef struct part_quarantine_t {
	part_scores_t scores;
	part_holds_t holds;
	own_crash_t own;
} part_quarantine_t;

void part_quarantine_init(part_quarantine_t *quarantine, int64_t stagger_ms);
void part_quarantine_finish(part_quarantine_t *quarantine);

/* Returns the highest score among the parts of the set. */
double part_quarantine_score(const part_quarantine_t *quarantine,
			     const part_set_t *set, int64_t now);
/*
 * Counts a crash for the parts of the requests that may have caused it, which
 * own.suspects has afterwards.  crash->request is ignored.  Nothing is counted
 * if the quarantine of one of the requests explains the crash.  Returns whether
 * a quarantine began.
 */
bool part_quarantine_crashed(part_quarantine_t *quarantine,
			     const part_request_t *requests, uint32_t count,
			     const part_crash_t *crash, int64_t now);
/*
 * Counts a crash told by a peer.  Returns whether the last crash seen here may
 * decide now; a crash is told part by part, and the rest is to be awaited.
 */
bool part_quarantine_crash_told(part_quarantine_t *quarantine, uint64_t part,
				const part_crash_t *crash, int64_t now);
/* Decides for the last crash seen here.  Returns whether a quarantine began. */
bool part_quarantine_decide(part_quarantine_t *quarantine, int64_t now);
/*
 * Writes the quarantine that a peer has missed, which tells of a crash with the
 * part.  Returns false if there is none.
 */
bool part_quarantine_missed(const part_quarantine_t *quarantine, uint64_t part,
			    const part_crash_t *crash, int64_t now,
			    part_sentence_t *sentence);
/* Lowers the score of a part whose crashes other parts explain. */
void part_quarantine_explained(part_quarantine_t *quarantine, uint64_t part,
			       int64_t now);
/*
 * Counts a response that went on.  began_at is the time at which its target
 * began to write it.  Writes the parts that peers are to be told of to news,
 * of count elements, and returns their number.
 */
uint32_t part_quarantine_survived(part_quarantine_t *quarantine,
				  const uint64_t *parts, uint32_t count,
				  int64_t began_at, int64_t now,
				  uint64_t *news);
/* Counts a response with the part that a peer tells of. */
void part_quarantine_survival_told(part_quarantine_t *quarantine, uint64_t part,
				   int64_t began_at, int64_t now);

G_END_DECLS

#endif
