#include "peer/codec.h"

#include "peer/bodies.h"
#include "peer/fields.h"

#include <string.h>

#define PROTOCOL_VERSION 1
#define BODY_KIND_BASE 16 /* wire value of the first peer_kind_t */
#define DEPTH_MAX 8 /* levels of nested arrays and maps */

static const field_t member_fields[] = {
	FIELD_TEXT_OF(member_info_t, incarnation),
	FIELD_TEXT_OF(member_info_t, name),
	FIELD_TEXT_OF(member_info_t, availability_zone),
	FIELD_TEXT_OF(member_info_t, host),
	{"peer_port", FIELD_U16, offsetof(member_info_t, peer_port),
	 UINT16_MAX},
	{"admin_port", FIELD_U16, offsetof(member_info_t, admin_port),
	 UINT16_MAX},
	FIELD_TEXT_OF(member_info_t, buddy),
	{"state", FIELD_ENUM, offsetof(member_info_t, state), MEMBER_LEFT},
	{"heartbeat", FIELD_U64, offsetof(member_info_t, heartbeat),
	 UINT64_MAX},
};

static const field_t bill_fields[] = {
	{"seq", FIELD_U64, offsetof(bill_t, seq), UINT64_MAX},
	FIELD_TEXT_OF(bill_t, client_account),
	FIELD_TEXT_OF(bill_t, budget),
	FIELD_TEXT_OF(bill_t, idem_key),
	FIELD_TEXT_OF(bill_t, fingerprint),
	{"tokens", FIELD_I64, offsetof(bill_t, tokens), INT64_MAX},
	{"wall_ms", FIELD_I64, offsetof(bill_t, wall_ms), INT64_MAX},
};

static const field_t holding_fields[] = {
	FIELD_TEXT_OF(holding_t, client_account),
	FIELD_TEXT_OF(holding_t, holder.node),
	FIELD_TEXT_OF(holding_t, holder.incarnation),
	{"granted", FIELD_I64, offsetof(holding_t, holder.granted), INT64_MAX},
	{"state", FIELD_ENUM, offsetof(holding_t, holder.state),
	 GRANT_STATE_COUNT - 1},
};

/* Returns the number of arrays that follow the scalar fields of a body. */
static uint32_t body_nested_count(peer_kind_t kind)
{
	switch (kind) {
	case PEER_HEARTBEAT:
	case PEER_PART_SET:
		return 2;
	case PEER_CONF_ITEMS:
	case PEER_BILL_COPY:
	case PEER_STORE_ITEMS:
	case PEER_HOLDINGS:
		return 1;
	default:
		return 0;
	}
}

static bool pack_struct(msgpack_packer *packer, fields_t fields,
			const void *from, errmsg_t *err)
{
	msgpack_pack_array(packer, fields.count);
	return peer_fields_pack(packer, fields, from, err);
}

static bool parse_struct(const msgpack_object *object, fields_t fields,
			 void *to, uint32_t *extra, errmsg_t *err)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    !peer_fields_fit(object->via.array.size, fields.count, extra)) {
		errmsg_set(err, "structure has the wrong number of fields");
		return false;
	}
	return peer_fields_parse(object->via.array.ptr, fields, to, err);
}

static bool pack_list(msgpack_packer *packer, fields_t fields,
		      const GArray *list, guint max, errmsg_t *err)
{
	guint size = g_array_get_element_size((GArray *)list);

	if (list->len > max) {
		errmsg_set(err, "list has more than %u elements", max);
		return false;
	}
	msgpack_pack_array(packer, list->len);
	for (guint i = 0; i < list->len; i++) {
		if (!pack_struct(packer, fields, list->data + (size_t)i * size,
				 err))
			return false;
	}
	return true;
}

static bool check_list(const msgpack_object *object, uint32_t max,
		       errmsg_t *err)
{
	if (object->type != MSGPACK_OBJECT_ARRAY) {
		errmsg_set(err, "list is not an array");
		return false;
	}
	if (object->via.array.size > max) {
		errmsg_set(err, "list has more than %u elements", max);
		return false;
	}
	return true;
}

static bool parse_list(const msgpack_object *object, fields_t fields,
		       GArray *list, uint32_t max, uint32_t *extra,
		       errmsg_t *err)
{
	guint size = g_array_get_element_size(list);

	if (!check_list(object, max, err))
		return false;
	g_array_set_size(list, object->via.array.size);
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		if (!parse_struct(&object->via.array.ptr[i], fields,
				  list->data + (size_t)i * size, extra, err))
			return false;
	}
	return true;
}

