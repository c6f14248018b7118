#include "balance/balance.h"

#include "balance/choose.h"
#include "kernel/peer_set.h"
#include "log/log.h"

#include <string.h>

/* Weights of failures in a target's record. */
#define WEIGHT_UNREACHABLE 4.0
#define WEIGHT_LOST 1.0
#define WEIGHT_FULL 0.5
#define WEIGHT_ERROR 0.2
#define RETRY_AFTER_MS 300 /* of a refusal for want of room */

typedef struct waiting_t {
	handle_t self;
	msg_t ask; /* MSG_PLACE */
	uint64_t arrival;
	handle_t timer;
} waiting_t;

/*
 * Peers that don't know of each other's placements choose the same targets,
 * whose tokens then stop while they read the prompts.  Few peers are all
 * told, many only within the zone, where most of their targets are.
 */
static void tell_peers(balance_t *balance, const balance_target_t *target,
		       int64_t tokens)
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
	balance_target_t *target =
		g_hash_table_lookup(balance->by_id, body->u.placed.target);

	if (body->kind == PEER_PLACED && target != NULL)
		balance_target_peer_placed(target,
					   MAX(body->u.placed.tokens, 0),
					   kernel_now(balance->kernel));
}

static void place(balance_t *balance, const msg_t *ask,
		  balance_target_t *target)
{
	msg_t msg = {.kind = MSG_PLACED, .ref = ask->id};
	int64_t cached = balance_target_cached(target, ask->u.place.parts,
					       ask->u.place.part_count);
	placement_t *placement;
	handle_t self = table_add(&balance->placements, (void **)&placement);

	placement->self = self;
	placement->target = target->self;
	placement->since = kernel_now(balance->kernel);
	placement->unread_tokens = MAX(ask->u.place.prompt_tokens - cached, 0);
	target->outstanding++;
	target->unread_tokens += placement->unread_tokens;
	balance_target_remember(target, ask->u.place.parts,
				ask->u.place.part_count);
	msg.id = self;
	msg.u.placed.target = target->self;
	msg.u.placed.port = target->info.port;
	g_strlcpy(msg.u.placed.instance, target->info.id,
		  sizeof(msg.u.placed.instance));
	g_strlcpy(msg.u.placed.host, target->info.host,
		  sizeof(msg.u.placed.host));
	kernel_post(balance->kernel, balance->svc, ask->from, &msg);
	tell_peers(balance, target, placement->unread_tokens);
	log_event(LOG_LEVEL_DEBUG, "balance", "placed",
		  "request=%s target=%s outstanding=%u load=%u,%u,%u "
		  "load_age_ms=%" G_GINT64_FORMAT " cached=%" G_GINT64_FORMAT
		  " prompt=%" G_GINT64_FORMAT
		  " parts=%u shared=%" G_GINT64_MODIFIER "x",
		  log_quote(ask->u.place.request_id), target->info.id,
		  target->outstanding, target->load.running,
		  target->load.waiting, target->load.latency_percent,
		  (placement->since - target->load_at) / USEC_PER_MSEC, cached,
		  ask->u.place.prompt_tokens, ask->u.place.part_count,
		  ask->u.place.part_count > 1
			  ? ask->u.place.parts[ask->u.place.part_count - 2].id
			  : 0);
}

static void refuse(balance_t *balance, const msg_t *ask, refusal_t reason)
{
	msg_t msg = {.kind = MSG_PLACE_REFUSED, .ref = ask->id};

	msg.u.place_refused.reason = reason;
	msg.u.place_refused.retry_after_ms = RETRY_AFTER_MS;
	kernel_post(balance->kernel, balance->svc, ask->from, &msg);
}

static void count_waiting(balance_t *balance)
{
	metrics_set(balance->kernel->metrics, GAUGE_QUEUE_LENGTH,
		    table_count(&balance->waiting));
}

