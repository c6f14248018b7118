/*
 * Service "route": selects a target for each attempt, queues requests that wait
 * for one, and tracks the state of the targets.
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
	uint32_t members; /* live routers, this one included */
	uint32_t ejected; /* targets ejected as outliers */
	uint32_t waiting; /* requests in all queues */
	GHashTable *groups; /* service name -> group_t */
	GHashTable *by_name; /* target name -> target_t */
	GHashTable *by_address; /* "host port" -> target_t */
	GHashTable *by_attempt; /* attempt_key -> route_req_t */
	table_t targets; /* target_t */
	table_t reqs; /* route_req_t */
	table_t assignments; /* assignment_t */
} route_t;

void route_init(route_t *route, kernel_t *kernel,
		const char *availability_zone);
void route_finish(route_t *route);

G_END_DECLS

#endif
