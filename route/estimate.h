/*
 * Estimates for the requests of a service, learned from completed ones: the
 * ratio of actual to worst-case tokens, time per token, time to first byte.
 */
#ifndef ROUTE_ESTIMATE_H
#define ROUTE_ESTIMATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Size classes for token counts, four for each power of two. */
#define SIZE_CLASSES 128

typedef struct mean_t {
	double value;
	uint32_t samples;
} mean_t;

typedef struct estimate_t {
	mean_t ratio[SIZE_CLASSES]; /* actual to worst-case tokens */
	mean_t us_per_token; /* time per token after the first byte */
	mean_t first_byte; /* us */
	double first_byte_p95; /* us, 0: no samples yet */
} estimate_t;

/*
 * Moving average: the arithmetic mean of the first 1/weight samples, then
 * exponentially weighted.
 */
void mean_add(mean_t *mean, double sample, double weight);

uint32_t estimate_size_class(int64_t tokens);
/* Returns the expected tokens of a request with the given worst case. */
int64_t estimate_tokens(const estimate_t *estimate, int64_t worst_tokens);

/* Returns the expected time on a target in us, or 0 without samples. */
int64_t estimate_duration(const estimate_t *estimate, int64_t tokens);

void estimate_add_first_byte(estimate_t *estimate, int64_t us);
void estimate_add_completed(estimate_t *estimate, int64_t worst_tokens,
			    int64_t actual_tokens, int64_t duration_us,
			    int64_t first_byte_us);

G_END_DECLS

#endif
