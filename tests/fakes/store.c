/*
 * Stand-in for the platform's store: an in-memory implementation of the JSON
 * gateway of etcd v3.  Tests control it with POST /test/mode, POST
 * /test/compact, GET /test/stats and GET /test/dump.
 */
#include "tests/fakes/fake.h"

#define TICK_MS 100
#define HISTORY_EVENTS_MAX 200000 /* events kept for watches */
#define TXN_OPS_MAX 128 /* etcd's default */
#define I64_FORMAT "%" G_GINT64_FORMAT

typedef enum store_mode_t {
	MODE_NORMAL,
	MODE_SLOW,
	MODE_UNAVAILABLE, /* close the connection without a response */
	MODE_LOSE_ANSWER, /* apply the call, then close the connection */
} store_mode_t;

typedef struct kv_t {
	GBytes *key;
	char *value; /* base64 as received, NULL: deleted */
	int64_t create_revision, mod_revision, lease;
} kv_t;

typedef struct lease_t {
	int64_t id, ttl_s, expires_us;
} lease_t;

typedef struct key_range_t {
	GBytes *start, *end; /* end is exclusive */
} key_range_t;

typedef struct watch_t {
	SoupServerMessage *message;
	key_range_t range;
} watch_t;

static fake_t fake;
static GTree *keys; /* GBytes -> kv_t */
static GPtrArray *history; /* kv_t, events after compacted */
static GHashTable *leases; /* id -> lease_t */
static GPtrArray *watches; /* watch_t */
static int64_t revision = 1;
static int64_t compacted; /* newest revision that was compacted */
static int64_t next_lease = 1000;
static store_mode_t mode;
static int64_t mode_calls_left; /* calls left in this mode, 0: no limit */
static int64_t mode_delay_ms;
static int port, delay_ms;

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return g_bytes_compare(a, b);
}

static void kv_free(gpointer data)
{
	kv_t *kv = data;

	g_bytes_unref(kv->key);
	g_free(kv->value);
	g_free(kv);
}

static void key_range_clear(key_range_t *range)
{
	g_bytes_unref(range->start);
	g_bytes_unref(range->end);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(key_range_t, key_range_clear)

static void watch_free(gpointer data)
{
	watch_t *watch = data;

	g_object_unref(watch->message);
	key_range_clear(&watch->range);
	g_free(watch);
}

/* --- parsing of requests ------------------------------------------------ */

static int64_t get_int(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node))
		return 0;
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		return g_ascii_strtoll(json_node_get_string(node), NULL, 10);
	return json_node_get_int(node);
}

static const char *get_text(JsonObject *object, const char *name)
{
	return json_object_get_string_member_with_default(object, name, "");
}

static GBytes *get_bytes(JsonObject *object, const char *name)
{
	gsize len;
	guchar *data = g_base64_decode(get_text(object, name), &len);

	return g_bytes_new_take(data, len);
}

/* Without range_end the range holds one key: it ends at the key plus NUL. */
static key_range_t get_range(JsonObject *object)
{
	key_range_t range = {get_bytes(object, "key"), NULL};
	GByteArray *end;

	if (json_object_has_member(object, "range_end")) {
		range.end = get_bytes(object, "range_end");
	} else {
		end = g_bytes_unref_to_array(g_bytes_ref(range.start));
		g_byte_array_append(end, (const guint8 *)"", 1);
		range.end = g_byte_array_free_to_bytes(end);
	}
	return range;
}

static JsonObject *get_object(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL && JSON_NODE_HOLDS_OBJECT(node)
		       ? json_node_get_object(node)
		       : NULL;
}

static JsonArray *get_array(JsonObject *object, const char *name)
{
	if (!json_object_has_member(object, name))
		json_object_set_array_member(object, name, json_array_new());
	return json_object_get_array_member(object, name);
}

static guint array_len(JsonObject *object, const char *name)
{
	return json_array_get_length(get_array(object, name));
}

static JsonObject *element(JsonObject *object, const char *name, guint i)
{
	return json_array_get_object_element(get_array(object, name), i);
}

/* --- responses ---------------------------------------------------------- */

static void append_int(GString *out, const char *name, int64_t value)
{
	if (value != 0)
		g_string_append_printf(out, ",\"%s\":\"" I64_FORMAT "\"", name,
				       value);
}

static void append_header(GString *out)
{
	g_string_append_printf(
		out, "\"header\":{\"revision\":\"" I64_FORMAT "\"}", revision);
}

