#include "settings/settings.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <string.h>

#define FILE_SIZE_MAX 1048576 /* bytes */
#define NESTING_MAX 8 /* levels of objects and arrays */
#define PORT_MAX 65535
#define BUFFERS_MIB_MIN 16 /* four bodies of the greatest usual size */
#define BUFFERS_MIB_DEFAULT 64
/*
 * Part of the memory for requests and responses.  The process needs some 10 MiB
 * beside, and up to 1.3 times the limit at its peak; the sockets' buffers are
 * in the memory of the machine as well.
 */
#define MEMORY_BUFFERS_DIVISOR 4

typedef enum setting_type_t {
	SETTING_INTEGER, /* a whole number from min to max */
	SETTING_NAME, /* a name that name_is_valid() accepts */
	SETTING_TEXT, /* a string of min to max bytes */
	SETTING_SECRET, /* SETTING_TEXT that is never printed */
	SETTING_ADDRESS, /* an IP address */
	SETTING_LEVEL, /* a log level */
	SETTING_URL, /* an http or https URL, or empty */
	SETTING_SEEDS, /* list of IP:PORT */
	SETTING_URLS, /* list of URLs, at least one */
	SETTING_LISTEN, /* IP:PORT */
	SETTING_DECIMAL, /* a number from min to max, whole or not */
} setting_type_t;

/* The programs for which a setting is required. */
typedef enum required_by_t {
	REQUIRED_BY_NONE,
	REQUIRED_BY_ROUTER,
	REQUIRED_BY_GATEWAY,
	REQUIRED_BY_ALL,
} required_by_t;

typedef struct setting_t {
	const char *path;
	setting_type_t type;
	size_t offset;
	required_by_t required_by;
	int64_t min;
	int64_t max;
	int64_t default_number; /* for SETTING_INTEGER */
	const char *default_text; /* for all other types but lists */
	const char *help;
} setting_t;

#define FIELD(field) offsetof(settings_t, field)

