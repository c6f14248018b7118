/*
 * Service "overload": judges whether this process keeps up with what it gets,
 * from how late its timers fire and how long its input waits.
 */
#ifndef OVERLOAD_OVERLOAD_H
#define OVERLOAD_OVERLOAD_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

/* A process is behind if something waits for longer than this. */
#define OVERLOAD_WAIT_US (100 * USEC_PER_MSEC)
/* It has caught up if nothing has waited so long for this time. */
#define OVERLOAD_CALM_US USEC_PER_SEC

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

typedef struct overload_t {
	kernel_t *kernel;
	svc_t svc;
	overload_state_t state;
} overload_t;

void overload_init(overload_t *overload, kernel_t *kernel);
void overload_finish(overload_t *overload);

/* The decision: applies what was measured up to now. */
overload_change_t overload_update(overload_state_t *state,
				  const lag_sample_t *sample, int64_t now);

G_END_DECLS

#endif
