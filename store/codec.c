#include "store/codec.h"

#include "store/schema.h"

#include <json-glib/json-glib.h>
#include <string.h>

/*
 * Integers with more digits are rejected before parsing, because json-glib
 * wraps an integer that does not fit into 64 bits around to a small number.
 */
#define DIGITS_MAX 18

record_kind_t codec_kind_of_key(const char *key)
{
	const schema_t *schema = schema_by_key(key);

	return schema == NULL ? RECORD_NONE : schema->kind;
}

/* --- encoding ----------------------------------------------------------- */

/* Replaces bytes that are not valid in a record's text by question marks. */
static void append_text(GString *out, const char *text)
{
	bool utf8 = g_utf8_validate(text, -1, NULL);

	g_string_append_c(out, '"');
	for (const char *p = text; *p != '\0'; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_c(out, '\\');
		if (g_ascii_iscntrl(*p) || (!utf8 && (*p & 0x80)))
			g_string_append_c(out, '?');
		else
			g_string_append_c(out, *p);
	}
	g_string_append_c(out, '"');
}

static void append_op(GString *out, const op_id_t *op)
{
	g_string_append(out, "{\"writer\":");
	append_text(out, op->writer);
	g_string_append_printf(out, ",\"seq\":%" G_GUINT64_FORMAT "}", op->seq);
}

static void append_keys(GString *out, const record_client_account_t *account)
{
	g_string_append_c(out, '[');
	for (uint32_t i = 0; i < account->key_count; i++) {
		g_string_append(out, i > 0 ? ",{\"hash\":" : "{\"hash\":");
		append_text(out, account->keys[i].hash);
		g_string_append(out, ",\"budget\":");
		append_text(out, account->keys[i].budget);
		g_string_append_c(out, '}');
	}
	g_string_append_c(out, ']');
}

static void append_ops(GString *out, const op_id_t *ops)
{
	bool first = true;

	g_string_append_c(out, '[');
	for (int i = 0; i < BUDGET_OPS; i++) {
		if (ops[i].writer[0] == '\0' && ops[i].seq == 0)
			continue;
		if (!first)
			g_string_append_c(out, ',');
		append_op(out, &ops[i]);
		first = false;
	}
	g_string_append_c(out, ']');
}

static void append_outcome(GString *out, const outcome_t *outcome)
{
	gchar *body;

	g_string_append_printf(
		out, "{\"status\":%u,\"content_type\":", outcome->status);
	append_text(out, outcome->content_type);
	g_string_append_printf(out, ",\"tokens\":%" G_GINT64_FORMAT,
			       outcome->tokens);
	if (outcome->body != NULL) {
		body = g_base64_encode(g_bytes_get_data(outcome->body, NULL),
				       g_bytes_get_size(outcome->body));
		g_string_append_printf(out, ",\"body\":\"%s\"", body);
		g_free(body);
	}
	g_string_append_c(out, '}');
}

static void append_value(GString *out, const field_t *field, const void *base)
{
	const void *member = (const char *)base + field->offset;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_TEXT:
	case FIELD_HEX:
	case FIELD_HOST:
		append_text(out, member);
		break;
	case FIELD_BOOL:
		g_string_append(out, *(const bool *)member ? "true" : "false");
		break;
	case FIELD_U16:
	case FIELD_U32:
	case FIELD_I64:
		g_string_append_printf(out, "%" G_GINT64_FORMAT,
				       schema_integer(field, member));
		break;
	case FIELD_ENUM:
		append_text(out,
			    field->enum_names[schema_integer(field, member)]);
		break;
	case FIELD_OP:
		append_op(out, member);
		break;
	case FIELD_KEYS:
		append_keys(out, base);
		break;
	case FIELD_OPS:
		append_ops(out, member);
		break;
	case FIELD_OUTCOME:
		append_outcome(out, member);
		break;
	}
}

bool codec_encode(const record_t *record, GString *out, errmsg_t *err)
{
	const schema_t *schema = schema_by_kind(record->kind);

	if (schema == NULL) {
		errmsg_set(err, "the record has no kind that can be stored");
		return false;
	}
	if (!schema_check(schema, record, err))
		return false;
	g_string_append_printf(out, "{\"kind\":\"%s\"", schema->name);
	for (guint i = 0; i < schema->field_count; i++) {
		const field_t *field = &schema->fields[i];

		if (record_is_removed(record) && !schema_in_tombstone(field))
			continue;
		if (field->type == FIELD_OUTCOME &&
		    record->u.claim.state != CLAIM_FINISHED)
			continue;
		g_string_append_printf(out, ",\"%s\":", field->name);
		append_value(out, field, &record->u);
	}
	g_string_append_c(out, '}');
	return true;
}

