/*
 * Service "store": client of the JSON gateway of etcd v3.  The service replies
 * to MSG_STORE_GET, TXN, LEASE, KEEPALIVE and REVOKE with MSG_STORE_RESULT and
 * reopens watches that are interrupted.  Calls run concurrently and may be
 * reordered; the requesting services order their writes by revision.
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include "kernel/kernel.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

#define STORE_TIMEOUT_MS 2000 /* default timeout of a call */
#define STORE_WATCH_IDLE_MS 5000 /* default of watch_idle_ms */
#define STORE_KEY_PREFIX "tanagertrestle/"
#define STORE_NEW_CONN_MS 5000 /* no pooled connections after a timeout */
#define STORE_ENDPOINTS_MAX 8
#define STORE_CALLS_MAX 32 /* concurrent calls */
#define STORE_QUEUE_MAX 4096 /* calls not yet sent */
#define STORE_PAGE_KEYS 256 /* keys per page of a prefix */
#define STORE_RESPONSE_MAX 67108864 /* bytes of a body or watch line */

typedef struct store_opts_t {
	const char *const *endpoints; /* base URLs, NULL-terminated */
	const char *token; /* value of the Authorization header, or NULL */
	const char *key_prefix; /* NULL: STORE_KEY_PREFIX */
	int32_t timeout_ms; /* timeout of a call; 0: STORE_TIMEOUT_MS */
	/*
	 * A watch stream is reopened after this time without a message;
	 * 0: STORE_WATCH_IDLE_MS.
	 */
	int32_t watch_idle_ms;
} store_opts_t;

typedef struct store_t {
	kernel_t *kernel;
	svc_t self;
	SoupSession *session;
	gchar **endpoints;
	guint endpoint_count;
	guint endpoint_index; /* the endpoint in use */
	gchar *token;
	gchar *key_prefix;
	int64_t timeout_us;
	int64_t watch_idle_us;
	/*
	 * After a timeout, pooled connections may be dead: until this time,
	 * each request gets a new connection.
	 */
	int64_t new_conn_until; /* monotonic, us */
	table_t calls; /* call_t */
	GQueue queue; /* handle_t * of each call not yet sent */
	guint in_flight; /* calls sent and not finished */
	table_t watches; /* watch_t */
} store_t;

void store_init(store_t *store, kernel_t *kernel, const store_opts_t *opts);
void store_finish(store_t *store);

G_END_DECLS

#endif
