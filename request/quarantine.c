#include "request/quarantine.h"

#include <string.h>

/* Blames with the same target within this time are of one crash. */
#define SAME_CRASH_MS 2000
/* Responses that are older say little about a request. */
#define COMPLETED_LATELY_MS ((int64_t)2 * 60 * 1000)

typedef struct blame_t {
	char reporter[INCARNATION_SIZE];
	uint64_t seq;
	uint64_t target; /* hash of its id, 0: not known */
	int64_t at_ms;
} blame_t;

typedef struct completed_t {
	char fingerprint[HASH_SIZE];
	int64_t at_ms;
	GList link; /* node in quarantine_t.completed_order */
} completed_t;

typedef struct quarantine_entry_t {
	char fingerprint[HASH_SIZE];
	uint32_t count;
	blame_t blames[QUARANTINE_BLAMES_MAX];
	int64_t first_blame_ms; /* time of the first of the blames */
	int64_t last_blame_ms; /* time of the last blame */
	int64_t ended_ms; /* when responses ended a quarantine, 0: never */
	int64_t until_ms; /* end of the quarantine, 0 for none */
	GList link; /* node in quarantine_t.order */
} quarantine_entry_t;

void quarantine_init(quarantine_t *quarantine, uint32_t blame_threshold,
		     int64_t duration_ms, int64_t spacing_ms)
{
	quarantine->blame_threshold =
		MIN(blame_threshold, QUARANTINE_BLAMES_MAX);
	quarantine->duration_ms = duration_ms;
	quarantine->spacing_ms = spacing_ms;
	quarantine->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&quarantine->order);
	quarantine->completed =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&quarantine->completed_order);
}

void quarantine_finish(quarantine_t *quarantine)
{
	g_hash_table_unref(quarantine->entries);
	g_hash_table_unref(quarantine->completed);
	memset(quarantine, 0, sizeof(*quarantine));
}

static void remove_entry(quarantine_t *quarantine, quarantine_entry_t *entry)
{
	g_queue_unlink(&quarantine->order, &entry->link);
	g_hash_table_remove(quarantine->entries, entry->fingerprint);
}

static quarantine_entry_t *add_entry(quarantine_t *quarantine,
				     const char *fingerprint)
{
	quarantine_entry_t *entry;

	if (quarantine->order.length >= QUARANTINE_ENTRIES_MAX)
		remove_entry(quarantine, quarantine->order.head->data);
	entry = g_new0(quarantine_entry_t, 1);
	g_strlcpy(entry->fingerprint, fingerprint, sizeof(entry->fingerprint));
	entry->link.data = entry;
	g_queue_push_tail_link(&quarantine->order, &entry->link);
	g_hash_table_insert(quarantine->entries, entry->fingerprint, entry);
	return entry;
}

static void remove_completed(quarantine_t *quarantine, completed_t *completed)
{
	g_queue_unlink(&quarantine->completed_order, &completed->link);
	g_hash_table_remove(quarantine->completed, completed->fingerprint);
}

static void note_completed(quarantine_t *quarantine, const char *fingerprint,
			   int64_t now_ms)
{
	completed_t *completed =
		g_hash_table_lookup(quarantine->completed, fingerprint);
	GQueue *order = &quarantine->completed_order;

	if (completed != NULL) {
		g_queue_unlink(order, &completed->link);
	} else {
		if (order->length >= QUARANTINE_ENTRIES_MAX)
			remove_completed(quarantine, order->head->data);
		completed = g_new0(completed_t, 1);
		g_strlcpy(completed->fingerprint, fingerprint,
			  sizeof(completed->fingerprint));
		completed->link.data = completed;
		g_hash_table_insert(quarantine->completed,
				    completed->fingerprint, completed);
	}
	completed->at_ms = now_ms;
	g_queue_push_tail_link(order, &completed->link);
}

static bool completed_lately(const quarantine_t *quarantine,
			     const char *fingerprint, int64_t now_ms)
{
	const completed_t *completed =
		g_hash_table_lookup(quarantine->completed, fingerprint);

	return completed != NULL &&
	       now_ms - completed->at_ms <= COMPLETED_LATELY_MS;
}

static bool has_crash(const quarantine_entry_t *entry, uint64_t target,
		      int64_t now_ms)
{
	for (uint32_t i = 0; target != 0 && i < entry->count; i++) {
		if (entry->blames[i].target == target &&
		    now_ms - entry->blames[i].at_ms < SAME_CRASH_MS)
			return true;
	}
	return false;
}

static bool has_blame(const quarantine_entry_t *entry, const char *reporter,
		      uint64_t seq)
{
	for (uint32_t i = 0; i < entry->count; i++) {
		if (entry->blames[i].seq == seq &&
		    strcmp(entry->blames[i].reporter, reporter) == 0)
			return true;
	}
	return false;
}

