/*
 * One request to one target, from the connection to the last byte.
 */
#ifndef DISPATCH_CALL_H
#define DISPATCH_CALL_H

#include "dispatch/dispatch.h"
#include "dispatch/tokens.h"

G_BEGIN_DECLS

typedef struct call_t {
	dispatch_t *dispatch;
	handle_t self;
	svc_t owner; /* the service that sent MSG_SEND */
	handle_t owner_ref; /* its handle */
	SoupMessage *msg;
	GCancellable *cancellable;
	GInputStream *stream; /* NULL before the head */
	GSocket *socket; /* of the connection, once known */
	handle_t timer;
	char host[HOST_SIZE];
	uint16_t port;
	bool is_model;
	bool pending; /* an asynchronous operation is in progress */
	bool started; /* bytes may have been sent */
	bool ended; /* the last message was sent to the owner */
	bool discard; /* the body is read only to keep the connection */
	bool paused;
	SoupEncoding encoding; /* how the answer ends */
	uint32_t discarded; /* bytes */
	int64_t first_byte_timeout_us;
	int64_t idle_timeout_us;
	int64_t deadline; /* monotonic, us */
	int64_t last_progress; /* monotonic, us, of the last progress */
	tokens_t tokens;
	bool is_order; /* opened by MSG_ORDER_SEND */
	uint32_t order_status; /* HTTP, of an order's answer */
	int64_t send_before; /* monotonic, us, of an order */
} call_t;

/* Starts a call for a MSG_SEND. */
void call_open(dispatch_t *dispatch, const msg_t *msg);
/* The same for an order, of which nothing is sent at or after a time. */
void call_open_order(dispatch_t *dispatch, const msg_t *msg,
		     int64_t send_before);
/* Handles a message whose ref is a call; a stale ref is ignored. */
void call_recv(dispatch_t *dispatch, const msg_t *msg);
/* Drops a call without telling its owner. */
void call_abort(call_t *call);

G_END_DECLS

#endif
