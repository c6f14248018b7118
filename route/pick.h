/*
 * Target selection: a heap of a service's targets for each work class, the
 * least loaded first, and a consistent-hash ring for prefix affinity.
 */
#ifndef ROUTE_PICK_H
#define ROUTE_PICK_H

#include "route/target.h"

G_BEGIN_DECLS

typedef struct ring_point_t {
	uint64_t hash;
	target_t *target;
} ring_point_t;

/* Updates the target's score after a change of its load, limit or state. */
void pick_update(const route_t *route, target_t *target);

/* Rebuilds the heaps and the ring of a service's targets. */
void pick_rebuild(const route_t *route, group_t *group);

/* Returns the target for the request, or NULL when none has room now. */
target_t *pick_target(const route_t *route, const route_req_t *req);

G_END_DECLS

#endif
