/*
 * Service "balance": chooses the target of each request.  The choice depends on
 * the requests that this instance has outstanding at a target, the load that
 * the target reports, cached prompt prefixes, the availability zone and recent
 * failures.  Requests that find no room wait in a queue ordered by priority.
 */
#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

#include "balance/cache.h"
#include "balance/cold.h"
#include "kernel/kernel.h"
#include "kernel/peer_set.h"

G_BEGIN_DECLS

#define FAILED_HOMES_MAX 4

/* A peer that did not answer as the home of a target. */
typedef struct failed_home_t {
	char incarnation[INCARNATION_SIZE];
	int64_t until; /* monotonic, us */
} failed_home_t;

/* Peers that were lost lately and may still admit requests elsewhere. */
#define LOST_PEERS_MAX 128

typedef struct lost_peer_t {
	char incarnation[INCARNATION_SIZE];
	char zone[NAME_SIZE];
	int64_t lost_at; /* monotonic, us; 0: none */
} lost_peer_t;

/* Share of the fleet that this instance admits requests to cold targets for. */
typedef struct cold_share_t {
	double value; /* rises slowly */
	int64_t changed_at; /* monotonic, us */
	lost_peer_t lost[LOST_PEERS_MAX];
	uint32_t next_lost;
} cold_share_t;

typedef enum balance_timer_t {
	BALANCE_TIMER_QUEUE, /* deadline of a request that waits */
	BALANCE_TIMER_ASK, /* a home has not answered */
	BALANCE_TIMER_WAKE, /* the queue is to be run */
	BALANCE_TIMER_PROCESS, /* targets in doubt are checked */
	BALANCE_TIMER_ZONES, /* zones that are cut off are checked */
	BALANCE_TIMER_COLD, /* a target may be cold no more */
} balance_timer_t;

typedef struct balance_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t peer;
	svc_t proxy;
	svc_t outbound;
	char zone[NAME_SIZE];
	char incarnation[INCARNATION_SIZE];
	peer_set_t peers;
	fleet_conf_t *conf;
	uint32_t instances; /* size of the fleet, including this one */
	caches_t caches; /* of the targets */
	table_t targets; /* balance_target_t */
	table_t queue; /* queued_t */
	table_t placements; /* placement_t */
	GHashTable *targets_by_id; /* id -> balance_target_t */
	GHashTable *evacuated; /* set of zones; see balance/evacuation.h */
	GHashTable *flows; /* service -> flow_t */
	GHashTable *kept_notices; /* id -> kept_notice_t, of unlisted targets */
	uint64_t arrivals; /* orders queued requests of equal priority */
	table_t asks; /* ask_t */
	failed_home_t failed_homes[FAILED_HOMES_MAX];
	bool pace; /* targets that have just started are restrained */
	int64_t started_at; /* monotonic, us */
	cold_bounds_t cold_bounds;
	cold_share_t cold_share;
	handle_t wake_timer;
	int64_t wake_at; /* monotonic, us; if wake_timer is set */
	table_t reports; /* report_t */
	handle_t process_timer;
	int64_t process_check_at; /* monotonic, us; if process_timer is set */
	GArray *zones; /* zone_reach_t */
	handle_t zone_timer;
} balance_t;

void balance_init(balance_t *balance, kernel_t *kernel, const char *incarnation,
		  const char *zone);
/* Sets other bounds than the default ones for cold targets. */
void balance_set_cold_bounds(balance_t *balance, const cold_bounds_t *bounds);
/*
 * Bounds what is kept of the targets' caches by the bytes of memory that the
 * process may use.  Called before the kernel starts.
 */
void balance_set_memory(balance_t *balance, uint64_t memory);
/* Restrains targets that have just started or recovered. */
void balance_set_pace(balance_t *balance, bool pace);
void balance_finish(balance_t *balance);

G_END_DECLS

#endif
