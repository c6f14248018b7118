/*
 * A caller's connection.  Its requests are handled one after the other.
 */
#ifndef INGRESS_CONN_H
#define INGRESS_CONN_H

#include "ingress/ingress.h"

G_BEGIN_DECLS

typedef enum ingress_phase_t {
	INGRESS_IDLE, /* between requests */
	INGRESS_READING, /* receiving a request */
	INGRESS_BUSY, /* waiting for the response or sending it */
	INGRESS_LINGER, /* waiting for the caller to close */
} ingress_phase_t;

typedef struct ingress_conn_t {
	ingress_t *ingress;
	handle_t self;
	listener_kind_t kind;
	ingress_phase_t phase;
	http_socket_t sock;
	http_parse_t parse;
	GByteArray *input; /* received, not yet parsed */
	size_t input_peak; /* bytes that the array has held */
	int64_t phase_since; /* start of the phase, monotonic, us */
	uint32_t idle_timeout_ms; /* limit that the caller relies on */
	handle_t exchange; /* handle in "proxy" while INGRESS_BUSY */
	bool served; /* a request has been answered */
	bool head_sent;
	bool chunked; /* the response body is sent in chunks */
	bool close_after; /* close after this response */
	int64_t input_since; /* monotonic, us; arrival of the first of input */
	int64_t arrived_at; /* monotonic, us; of the request */
	int64_t unread; /* us for which the request waited to be read */
	int64_t considered_at; /* monotonic, us; whether to move its caller */
	bool admitted; /* from the head of the request, which is being read */
	bool leaves_body; /* the rest of a refused body is not read */
	char route[NAME_SIZE]; /* of the admitted request; empty: none */
	uint64_t answer_bytes; /* on the link, of its answer so far */
	size_t counted_requests; /* bytes in the process's buffers */
	size_t counted_output;
	int64_t read_since; /* start of the time over which reading counts */
	uint64_t read_then; /* bytes that the caller had taken at that time */
} ingress_conn_t;

/* Memory of a connection without a request; 1.9 KiB were measured. */
#define CONN_MEMORY 2048

void ingress_conn_open(ingress_t *ingress, GSocket *socket,
		       listener_kind_t kind);
/* Closes at once and cancels a request in progress. */
void ingress_conn_close(ingress_conn_t *conn);
/* Closes the oldest connections of a listener that has more than this. */
void ingress_conn_make_room(ingress_t *ingress, listener_kind_t kind,
			    uint32_t most);
/*
 * Returns the caller's connection that has been without a request the longest,
 * or NULL if none has been for long enough to give way.
 */
ingress_conn_t *ingress_conn_longest_idle(const ingress_t *ingress);
/* Closes connections that have been idle or slow for too long. */
void ingress_conn_sweep(ingress_t *ingress);
/* Returns whether a request has arrived or a response is being written. */
bool ingress_conn_any_unfinished(const ingress_t *ingress);
/* Ends the connections that hold the most bytes of the kind. */
void ingress_conn_relieve(ingress_t *ingress, buffer_kind_t kind);
void ingress_conn_recv(ingress_t *ingress, msg_t *msg);
/* Writes a complete response of the gateway itself. */
void ingress_conn_respond(ingress_conn_t *conn, uint32_t status,
			  const char *type, const char *text, bool close);
/* The same with a head that is ready, and is freed. */
void ingress_conn_respond_head(ingress_conn_t *conn, http_head_t *head,
			       const char *text);
/* Refuses a request with Retry-After, in seconds, and closes. */
void ingress_conn_respond_retry_after(ingress_conn_t *conn, uint32_t status,
				      const char *text,
				      const char *retry_after);
/* Writes a refusal with this head, which it takes. */
void ingress_conn_refuse(ingress_conn_t *conn, http_head_t *head,
			 const char *text, bool close);

/* conn.c, for limits.c. */
void ingress_conn_count_bytes(ingress_conn_t *conn);
/* Frees the input that is not parsed yet. */
void ingress_conn_free_input(ingress_conn_t *conn);
/* Refuses the request that is being read, as the process holds too much. */
void ingress_conn_refuse_full(ingress_conn_t *conn);
/* Returns how long the caller may rest, us. */
int64_t ingress_conn_idle_limit(const ingress_conn_t *conn);
/* Refuses with a text and closes. */
void ingress_conn_respond_error(ingress_conn_t *conn, uint32_t status,
				const char *text);
const char *ingress_phase_name(ingress_phase_t phase);

/* admit.c: refuses requests beyond the capacity of this instance. */
/* Returns the receive window of new callers, bytes; 0: the system chooses. */
uint32_t ingress_first_window(const ingress_t *ingress);
/* Lets no more of a body arrive than is read, if the link is small. */
void ingress_limit_window(ingress_conn_t *conn);
/* Returns false after refusing a request whose head has arrived. */
bool ingress_admit_head(ingress_conn_t *conn);
/* Returns false after refusing a request that is complete. */
bool ingress_admit_request(ingress_conn_t *conn, const exchange_spec_t *spec);
/* The answer, if the request was admitted, is complete. */
void ingress_answered(ingress_conn_t *conn);
/* Whether the connection is closed, as one of those that can't be borne. */
bool ingress_moves_caller(ingress_conn_t *conn);
void ingress_load_measured(ingress_t *ingress, const msg_t *msg);

/* ingress.c */
bool ingress_sends_away(ingress_conn_t *conn);
/* Whether no further caller can connect. */
bool ingress_is_full(const ingress_t *ingress);
void ingress_request(ingress_t *ingress, ingress_conn_t *conn);
/* Whether a request with this head goes to "proxy". */
bool ingress_is_forwarded(const ingress_conn_t *conn);
/*
 * Refuses a request whose head shows that it can't be served, before its body
 * is read.  Returns false if it was refused.
 */
bool ingress_check_head(ingress_t *ingress, ingress_conn_t *conn);

G_END_DECLS

#endif
