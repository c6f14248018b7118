/*
 * The listening socket of the front and the connections that it accepts.
 */
#ifndef FRONT_LISTEN_H
#define FRONT_LISTEN_H

#include "front/front.h"

G_BEGIN_DECLS

typedef struct connection_t {
	front_connections_t *connections;
	handle_t self;
	GIOStream *caller; /* stream whose finalization frees this entry */
} connection_t;

/*
 * Starts to accept connections.  After a failed accept(), a timer calls this
 * function, because no event reports when the cause of the failure has ended.
 */
void listen_resume(front_t *front);
/* Closes the connections that have exceeded a timeout. */
void listen_check_timeouts(front_t *front);
/* Drops a reference; the last one frees the table of connections. */
void front_connections_unref(front_connections_t *connections);
/* Accepts the established connections, then closes the listening socket. */
void listen_drain(front_t *front);
/* Closes the listening socket; accepted connections stay open. */
void listen_close(front_t *front);

G_END_DECLS

#endif
