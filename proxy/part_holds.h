/*
 * Sets of prompt parts in quarantine.  A set holds back the requests with all
 * of its parts.  It becomes smaller as responses show parts of it to be sound,
 * and ends once responses speak against all of it.
 *
 * After its quarantine, one request of the fleet probes a set and begins the
 * next quarantine, four times as long, which ends if the probe is answered.
 *
 * What changes is queued, and is to be told to peers and written to the store.
 * Times are in ms, of any clock, but of the same one in all calls.
 */
#ifndef PROXY_PART_HOLDS_H
#define PROXY_PART_HOLDS_H

#include "kernel/part_set.h"
#include "kernel/table.h"
#include "proxy/part_scores.h"

G_BEGIN_DECLS

#define PART_HOLDS_MAX 128 /* sets, with those that have been released */
#define PART_QUARANTINE_MIN_MS ((int64_t)10 * 60 * 1000)
#define PART_QUARANTINE_MAX_MS ((int64_t)24 * 3600 * 1000)
#define PART_STRIKES_MAX 8

typedef struct part_holds_t {
	part_scores_t *scores;
	table_t table; /* part_hold_t */
	uint32_t held; /* entries of the table that are not released */
	GArray *changes; /* part_change_t, oldest first */
	/* Added to each quarantine, so that few instances probe at once. */
	int64_t stagger_ms;
} part_holds_t;

typedef enum part_state_t {
	PART_ALLOWED,
	PART_QUARANTINED,
	PART_PROBE_DUE, /* one request may be sent */
} part_state_t;

/* A quarantine as told to other instances. */
typedef struct part_sentence_t {
	part_set_t set;
	int64_t left_ms;
	int64_t age_ms; /* since it was decided */
	uint32_t strikes; /* quarantines of the set so far */
	part_crashed_t decided; /* by this crash; target 0: not known */
	part_crashes_t crashes; /* of requests with the whole set, the latest */
} part_sentence_t;

typedef enum part_change_kind_t {
	PART_CHANGE_HELD, /* a quarantine has begun */
	PART_CHANGE_CRASHED, /* it explains another crash */
	PART_CHANGE_RELEASED, /* responses have ended it */
	PART_CHANGE_REPLACED, /* one of fewer parts takes its place */
} part_change_kind_t;

/* Who has to know of a change. */
typedef enum part_origin_t {
	PART_ORIGIN_HERE, /* all peers, and the store */
	PART_ORIGIN_TOLD, /* nobody: a peer or the store has told it */
	PART_ORIGIN_ANSWER, /* the peer whose quarantine is wrong */
} part_origin_t;

typedef struct part_change_t {
	part_change_kind_t kind;
	part_origin_t origin;
	bool own; /* this instance decided the quarantine */
	part_sentence_t sentence;
} part_change_t;

/* The scores must outlive the holds. */
void part_holds_init(part_holds_t *holds, part_scores_t *scores,
		     int64_t stagger_ms);
void part_holds_finish(part_holds_t *holds);

/* Moves the oldest change out of the queue; returns false if there is none. */
bool part_holds_next_change(part_holds_t *holds, part_change_t *change);

/* Returns the state of a request that shares these parts. */
part_state_t part_holds_state(const part_holds_t *holds, const uint64_t *parts,
			      uint32_t count, int64_t now);
/*
 * Writes a set in quarantine that holds back the request, and returns whether
 * there is one.
 */
bool part_holds_reason(const part_holds_t *holds, const uint64_t *parts,
		       uint32_t count, int64_t now, part_set_t *set);
/*
 * Begins a quarantine for the crash, which replaces those of larger sets.
 * Returns false if one of these explains the crash.
 */
bool part_holds_begin(part_holds_t *holds, const part_set_t *set,
		      const part_crash_t *crash, int64_t now);
/*
 * Whether quarantines in force explain a crash by a request with these parts.
 * Those of several parts change: other instances may only know a request beside
 * it, and decide for some of the parts.
 */
bool part_holds_explain_crash(part_holds_t *holds, const uint64_t *parts,
			      uint32_t count, const part_crash_t *crash,
			      int64_t now);
/* Whether the part is in a set in quarantine. */
bool part_holds_contain(const part_holds_t *holds, uint64_t part);
/* Whether a response with the part may change the quarantine of its set. */
bool part_holds_await(const part_holds_t *holds, uint64_t part, int64_t now);
/*
 * Applies a response that went on, with these parts or more of them.  began_at
 * is the time at which its target began to write it.
 */
void part_holds_weigh(part_holds_t *holds, const uint64_t *parts,
		      uint32_t count, int64_t began_at, part_origin_t origin,
		      int64_t now);
/*
 * Writes the quarantine that an instance has missed where a request with the
 * part has crashed a target, and returns whether there is one.
 */
bool part_holds_missed(const part_holds_t *holds, uint64_t part,
		       uint64_t request, int64_t now,
		       part_sentence_t *sentence);

/*
 * Begins the next quarantine of the sets that the request is the first one to
 * probe.  Returns their number.
 */
uint32_t part_holds_begin_probe(part_holds_t *holds, const uint64_t *parts,
				uint32_t count, int64_t now);
/*
 * The request that probed sets did not run: another may soon.  Returns the
 * number of these sets.
 */
uint32_t part_holds_probe_unused(part_holds_t *holds, const uint64_t *parts,
				 uint32_t count, int64_t now);

/* Returns false if the set is not in quarantine. */
bool part_holds_sentence(const part_holds_t *holds, const part_set_t *set,
			 int64_t now, part_sentence_t *sentence);
/* Writes quarantines in force and returns their number. */
uint32_t part_holds_list(const part_holds_t *holds, int64_t now,
			 part_sentence_t *list, uint32_t max);
/*
 * Applies a quarantine told by a peer or the store, unless the set was released
 * after it.  It holds back nothing while responses outweigh the crashes of all
 * of its parts here.  Responses that began since it was decided may make the
 * set smaller or end its quarantine, which is a change of the given origin.
 */
void part_holds_adopt(part_holds_t *holds, const part_sentence_t *sentence,
		      part_origin_t origin, int64_t now);
/* Ends the quarantine of the set, and those decided before that come later. */
void part_holds_release(part_holds_t *holds, const part_set_t *set,
			int64_t now);

G_END_DECLS

#endif
