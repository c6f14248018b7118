#include "balance/zone_reach.h"

#include "balance/queue.h"
#include "log/log.h"

#include <string.h>

/*
 * Failures further apart than this have causes of their own.  A connect fails
 * after 400 ms at the latest.
 */
#define FAILURE_WINDOW_US (2 * USEC_PER_SEC)
#define CHECK_INTERVAL_US (250 * USEC_PER_MSEC)

static bool has_failed(const zone_reach_t *reach, handle_t target)
{
	for (uint32_t i = 0; i < reach->failed_count; i++)
		if (handle_equal(reach->failed[i], target))
			return true;
	return false;
}

bool zone_reach_failed(zone_reach_t *reach, handle_t target,
		       int64_t others_answered_at, int64_t now)
{
	if (reach->cut_at != 0)
		return false;
	if (now - reach->failed_at > FAILURE_WINDOW_US)
		reach->failed_count = 0;
	if (reach->failed_count == 0)
		reach->failed_at = now;
	if (reach->failed_count < ZONE_FAILED_MAX && !has_failed(reach, target))
		reach->failed[reach->failed_count++] = target;
	if (reach->failed_count < ZONE_FAILED_MAX ||
	    others_answered_at < reach->failed_at)
		return false;
	reach->cut_at = now;
	return true;
}

bool zone_reach_answered(zone_reach_t *reach, int64_t now)
{
	bool was_cut = reach->cut_at != 0;

	reach->answered_at = now;
	reach->failed_count = 0;
	reach->cut_at = 0;
	return was_cut;
}

static zone_reach_t *find_zone(const balance_t *balance, const char *zone)
{
	for (guint i = 0; i < balance->zones->len; i++) {
		zone_reach_t *reach =
			&g_array_index(balance->zones, zone_reach_t, i);

		if (strcmp(reach->zone, zone) == 0)
			return reach;
	}
	return NULL;
}

static zone_reach_t *get_zone(balance_t *balance, const char *zone)
{
	zone_reach_t *reach = find_zone(balance, zone);
	zone_reach_t added;

	if (reach != NULL)
		return reach;
	memset(&added, 0, sizeof(added));
	g_strlcpy(added.zone, zone, sizeof(added.zone));
	g_array_append_val(balance->zones, added);
	return &g_array_index(balance->zones, zone_reach_t,
			      balance->zones->len - 1);
}

static int64_t others_answered_at(const balance_t *balance,
				  const zone_reach_t *reach)
{
	int64_t latest = 0;

	for (guint i = 0; i < balance->zones->len; i++) {
		const zone_reach_t *other =
			&g_array_index(balance->zones, zone_reach_t, i);

		if (other != reach)
			latest = MAX(latest, other->answered_at);
	}
	return latest;
}

static void update_gauge(const balance_t *balance)
{
	uint64_t cut = 0;

	for (guint i = 0; i < balance->zones->len; i++)
		cut += g_array_index(balance->zones, zone_reach_t, i).cut_at !=
		       0;
	metrics_set(balance->kernel->metrics, GAUGE_ZONES_CUT, cut);
}

void zones_init(balance_t *balance)
{
	balance->zones = g_array_new(FALSE, FALSE, sizeof(zone_reach_t));
}

void zones_finish(balance_t *balance)
{
	kernel_timer_cancel(balance->kernel, &balance->zone_timer);
	g_array_unref(balance->zones);
}

static void reached_again(balance_t *balance, const char *zone, int64_t since)
{
	update_gauge(balance);
	log_event(LOG_LEVEL_WARN, "balance", "zone_reached",
		  "zone=%s lasted_ms=%" G_GINT64_FORMAT, zone,
		  (kernel_now(balance->kernel) - since) / USEC_PER_MSEC);
	queue_run(balance);
}

void zones_target_answered(balance_t *balance, const balance_target_t *target)
{
	zone_reach_t *reach = get_zone(balance, target->info.zone);
	int64_t since = reach->cut_at;

	if (zone_reach_answered(reach, kernel_now(balance->kernel)))
		reached_again(balance, target->info.zone, since);
}

static void arm_timer(balance_t *balance)
{
	if (handle_is_none(balance->zone_timer))
		balance->zone_timer = kernel_timer(
			balance->kernel, balance->svc, CHECK_INTERVAL_US,
			HANDLE_NONE, BALANCE_TIMER_ZONES);
}

void zones_target_failed(balance_t *balance, const balance_target_t *target)
{
	zone_reach_t *reach = get_zone(balance, target->info.zone);

	if (!zone_reach_failed(reach, target->self,
			       others_answered_at(balance, reach),
			       kernel_now(balance->kernel)))
		return;
	update_gauge(balance);
	log_event(LOG_LEVEL_WARN, "balance", "zone_cut",
		  "zone=%s last_target=%s answered_ms_ago=%" G_GINT64_FORMAT,
		  reach->zone, target->info.id,
		  reach->answered_at > 0
			  ? (reach->cut_at - reach->answered_at) / USEC_PER_MSEC
			  : -1);
	arm_timer(balance);
}

bool zones_is_cut(const balance_t *balance, const balance_target_t *target)
{
	const zone_reach_t *reach = find_zone(balance, target->info.zone);

	return reach != NULL && reach->cut_at != 0;
}

/* Another target each time, since the last one may be down by itself. */
static const balance_target_t *next_to_check(balance_t *balance,
					     zone_reach_t *reach)
{
	const balance_target_t *target;

	for (int pass = 0; pass < 2; pass++) {
		while ((target = table_next(&balance->targets, &reach->cursor,
					    NULL)) != NULL)
			if (!target->unavailable &&
			    strcmp(target->info.zone, reach->zone) == 0)
				return target;
		reach->cursor = 0;
	}
	return NULL;
}

static void check_zone(balance_t *balance, zone_reach_t *reach)
{
	const balance_target_t *target = next_to_check(balance, reach);
	msg_t msg = {.kind = MSG_OUT_CHECK};

	if (target == NULL) {
		/* No target tells when the zone is reached again. */
		reach->cut_at = 0;
		reach->failed_count = 0;
		update_gauge(balance);
		return;
	}
	g_strlcpy(msg.u.out_check.instance, target->info.id,
		  sizeof(msg.u.out_check.instance));
	g_strlcpy(msg.u.out_check.host, target->info.host,
		  sizeof(msg.u.out_check.host));
	msg.u.out_check.port = target->info.port;
	kernel_post(balance->kernel, balance->svc, balance->outbound, &msg);
}

void zones_check(balance_t *balance)
{
	bool cut = false;

	balance->zone_timer = HANDLE_NONE;
	for (guint i = 0; i < balance->zones->len; i++) {
		zone_reach_t *reach =
			&g_array_index(balance->zones, zone_reach_t, i);

		if (reach->cut_at == 0)
			continue;
		check_zone(balance, reach);
		cut |= reach->cut_at != 0;
	}
	if (cut)
		arm_timer(balance);
}

void zones_checked(balance_t *balance, const msg_t *msg)
{
	const balance_target_t *target = g_hash_table_lookup(
		balance->targets_by_id, msg->u.out_check.instance);

	if (target != NULL && msg->u.out_check.result == CHECK_ACCEPTED)
		zones_target_answered(balance, target);
}