static void append_kv(GString *out, const kv_t *kv)
{
	gsize len;
	const guchar *data = g_bytes_get_data(kv->key, &len);
	g_autofree char *text = g_base64_encode(data, len);

	g_string_append_printf(out, "{\"key\":\"%s\"", text);
	append_int(out, "mod_revision", kv->mod_revision);
	append_int(out, "create_revision", kv->create_revision);
	append_int(out, "lease", kv->lease);
	if (kv->value != NULL)
		g_string_append_printf(out, ",\"value\":\"%s\"", kv->value);
	g_string_append_c(out, '}');
}

static bool in_range(GBytes *key, const key_range_t *range)
{
	return g_bytes_compare(key, range->start) >= 0 &&
	       g_bytes_compare(key, range->end) < 0;
}

static void send_line(watch_t *watch, const char *text)
{
	soup_message_body_append(
		soup_server_message_get_response_body(watch->message),
		SOUP_MEMORY_COPY, text, strlen(text));
	soup_server_message_unpause(watch->message);
}

/*
 * Sends, as one line, the events in the history from index first on that match
 * the watch and have revision start or later.
 */
static void send_events(watch_t *watch, guint first, int64_t start)
{
	g_autoptr(GString) out = g_string_new("{\"result\":{");
	guint count = 0;

	append_header(out);
	g_string_append(out, ",\"events\":[");
	for (guint i = first; i < history->len; i++) {
		const kv_t *kv = g_ptr_array_index(history, i);

		if (kv->mod_revision < start ||
		    !in_range(kv->key, &watch->range))
			continue;
		g_string_append(out, count++ > 0 ? "," : "");
		g_string_append(out, kv->value == NULL
					     ? "{\"type\":\"DELETE\",\"kv\":"
					     : "{\"kv\":");
		append_kv(out, kv);
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}}\n");
	if (count > 0)
		send_line(watch, out->str);
}

static void notify(guint first)
{
	for (guint i = 0; i < watches->len; i++)
		send_events(g_ptr_array_index(watches, i), first, 0);
}

static void add_event(const kv_t *kv, int64_t mod_revision, const char *value)
{
	kv_t *event = g_memdup2(kv, sizeof(*kv));

	g_bytes_ref(event->key);
	event->value = g_strdup(value);
	event->mod_revision = mod_revision;
	revision = mod_revision;
	g_ptr_array_add(history, event);
}

/* --- reads and writes ---------------------------------------------------- */

static GPtrArray *select_keys(const key_range_t *range)
{
	GPtrArray *found = g_ptr_array_new();
	GTreeNode *node = g_tree_lower_bound(keys, range->start);

	for (; node != NULL; node = g_tree_node_next(node)) {
		kv_t *kv = g_tree_node_value(node);

		if (!in_range(kv->key, range))
			break;
		g_ptr_array_add(found, kv);
	}
	return found;
}

/* Always returns the newest state; a requested revision is ignored. */
static void read_range(JsonObject *request, GString *out)
{
	g_auto(key_range_t) range = get_range(request);
	int64_t limit = get_int(request, "limit");
	g_autoptr(GPtrArray) found = select_keys(&range);
	guint count = found->len;

	if (limit > 0 && count > limit)
		count = (guint)limit;
	g_string_append_c(out, '{');
	append_header(out);
	g_string_append(out, ",\"kvs\":[");
	for (guint i = 0; i < count; i++) {
		const kv_t *kv = g_ptr_array_index(found, i);

		g_string_append(out, i > 0 ? "," : "");
		append_kv(out, kv);
	}
	g_string_append_printf(out, "],\"count\":\"%u\"%s}", found->len,
			       count < found->len ? ",\"more\":true" : "");
}

static void apply_put(JsonObject *request, int64_t mod_revision)
{
	kv_t *kv = g_new0(kv_t, 1);
	const kv_t *old;

	kv->key = get_bytes(request, "key");
	old = g_tree_lookup(keys, kv->key);
	kv->value = g_strdup(get_text(request, "value"));
	kv->mod_revision = mod_revision;
	kv->create_revision = old == NULL ? mod_revision : old->create_revision;
	kv->lease = get_int(request, "lease");
	add_event(kv, mod_revision, kv->value);
	g_tree_replace(keys, kv->key, kv);
}

