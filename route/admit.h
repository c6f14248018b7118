/*
 * Requests that ask for a target: admission, waiting, early refusal.
 */
#ifndef ROUTE_ADMIT_H
#define ROUTE_ADMIT_H

#include "route/target.h"

G_BEGIN_DECLS

void admit_request(route_t *route, const msg_t *msg);
void admit_cancel(route_t *route, handle_t attempt);
/* The latest start of a waiting request has passed. */
void admit_timeout(route_t *route, handle_t req);
/* Serves a service's queue as far as its targets have room. */
void admit_serve_queue(route_t *route, group_t *group);
void admit_finish(route_t *route);

G_END_DECLS

#endif
