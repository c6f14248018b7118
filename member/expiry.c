/*
 * Reports members whose lease has expired to "ledger", which recovers their
 * grants.  The report says whether the platform still lists the instance.
 */
#include "member/view.h"

#include "log/log.h"

#include <string.h>

/*
 * Delay from the expiry to the first report.  A member whose lease expired
 * during a store outage can register again within this time.
 */
#define EXPIRY_GRACE_US (3 * USEC_PER_SEC)
/* Interval at which a report is repeated until the record is deleted. */
#define REPORT_INTERVAL_US (5 * USEC_PER_SEC)
/* A list of the platform that is older than this is not relied on. */
#define LIST_MAX_AGE_US (5 * USEC_PER_SEC)
/*
 * The platform's list lags, so an instance counts as gone only when every
 * list in this time lacked it.
 */
#define UNLISTED_TIMEOUT_US (30 * USEC_PER_SEC)
/* A store result that takes longer may be out of date and is discarded. */
#define CONFIRM_MAX_AGE_US USEC_PER_SEC
#define REPORTERS_MAX 3 /* members besides the buddy that report an expiry */

static bool is_listed(const member_info_t *info, const instance_list_t *list)
{
	for (guint i = 0; i < list->instances->len; i++) {
		const instance_info_t *instance =
			&g_array_index(list->instances, instance_info_t, i);

		if (strcmp(instance->host, info->host) == 0 &&
		    (instance->port == info->peer_port ||
		     instance->port == info->admin_port))
			return true;
	}
	return false;
}

/*
 * A list without this router does not cover routers and proves no absence.
 * After such a list, or a gap between lists, the time of absence starts anew.
 */
void member_expiry_instances(member_t *member, instance_list_t *list)
{
	int64_t now = kernel_now(member->kernel);
	bool gap = now - member->instances_at > LIST_MAX_AGE_US;
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

static bool is_instance_gone(const member_t *member, const entry_t *entry)
{
	int64_t now = kernel_now(member->kernel);

	return member->instances != NULL &&
	       now - member->instances_at <= LIST_MAX_AGE_US &&
	       entry->info.host[0] != '\0' && entry->unlisted_since != 0 &&
	       now - entry->unlisted_since >= UNLISTED_TIMEOUT_US;
}

/*
 * The buddy of the expired member reports it, and so do the REPORTERS_MAX
 * highest-ranked live members, as the buddy may be down too.
 */
static bool is_reporter(member_t *member, const entry_t *expired)
{
	const char *own = member->opts.self.incarnation;
	uint64_t weight = member_ring_hash(expired->info.incarnation, own);
	uint32_t cursor = 0;
	uint32_t higher_ranked = 0;
	entry_t *entry;

	if (strcmp(expired->stored_buddy, own) == 0)
		return true;
	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (!entry->is_self &&
		    member_view_state(member, entry) == MEMBER_ALIVE &&
		    member_ring_hash(expired->info.incarnation,
				     entry->info.incarnation) > weight)
			higher_ranked++;
	}
	return higher_ranked < REPORTERS_MAX;
}

/*
 * Asks the store again before the report, because the view may be out of
 * date after a pause of this process.
 */
static void confirm_expiry(member_t *member, entry_t *entry)
{
	msg_t msg = {.kind = MSG_STORE_TXN};
	char key[STORE_KEY_SIZE];

	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	g_snprintf(key, sizeof(key), "member/%s", entry->info.incarnation);
	store_txn_check(msg.u.store_txn, key, entry->record_revision);
	g_snprintf(key, sizeof(key), "alive/%s", entry->info.incarnation);
	store_txn_check(msg.u.store_txn, key, EXPECT_ABSENT);
	entry->confirming = true;
	member_call(member, CALL_CONFIRM, &msg)->entry = entry->self;
}

static bool is_expired(const member_t *member, const entry_t *entry)
{
	int64_t now = kernel_now(member->kernel);

	return !entry->is_self && entry->expired_since != 0 &&
	       now - entry->expired_since >= EXPIRY_GRACE_US &&
	       !member_view_is_responsive(member, entry);
}

void member_expiry_tick(member_t *member)
{
	int64_t now = kernel_now(member->kernel);
	uint32_t cursor = 0;
	entry_t *entry;

	if (member->stopping)
		return;
	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (entry->confirming || now < entry->report_at ||
		    !is_expired(member, entry) || !is_reporter(member, entry))
			continue;
		entry->report_at = now + REPORT_INTERVAL_US;
		confirm_expiry(member, entry);
	}
}

void member_expiry_confirm_result(member_t *member, const call_t *call,
				  const store_result_t *result)
{
	entry_t *entry = table_get(&member->entries, call->entry);
	msg_t msg = {.kind = MSG_MEMBER_EXPIRED};

	if (entry == NULL)
		return;
	entry->confirming = false;
	if (result->status != STORE_OK ||
	    kernel_now(member->kernel) - call->sent_at > CONFIRM_MAX_AGE_US)
		return;
	if (!store_result_committed(result, 0)) {
		member_sync_apply(member, result, 0);
		return;
	}
	/* The member may have returned while the call was pending. */
	if (!is_expired(member, entry))
		return;
	g_strlcpy(msg.u.expired.incarnation, entry->info.incarnation,
		  sizeof(msg.u.expired.incarnation));
	msg.u.expired.was_buddy =
		strcmp(entry->stored_buddy, member->opts.self.incarnation) == 0;
	msg.u.expired.instance_gone = is_instance_gone(member, entry);
	log_event(LOG_LEVEL_INFO, "member", "expired",
		  "member=%s was_buddy=%d instance_gone=%d",
		  log_quote(entry->info.incarnation), msg.u.expired.was_buddy,
		  msg.u.expired.instance_gone);
	member_post(member, member->ledger, &msg);
}
