#include "balance/balance.h"
#include "balance/brittle.h"
#include "balance/explain.h"

#include "balance/evacuation.h"
#include "balance/flow.h"
#include "balance/heat.h"
#include "balance/home.h"
#include "balance/notice.h"
#include "balance/pacing.h"
#include "balance/permit.h"
#include "balance/placement.h"
#include "balance/process.h"
#include "balance/queue.h"
#include "balance/target.h"
#include "balance/zone_reach.h"

#include <string.h>

#define MEMORY_DEFAULT (UINT64_C(256) * 1048576) /* bytes */

static void remove_target(balance_t *balance, balance_target_t *target)
{
	notice_keep(balance, target);
	g_hash_table_remove(balance->targets_by_id, target->info.id);
	balance_target_finish(target);
	table_remove(&balance->targets, target->self);
}

static bool has_resumable_route(const fleet_conf_t *conf, const char *service)
{
	for (guint i = 0; i < conf->routes->len; i++) {
		const fleet_route_t *route =
			&g_array_index(conf->routes, fleet_route_t, i);

		if (route->terms.kind == ROUTE_STREAM &&
		    route->terms.resumable &&
		    fleet_conf_leads_to(conf, route, service))
			return true;
	}
	return false;
}

static void update_service_info(balance_t *balance, balance_target_t *target)
{
	const fleet_service_t *service =
		balance->conf == NULL
			? NULL
			: fleet_conf_service(balance->conf,
					     target->info.service);

	target->engine = service != NULL && service->engine;
	target->cache.max_tokens =
		target->engine ? service->kv_cache_tokens : 0;
	target->resumable =
		balance->conf != NULL &&
		has_resumable_route(balance->conf, target->info.service);
	target->cold_us =
		service != NULL ? service->cold_ms * USEC_PER_MSEC : 0;
	target->cold_per_ks = service != NULL ? service->cold_per_ks : 0;
	if (!target->resumable)
		process_replaced(target);
}

static void target_changed(balance_t *balance, const msg_t *msg)
{
	const fleet_target_t *info = &msg->u.fleet_target.target;
	balance_target_t *target =
		g_hash_table_lookup(balance->targets_by_id, info->id);
	bool used = target != NULL;
	bool started = !used || target->info.started_ms != info->started_ms;
	handle_t self;

	if (msg->u.fleet_target.gone) {
		if (target != NULL)
			remove_target(balance, target);
		return;
	}
	if (target == NULL) {
		self = table_add(&balance->targets, (void **)&target);
		target->self = self;
		balance_target_init(target, info, &balance->caches);
		g_hash_table_insert(balance->targets_by_id, target->info.id,
				    target);
		notice_restore(balance, target);
	} else if (target->info.started_ms != info->started_ms) {
		permit_reset(target);
		balance_target_reset(target);
		process_replaced(target);
	}
	/* targets_by_id refers to the id, which is the same. */
	target->info = *info;
	target->unavailable = info->draining;
	target->evacuated = evacuation_covers(balance, info->zone);
	update_service_info(balance, target);
	heat_listed(balance, target, used);
	if (started)
		pacing_listed(balance, target);
	queue_run(balance);
}

static void conf_changed(balance_t *balance, msg_t *msg)
{
	uint32_t cursor = 0;
	balance_target_t *target;

	fleet_conf_unref(balance->conf);
	balance->conf = g_steal_pointer(&msg->u.fleet_conf);
	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		update_service_info(balance, target);
	heat_update_gauge(balance);
}

static void start(balance_t *balance)
{
	msg_t msg = {.kind = MSG_FLEET_SUBSCRIBE};

	balance->peer = kernel_find(balance->kernel, "peer");
	balance->proxy = kernel_find(balance->kernel, "proxy");
	balance->outbound = kernel_find(balance->kernel, "outbound");
	kernel_post(balance->kernel, balance->svc,
		    kernel_find(balance->kernel, "fleet"), &msg);
}

static void on_timer(balance_t *balance, const msg_t *msg)
{
	switch ((balance_timer_t)msg->u.timer.kind) {
	case BALANCE_TIMER_QUEUE:
		queue_timed_out(balance, msg->ref);
		break;
	case BALANCE_TIMER_ASK:
		permit_timed_out(balance, msg->ref);
		break;
	case BALANCE_TIMER_WAKE:
		queue_woken(balance);
		break;
	case BALANCE_TIMER_PROCESS:
		process_check(balance);
		break;
	case BALANCE_TIMER_ZONES:
		zones_check(balance);
		break;
	case BALANCE_TIMER_COLD:
		heat_timed_out(balance, msg->ref);
		break;
	}
}

