/*
 * Whether this instance reaches targets at all.  An instance that is cut off
 * from all of them, while callers and peers still reach it, sees one target
 * after the other fail and none answer.
 */
#ifndef PROXY_REACH_H
#define PROXY_REACH_H

#include "kernel/fleet.h"

G_BEGIN_DECLS

/* Different targets that fail, with no answer in between, before a cut. */
#define REACH_FAILED_MAX 3

typedef enum reach_state_t {
	REACH_OPEN,
	REACH_CUT, /* no target is reached */
	REACH_TRYING, /* a target accepts connections again */
} reach_state_t;

/* A target that failed, to which connecting is tried again. */
typedef struct reach_target_t {
	char instance[NAME_SIZE];
	char host[HOST_SIZE];
	uint16_t port;
} reach_target_t;

typedef struct reach_t {
	reach_state_t state;
	int64_t cut_at; /* monotonic, us */
	int64_t accepted_at; /* monotonic, us; a target accepted a connection */
	int64_t trial_at; /* monotonic, us; last request sent; 0: none */
	reach_target_t failed[REACH_FAILED_MAX];
	uint32_t failed_count; /* since the last answer */
	uint32_t checked; /* next of failed to connect to */
	int64_t heard_at; /* monotonic, us; last bytes of any target; 0: none */
	bool congested; /* this instance is behind, or its link is full */
} reach_t;

/* What an attempt that got no answer in time tells. */
typedef enum reach_late_t {
	REACH_LATE_CUT, /* the target may be out of reach */
	REACH_LATE_TARGET, /* others answer: it is the target, or the link */
	REACH_LATE_LOCAL, /* this instance is late itself */
} reach_late_t;

/* Bytes of a target have arrived. */
void reach_heard(reach_t *reach, int64_t now);
/*
 * Judges an attempt, begun at that time, that got no answer.  What an instance
 * in a partition sends is followed by silence of all targets.
 */
reach_late_t reach_judge_late(const reach_t *reach, int64_t began, int64_t now);

/* These return whether the state changed to or from REACH_OPEN. */
bool reach_failed(reach_t *reach, const reach_target_t *target, int64_t now);
bool reach_answered(reach_t *reach);

/* A check has found that a target accepts connections. */
void reach_accepted(reach_t *reach, int64_t now);
/*
 * Whether a request may be sent to a target to see whether it is answered,
 * while targets are being tried: one at a time, at first one that can be
 * repeated.
 */
bool reach_allows_trial(reach_t *reach, bool idempotent, int64_t now);
/* Returns the next target to connect to, or NULL unless there is a cut. */
const reach_target_t *reach_next_check(reach_t *reach);

G_END_DECLS

#endif
