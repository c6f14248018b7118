#include "balance/evacuation.h"

#include "balance/permit.h"
#include "balance/placement.h"
#include "balance/queue.h"
#include "log/log.h"

#include <string.h>

void evacuation_init(balance_t *balance)
{
	balance->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void evacuation_finish(balance_t *balance)
{
	g_hash_table_unref(balance->evacuated);
}

bool evacuation_covers(const balance_t *balance, const char *zone)
{
	return g_hash_table_contains(balance->evacuated, zone);
}

static uint32_t count_running(const balance_t *balance)
{
	const placement_t *placement;
	uint32_t cursor = 0, count = 0;

	if (g_hash_table_size(balance->evacuated) == 0)
		return 0;
	while ((placement = table_next(&balance->placements, &cursor, NULL)) !=
	       NULL)
		count += evacuation_covers(balance, placement->zone);
	return count;
}

void evacuation_count_running(const balance_t *balance)
{
	metrics_set(balance->kernel->metrics, GAUGE_EVACUATED_RUNNING,
		    count_running(balance));
}

static void update_targets(balance_t *balance, const char *zone, bool evacuated)
{
	balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (strcmp(target->info.zone, zone) != 0)
			continue;
		target->evacuated = evacuated;
		/* What its home has promised may not be used any more. */
		permit_reset(target);
	}
}

void evacuation_changed(balance_t *balance, const msg_t *msg)
{
	const char *zone = msg->u.fleet_evacuation.zone;
	bool evacuated = msg->u.fleet_evacuation.evacuated;

	if (evacuated == evacuation_covers(balance, zone))
		return;
	if (evacuated)
		g_hash_table_add(balance->evacuated, g_strdup(zone));
	else
		g_hash_table_remove(balance->evacuated, zone);
	update_targets(balance, zone, evacuated);
	evacuation_count_running(balance);
	log_event(LOG_LEVEL_INFO, "balance", "evacuation",
		  "zone=%s evacuated=%d running=%" G_GINT64_FORMAT " queued=%u",
		  log_quote(zone), evacuated,
		  balance->kernel->metrics->gauges[GAUGE_EVACUATED_RUNNING],
		  table_count(&balance->queue));
	queue_run(balance);
}

bool evacuation_leaves_none(const choice_t *choice)
{
	const uint32_t *count = choice->passed_over.count;

	if (choice->kind != CHOICE_NONE || count[PASS_EVACUATED] == 0)
		return false;
	for (int i = PASS_NONE + 1; i < PASS_COUNT; i++)
		if (i != PASS_EVACUATED && i != PASS_UNAVAILABLE &&
		    i != PASS_LEAVING && count[i] > 0)
			return false;
	return true;
}
