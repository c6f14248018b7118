/*
 * What this router knows of the targets, and of the service that a group of
 * them serves: configuration, own outstanding work, reported load, state.
 */
#ifndef ROUTE_TARGET_H
#define ROUTE_TARGET_H

#include "route/policy.h"
#include "route/queue.h"
#include "route/route.h"

G_BEGIN_DECLS

typedef enum target_state_t {
	TARGET_ACTIVE,
	TARGET_SUSPENDED, /* gets nothing until its timer fires */
	TARGET_PROBING, /* gets one request, whose first byte decides */
} target_state_t;

typedef struct target_t {
	handle_t self;
	record_target_t record;
	struct group_t *group;
	bool configured; /* false: removed, kept until its work ends */
	bool leaving; /* listed as leaving */
	int64_t hold_until; /* us; it said itself that it leaves */
	target_state_t state;
	bool is_outlier; /* ejected because of its latency */
	uint32_t consecutive_ejections; /* in a row */
	uint32_t consecutive_failures; /* in a row */
	uint32_t consecutive_late; /* attempts without a first byte in time, in
				      a row */
	int64_t slow_start_began; /* us, start of its slow start; 0: none */
	handle_t probe; /* assignment */
	handle_t timer;
	uint32_t running[WORK_COUNT]; /* attempts of this router */
	uint32_t overdue; /* of these, counted as overdue */
	mean_t slowness; /* time taken to time expected */
	uint32_t reported_load; /* requests running or queued, all routers */
	uint32_t running_at_report;
	int64_t report_time; /* us */
	uint64_t rounding_salt; /* differs between routers and targets */
	double score[WORK_COUNT];
	uint32_t heap_index[WORK_COUNT];
	uint32_t index; /* in the group */
} target_t;

/* The targets of one service, and what waits for them. */
typedef struct group_t {
	char service[NAME_SIZE];
	record_service_t record; /* zeroes while it isn't configured */
	GPtrArray *targets; /* target_t, configured */
	GPtrArray *heap[WORK_COUNT]; /* target_t, the best first */
	GArray *ring; /* ring_point_t, sorted */
	uint32_t available; /* targets that could ever serve */
	uint32_t outliers; /* outliers that are not open */
	uint32_t long_share; /* sum of the shares for long work */
	uint32_t running[WORK_COUNT];
	uint32_t overdue;
	double hedge_credit;
	mean_t late_rate; /* share of attempts that are late after a timely one
			   */
	double median_slowness; /* of the targets' slowness */
	int64_t median_time; /* us */
	estimate_t estimate;
	queue_t queue;
} group_t;

typedef struct assignment_t {
	handle_t self;
	handle_t attempt; /* the asker's attempt */
	handle_t target;
	group_t *group;
	work_class_t work;
	bool hedge; /* is itself a second attempt */
	bool first_byte;
	bool late;
	bool overdue; /* counted in the target */
	int64_t worst_tokens;
	int64_t tokens; /* expected */
	int64_t duration; /* expected, us */
	int64_t started; /* us */
	int64_t first_byte_us; /* after since */
	handle_t timer;
} assignment_t;

typedef enum route_timer_t {
	TIMER_LATEST_START, /* its latest start */
	TIMER_FIRST_BYTE,
	TIMER_OVERDUE,
	TIMER_TARGET, /* end of an ejection or hold, step of a slow start */
} route_timer_t;

group_t *group_get(route_t *route, const char *service);
group_t *group_find(const route_t *route, const char *service);
void group_free(gpointer group);

/* Takes over the services and targets of a new configuration. */
void target_apply_conf(route_t *route, const conf_snapshot_t *conf);
target_t *target_find(const route_t *route, const char *host, uint16_t port);
/* Removes a target that is not configured and runs nothing. */
void target_remove_unused(route_t *route, target_t *target);

/* True unless it is leaving, draining or removed. */
bool target_is_available(const route_t *route, const target_t *target);
uint32_t target_running(const target_t *target);

/* Begins with a small share, which grows to the whole. */
void target_slow_start(route_t *route, target_t *target);

/* True when a report is there that is recent enough to be used. */
bool target_report_is_valid(const route_t *route, const target_t *target);
/* Other routers' requests by the last report, the worst without one. */
uint32_t target_other_load(const route_t *route, const target_t *target);
/* Requests of long work that this router may always run on the target. */
uint32_t target_long_share(const route_t *route, const target_t *target);

/* This router's even share of the target's concurrency. */
double target_share(const route_t *route, const target_t *target);
/* Requests of a class that this router may run on the target at one time. */
uint32_t target_limit(const route_t *route, const target_t *target,
		      work_class_t work);

G_END_DECLS

#endif
