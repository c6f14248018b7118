/*
 * Encoding of structures as msgpack.  The encoder and the strict decoder are
 * both driven by a table of fields for each structure.
 */
#ifndef PEER_FIELDS_H
#define PEER_FIELDS_H

#include "kernel/errmsg.h"
#include "kernel/msg.h"

#include <msgpack.h>

G_BEGIN_DECLS

typedef enum field_type_t {
	FIELD_BOOL,
	FIELD_U16,
	FIELD_U32,
	FIELD_U64,
	FIELD_I64, /* 0 to INT64_MAX */
	FIELD_ENUM,
	FIELD_TEXT,
	FIELD_OP, /* op_id_t as [writer, seq] */
} field_type_t;

typedef struct field_t {
	const char *key; /* name in maps and error messages */
	field_type_t type;
	size_t offset;
	uint64_t limit; /* highest value, or size of the array of a text */
} field_t;

typedef struct fields_t {
	const field_t *fields;
	uint32_t count;
} fields_t;

#define FIELD_TEXT_OF(type, member)                          \
	{                                                    \
#member, FIELD_TEXT, offsetof(type, member), \
			sizeof(((type *)NULL)->member)       \
	}
#define FIELDS_OF(array) ((fields_t){array, G_N_ELEMENTS(array)})

/* Packs the values only; the caller packs the array header. */
bool peer_fields_pack(msgpack_packer *packer, fields_t fields, const void *from,
		      errmsg_t *err);
/* Parses the fields.count values that start at objects. */
bool peer_fields_parse(const msgpack_object *objects, fields_t fields, void *to,
		       errmsg_t *err);

/*
 * Checks the number of values of a structure of count fields.  Values beyond
 * those are fields that a newer build has added at the end, and are counted in
 * *extra; if extra is NULL, they are not allowed.
 */
bool peer_fields_fit(uint32_t size, uint32_t count, uint32_t *extra);

bool peer_field_pack_text(msgpack_packer *packer, const char *text,
			  errmsg_t *err);
bool peer_field_parse_text(const msgpack_object *object, char *to, size_t size,
			   const char *name, errmsg_t *err);
bool peer_field_parse_uint(const msgpack_object *object, uint64_t limit,
			   uint64_t *to, const char *name, errmsg_t *err);

/*
 * A configuration item is encoded as [key, revision, record kind, fields], with
 * the fields of the record as a map.  An item is packable if it has a revision
 * and its record is of an encoded kind and matches its key.
 */
bool peer_conf_item_is_packable(const store_kv_t *kv);
bool peer_conf_item_pack(msgpack_packer *packer, const store_kv_t *kv,
			 errmsg_t *err);
bool peer_conf_item_parse(const msgpack_object *object, store_kv_t *kv,
			  uint32_t *extra, errmsg_t *err);

G_END_DECLS

#endif
