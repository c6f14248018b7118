/*
 * Calls to the key-value store and their results, as services exchange them.
 */
#ifndef KERNEL_STORAGE_H
#define KERNEL_STORAGE_H

#include "kernel/record.h"

G_BEGIN_DECLS

#define EXPECT_ANY (-1) /* write at any revision of the key */
#define EXPECT_ABSENT 0 /* write only if the key does not exist */
/*
 * Limit on the size of a transaction, which is the number of its groups plus
 * the number of operations of its longest group.  128 is the default of etcd.
 */
#define STORE_TXN_OPS_MAX 128

/*
 * Revisions of a store that may be restored from a copy.  A restored store
 * gives revisions out again, so a revision also holds the store's era, which
 * increases with each restore.  It is compared as one number.  The number 0
 * means in each era that the key is absent.
 */
#define REVISION_NUMBER_BITS 48
#define REVISION_NUMBER_MAX ((INT64_C(1) << REVISION_NUMBER_BITS) - 1)
#define REVISION_ERA_MAX (INT64_MAX >> REVISION_NUMBER_BITS)

static inline int64_t revision_make(int64_t era, int64_t number)
{
	return era * (REVISION_NUMBER_MAX + 1) + number;
}

static inline int64_t revision_era(int64_t revision)
{
	return revision >> REVISION_NUMBER_BITS;
}

static inline int64_t revision_number(int64_t revision)
{
	return revision & REVISION_NUMBER_MAX;
}

/* Written to the log as ERA.NUMBER. */
#define REVISION_FORMAT "%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT
#define REVISION_ARGS(revision) \
	revision_era(revision), revision_number(revision)

typedef enum store_status_t {
	STORE_OK, /* the store replied; groups may still have failed */
	STORE_UNAVAILABLE, /* the call certainly had no effect */
	STORE_UNKNOWN, /* the call may have taken effect */
	STORE_INVALID, /* the store refused the call as malformed */
	STORE_COMPACTED, /* the requested changes are no longer kept */
	STORE_TOO_LARGE, /* the requested changes have more than max_bytes */
} store_status_t;

typedef enum store_op_kind_t {
	STORE_PUT,
	STORE_DELETE,
	STORE_CHECK, /* only compares the revision */
} store_op_kind_t;

typedef struct store_op_t {
	store_op_kind_t kind;
	uint32_t group;
	char key[STORE_KEY_SIZE];
	int64_t expect; /* mod revision, EXPECT_ABSENT or EXPECT_ANY */
	int64_t lease; /* 0 if none */
	record_t record; /* STORE_PUT only */
} store_op_t;

/*
 * A transaction, sent as one call.  The operations of a group take effect
 * together if all their expectations hold; groups are independent of each
 * other.  All expectations are compared before anything is written.  A key may
 * be written only once in a call, otherwise the store refuses the call.  Every
 * put of a call gets the revision of the result.
 */
typedef struct store_txn_t {
	GArray *ops; /* store_op_t, ordered by group */
	uint32_t group_count;
} store_txn_t;

store_txn_t *store_txn_new(void);
void store_txn_free(store_txn_t *txn);
/* Starts a new group; later operations belong to it. */
uint32_t store_txn_group(store_txn_t *txn);
/* Add an operation to the last group; the record is copied. */
void store_txn_put(store_txn_t *txn, const char *key, int64_t expect,
		   int64_t lease, const record_t *record);
void store_txn_delete(store_txn_t *txn, const char *key, int64_t expect);
void store_txn_check(store_txn_t *txn, const char *key, int64_t expect);

typedef struct store_kv_t {
	uint32_t group;
	char key[STORE_KEY_SIZE];
	int64_t revision; /* mod revision, 0 if absent */
	record_t record; /* RECORD_NONE if absent */
	GBytes *raw; /* encoded value as stored, NULL if not kept */
} store_kv_t;

GArray *store_kvs_new(void); /* store_kv_t */

/*
 * Reply to a get, transaction or lease call, or a watch event.  For a group
 * that did not commit, kvs holds the current state of all its keys.
 */
typedef struct store_result_t {
	store_status_t status;
	int64_t revision; /* revision of the store at the time of the reply */
	int64_t lease; /* set in the reply to a lease call */
	int32_t lease_ttl_s; /* 0: the lease has expired */
	GArray *committed; /* bool for each group */
	GArray *kvs; /* store_kv_t */
	bool more; /* further pages of the prefix follow */
	bool relayed; /* watch events: by a peer, not from the store */
} store_result_t;

store_result_t *store_result_new(store_status_t status);
void store_result_free(store_result_t *result);
void store_result_add(store_result_t *result, uint32_t group, const char *key,
		      int64_t revision, const record_t *record);
/* Also keeps a reference to raw, the encoded value for peers; may be NULL. */
void store_result_add_raw(store_result_t *result, const char *key,
			  int64_t revision, const record_t *record,
			  GBytes *raw);
bool store_result_committed(const store_result_t *result, uint32_t group);
const store_kv_t *store_result_find(const store_result_t *result,
				    const char *key);

G_END_DECLS

#endif
