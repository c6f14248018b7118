#include "store/wire.h"

#include "log/log.h"
#include "store/codec.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* --- requests ----------------------------------------------------------- */

static void append_base64(GString *out, const char *name, const char *data,
			  size_t len)
{
	gchar *text = g_base64_encode((const guchar *)data, len);

	g_string_append_printf(out, "\"%s\":\"%s\"", name, text);
	g_free(text);
}

static void append_key(GString *out, const wire_t *wire, const char *key)
{
	gchar *full = g_strconcat(wire->key_prefix, key, NULL);

	append_base64(out, "key", full, strlen(full));
	g_free(full);
}

static void append_range(GString *out, const wire_t *wire, const char *key,
			 bool prefix, const char *after)
{
	gchar *full = g_strconcat(wire->key_prefix, key, NULL);
	size_t len = strlen(full);
	gchar *start;

	if (after == NULL) {
		append_base64(out, "key", full, len);
	} else {
		/* The next possible key is the previous one and a NUL byte. */
		start = g_strconcat(wire->key_prefix, after, NULL);
		append_base64(out, "key", start, strlen(start) + 1);
		g_free(start);
	}
	if (prefix) {
		/* Keys are ASCII, so the last byte cannot overflow. */
		full[len - 1]++;
		g_string_append_c(out, ',');
		append_base64(out, "range_end", full, len);
	}
	g_free(full);
}

