/*
 * Schemas of the kinds of record: their fields with types and limits, which
 * apply to both encoding and decoding.
 */
#ifndef STORE_SCHEMA_H
#define STORE_SCHEMA_H

#include "store/codec.h"

G_BEGIN_DECLS

typedef enum field_type_t {
	FIELD_NAME, /* checked by name_is_valid() */
	FIELD_TEXT, /* min to max bytes without control characters */
	FIELD_HEX, /* min to max lower-case hexadecimal digits */
	FIELD_HOST, /* IP address */
	FIELD_BOOL,
	FIELD_U16,
	FIELD_U32,
	FIELD_I64,
	FIELD_ENUM, /* one of enum_names */
	FIELD_OP, /* op_id_t */
	FIELD_KEYS, /* API keys of a client account */
	FIELD_OPS, /* latest operations on a budget */
	FIELD_OUTCOME, /* outcome_t of a finished claim */
} field_type_t;

typedef struct field_t {
	const char *name;
	field_type_t type;
	size_t offset;
	int64_t min;
	int64_t max;
	const char *const *enum_names; /* FIELD_ENUM only, NULL-terminated */
} field_t;

typedef struct schema_t {
	record_kind_t kind;
	const char *name;
	const char *key_prefix;
	const field_t *fields;
	guint field_count;
	/* The key after key_prefix must equal the first field. */
	bool key_has_name;
} schema_t;

/* Both functions return NULL if no schema matches. */
const schema_t *schema_by_kind(record_kind_t kind);
const schema_t *schema_by_key(const char *key);

/* Checks a record after decoding or before encoding against its limits. */
bool schema_check(const schema_t *schema, const record_t *record,
		  errmsg_t *err);

/* Returns true for the fields of a tombstone: name, op and removed. */
bool schema_in_tombstone(const field_t *field);

/* Returns the value of a number or enum, given a pointer to the member. */
int64_t schema_integer(const field_t *field, const void *member);

G_END_DECLS

#endif
