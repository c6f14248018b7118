/*
 * The listening socket of the front and the connections accepted from it.
 */
#ifndef FRONT_LISTEN_H
#define FRONT_LISTEN_H

#include "front/front.h"

G_BEGIN_DECLS

typedef struct connection_t {
	front_connections_t *connections;
	handle_t self;
	GIOStream *caller; /* owns this entry */
} connection_t;

/* Accepts connections again after an error that has no event of its end. */
void listen_resume(front_t *front);
/* Ends the connections whose callers are silent or too slow. */
void listen_check_timeouts(front_t *front);
/* The last reference releases the table of connections. */
void front_connections_unref(front_connections_t *connections);
/* Closes the listening socket; accepted connections go on. */
void listen_close(front_t *front);

G_END_DECLS

#endif