static const setting_t setting_table[] = {
	{"name", SETTING_NAME, FIELD(name), REQUIRED_BY_ALL, 0, 0, 0, "",
	 "name of this router, unique in the fleet"},
	{"availability_zone", SETTING_NAME, FIELD(availability_zone),
	 REQUIRED_BY_ALL, 0, 0, 0, "", "availability zone of this instance"},
	{"log_level", SETTING_LEVEL, FIELD(log_level), REQUIRED_BY_NONE, 0, 0,
	 0, "info", "least severe level that is written"},
	{"stop_timeout_s", SETTING_INTEGER, FIELD(stop_timeout_s),
	 REQUIRED_BY_NONE, 1, 86400, 600, "",
	 "longest wait for running requests on a planned stop, s"},

	{"caller.host", SETTING_ADDRESS, FIELD(caller_host), REQUIRED_BY_NONE,
	 0, 0, 0, "127.0.0.1", "address for callers"},
	{"caller.port", SETTING_INTEGER, FIELD(caller_port), REQUIRED_BY_ROUTER,
	 0, PORT_MAX, 0, "", "port for callers, 0 for any free one"},
	{"caller.tls_certificate", SETTING_TEXT, FIELD(caller_tls_certificate),
	 REQUIRED_BY_NONE, 0, 255, 0, "",
	 "certificate file in PEM, empty for plain HTTP"},
	{"caller.tls_key", SETTING_TEXT, FIELD(caller_tls_key),
	 REQUIRED_BY_NONE, 0, 255, 0, "", "private key file in PEM"},
	{"caller.max_body", SETTING_INTEGER, FIELD(caller_max_body),
	 REQUIRED_BY_NONE, 1024, 67108864, 4194304, "",
	 "largest request body, bytes"},
	{"caller.max_header", SETTING_INTEGER, FIELD(caller_max_header),
	 REQUIRED_BY_NONE, 1024, 65536, 16384, "",
	 "largest request head, bytes"},
	{"caller.max_connections", SETTING_INTEGER,
	 FIELD(caller_max_connections), REQUIRED_BY_NONE, 1, 1000000, 20000, "",
	 "connections of callers at one time"},
	{"caller.buffer", SETTING_INTEGER, FIELD(caller_buffer),
	 REQUIRED_BY_NONE, 4096, 16777216, 65536, "",
	 "unsent bytes of one answer at which its target is paused"},
	{"caller.memory_mib", SETTING_DECIMAL, FIELD(caller_memory_mib),
	 REQUIRED_BY_NONE, 0, 1048576, 0, "0",
	 "memory of the machine, MiB, a quarter of it for requests, 16 MiB at "
	 "least; 0: unknown, 64 MiB for requests"},

	{"peer.host", SETTING_ADDRESS, FIELD(peer_host), REQUIRED_BY_NONE, 0, 0,
	 0, "127.0.0.1", "address for other routers"},
	{"peer.port", SETTING_INTEGER, FIELD(peer_port), REQUIRED_BY_ROUTER, 1,
	 PORT_MAX, 0, "", "port for other routers"},
	{"peer.key", SETTING_SECRET, FIELD(peer_key), REQUIRED_BY_ALL, 16, 255,
	 0, "", "key shared by all routers, 16 bytes at least"},
	{"peer.seeds", SETTING_SEEDS, FIELD(peer_seeds), REQUIRED_BY_NONE, 0, 0,
	 0, "", "addresses IP:PORT of routers to join through"},

	{"admin.host", SETTING_ADDRESS, FIELD(admin_host), REQUIRED_BY_NONE, 0,
	 0, 0, "127.0.0.1", "address for health, metrics and status"},
	{"admin.port", SETTING_INTEGER, FIELD(admin_port), REQUIRED_BY_ROUTER,
	 1, PORT_MAX, 0, "", "port for health, metrics and status"},
	{"admin.token", SETTING_SECRET, FIELD(admin_token), REQUIRED_BY_NONE, 0,
	 255, 0, "",
	 "bearer token, required when admin.host is not a loopback address"},

	{"store.endpoints", SETTING_URLS, FIELD(store_endpoints),
	 REQUIRED_BY_ROUTER, 0, 0, 0, "",
	 "URLs of the platform's key-value store"},
	{"store.prefix", SETTING_TEXT, FIELD(store_prefix), REQUIRED_BY_NONE, 1,
	 64, 0, "tanagertrestle/", "prefix of all keys in the store"},
	{"store.token", SETTING_SECRET, FIELD(store_token), REQUIRED_BY_NONE, 0,
	 255, 0, "", "token sent to the store"},
	{"store.timeout_ms", SETTING_INTEGER, FIELD(store_timeout_ms),
	 REQUIRED_BY_NONE, 50, 60000, 2000, "",
	 "longest wait for an answer of the store, ms"},

	{"instances.url", SETTING_URL, FIELD(instances_url), REQUIRED_BY_NONE,
	 0, 0, 0, "",
	 "URL of the platform's list of instances, empty for none"},
	{"instances.interval_ms", SETTING_INTEGER, FIELD(instances_interval_ms),
	 REQUIRED_BY_NONE, 100, 60000, 1000, "",
	 "time between reads of the list, ms"},

	{"member.lease_s", SETTING_INTEGER, FIELD(member_lease_s),
	 REQUIRED_BY_NONE, 3, 300, 10, "",
	 "time to live of a router's lease in the store, s"},
	{"ledger.horizon_s", SETTING_INTEGER, FIELD(ledger_horizon_s),
	 REQUIRED_BY_NONE, 1, 3600, 150, "", "demand that a grant covers, s"},
	{"ledger.unprotected_percent", SETTING_INTEGER,
	 FIELD(ledger_unprotected_percent), REQUIRED_BY_NONE, 0, 100, 10, "",
	 "part of a grant that may be spent without store and buddy, %"},
	{"request.retry_percent", SETTING_INTEGER, FIELD(request_retry_percent),
	 REQUIRED_BY_NONE, 0, 100, 10, "", "retries as a share of requests, %"},
	{"request.max_running", SETTING_INTEGER, FIELD(request_max_running),
	 REQUIRED_BY_NONE, 1, 1000000, 20000, "",
	 "requests in progress at one time"},

	{"gateway.callers", SETTING_LISTEN, FIELD(gateway_callers),
	 REQUIRED_BY_GATEWAY, 0, 0, 0, "", "address for callers"},
	{"gateway.readiness", SETTING_LISTEN, FIELD(gateway_readiness),
	 REQUIRED_BY_GATEWAY, 0, 0, 0, "",
	 "address for the load balancer's readiness checks"},
	{"gateway.metrics", SETTING_LISTEN, FIELD(gateway_metrics),
	 REQUIRED_BY_GATEWAY, 0, 0, 0, "",
	 "address for the metrics, and for requests that peers pass on"},
	{"gateway.peers", SETTING_LISTEN, FIELD(gateway_peers),
	 REQUIRED_BY_GATEWAY, 0, 0, 0, "", "address for other gateways"},
	{"gateway.store", SETTING_LISTEN, FIELD(gateway_store),
	 REQUIRED_BY_GATEWAY, 0, 0, 0, "",
	 "address of the platform's key-value store"},
	{"gateway.watch_pause_ms", SETTING_INTEGER,
	 FIELD(gateway_watch_pause_ms), REQUIRED_BY_NONE, 10, 10000, 600, "",
	 "pause between two reads of the store's changes, ms"},
	{"gateway.memory_mib", SETTING_DECIMAL, FIELD(gateway_memory_mib),
	 REQUIRED_BY_NONE, 0, 1048576, 0, "0",
	 "memory of the machine, MiB, 0: unknown"},
	{"gateway.buffers_mib", SETTING_INTEGER, FIELD(gateway_buffers_mib),
	 REQUIRED_BY_NONE, 0, 65536, 0, "",
	 "memory for requests and responses in progress, MiB, 16 or more; 0: a "
	 "quarter of `gateway.memory_mib`, 64 if that is unknown"},
	{"gateway.link_mbps", SETTING_DECIMAL, FIELD(gateway_link_mbps),
	 REQUIRED_BY_NONE, 0, 1000000, 0, "0",
	 "capacity of the machine's link in each direction, Mbit/s; load above "
	 "it is refused or moved; 0: unknown, no decision depends on it"},
	{"gateway.retry_ratio", SETTING_DECIMAL, FIELD(gateway_retry_ratio),
	 REQUIRED_BY_NONE, 0, 1, 0, "0.1",
	 "requests sent again to a service, as a share of its requests"},
	{"gateway.retry_slack", SETTING_DECIMAL, FIELD(gateway_retry_slack),
	 REQUIRED_BY_NONE, 0, 1000000, 0, "20",
	 "requests sent again beside that share, by the whole fleet"},
	{"gateway.retry_window_s", SETTING_DECIMAL,
	 FIELD(gateway_retry_window_s), REQUIRED_BY_NONE, 1, 3600, 0, "10",
	 "time over which requests sent again are counted, s"},
	{"gateway.grace_s", SETTING_DECIMAL, FIELD(gateway_grace_s),
	 REQUIRED_BY_NONE, 2, 3600, 0, "8",
	 "time from SIGTERM to the end of the process, s"},
	{"gateway.cold_overage", SETTING_DECIMAL, FIELD(gateway_cold_overage),
	 REQUIRED_BY_NONE, 0, 100, 0, "1.5",
	 "most requests that a cold target gets in a second, as a multiple of "
	 "those that it sustains"},
	{"gateway.cold_slack", SETTING_DECIMAL, FIELD(gateway_cold_slack),
	 REQUIRED_BY_NONE, 0, 1000000, 0, "5",
	 "requests beside that multiple that a cold target gets in a second"},
	{"gateway.pace", SETTING_INTEGER, FIELD(gateway_pace), REQUIRED_BY_NONE,
	 0, 1, 0, "",
	 "1: restrain targets that have just started or recovered"},
};

