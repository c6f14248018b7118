#include "route/target.h"

#include "route/pick.h"

#include <math.h>
#include <string.h>

/* Reports older than this say nothing about the current load. */
#define REPORT_MAX_AGE_US (5 * USEC_PER_SEC)
#define SLOW_START_STEPS 8
#define SLOW_START_MIN_SHARE 0.25 /* share when a slow start begins */

void group_free(gpointer data)
{
	group_t *group = data;

	g_ptr_array_unref(group->targets);
	for (int work = 0; work < WORK_COUNT; work++)
		g_ptr_array_unref(group->heap[work]);
	g_array_unref(group->ring);
	queue_finish(&group->queue);
	g_free(group);
}

group_t *group_find(const route_t *route, const char *service)
{
	return g_hash_table_lookup(route->groups, service);
}

/* A group outlives its service, because its estimates remain useful. */
group_t *group_get(route_t *route, const char *service)
{
	group_t *group = group_find(route, service);

	if (group != NULL)
		return group;
	group = g_new0(group_t, 1);
	g_strlcpy(group->service, service, sizeof(group->service));
	group->targets = g_ptr_array_new();
	for (int work = 0; work < WORK_COUNT; work++)
		group->heap[work] = g_ptr_array_new();
	group->ring = g_array_new(FALSE, FALSE, sizeof(ring_point_t));
	queue_init(&group->queue);
	g_hash_table_insert(route->groups, group->service, group);
	return group;
}

static char *address_key(const char *host, uint16_t port)
{
	return g_strdup_printf("%s %u", host, port);
}

target_t *target_find(const route_t *route, const char *host, uint16_t port)
{
	char *key = address_key(host, port);
	target_t *target = g_hash_table_lookup(route->by_address, key);

	g_free(key);
	return target;
}

uint32_t target_running(const target_t *target)
{
	return target->running[WORK_SHORT] + target->running[WORK_LONG];
}

int64_t target_hold(const route_t *route, const target_t *target)
{
	int64_t until = MAX(target->hold_until, target->paused_until);

	return MAX(until - kernel_now(route->kernel), 0);
}

bool target_is_available(const route_t *route, const target_t *target)
{
	return target->configured && !target->leaving &&
	       !target->record.draining && target_hold(route, target) == 0;
}

static double slow_start_factor(const route_t *route, const target_t *target)
{
	double length = (double)route->policy->slow_start_ms * USEC_PER_MSEC;
	double ratio;

	if (target->slow_start_began == 0 || length <= 0)
		return 1;
	ratio = (double)(kernel_now(route->kernel) - target->slow_start_began) /
		length;
	return CLAMP(ratio, SLOW_START_MIN_SHARE, 1);
}

void target_slow_start(route_t *route, target_t *target)
{
	int64_t step =
		route->policy->slow_start_ms * USEC_PER_MSEC / SLOW_START_STEPS;

	target->slow_start_began = kernel_now(route->kernel);
	kernel_timer_cancel(route->kernel, &target->timer);
	target->timer = kernel_timer(route->kernel, route->svc, step,
				     target->self, TIMER_TARGET);
}

double target_share(const route_t *route, const target_t *target)
{
	return MAX(target->record.concurrency, 1) *
	       slow_start_factor(route, target) / route->members;
}

/*
 * Rounds up on some routers and down on others, depending on the salt, so that
 * the sum of the routers' shares is about right.
 */
static uint32_t round_by_salt(const target_t *target, double share)
{
	double whole = floor(share);

	return (uint32_t)whole +
	       ((double)(target->rounding_salt % 1024) / 1024 < share - whole);
}

uint32_t target_long_share(const route_t *route, const target_t *target)
{
	double room = route->policy->short_room_percent / 100.0;

	return round_by_salt(target, target_share(route, target) * (1 - room));
}

bool target_report_is_valid(const route_t *route, const target_t *target)
{
	return target->report_time != 0 &&
	       kernel_now(route->kernel) - target->report_time <=
		       REPORT_MAX_AGE_US;
}

uint32_t target_other_load(const route_t *route, const target_t *target)
{
	uint32_t own = target->running_at_report;

	if (!target_report_is_valid(route, target))
		return target->record.concurrency;
	return target->reported_load > own ? target->reported_load - own : 0;
}

static uint32_t long_limit(const route_t *route, const target_t *target)
{
	double room = route->policy->short_room_percent / 100.0;
	double spare = target->record.concurrency * (1 - room) -
		       target_other_load(route, target) -
		       target_running(target);
	uint32_t limit = target_long_share(route, target);

	/* No router has a whole share of a small service; allow one request. */
	if (limit == 0 && target->group->long_share == 0)
		limit = 1;
	/* All routers see the same spare capacity and use an equal part. */
	if (spare > 0)
		limit += round_by_salt(target, spare / route->members);
	return limit;
}

