/*
 * Evidence on parts that prompts share.  A part is scored by crashes of targets
 * with it against responses with it that went on, both aged.  The table is
 * bounded.
 *
 * Times are in ms, of any clock, but of the same one in all calls.
 */
#ifndef PROXY_PART_SCORES_H
#define PROXY_PART_SCORES_H

#include "kernel/part_set.h"

G_BEGIN_DECLS

/*
 * Crashes of several targets within this time count once for what was sound
 * lately: a rack or a network that fails takes many targets down at the same
 * moment.
 */
#define CRASH_SPACING_MS 100
/* Reports of the same target within this time are of one crash. */
#define SAME_CRASH_MS 2000
#define PARTS_SCORED_MAX 512
#define CRASHES_KEPT 4 /* of a part */

typedef struct part_scores_t {
	GHashTable *entries; /* id -> part_entry_t */
	GQueue trusted; /* entries without crashes, oldest use first */
	GQueue suspected; /* entries with crashes, oldest use first */
} part_scores_t;

typedef struct part_crash_t {
	uint64_t target; /* hash of its id */
	uint64_t request; /* repeats of a request weigh less */
	double weight; /* 1 if the target had begun to answer the request */
	int64_t at;
} part_crash_t;

void part_scores_init(part_scores_t *scores);
void part_scores_finish(part_scores_t *scores);

double part_scores_get(const part_scores_t *scores, uint64_t part, int64_t now);
/* Returns whether the crash is new or weighs more than what was counted. */
bool part_scores_crashed(part_scores_t *scores, uint64_t part,
			 const part_crash_t *crash, int64_t now);
/*
 * Counts a response with the part that went on.  began_at is the time at which
 * the target began to write it.  Returns whether peers have counted a crash
 * that it speaks against.
 */
bool part_scores_survived(part_scores_t *scores, uint64_t part,
			  int64_t began_at, int64_t now);
/* Counts a response told by a peer. */
void part_scores_survival_told(part_scores_t *scores, uint64_t part,
			       int64_t began_at, int64_t now);
/* Lowers the score of a part whose crashes another part explains. */
void part_scores_explained(part_scores_t *scores, uint64_t part, int64_t now);
/*
 * Lowers the scores of other parts by the crashes that all parts of the set had
 * as well.
 */
void part_scores_explain_by(part_scores_t *scores, const part_set_t *set,
			    int64_t now);
/*
 * Writes the crashes, as far as they are kept, that all parts of the set had,
 * and returns their number.
 */
uint32_t part_scores_common_crashes(const part_scores_t *scores,
				    const part_set_t *set,
				    part_crash_t list[CRASHES_KEPT]);
/*
 * The set explains crashes that were put down to some of its parts: the others
 * are as suspect as these, unless they were sound lately.
 */
void part_scores_level(part_scores_t *scores, const part_set_t *set,
		       int64_t now);
/* Lowers the score of a part that turned out to be sound. */
void part_scores_cleared(part_scores_t *scores, uint64_t part, int64_t now);

/* Whether the score calls for a quarantine. */
bool part_scores_is_high(const part_scores_t *scores, uint64_t part,
			 int64_t now);
/*
 * Whether a crash of this weight may decide on the part.  A request that only
 * waited at the target shares parts with the one that crashed it, which another
 * instance knows: a weak crash decides nothing for a part with strong ones.
 */
bool part_scores_may_decide(const part_scores_t *scores, uint64_t part,
			    const part_crash_t *crash);
/* Whether a request with the part crashed a target, as far as is kept. */
bool part_scores_has_request(const part_scores_t *scores, uint64_t part,
			     uint64_t request);
/* Whether a response with the part began after this time and went on. */
bool part_scores_sound_since(const part_scores_t *scores, uint64_t part,
			     int64_t at);
/* Whether a response with the part went on in the last minutes. */
bool part_scores_sound_lately(const part_scores_t *scores, uint64_t part,
			      int64_t now);
bool part_scores_all_sound_lately(const part_scores_t *scores,
				  const part_set_t *set, int64_t now);
/*
 * Whether peers, which have counted a crash with the part, do not know that
 * responses with it went on before.  To be asked once for a crash.
 */
bool part_scores_is_unheard(const part_scores_t *scores, uint64_t part,
			    int64_t now);
/* Peers know now that responses with the part went on. */
void part_scores_heard(part_scores_t *scores, uint64_t part, int64_t now);
/* Returns the time since the last such response began, or -1. */
int64_t part_scores_sound_age(const part_scores_t *scores, uint64_t part,
			      int64_t now);

G_END_DECLS

#endif
