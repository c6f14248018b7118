#include "kernel/storage.h"

#include <string.h>

static void clear_op(gpointer data)
{
	store_op_t *op = data;

	record_clear(&op->record);
}

store_txn_t *store_txn_new(void)
{
	store_txn_t *txn = g_new0(store_txn_t, 1);

	txn->ops = g_array_new(FALSE, TRUE, sizeof(store_op_t));
	g_array_set_clear_func(txn->ops, clear_op);
	return txn;
}

void store_txn_free(store_txn_t *txn)
{
	if (txn == NULL)
		return;
	g_array_unref(txn->ops);
	g_free(txn);
}

uint32_t store_txn_group(store_txn_t *txn)
{
	return txn->group_count++;
}

static store_op_t *add_op(store_txn_t *txn, store_op_kind_t kind,
			  const char *key, int64_t expect)
{
	store_op_t op = {.kind = kind, .expect = expect};

	g_assert(txn->group_count > 0);
	op.group = txn->group_count - 1;
	g_strlcpy(op.key, key, sizeof(op.key));
	g_array_append_val(txn->ops, op);
	return &g_array_index(txn->ops, store_op_t, txn->ops->len - 1);
}

void store_txn_put(store_txn_t *txn, const char *key, int64_t expect,
		   int64_t lease, const record_t *record)
{
	store_op_t *op = add_op(txn, STORE_PUT, key, expect);

	op->lease = lease;
	record_copy(&op->record, record);
}

void store_txn_delete(store_txn_t *txn, const char *key, int64_t expect)
{
	add_op(txn, STORE_DELETE, key, expect);
}

void store_txn_check(store_txn_t *txn, const char *key, int64_t expect)
{
	add_op(txn, STORE_CHECK, key, expect);
}

static void clear_kv(gpointer data)
{
	store_kv_t *kv = data;

	record_clear(&kv->record);
	g_clear_pointer(&kv->raw, g_bytes_unref);
}

GArray *store_kvs_new(void)
{
	GArray *kvs = g_array_new(FALSE, TRUE, sizeof(store_kv_t));

	g_array_set_clear_func(kvs, clear_kv);
	return kvs;
}

store_result_t *store_result_new(store_status_t status)
{
	store_result_t *result = g_new0(store_result_t, 1);

	result->status = status;
	result->committed = g_array_new(FALSE, TRUE, sizeof(bool));
	result->kvs = store_kvs_new();
	return result;
}

void store_result_free(store_result_t *result)
{
	if (result == NULL)
		return;
	g_array_unref(result->committed);
	g_array_unref(result->kvs);
	g_free(result);
}

void store_result_add(store_result_t *result, uint32_t group, const char *key,
		      int64_t revision, const record_t *record)
{
	store_kv_t kv = {.group = group, .revision = revision};

	g_strlcpy(kv.key, key, sizeof(kv.key));
	if (record != NULL)
		record_copy(&kv.record, record);
	g_array_append_val(result->kvs, kv);
}

void store_result_add_raw(store_result_t *result, const char *key,
			  int64_t revision, const record_t *record, GBytes *raw)
{
	store_result_add(result, 0, key, revision, record);
	if (raw != NULL)
		g_array_index(result->kvs, store_kv_t, result->kvs->len - 1)
			.raw = g_bytes_ref(raw);
}

bool store_result_committed(const store_result_t *result, uint32_t group)
{
	return result->status == STORE_OK && group < result->committed->len &&
	       g_array_index(result->committed, bool, group);
}

const store_kv_t *store_result_find(const store_result_t *result,
				    const char *key)
{
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		if (strcmp(kv->key, key) == 0)
			return kv;
	}
	return NULL;
}