uint32_t target_limit(const route_t *route, const target_t *target,
		      work_class_t work)
{
	double share, burst, free_room;

	if (target->state == TARGET_SUSPENDED ||
	    !target_is_available(route, target))
		return 0;
	if (target->state == TARGET_PROBING)
		return handle_is_none(target->probe)
			       ? target_running(target) + 1
			       : 0;
	if (work == WORK_LONG)
		return long_limit(route, target);
	share = target_share(route, target);
	burst = share * route->policy->burst_percent / 100.0;
	share = share * route->policy->share_percent / 100.0;
	free_room =
		target->record.concurrency * slow_start_factor(route, target) -
		target_other_load(route, target);
	return (uint32_t)ceil(CLAMP(free_room, share, MAX(burst, share)));
}

void target_remove_unused(route_t *route, target_t *target)
{
	char *key;

	if (target->configured || target_running(target) > 0)
		return;
	kernel_timer_cancel(route->kernel, &target->timer);
	key = address_key(target->record.host, target->record.port);
	if (g_hash_table_lookup(route->by_address, key) == target)
		g_hash_table_remove(route->by_address, key);
	g_free(key);
	if (g_hash_table_lookup(route->by_name, target->record.name) == target)
		g_hash_table_remove(route->by_name, target->record.name);
	table_remove(&route->targets, target->self);
}

/* A record with a different service or address is a different target. */
static bool is_same_target(const record_target_t *a, const record_target_t *b)
{
	return strcmp(a->service, b->service) == 0 &&
	       strcmp(a->host, b->host) == 0 && a->port == b->port;
}

static target_t *add_target(route_t *route, const record_target_t *record,
			    bool use_slow_start)
{
	target_t *target;
	handle_t self = table_add(&route->targets, (void **)&target);

	target->self = self;
	target->record = *record;
	target->group = group_get(route, record->service);
	target->rounding_salt = kernel_random(route->kernel);
	if (use_slow_start && target->group->targets->len > 0)
		target_slow_start(route, target);
	g_hash_table_insert(route->by_name, target->record.name, target);
	g_hash_table_replace(route->by_address,
			     address_key(record->host, record->port), target);
	return target;
}

static void update_target(route_t *route, const record_target_t *record,
			  bool use_slow_start)
{
	target_t *target = g_hash_table_lookup(route->by_name, record->name);
	bool unchanged =
		target != NULL && is_same_target(&target->record, record);

	if (target != NULL && !unchanged) {
		g_hash_table_remove(route->by_name, target->record.name);
		target = NULL;
	}
	if (target == NULL)
		target = add_target(route, record, use_slow_start);
	target->record = *record;
	target->configured = true;
}

static void rebuild_groups(route_t *route)
{
	GHashTableIter i;
	target_t *target;
	group_t *group;
	uint32_t cursor = 0;

	while ((target = table_next(&route->targets, &cursor, NULL)) != NULL) {
		if (!target->configured)
			continue;
		group = target->group;
		target->index = group->targets->len;
		g_ptr_array_add(group->targets, target);
		if (target->state != TARGET_ACTIVE && target->is_outlier)
			group->outliers++;
	}
	g_hash_table_iter_init(&i, route->groups);
	while (g_hash_table_iter_next(&i, NULL, (gpointer *)&group))
		pick_rebuild(route, group);
}

void target_apply_conf(route_t *route, const conf_snapshot_t *conf)
{
	bool use_slow_start = table_count(&route->targets) > 0;
	GHashTableIter i;
	target_t *target;
	group_t *group;
	uint32_t cursor = 0;

	for (guint n = 0; n < conf->services->len; n++) {
		const record_service_t *record =
			&g_array_index(conf->services, record_service_t, n);

		group_get(route, record->name)->record = *record;
	}
	while ((target = table_next(&route->targets, &cursor, NULL)) != NULL)
		target->configured = false;
	for (guint n = 0; n < conf->targets->len; n++)
		update_target(route,
			      &g_array_index(conf->targets, record_target_t, n),
			      use_slow_start);
	g_hash_table_iter_init(&i, route->groups);
	while (g_hash_table_iter_next(&i, NULL, (gpointer *)&group)) {
		g_ptr_array_set_size(group->targets, 0);
		group->outliers = 0;
		queue_prune(&group->queue);
	}
	rebuild_groups(route);
	cursor = 0;
	while ((target = table_next(&route->targets, &cursor, NULL)) != NULL)
		target_remove_unused(route, target);
	metrics_set(route->kernel->metrics, GAUGE_TARGETS,
		    table_count(&route->targets));
}
