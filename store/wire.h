/*
 * Encodes and parses message bodies of the JSON gateway of etcd v3.  Keys and
 * values are base64, 64-bit integers are decimal strings, and members with a
 * zero value are omitted.
 */
#ifndef STORE_WIRE_H
#define STORE_WIRE_H

#include "kernel/errmsg.h"
#include "kernel/msg.h"
#include "metrics/metrics.h"

G_BEGIN_DECLS

#define WIRE_DEPTH_MAX 32 /* nesting depth of a response */

typedef struct wire_t {
	const char *key_prefix;
	metrics_t *metrics; /* counts keys and values that cannot be decoded */
} wire_t;

typedef struct wire_range_t {
	const char *key;
	bool prefix;
	const char *after; /* last key of the previous page, or NULL */
	int64_t revision; /* 0: the newest revision */
	int limit; /* keys per page, used if prefix is set */
} wire_range_t;

gchar *wire_range(const wire_t *wire, const wire_range_t *range);
/* Returns NULL if a record cannot be encoded or a limit is exceeded. */
gchar *wire_txn(const wire_t *wire, const store_txn_t *txn, errmsg_t *err);
gchar *wire_lease_grant(int32_t ttl_s);
/* Encodes the body of a keepalive or a revoke. */
gchar *wire_lease_id(int64_t lease);
gchar *wire_watch(const wire_t *wire, const char *key, bool prefix,
		  int64_t start_revision);

/*
 * Parse responses and return false if a response is malformed.  If more pages
 * follow, last_key receives the last key of the page for wire_range_t.after.
 */
bool wire_parse_range(const wire_t *wire, const char *text, size_t len,
		      store_result_t *result, char last_key[STORE_KEY_SIZE]);
bool wire_parse_txn(const wire_t *wire, const char *text, size_t len,
		    const store_txn_t *txn, store_result_t *result);
bool wire_parse_lease(const char *text, size_t len, store_result_t *result);

typedef enum wire_watch_kind_t {
	WIRE_WATCH_CREATED,
	WIRE_WATCH_PROGRESS, /* no further change up to the revision */
	WIRE_WATCH_EVENTS,
	WIRE_WATCH_CANCELED, /* the store ended the watch, e.g. compaction */
	WIRE_WATCH_INVALID,
} wire_watch_kind_t;

/*
 * Parses one line of a watch stream.  After it, all changes up to
 * result->revision have been received.
 */
wire_watch_kind_t wire_parse_watch(const wire_t *wire, const char *text,
				   size_t len, store_result_t *result);

G_END_DECLS

#endif
