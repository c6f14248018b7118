/*
 * Connects the quarantine of prompt parts to requests and to the peers.
 */
#include "proxy/exchange.h"

#include "kernel/hash.h"
#include "log/log.h"
#include "proxy/held.h"

#include <string.h>

/* Spread over which the instances of a fleet begin probes of a part. */
#define PROBE_STAGGER_MS 60000
/*
 * Longest time until peers are told that a response went on.  The first to
 * tell saves the others from telling the same.
 */
#define TELL_DELAY_MS 100
#define TELL_DELAY_INSTANCE_MS 2 /* added for each instance of the fleet */
/*
 * Parts counted for one crash, each of which is told to all peers.  Sound
 * requests share the parts beside the cause, so that it is among the ones with
 * the highest scores.
 */
#define CRASH_PARTS_MAX 32
#define PEER_SENTENCES_MAX 64 /* quarantines told to a new peer */
#define PERCENT 100
#define PART_FORMAT "%" G_GINT64_MODIFIER "x"

static const double weights[] = {
	[SUSPICION_NONE] = 0, [SUSPICION_WEAK] = 0.5, [SUSPICION_STRONG] = 1};

typedef struct candidate_t {
	part_suspect_t suspect;
	uint32_t place; /* among all candidates */
	double score;
} candidate_t;

/* Parts that may have caused a crash, ordered by their places in prompts. */
typedef struct crash_parts_t {
	part_suspect_t suspects[CRASH_PARTS_MAX];
	bool counted[CRASH_PARTS_MAX];
	uint32_t count;
} crash_parts_t;

static int64_t now_ms(const proxy_t *proxy)
{
	return kernel_now(proxy->kernel) / USEC_PER_MSEC;
}

static uint64_t hash_name(const char *name)
{
	return hash_rendezvous(name, "");
}

void parts_init(proxy_t *proxy)
{
	uint64_t hash = hash_rendezvous(proxy->opts.incarnation, "probe");

	part_quarantine_init(&proxy->parts, (int64_t)(hash % PROBE_STAGGER_MS));
}

static peer_body_t *new_report(part_event_t event, uint64_t part)
{
	peer_body_t *body = peer_body_new(PEER_PART_REPORT);

	body->u.part_report.event = event;
	body->u.part_report.part = part;
	return body;
}

static void tell(proxy_t *proxy, const char *incarnation, peer_body_t *body)
{
	kernel_post_peer(proxy->kernel, proxy->svc, proxy->peer, incarnation,
			 body);
}

static void tell_sentence(proxy_t *proxy, const char *incarnation,
			  const part_sentence_t *sentence)
{
	peer_body_t *body = new_report(PART_EVENT_HELD, sentence->part);

	body->u.part_report.left_ms = (uint64_t)sentence->left_ms;
	body->u.part_report.age_ms = (uint64_t)sentence->age_ms;
	body->u.part_report.strikes = sentence->strikes;
	tell(proxy, incarnation, body);
}

static void tell_crash(proxy_t *proxy, const part_suspect_t *part,
		       const suspect_t *suspect, const part_crash_t *crash)
{
	peer_body_t *body = new_report(PART_EVENT_CRASHED, part->part);

	body->u.part_report.request = part->request;
	g_strlcpy(body->u.part_report.target, suspect->instance,
		  sizeof(body->u.part_report.target));
	body->u.part_report.weight = (uint64_t)(crash->weight * PERCENT);
	body->u.part_report.age_ms = (uint64_t)(now_ms(proxy) - crash->at);
	tell(proxy, "", body);
}

static void log_held(proxy_t *proxy, const part_sentence_t *sentence,
		     const char *reporter, const char *target)
{
	metrics_add(proxy->kernel->metrics, COUNTER_PART_QUARANTINES, 1);
	log_event(LOG_LEVEL_WARN, "proxy", "part_quarantined",
		  "part=" PART_FORMAT " score=%.2f strikes=%u "
		  "left_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT
		  " reporter=%s target=%s",
		  sentence->part,
		  part_quarantine_score(&proxy->parts, sentence->part,
					now_ms(proxy)),
		  sentence->strikes, sentence->left_ms, sentence->age_ms,
		  reporter, target);
}

