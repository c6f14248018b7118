/*
 * What a replica sends its peers and hears from them.
 */
#ifndef REPLICA_RELAY_H
#define REPLICA_RELAY_H

#include "replica/replica.h"

G_BEGIN_DECLS

/* True if this instance reads from the store for itself, or for its zone. */
bool replica_reads_store(const replica_t *replica);
/* True while others of the zone pass on all changes. */
bool replica_relay_active(const replica_t *replica);
/* Passes on what has changed since the last time, if this one reads for all. */
void replica_push_changes(replica_t *replica);
/* Asks the next peer for what it has read since. */
void replica_pull_next_peer(replica_t *replica);
/* Has this instance read by itself although others pass changes on. */
void replica_request_read(replica_t *replica);
void replica_peer_received(replica_t *replica, msg_t *msg);

G_END_DECLS

#endif