bool quarantine_blame(quarantine_t *quarantine, const char *fingerprint,
		      const char *reporter, uint64_t seq, uint64_t target,
		      int64_t now_ms)
{
	quarantine_entry_t *entry =
		g_hash_table_lookup(quarantine->entries, fingerprint);
	blame_t *blame;

	if (entry != NULL &&
	    now_ms - entry->last_blame_ms > quarantine->duration_ms) {
		remove_entry(quarantine, entry);
		entry = NULL;
	}
	if (entry == NULL)
		entry = add_entry(quarantine, fingerprint);
	if (entry->count >= quarantine->blame_threshold ||
	    has_blame(entry, reporter, seq) || has_crash(entry, target, now_ms))
		return false;
	if (entry->count > 0 &&
	    now_ms - entry->last_blame_ms < quarantine->spacing_ms &&
	    completed_lately(quarantine, fingerprint, now_ms))
		return false;
	if (entry->count == 0)
		entry->first_blame_ms = now_ms;
	blame = &entry->blames[entry->count++];
	g_strlcpy(blame->reporter, reporter, sizeof(blame->reporter));
	blame->seq = seq;
	blame->target = target;
	blame->at_ms = now_ms;
	entry->last_blame_ms = now_ms;
	if (entry->count < quarantine->blame_threshold)
		return false;
	entry->until_ms = now_ms + quarantine->duration_ms;
	return true;
}

bool quarantine_contains(const quarantine_t *quarantine,
			 const char *fingerprint, int64_t now_ms)
{
	const quarantine_entry_t *entry =
		g_hash_table_lookup(quarantine->entries, fingerprint);

	return entry != NULL && now_ms < entry->until_ms;
}

static bool entry_news(const quarantine_t *quarantine,
		       const quarantine_entry_t *entry, int64_t now_ms,
		       quarantine_news_t *news)
{
	memset(news, 0, sizeof(*news));
	news->age_ms = now_ms - entry->last_blame_ms;
	news->left_ms = MAX(entry->until_ms - now_ms, 0);
	news->blames = entry->count;
	g_strlcpy(news->fingerprint, entry->fingerprint,
		  sizeof(news->fingerprint));
	if (entry->until_ms > 0)
		return news->left_ms > 0;
	return entry->count > 0 && news->age_ms <= quarantine->duration_ms;
}

bool quarantine_news(const quarantine_t *quarantine, const char *fingerprint,
		     int64_t now_ms, quarantine_news_t *news)
{
	const quarantine_entry_t *entry =
		g_hash_table_lookup(quarantine->entries, fingerprint);

	return entry != NULL && entry_news(quarantine, entry, now_ms, news);
}

uint32_t quarantine_list(const quarantine_t *quarantine, int64_t now_ms,
			 quarantine_news_t *list, uint32_t max)
{
	const GList *link = quarantine->order.tail;
	uint32_t count = 0;

	for (; link != NULL && count < max; link = link->prev)
		count += entry_news(quarantine, link->data, now_ms,
				    &list[count]);
	return count;
}

static bool adopt_quarantine(const quarantine_t *quarantine,
			     quarantine_entry_t *entry, int64_t left_ms,
			     int64_t now_ms)
{
	int64_t until = now_ms + MIN(left_ms, quarantine->duration_ms);
	bool added = now_ms >= entry->until_ms;

	entry->count = quarantine->blame_threshold;
	entry->until_ms = MAX(entry->until_ms, until);
	return added;
}

bool quarantine_adopt(quarantine_t *quarantine, const quarantine_news_t *news,
		      int64_t now_ms)
{
	quarantine_entry_t *entry =
		g_hash_table_lookup(quarantine->entries, news->fingerprint);
	int64_t blamed_ms =
		now_ms - CLAMP(news->age_ms, 0, quarantine->duration_ms);

	if (entry != NULL &&
	    now_ms - entry->last_blame_ms > quarantine->duration_ms) {
		remove_entry(quarantine, entry);
		entry = NULL;
	}
	if (news->left_ms > 0 && (entry == NULL || entry->until_ms == 0) &&
	    completed_lately(quarantine, news->fingerprint, now_ms))
		return false;
	if (entry == NULL) {
		entry = add_entry(quarantine, news->fingerprint);
		entry->last_blame_ms = blamed_ms;
	}
	if (entry->ended_ms != 0 && blamed_ms <= entry->ended_ms)
		return false;
	if (entry->count == 0)
		entry->first_blame_ms = blamed_ms;
	entry->last_blame_ms = MAX(entry->last_blame_ms, blamed_ms);
	if (news->left_ms > 0)
		return adopt_quarantine(quarantine, entry, news->left_ms,
					now_ms);
	/* The blame that reaches the threshold is one that is reported. */
	if (entry->until_ms == 0)
		entry->count =
			MAX(entry->count,
			    MIN(news->blames, quarantine->blame_threshold - 1));
	return false;
}

bool quarantine_clear_blames(quarantine_t *quarantine, const char *fingerprint)
{
	quarantine_entry_t *entry =
		g_hash_table_lookup(quarantine->entries, fingerprint);

	if (entry == NULL || entry->until_ms != 0)
		return false;
	remove_entry(quarantine, entry);
	return true;
}

quarantine_change_t quarantine_complete(quarantine_t *quarantine,
					const char *fingerprint,
					int64_t began_ms, int64_t now_ms)
{
	quarantine_entry_t *entry =
		g_hash_table_lookup(quarantine->entries, fingerprint);

	if (began_ms != INT64_MIN)
		note_completed(quarantine, fingerprint, began_ms);
	if (entry == NULL || entry->count == 0)
		return QUARANTINE_UNCHANGED;
	if (now_ms >= entry->until_ms) {
		remove_entry(quarantine, entry);
		return QUARANTINE_CLEARED;
	}
	if (began_ms <= entry->first_blame_ms)
		return QUARANTINE_UNCHANGED;
	entry->count = 0;
	entry->until_ms = 0;
	entry->ended_ms = now_ms;
	return QUARANTINE_ENDED;
}
