#include "balance/target.h"

#include "kernel/hash.h"

#include <math.h>
#include <string.h>

#define USEC_PER_MSEC_F 1000.0
/* Prompt tokens that an engine reads in a millisecond, by its data sheet. */
#define PREFILL_TOKENS_PER_MS 92.0
/* One more running request slows the tokens of all others. */
#define ENGINE_RUNNING_MS 4.0
#define ENGINE_WAITING_MS 40.0
/*
 * For each shared token that has to be read although another target keeps it.
 * Reading it takes a hundredth of a millisecond, but the platform bills it.
 */
#define REREAD_MS 0.05
/* Others have mostly read the parts at the second target before. */
#define SECOND_REREAD 0.3
/*
 * Reading a prompt delays the tokens of all requests at its target: cost of a
 * millisecond of reading for each of them.
 */
#define DISTURBED_MS 0.04
/* Usual time of a short call, for targets that run calls one a slot. */
#define CALL_MS 30.0
/*
 * Of a target in another zone: two more crossings, and bytes that are billed.
 * A prompt is some ten kB, a call below one.
 */
#define ENGINE_ZONE_MS 25.0
#define CALL_ZONE_MS 6.0
/* A report says nothing about the present after this time. */
#define LOAD_AGE_US (1500 * USEC_PER_MSEC)
#define FAILURE_HALF_LIFE_US (3.0 * 1e6)
#define FAILURE_MAX 20.0
#define FAILURE_MS 60.0 /* cost of one recent failure */
/* A first byte usually takes less; beyond it the target may be silent. */
#define OVERDUE_US (800 * USEC_PER_MSEC)
#define OVERDUE_WEIGHT 0.5 /* of the time beyond */
/* Streams last 1 to 4 s. */
#define RUN_HALF_LIFE_US (1.5 * 1e6)

typedef struct cached_part_t {
	uint64_t id;
	uint32_t tokens;
	GList link;
} cached_part_t;

void balance_target_init(balance_target_t *target, const fleet_target_t *info)
{
	target->info = *info;
	target->load.latency_percent = 100;
	target->cached = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	g_queue_init(&target->cached_order);
}

void balance_target_finish(balance_target_t *target)
{
	g_hash_table_unref(target->cached);
}

void balance_target_forget(balance_target_t *target)
{
	g_queue_init(&target->cached_order);
	g_hash_table_remove_all(target->cached);
	target->cached_tokens = 0;
}

int64_t balance_target_cached(const balance_target_t *target,
			      const prompt_part_t *parts, uint32_t count)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!g_hash_table_contains(target->cached, &parts[i].id))
			break;
		tokens += parts[i].tokens;
	}
	return tokens;
}

static void evict(balance_target_t *target)
{
	while (target->cached_tokens > target->kv_tokens &&
	       target->cached_order.length > 0) {
		cached_part_t *part = target->cached_order.head->data;

		g_queue_unlink(&target->cached_order, &part->link);
		target->cached_tokens -= part->tokens;
		g_hash_table_remove(target->cached, &part->id);
	}
}

void balance_target_remember(balance_target_t *target,
			     const prompt_part_t *parts, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		cached_part_t *part =
			g_hash_table_lookup(target->cached, &parts[i].id);

		if (part != NULL) {
			g_queue_unlink(&target->cached_order, &part->link);
		} else {
			part = g_new0(cached_part_t, 1);
			part->id = parts[i].id;
			part->tokens = parts[i].tokens;
			part->link.data = part;
			g_hash_table_insert(target->cached, &part->id, part);
			target->cached_tokens += part->tokens;
		}
		g_queue_push_tail_link(&target->cached_order, &part->link);
	}
	evict(target);
}

void balance_target_reported(balance_target_t *target,
			     const target_load_t *load, int64_t now)
{
	if (!load->known)
		return;
	target->load = *load;
	target->load_at = now;
	target->outstanding_at_load = target->outstanding;
}

/* Peers tell when they place a request, and not when it ends. */
static double peers_tokens(const balance_target_t *target, int64_t now)
{
	double age = (double)(now - target->peers_at) / USEC_PER_MSEC_F;

	return MAX(target->peers_tokens - age * PREFILL_TOKENS_PER_MS, 0.0);
}

static double peers_running(const balance_target_t *target, int64_t now)
{
	double age = (double)(now - target->peers_at);

	return target->peers_running * exp2(-age / RUN_HALF_LIFE_US);
}

