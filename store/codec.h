/*
 * Records as JSON text.  The record's kind follows from its key and is
 * repeated in the member "kind".  Decoding accepts any input and never yields
 * a value outside the limits stated here and in kernel/record.h.
 */
#ifndef STORE_CODEC_H
#define STORE_CODEC_H

#include "kernel/errmsg.h"
#include "kernel/record.h"

G_BEGIN_DECLS

#define TOKENS_MAX INT64_C(1000000000000000) /* of one amount */
#define CODEC_SEQ_MAX INT64_C(999999999999999999)
#define CODEC_WALL_MS_MAX INT64_C(253402300799999) /* end of year 9999 */
#define CODEC_WEIGHT_MAX 1000
#define CODEC_REQUESTS_MAX 1000000
#define CODEC_DURATION_MS_MAX 86400000 /* a day */
#define CODEC_REQUEST_TOKENS_MAX 100000000
#define CODEC_BODY_MAX 67108864 /* bytes of a request */
#define CODEC_VALUE_MAX 1048576 /* bytes, the store's own limit */
#define CODEC_DEPTH_MAX 8 /* nesting of a record */

/* RECORD_NONE for a key that belongs to no kind. */
record_kind_t codec_kind_of_key(const char *key);

/*
 * Appends the record's JSON text.  Returns false and appends nothing when the
 * record could not be read back: the same limits hold as for decoding.
 */
bool codec_encode(const record_t *record, GString *out, errmsg_t *err);

/*
 * Decodes the value of a key.  On failure the record is RECORD_INVALID and
 * err holds the reason.
 */
bool codec_decode(const char *key, const char *text, size_t len,
		  record_t *record, errmsg_t *err);

/*
 * Tells whether text is UTF-8 without NUL whose brackets nest at most
 * max_depth deep.  json-glib's parser recurses without a limit, so text from
 * outside is checked before it is parsed.
 */
bool codec_check_text(const char *text, size_t len, int max_depth);

G_END_DECLS

#endif
