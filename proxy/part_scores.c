#include "proxy/part_scores.h"

#include <math.h>
#include <string.h>

/* Score that quarantines a part: three crashes within minutes. */
#define SCORE_QUARANTINE 2.25
/* Bounds, so that the past of a part that changed is soon outweighed. */
#define SCORE_MIN (-2.0)
#define SCORE_MAX 4.0
#define SCORE_CLEAR (-1.5) /* below, further evidence changes nothing */
/* Most that a part keeps of crashes that another part explains. */
#define SCORE_EXPLAINED 1.0
/* Half-lives of positive and of negative scores. */
#define HALF_LIFE_BLAMED_MS (10 * 60.0 * 1000)
#define HALF_LIFE_TRUSTED_MS (60.0 * 1000)
#define WEIGHT_STRONG 1 /* crash of a target that had begun to answer */
/*
 * All crashes with one request weigh no more: it is quarantined as a whole, and
 * others share its parts.
 */
#define WEIGHT_REPEATED_MAX 1.5
/* A part whose last crash is older is not worth a message to peers. */
#define CRASH_NEWS_MS ((int64_t)10 * 60 * 1000)
/* Responses that are older say little about a part. */
#define SOUND_LATELY_MS ((int64_t)2 * 60 * 1000)
#define NEVER (INT64_MIN / 2)

typedef struct kept_crash_t {
	part_crash_t crash; /* with the weight counted so far */
	bool strong; /* a target had begun to answer a request */
} kept_crash_t;

typedef struct part_entry_t {
	uint64_t id;
	double score; /* as of scored_at */
	int64_t scored_at;
	kept_crash_t crashes[CRASHES_KEPT];
	uint32_t crash_count; /* crashes ever counted */
	int64_t counted_at; /* time at which the last crash was counted */
	int64_t crashed_at; /* time of the latest crash */
	int64_t sound_at; /* beginning of the latest response that went on */
	int64_t old_sound_at; /* when a response from before was counted */
	int64_t heard_at; /* when peers were told of a response, or told it */
	GQueue *queue; /* queue that holds the entry */
	GList link;
} part_entry_t;

void part_scores_init(part_scores_t *scores)
{
	memset(scores, 0, sizeof(*scores));
	scores->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
}

void part_scores_finish(part_scores_t *scores)
{
	g_hash_table_unref(scores->entries);
	memset(scores, 0, sizeof(*scores));
}

static part_entry_t *find_entry(const part_scores_t *scores, uint64_t part)
{
	return g_hash_table_lookup(scores->entries, &part);
}

static void move_entry(part_entry_t *entry, GQueue *queue)
{
	if (entry->queue != NULL)
		g_queue_unlink(entry->queue, &entry->link);
	entry->queue = queue;
	g_queue_push_tail_link(queue, &entry->link);
}

static void remove_victim(part_scores_t *scores)
{
	part_entry_t *victim = g_queue_peek_head(&scores->trusted);

	if (victim == NULL)
		victim = g_queue_peek_head(&scores->suspected);
	if (victim == NULL)
		return;
	g_queue_unlink(victim->queue, &victim->link);
	g_hash_table_remove(scores->entries, &victim->id);
}

static part_entry_t *touch_entry(part_scores_t *scores, uint64_t part,
				 bool suspected)
{
	part_entry_t *entry = find_entry(scores, part);

	if (entry == NULL) {
		if (g_hash_table_size(scores->entries) >= PARTS_SCORED_MAX)
			remove_victim(scores);
		entry = g_new0(part_entry_t, 1);
		entry->id = part;
		entry->crashed_at = NEVER;
		entry->sound_at = NEVER;
		entry->old_sound_at = NEVER;
		entry->heard_at = NEVER;
		entry->link.data = entry;
		g_hash_table_insert(scores->entries, &entry->id, entry);
	}
	if (suspected || entry->queue == &scores->suspected)
		move_entry(entry, &scores->suspected);
	else
		move_entry(entry, &scores->trusted);
	return entry;
}

static double score_at(const part_entry_t *entry, int64_t now)
{
	double half_life = HALF_LIFE_TRUSTED_MS;

	if (entry->score > 0)
		half_life = HALF_LIFE_BLAMED_MS;
	return entry->score *
	       exp2(-(double)(now - entry->scored_at) / half_life);
}

