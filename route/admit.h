/*
 * Admission control: assigns requests to targets, queues those that find no
 * free target and refuses those that would miss their deadline.
 */
#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include "route/target.h"

G_BEGIN_DECLS

/* Assigns, queues or refuses the request of a ROUTE_REQUEST message. */
void admit_request(route_t *route, const msg_t *msg);
void admit_cancel(route_t *route, handle_t attempt);
/* Refuses a queued request whose latest start time has passed. */
void admit_timeout(route_t *route, handle_t req);
/* Assigns queued requests of a service until its targets are full. */
void admit_serve_queue(route_t *route, group_t *group);
void admit_finish(route_t *route);

G_END_DECLS

#endif