static void log_released(proxy_t *proxy, uint64_t part, const char *reporter)
{
	metrics_add(proxy->kernel->metrics, COUNTER_PART_RELEASES, 1);
	log_event(LOG_LEVEL_WARN, "proxy", "part_released",
		  "part=" PART_FORMAT " score=%.2f reporter=%s", part,
		  part_quarantine_score(&proxy->parts, part, now_ms(proxy)),
		  reporter);
}

bool parts_quarantined(const proxy_t *proxy, const exchange_spec_t *spec)
{
	for (uint32_t i = 0; i < exchange_shared_parts(spec); i++) {
		if (part_quarantine_state(&proxy->parts, spec->parts[i].id,
					  now_ms(proxy)) == PART_QUARANTINED)
			return true;
	}
	return false;
}

void parts_log_refused(const proxy_t *proxy, const exchange_spec_t *spec)
{
	for (uint32_t i = 0; i < exchange_shared_parts(spec); i++) {
		uint64_t part = spec->parts[i].id;

		if (part_quarantine_state(&proxy->parts, part, now_ms(proxy)) ==
		    PART_ALLOWED)
			continue;
		log_event(LOG_LEVEL_INFO, "proxy", "part_refused",
			  "request=%s part=" PART_FORMAT " score=%.2f",
			  log_quote(spec->request_id), part,
			  part_quarantine_score(&proxy->parts, part,
						now_ms(proxy)));
	}
}

static bool begin_probe(proxy_t *proxy, const exchange_spec_t *spec,
			uint64_t part)
{
	part_sentence_t sentence;

	if (!part_quarantine_begin_probe(&proxy->parts, part, now_ms(proxy)))
		return false;
	if (part_quarantine_sentence(&proxy->parts, part, now_ms(proxy),
				     &sentence)) {
		tell_sentence(proxy, "", &sentence);
		held_save_part(proxy, &sentence);
	}
	metrics_add(proxy->kernel->metrics, COUNTER_PART_PROBES, 1);
	log_event(LOG_LEVEL_WARN, "proxy", "part_probe",
		  "part=" PART_FORMAT " request=%s", part,
		  log_quote(spec->request_id));
	return true;
}

bool parts_admit(proxy_t *proxy, exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;

	exchange->probing = false;
	if (parts_quarantined(proxy, spec))
		return false;
	for (uint32_t i = 0; i < exchange_shared_parts(spec); i++) {
		uint64_t part = spec->parts[i].id;

		if (part_quarantine_state(&proxy->parts, part, now_ms(proxy)) !=
		    PART_PROBE_DUE)
			continue;
		if (!begin_probe(proxy, spec, part)) {
			parts_not_run(proxy, exchange);
			return false;
		}
		exchange->probing = true;
	}
	return true;
}

void parts_not_run(proxy_t *proxy, exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;

	if (!exchange->probing)
		return;
	exchange->probing = false;
	for (uint32_t i = 0; i < exchange_shared_parts(spec); i++) {
		if (!part_quarantine_probe_unused(
			    &proxy->parts, spec->parts[i].id, now_ms(proxy)))
			continue;
		log_event(LOG_LEVEL_INFO, "proxy", "part_probe_unused",
			  "part=" PART_FORMAT " request=%s", spec->parts[i].id,
			  log_quote(spec->request_id));
	}
}

static void add_candidate(const proxy_t *proxy, GArray *candidates,
			  GHashTable *seen, const suspect_t *suspect,
			  uint64_t *part)
{
	candidate_t candidate = {
		.suspect = {*part, hash_name(suspect->fingerprint)},
		.place = candidates->len,
		.score = part_quarantine_score(&proxy->parts, *part,
					       now_ms(proxy)),
	};

	if (g_hash_table_add(seen, part))
		g_array_append_val(candidates, candidate);
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

static void collect_parts(const proxy_t *proxy, crash_parts_t *list,
			  const suspect_t *const *suspects, uint32_t count)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	uint32_t longest = 0;

	for (uint32_t i = 0; i < count; i++)
		longest = MAX(longest, suspects[i]->part_count);
	for (uint32_t place = 0; place < longest; place++) {
		for (uint32_t i = 0; i < count; i++) {
			if (place < suspects[i]->part_count)
				add_candidate(proxy, candidates, seen,
					      suspects[i],
					      &suspects[i]->parts[place]);
		}
	}
	if (candidates->len > CRASH_PARTS_MAX) {
		g_array_sort(candidates, compare_scores);
		g_array_set_size(candidates, CRASH_PARTS_MAX);
		g_array_sort(candidates, compare_places);
	}
	list->count = candidates->len;
	for (uint32_t i = 0; i < list->count; i++)
		list->suspects[i] =
			g_array_index(candidates, candidate_t, i).suspect;
	g_hash_table_unref(seen);
	g_array_unref(candidates);
}

