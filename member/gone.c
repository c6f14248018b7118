#include "member/view.h"

#include "log/log.h"

#include <string.h>

/* A member whose lease lapsed in an outage of the store may write it again. */
#define GRACE (3 * USEC_PER_SEC)
#define REPEAT (5 * USEC_PER_SEC)
#define LIST_RECENT (5 * USEC_PER_SEC)
/* The list lags: absent for this long in every answer means gone. */
#define UNLISTED_AFTER (30 * USEC_PER_SEC)
/* An answer that we read later than this may have been overtaken. */
#define ANSWER_RECENT USEC_PER_SEC
#define REPORTERS 3 /* members besides the buddy that report a member */

static bool is_listed(const member_info_t *info, const instance_list_t *list)
{
	for (guint i = 0; i < list->instances->len; i++) {
		const instance_info_t *at =
			&g_array_index(list->instances, instance_info_t, i);

		if (strcmp(at->host, info->host) == 0 &&
		    (at->port == info->peer_port ||
		     at->port == info->admin_port))
			return true;
	}
	return false;
}

/*
 * A list that does not hold ourselves says nothing about routers.  After a
 * gap in the answers the count of absent time begins anew.
 */
void member_gone_listed(member_t *member, instance_list_t *list)
{
	int64_t now = kernel_now(member->kernel);
	bool gap = now - member->instances_at > LIST_RECENT;
	uint32_t cursor = 0;
	entry_t *entry;

	instance_list_unref(member->instances);
	member->instances = list;
	member->instances_at = now;
	if (!is_listed(&member->opts.self, list))
		gap = true;
	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (is_listed(&entry->info, list))
			entry->unlisted_since = 0;
		else if (gap || entry->unlisted_since == 0)
			entry->unlisted_since = now;
	}
}

static bool instance_gone(const member_t *member, const entry_t *entry)
{
	int64_t now = kernel_now(member->kernel);

	return member->instances != NULL &&
	       now - member->instances_at <= LIST_RECENT &&
	       entry->info.host[0] != '\0' && entry->unlisted_since != 0 &&
	       now - entry->unlisted_since >= UNLISTED_AFTER;
}

/* The buddy reports; others do so too in case there is none, but not all. */
static bool is_reporter(member_t *member, const entry_t *gone)
{
	const char *own = member->opts.self.incarnation;
	uint64_t weight = member_ring_hash(gone->info.incarnation, own);
	uint32_t cursor = 0;
	uint32_t before = 0;
	entry_t *entry;

	if (strcmp(gone->stored_buddy, own) == 0)
		return true;
	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (!entry->own &&
		    member_view_state(member, entry) == MEMBER_ALIVE &&
		    member_ring_hash(gone->info.incarnation,
				     entry->info.incarnation) > weight)
			before++;
	}
	return before < REPORTERS;
}

/* The view may be old after a pause, so the store is asked once more. */
static void confirm(member_t *member, entry_t *entry)
{
	msg_t msg = {.kind = MSG_STORE_TXN};
	char key[STORE_KEY_SIZE];

	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	g_snprintf(key, sizeof(key), "member/%s", entry->info.incarnation);
	store_txn_check(msg.u.store_txn, key, entry->revision);
	g_snprintf(key, sizeof(key), "alive/%s", entry->info.incarnation);
	store_txn_check(msg.u.store_txn, key, EXPECT_ABSENT);
	entry->confirming = true;
	member_call(member, CALL_CONFIRM, &msg)->entry = entry->self;
}

static bool is_suspected(const member_t *member, const entry_t *entry)
{
	int64_t now = kernel_now(member->kernel);

	return !entry->own && entry->absent_since != 0 &&
	       now - entry->absent_since >= GRACE &&
	       !member_view_heard(member, entry);
}

void member_gone_tick(member_t *member)
{
	int64_t now = kernel_now(member->kernel);
	uint32_t cursor = 0;
	entry_t *entry;

	if (member->stopping)
		return;
	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (entry->confirming || now < entry->gone_at ||
		    !is_suspected(member, entry) || !is_reporter(member, entry))
			continue;
		entry->gone_at = now + REPEAT;
		confirm(member, entry);
	}
}

void member_gone_confirmed(member_t *member, const call_t *call,
			   const store_result_t *result)
{
	entry_t *entry = table_get(&member->entries, call->entry);
	msg_t msg = {.kind = MSG_MEMBER_EXPIRED};

	if (entry == NULL)
		return;
	entry->confirming = false;
	if (result->status != STORE_OK ||
	    kernel_now(member->kernel) - call->sent > ANSWER_RECENT)
		return;
	if (!store_result_committed(result, 0)) {
		member_sync_apply(member, result, 0);
		return;
	}
	/* It may have come back while the answer was under way. */
	if (!is_suspected(member, entry))
		return;
	g_strlcpy(msg.u.expired.incarnation, entry->info.incarnation,
		  sizeof(msg.u.expired.incarnation));
	msg.u.expired.was_buddy =
		strcmp(entry->stored_buddy, member->opts.self.incarnation) == 0;
	msg.u.expired.instance_gone = instance_gone(member, entry);
	log_event(LOG_LEVEL_INFO, "member", "gone",
		  "member=%s copied_here=%d instance_gone=%d",
		  log_quote(entry->info.incarnation), msg.u.expired.was_buddy,
		  msg.u.expired.instance_gone);
	member_post(member, member->ledger, &msg);
}
