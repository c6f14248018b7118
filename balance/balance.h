/*
 * Service "balance": chooses the target of each request.  The choice depends on
 * the requests that this instance has outstanding at a target, the load that
 * the target reports, cached prompt prefixes, the availability zone and recent
 * failures.  Requests that find no room wait in a queue ordered by priority.
 */
#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

typedef struct balance_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t peer;
	char zone[NAME_SIZE];
	fleet_conf_t *conf;
	uint32_t instances; /* size of the fleet, including this one */
	table_t targets; /* balance_target_t */
	table_t queue; /* queued_t */
	table_t placements; /* placement_t */
	GHashTable *targets_by_id; /* id -> balance_target_t */
	uint64_t arrivals; /* orders queued requests of equal priority */
} balance_t;

void balance_init(balance_t *balance, kernel_t *kernel, const char *zone);
void balance_finish(balance_t *balance);

G_END_DECLS

#endif