static bool pack_items(msgpack_packer *packer, const GArray *kvs, errmsg_t *err)
{
	uint32_t count = 0;

	for (guint i = 0; i < kvs->len; i++)
		count += peer_conf_item_is_packable(
			&g_array_index(kvs, store_kv_t, i));
	if (count > PEER_ITEMS_MAX) {
		errmsg_set(err, "more than %d configuration items",
			   PEER_ITEMS_MAX);
		return false;
	}
	msgpack_pack_array(packer, count);
	for (guint i = 0; i < kvs->len; i++) {
		const store_kv_t *kv = &g_array_index(kvs, store_kv_t, i);

		if (peer_conf_item_is_packable(kv) &&
		    !peer_conf_item_pack(packer, kv, err))
			return false;
	}
	return true;
}

static bool parse_items(const msgpack_object *object, GArray *kvs,
			uint32_t *extra, errmsg_t *err)
{
	if (!check_list(object, PEER_ITEMS_MAX, err))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		store_kv_t kv = {0};

		if (!peer_conf_item_parse(&object->via.array.ptr[i], &kv, extra,
					  err))
			return false;
		g_array_append_val(kvs, kv);
	}
	return true;
}

/* Encodes each store item as [key, revision, 1 if deleted else 0, value]. */
static bool pack_store_items(msgpack_packer *packer, const GArray *items,
			     errmsg_t *err)
{
	msgpack_pack_array(packer, items->len);
	for (guint i = 0; i < items->len; i++) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i);
		gsize size = 0;
		const void *data = NULL;

		if (item->value != NULL)
			data = g_bytes_get_data(item->value, &size);
		msgpack_pack_array(packer, 4);
		if (!peer_field_pack_text(packer, item->key, err))
			return false;
		msgpack_pack_uint64(packer, (uint64_t)item->revision);
		msgpack_pack_uint64(packer, item->value == NULL);
		msgpack_pack_bin(packer, size);
		if (size > 0)
			msgpack_pack_bin_body(packer, data, size);
	}
	return true;
}

static bool parse_store_item(const msgpack_object *object, store_item_t *item,
			     uint32_t *extra, errmsg_t *err)
{
	const msgpack_object *fields = object->via.array.ptr;
	uint64_t revision, deleted;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    !peer_fields_fit(object->via.array.size, 4, extra) ||
	    fields[3].type != MSGPACK_OBJECT_BIN) {
		errmsg_set(err, "store item is malformed");
		return false;
	}
	if (!peer_field_parse_text(&fields[0], item->key, sizeof(item->key),
				   "key", err) ||
	    !peer_field_parse_uint(&fields[1], INT64_MAX, &revision, "revision",
				   err) ||
	    !peer_field_parse_uint(&fields[2], 1, &deleted, "deleted", err))
		return false;
	item->revision = (int64_t)revision;
	if (deleted == 0)
		item->value = g_bytes_new(fields[3].via.bin.ptr,
					  fields[3].via.bin.size);
	return true;
}

static bool parse_store_items(const msgpack_object *object, GArray *items,
			      uint32_t *extra, errmsg_t *err)
{
	if (!check_list(object, PEER_ITEMS_MAX, err))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		store_item_t item = {0};

		if (!parse_store_item(&object->via.array.ptr[i], &item, extra,
				      err))
			return false;
		g_array_append_val(items, item);
	}
	return true;
}

static const field_t part_crashed_fields[] = {
	{"target", FIELD_U64, offsetof(part_crashed_t, target), UINT64_MAX},
	{"age_ms", FIELD_U64, offsetof(part_crashed_t, age_ms), UINT64_MAX},
};

static bool pack_part_set(msgpack_packer *packer, const peer_body_t *body,
			  errmsg_t *err)
{
	const part_set_t *set = &body->u.part_set.set;
	const part_crashes_t *crashes = &body->u.part_set.crashes;

	msgpack_pack_array(packer, set->count);
	for (uint32_t i = 0; i < set->count; i++)
		msgpack_pack_uint64(packer, set->parts[i]);
	msgpack_pack_array(packer, crashes->count);
	for (uint32_t i = 0; i < crashes->count; i++) {
		if (!pack_struct(packer, FIELDS_OF(part_crashed_fields),
				 &crashes->list[i], err))
			return false;
	}
	return true;
}

static bool parse_part_set(const msgpack_object *object, part_set_t *set,
			   errmsg_t *err)
{
	uint64_t part;

	if (!check_list(object, PART_SET_MAX, err))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		if (!peer_field_parse_uint(&object->via.array.ptr[i],
					   UINT64_MAX, &part, "part", err))
			return false;
		part_set_add(set, part);
	}
	return true;
}

