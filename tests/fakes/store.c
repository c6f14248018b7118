/*
 * Stand-in for the platform's store: the JSON gateway of etcd v3 in memory.
 * POST /test/mode, GET /test/stats and GET /test/dump are its controls.
 */
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib-unix.h>

#define LEASE_TICK_MS 100

typedef enum fake_mode_t {
	MODE_NORMAL,
	MODE_SLOW,
	MODE_OUT, /* closes the connection unanswered */
	MODE_LOSE_ANSWER, /* applies the call, then closes */
} fake_mode_t;

typedef struct kv_t {
	GBytes *key;
	gchar *value; /* base64, as it was given */
	int64_t create, mod, version, lease;
} kv_t;

typedef struct event_t {
	GBytes *key;
	int64_t revision;
	gchar *json;
} event_t;

typedef struct lease_t {
	int64_t id, ttl_s, due_us;
} lease_t;

typedef struct watch_t {
	SoupServerMessage *message;
	GBytes *start, *end; /* end NULL: one key */
} watch_t;

typedef struct txn_t {
	int64_t revision; /* of the writes of the call */
	int sub; /* writes so far */
} txn_t;

static GMainLoop *loop;
static GTree *keys; /* GBytes -> kv_t */
static GPtrArray *history; /* event_t */
static GHashTable *leases; /* id -> lease_t */
static GPtrArray *watches; /* watch_t */
static GHashTable *stats; /* path -> count */
static int64_t revision = 1;
static int64_t compacted;
static int64_t next_lease = 1000;
static fake_mode_t mode;
static int mode_left; /* calls the mode still holds for, 0: no limit */
static guint mode_delay_ms;
static guint delay_ms;

static void kv_free(gpointer data)
{
	kv_t *kv = data;

	g_bytes_unref(kv->key);
	g_free(kv->value);
	g_free(kv);
}

static void event_free(gpointer data)
{
	event_t *event = data;

	g_bytes_unref(event->key);
	g_free(event->json);
	g_free(event);
}

static void watch_free(gpointer data)
{
	watch_t *watch = data;

	g_object_unref(watch->message);
	g_bytes_unref(watch->start);
	g_clear_pointer(&watch->end, g_bytes_unref);
	g_free(watch);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return g_bytes_compare(a, b);
}

/* --- members of requests ------------------------------------------------ */

static int64_t get_int(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node))
		return 0;
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		return g_ascii_strtoll(json_node_get_string(node), NULL, 10);
	return json_node_get_int(node);
}

static GBytes *get_bytes(JsonObject *object, const char *name)
{
	const char *text =
		json_object_get_string_member_with_default(object, name, NULL);
	guchar *data;
	gsize len;

	if (text == NULL)
		return NULL;
	data = g_base64_decode(text, &len);
	return g_bytes_new_take(data, len);
}

static JsonArray *get_array(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL && JSON_NODE_HOLDS_ARRAY(node)
		       ? json_node_get_array(node)
		       : NULL;
}

static guint array_len(JsonArray *array)
{
	return array == NULL ? 0 : json_array_get_length(array);
}

static JsonObject *get_object(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL && JSON_NODE_HOLDS_OBJECT(node)
		       ? json_node_get_object(node)
		       : NULL;
}

/* --- answers ------------------------------------------------------------ */

static void put_header(GString *out)
{
	g_string_append_printf(
		out, "\"header\":{\"revision\":\"%" G_GINT64_FORMAT "\"}",
		revision);
}

static void put_number(GString *out, const char *name, int64_t value)
{
	if (value != 0)
		g_string_append_printf(out, ",\"%s\":\"%" G_GINT64_FORMAT "\"",
				       name, value);
}

static void put_kv(GString *out, GBytes *key, const kv_t *kv, int64_t mod)
{
	gchar *text = g_base64_encode(g_bytes_get_data(key, NULL),
				      g_bytes_get_size(key));

	g_string_append_printf(out, "{\"key\":\"%s\"", text);
	g_free(text);
	put_number(out, "mod_revision", mod);
	if (kv != NULL) {
		put_number(out, "create_revision", kv->create);
		put_number(out, "version", kv->version);
		put_number(out, "lease", kv->lease);
		g_string_append_printf(out, ",\"value\":\"%s\"", kv->value);
	}
	g_string_append_c(out, '}');
}

