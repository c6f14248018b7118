#include "settings/settings.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <string.h>

#define FILE_SIZE_MAX 1048576 /* bytes */
#define NESTING_MAX 8 /* objects and arrays within each other */
#define PORT_MAX 65535

typedef enum setting_type_t {
	SETTING_INTEGER, /* min to max */
	SETTING_NAME, /* see name_is_valid() */
	SETTING_TEXT, /* min to max bytes */
	SETTING_SECRET, /* text that is never printed */
	SETTING_ADDRESS, /* an IP address */
	SETTING_LEVEL, /* a log level */
	SETTING_URL, /* an http or https URL, or empty */
	SETTING_SEEDS, /* list of IP:PORT */
	SETTING_URLS, /* list of URLs, at least one */
	SETTING_LISTEN, /* IP:PORT */
	SETTING_RATIO, /* a decimal number from 0 to 1 */
} setting_type_t;

/* Which programs can't run without a setting. */
typedef enum setting_need_t {
	NEED_NOBODY,
	NEED_ROUTER,
	NEED_GATEWAY,
	NEED_ALL,
} setting_need_t;

typedef struct setting_t {
	const char *path;
	setting_type_t type;
	size_t offset;
	setting_need_t need;
	int64_t min;
	int64_t max;
	int64_t number; /* default of an integer */
	const char *text; /* default of the others */
	const char *help;
} setting_t;

#define AT(field) offsetof(settings_t, field)

