#include "proxy/part_quarantine.h"

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
/* Reports of the same target within this time are of one crash. */
#define SAME_CRASH_MS 2000
#define CRASHES_KEPT 4
#define WEIGHT_STRONG 1 /* crash of a target that had begun to answer */
/*
 * All crashes with one request weigh no more: it is quarantined as a whole, and
 * others share its parts.
 */
#define WEIGHT_REPEATED_MAX 1.5
/* A part whose last crash is older is not worth a message to peers. */
#define CRASH_NEWS_MS ((int64_t)10 * 60 * 1000)
/* A quarantine that is told at once is younger. */
#define QUARANTINE_NEWS_MS 1000
#define PROBE_RETRY_MS 60000 /* after a probe that did not run */
#define STRIKE_FACTOR_BITS 2 /* each quarantine is four times the last */

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
	int64_t crashed_at; /* time at which the last crash was counted */
	bool held;
	bool probed; /* a request of this instance probes the part */
	uint32_t strikes; /* quarantines so far */
	int64_t until; /* end of the quarantine, without stagger_ms */
	int64_t decided_at;
	bool released; /* released_at is set */
	int64_t released_at;
	GQueue *queue; /* queue that holds the entry */
	GList link;
} part_entry_t;

void part_quarantine_init(part_quarantine_t *quarantine, int64_t stagger_ms)
{
	memset(quarantine, 0, sizeof(*quarantine));
	quarantine->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	quarantine->stagger_ms = stagger_ms;
}

void part_quarantine_finish(part_quarantine_t *quarantine)
{
	g_hash_table_unref(quarantine->entries);
	memset(quarantine, 0, sizeof(*quarantine));
}

static part_entry_t *find_entry(const part_quarantine_t *quarantine,
				uint64_t part)
{
	return g_hash_table_lookup(quarantine->entries, &part);
}

static void move_entry(part_entry_t *entry, GQueue *queue)
{
	if (entry->queue != NULL)
		g_queue_unlink(entry->queue, &entry->link);
	entry->queue = queue;
	g_queue_push_tail_link(queue, &entry->link);
}

static void remove_entry(part_quarantine_t *quarantine, part_entry_t *entry)
{
	g_queue_unlink(entry->queue, &entry->link);
	g_hash_table_remove(quarantine->entries, &entry->id);
}

/* Entries in quarantine are kept as long as there are others. */
static void remove_victim(part_quarantine_t *quarantine)
{
	part_entry_t *victim = g_queue_peek_head(&quarantine->trusted);
	const GList *link = quarantine->suspected.head;

	for (; victim == NULL && link != NULL; link = link->next) {
		part_entry_t *entry = link->data;

		if (!entry->held)
			victim = entry;
	}
	if (victim == NULL)
		victim = g_queue_peek_head(&quarantine->suspected);
	if (victim != NULL)
		remove_entry(quarantine, victim);
}

