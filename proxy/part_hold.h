/*
 * The table of the sets in quarantine.  Private to proxy/part_*.c.
 */
#ifndef PROXY_PART_HOLD_H
#define PROXY_PART_HOLD_H

#include "proxy/part_holds.h"

G_BEGIN_DECLS

/* A target that a request with the whole set has crashed. */
typedef struct known_crash_t {
	uint64_t target; /* hash of its id */
	int64_t at;
} known_crash_t;

typedef struct part_hold_t {
	handle_t self;
	part_set_t set;
	/* Bit i: a response that began since has shown parts[i] to be sound. */
	uint32_t cleared;
	bool held; /* false: released */
	bool own; /* decided by this instance */
	bool probed; /* a request of this instance probes the set */
	uint32_t against; /* responses with all of the set that went on */
	known_crash_t decided; /* the crash for which it was decided */
	known_crash_t crashes[PART_CRASHES_MAX];
	uint32_t crash_count; /* crashes known so far */
	uint32_t strikes; /* quarantines so far */
	int64_t until; /* end of the quarantine, without stagger_ms */
	int64_t decided_at;
	int64_t released_at; /* the last time; INT64_MIN: never */
} part_hold_t;

/* Returns the next entry at or after *cursor, or NULL at the end. */
part_hold_t *part_hold_next(const part_holds_t *holds, uint32_t *cursor);
part_hold_t *part_hold_find(const part_holds_t *holds, const part_set_t *set);
void part_hold_remove(part_holds_t *holds, part_hold_t *hold);
/*
 * Responses outweigh the crashes of each of the parts here, and another
 * instance that does not know of them has decided: one that reaches no target
 * takes them for crashed.
 */
bool part_hold_is_doubted(const part_holds_t *holds, const part_hold_t *hold,
			  int64_t now);
void part_hold_end(part_holds_t *holds, part_hold_t *hold, part_origin_t origin,
		   int64_t now);
/* Returns the change, which is valid until the next one is added. */
part_change_t *part_hold_add_change(part_holds_t *holds,
				    part_change_kind_t kind,
				    const part_hold_t *hold,
				    part_origin_t origin, int64_t now);

/* part_responses.c */

/*
 * Acts on the parts that responses have cleared.  If all were, no part alone
 * caused the crashes; should they go on, the set is held though.  The rest is
 * held by itself only if it has a part that has not been seen in sound
 * responses, as the crashes may have had another cause.
 */
void part_hold_weigh_cleared(part_holds_t *holds, part_hold_t *hold,
			     part_origin_t origin, int64_t now);
/* The parts of the rest explain the crashes with the others. */
void part_hold_explain_others(part_holds_t *holds, const part_set_t *set,
			      const part_set_t *rest, int64_t now);

G_END_DECLS

#endif
