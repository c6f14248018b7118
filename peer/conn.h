/*
 * One connection to a peer: buffers, frames and the handshake.  Private to
 * the service peer.
 */
#ifndef PEER_CONN_H
#define PEER_CONN_H

#include "peer/codec.h"
#include "peer/peer.h"

G_BEGIN_DECLS

typedef enum conn_state_t {
	CONN_HELLO, /* waits for the peer's hello */
	CONN_PROOF, /* waits for the peer's proof */
	CONN_UP,
} conn_state_t;

typedef struct conn_t {
	peer_t *peer;
	handle_t self;
	handle_t dialler; /* HANDLE_NONE: the peer dialled */
	conn_state_t state;
	GSocketConnection *stream;
	GSocket *socket;
	GSource *read_source;
	GSource *write_source; /* NULL while there is nothing to write */
	GByteArray *input;
	GByteArray *output;
	guint written; /* bytes of output */
	GByteArray *hello_sent; /* frames, covered by the proofs */
	GByteArray *hello_received;
	member_info_t remote;
	int64_t opened; /* us */
	int64_t last_sent;
	int64_t last_received;
} conn_t;

typedef struct dialler_t {
	handle_t self;
	char incarnation[INCARNATION_SIZE]; /* empty: a seed */
	char host[HOST_SIZE];
	uint16_t port;
	char remote_incarnation[INCARNATION_SIZE]; /* who answered at a seed */
	bool own_address;
	bool connecting;
	handle_t conn; /* in progress or in use */
	GCancellable *cancellable;
	int64_t connect_deadline;
	int64_t next_attempt;
	int64_t backoff;
} dialler_t;

/* Takes over a connected stream and sends the hello. */
void peer_conn_open(peer_t *peer, GSocketConnection *stream, handle_t dialler);
/* Appends an encoded frame; false when the connection was dropped. */
bool peer_conn_send(conn_t *conn, const uint8_t *data, size_t len);
/* Writes what the socket takes now. */
void peer_conn_flush(conn_t *conn);
void peer_conn_close(conn_t *conn, const char *reason);
void peer_conn_free(conn_t *conn);

/* HMAC-SHA-256 by the shared key over the prover's role and both hellos. */
void peer_auth_proof(const char *key, bool by_dialler,
		     const GByteArray *dialler, const GByteArray *listener,
		     uint8_t proof[PEER_PROOF_SIZE]);
bool peer_auth_equal(const uint8_t *a, const uint8_t *b, size_t len);
bool peer_auth_nonce(uint8_t nonce[PEER_NONCE_SIZE]);

void peer_dial_add(peer_t *peer, const char *incarnation, const char *host,
		   uint16_t port);
void peer_dial_remove(peer_t *peer, const char *incarnation, const char *host,
		      uint16_t port);
/* Starts every dial that is due. */
void peer_dial_due(peer_t *peer);
/* The connection of a dial has ended. */
void peer_dial_conn_closed(peer_t *peer, handle_t dialler, bool was_up);
void peer_dial_finish(peer_t *peer);

/* The handshake is done: keep this connection or the one in use. */
void peer_conn_up(peer_t *peer, conn_t *conn);
void peer_conn_down(peer_t *peer, conn_t *conn);
void peer_body_received(peer_t *peer, conn_t *conn, peer_body_t *body);

G_END_DECLS

#endif
