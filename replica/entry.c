#include "replica/entry.h"

#include "log/log.h"

#include <string.h>

/*
 * A message has fewer items and bytes than a frame takes (peer/codec.h), except
 * that a single item may be as large as the store allows.
 */
#define ITEMS_MAX 4000
#define ITEMS_BYTES_MAX 500000
#define ITEM_OVERHEAD 32 /* bytes beside key and value */
/*
 * Prepaid token records are not relayed: only instances that write to the
 * store use them, and they change so often that relaying would saturate a
 * slow link.
 */
#define UNRELAYED_PREFIX "prepaid/"

static void free_entry(gpointer data)
{
	replica_entry_t *entry = data;

	record_clear(&entry->record);
	g_clear_pointer(&entry->raw, g_bytes_unref);
	g_free(entry);
}

GHashTable *replica_entries_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_entry);
}

static bool same_value(const replica_entry_t *entry, const store_kv_t *kv)
{
	if (entry->record.kind != kv->record.kind)
		return false;
	switch (kv->record.kind) {
	case RECORD_NONE:
	case RECORD_EVACUATION:
		return true;
	case RECORD_FLEET_TARGET:
		return fleet_target_equal(entry->record.u.fleet_target,
					  kv->record.u.fleet_target);
	default:
		return entry->raw != NULL && kv->raw != NULL &&
		       g_bytes_equal(entry->raw, kv->raw);
	}
}

static bool holds_conf(const replica_entry_t *entry)
{
	return entry != NULL && entry->record.kind == RECORD_FLEET_CONF;
}

static bool is_newer(const replica_entry_t *entry, const store_kv_t *kv)
{
	if (entry == NULL || entry->revision < kv->revision)
		return true;
	return kv->record.kind == RECORD_FLEET_CONF &&
	       (!holds_conf(entry) ||
		kv->record.u.fleet_conf->version >
			entry->record.u.fleet_conf->version);
}

static bool is_older_statement(const replica_entry_t *entry,
			       const fleet_target_t *target)
{
	if (entry->started_ms == 0 || target->started_ms == 0)
		return false;
	if (target->started_ms != entry->started_ms)
		return target->started_ms < entry->started_ms;
	if (entry->record.kind == RECORD_NONE)
		return target->sequence <= entry->sequence;
	return target->sequence < entry->sequence;
}

/* True if a newer state of the key says less than the known one. */
static bool is_superseded(const replica_entry_t *entry, const store_kv_t *kv)
{
	if (holds_conf(entry))
		return kv->record.kind != RECORD_FLEET_CONF ||
		       kv->record.u.fleet_conf->version <
			       entry->record.u.fleet_conf->version;
	return entry != NULL && kv->record.kind == RECORD_FLEET_TARGET &&
	       revision_era(entry->revision) < revision_era(kv->revision) &&
	       is_older_statement(entry, kv->record.u.fleet_target);
}

static void keep_statement(replica_entry_t *entry, const record_t *record)
{
	if (record->kind != RECORD_FLEET_TARGET)
		return;
	entry->started_ms = record->u.fleet_target->started_ms;
	entry->sequence = record->u.fleet_target->sequence;
}

bool replica_entries_apply(GHashTable *entries, const store_kv_t *kv,
			   int64_t now)
{
	replica_entry_t *entry = g_hash_table_lookup(entries, kv->key);
	bool same;

	if (!is_newer(entry, kv))
		return false;
	if (is_superseded(entry, kv)) {
		entry->revision = kv->revision;
		log_event(LOG_LEVEL_INFO, "replica", "superseded",
			  "key=%s revision=" REVISION_FORMAT,
			  log_quote(kv->key), REVISION_ARGS(kv->revision));
		return false;
	}
	same = entry != NULL && same_value(entry, kv);
	if (entry == NULL) {
		entry = g_new0(replica_entry_t, 1);
		g_hash_table_insert(entries, g_strdup(kv->key), entry);
	}
	entry->revision = MAX(entry->revision, kv->revision);
	keep_statement(entry, &kv->record);
	if (same)
		return false;
	entry->changed_revision = entry->revision;
	entry->changed_at = now;
	record_clear(&entry->record);
	record_copy(&entry->record, &kv->record);
	g_clear_pointer(&entry->raw, g_bytes_unref);
	entry->raw = kv->raw != NULL ? g_bytes_ref(kv->raw) : NULL;
	return true;
}

void replica_entries_expire(GHashTable *entries, int64_t before)
{
	GHashTableIter iter;
	gpointer data;

	g_hash_table_iter_init(&iter, entries);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const replica_entry_t *entry = data;

		if (entry->record.kind == RECORD_NONE &&
		    entry->changed_at < before)
			g_hash_table_iter_remove(&iter);
	}
}

uint64_t replica_entries_bytes(GHashTable *entries)
{
	GHashTableIter iter;
	uint64_t bytes = 0;
	gpointer data;

	g_hash_table_iter_init(&iter, entries);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const replica_entry_t *entry = data;

		if (entry->raw != NULL)
			bytes += g_bytes_get_size(entry->raw);
	}
	return bytes * 4 / 3; /* base64 */
}

static gint compare_items(gconstpointer a, gconstpointer b)
{
	const store_item_t *x = a, *y = b;

	return (x->revision > y->revision) - (x->revision < y->revision);
}

/*
 * Sorts items by revision, truncates the list to what fits in a frame and
 * returns the revision up to which it is complete.
 */
static int64_t trim_items(GArray *items, int64_t up_to)
{
	gsize bytes = 0;

	g_array_sort(items, compare_items);
	for (guint i = 0; i < items->len; i++) {
		const store_item_t *item =
			&g_array_index(items, store_item_t, i);

		bytes += strlen(item->key) + ITEM_OVERHEAD;
		if (item->value != NULL)
			bytes += g_bytes_get_size(item->value);
		if (i >= ITEMS_MAX || (bytes > ITEMS_BYTES_MAX && i > 0)) {
			up_to = item->revision - 1;
			g_array_set_size(items, i);
			break;
		}
	}
	return up_to;
}

int64_t replica_entries_since(GHashTable *entries, int64_t after, int64_t up_to,
			      GArray *items)
{
	GHashTableIter iter;
	gpointer key, data;

	g_hash_table_iter_init(&iter, entries);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		const replica_entry_t *entry = data;
		store_item_t item = {.revision = entry->changed_revision};

		if (entry->changed_revision <= after ||
		    g_str_has_prefix(key, UNRELAYED_PREFIX))
			continue;
		g_strlcpy(item.key, key, sizeof(item.key));
		item.value =
			entry->raw != NULL ? g_bytes_ref(entry->raw) : NULL;
		g_array_append_val(items, item);
	}
	return trim_items(items, up_to);
}
