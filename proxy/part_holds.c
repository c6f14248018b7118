#include "proxy/part_holds.h"

#include <string.h>

#define PROBE_RETRY_MS 60000 /* after a probe that did not run */
#define STRIKE_FACTOR_BITS 2 /* each quarantine is four times the last */
/* Responses with all of a set that end its quarantine. */
#define RESPONSES_RELEASE 3

typedef struct part_hold_t {
	handle_t self;
	part_set_t set;
	/* Bit i: a response that began since has shown parts[i] to be sound. */
	uint32_t cleared;
	bool held; /* false: released */
	bool own; /* decided by this instance */
	bool probed; /* a request of this instance probes the set */
	uint32_t against; /* responses with all of the set that went on */
	uint32_t strikes; /* quarantines so far */
	int64_t until; /* end of the quarantine, without stagger_ms */
	int64_t decided_at;
	int64_t released_at; /* the last time; INT64_MIN: never */
} part_hold_t;

G_STATIC_ASSERT(PART_SET_MAX <= 32); /* bits of part_hold_t.cleared */

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

static part_hold_t *next_hold(const part_holds_t *holds, uint32_t *cursor)
{
	return table_next(&holds->table, cursor, NULL);
}

static part_hold_t *find_hold(const part_holds_t *holds, const part_set_t *set)
{
	uint32_t cursor = 0;
	part_hold_t *hold;

	while ((hold = next_hold(holds, &cursor)) != NULL) {
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

static void remove_hold(part_holds_t *holds, part_hold_t *hold)
{
	set_held(holds, hold, false);
	table_remove(&holds->table, hold->self);
}

/* Sets in quarantine are kept as long as there are others. */
static part_hold_t *find_victim(const part_holds_t *holds)
{
	part_hold_t *victim = NULL, *hold;
	uint32_t cursor = 0;

	while ((hold = next_hold(holds, &cursor)) != NULL) {
		if (victim == NULL || (victim->held && !hold->held) ||
		    (victim->held == hold->held &&
		     hold->decided_at < victim->decided_at))
			victim = hold;
	}
	return victim;
}

static part_hold_t *find_or_add_hold(part_holds_t *holds, const part_set_t *set)
{
	part_hold_t *hold = find_hold(holds, set);
	handle_t self;

	if (hold != NULL)
		return hold;
	if (table_count(&holds->table) >= PART_HOLDS_MAX)
		remove_hold(holds, find_victim(holds));
	self = table_add(&holds->table, (void **)&hold);
	hold->self = self;
	hold->set = *set;
	hold->released_at = INT64_MIN;
	return hold;
}

/*
 * Responses outweigh the crashes of each of the parts here, and another
 * instance that does not know of them has decided: one that reaches no target
 * takes them for crashed.
 */
static bool is_doubted(const part_holds_t *holds, const part_hold_t *hold,
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
	return hold->held && !is_doubted(holds, hold, now);
}

/* Returns the next quarantine in force that holds back the request. */
static part_hold_t *next_in_force(const part_holds_t *holds, uint32_t *cursor,
				  const uint64_t *parts, uint32_t count,
				  int64_t now)
{
	part_hold_t *hold;

	if (holds->held == 0)
		return NULL;
	while ((hold = next_hold(holds, cursor)) != NULL) {
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
	};

	return sentence;
}

static void add_change(part_holds_t *holds, part_change_kind_t kind,
		       const part_hold_t *hold, part_origin_t origin,
		       int64_t now)
{
	part_change_t change = {
		.kind = kind,
		.origin = origin,
		.own = hold->own,
		.sentence = sentence_of(hold, now),
	};

	g_array_append_val(holds->changes, change);
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
	add_change(holds, PART_CHANGE_HELD, hold, PART_ORIGIN_HERE, now);
}

static void end(part_holds_t *holds, part_hold_t *hold, part_origin_t origin,
		int64_t now)
{
	for (uint32_t i = 0; i < hold->set.count; i++)
		part_scores_cleared(holds->scores, hold->set.parts[i], now);
	set_held(holds, hold, false);
	hold->probed = false;
	hold->released_at = now;
	add_change(holds, PART_CHANGE_RELEASED, hold, origin, now);
}

static part_set_t not_cleared(const part_hold_t *hold)
{
	part_set_t rest = {.count = 0};

	for (uint32_t i = 0; i < hold->set.count; i++) {
		if ((hold->cleared & (UINT32_C(1) << i)) == 0)
			part_set_add(&rest, hold->set.parts[i]);
	}
	return rest;
}

/* The parts of the rest explain the crashes with the others. */
static void explain_others(part_holds_t *holds, const part_set_t *set,
			   const part_set_t *rest, int64_t now)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (!part_set_contains(rest, set->parts[i]))
			part_scores_explained(holds->scores, set->parts[i],
					      now);
	}
}

