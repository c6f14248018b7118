/*
 * Blocking calls to the store for one command of the client.  After a write
 * with an unknown outcome, the operation id in the record tells whether this
 * command or another writer changed the record.
 */
#ifndef CTL_CALL_H
#define CTL_CALL_H

#include "ctl/ctl.h"
#include "kernel/errmsg.h"
#include "kernel/kernel.h"
#include "store/store.h"

G_BEGIN_DECLS

typedef struct ctl_t {
	kernel_t kernel;
	store_t store;
	svc_t svc;
	store_result_t *result; /* response to the call in progress */
	op_id_t op; /* identifies the writes of this command */
	bool json;
	GString *out;
	errmsg_t err;
} ctl_t;

/* Reads one key.  An absent key gives the kind RECORD_NONE and revision 0. */
ctl_status_t ctl_get(ctl_t *ctl, const char *key, store_kv_t *kv);

/* Reads all keys with a prefix into an array of store_kv_t. */
ctl_status_t ctl_list(ctl_t *ctl, const char *prefix, GArray **kvs);

/*
 * Writes a record that carries ctl->op if the key still has the expected
 * revision.  On CTL_RACE, ctl->err names the other writer.
 */
ctl_status_t ctl_put(ctl_t *ctl, const char *key, int64_t expect,
		     const record_t *record);

/*
 * Runs a transaction once.  *committed tells whether its first group took
 * effect.  Returns CTL_UNKNOWN if the outcome is unknown.
 */
ctl_status_t ctl_txn(ctl_t *ctl, store_txn_t *txn, bool *committed);

/* Returns the operation id in a record, or NULL if its kind has none. */
op_id_t *ctl_record_op(record_t *record);

G_END_DECLS

#endif
