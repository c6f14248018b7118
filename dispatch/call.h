/*
 * A call is one request to one target, from connecting to the last byte of the
 * response.
 */
#ifndef DISPATCH_CALL_H
#define DISPATCH_CALL_H

#include "dispatch/dispatch.h"
#include "dispatch/tokens.h"

G_BEGIN_DECLS

typedef struct call_t {
	dispatch_t *dispatch;
	handle_t self;
	svc_t owner; /* service that sent MSG_SEND or MSG_ORDER_SEND */
	handle_t owner_ref; /* handle that the owner gave with the message */
	SoupMessage *msg;
	GCancellable *cancellable;
	GInputStream *stream; /* response body; NULL before the head */
	GSocket *socket; /* socket of the connection; NULL until known */
	handle_t timer;
	char host[HOST_SIZE];
	uint16_t port;
	bool is_model; /* a model request: tokens are limited and counted */
	bool pending; /* an asynchronous operation is in progress */
	bool started; /* bytes of the request may have been sent */
	bool ended; /* the last message was sent to the owner */
	bool discard; /* the body is read only to reuse the connection */
	bool paused;
	SoupEncoding encoding; /* how the end of the response is found */
	uint64_t received; /* bytes of the body */
	uint32_t discarded; /* bytes of the body read and discarded */
	int64_t first_byte_timeout_us;
	int64_t idle_timeout_us;
	int64_t deadline; /* monotonic, us */
	int64_t last_progress; /* monotonic, us */
	tokens_t tokens;
	bool is_order; /* opened by MSG_ORDER_SEND */
	uint32_t order_status; /* HTTP status of the response to an order */
	int64_t send_before; /* monotonic, us; limit for sending an order */
} call_t;

/* Starts a call for MSG_SEND. */
void call_open(dispatch_t *dispatch, const msg_t *msg);
/*
 * Starts a call for an order, which is not sent at or after send_before
 * (monotonic, us).
 */
void call_open_order(dispatch_t *dispatch, const msg_t *msg,
		     int64_t send_before);
/* Handles a message whose ref is a call.  A stale ref is ignored. */
void call_recv(dispatch_t *dispatch, const msg_t *msg);
/* Sends a message about the call to its owner. */
void call_post(call_t *call, msg_t *msg);
/* Ends a call without a message to its owner. */
void call_abort(call_t *call);

G_END_DECLS

#endif