/* --- decoding ----------------------------------------------------------- */

static bool get_text(JsonNode *node, char *out, size_t size)
{
	const char *text;

	if (node == NULL || json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	text = json_node_get_string(node);
	return g_strlcpy(out, text, size) < size;
}

static bool get_integer(JsonNode *node, int64_t min, int64_t max, int64_t *out)
{
	if (node == NULL || json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	*out = json_node_get_int(node);
	return *out >= min && *out <= max;
}

static bool get_op(JsonNode *node, op_id_t *op)
{
	JsonObject *object;
	int64_t seq;

	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node))
		return false;
	object = json_node_get_object(node);
	if (!get_text(json_object_get_member(object, "writer"), op->writer,
		      sizeof(op->writer)) ||
	    !get_integer(json_object_get_member(object, "seq"), 0,
			 CODEC_SEQ_MAX, &seq))
		return false;
	op->seq = (uint64_t)seq;
	return true;
}

/* Accepts an array of at most max elements. */
static bool get_array(JsonNode *node, guint max, JsonArray **array,
		      guint *count)
{
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	*array = json_node_get_array(node);
	*count = json_array_get_length(*array);
	return *count <= max;
}

static bool get_keys(JsonNode *node, record_client_account_t *account)
{
	JsonArray *array;
	guint count;

	if (!get_array(node, CLIENT_ACCOUNT_KEYS, &array, &count))
		return false;
	for (guint i = 0; i < count; i++) {
		JsonNode *item = json_array_get_element(array, i);
		api_key_t *key = &account->keys[i];
		JsonObject *object;

		if (!JSON_NODE_HOLDS_OBJECT(item))
			return false;
		object = json_node_get_object(item);
		if (!get_text(json_object_get_member(object, "hash"), key->hash,
			      sizeof(key->hash)) ||
		    !get_text(json_object_get_member(object, "budget"),
			      key->budget, sizeof(key->budget)))
			return false;
	}
	account->key_count = count;
	return true;
}

static bool get_ops(JsonNode *node, op_id_t *ops)
{
	JsonArray *array;
	guint count;

	if (!get_array(node, BUDGET_OPS, &array, &count))
		return false;
	for (guint i = 0; i < count; i++) {
		if (!get_op(json_array_get_element(array, i), &ops[i]))
			return false;
	}
	return true;
}

static bool get_body(JsonNode *node, outcome_t *outcome)
{
	const char *text;
	guchar *bytes;
	size_t len, data_len;
	gsize size;

	if (json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	text = json_node_get_string(node);
	len = strlen(text);
	data_len =
		strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuv"
			     "wxyz0123456789+/");
	if (len % 4 != 0 || len - data_len > 2 ||
	    strspn(text + data_len, "=") != len - data_len ||
	    len / 4 > (OUTCOME_BODY_MAX + 2) / 3)
		return false;
	bytes = g_base64_decode(text, &size);
	outcome->body = g_bytes_new_take(bytes, size);
	return true;
}

static bool get_outcome(JsonNode *node, outcome_t *outcome)
{
	JsonObject *object;
	JsonNode *body;
	int64_t status;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return false;
	object = json_node_get_object(node);
	if (!get_integer(json_object_get_member(object, "status"), 0, 999,
			 &status) ||
	    !get_text(json_object_get_member(object, "content_type"),
		      outcome->content_type, sizeof(outcome->content_type)) ||
	    !get_integer(json_object_get_member(object, "tokens"), 0,
			 TOKENS_MAX, &outcome->tokens))
		return false;
	outcome->status = (uint32_t)status;
	body = json_object_get_member(object, "body");
	return body == NULL || get_body(body, outcome);
}

