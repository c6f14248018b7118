/*
 * Parameters of the routing policy.  A preset sets all of them, so that
 * operators switch between tested combinations instead of tuning parameters.
 */
#ifndef ROUTE_POLICY_H
#define ROUTE_POLICY_H

#include "kernel/record.h"

G_BEGIN_DECLS

#define POLICY_LIST(X)                                                     \
	X(queue_max, "requests", "requests of a service that wait")        \
	X(account_queue_percent, "%", "part of it for one client account") \
	X(short_room_percent, "%", "of a target kept for short work")      \
	X(share_percent, "%", "of its even share a router always uses")    \
	X(burst_percent, "%", "of its even share a router ever uses")      \
	X(size_weight_percent, "%", "wait that offsets larger work")       \
	X(margin_percent, "%", "more time than expected to start in time") \
	X(urgent_ms, "ms", "before its latest start work goes first")      \
	X(refuse_percent, "%", "of the time left that may be expected")    \
	X(eject_factor_percent, "%", "of the peers' median time")          \
	X(eject_max_percent, "%", "of a service's targets ejected")        \
	X(eject_ms, "ms", "first ejection, doubled each time")             \
	X(eject_max_ms, "ms", "longest ejection")                          \
	X(overdue_factor_percent, "%", "of the expected time")             \
	X(overdue_count, "requests", "overdue requests that eject")        \
	X(late_count, "requests", "late requests in a row that eject")     \
	X(slow_start_ms, "ms", "from a small share to the whole one")      \
	X(hedge_permille, "per mille", "second attempts of requests")      \
	X(hedge_delay_percent, "%", "of the p95 of the first byte")        \
	X(zone_spill_percent, "%", "more load before another zone")        \
	X(affinity_percent, "%", "of the mean load for a prefix")          \
	X(backoff_ms, "ms", "first pause after a failure, doubled")        \
	X(backoff_max_ms, "ms", "longest pause after a failure")           \
	X(leave_hold_ms, "ms", "without work after a target said it leaves")

typedef struct policy_t {
#define X(name, unit, help) uint32_t name;
	POLICY_LIST(X)
#undef X
} policy_t;

typedef struct policy_row_t {
	const char *name;
	uint32_t value;
	const char *unit;
	const char *help;
} policy_row_t;

const policy_t *policy_get(preset_t preset);

/* Gets one parameter of a preset; false when the index is out of range. */
bool policy_row(preset_t preset, uint32_t index, policy_row_t *row);

G_END_DECLS

#endif
