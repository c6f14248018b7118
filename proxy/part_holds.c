#include "proxy/part_hold.h"

#include <string.h>

#define PROBE_RETRY_MS 60000 /* after a probe that did not run */
#define STRIKE_FACTOR_BITS 2 /* each quarantine is four times the last */

void part_holds_init(part_holds_t *holds, part_scores_t *scores,
		     int64_t stagger_ms)
{
	memset(holds, 0, sizeof(*holds));
	holds->scores = scores;
	table_init(&holds->table, sizeof(part_hold_t));
	holds->changes = g_array_new(FALSE, FALSE, sizeof(part_change_t));
	holds->stagger_ms = stagger_ms;
}

void part_holds_finish(part_holds_t *holds)
{
	table_finish(&holds->table);
	g_array_unref(holds->changes);
	memset(holds, 0, sizeof(*holds));
}

bool part_holds_next_change(part_holds_t *holds, part_change_t *change)
{
	if (holds->changes->len == 0)
		return false;
	*change = g_array_index(holds->changes, part_change_t, 0);
	g_array_remove_index(holds->changes, 0);
	return true;
}

part_hold_t *part_hold_next(const part_holds_t *holds, uint32_t *cursor)
{
	return table_next(&holds->table, cursor, NULL);
}

part_hold_t *part_hold_find(const part_holds_t *holds, const part_set_t *set)
{
	uint32_t cursor = 0;
	part_hold_t *hold;

	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (part_set_equal(&hold->set, set))
			return hold;
	}
	return NULL;
}

static void set_held(part_holds_t *holds, part_hold_t *hold, bool held)
{
	if (held && !hold->held)
		holds->held++;
	if (!held && hold->held)
		holds->held--;
	hold->held = held;
}

void part_hold_remove(part_holds_t *holds, part_hold_t *hold)
{
	set_held(holds, hold, false);
	table_remove(&holds->table, hold->self);
}

/* Sets in quarantine are kept as long as there are others. */
static part_hold_t *find_victim(const part_holds_t *holds)
{
	part_hold_t *victim = NULL, *hold;
	uint32_t cursor = 0;

	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (victim == NULL || (victim->held && !hold->held) ||
		    (victim->held == hold->held &&
		     hold->decided_at < victim->decided_at))
			victim = hold;
	}
	return victim;
}

static part_hold_t *find_or_add_hold(part_holds_t *holds, const part_set_t *set)
{
	part_hold_t *hold = part_hold_find(holds, set);
	handle_t self;

	if (hold != NULL)
		return hold;
	if (table_count(&holds->table) >= PART_HOLDS_MAX)
		part_hold_remove(holds, find_victim(holds));
	self = table_add(&holds->table, (void **)&hold);
	hold->self = self;
	hold->set = *set;
	hold->released_at = INT64_MIN;
	return hold;
}

bool part_hold_is_doubted(const part_holds_t *holds, const part_hold_t *hold,
			  int64_t now)
{
	const part_scores_t *scores = holds->scores;

	if (hold->own)
		return false;
	for (uint32_t i = 0; i < hold->set.count; i++) {
		uint64_t part = hold->set.parts[i];

		if (!part_scores_sound_lately(scores, part, now) ||
		    part_scores_is_high(scores, part, now))
			return false;
	}
	return true;
}

static bool is_in_force(const part_holds_t *holds, const part_hold_t *hold,
			int64_t now)
{
	return hold->held && !part_hold_is_doubted(holds, hold, now);
}

/* Returns the next quarantine in force that holds back the request. */
static part_hold_t *next_in_force(const part_holds_t *holds, uint32_t *cursor,
				  const uint64_t *parts, uint32_t count,
				  int64_t now)
{
	part_hold_t *hold;

	if (holds->held == 0)
		return NULL;
	while ((hold = part_hold_next(holds, cursor)) != NULL) {
		if (hold->held &&
		    part_set_is_within(&hold->set, parts, count) &&
		    is_in_force(holds, hold, now))
			return hold;
	}
	return NULL;
}

static bool is_due(const part_holds_t *holds, const part_hold_t *hold,
		   int64_t now)
{
	return now >= hold->until + holds->stagger_ms;
}

part_state_t part_holds_state(const part_holds_t *holds, const uint64_t *parts,
			      uint32_t count, int64_t now)
{
	part_state_t state = PART_ALLOWED;
	const part_hold_t *hold;
	uint32_t cursor = 0;

	while ((hold = next_in_force(holds, &cursor, parts, count, now)) !=
	       NULL) {
		if (!is_due(holds, hold, now))
			return PART_QUARANTINED;
		state = PART_PROBE_DUE;
	}
	return state;
}

