/*
 * Bodies of requests that are being read.  Their sum counts towards what the
 * process may hold for its callers; the largest one gives way.
 */
#ifndef FRONT_BODY_H
#define FRONT_BODY_H

#include "front/front.h"

G_BEGIN_DECLS

typedef struct body_t {
	front_t *front;
	handle_t self;
	SoupServerMessage *msg; /* frees this entry with itself */
	GByteArray *bytes; /* received so far */
	uint64_t received; /* bytes, also those that were dropped */
	size_t counted; /* in the process's buffers */
	bool dropped; /* the request is refused; the rest is not kept */
} body_t;

/* Starts to collect the body of a message whose head has arrived. */
void body_collect(front_t *front, SoupServerMessage *msg);
/* Frees what was received; what still comes is not kept. */
void body_drop(SoupServerMessage *msg);
/* Returns the size of what was received. */
size_t body_size(SoupServerMessage *msg);
/* Returns the body, which is empty if there is none. */
GBytes *body_take(SoupServerMessage *msg);
/* Refuses the requests with the largest bodies until enough is freed. */
void body_relieve(front_t *front);
/* Forgets the bodies of all messages, which may outlive the front. */
void body_finish(front_t *front);

G_END_DECLS

#endif
