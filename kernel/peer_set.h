/*
 * The connected peers, for services that choose among them.
 */
#ifndef KERNEL_PEER_SET_H
#define KERNEL_PEER_SET_H

#include "kernel/msg.h"

G_BEGIN_DECLS

/*
 * Peers from which on a fleet is large: what each instance does for itself in
 * a small one is then done by some for their availability zone.  Between 7
 * instances, whose calls the store takes with ease, and 64, whose calls cost
 * more than they earn; sizes in between are not measured.
 */
#define LARGE_FLEET_PEERS 16

typedef struct peer_ref_t {
	char incarnation[INCARNATION_SIZE];
	char availability_zone[NAME_SIZE];
} peer_ref_t;

typedef struct peer_set_t {
	GArray *peers; /* peer_ref_t, sorted by incarnation */
} peer_set_t;

void peer_set_init(peer_set_t *set);
void peer_set_finish(peer_set_t *set);
/* Takes in MSG_PEER_UP or MSG_PEER_DOWN. */
void peer_set_update(peer_set_t *set, const msg_t *msg);

guint peer_set_count(const peer_set_t *set);
const peer_ref_t *peer_set_at(const peer_set_t *set, guint i);
bool peer_set_is_large(const peer_set_t *set);
/* Peers of one availability zone. */
uint32_t peer_set_count_in_zone(const peer_set_t *set, const char *zone);

G_END_DECLS

#endif
