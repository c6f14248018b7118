#include "conf/entry.h"

#include "log/log.h"

#include <string.h>

static void free_entry(gpointer data)
{
	conf_entry_t *entry = data;

	record_clear(&entry->record);
	g_free(entry);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

GTree *conf_entries_new(void)
{
	/* The key is part of the entry and freed with it. */
	return g_tree_new_full(compare_keys, NULL, NULL, free_entry);
}

static bool key_equals(const char *key, const char *prefix, const char *name)
{
	size_t len = strlen(prefix);

	return strncmp(key, prefix, len) == 0 && strcmp(key + len, name) == 0;
}

bool conf_key_matches(const char *key, const record_t *record)
{
	switch (record->kind) {
	case RECORD_CLIENT_ACCOUNT:
		return key_equals(key, "conf/account/",
				  record->u.client_account.name);
	case RECORD_SERVICE:
		return key_equals(key, "conf/service/", record->u.service.name);
	case RECORD_TARGET:
		return key_equals(key, "conf/target/", record->u.target.name);
	case RECORD_QUARANTINE:
		return key_equals(key, "conf/quarantine/",
				  record->u.quarantine.fingerprint);
	case RECORD_ORDER:
		return key_equals(key, "conf/order/", record->u.order.target);
	case RECORD_PRESET:
		return strcmp(key, "conf/preset") == 0;
	default:
		return false;
	}
}

conf_apply_result_t conf_entries_apply(GTree *entries, const store_kv_t *kv)
{
	conf_entry_t *entry;

	if (kv->revision <= 0 || !conf_key_matches(kv->key, &kv->record))
		return CONF_APPLY_REFUSED;
	entry = g_tree_lookup(entries, kv->key);
	if (entry != NULL && kv->revision < entry->revision)
		return CONF_APPLY_STALE;
	if (entry != NULL && kv->revision == entry->revision)
		return CONF_APPLY_SAME;
	if (entry == NULL) {
		entry = g_new0(conf_entry_t, 1);
		g_strlcpy(entry->key, kv->key, sizeof(entry->key));
		g_tree_insert(entries, entry->key, entry);
	}
	record_clear(&entry->record);
	record_copy(&entry->record, &kv->record);
	entry->revision = kv->revision;
	return CONF_APPLY_NEW;
}

/* --- frames for peers --------------------------------------------------- */

typedef struct newer_t {
	int64_t after;
	GPtrArray *found; /* conf_entry_t */
} newer_t;

static gboolean collect_newer(gpointer key, gpointer value, gpointer data)
{
	conf_entry_t *entry = value;
	newer_t *newer = data;

	(void)key;
	if (entry->revision > newer->after)
		g_ptr_array_add(newer->found, entry);
	return FALSE;
}

static gint compare_revisions(gconstpointer a, gconstpointer b)
{
	const conf_entry_t *left = *(const conf_entry_t *const *)a;
	const conf_entry_t *right = *(const conf_entry_t *const *)b;

	return (left->revision > right->revision) -
	       (left->revision < right->revision);
}

int64_t conf_entries_since(GTree *entries, int64_t after, int64_t complete,
			   GArray *kvs)
{
	newer_t newer = {after, g_ptr_array_new()};
	int64_t up_to = complete;

	g_tree_foreach(entries, collect_newer, &newer);
	g_ptr_array_sort(newer.found, compare_revisions);
	for (guint i = 0; i < newer.found->len; i++) {
		const conf_entry_t *entry = g_ptr_array_index(newer.found, i);
		store_kv_t kv = {.revision = entry->revision};

		/*
		 * Records of one store transaction share a revision and stay in
		 * one frame.
		 */
		if (kvs->len >= CONF_ITEMS_MAX && entry->revision > up_to)
			break;
		g_strlcpy(kv.key, entry->key, sizeof(kv.key));
		record_copy(&kv.record, &entry->record);
		g_array_append_val(kvs, kv);
		if (kvs->len >= CONF_ITEMS_MAX)
			up_to = MIN(complete, entry->revision);
	}
	g_ptr_array_unref(newer.found);
	return up_to;
}

/* --- quarantine ---------------------------------------------------------- */

typedef struct expiry_scan_t {
	int64_t wall_ms;
	int64_t next; /* earliest end, 0 if there is none */
	GPtrArray *expired; /* keys */
} expiry_scan_t;

static gboolean scan_expiry(gpointer key, gpointer value, gpointer data)
{
	const conf_entry_t *entry = value;
	expiry_scan_t *expiry = data;
	int64_t end;

	if (entry->record.kind != RECORD_QUARANTINE)
		return FALSE;
	end = entry->record.u.quarantine.expires_ms;
	if (end <= expiry->wall_ms)
		g_ptr_array_add(expiry->expired, key);
	else if (expiry->next == 0 || end < expiry->next)
		expiry->next = end;
	return FALSE;
}

guint conf_entries_expire(GTree *entries, int64_t wall_ms)
{
	expiry_scan_t expiry = {wall_ms, 0, g_ptr_array_new()};
	guint count;

	g_tree_foreach(entries, scan_expiry, &expiry);
	count = expiry.expired->len;
	for (guint i = 0; i < count; i++)
		g_tree_remove(entries, g_ptr_array_index(expiry.expired, i));
	g_ptr_array_unref(expiry.expired);
	return count;
}

int64_t conf_entries_next_expiry(GTree *entries)
{
	expiry_scan_t expiry = {-1, 0, NULL};

	g_tree_foreach(entries, scan_expiry, &expiry);
	return expiry.next;
}

/* --- snapshot ------------------------------------------------------------ */

static void add_account(conf_snapshot_t *snapshot,
			const record_client_account_t *account)
{
	guint index;

	if (account->removed)
		return;
	g_array_append_vals(snapshot->client_accounts, account, 1);
	index = snapshot->client_accounts->len;
	for (uint32_t i = 0; i < account->key_count; i++) {
		const char *hash = account->keys[i].hash;

		/* A key of two accounts is the first account's, by name. */
		if (g_hash_table_contains(snapshot->by_key_hash, hash)) {
			log_event(LOG_LEVEL_WARN, "conf", "duplicate_key",
				  "client_account=%s",
				  log_quote(account->name));
			continue;
		}
		g_hash_table_insert(snapshot->by_key_hash, g_strdup(hash),
				    GUINT_TO_POINTER(index));
	}
}

static gboolean add_entry(gpointer key, gpointer value, gpointer data)
{
	const record_t *record = &((const conf_entry_t *)value)->record;
	conf_snapshot_t *snapshot = data;

	(void)key;
	switch (record->kind) {
	case RECORD_CLIENT_ACCOUNT:
		add_account(snapshot, &record->u.client_account);
		break;
	case RECORD_SERVICE:
		if (!record->u.service.removed)
			g_array_append_val(snapshot->services,
					   record->u.service);
		break;
	case RECORD_TARGET:
		if (!record->u.target.removed)
			g_array_append_val(snapshot->targets, record->u.target);
		break;
	case RECORD_QUARANTINE:
		g_array_append_val(snapshot->quarantine, record->u.quarantine);
		break;
	case RECORD_ORDER:
		g_array_append_val(snapshot->orders, record->u.order);
		break;
	case RECORD_PRESET:
		snapshot->preset = record->u.preset.in_force;
		break;
	default:
		break;
	}
	return FALSE;
}

/* The tree is ordered by key, so each array is ordered by name. */
conf_snapshot_t *conf_entries_snapshot(GTree *entries, int64_t revision)
{
	conf_snapshot_t *snapshot = conf_snapshot_new();

	snapshot->revision = revision;
	g_tree_foreach(entries, add_entry, snapshot);
	return snapshot;
}
