/*
 * Connections to peers: dialling, the authentication handshake, framing and
 * buffers.  Internal to the service "peer".
 */
#ifndef PEER_CONN_H
#define PEER_CONN_H

#include "peer/codec.h"
#include "peer/peer.h"

G_BEGIN_DECLS

typedef enum conn_state_t {
	CONN_HELLO, /* waiting for the peer's hello */
	CONN_PROOF, /* waiting for the peer's proof */
	CONN_UP, /* authenticated */
} conn_state_t;

typedef struct conn_t {
	peer_t *peer;
	handle_t self;
	handle_t dialler; /* HANDLE_NONE if the peer dialled */
	conn_state_t state;
	GSocketConnection *stream;
	GSocket *socket;
	window_t window; /* receive window of the socket */
	handle_t watch;
	GByteArray *input;
	GByteArray *output;
	guint written; /* bytes of output already written */
	GByteArray *hello_sent; /* frame with its header */
	GByteArray *hello_received; /* frame with its header */
	member_info_t remote; /* the peer, as stated in its hello */
	uint64_t kinds; /* that the peer knows, as stated in its hello */
	/* What is logged once for each connection. */
	bool unknown_logged; /* frames of kinds that this build lacks */
	bool extra_logged; /* fields that this build lacks */
	bool withheld_logged; /* frames of kinds that the peer lacks */
	int64_t opened; /* monotonic, us */
	int64_t last_sent; /* monotonic, us */
	int64_t last_received; /* monotonic, us */
} conn_t;

/* The address of a member or seed, and the state of connecting to it. */
typedef struct dialler_t {
	handle_t self;
	char incarnation[INCARNATION_SIZE]; /* empty: seed */
	char host[HOST_SIZE];
	uint16_t port;
	char remote_incarnation[INCARNATION_SIZE]; /* last peer connected */
	bool own_address; /* address of this process, not dialled again */
	bool connecting;
	handle_t conn; /* connection in any state, or none */
	GCancellable *cancellable;
	int64_t connect_deadline; /* monotonic, us */
	int64_t next_attempt; /* monotonic, us */
	int64_t backoff; /* us; 0 before the first failure */
} dialler_t;

/*
 * Adds a connection for a connected stream and sends the hello.  dialler is
 * HANDLE_NONE if the peer dialled.
 */
void peer_conn_open(peer_t *peer, GSocketConnection *stream, handle_t dialler);
/*
 * Queues an encoded frame.  Returns false if this would exceed PEER_OUTPUT_MAX;
 * the connection is closed then.
 */
bool peer_conn_send(conn_t *conn, const uint8_t *data, size_t len);
/*
 * Returns true if the peer knows the kind and takes frames of that length, 0 if
 * it is not known yet; otherwise counts a frame that is not sent to it.
 */
bool peer_conn_takes(conn_t *conn, peer_kind_t kind, size_t len);
/* Writes as much of the output as the socket accepts without blocking. */
void peer_conn_flush(conn_t *conn);
/*
 * Closes a connection, reports its peer as down if the connection was active,
 * and schedules the next attempt of its dialler.
 */
void peer_conn_close(conn_t *conn, const char *reason);
/* Closes the socket and frees the connection, and does nothing else. */
void peer_conn_free(conn_t *conn);

/*
 * Computes the HMAC-SHA-256 over the role of the prover and the hellos of both
 * sides with the shared key.
 */
void peer_auth_proof(const char *key, bool by_dialler,
		     const GByteArray *dialler, const GByteArray *listener,
		     uint8_t proof[PEER_PROOF_SIZE]);
/* Compares in constant time. */
bool peer_auth_equal(const uint8_t *a, const uint8_t *b, size_t len);
bool peer_auth_nonce(uint8_t nonce[PEER_NONCE_SIZE]);

/* A seed has an empty incarnation and is identified by host and port. */
void peer_dial_add(peer_t *peer, const char *incarnation, const char *host,
		   uint16_t port);
void peer_dial_remove(peer_t *peer, const char *incarnation, const char *host,
		      uint16_t port);
/* Starts the attempts that are due and cancels those past their deadline. */
void peer_dial_due(peer_t *peer);
/* Schedules the next attempt of a dialler whose connection was closed. */
void peer_dial_conn_closed(peer_t *peer, handle_t dialler, bool was_up);
void peer_dial_finish(peer_t *peer);

/*
 * Handles a completed handshake: either this connection or the active one to
 * the same peer is kept, the other one is closed.
 */
void peer_conn_up(peer_t *peer, conn_t *conn);
/* Reports the peer as down if this connection is the active one. */
void peer_conn_down(peer_t *peer, conn_t *conn);
/* Posts the body, which is consumed, to the service that handles its kind. */
void peer_body_received(peer_t *peer, conn_t *conn, peer_body_t *body);

G_END_DECLS

#endif
