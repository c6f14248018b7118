/*
 * A non-blocking TCP socket on the main loop, with the bytes that it has not
 * yet taken.  One GLib callback is told when it can be read or has failed.
 */
#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include "kernel/errmsg.h"

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef enum socket_read_t {
	SOCKET_DATA,
	SOCKET_AGAIN, /* nothing has come */
	SOCKET_EOF,
	SOCKET_ERROR,
} socket_read_t;

typedef struct http_socket_t {
	GSocket *socket;
	GSource *in_source;
	GSource *out_source; /* while connecting or with bytes to write */
	GByteArray *output;
	guint written; /* bytes of output */
	bool connecting;
	bool failed; /* writing has failed; reading tells how */
	GSocketSourceFunc ready;
	gpointer data;
} http_socket_t;

/* Takes over an accepted socket. */
void http_socket_init(http_socket_t *sock, GSocket *socket,
		      GSocketSourceFunc ready, gpointer data);
/* Starts to connect; false when that fails at once. */
bool http_socket_connect(http_socket_t *sock, const char *host, uint16_t port,
			 GSocketSourceFunc ready, gpointer data);
void http_socket_finish(http_socket_t *sock);

/* Writes what the socket takes now and the rest as it can. */
void http_socket_write(http_socket_t *sock, const void *data, size_t len);
bool http_socket_has_output(const http_socket_t *sock);
socket_read_t http_socket_read(http_socket_t *sock, char *buffer, size_t size,
			       size_t *got);
/* Stops or resumes the wait for input. */
void http_socket_watch_input(http_socket_t *sock, bool watch);
/* Nothing can be read and the other end has not closed. */
bool http_socket_is_idle(const http_socket_t *sock);
/* Makes the close a reset, so that what was sent can't look complete. */
void http_socket_abort(http_socket_t *sock);
void http_socket_shutdown(http_socket_t *sock);

GSocket *http_socket_listen(const char *host, uint16_t port, errmsg_t *err);

G_END_DECLS

#endif
