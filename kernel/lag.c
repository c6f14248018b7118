#include "kernel/lag.h"

#include <string.h>
#include <time.h>

#define USEC_PER_SEC INT64_C(1000000)
#define NSEC_PER_USEC 1000

static int64_t processor_time(void)
{
	struct timespec used;

	if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0)
		return 0;
	return used.tv_sec * USEC_PER_SEC + used.tv_nsec / NSEC_PER_USEC;
}

void lag_init(lag_t *lag, metrics_t *metrics)
{
	memset(lag, 0, sizeof(*lag));
	lag->metrics = metrics;
	lag->cpu_started = processor_time();
}

void lag_turn_started(lag_t *lag, int64_t now)
{
	if (lag->turn_started == 0)
		lag->turn_started = now;
}

void lag_turn_ended(lag_t *lag, int64_t now)
{
	int64_t cpu, turn;

	if (lag->turn_started == 0)
		return;
	turn = now - lag->turn_started;
	/* A process that waits uses no processor time. */
	cpu = processor_time();
	metrics_observe(lag->metrics, HISTOGRAM_LOOP_TURN, turn);
	if (turn > lag->worst.turn) {
		lag->worst.turn = turn;
		lag->worst.turn_cpu = cpu - lag->cpu_started;
	}
	lag->cpu_started = cpu;
	lag->turn_started = 0;
}

void lag_timer_fired(lag_t *lag, int64_t late)
{
	metrics_observe(lag->metrics, HISTOGRAM_TIMER_LATE, late);
	lag->worst.timer = MAX(lag->worst.timer, late);
}

void lag_input_handled(lag_t *lag, int64_t waited)
{
	metrics_observe(lag->metrics, HISTOGRAM_INPUT_WAIT, waited);
	lag->worst.input = MAX(lag->worst.input, waited);
}

lag_sample_t lag_take(lag_t *lag)
{
	lag_sample_t worst = lag->worst;

	memset(&lag->worst, 0, sizeof(lag->worst));
	return worst;
}