static const setting_t table[] = {
	{"name", SETTING_NAME, AT(name), NEED_ALL, 0, 0, 0, "",
	 "name of this router, unique in the fleet"},
	{"availability_zone", SETTING_NAME, AT(availability_zone), NEED_ALL, 0,
	 0, 0, "", "availability zone of this instance"},
	{"log_level", SETTING_LEVEL, AT(log_level), NEED_NOBODY, 0, 0, 0,
	 "info", "least severe level that is written"},
	{"stop_timeout_s", SETTING_INTEGER, AT(stop_timeout_s), NEED_NOBODY, 1,
	 86400, 600, "",
	 "longest wait for running requests on a planned stop, s"},

	{"caller.host", SETTING_ADDRESS, AT(caller_host), NEED_NOBODY, 0, 0, 0,
	 "127.0.0.1", "address for callers"},
	{"caller.port", SETTING_INTEGER, AT(caller_port), NEED_ROUTER, 0,
	 PORT_MAX, 0, "", "port for callers, 0 for any free one"},
	{"caller.tls_certificate", SETTING_TEXT, AT(caller_tls_certificate),
	 NEED_NOBODY, 0, 255, 0, "",
	 "certificate file in PEM, empty for plain HTTP"},
	{"caller.tls_key", SETTING_TEXT, AT(caller_tls_key), NEED_NOBODY, 0,
	 255, 0, "", "private key file in PEM"},
	{"caller.max_body", SETTING_INTEGER, AT(caller_max_body), NEED_NOBODY,
	 1024, 67108864, 4194304, "", "largest request body, bytes"},
	{"caller.max_header", SETTING_INTEGER, AT(caller_max_header),
	 NEED_NOBODY, 1024, 65536, 16384, "", "largest request head, bytes"},
	{"caller.max_connections", SETTING_INTEGER, AT(caller_max_connections),
	 NEED_NOBODY, 1, 1000000, 20000, "",
	 "connections of callers at one time"},
	{"caller.buffer", SETTING_INTEGER, AT(caller_buffer), NEED_NOBODY, 4096,
	 16777216, 65536, "",
	 "unsent bytes of one answer at which its target is paused"},

	{"peer.host", SETTING_ADDRESS, AT(peer_host), NEED_NOBODY, 0, 0, 0,
	 "127.0.0.1", "address for other routers"},
	{"peer.port", SETTING_INTEGER, AT(peer_port), NEED_ROUTER, 1, PORT_MAX,
	 0, "", "port for other routers"},
	{"peer.key", SETTING_SECRET, AT(peer_key), NEED_ALL, 16, 255, 0, "",
	 "key shared by all routers, 16 bytes at least"},
	{"peer.seeds", SETTING_SEEDS, AT(peer_seeds), NEED_NOBODY, 0, 0, 0, "",
	 "addresses IP:PORT of routers to join through"},

	{"admin.host", SETTING_ADDRESS, AT(admin_host), NEED_NOBODY, 0, 0, 0,
	 "127.0.0.1", "address for health, metrics and status"},
	{"admin.port", SETTING_INTEGER, AT(admin_port), NEED_ROUTER, 1,
	 PORT_MAX, 0, "", "port for health, metrics and status"},
	{"admin.token", SETTING_SECRET, AT(admin_token), NEED_NOBODY, 0, 255, 0,
	 "",
	 "bearer token, required when admin.host is not a loopback address"},

	{"store.endpoints", SETTING_URLS, AT(store_endpoints), NEED_ROUTER, 0,
	 0, 0, "", "URLs of the platform's key-value store"},
	{"store.prefix", SETTING_TEXT, AT(store_prefix), NEED_NOBODY, 1, 64, 0,
	 "tanagertrestle/", "prefix of all keys in the store"},
	{"store.token", SETTING_SECRET, AT(store_token), NEED_NOBODY, 0, 255, 0,
	 "", "token sent to the store"},
	{"store.timeout_ms", SETTING_INTEGER, AT(store_timeout_ms), NEED_NOBODY,
	 50, 60000, 2000, "", "longest wait for an answer of the store, ms"},

	{"instances.url", SETTING_URL, AT(instances_url), NEED_NOBODY, 0, 0, 0,
	 "", "URL of the platform's list of instances, empty for none"},
	{"instances.interval_ms", SETTING_INTEGER, AT(instances_interval_ms),
	 NEED_NOBODY, 100, 60000, 1000, "",
	 "time between reads of the list, ms"},

	{"member.lease_s", SETTING_INTEGER, AT(member_lease_s), NEED_NOBODY, 3,
	 300, 10, "", "time to live of a router's lease in the store, s"},
	{"ledger.horizon_s", SETTING_INTEGER, AT(ledger_horizon_s), NEED_NOBODY,
	 1, 3600, 150, "", "demand that a grant covers, s"},
	{"ledger.unprotected_percent", SETTING_INTEGER,
	 AT(ledger_unprotected_percent), NEED_NOBODY, 0, 100, 10, "",
	 "part of a grant that may be spent without store and buddy, %"},
	{"request.retry_percent", SETTING_INTEGER, AT(request_retry_percent),
	 NEED_NOBODY, 0, 100, 10, "", "retries as a share of requests, %"},
	{"request.max_running", SETTING_INTEGER, AT(request_max_running),
	 NEED_NOBODY, 1, 1000000, 20000, "",
	 "requests in progress at one time"},

	{"gateway.callers", SETTING_LISTEN, AT(gateway_callers), NEED_GATEWAY,
	 0, 0, 0, "", "address for callers"},
	{"gateway.readiness", SETTING_LISTEN, AT(gateway_readiness),
	 NEED_GATEWAY, 0, 0, 0, "",
	 "address for the load balancer's readiness checks"},
	{"gateway.metrics", SETTING_LISTEN, AT(gateway_metrics), NEED_GATEWAY,
	 0, 0, 0, "", "address for the metrics"},
	{"gateway.peers", SETTING_LISTEN, AT(gateway_peers), NEED_GATEWAY, 0, 0,
	 0, "", "address for other gateways"},
	{"gateway.store", SETTING_LISTEN, AT(gateway_store), NEED_GATEWAY, 0, 0,
	 0, "", "address of the platform's key-value store"},
	{"gateway.watch_pause_ms", SETTING_INTEGER, AT(gateway_watch_pause_ms),
	 NEED_NOBODY, 10, 10000, 600, "",
	 "pause between two reads of the store's changes, ms"},
	{"gateway.retry_ratio", SETTING_RATIO, AT(gateway_retry_ratio),
	 NEED_NOBODY, 0, 1, 0, "0.1",
	 "requests sent again to a service, as a share of its requests"},
	{"gateway.retry_slack", SETTING_INTEGER, AT(gateway_retry_slack),
	 NEED_NOBODY, 0, 1000000, 20, "",
	 "requests sent again beside that share, by the whole fleet"},
	{"gateway.retry_window_s", SETTING_INTEGER, AT(gateway_retry_window_s),
	 NEED_NOBODY, 1, 3600, 10, "",
	 "time over which requests sent again are counted, s"},
	{"gateway.grace_s", SETTING_INTEGER, AT(gateway_grace_s), NEED_NOBODY,
	 2, 3600, 8, "", "time from SIGTERM to the end of the process, s"},
};

