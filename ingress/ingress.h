/*
 * Service "ingress": the gateway's HTTP server.  It reads complete requests,
 * passes them to "proxy" and writes the responses as they arrive.  It also
 * answers the load balancer's readiness checks and serves the metrics.
 */
#ifndef INGRESS_INGRESS_H
#define INGRESS_INGRESS_H

#include "http/parse.h"
#include "http/socket.h"
#include "kernel/errmsg.h"
#include "kernel/kernel.h"
#include "overload/admission.h"

G_BEGIN_DECLS

typedef enum listener_kind_t {
	LISTENER_CALLERS,
	LISTENER_READINESS,
	LISTENER_METRICS,
	LISTENER_COUNT,
} listener_kind_t;

typedef enum ingress_status_t {
	INGRESS_OK,
	INGRESS_LISTEN_FAILED,
} ingress_status_t;

struct ingress_t;

typedef struct listener_t {
	struct ingress_t *ingress;
	listener_kind_t kind;
	GSocket *socket; /* NULL if not listening */
	handle_t watch; /* none if not accepting */
} listener_t;

typedef struct ingress_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t proxy;
	listener_t listeners[LISTENER_COUNT];
	table_t conns; /* ingress_conn_t */
	uint32_t busy; /* requests in progress */
	fleet_limits_t limits;
	admission_state_t admission;
	int64_t measured_at; /* monotonic, us; last MSG_LOAD; 0: none */
	double excess; /* part of the callers that is moved */
	bool ready; /* a configuration has been received */
	fleet_conf_t *conf; /* NULL until one has been received */
	bool conf_behind; /* a newer configuration has not arrived yet */
	uint32_t conns_max; /* callers' connections */
	int64_t full_since; /* no caller can connect, monotonic, us; 0: can */
	bool stopping;
	int64_t yields_since; /* callers are sent away, monotonic, us; 0: no */
	int64_t stop_requested_at; /* monotonic, us */
	int64_t stop_deadline; /* end of the stop, monotonic, us; 0: unknown */
	int64_t closed_at; /* callers' listener was closed, monotonic, us */
	bool stopped; /* MSG_STOPPED has been posted */
	errmsg_t err;
} ingress_t;

void ingress_init(ingress_t *ingress, kernel_t *kernel);
void ingress_finish(ingress_t *ingress);
/*
 * States the capacity of the link, before ingress_listen(); without it nothing
 * is refused for load.
 */
void ingress_set_link(ingress_t *ingress, double link_mbps);
/*
 * Returns how many sockets clients can make this process have at one time, with
 * those that wait to be accepted.
 */
uint32_t ingress_sockets_max(const ingress_t *ingress);
/* Listens on host and port; ingress->err holds the message of a failure. */
ingress_status_t ingress_listen(ingress_t *ingress, listener_kind_t kind,
				const char *host, uint16_t port);

G_END_DECLS

#endif
