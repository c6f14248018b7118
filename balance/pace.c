#include "balance/pace.h"

#include <string.h>

/*
 * Answers of equal targets differ by their prompts and by chance: up to the
 * first factor they are as fast, beyond the second one slow.
 */
#define FAST_FACTOR 1.5
#define SLOW_FACTOR 3.0
#define NOISE_US (10 * USEC_PER_MSEC)
/*
 * Answers neither fast nor slow that widen the window as a fast one does: a
 * target that has cached no prompts, or is smaller than its peers, is slower
 * than they are without being in need.
 */
#define USUAL_PER_LEVEL 4
/*
 * Usual answers without news after which twice as many instances may send: the
 * first ones may have no requests for the target.  With fewer answers, many
 * would have sent before the first answer of a slow target.
 */
#define SILENT_ANSWERS 4
#define SILENCES_MAX 16
#define ANSWER_MIN_US (20 * USEC_PER_MSEC)

void pace_begin(pace_t *pace, int64_t now)
{
	memset(pace, 0, sizeof(*pace));
	pace->active = true;
	pace->news_at = now;
}

pace_answer_t pace_rate_answer(int64_t us, int64_t usual_us)
{
	double usual = (double)usual_us;

	if (usual_us == 0 || (double)us <= usual * FAST_FACTOR + NOISE_US)
		return PACE_FAST;
	return (double)us > usual * SLOW_FACTOR + NOISE_US ? PACE_SLOW
							   : PACE_USUAL;
}

static uint32_t window(uint32_t level)
{
	return 2U << MIN(level, 24);
}

/* Each side of a partition uses its part of the window, one at least. */
static uint32_t local_window(const pace_t *pace, const pace_place_t *place)
{
	double share = (double)place->reached /
		       MAX(place->instances, MAX(place->reached, 1));

	return MAX((uint32_t)(window(pace->level) * share), 1);
}

bool pace_is_open(const pace_t *pace, const pace_place_t *place, int64_t now)
{
	uint32_t all = local_window(pace, place);
	uint32_t reached = MAX(place->reached, 1);
	uint32_t part = all / reached + (place->rank < all % reached);
	/* Those that come first may have no requests for the target. */
	uint32_t allowed = MAX(part, pace->sends ? 1 : 0);
	int64_t silence = MAX(place->answer_us, ANSWER_MIN_US) * SILENT_ANSWERS;
	int64_t silences = (now - pace->news_at) / silence;

	if (!pace->active || place->outstanding < allowed)
		return true;
	return allowed == 0 && place->outstanding == 0 &&
	       place->rank < (uint64_t)all << CLAMP(silences, 0, SILENCES_MAX);
}

static void set_level(pace_t *pace, uint32_t level, uint32_t room, int64_t now)
{
	pace->level = level;
	pace->usual = 0;
	pace->news_at = now;
	if (level >= PACE_FREE || window(level) >= room)
		pace->active = false;
}

bool pace_answered(pace_t *pace, pace_answer_t answer, int64_t sent_at,
		   uint32_t room, int64_t now)
{
	if (!pace->active || sent_at < pace->news_at)
		return false;
	switch (answer) {
	case PACE_USUAL:
		if (++pace->usual < USUAL_PER_LEVEL)
			return false;
		G_GNUC_FALLTHROUGH;
	case PACE_FAST:
		pace->sends = true;
		set_level(pace, pace->level + 1, room, now);
		return true;
	case PACE_SLOW:
	case PACE_FAILED:
		pace->sends = false;
		/* At level 0, the others wait for longer. */
		set_level(pace, MAX(pace->level, 1) - 1, room, now);
		return true;
	}
	return false;
}

void pace_told(pace_t *pace, uint32_t level, uint32_t room, int64_t now)
{
	if (pace->active)
		set_level(pace, level, room, now);
}
