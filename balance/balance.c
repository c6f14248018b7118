#include "balance/balance.h"

#include "balance/choose.h"
#include "kernel/peer_set.h"
#include "log/log.h"

#include <string.h>

/* Weights of failures in a target's failure score. */
#define FAILURE_WEIGHT_UNREACHABLE 4.0
#define FAILURE_WEIGHT_LOST 1.0
#define FAILURE_WEIGHT_FULL 0.5
#define FAILURE_WEIGHT_ERROR 0.2
#define RETRY_AFTER_MS 300 /* suggested to a refused caller */

typedef struct queued_t {
	handle_t self;
	msg_t request; /* MSG_PLACE */
	uint64_t arrival;
	handle_t timer;
} queued_t;

/*
 * Instances that do not know of each other's placements choose the same
 * targets, whose running requests then get no tokens while the prompts are
 * read.  In a small fleet all peers are informed.  In a large one only the
 * peers in the zone are, because most targets they choose are in it as well.
 */
static void announce_placement(balance_t *balance,
			       const balance_target_t *target, int64_t tokens)
{
	msg_t msg = {.kind = MSG_PEER_SEND};

	if (!target->engine)
		return;
	if (balance->instances > LARGE_FLEET_PEERS)
		g_strlcpy(msg.u.peer.availability_zone, balance->zone,
			  sizeof(msg.u.peer.availability_zone));
	msg.u.peer.body = peer_body_new(PEER_PLACED);
	g_strlcpy(msg.u.peer.body->u.placed.target, target->info.id,
		  sizeof(msg.u.peer.body->u.placed.target));
	msg.u.peer.body->u.placed.tokens = tokens;
	kernel_post(balance->kernel, balance->svc, balance->peer, &msg);
}

static void peer_placed(balance_t *balance, const peer_body_t *body)
{
	balance_target_t *target = g_hash_table_lookup(balance->targets_by_id,
						       body->u.placed.target);

	if (body->kind == PEER_PLACED && target != NULL)
		balance_target_add_peer_request(target,
						MAX(body->u.placed.tokens, 0),
						kernel_now(balance->kernel));
}

static void place(balance_t *balance, const msg_t *request,
		  balance_target_t *target)
{
	msg_t msg = {.kind = MSG_PLACED, .ref = request->id};
	int64_t cached = balance_target_cached_tokens(
		target, request->u.place.parts, request->u.place.part_count);
	placement_t *placement;
	handle_t self = table_add(&balance->placements, (void **)&placement);

	placement->self = self;
	placement->target = target->self;
	placement->placed_at = kernel_now(balance->kernel);
	placement->prefill_tokens =
		MAX(request->u.place.prompt_tokens - cached, 0);
	target->outstanding++;
	target->prefill_tokens += placement->prefill_tokens;
	balance_target_cache_parts(target, request->u.place.parts,
				   request->u.place.part_count);
	msg.id = self;
	msg.u.placed.target = target->self;
	msg.u.placed.port = target->info.port;
	g_strlcpy(msg.u.placed.instance, target->info.id,
		  sizeof(msg.u.placed.instance));
	g_strlcpy(msg.u.placed.host, target->info.host,
		  sizeof(msg.u.placed.host));
	kernel_post(balance->kernel, balance->svc, request->from, &msg);
	announce_placement(balance, target, placement->prefill_tokens);
	log_event(LOG_LEVEL_DEBUG, "balance", "placed",
		  "request=%s target=%s outstanding=%u load=%u,%u,%u "
		  "load_age_ms=%" G_GINT64_FORMAT " cached=%" G_GINT64_FORMAT
		  " prompt=%" G_GINT64_FORMAT
		  " parts=%u shared=%" G_GINT64_MODIFIER "x",
		  log_quote(request->u.place.request_id), target->info.id,
		  target->outstanding, target->load.running,
		  target->load.waiting, target->load.latency_percent,
		  (placement->placed_at - target->load_at) / USEC_PER_MSEC,
		  cached, request->u.place.prompt_tokens,
		  request->u.place.part_count,
		  request->u.place.part_count > 1
			  ? request->u.place
				    .parts[request->u.place.part_count - 2]
				    .id
			  : 0);
}