static bool get_enum(JsonNode *node, const field_t *field, int *out)
{
	const char *text;

	if (json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	text = json_node_get_string(node);
	for (int i = 0; field->enum_names[i] != NULL; i++) {
		if (strcmp(field->enum_names[i], text) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

static bool get_number(JsonNode *node, const field_t *field, void *member)
{
	int64_t value;

	if (!get_integer(node, field->min, field->max, &value))
		return false;
	switch (field->type) {
	case FIELD_U16:
		*(uint16_t *)member = (uint16_t)value;
		break;
	case FIELD_U32:
		*(uint32_t *)member = (uint32_t)value;
		break;
	default:
		*(int64_t *)member = value;
		break;
	}
	return true;
}

static bool get_value(JsonNode *node, const field_t *field, void *base)
{
	void *member = (char *)base + field->offset;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_TEXT:
	case FIELD_HEX:
	case FIELD_HOST:
		return get_text(node, member, (size_t)field->max + 1);
	case FIELD_BOOL:
		if (json_node_get_value_type(node) != G_TYPE_BOOLEAN)
			return false;
		*(bool *)member = json_node_get_boolean(node);
		return true;
	case FIELD_U16:
	case FIELD_U32:
	case FIELD_I64:
		return get_number(node, field, member);
	case FIELD_ENUM:
		return get_enum(node, field, member);
	case FIELD_OP:
		return get_op(node, member);
	case FIELD_KEYS:
		return get_keys(node, base);
	case FIELD_OPS:
		return get_ops(node, member);
	case FIELD_OUTCOME:
		return get_outcome(node, member);
	}
	return false;
}

static bool get_fields(const schema_t *schema, JsonObject *object,
		       record_t *record, errmsg_t *err)
{
	for (guint i = 0; i < schema->field_count; i++) {
		const field_t *field = &schema->fields[i];
		JsonNode *node = json_object_get_member(object, field->name);

		/*
		 * A tombstone lacks most fields.  "removed" precedes them in
		 * the schema, so its value is known here.
		 */
		if (record_is_removed(record) && !schema_in_tombstone(field))
			continue;
		if (field->type == FIELD_OUTCOME &&
		    record->u.claim.state != CLAIM_FINISHED)
			continue;
		if (node == NULL) {
			errmsg_set(err, "member %s is missing", field->name);
			return false;
		}
		if (!get_value(node, field, &record->u)) {
			errmsg_set(err, "member %s has a wrong type or value",
				   field->name);
			return false;
		}
	}
	return true;
}

static bool get_record(const schema_t *schema, const char *key, JsonNode *root,
		       record_t *record, errmsg_t *err)
{
	char name[NAME_SIZE];
	JsonObject *object;

	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		errmsg_set(err, "the value is not a JSON object");
		return false;
	}
	object = json_node_get_object(root);
	if (!get_text(json_object_get_member(object, "kind"), name,
		      sizeof(name)) ||
	    strcmp(name, schema->name) != 0) {
		errmsg_set(err, "member kind is not %s", schema->name);
		return false;
	}
	if (!get_fields(schema, object, record, err) ||
	    !schema_check(schema, record, err))
		return false;
	if (schema->key_has_name &&
	    strcmp((const char *)&record->u + schema->fields[0].offset,
		   key + strlen(schema->key_prefix)) != 0) {
		errmsg_set(err, "member %s differs from the key",
			   schema->fields[0].name);
		return false;
	}
	return true;
}

/*
 * Checks the nesting depth and the length of integers outside of strings;
 * digits_max 0 sets no limit on integers.
 */
static bool check_limits(const char *text, size_t len, int max_depth,
			 int digits_max)
{
	bool quoted = false;
	int depth = 0;
	int digits = 0;

	for (size_t i = 0; i < len; i++) {
		char c = text[i];

		if (quoted) {
			if (c == '\\')
				i++;
			else if (c == '"')
				quoted = false;
			continue;
		}
		digits = g_ascii_isdigit(c) ? digits + 1 : 0;
		if (digits_max > 0 && digits > digits_max)
			return false;
		if (c == '"')
			quoted = true;
		else if ((c == '[' || c == '{') && ++depth > max_depth)
			return false;
		else if (c == ']' || c == '}')
			depth--;
		else if (c == '\'' || c == '/')
			/* json-glib accepts these as quotes and comments. */
			return false;
	}
	return true;
}

bool codec_check_text(const char *text, size_t len, int max_depth)
{
	return g_utf8_validate(text, (gssize)len, NULL) &&
	       check_limits(text, len, max_depth, 0);
}

bool codec_decode(const char *key, const char *text, size_t len,
		  record_t *record, errmsg_t *err)
{
	const schema_t *schema = schema_by_key(key);
	JsonParser *parser = NULL;
	bool ok = false;

	memset(record, 0, sizeof(*record));
	if (schema == NULL) {
		errmsg_set(err, "the key belongs to no kind of record");
		goto out;
	}
	if (len > CODEC_VALUE_MAX ||
	    !codec_check_text(text, len, CODEC_DEPTH_MAX) ||
	    !check_limits(text, len, CODEC_DEPTH_MAX, DIGITS_MAX)) {
		errmsg_set(
			err,
			"the value is too long, nested too deeply or not JSON");
		goto out;
	}
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(parser, text, (gssize)len, NULL)) {
		errmsg_set(err, "the value is not JSON");
		goto out;
	}
	record->kind = schema->kind;
	ok = get_record(schema, key, json_parser_get_root(parser), record, err);
out:
	if (parser != NULL)
		g_object_unref(parser);
	if (!ok) {
		record_clear(record);
		record->kind = RECORD_INVALID;
	}
	return ok;
}
