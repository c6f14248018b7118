/*
 * Outlier detection: suspends targets that fail or are much slower than their
 * peers, and readmits them after a pause, a probe request and a slow start.
 */
#ifndef ROUTE_OUTLIER_H
#define ROUTE_OUTLIER_H

#include "route/target.h"

G_BEGIN_DECLS

/* Handles the end of an attempt; failure is FAILURE_NONE on success. */
void outlier_done(route_t *route, assignment_t *assignment, target_t *target,
		  failure_t failure, int64_t tokens);
void outlier_first_byte(route_t *route, assignment_t *assignment,
			target_t *target);
/* Handles an attempt that has no first byte after the time that most need. */
void outlier_late(route_t *route, assignment_t *assignment, target_t *target);
/*
 * Handles an attempt without a first byte, or without an end, within a
 * multiple of the expected time.
 */
void outlier_overdue(route_t *route, assignment_t *assignment,
		     target_t *target);

/*
 * Handles a response in which the target announces that it leaves.  The target
 * is held without work and then probed, because the platform's list may never
 * show that it returned.
 */
void outlier_target_leaving(route_t *route, target_t *target);
/* The target wants no requests for this time. */
void outlier_target_paused(route_t *route, target_t *target, int64_t pause);
/* Records whether the platform lists the target as leaving. */
void outlier_set_leaving(route_t *route, target_t *target, bool leaving);

/* Handles TIMER_TARGET. */
void outlier_timer(route_t *route, target_t *target);

G_END_DECLS

#endif
