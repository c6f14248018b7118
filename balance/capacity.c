#include "balance/capacity.h"

#include <math.h>
#include <string.h>

#define USEC_PER_MSEC_F 1000.0
#define PRIOR_TOKENS_PER_MS 60.0
#define TOKENS_PER_MS_MIN 4.0
#define TOKENS_PER_MS_MAX 400.0
#define PRIOR_CALL_MS 30.0
#define CALL_MS_MIN 2.0
#define CALL_MS_MAX 1000.0
/* A shorter prompt says little, because most of its time is other overhead. */
#define PROMPT_TOKENS_MIN 2500
/* Time to a first byte that is not reading: connecting and the first step. */
#define FIRST_BYTE_OVERHEAD_MS 25.0
/*
 * Weights of a new value.  A response is delayed by the work beside it, and
 * nothing makes it faster, so that a value on the fast side tells more.
 */
#define WEIGHT_FAST 0.2
#define WEIGHT_SLOW 0.03
/* Limit on the change by one value, whose cached part may be misjudged. */
#define LOG_RATIO_MAX 0.5
#define SPEED_WEIGHT 0.2
#define SPEED_HALF_LIFE_US (8.0 * 1e6)
#define SPEED_LOG_MAX 2.1 /* a factor of 8 */
/*
 * Smaller differences (a factor of 2.7) are ignored.  They come from the work
 * beside a prompt, and would make instances choose different targets for it.
 */
#define SPEED_LOG_MIN 1.0

void capacity_init(capacity_t *capacity, const char *service)
{
	memset(capacity, 0, sizeof(*capacity));
	g_strlcpy(capacity->service, service, sizeof(capacity->service));
	capacity->tokens_per_ms = PRIOR_TOKENS_PER_MS;
	capacity->call_ms = PRIOR_CALL_MS;
}

/* Moves an estimate towards a value; ratios count, not differences. */
static double moved(double estimate, double value, double weight)
{
	double ratio = log(value / estimate);

	return estimate *
	       exp(CLAMP(ratio, -LOG_RATIO_MAX, LOG_RATIO_MAX) * weight);
}

static double current_log_factor(const target_speed_t *speed, int64_t now)
{
	double age = (double)(now - speed->updated_at);

	return speed->log_factor * exp2(-age / SPEED_HALF_LIFE_US);
}

void capacity_add_prompt(capacity_t *capacity, target_speed_t *speed,
			 int64_t tokens, int64_t elapsed_us, int64_t now)
{
	double elapsed_ms = (double)elapsed_us / USEC_PER_MSEC_F;
	double rate, factor;

	if (tokens < PROMPT_TOKENS_MIN)
		return;
	rate = (double)tokens / MAX(elapsed_ms - FIRST_BYTE_OVERHEAD_MS, 1.0);
	rate = CLAMP(rate, TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX);
	factor = current_log_factor(speed, now);
	factor += SPEED_WEIGHT * (log(rate / capacity->tokens_per_ms) - factor);
	speed->log_factor = CLAMP(factor, -SPEED_LOG_MAX, SPEED_LOG_MAX);
	speed->updated_at = now;
	capacity->tokens_per_ms = moved(
		capacity->tokens_per_ms, rate,
		rate > capacity->tokens_per_ms ? WEIGHT_FAST : WEIGHT_SLOW);
}

void capacity_add_call(capacity_t *capacity, int64_t elapsed_us)
{
	double elapsed_ms = (double)elapsed_us / USEC_PER_MSEC_F;

	elapsed_ms = CLAMP(elapsed_ms, CALL_MS_MIN, CALL_MS_MAX);
	capacity->call_ms = moved(capacity->call_ms, elapsed_ms,
				  elapsed_ms < capacity->call_ms ? WEIGHT_FAST
								 : WEIGHT_SLOW);
}

double capacity_tokens_per_ms(const capacity_t *capacity,
			      const target_speed_t *speed, int64_t now)
{
	double rate =
		capacity->tokens_per_ms * exp(current_log_factor(speed, now));

	return CLAMP(rate, TOKENS_PER_MS_MIN, TOKENS_PER_MS_MAX);
}
