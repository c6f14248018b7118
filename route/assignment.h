/*
 * Assignments of attempts to targets: accounts of outstanding work, what is
 * learned from it, and second attempts of short work that is late.
 */
#ifndef ROUTE_ASSIGNMENT_H
#define ROUTE_ASSIGNMENT_H

#include "route/target.h"

G_BEGIN_DECLS

/* Gives the ask's work to the target and answers ROUTE_PICKED. */
void assignment_start(route_t *route, const route_req_t *req, target_t *target);
void assignment_first_byte(route_t *route, handle_t assignment);
/* Returns the service's targets that got room, or NULL. */
group_t *assignment_done(route_t *route, const msg_t *msg);
void assignment_timer(route_t *route, handle_t assignment, route_timer_t what);

G_END_DECLS

#endif
