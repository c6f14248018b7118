/*
 * The table of known members: their state, heartbeats from them and the
 * publication of the view to the subscribers.
 */
#include "member/view.h"

#include "log/log.h"

#include <string.h>

#define MEMBERS_MAX 4096

entry_t *member_view_find(member_t *member, const char *incarnation)
{
	return g_hash_table_lookup(member->by_incarnation, incarnation);
}

entry_t *member_view_find_or_add(member_t *member, const char *incarnation)
{
	entry_t *entry = member_view_find(member, incarnation);
	handle_t self;

	if (entry != NULL)
		return entry;
	if (incarnation[0] == '\0' ||
	    table_count(&member->entries) >= MEMBERS_MAX)
		return NULL;
	self = table_add(&member->entries, (void **)&entry);
	entry->self = self;
	g_strlcpy(entry->info.incarnation, incarnation,
		  sizeof(entry->info.incarnation));
	entry->last_heard = kernel_now(member->kernel);
	g_hash_table_insert(member->by_incarnation, entry->info.incarnation,
			    entry);
	member->view_changed = true;
	return entry;
}

void member_view_remove(member_t *member, entry_t *entry)
{
	g_hash_table_remove(member->by_incarnation, entry->info.incarnation);
	table_remove(&member->entries, entry->self);
	member->view_changed = true;
}

bool member_view_is_responsive(const member_t *member, const entry_t *entry)
{
	return entry->connected ||
	       (entry->last_heard_direct != 0 &&
		kernel_now(member->kernel) - entry->last_heard_direct <
			SUSPECT_AFTER_US);
}

/*
 * "peer" probes each connection every second and reports a silent one as
 * down, so a connection counts as a heartbeat.  Only neighbours are
 * connected: any other member is alive as long as the store holds alive/X.
 */
member_state_t member_view_state(const member_t *member, const entry_t *entry)
{
	int64_t now = kernel_now(member->kernel);

	if (entry->is_self)
		return member->stopping ? MEMBER_LEFT : MEMBER_ALIVE;
	if (entry->left)
		return MEMBER_LEFT;
	if (entry->connected || now - entry->last_heard < SUSPECT_AFTER_US)
		return MEMBER_ALIVE;
	if (!member->alive.synced)
		return MEMBER_SUSPECT;
	if (!entry->alive)
		return MEMBER_DEAD;
	if (entry->neighbour &&
	    now - entry->neighbour_since >= SUSPECT_AFTER_US)
		return MEMBER_SUSPECT;
	return MEMBER_ALIVE;
}

void member_view_merge(member_t *member, const member_info_t *info, bool direct)
{
	entry_t *entry = member_view_find_or_add(member, info->incarnation);
	member_info_t *known;
	member_state_t state;
	bool same;

	if (entry == NULL || entry->is_self || entry->left)
		return;
	known = &entry->info;
	if (direct) {
		entry->last_heard = kernel_now(member->kernel);
		entry->last_heard_direct = entry->last_heard;
	}
	/* Gossip may arrive before or after the heartbeat that it repeats. */
	if (info->heartbeat <= known->heartbeat && known->heartbeat != 0)
		return;
	same = strcmp(known->name, info->name) == 0 &&
	       strcmp(known->availability_zone, info->availability_zone) == 0 &&
	       strcmp(known->host, info->host) == 0 &&
	       strcmp(known->buddy, info->buddy) == 0 &&
	       known->peer_port == info->peer_port &&
	       known->admin_port == info->admin_port;
	if (!same)
		member->view_changed = true;
	state = known->state;
	*known = *info;
	known->state = state; /* determined here, not by the sender */
	entry->last_heard = kernel_now(member->kernel);
}

static int compare_incarnation(gconstpointer a, gconstpointer b)
{
	return strcmp(((const member_info_t *)a)->incarnation,
		      ((const member_info_t *)b)->incarnation);
}

static void post_list(member_t *member, svc_t to, member_list_t *list)
{
	msg_t msg = {.kind = MSG_MEMBER_CHANGED};

	msg.u.members = member_list_ref(list);
	member_post(member, to, &msg);
}

static void update_states(member_t *member)
{
	uint32_t cursor = 0;
	int64_t alive = 0, connected = 0;
	member_state_t state;
	entry_t *entry;

	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		state = member_view_state(member, entry);
		if (state != entry->info.state) {
			log_event(LOG_LEVEL_INFO, "member", "state",
				  "member=%s name=%s state=%d",
				  log_quote(entry->info.incarnation),
				  log_quote(entry->info.name), (int)state);
			entry->info.state = state;
			member->view_changed = true;
		}
		alive += state == MEMBER_ALIVE;
		connected += entry->connected;
	}
	metrics_set(member->kernel->metrics, GAUGE_MEMBERS_ALIVE, alive);
	metrics_set(member->kernel->metrics, GAUGE_PEERS, connected);
}

void member_view_publish(member_t *member)
{
	uint32_t cursor = 0;
	member_list_t *list;
	entry_t *entry;

	update_states(member);
	if (!member->view_changed)
		return;
	member->view_changed = false;
	list = member_list_new();
	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL)
		g_array_append_val(list->members, entry->info);
	g_array_sort(list->members, compare_incarnation);
	for (uint32_t i = 0; i < member->subscriber_count; i++)
		post_list(member, member->subscribers[i], list);
	member_list_unref(list);
}

/* Entries are kept for a time, so that old gossip doesn't add them again. */
void member_view_prune(member_t *member)
{
	int64_t now = kernel_now(member->kernel);
	uint32_t cursor = 0;
	entry_t *entry;

	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (entry->is_self || entry->connected || entry->neighbour ||
		    entry->record_revision != 0 || entry->alive ||
		    now - entry->last_heard < PRUNE_AFTER_US)
			continue;
		member_view_remove(member, entry);
	}
}