gchar *wire_range(const wire_t *wire, const wire_range_t *range)
{
	GString *out = g_string_new("{");

	append_range(out, wire, range->key, range->prefix, range->after);
	if (range->revision > 0)
		g_string_append_printf(out,
				       ",\"revision\":\"%" G_GINT64_FORMAT "\"",
				       range->revision);
	if (range->prefix)
		g_string_append_printf(out, ",\"limit\":\"%d\"", range->limit);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

static void append_compare(GString *out, const wire_t *wire,
			   const store_op_t *op)
{
	g_string_append_c(out, '{');
	append_key(out, wire, op->key);
	if (op->expect == EXPECT_ABSENT)
		g_string_append(out, ",\"target\":\"CREATE\","
				     "\"create_revision\":\"0\"");
	else
		g_string_append_printf(out,
				       ",\"target\":\"MOD\",\"mod_revision\":"
				       "\"%" G_GINT64_FORMAT "\"",
				       op->expect);
	g_string_append(out, ",\"result\":\"EQUAL\"}");
}

static bool append_put(GString *out, const wire_t *wire, const store_op_t *op,
		       errmsg_t *err)
{
	GString *value = g_string_new(NULL);
	bool ok = codec_encode(&op->record, value, err);

	if (ok) {
		g_string_append(out, "{\"request_put\":{");
		append_key(out, wire, op->key);
		g_string_append_c(out, ',');
		append_base64(out, "value", value->str, value->len);
		if (op->lease != 0)
			g_string_append_printf(
				out, ",\"lease\":\"%" G_GINT64_FORMAT "\"",
				op->lease);
		g_string_append(out, "}}");
	}
	g_string_free(value, TRUE);
	return ok;
}

typedef struct group_json_t {
	GString *compare;
	GString *success;
	GString *failure;
} group_json_t;

static void append_comma(GString *out)
{
	if (out->len > 0)
		g_string_append_c(out, ',');
}

static bool append_op(group_json_t *json, const wire_t *wire,
		      const store_op_t *op, errmsg_t *err)
{
	if (op->expect != EXPECT_ANY) {
		append_comma(json->compare);
		append_compare(json->compare, wire, op);
	}
	append_comma(json->failure);
	g_string_append(json->failure, "{\"request_range\":{");
	append_key(json->failure, wire, op->key);
	g_string_append(json->failure, "}}");
	switch (op->kind) {
	case STORE_PUT:
		append_comma(json->success);
		return append_put(json->success, wire, op, err);
	case STORE_DELETE:
		append_comma(json->success);
		g_string_append(json->success, "{\"request_delete_range\":{");
		append_key(json->success, wire, op->key);
		g_string_append(json->success, "}}");
		return true;
	case STORE_CHECK:
		return true;
	}
	return false;
}

/* Appends the operations of one group as a nested transaction. */
static bool append_group(GString *out, const wire_t *wire,
			 const store_txn_t *txn, guint *pos, errmsg_t *err)
{
	group_json_t json = {g_string_new(NULL), g_string_new(NULL),
			     g_string_new(NULL)};
	uint32_t group = g_array_index(txn->ops, store_op_t, *pos).group;
	guint first = *pos;
	bool ok = true;

	for (; ok && *pos < txn->ops->len; (*pos)++) {
		const store_op_t *op =
			&g_array_index(txn->ops, store_op_t, *pos);

		if (op->group != group)
			break;
		ok = append_op(&json, wire, op, err);
	}
	if (ok && txn->group_count + (*pos - first) > STORE_TXN_OPS_MAX) {
		errmsg_set(err,
			   "the transaction has too many groups or operations");
		ok = false;
	}
	g_string_append_printf(out,
			       "{\"request_txn\":{\"compare\":[%s],"
			       "\"success\":[%s],\"failure\":[%s]}}",
			       json.compare->str, json.success->str,
			       json.failure->str);
	g_string_free(json.compare, TRUE);
	g_string_free(json.success, TRUE);
	g_string_free(json.failure, TRUE);
	return ok;
}

gchar *wire_txn(const wire_t *wire, const store_txn_t *txn, errmsg_t *err)
{
	GString *out = g_string_new("{\"success\":[");
	uint32_t group = 0;
	bool ok = true;

	if (txn->group_count == 0) {
		errmsg_set(err, "the transaction has no group");
		ok = false;
	}
	for (guint pos = 0; ok && pos < txn->ops->len; group++) {
		if (group > 0)
			g_string_append_c(out, ',');
		if (g_array_index(txn->ops, store_op_t, pos).group != group) {
			errmsg_set(err, "the transaction has an empty group");
			ok = false;
		}
		ok = ok && append_group(out, wire, txn, &pos, err);
	}
	if (ok && group != txn->group_count) {
		errmsg_set(err, "the transaction has an empty group");
		ok = false;
	}
	g_string_append(out, "]}");
	if (ok)
		return g_string_free(out, FALSE);
	g_string_free(out, TRUE);
	return NULL;
}

gchar *wire_lease_grant(int32_t ttl_s)
{
	return g_strdup_printf("{\"TTL\":\"%d\"}", ttl_s);
}

gchar *wire_lease_id(int64_t lease)
{
	return g_strdup_printf("{\"ID\":\"%" G_GINT64_FORMAT "\"}", lease);
}

gchar *wire_watch(const wire_t *wire, const char *key, bool prefix,
		  int64_t start_revision)
{
	GString *out = g_string_new("{\"create_request\":{");

	append_range(out, wire, key, prefix, NULL);
	g_string_append_printf(out,
			       ",\"start_revision\":\"%" G_GINT64_FORMAT
			       "\",\"progress_notify\":true}}",
			       start_revision);
	return g_string_free(out, FALSE);
}

/* --- responses ---------------------------------------------------------- */

static JsonParser *parse_json(const char *text, size_t len, JsonObject **root)
{
	JsonParser *parser;
	JsonNode *node;

	if (!codec_check_text(text, len, WIRE_DEPTH_MAX))
		return NULL;
	parser = json_parser_new_immutable();
	if (json_parser_load_from_data(parser, text, (gssize)len, NULL)) {
		node = json_parser_get_root(parser);
		if (node != NULL && JSON_NODE_HOLDS_OBJECT(node)) {
			*root = json_node_get_object(node);
			return parser;
		}
	}
	g_object_unref(parser);
	return NULL;
}

static JsonObject *member_object(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL && JSON_NODE_HOLDS_OBJECT(node)
		       ? json_node_get_object(node)
		       : NULL;
}

static JsonArray *member_array(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL && JSON_NODE_HOLDS_ARRAY(node)
		       ? json_node_get_array(node)
		       : NULL;
}

static JsonObject *element_object(JsonArray *array, guint i)
{
	JsonNode *node;

	if (array == NULL || i >= json_array_get_length(array))
		return NULL;
	node = json_array_get_element(array, i);
	return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}

static bool member_bool(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL &&
	       json_node_get_value_type(node) == G_TYPE_BOOLEAN &&
	       json_node_get_boolean(node);
}

/* Accepts a decimal string or a number; an absent member is 0. */
static bool member_int(JsonObject *object, const char *name, int64_t *out)
{
	JsonNode *node = json_object_get_member(object, name);
	GType type;

	*out = 0;
	if (node == NULL)
		return true;
	type = json_node_get_value_type(node);
	if (type == G_TYPE_INT64)
		*out = json_node_get_int(node);
	else if (type != G_TYPE_STRING ||
		 !g_ascii_string_to_signed(json_node_get_string(node), 10, 0,
					   INT64_MAX, out, NULL))
		return false;
	return *out >= 0;
}

static bool header_revision(JsonObject *object, int64_t *revision)
{
	JsonObject *header = member_object(object, "header");

	return header != NULL && member_int(header, "revision", revision);
}

/* Decodes a base64 member; *out is NUL-terminated, freed by the caller. */
static bool member_base64(JsonObject *object, const char *name, guchar **out,
			  gsize *len)
{
	JsonNode *node = json_object_get_member(object, name);
	const char *text;

	*out = NULL;
	if (node == NULL) {
		*out = g_malloc0(1);
		*len = 0;
		return true;
	}
	if (json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	text = json_node_get_string(node);
	*out = g_base64_decode(text, len);
	*out = g_realloc(*out, *len + 1);
	(*out)[*len] = '\0';
	return true;
}

static void report_invalid(const wire_t *wire, const char *key,
			   const char *reason)
{
	metrics_add(wire->metrics, COUNTER_STORE_INVALID, 1);
	log_event(LOG_LEVEL_WARN, "store", "invalid_value", "key=%s reason=%s",
		  log_quote(key), log_quote(reason));
}

/* Strips key_prefix; returns false for a key without the prefix. */
static bool parse_key(const wire_t *wire, JsonObject *kv,
		      char out[STORE_KEY_SIZE])
{
	size_t prefix_len = strlen(wire->key_prefix);
	guchar *key;
	gsize len;
	bool ok;

	if (!member_base64(kv, "key", &key, &len))
		return false;
	ok = len > prefix_len && len - prefix_len < STORE_KEY_SIZE &&
	     memchr(key, '\0', len) == NULL &&
	     memcmp(key, wire->key_prefix, prefix_len) == 0;
	if (ok)
		g_strlcpy(out, (const char *)key + prefix_len, STORE_KEY_SIZE);
	else
		report_invalid(wire, (const char *)key, "the key is malformed");
	g_free(key);
	return ok;
}

/* Adds a key and value; an undecodable value becomes RECORD_INVALID. */
static bool add_kv(const wire_t *wire, JsonObject *kv, uint32_t group,
		   store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	errmsg_t err = {""};
	record_t record;
	int64_t revision;
	guchar *value;
	gsize len;

	if (kv == NULL || !member_int(kv, "mod_revision", &revision) ||
	    revision == 0)
		return false;
	if (!parse_key(wire, kv, key))
		return true;
	if (!member_base64(kv, "value", &value, &len))
		return false;
	if (!codec_decode(key, (const char *)value, len, &record, &err))
		report_invalid(wire, key, err.text);
	store_result_add(result, group, key, revision, &record);
	record_clear(&record);
	g_free(value);
	return true;
}

static bool parse_last_key(const wire_t *wire, JsonObject *kv,
			   char last_key[STORE_KEY_SIZE])
{
	return kv != NULL && parse_key(wire, kv, last_key);
}

bool wire_parse_range(const wire_t *wire, const char *text, size_t len,
		      store_result_t *result, char last_key[STORE_KEY_SIZE])
{
	JsonParser *parser;
	JsonObject *root;
	JsonArray *kvs;
	guint count;
	bool ok;

	parser = parse_json(text, len, &root);
	if (parser == NULL)
		return false;
	ok = header_revision(root, &result->revision);
	kvs = member_array(root, "kvs");
	count = kvs == NULL ? 0 : json_array_get_length(kvs);
	for (guint i = 0; ok && i < count; i++)
		ok = add_kv(wire, element_object(kvs, i), 0, result);
	result->more = member_bool(root, "more");
	if (ok && result->more)
		ok = count > 0 &&
		     parse_last_key(wire, element_object(kvs, count - 1),
				    last_key);
	g_object_unref(parser);
	return ok;
}

/* Adds the current state of a key of a group that did not commit. */
static bool add_current_kv(const wire_t *wire, JsonObject *response,
			   const store_op_t *op, store_result_t *result)
{
	JsonObject *range;
	JsonArray *kvs;

	if (response == NULL)
		return false;
	range = member_object(response, "response_range");
	if (range == NULL)
		return false;
	kvs = member_array(range, "kvs");
	if (kvs == NULL || json_array_get_length(kvs) == 0) {
		store_result_add(result, op->group, op->key, 0, NULL);
		return true;
	}
	return add_kv(wire, element_object(kvs, 0), op->group, result);
}

static bool add_group(const wire_t *wire, JsonObject *response,
		      const store_txn_t *txn, uint32_t group,
		      store_result_t *result)
{
	JsonObject *nested;
	JsonArray *list;
	bool committed;
	guint pos = 0;

	if (response == NULL)
		return false;
	nested = member_object(response, "response_txn");
	if (nested == NULL)
		return false;
	committed = member_bool(nested, "succeeded");
	g_array_append_val(result->committed, committed);
	if (committed)
		return true;
	list = member_array(nested, "responses");
	for (guint i = 0; i < txn->ops->len; i++) {
		const store_op_t *op = &g_array_index(txn->ops, store_op_t, i);

		if (op->group == group &&
		    !add_current_kv(wire, element_object(list, pos++), op,
				    result))
			return false;
	}
	return true;
}

bool wire_parse_txn(const wire_t *wire, const char *text, size_t len,
		    const store_txn_t *txn, store_result_t *result)
{
	JsonParser *parser;
	JsonObject *root;
	JsonArray *responses;
	bool ok;

	parser = parse_json(text, len, &root);
	if (parser == NULL)
		return false;
	ok = header_revision(root, &result->revision) &&
	     member_bool(root, "succeeded");
	responses = member_array(root, "responses");
	for (uint32_t group = 0; ok && group < txn->group_count; group++)
		ok = add_group(wire, element_object(responses, group), txn,
			       group, result);
	g_object_unref(parser);
	return ok;
}

/* A keepalive response wraps its members in "result", a grant does not. */
bool wire_parse_lease(const char *text, size_t len, store_result_t *result)
{
	JsonParser *parser;
	JsonObject *root, *payload;
	int64_t ttl = 0;
	bool ok;

	parser = parse_json(text, len, &root);
	if (parser == NULL)
		return false;
	payload = member_object(root, "result");
	if (payload == NULL)
		payload = root;
	ok = header_revision(payload, &result->revision) &&
	     member_int(payload, "ID", &result->lease) &&
	     member_int(payload, "TTL", &ttl) && ttl <= INT32_MAX;
	result->lease_ttl_s = (int32_t)ttl;
	g_object_unref(parser);
	return ok;
}

static bool add_event(const wire_t *wire, JsonObject *event,
		      store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const char *type = NULL;
	JsonObject *kv;
	JsonNode *node;
	int64_t revision;

	if (event == NULL)
		return false;
	kv = member_object(event, "kv");
	if (kv == NULL || !member_int(kv, "mod_revision", &revision) ||
	    revision == 0)
		return false;
	/*
	 * The revision in the header may be ahead of the delivered events, so
	 * the result takes its revision from the events themselves.
	 */
	result->revision = MAX(result->revision, revision);
	node = json_object_get_member(event, "type");
	if (node != NULL && json_node_get_value_type(node) == G_TYPE_STRING)
		type = json_node_get_string(node);
	if (type == NULL || strcmp(type, "DELETE") != 0)
		return add_kv(wire, kv, 0, result);
	if (parse_key(wire, kv, key))
		store_result_add(result, 0, key, revision, NULL);
	return true;
}

static wire_watch_kind_t parse_watch_result(const wire_t *wire,
					    JsonObject *payload,
					    store_result_t *result)
{
	JsonArray *events = member_array(payload, "events");
	guint count = events == NULL ? 0 : json_array_get_length(events);

	if (member_bool(payload, "canceled"))
		return WIRE_WATCH_CANCELED;
	if (member_bool(payload, "created") && count == 0)
		return WIRE_WATCH_CREATED;
	if (count == 0)
		return header_revision(payload, &result->revision)
			       ? WIRE_WATCH_PROGRESS
			       : WIRE_WATCH_INVALID;
	for (guint i = 0; i < count; i++) {
		if (!add_event(wire, element_object(events, i), result))
			return WIRE_WATCH_INVALID;
	}
	return WIRE_WATCH_EVENTS;
}

wire_watch_kind_t wire_parse_watch(const wire_t *wire, const char *text,
				   size_t len, store_result_t *result)
{
	wire_watch_kind_t kind = WIRE_WATCH_INVALID;
	JsonObject *root, *payload;
	JsonParser *parser;

	parser = parse_json(text, len, &root);
	if (parser == NULL)
		return WIRE_WATCH_INVALID;
	payload = member_object(root, "result");
	if (payload != NULL)
		kind = parse_watch_result(wire, payload, result);
	g_object_unref(parser);
	return kind;
}