static bool in_span(GBytes *key, GBytes *start, GBytes *end)
{
	if (end == NULL)
		return g_bytes_equal(key, start);
	return g_bytes_compare(key, start) >= 0 &&
	       g_bytes_compare(key, end) < 0;
}

static void send_line(watch_t *watch, const char *text)
{
	SoupMessageBody *body =
		soup_server_message_get_response_body(watch->message);

	soup_message_body_append(body, SOUP_MEMORY_COPY, text, strlen(text));
	soup_server_message_unpause(watch->message);
}

static void send_event(watch_t *watch, const event_t *event)
{
	GString *out = g_string_new("{\"result\":{");

	put_header(out);
	g_string_append_printf(out, ",\"events\":[%s]}}\n", event->json);
	send_line(watch, out->str);
	g_string_free(out, TRUE);
}

static void record_event(GBytes *key, const kv_t *kv, int64_t mod)
{
	event_t *event = g_new0(event_t, 1);
	GString *out = g_string_new(kv == NULL ? "{\"type\":\"DELETE\"," : "{");

	g_string_append(out, "\"kv\":");
	put_kv(out, key, kv, mod);
	g_string_append_c(out, '}');
	event->key = g_bytes_ref(key);
	event->revision = mod;
	event->json = g_string_free(out, FALSE);
	g_ptr_array_add(history, event);
}

/* Sends the events from index first on to the watches. */
static void notify(guint first)
{
	for (guint i = first; i < history->len; i++) {
		const event_t *event = g_ptr_array_index(history, i);

		for (guint j = 0; j < watches->len; j++) {
			watch_t *watch = g_ptr_array_index(watches, j);

			if (in_span(event->key, watch->start, watch->end))
				send_event(watch, event);
		}
	}
}

/* --- reads and writes ---------------------------------------------------- */

static GPtrArray *select_keys(GBytes *start, GBytes *end)
{
	GPtrArray *found = g_ptr_array_new();
	GTreeNode *node;

	for (node = g_tree_lower_bound(keys, start); node != NULL;
	     node = g_tree_node_next(node)) {
		kv_t *kv = g_tree_node_value(node);

		if (!in_span(kv->key, start, end))
			break;
		g_ptr_array_add(found, kv);
	}
	return found;
}

/* Earlier revisions are answered with the newest state. */
static void do_range(JsonObject *request, GString *out)
{
	GBytes *start = get_bytes(request, "key");
	GBytes *end = get_bytes(request, "range_end");
	int64_t limit = get_int(request, "limit");
	GPtrArray *found = select_keys(start, end);
	guint count = found->len;

	if (limit > 0 && count > limit)
		count = (guint)limit;
	g_string_append_c(out, '{');
	put_header(out);
	g_string_append(out, ",\"kvs\":[");
	for (guint i = 0; i < count; i++) {
		const kv_t *kv = g_ptr_array_index(found, i);

		if (i > 0)
			g_string_append_c(out, ',');
		put_kv(out, kv->key, kv, kv->mod);
	}
	g_string_append_printf(out, "],\"count\":\"%u\"", found->len);
	if (count < found->len)
		g_string_append(out, ",\"more\":true");
	g_string_append_c(out, '}');
	g_ptr_array_unref(found);
	g_bytes_unref(start);
	g_clear_pointer(&end, g_bytes_unref);
}

static void do_put(JsonObject *request, txn_t *txn)
{
	GBytes *key = get_bytes(request, "key");
	kv_t *old = g_tree_lookup(keys, key);
	kv_t *kv = g_new0(kv_t, 1);

	kv->key = key;
	kv->value = g_strdup(json_object_get_string_member_with_default(
		request, "value", ""));
	kv->mod = txn->revision;
	kv->create = old == NULL ? txn->revision : old->create;
	kv->version = old == NULL ? 1 : old->version + 1;
	kv->lease = get_int(request, "lease");
	txn->sub++;
	record_event(key, kv, kv->mod);
	g_tree_replace(keys, key, kv);
}

