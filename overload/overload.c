#include "overload/overload.h"

#include "log/log.h"

#include <string.h>

#define SAMPLE_INTERVAL_US (50 * USEC_PER_MSEC)

static int64_t longest_wait(const lag_sample_t *sample)
{
	return MAX(sample->timer, sample->input);
}

static void add_worst(lag_sample_t *worst, const lag_sample_t *sample)
{
	if (sample->turn > worst->turn) {
		worst->turn = sample->turn;
		worst->turn_cpu = sample->turn_cpu;
	}
	worst->timer = MAX(worst->timer, sample->timer);
	worst->input = MAX(worst->input, sample->input);
}

overload_change_t overload_update(overload_state_t *state,
				  const lag_sample_t *sample, int64_t now)
{
	if (longest_wait(sample) > OVERLOAD_WAIT_US) {
		state->last = now;
		if (state->behind) {
			add_worst(&state->worst, sample);
			return OVERLOAD_UNCHANGED;
		}
		state->behind = true;
		state->since = now;
		state->worst = *sample;
		return OVERLOAD_BEGAN;
	}
	if (!state->behind || now - state->last < OVERLOAD_CALM_US)
		return OVERLOAD_UNCHANGED;
	state->behind = false;
	return OVERLOAD_ENDED;
}

static void log_change(const overload_t *overload, const char *event,
		       int64_t lasted)
{
	const lag_sample_t *worst = &overload->state.worst;
	const buffers_t *buffers = &overload->kernel->buffers;

	log_event(LOG_LEVEL_WARN, "overload", event,
		  "input_ms=%" G_GINT64_FORMAT " timer_ms=%" G_GINT64_FORMAT
		  " turn_ms=%" G_GINT64_FORMAT " cpu_ms=%" G_GINT64_FORMAT
		  " lasted_ms=%" G_GINT64_FORMAT " unsent=%" G_GUINT64_FORMAT
		  " buffered=%" G_GUINT64_FORMAT,
		  worst->input / USEC_PER_MSEC, worst->timer / USEC_PER_MSEC,
		  worst->turn / USEC_PER_MSEC, worst->turn_cpu / USEC_PER_MSEC,
		  lasted / USEC_PER_MSEC, buffers->held[BUFFER_OUTPUT],
		  buffers_total(buffers));
}

static void take_sample(overload_t *overload)
{
	overload_state_t *state = &overload->state;
	lag_sample_t sample = lag_take(&overload->kernel->lag);
	int64_t now = kernel_now(overload->kernel);

	switch (overload_update(state, &sample, now)) {
	case OVERLOAD_BEGAN:
		log_change(overload, "behind", 0);
		break;
	case OVERLOAD_ENDED:
		log_change(overload, "caught_up", state->last - state->since);
		break;
	case OVERLOAD_UNCHANGED:
		break;
	}
	metrics_set(overload->kernel->metrics, GAUGE_BEHIND, state->behind);
	kernel_timer(overload->kernel, overload->svc, SAMPLE_INTERVAL_US,
		     HANDLE_NONE, 0);
}

static void receive(void *self, msg_t *msg)
{
	overload_t *overload = self;

	if (msg->kind == MSG_START || msg->kind == MSG_TIMER)
		take_sample(overload);
}

void overload_init(overload_t *overload, kernel_t *kernel)
{
	memset(overload, 0, sizeof(*overload));
	overload->kernel = kernel;
	overload->svc = kernel_register(kernel, "overload", receive, overload);
}

void overload_finish(overload_t *overload)
{
	kernel_unregister(overload->kernel, overload->svc);
}
