/*
 * `tanagertrestle gateway`: wires the services of a gateway together and
 * stops them in order.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <glib.h>

G_BEGIN_DECLS

int gateway_main(int argc, char **argv);

G_END_DECLS

#endif