static guint do_delete(GBytes *start, GBytes *end, txn_t *txn)
{
	GPtrArray *found = select_keys(start, end);
	guint count = found->len;

	for (guint i = 0; i < count; i++) {
		kv_t *kv = g_ptr_array_index(found, i);

		txn->sub++;
		record_event(kv->key, NULL, txn->revision);
		g_tree_remove(keys, kv->key);
	}
	g_ptr_array_unref(found);
	return count;
}

static bool compare_ok(JsonObject *compare)
{
	GBytes *key = get_bytes(compare, "key");
	const kv_t *kv = g_tree_lookup(keys, key);
	const char *target = json_object_get_string_member_with_default(
		compare, "target", "VERSION");
	int64_t have, want;

	if (strcmp(target, "CREATE") == 0) {
		have = kv == NULL ? 0 : kv->create;
		want = get_int(compare, "create_revision");
	} else if (strcmp(target, "MOD") == 0) {
		have = kv == NULL ? 0 : kv->mod;
		want = get_int(compare, "mod_revision");
	} else {
		have = kv == NULL ? 0 : kv->version;
		want = get_int(compare, "version");
	}
	g_bytes_unref(key);
	return have == want;
}

/*
 * Like etcd, decides all compares before anything is written; verdicts lists
 * them in the order of the nested transactions.
 */
static void decide(JsonObject *txn, GArray *verdicts)
{
	JsonArray *compares = get_array(txn, "compare");
	bool ok = true;
	JsonArray *ops;

	for (guint i = 0; i < array_len(compares); i++)
		ok = compare_ok(json_array_get_object_element(compares, i)) &&
		     ok;
	g_array_append_val(verdicts, ok);
	ops = get_array(txn, ok ? "success" : "failure");
	for (guint i = 0; i < array_len(ops); i++) {
		JsonObject *nested = get_object(
			json_array_get_object_element(ops, i), "request_txn");

		if (nested != NULL)
			decide(nested, verdicts);
	}
}

/* Why etcd would refuse the transaction, or NULL. */
static const char *txn_error(JsonObject *txn, GHashTable *written, guint left)
{
	JsonArray *ops = get_array(txn, "success");
	guint count =
		MAX(array_len(ops), MAX(array_len(get_array(txn, "compare")),
					array_len(get_array(txn, "failure"))));
	const char *error = NULL;

	if (count > left)
		return "etcdserver: too many operations in txn request";
	for (guint i = 0; i < array_len(ops) && error == NULL; i++) {
		JsonObject *op = json_array_get_object_element(ops, i);
		JsonObject *nested = get_object(op, "request_txn");
		JsonObject *put = get_object(op, "request_put");
		gpointer lease;

		if (nested != NULL)
			error = txn_error(nested, written, left - count);
		if (put == NULL)
			continue;
		if (!g_hash_table_add(
			    written,
			    (gpointer)
				    json_object_get_string_member_with_default(
					    put, "key", "")))
			error = "etcdserver: duplicate key given in txn "
				"request";
		lease = GINT_TO_POINTER(get_int(put, "lease"));
		if (lease != NULL && !g_hash_table_contains(leases, lease))
			error = "etcdserver: requested lease not found";
	}
	return error;
}

static void do_txn(JsonObject *request, GArray *verdicts, guint *at, txn_t *txn,
		   GString *out);

static void do_op(JsonObject *op, GArray *verdicts, guint *at, txn_t *txn,
		  GString *out)
{
	JsonObject *request;
	GBytes *start, *end;

	if ((request = get_object(op, "request_put")) != NULL) {
		do_put(request, txn);
		g_string_append(out, "{\"response_put\":{}}");
	} else if ((request = get_object(op, "request_range")) != NULL) {
		g_string_append(out, "{\"response_range\":");
		do_range(request, out);
		g_string_append_c(out, '}');
	} else if ((request = get_object(op, "request_txn")) != NULL) {
		g_string_append(out, "{\"response_txn\":");
		do_txn(request, verdicts, at, txn, out);
		g_string_append_c(out, '}');
	} else if ((request = get_object(op, "request_delete_range")) != NULL) {
		start = get_bytes(request, "key");
		end = get_bytes(request, "range_end");
		g_string_append_printf(
			out, "{\"response_delete_range\":{\"deleted\":\"%u\"}}",
			do_delete(start, end, txn));
		g_bytes_unref(start);
		g_clear_pointer(&end, g_bytes_unref);
	}
}

