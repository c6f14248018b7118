/*
 * Diallers: connection attempts to the addresses of members and seeds, with
 * timeouts and exponential backoff.
 */
#include "peer/conn.h"

#include "log/log.h"

#include <string.h>

/*
 * A SYN that is sent to an instance without power is lost, and TCP retransmits
 * it only after 1 s.  The first attempts time out earlier and are repeated, so
 * that an instance is reached soon after its power returns.
 */
#define CONNECT_TIMEOUT_MIN_US (250 * USEC_PER_MSEC)
#define CONNECT_TIMEOUT_MAX_US (2 * USEC_PER_SEC)
#define CONNECT_TIMEOUT_BACKOFFS 4 /* timeout as a multiple of the backoff */
#define BACKOFF_MIN_US (100 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (5 * USEC_PER_SEC)
#define DIALLERS_MAX 256

/*
 * Context of an asynchronous connect.  It can outlive the service, because GIO
 * completes a cancelled connect later.
 */
typedef struct dial_attempt_t {
	peer_t *peer; /* NULL after peer_finish() */
	handle_t dialler;
} dial_attempt_t;

static void schedule_retry(peer_t *peer, dialler_t *dialler)
{
	dialler->backoff = dialler->backoff == 0
				   ? BACKOFF_MIN_US
				   : MIN(dialler->backoff * 2, BACKOFF_MAX_US);
	/* Jitter spreads the attempts of all routers to a returning peer. */
	dialler->next_attempt =
		kernel_now(peer->kernel) + dialler->backoff / 2 +
		(int64_t)kernel_random_below(
			peer->kernel, (uint64_t)dialler->backoff / 2 + 1);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	dial_attempt_t *attempt = data;
	GSocketConnection *stream;
	peer_t *peer = attempt->peer;
	handle_t self = attempt->dialler;
	dialler_t *dialler;

	stream = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result,
						NULL);
	if (peer == NULL) {
		g_free(attempt);
		goto out;
	}
	g_ptr_array_remove_fast(peer->attempts, attempt);
	g_free(attempt);
	dialler = table_get(&peer->diallers, self);
	if (dialler == NULL)
		goto out;
	dialler->connecting = false;
	g_clear_object(&dialler->cancellable);
	if (stream != NULL)
		peer_conn_open(peer, stream, self);
	else
		schedule_retry(peer, dialler);
out:
	g_clear_object(&stream);
}

static void start_connect(peer_t *peer, dialler_t *dialler)
{
	GSocketAddress *address;
	dial_attempt_t *attempt;

	address = g_inet_socket_address_new_from_string(dialler->host,
							dialler->port);
	if (address == NULL) {
		log_event(LOG_LEVEL_WARN, "peer", "bad_address", "host=%s",
			  log_quote(dialler->host));
		dialler->backoff = BACKOFF_MAX_US;
		schedule_retry(peer, dialler);
		return;
	}
	attempt = g_new0(dial_attempt_t, 1);
	attempt->peer = peer;
	attempt->dialler = dialler->self;
	g_ptr_array_add(peer->attempts, attempt);
	dialler->connecting = true;
	dialler->cancellable = g_cancellable_new();
	dialler->connect_deadline =
		kernel_now(peer->kernel) +
		CLAMP(dialler->backoff * CONNECT_TIMEOUT_BACKOFFS,
		      CONNECT_TIMEOUT_MIN_US, CONNECT_TIMEOUT_MAX_US);
	g_socket_client_connect_async(
		peer->client, G_SOCKET_CONNECTABLE(address),
		dialler->cancellable, on_connected, attempt);
	g_object_unref(address);
}

static bool is_connected(const peer_t *peer, const dialler_t *dialler)
{
	const char *incarnation = dialler->incarnation[0] != '\0'
					  ? dialler->incarnation
					  : dialler->remote_incarnation;

	return incarnation[0] != '\0' &&
	       g_hash_table_contains(peer->active, incarnation);
}

void peer_dial_due(peer_t *peer)
{
	int64_t now = kernel_now(peer->kernel);
	uint32_t cursor = 0;
	dialler_t *dialler;

	while ((dialler = table_next(&peer->diallers, &cursor, NULL)) != NULL) {
		if (dialler->connecting) {
			if (now >= dialler->connect_deadline)
				g_cancellable_cancel(dialler->cancellable);
			continue;
		}
		if (dialler->own_address || now < dialler->next_attempt ||
		    table_get(&peer->conns, dialler->conn) != NULL ||
		    is_connected(peer, dialler))
			continue;
		start_connect(peer, dialler);
	}
}

/* A connection that was authenticated is dialled again without backoff. */
void peer_dial_conn_closed(peer_t *peer, handle_t self, bool was_up)
{
	dialler_t *dialler = table_get(&peer->diallers, self);

	if (dialler == NULL)
		return;
	dialler->conn = HANDLE_NONE;
	if (was_up) {
		dialler->backoff = 0;
		dialler->next_attempt = 0;
	} else {
		schedule_retry(peer, dialler);
	}
}

static dialler_t *find_dialler(peer_t *peer, const char *incarnation,
			       const char *host, uint16_t port)
{
	uint32_t cursor = 0;
	dialler_t *dialler;

	while ((dialler = table_next(&peer->diallers, &cursor, NULL)) != NULL) {
		if (strcmp(dialler->incarnation, incarnation) == 0 &&
		    (incarnation[0] != '\0' ||
		     (strcmp(dialler->host, host) == 0 &&
		      dialler->port == port)))
			return dialler;
	}
	return NULL;
}

void peer_dial_add(peer_t *peer, const char *incarnation, const char *host,
		   uint16_t port)
{
	dialler_t *dialler = find_dialler(peer, incarnation, host, port);
	handle_t self;

	if (dialler == NULL) {
		if (table_count(&peer->diallers) >= DIALLERS_MAX)
			return;
		self = table_add(&peer->diallers, (void **)&dialler);
		dialler->self = self;
		g_strlcpy(dialler->incarnation, incarnation,
			  sizeof(dialler->incarnation));
	}
	g_strlcpy(dialler->host, host, sizeof(dialler->host));
	dialler->port = port;
	peer_dial_due(peer);
}

static void remove_dialler(peer_t *peer, dialler_t *dialler)
{
	if (dialler->cancellable != NULL) {
		g_cancellable_cancel(dialler->cancellable);
		g_object_unref(dialler->cancellable);
	}
	table_remove(&peer->diallers, dialler->self);
}

void peer_dial_remove(peer_t *peer, const char *incarnation, const char *host,
		      uint16_t port)
{
	dialler_t *dialler = find_dialler(peer, incarnation, host, port);
	conn_t *conn;

	if (dialler == NULL)
		return;
	conn = table_get(&peer->conns, dialler->conn);
	remove_dialler(peer, dialler);
	if (conn != NULL)
		peer_conn_close(conn, "disconnect requested");
}

void peer_dial_finish(peer_t *peer)
{
	uint32_t cursor = 0;
	dialler_t *dialler;

	for (guint i = 0; i < peer->attempts->len; i++)
		((dial_attempt_t *)g_ptr_array_index(peer->attempts, i))->peer =
			NULL;
	while ((dialler = table_next(&peer->diallers, &cursor, NULL)) != NULL)
		remove_dialler(peer, dialler);
}
