#include "overload/move.h"

/* Of one sample; a time constant of half a second. */
#define LOAD_SMOOTHING 0.1

bool move_update(move_t *move, double load, int64_t now)
{
	move->load += (load - move->load) * LOAD_SMOOTHING;
	if (move->load > MOVE_LOAD_LOW)
		move->low_at = now;
	if (move->load > MOVE_LOAD_HIGH) {
		move->high_at = now;
		if (!move->needy) {
			move->needy = true;
			return true;
		}
	}
	if (move->needy && now - move->high_at >= MOVE_HOLD_US &&
	    now - move->low_at >= MOVE_CALM_US) {
		move->needy = false;
		return true;
	}
	return false;
}

double move_excess(const move_t *move)
{
	if (!move->needy || move->load <= MOVE_LOAD_KEPT)
		return 0;
	return 1 - MOVE_LOAD_KEPT / move->load;
}

bool move_may_yield(uint32_t instances, uint32_t needy, uint32_t before)
{
	return needy * 2 <= instances && before < (instances - 1) / 2;
}