static bool parse_part_crashes(const msgpack_object *object,
			       part_crashes_t *crashes, uint32_t *extra,
			       errmsg_t *err)
{
	if (!check_list(object, PART_CRASHES_MAX, err))
		return false;
	crashes->count = object->via.array.size;
	for (uint32_t i = 0; i < crashes->count; i++) {
		if (!parse_struct(&object->via.array.ptr[i],
				  FIELDS_OF(part_crashed_fields),
				  &crashes->list[i], extra, err))
			return false;
	}
	return true;
}

static bool pack_body(msgpack_packer *packer, const peer_body_t *body,
		      errmsg_t *err)
{
	fields_t fields = peer_body_fields(body->kind);

	msgpack_pack_array(packer,
			   2 + fields.count + body_nested_count(body->kind));
	msgpack_pack_uint64(packer, PROTOCOL_VERSION);
	msgpack_pack_uint64(packer, BODY_KIND_BASE + (uint64_t)body->kind);
	if (!peer_fields_pack(packer, fields, body, err))
		return false;
	switch (body->kind) {
	case PEER_HEARTBEAT:
		return pack_struct(packer, FIELDS_OF(member_fields),
				   &body->u.heartbeat.self, err) &&
		       pack_list(packer, FIELDS_OF(member_fields),
				 body->u.heartbeat.members, PEER_MEMBERS_MAX,
				 err);
	case PEER_CONF_ITEMS:
		return pack_items(packer, body->u.conf_items.kvs, err);
	case PEER_BILL_COPY:
		return pack_list(packer, FIELDS_OF(bill_fields),
				 body->u.bill_copy.bills, PEER_BILLS_MAX, err);
	case PEER_HOLDINGS:
		return pack_list(packer, FIELDS_OF(holding_fields),
				 body->u.holdings.list, PEER_HOLDINGS_MAX, err);
	case PEER_STORE_ITEMS:
		return pack_store_items(packer, body->u.store_items.items, err);
	case PEER_PART_SET:
		return pack_part_set(packer, body, err);
	default:
		return true;
	}
}

static bool parse_body(const msgpack_object_array *array, peer_kind_t kind,
		       peer_frame_t *frame, errmsg_t *err)
{
	fields_t fields = peer_body_fields(kind);
	const msgpack_object *nested = array->ptr + 2 + fields.count;
	uint32_t *extra = &frame->extra_fields;
	peer_body_t *body;
	bool ok = false;

	if (!peer_fields_fit(array->size,
			     2 + fields.count + body_nested_count(kind),
			     extra)) {
		errmsg_set(err, "body has the wrong number of fields");
		return false;
	}
	body = peer_body_new(kind);
	if (!peer_fields_parse(array->ptr + 2, fields, body, err))
		goto out;
	switch (kind) {
	case PEER_HEARTBEAT:
		ok = parse_struct(&nested[0], FIELDS_OF(member_fields),
				  &body->u.heartbeat.self, extra, err) &&
		     parse_list(&nested[1], FIELDS_OF(member_fields),
				body->u.heartbeat.members, PEER_MEMBERS_MAX,
				extra, err);
		break;
	case PEER_CONF_ITEMS:
		ok = parse_items(&nested[0], body->u.conf_items.kvs, extra,
				 err);
		break;
	case PEER_BILL_COPY:
		ok = parse_list(&nested[0], FIELDS_OF(bill_fields),
				body->u.bill_copy.bills, PEER_BILLS_MAX, extra,
				err);
		break;
	case PEER_HOLDINGS:
		ok = parse_list(&nested[0], FIELDS_OF(holding_fields),
				body->u.holdings.list, PEER_HOLDINGS_MAX, extra,
				err);
		break;
	case PEER_STORE_ITEMS:
		ok = parse_store_items(&nested[0], body->u.store_items.items,
				       extra, err);
		break;
	case PEER_PART_SET:
		ok = parse_part_set(&nested[0], &body->u.part_set.set, err) &&
		     parse_part_crashes(&nested[1], &body->u.part_set.crashes,
					extra, err);
		break;
	default:
		ok = true;
		break;
	}
out:
	if (!ok) {
		peer_body_free(body);
		return false;
	}
	frame->kind = FRAME_BODY;
	frame->u.body = body;
	return true;
}

/*
 * Release 5a054ba accepts any number as the heartbeat of a hello and does not
 * act on it, so the kinds that the sender knows are sent there.
 */
static bool pack_hello_self(msgpack_packer *packer, const peer_frame_t *hello,
			    errmsg_t *err)
{
	member_info_t self = hello->u.hello.self;

	self.heartbeat = hello->u.hello.kinds;
	return pack_struct(packer, FIELDS_OF(member_fields), &self, err);
}

