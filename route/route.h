/*
 * Service "route": chooses a target for each attempt, holds the queue of
 * requests that wait for one, and keeps what is known of the targets.
 */
#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

typedef struct route_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t request;
	char availability_zone[NAME_SIZE];
	conf_snapshot_t *conf;
	uint32_t members; /* routers alive, this one included */
	table_t targets; /* target_t */
	table_t asks; /* ask_t: requests that wait */
	table_t assignments; /* assignment_t: requests on targets */
	GQueue queue; /* handle_t *, oldest first */
} route_t;

void route_init(route_t *route, kernel_t *kernel,
		const char *availability_zone);
void route_finish(route_t *route);

G_END_DECLS

#endif
