/*
 * Assignments of attempts to targets: accounts of outstanding work, what is
 * learned from it, and second attempts of short work that is late.
 */
#ifndef ROUTE_FLIGHT_H
#define ROUTE_FLIGHT_H

#include "route/target.h"

G_BEGIN_DECLS

/* Gives the ask's work to the target and answers ROUTE_PICKED. */
void flight_start(route_t *route, const ask_t *ask, target_t *target);
void flight_first_byte(route_t *route, handle_t assignment);
/* Returns the service's targets that got room, or NULL. */
group_t *flight_done(route_t *route, const msg_t *msg);
void flight_timer(route_t *route, handle_t assignment, timer_what_t what);

G_END_DECLS

#endif