static void do_txn(JsonObject *request, GArray *verdicts, guint *at, txn_t *txn,
		   GString *out)
{
	bool ok = g_array_index(verdicts, bool, (*at)++);
	JsonArray *ops = get_array(request, ok ? "success" : "failure");

	g_string_append(out, ok ? "{\"succeeded\":true,\"responses\":["
				: "{\"responses\":[");
	for (guint i = 0; i < array_len(ops); i++) {
		if (i > 0)
			g_string_append_c(out, ',');
		do_op(json_array_get_object_element(ops, i), verdicts, at, txn,
		      out);
	}
	g_string_append(out, "]");
	/* Nested answers carry no header. */
	if (txn->sub > 0)
		revision = txn->revision;
	g_string_append_c(out, ',');
	put_header(out);
	g_string_append_c(out, '}');
}

static guint handle_txn(JsonObject *request, GString *out)
{
	GArray *verdicts = g_array_new(FALSE, FALSE, sizeof(bool));
	GHashTable *written = g_hash_table_new(g_str_hash, g_str_equal);
	const char *error = txn_error(request, written, 128);
	txn_t txn = {.revision = revision + 1};
	guint first = history->len;
	guint at = 0;

	if (error == NULL) {
		decide(request, verdicts);
		do_txn(request, verdicts, &at, &txn, out);
		notify(first);
	} else {
		g_string_append_printf(out, "{\"error\":\"%s\"}", error);
	}
	g_array_unref(verdicts);
	g_hash_table_unref(written);
	return error == NULL ? 200 : 400;
}

/* --- leases -------------------------------------------------------------- */

static void end_lease(int64_t id)
{
	GPtrArray *gone = g_ptr_array_new();
	txn_t txn = {.revision = revision + 1};
	guint first = history->len;
	GTreeNode *node;

	for (node = g_tree_node_first(keys); node != NULL;
	     node = g_tree_node_next(node)) {
		kv_t *kv = g_tree_node_value(node);

		if (kv->lease == id)
			g_ptr_array_add(gone, g_bytes_ref(kv->key));
	}
	for (guint i = 0; i < gone->len; i++) {
		do_delete(g_ptr_array_index(gone, i), NULL, &txn);
		g_bytes_unref(g_ptr_array_index(gone, i));
	}
	g_ptr_array_unref(gone);
	if (txn.sub > 0)
		revision = txn.revision;
	notify(first);
	g_hash_table_remove(leases, GINT_TO_POINTER(id));
}

static gboolean expire_leases(gpointer data)
{
	GHashTableIter iter;
	gpointer value;
	int64_t id = 0;

	(void)data;
	do {
		id = 0;
		g_hash_table_iter_init(&iter, leases);
		while (id == 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
			const lease_t *lease = value;

			if (lease->due_us <= g_get_monotonic_time())
				id = lease->id;
		}
		if (id != 0)
			end_lease(id);
	} while (id != 0);
	return G_SOURCE_CONTINUE;
}

static guint handle_lease(const char *path, JsonObject *request, GString *out)
{
	lease_t *lease;

	if (g_str_has_suffix(path, "grant")) {
		lease = g_new0(lease_t, 1);
		lease->id = ++next_lease;
		lease->ttl_s = MAX(get_int(request, "TTL"), 1);
		g_hash_table_insert(leases, GINT_TO_POINTER(lease->id), lease);
	} else {
		lease = g_hash_table_lookup(
			leases, GINT_TO_POINTER(get_int(request, "ID")));
	}
	if (g_str_has_suffix(path, "revoke")) {
		if (lease == NULL) {
			g_string_append(out, "{\"error\":\"etcdserver: "
					     "requested lease not found\"}");
			return 404;
		}
		end_lease(lease->id);
		g_string_append_c(out, '{');
		put_header(out);
		g_string_append_c(out, '}');
		return 200;
	}
	if (lease != NULL)
		lease->due_us =
			g_get_monotonic_time() + lease->ttl_s * G_USEC_PER_SEC;
	g_string_append(out, g_str_has_suffix(path, "keepalive")
				     ? "{\"result\":{"
				     : "{");
	put_header(out);
	put_number(out, "ID",
		   lease != NULL ? lease->id : get_int(request, "ID"));
	put_number(out, "TTL", lease != NULL ? lease->ttl_s : 0);
	g_string_append(out,
			g_str_has_suffix(path, "keepalive") ? "}}\n" : "}");
	return 200;
}

