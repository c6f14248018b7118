/*
 * Calls to the store for one command of the client: they wait for the answer
 * and tell a lost answer from a lost race by the operation id.
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
	store_result_t *result; /* answer of the call in progress */
	op_id_t op; /* identifies this command's write */
	bool json;
	GString *out;
	errmsg_t err;
} ctl_t;

/* Reads one key; an absent one has the kind RECORD_NONE and revision 0. */
ctl_status_t ctl_get(ctl_t *ctl, const char *key, store_kv_t *kv);

/* Reads all keys with a prefix into an array of store_kv_t. */
ctl_status_t ctl_list(ctl_t *ctl, const char *prefix, GArray **kvs);

/*
 * Writes a record that carries ctl->op if the key still has the revision.
 * CTL_RACE says in err who won.
 */
ctl_status_t ctl_put(ctl_t *ctl, const char *key, int64_t expect,
		     const record_t *record);

/*
 * Runs the groups of a transaction once.  *committed tells whether the first
 * group took effect; CTL_UNKNOWN when that can't be known.
 */
ctl_status_t ctl_txn(ctl_t *ctl, store_txn_t *txn, bool *committed);

/* The operation id inside a record, or NULL for a kind without one. */
op_id_t *ctl_record_op(record_t *record);

G_END_DECLS

#endif