static void refuse(balance_t *balance, const msg_t *request, refusal_t reason)
{
	msg_t msg = {.kind = MSG_PLACE_REFUSED, .ref = request->id};

	msg.u.place_refused.reason = reason;
	msg.u.place_refused.retry_after_ms = RETRY_AFTER_MS;
	kernel_post(balance->kernel, balance->svc, request->from, &msg);
}

static void update_queue_gauge(balance_t *balance)
{
	metrics_set(balance->kernel->metrics, GAUGE_QUEUE_LENGTH,
		    table_count(&balance->queue));
}

static void dequeue(balance_t *balance, queued_t *queued)
{
	kernel_timer_cancel(balance->kernel, &queued->timer);
	table_remove(&balance->queue, queued->self);
	update_queue_gauge(balance);
}

static void enqueue(balance_t *balance, const msg_t *request)
{
	int64_t wait = request->u.place.deadline - kernel_now(balance->kernel);
	queued_t *queued;
	handle_t self = table_add(&balance->queue, (void **)&queued);

	queued->self = self;
	queued->request = *request;
	queued->arrival = balance->arrivals++;
	queued->timer = kernel_timer(balance->kernel, balance->svc,
				     MAX(wait, 0), self, 0);
	update_queue_gauge(balance);
}

static void place_or_enqueue(balance_t *balance, const msg_t *msg)
{
	balance_target_t *target;
	bool usable;

	if (balance->conf == NULL) {
		refuse(balance, msg, REFUSAL_NO_CONFIGURATION);
		return;
	}
	target = balance_choose(balance, msg, &usable);
	if (target != NULL)
		place(balance, msg, target);
	else
		enqueue(balance, msg);
}

static bool precedes(const queued_t *a, const queued_t *b)
{
	if (a->request.u.place.priority != b->request.u.place.priority)
		return a->request.u.place.priority <
		       b->request.u.place.priority;
	return a->arrival < b->arrival;
}

/* Places queued requests in priority order while targets have room. */
static void place_queued(balance_t *balance)
{
	GPtrArray *order;
	queued_t *queued;
	uint32_t cursor = 0;
	bool usable;

	if (table_count(&balance->queue) == 0)
		return;
	order = g_ptr_array_new();
	while ((queued = table_next(&balance->queue, &cursor, NULL)) != NULL) {
		guint at = order->len;

		while (at > 0 &&
		       precedes(queued, g_ptr_array_index(order, at - 1)))
			at--;
		g_ptr_array_insert(order, (gint)at, queued);
	}
	for (guint i = 0; i < order->len; i++) {
		balance_target_t *target;

		queued = g_ptr_array_index(order, i);
		target = balance_choose(balance, &queued->request, &usable);
		if (target == NULL)
			continue;
		place(balance, &queued->request, target);
		dequeue(balance, queued);
	}
	g_ptr_array_unref(order);
}

static void queue_timed_out(balance_t *balance, handle_t ref)
{
	queued_t *queued = table_get(&balance->queue, ref);
	bool usable;

	if (queued == NULL)
		return;
	queued->timer = HANDLE_NONE;
	balance_choose(balance, &queued->request, &usable);
	refuse(balance, &queued->request,
	       usable ? REFUSAL_OVERLOADED : REFUSAL_NO_TARGET);
	dequeue(balance, queued);
}

static void cancel(balance_t *balance, const msg_t *msg)
{
	uint32_t cursor = 0;
	queued_t *queued;

	while ((queued = table_next(&balance->queue, &cursor, NULL)) != NULL)
		if (handle_equal(queued->request.id, msg->id))
			dequeue(balance, queued);
}

