#include "ingress/overload.h"

/* Lateness of a process that falls behind, and of one that has caught up. */
#define LATE_US 150000
#define CAUGHT_UP_US 50000
#define LATE_CHECKS 2

void overload_check(overload_t *overload, int64_t now, int64_t interval_us)
{
	int64_t late = overload->due > 0 ? now - overload->due : 0;

	overload->due = now + interval_us;
	if (late > LATE_US)
		overload->late_checks++;
	else
		overload->late_checks = 0;
	if (overload->late_checks >= LATE_CHECKS)
		overload->active = true;
	else if (late < CAUGHT_UP_US)
		overload->active = false;
}
