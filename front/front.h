/*
 * Service "front": the HTTP server for callers.  The front parses requests,
 * passes them to "request" and writes the responses, with back-pressure for
 * slow readers.
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
	uint16_t port; /* 0: any free port */
	char tls_cert[PATH_SIZE]; /* PEM file; empty: plain HTTP */
	char tls_key[PATH_SIZE];
	uint32_t max_header; /* bytes */
	uint32_t max_body; /* bytes */
	uint32_t max_connections;
	uint32_t max_streams; /* requests in progress */
	uint32_t max_streams_per_key; /* requests in progress of an API key */
	uint32_t high_water; /* unsent bytes above which a request is paused */
	uint32_t low_water; /* unsent bytes below which a request is resumed */
	caller_timeouts_t timeouts;
} front_opts_t;

/* State shared with the connections, which may outlive the front. */
typedef struct front_connections_t {
	uint32_t count;
	metrics_t *metrics; /* NULL once the front has finished */
	table_t table; /* connection_t */
} front_connections_t;

#define FRONT_TIMER_ACCEPT 0
#define FRONT_TIMER_WATCH 1
#define FRONT_TIMER_TIMEOUTS 2
#define FRONT_TIMER_SETTLED 3

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
	GArray *unwatched; /* handle_t of streams without a disconnect watch */
	handle_t watch_timer;
	handle_t timeout_timer; /* runs while there are connections */
	table_t streams; /* stream_t */
	table_t bodies; /* body_t */
	GHashTable *streams_per_key; /* API key hash -> requests in progress */
	front_connections_t *connections; /* a GRcBox */
	bool stopping;
	bool settled; /* requests on the last connections have been refused */
	bool stopped; /* MSG_STOPPED was sent */
	conf_snapshot_t *conf; /* NULL until a configuration arrives */
	errmsg_t err; /* last failure */
} front_t;

/* Sets the defaults: loopback address, any free port, no TLS. */
void front_opts_default(front_opts_t *opts);

void front_init(front_t *front, kernel_t *kernel, const front_opts_t *opts);
void front_finish(front_t *front);

/* Returns how many callers' sockets there may be, with those that wait. */
uint32_t front_sockets_max(const front_t *front);
/* Starts listening.  On failure, front->err holds the reason. */
front_status_t front_listen(front_t *front);
/* Returns the listening port, or 0 before front_listen(). */
uint16_t front_port(const front_t *front);

G_END_DECLS

#endif
