/*
 * Bodies of the JSON gateway of etcd v3: keys and values are base64, 64-bit
 * integers are decimal strings, members with a zero value are left out.
 */
#ifndef STORE_WIRE_H
#define STORE_WIRE_H

#include "kernel/errmsg.h"
#include "kernel/msg.h"
#include "metrics/metrics.h"

G_BEGIN_DECLS

#define WIRE_DEPTH_MAX 32 /* nesting of an answer */

typedef struct wire_t {
	const char *key_prefix;
	metrics_t *metrics; /* counts values that can't be decoded */
} wire_t;

typedef struct wire_range_t {
	const char *key;
	bool prefix;
	const char *after; /* continue behind this key, or NULL */
	int64_t revision; /* 0: the newest */
	int limit;
} wire_range_t;

gchar *wire_range(const wire_t *wire, const wire_range_t *range);
/* NULL when an operation can't be encoded or breaks the store's limits. */
gchar *wire_txn(const wire_t *wire, const store_txn_t *txn, errmsg_t *err);
gchar *wire_lease_grant(int32_t ttl_s);
gchar *wire_lease_id(int64_t lease);
gchar *wire_watch(const wire_t *wire, const char *key, bool prefix,
		  int64_t start_revision);

/*
 * Parsers of answers; false for anything malformed.  last receives the last
 * key of a page, as it is to be given to wire_range_t.after.
 */
bool wire_parse_range(const wire_t *wire, const char *text, size_t len,
		      store_result_t *result, char last_key[STORE_KEY_SIZE]);
bool wire_parse_txn(const wire_t *wire, const char *text, size_t len,
		    const store_txn_t *txn, store_result_t *result);
bool wire_parse_lease(const char *text, size_t len, store_result_t *result);

typedef enum wire_watch_kind_t {
	WIRE_WATCH_CREATED,
	WIRE_WATCH_PROGRESS, /* no change up to the revision */
	WIRE_WATCH_EVENTS,
	WIRE_WATCH_CANCELED, /* compaction, or the store ends the watch */
	WIRE_WATCH_INVALID,
} wire_watch_kind_t;

/* Parses one line of a watch stream; result->revision is complete. */
wire_watch_kind_t wire_parse_watch(const wire_t *wire, const char *text,
				   size_t len, store_result_t *result);

G_END_DECLS

#endif
