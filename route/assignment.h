/*
 * Assignments of attempts to targets: counts outstanding work, updates the
 * estimates when work completes, and offers hedges for late short work.
 */
#ifndef ROUTE_ASSIGNMENT_H
#define ROUTE_ASSIGNMENT_H

#include "route/target.h"

G_BEGIN_DECLS

/* Assigns the request to the target and replies with ROUTE_ASSIGNED. */
void assignment_start(route_t *route, const route_req_t *req, target_t *target);
void assignment_first_byte(route_t *route, handle_t assignment);
/*
 * Ends an assignment.  Returns the target group with the freed slot, or NULL
 * when the assignment is unknown.
 */
group_t *assignment_done(route_t *route, const msg_t *msg);
void assignment_timer(route_t *route, handle_t assignment, route_timer_t what);

G_END_DECLS

#endif
