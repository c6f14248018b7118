#include "kernel/snapshot.h"

#include <string.h>

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

/* True if prefix matches path up to the end of a path segment. */
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