void settings_init(settings_t *settings)
{
	memset(settings, 0, sizeof(*settings));
	for (gsize i = 0; i < G_N_ELEMENTS(table); i++) {
		char *field = (char *)settings + table[i].offset;

		switch (table[i].type) {
		case SETTING_INTEGER:
			*(int64_t *)(void *)field = table[i].number;
			break;
		case SETTING_SEEDS:
		case SETTING_URLS:
			break;
		case SETTING_RATIO:
			*(double *)(void *)field =
				g_ascii_strtod(table[i].text, NULL);
			break;
		default:
			g_strlcpy(field, table[i].text, SETTING_TEXT_SIZE);
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

static bool is_level(const char *text)
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
	case SETTING_RATIO:
		return g_strdup("a number from 0 to 1");
	}
	return g_strdup("nothing");
}

static settings_status_t refuse(const setting_t *setting, JsonNode *node,
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

static bool text_is_allowed(const setting_t *setting, const char *text)
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
		return is_level(text);
	case SETTING_URL:
		return len == 0 || is_url(text);
	default:
		return false;
	}
}

static bool item_is_allowed(const setting_t *setting, const char *text)
{
	char host[HOST_SIZE];
	uint16_t port;

	if (strlen(text) >= SETTING_TEXT_SIZE)
		return false;
	if (setting->type == SETTING_SEEDS)
		return settings_parse_address(text, host, sizeof(host), &port);
	return is_url(text);
}

static bool node_is(JsonNode *node, GType type)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

static bool read_list(const setting_t *setting, JsonNode *node,
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

		if (!node_is(item, G_TYPE_STRING) ||
		    !item_is_allowed(setting, json_node_get_string(item)))
			return false;
		g_strlcpy(list->items[i], json_node_get_string(item),
			  SETTING_TEXT_SIZE);
	}
	list->count = count;
	return true;
}

static settings_status_t read_ratio(const setting_t *setting, JsonNode *node,
				    double *to, errmsg_t *err)
{
	double number;

	if (!node_is(node, G_TYPE_DOUBLE) && !node_is(node, G_TYPE_INT64))
		return refuse(setting, node, err);
	number = json_node_get_double(node);
	if (!(number >= (double)setting->min && number <= (double)setting->max))
		return refuse(setting, node, err);
	*to = number;
	return SETTINGS_OK;
}

static settings_status_t read_value(settings_t *settings,
				    const setting_t *setting, JsonNode *node,
				    errmsg_t *err)
{
	char *field = (char *)settings + setting->offset;
	int64_t number;

	switch (setting->type) {
	case SETTING_INTEGER:
		if (!node_is(node, G_TYPE_INT64))
			return refuse(setting, node, err);
		number = json_node_get_int(node);
		if (number < setting->min || number > setting->max)
			return refuse(setting, node, err);
		*(int64_t *)(void *)field = number;
		return SETTINGS_OK;
	case SETTING_RATIO:
		return read_ratio(setting, node, (double *)(void *)field, err);
	case SETTING_SEEDS:
	case SETTING_URLS:
		if (!read_list(setting, node, (setting_list_t *)(void *)field))
			return refuse(setting, node, err);
		return SETTINGS_OK;
	default:
		if (!node_is(node, G_TYPE_STRING) ||
		    !text_is_allowed(setting, json_node_get_string(node)))
			return refuse(setting, node, err);
		g_strlcpy(field, json_node_get_string(node), SETTING_TEXT_SIZE);
		return SETTINGS_OK;
	}
}

static const setting_t *find_setting(const char *path)
{
	for (gsize i = 0; i < G_N_ELEMENTS(table); i++) {
		if (strcmp(table[i].path, path) == 0)
			return &table[i];
	}
	return NULL;
}

static bool is_section(const char *name)
{
	size_t len = strlen(name);

	for (gsize i = 0; i < G_N_ELEMENTS(table); i++) {
		if (strncmp(table[i].path, name, len) == 0 &&
		    table[i].path[len] == '.')
			return true;
	}
	return false;
}

