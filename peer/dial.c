#include "peer/conn.h"

#include "log/log.h"

#include <string.h>

/*
 * A first packet to a machine that has no power yet is lost, and TCP repeats
 * it after a second: the first calls are given up sooner and made anew.
 */
#define CALL_TIMEOUT_MIN (250 * USEC_PER_MSEC)
#define CALL_TIMEOUT_MAX (2 * USEC_PER_SEC)
#define CALL_TIMEOUT_BACKOFFS 4 /* of the last pause */
#define BACKOFF_MIN (100 * USEC_PER_MSEC)
#define BACKOFF_MAX (5 * USEC_PER_SEC)
#define DIALS_MAX 256

/* Outlives the service: GIO completes a cancelled connect later. */
typedef struct dial_call_t {
	peer_t *peer; /* NULL after peer_finish() */
	handle_t dial;
} dial_call_t;

static void back_off(peer_t *peer, dial_t *dial)
{
	dial->backoff = dial->backoff == 0
				? BACKOFF_MIN
				: MIN(dial->backoff * 2, BACKOFF_MAX);
	/* Spread, so that routers don't dial a returning peer in step. */
	dial->next_at = kernel_now(peer->kernel) + dial->backoff / 2 +
			(int64_t)kernel_random_below(
				peer->kernel, (uint64_t)dial->backoff / 2 + 1);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	dial_call_t *call = data;
	GSocketConnection *stream;
	peer_t *peer = call->peer;
	handle_t self = call->dial;
	dial_t *dial;

	stream = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result,
						NULL);
	if (peer == NULL) {
		g_free(call);
		goto out;
	}
	g_ptr_array_remove_fast(peer->calls, call);
	g_free(call);
	dial = table_get(&peer->dials, self);
	if (dial == NULL)
		goto out;
	dial->calling = false;
	g_clear_object(&dial->cancel);
	if (stream != NULL)
		peer_conn_open(peer, stream, self);
	else
		back_off(peer, dial);
out:
	g_clear_object(&stream);
}

static void start_call(peer_t *peer, dial_t *dial)
{
	GSocketAddress *address;
	dial_call_t *call;

	address = g_inet_socket_address_new_from_string(dial->host, dial->port);
	if (address == NULL) {
		log_event(LOG_LEVEL_WARN, "peer", "bad_address", "host=%s",
			  log_quote(dial->host));
		dial->backoff = BACKOFF_MAX;
		back_off(peer, dial);
		return;
	}
	call = g_new0(dial_call_t, 1);
	call->peer = peer;
	call->dial = dial->self;
	g_ptr_array_add(peer->calls, call);
	dial->calling = true;
	dial->cancel = g_cancellable_new();
	dial->call_until = kernel_now(peer->kernel) +
			   CLAMP(dial->backoff * CALL_TIMEOUT_BACKOFFS,
				 CALL_TIMEOUT_MIN, CALL_TIMEOUT_MAX);
	g_socket_client_connect_async(peer->client,
				      G_SOCKET_CONNECTABLE(address),
				      dial->cancel, on_connected, call);
	g_object_unref(address);
}

static bool is_connected(const peer_t *peer, const dial_t *dial)
{
	const char *who = dial->incarnation[0] != '\0' ? dial->incarnation
						       : dial->resolved;

	return who[0] != '\0' && g_hash_table_contains(peer->up, who);
}

void peer_dial_all(peer_t *peer)
{
	int64_t now = kernel_now(peer->kernel);
	uint32_t cursor = 0;
	dial_t *dial;

	while ((dial = table_next(&peer->dials, &cursor, NULL)) != NULL) {
		if (dial->calling) {
			if (now >= dial->call_until)
				g_cancellable_cancel(dial->cancel);
			continue;
		}
		if (dial->own_address || now < dial->next_at ||
		    table_get(&peer->conns, dial->conn) != NULL ||
		    is_connected(peer, dial))
			continue;
		start_call(peer, dial);
	}
}

/* A connection that had worked is dialled again at once. */
void peer_dial_lost(peer_t *peer, handle_t self, bool was_up)
{
	dial_t *dial = table_get(&peer->dials, self);

	if (dial == NULL)
		return;
	dial->conn = HANDLE_NONE;
	if (was_up) {
		dial->backoff = 0;
		dial->next_at = 0;
	} else {
		back_off(peer, dial);
	}
}

static dial_t *find(peer_t *peer, const char *incarnation, const char *host,
		    uint16_t port)
{
	uint32_t cursor = 0;
	dial_t *dial;

	while ((dial = table_next(&peer->dials, &cursor, NULL)) != NULL) {
		if (strcmp(dial->incarnation, incarnation) == 0 &&
		    (incarnation[0] != '\0' ||
		     (strcmp(dial->host, host) == 0 && dial->port == port)))
			return dial;
	}
	return NULL;
}

void peer_dial_add(peer_t *peer, const char *incarnation, const char *host,
		   uint16_t port)
{
	dial_t *dial = find(peer, incarnation, host, port);
	handle_t self;

	if (dial == NULL) {
		if (table_count(&peer->dials) >= DIALS_MAX)
			return;
		self = table_add(&peer->dials, (void **)&dial);
		dial->self = self;
		g_strlcpy(dial->incarnation, incarnation,
			  sizeof(dial->incarnation));
	}
	g_strlcpy(dial->host, host, sizeof(dial->host));
	dial->port = port;
	peer_dial_all(peer);
}

static void remove_dial(peer_t *peer, dial_t *dial)
{
	if (dial->cancel != NULL) {
		g_cancellable_cancel(dial->cancel);
		g_object_unref(dial->cancel);
	}
	table_remove(&peer->dials, dial->self);
}

void peer_dial_remove(peer_t *peer, const char *incarnation, const char *host,
		      uint16_t port)
{
	dial_t *dial = find(peer, incarnation, host, port);
	conn_t *conn;

	if (dial == NULL)
		return;
	conn = table_get(&peer->conns, dial->conn);
	remove_dial(peer, dial);
	if (conn != NULL)
		peer_conn_close(conn, "not wanted any more");
}

void peer_dial_finish(peer_t *peer)
{
	uint32_t cursor = 0;
	dial_t *dial;

	for (guint i = 0; i < peer->calls->len; i++)
		((dial_call_t *)g_ptr_array_index(peer->calls, i))->peer = NULL;
	while ((dial = table_next(&peer->dials, &cursor, NULL)) != NULL)
		remove_dial(peer, dial);
}
