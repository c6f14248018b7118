#include "peer/peer.h"

#include "log/log.h"
#include "peer/conn.h"
#include "peer/kinds.h"

#include <string.h>

#define TICK_US (250 * USEC_PER_MSEC)
#define PING_INTERVAL_DEFAULT_US USEC_PER_SEC
/* Longest time without input, in ping intervals. */
#define RECEIVE_TIMEOUT_PINGS 3
#define HANDSHAKE_TIMEOUT_US (3 * USEC_PER_SEC)
/*
 * A connection on which nothing was received for longer than two ping intervals
 * is replaced by a new one, no matter which side dialled, because the peer may
 * have lost the old connection already.
 */
#define STALE_AFTER_PINGS 2
#define CONNS_MAX (PEER_SOCKETS_MAX - LISTEN_BACKLOG)
#define LISTEN_BACKLOG 32
#define HANDSHAKES_MAX 64 /* unauthenticated connections */

enum {
	TIMER_TICK = 1
};

static void post_addr(peer_t *peer, svc_t to, msg_kind_t kind,
		      const conn_t *conn)
{
	msg_t msg = {.kind = kind};

	if (handle_is_none(to))
		return;
	g_strlcpy(msg.u.peer_addr.incarnation, conn->remote.incarnation,
		  sizeof(msg.u.peer_addr.incarnation));
	g_strlcpy(msg.u.peer_addr.host, conn->remote.host,
		  sizeof(msg.u.peer_addr.host));
	msg.u.peer_addr.port = conn->remote.peer_port;
	msg.u.peer_addr.request_port = conn->remote.admin_port;
	g_strlcpy(msg.u.peer_addr.availability_zone,
		  conn->remote.availability_zone,
		  sizeof(msg.u.peer_addr.availability_zone));
	msg.u.peer_addr.takes_patches = (conn->kinds & PEER_KINDS_PATCHES) != 0;
	kernel_post(peer->kernel, peer->svc, to, &msg);
}

/*
 * Decides whether a new connection replaces the current one to the same peer.
 * When both sides have dialled, both must make the same choice: they keep the
 * connection that the lower incarnation dialled.
 */
static bool should_replace(const conn_t *conn, const conn_t *current)
{
	const peer_t *peer = conn->peer;
	bool dialled = !handle_is_none(conn->dialler);
	bool own_is_lower = strcmp(peer->opts.self.incarnation,
				   conn->remote.incarnation) < 0;

	if (dialled == !handle_is_none(current->dialler))
		return true;
	if (kernel_now(peer->kernel) - current->last_received >
	    STALE_AFTER_PINGS * peer->opts.ping_interval)
		return true;
	return dialled == own_is_lower;
}

void peer_conn_up(peer_t *peer, conn_t *conn)
{
	conn_t *current =
		g_hash_table_lookup(peer->active, conn->remote.incarnation);
	dialler_t *dialler = table_get(&peer->diallers, conn->dialler);

	if (dialler != NULL) {
		g_strlcpy(dialler->remote_incarnation, conn->remote.incarnation,
			  sizeof(dialler->remote_incarnation));
		dialler->backoff = 0;
	}
	if (current != NULL && !should_replace(conn, current)) {
		peer_conn_close(conn, "another connection is in use");
		return;
	}
	g_hash_table_replace(peer->active, conn->remote.incarnation, conn);
	if (current != NULL) {
		peer_conn_close(current, "replaced by another connection");
		/* What was told on the old connection may be lost. */
		post_addr(peer, peer->proxy, MSG_PEER_UP, conn);
		post_addr(peer, peer->balance, MSG_PEER_UP, conn);
		post_addr(peer, peer->overload, MSG_PEER_UP, conn);
		return;
	}
	log_event(LOG_LEVEL_INFO, "peer", "up",
		  "peer=%s name=%s dialled=%d kinds=%" G_GINT64_MODIFIER "x",
		  log_quote(conn->remote.incarnation),
		  log_quote(conn->remote.name), !handle_is_none(conn->dialler),
		  conn->kinds);
	post_addr(peer, peer->member, MSG_PEER_UP, conn);
	post_addr(peer, peer->conf, MSG_PEER_UP, conn);
	post_addr(peer, peer->replica, MSG_PEER_UP, conn);
	post_addr(peer, peer->ledger, MSG_PEER_UP, conn);
	post_addr(peer, peer->streams, MSG_PEER_UP, conn);
	post_addr(peer, peer->proxy, MSG_PEER_UP, conn);
	post_addr(peer, peer->balance, MSG_PEER_UP, conn);
	post_addr(peer, peer->overload, MSG_PEER_UP, conn);
}