static void first_byte_received(balance_t *balance, handle_t ref)
{
	placement_t *placement = table_get(&balance->placements, ref);
	balance_target_t *target;

	if (placement == NULL)
		return;
	target = table_get(&balance->targets, placement->target);
	if (target != NULL)
		target->prefill_tokens -= placement->prefill_tokens;
	metrics_observe(balance->kernel->metrics, HISTOGRAM_FIRST_BYTE,
			kernel_now(balance->kernel) - placement->placed_at);
	placement->prefill_tokens = 0;
	placement->placed_at = 0;
}

static bool same_limit(const target_limit_t *a, const target_limit_t *b)
{
	bool a_limits = a->kind == LIMIT_STATED;
	bool b_limits = b->kind == LIMIT_STATED;

	return a_limits == b_limits && (!a_limits || a->per_ks == b->per_ks);
}

static void report_received(balance_t *balance, const msg_t *msg)
{
	const target_limit_t *limit = &msg->u.place_report.limit;
	const placement_t *placement =
		table_get(&balance->placements, msg->ref);
	balance_target_t *target;

	if (placement == NULL || limit->kind == LIMIT_UNKNOWN)
		return;
	target = table_get(&balance->targets, placement->target);
	if (target == NULL)
		return;
	if (limit->kind == LIMIT_STATED)
		metrics_add(balance->kernel->metrics, COUNTER_LIMITS_STATED, 1);
	if (!same_limit(limit, &target->limit))
		log_event(LOG_LEVEL_INFO, "balance", "limit",
			  "target=%s service=%s kind=%s per_s=%.3f "
			  "outstanding=%u",
			  target->info.id, target->info.service,
			  limit->kind == LIMIT_STATED ? "stated" : "none",
			  limit->per_ks / 1000.0, target->outstanding);
	target->limit = *limit;
	target->limit_at = kernel_now(balance->kernel);
}

static void record_result(balance_t *balance, balance_target_t *target,
			  place_result_t result)
{
	int64_t now = kernel_now(balance->kernel);

	switch (result) {
	case PLACE_OK:
		balance_target_add_success(target, now);
		break;
	case PLACE_UNREACHABLE:
		balance_target_add_failure(target, FAILURE_WEIGHT_UNREACHABLE,
					   now);
		break;
	case PLACE_LOST:
		balance_target_add_failure(target, FAILURE_WEIGHT_LOST, now);
		break;
	case PLACE_FULL:
		balance_target_add_failure(target, FAILURE_WEIGHT_FULL, now);
		break;
	case PLACE_ERROR:
		balance_target_add_failure(target, FAILURE_WEIGHT_ERROR, now);
		break;
	case PLACE_MISDIRECTED:
		target->unavailable = true;
		break;
	case PLACE_NOT_SENT:
	case PLACE_CANCELLED:
		break;
	}
}

static void remove_target(balance_t *balance, balance_target_t *target)
{
	g_hash_table_remove(balance->targets_by_id, target->info.id);
	balance_target_finish(target);
	table_remove(&balance->targets, target->self);
}

static void placement_done(balance_t *balance, const msg_t *msg)
{
	placement_t *placement = table_get(&balance->placements, msg->ref);
	balance_target_t *target;

	if (placement == NULL)
		return;
	target = table_get(&balance->targets, placement->target);
	if (target != NULL) {
		target->outstanding--;
		target->prefill_tokens -= placement->prefill_tokens;
		balance_target_set_load(target, &msg->u.place_done.load,
					kernel_now(balance->kernel));
		record_result(balance, target, msg->u.place_done.result);
	}
	table_remove(&balance->placements, msg->ref);
	place_queued(balance);
}

static void update_service_info(balance_t *balance, balance_target_t *target)
{
	const fleet_service_t *service =
		balance->conf == NULL
			? NULL
			: fleet_conf_service(balance->conf,
					     target->info.service);

	target->engine = service != NULL && service->engine;
	target->kv_cache_tokens = target->engine ? service->kv_cache_tokens : 0;
}

