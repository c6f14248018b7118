/*
 * Encoding of the configuration items that peers exchange.
 */
#include "peer/fields.h"

#include <string.h>

#define WEIGHT_MAX 1000

/* Entries in the field table of a record kind; offsets are within record_t. */
#define TEXT(kind, member)                                              \
	{                                                               \
#member, FIELD_TEXT, offsetof(record_t, u.kind.member), \
			sizeof(((record_t *)NULL)->u.kind.member)       \
	}
#define BOOLEAN(kind, member)                                             \
	{                                                                 \
#member, FIELD_BOOL, offsetof(record_t, u.kind.member), 1 \
	}
#define U32(kind, member, limit)                                             \
	{                                                                    \
#member, FIELD_U32, offsetof(record_t, u.kind.member), limit \
	}
#define ENUM(kind, member, limit)                                             \
	{                                                                     \
#member, FIELD_ENUM, offsetof(record_t, u.kind.member), limit \
	}
#define OP(kind)                                                 \
	{                                                        \
		"op", FIELD_OP, offsetof(record_t, u.kind.op), 0 \
	}

static const field_t account_fields[] = {
	TEXT(client_account, name),
	OP(client_account),
	BOOLEAN(client_account, removed),
	BOOLEAN(client_account, disabled),
	U32(client_account, weight, WEIGHT_MAX),
	U32(client_account, max_requests, UINT32_MAX),
};

static const field_t service_fields[] = {
	TEXT(service, name),
	OP(service),
	BOOLEAN(service, removed),
	ENUM(service, kind, SERVICE_PLAIN),
	BOOLEAN(service, idempotent),
	BOOLEAN(service, hedge),
	TEXT(service, path_prefix),
	U32(service, deadline_ms, UINT32_MAX),
	U32(service, first_byte_ms, UINT32_MAX),
	U32(service, idle_ms, UINT32_MAX),
	U32(service, max_tokens, UINT32_MAX),
	U32(service, call_tokens, UINT32_MAX),
	U32(service, short_tokens, UINT32_MAX),
	U32(service, max_body, UINT32_MAX),
};

static const field_t target_fields[] = {
	TEXT(target, name),
	OP(target),
	BOOLEAN(target, removed),
	TEXT(target, service),
	TEXT(target, host),
	{"port", FIELD_U16, offsetof(record_t, u.target.port), UINT16_MAX},
	TEXT(target, availability_zone),
	U32(target, concurrency, UINT32_MAX),
	BOOLEAN(target, draining),
	BOOLEAN(target, checks_fencing),
};

static const field_t preset_fields[] = {
	OP(preset),
	ENUM(preset, in_force, PRESET_COUNT - 1),
};

static const field_t quarantine_fields[] = {
	TEXT(quarantine, fingerprint),
	OP(quarantine),
	{"expires_ms", FIELD_I64, offsetof(record_t, u.quarantine.expires_ms),
	 INT64_MAX},
};

static const field_t order_fields[] = {
	TEXT(order, target),
	OP(order),
	ENUM(order, kind, ORDER_ROLE),
	TEXT(order, subject),
	TEXT(order, version),
	{"number", FIELD_I64, offsetof(record_t, u.order.number), INT64_MAX},
};

static const field_t api_key_fields[] = {
	FIELD_TEXT_OF(api_key_t, hash),
	FIELD_TEXT_OF(api_key_t, budget),
};

static fields_t record_fields(record_kind_t kind)
{
	switch (kind) {
	case RECORD_CLIENT_ACCOUNT:
		return FIELDS_OF(account_fields);
	case RECORD_SERVICE:
		return FIELDS_OF(service_fields);
	case RECORD_TARGET:
		return FIELDS_OF(target_fields);
	case RECORD_PRESET:
		return FIELDS_OF(preset_fields);
	case RECORD_QUARANTINE:
		return FIELDS_OF(quarantine_fields);
	case RECORD_ORDER:
		return FIELDS_OF(order_fields);
	default:
		return (fields_t){NULL, 0};
	}
}

/* Returns true if key is the one under which the store keeps the record. */
static bool record_matches_key(const char *key, const record_t *record)
{
	const char *prefix, *name;

	switch (record->kind) {
	case RECORD_CLIENT_ACCOUNT:
		prefix = "conf/account/";
		name = record->u.client_account.name;
		break;
	case RECORD_SERVICE:
		prefix = "conf/service/";
		name = record->u.service.name;
		break;
	case RECORD_TARGET:
		prefix = "conf/target/";
		name = record->u.target.name;
		break;
	case RECORD_QUARANTINE:
		prefix = "conf/quarantine/";
		name = record->u.quarantine.fingerprint;
		break;
	case RECORD_ORDER:
		prefix = "conf/order/";
		name = record->u.order.target;
		break;
	case RECORD_PRESET:
		return strcmp(key, "conf/preset") == 0;
	default:
		return false;
	}
	return g_str_has_prefix(key, prefix) && name[0] != '\0' &&
	       strcmp(key + strlen(prefix), name) == 0;
}

bool peer_conf_item_is_packable(const store_kv_t *kv)
{
	return kv->revision > 0 && record_matches_key(kv->key, &kv->record);
}