void balance_target_peer_placed(balance_target_t *target, int64_t tokens,
				int64_t now)
{
	target->peers_tokens = peers_tokens(target, now) + (double)tokens;
	target->peers_running = peers_running(target, now) + 1.0;
	target->peers_at = now;
}

static double decayed(const balance_target_t *target, int64_t now)
{
	double age = (double)(now - target->failures_at);

	return target->failures * exp2(-age / FAILURE_HALF_LIFE_US);
}

void balance_target_failed(balance_target_t *target, double weight, int64_t now)
{
	target->failures = MIN(decayed(target, now) + weight, FAILURE_MAX);
	target->failures_at = now;
}

void balance_target_succeeded(balance_target_t *target, int64_t now)
{
	target->failures = decayed(target, now) * 0.7;
	target->failures_at = now;
}

/* Requests at the target, other instances' included as far as reported. */
static double requests_at(const balance_target_t *target, uint32_t reported,
			  int64_t now)
{
	double fresh = 1.0 - (double)(now - target->load_at) / LOAD_AGE_US;
	double others = (double)reported - target->outstanding_at_load;
	double told = peers_running(target, now);

	if (!target->load.known || fresh <= 0.0)
		return target->outstanding + told;
	return target->outstanding + MAX(others * fresh, told);
}

static double slowness(const balance_target_t *target, int64_t now)
{
	if (!target->load.known || now - target->load_at > LOAD_AGE_US)
		return 1.0;
	return MAX(target->load.latency_percent / 100.0, 0.5);
}

/* The last part of a prompt belongs to the request alone. */
static uint32_t shared_count(uint32_t count)
{
	return count > 0 ? count - 1 : 0;
}

uint64_t balance_target_affinity(const balance_target_t *target,
				 const prompt_part_t *parts, uint32_t count)
{
	uint64_t hash = g_str_hash(target->info.id);

	count = shared_count(count);
	if (count > 0)
		hash ^= parts[count - 1].id * UINT64_C(0x9e3779b97f4a7c15);
	return hash_mix(hash);
}

/* Shared tokens that would be read again at this target. */
static double reread_tokens(const msg_t *place, int64_t cached,
			    target_rank_t rank)
{
	uint32_t count = shared_count(place->u.place.part_count);
	int64_t shared = 0;

	for (uint32_t i = 0; i < count; i++)
		shared += place->u.place.parts[i].tokens;
	switch (rank) {
	case TARGET_FIRST:
		return 0.0;
	case TARGET_SECOND:
		return (double)MAX(shared - cached, 0) * SECOND_REREAD;
	case TARGET_OTHER:
		break;
	}
	return (double)MAX(shared - cached, 0);
}

static double engine_cost(const balance_target_t *target, const msg_t *place,
			  target_rank_t rank, int64_t now)
{
	int64_t cached = balance_target_cached(target, place->u.place.parts,
					       place->u.place.part_count);
	double unread = (double)(place->u.place.prompt_tokens - cached);
	double running = requests_at(target, target->load.running, now);
	double waiting = target->load.known ? target->load.waiting : 0.0;
	double reading = MAX(unread, 0.0) / PREFILL_TOKENS_PER_MS;

	return reread_tokens(place, cached, rank) * REREAD_MS +
	       reading * (1.0 + running * DISTURBED_MS) +
	       ((double)target->unread_tokens + peers_tokens(target, now)) /
		       PREFILL_TOKENS_PER_MS +
	       running * ENGINE_RUNNING_MS + waiting * ENGINE_WAITING_MS;
}

static double call_cost(const balance_target_t *target, int64_t now)
{
	uint32_t reported = target->load.running + target->load.waiting;
	double slots = MAX(target->info.slots, 1);
	double busy = requests_at(target, reported, now) / slots;

	/* Below half of its slots a target answers without delay. */
	return CALL_MS * (1.0 + busy * busy * 2.0);
}

double balance_target_cost(const balance_target_t *target, const msg_t *place,
			   bool same_zone, target_rank_t rank,
			   int64_t overdue_us, int64_t now)
{
	double cost = target->engine ? engine_cost(target, place, rank, now)
				     : call_cost(target, now);

	cost *= slowness(target, now);
	if (!same_zone)
		cost += target->engine ? ENGINE_ZONE_MS : CALL_ZONE_MS;
	cost += decayed(target, now) * FAILURE_MS;
	if (overdue_us > OVERDUE_US)
		cost += (double)(overdue_us - OVERDUE_US) / USEC_PER_MSEC_F *
			OVERDUE_WEIGHT;
	return cost;
}
