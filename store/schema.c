#include "store/schema.h"

#include <stddef.h>
#include <string.h>

static const char *const service_kind_names[] = {"model", "plain", NULL};
static const char *const claim_state_names[] = {"open", "done", "aborted",
						NULL};
static const char *const preset_names[] = {"ordinary", "peak", "maintenance",
					   NULL};
static const char *const order_kind_names[] = {"load", "unload", "role", NULL};
static const char *const order_state_names[] = {"pending", "running", "done",
						"failed", NULL};

#define OFFSET(type, member) offsetof(record_##type##_t, member)
/* Initializers of a field_t, for use within braces. */
#define TEXT(type, member, min)                         \
#member, FIELD_TEXT, OFFSET(type, member), min, \
		sizeof(((record_##type##_t *)NULL)->member) - 1, NULL
#define HEX(type, member, min) \
#member, FIELD_HEX, OFFSET(type, member), min, HASH_SIZE - 1, NULL
#define NAME(type, member) \
#member, FIELD_NAME, OFFSET(type, member), 1, NAME_SIZE - 1, NULL
#define HOST(type, member) \
#member, FIELD_HOST, OFFSET(type, member), 1, HOST_SIZE - 1, NULL
#define BOOLEAN(type, member) \
#member, FIELD_BOOL, OFFSET(type, member), 0, 1, NULL
#define PORT(type, member, min) \
#member, FIELD_U16, OFFSET(type, member), min, 65535, NULL
#define U32(type, member, min, max) \
#member, FIELD_U32, OFFSET(type, member), min, max, NULL
#define I64(type, member, min, max) \
#member, FIELD_I64, OFFSET(type, member), min, max, NULL
#define TOKENS(type, member) I64(type, member, 0, TOKENS_MAX)
#define OP(type) "op", FIELD_OP, OFFSET(type, op), 0, 0, NULL
#define ENUM(json_name, type, member, names)            \
	json_name, FIELD_ENUM, OFFSET(type, member), 0, \
		(int64_t)G_N_ELEMENTS(names) - 2, names

static const field_t client_account_fields[] = {
	{NAME(client_account, name)},
	{OP(client_account)},
	{BOOLEAN(client_account, removed)},
	{BOOLEAN(client_account, disabled)},
	{U32(client_account, weight, 1, CODEC_WEIGHT_MAX)},
	{U32(client_account, max_requests, 0, CODEC_REQUESTS_MAX)},
	{"keys", FIELD_KEYS, 0, 0, CLIENT_ACCOUNT_KEYS, NULL},
};

static const field_t service_fields[] = {
	{NAME(service, name)},
	{OP(service)},
	{BOOLEAN(service, removed)},
	{ENUM("service_kind", service, kind, service_kind_names)},
	{BOOLEAN(service, idempotent)},
	{BOOLEAN(service, hedge)},
	{TEXT(service, path_prefix, 0)},
	{U32(service, deadline_ms, 1, CODEC_DURATION_MS_MAX)},
	{U32(service, first_byte_ms, 1, CODEC_DURATION_MS_MAX)},
	{U32(service, idle_ms, 1, CODEC_DURATION_MS_MAX)},
	{U32(service, max_tokens, 0, CODEC_REQUEST_TOKENS_MAX)},
	{U32(service, call_tokens, 0, CODEC_REQUEST_TOKENS_MAX)},
	{U32(service, short_tokens, 0, CODEC_REQUEST_TOKENS_MAX)},
	{U32(service, max_body, 1, CODEC_BODY_MAX)},
};

static const field_t target_fields[] = {
	{NAME(target, name)},
	{OP(target)},
	{BOOLEAN(target, removed)},
	{NAME(target, service)},
	{HOST(target, host)},
	{PORT(target, port, 1)},
	{NAME(target, availability_zone)},
	{U32(target, concurrency, 1, CODEC_REQUESTS_MAX)},
	{BOOLEAN(target, draining)},
	{BOOLEAN(target, checks_fencing)},
};

static const field_t preset_fields[] = {
	{OP(preset)},
	{ENUM("in_force", preset, in_force, preset_names)},
};

static const field_t quarantine_fields[] = {
	{HEX(quarantine, fingerprint, 1)},
	{OP(quarantine)},
	{I64(quarantine, expires_ms, 0, CODEC_WALL_MS_MAX)},
};

static const field_t budget_fields[] = {
	{TOKENS(budget, budget)},
	{TOKENS(budget, granted)},
	{TOKENS(budget, retired)},
	{"ops", FIELD_OPS, OFFSET(budget, ops), 0, BUDGET_OPS, NULL},
};

static const field_t grant_fields[] = {
	{OP(grant)},
	{TOKENS(grant, granted)},
	{TOKENS(grant, settled)},
	{TOKENS(grant, unprotected)},
	{BOOLEAN(grant, recovered)},
};

static const field_t bill_fields[] = {
	{OP(bill)},
	{NAME(bill, budget)},
	{HEX(bill, fingerprint, 0)},
	{TOKENS(bill, tokens)},
	{I64(bill, wall_ms, 0, CODEC_WALL_MS_MAX)},
};

static const field_t claim_fields[] = {
	{OP(claim)},
	{ENUM("state", claim, state, claim_state_names)},
	{HEX(claim, fingerprint, 1)},
	{I64(claim, wall_ms, 0, CODEC_WALL_MS_MAX)},
	{"outcome", FIELD_OUTCOME, OFFSET(claim, outcome), 0, 0, NULL},
};

static const field_t member_fields[] = {
	{TEXT(member, incarnation, 1)},	   {NAME(member, name)},
	{NAME(member, availability_zone)}, {HOST(member, host)},
	{PORT(member, peer_port, 0)},	   {PORT(member, admin_port, 0)},
	{TEXT(member, buddy, 0)},	   {OP(member)},
};

static const field_t alive_fields[] = {
	{TEXT(alive, incarnation, 1)},
};

static const field_t order_fields[] = {
	{NAME(order, target)},
	{OP(order)},
	{ENUM("order", order, kind, order_kind_names)},
	{NAME(order, subject)},
	{TEXT(order, version, 0)},
	{I64(order, number, 1, CODEC_SEQ_MAX)},
};

static const field_t order_lease_fields[] = {
	{TEXT(order_lease, owner, 1)},
};

static const field_t order_state_fields[] = {
	{TEXT(order_state, owner, 1)},
	{OP(order_state)},
	{I64(order_state, number, 1, CODEC_SEQ_MAX)},
	{ENUM("state", order_state, state, order_state_names)},
	{TEXT(order_state, message, 0)},
	{U32(order_state, longest_ms, 0, CODEC_DURATION_MS_MAX)},
};

#define SCHEMA(id, name, prefix, fields, key_has_name) \
	RECORD_##id, name, prefix, fields, G_N_ELEMENTS(fields), key_has_name

static const schema_t schemas[] = {
	{SCHEMA(CLIENT_ACCOUNT, "client_account", "conf/account/",
		client_account_fields, true)},
	{SCHEMA(SERVICE, "service", "conf/service/", service_fields, true)},
	{SCHEMA(TARGET, "target", "conf/target/", target_fields, true)},
	{SCHEMA(QUARANTINE, "quarantine", "conf/quarantine/", quarantine_fields,
		true)},
	{SCHEMA(BUDGET, "budget", "budget/", budget_fields, false)},
	{SCHEMA(GRANT, "grant", "grant/", grant_fields, false)},
	{SCHEMA(BILL, "bill", "bill/", bill_fields, false)},
	{SCHEMA(CLAIM, "claim", "claim/", claim_fields, false)},
	{SCHEMA(MEMBER, "member", "member/", member_fields, true)},
	{SCHEMA(ALIVE, "alive", "alive/", alive_fields, true)},
	{SCHEMA(ORDER, "order", "conf/order/", order_fields, true)},
	{SCHEMA(ORDER_LEASE, "order_lease", "order/", order_lease_fields,
		false)},
	{SCHEMA(ORDER_STATE, "order_state", "order/", order_state_fields,
		false)},
	{SCHEMA(PRESET, "preset", "conf/preset", preset_fields, false)},
};

const schema_t *schema_by_kind(record_kind_t kind)
{
	for (guint i = 0; i < G_N_ELEMENTS(schemas); i++) {
		if (schemas[i].kind == kind)
			return &schemas[i];
	}
	return NULL;
}

const schema_t *schema_by_key(const char *key)
{
	if (strcmp(key, "conf/preset") == 0)
		return schema_by_kind(RECORD_PRESET);
	/* The keys are order/TARGET/lease and order/TARGET/state. */
	if (g_str_has_prefix(key, "order/"))
		return g_str_has_suffix(key, "/lease")
			       ? schema_by_kind(RECORD_ORDER_LEASE)
		       : g_str_has_suffix(key, "/state")
			       ? schema_by_kind(RECORD_ORDER_STATE)
			       : NULL;
	for (guint i = 0; i < G_N_ELEMENTS(schemas); i++) {
		size_t len = strlen(schemas[i].key_prefix);

		if (schemas[i].kind != RECORD_PRESET &&
		    strncmp(key, schemas[i].key_prefix, len) == 0 &&
		    key[len] != '\0')
			return &schemas[i];
	}
	return NULL;
}

/* --- limits on decoded and encoded records ----------------------------- */

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
	/*
	 * The content type comes from a target and is not checked here;
	 * append_text() replaces its invalid bytes.
	 */
	return outcome->status <= 999 && outcome->tokens >= 0 &&
	       outcome->tokens <= TOKENS_MAX &&
	       (outcome->body == NULL ||
		g_bytes_get_size(outcome->body) <= OUTCOME_BODY_MAX);
}

int64_t schema_integer(const field_t *field, const void *member)
{
	switch (field->type) {
	case FIELD_U16:
		return *(const uint16_t *)member;
	case FIELD_U32:
		return *(const uint32_t *)member;
	case FIELD_ENUM:
		return *(const int *)member;
	default:
		return *(const int64_t *)member;
	}
}

static bool field_ok(const field_t *field, const void *base)
{
	const void *member = (const char *)base + field->offset;
	int64_t value;

	switch (field->type) {
	case FIELD_NAME:
		return name_is_valid(member);
	case FIELD_TEXT:
		return text_ok(member, field->min, field->max);
	case FIELD_HEX:
		return hex_ok(member, field->min, field->max);
	case FIELD_HOST:
		return g_hostname_is_ip_address(member);
	case FIELD_BOOL:
		return true;
	case FIELD_U16:
	case FIELD_U32:
	case FIELD_I64:
	case FIELD_ENUM:
		value = schema_integer(field, member);
		return value >= field->min && value <= field->max;
	case FIELD_OP:
		return op_ok(member);
	case FIELD_KEYS:
		return keys_ok(base);
	case FIELD_OPS:
		return ops_ok(member);
	case FIELD_OUTCOME:
		return outcome_ok(member);
	}
	return false;
}

bool schema_in_tombstone(const field_t *field)
{
	return field->type == FIELD_OP || strcmp(field->name, "name") == 0 ||
	       strcmp(field->name, "removed") == 0;
}

/* Checks the rules that the limits of a single field cannot express. */
static const char *cross_field_error(const record_t *record)
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
	case RECORD_ORDER:
		if (record->u.order.version[0] != '\0' &&
		    !name_is_valid(record->u.order.version))
			return "version is not a name";
		return NULL;
	default:
		return NULL;
	}
}

bool schema_check(const schema_t *schema, const record_t *record, errmsg_t *err)
{
	const char *error;

	for (guint i = 0; i < schema->field_count; i++) {
		const field_t *field = &schema->fields[i];

		if (record_is_removed(record) && !schema_in_tombstone(field))
			continue;
		if (!field_ok(field, &record->u)) {
			errmsg_set(err, "%s is out of range", field->name);
			return false;
		}
	}
	error = cross_field_error(record);
	if (error != NULL)
		errmsg_set(err, "%s", error);
	return error == NULL;
}
