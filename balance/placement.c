#include "balance/placement.h"

#include "balance/brittle.h"
#include "balance/evacuation.h"
#include "balance/notice.h"
#include "balance/pacing.h"
#include "balance/permit.h"
#include "balance/process.h"
#include "balance/queue.h"
#include "balance/zone_reach.h"
#include "kernel/peer_set.h"
#include "log/log.h"

#include <string.h>

/* Weights of failures in a target's failure score. */
#define FAILURE_WEIGHT_UNREACHABLE 4.0
#define FAILURE_WEIGHT_LOST 1.0
#define FAILURE_WEIGHT_FULL 0.5
#define FAILURE_WEIGHT_ERROR 0.2

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

static void set_unanswered(balance_target_t *target, placement_t *placement)
{
	placement->link.data = placement;
	g_queue_push_tail_link(&target->unanswered, &placement->link);
}

static void set_answered(balance_target_t *target, placement_t *placement)
{
	if (placement->link.data == NULL)
		return;
	placement->link.data = NULL;
	g_queue_unlink(&target->unanswered, &placement->link);
}

void placement_start(balance_t *balance, const msg_t *request,
		     balance_target_t *target)
{
	msg_t msg = {.kind = MSG_PLACED, .ref = request->id};
	int64_t cached = cache_tokens(&target->cache, request->u.place.parts,
				      request->u.place.part_count);
	placement_t *placement;
	handle_t self = table_add(&balance->placements, (void **)&placement);

	placement->self = self;
	placement->target = target->self;
	g_strlcpy(placement->zone, target->info.zone, sizeof(placement->zone));
	placement->placed_at = kernel_now(balance->kernel);
	placement->sent_at = placement->placed_at;
	placement->prefill_tokens =
		MAX(request->u.place.prompt_tokens - cached, 0);
	placement->bytes = request->u.place.bytes;
	target->outstanding++;
	target->outstanding_bytes += placement->bytes;
	set_unanswered(target, placement);
	permit_use(target, placement->placed_at);
	target->prefill_tokens += placement->prefill_tokens;
	cache_add(&target->cache, request->u.place.parts,
		  request->u.place.part_count);
	msg.id = self;
	msg.u.placed.target = target->self;
	msg.u.placed.port = target->info.port;
	msg.u.placed.started_ms = target->info.started_ms;
	g_strlcpy(msg.u.placed.instance, target->info.id,
		  sizeof(msg.u.placed.instance));
	g_strlcpy(msg.u.placed.full_id, fleet_target_full_id(&target->info),
		  sizeof(msg.u.placed.full_id));
	g_strlcpy(msg.u.placed.version,
		  process_is_known(target) ? target->info.version
					   : VERSION_UNKNOWN,
		  sizeof(msg.u.placed.version));
	g_strlcpy(msg.u.placed.host, target->info.host,
		  sizeof(msg.u.placed.host));
	kernel_post(balance->kernel, balance->svc, request->from, &msg);
	announce_placement(balance, target, placement->prefill_tokens);
	/* A stream that begins here can be taken up once it is known. */
	process_want(balance, target);
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

void placement_announced(balance_t *balance, const peer_body_t *body)
{
	balance_target_t *target = g_hash_table_lookup(balance->targets_by_id,
						       body->u.placed.target);

	if (target != NULL)
		balance_target_add_peer_request(target,
						MAX(body->u.placed.tokens, 0),
						kernel_now(balance->kernel));
}

void placement_first_byte(balance_t *balance, handle_t ref)
{
	placement_t *placement = table_get(&balance->placements, ref);
	balance_target_t *target;
	bool first;

	if (placement == NULL)
		return;
	first = placement->placed_at != 0;
	target = table_get(&balance->targets, placement->target);
	if (target != NULL) {
		target->prefill_tokens -= placement->prefill_tokens;
		set_answered(target, placement);
		zones_target_answered(balance, target);
	}
	metrics_observe(balance->kernel->metrics, HISTOGRAM_FIRST_BYTE,
			kernel_now(balance->kernel) - placement->placed_at);
	placement->prefill_tokens = 0;
	placement->placed_at = 0;
	if (target != NULL && first &&
	    pacing_answered(balance, target, placement->sent_at))
		queue_run(balance);
}

void placement_reported(balance_t *balance, const msg_t *msg)
{
	const placement_t *placement =
		table_get(&balance->placements, msg->ref);
	balance_target_t *target = NULL;

	if (placement != NULL)
		target = table_get(&balance->targets, placement->target);
	if (target == NULL)
		return;
	zones_target_answered(balance, target);
	notice_heard(balance, target, &msg->u.place_report);
}

static void record_result(balance_t *balance, balance_target_t *target,
			  place_result_t result, int64_t sent_at)
{
	int64_t now = kernel_now(balance->kernel);

	switch (result) {
	case PLACE_OK:
		balance_target_add_success(target, now);
		break;
	case PLACE_UNREACHABLE:
		pacing_failed(balance, target, sent_at, true);
		balance_target_add_failure(target, FAILURE_WEIGHT_UNREACHABLE,
					   now);
		process_doubt(balance, target, EVIDENCE_RESET);
		zones_target_failed(balance, target);
		break;
	case PLACE_REFUSED:
		pacing_failed(balance, target, sent_at, true);
		balance_target_add_failure(target, FAILURE_WEIGHT_UNREACHABLE,
					   now);
		zones_target_failed(balance, target);
		process_doubt(balance, target, EVIDENCE_REFUSED);
		break;
	case PLACE_LOST:
		pacing_failed(balance, target, sent_at, false);
		balance_target_add_failure(target, FAILURE_WEIGHT_LOST, now);
		break;
	case PLACE_RESET:
		pacing_failed(balance, target, sent_at, true);
		balance_target_add_failure(target, FAILURE_WEIGHT_LOST, now);
		process_doubt(balance, target, EVIDENCE_RESET);
		break;
	case PLACE_FULL:
		brittle_rejected(balance, target);
		pacing_failed(balance, target, sent_at, false);
		balance_target_add_failure(target, FAILURE_WEIGHT_FULL, now);
		break;
	case PLACE_ERROR:
		pacing_failed(balance, target, sent_at, false);
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

void placement_done(balance_t *balance, const msg_t *msg)
{
	placement_t *placement = table_get(&balance->placements, msg->ref);
	balance_target_t *target;

	if (placement == NULL)
		return;
	target = table_get(&balance->targets, placement->target);
	if (target != NULL) {
		target->outstanding--;
		target->outstanding_bytes -= placement->bytes;
		set_answered(target, placement);
		target->prefill_tokens -= placement->prefill_tokens;
		balance_target_set_load(target, &msg->u.place_done.load,
					kernel_now(balance->kernel));
		record_result(balance, target, msg->u.place_done.result,
			      placement->sent_at);
	}
	table_remove(&balance->placements, msg->ref);
	evacuation_count_running(balance);
	queue_run(balance);
}