/* Reads one object; section is "" at the top. */
static settings_status_t read_object(settings_t *settings, JsonObject *object,
				     const char *section, bool *seen,
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
			status = read_object(settings,
					     json_node_get_object(node), name,
					     seen, err);
		} else if (setting == NULL) {
			errmsg_set(err, "%.100s: unknown key", path);
			status = SETTINGS_INVALID;
		} else {
			seen[setting - table] = true;
			status = read_value(settings, setting, node, err);
		}
	}
	return status;
}

static bool is_loopback(const char *host)
{
	g_autoptr(GInetAddress) address = g_inet_address_new_from_string(host);

	return address != NULL && g_inet_address_get_is_loopback(address);
}

static bool is_needed(const setting_t *setting, bool gateway)
{
	switch (setting->need) {
	case NEED_NOBODY:
		return false;
	case NEED_ROUTER:
		return !gateway;
	case NEED_GATEWAY:
		return gateway;
	case NEED_ALL:
		return true;
	}
	return false;
}

/* A file with a section for the gateway is a gateway's. */
static bool is_for_gateway(const bool *seen)
{
	for (gsize i = 0; i < G_N_ELEMENTS(table); i++)
		if (seen[i] && g_str_has_prefix(table[i].path, "gateway."))
			return true;
	return false;
}

static settings_status_t check_whole(settings_t *settings, const bool *seen,
				     errmsg_t *err)
{
	settings->gateway = is_for_gateway(seen);
	for (gsize i = 0; i < G_N_ELEMENTS(table); i++) {
		if (is_needed(&table[i], settings->gateway) && !seen[i]) {
			errmsg_set(err, "%s: missing, %s", table[i].path,
				   table[i].help);
			return SETTINGS_INVALID;
		}
	}
	if ((settings->caller_tls_certificate[0] == '\0') !=
	    (settings->caller_tls_key[0] == '\0')) {
		errmsg_set(err, "caller.tls_key: caller.tls_certificate and "
				"caller.tls_key go together");
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

/* The JSON parser recurses, so depth is limited before it runs. */
static bool nesting_is_allowed(const char *text, gsize len)
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
	bool seen[G_N_ELEMENTS(table)] = {false};
	settings_status_t status;
	JsonNode *root;

	if (len < 0)
		len = (gssize)strlen(text);
	if (len > FILE_SIZE_MAX || !nesting_is_allowed(text, (gsize)len)) {
		errmsg_set(err, "larger than %d bytes or nested deeper than %d",
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
	status = read_object(settings, json_node_get_object(root), "", seen,
			     err);
	if (status == SETTINGS_OK)
		status = check_whole(settings, seen, err);
	return status;
}

settings_status_t settings_load(settings_t *settings, const char *path,
				errmsg_t *err)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	errmsg_t inner;
	settings_status_t status;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		errmsg_set(err, "%s", error->message);
		return SETTINGS_UNREADABLE;
	}
	status = settings_parse(settings, text, (gssize)len, &inner);
	if (status != SETTINGS_OK)
		errmsg_set(err, "%s: %s", path, inner.text);
	explicit_bzero(text, len);
	return status;
}

void settings_print_reference(GString *out)
{
	g_string_append(out, "| key | allowed | default | meaning |\n"
			     "|-----|---------|---------|---------|\n");
	for (gsize i = 0; i < G_N_ELEMENTS(table); i++) {
		const setting_t *setting = &table[i];
		g_autofree char *allowed = describe_allowed(setting);
		g_autofree char *value = NULL;

		if (setting->need == NEED_GATEWAY)
			value = g_strdup("required for a gateway");
		else if (setting->need == NEED_ROUTER)
			value = g_strdup("required for a router");
		else if (setting->need == NEED_ALL)
			value = g_strdup("required");
		else if (setting->type == SETTING_INTEGER)
			value = g_strdup_printf("%" G_GINT64_FORMAT,
						setting->number);
		else if (*setting->text == '\0')
			value = g_strdup("empty");
		else
			value = g_strdup_printf("`%s`", setting->text);
		g_string_append_printf(out, "| `%s` | %s | %s | %s |\n",
				       setting->path, allowed, value,
				       setting->help);
	}
}
