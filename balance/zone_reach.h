/*
 * Which availability zones this instance reaches.  A zone that is cut off shows
 * as one target after the other that can't be connected to; without the
 * conclusion for the zone, each of them is found out by a request of its own,
 * which then is late.
 */
#ifndef BALANCE_ZONE_REACH_H
#define BALANCE_ZONE_REACH_H

#include "balance/target.h"

G_BEGIN_DECLS

/* Different targets that fail, with no answer in between, before a cut. */
#define ZONE_FAILED_MAX 3

typedef struct zone_reach_t {
	char zone[NAME_SIZE];
	int64_t answered_at; /* monotonic, us; last sign of a target; 0: none */
	int64_t failed_at; /* monotonic, us; first failure since an answer */
	handle_t failed[ZONE_FAILED_MAX];
	uint32_t failed_count; /* since the last answer */
	int64_t cut_at; /* monotonic, us; 0: the zone is reached */
	uint32_t cursor; /* next target to be checked */
} zone_reach_t;

/*
 * Decisions.  A target of the zone could not be connected to, or has answered.
 * others_answered_at is when a target of any other zone did last: a zone is
 * cut off only if others are reached meanwhile.  Both return whether the zone
 * has become cut off, or is reached again.
 */
bool zone_reach_failed(zone_reach_t *reach, handle_t target,
		       int64_t others_answered_at, int64_t now);
bool zone_reach_answered(zone_reach_t *reach, int64_t now);

void zones_init(balance_t *balance);
void zones_finish(balance_t *balance);
/* A target answered, or could not be connected to. */
void zones_target_answered(balance_t *balance, const balance_target_t *target);
void zones_target_failed(balance_t *balance, const balance_target_t *target);
bool zones_is_cut(const balance_t *balance, const balance_target_t *target);
/* The timer is due: connects to a target of each zone that is cut off. */
void zones_check(balance_t *balance);
void zones_checked(balance_t *balance, const msg_t *msg);

G_END_DECLS

#endif