bool part_holds_reason(const part_holds_t *holds, const uint64_t *parts,
		       uint32_t count, int64_t now, part_set_t *set)
{
	uint32_t cursor = 0;
	const part_hold_t *hold =
		next_in_force(holds, &cursor, parts, count, now);

	if (hold == NULL)
		return false;
	*set = hold->set;
	return true;
}

static part_sentence_t sentence_of(const part_hold_t *hold, int64_t now)
{
	part_sentence_t sentence = {
		.set = hold->set,
		.left_ms = MAX(hold->until - now, 0),
		.age_ms = now - hold->decided_at,
		.strikes = hold->strikes,
		.decided = {hold->decided.target,
			    (uint64_t)MAX(now - hold->decided.at, 0)},
	};

	for (uint32_t i = 0; i < MIN(hold->crash_count, PART_CRASHES_MAX);
	     i++) {
		const known_crash_t *known = &hold->crashes[i];

		sentence.crashes.list[sentence.crashes.count++] =
			(part_crashed_t){known->target,
					 (uint64_t)MAX(now - known->at, 0)};
	}
	return sentence;
}

part_change_t *part_hold_add_change(part_holds_t *holds,
				    part_change_kind_t kind,
				    const part_hold_t *hold,
				    part_origin_t origin, int64_t now)
{
	part_change_t change = {
		.kind = kind,
		.origin = origin,
		.own = hold->own,
		.sentence = sentence_of(hold, now),
	};

	g_array_append_val(holds->changes, change);
	return &g_array_index(holds->changes, part_change_t,
			      holds->changes->len - 1);
}

static void begin(part_holds_t *holds, part_hold_t *hold, int64_t now)
{
	int64_t length = PART_QUARANTINE_MIN_MS
			 << (STRIKE_FACTOR_BITS * hold->strikes);

	set_held(holds, hold, true);
	hold->own = true;
	hold->probed = false;
	hold->cleared = 0;
	hold->against = 0;
	hold->until = now + MIN(length, PART_QUARANTINE_MAX_MS);
	hold->decided_at = now;
	if (hold->strikes < PART_STRIKES_MAX)
		hold->strikes++;
	part_hold_add_change(holds, PART_CHANGE_HELD, hold, PART_ORIGIN_HERE,
			     now);
}

void part_hold_end(part_holds_t *holds, part_hold_t *hold, part_origin_t origin,
		   int64_t now)
{
	for (uint32_t i = 0; i < hold->set.count; i++)
		part_scores_cleared(holds->scores, hold->set.parts[i], now);
	set_held(holds, hold, false);
	hold->probed = false;
	hold->released_at = now;
	part_hold_add_change(holds, PART_CHANGE_RELEASED, hold, origin, now);
}

static bool is_larger(const part_hold_t *hold, const part_set_t *set)
{
	return hold->held && hold->set.count > set->count &&
	       part_set_includes(&hold->set, set);
}

static bool knows_crash(const part_hold_t *hold, uint64_t target, int64_t at)
{
	for (uint32_t i = 0; i < MIN(hold->crash_count, PART_CRASHES_MAX);
	     i++) {
		const known_crash_t *known = &hold->crashes[i];

		if (known->target == target &&
		    ABS(known->at - at) < SAME_CRASH_MS)
			return true;
	}
	return false;
}

static void note_crash(part_hold_t *hold, uint64_t target, int64_t at)
{
	if (target != 0 && !knows_crash(hold, target, at))
		hold->crashes[hold->crash_count++ % PART_CRASHES_MAX] =
			(known_crash_t){target, at};
}

/* Notes the crash that decides, and those counted before for all of the set. */
static void note_crashes(const part_holds_t *holds, part_hold_t *hold,
			 const part_crash_t *crash)
{
	part_crash_t list[CRASHES_KEPT];
	uint32_t count =
		part_scores_common_crashes(holds->scores, &hold->set, list);

	hold->crash_count = 0;
	for (uint32_t i = 0; i < count; i++)
		note_crash(hold, list[i].target, list[i].at);
	note_crash(hold, crash->target, crash->at);
}

/* Whether the larger set explains the crash for which this one was decided. */
static bool is_explained_by(const part_hold_t *hold, const part_hold_t *larger)
{
	return hold->decided.target != 0 &&
	       knows_crash(larger, hold->decided.target, hold->decided.at);
}

/*
 * Ends the quarantine in favour of that of a larger set: it was decided for a
 * request that was only beside the one which crashed the target.
 */
