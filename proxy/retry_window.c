#include "proxy/retry_window.h"

#include <string.h>

/*
 * Share of the budget that is used.  The rest is a margin, because the windows
 * of the instances are not aligned and requests reach the instances unevenly.
 */
#define USED_SHARE 0.75

typedef struct retry_slot_t {
	int64_t index; /* monotonic time, in slots */
	uint32_t requests;
	uint32_t retries;
} retry_slot_t;

typedef struct service_retries_t {
	retry_slot_t slots[RETRY_WINDOW_SLOTS];
} service_retries_t;

void retry_window_init(retry_window_t *window, const retry_limits_t *limits)
{
	window->limits = *limits;
	window->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void retry_window_finish(retry_window_t *window)
{
	g_hash_table_unref(window->services);
}

static service_retries_t *find_service(retry_window_t *window, const char *name)
{
	service_retries_t *service =
		g_hash_table_lookup(window->services, name);

	if (service == NULL) {
		service = g_new0(service_retries_t, 1);
		g_hash_table_insert(window->services, g_strdup(name), service);
	}
	return service;
}

static int64_t slot_index(const retry_window_t *window, int64_t now)
{
	return now / MAX(window->limits.window_us / RETRY_WINDOW_SLOTS, 1);
}

static retry_slot_t *current_slot(retry_window_t *window, const char *name,
				  int64_t now)
{
	service_retries_t *service = find_service(window, name);
	int64_t index = slot_index(window, now);
	retry_slot_t *slot = &service->slots[index % RETRY_WINDOW_SLOTS];

	if (slot->index != index)
		*slot = (retry_slot_t){.index = index};
	return slot;
}

void retry_window_add_request(retry_window_t *window, const char *service,
			      int64_t now)
{
	current_slot(window, service, now)->requests++;
}

bool retry_window_take(retry_window_t *window, const char *service,
		       uint32_t instances, int64_t now)
{
	retry_slot_t *slot = current_slot(window, service, now);
	const service_retries_t *counts = find_service(window, service);
	uint32_t requests = 0, retries = 0;
	double allowed;

	for (int i = 0; i < RETRY_WINDOW_SLOTS; i++) {
		if (slot->index - counts->slots[i].index >= RETRY_WINDOW_SLOTS)
			continue;
		requests += counts->slots[i].requests;
		retries += counts->slots[i].retries;
	}
	allowed = USED_SHARE * (window->limits.ratio * requests +
				window->limits.slack / MAX(instances, 1));
	if (retries + 1 > allowed)
		return false;
	slot->retries++;
	return true;
}