void peer_conn_down(peer_t *peer, conn_t *conn)
{
	if (g_hash_table_lookup(peer->active, conn->remote.incarnation) != conn)
		return;
	g_hash_table_remove(peer->active, conn->remote.incarnation);
	post_addr(peer, peer->member, MSG_PEER_DOWN, conn);
	post_addr(peer, peer->conf, MSG_PEER_DOWN, conn);
	post_addr(peer, peer->replica, MSG_PEER_DOWN, conn);
	post_addr(peer, peer->ledger, MSG_PEER_DOWN, conn);
	post_addr(peer, peer->streams, MSG_PEER_DOWN, conn);
	post_addr(peer, peer->balance, MSG_PEER_DOWN, conn);
	post_addr(peer, peer->proxy, MSG_PEER_DOWN, conn);
	post_addr(peer, peer->overload, MSG_PEER_DOWN, conn);
}

static svc_t body_service(const peer_t *peer, peer_kind_t kind)
{
	switch (kind) {
	case PEER_HEARTBEAT:
	case PEER_LEAVE:
		return peer->member;
	case PEER_CONF_PULL:
	case PEER_CONF_ITEMS:
		return peer->conf;
	case PEER_BILL_COPY:
	case PEER_COPY_ACK:
	case PEER_COPY_TRIM:
	case PEER_SLICE_REQUEST:
	case PEER_SLICE_REPLY:
	case PEER_REFILL_REQUEST:
	case PEER_REFILL_REPLY:
	case PEER_HOLDINGS_PULL:
	case PEER_HOLDINGS:
		return peer->ledger;
	case PEER_CRASH_REPORT:
		return peer->request;
	case PEER_PART_REPORT:
	case PEER_PART_SET:
	case PEER_QUARANTINE:
		return peer->proxy;
	case PEER_STORE_PULL:
	case PEER_STORE_ITEMS:
	case PEER_CONF_OFFER:
	case PEER_CONF_REQUEST:
		return peer->replica;
	case PEER_STREAM_BEGAN:
	case PEER_STREAM_QUERY:
	case PEER_STREAM_ANSWER:
		return peer->streams;
	case PEER_PLACED:
	case PEER_TARGET_LEAVING:
	case PEER_TARGET_DOUBTED:
	case PEER_TARGET_LIMIT:
	case PEER_TARGET_FULL:
	case PEER_PERMIT_REQUEST:
	case PEER_PERMIT_REPLY:
		return peer->balance;
	case PEER_OVERLOAD:
		return peer->overload;
	case PEER_KIND_COUNT:
		break;
	}
	return HANDLE_NONE;
}

static void post_body(peer_t *peer, const conn_t *conn, svc_t to,
		      peer_body_t *body)
{
	msg_t msg = {.kind = MSG_PEER_RECEIVED};

	g_strlcpy(msg.u.peer.incarnation, conn->remote.incarnation,
		  sizeof(msg.u.peer.incarnation));
	msg.u.peer.body = body;
	kernel_post(peer->kernel, peer->svc, to, &msg);
}

void peer_body_received(peer_t *peer, conn_t *conn, peer_body_t *body)
{
	if (body->kind == PEER_LEAVE)
		post_body(peer, conn, peer->ledger, peer_body_new(PEER_LEAVE));
	post_body(peer, conn, body_service(peer, body->kind), body);
}

/*
 * Sends the frame in peer->scratch to the peers in an availability zone, or to
 * all peers if zone is empty, that know its kind.
 */
static void broadcast(peer_t *peer, const char *zone, peer_kind_t kind)
{
	uint32_t cursor = 0;
	conn_t *conn;

	while ((conn = table_next(&peer->conns, &cursor, NULL)) != NULL) {
		if (zone[0] != '\0' &&
		    strcmp(conn->remote.availability_zone, zone) != 0)
			continue;
		if (g_hash_table_lookup(peer->active,
					conn->remote.incarnation) == conn &&
		    peer_conn_takes(conn, kind, peer->scratch->len))
			peer_conn_send(conn, peer->scratch->data,
				       peer->scratch->len);
	}
}