static void yield_to(part_holds_t *holds, part_hold_t *hold,
		     const part_hold_t *larger, int64_t now)
{
	bool own = hold->own;
	part_change_t *change;

	part_scores_level(holds->scores, &larger->set, now);
	part_hold_add_change(holds, PART_CHANGE_REPLACED, hold,
			     PART_ORIGIN_TOLD, now);
	part_hold_remove(holds, hold);
	change = part_hold_add_change(holds, PART_CHANGE_HELD, larger,
				      PART_ORIGIN_TOLD, now);
	/* Its record was removed when the smaller set replaced it. */
	change->own = change->own || own;
}

/* Ends the quarantines of smaller sets that this one explains. */
static void replace_smaller(part_holds_t *holds, const part_hold_t *larger,
			    int64_t now)
{
	uint32_t cursor = 0;
	part_hold_t *hold;

	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (hold->held && is_larger(larger, &hold->set) &&
		    is_explained_by(hold, larger))
			yield_to(holds, hold, larger, now);
	}
}

/* Returns whether a larger set explains this one, which has ended then. */
static bool is_replaced(part_holds_t *holds, part_hold_t *hold, int64_t now)
{
	uint32_t cursor = 0;
	const part_hold_t *larger;

	while ((larger = part_hold_next(holds, &cursor)) != NULL) {
		if (!is_larger(larger, &hold->set) ||
		    !is_explained_by(hold, larger))
			continue;
		yield_to(holds, hold, larger, now);
		return true;
	}
	return false;
}

bool part_holds_begin(part_holds_t *holds, const part_set_t *set,
		      const part_crash_t *crash, int64_t now)
{
	uint32_t cursor = 0;
	part_hold_t *hold;

	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (is_larger(hold, set) &&
		    knows_crash(hold, crash->target, crash->at))
			return false;
	}
	cursor = 0;
	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (!is_larger(hold, set))
			continue;
		part_hold_add_change(holds, PART_CHANGE_REPLACED, hold,
				     PART_ORIGIN_HERE, now);
		part_hold_explain_others(holds, &hold->set, set, now);
		part_hold_remove(holds, hold);
	}
	hold = find_or_add_hold(holds, set);
	/* It was told, but not in force here: this is the same quarantine. */
	if (hold->held && hold->strikes > 0)
		hold->strikes--;
	hold->decided = (known_crash_t){crash->target, crash->at};
	note_crashes(holds, hold, crash);
	part_scores_explain_by(holds->scores, set, now);
	begin(holds, hold, now);
	return true;
}

bool part_holds_explain_crash(part_holds_t *holds, const uint64_t *parts,
			      uint32_t count, const part_crash_t *crash,
			      int64_t now)
{
	uint32_t cursor = 0;
	bool explained = false;
	part_hold_t *hold;

	while ((hold = next_in_force(holds, &cursor, parts, count, now)) !=
	       NULL) {
		explained = true;
		if (hold->set.count < 2 ||
		    knows_crash(hold, crash->target, crash->at))
			continue;
		note_crash(hold, crash->target, crash->at);
		part_hold_add_change(holds, PART_CHANGE_CRASHED, hold,
				     PART_ORIGIN_HERE, now);
		replace_smaller(holds, hold, now);
	}
	return explained;
}

/*
 * Whether the request is known to have crashed a target with all of the set.
 * The part is one of it.
 */
static bool is_crash_of(const part_holds_t *holds, const part_set_t *set,
			uint64_t part, uint64_t request)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (set->parts[i] != part &&
		    !part_scores_has_request(holds->scores, set->parts[i],
					     request))
			return false;
	}
	return true;
}

bool part_holds_missed(const part_holds_t *holds, uint64_t part,
		       uint64_t request, int64_t now, part_sentence_t *sentence)
{
	uint32_t cursor = 0;
	const part_hold_t *hold;

	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (!part_set_contains(&hold->set, part) ||
		    !is_in_force(holds, hold, now) ||
		    !is_crash_of(holds, &hold->set, part, request))
			continue;
		*sentence = sentence_of(hold, now);
		return true;
	}
	return false;
}

uint32_t part_holds_begin_probe(part_holds_t *holds, const uint64_t *parts,
				uint32_t count, int64_t now)
{
	uint32_t cursor = 0, begun = 0;
	part_hold_t *hold;

	while ((hold = next_in_force(holds, &cursor, parts, count, now)) !=
	       NULL) {
		if (!is_due(holds, hold, now))
			continue;
		begin(holds, hold, now);
		hold->probed = true;
		begun++;
	}
	return begun;
}

