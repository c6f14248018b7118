/*
 * Set of the connected peers, for services that choose among them.
 */
#ifndef KERNEL_PEER_SET_H
#define KERNEL_PEER_SET_H

#include "kernel/msg.h"

G_BEGIN_DECLS

/*
 * Number of peers from which a fleet is large.  In a large fleet, some
 * instances act for their availability zone where otherwise each instance acts
 * for itself: the store copes easily with the calls of 7 instances, but those
 * of 64 cost more than they gain.
 */
#define LARGE_FLEET_PEERS 16

typedef struct peer_ref_t {
	char incarnation[INCARNATION_SIZE];
	char availability_zone[NAME_SIZE];
	bool takes_patches; /* a configuration may be left out */
} peer_ref_t;

typedef struct peer_set_t {
	GArray *peers; /* peer_ref_t, sorted by incarnation */
} peer_set_t;

void peer_set_init(peer_set_t *set);
void peer_set_finish(peer_set_t *set);
/* Applies MSG_PEER_UP or MSG_PEER_DOWN. */
void peer_set_update(peer_set_t *set, const msg_t *msg);

guint peer_set_count(const peer_set_t *set);
const peer_ref_t *peer_set_at(const peer_set_t *set, guint i);
/* Returns NULL if the peer is not connected. */
const peer_ref_t *peer_set_find(const peer_set_t *set, const char *incarnation);
bool peer_set_is_large(const peer_set_t *set);
/* Returns the number of peers in an availability zone. */
uint32_t peer_set_count_in_zone(const peer_set_t *set, const char *zone);

/*
 * Chooses the peers that are preferred for an item by rendezvous hashing, the
 * first one first.  Returns their number, at most max and PEERS_PREFERRED_MAX.
 */
#define PEERS_PREFERRED_MAX 8
guint peer_set_prefer(const peer_set_t *set, const char *item,
		      const char *chosen[], guint max);

G_END_DECLS

#endif