void settings_init(settings_t *settings)
{
	memset(settings, 0, sizeof(*settings));
	for (gsize i = 0; i < G_N_ELEMENTS(setting_table); i++) {
		char *field = (char *)settings + setting_table[i].offset;

		switch (setting_table[i].type) {
		case SETTING_INTEGER:
			*(int64_t *)(void *)field =
				setting_table[i].default_number;
			break;
		case SETTING_SEEDS:
		case SETTING_URLS:
			break;
		case SETTING_DECIMAL:
			*(double *)(void *)field = g_ascii_strtod(
				setting_table[i].default_text, NULL);
			break;
		default:
			g_strlcpy(field, setting_table[i].default_text,
				  SETTING_TEXT_SIZE);
			break;
		}
	}
}

void settings_finish(settings_t *settings)
{
	explicit_bzero(settings, sizeof(*settings));
}

bool settings_parse_address(const char *text, char *host, size_t host_size,
			    uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *address = NULL;
	char *end = NULL;
	gint64 number;

	if (colon == NULL || colon == text || !g_ascii_isdigit(colon[1]))
		return false;
	number = g_ascii_strtoll(colon + 1, &end, 10);
	if (*end != '\0' || number < 1 || number > PORT_MAX)
		return false;
	if (text[0] == '[' && colon[-1] == ']')
		address = g_strndup(text + 1, (gsize)(colon - text - 2));
	else
		address = g_strndup(text, (gsize)(colon - text));
	if (!g_hostname_is_ip_address(address) ||
	    g_strlcpy(host, address, host_size) >= host_size)
		return false;
	*port = (uint16_t)number;
	return true;
}