/* The quarantine goes on for some of its parts. */
static void narrow(part_holds_t *holds, part_hold_t *hold,
		   const part_set_t *rest, part_origin_t origin, int64_t now)
{
	part_hold_t *other = find_hold(holds, rest);

	if (other != NULL && !other->held &&
	    other->released_at >= hold->decided_at)
		return;
	add_change(holds, PART_CHANGE_REPLACED, hold, origin, now);
	explain_others(holds, &hold->set, rest, now);
	if (other != NULL && other->held) {
		remove_hold(holds, hold);
		return;
	}
	if (other != NULL) {
		hold->strikes = MAX(hold->strikes, other->strikes);
		remove_hold(holds, other);
	}
	hold->set = *rest;
	hold->cleared = 0;
	hold->against = 0;
	add_change(holds, PART_CHANGE_HELD, hold, origin, now);
}

/*
 * Acts on the parts that responses have cleared.  If all were, no part alone
 * caused the crashes; should they go on, the set is held though.  The rest is
 * held by itself only if it has a part that has not been seen in sound
 * responses, as the crashes may have had another cause.
 */
static void weigh_cleared(part_holds_t *holds, part_hold_t *hold,
			  part_origin_t origin, int64_t now)
{
	part_set_t rest = not_cleared(hold);

	if (rest.count == hold->set.count)
		return;
	if (rest.count == 0) {
		if (hold->strikes <= 1)
			end(holds, hold, origin, now);
		return;
	}
	if (!part_scores_all_sound_lately(holds->scores, &rest, now))
		narrow(holds, hold, &rest, origin, now);
}

static void clear_parts(part_hold_t *hold, const uint64_t *parts,
			uint32_t count, int64_t began_at)
{
	if (began_at <= hold->decided_at)
		return;
	for (uint32_t i = 0; i < count; i++) {
		for (uint32_t j = 0; j < hold->set.count; j++) {
			if (hold->set.parts[j] == parts[i])
				hold->cleared |= UINT32_C(1) << j;
		}
	}
}

/* A response with all of the set went on. */
static void count_against(part_holds_t *holds, part_hold_t *hold,
			  int64_t began_at, part_origin_t origin, int64_t now)
{
	hold->against++;
	if (hold->probed || hold->against >= RESPONSES_RELEASE ||
	    (began_at > hold->decided_at && is_doubted(holds, hold, now)))
		end(holds, hold, origin, now);
}

bool part_holds_contain(const part_holds_t *holds, uint64_t part)
{
	uint32_t cursor = 0;
	const part_hold_t *hold;

	while ((hold = next_hold(holds, &cursor)) != NULL) {
		if (hold->held && part_set_contains(&hold->set, part))
			return true;
	}
	return false;
}

/* Whether a response with the part may change a quarantine of its set. */
bool part_holds_await(const part_holds_t *holds, uint64_t part, int64_t now)
{
	uint32_t cursor = 0;
	const part_hold_t *hold;

	if (holds->held == 0)
		return false;
	while ((hold = next_hold(holds, &cursor)) != NULL) {
		part_set_t rest = not_cleared(hold);

		if (hold->held && part_set_contains(&rest, part) &&
		    (hold->set.count > 1 || is_doubted(holds, hold, now)))
			return true;
	}
	return false;
}