static void send_body(peer_t *peer, const msg_t *msg)
{
	const char *incarnation = msg->u.peer.incarnation;
	peer_body_t *body = msg->u.peer.body;
	peer_frame_t frame = {.kind = FRAME_BODY, .u.body = body};
	conn_t *conn = NULL;

	if (incarnation[0] != '\0') {
		conn = g_hash_table_lookup(peer->active, incarnation);
		if (conn == NULL || !peer_conn_takes(conn, body->kind, 0))
			return;
	}
	g_byte_array_set_size(peer->scratch, 0);
	if (!peer_encode(&frame, peer->scratch, &peer->err)) {
		log_event(LOG_LEVEL_ERROR, "peer", "not_sent",
			  "kind=%d reason=%s", (int)body->kind,
			  log_quote(peer->err.text));
		return;
	}
	if (conn == NULL)
		broadcast(peer, msg->u.peer.availability_zone, body->kind);
	else if (peer_conn_takes(conn, body->kind, peer->scratch->len))
		peer_conn_send(conn, peer->scratch->data, peer->scratch->len);
}

static void check_conn(peer_t *peer, conn_t *conn, int64_t now)
{
	peer_frame_t ping = {.kind = FRAME_PING};

	if (conn->state != CONN_UP) {
		if (now - conn->opened >= HANDSHAKE_TIMEOUT_US)
			peer_conn_close(conn, "handshake timeout");
		return;
	}
	if (now - conn->last_received >=
	    RECEIVE_TIMEOUT_PINGS * peer->opts.ping_interval) {
		peer_conn_close(conn, "receive timeout");
		return;
	}
	if (now - conn->last_sent < peer->opts.ping_interval)
		return;
	g_byte_array_set_size(peer->scratch, 0);
	if (peer_encode(&ping, peer->scratch, &peer->err))
		peer_conn_send(conn, peer->scratch->data, peer->scratch->len);
}

static void tick(peer_t *peer)
{
	int64_t now = kernel_now(peer->kernel);
	uint32_t cursor = 0;
	conn_t *conn;

	while ((conn = table_next(&peer->conns, &cursor, NULL)) != NULL) {
		window_check(&conn->window, &peer->kernel->pollset.windows,
			     g_socket_get_fd(conn->socket));
		check_conn(peer, conn, now);
	}
	peer_dial_due(peer);
	kernel_timer(peer->kernel, peer->svc, TICK_US, HANDLE_NONE, TIMER_TICK);
}

/*
 * Routers and gateways handle the same bodies by services with different names;
 * a process has only one of the two.
 */
static svc_t find_service(const peer_t *peer, const char *router,
			  const char *gateway)
{
	svc_t svc = kernel_find(peer->kernel, router);

	return handle_is_none(svc) ? kernel_find(peer->kernel, gateway) : svc;
}

static void start(peer_t *peer)
{
	peer->member = kernel_find(peer->kernel, "member");
	peer->conf = kernel_find(peer->kernel, "conf");
	peer->ledger = find_service(peer, "ledger", "prepaid");
	peer->request = find_service(peer, "request", "proxy");
	peer->proxy = kernel_find(peer->kernel, "proxy");
	peer->balance = kernel_find(peer->kernel, "balance");
	peer->replica = kernel_find(peer->kernel, "replica");
	peer->streams = kernel_find(peer->kernel, "streams");
	peer->overload = kernel_find(peer->kernel, "overload");
	g_socket_service_start(peer->listener);
	kernel_timer(peer->kernel, peer->svc, TICK_US, HANDLE_NONE, TIMER_TICK);
}

static void receive(void *self, msg_t *msg)
{
	peer_t *peer = self;

	switch (msg->kind) {
	case MSG_START:
		start(peer);
		break;
	case MSG_TIMER:
		tick(peer);
		break;
	case MSG_PEER_CONNECT:
		peer_dial_add(peer, msg->u.peer_addr.incarnation,
			      msg->u.peer_addr.host, msg->u.peer_addr.port);
		break;
	case MSG_PEER_DISCONNECT:
		peer_dial_remove(peer, msg->u.peer_addr.incarnation,
				 msg->u.peer_addr.host, msg->u.peer_addr.port);
		break;
	case MSG_PEER_SEND:
		if (msg->u.peer.body != NULL)
			send_body(peer, msg);
		break;
	default:
		break;
	}
}

