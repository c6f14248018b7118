/*
 * Orders to targets: a POST to /orders whose answer is reduced to one
 * MSG_ORDER_RESULT.
 */
#ifndef DISPATCH_ORDER_H
#define DISPATCH_ORDER_H

#include "dispatch/call.h"

G_BEGIN_DECLS

/* Starts a call for a MSG_ORDER_SEND. */
void order_open(dispatch_t *dispatch, const msg_t *msg);
/* Whether the order's sender may no longer send it. */
bool order_send_expired(const call_t *call);
/* Takes what a call would tell its owner; the last one becomes the result. */
void order_recv(call_t *call, msg_t *msg);

G_END_DECLS

#endif
