/*
 * Pace of a target that has just started, or answers again after failures: the
 * number of requests that the whole fleet may have there at a time.  It doubles
 * while answers come as fast as those of the target's peers, and halves when
 * they are slow or fail, until nothing restrains the target any more.
 */
#ifndef BALANCE_PACE_H
#define BALANCE_PACE_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

/* Level of a target that is not restrained, in messages to peers. */
#define PACE_FREE 32

typedef struct pace_t {
	bool active;
	uint32_t level; /* the fleet's window is 2 to the power of level + 1 */
	uint32_t usual; /* answers here since then, neither fast nor slow */
	bool sends; /* an answer to this instance has raised the level */
	int64_t news_at; /* monotonic, us; last change, here or at a peer */
} pace_t;

typedef enum pace_answer_t {
	PACE_FAST,
	PACE_USUAL, /* neither fast nor slow */
	PACE_SLOW,
	PACE_FAILED,
} pace_answer_t;

/* What the share of one instance depends on. */
typedef struct pace_place_t {
	uint32_t rank; /* instances that come first for the target */
	uint32_t reached; /* instances that reach each other, this included */
	uint32_t instances; /* of the fleet */
	uint32_t outstanding; /* requests of this instance at the target */
	int64_t answer_us; /* usual time to an answer of the target's peers */
} pace_place_t;

void pace_begin(pace_t *pace, int64_t now);
/* Compares the time to an answer with that of the target's peers; 0: none. */
pace_answer_t pace_rate_answer(int64_t us, int64_t usual_us);
/* Whether this instance may send the target another request. */
bool pace_is_open(const pace_t *pace, const pace_place_t *place, int64_t now);
/*
 * Counts an answer to a request that was sent then; one that was sent before
 * the last change tells nothing of it.  room is the number of requests that the
 * target takes at a time.  Returns true if the peers are to know
 * the level.
 */
bool pace_answered(pace_t *pace, pace_answer_t answer, int64_t sent_at,
		   uint32_t room, int64_t now);
/* A peer has changed the level. */
void pace_told(pace_t *pace, uint32_t level, uint32_t room, int64_t now);

G_END_DECLS

#endif
