/*
 * Service "admin": an HTTP server on a separate address for health, readiness,
 * metrics and the state of the fleet.
 */
#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

#include "kernel/errmsg.h"
#include "kernel/kernel.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

#define ADMIN_TOKEN_SIZE 256 /* bytes, with terminator */

typedef struct admin_opts_t {
	char host[HOST_SIZE]; /* IP address to listen on */
	uint16_t port; /* 0 for any free port */
	/* Bearer token.  Empty for none, allowed only on loopback addresses. */
	char token[ADMIN_TOKEN_SIZE];
	char incarnation[INCARNATION_SIZE]; /* incarnation of this router */
} admin_opts_t;

typedef struct admin_t {
	kernel_t *kernel;
	svc_t svc;
	admin_opts_t opts;
	SoupServer *server;
	member_list_t *members; /* NULL until the first list arrives */
	conf_snapshot_t *conf; /* NULL until the first configuration arrives */
	bool stopping;
	errmsg_t err;
} admin_t;

/*
 * Returns 0, or -1 with the reason in admin->err.  The caller must call
 * admin_finish() also on failure.
 */
int admin_init(admin_t *admin, kernel_t *kernel, const admin_opts_t *opts);
void admin_finish(admin_t *admin);

/* Returns the port that the server listens on, or 0 if it does not listen. */
uint16_t admin_port(const admin_t *admin);

/* Returns the state of the fleet as JSON, to be freed with g_free(). */
gchar *admin_status(const admin_t *admin);

G_END_DECLS

#endif
