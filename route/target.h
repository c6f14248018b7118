/*
 * Targets and the target groups of services, as seen by this router:
 * configuration, outstanding work, reported load and state.
 */
#ifndef ROUTE_TARGET_H
#define ROUTE_TARGET_H

#include "route/policy.h"
#include "route/queue.h"
#include "route/route.h"

G_BEGIN_DECLS

typedef enum target_state_t {
	TARGET_ACTIVE,
	TARGET_SUSPENDED, /* no requests until the timer fires */
	TARGET_PROBING, /* one request, whose first byte decides */
} target_state_t;

typedef struct target_t {
	handle_t self;
	record_target_t record;
	struct group_t *group;
	bool configured; /* false: removed, kept until running work ends */
	bool leaving; /* listed as leaving by the platform */
	int64_t hold_until; /* us, end of the hold of a leaving target */
	int64_t paused_until; /* us, until then it wants no requests */
	target_state_t state;
	bool is_outlier; /* ejected for latency */
	uint32_t consecutive_ejections; /* ejections and back-offs */
	uint32_t consecutive_failures;
	uint32_t consecutive_late; /* attempts with a late first byte */
	int64_t slow_start_began; /* us, 0: no slow start */
	handle_t probe; /* assignment that probes the target */
	handle_t timer;
	uint32_t running[WORK_COUNT]; /* attempts of this router */
	uint32_t overdue; /* overdue attempts of this router */
	mean_t slowness; /* ratio of actual to expected duration */
	uint32_t reported_load; /* running and queued requests of all routers */
	uint32_t running_at_report; /* attempts of this router */
	int64_t report_time; /* us */
	uint64_t rounding_salt; /* differs by router and target */
	double score[WORK_COUNT];
	uint32_t heap_index[WORK_COUNT];
	uint32_t index; /* position in group->targets */
} target_t;

/* The targets of one service, and the queue for them. */
typedef struct group_t {
	char service[NAME_SIZE];
	record_service_t record; /* zero unless the service is configured */
	GPtrArray *targets; /* target_t, configured ones */
	GPtrArray *heap[WORK_COUNT]; /* target_t, lowest score first */
	GArray *ring; /* ring_point_t, by hash */
	uint32_t available;
	uint32_t outliers; /* suspended or probing */
	uint32_t long_share; /* sum of target_long_share() */
	uint32_t running[WORK_COUNT];
	uint32_t overdue;
	double hedge_credit;
	mean_t late_rate; /* share of late attempts after a timely one */
	double median_slowness; /* cached */
	int64_t median_time; /* us, when median_slowness was computed */
	estimate_t estimate;
	queue_t queue;
} group_t;

/* An attempt that runs on a target. */
typedef struct assignment_t {
	handle_t self;
	handle_t attempt; /* handle in the request service */
	handle_t target;
	group_t *group;
	work_class_t work;
	bool hedge; /* second attempt of a request */
	bool first_byte; /* the first byte has arrived */
	bool late; /* no first byte in the time that most attempts need */
	bool overdue; /* counted in target and group */
	int64_t worst_tokens;
	int64_t tokens; /* expected tokens */
	int64_t duration; /* expected duration, us */
	int64_t started; /* us */
	int64_t first_byte_us; /* time from started to the first byte */
	handle_t timer;
} assignment_t;

typedef enum route_timer_t {
	TIMER_LATEST_START, /* latest start time of a queued request */
	TIMER_FIRST_BYTE, /* first byte of an assignment is late */
	TIMER_OVERDUE, /* assignment is overdue */
	TIMER_TARGET, /* end of a suspension, step of a slow start */
} route_timer_t;

group_t *group_get(route_t *route, const char *service);
group_t *group_find(const route_t *route, const char *service);
void group_free(gpointer group);

/* Applies the services and targets of a new configuration. */
void target_apply_conf(route_t *route, const conf_snapshot_t *conf);
target_t *target_find(const route_t *route, const char *host, uint16_t port);
/* Removes the target if it isn't configured and runs no requests. */
void target_remove_unused(route_t *route, target_t *target);

/* Returns the time until the target's hold and its pause are over; us. */
int64_t target_hold(const route_t *route, const target_t *target);
/* Returns true unless the target is leaving, held, draining or removed. */
bool target_is_available(const route_t *route, const target_t *target);
uint32_t target_running(const target_t *target);

/* Begins a slow start: a small share of the concurrency grows to all of it. */
void target_slow_start(route_t *route, target_t *target);

/* Returns true if there is a recent load report. */
bool target_report_is_valid(const route_t *route, const target_t *target);
/*
 * Returns the other routers' requests by the last report, or the full
 * concurrency without a valid report.
 */
uint32_t target_other_load(const route_t *route, const target_t *target);
/* Returns the number of long requests that this router may always run. */
uint32_t target_long_share(const route_t *route, const target_t *target);

/* Returns this router's equal share of the target's concurrency. */
double target_share(const route_t *route, const target_t *target);
/* Returns the limit on this router's requests of a work class. */
uint32_t target_limit(const route_t *route, const target_t *target,
		      work_class_t work);

G_END_DECLS

#endif