static void receive_peer(balance_t *balance, const msg_t *msg)
{
	switch (msg->u.peer.body->kind) {
	case PEER_PLACED:
		placement_announced(balance, msg->u.peer.body);
		break;
	case PEER_TARGET_LEAVING:
		notice_told(balance, msg->u.peer.body);
		break;
	case PEER_TARGET_FULL:
		brittle_told(balance, msg->u.peer.body);
		break;
	case PEER_TARGET_DOUBTED:
		process_told(balance, msg->u.peer.body);
		break;
	case PEER_TARGET_LIMIT:
		if (msg->u.peer.body->u.limit.limit.kind == LIMIT_UNKNOWN)
			pacing_told(balance, msg);
		else
			home_told(balance, msg->u.peer.body);
		break;
	case PEER_PERMIT_REQUEST:
		permit_asked(balance, msg);
		break;
	case PEER_PERMIT_REPLY:
		permit_replied(balance, msg);
		break;
	default:
		break;
	}
}

static void receive(void *self, msg_t *msg)
{
	balance_t *balance = self;

	switch (msg->kind) {
	case MSG_START:
		start(balance);
		break;
	case MSG_TIMER:
		on_timer(balance, msg);
		break;
	case MSG_FLEET_CONF:
		conf_changed(balance, msg);
		break;
	case MSG_FLEET_TARGET:
		target_changed(balance, msg);
		break;
	case MSG_FLEET_EVACUATION:
		evacuation_changed(balance, msg);
		break;
	case MSG_FLEET_SIZE:
		heat_update_share(balance);
		balance->instances = msg->u.fleet_size.instances;
		break;
	case MSG_PEER_RECEIVED:
		receive_peer(balance, msg);
		break;
	case MSG_PEER_UP:
		heat_update_share(balance);
		peer_set_update(&balance->peers, msg);
		home_tell_peer(balance, msg->u.peer_addr.incarnation);
		process_tell_peer(balance, msg->u.peer_addr.incarnation);
		break;
	case MSG_PEER_DOWN:
		heat_update_share(balance);
		peer_set_update(&balance->peers, msg);
		heat_peer_lost(balance, msg);
		break;
	case MSG_PROCESS_VERIFY:
		process_verify(balance, msg);
		break;
	case MSG_TARGET_REFUSED:
		process_refused(balance, msg->u.target_refused.id);
		break;
	case MSG_OUT_STARTED:
	case MSG_OUT_HEAD:
	case MSG_OUT_DATA:
	case MSG_OUT_END:
	case MSG_OUT_FAILED:
		process_report_received(balance, msg);
		break;
	case MSG_OUT_CHECKED:
		zones_checked(balance, msg);
		break;
	case MSG_OUT_CLOSED:
		process_closed(balance, msg);
		break;
	case MSG_PLACE:
		queue_place(balance, msg);
		break;
	case MSG_PLACE_EXPLAIN:
		explain_place(balance, msg);
		break;
	case MSG_PLACE_CANCEL:
		queue_cancel(balance, msg);
		break;
	case MSG_PLACE_FIRST_BYTE:
		placement_first_byte(balance, msg->ref);
		break;
	case MSG_PLACE_REPORT:
		placement_reported(balance, msg);
		break;
	case MSG_PLACE_DONE:
		placement_done(balance, msg);
		break;
	default:
		break;
	}
}

void balance_init(balance_t *balance, kernel_t *kernel, const char *incarnation,
		  const char *zone)
{
	memset(balance, 0, sizeof(*balance));
	balance->kernel = kernel;
	balance->instances = 1;
	caches_init(&balance->caches, MEMORY_DEFAULT);
	balance->started_at = kernel_now(kernel);
	balance->cold_bounds = COLD_BOUNDS_DEFAULT;
	balance->cold_share.changed_at = kernel_now(kernel);
	g_strlcpy(balance->incarnation, incarnation,
		  sizeof(balance->incarnation));
	g_strlcpy(balance->zone, zone, sizeof(balance->zone));
	peer_set_init(&balance->peers);
	table_init(&balance->targets, sizeof(balance_target_t));
	table_init(&balance->queue, sizeof(queued_t));
	table_init(&balance->placements, sizeof(placement_t));
	permit_init(balance);
	process_init(balance);
	notices_init(balance);
	zones_init(balance);
	flows_init(balance);
	evacuation_init(balance);
	balance->targets_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	balance->svc = kernel_register(kernel, "balance", receive, balance);
}

void balance_set_cold_bounds(balance_t *balance, const cold_bounds_t *bounds)
{
	balance->cold_bounds = *bounds;
}

void balance_set_memory(balance_t *balance, uint64_t memory)
{
	caches_init(&balance->caches, memory);
}

void balance_set_pace(balance_t *balance, bool pace)
{
	balance->pace = pace;
}

void balance_finish(balance_t *balance)
{
	uint32_t cursor = 0;
	balance_target_t *target;

	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		balance_target_finish(target);
	process_finish(balance);
	zones_finish(balance);
	fleet_conf_unref(balance->conf);
	g_hash_table_unref(balance->targets_by_id);
	table_finish(&balance->targets);
	table_finish(&balance->queue);
	table_finish(&balance->placements);
	table_finish(&balance->asks);
	notices_finish(balance);
	flows_finish(balance);
	evacuation_finish(balance);
	peer_set_finish(&balance->peers);
	kernel_unregister(balance->kernel, balance->svc);
}
