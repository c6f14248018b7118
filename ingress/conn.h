/*
 * A connection of a caller: one request after the other.
 */
#ifndef INGRESS_CONN_H
#define INGRESS_CONN_H

#include "ingress/ingress.h"

G_BEGIN_DECLS

typedef enum ingress_phase_t {
	INGRESS_IDLE, /* between two requests */
	INGRESS_READING, /* a request has begun */
	INGRESS_BUSY, /* it is being answered */
	INGRESS_LINGER, /* answered; waits for the other end to close */
} ingress_phase_t;

typedef struct ingress_conn_t {
	ingress_t *ingress;
	handle_t self;
	listener_kind_t kind;
	ingress_phase_t phase;
	http_socket_t sock;
	http_parse_t parse;
	GByteArray *input; /* bytes after the request that is answered */
	int64_t phase_since; /* monotonic, us, of the phase */
	handle_t exchange; /* of "proxy", while busy */
	bool head_sent;
	bool chunked; /* the answer's body has no stated length */
	bool close_after; /* this answer is the connection's last */
} ingress_conn_t;

void ingress_conn_open(ingress_t *ingress, GSocket *socket,
		       listener_kind_t kind);
/* Closes at once; a request in progress is cancelled. */
void ingress_conn_close(ingress_conn_t *conn);
/* Ends connections that are idle or slow for too long. */
void ingress_conn_sweep(ingress_t *ingress);
void ingress_conn_recv(ingress_t *ingress, msg_t *msg);
/* Writes a whole answer made here. */
void ingress_conn_respond(ingress_conn_t *conn, uint32_t status,
			  const char *type, const char *text, bool close);
/* The same for a refusal that states when to come back, in seconds. */
void ingress_conn_respond_retry_after(ingress_conn_t *conn, uint32_t status,
				      const char *text,
				      const char *retry_after);

/* ingress.c */
void ingress_request(ingress_t *ingress, ingress_conn_t *conn);

G_END_DECLS

#endif
