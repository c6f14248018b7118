/*
 * A stream is one request in progress.  It turns the reply messages of
 * "request" into an HTTP response and watches the caller's connection.
 */
#ifndef FRONT_STREAM_H
#define FRONT_STREAM_H

#include "front/front.h"

G_BEGIN_DECLS

typedef struct stream_t {
	front_t *front;
	handle_t self;
	handle_t request; /* handle at "request", from MSG_REQ_STARTED on */
	SoupServerMessage *msg; /* NULL after the response or a disconnect */
	GSource *watch; /* detects the caller's disconnect */
	char request_id[INCARNATION_SIZE];
	char key_hash[HASH_SIZE];
	uint64_t unsent; /* response bytes not yet written to the connection */
	bool ended; /* "request" sends nothing more */
	bool cancel_sent; /* MSG_REQ_CANCEL was sent */
	bool head_set; /* status and headers are set */
	bool head_sent; /* the head was passed to libsoup */
	bool sse; /* server-sent events */
	bool paused; /* MSG_REQ_PAUSE was sent */
} stream_t;

/* Opens a stream and passes spec to "request" with MSG_REQ_OPEN. */
void stream_open(front_t *front, SoupServerMessage *msg, request_spec_t *spec);
/* Handles a message whose ref is a stream; ignores a stale ref. */
void stream_recv(front_t *front, msg_t *msg);
/* Watches the callers of all streams that are not yet watched. */
void stream_watch_all(front_t *front);
/* Frees a stream without notifying "request". */
void stream_free(stream_t *stream);

/* Sets the response of msg to a refusal.  detail may be NULL. */
void stream_refuse(front_t *front, SoupServerMessage *msg,
		   const char *request_id, refusal_t reason, run_state_t run,
		   uint32_t retry_after_s, const char *detail);

/* Refuses a request whose body was not read completely. */
void front_refuse_unread(front_t *front, SoupServerMessage *msg,
			 refusal_t reason);
/* Sends MSG_STOPPED if the stop has settled and no stream is left. */
void front_check_stopped(front_t *front);

G_END_DECLS

#endif