static bool parse_hello_self(const msgpack_object *object, peer_frame_t *hello,
			     errmsg_t *err)
{
	member_info_t *self = &hello->u.hello.self;

	if (!parse_struct(object, FIELDS_OF(member_fields), self, NULL, err))
		return false;
	hello->u.hello.kinds = self->heartbeat;
	self->heartbeat = 0;
	return true;
}

static bool pack_frame(msgpack_packer *packer, const peer_frame_t *frame,
		       errmsg_t *err)
{
	if (frame->kind == FRAME_BODY)
		return pack_body(packer, frame->u.body, err);
	msgpack_pack_array(packer, frame->kind == FRAME_HELLO	? 4
				   : frame->kind == FRAME_PROOF ? 3
								: 2);
	msgpack_pack_uint64(packer, PROTOCOL_VERSION);
	msgpack_pack_uint64(packer, (uint64_t)frame->kind);
	switch (frame->kind) {
	case FRAME_HELLO:
		msgpack_pack_bin(packer, PEER_NONCE_SIZE);
		msgpack_pack_bin_body(packer, frame->u.hello.nonce,
				      PEER_NONCE_SIZE);
		return pack_hello_self(packer, frame, err);
	case FRAME_PROOF:
		msgpack_pack_bin(packer, PEER_PROOF_SIZE);
		msgpack_pack_bin_body(packer, frame->u.proof, PEER_PROOF_SIZE);
		return true;
	default:
		return true;
	}
}

bool peer_encode(const peer_frame_t *frame, GByteArray *out, errmsg_t *err)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t len;
	bool ok;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	ok = pack_frame(&packer, frame, err);
	if (ok && buffer.size > PEER_FRAME_MAX) {
		errmsg_set(err, "frame has more than %d bytes", PEER_FRAME_MAX);
		ok = false;
	}
	if (ok) {
		len = GUINT32_TO_BE((uint32_t)buffer.size);
		g_byte_array_append(out, (const guint8 *)&len, sizeof(len));
		g_byte_array_append(out, (const guint8 *)buffer.data,
				    (guint)buffer.size);
	}
	msgpack_sbuffer_destroy(&buffer);
	return ok;
}

typedef struct scan_t {
	const uint8_t *data;
	size_t len;
	size_t pos;
	uint64_t wanted; /* values still expected on all levels */
} scan_t;

static bool scan_uint(scan_t *scan, int bytes, uint64_t *value)
{
	*value = 0;
	if (scan->len - scan->pos < (size_t)bytes)
		return false;
	for (int i = 0; i < bytes; i++)
		*value = *value << 8 | scan->data[scan->pos++];
	return true;
}

static bool scan_skip(scan_t *scan, uint64_t bytes)
{
	if (bytes > scan->len - scan->pos)
		return false;
	scan->pos += bytes;
	return true;
}

/*
 * Skips one value except for the values nested in it, and sets *children to
 * their number.
 */
static bool scan_format(scan_t *scan, uint64_t *children)
{
	uint8_t format = scan->data[scan->pos++];
	uint64_t n = 0;

	*children = 0;
	if (format <= 0x7f || format >= 0xe0 || format == 0xc2 ||
	    format == 0xc3)
		return true;
	if (format <= 0x9f) { /* fixmap, fixarray */
		*children =
			(uint64_t)(format & 0x0f) * (format <= 0x8f ? 2 : 1);
		return true;
	}
	if (format <= 0xbf)
		return scan_skip(scan, format & 0x1f);
	switch (format) {
	case 0xc4: /* bin */
	case 0xc5:
	case 0xc6:
		return scan_uint(scan, 1 << (format - 0xc4), &n) &&
		       scan_skip(scan, n);
	case 0xcc: /* unsigned integers */
	case 0xcd:
	case 0xce:
	case 0xcf:
		return scan_skip(scan, UINT64_C(1) << (format - 0xcc));
	case 0xd9: /* str */
	case 0xda:
	case 0xdb:
		return scan_uint(scan, 1 << (format - 0xd9), &n) &&
		       scan_skip(scan, n);
	case 0xdc: /* array */
	case 0xdd:
		return scan_uint(scan, 2 << (format - 0xdc), children);
	case 0xde: /* map */
	case 0xdf:
		if (!scan_uint(scan, 2 << (format - 0xde), &n))
			return false;
		*children = n * 2;
		return true;
	default:
		/* Frames contain no nil, float, signed or extension formats. */
		return false;
	}
}

