/*
 * Service "admin": health, readiness, metrics and the state of the fleet over
 * HTTP, on an address of its own.
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
	uint16_t port; /* 0: any free port */
	/* Bearer token; empty: none, which only loopback addresses allow. */
	char token[ADMIN_TOKEN_SIZE];
	char incarnation[INCARNATION_SIZE]; /* of this router */
} admin_opts_t;

typedef struct admin_t {
	kernel_t *kernel;
	svc_t svc;
	admin_opts_t opts;
	SoupServer *server;
	member_list_t *members; /* NULL until the first list */
	conf_snapshot_t *conf; /* NULL until configuration was received */
	bool stopping;
	errmsg_t err;
} admin_t;

/* Returns 0, or -1 with the reason in admin->err; finish it either way. */
int admin_init(admin_t *admin, kernel_t *kernel, const admin_opts_t *opts);
void admin_finish(admin_t *admin);

/* The port that is listened on. */
uint16_t admin_port(const admin_t *admin);

/* The state of the fleet as JSON, for g_free(). */
gchar *admin_status(const admin_t *admin);

G_END_DECLS

#endif
