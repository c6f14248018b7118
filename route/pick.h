/*
 * Choice of a target: a heap of a service's targets for each class of work,
 * the least loaded first, and a hash ring for the preference of prefixes.
 */
#ifndef ROUTE_PICK_H
#define ROUTE_PICK_H

#include "route/target.h"

G_BEGIN_DECLS

typedef struct ring_point_t {
	uint64_t hash;
	target_t *target;
} ring_point_t;

/* Orders the target anew after its load, limit or state has changed. */
void pick_update(const route_t *route, target_t *target);

/* Builds the indexes of a service's targets anew. */
void pick_rebuild(const route_t *route, group_t *group);

/* The target for the ask, or NULL when none has room for it now. */
target_t *pick_target(const route_t *route, const route_req_t *req);

G_END_DECLS

#endif