static part_entry_t *touch_entry(part_quarantine_t *quarantine, uint64_t part,
				 bool suspected)
{
	part_entry_t *entry = find_entry(quarantine, part);

	if (entry == NULL) {
		if (g_hash_table_size(quarantine->entries) >= PARTS_SCORED_MAX)
			remove_victim(quarantine);
		entry = g_new0(part_entry_t, 1);
		entry->id = part;
		entry->link.data = entry;
		g_hash_table_insert(quarantine->entries, &entry->id, entry);
	}
	if (suspected || entry->queue == &quarantine->suspected)
		move_entry(entry, &quarantine->suspected);
	else
		move_entry(entry, &quarantine->trusted);
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

double part_quarantine_score(const part_quarantine_t *quarantine, uint64_t part,
			     int64_t now)
{
	const part_entry_t *entry = find_entry(quarantine, part);

	return entry != NULL ? score_at(entry, now) : 0;
}

static part_state_t entry_state(const part_quarantine_t *quarantine,
				const part_entry_t *entry, int64_t now)
{
	if (entry == NULL || !entry->held)
		return PART_ALLOWED;
	return now < entry->until + quarantine->stagger_ms ? PART_QUARANTINED
							   : PART_PROBE_DUE;
}

part_state_t part_quarantine_state(const part_quarantine_t *quarantine,
				   uint64_t part, int64_t now)
{
	return entry_state(quarantine, find_entry(quarantine, part), now);
}

static void hold(part_entry_t *entry, int64_t now)
{
	int64_t length = PART_QUARANTINE_MIN_MS
			 << (STRIKE_FACTOR_BITS * entry->strikes);

	entry->held = true;
	entry->probed = false;
	entry->until = now + MIN(length, PART_QUARANTINE_MAX_MS);
	entry->decided_at = now;
	if (entry->strikes < PART_STRIKES_MAX)
		entry->strikes++;
}

static void release(part_entry_t *entry, int64_t now)
{
	add_score(entry, 0, now);
	entry->score = MIN(entry->score, 0);
	entry->held = false;
	entry->probed = false;
	entry->released = true;
	entry->released_at = now;
}

static kept_crash_t *find_same_crash(part_entry_t *entry,
				     const part_crash_t *crash)
{
	uint32_t kept = MIN(entry->crash_count, CRASHES_KEPT);

	for (uint32_t i = 0; i < kept; i++) {
		kept_crash_t *known = &entry->crashes[i];
		int64_t apart = ABS(known->crash.at - crash->at);

		if (apart < CRASH_SPACING_MS ||
		    (known->crash.target == crash->target &&
		     apart < SAME_CRASH_MS))
			return known;
	}
	return NULL;
}

static kept_crash_t *find_same_request(part_entry_t *entry,
				       const part_crash_t *crash)
{
	uint32_t kept = MIN(entry->crash_count, CRASHES_KEPT);

	for (uint32_t i = 0; i < kept; i++) {
		if (entry->crashes[i].crash.request == crash->request)
			return &entry->crashes[i];
	}
	return NULL;
}

/* Returns whether the crash is new or weighs more than what was counted. */
static bool count_crash(part_entry_t *entry, const part_crash_t *crash,
			int64_t now)
{
	kept_crash_t *known = find_same_crash(entry, crash);
	double weight = crash->weight, change = weight;
	bool strong = weight >= WEIGHT_STRONG;

	if (known == NULL) {
		known = find_same_request(entry, crash);
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
	entry->crashed_at = now;
	add_score(entry, change, now);
	return true;
}

void part_quarantine_crash_told(part_quarantine_t *quarantine, uint64_t part,
				const part_crash_t *crash, int64_t now)
{
	count_crash(touch_entry(quarantine, part, true), crash, now);
}

/* Returns whether one of the parts is in quarantine. */
static bool is_explained(const part_quarantine_t *quarantine,
			 const part_suspect_t *suspects, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		const part_entry_t *entry =
			find_entry(quarantine, suspects[i].part);

		if (entry != NULL && entry->held)
			return true;
	}
	return false;
}

/*
 * A request that only waited at the target shares parts with the one that
 * crashed it, which another instance knows: a weak crash decides nothing for a
 * part with strong ones.
 */
static bool may_decide(const part_entry_t *entry, const part_crash_t *crash)
{
	uint32_t kept = MIN(entry->crash_count, CRASHES_KEPT);

	if (crash->weight >= WEIGHT_STRONG)
		return true;
	for (uint32_t i = 0; i < kept; i++) {
		if (entry->crashes[i].strong)
			return false;
	}
	return true;
}

/* Returns the part that the crashes point to most, or -1. */
static int find_cause(const part_quarantine_t *quarantine,
		      const part_suspect_t *suspects, uint32_t count,
		      const part_crash_t *crash, int64_t now)
{
	const part_entry_t *entry;
	double best = SCORE_QUARANTINE, score;
	int found = -1;

	for (uint32_t i = 0; i < count; i++) {
		entry = find_entry(quarantine, suspects[i].part);
		if (entry == NULL || !may_decide(entry, crash))
			continue;
		score = score_at(entry, now);
		if (score < best)
			continue;
		best = score;
		found = (int)i;
	}
	return found;
}

static bool count_suspect(part_quarantine_t *quarantine,
			  const part_suspect_t *suspect,
			  const part_crash_t *crash, int64_t now)
{
	part_crash_t own = *crash;

	own.request = suspect->request;
	return count_crash(touch_entry(quarantine, suspect->part, true), &own,
			   now);
}

int part_quarantine_crashed(part_quarantine_t *quarantine,
			    const part_suspect_t *suspects, uint32_t count,
			    const part_crash_t *crash, int64_t now,
			    bool *counted)
{
	int found;

	memset(counted, 0, count * sizeof(*counted));
	if (is_explained(quarantine, suspects, count))
		return -1;
	for (uint32_t i = 0; i < count; i++)
		counted[i] =
			count_suspect(quarantine, &suspects[i], crash, now);
	found = find_cause(quarantine, suspects, count, crash, now);
	if (found < 0)
		return -1;
	for (uint32_t i = 0; i < count; i++) {
		if ((int)i != found)
			part_quarantine_explained(quarantine, suspects[i].part,
						  now);
	}
	hold(find_entry(quarantine, suspects[found].part), now);
	return found;
}

void part_quarantine_explained(part_quarantine_t *quarantine, uint64_t part,
			       int64_t now)
{
	part_entry_t *entry = find_entry(quarantine, part);

	if (entry == NULL || entry->held)
		return;
	add_score(entry, 0, now);
	entry->score = MIN(entry->score, SCORE_EXPLAINED);
}

part_news_t part_quarantine_survived(part_quarantine_t *quarantine,
				     uint64_t part, bool told, int64_t now)
{
	part_entry_t *entry = find_entry(quarantine, part);
	double before;

	if (entry == NULL && told)
		return PART_NO_NEWS;
	entry = touch_entry(quarantine, part, false);
	before = score_at(entry, now);
	add_score(entry, -1, now);
	if (entry->held && (entry->probed || entry->score <= 0)) {
		release(entry, now);
		return PART_RELEASED;
	}
	if (told || entry->crash_count == 0 ||
	    now - entry->crashed_at > CRASH_NEWS_MS || before < SCORE_CLEAR)
		return PART_NO_NEWS;
	return PART_NEWS;
}

bool part_quarantine_begin_probe(part_quarantine_t *quarantine, uint64_t part,
				 int64_t now)
{
	part_entry_t *entry = find_entry(quarantine, part);

	if (entry_state(quarantine, entry, now) != PART_PROBE_DUE)
		return false;
	hold(entry, now);
	entry->probed = true;
	return true;
}

bool part_quarantine_probe_unused(part_quarantine_t *quarantine, uint64_t part,
				  int64_t now)
{
	part_entry_t *entry = find_entry(quarantine, part);

	if (entry == NULL || !entry->held || !entry->probed)
		return false;
	entry->probed = false;
	entry->strikes--;
	entry->until = now + PROBE_RETRY_MS;
	return true;
}

bool part_quarantine_sentence(const part_quarantine_t *quarantine,
			      uint64_t part, int64_t now,
			      part_sentence_t *sentence)
{
	const part_entry_t *entry = find_entry(quarantine, part);

	if (entry == NULL || !entry->held)
		return false;
	sentence->part = part;
	sentence->left_ms = MAX(entry->until - now, 0);
	sentence->age_ms = now - entry->decided_at;
	sentence->strikes = entry->strikes;
	return true;
}

uint32_t part_quarantine_list(const part_quarantine_t *quarantine, int64_t now,
			      part_sentence_t *list, uint32_t max)
{
	const GList *link = quarantine->suspected.tail;
	uint32_t count = 0;

	for (; link != NULL && count < max; link = link->prev) {
		const part_entry_t *entry = link->data;

		if (part_quarantine_sentence(quarantine, entry->id, now,
					     &list[count]))
			count++;
	}
	return count;
}

/*
 * An instance that was cut off from the targets takes them for crashed, and
 * tells of its quarantines when it is connected again.
 */
static bool is_disproved(const part_entry_t *entry, int64_t age_ms,
			 int64_t decided_at, int64_t now)
{
	if (entry->released && decided_at <= entry->released_at)
		return true;
	return !entry->held && age_ms > QUARANTINE_NEWS_MS &&
	       score_at(entry, now) < SCORE_CLEAR;
}

bool part_quarantine_adopt(part_quarantine_t *quarantine,
			   const part_sentence_t *sentence, int64_t now)
{
	part_entry_t *entry = find_entry(quarantine, sentence->part);
	int64_t left = CLAMP(sentence->left_ms, 0, PART_QUARANTINE_MAX_MS);
	int64_t decided_at = now - MAX(sentence->age_ms, 0);
	bool added;

	if (entry != NULL &&
	    is_disproved(entry, sentence->age_ms, decided_at, now))
		return false;
	entry = touch_entry(quarantine, sentence->part, true);
	added = !entry->held;
	entry->until = added ? now + left : MAX(entry->until, now + left);
	entry->decided_at =
		added ? decided_at : MAX(entry->decided_at, decided_at);
	entry->strikes =
		MIN(MAX(entry->strikes, sentence->strikes), PART_STRIKES_MAX);
	entry->held = true;
	if (added) {
		add_score(entry, 0, now);
		entry->score = MAX(entry->score, SCORE_QUARANTINE);
	}
	return added;
}

bool part_quarantine_release(part_quarantine_t *quarantine, uint64_t part,
			     int64_t now)
{
	part_entry_t *entry = find_entry(quarantine, part);

	if (entry != NULL && entry->held) {
		release(entry, now);
		return true;
	}
	/* The release may have overtaken the quarantine. */
	entry = touch_entry(quarantine, part, false);
	entry->released = true;
	entry->released_at = now;
	return false;
}
