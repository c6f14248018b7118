/*
 * Ejection of targets that are much slower than their peers or that fail,
 * and their way back: a pause, one probe, a slow start.
 */
#ifndef ROUTE_OUTLIER_H
#define ROUTE_OUTLIER_H

#include "route/target.h"

G_BEGIN_DECLS

/* An attempt ended, well or not, or was found overdue. */
void outlier_done(route_t *route, assignment_t *assignment, target_t *target,
		  failure_t failure, int64_t tokens);
void outlier_first_byte(route_t *route, assignment_t *assignment,
			target_t *target);
/* No first byte within the time that most attempts take. */
void outlier_late(route_t *route, assignment_t *assignment, target_t *target);
/* No first byte, or no end, within a multiple of the expected time. */
void outlier_overdue(route_t *route, assignment_t *assignment,
		     target_t *target);

/*
 * The target said that it leaves.  It gets nothing for a while and then a
 * probe, because the list may never show that it came back.
 */
void outlier_target_leaving(route_t *route, target_t *target);
/* The platform's list says whether the target leaves. */
void outlier_set_leaving(route_t *route, target_t *target, bool leaving);

/* The target's timer has fired. */
void outlier_timer(route_t *route, target_t *target);

G_END_DECLS

#endif
