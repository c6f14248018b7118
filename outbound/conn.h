/*
 * Connections and calls of the service "outbound".
 */
#ifndef OUTBOUND_CONN_H
#define OUTBOUND_CONN_H

#include "outbound/outbound.h"

G_BEGIN_DECLS

typedef struct out_call_t {
	handle_t self;
	svc_t owner; /* service that sent MSG_OUT_SEND */
	handle_t ref; /* the owner's handle */
	handle_t conn;
	handle_t timer; /* deadline of the whole call */
	handle_t head_timer; /* deadline of the response head */
	char echo_name[NAME_SIZE];
	char echo_value[REQUEST_ID_SIZE];
	bool head_posted;
	bool check_reach; /* of MSG_OUT_CHECK, returned unchanged */
	char check[NAME_SIZE]; /* instance of MSG_OUT_CHECK; empty: a request */
} out_call_t;

typedef struct out_conn_t {
	outbound_t *outbound;
	handle_t self;
	handle_t call; /* HANDLE_NONE while idle */
	handle_t connect_timer;
	char address[ADDRESS_SIZE];
	char host[HOST_SIZE];
	uint16_t port;
	http_socket_t sock;
	http_parse_t parse;
	bool own; /* for one call only */
	bool discarding; /* skipping an interim or stale response */
	size_t discarded; /* bytes skipped during the call */
	char last_echo[REQUEST_ID_SIZE]; /* echo_value of the last call */
	int64_t idle_since; /* monotonic, us */
	int64_t idle_limit; /* us, time until an idle connection is closed */
} out_conn_t;

typedef enum out_timer_t {
	OUT_TIMER_SWEEP,
	OUT_TIMER_CONNECT, /* ref is the connection */
	OUT_TIMER_DEADLINE, /* ref is the call */
	OUT_TIMER_HEAD, /* ref is the call */
} out_timer_t;

/*
 * conn.c: returns an idle connection that is still usable or a new one, or
 * NULL if connecting fails at once.  The last request of an idle connection
 * had another echo_value, so that late copies of its response can be told.
 */
out_conn_t *out_conn_acquire(outbound_t *outbound, const msg_t *msg,
			     bool *reused);
/* Returns a new connection, or NULL if connecting fails at once. */
out_conn_t *out_conn_open(outbound_t *outbound, const char *host,
			  uint16_t port);
void out_conn_close(out_conn_t *conn);
/* Keeps a connection for another call after a complete response. */
void out_conn_release(out_conn_t *conn);
/* Keeps an established connection that no request has used. */
void out_conn_release_unused(out_conn_t *conn);
/* Closes idle connections that the server is about to close. */
void out_conn_sweep(outbound_t *outbound);
void out_conn_ready(void *data, unsigned ready);

/* outbound.c: tells that the server closed an idle connection early. */
void out_conn_closed(const out_conn_t *conn);

/* outbound.c: these functions end a call and remove it. */
void out_call_fail(outbound_t *outbound, out_call_t *call, failure_t failure,
		   bool sent, bool reset);
void out_call_end(outbound_t *outbound, out_call_t *call);
/* Ends a check whose connection was established. */
void out_check_end(outbound_t *outbound, out_call_t *call);

G_END_DECLS

#endif
