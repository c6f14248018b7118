#include "kernel/msg.h"

#include <string.h>

static const char *const refusal_names[REFUSAL_COUNT] = {[REFUSAL_NONE] =
								 "none",
#define X(id, text) [REFUSAL_##id] = text,
							 REFUSAL_LIST(X)
#undef X
};

static const char *const failure_names[FAILURE_COUNT] = {[FAILURE_NONE] =
								 "none",
#define X(id, text) [FAILURE_##id] = text,
							 FAILURE_LIST(X)
#undef X
};

const char *refusal_name(refusal_t refusal)
{
	return refusal < REFUSAL_COUNT ? refusal_names[refusal] : "unknown";
}

const char *failure_name(failure_t failure)
{
	return failure < FAILURE_COUNT ? failure_names[failure] : "unknown";
}

const char *run_state_name(run_state_t state)
{
	switch (state) {
	case RUN_NOT_RUN:
		return "not_run";
	case RUN_RAN:
		return "ran";
	case RUN_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

request_spec_t *request_spec_new(void)
{
	return g_new0(request_spec_t, 1);
}

void request_spec_free(request_spec_t *spec)
{
	if (spec == NULL)
		return;
	if (spec->body != NULL)
		g_bytes_unref(spec->body);
	g_free(spec);
}

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
}

static GArray *kv_array_new(void)
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
	result->kvs = kv_array_new();
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

conf_snapshot_t *conf_snapshot_new(void)
{
	conf_snapshot_t *snapshot = g_new0(conf_snapshot_t, 1);

	snapshot->refs = 1;
	snapshot->client_accounts =
		g_array_new(FALSE, TRUE, sizeof(record_client_account_t));
	snapshot->services = g_array_new(FALSE, TRUE, sizeof(record_service_t));
	snapshot->targets = g_array_new(FALSE, TRUE, sizeof(record_target_t));
	snapshot->quarantine =
		g_array_new(FALSE, TRUE, sizeof(record_quarantine_t));
	snapshot->orders = g_array_new(FALSE, TRUE, sizeof(record_order_t));
	snapshot->by_key_hash =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return snapshot;
}

conf_snapshot_t *conf_snapshot_ref(conf_snapshot_t *snapshot)
{
	snapshot->refs++;
	return snapshot;
}

void conf_snapshot_unref(conf_snapshot_t *snapshot)
{
	if (snapshot == NULL || --snapshot->refs > 0)
		return;
	g_array_unref(snapshot->client_accounts);
	g_array_unref(snapshot->services);
	g_array_unref(snapshot->targets);
	g_array_unref(snapshot->quarantine);
	g_array_unref(snapshot->orders);
	g_hash_table_unref(snapshot->by_key_hash);
	g_free(snapshot);
}

const record_client_account_t *
conf_snapshot_account_by_key(const conf_snapshot_t *snapshot,
			     const char *key_hash, const char **budget)
{
	const record_client_account_t *account;
	guint index;

	index = GPOINTER_TO_UINT(
		g_hash_table_lookup(snapshot->by_key_hash, key_hash));
	if (index == 0)
		return NULL;
	account = &g_array_index(snapshot->client_accounts,
				 record_client_account_t, index - 1);
	for (uint32_t i = 0; i < account->key_count; i++) {
		if (strcmp(account->keys[i].hash, key_hash) == 0) {
			*budget = account->keys[i].budget;
			return account;
		}
	}
	return NULL;
}

const record_service_t *conf_snapshot_service(const conf_snapshot_t *snapshot,
					      const char *name)
{
	for (guint i = 0; i < snapshot->services->len; i++) {
		const record_service_t *service =
			&g_array_index(snapshot->services, record_service_t, i);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

/* A prefix matches whole path segments only. */
static bool path_has_prefix(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	if (len == 0 || strncmp(path, prefix, len) != 0)
		return false;
	return prefix[len - 1] == '/' || path[len] == '\0' ||
	       path[len] == '/' || path[len] == '?';
}

const record_service_t *
conf_snapshot_service_by_path(const conf_snapshot_t *snapshot, const char *path)
{
	const record_service_t *best = NULL;
	size_t best_len = 0;

	for (guint i = 0; i < snapshot->services->len; i++) {
		const record_service_t *service =
			&g_array_index(snapshot->services, record_service_t, i);
		size_t len = strlen(service->path_prefix);

		if (service->kind == SERVICE_PLAIN && len > best_len &&
		    path_has_prefix(path, service->path_prefix)) {
			best = service;
			best_len = len;
		}
	}
	return best;
}

member_list_t *member_list_new(void)
{
	member_list_t *list = g_new0(member_list_t, 1);

	list->refs = 1;
	list->members = g_array_new(FALSE, TRUE, sizeof(member_info_t));
	return list;
}

member_list_t *member_list_ref(member_list_t *list)
{
	list->refs++;
	return list;
}

void member_list_unref(member_list_t *list)
{
	if (list == NULL || --list->refs > 0)
		return;
	g_array_unref(list->members);
	g_free(list);
}

instance_list_t *instance_list_new(void)
{
	instance_list_t *list = g_new0(instance_list_t, 1);

	list->refs = 1;
	list->instances = g_array_new(FALSE, TRUE, sizeof(instance_info_t));
	return list;
}

void instance_list_unref(instance_list_t *list)
{
	if (list == NULL || --list->refs > 0)
		return;
	g_array_unref(list->instances);
	g_free(list);
}

static void clear_store_item(gpointer data)
{
	store_item_t *item = data;

	g_clear_pointer(&item->value, g_bytes_unref);
}

peer_body_t *peer_body_new(peer_kind_t kind)
{
	peer_body_t *body = g_new0(peer_body_t, 1);

	body->kind = kind;
	switch (kind) {
	case PEER_HEARTBEAT:
		body->u.heartbeat.members =
			g_array_new(FALSE, TRUE, sizeof(member_info_t));
		break;
	case PEER_CONF_ITEMS:
		body->u.conf_items.kvs = kv_array_new();
		break;
	case PEER_BILL_COPY:
		body->u.bill_copy.bills =
			g_array_new(FALSE, TRUE, sizeof(bill_t));
		break;
	case PEER_STORE_ITEMS:
		body->u.store_items.items =
			g_array_new(FALSE, TRUE, sizeof(store_item_t));
		g_array_set_clear_func(body->u.store_items.items,
				       clear_store_item);
		break;
	default:
		break;
	}
	return body;
}

void peer_body_free(peer_body_t *body)
{
	if (body == NULL)
		return;
	switch (body->kind) {
	case PEER_HEARTBEAT:
		g_array_unref(body->u.heartbeat.members);
		break;
	case PEER_CONF_ITEMS:
		g_array_unref(body->u.conf_items.kvs);
		break;
	case PEER_BILL_COPY:
		g_array_unref(body->u.bill_copy.bills);
		break;
	case PEER_STORE_ITEMS:
		g_array_unref(body->u.store_items.items);
		break;
	default:
		break;
	}
	g_free(body);
}

/* Payloads of the kinds that only a gateway's services exchange. */
static void clear_gateway_msg(msg_t *msg)
{
	switch (msg->kind) {
	case MSG_EXCHANGE_OPEN:
		g_clear_pointer(&msg->u.exchange, exchange_spec_free);
		break;
	case MSG_EXCHANGE_HEAD:
		g_clear_pointer(&msg->u.exchange_head.head, http_head_free);
		break;
	case MSG_EXCHANGE_DATA:
	case MSG_OUT_DATA:
		g_clear_pointer(&msg->u.data.bytes, g_bytes_unref);
		break;
	case MSG_OUT_SEND:
		g_clear_pointer(&msg->u.out_send.head, http_head_free);
		g_clear_pointer(&msg->u.out_send.body, g_bytes_unref);
		break;
	case MSG_OUT_HEAD:
		g_clear_pointer(&msg->u.out_head.head, http_head_free);
		break;
	case MSG_FLEET_CONF:
		g_clear_pointer(&msg->u.fleet_conf, fleet_conf_unref);
		break;
	default:
		break;
	}
}

void msg_clear(msg_t *msg)
{
	switch (msg->kind) {
	case MSG_REQ_OPEN:
		g_clear_pointer(&msg->u.open, request_spec_free);
		break;
	case MSG_REPLY_DATA:
		g_clear_pointer(&msg->u.data.bytes, g_bytes_unref);
		break;
	case MSG_CLAIM_RESULT:
		outcome_clear(&msg->u.claimed.outcome);
		break;
	case MSG_CLAIM_DONE:
		outcome_clear(&msg->u.claim_done.outcome);
		break;
	case MSG_SEND:
		g_clear_pointer(&msg->u.send.body, g_bytes_unref);
		break;
	case MSG_TARGET_DATA:
		g_clear_pointer(&msg->u.target_data.bytes, g_bytes_unref);
		break;
	case MSG_STORE_TXN:
		g_clear_pointer(&msg->u.store_txn, store_txn_free);
		break;
	case MSG_STORE_RESULT:
	case MSG_STORE_EVENT:
		g_clear_pointer(&msg->u.store_result, store_result_free);
		break;
	case MSG_CONF_CHANGED:
		g_clear_pointer(&msg->u.conf, conf_snapshot_unref);
		break;
	case MSG_PEER_SEND:
	case MSG_PEER_RECEIVED:
		g_clear_pointer(&msg->u.peer.body, peer_body_free);
		break;
	case MSG_MEMBER_CHANGED:
		g_clear_pointer(&msg->u.members, member_list_unref);
		break;
	case MSG_INSTANCES_LISTED:
		g_clear_pointer(&msg->u.instances, instance_list_unref);
		break;
	default:
		clear_gateway_msg(msg);
		break;
	}
}
