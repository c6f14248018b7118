/*
 * What the targets of a service can do, estimated from responses: the rate at
 * which engines read prompts, and the time of a call.  An estimate starts from
 * a prior, stays within bounds and returns to what is usual as it ages.
 */
#ifndef BALANCE_CAPACITY_H
#define BALANCE_CAPACITY_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

/* All targets of one service, which mostly have the same hardware. */
typedef struct capacity_t {
	char service[NAME_SIZE];
	double tokens_per_ms; /* prompt tokens read by an engine */
	double call_ms; /* time of a call at a target that is not busy */
} capacity_t;

/* One target, relative to the others of its service. */
typedef struct target_speed_t {
	double log_factor; /* above 0: faster than the service */
	int64_t updated_at; /* monotonic, us */
} target_speed_t;

void capacity_init(capacity_t *capacity, const char *service);
/* Adds the time to the first byte of a prompt of which this much was read. */
void capacity_add_prompt(capacity_t *capacity, target_speed_t *speed,
			 int64_t tokens, int64_t elapsed_us, int64_t now);
void capacity_add_call(capacity_t *capacity, int64_t elapsed_us);
/* Estimated rate of one target. */
double capacity_tokens_per_ms(const capacity_t *capacity,
			      const target_speed_t *speed, int64_t now);

G_END_DECLS

#endif
