/*
 * Connections and calls of the service outbound.
 */
#ifndef OUTBOUND_CONN_H
#define OUTBOUND_CONN_H

#include "outbound/outbound.h"

G_BEGIN_DECLS

typedef struct out_call_t {
	handle_t self;
	svc_t owner; /* the service that sent MSG_OUT_SEND */
	handle_t ref; /* its handle */
	handle_t conn;
	handle_t timer; /* deadline of the whole call */
	handle_t head_timer; /* deadline of the answer's head */
	char echo_name[NAME_SIZE];
	char echo_value[REQUEST_ID_SIZE];
	bool head_posted;
} out_call_t;

typedef struct out_conn_t {
	outbound_t *outbound;
	handle_t self;
	handle_t call; /* none while idle */
	handle_t connect_timer;
	char address[ADDRESS_SIZE];
	http_socket_t sock;
	http_parse_t parse;
	bool discarding; /* an answer to an earlier request is read past */
	int64_t idle_since; /* monotonic, us */
	int64_t idle_limit; /* us, how long the other end keeps it */
} out_conn_t;

typedef enum out_timer_t {
	OUT_TIMER_SWEEP,
	OUT_TIMER_CONNECT, /* ref is the connection */
	OUT_TIMER_DEADLINE, /* ref is the call */
	OUT_TIMER_HEAD, /* ref is the call */
} out_timer_t;

/* conn.c: an idle connection that still works, or a new one; NULL: neither. */
out_conn_t *out_conn_acquire(outbound_t *outbound, const char *host,
			     uint16_t port, bool *reused);
void out_conn_close(out_conn_t *conn);
/* Keeps a connection whose answer is complete for another call. */
void out_conn_release(out_conn_t *conn);
/* Closes the connections that the other end is about to close. */
void out_conn_sweep(outbound_t *outbound);
gboolean out_conn_ready(GSocket *socket, GIOCondition condition, gpointer data);

/* outbound.c: end a call and remove it. */
void out_call_fail(outbound_t *outbound, out_call_t *call, failure_t failure,
		   bool sent, bool reset);
void out_call_end(outbound_t *outbound, out_call_t *call);

G_END_DECLS

#endif
