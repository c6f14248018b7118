/*
 * One request in progress: turns the reply messages of "request" into an HTTP
 * answer and watches the caller's connection.
 */
#ifndef FRONT_STREAM_H
#define FRONT_STREAM_H

#include "front/front.h"

G_BEGIN_DECLS

typedef struct stream_t {
	front_t *front;
	handle_t self;
	handle_t request; /* the request's handle, once it has started */
	SoupServerMessage *msg; /* NULL once the answer or caller is gone */
	GSource *watch; /* of the caller's disconnect */
	char request_id[INCARNATION_SIZE];
	char key_hash[HASH_SIZE];
	uint64_t unsent; /* bytes taken over and not yet written */
	bool ended; /* "request" sends nothing more */
	bool cancel_sent;
	bool head_set; /* status and headers are set */
	bool head_sent; /* the head was handed to the HTTP server */
	bool sse;
	bool paused; /* MSG_REQ_PAUSE was sent */
} stream_t;

/* Takes over spec and sends MSG_REQ_OPEN. */
void stream_open(front_t *front, SoupServerMessage *msg, request_spec_t *spec);
/* Handles a message whose ref is a stream; a stale ref is ignored. */
void stream_recv(front_t *front, msg_t *msg);
/* Watches the callers of the streams that were opened since the last time. */
void stream_watch_all(front_t *front);
/* Releases a stream without telling "request". */
void stream_free(stream_t *stream);

/* Answers a request with a refusal.  detail may be NULL. */
void stream_refuse(front_t *front, SoupServerMessage *msg,
		   const char *request_id, refusal_t reason, run_state_t run,
		   uint32_t retry_after_s, const char *detail);

/* Sends MSG_STOPPED when stopping and nothing is in progress. */
void front_check_stopped(front_t *front);

G_END_DECLS

#endif
