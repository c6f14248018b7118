#include "route/target.h"

#include <string.h>

static target_t *find_by_name(route_t *route, const char *name)
{
	target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&route->targets, &cursor, NULL)) != NULL) {
		if (strcmp(target->record.name, name) == 0)
			return target;
	}
	return NULL;
}

void target_update_all(route_t *route, const conf_snapshot_t *conf)
{
	target_t *target;
	handle_t handle;
	uint32_t cursor = 0;

	while ((target = table_next(&route->targets, &cursor, NULL)) != NULL)
		target->configured = false;
	for (guint i = 0; i < conf->targets->len; i++) {
		const record_target_t *record =
			&g_array_index(conf->targets, record_target_t, i);

		target = find_by_name(route, record->name);
		if (target == NULL)
			table_add(&route->targets, (void **)&target);
		target->record = *record;
		target->configured = true;
	}
	cursor = 0;
	while ((target = table_next(&route->targets, &cursor, &handle)) !=
	       NULL) {
		if (!target->configured && target->running == 0)
			table_remove(&route->targets, handle);
	}
	metrics_set(route->kernel->metrics, GAUGE_TARGETS,
		    table_count(&route->targets));
}

uint32_t target_limit(const route_t *route, const target_t *target)
{
	uint32_t concurrency = MAX(target->record.concurrency, 1);
	uint32_t share, others;

	/*
	 * Each router always has its even share.  Beyond it, it may use what
	 * the other routers leave free according to the target's report.
	 */
	share = (concurrency + route->members - 1) / route->members;
	others = target->reported > target->running
			 ? target->reported - target->running
			 : 0;
	if (others >= concurrency)
		return share;
	return MAX(share, concurrency - others);
}

bool target_is_open(const target_t *target)
{
	return target->configured && !target->leaving &&
	       !target->record.draining;
}

target_t *target_find(route_t *route, const char *host, uint16_t port)
{
	target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&route->targets, &cursor, NULL)) != NULL) {
		if (target->record.port == port &&
		    strcmp(target->record.host, host) == 0)
			return target;
	}
	return NULL;
}
