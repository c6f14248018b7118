/*
 * Command "gateway": starts the services of a gateway in one kernel and stops
 * them in order.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <glib.h>

G_BEGIN_DECLS

/* "gateway -f SETTINGS": runs until a stop signal, returns the exit code. */
int gateway_main(int argc, char **argv);

G_END_DECLS

#endif
