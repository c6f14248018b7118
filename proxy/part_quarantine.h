/*
 * Quarantine of prompt parts that crash the targets which begin to answer
 * requests with them.  A part is scored by crashes with it against responses
 * with it that went on, both aged.  Several parts occur in each crash: one at
 * most is quarantined for it, the one with the highest score and, of equal
 * scores, the one furthest back in its prompt, which the fewest other requests
 * share.
 *
 * After its quarantine, one request of the fleet probes a part and begins the
 * next quarantine, four times as long, which ends if the probe is answered.
 *
 * Times are in ms, of any clock, but of the same one in all calls.
 */
#ifndef PROXY_PART_QUARANTINE_H
#define PROXY_PART_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Crashes of several targets within this time count once: a rack or a network
 * that fails takes many targets down at the same moment.
 */
#define CRASH_SPACING_MS 100
#define PARTS_SCORED_MAX 512
#define PART_QUARANTINE_MIN_MS ((int64_t)10 * 60 * 1000)
#define PART_QUARANTINE_MAX_MS ((int64_t)24 * 3600 * 1000)
#define PART_STRIKES_MAX 8

typedef struct part_quarantine_t {
	GHashTable *entries; /* id -> part_entry_t */
	GQueue trusted; /* entries without crashes, oldest use first */
	GQueue suspected; /* entries with crashes, oldest use first */
	/* Added to each quarantine, so that few instances probe at once. */
	int64_t stagger_ms;
} part_quarantine_t;

typedef enum part_state_t {
	PART_ALLOWED,
	PART_QUARANTINED,
	PART_PROBE_DUE, /* one request may be sent */
} part_state_t;

/* What a response that went on changes. */
typedef enum part_news_t {
	PART_NO_NEWS,
	PART_NEWS, /* other instances have counted a crash with the part */
	PART_RELEASED, /* the quarantine has ended */
} part_news_t;

/* A quarantine as told to other instances. */
typedef struct part_sentence_t {
	uint64_t part;
	int64_t left_ms;
	int64_t age_ms; /* since it was decided */
	uint32_t strikes; /* quarantines of the part so far */
} part_sentence_t;

/* A part of a request that may have caused a crash. */
typedef struct part_suspect_t {
	uint64_t part;
	uint64_t request; /* hash of all of the request */
} part_suspect_t;

typedef struct part_crash_t {
	uint64_t target; /* hash of its id */
	uint64_t request; /* repeats of a request weigh less */
	double weight; /* 1 if the target had begun to answer the request */
	int64_t at;
} part_crash_t;

void part_quarantine_init(part_quarantine_t *quarantine, int64_t stagger_ms);
void part_quarantine_finish(part_quarantine_t *quarantine);

part_state_t part_quarantine_state(const part_quarantine_t *quarantine,
				   uint64_t part, int64_t now);
double part_quarantine_score(const part_quarantine_t *quarantine, uint64_t part,
			     int64_t now);

/*
 * Counts a crash for all parts of the requests that may have caused it, ordered
 * by their places in the prompts.  Sets counted[i] unless the crash was counted
 * before.  crash->request is ignored.  Returns the index of the part that is
 * quarantined, or -1.  Nothing is counted if a part that is in quarantine
 * explains the crash.
 */
int part_quarantine_crashed(part_quarantine_t *quarantine,
			    const part_suspect_t *suspects, uint32_t count,
			    const part_crash_t *crash, int64_t now,
			    bool *counted);
/* Counts a crash told by a peer, which decides what is quarantined for it. */
void part_quarantine_crash_told(part_quarantine_t *quarantine, uint64_t part,
				const part_crash_t *crash, int64_t now);
/* Lowers the score of a part whose crashes another part explains. */
void part_quarantine_explained(part_quarantine_t *quarantine, uint64_t part,
			       int64_t now);
/* Counts a response that went on, here or as told by a peer. */
part_news_t part_quarantine_survived(part_quarantine_t *quarantine,
				     uint64_t part, bool told, int64_t now);

/* Returns false if another request probes the part. */
bool part_quarantine_begin_probe(part_quarantine_t *quarantine, uint64_t part,
				 int64_t now);
/*
 * The request that probed the part did not run: another may soon.  Returns
 * false if the part is not being probed.
 */
bool part_quarantine_probe_unused(part_quarantine_t *quarantine, uint64_t part,
				  int64_t now);
/* Returns false if the part is not in quarantine. */
bool part_quarantine_sentence(const part_quarantine_t *quarantine,
			      uint64_t part, int64_t now,
			      part_sentence_t *sentence);
/* Writes quarantines in force and returns their number. */
uint32_t part_quarantine_list(const part_quarantine_t *quarantine, int64_t now,
			      part_sentence_t *list, uint32_t max);
/*
 * Applies a quarantine told by a peer, unless the part was released after it,
 * or the quarantine is old and responses with the part go on here.  Returns
 * whether it is new here.
 */
bool part_quarantine_adopt(part_quarantine_t *quarantine,
			   const part_sentence_t *sentence, int64_t now);
/*
 * Ends the quarantine of the part, and those decided before that are told
 * later.  Returns whether the part was in quarantine.
 */
bool part_quarantine_release(part_quarantine_t *quarantine, uint64_t part,
			     int64_t now);

G_END_DECLS

#endif
