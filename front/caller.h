/*
 * A caller's connection as the HTTP server reads it.  libsoup 3.2 keeps a
 * connection for ever when its caller closes it between two requests, so the
 * end of the input is then told as a last request that the front refuses
 * with "Connection: close".
 */
#ifndef FRONT_CALLER_H
#define FRONT_CALLER_H

#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef enum caller_phase_t {
	CALLER_NEW, /* nothing was read yet */
	CALLER_IDLE, /* between two requests */
	CALLER_HEAD,
	CALLER_BODY,
	CALLER_BUSY, /* the request is being answered */
	CALLER_EXPIRED,
} caller_phase_t;

typedef struct caller_timeouts_t {
	int64_t head_us; /* the whole head; the first byte of a connection */
	int64_t body_us; /* silence within a body */
	int64_t idle_us; /* between two requests */
} caller_timeouts_t;

/*
 * Wraps a connection.  The stream owns base, which may be the socket's
 * connection or a TLS connection on top of it.
 */
GIOStream *caller_new(GIOStream *base, GSocket *socket);
/* Hands the connection to a server, which keeps it. */
bool caller_accept(SoupServer *server, GIOStream *caller, GSocket *socket);

/* The socket of a message's connection; not a new reference. */
GSocket *caller_socket(SoupServerMessage *msg);
void caller_set_phase(SoupServerMessage *msg, caller_phase_t phase);
/* The input has ended; a request read from now on is not the caller's. */
bool caller_at_eof(SoupServerMessage *msg);

/*
 * Ends a connection that has been too long in its phase, with status 408
 * where a request was begun.  Called at intervals, which are the resolution
 * of the timeouts, so that reads need no clock.
 */
void caller_check_timeout(GIOStream *caller, int64_t now,
			  const caller_timeouts_t *timeouts);

G_END_DECLS

#endif