static void remove_key(gpointer data, gpointer mod_revision)
{
	kv_t *kv = data;

	add_event(kv, *(int64_t *)mod_revision, NULL);
	g_tree_remove(keys, kv->key);
}

static guint apply_delete(JsonObject *request, int64_t mod_revision)
{
	g_auto(key_range_t) range = get_range(request);
	g_autoptr(GPtrArray) found = select_keys(&range);

	g_ptr_array_foreach(found, remove_key, &mod_revision);
	return found->len;
}

static bool compare_matches(JsonObject *compare)
{
	g_autoptr(GBytes) key = get_bytes(compare, "key");
	const kv_t *kv = g_tree_lookup(keys, key);

	if (strcmp(get_text(compare, "target"), "CREATE") == 0)
		return (kv == NULL ? 0 : kv->create_revision) ==
		       get_int(compare, "create_revision");
	return (kv == NULL ? 0 : kv->mod_revision) ==
	       get_int(compare, "mod_revision");
}

/* Evaluates all compares before anything is written, as etcd does. */
static void choose_branches(JsonObject *txn)
{
	const char *branch;
	bool ok = true;

	for (guint i = 0; i < array_len(txn, "compare"); i++)
		ok = compare_matches(element(txn, "compare", i)) && ok;
	branch = ok ? "success" : "failure";
	json_object_set_string_member(txn, "decided", branch);
	for (guint i = 0; i < array_len(txn, branch); i++) {
		JsonObject *nested =
			get_object(element(txn, branch, i), "request_txn");

		if (nested != NULL)
			choose_branches(nested);
	}
}

/* Returns the error with which etcd refuses the transaction, or NULL. */
static const char *txn_error(JsonObject *txn, GHashTable *written, guint left)
{
	guint ops = array_len(txn, "success");
	guint count = MAX(
		ops, MAX(array_len(txn, "compare"), array_len(txn, "failure")));
	const char *error = count > left ? "too many operations" : NULL;

	for (guint i = 0; i < ops && error == NULL; i++) {
		JsonObject *op = element(txn, "success", i);
		JsonObject *nested = get_object(op, "request_txn");
		JsonObject *request = get_object(op, "request_put");
		gpointer lease;

		if (nested != NULL)
			error = txn_error(nested, written, left - count);
		if (request == NULL)
			continue;
		lease = GINT_TO_POINTER(get_int(request, "lease"));
		if (!g_hash_table_add(written,
				      g_strdup(get_text(request, "key"))))
			error = "duplicate key given in txn request";
		else if (lease != NULL && !g_hash_table_contains(leases, lease))
			error = "requested lease not found";
	}
	return error;
}

static void apply_txn(JsonObject *request, int64_t mod_revision, GString *out);

static void apply_op(JsonObject *op, int64_t mod_revision, GString *out)
{
	JsonObject *request;

	if ((request = get_object(op, "request_put")) != NULL) {
		apply_put(request, mod_revision);
		g_string_append(out, "{\"response_put\":{}}");
	} else if ((request = get_object(op, "request_range")) != NULL) {
		g_string_append(out, "{\"response_range\":");
		read_range(request, out);
		g_string_append_c(out, '}');
	} else if ((request = get_object(op, "request_txn")) != NULL) {
		g_string_append(out, "{\"response_txn\":");
		apply_txn(request, mod_revision, out);
		g_string_append_c(out, '}');
	} else if ((request = get_object(op, "request_delete_range")) != NULL) {
		g_string_append_printf(
			out, "{\"response_delete_range\":{\"deleted\":\"%u\"}}",
			apply_delete(request, mod_revision));
	}
}

static void apply_txn(JsonObject *request, int64_t mod_revision, GString *out)
{
	const char *branch = get_text(request, "decided");

	g_string_append(out, "{\"responses\":[");
	for (guint i = 0; i < array_len(request, branch); i++) {
		g_string_append(out, i > 0 ? "," : "");
		apply_op(element(request, branch, i), mod_revision, out);
	}
	g_string_append(out, branch[0] == 's' ? "],\"succeeded\":true," : "],");
	append_header(out);
	g_string_append_c(out, '}');
}

static guint handle_txn(JsonObject *request, GString *out)
{
	g_autoptr(GHashTable) written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const char *error = txn_error(request, written, TXN_OPS_MAX);
	guint first = history->len;

	if (error != NULL) {
		g_string_append_printf(out, "{\"error\":\"etcdserver: %s\"}",
				       error);
		return 400;
	}
	choose_branches(request);
	apply_txn(request, revision + 1, out);
	notify(first);
	return 200;
}

