/*
 * The listening socket of the front and the connections accepted from it.
 */
#ifndef FRONT_LISTEN_H
#define FRONT_LISTEN_H

#include "front/front.h"

G_BEGIN_DECLS

/* Accepts connections again after an error that has no event of its end. */
void listen_resume(front_t *front);
/* Closes the listening socket; accepted connections go on. */
void listen_close(front_t *front);

G_END_DECLS

#endif
