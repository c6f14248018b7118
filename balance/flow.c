#include "balance/flow.h"

#include <math.h>

#define MEMORY_US (1.0 * USEC_PER_SEC) /* older placements hardly count */
#define RATE_MIN 1.0 /* lowest rate that is assumed, requests a second */

#define KNOWN_MIN 0.001 /* avoids a division by 0 */

typedef struct flow_t {
	double rate; /* requests a second */
	int64_t at; /* monotonic, us; when the rate was up to date */
	int64_t since; /* monotonic, us; first request after a pause */
} flow_t;

void flows_init(balance_t *balance)
{
	balance->flows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void flows_finish(balance_t *balance)
{
	g_hash_table_unref(balance->flows);
}

/* Returns the flow as it is now. */
static flow_t current_flow(const balance_t *balance, const char *service)
{
	const flow_t *known = g_hash_table_lookup(balance->flows, service);
	int64_t now = kernel_now(balance->kernel);
	flow_t flow = {0};

	if (known != NULL)
		flow = *known;
	flow.rate *= exp(-(double)(now - flow.at) / MEMORY_US);
	if (flow.rate < RATE_MIN)
		flow.since = now;
	flow.at = now;
	return flow;
}

void flow_add(balance_t *balance, const char *service)
{
	flow_t *flow = g_hash_table_lookup(balance->flows, service);

	if (flow == NULL) {
		flow = g_new0(flow_t, 1);
		g_hash_table_insert(balance->flows, g_strdup(service), flow);
	}
	*flow = current_flow(balance, service);
	flow->rate += (double)USEC_PER_SEC / MEMORY_US;
}

int64_t flow_time(const balance_t *balance, const char *service,
		  uint32_t requests)
{
	flow_t flow = current_flow(balance, service);
	/* What came before the first request must not lower the rate. */
	double known = 1.0 - exp(-(double)(flow.at - flow.since) / MEMORY_US);
	double rate = MAX(flow.rate, RATE_MIN) / MAX(known, KNOWN_MIN);

	return (int64_t)(requests / rate * (double)USEC_PER_SEC);
}