/* --- leases -------------------------------------------------------------- */

static void remove_lease(int64_t id)
{
	g_autoptr(GPtrArray) expired = g_ptr_array_new();
	GTreeNode *node = g_tree_node_first(keys);
	int64_t mod_revision = revision + 1;
	guint first = history->len;

	for (; node != NULL; node = g_tree_node_next(node)) {
		kv_t *kv = g_tree_node_value(node);

		if (kv->lease == id)
			g_ptr_array_add(expired, kv);
	}
	g_ptr_array_foreach(expired, remove_key, &mod_revision);
	notify(first);
	g_hash_table_remove(leases, GINT_TO_POINTER(id));
}

static void compact(guint events)
{
	if (events == 0)
		return;
	compacted =
		((kv_t *)g_ptr_array_index(history, events - 1))->mod_revision;
	g_ptr_array_remove_range(history, 0, events);
}

static gboolean on_tick(gpointer data)
{
	g_autoptr(GList) list = g_hash_table_get_values(leases);

	(void)data;
	for (GList *i = list; i != NULL; i = i->next) {
		if (((lease_t *)i->data)->expires_us <= g_get_monotonic_time())
			remove_lease(((lease_t *)i->data)->id);
	}
	if (history->len > HISTORY_EVENTS_MAX)
		compact(HISTORY_EVENTS_MAX / 2);
	return G_SOURCE_CONTINUE;
}

static guint handle_lease(const char *path, JsonObject *request, GString *out)
{
	bool keepalive = g_str_has_suffix(path, "keepalive");
	int64_t id = get_int(request, "ID");
	lease_t *lease;

	if (g_str_has_suffix(path, "grant")) {
		id = ++next_lease;
		lease = g_new0(lease_t, 1);
		lease->id = id;
		lease->ttl_s = MAX(get_int(request, "TTL"), 1);
		g_hash_table_insert(leases, GINT_TO_POINTER(id), lease);
	}
	lease = g_hash_table_lookup(leases, GINT_TO_POINTER(id));
	if (g_str_has_suffix(path, "revoke")) {
		if (lease == NULL)
			return 404;
		remove_lease(id);
		lease = NULL;
	}
	if (lease != NULL)
		lease->expires_us =
			g_get_monotonic_time() + lease->ttl_s * G_USEC_PER_SEC;
	g_string_append(out, keepalive ? "{\"result\":{" : "{");
	append_header(out);
	append_int(out, "ID", id);
	append_int(out, "TTL", lease != NULL ? lease->ttl_s : 0);
	g_string_append(out, keepalive ? "}}\n" : "}");
	return 200;
}

/* --- watches ------------------------------------------------------------- */

static void on_watch_finished(SoupServerMessage *message, gpointer data)
{
	(void)message;
	g_ptr_array_remove(watches, data);
}

static watch_t *add_watch(SoupServerMessage *message, JsonObject *request)
{
	watch_t *watch = g_new0(watch_t, 1);

	watch->message = g_object_ref(message);
	watch->range = get_range(request);
	g_ptr_array_add(watches, watch);
	g_signal_connect(message, "finished", G_CALLBACK(on_watch_finished),
			 watch);
	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	return watch;
}

static void handle_watch(SoupServerMessage *message, JsonObject *root)
{
	JsonObject *request = get_object(root, "create_request");
	int64_t start = get_int(request, "start_revision");
	watch_t *watch = add_watch(message, request);
	g_autoptr(GString) out = g_string_new("{\"result\":{");

	append_header(out);
	if (start > 0 && start <= compacted) {
		g_string_append(out, ",\"canceled\":true");
		append_int(out, "compact_revision", compacted);
	} else {
		g_string_append(out, ",\"created\":true");
	}
	g_string_append(out, "}}\n");
	send_line(watch, out->str);
	if (start > compacted)
		send_events(watch, 0, start);
	else if (start > 0)
		soup_message_body_complete(
			soup_server_message_get_response_body(message));
}

/* --- test controls and dispatch ------------------------------------------- */