static void add_score(part_entry_t *entry, double change, int64_t now)
{
	entry->score =
		CLAMP(score_at(entry, now) + change, SCORE_MIN, SCORE_MAX);
	entry->scored_at = now;
}

static void limit_score(part_entry_t *entry, double limit, int64_t now)
{
	add_score(entry, 0, now);
	entry->score = MIN(entry->score, limit);
}

double part_scores_get(const part_scores_t *scores, uint64_t part, int64_t now)
{
	const part_entry_t *entry = find_entry(scores, part);

	return entry != NULL ? score_at(entry, now) : 0;
}

static uint32_t kept_count(const part_entry_t *entry)
{
	return MIN(entry->crash_count, CRASHES_KEPT);
}

/*
 * Crashes of different targets at the same moment count once for a part that
 * was sound lately: a rack that fails, or a network, takes targets with all
 * parts that are in use.
 */
static kept_crash_t *find_same_crash(part_entry_t *entry,
				     const part_crash_t *crash)
{
	bool sound = entry->sound_at > crash->at - SOUND_LATELY_MS;

	for (uint32_t i = 0; i < kept_count(entry); i++) {
		kept_crash_t *known = &entry->crashes[i];
		int64_t apart = ABS(known->crash.at - crash->at);

		if ((sound && apart < CRASH_SPACING_MS) ||
		    (known->crash.target == crash->target &&
		     apart < SAME_CRASH_MS))
			return known;
	}
	return NULL;
}

static kept_crash_t *find_same_request(part_entry_t *entry, uint64_t request)
{
	for (uint32_t i = 0; i < kept_count(entry); i++) {
		if (entry->crashes[i].crash.request == request)
			return &entry->crashes[i];
	}
	return NULL;
}

bool part_scores_crashed(part_scores_t *scores, uint64_t part,
			 const part_crash_t *crash, int64_t now)
{
	part_entry_t *entry = touch_entry(scores, part, true);
	kept_crash_t *known = find_same_crash(entry, crash);
	double weight = crash->weight, change = weight;
	bool strong = weight >= WEIGHT_STRONG;

	if (known == NULL) {
		known = find_same_request(entry, crash->request);
		if (known != NULL)
			weight = MIN(known->crash.weight + weight / 2,
				     WEIGHT_REPEATED_MAX);
	}
	if (known != NULL) {
		change = weight - known->crash.weight;
		if (change <= 0)
			return false;
		known->crash.weight = weight;
		known->strong = known->strong || strong;
	} else {
		entry->crashes[entry->crash_count++ % CRASHES_KEPT] =
			(kept_crash_t){*crash, strong};
	}
	entry->counted_at = now;
	entry->crashed_at = MAX(entry->crashed_at, crash->at);
	add_score(entry, change, now);
	return true;
}

bool part_scores_survived(part_scores_t *scores, uint64_t part,
			  int64_t began_at, int64_t now)
{
	part_entry_t *entry = touch_entry(scores, part, false);
	double before = score_at(entry, now);

	add_score(entry, -1, now);
	entry->sound_at = MAX(entry->sound_at, began_at);
	return entry->crash_count > 0 &&
	       now - entry->counted_at <= CRASH_NEWS_MS &&
	       before >= SCORE_CLEAR;
}

/*
 * A response from before the last crash does not show that the part is sound
 * now: it outweighs one crash at most, and once for all instances that tell it.
 */
static void count_old_response(part_entry_t *entry, int64_t now)
{
	if (now - entry->old_sound_at < SOUND_LATELY_MS)
		return;
	entry->old_sound_at = now;
	if (score_at(entry, now) > 0)
		add_score(entry, -MIN(score_at(entry, now), 1), now);
}

void part_scores_survival_told(part_scores_t *scores, uint64_t part,
			       int64_t began_at, int64_t now)
{
	part_entry_t *entry = touch_entry(scores, part, false);

	if (began_at > entry->crashed_at)
		add_score(entry, -1, now);
	else
		count_old_response(entry, now);
	entry->sound_at = MAX(entry->sound_at, began_at);
	entry->heard_at = now;
}

void part_scores_explained(part_scores_t *scores, uint64_t part, int64_t now)
{
	part_entry_t *entry = find_entry(scores, part);

	if (entry != NULL)
		limit_score(entry, SCORE_EXPLAINED, now);
}

static bool had_crash(const part_scores_t *scores, const part_set_t *set,
		      const part_crash_t *crash)
{
	for (uint32_t i = 0; i < set->count; i++) {
		part_entry_t *entry = find_entry(scores, set->parts[i]);

		if (entry == NULL || find_same_crash(entry, crash) == NULL)
			return false;
	}
	return true;
}

