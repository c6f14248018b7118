/*
 * Exchange of store changes between the replicas of a fleet.  In a large fleet
 * one instance reads and pushes the changes to the relays of all availability
 * zones, which pass them on to their followers.  A replica that lacks changes
 * pulls them from a peer.
 */
#ifndef REPLICA_RELAY_H
#define REPLICA_RELAY_H

#include "replica/replica.h"

G_BEGIN_DECLS

/*
 * True if this instance reads from the store regularly: always in a small
 * fleet, and in a large one as its reader.
 */
bool replica_reads_store(const replica_t *replica);
/* True while changes are pushed to this instance. */
bool replica_relay_active(const replica_t *replica);
/* Time until the lack of pushes makes this instance read, us. */
int64_t replica_relay_expires_in(const replica_t *replica);
/* Time between two reads while the store does not respond, us. */
int64_t replica_outage_retry(const replica_t *replica);
/* After a read of the store: pushes the changes since the last push. */
void replica_push_changes(replica_t *replica);
/* After changes were pushed to a relay: passes them on to its followers. */
void replica_forward_changes(replica_t *replica);
/* Asks the next peer, in turn, for changes that this instance lacks. */
void replica_pull_next_peer(replica_t *replica);
/* Schedules a read from the store, even while readers push all changes. */
void replica_request_read(replica_t *replica);
/* A change up to this revision exists that pushes do not bring. */
void replica_set_missing(replica_t *replica, int64_t revision);
void replica_peer_received(replica_t *replica, msg_t *msg);

G_END_DECLS

#endif
