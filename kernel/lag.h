/*
 * How far the process is behind: the time of a turn of the main loop, how late
 * timers fire, and how long descriptors are ready before they are handled.
 */
#ifndef KERNEL_LAG_H
#define KERNEL_LAG_H

#include "metrics/metrics.h"

G_BEGIN_DECLS

/* The worst of some time, in us. */
typedef struct lag_sample_t {
	int64_t turn;
	int64_t turn_cpu; /* processor time of that turn */
	int64_t timer; /* after a timer was due */
	int64_t input; /* after a descriptor became ready */
} lag_sample_t;

typedef struct lag_t {
	metrics_t *metrics;
	int64_t turn_started; /* monotonic, us; 0: between two turns */
	int64_t cpu_started; /* processor time at that moment, us */
	lag_sample_t worst; /* since lag_take() */
} lag_t;

void lag_init(lag_t *lag, metrics_t *metrics);
/* A turn lasts from the end of a poll to the start of the next one. */
void lag_turn_started(lag_t *lag, int64_t now); /* ignored within a turn */
void lag_turn_ended(lag_t *lag, int64_t now);
void lag_timer_fired(lag_t *lag, int64_t late);
void lag_input_handled(lag_t *lag, int64_t waited);
/* Returns the worst since the last call and starts anew. */
lag_sample_t lag_take(lag_t *lag);

G_END_DECLS

#endif
