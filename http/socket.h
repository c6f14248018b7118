/*
 * A non-blocking TCP socket with a buffer for output.  One callback reports
 * that the socket is readable, has written all output or has failed.
 */
#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include "kernel/errmsg.h"
#include "kernel/pollset.h"

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef enum socket_read_t {
	SOCKET_DATA,
	SOCKET_AGAIN, /* no input yet */
	SOCKET_EOF,
	SOCKET_ERROR,
} socket_read_t;

typedef struct http_socket_t {
	GSocket *socket;
	pollset_t *pollset;
	handle_t watch;
	bool watches_input;
	bool watches_output; /* while connecting or with bytes to write */
	GQueue output; /* GBytes that wait to be written, oldest first */
	gsize written; /* bytes of the first one already written */
	size_t unwritten; /* bytes that wait in all */
	uint64_t sent; /* bytes written so far */
	bool connecting;
	bool connected; /* bytes may have reached the peer */
	/*
	 * Connect or write failed.  The failed call has taken the error from
	 * the system, which reports an orderly end from then on; a read returns
	 * SOCKET_ERROR instead, after the bytes that had arrived.
	 */
	bool failed;
	bool refused; /* the peer refused or reset the connection at once */
	window_t window; /* its receive window */
	/* Gets POLLSET_OUT alone when all output is written. */
	pollset_fn_t ready;
	void *data;
} http_socket_t;

/*
 * Initializes sock with a new reference to an accepted socket.  Returns false,
 * with errno set, if it cannot be watched; http_socket_finish() follows then.
 */
bool http_socket_init(http_socket_t *sock, pollset_t *pollset, GSocket *socket,
		      pollset_fn_t ready, void *data);
/* Starts to connect to an IP address; returns false on immediate failure. */
bool http_socket_connect(http_socket_t *sock, pollset_t *pollset,
			 const char *host, uint16_t port, pollset_fn_t ready,
			 void *data);
void http_socket_finish(http_socket_t *sock);

/* Writes as much as possible now and buffers a copy of the rest. */
void http_socket_write(http_socket_t *sock, const void *data, size_t len);
/* Does the same without a copy: the bytes are referenced until written. */
void http_socket_write_bytes(http_socket_t *sock, GBytes *bytes);
bool http_socket_has_output(const http_socket_t *sock);
/* Returns the bytes that are buffered and not written yet. */
size_t http_socket_output_len(const http_socket_t *sock);
/* Returns the memory that these bytes take. */
size_t http_socket_output_memory(const http_socket_t *sock);
/* Returns how many bytes the peer has acknowledged so far. */
uint64_t http_socket_delivered(const http_socket_t *sock);
/* Returns whether bytes have arrived that were not read. */
bool http_socket_has_input(const http_socket_t *sock);
socket_read_t http_socket_read(http_socket_t *sock, char *buffer, size_t size,
			       size_t *received);
/* Narrows the receive window if nothing has arrived since the last call. */
void http_socket_check_window(http_socket_t *sock);
/* Starts or stops polling for input. */
void http_socket_watch_input(http_socket_t *sock, bool watch);
/* True if there is no input and the peer has not closed the connection. */
bool http_socket_is_idle(http_socket_t *sock);
/*
 * Makes the next close send a reset, so that the peer can't take a truncated
 * message for a complete one.
 */
void http_socket_abort(http_socket_t *sock);
void http_socket_shutdown(http_socket_t *sock);

/* At most so many connections wait to be accepted, each with this window. */
typedef struct http_listen_t {
	const char *host; /* IP address */
	uint16_t port;
	int backlog;
	uint32_t window; /* bytes; 0: the system chooses */
} http_listen_t;

GSocket *http_socket_listen(const http_listen_t *listen, errmsg_t *err);

G_END_DECLS

#endif