uint32_t part_holds_probe_unused(part_holds_t *holds, const uint64_t *parts,
				 uint32_t count, int64_t now)
{
	uint32_t cursor = 0, unused = 0;
	part_hold_t *hold;

	while ((hold = next_in_force(holds, &cursor, parts, count, now)) !=
	       NULL) {
		if (!hold->probed)
			continue;
		hold->probed = false;
		hold->strikes--;
		hold->until = now + PROBE_RETRY_MS;
		unused++;
	}
	return unused;
}

bool part_holds_sentence(const part_holds_t *holds, const part_set_t *set,
			 int64_t now, part_sentence_t *sentence)
{
	const part_hold_t *hold = part_hold_find(holds, set);

	if (hold == NULL || !hold->held)
		return false;
	*sentence = sentence_of(hold, now);
	return true;
}

uint32_t part_holds_list(const part_holds_t *holds, int64_t now,
			 part_sentence_t *list, uint32_t max)
{
	uint32_t cursor = 0, count = 0;
	const part_hold_t *hold;

	while (count < max && (hold = part_hold_next(holds, &cursor)) != NULL) {
		if (is_in_force(holds, hold, now))
			list[count++] = sentence_of(hold, now);
	}
	return count;
}

/* Applies a quarantine that is new here, or the next one of its set. */
static void begin_told(part_holds_t *holds, part_hold_t *hold,
		       int64_t decided_at)
{
	hold->decided_at = decided_at;
	hold->cleared = 0;
	hold->against = 0;
	if (hold->held)
		return;
	hold->crash_count = 0;
	hold->own = false;
	hold->probed = false;
	hold->until = INT64_MIN;
	set_held(holds, hold, true);
}

static void clear_sound_parts(const part_holds_t *holds, part_hold_t *hold)
{
	for (uint32_t i = 0; i < hold->set.count; i++) {
		if (part_scores_sound_since(holds->scores, hold->set.parts[i],
					    hold->decided_at))
			hold->cleared |= UINT32_C(1) << i;
	}
}

/* Larger sets stay: the peer may be wrong. */
static void explain_crashes(part_holds_t *holds, const part_set_t *set,
			    int64_t now)
{
	uint32_t cursor = 0;
	const part_hold_t *hold;

	while ((hold = part_hold_next(holds, &cursor)) != NULL) {
		if (is_larger(hold, set))
			part_hold_explain_others(holds, &hold->set, set, now);
	}
	part_scores_explain_by(holds->scores, set, now);
}

static void note_told_crashes(part_hold_t *hold,
			      const part_sentence_t *sentence, int64_t now)
{
	for (uint32_t i = 0; i < sentence->crashes.count; i++)
		note_crash(hold, sentence->crashes.list[i].target,
			   now - (int64_t)sentence->crashes.list[i].age_ms);
}

void part_holds_adopt(part_holds_t *holds, const part_sentence_t *sentence,
		      part_origin_t origin, int64_t now)
{
	int64_t decided_at = now - MAX(sentence->age_ms, 0);
	int64_t left = CLAMP(sentence->left_ms, 0, PART_QUARANTINE_MAX_MS);
	part_hold_t *hold;
	bool added;

	if (sentence->set.count == 0)
		return;
	hold = find_or_add_hold(holds, &sentence->set);
	if (!hold->held && decided_at <= hold->released_at)
		return;
	added = !hold->held;
	if (added || sentence->strikes > hold->strikes)
		begin_told(holds, hold, decided_at);
	if (added)
		hold->decided = (known_crash_t){
			sentence->decided.target,
			now - (int64_t)sentence->decided.age_ms};
	hold->until = MAX(hold->until, now + left);
	hold->strikes =
		MIN(MAX(hold->strikes, sentence->strikes), PART_STRIKES_MAX);
	note_told_crashes(hold, sentence, now);
	if (added)
		part_hold_add_change(holds, PART_CHANGE_HELD, hold,
				     PART_ORIGIN_TOLD, now);
	replace_smaller(holds, hold, now);
	if (is_replaced(holds, hold, now))
		return;
	if (added)
		explain_crashes(holds, &hold->set, now);
	clear_sound_parts(holds, hold);
	part_hold_weigh_cleared(holds, hold, origin, now);
}

void part_holds_release(part_holds_t *holds, const part_set_t *set, int64_t now)
{
	part_hold_t *hold = part_hold_find(holds, set);

	/* Only the instance that decided is told by those that know better. */
	if (hold != NULL && hold->held) {
		part_hold_end(holds, hold,
			      hold->own ? PART_ORIGIN_HERE : PART_ORIGIN_TOLD,
			      now);
		return;
	}
	/* The release may have overtaken the quarantine. */
	find_or_add_hold(holds, set)->released_at = now;
}