static void close_connection(SoupServerMessage *message)
{
	GIOStream *stream = soup_server_message_steal_connection(message);

	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

static void close_watches(void)
{
	while (watches->len > 0) {
		watch_t *watch = g_ptr_array_index(watches, 0);
		SoupServerMessage *message = g_object_ref(watch->message);

		g_signal_handlers_disconnect_by_data(message, watch);
		g_ptr_array_remove_index(watches, 0);
		close_connection(message);
		g_object_unref(message);
	}
}

static void set_mode(JsonObject *request)
{
	static const char *const mode_names[] = {"normal", "slow", "out",
						 "lose_answer", NULL};

	mode = MODE_NORMAL;
	for (int i = 0; mode_names[i] != NULL; i++) {
		if (strcmp(get_text(request, "mode"), mode_names[i]) == 0)
			mode = (store_mode_t)i;
	}
	mode_calls_left = get_int(request, "count");
	mode_delay_ms = get_int(request, "delay_ms");
	if (mode == MODE_UNAVAILABLE)
		close_watches();
}

static void handle_control(SoupServerMessage *message, const char *path,
			   JsonObject *request)
{
	JsonObject *answer = json_object_new();
	g_autoptr(GString) out = g_string_new(NULL);

	if (g_str_has_suffix(path, "/mode") && request != NULL) {
		set_mode(request);
	} else if (g_str_has_suffix(path, "/compact")) {
		compact(history->len);
		close_watches();
	}
	if (g_str_has_suffix(path, "/dump")) {
		json_object_set_string_member(answer, "range_end", "/w==");
		read_range(answer, out);
		fake_answer(message, 200, "application/json", out->str,
			    out->len);
		json_object_unref(answer);
	} else {
		json_object_set_object_member(answer, "calls",
					      fake_counts(fake.runs));
		json_object_set_int_member(answer, "watches", watches->len);
		fake_answer_json(message, 200, answer);
	}
}

static gboolean unpause(gpointer data)
{
	soup_server_message_unpause(data);
	g_object_unref(data);
	return G_SOURCE_REMOVE;
}

/* Returns the mode of this call and counts the call. */
static store_mode_t next_mode(void)
{
	store_mode_t current = mode;

	if (mode != MODE_NORMAL && mode_calls_left > 0 &&
	    --mode_calls_left == 0)
		mode = MODE_NORMAL;
	return current;
}

static void respond(SoupServerMessage *message, const char *path,
		    JsonObject *request, int64_t wait_ms)
{
	g_autoptr(GString) out = g_string_new(NULL);
	guint status = 200;

	if (strcmp(path, "/v3/kv/range") == 0)
		read_range(request, out);
	else if (strcmp(path, "/v3/kv/txn") == 0)
		status = handle_txn(request, out);
	else if (strstr(path, "/lease/") != NULL)
		status = handle_lease(path, request, out);
	else
		status = 404;
	fake_answer(message, status, "application/json", out->str, out->len);
	if (wait_ms > 0) {
		soup_server_message_pause(message);
		g_timeout_add((guint)wait_ms, unpause, g_object_ref(message));
	}
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *request = fake_parse_object(message, parser);
	bool is_watch = strcmp(path, "/v3/watch") == 0;
	store_mode_t current;

	(void)server;
	(void)query;
	(void)data;
	if (g_str_has_prefix(path, "/test/")) {
		handle_control(message, path, request);
		return;
	}
	if (request == NULL) {
		fake_answer(message, 400, "text/plain", "no object\n", 10);
		return;
	}
	fake_increment(fake.runs, path);
	current = next_mode();
	if (current != MODE_UNAVAILABLE && !is_watch)
		respond(message, path, request,
			delay_ms + (current == MODE_SLOW ? mode_delay_ms : 0));
	if (current == MODE_UNAVAILABLE || current == MODE_LOSE_ANSWER)
		close_connection(message);
	else if (is_watch)
		handle_watch(message, request);
}

int main(int argc, char **argv)
{
	const GOptionEntry options[] = {{"port", 0, 0, G_OPTION_ARG_INT, &port,
					 "port, 0 picks one", "N"},
					{"delay-ms", 0, 0, G_OPTION_ARG_INT,
					 &delay_ms, "delay of each answer",
					 "N"},
					G_OPTION_ENTRY_NULL};

	keys = g_tree_new_full(compare_keys, NULL, NULL, kv_free);
	history = g_ptr_array_new_with_free_func(kv_free);
	watches = g_ptr_array_new_with_free_func(watch_free);
	leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_timeout_add(TICK_MS, on_tick, NULL);
	return fake_main(&fake, argc, argv, &port, options, on_request);
}
