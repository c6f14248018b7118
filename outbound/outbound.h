/*
 * Service "outbound": the HTTP client of the gateway.  The request of each
 * MSG_OUT_SEND is sent at most once, on one connection.  Unless it is
 * cancelled, it ends in exactly one MSG_OUT_END or MSG_OUT_FAILED.  Each
 * MSG_OUT_CHECK opens a connection, which is kept for the next request, and
 * ends in MSG_OUT_CHECKED.  MSG_OUT_CLOSED tells "balance" of idle connections
 * that a server has closed before their time.
 */
#ifndef OUTBOUND_OUTBOUND_H
#define OUTBOUND_OUTBOUND_H

#include "http/parse.h"
#include "http/socket.h"
#include "kernel/kernel.h"

G_BEGIN_DECLS

/* Connecting takes a few ms without loss, and a second if a packet is lost. */
#define OUT_CONNECT_TIMEOUT_US (400 * USEC_PER_MSEC)

#define ADDRESS_SIZE (HOST_SIZE + 8) /* bytes, with terminator */

typedef struct outbound_t {
	kernel_t *kernel;
	svc_t svc;
	table_t calls; /* out_call_t */
	table_t conns; /* out_conn_t */
	GHashTable *idle; /* address -> GQueue of out_conn_t, newest last */
	handle_t sweep_timer;
} outbound_t;

void outbound_init(outbound_t *outbound, kernel_t *kernel);
/* Closes all connections without notifying the owners of calls. */
void outbound_finish(outbound_t *outbound);

G_END_DECLS

#endif
