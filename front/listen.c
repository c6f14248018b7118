#include "front/listen.h"

#include "front/caller.h"
#include "log/log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define LISTEN_BACKLOG 1024
#define ACCEPT_BATCH 64 /* connections accepted per turn of the loop */
/* Delay after a failed accept(), for example for lack of descriptors. */
#define ACCEPT_RETRY_US (100 * USEC_PER_MSEC)
/* Interval of the timeout checks and so the resolution of the timeouts. */
#define TIMEOUT_CHECK_US USEC_PER_SEC

typedef enum accept_status_t {
	ACCEPT_OK,
	ACCEPT_NONE_LEFT, /* the accept queue is empty */
	ACCEPT_FAILED,
} accept_status_t;

static void adjust_connection_count(front_connections_t *connections,
				    int change)
{
	connections->count = (uint32_t)((int)connections->count + change);
	if (connections->metrics != NULL)
		metrics_set(connections->metrics, GAUGE_CONNECTIONS,
			    connections->count);
}

static void free_connection(gpointer data)
{
	connection_t *connection = data;
	front_connections_t *connections = connection->connections;

	table_remove(&connections->table, connection->self);
	adjust_connection_count(connections, -1);
	front_connections_unref(connections);
}

static void free_connections(gpointer data)
{
	table_finish(&((front_connections_t *)data)->table);
}

void front_connections_unref(front_connections_t *connections)
{
	g_rc_box_release_full(connections, free_connections);
}

static void track_connection(front_t *front, GIOStream *caller)
{
	connection_t *connection;
	handle_t self =
		table_add(&front->connections->table, (void **)&connection);

	connection->connections = g_rc_box_acquire(front->connections);
	connection->self = self;
	connection->caller = caller;
	g_object_set_data_full(G_OBJECT(caller), "connection", connection,
			       free_connection);
	adjust_connection_count(front->connections, 1);
	if (handle_is_none(front->timeout_timer))
		front->timeout_timer = kernel_timer(
			front->kernel, front->svc, TIMEOUT_CHECK_US,
			HANDLE_NONE, FRONT_TIMER_TIMEOUTS);
}

void listen_check_timeouts(front_t *front)
{
	table_t *table = &front->connections->table;
	int64_t now = kernel_now(front->kernel);
	connection_t *connection;
	uint32_t cursor = 0;

	kernel_return_memory(front->kernel);
	front->timeout_timer = HANDLE_NONE;
	while ((connection = table_next(table, &cursor, NULL)) != NULL)
		caller_check_timeout(connection->caller, now,
				     &front->opts.timeouts);
	if (table_count(table) > 0)
		front->timeout_timer = kernel_timer(
			front->kernel, front->svc, TIMEOUT_CHECK_US,
			HANDLE_NONE, FRONT_TIMER_TIMEOUTS);
}

static GIOStream *wrap_socket(front_t *front, GSocket *socket)
{
	GIOStream *plain = G_IO_STREAM(
		g_socket_connection_factory_create_connection(socket));
	GIOStream *tls;

	if (front->cert == NULL)
		return plain;
	tls = g_tls_server_connection_new(plain, front->cert, NULL);
	g_object_unref(plain);
	return tls;
}

static void accept_connection(front_t *front, GSocket *socket)
{
	GIOStream *base, *caller;

	if (front->connections->count >= front->opts.max_connections)
		return;
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	base = wrap_socket(front, socket);
	if (base == NULL)
		return;
	caller = caller_new(base, socket, &front->kernel->pollset.windows);
	track_connection(front, caller);
	caller_accept(front->server, caller, socket);
	g_object_unref(caller);
}

static void stop_accepting(front_t *front)
{
	if (front->accept_source == NULL)
		return;
	g_source_destroy(front->accept_source);
	g_clear_pointer(&front->accept_source, g_source_unref);
}

static accept_status_t accept_next(front_t *front)
{
	GError *error = NULL;
	GSocket *socket = g_socket_accept(front->listener, NULL, &error);
	accept_status_t status = ACCEPT_OK;

	if (socket != NULL)
		accept_connection(front, socket);
	else if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		status = ACCEPT_NONE_LEFT;
	else
		status = ACCEPT_FAILED;
	if (status == ACCEPT_FAILED)
		log_event(LOG_LEVEL_WARN, "front", "accept_failed", "reason=%s",
			  log_quote(error->message));
	g_clear_object(&socket);
	g_clear_error(&error);
	return status;
}

