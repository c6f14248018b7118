#include "admin/admin.h"

#include "log/log.h"

#include <string.h>

/* Compares digests, which have equal lengths, in constant time. */
static bool token_matches(const char *given, const char *expected)
{
	gchar *a = g_compute_checksum_for_string(G_CHECKSUM_SHA256, given, -1);
	gchar *b =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, expected, -1);
	unsigned char diff = 0;

	for (size_t i = 0; a[i] != '\0'; i++)
		diff |= (unsigned char)(a[i] ^ b[i]);
	g_free(a);
	g_free(b);
	return diff == 0;
}

static bool is_authorized(const admin_t *admin, SoupServerMessage *msg)
{
	static const char scheme[] = "Bearer ";
	const char *header;

	if (admin->opts.token[0] == '\0')
		return true;
	header = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), "Authorization");
	if (header == NULL ||
	    g_ascii_strncasecmp(header, scheme, strlen(scheme)) != 0)
		return false;
	return token_matches(header + strlen(scheme), admin->opts.token);
}

static void respond(SoupServerMessage *msg, guint status, const char *type,
		    const char *text)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_COPY, text,
					 strlen(text));
}

static void respond_ready(const admin_t *admin, SoupServerMessage *msg)
{
	if (admin->stopping)
		respond(msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
			"stopping\n");
	else if (admin->conf == NULL)
		respond(msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "text/plain",
			"no configuration yet\n");
	else
		respond(msg, SOUP_STATUS_OK, "text/plain", "ready\n");
}

static void respond_metrics(const admin_t *admin, SoupServerMessage *msg)
{
	GString *text = g_string_new(NULL);

	metrics_print(admin->kernel->metrics, text);
	respond(msg, SOUP_STATUS_OK, "text/plain; version=0.0.4", text->str);
	g_string_free(text, TRUE);
}

static void respond_status(const admin_t *admin, SoupServerMessage *msg)
{
	gchar *text = admin_status(admin);

	respond(msg, SOUP_STATUS_OK, "application/json", text);
	g_free(text);
}

/* Runs before the body is read and discards it, as no path uses a body. */
static void handle_request(SoupServer *server, SoupServerMessage *msg,
			   const char *path, GHashTable *query, gpointer data)
{
	const admin_t *admin = data;

	(void)server;
	(void)query;
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(msg), FALSE);
	if (!is_authorized(admin, msg))
		respond(msg, SOUP_STATUS_UNAUTHORIZED, "text/plain",
			"the bearer token is missing or wrong\n");
	else if (soup_server_message_get_method(msg) != SOUP_METHOD_GET)
		respond(msg, SOUP_STATUS_METHOD_NOT_ALLOWED, "text/plain",
			"only GET is allowed\n");
	else if (strcmp(path, "/healthz") == 0)
		respond(msg, SOUP_STATUS_OK, "text/plain", "ok\n");
	else if (strcmp(path, "/readyz") == 0)
		respond_ready(admin, msg);
	else if (strcmp(path, "/metrics") == 0)
		respond_metrics(admin, msg);
	else if (strcmp(path, "/status") == 0)
		respond_status(admin, msg);
	else
		respond(msg, SOUP_STATUS_NOT_FOUND, "text/plain",
			"there is no such path\n");
}

static void subscribe(admin_t *admin, const char *name, msg_kind_t kind)
{
	msg_t msg = {.kind = kind};

	kernel_post(admin->kernel, admin->svc, kernel_find(admin->kernel, name),
		    &msg);
}

static void receive(void *self, msg_t *msg)
{
	admin_t *admin = self;

	switch (msg->kind) {
	case MSG_START:
		subscribe(admin, "member", MSG_MEMBER_SUBSCRIBE);
		subscribe(admin, "conf", MSG_CONF_SUBSCRIBE);
		break;
	case MSG_STOP:
		admin->stopping = true;
		break;
	case MSG_MEMBER_CHANGED:
		member_list_unref(admin->members);
		admin->members = g_steal_pointer(&msg->u.members);
		break;
	case MSG_CONF_CHANGED:
		conf_snapshot_unref(admin->conf);
		admin->conf = g_steal_pointer(&msg->u.conf);
		break;
	default:
		break;
	}
}

static int start_listening(admin_t *admin)
{
	GInetAddress *address;
	GSocketAddress *socket_address;
	GError *error = NULL;
	int result = -1;

	address = g_inet_address_new_from_string(admin->opts.host);
	if (address == NULL) {
		errmsg_set(&admin->err, "%s is not an IP address",
			   admin->opts.host);
		return -1;
	}
	socket_address = g_inet_socket_address_new(address, admin->opts.port);
	if (!g_inet_address_get_is_loopback(address) &&
	    admin->opts.token[0] == '\0') {
		errmsg_set(&admin->err,
			   "a token is required to listen on the address %s",
			   admin->opts.host);
	} else if (!soup_server_listen(admin->server, socket_address, 0,
				       &error)) {
		errmsg_set(&admin->err, "cannot listen on %s port %u: %s",
			   admin->opts.host, admin->opts.port, error->message);
		g_error_free(error);
	} else {
		result = 0;
	}
	g_object_unref(socket_address);
	g_object_unref(address);
	return result;
}

int admin_init(admin_t *admin, kernel_t *kernel, const admin_opts_t *opts)
{
	memset(admin, 0, sizeof(*admin));
	admin->kernel = kernel;
	admin->opts = *opts;
	admin->server = soup_server_new(NULL, NULL);
	soup_server_add_early_handler(admin->server, NULL, handle_request,
				      admin, NULL);
	admin->svc = kernel_register(kernel, "admin", receive, admin);
	return start_listening(admin);
}

void admin_finish(admin_t *admin)
{
	soup_server_disconnect(admin->server);
	g_object_unref(admin->server);
	member_list_unref(admin->members);
	conf_snapshot_unref(admin->conf);
	kernel_unregister(admin->kernel, admin->svc);
}

uint16_t admin_port(const admin_t *admin)
{
	GSList *uris = soup_server_get_uris(admin->server);
	int port = uris == NULL ? 0 : g_uri_get_port(uris->data);

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return (uint16_t)port;
}
