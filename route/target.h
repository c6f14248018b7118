/*
 * What this router knows of the targets: configuration, own outstanding work,
 * reported load.
 */
#ifndef ROUTE_TARGET_H
#define ROUTE_TARGET_H

#include "route/route.h"

G_BEGIN_DECLS

typedef struct target_t {
	record_target_t record;
	bool configured; /* false: removed, kept until its work ends */
	bool leaving; /* listed as leaving, or said so itself */
	uint32_t running; /* attempts of this router */
	int64_t outstanding; /* tokens of these attempts */
	uint32_t reported; /* requests running or queued, all routers */
} target_t;

/* Takes over the targets of a new configuration. */
void target_update_all(route_t *route, const conf_snapshot_t *conf);

/* Requests that this router may run on the target at one time. */
uint32_t target_limit(const route_t *route, const target_t *target);

bool target_is_open(const target_t *target);

target_t *target_find(route_t *route, const char *host, uint16_t port);

G_END_DECLS

#endif
