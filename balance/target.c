#include "balance/target.h"

#include "kernel/hash.h"

#include <math.h>
#include <string.h>

#define USEC_PER_MSEC_F 1000.0
/* Prompt tokens that an engine reads per ms, according to its data sheet. */
#define PREFILL_TOKENS_PER_MS 92.0
/* Cost of each running request, which slows the tokens of all others. */
#define RUNNING_COST_MS 4.0
#define QUEUED_COST_MS 40.0
/*
 * Cost of each shared token that has to be read although another target has
 * cached it.  Reading it takes a hundredth of a millisecond, but the platform
 * bills it.
 */
#define REREAD_TOKEN_COST_MS 0.05
/*
 * Share of the shared tokens counted as read again at the secondary target,
 * which has usually cached them for requests of other instances.
 */
#define SECONDARY_REREAD_SHARE 0.3
/*
 * Reading a prompt delays the tokens of all requests at its target.  This is
 * the cost, in milliseconds, of one millisecond of reading for each of them.
 */
#define PREFILL_STALL_WEIGHT 0.04
#define LATENCY_PERCENT_USUAL 100
#define LATENCY_FACTOR_MIN 0.5
#define CALL_LOAD_WEIGHT 2.0
#define HASH_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15) /* 2^64 / golden ratio */
/* Usual duration of a short call, for targets that run one call per slot. */
#define CALL_TIME_MS 30.0
/*
 * Cost of a target in another zone: the zone boundary is crossed twice more,
 * and the bytes are billed.  A prompt has some ten kB, a call less than one.
 */
#define ENGINE_CROSS_ZONE_MS 25.0
#define CALL_CROSS_ZONE_MS 6.0
/* Age at which a load report no longer shows the present load. */
#define LOAD_MAX_AGE_US (1500 * USEC_PER_MSEC)
#define FAILURE_HALF_LIFE_US (3.0 * 1e6)
#define FAILURE_SCORE_MAX 20.0
#define SUCCESS_FACTOR 0.7 /* applied to the failure score */
#define FAILURE_COST_MS 60.0 /* cost of one recent failure */
/*
 * The first byte usually takes less time than this.  After this time, the
 * target may have stopped responding.
 */
#define FIRST_BYTE_OVERDUE_US (800 * USEC_PER_MSEC)
#define OVERDUE_WEIGHT 0.5 /* per ms beyond FIRST_BYTE_OVERDUE_US */
/*
 * Half-life of a peer's request, whose end is not announced.  Streams last 1 to
 * 4 s.
 */
#define STREAM_HALF_LIFE_US (1.5 * 1e6)

void balance_target_init(balance_target_t *target, const fleet_target_t *info,
			 caches_t *caches)
{
	target->info = *info;
	target->load.latency_percent = LATENCY_PERCENT_USUAL;
	cache_init(&target->cache, caches);
}

void balance_target_finish(balance_target_t *target)
{
	cache_finish(&target->cache);
}

void balance_target_reset(balance_target_t *target)
{
	cache_clear(&target->cache);
	memset(&target->notice, 0, sizeof(target->notice));
	memset(&target->load, 0, sizeof(target->load));
	target->load.latency_percent = LATENCY_PERCENT_USUAL;
	target->end_told_at = 0;
	target->peer_prefill_tokens = 0.0;
	target->peer_requests = 0.0;
	target->failure_score = 0.0;
	memset(&target->pace, 0, sizeof(target->pace));
	target->answer_us = 0.0;
	target->doubter[0] = '\0';
}

void balance_target_set_load(balance_target_t *target,
			     const target_load_t *load, int64_t now)
{
	if (!load->known)
		return;
	target->load = *load;
	target->load_at = now;
	target->outstanding_at_load = target->outstanding;
}

/* Peers announce when they place a request, but not when it ends. */
static double current_peer_prefill(const balance_target_t *target, int64_t now)
{
	double age = (double)(now - target->peer_load_at) / USEC_PER_MSEC_F;

	return MAX(target->peer_prefill_tokens - age * PREFILL_TOKENS_PER_MS,
		   0.0);
}

static double current_peer_requests(const balance_target_t *target, int64_t now)
{
	double age = (double)(now - target->peer_load_at);

	return target->peer_requests * exp2(-age / STREAM_HALF_LIFE_US);
}

void balance_target_add_peer_request(balance_target_t *target, int64_t tokens,
				     int64_t now)
{
	target->peer_prefill_tokens =
		current_peer_prefill(target, now) + (double)tokens;
	target->peer_requests = current_peer_requests(target, now) + 1.0;
	target->peer_load_at = now;
}

static double current_failure_score(const balance_target_t *target, int64_t now)
{
	double age = (double)(now - target->failure_score_at);

	return target->failure_score * exp2(-age / FAILURE_HALF_LIFE_US);
}

void balance_target_add_failure(balance_target_t *target, double weight,
				int64_t now)
{
	target->failure_score = MIN(current_failure_score(target, now) + weight,
				    FAILURE_SCORE_MAX);
	target->failure_score_at = now;
}