static bool is_url(const char *text)
{
	g_autoptr(GUri) uri = g_uri_parse(text, G_URI_FLAGS_NONE, NULL);
	const char *scheme;

	if (uri == NULL || g_uri_get_host(uri) == NULL)
		return false;
	scheme = g_uri_get_scheme(uri);
	return strcmp(scheme, "http") == 0 || strcmp(scheme, "https") == 0;
}

static bool is_log_level(const char *text)
{
	return strcmp(text, "error") == 0 || strcmp(text, "warn") == 0 ||
	       strcmp(text, "info") == 0 || strcmp(text, "debug") == 0;
}

static char *describe_allowed(const setting_t *setting)
{
	switch (setting->type) {
	case SETTING_INTEGER:
		return g_strdup_printf("a whole number from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       setting->min, setting->max);
	case SETTING_NAME:
		return g_strdup_printf("1 to %d letters, digits, '.', '_', '-'",
				       NAME_SIZE - 1);
	case SETTING_TEXT:
	case SETTING_SECRET:
		return g_strdup_printf("a string of %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT " bytes",
				       setting->min, setting->max);
	case SETTING_ADDRESS:
		return g_strdup("an IP address");
	case SETTING_LEVEL:
		return g_strdup("error, warn, info or debug");
	case SETTING_URL:
		return g_strdup("an http or https URL, or an empty string");
	case SETTING_SEEDS:
		return g_strdup_printf("a list of at most %d IP:PORT",
				       SETTING_LIST_MAX);
	case SETTING_URLS:
		return g_strdup_printf("a list of 1 to %d http or https URLs",
				       SETTING_LIST_MAX);
	case SETTING_LISTEN:
		return g_strdup("IP:PORT");
	case SETTING_DECIMAL:
		return g_strdup_printf("a number from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       setting->min, setting->max);
	}
	return g_strdup("nothing");
}

static settings_status_t reject_value(const setting_t *setting, JsonNode *node,
				      errmsg_t *err)
{
	g_autofree char *allowed = describe_allowed(setting);
	g_autofree char *value = NULL;

	if (setting->type == SETTING_SECRET)
		value = g_strdup("(secret)");
	else
		value = json_to_string(node, FALSE);
	errmsg_set(err, "%s: %.80s is not allowed, expected %s", setting->path,
		   value, allowed);
	return SETTINGS_INVALID;
}

static bool is_text_allowed(const setting_t *setting, const char *text)
{
	size_t len = strlen(text);
	char host[HOST_SIZE];
	uint16_t port;

	if (len >= SETTING_TEXT_SIZE)
		return false;
	switch (setting->type) {
	case SETTING_LISTEN:
		return settings_parse_address(text, host, sizeof(host), &port);
	case SETTING_NAME:
		return name_is_valid(text);
	case SETTING_TEXT:
	case SETTING_SECRET:
		return (int64_t)len >= setting->min &&
		       (int64_t)len <= setting->max;
	case SETTING_ADDRESS:
		return g_hostname_is_ip_address(text);
	case SETTING_LEVEL:
		return is_log_level(text);
	case SETTING_URL:
		return len == 0 || is_url(text);
	default:
		return false;
	}
}

static bool is_item_allowed(const setting_t *setting, const char *text)
{
	char host[HOST_SIZE];
	uint16_t port;

	if (strlen(text) >= SETTING_TEXT_SIZE)
		return false;
	if (setting->type == SETTING_SEEDS)
		return settings_parse_address(text, host, sizeof(host), &port);
	return is_url(text);
}

static bool node_has_type(JsonNode *node, GType type)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

static bool parse_list(const setting_t *setting, JsonNode *node,
		       setting_list_t *list)
{
	JsonArray *array;
	guint count;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	count = json_array_get_length(array);
	if (count > SETTING_LIST_MAX ||
	    (setting->type == SETTING_URLS && count == 0))
		return false;
	for (guint i = 0; i < count; i++) {
		JsonNode *item = json_array_get_element(array, i);

		if (!node_has_type(item, G_TYPE_STRING) ||
		    !is_item_allowed(setting, json_node_get_string(item)))
			return false;
		g_strlcpy(list->items[i], json_node_get_string(item),
			  SETTING_TEXT_SIZE);
	}
	list->count = count;
	return true;
}

static settings_status_t parse_decimal(const setting_t *setting, JsonNode *node,
				       double *value, errmsg_t *err)
{
	double number;

	if (!node_has_type(node, G_TYPE_DOUBLE) &&
	    !node_has_type(node, G_TYPE_INT64))
		return reject_value(setting, node, err);
	number = json_node_get_double(node);
	if (!(number >= (double)setting->min && number <= (double)setting->max))
		return reject_value(setting, node, err);
	*value = number;
	return SETTINGS_OK;
}

static settings_status_t parse_value(settings_t *settings,
				     const setting_t *setting, JsonNode *node,
				     errmsg_t *err)
{
	char *field = (char *)settings + setting->offset;
	int64_t number;

	switch (setting->type) {
	case SETTING_INTEGER:
		if (!node_has_type(node, G_TYPE_INT64))
			return reject_value(setting, node, err);
		number = json_node_get_int(node);
		if (number < setting->min || number > setting->max)
			return reject_value(setting, node, err);
		*(int64_t *)(void *)field = number;
		return SETTINGS_OK;
	case SETTING_DECIMAL:
		return parse_decimal(setting, node, (double *)(void *)field,
				     err);
	case SETTING_SEEDS:
	case SETTING_URLS:
		if (!parse_list(setting, node, (setting_list_t *)(void *)field))
			return reject_value(setting, node, err);
		return SETTINGS_OK;
	default:
		if (!node_has_type(node, G_TYPE_STRING) ||
		    !is_text_allowed(setting, json_node_get_string(node)))
			return reject_value(setting, node, err);
		g_strlcpy(field, json_node_get_string(node), SETTING_TEXT_SIZE);
		return SETTINGS_OK;
	}
}

static const setting_t *find_setting(const char *path)
{
	for (gsize i = 0; i < G_N_ELEMENTS(setting_table); i++) {
		if (strcmp(setting_table[i].path, path) == 0)
			return &setting_table[i];
	}
	return NULL;
}

static bool is_section(const char *name)
{
	size_t len = strlen(name);

	for (gsize i = 0; i < G_N_ELEMENTS(setting_table); i++) {
		if (strncmp(setting_table[i].path, name, len) == 0 &&
		    setting_table[i].path[len] == '.')
			return true;
	}
	return false;
}

/* Parses one JSON object.  The section of the root object is "". */
static settings_status_t parse_object(settings_t *settings, JsonObject *object,
				      const char *section, bool *present,
				      errmsg_t *err)
{
	g_autoptr(GList) names = json_object_get_members(object);
	settings_status_t status = SETTINGS_OK;

	for (GList *l = names; l != NULL && status == SETTINGS_OK;
	     l = l->next) {
		const char *name = l->data;
		JsonNode *node = json_object_get_member(object, name);
		g_autofree char *path = g_strconcat(
			section, *section == '\0' ? "" : ".", name, NULL);
		const setting_t *setting = find_setting(path);

		if (*section == '\0' && is_section(name) &&
		    JSON_NODE_HOLDS_OBJECT(node)) {
			status = parse_object(settings,
					      json_node_get_object(node), name,
					      present, err);
		} else if (setting == NULL) {
			errmsg_set(err, "%.100s: unknown key", path);
			status = SETTINGS_INVALID;
		} else {
			present[setting - setting_table] = true;
			status = parse_value(settings, setting, node, err);
		}
	}
	return status;
}

static bool is_loopback(const char *host)
{
	g_autoptr(GInetAddress) address = g_inet_address_new_from_string(host);

	return address != NULL && g_inet_address_get_is_loopback(address);
}

static bool is_required(const setting_t *setting, bool gateway)
{
	switch (setting->required_by) {
	case REQUIRED_BY_NONE:
		return false;
	case REQUIRED_BY_ROUTER:
		return !gateway;
	case REQUIRED_BY_GATEWAY:
		return gateway;
	case REQUIRED_BY_ALL:
		return true;
	}
	return false;
}

static bool has_gateway_section(const bool *present)
{
	for (gsize i = 0; i < G_N_ELEMENTS(setting_table); i++)
		if (present[i] &&
		    g_str_has_prefix(setting_table[i].path, "gateway."))
			return true;
	return false;
}

static settings_status_t check_settings(settings_t *settings,
					const bool *present, errmsg_t *err)
{
	settings->is_gateway = has_gateway_section(present);
	for (gsize i = 0; i < G_N_ELEMENTS(setting_table); i++) {
		if (is_required(&setting_table[i], settings->is_gateway) &&
		    !present[i]) {
			errmsg_set(err, "%s: missing, %s",
				   setting_table[i].path,
				   setting_table[i].help);
			return SETTINGS_INVALID;
		}
	}
	if (settings->gateway_buffers_mib != 0 &&
	    settings->gateway_buffers_mib < BUFFERS_MIB_MIN) {
		errmsg_set(err,
			   "gateway.buffers_mib: %" G_GINT64_FORMAT
			   " is not allowed, expected 0 or at least %d",
			   settings->gateway_buffers_mib, BUFFERS_MIB_MIN);
		return SETTINGS_INVALID;
	}
	if ((settings->caller_tls_certificate[0] == '\0') !=
	    (settings->caller_tls_key[0] == '\0')) {
		errmsg_set(err, "caller.tls_key: caller.tls_certificate and "
				"caller.tls_key must be set together");
		return SETTINGS_INVALID;
	}
	if (!is_loopback(settings->admin_host) &&
	    settings->admin_token[0] == '\0') {
		errmsg_set(err, "admin.token: missing, required because "
				"admin.host is not a loopback address");
		return SETTINGS_INVALID;
	}
	return SETTINGS_OK;
}

/* Limits the nesting before parsing, as the JSON parser is recursive. */
static bool is_nesting_allowed(const char *text, gsize len)
{
	int depth = 0;
	bool in_string = false;

	for (gsize i = 0; i < len; i++) {
		if (in_string) {
			if (text[i] == '\\')
				i++;
			else if (text[i] == '"')
				in_string = false;
		} else if (text[i] == '"') {
			in_string = true;
		} else if (text[i] == '{' || text[i] == '[') {
			if (++depth > NESTING_MAX)
				return false;
		} else if (text[i] == '}' || text[i] == ']') {
			depth--;
		}
	}
	return true;
}

settings_status_t settings_parse(settings_t *settings, const char *text,
				 gssize len, errmsg_t *err)
{
	g_autoptr(JsonParser) parser = json_parser_new_immutable();
	g_autoptr(GError) error = NULL;
	bool present[G_N_ELEMENTS(setting_table)] = {false};
	settings_status_t status;
	JsonNode *root;

	if (len < 0)
		len = (gssize)strlen(text);
	if (len > FILE_SIZE_MAX || !is_nesting_allowed(text, (gsize)len)) {
		errmsg_set(err,
			   "the file is larger than %d bytes or nested deeper "
			   "than %d levels",
			   FILE_SIZE_MAX, NESTING_MAX);
		return SETTINGS_SYNTAX;
	}
	if (!json_parser_load_from_data(parser, text, len, &error)) {
		errmsg_set(err, "not JSON: %s", error->message);
		return SETTINGS_SYNTAX;
	}
	root = json_parser_get_root(parser);
	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		errmsg_set(err, "not a JSON object");
		return SETTINGS_SYNTAX;
	}
	status = parse_object(settings, json_node_get_object(root), "", present,
			      err);
	if (status == SETTINGS_OK)
		status = check_settings(settings, present, err);
	return status;
}

settings_status_t settings_load(settings_t *settings, const char *path,
				errmsg_t *err)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	errmsg_t parse_err;
	settings_status_t status;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		errmsg_set(err, "%s", error->message);
		return SETTINGS_UNREADABLE;
	}
	status = settings_parse(settings, text, (gssize)len, &parse_err);
	if (status != SETTINGS_OK)
		errmsg_set(err, "%s: %s", path, parse_err.text);
	explicit_bzero(text, len);
	return status;
}

