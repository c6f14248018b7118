#include "proxy/part_quarantine.h"

#define CRASH_MARGIN 1.05 /* the score of a crash, and of its ageing */

/* A part that may have caused a crash. */
typedef struct candidate_t {
	part_suspect_t suspect;
	uint32_t place; /* among all candidates */
	double score;
} candidate_t;

/* What the crashes point to in one request. */
typedef struct finding_t {
	part_set_t set;
	bool unknown; /* a part of it has not been seen in sound responses */
	double score; /* the highest one */
} finding_t;

void part_quarantine_init(part_quarantine_t *quarantine, int64_t stagger_ms)
{
	part_scores_init(&quarantine->scores);
	part_holds_init(&quarantine->holds, &quarantine->scores, stagger_ms);
	quarantine->own = (own_crash_t){.count = 0};
}

static void forget_own(own_crash_t *own)
{
	for (uint32_t i = 0; i < own->count; i++)
		g_free((uint64_t *)own->requests[i].parts);
	g_free(own->requests);
	*own = (own_crash_t){.count = 0};
}

void part_quarantine_finish(part_quarantine_t *quarantine)
{
	forget_own(&quarantine->own);
	part_holds_finish(&quarantine->holds);
	part_scores_finish(&quarantine->scores);
}

double part_quarantine_score(const part_quarantine_t *quarantine,
			     const part_set_t *set, int64_t now)
{
	double score = part_scores_get(&quarantine->scores, set->parts[0], now);

	for (uint32_t i = 1; i < set->count; i++)
		score = MAX(score, part_scores_get(&quarantine->scores,
						   set->parts[i], now));
	return score;
}

/* The highest score comes first and, of equal ones, the one furthest back. */
static gint compare_scores(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a, *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return (x->place < y->place) - (x->place > y->place);
}

static gint compare_places(gconstpointer a, gconstpointer b)
{
	const candidate_t *x = a, *y = b;

	return (x->place > y->place) - (x->place < y->place);
}

static void add_candidate(const part_quarantine_t *quarantine,
			  GArray *candidates, GHashTable *seen,
			  const part_request_t *request, uint32_t index,
			  int64_t now)
{
	uint64_t part = request->parts[index];
	candidate_t candidate = {
		.suspect = {.part = part, .request = request->request},
		.place = candidates->len,
		.score = part_scores_get(&quarantine->scores, part, now),
	};

	if (g_hash_table_add(seen, (gpointer)&request->parts[index]))
		g_array_append_val(candidates, candidate);
}

static void collect_suspects(const part_quarantine_t *quarantine,
			     const part_request_t *requests, uint32_t count,
			     int64_t now, part_suspects_t *suspects)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	uint32_t longest = 0;

	for (uint32_t i = 0; i < count; i++)
		longest = MAX(longest, requests[i].count);
	for (uint32_t place = 0; place < longest; place++) {
		for (uint32_t i = 0; i < count; i++) {
			if (place < requests[i].count)
				add_candidate(quarantine, candidates, seen,
					      &requests[i], place, now);
		}
	}
	if (candidates->len > CRASH_PARTS_MAX) {
		g_array_sort(candidates, compare_scores);
		g_array_set_size(candidates, CRASH_PARTS_MAX);
		g_array_sort(candidates, compare_places);
	}
	suspects->count = candidates->len;
	for (uint32_t i = 0; i < suspects->count; i++)
		suspects->list[i] =
			g_array_index(candidates, candidate_t, i).suspect;
	g_hash_table_unref(seen);
	g_array_unref(candidates);
}

/*
 * Whether the part is as suspect as the one with the best score.  Peers report
 * a crash part by part, so that one crash less may only be one not heard of
 * yet.
 */
static bool is_as_suspect(const part_scores_t *scores, uint64_t part,
			  double best, int64_t now)
{
	if (part_scores_is_high(scores, part, now))
		return true;
	return part_scores_get(scores, part, now) >= best - CRASH_MARGIN &&
	       !part_scores_sound_lately(scores, part, now);
}

static bool is_in_request(const part_request_t *request, uint64_t part)
{
	part_set_t set = part_set_of(part);

	return part_set_is_within(&set, request->parts, request->count);
}

/* Returns the highest score among the parts of the request that may decide. */
static double find_best_score(const part_scores_t *scores,
			      const part_request_t *request,
			      const part_suspects_t *suspects,
			      const part_crash_t *crash, int64_t now)
{
	double best = 0;

	for (uint32_t i = 0; i < suspects->count; i++) {
		uint64_t part = suspects->list[i].part;

		if (is_in_request(request, part) &&
		    part_scores_is_high(scores, part, now) &&
		    part_scores_may_decide(scores, part, crash))
			best = MAX(best, part_scores_get(scores, part, now));
	}
	return best;
}

/* Returns the parts of the request to which the crashes point. */
static finding_t find_causes(const part_scores_t *scores,
			     const part_request_t *request,
			     const part_suspects_t *suspects,
			     const part_crash_t *crash, int64_t now)
{
	finding_t finding = {.set = {.count = 0}};

	finding.score = find_best_score(scores, request, suspects, crash, now);
	for (uint32_t i = 0; finding.score > 0 && i < suspects->count; i++) {
		uint64_t part = suspects->list[i].part;

		if (is_in_request(request, part) &&
		    is_as_suspect(scores, part, finding.score, now))
			part_set_add(&finding.set, part);
	}
	finding.unknown =
		!part_scores_all_sound_lately(scores, &finding.set, now);
	return finding;
}