static gboolean on_incoming(GSocket *listener, GIOCondition condition,
			    gpointer data)
{
	front_t *front = data;
	accept_status_t status = ACCEPT_OK;

	(void)listener;
	(void)condition;
	for (int i = 0; i < ACCEPT_BATCH && status == ACCEPT_OK; i++)
		status = accept_next(front);
	if (status == ACCEPT_FAILED) {
		stop_accepting(front);
		kernel_timer(front->kernel, front->svc, ACCEPT_RETRY_US,
			     HANDLE_NONE, FRONT_TIMER_ACCEPT);
	}
	return G_SOURCE_CONTINUE;
}

void listen_drain(front_t *front)
{
	if (front->listener == NULL)
		return;
	while (accept_next(front) == ACCEPT_OK)
		;
	listen_close(front);
}

void listen_resume(front_t *front)
{
	if (front->listener == NULL || front->accept_source != NULL)
		return;
	front->accept_source =
		g_socket_create_source(front->listener, G_IO_IN, NULL);
	g_source_set_callback(front->accept_source, G_SOURCE_FUNC(on_incoming),
			      front, NULL);
	g_source_attach(front->accept_source, NULL);
}

void listen_close(front_t *front)
{
	stop_accepting(front);
	if (front->listener == NULL)
		return;
	g_socket_close(front->listener, NULL);
	g_clear_object(&front->listener);
}

static front_status_t load_tls(front_t *front)
{
	GTlsCertificate *cert;
	GError *error = NULL;

	cert = g_tls_certificate_new_from_files(front->opts.tls_cert,
						front->opts.tls_key, &error);
	if (cert == NULL) {
		errmsg_set(&front->err, "cannot load the TLS certificate: %s",
			   error->message);
		g_error_free(error);
		return FRONT_TLS_FAILED;
	}
	front->cert = cert;
	return FRONT_OK;
}

uint32_t front_sockets_max(const front_t *front)
{
	return front->opts.max_connections + LISTEN_BACKLOG;
}

/* Accepted connections inherit the window; 0: the system chooses. */
static GSocket *open_listener(GSocketAddress *address, uint32_t window,
			      GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, error);

	if (socket == NULL)
		return NULL;
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	g_socket_set_blocking(socket, FALSE);
	if (window > 0)
		windows_apply(g_socket_get_fd(socket), window);
	if (!g_socket_bind(socket, address, TRUE, error) ||
	    !g_socket_listen(socket, error))
		g_clear_object(&socket);
	return socket;
}

static uint16_t local_port(GSocket *socket)
{
	GSocketAddress *address = g_socket_get_local_address(socket, NULL);
	uint16_t port;

	if (address == NULL)
		return 0;
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
	g_object_unref(address);
	return port;
}

/*
 * libsoup keeps connections open between requests only while it has a
 * listening socket itself, so it gets one that accepts no connections.
 */
static bool enable_keep_alive(SoupServer *server, GError **error)
{
	GInetAddress *host = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
	GSocketAddress *address = g_inet_socket_address_new(host, 0);
	GSocket *socket = open_listener(address, 0, error);
	bool ok = false;

	if (socket != NULL) {
		ok = soup_server_listen_socket(server, socket, 0, error);
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	}
	g_clear_object(&socket);
	g_object_unref(address);
	g_object_unref(host);
	return ok;
}

front_status_t front_listen(front_t *front)
{
	bool tls = front->opts.tls_cert[0] != '\0';
	front_status_t status = FRONT_BAD_ADDRESS;
	GSocketAddress *address;
	GError *error = NULL;

	address = g_inet_socket_address_new_from_string(front->opts.host,
							front->opts.port);
	if (address == NULL) {
		errmsg_set(&front->err, "%s is not an IP address",
			   front->opts.host);
		goto out;
	}
	if (tls && (status = load_tls(front)) != FRONT_OK)
		goto out;
	status = FRONT_LISTEN_FAILED;
	front->listener = open_listener(
		address, front->kernel->pollset.windows.least, &error);
	if (front->listener == NULL ||
	    !enable_keep_alive(front->server, &error)) {
		errmsg_set(&front->err, "cannot listen on %s port %u: %s",
			   front->opts.host, front->opts.port, error->message);
		goto out;
	}
	front->port = local_port(front->listener);
	listen_resume(front);
	status = FRONT_OK;
out:
	g_clear_error(&error);
	g_clear_object(&address);
	return status;
}

uint16_t front_port(const front_t *front)
{
	return front->port;
}
