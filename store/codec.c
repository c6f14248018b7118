#include "store/codec.h"

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <string.h>

/*
 * Longer integers are refused before parsing: json-glib wraps what does not
 * fit into 64 bits around to a small number.
 */
#define DIGITS_MAX 18

typedef enum field_type_t {
	FIELD_NAME, /* name_is_valid() */
	FIELD_TEXT, /* min to max bytes without control characters */
	FIELD_HEX, /* min to max lower-case hexadecimal digits */
	FIELD_HOST, /* IP address */
	FIELD_BOOL,
	FIELD_U16,
	FIELD_U32,
	FIELD_I64,
	FIELD_ENUM, /* one of names */
	FIELD_OP, /* op_id_t */
	FIELD_KEYS, /* API keys of a client account */
	FIELD_OPS, /* last operations of a budget */
	FIELD_OUTCOME, /* outcome_t of a finished claim */
} field_type_t;

typedef struct field_t {
	const char *name;
	field_type_t type;
	size_t offset;
	int64_t min;
	int64_t max;
	const char *const *names; /* FIELD_ENUM, ends with NULL */
} field_t;

typedef struct kind_t {
	record_kind_t kind;
	const char *name;
	const char *key_prefix;
	const field_t *fields;
	guint field_count;
	/* The key's last part must equal the first field. */
	bool named;
} kind_t;

static const char *const service_kinds[] = {"model", "plain", NULL};
static const char *const claim_states[] = {"open", "done", "aborted", NULL};
static const char *const presets[] = {"ordinary", "peak", "maintenance", NULL};

