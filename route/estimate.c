#include "route/estimate.h"

#define MEAN_WEIGHT 0.02
/* Samples are clipped at this multiple of the mean to limit single outliers. */
#define SAMPLE_CLIP_FACTOR 8.0
/* Steps up and down cancel out when 1 in 20 samples is above the p95. */
#define P95_STEP_UP 0.095
#define P95_STEP_DOWN 0.005

void mean_add(mean_t *mean, double sample, double weight)
{
	if (mean->samples < G_MAXUINT32)
		mean->samples++;
	weight = MAX(weight, 1.0 / mean->samples);
	mean->value += weight * (sample - mean->value);
}

static void mean_add_clipped(mean_t *mean, double sample)
{
	if (mean->samples > 0 && mean->value > 0)
		sample = MIN(sample, mean->value * SAMPLE_CLIP_FACTOR);
	mean_add(mean, sample, MEAN_WEIGHT);
}

uint32_t estimate_size_class(int64_t tokens)
{
	uint32_t doublings = 0;

	while (tokens >= 8) {
		tokens >>= 1;
		doublings++;
	}
	return MIN(4 * doublings + (uint32_t)MAX(tokens, 0), SIZE_CLASSES - 1);
}

int64_t estimate_tokens(const estimate_t *estimate, int64_t worst_tokens)
{
	int class = (int)estimate_size_class(worst_tokens);

	/* Uses the nearest size class that has samples. */
	for (int d = 0; d < SIZE_CLASSES; d++) {
		if (class - d >= 0 && estimate->ratio[class - d].samples > 0)
			return MAX(1,
				   (int64_t)((double)worst_tokens *
					     estimate->ratio[class - d].value));
		if (class + d < SIZE_CLASSES &&
		    estimate->ratio[class + d].samples > 0)
			return MAX(1,
				   (int64_t)((double)worst_tokens *
					     estimate->ratio[class + d].value));
	}
	return MAX(worst_tokens, 1);
}

int64_t estimate_duration(const estimate_t *estimate, int64_t tokens)
{
	return (int64_t)(estimate->first_byte.value +
			 estimate->us_per_token.value * (double)tokens);
}

void estimate_add_first_byte(estimate_t *estimate, int64_t us)
{
	double sample = (double)MAX(us, 1);

	mean_add_clipped(&estimate->first_byte, sample);
	if (estimate->first_byte_p95 <= 0)
		estimate->first_byte_p95 = 2 * sample;
	else if (sample > estimate->first_byte_p95)
		estimate->first_byte_p95 *= 1 + P95_STEP_UP;
	else
		estimate->first_byte_p95 *= 1 - P95_STEP_DOWN;
}

void estimate_add_completed(estimate_t *estimate, int64_t worst_tokens,
			    int64_t actual_tokens, int64_t duration_us,
			    int64_t first_byte_us)
{
	double ratio = (double)actual_tokens / (double)MAX(worst_tokens, 1);

	if (actual_tokens <= 0)
		return;
	mean_add(&estimate->ratio[estimate_size_class(worst_tokens)],
		 CLAMP(ratio, 0, 1), MEAN_WEIGHT);
	mean_add_clipped(&estimate->us_per_token,
			 (double)MAX(duration_us - first_byte_us, 0) /
				 (double)actual_tokens);
}