uint32_t part_scores_common_crashes(const part_scores_t *scores,
				    const part_set_t *set,
				    part_crash_t list[CRASHES_KEPT])
{
	const part_entry_t *entry = find_entry(scores, set->parts[0]);
	uint32_t count = 0;

	for (uint32_t i = 0; entry != NULL && i < kept_count(entry); i++) {
		if (had_crash(scores, set, &entry->crashes[i].crash))
			list[count++] = entry->crashes[i].crash;
	}
	return count;
}

void part_scores_explain_by(part_scores_t *scores, const part_set_t *set,
			    int64_t now)
{
	const GList *link = scores->suspected.head;

	for (; link != NULL; link = link->next) {
		part_entry_t *entry = link->data;
		double other = 0; /* weight of the crashes not explained */
		bool explained = false;

		if (part_set_contains(set, entry->id))
			continue;
		for (uint32_t i = 0; i < kept_count(entry); i++) {
			const part_crash_t *crash = &entry->crashes[i].crash;

			if (had_crash(scores, set, crash))
				explained = true;
			else
				other += crash->weight;
		}
		if (explained)
			limit_score(entry, SCORE_EXPLAINED + other, now);
	}
}

void part_scores_level(part_scores_t *scores, const part_set_t *set,
		       int64_t now)
{
	double best = 0;

	for (uint32_t i = 0; i < set->count; i++)
		best = MAX(best, part_scores_get(scores, set->parts[i], now));
	for (uint32_t i = 0; i < set->count; i++) {
		part_entry_t *entry = touch_entry(scores, set->parts[i], true);

		if (entry->sound_at <= now - SOUND_LATELY_MS)
			add_score(entry, best - score_at(entry, now), now);
	}
}

void part_scores_cleared(part_scores_t *scores, uint64_t part, int64_t now)
{
	part_entry_t *entry = find_entry(scores, part);

	if (entry != NULL)
		limit_score(entry, 0, now);
}

bool part_scores_is_high(const part_scores_t *scores, uint64_t part,
			 int64_t now)
{
	return part_scores_get(scores, part, now) >= SCORE_QUARANTINE;
}

bool part_scores_may_decide(const part_scores_t *scores, uint64_t part,
			    const part_crash_t *crash)
{
	const part_entry_t *entry = find_entry(scores, part);

	if (entry == NULL || crash->weight >= WEIGHT_STRONG)
		return true;
	for (uint32_t i = 0; i < kept_count(entry); i++) {
		if (entry->crashes[i].strong)
			return false;
	}
	return true;
}

bool part_scores_has_request(const part_scores_t *scores, uint64_t part,
			     uint64_t request)
{
	part_entry_t *entry = find_entry(scores, part);

	return entry != NULL && find_same_request(entry, request) != NULL;
}

bool part_scores_sound_since(const part_scores_t *scores, uint64_t part,
			     int64_t at)
{
	const part_entry_t *entry = find_entry(scores, part);

	return entry != NULL && entry->sound_at > at;
}

bool part_scores_sound_lately(const part_scores_t *scores, uint64_t part,
			      int64_t now)
{
	return part_scores_sound_since(scores, part, now - SOUND_LATELY_MS);
}

bool part_scores_all_sound_lately(const part_scores_t *scores,
				  const part_set_t *set, int64_t now)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (!part_scores_sound_lately(scores, set->parts[i], now))
			return false;
	}
	return true;
}

bool part_scores_is_unheard(const part_scores_t *scores, uint64_t part,
			    int64_t now)
{
	const part_entry_t *entry = find_entry(scores, part);

	return entry != NULL && entry->sound_at > now - SOUND_LATELY_MS &&
	       now - entry->heard_at >= SOUND_LATELY_MS;
}

void part_scores_heard(part_scores_t *scores, uint64_t part, int64_t now)
{
	part_entry_t *entry = find_entry(scores, part);

	if (entry != NULL)
		entry->heard_at = now;
}

int64_t part_scores_sound_age(const part_scores_t *scores, uint64_t part,
			      int64_t now)
{
	const part_entry_t *entry = find_entry(scores, part);

	if (entry == NULL || entry->sound_at == NEVER)
		return -1;
	return MAX(now - entry->sound_at, 0);
}
