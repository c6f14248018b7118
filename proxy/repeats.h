/*
 * This instance's share of the fleet's retry budget: over a sliding window
 * the requests sent again to a service are bounded by a ratio of its requests
 * and a number that all instances share.
 */
#ifndef PROXY_REPEATS_H
#define PROXY_REPEATS_H

#include "kernel/record.h"

G_BEGIN_DECLS

#define REPEATS_SLOTS 20 /* parts of the window */

typedef struct repeats_limits_t {
	double ratio; /* repeats for each request */
	uint32_t slack; /* repeats of the whole fleet beside */
	int64_t window_us;
} repeats_limits_t;

typedef struct repeats_t {
	repeats_limits_t limits;
	GHashTable *services; /* name -> service_repeats_t */
} repeats_t;

void repeats_init(repeats_t *repeats, const repeats_limits_t *limits);
void repeats_finish(repeats_t *repeats);

void repeats_request(repeats_t *repeats, const char *service, int64_t now);
/* True when one more repeat is allowed, which is then counted. */
bool repeats_take(repeats_t *repeats, const char *service, uint32_t instances,
		  int64_t now);

G_END_DECLS

#endif
