/*
 * Service "fleet": keeps the configuration in force, the targets that the
 * platform lists, the zones that are evacuated and the number of instances, and
 * publishes them to its subscribers.  A configuration is replaced only by a
 * newer version, or by another document of the same version.
 */
#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

#define FLEET_SUBSCRIBERS_MAX 8

typedef struct fleet_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t subscribers[FLEET_SUBSCRIBERS_MAX];
	uint32_t subscriber_count;
	fleet_conf_t *conf; /* NULL until one is received */
	GHashTable *targets; /* id -> known_target_t */
	GHashTable *evacuations; /* zone -> evacuation_t */
	bool store_up;
	bool behind; /* a newer configuration has not arrived yet */
	/* Last recovery or restore, monotonic, us. */
	int64_t store_up_since;
	int64_t store_era; /* increases with each restore */
	uint32_t instances;
	handle_t removal_timer; /* applies the pending removals */
} fleet_t;

void fleet_init(fleet_t *fleet, kernel_t *kernel);
void fleet_finish(fleet_t *fleet);

G_END_DECLS

#endif