/* Counts the crash for the parts, and tells the peers. */
static int count_crash(proxy_t *proxy, crash_parts_t *list,
		       const suspect_t *suspect, const part_crash_t *crash)
{
	int cause = part_quarantine_crashed(&proxy->parts, list->suspects,
					    list->count, crash, now_ms(proxy),
					    list->counted);

	for (uint32_t i = 0; i < list->count; i++) {
		if (!list->counted[i])
			continue;
		tell_crash(proxy, &list->suspects[i], suspect, crash);
		metrics_add(proxy->kernel->metrics, COUNTER_PART_CRASHES, 1);
		log_event(LOG_LEVEL_INFO, "proxy", "part_crash",
			  "part=" PART_FORMAT " target=%s score=%.2f "
			  "weight=%.1f",
			  list->suspects[i].part, suspect->instance,
			  part_quarantine_score(&proxy->parts,
						list->suspects[i].part,
						now_ms(proxy)),
			  crash->weight);
	}
	return cause;
}

static void quarantine_part(proxy_t *proxy, const crash_parts_t *list,
			    int cause, const suspect_t *suspect)
{
	part_sentence_t sentence;

	if (!part_quarantine_sentence(&proxy->parts, list->suspects[cause].part,
				      now_ms(proxy), &sentence))
		return;
	log_held(proxy, &sentence, proxy->opts.incarnation, suspect->instance);
	tell_sentence(proxy, "", &sentence);
	held_save_part(proxy, &sentence);
	for (uint32_t i = 0; i < list->count; i++) {
		if ((int)i != cause)
			tell(proxy, "",
			     new_report(PART_EVENT_EXPLAINED,
					list->suspects[i].part));
	}
}

void parts_crashed(proxy_t *proxy, const suspect_t *const *suspects,
		   uint32_t count)
{
	crash_parts_t list = {0};
	part_crash_t crash = {
		.target = hash_name(suspects[0]->instance),
		.weight = weights[suspects[0]->suspicion],
		.at = suspects[0]->at / USEC_PER_MSEC,
	};
	int cause;

	collect_parts(proxy, &list, suspects, count);
	if (list.count == 0)
		return;
	cause = count_crash(proxy, &list, suspects[0], &crash);
	if (cause >= 0)
		quarantine_part(proxy, &list, cause, suspects[0]);
}

static void tell_later(proxy_t *proxy, uint64_t part)
{
	uint32_t delay = TELL_DELAY_MS;

	for (uint32_t i = 0; i < proxy->tell_count; i++) {
		if (proxy->tells[i].part == part)
			return;
	}
	if (proxy->tell_count == PART_TELLS_MAX)
		return;
	proxy->tells[proxy->tell_count++] = (part_tell_t){.part = part};
	if (!handle_is_none(proxy->tell_timer))
		return;
	delay += TELL_DELAY_INSTANCE_MS * proxy->instances;
	proxy->tell_timer = kernel_timer(
		proxy->kernel, proxy->svc,
		(int64_t)kernel_random_below(proxy->kernel, delay) *
			USEC_PER_MSEC,
		HANDLE_NONE, EXCHANGE_TIMER_TELL);
}

void parts_survived(proxy_t *proxy, exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;

	if (exchange->survived)
		return;
	exchange->survived = true;
	for (uint32_t i = 0; i < exchange_shared_parts(spec); i++) {
		uint64_t part = spec->parts[i].id;

		switch (part_quarantine_survived(&proxy->parts, part, false,
						 now_ms(proxy))) {
		case PART_NO_NEWS:
			break;
		case PART_NEWS:
			tell_later(proxy, part);
			break;
		case PART_RELEASED:
			log_released(proxy, part, proxy->opts.incarnation);
			tell(proxy, "", new_report(PART_EVENT_RELEASED, part));
			held_remove_part(proxy, part);
			break;
		}
	}
}