/*
 * Checks the structure of a value before msgpack-c decodes it.  msgpack-c
 * allocates memory by the counts in array and map headers without comparing
 * them to the length of the input, so that a few bytes could make it allocate
 * gigabytes.  This check requires at least one byte for each counted value.
 */
static bool scan_value(const uint8_t *data, size_t len)
{
	scan_t scan = {.data = data, .len = len};
	uint64_t remaining[DEPTH_MAX + 1] = {1};
	uint64_t children;
	int depth = 0;

	while (depth >= 0) {
		if (remaining[depth] == 0) {
			depth--;
			continue;
		}
		remaining[depth]--;
		if (scan.pos == scan.len || !scan_format(&scan, &children) ||
		    children > scan.len - scan.pos)
			return false;
		if (children == 0)
			continue;
		if (depth == DEPTH_MAX)
			return false;
		remaining[++depth] = children;
	}
	return scan.pos == scan.len;
}

static bool parse_bytes(const msgpack_object *object, uint8_t *to, size_t size,
			errmsg_t *err)
{
	if (object->type != MSGPACK_OBJECT_BIN ||
	    object->via.bin.size != size) {
		errmsg_set(err, "nonce or proof is malformed");
		return false;
	}
	memcpy(to, object->via.bin.ptr, size);
	return true;
}

static bool parse_control(const msgpack_object_array *array, uint64_t kind,
			  peer_frame_t *frame, errmsg_t *err)
{
	frame->kind = (peer_frame_kind_t)kind;
	if (kind == FRAME_HELLO && array->size == 4)
		return parse_bytes(&array->ptr[2], frame->u.hello.nonce,
				   PEER_NONCE_SIZE, err) &&
		       parse_hello_self(&array->ptr[3], frame, err);
	if (kind == FRAME_PROOF && array->size == 3)
		return parse_bytes(&array->ptr[2], frame->u.proof,
				   PEER_PROOF_SIZE, err);
	if (kind == FRAME_PING)
		return peer_fields_fit(array->size, 2, &frame->extra_fields);
	errmsg_set(err,
		   "frame has an unknown kind or the wrong number of fields");
	return false;
}

static bool parse_frame(const msgpack_object *object, peer_frame_t *frame,
			errmsg_t *err)
{
	const msgpack_object_array *array = &object->via.array;
	uint64_t version, kind;

	if (object->type != MSGPACK_OBJECT_ARRAY || array->size < 2) {
		errmsg_set(err, "frame is not an array");
		return false;
	}
	if (!peer_field_parse_uint(&array->ptr[0], UINT64_MAX, &version,
				   "version", err) ||
	    !peer_field_parse_uint(&array->ptr[1], UINT64_MAX, &kind, "kind",
				   err))
		return false;
	if (version != PROTOCOL_VERSION) {
		errmsg_set(err, "protocol version is not %d", PROTOCOL_VERSION);
		return false;
	}
	if (kind < BODY_KIND_BASE)
		return parse_control(array, kind, frame, err);
	if (kind >= BODY_KIND_BASE + PEER_KIND_COUNT) {
		frame->kind = FRAME_UNKNOWN;
		frame->u.unknown = kind;
		return true;
	}
	return parse_body(array, (peer_kind_t)(kind - BODY_KIND_BASE), frame,
			  err);
}

bool peer_decode(const uint8_t *data, size_t len, peer_frame_t *frame,
		 errmsg_t *err)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok = false;

	memset(frame, 0, sizeof(*frame));
	if (len > PEER_FRAME_MAX || !scan_value(data, len)) {
		errmsg_set(err,
			   "frame is not a single msgpack value within limits");
		return false;
	}
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, len, &offset) ==
	    MSGPACK_UNPACK_SUCCESS)
		ok = parse_frame(&unpacked.data, frame, err);
	else
		errmsg_set(err, "frame is not a msgpack value");
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

void peer_frame_clear(peer_frame_t *frame)
{
	if (frame->kind == FRAME_BODY)
		g_clear_pointer(&frame->u.body, peer_body_free);
}

frame_status_t peer_frame_find(const uint8_t *data, size_t len,
			       size_t *value_len)
{
	uint32_t size;

	if (len < PEER_FRAME_HEADER_SIZE)
		return FRAME_PARTIAL;
	memcpy(&size, data, sizeof(size));
	size = GUINT32_FROM_BE(size);
	if (size == 0 || size > PEER_FRAME_MAX)
		return FRAME_BAD;
	*value_len = size;
	return len - PEER_FRAME_HEADER_SIZE < size ? FRAME_PARTIAL
						   : FRAME_COMPLETE;
}