/* Applies a response to the quarantines of sets with any of these parts. */
void part_holds_weigh(part_holds_t *holds, const uint64_t *parts,
		      uint32_t count, int64_t began_at, part_origin_t origin,
		      int64_t now)
{
	uint32_t cursor = 0;
	part_hold_t *hold;

	if (holds->held == 0)
		return;
	while ((hold = next_hold(holds, &cursor)) != NULL) {
		if (!hold->held)
			continue;
		if (part_set_is_within(&hold->set, parts, count)) {
			count_against(holds, hold, began_at, origin, now);
			continue;
		}
		clear_parts(hold, parts, count, began_at);
		weigh_cleared(holds, hold, origin, now);
	}
}

static bool is_larger(const part_hold_t *hold, const part_set_t *set)
{
	return hold->held && hold->set.count > set->count &&
	       part_set_includes(&hold->set, set);
}

void part_holds_begin(part_holds_t *holds, const part_set_t *set, int64_t now)
{
	uint32_t cursor = 0;
	part_hold_t *hold;

	while ((hold = next_hold(holds, &cursor)) != NULL) {
		if (!is_larger(hold, set))
			continue;
		add_change(holds, PART_CHANGE_REPLACED, hold, PART_ORIGIN_HERE,
			   now);
		explain_others(holds, &hold->set, set, now);
		remove_hold(holds, hold);
	}
	hold = find_or_add_hold(holds, set);
	/* It was told, but not in force here: this is the same quarantine. */
	if (hold->held && hold->strikes > 0)
		hold->strikes--;
	begin(holds, hold, now);
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

bool part_holds_explain(const part_holds_t *holds, uint64_t part,
			uint64_t request, int64_t now,
			part_sentence_t *sentence)
{
	uint32_t cursor = 0;
	const part_hold_t *hold;

	while ((hold = next_hold(holds, &cursor)) != NULL) {
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
	const part_hold_t *hold = find_hold(holds, set);

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

	while (count < max && (hold = next_hold(holds, &cursor)) != NULL) {
		if (is_in_force(holds, hold, now))
			list[count++] = sentence_of(hold, now);
	}
	return count;
}

/* Applies a quarantine that is new here, or the next one of its set. */
static void begin_told(part_holds_t *holds, part_hold_t *hold,
		       int64_t decided_at, int64_t now)
{
	uint32_t cursor = 0;
	part_hold_t *other;

	hold->decided_at = decided_at;
	hold->cleared = 0;
	hold->against = 0;
	if (hold->held)
		return;
	hold->own = false;
	hold->probed = false;
	hold->until = INT64_MIN;
	set_held(holds, hold, true);
	/* Larger sets stay: the peer may be wrong. */
	while ((other = next_hold(holds, &cursor)) != NULL) {
		if (is_larger(other, &hold->set))
			explain_others(holds, &other->set, &hold->set, now);
	}
}

static void clear_sound_parts(const part_holds_t *holds, part_hold_t *hold)
{
	for (uint32_t i = 0; i < hold->set.count; i++) {
		if (part_scores_sound_since(holds->scores, hold->set.parts[i],
					    hold->decided_at))
			hold->cleared |= UINT32_C(1) << i;
	}
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
		begin_told(holds, hold, decided_at, now);
	hold->until = MAX(hold->until, now + left);
	hold->strikes =
		MIN(MAX(hold->strikes, sentence->strikes), PART_STRIKES_MAX);
	if (added)
		add_change(holds, PART_CHANGE_HELD, hold, PART_ORIGIN_TOLD,
			   now);
	clear_sound_parts(holds, hold);
	weigh_cleared(holds, hold, origin, now);
}

void part_holds_release(part_holds_t *holds, const part_set_t *set, int64_t now)
{
	part_hold_t *hold = find_hold(holds, set);

	if (hold != NULL && hold->held) {
		end(holds, hold, PART_ORIGIN_TOLD, now);
		return;
	}
	/* The release may have overtaken the quarantine. */
	find_or_add_hold(holds, set)->released_at = now;
}
