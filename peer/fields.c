#include "peer/fields.h"

#include <string.h>

/*
 * The store and the log can hold only UTF-8 without control characters, so
 * other text is rejected.
 */
static bool text_is_valid(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c < 0x20 || c == 0x7f)
			return false;
	}
	return g_utf8_validate(text, (gssize)len, NULL);
}

bool peer_field_pack_text(msgpack_packer *packer, const char *text,
			  errmsg_t *err)
{
	size_t len = strlen(text);

	if (!text_is_valid(text, len)) {
		errmsg_set(err, "text is not printable UTF-8");
		return false;
	}
	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
	return true;
}

bool peer_field_parse_text(const msgpack_object *object, char *to, size_t size,
			   const char *name, errmsg_t *err)
{
	if (object->type != MSGPACK_OBJECT_STR) {
		errmsg_set(err, "%s is not a string", name);
		return false;
	}
	if (object->via.str.size >= size) {
		errmsg_set(err, "%s is longer than %zu bytes", name, size - 1);
		return false;
	}
	if (!text_is_valid(object->via.str.ptr, object->via.str.size)) {
		errmsg_set(err, "%s is not printable UTF-8", name);
		return false;
	}
	if (object->via.str.size > 0)
		memcpy(to, object->via.str.ptr, object->via.str.size);
	to[object->via.str.size] = '\0';
	return true;
}

bool peer_field_parse_uint(const msgpack_object *object, uint64_t limit,
			   uint64_t *to, const char *name, errmsg_t *err)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		errmsg_set(err, "%s is not an unsigned integer", name);
		return false;
	}
	if (object->via.u64 > limit) {
		errmsg_set(err, "%s exceeds its limit", name);
		return false;
	}
	*to = object->via.u64;
	return true;
}

static bool pack_op(msgpack_packer *packer, const op_id_t *op, errmsg_t *err)
{
	msgpack_pack_array(packer, 2);
	if (!peer_field_pack_text(packer, op->writer, err))
		return false;
	msgpack_pack_uint64(packer, op->seq);
	return true;
}

static bool parse_op(const msgpack_object *object, op_id_t *op, errmsg_t *err)
{
	const msgpack_object *items;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != 2) {
		errmsg_set(err, "operation ID is not a pair");
		return false;
	}
	items = object->via.array.ptr;
	return peer_field_parse_text(&items[0], op->writer, sizeof(op->writer),
				     "writer", err) &&
	       peer_field_parse_uint(&items[1], UINT64_MAX, &op->seq, "seq",
				     err);
}

static bool pack_field(msgpack_packer *packer, const field_t *field,
		       const void *from, errmsg_t *err)
{
	const char *member = (const char *)from + field->offset;

	switch (field->type) {
	case FIELD_BOOL:
		if (*(const bool *)member)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		return true;
	case FIELD_U16:
		msgpack_pack_uint64(packer, *(const uint16_t *)member);
		return true;
	case FIELD_U32:
	case FIELD_ENUM:
		msgpack_pack_uint64(packer, *(const uint32_t *)member);
		return true;
	case FIELD_U64:
		msgpack_pack_uint64(packer, *(const uint64_t *)member);
		return true;
	case FIELD_I64:
		if (*(const int64_t *)member < 0) {
			errmsg_set(err, "%s is negative", field->key);
			return false;
		}
		msgpack_pack_int64(packer, *(const int64_t *)member);
		return true;
	case FIELD_TEXT:
		return peer_field_pack_text(packer, member, err);
	case FIELD_OP:
		return pack_op(packer, (const op_id_t *)member, err);
	}
	return false;
}

static bool parse_bool(const msgpack_object *object, bool *to, const char *name,
		       errmsg_t *err)
{
	if (object->type != MSGPACK_OBJECT_BOOLEAN) {
		errmsg_set(err, "%s is not a boolean", name);
		return false;
	}
	*to = object->via.boolean;
	return true;
}

static bool parse_field(const msgpack_object *object, const field_t *field,
			void *to, errmsg_t *err)
{
	char *member = (char *)to + field->offset;
	uint64_t limit = field->limit;
	uint64_t value;

	switch (field->type) {
	case FIELD_BOOL:
		return parse_bool(object, (bool *)member, field->key, err);
	case FIELD_TEXT:
		return peer_field_parse_text(object, member, limit, field->key,
					     err);
	case FIELD_OP:
		return parse_op(object, (op_id_t *)member, err);
	default:
		break;
	}
	if (!peer_field_parse_uint(object, limit, &value, field->key, err))
		return false;
	switch (field->type) {
	case FIELD_U16:
		*(uint16_t *)member = (uint16_t)value;
		break;
	case FIELD_U64:
		*(uint64_t *)member = value;
		break;
	case FIELD_I64:
		*(int64_t *)member = (int64_t)value;
		break;
	default:
		*(uint32_t *)member = (uint32_t)value;
		break;
	}
	return true;
}

bool peer_fields_fit(uint32_t size, uint32_t count, uint32_t *extra)
{
	if (size == count)
		return true;
	if (size < count || extra == NULL)
		return false;
	*extra += size - count;
	return true;
}

bool peer_fields_pack(msgpack_packer *packer, fields_t fields, const void *from,
		      errmsg_t *err)
{
	for (uint32_t i = 0; i < fields.count; i++) {
		if (!pack_field(packer, &fields.fields[i], from, err))
			return false;
	}
	return true;
}

bool peer_fields_parse(const msgpack_object *objects, fields_t fields, void *to,
		       errmsg_t *err)
{
	for (uint32_t i = 0; i < fields.count; i++) {
		if (!parse_field(&objects[i], &fields.fields[i], to, err))
			return false;
	}
	return true;
}
