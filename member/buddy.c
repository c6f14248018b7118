/*
 * Chooses the buddy: a responsive member, in this router's availability zone
 * if possible.  "ledger" gets a buddy only after member/INC names it in the
 * store, because recovery reads the buddy from there.
 */
#include "member/view.h"

#include "log/log.h"

#include <string.h>

/*
 * A disconnected buddy is cleared after this silence, which leaves time for
 * an attempt to reconnect.
 */
#define BUDDY_TIMEOUT_US (2 * SUSPECT_AFTER_US)
/*
 * Delay from registration to the first choice, so that members of the same
 * zone are connected by then.
 */
#define BUDDY_START_DELAY_US (2 * USEC_PER_SEC)
/*
 * Delay between clearing the buddy and naming another one in the store, in
 * which "ledger" flushes the bills that only the old buddy holds.
 */
#define BILL_FLUSH_US (2 * USEC_PER_SEC)

static void post_buddy(member_t *member, const char *incarnation)
{
	entry_t *own = member_view_find(member, member->opts.self.incarnation);
	msg_t msg = {.kind = MSG_BUDDY_CHANGED};

	g_strlcpy(own->info.buddy, incarnation, sizeof(own->info.buddy));
	member->view_changed = true;
	g_strlcpy(member->buddy, incarnation, sizeof(member->buddy));
	g_strlcpy(msg.u.buddy.incarnation, incarnation,
		  sizeof(msg.u.buddy.incarnation));
	log_event(LOG_LEVEL_INFO, "member", "buddy", "buddy=%s",
		  log_quote(incarnation));
	member_post(member, member->ledger, &msg);
}

void member_buddy_clear(member_t *member)
{
	if (member->buddy[0] == '\0')
		return;
	member->buddy_cleared_at = kernel_now(member->kernel);
	post_buddy(member, "");
}

static bool is_lost(const member_t *member, const entry_t *entry)
{
	if (entry == NULL || entry->left ||
	    member_view_state(member, entry) == MEMBER_DEAD)
		return true;
	return !entry->connected &&
	       kernel_now(member->kernel) - entry->last_heard_direct >
		       BUDDY_TIMEOUT_US;
}

static bool is_eligible(const member_t *member, const entry_t *entry)
{
	return entry != NULL && !entry->is_self && entry->connected &&
	       member_view_is_responsive(member, entry) &&
	       member_view_state(member, entry) == MEMBER_ALIVE;
}

static bool in_own_zone(const member_t *member, const entry_t *entry)
{
	return strcmp(entry->info.availability_zone,
		      member->opts.self.availability_zone) == 0;
}

/*
 * Chooses by rendezvous hashing, members of this zone first.  Each member ranks
 * the others differently, which spreads the load of buddies.
 */
static entry_t *choose_buddy(member_t *member)
{
	uint64_t weight, best_weight = 0;
	uint32_t cursor = 0;
	bool in_zone, best_in_zone = false;
	entry_t *entry, *best = NULL;

	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (!is_eligible(member, entry))
			continue;
		in_zone = in_own_zone(member, entry);
		weight = member_ring_hash(member->opts.self.incarnation,
					  entry->info.incarnation);
		if (best == NULL || in_zone > best_in_zone ||
		    (in_zone == best_in_zone && weight > best_weight)) {
			best = entry;
			best_weight = weight;
			best_in_zone = in_zone;
		}
	}
	return best;
}

/*
 * Uses the buddy that member/INC already names, unless another zone's buddy
 * can be replaced by one in this zone.  The caller makes sure that no write
 * is unresolved, since such a write may have named another buddy.
 */
static bool adopt_stored_buddy(member_t *member, const entry_t *best)
{
	const entry_t *entry = member_view_find(member, member->stored_buddy);

	if (member->stored_buddy[0] == '\0' || !is_eligible(member, entry))
		return false;
	if (best != NULL && in_own_zone(member, best) &&
	    !in_own_zone(member, entry))
		return false;
	post_buddy(member, member->stored_buddy);
	return true;
}

/* A buddy in another zone is replaced by an eligible one in this zone. */
static bool is_replaceable(member_t *member, const entry_t *buddy)
{
	const entry_t *best;

	if (in_own_zone(member, buddy))
		return false;
	best = choose_buddy(member);
	return best != NULL && in_own_zone(member, best);
}

void member_buddy_tick(member_t *member)
{
	int64_t now = kernel_now(member->kernel);
	entry_t *entry = member_view_find(member, member->buddy);
	entry_t *best;

	if (member->stopping)
		return;
	if (member->buddy[0] != '\0') {
		if (is_lost(member, entry) ||
		    (member->registered && member->write_kind == CALL_NONE &&
		     is_replaceable(member, entry)))
			member_buddy_clear(member);
		return;
	}
	if (member->write_kind != CALL_NONE || member->record_revision == 0)
		return;
	best = choose_buddy(member);
	if (adopt_stored_buddy(member, best) || best == NULL ||
	    !member->registered)
		return;
	if (now < member->write_at ||
	    now - member->registered_at < BUDDY_START_DELAY_US ||
	    (member->buddy_cleared_at != 0 &&
	     now - member->buddy_cleared_at < BILL_FLUSH_US))
		return;
	member_lease_write_buddy(member, best->info.incarnation);
}

void member_buddy_committed(member_t *member, const char *incarnation)
{
	if (is_eligible(member, member_view_find(member, incarnation)))
		post_buddy(member, incarnation);
}
