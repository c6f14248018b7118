/*
 * Commands "router" and "check": starts the services of a router in one kernel
 * and stops them in order, or only checks the settings.
 */
#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H

#include <glib.h>

G_BEGIN_DECLS

/* "router -f SETTINGS": runs until SIGTERM or SIGINT, returns the exit code. */
int router_main(int argc, char **argv);

/* "check SETTINGS": checks the settings file and starts nothing. */
int router_check_main(int argc, char **argv);

G_END_DECLS

#endif
