/*
 * A caller's connection as an I/O stream for libsoup.  libsoup 3.2 never
 * releases a connection that the caller closes between two requests.  At such
 * an end of input, the stream therefore returns a synthetic request, which the
 * front refuses with "Connection: close".
 */
#ifndef FRONT_CALLER_H
#define FRONT_CALLER_H

#include "kernel/windows.h"

#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef enum caller_phase_t {
	CALLER_NEW, /* no byte was read yet */
	CALLER_IDLE, /* between two requests */
	CALLER_HEAD,
	CALLER_BODY,
	CALLER_BUSY, /* the request was read; the response is not complete */
	CALLER_EXPIRED, /* a timeout has passed */
} caller_phase_t;

typedef struct caller_timeouts_t {
	int64_t head_us; /* until the first byte, then until the head's end */
	int64_t body_us; /* between two reads of a body */
	int64_t whole_body_us; /* from the head to the end of the body */
	int64_t idle_us; /* between two requests */
} caller_timeouts_t;

/*
 * Wraps a connection.  The stream owns base, which is the socket's connection
 * or a TLS connection on top of it.  The windows are those of the process, and
 * outlive the stream.
 */
GIOStream *caller_new(GIOStream *base, GSocket *socket, windows_t *windows);
/* Passes the connection to the server, which keeps a reference. */
bool caller_accept(SoupServer *server, GIOStream *caller, GSocket *socket);

/* Returns the socket of a message's connection without a new reference. */
GSocket *caller_socket(SoupServerMessage *msg);
void caller_set_phase(SoupServerMessage *msg, caller_phase_t phase);
/* True after the end of input; a request read from then on is synthetic. */
bool caller_at_eof(SoupServerMessage *msg);

/*
 * Closes a connection that has exceeded the timeout of its phase, with status
 * 408 if a request has begun.  The front calls this at regular intervals, which
 * are the resolution of the timeouts, so that reads need no clock.
 */
void caller_check_timeout(GIOStream *caller, int64_t now,
			  const caller_timeouts_t *timeouts);

G_END_DECLS

#endif