static void target_changed(balance_t *balance, const msg_t *msg)
{
	const fleet_target_t *info = &msg->u.fleet_target.target;
	balance_target_t *target =
		g_hash_table_lookup(balance->targets_by_id, info->id);
	handle_t self;

	if (msg->u.fleet_target.gone) {
		if (target != NULL)
			remove_target(balance, target);
		return;
	}
	if (target == NULL) {
		self = table_add(&balance->targets, (void **)&target);
		target->self = self;
		balance_target_init(target, info);
		g_hash_table_insert(balance->targets_by_id, target->info.id,
				    target);
	} else if (target->info.started_ms != info->started_ms) {
		balance_target_clear_cache(target);
	}
	g_strlcpy(target->info.host, info->host, sizeof(target->info.host));
	target->info.port = info->port;
	target->info.slots = info->slots;
	target->info.started_ms = info->started_ms;
	g_strlcpy(target->info.service, info->service,
		  sizeof(target->info.service));
	g_strlcpy(target->info.zone, info->zone, sizeof(target->info.zone));
	target->unavailable = info->draining;
	update_service_info(balance, target);
	place_queued(balance);
}

static void conf_changed(balance_t *balance, msg_t *msg)
{
	uint32_t cursor = 0;
	balance_target_t *target;

	fleet_conf_unref(balance->conf);
	balance->conf = g_steal_pointer(&msg->u.fleet_conf);
	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		update_service_info(balance, target);
}

static void start(balance_t *balance)
{
	msg_t msg = {.kind = MSG_FLEET_SUBSCRIBE};

	balance->peer = kernel_find(balance->kernel, "peer");
	kernel_post(balance->kernel, balance->svc,
		    kernel_find(balance->kernel, "fleet"), &msg);
}

static void receive(void *self, msg_t *msg)
{
	balance_t *balance = self;

	switch (msg->kind) {
	case MSG_START:
		start(balance);
		break;
	case MSG_TIMER:
		queue_timed_out(balance, msg->ref);
		break;
	case MSG_FLEET_CONF:
		conf_changed(balance, msg);
		break;
	case MSG_FLEET_TARGET:
		target_changed(balance, msg);
		break;
	case MSG_FLEET_SIZE:
		balance->instances = msg->u.fleet_size.instances;
		break;
	case MSG_PEER_RECEIVED:
		peer_placed(balance, msg->u.peer.body);
		break;
	case MSG_PLACE:
		place_or_enqueue(balance, msg);
		break;
	case MSG_PLACE_CANCEL:
		cancel(balance, msg);
		break;
	case MSG_PLACE_FIRST_BYTE:
		first_byte_received(balance, msg->ref);
		break;
	case MSG_PLACE_REPORT:
		report_received(balance, msg);
		break;
	case MSG_PLACE_DONE:
		placement_done(balance, msg);
		break;
	default:
		break;
	}
}

void balance_init(balance_t *balance, kernel_t *kernel, const char *zone)
{
	memset(balance, 0, sizeof(*balance));
	balance->kernel = kernel;
	balance->instances = 1;
	g_strlcpy(balance->zone, zone, sizeof(balance->zone));
	table_init(&balance->targets, sizeof(balance_target_t));
	table_init(&balance->queue, sizeof(queued_t));
	table_init(&balance->placements, sizeof(placement_t));
	balance->targets_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	balance->svc = kernel_register(kernel, "balance", receive, balance);
}

void balance_finish(balance_t *balance)
{
	uint32_t cursor = 0;
	balance_target_t *target;

	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		balance_target_finish(target);
	fleet_conf_unref(balance->conf);
	g_hash_table_unref(balance->targets_by_id);
	table_finish(&balance->targets);
	table_finish(&balance->queue);
	table_finish(&balance->placements);
	kernel_unregister(balance->kernel, balance->svc);
}
