/*
 * What a service's completed work tells about the next: real tokens in
 * proportion to the worst case, time per token, time to the first byte.
 */
#ifndef ROUTE_ESTIMATE_H
#define ROUTE_ESTIMATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Four classes for each doubling of the size. */
#define SIZE_CLASSES 128

typedef struct mean_t {
	double value;
	uint32_t samples;
} mean_t;

typedef struct estimate_t {
	mean_t ratio[SIZE_CLASSES]; /* real to worst-case tokens */
	mean_t us_per_token; /* after the first byte */
	mean_t first_byte; /* us */
	double first_byte_p95; /* us, 0: nothing is known */
} estimate_t;

/* Moving mean: the plain mean at first, later the last 1/weight samples. */
void mean_add(mean_t *mean, double sample, double weight);

uint32_t estimate_size_class(int64_t tokens);
int64_t estimate_tokens(const estimate_t *estimate, int64_t worst_tokens);

/* Expected time on a target in us, 0 while nothing is known. */
int64_t estimate_duration(const estimate_t *estimate, int64_t tokens);

void estimate_add_first_byte(estimate_t *estimate, int64_t us);
void estimate_add_completed(estimate_t *estimate, int64_t worst_tokens,
			    int64_t actual_tokens, int64_t duration_us,
			    int64_t first_byte_us);

G_END_DECLS

#endif
