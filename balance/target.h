/*
 * What this instance knows of one target, and the cost of sending it a
 * request, in milliseconds of expected delay.
 */
#ifndef BALANCE_TARGET_H
#define BALANCE_TARGET_H

#include "balance/balance.h"

G_BEGIN_DECLS

typedef struct balance_target_t {
	handle_t self;
	fleet_target_t info;
	bool engine;
	int64_t kv_tokens; /* memory for cached prompts */
	bool unavailable; /* draining or gone: gets nothing new */
	uint32_t outstanding; /* of this instance */
	int64_t prefill_tokens; /* of prompts without a first byte */
	target_load_t load; /* as last reported */
	int64_t load_at; /* monotonic, us */
	uint32_t outstanding_at_load;
	double peer_prefill_tokens; /* of prompts that peers have placed, unread
				     */
	double peer_requests; /* requests of peers */
	int64_t peer_load_at; /* monotonic, us, of these two */
	double failure_score; /* recent ones, decaying */
	int64_t failure_score_at; /* monotonic, us, of the last change */
	GHashTable *cached_parts; /* prompt part -> cached_part_t */
	GQueue cached_lru; /* cached_part_t, least recently used first */
	int64_t cached_tokens;
} balance_target_t;

void balance_target_init(balance_target_t *target, const fleet_target_t *info);
void balance_target_finish(balance_target_t *target);

/* Tokens of the leading parts that the target keeps, by what it was sent. */
int64_t balance_target_cached_tokens(const balance_target_t *target,
				     const prompt_part_t *parts,
				     uint32_t count);
void balance_target_cache_parts(balance_target_t *target,
				const prompt_part_t *parts, uint32_t count);
/* Forgets what an earlier process at the target kept. */
void balance_target_clear_cache(balance_target_t *target);

void balance_target_set_load(balance_target_t *target,
			     const target_load_t *load, int64_t now);
/* A peer has placed a request with so many tokens to be read. */
void balance_target_add_peer_request(balance_target_t *target, int64_t tokens,
				     int64_t now);
void balance_target_add_failure(balance_target_t *target, double weight,
				int64_t now);
void balance_target_add_success(balance_target_t *target, int64_t now);

/* How well a target's id and a prompt's shared parts go together. */
uint64_t balance_target_affinity(const balance_target_t *target,
				 const prompt_part_t *parts, uint32_t count);

/* Among the targets that all instances choose for the same shared parts. */
typedef enum target_rank_t {
	TARGET_PRIMARY,
	TARGET_SECONDARY, /* takes over while the first one is busy */
	TARGET_OTHER,
} target_rank_t;

/*
 * oldest_unanswered_us: age of the oldest request that has no
 * first byte.
 */
double balance_target_cost(const balance_target_t *target, const msg_t *request,
			   bool same_zone, target_rank_t rank,
			   int64_t oldest_unanswered_us, int64_t now);

G_END_DECLS

#endif