static void remove_waiting(balance_t *balance, waiting_t *waiting)
{
	kernel_timer_cancel(balance->kernel, &waiting->timer);
	table_remove(&balance->waiting, waiting->self);
	count_waiting(balance);
}

static void enqueue(balance_t *balance, const msg_t *ask)
{
	int64_t wait = ask->u.place.deadline - kernel_now(balance->kernel);
	waiting_t *waiting;
	handle_t self = table_add(&balance->waiting, (void **)&waiting);

	waiting->self = self;
	waiting->ask = *ask;
	waiting->arrival = balance->arrivals++;
	waiting->timer = kernel_timer(balance->kernel, balance->svc,
				      MAX(wait, 0), self, 0);
	count_waiting(balance);
}

static void ask(balance_t *balance, const msg_t *msg)
{
	balance_target_t *target;
	bool listed;

	if (balance->conf == NULL) {
		refuse(balance, msg, REFUSAL_NO_CONFIGURATION);
		return;
	}
	target = balance_choose(balance, msg, &listed);
	if (target != NULL)
		place(balance, msg, target);
	else
		enqueue(balance, msg);
}

static bool goes_before(const waiting_t *a, const waiting_t *b)
{
	if (a->ask.u.place.priority != b->ask.u.place.priority)
		return a->ask.u.place.priority < b->ask.u.place.priority;
	return a->arrival < b->arrival;
}

/* Places what waits, the most urgent first, as far as there is room. */
static void place_waiting(balance_t *balance)
{
	GPtrArray *order;
	waiting_t *waiting;
	uint32_t cursor = 0;
	bool listed;

	if (table_count(&balance->waiting) == 0)
		return;
	order = g_ptr_array_new();
	while ((waiting = table_next(&balance->waiting, &cursor, NULL)) !=
	       NULL) {
		guint at = order->len;

		while (at > 0 &&
		       goes_before(waiting, g_ptr_array_index(order, at - 1)))
			at--;
		g_ptr_array_insert(order, (gint)at, waiting);
	}
	for (guint i = 0; i < order->len; i++) {
		balance_target_t *target;

		waiting = g_ptr_array_index(order, i);
		target = balance_choose(balance, &waiting->ask, &listed);
		if (target == NULL)
			continue;
		place(balance, &waiting->ask, target);
		remove_waiting(balance, waiting);
	}
	g_ptr_array_unref(order);
}

static void waited_too_long(balance_t *balance, handle_t ref)
{
	waiting_t *waiting = table_get(&balance->waiting, ref);
	bool listed;

	if (waiting == NULL)
		return;
	waiting->timer = HANDLE_NONE;
	balance_choose(balance, &waiting->ask, &listed);
	refuse(balance, &waiting->ask,
	       listed ? REFUSAL_OVERLOADED : REFUSAL_NO_TARGET);
	remove_waiting(balance, waiting);
}

static void cancel(balance_t *balance, const msg_t *msg)
{
	uint32_t cursor = 0;
	waiting_t *waiting;

	while ((waiting = table_next(&balance->waiting, &cursor, NULL)) != NULL)
		if (handle_equal(waiting->ask.id, msg->id))
			remove_waiting(balance, waiting);
}

static void first_byte(balance_t *balance, handle_t ref)
{
	placement_t *placement = table_get(&balance->placements, ref);
	balance_target_t *target;

	if (placement == NULL)
		return;
	target = table_get(&balance->targets, placement->target);
	if (target != NULL)
		target->unread_tokens -= placement->unread_tokens;
	metrics_observe(balance->kernel->metrics, HISTOGRAM_FIRST_BYTE,
			kernel_now(balance->kernel) - placement->since);
	placement->unread_tokens = 0;
	placement->since = 0;
}

