/*
 * State of one target, and the cost of sending it a request, in milliseconds
 * of expected delay.
 */
#ifndef BALANCE_TARGET_H
#define BALANCE_TARGET_H

#include "balance/balance.h"
#include "balance/cold.h"
#include "balance/limit.h"
#include "balance/pace.h"

G_BEGIN_DECLS

#define PERMITS_MAX 16 /* unused permits for one target */

/* Whether a target falls over if it turns many requests away. */
typedef struct brittle_t {
	bool stated;
	uint32_t rejections_per_s; /* more make it fall over */
	int64_t heard_at; /* monotonic, us; last statement */
	int64_t paused_until; /* monotonic, us; it was full */
} brittle_t;

/* What a target has stated about itself. */
typedef struct target_notice_t {
	bool leaving;
	int64_t leaving_at; /* monotonic, us; when it was stated */
	/* Until then it wants no requests of this instance; monotonic, us. */
	int64_t paused_until;
	int64_t paused_at; /* monotonic, us; when it was stated */
	limit_t limit;
	brittle_t brittle;
	cold_t cold;
} target_notice_t;

/* Whether another process may have the address; see balance/process.h. */
typedef struct process_doubt_t {
	int64_t since; /* monotonic, us, last evidence; 0: no doubt */
	int64_t not_before; /* monotonic, us, next report */
	int64_t wait; /* us, before the next report; 0: none has failed */
	bool wanted; /* a stream depends on the report */
	bool asked; /* a report is awaited */
	bool ended; /* as far as this instance or a peer saw */
	bool other; /* the process is another one: its entry is awaited */
} process_doubt_t;

typedef struct balance_target_t {
	handle_t self;
	fleet_target_t info;
	bool engine;
	bool resumable; /* a route takes up streams again at its service */
	process_doubt_t doubt;
	int64_t cold_us; /* for which it is cold after a start */
	/* Requests in 1,000 s that it sustains while it is cold; 0: never cold.
	 */
	uint32_t cold_per_ks;
	bool unavailable; /* draining or gone: gets no new requests */
	bool evacuated; /* its zone gets no new requests */
	uint32_t outstanding; /* requests of this instance */
	uint64_t outstanding_bytes; /* of their bodies */
	GQueue unanswered; /* placement_t without a first byte, oldest first */
	int64_t prefill_tokens; /* tokens of requests without a first byte */
	target_load_t load; /* last report */
	int64_t load_at; /* monotonic, us */
	uint32_t outstanding_at_load; /* outstanding at the last report */
	target_notice_t notice;
	pace_t pace;
	double answer_us; /* mean time to an answer; 0: none */
	/* Instance that has seen the target fail, as told to its home. */
	char doubter[INCARNATION_SIZE];
	int64_t doubter_at; /* monotonic, us */
	int64_t end_told_at; /* monotonic, us; the limit's end, to the home */
	/* Permits of the home: when they become valid; monotonic, us. */
	int64_t permits[PERMITS_MAX];
	uint32_t permit_count;
	uint32_t claimed; /* permits that requests in the queue have claimed */
	/* The home admits nothing that starts before, by priority. */
	int64_t free_at[LIMIT_PRIORITIES];
	double peer_prefill_tokens; /* unread tokens of peers' prompts */
	double peer_requests; /* estimate of running requests of peers */
	int64_t peer_load_at; /* monotonic, us; last change of either */
	double failure_score; /* weighted recent failures, decaying */
	int64_t failure_score_at; /* monotonic, us; last change */
	cache_t cache;
} balance_target_t;

void balance_target_init(balance_target_t *target, const fleet_target_t *info,
			 caches_t *caches);
void balance_target_finish(balance_target_t *target);

/*
 * Forgets what is known of the process of a target that was replaced.  Requests
 * of this instance stay counted until they end.
 */
void balance_target_reset(balance_target_t *target);

void balance_target_set_load(balance_target_t *target,
			     const target_load_t *load, int64_t now);
/* Counts a peer's request, of which this many tokens must be read. */
void balance_target_add_peer_request(balance_target_t *target, int64_t tokens,
				     int64_t now);
void balance_target_add_failure(balance_target_t *target, double weight,
				int64_t now);
void balance_target_add_success(balance_target_t *target, int64_t now);

/* Estimates the requests that run or wait at the target. */
double balance_target_requests(const balance_target_t *target, int64_t now);

/* Rendezvous hash of a target's id and a prompt's shared parts. */
uint64_t balance_target_affinity(const balance_target_t *target,
				 const prompt_part_t *parts, uint32_t count);

/* Rank of a target by affinity, the same at all instances. */
typedef enum target_rank_t {
	TARGET_PRIMARY,
	TARGET_SECONDARY, /* used while the primary is busy */
	TARGET_OTHER,
} target_rank_t;

/* Expected delay at a target and what it consists of, in ms. */
typedef struct target_cost_t {
	double work; /* what runs and waits there, and the prompt */
	double slowness; /* it responds more slowly than others */
	double zone; /* it is in another zone */
	double failures; /* recent ones */
	double overdue; /* its oldest request has no first byte */
	double total;
} target_cost_t;

void balance_target_cost_parts(const balance_target_t *target,
			       const msg_t *request, bool same_zone,
			       target_rank_t rank, int64_t oldest_unanswered_us,
			       int64_t now, target_cost_t *parts);
/* oldest_unanswered_us is the age of the oldest request with no first byte. */
double balance_target_cost(const balance_target_t *target, const msg_t *request,
			   bool same_zone, target_rank_t rank,
			   int64_t oldest_unanswered_us, int64_t now);

G_END_DECLS

#endif
