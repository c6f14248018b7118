/*
 * Service "route": chooses a target for each attempt, holds the queue of
 * requests that wait for one, and keeps what is known of the targets.
 */
#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include "kernel/kernel.h"
#include "route/policy.h"

G_BEGIN_DECLS

typedef struct route_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t request;
	svc_t dispatch;
	char availability_zone[NAME_SIZE];
	conf_snapshot_t *conf;
	const policy_t *policy;
	uint32_t members; /* routers alive, this one included */
	uint32_t ejected; /* targets that are outliers */
	uint32_t waiting; /* requests in all queues */
	GHashTable *groups; /* service -> group_t */
	GHashTable *by_name; /* target -> target_t */
	GHashTable *by_address; /* "host port" -> target_t */
	GHashTable *by_attempt; /* the asker's handle -> route_req_t */
	table_t targets; /* target_t */
	table_t reqs; /* route_req_t: requests that wait */
	table_t assignments; /* assignment_t: requests on targets */
} route_t;

void route_init(route_t *route, kernel_t *kernel,
		const char *availability_zone);
void route_finish(route_t *route);

G_END_DECLS

#endif
