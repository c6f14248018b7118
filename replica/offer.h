/*
 * Offers of the configuration between peers.  A restored store may hold an
 * older version than the fleet, and an instance that starts then reads that one
 * only.  Peers tell each other their versions when they connect and when the
 * store turns out to hold an older one; whoever has a lower version asks for
 * the other.
 */
#ifndef REPLICA_OFFER_H
#define REPLICA_OFFER_H

#include "replica/entry.h"
#include "replica/replica.h"

G_BEGIN_DECLS

/* Returns the entry of the configuration, or NULL if none is known. */
const replica_entry_t *replica_find_conf(const replica_t *replica);
/* Tells a peer, or all peers if incarnation is empty, the known version. */
void replica_offer_conf(replica_t *replica, const char *incarnation);
/* After a listing: tells all peers if the store holds an older version. */
void replica_offer_lost_conf(replica_t *replica);
/* After all keys were read: asks for a higher version that was offered. */
void replica_check_offer(replica_t *replica);
void replica_offer_received(replica_t *replica, const msg_t *msg);
/* Sends the configuration to a peer that has asked for it. */
void replica_conf_requested(replica_t *replica, const msg_t *msg);

G_END_DECLS

#endif