/* --- watches ------------------------------------------------------------- */

static void on_watch_finished(SoupServerMessage *message, gpointer data)
{
	(void)message;
	g_ptr_array_remove(watches, data);
}

static void handle_watch(SoupServerMessage *message, JsonObject *root)
{
	JsonObject *request = get_object(root, "create_request");
	watch_t *watch = g_new0(watch_t, 1);
	int64_t start = get_int(request, "start_revision");
	GString *out = g_string_new("{\"result\":{");

	watch->message = g_object_ref(message);
	watch->start = get_bytes(request, "key");
	watch->end = get_bytes(request, "range_end");
	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	g_ptr_array_add(watches, watch);
	g_signal_connect(message, "finished", G_CALLBACK(on_watch_finished),
			 watch);
	put_header(out);
	if (start > 0 && start <= compacted) {
		g_string_append_printf(
			out,
			",\"canceled\":true,\"compact_revision\":"
			"\"%" G_GINT64_FORMAT "\"}}\n",
			compacted);
		send_line(watch, out->str);
		soup_message_body_complete(
			soup_server_message_get_response_body(message));
	} else {
		g_string_append(out, ",\"created\":true}}\n");
		send_line(watch, out->str);
		for (guint i = 0; start > 0 && i < history->len; i++) {
			const event_t *event = g_ptr_array_index(history, i);

			if (event->revision >= start &&
			    in_span(event->key, watch->start, watch->end))
				send_event(watch, event);
		}
	}
	g_string_free(out, TRUE);
}

/* --- controls and dispatch ------------------------------------------------ */

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
	const char *name = json_object_get_string_member_with_default(
		request, "mode", "normal");

	mode = strcmp(name, "slow") == 0	  ? MODE_SLOW
	       : strcmp(name, "out") == 0	  ? MODE_OUT
	       : strcmp(name, "lose_answer") == 0 ? MODE_LOSE_ANSWER
						  : MODE_NORMAL;
	mode_left = (int)get_int(request, "count");
	mode_delay_ms = (guint)get_int(request, "delay_ms");
	if (mode == MODE_OUT)
		close_watches();
}

static void control(const char *path, JsonObject *request, GString *out)
{
	GHashTableIter iter;
	gpointer name, count;
	GTreeNode *node;

	if (strcmp(path, "/test/mode") == 0 && request != NULL) {
		set_mode(request);
		g_string_append(out, "{}");
	} else if (strcmp(path, "/test/compact") == 0) {
		compacted = revision;
		g_ptr_array_set_size(history, 0);
		close_watches();
		g_string_append(out, "{}");
	} else if (strcmp(path, "/test/stats") == 0) {
		g_string_append_printf(out, "{\"watches\":%u", watches->len);
		g_hash_table_iter_init(&iter, stats);
		while (g_hash_table_iter_next(&iter, &name, &count))
			g_string_append_printf(out, ",\"%s\":%u",
					       (const char *)name,
					       GPOINTER_TO_UINT(count));
		g_string_append_c(out, '}');
	} else {
		g_string_append_c(out, '{');
		put_header(out);
		g_string_append(out, ",\"kvs\":[");
		for (node = g_tree_node_first(keys); node != NULL;
		     node = g_tree_node_next(node)) {
			const kv_t *kv = g_tree_node_value(node);

			if (node != g_tree_node_first(keys))
				g_string_append_c(out, ',');
			put_kv(out, kv->key, kv, kv->mod);
		}
		g_string_append(out, "]}");
	}
}

