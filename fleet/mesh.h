/*
 * Service "member" of the gateway: discovers the other instances through
 * seeds and gossip and counts them.  The store holds nothing about them.
 */
#ifndef FLEET_MESH_H
#define FLEET_MESH_H

#include "kernel/kernel.h"
#include "settings/settings.h"

G_BEGIN_DECLS

typedef struct mesh_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t peer;
	svc_t fleet;
	member_info_t self;
	setting_list_t seeds;
	GHashTable *members; /* HOST:PORT -> mesh_member_t */
	uint32_t instances; /* number last sent to "fleet" */
} mesh_t;

void mesh_init(mesh_t *mesh, kernel_t *kernel, const member_info_t *self,
	       const setting_list_t *seeds);
void mesh_finish(mesh_t *mesh);

G_END_DECLS

#endif