void parts_tell_survivals(proxy_t *proxy)
{
	proxy->tell_timer = HANDLE_NONE;
	for (uint32_t i = 0; i < proxy->tell_count; i++) {
		if (!proxy->tells[i].heard)
			tell(proxy, "",
			     new_report(PART_EVENT_SURVIVED,
					proxy->tells[i].part));
	}
	proxy->tell_count = 0;
}

void parts_tell_peer(proxy_t *proxy, const char *incarnation)
{
	part_sentence_t list[PEER_SENTENCES_MAX];
	uint32_t count = part_quarantine_list(&proxy->parts, now_ms(proxy),
					      list, PEER_SENTENCES_MAX);

	for (uint32_t i = 0; i < count; i++)
		tell_sentence(proxy, incarnation, &list[i]);
}

static void log_told(const proxy_t *proxy, const char *event, uint64_t part,
		     const char *reporter)
{
	log_event(LOG_LEVEL_DEBUG, "proxy", event,
		  "part=" PART_FORMAT " score=%.2f reporter=%s", part,
		  part_quarantine_score(&proxy->parts, part, now_ms(proxy)),
		  reporter);
}

static void crash_told(proxy_t *proxy, const peer_body_t *body,
		       const char *reporter)
{
	part_crash_t crash = {
		.target = hash_name(body->u.part_report.target),
		.request = body->u.part_report.request,
		.weight = (double)MIN(body->u.part_report.weight, PERCENT) /
			  PERCENT,
		.at = now_ms(proxy) -
		      (int64_t)MIN(body->u.part_report.age_ms,
				   (uint64_t)PART_QUARANTINE_MAX_MS),
	};
	part_sentence_t sentence;

	part_quarantine_crash_told(&proxy->parts, body->u.part_report.part,
				   &crash, now_ms(proxy));
	log_told(proxy, "part_crash_told", body->u.part_report.part, reporter);
	/* An instance that knew of it would not have counted the crash. */
	if (part_quarantine_sentence(&proxy->parts, body->u.part_report.part,
				     now_ms(proxy), &sentence))
		tell_sentence(proxy, reporter, &sentence);
}

static void survival_told(proxy_t *proxy, uint64_t part, const char *reporter)
{
	for (uint32_t i = 0; i < proxy->tell_count; i++) {
		if (proxy->tells[i].part == part)
			proxy->tells[i].heard = true;
	}
	if (part_quarantine_survived(&proxy->parts, part, true,
				     now_ms(proxy)) == PART_RELEASED)
		log_released(proxy, part, reporter);
	else
		log_told(proxy, "part_survival_told", part, reporter);
}

static void sentence_told(proxy_t *proxy, const peer_body_t *body,
			  const char *reporter)
{
	uint64_t most = (uint64_t)PART_QUARANTINE_MAX_MS;
	part_sentence_t sentence = {
		.part = body->u.part_report.part,
		.left_ms = (int64_t)MIN(body->u.part_report.left_ms, most),
		.age_ms = (int64_t)MIN(body->u.part_report.age_ms, most),
		.strikes = (uint32_t)MIN(body->u.part_report.strikes,
					 PART_STRIKES_MAX),
	};

	parts_adopt(proxy, &sentence, reporter);
}

void parts_adopt(proxy_t *proxy, const part_sentence_t *sentence,
		 const char *source)
{
	if (part_quarantine_adopt(&proxy->parts, sentence, now_ms(proxy)))
		log_held(proxy, sentence, source, "");
}

void parts_report_received(proxy_t *proxy, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	const char *reporter = msg->u.peer.incarnation;
	uint64_t part = body->u.part_report.part;

	switch (body->u.part_report.event) {
	case PART_EVENT_CRASHED:
		crash_told(proxy, body, reporter);
		break;
	case PART_EVENT_EXPLAINED:
		part_quarantine_explained(&proxy->parts, part, now_ms(proxy));
		break;
	case PART_EVENT_SURVIVED:
		survival_told(proxy, part, reporter);
		break;
	case PART_EVENT_HELD:
		sentence_told(proxy, body, reporter);
		break;
	case PART_EVENT_RELEASED:
		if (part_quarantine_release(&proxy->parts, part, now_ms(proxy)))
			log_released(proxy, part, reporter);
		break;
	case PART_EVENT_COUNT:
		break;
	}
}