void balance_target_add_success(balance_target_t *target, int64_t now)
{
	target->failure_score =
		current_failure_score(target, now) * SUCCESS_FACTOR;
	target->failure_score_at = now;
}

/*
 * Estimates the requests at the target, including those of other instances as
 * far as they were reported or announced.
 */
static double estimate_requests(const balance_target_t *target,
				uint32_t reported, int64_t now)
{
	double freshness =
		1.0 - (double)(now - target->load_at) / LOAD_MAX_AGE_US;
	double others = (double)reported - target->outstanding_at_load;
	double announced = current_peer_requests(target, now);

	if (!target->load.known || freshness <= 0.0)
		return target->outstanding + announced;
	return target->outstanding + MAX(others * freshness, announced);
}

double balance_target_requests(const balance_target_t *target, int64_t now)
{
	return estimate_requests(
		target, target->load.running + target->load.waiting, now);
}

static double latency_factor(const balance_target_t *target, int64_t now)
{
	if (!target->load.known || now - target->load_at > LOAD_MAX_AGE_US)
		return 1.0;
	return MAX(target->load.latency_percent / 100.0, LATENCY_FACTOR_MIN);
}

/* Excludes the last part of a prompt, which no other request shares. */
static uint32_t shared_part_count(uint32_t count)
{
	return count > 0 ? count - 1 : 0;
}

uint64_t balance_target_affinity(const balance_target_t *target,
				 const prompt_part_t *parts, uint32_t count)
{
	uint64_t hash = g_str_hash(target->info.id);

	count = shared_part_count(count);
	if (count > 0)
		hash ^= parts[count - 1].id * HASH_MULTIPLIER;
	return hash_mix(hash);
}

/* Shared tokens that are expected to be read again at this target. */
static double reread_tokens(const msg_t *request, int64_t cached,
			    target_rank_t rank)
{
	uint32_t count = shared_part_count(request->u.place.part_count);
	int64_t shared = 0;

	for (uint32_t i = 0; i < count; i++)
		shared += request->u.place.parts[i].tokens;
	switch (rank) {
	case TARGET_PRIMARY:
		return 0.0;
	case TARGET_SECONDARY:
		return (double)MAX(shared - cached, 0) * SECONDARY_REREAD_SHARE;
	case TARGET_OTHER:
		break;
	}
	return (double)MAX(shared - cached, 0);
}

static double engine_cost(const balance_target_t *target, const msg_t *request,
			  target_rank_t rank, int64_t now)
{
	int64_t cached = cache_tokens(&target->cache, request->u.place.parts,
				      request->u.place.part_count);
	double uncached = (double)(request->u.place.prompt_tokens - cached);
	double running = estimate_requests(target, target->load.running, now);
	double waiting = target->load.known ? target->load.waiting : 0.0;
	double prefill_ms = MAX(uncached, 0.0) / PREFILL_TOKENS_PER_MS;

	return reread_tokens(request, cached, rank) * REREAD_TOKEN_COST_MS +
	       prefill_ms * (1.0 + running * PREFILL_STALL_WEIGHT) +
	       ((double)target->prefill_tokens +
		current_peer_prefill(target, now)) /
		       PREFILL_TOKENS_PER_MS +
	       running * RUNNING_COST_MS + waiting * QUEUED_COST_MS;
}

static double call_cost(const balance_target_t *target, int64_t now)
{
	uint32_t reported = target->load.running + target->load.waiting;
	double slots = MAX(target->info.slots, 1);
	double busy = estimate_requests(target, reported, now) / slots;

	/* Below half of its slots, a target responds without delay. */
	return CALL_TIME_MS * (1.0 + busy * busy * CALL_LOAD_WEIGHT);
}

void balance_target_cost_parts(const balance_target_t *target,
			       const msg_t *request, bool same_zone,
			       target_rank_t rank, int64_t oldest_unanswered_us,
			       int64_t now, target_cost_t *parts)
{
	double slow;

	memset(parts, 0, sizeof(*parts));
	parts->work = target->engine ? engine_cost(target, request, rank, now)
				     : call_cost(target, now);
	slow = parts->work * latency_factor(target, now);
	parts->slowness = slow - parts->work;
	if (!same_zone)
		parts->zone = target->engine ? ENGINE_CROSS_ZONE_MS
					     : CALL_CROSS_ZONE_MS;
	parts->failures = current_failure_score(target, now) * FAILURE_COST_MS;
	if (oldest_unanswered_us > FIRST_BYTE_OVERDUE_US)
		parts->overdue =
			(double)(oldest_unanswered_us - FIRST_BYTE_OVERDUE_US) /
			USEC_PER_MSEC_F * OVERDUE_WEIGHT;
	parts->total = slow + parts->zone + parts->failures + parts->overdue;
}

double balance_target_cost(const balance_target_t *target, const msg_t *request,
			   bool same_zone, target_rank_t rank,
			   int64_t oldest_unanswered_us, int64_t now)
{
	target_cost_t parts;

	balance_target_cost_parts(target, request, same_zone, rank,
				  oldest_unanswered_us, now, &parts);
	return parts.total;
}
