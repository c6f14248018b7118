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

/*
 * Wraps a connection.  The stream owns base, which may be the socket's
 * connection or a TLS connection on top of it.
 */
GIOStream *caller_new(GIOStream *base, GSocket *socket);
/* Hands the connection to a server, which keeps it. */
bool caller_accept(SoupServer *server, GIOStream *caller, GSocket *socket);

/* The socket of a message's connection; not a new reference. */
GSocket *caller_socket(SoupServerMessage *msg);
/* No request is in progress from now until the next byte. */
void caller_set_idle(SoupServerMessage *msg);
/* The input has ended; a request read from now on is not the caller's. */
bool caller_has_ended(SoupServerMessage *msg);

G_END_DECLS

#endif