static guint dispatch(const char *path, JsonObject *request, GString *out)
{
	if (strcmp(path, "/v3/kv/range") == 0) {
		do_range(request, out);
		return 200;
	}
	if (strcmp(path, "/v3/kv/txn") == 0)
		return handle_txn(request, out);
	if (strstr(path, "/lease/") != NULL)
		return handle_lease(path, request, out);
	g_string_append(out, "{\"error\":\"Not Found\"}");
	return 404;
}

static gboolean unpause(gpointer data)
{
	soup_server_message_unpause(data);
	g_object_unref(data);
	return G_SOURCE_REMOVE;
}

/* The mode that holds for this call. */
static fake_mode_t take_mode(void)
{
	fake_mode_t now = mode;

	if (mode != MODE_NORMAL && mode_left > 0 && --mode_left == 0)
		mode = MODE_NORMAL;
	return now;
}

static void respond(SoupServerMessage *message, const char *path,
		    JsonObject *request)
{
	GString *out = g_string_new(NULL);
	fake_mode_t now = MODE_NORMAL;
	guint status = 200;
	guint wait = 0;

	if (g_str_has_prefix(path, "/test/")) {
		control(path, request, out);
	} else {
		g_hash_table_insert(
			stats, g_strdup(path),
			GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(
						 stats, path)) +
					 1));
		now = take_mode();
		wait = delay_ms + (now == MODE_SLOW ? mode_delay_ms : 0);
		if (now == MODE_OUT)
			goto out;
		if (strcmp(path, "/v3/watch") == 0) {
			handle_watch(message, request);
			goto out;
		}
		status = dispatch(path, request, out);
	}
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, out->str, out->len);
	if (wait > 0) {
		soup_server_message_pause(message);
		g_timeout_add(wait, unpause, g_object_ref(message));
	}
out:
	if (now == MODE_OUT || now == MODE_LOSE_ANSWER)
		close_connection(message);
	g_string_free(out, TRUE);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;
	JsonObject *request = NULL;

	(void)server;
	(void)query;
	(void)data;
	if (body->length > 0 &&
	    json_parser_load_from_data(parser, body->data, (gssize)body->length,
				       NULL))
		root = json_parser_get_root(parser);
	if (root != NULL && JSON_NODE_HOLDS_OBJECT(root))
		request = json_node_get_object(root);
	if (request == NULL && !g_str_has_prefix(path, "/test/"))
		soup_server_message_set_status(message, 400, NULL);
	else
		respond(message, path, request);
	g_object_unref(parser);
}

static gboolean on_term(gpointer data)
{
	(void)data;
	g_main_loop_quit(loop);
	return G_SOURCE_REMOVE;
}

int main(int argc, char **argv)
{
	gint port = 0, delay = 0;
	GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &port, "port, 0 picks one",
		 "N"},
		{"delay-ms", 0, 0, G_OPTION_ARG_INT, &delay,
		 "delay of each answer", "N"},
		{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
	GOptionContext *context = g_option_context_new(NULL);
	SoupServer *server = soup_server_new(NULL, NULL);
	GError *error = NULL;
	GSList *uris;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error))
		g_error("%s", error->message);
	delay_ms = (guint)MAX(delay, 0);
	keys = g_tree_new_full(compare_keys, NULL, NULL, kv_free);
	history = g_ptr_array_new_with_free_func(event_free);
	watches = g_ptr_array_new_with_free_func(watch_free);
	leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soup_server_add_handler(server, NULL, on_request, NULL, NULL);
	if (!soup_server_listen_local(server, (guint)port,
				      SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
		g_error("%s", error->message);
	uris = soup_server_get_uris(server);
	printf("listening %d\n", g_uri_get_port(uris->data));
	fflush(stdout);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_unix_signal_add(SIGTERM, on_term, NULL);
	g_timeout_add(LEASE_TICK_MS, expire_leases, NULL);
	loop = g_main_loop_new(NULL, FALSE);
	g_main_loop_run(loop);
	close_watches();
	g_object_unref(server);
	g_option_context_free(context);
	return 0;
}