static uint32_t count_handshakes(const peer_t *peer)
{
	return table_count(&peer->conns) - g_hash_table_size(peer->active);
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *stream,
			    GObject *source, gpointer data)
{
	peer_t *peer = data;

	(void)service;
	(void)source;
	/* GIO closes a rejected connection with its last reference. */
	if (table_count(&peer->conns) >= CONNS_MAX ||
	    count_handshakes(peer) >= HANDSHAKES_MAX)
		return TRUE;
	peer_conn_open(peer, stream, HANDLE_NONE);
	return TRUE;
}

/* Accepted connections inherit the window. */
static void on_listener_event(GSocketListener *listener,
			      GSocketListenerEvent event, GSocket *socket,
			      gpointer data)
{
	const windows_t *windows = &((peer_t *)data)->kernel->pollset.windows;

	(void)listener;
	if (event == G_SOCKET_LISTENER_BINDING && windows->least > 0)
		windows_apply(g_socket_get_fd(socket), windows->least);
}

static int open_listener(peer_t *peer)
{
	GSocketAddress *address, *effective = NULL;
	GError *error = NULL;
	int result = -1;

	address = g_inet_socket_address_new_from_string(peer->opts.listen_host,
							peer->opts.listen_port);
	if (address == NULL) {
		errmsg_set(&peer->err, "%s is not an IP address",
			   peer->opts.listen_host);
		return -1;
	}
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(peer->listener),
					   address, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL,
					   &effective, &error)) {
		errmsg_set(&peer->err, "cannot listen on %s port %u: %s",
			   peer->opts.listen_host, peer->opts.listen_port,
			   error->message);
		g_error_free(error);
		goto out;
	}
	peer->opts.listen_port = g_inet_socket_address_get_port(
		G_INET_SOCKET_ADDRESS(effective));
	if (peer->opts.self.peer_port == 0)
		peer->opts.self.peer_port = peer->opts.listen_port;
	result = 0;
out:
	g_clear_object(&effective);
	g_object_unref(address);
	return result;
}

int peer_init(peer_t *peer, kernel_t *kernel, const peer_opts_t *opts)
{
	memset(peer, 0, sizeof(*peer));
	peer->kernel = kernel;
	peer->opts = *opts;
	if (peer->opts.ping_interval == 0)
		peer->opts.ping_interval = PING_INTERVAL_DEFAULT_US;
	table_init(&peer->conns, sizeof(conn_t));
	table_init(&peer->diallers, sizeof(dialler_t));
	peer->active = g_hash_table_new(g_str_hash, g_str_equal);
	peer->attempts = g_ptr_array_new();
	peer->scratch = g_byte_array_new();
	peer->client = g_socket_client_new();
	g_socket_client_set_enable_proxy(peer->client, FALSE);
	peer->listener = g_socket_service_new();
	g_socket_service_stop(peer->listener);
	g_signal_connect(peer->listener, "incoming", G_CALLBACK(on_incoming),
			 peer);
	g_signal_connect(peer->listener, "event", G_CALLBACK(on_listener_event),
			 peer);
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(peer->listener),
				      LISTEN_BACKLOG);
	peer->svc = kernel_register(kernel, "peer", receive, peer);
	if (strlen(opts->key) < PEER_KEY_MIN) {
		errmsg_set(&peer->err, "the peer key is shorter than %d bytes",
			   PEER_KEY_MIN);
		return -1;
	}
	return open_listener(peer);
}

void peer_finish(peer_t *peer)
{
	uint32_t cursor = 0;
	conn_t *conn;

	g_signal_handlers_disconnect_by_data(peer->listener, peer);
	g_socket_service_stop(peer->listener);
	g_socket_listener_close(G_SOCKET_LISTENER(peer->listener));
	g_object_unref(peer->listener);
	peer_dial_finish(peer);
	while ((conn = table_next(&peer->conns, &cursor, NULL)) != NULL) {
		/* A PEER_LEAVE body may still be queued. */
		if (conn->state == CONN_UP && conn->output->len > 0)
			peer_conn_flush(conn);
		peer_conn_free(conn);
	}
	g_object_unref(peer->client);
	g_byte_array_unref(peer->scratch);
	g_ptr_array_unref(peer->attempts);
	g_hash_table_unref(peer->active);
	table_finish(&peer->diallers);
	table_finish(&peer->conns);
	kernel_unregister(peer->kernel, peer->svc);
}

uint16_t peer_port(const peer_t *peer)
{
	return peer->opts.listen_port;
}
