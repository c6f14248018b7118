/*
 * Orders to targets: sends a POST to /orders and reduces the response to one
 * MSG_ORDER_RESULT.
 */
#ifndef DISPATCH_ORDER_H
#define DISPATCH_ORDER_H

#include "dispatch/call.h"

G_BEGIN_DECLS

/* Starts a call for MSG_ORDER_SEND. */
void order_open(dispatch_t *dispatch, const msg_t *msg);
/* Returns true for an order that must no longer be sent. */
bool order_send_expired(const call_t *call);
/*
 * Handles a message that the call of an order would otherwise send to its
 * owner, and reduces the last message to a MSG_ORDER_RESULT for the owner.
 */
void order_recv(call_t *call, msg_t *msg);

G_END_DECLS

#endif