/* Of equal evidence, the larger set holds back fewer other requests. */
static bool is_better(const finding_t *finding, const finding_t *best)
{
	if (finding->unknown != best->unknown)
		return finding->unknown;
	if (finding->score != best->score)
		return finding->score > best->score;
	return finding->set.count > best->set.count;
}

/* Returns whether the quarantine of one of the requests explains the crash. */
static bool is_explained(part_quarantine_t *quarantine,
			 const part_request_t *requests, uint32_t count,
			 const part_crash_t *crash, int64_t now)
{
	bool explained = false;

	for (uint32_t i = 0; i < count; i++)
		explained |= part_holds_explain_crash(
			&quarantine->holds, requests[i].parts,
			requests[i].count, crash, now);
	return explained;
}

static void keep_own(own_crash_t *own, const part_request_t *requests,
		     uint32_t count, const part_crash_t *crash)
{
	forget_own(own);
	own->crash = *crash;
	own->count = count;
	own->requests = g_memdup2(requests, count * sizeof(*requests));
	for (uint32_t i = 0; i < count; i++)
		own->requests[i].parts =
			g_memdup2(requests[i].parts,
				  requests[i].count * sizeof(uint64_t));
}

/* Returns whether a quarantine began. */
static bool decide(part_quarantine_t *quarantine, int64_t now)
{
	own_crash_t *own = &quarantine->own;
	finding_t best = {.set = {.count = 0}};

	for (uint32_t i = 0; i < own->count; i++) {
		finding_t finding =
			find_causes(&quarantine->scores, &own->requests[i],
				    &own->suspects, &own->crash, now);

		if (finding.set.count > 0 && is_better(&finding, &best))
			best = finding;
	}
	if (best.set.count == 0 ||
	    !part_holds_begin(&quarantine->holds, &best.set, &own->crash, now))
		return false;
	for (uint32_t i = 0; i < own->suspects.count; i++) {
		part_suspect_t *suspect = &own->suspects.list[i];

		suspect->explained =
			!part_set_contains(&best.set, suspect->part);
		if (suspect->explained)
			part_quarantine_explained(quarantine, suspect->part,
						  now);
	}
	return true;
}

bool part_quarantine_crashed(part_quarantine_t *quarantine,
			     const part_request_t *requests, uint32_t count,
			     const part_crash_t *crash, int64_t now)
{
	own_crash_t *own = &quarantine->own;

	forget_own(own);
	if (is_explained(quarantine, requests, count, crash, now))
		return false;
	keep_own(own, requests, count, crash);
	collect_suspects(quarantine, requests, count, now, &own->suspects);
	for (uint32_t i = 0; i < own->suspects.count; i++) {
		part_suspect_t *suspect = &own->suspects.list[i];
		part_crash_t counted = *crash;

		counted.request = suspect->request;
		suspect->counted = part_scores_crashed(
			&quarantine->scores, suspect->part, &counted, now);
	}
	return decide(quarantine, now);
}

/* Whether a crash was seen here that those which are told may belong to. */
static bool has_recent(const own_crash_t *own, int64_t now)
{
	return own->count > 0 && now - own->crash.at <= SAME_CRASH_MS;
}

bool part_quarantine_crash_told(part_quarantine_t *quarantine, uint64_t part,
				const part_crash_t *crash, int64_t now)
{
	part_scores_crashed(&quarantine->scores, part, crash, now);
	return has_recent(&quarantine->own, now) &&
	       part_scores_is_high(&quarantine->scores, part, now);
}

bool part_quarantine_decide(part_quarantine_t *quarantine, int64_t now)
{
	const own_crash_t *own = &quarantine->own;

	return has_recent(own, now) &&
	       !is_explained(quarantine, own->requests, own->count, &own->crash,
			     now) &&
	       decide(quarantine, now);
}

bool part_quarantine_missed(const part_quarantine_t *quarantine, uint64_t part,
			    const part_crash_t *crash, int64_t now,
			    part_sentence_t *sentence)
{
	return part_holds_missed(&quarantine->holds, part, crash->request, now,
				 sentence);
}

void part_quarantine_explained(part_quarantine_t *quarantine, uint64_t part,
			       int64_t now)
{
	if (!part_holds_contain(&quarantine->holds, part))
		part_scores_explained(&quarantine->scores, part, now);
}

uint32_t part_quarantine_survived(part_quarantine_t *quarantine,
				  const uint64_t *parts, uint32_t count,
				  int64_t began_at, int64_t now, uint64_t *news)
{
	uint32_t told = 0;

	for (uint32_t i = 0; i < count; i++) {
		bool awaited =
			part_holds_await(&quarantine->holds, parts[i], now);

		if (part_scores_survived(&quarantine->scores, parts[i],
					 began_at, now) ||
		    awaited)
			news[told++] = parts[i];
	}
	part_holds_weigh(&quarantine->holds, parts, count, began_at,
			 PART_ORIGIN_HERE, now);
	return told;
}

void part_quarantine_survival_told(part_quarantine_t *quarantine, uint64_t part,
				   int64_t began_at, int64_t now)
{
	part_scores_survival_told(&quarantine->scores, part, began_at, now);
	part_holds_weigh(&quarantine->holds, &part, 1, began_at,
			 PART_ORIGIN_TOLD, now);
}