static void note_result(balance_t *balance, balance_target_t *target,
			place_result_t result)
{
	int64_t now = kernel_now(balance->kernel);

	switch (result) {
	case PLACE_OK:
		balance_target_succeeded(target, now);
		break;
	case PLACE_UNREACHABLE:
		balance_target_failed(target, WEIGHT_UNREACHABLE, now);
		break;
	case PLACE_LOST:
		balance_target_failed(target, WEIGHT_LOST, now);
		break;
	case PLACE_FULL:
		balance_target_failed(target, WEIGHT_FULL, now);
		break;
	case PLACE_ERROR:
		balance_target_failed(target, WEIGHT_ERROR, now);
		break;
	case PLACE_MISDIRECTED:
		target->closed = true;
		break;
	case PLACE_NOT_SENT:
	case PLACE_CANCELLED:
		break;
	}
}

static void remove_target(balance_t *balance, balance_target_t *target)
{
	g_hash_table_remove(balance->by_id, target->info.id);
	balance_target_finish(target);
	table_remove(&balance->targets, target->self);
}

static void done(balance_t *balance, const msg_t *msg)
{
	placement_t *placement = table_get(&balance->placements, msg->ref);
	balance_target_t *target;

	if (placement == NULL)
		return;
	target = table_get(&balance->targets, placement->target);
	if (target != NULL) {
		target->outstanding--;
		target->unread_tokens -= placement->unread_tokens;
		balance_target_reported(target, &msg->u.place_done.load,
					kernel_now(balance->kernel));
		note_result(balance, target, msg->u.place_done.result);
	}
	table_remove(&balance->placements, msg->ref);
	place_waiting(balance);
}

static void describe(balance_t *balance, balance_target_t *target)
{
	const fleet_service_t *service =
		balance->conf == NULL
			? NULL
			: fleet_conf_service(balance->conf,
					     target->info.service);

	target->engine = service != NULL && service->engine;
	target->kv_tokens = target->engine ? service->kv_cache_tokens : 0;
}

static void target_changed(balance_t *balance, const msg_t *msg)
{
	const fleet_target_t *info = &msg->u.fleet_target.target;
	balance_target_t *target =
		g_hash_table_lookup(balance->by_id, info->id);
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
		g_hash_table_insert(balance->by_id, target->info.id, target);
	} else if (target->info.started_ms != info->started_ms) {
		balance_target_forget(target);
	}
	g_strlcpy(target->info.host, info->host, sizeof(target->info.host));
	target->info.port = info->port;
	target->info.slots = info->slots;
	target->info.started_ms = info->started_ms;
	g_strlcpy(target->info.service, info->service,
		  sizeof(target->info.service));
	g_strlcpy(target->info.zone, info->zone, sizeof(target->info.zone));
	target->closed = info->draining;
	describe(balance, target);
	place_waiting(balance);
}

static void conf_changed(balance_t *balance, msg_t *msg)
{
	uint32_t cursor = 0;
	balance_target_t *target;

	fleet_conf_unref(balance->conf);
	balance->conf = g_steal_pointer(&msg->u.fleet_conf);
	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		describe(balance, target);
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
		waited_too_long(balance, msg->ref);
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
		ask(balance, msg);
		break;
	case MSG_PLACE_CANCEL:
		cancel(balance, msg);
		break;
	case MSG_PLACE_FIRST_BYTE:
		first_byte(balance, msg->ref);
		break;
	case MSG_PLACE_DONE:
		done(balance, msg);
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
	table_init(&balance->waiting, sizeof(waiting_t));
	table_init(&balance->placements, sizeof(placement_t));
	balance->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	balance->svc = kernel_register(kernel, "balance", receive, balance);
}

void balance_finish(balance_t *balance)
{
	uint32_t cursor = 0;
	balance_target_t *target;

	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		balance_target_finish(target);
	fleet_conf_unref(balance->conf);
	g_hash_table_unref(balance->by_id);
	table_finish(&balance->targets);
	table_finish(&balance->waiting);
	table_finish(&balance->placements);
	kernel_unregister(balance->kernel, balance->svc);
}