#define AT(type, member) offsetof(record_##type##_t, member)
#define TEXT(type, member, low)                                               \
	{                                                                     \
#member, FIELD_TEXT, AT(type, member), low,                   \
			sizeof(((record_##type##_t *)NULL)->member) - 1, NULL \
	}
#define HEX(type, member, low)                                                 \
	{                                                                      \
#member, FIELD_HEX, AT(type, member), low, HASH_SIZE - 1, NULL \
	}
#define NAMED(type, member)                                                   \
	{                                                                     \
#member, FIELD_NAME, AT(type, member), 1, NAME_SIZE - 1, NULL \
	}
#define HOST(type, member)                                                    \
	{                                                                     \
#member, FIELD_HOST, AT(type, member), 1, HOST_SIZE - 1, NULL \
	}
#define BOOLEAN(type, member)                                     \
	{                                                         \
#member, FIELD_BOOL, AT(type, member), 0, 1, NULL \
	}
#define PORT(type, member, low)                                        \
	{                                                              \
#member, FIELD_U16, AT(type, member), low, 65535, NULL \
	}
#define U32(type, member, low, high)                                  \
	{                                                             \
#member, FIELD_U32, AT(type, member), low, high, NULL \
	}
#define I64(type, member, low, high)                                  \
	{                                                             \
#member, FIELD_I64, AT(type, member), low, high, NULL \
	}
#define TOKENS(type, member) I64(type, member, 0, TOKENS_MAX)
#define OP(type)                                         \
	{                                                \
		"op", FIELD_OP, AT(type, op), 0, 0, NULL \
	}
#define ENUM(label, type, member, texts)                \
	{                                               \
		label, FIELD_ENUM, AT(type, member), 0, \
			G_N_ELEMENTS(texts) - 2, texts  \
	}

static const field_t client_account_fields[] = {
	NAMED(client_account, name),
	OP(client_account),
	BOOLEAN(client_account, removed),
	BOOLEAN(client_account, disabled),
	U32(client_account, weight, 1, CODEC_WEIGHT_MAX),
	U32(client_account, max_requests, 0, CODEC_REQUESTS_MAX),
	{"keys", FIELD_KEYS, 0, 0, CLIENT_ACCOUNT_KEYS, NULL},
};

static const field_t service_fields[] = {
	NAMED(service, name),
	OP(service),
	BOOLEAN(service, removed),
	ENUM("service_kind", service, kind, service_kinds),
	BOOLEAN(service, idempotent),
	BOOLEAN(service, hedge),
	TEXT(service, path_prefix, 0),
	U32(service, deadline_ms, 1, CODEC_MS_MAX),
	U32(service, first_byte_ms, 1, CODEC_MS_MAX),
	U32(service, idle_ms, 1, CODEC_MS_MAX),
	U32(service, max_tokens, 0, CODEC_REQUEST_TOKENS_MAX),
	U32(service, call_tokens, 0, CODEC_REQUEST_TOKENS_MAX),
	U32(service, short_tokens, 0, CODEC_REQUEST_TOKENS_MAX),
	U32(service, max_body, 1, CODEC_BODY_MAX),
};

static const field_t target_fields[] = {
	NAMED(target, name),
	OP(target),
	BOOLEAN(target, removed),
	NAMED(target, service),
	HOST(target, host),
	PORT(target, port, 1),
	NAMED(target, availability_zone),
	U32(target, concurrency, 1, CODEC_REQUESTS_MAX),
	BOOLEAN(target, draining),
	BOOLEAN(target, checks_fencing),
};

static const field_t preset_fields[] = {
	OP(preset),
	ENUM("in_force", preset, in_force, presets),
};

static const field_t quarantine_fields[] = {
	HEX(quarantine, fingerprint, 1),
	OP(quarantine),
	I64(quarantine, expires_ms, 0, CODEC_WALL_MS_MAX),
};

static const field_t budget_fields[] = {
	TOKENS(budget, budget),
	TOKENS(budget, granted),
	TOKENS(budget, retired),
	{"ops", FIELD_OPS, AT(budget, ops), 0, BUDGET_OPS, NULL},
};

static const field_t grant_fields[] = {
	OP(grant),
	TOKENS(grant, granted),
	TOKENS(grant, settled),
	TOKENS(grant, unprotected),
	BOOLEAN(grant, recovered),
};

static const field_t bill_fields[] = {
	OP(bill),
	NAMED(bill, budget),
	HEX(bill, fingerprint, 1),
	TOKENS(bill, tokens),
	I64(bill, wall_ms, 0, CODEC_WALL_MS_MAX),
};

static const field_t claim_fields[] = {
	OP(claim),
	ENUM("state", claim, state, claim_states),
	HEX(claim, fingerprint, 1),
	I64(claim, wall_ms, 0, CODEC_WALL_MS_MAX),
	{"outcome", FIELD_OUTCOME, AT(claim, outcome), 0, 0, NULL},
};

static const field_t member_fields[] = {
	TEXT(member, incarnation, 1),	  NAMED(member, name),
	NAMED(member, availability_zone), HOST(member, host),
	PORT(member, peer_port, 0),	  PORT(member, admin_port, 0),
	TEXT(member, buddy, 0),		  OP(member),
};

static const field_t alive_fields[] = {
	TEXT(alive, incarnation, 1),
};

#define KIND(id, text, prefix, list, is_named)                                \
	{                                                                     \
		RECORD_##id, text, prefix, list, G_N_ELEMENTS(list), is_named \
	}

static const kind_t kinds[] = {
	KIND(CLIENT_ACCOUNT, "client_account", "conf/account/",
	     client_account_fields, true),
	KIND(SERVICE, "service", "conf/service/", service_fields, true),
	KIND(TARGET, "target", "conf/target/", target_fields, true),
	KIND(QUARANTINE, "quarantine", "conf/quarantine/", quarantine_fields,
	     true),
	KIND(BUDGET, "budget", "budget/", budget_fields, false),
	KIND(GRANT, "grant", "grant/", grant_fields, false),
	KIND(BILL, "bill", "bill/", bill_fields, false),
	KIND(CLAIM, "claim", "claim/", claim_fields, false),
	KIND(MEMBER, "member", "member/", member_fields, true),
	KIND(ALIVE, "alive", "alive/", alive_fields, true),
	KIND(PRESET, "preset", "conf/preset", preset_fields, false),
};

static const kind_t *kind_by_id(record_kind_t id)
{
	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (kinds[i].kind == id)
			return &kinds[i];
	}
	return NULL;
}

static const kind_t *kind_by_key(const char *key)
{
	if (strcmp(key, "conf/preset") == 0)
		return kind_by_id(RECORD_PRESET);
	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
		size_t len = strlen(kinds[i].key_prefix);

		if (kinds[i].kind != RECORD_PRESET &&
		    strncmp(key, kinds[i].key_prefix, len) == 0 &&
		    key[len] != '\0')
			return &kinds[i];
	}
	return NULL;
}

record_kind_t codec_kind_of_key(const char *key)
{
	const kind_t *kind = kind_by_key(key);

	return kind == NULL ? RECORD_NONE : kind->kind;
}

const char *codec_kind_name(record_kind_t id)
{
	const kind_t *kind = kind_by_id(id);

	return kind == NULL ? "none" : kind->name;
}

/* --- limits, the same for both directions ------------------------------ */

static bool text_ok(const char *text, int64_t min, int64_t max)
{
	size_t len = strlen(text);

	if ((int64_t)len < min || (int64_t)len > max ||
	    !g_utf8_validate(text, (gssize)len, NULL))
		return false;
	for (size_t i = 0; i < len; i++) {
		if (g_ascii_iscntrl(text[i]))
			return false;
	}
	return true;
}

static bool hex_ok(const char *text, int64_t min, int64_t max)
{
	size_t len = strlen(text);

	return (int64_t)len >= min && (int64_t)len <= max &&
	       strspn(text, "0123456789abcdef") == len;
}

static bool op_ok(const op_id_t *op)
{
	return text_ok(op->writer, 0, INCARNATION_SIZE - 1) &&
	       op->seq <= (uint64_t)CODEC_SEQ_MAX;
}

static bool keys_ok(const record_client_account_t *account)
{
	if (account->key_count > CLIENT_ACCOUNT_KEYS)
		return false;
	for (uint32_t i = 0; i < account->key_count; i++) {
		if (!hex_ok(account->keys[i].hash, HASH_SIZE - 1,
			    HASH_SIZE - 1) ||
		    !name_is_valid(account->keys[i].budget))
			return false;
	}
	return true;
}

static bool ops_ok(const op_id_t *ops)
{
	for (int i = 0; i < BUDGET_OPS; i++) {
		if (!op_ok(&ops[i]))
			return false;
	}
	return true;
}

static bool outcome_ok(const outcome_t *outcome)
{
	/* The content type is a target's text; put_text() makes it valid. */
	return outcome->status <= 999 && outcome->tokens >= 0 &&
	       outcome->tokens <= TOKENS_MAX &&
	       (outcome->body == NULL ||
		g_bytes_get_size(outcome->body) <= OUTCOME_BODY_MAX);
}

static int64_t integer_of(const field_t *field, const void *at)
{
	switch (field->type) {
	case FIELD_U16:
		return *(const uint16_t *)at;
	case FIELD_U32:
		return *(const uint32_t *)at;
	case FIELD_ENUM:
		return *(const int *)at;
	default:
		return *(const int64_t *)at;
	}
}

static bool field_ok(const field_t *field, const void *base)
{
	const void *at = (const char *)base + field->offset;
	int64_t value;

	switch (field->type) {
	case FIELD_NAME:
		return name_is_valid(at);
	case FIELD_TEXT:
		return text_ok(at, field->min, field->max);
	case FIELD_HEX:
		return hex_ok(at, field->min, field->max);
	case FIELD_HOST:
		return g_hostname_is_ip_address(at);
	case FIELD_BOOL:
		return true;
	case FIELD_U16:
	case FIELD_U32:
	case FIELD_I64:
	case FIELD_ENUM:
		value = integer_of(field, at);
		return value >= field->min && value <= field->max;
	case FIELD_OP:
		return op_ok(at);
	case FIELD_KEYS:
		return keys_ok(base);
	case FIELD_OPS:
		return ops_ok(at);
	case FIELD_OUTCOME:
		return outcome_ok(at);
	}
	return false;
}

/* A tombstone holds its name, the operation and nothing else. */
static bool is_removed(const record_t *record)
{
	switch (record->kind) {
	case RECORD_CLIENT_ACCOUNT:
		return record->u.client_account.removed;
	case RECORD_SERVICE:
		return record->u.service.removed;
	case RECORD_TARGET:
		return record->u.target.removed;
	default:
		return false;
	}
}

static bool in_tombstone(const field_t *field)
{
	return field->type == FIELD_OP || strcmp(field->name, "name") == 0 ||
	       strcmp(field->name, "removed") == 0;
}

/* Rules between the members of one record. */
static const char *relation_error(const record_t *record)
{
	const record_service_t *service = &record->u.service;

	switch (record->kind) {
	case RECORD_SERVICE:
		if (!service->removed && service->kind == SERVICE_PLAIN &&
		    service->path_prefix[0] != '/')
			return "a plain service needs a path_prefix";
		return NULL;
	case RECORD_BUDGET:
		if (record->u.budget.retired > record->u.budget.granted)
			return "retired exceeds granted";
		return NULL;
	case RECORD_GRANT:
		if (record->u.grant.settled > record->u.grant.granted)
			return "settled exceeds granted";
		return NULL;
	default:
		return NULL;
	}
}

static bool record_ok(const kind_t *kind, const record_t *record, errmsg_t *err)
{
	const char *error;

	for (guint i = 0; i < kind->field_count; i++) {
		const field_t *field = &kind->fields[i];

		if (is_removed(record) && !in_tombstone(field))
			continue;
		if (!field_ok(field, &record->u)) {
			errmsg_set(err, "%s is out of range", field->name);
			return false;
		}
	}
	error = relation_error(record);
	if (error != NULL)
		errmsg_set(err, "%s", error);
	return error == NULL;
}

/* --- encoding ----------------------------------------------------------- */

/* Bytes that can't be in a record's text are replaced by a question mark. */
static void put_text(GString *out, const char *text)
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

static void put_op(GString *out, const op_id_t *op)
{
	g_string_append(out, "{\"writer\":");
	put_text(out, op->writer);
	g_string_append_printf(out, ",\"seq\":%" G_GUINT64_FORMAT "}", op->seq);
}

static void put_keys(GString *out, const record_client_account_t *account)
{
	g_string_append_c(out, '[');
	for (uint32_t i = 0; i < account->key_count; i++) {
		g_string_append(out, i > 0 ? ",{\"hash\":" : "{\"hash\":");
		put_text(out, account->keys[i].hash);
		g_string_append(out, ",\"budget\":");
		put_text(out, account->keys[i].budget);
		g_string_append_c(out, '}');
	}
	g_string_append_c(out, ']');
}

static void put_ops(GString *out, const op_id_t *ops)
{
	bool first = true;

	g_string_append_c(out, '[');
	for (int i = 0; i < BUDGET_OPS; i++) {
		if (ops[i].writer[0] == '\0' && ops[i].seq == 0)
			continue;
		if (!first)
			g_string_append_c(out, ',');
		put_op(out, &ops[i]);
		first = false;
	}
	g_string_append_c(out, ']');
}

static void put_outcome(GString *out, const outcome_t *outcome)
{
	gchar *body;

	g_string_append_printf(
		out, "{\"status\":%u,\"content_type\":", outcome->status);
	put_text(out, outcome->content_type);
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

static void put_value(GString *out, const field_t *field, const void *base)
{
	const void *at = (const char *)base + field->offset;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_TEXT:
	case FIELD_HEX:
	case FIELD_HOST:
		put_text(out, at);
		break;
	case FIELD_BOOL:
		g_string_append(out, *(const bool *)at ? "true" : "false");
		break;
	case FIELD_U16:
	case FIELD_U32:
	case FIELD_I64:
		g_string_append_printf(out, "%" G_GINT64_FORMAT,
				       integer_of(field, at));
		break;
	case FIELD_ENUM:
		put_text(out, field->names[integer_of(field, at)]);
		break;
	case FIELD_OP:
		put_op(out, at);
		break;
	case FIELD_KEYS:
		put_keys(out, base);
		break;
	case FIELD_OPS:
		put_ops(out, at);
		break;
	case FIELD_OUTCOME:
		put_outcome(out, at);
		break;
	}
}

bool codec_encode(const record_t *record, GString *out, errmsg_t *err)
{
	const kind_t *kind = kind_by_id(record->kind);

	if (kind == NULL) {
		errmsg_set(err, "no record to encode");
		return false;
	}
	if (!record_ok(kind, record, err))
		return false;
	g_string_append_printf(out, "{\"kind\":\"%s\"", kind->name);
	for (guint i = 0; i < kind->field_count; i++) {
		const field_t *field = &kind->fields[i];

		if (is_removed(record) && !in_tombstone(field))
			continue;
		if (field->type == FIELD_OUTCOME &&
		    record->u.claim.state != CLAIM_FINISHED)
			continue;
		g_string_append_printf(out, ",\"%s\":", field->name);
		put_value(out, field, &record->u);
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

static bool get_keys(JsonNode *node, record_client_account_t *account)
{
	JsonArray *array;
	guint count;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	count = json_array_get_length(array);
	if (count > CLIENT_ACCOUNT_KEYS)
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

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	count = json_array_get_length(array);
	if (count > BUDGET_OPS)
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
	size_t len, plain;
	gsize size;

	if (json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	text = json_node_get_string(node);
	len = strlen(text);
	plain = strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuv"
			     "wxyz0123456789+/");
	if (len % 4 != 0 || len - plain > 2 ||
	    strspn(text + plain, "=") != len - plain ||
	    len > (OUTCOME_BODY_MAX + 2) / 3 * 4)
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
	for (int i = 0; field->names[i] != NULL; i++) {
		if (strcmp(field->names[i], text) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

static bool get_number(JsonNode *node, const field_t *field, void *at)
{
	int64_t value;

	if (!get_integer(node, field->min, field->max, &value))
		return false;
	switch (field->type) {
	case FIELD_U16:
		*(uint16_t *)at = (uint16_t)value;
		break;
	case FIELD_U32:
		*(uint32_t *)at = (uint32_t)value;
		break;
	default:
		*(int64_t *)at = value;
		break;
	}
	return true;
}

static bool get_value(JsonNode *node, const field_t *field, void *base)
{
	void *at = (char *)base + field->offset;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_TEXT:
	case FIELD_HEX:
	case FIELD_HOST:
		return get_text(node, at, (size_t)field->max + 1);
	case FIELD_BOOL:
		if (json_node_get_value_type(node) != G_TYPE_BOOLEAN)
			return false;
		*(bool *)at = json_node_get_boolean(node);
		return true;
	case FIELD_U16:
	case FIELD_U32:
	case FIELD_I64:
		return get_number(node, field, at);
	case FIELD_ENUM:
		return get_enum(node, field, at);
	case FIELD_OP:
		return get_op(node, at);
	case FIELD_KEYS:
		return get_keys(node, base);
	case FIELD_OPS:
		return get_ops(node, at);
	case FIELD_OUTCOME:
		return get_outcome(node, at);
	}
	return false;
}

static bool get_fields(const kind_t *kind, JsonObject *object, record_t *record,
		       errmsg_t *err)
{
	JsonNode *removed = json_object_get_member(object, "removed");
	bool tombstone = removed != NULL &&
			 json_node_get_value_type(removed) == G_TYPE_BOOLEAN &&
			 json_node_get_boolean(removed);

	for (guint i = 0; i < kind->field_count; i++) {
		const field_t *field = &kind->fields[i];
		JsonNode *node = json_object_get_member(object, field->name);

		if (tombstone && kind->named && !in_tombstone(field) &&
		    g_str_has_prefix(kind->key_prefix, "conf/") &&
		    kind->kind != RECORD_QUARANTINE)
			continue;
		if (field->type == FIELD_OUTCOME &&
		    record->u.claim.state != CLAIM_FINISHED)
			continue;
		if (node == NULL) {
			errmsg_set(err, "%s is missing", field->name);
			return false;
		}
		if (!get_value(node, field, &record->u)) {
			errmsg_set(err, "%s has a wrong type or value",
				   field->name);
			return false;
		}
	}
	return true;
}

static bool get_record(const kind_t *kind, const char *key, JsonNode *root,
		       record_t *record, errmsg_t *err)
{
	char name[NAME_SIZE];
	JsonObject *object;

	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		errmsg_set(err, "not an object");
		return false;
	}
	object = json_node_get_object(root);
	if (!get_text(json_object_get_member(object, "kind"), name,
		      sizeof(name)) ||
	    strcmp(name, kind->name) != 0) {
		errmsg_set(err, "kind is not %s", kind->name);
		return false;
	}
	if (!get_fields(kind, object, record, err) ||
	    !record_ok(kind, record, err))
		return false;
	if (kind->named &&
	    strcmp((const char *)&record->u + kind->fields[0].offset,
		   key + strlen(kind->key_prefix)) != 0) {
		errmsg_set(err, "%s differs from the key",
			   kind->fields[0].name);
		return false;
	}
	return true;
}

/* Runs over the text outside of strings; digits_max 0 sets no limit. */
static bool scan(const char *text, size_t len, int max_depth, int digits_max)
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
			/* json-glib reads these as quotes and comments. */
			return false;
	}
	return true;
}

bool codec_text_ok(const char *text, size_t len, int max_depth)
{
	return g_utf8_validate(text, (gssize)len, NULL) &&
	       scan(text, len, max_depth, 0);
}

bool codec_decode(const char *key, const char *text, size_t len,
		  record_t *record, errmsg_t *err)
{
	const kind_t *kind = kind_by_key(key);
	JsonParser *parser = NULL;
	bool ok = false;

	memset(record, 0, sizeof(*record));
	if (kind == NULL) {
		errmsg_set(err, "unknown kind of key");
		goto out;
	}
	if (len > CODEC_VALUE_MAX ||
	    !codec_text_ok(text, len, CODEC_DEPTH_MAX) ||
	    !scan(text, len, CODEC_DEPTH_MAX, DIGITS_MAX)) {
		errmsg_set(err, "too long, too deep or not JSON");
		goto out;
	}
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(parser, text, (gssize)len, NULL)) {
		errmsg_set(err, "not JSON");
		goto out;
	}
	record->kind = kind->kind;
	ok = get_record(kind, key, json_parser_get_root(parser), record, err);
out:
	if (parser != NULL)
		g_object_unref(parser);
	if (!ok) {
		record_clear(record);
		record->kind = RECORD_INVALID;
	}
	return ok;
}
