/*
 * Reads the members' records from the store: lists and watches the prefixes
 * member/ and alive/ and applies what they report to the view.
 */
#include "member/view.h"

#include <string.h>

/* Lists are repeated in case a watch misses a change. */
#define LIST_INTERVAL_US (60 * USEC_PER_SEC)
#define MEMBER_PREFIX "member/"
#define ALIVE_PREFIX "alive/"

static void send_list(member_t *member, member_prefix_t *prefix,
		      call_kind_t kind)
{
	msg_t msg = {.kind = MSG_STORE_GET};

	g_strlcpy(msg.u.store_get.key, prefix->prefix,
		  sizeof(msg.u.store_get.key));
	msg.u.store_get.prefix = true;
	prefix->listing = true;
	prefix->list_seq++;
	member_call(member, kind, &msg);
}

static void send_watch(member_t *member, member_prefix_t *prefix,
		       int64_t min_revision)
{
	msg_t msg = {.kind = MSG_STORE_WATCH};

	g_strlcpy(msg.u.store_get.key, prefix->prefix,
		  sizeof(msg.u.store_get.key));
	msg.u.store_get.prefix = true;
	msg.u.store_get.min_revision = min_revision;
	prefix->watched = true;
	member_post(member, member->store, &msg);
}

void member_sync_tick(member_t *member)
{
	int64_t now = kernel_now(member->kernel);

	if (!member->members.listing && now >= member->members.list_at)
		send_list(member, &member->members, CALL_LIST_MEMBERS);
	if (!member->alive.listing && now >= member->alive.list_at)
		send_list(member, &member->alive, CALL_LIST_ALIVE);
}

/* A deletion reported by a watch has a revision too, but no record. */
bool member_sync_is_present(const store_kv_t *kv)
{
	return kv->revision > 0 && kv->record.kind != RECORD_NONE;
}

/* A lease has expired when member/X is present and alive/X is not. */
static void update_expiry(member_t *member, entry_t *entry)
{
	if (entry->record_revision == 0 || entry->alive)
		entry->expired_since = 0;
	else if (entry->expired_since == 0 && member->alive.synced)
		entry->expired_since = kernel_now(member->kernel);
}

static void apply_record(entry_t *entry, const record_member_t *record)
{
	member_info_t *info = &entry->info;

	/*
	 * Recovery relies on the stored buddy; info->buddy also follows
	 * heartbeats, which may be older or newer than the record.
	 */
	g_strlcpy(entry->stored_buddy, record->buddy,
		  sizeof(entry->stored_buddy));
	g_strlcpy(info->name, record->name, sizeof(info->name));
	g_strlcpy(info->availability_zone, record->availability_zone,
		  sizeof(info->availability_zone));
	g_strlcpy(info->host, record->host, sizeof(info->host));
	info->peer_port = record->peer_port;
	info->admin_port = record->admin_port;
	g_strlcpy(info->buddy, record->buddy, sizeof(info->buddy));
}

static void apply_member(member_t *member, const store_kv_t *kv,
			 int64_t observed, uint32_t list_seq)
{
	const char *name = kv->key + strlen(MEMBER_PREFIX);
	bool present = member_sync_is_present(kv);
	int64_t revision = present ? kv->revision : 0;
	entry_t *entry = present ? member_view_find_or_add(member, name)
				 : member_view_find(member, name);

	if (entry == NULL)
		return;
	if (list_seq != 0)
		entry->record_list_seq = list_seq;
	if (observed < entry->record_observed)
		return;
	entry->record_observed = observed;
	if (revision != entry->record_revision) {
		entry->record_revision = revision;
		member->view_changed = true;
		if (kv->record.kind == RECORD_MEMBER && !entry->is_self)
			apply_record(entry, &kv->record.u.member);
	}
	update_expiry(member, entry);
}

static void apply_alive(member_t *member, const store_kv_t *kv,
			int64_t observed, uint32_t list_seq)
{
	const char *name = kv->key + strlen(ALIVE_PREFIX);
	bool present = member_sync_is_present(kv);
	entry_t *entry = present ? member_view_find_or_add(member, name)
				 : member_view_find(member, name);

	if (entry == NULL)
		return;
	if (list_seq != 0)
		entry->alive_list_seq = list_seq;
	if (observed < entry->alive_observed)
		return;
	entry->alive_observed = observed;
	if (entry->alive != present)
		member->view_changed = true;
	entry->alive = present;
	update_expiry(member, entry);
}

void member_sync_apply(member_t *member, const store_result_t *result,
		       uint32_t list_seq)
{
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);
		/*
		 * A list reports the state at its own revision, an event the
		 * state at the revision of the change.
		 */
		int64_t observed = list_seq == 0 && kv->revision > 0
					   ? kv->revision
					   : result->revision;

		if (g_str_has_prefix(kv->key, MEMBER_PREFIX))
			apply_member(member, kv, observed, list_seq);
		else if (g_str_has_prefix(kv->key, ALIVE_PREFIX))
			apply_alive(member, kv, observed, list_seq);
		else
			continue;
		if (strcmp(strchr(kv->key, '/') + 1,
			   member->opts.self.incarnation) == 0)
			member_lease_observe(member, kv, observed);
	}
}

/* A key that a complete list lacks was absent at the first page's revision. */
static void sweep(member_t *member, call_kind_t kind, int64_t revision)
{
	uint32_t cursor = 0;
	store_kv_t kv = {0};
	entry_t *entry;

	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (kind == CALL_LIST_MEMBERS &&
		    entry->record_list_seq != member->members.list_seq) {
			g_snprintf(kv.key, sizeof(kv.key), "%s%s",
				   MEMBER_PREFIX, entry->info.incarnation);
			apply_member(member, &kv, revision, 0);
		}
		if (kind == CALL_LIST_ALIVE &&
		    entry->alive_list_seq != member->alive.list_seq) {
			g_snprintf(kv.key, sizeof(kv.key), "%s%s", ALIVE_PREFIX,
				   entry->info.incarnation);
			apply_alive(member, &kv, revision, 0);
		}
		if (entry->is_self && kv.key[0] != '\0')
			member_lease_observe(member, &kv, revision);
		kv.key[0] = '\0';
	}
}

void member_sync_list_result(member_t *member, call_t *call,
			     const store_result_t *result)
{
	member_prefix_t *prefix = call->kind == CALL_LIST_MEMBERS
					  ? &member->members
					  : &member->alive;
	int64_t now = kernel_now(member->kernel);

	if (result->status != STORE_OK) {
		prefix->listing = false;
		prefix->list_at = now + STORE_RETRY_DELAY_US;
		return;
	}
	if (call->list_revision == 0)
		call->list_revision = result->revision;
	member_sync_apply(member, result, prefix->list_seq);
	if (result->more)
		return;
	prefix->listing = false;
	prefix->synced = true;
	prefix->list_at = now + LIST_INTERVAL_US;
	sweep(member, call->kind, call->list_revision);
	/*
	 * The watch starts at revision 0 and so reads the keys itself: after
	 * an outage it can report the removal only of keys that it knows.
	 */
	if (!prefix->watched)
		send_watch(member, prefix, 0);
}
