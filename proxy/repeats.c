#include "proxy/repeats.h"

#include <string.h>

/*
 * Part of the budget that is used: windows of instances are not aligned, and
 * requests arrive at instances unevenly.
 */
#define USED_PART 0.75

typedef struct repeats_slot_t {
	int64_t number; /* of the time since the start, in slots */
	uint32_t requests;
	uint32_t repeats;
} repeats_slot_t;

typedef struct service_repeats_t {
	repeats_slot_t slots[REPEATS_SLOTS];
} service_repeats_t;

void repeats_init(repeats_t *repeats, const repeats_limits_t *limits)
{
	repeats->limits = *limits;
	repeats->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void repeats_finish(repeats_t *repeats)
{
	g_hash_table_unref(repeats->services);
}

static service_repeats_t *find(repeats_t *repeats, const char *name)
{
	service_repeats_t *service =
		g_hash_table_lookup(repeats->services, name);

	if (service == NULL) {
		service = g_new0(service_repeats_t, 1);
		g_hash_table_insert(repeats->services, g_strdup(name), service);
	}
	return service;
}

static int64_t slot_number(const repeats_t *repeats, int64_t now)
{
	return now / MAX(repeats->limits.window_us / REPEATS_SLOTS, 1);
}

static repeats_slot_t *current(repeats_t *repeats, const char *name,
			       int64_t now)
{
	service_repeats_t *service = find(repeats, name);
	int64_t number = slot_number(repeats, now);
	repeats_slot_t *slot = &service->slots[number % REPEATS_SLOTS];

	if (slot->number != number)
		*slot = (repeats_slot_t){.number = number};
	return slot;
}

void repeats_request(repeats_t *repeats, const char *service, int64_t now)
{
	current(repeats, service, now)->requests++;
}

bool repeats_take(repeats_t *repeats, const char *service, uint32_t instances,
		  int64_t now)
{
	repeats_slot_t *slot = current(repeats, service, now);
	const service_repeats_t *of = find(repeats, service);
	uint32_t requests = 0, taken = 0;
	double allowed;

	for (int i = 0; i < REPEATS_SLOTS; i++) {
		if (slot->number - of->slots[i].number >= REPEATS_SLOTS)
			continue;
		requests += of->slots[i].requests;
		taken += of->slots[i].repeats;
	}
	allowed =
		USED_PART * (repeats->limits.ratio * requests +
			     (double)repeats->limits.slack / MAX(instances, 1));
	if (taken + 1 > allowed)
		return false;
	slot->repeats++;
	return true;
}