static double stated_memory_mib(const settings_t *settings)
{
	return settings->gateway_memory_mib > 0 ? settings->gateway_memory_mib
						: settings->caller_memory_mib;
}

int64_t settings_buffers_mib(const settings_t *settings)
{
	double memory = stated_memory_mib(settings);

	if (settings->gateway_buffers_mib > 0)
		return settings->gateway_buffers_mib;
	if (memory <= 0)
		return BUFFERS_MIB_DEFAULT;
	return MAX((int64_t)memory / MEMORY_BUFFERS_DIVISOR, BUFFERS_MIB_MIN);
}

int64_t settings_memory_mib(const settings_t *settings)
{
	double memory = stated_memory_mib(settings);

	if (memory > 0)
		return (int64_t)memory;
	return settings_buffers_mib(settings) * MEMORY_BUFFERS_DIVISOR;
}

void settings_print_reference(GString *out)
{
	g_string_append(out, "| key | allowed | default | meaning |\n"
			     "|-----|---------|---------|---------|\n");
	for (gsize i = 0; i < G_N_ELEMENTS(setting_table); i++) {
		const setting_t *setting = &setting_table[i];
		g_autofree char *allowed = describe_allowed(setting);
		g_autofree char *value = NULL;

		if (setting->required_by == REQUIRED_BY_GATEWAY)
			value = g_strdup("required for a gateway");
		else if (setting->required_by == REQUIRED_BY_ROUTER)
			value = g_strdup("required for a router");
		else if (setting->required_by == REQUIRED_BY_ALL)
			value = g_strdup("required");
		else if (setting->type == SETTING_INTEGER)
			value = g_strdup_printf("%" G_GINT64_FORMAT,
						setting->default_number);
		else if (*setting->default_text == '\0')
			value = g_strdup("empty");
		else
			value = g_strdup_printf("`%s`", setting->default_text);
		g_string_append_printf(out, "| `%s` | %s | %s | %s |\n",
				       setting->path, allowed, value,
				       setting->help);
	}
}
