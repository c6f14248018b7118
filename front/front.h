/*
 * Service "front": the HTTP server for callers.  It parses requests, hands
 * them to "request" and writes the replies, with back-pressure for slow
 * readers.
 */
#ifndef FRONT_FRONT_H
#define FRONT_FRONT_H

#include "front/caller.h"
#include "kernel/errmsg.h"
#include "kernel/kernel.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

typedef enum front_status_t {
	FRONT_OK,
	FRONT_BAD_ADDRESS,
	FRONT_LISTEN_FAILED,
	FRONT_TLS_FAILED,
} front_status_t;

typedef struct front_opts_t {
	char host[HOST_SIZE]; /* IP address */
	uint16_t port; /* 0: a free one */
	char tls_cert[PATH_SIZE]; /* PEM files; empty: plain HTTP */
	char tls_key[PATH_SIZE];
	uint32_t max_header; /* bytes */
	uint32_t max_body; /* bytes */
	uint32_t max_connections;
	uint32_t max_streams; /* requests in progress */
	uint32_t max_streams_per_key; /* of one API key */
	uint32_t high_water; /* unsent bytes of a stream, MSG_REQ_PAUSE */
	uint32_t low_water; /* MSG_REQ_RESUME */
	caller_timeouts_t timeouts; /* of a caller's silence */
} front_opts_t;

/* Shared with the connections, which may outlive the front. */
typedef struct front_connections_t {
	uint32_t count;
	metrics_t *metrics; /* NULL once the front has finished */
	table_t table; /* connection_t */
} front_connections_t;

#define FRONT_TIMER_ACCEPT 0
#define FRONT_TIMER_WATCH 1
#define FRONT_TIMER_TIMEOUTS 2

typedef struct front_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t request;
	svc_t router;
	front_opts_t opts;
	SoupServer *server;
	GSocket *listener;
	GSource *accept_source; /* NULL while not accepting */
	GTlsCertificate *cert; /* NULL for plain HTTP */
	uint16_t port;
	GArray *unwatched; /* handle_t of streams without a watch */
	handle_t watch_timer;
	handle_t timeout_timer; /* while there are connections */
	table_t streams; /* stream_t */
	GHashTable *streams_per_key; /* API key hash -> requests in progress */
	front_connections_t *connections; /* GRcBox */
	bool stopping;
	bool stopped; /* MSG_STOPPED was sent */
	conf_snapshot_t *conf; /* NULL until the first one arrives */
	errmsg_t err; /* last failure */
} front_t;

/* Loopback, a free port, no TLS. */
void front_opts_default(front_opts_t *opts);

void front_init(front_t *front, kernel_t *kernel, const front_opts_t *opts);
void front_finish(front_t *front);

/* Starts listening; front->err says what failed. */
front_status_t front_listen(front_t *front);
/* The port listened on, 0 before front_listen(). */
uint16_t front_port(const front_t *front);

G_END_DECLS

#endif
