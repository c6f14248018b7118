#include "ctl/call.h"

#include <string.h>

#define TRIES_MAX 6
#define BACKOFF_START_US 50000

/* Sends a call to the store and runs the main loop until the result arrives. */
static store_result_t *call_store(ctl_t *ctl, msg_t *msg)
{
	svc_t store = kernel_find(&ctl->kernel, "store");

	ctl->result = NULL;
	kernel_post(&ctl->kernel, ctl->svc, store, msg);
	while (ctl->result == NULL)
		g_main_context_iteration(ctl->kernel.context, TRUE);
	return g_steal_pointer(&ctl->result);
}

static void sleep_us(int64_t us)
{
	/* Blocking is safe: the client serves no other events. */
	g_usleep((gulong)us);
}

static ctl_status_t check_result(ctl_t *ctl, const store_result_t *result)
{
	switch (result->status) {
	case STORE_OK:
		return CTL_OK;
	case STORE_INVALID:
	case STORE_COMPACTED:
	case STORE_TOO_LARGE:
		errmsg_set(&ctl->err, "the store rejected the request");
		return CTL_FAILED;
	case STORE_UNKNOWN:
		errmsg_set(&ctl->err, "the store did not answer; the change "
				      "may have taken effect");
		return CTL_UNKNOWN;
	case STORE_UNAVAILABLE:
		break;
	}
	errmsg_set(&ctl->err, "the store can't be reached");
	return CTL_FAILED;
}

/* Reads a key or a prefix and retries on failure, as a read is idempotent. */
static store_result_t *read_result(ctl_t *ctl, const char *key, bool prefix)
{
	store_result_t *result = NULL;
	int64_t backoff = BACKOFF_START_US;

	for (int i = 0; i < TRIES_MAX; i++) {
		msg_t msg = {.kind = MSG_STORE_GET};

		g_strlcpy(msg.u.store_get.key, key,
			  sizeof(msg.u.store_get.key));
		msg.u.store_get.prefix = prefix;
		store_result_free(result);
		result = call_store(ctl, &msg);
		if (result->status == STORE_OK ||
		    result->status == STORE_INVALID)
			break;
		sleep_us(backoff);
		backoff *= 2;
	}
	return result;
}

static void clear_kv(gpointer data)
{
	record_clear(&((store_kv_t *)data)->record);
}

static void append_kvs(GArray *kvs, const store_result_t *result)
{
	for (guint i = 0; i < result->kvs->len; i++) {
		store_kv_t kv = g_array_index(result->kvs, store_kv_t, i);
		record_t copy;

		record_copy(&copy, &kv.record);
		kv.record = copy;
		g_array_append_val(kvs, kv);
	}
}

ctl_status_t ctl_get(ctl_t *ctl, const char *key, store_kv_t *kv)
{
	store_result_t *result = read_result(ctl, key, false);
	const store_kv_t *found;
	ctl_status_t status = check_result(ctl, result);

	memset(kv, 0, sizeof(*kv));
	g_strlcpy(kv->key, key, sizeof(kv->key));
	if (status != CTL_OK)
		goto out;
	found = store_result_find(result, key);
	if (found == NULL)
		goto out;
	kv->revision = found->revision;
	record_copy(&kv->record, &found->record);
	if (kv->record.kind == RECORD_INVALID) {
		errmsg_set(&ctl->err, "%.100s: the stored value is malformed",
			   key);
		status = CTL_REFUSED;
	}
out:
	store_result_free(result);
	return status;
}

ctl_status_t ctl_list(ctl_t *ctl, const char *prefix, GArray **kvs)
{
	store_result_t *result = read_result(ctl, prefix, true);
	ctl_status_t status = check_result(ctl, result);
	bool more;

	*kvs = g_array_new(FALSE, TRUE, sizeof(store_kv_t));
	g_array_set_clear_func(*kvs, clear_kv);
	while (status == CTL_OK) {
		append_kvs(*kvs, result);
		more = result->more;
		if (!more)
			break;
		/* Further pages arrive without another call. */
		store_result_free(result);
		while (ctl->result == NULL)
			g_main_context_iteration(ctl->kernel.context, TRUE);
		result = g_steal_pointer(&ctl->result);
		status = check_result(ctl, result);
	}
	store_result_free(result);
	return status;
}

ctl_status_t ctl_txn(ctl_t *ctl, store_txn_t *txn, bool *committed)
{
	msg_t msg = {.kind = MSG_STORE_TXN};
	store_result_t *result;
	ctl_status_t status;

	msg.u.store_txn = txn;
	result = call_store(ctl, &msg);
	status = check_result(ctl, result);
	*committed = store_result_committed(result, 0);
	store_result_free(result);
	return status;
}

op_id_t *ctl_record_op(record_t *record)
{
	switch (record->kind) {
	case RECORD_CLIENT_ACCOUNT:
		return &record->u.client_account.op;
	case RECORD_SERVICE:
		return &record->u.service.op;
	case RECORD_TARGET:
		return &record->u.target.op;
	case RECORD_PRESET:
		return &record->u.preset.op;
	case RECORD_ORDER:
		return &record->u.order.op;
	case RECORD_QUARANTINE:
		return &record->u.quarantine.op;
	case RECORD_BUDGET:
		return &record->u.budget.ops[0];
	default:
		return NULL;
	}
}

/*
 * Reads the key again after a write whose outcome is not certain.  *retry is
 * set if the key is unchanged.  Returns CTL_OK if the record holds this
 * command's write, and CTL_RACE if another writer changed the key.
 */
static ctl_status_t check_write(ctl_t *ctl, const char *key, int64_t expect,
				bool *retry)
{
	store_kv_t kv;
	const op_id_t *op;
	ctl_status_t status = ctl_get(ctl, key, &kv);

	*retry = false;
	if (status != CTL_OK)
		goto out;
	op = ctl_record_op(&kv.record);
	if (op != NULL && op_id_equal(op, &ctl->op))
		goto out;
	if (kv.revision == expect) {
		*retry = true;
		goto out;
	}
	errmsg_set(&ctl->err,
		   "%.100s: changed first by %s, revision %" G_GINT64_FORMAT
		   "; check the record and repeat the command",
		   key, op == NULL ? "another writer" : op->writer,
		   kv.revision);
	status = CTL_RACE;
out:
	record_clear(&kv.record);
	return status;
}

ctl_status_t ctl_put(ctl_t *ctl, const char *key, int64_t expect,
		     const record_t *record)
{
	int64_t backoff = BACKOFF_START_US;
	ctl_status_t status = CTL_FAILED;
	bool committed, retry;
	bool maybe_written = false;

	for (int i = 0; i < TRIES_MAX; i++) {
		store_txn_t *txn = store_txn_new();

		store_txn_group(txn);
		store_txn_put(txn, key, expect, 0, record);
		status = ctl_txn(ctl, txn, &committed);
		if (committed)
			return CTL_OK;
		if (status == CTL_FAILED) {
			sleep_us(backoff);
			backoff *= 2;
			continue;
		}
		maybe_written |= status == CTL_UNKNOWN;
		/* The operation id tells a lost race from a lost response. */
		status = check_write(ctl, key, expect, &retry);
		if (status == CTL_FAILED)
			return CTL_UNKNOWN;
		if (!retry)
			return status;
	}
	/* The key is unchanged, but a delayed write may still take effect. */
	errmsg_set(&ctl->err, "%.100s: the store did not accept the change",
		   key);
	return maybe_written ? CTL_UNKNOWN : CTL_FAILED;
}
