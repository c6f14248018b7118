/*
 * Service "overload": judges whether this process keeps up with what it gets,
 * from how late its timers fire and how long its input waits, and whether its
 * callers do better at other instances of the availability zone.
 */
#ifndef OVERLOAD_OVERLOAD_H
#define OVERLOAD_OVERLOAD_H

#include "kernel/kernel.h"
#include "kernel/peer_set.h"
#include "overload/move.h"

G_BEGIN_DECLS

/* A process is behind if something waits for longer than this. */
#define OVERLOAD_WAIT_US (100 * USEC_PER_MSEC)
/* It has caught up if nothing has waited so long for this time. */
#define OVERLOAD_CALM_US USEC_PER_SEC
/*
 * One instance in so many of an availability zone may send its callers away.
 * If more are behind, what they send away would put the others behind as well.
 */
#define OVERLOAD_YIELD_PART 8

/* What changed with a sample. */
typedef enum overload_change_t {
	OVERLOAD_UNCHANGED,
	OVERLOAD_BEGAN,
	OVERLOAD_ENDED,
} overload_change_t;

typedef struct overload_state_t {
	bool behind;
	int64_t since; /* monotonic, us; when it began */
	int64_t last; /* monotonic, us; last sample that was behind */
	lag_sample_t worst; /* since it began */
} overload_state_t;

/* Utilization at which connects are late because of the link. */
#define OVERLOAD_LINK_FULL 0.9
/* Utilization is measured over this number of intervals between samples. */
#define OVERLOAD_TOTALS 4

typedef struct overload_total_t {
	int64_t at; /* monotonic, us; 0: no sample */
	traffic_t traffic;
} overload_total_t;

typedef struct overload_t {
	kernel_t *kernel;
	svc_t svc;
	overload_state_t state;
	char zone[NAME_SIZE]; /* own availability zone */
	svc_t ingress;
	svc_t proxy;
	svc_t peer;
	peer_set_t peers;
	GHashTable *behind; /* incarnations of peers in the zone */
	bool yields; /* callers are sent to other instances */
	char incarnation[INCARNATION_SIZE]; /* own */
	move_t move; /* if the link is known */
	double link_mbps; /* in each direction; 0: unknown */
	/* Totals of the last samples, oldest first from next on. */
	overload_total_t totals[OVERLOAD_TOTALS];
	uint32_t next;
	bool link_full;
	bool congested; /* what the proxy knows */
} overload_t;

void overload_init(overload_t *overload, kernel_t *kernel, const char *zone);
/* States the capacity of the link; then load decides, not waits alone. */
void overload_set_link(overload_t *overload, const char *incarnation,
		       double link_mbps);
void overload_finish(overload_t *overload);

/* The decision: applies what was measured up to now. */
overload_change_t overload_update(overload_state_t *state,
				  const lag_sample_t *sample, int64_t now);
/*
 * Whether an instance that is behind sends its callers away, given the
 * instances of its availability zone and those of them that are behind, both
 * including itself.
 */
bool overload_may_yield(uint32_t instances, uint32_t behind);

G_END_DECLS

#endif