static bool pack_api_keys(msgpack_packer *packer,
			  const record_client_account_t *account, errmsg_t *err)
{
	if (account->key_count > CLIENT_ACCOUNT_KEYS) {
		errmsg_set(err, "too many API keys");
		return false;
	}
	if (!peer_field_pack_text(packer, "keys", err))
		return false;
	msgpack_pack_array(packer, account->key_count);
	for (uint32_t i = 0; i < account->key_count; i++) {
		msgpack_pack_array(packer, G_N_ELEMENTS(api_key_fields));
		if (!peer_fields_pack(packer, FIELDS_OF(api_key_fields),
				      &account->keys[i], err))
			return false;
	}
	return true;
}

bool peer_conf_item_pack(msgpack_packer *packer, const store_kv_t *kv,
			 errmsg_t *err)
{
	fields_t fields = record_fields(kv->record.kind);
	bool has_keys = kv->record.kind == RECORD_CLIENT_ACCOUNT;

	msgpack_pack_array(packer, 4);
	if (!peer_field_pack_text(packer, kv->key, err))
		return false;
	msgpack_pack_int64(packer, kv->revision);
	msgpack_pack_uint64(packer, kv->record.kind);
	msgpack_pack_map(packer, fields.count + (has_keys ? 1 : 0));
	for (uint32_t i = 0; i < fields.count; i++) {
		fields_t field = {&fields.fields[i], 1};

		if (!peer_field_pack_text(packer, field.fields->key, err) ||
		    !peer_fields_pack(packer, field, &kv->record, err))
			return false;
	}
	return !has_keys ||
	       pack_api_keys(packer, &kv->record.u.client_account, err);
}

static bool is_key(const msgpack_object *object, const char *key)
{
	return object->type == MSGPACK_OBJECT_STR &&
	       object->via.str.size == strlen(key) &&
	       memcmp(object->via.str.ptr, key, strlen(key)) == 0;
}

static bool parse_api_keys(const msgpack_object_kv *item,
			   record_client_account_t *account, uint32_t *extra,
			   errmsg_t *err)
{
	const msgpack_object *value = &item->val;

	if (!is_key(&item->key, "keys") ||
	    value->type != MSGPACK_OBJECT_ARRAY ||
	    value->via.array.size > CLIENT_ACCOUNT_KEYS) {
		errmsg_set(err, "API keys are malformed");
		return false;
	}
	account->key_count = value->via.array.size;
	for (uint32_t i = 0; i < account->key_count; i++) {
		const msgpack_object *key = &value->via.array.ptr[i];

		if (key->type != MSGPACK_OBJECT_ARRAY ||
		    !peer_fields_fit(key->via.array.size,
				     G_N_ELEMENTS(api_key_fields), extra)) {
			errmsg_set(err, "an API key is not a pair");
			return false;
		}
		if (!peer_fields_parse(key->via.array.ptr,
				       FIELDS_OF(api_key_fields),
				       &account->keys[i], err))
			return false;
	}
	return true;
}

static bool parse_record(const msgpack_object *object, record_t *record,
			 uint32_t *extra, errmsg_t *err)
{
	fields_t fields = record_fields(record->kind);
	bool has_keys = record->kind == RECORD_CLIENT_ACCOUNT;
	const msgpack_object_kv *items;

	if (fields.count == 0 || object->type != MSGPACK_OBJECT_MAP ||
	    !peer_fields_fit(object->via.map.size,
			     fields.count + (has_keys ? 1 : 0), extra)) {
		errmsg_set(err, "record has an unknown kind or the wrong "
				"number of fields");
		return false;
	}
	items = object->via.map.ptr;
	for (uint32_t i = 0; i < fields.count; i++) {
		fields_t field = {&fields.fields[i], 1};

		if (!is_key(&items[i].key, field.fields->key)) {
			errmsg_set(err, "field %s is missing",
				   field.fields->key);
			return false;
		}
		if (!peer_fields_parse(&items[i].val, field, record, err))
			return false;
	}
	return !has_keys ||
	       parse_api_keys(&items[fields.count], &record->u.client_account,
			      extra, err);
}

bool peer_conf_item_parse(const msgpack_object *object, store_kv_t *kv,
			  uint32_t *extra, errmsg_t *err)
{
	const msgpack_object *items;
	uint64_t revision, kind;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    !peer_fields_fit(object->via.array.size, 4, extra)) {
		errmsg_set(err, "configuration item is malformed");
		return false;
	}
	items = object->via.array.ptr;
	if (!peer_field_parse_text(&items[0], kv->key, sizeof(kv->key), "key",
				   err) ||
	    !peer_field_parse_uint(&items[1], INT64_MAX, &revision, "revision",
				   err) ||
	    !peer_field_parse_uint(&items[2], RECORD_ORDER_STATE, &kind,
				   "record kind", err))
		return false;
	kv->revision = (int64_t)revision;
	kv->record.kind = (record_kind_t)kind;
	if (!parse_record(&items[3], &kv->record, extra, err))
		return false;
	if (!peer_conf_item_is_packable(kv)) {
		errmsg_set(err, "record does not match its key");
		return false;
	}
	return true;
}
