/*
 * This instance's share of the fleet's retry budget.  Over a sliding window,
 * the retries of a service are limited to a ratio of its requests plus this
 * instance's part of a number that all instances share.
 */
#ifndef PROXY_RETRY_WINDOW_H
#define PROXY_RETRY_WINDOW_H

#include "kernel/record.h"

G_BEGIN_DECLS

#define RETRY_WINDOW_SLOTS 20

typedef struct retry_limits_t {
	double ratio; /* retries per request */
	double slack; /* additional retries of the whole fleet */
	int64_t window_us;
} retry_limits_t;

typedef struct retry_window_t {
	retry_limits_t limits;
	GHashTable *services; /* name -> service_retries_t */
} retry_window_t;

void retry_window_init(retry_window_t *window, const retry_limits_t *limits);
void retry_window_finish(retry_window_t *window);

void retry_window_add_request(retry_window_t *window, const char *service,
			      int64_t now);
/* Returns whether one more retry is allowed, and counts it if it is. */
bool retry_window_take(retry_window_t *window, const char *service,
		       uint32_t instances, int64_t now);

G_END_DECLS

#endif
