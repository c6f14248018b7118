/*
 * Encodes records as JSON text and decodes them.  The kind of a record follows
 * from its key and is repeated in the member "kind".  The decoder accepts any
 * input and never yields a value outside the limits stated here and in
 * kernel/record.h.
 */
#ifndef STORE_CODEC_H
#define STORE_CODEC_H

#include "kernel/errmsg.h"
#include "kernel/record.h"

G_BEGIN_DECLS

#define TOKENS_MAX INT64_C(1000000000000000) /* limit on one amount */
#define CODEC_SEQ_MAX INT64_C(999999999999999999) /* seq, order number */
#define CODEC_WALL_MS_MAX INT64_C(253402300799999) /* end of the year 9999 */
#define CODEC_WEIGHT_MAX 1000 /* weight of a client account */
#define CODEC_REQUESTS_MAX 1000000 /* concurrent requests */
#define CODEC_DURATION_MS_MAX 86400000 /* one day */
#define CODEC_REQUEST_TOKENS_MAX 100000000 /* tokens per request */
#define CODEC_BODY_MAX 67108864 /* bytes of a request body */
#define CODEC_VALUE_MAX 1048576 /* bytes, the limit of the store itself */
#define CODEC_DEPTH_MAX 8 /* nesting depth of a record */

/* Returns RECORD_NONE for a key that belongs to no kind of record. */
record_kind_t codec_kind_of_key(const char *key);

/*
 * Appends the record's JSON text.  Returns false and appends nothing if the
 * record exceeds the limits of the decoder, which could not read it back.
 */
bool codec_encode(const record_t *record, GString *out, errmsg_t *err);

/*
 * Decodes the value of a key.  On failure, the record becomes RECORD_INVALID
 * and err holds the reason.
 */
bool codec_decode(const char *key, const char *text, size_t len,
		  record_t *record, errmsg_t *err);

/*
 * Returns true if text is UTF-8 without NUL bytes and its brackets nest at most
 * max_depth deep.  The parser of json-glib recurses without a limit, so text
 * from outside the process is checked before it is parsed.
 */
bool codec_check_text(const char *text, size_t len, int max_depth);

G_END_DECLS

#endif
