/*
 * Connects the quarantine of prompt parts to requests, the peers and the store.
 */
#include "proxy/exchange.h"

#include "kernel/hash.h"
#include "log/log.h"
#include "proxy/held.h"

#include <string.h>

/* Spread over which the instances of a fleet begin probes of a set. */
#define PROBE_STAGGER_MS 60000
/*
 * Longest time until peers are told that a response went on.  The first to
 * tell saves the others from telling the same.
 */
#define TELL_DELAY_MS 100
#define TELL_DELAY_INSTANCE_MS 2 /* added for each instance of the fleet */
/* Age of a response of which a former build tells, which states none. */
#define SURVIVAL_AGE_MS 1000
/* The reports of a crash by several instances come within this time. */
#define DECIDE_DELAY_US (20 * USEC_PER_MSEC)
#define PERCENT 100

static const double weights[] = {
	[SUSPICION_NONE] = 0, [SUSPICION_WEAK] = 0.5, [SUSPICION_STRONG] = 1};

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

/* Returns the ids of the shared parts; the caller frees them. */
static uint64_t *copy_shared(const exchange_spec_t *spec, uint32_t *count)
{
	uint64_t *parts;

	*count = exchange_shared_parts(spec);
	parts = g_new(uint64_t, *count);
	for (uint32_t i = 0; i < *count; i++)
		parts[i] = spec->parts[i].id;
	return parts;
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

/* Former builds know of sets of one part only. */
static void tell_sentence(proxy_t *proxy, const char *incarnation,
			  part_event_t event, const part_sentence_t *sentence)
{
	peer_body_t *body;

	if (sentence->set.count == 1) {
		body = new_report(event, sentence->set.parts[0]);
		body->u.part_report.left_ms = (uint64_t)sentence->left_ms;
		body->u.part_report.age_ms = (uint64_t)sentence->age_ms;
		body->u.part_report.strikes = sentence->strikes;
		body->u.part_report.request = sentence->decided.target;
	} else {
		body = peer_body_new(PEER_PART_SET);
		body->u.part_set.event = event;
		body->u.part_set.set = sentence->set;
		body->u.part_set.left_ms = (uint64_t)sentence->left_ms;
		body->u.part_set.age_ms = (uint64_t)sentence->age_ms;
		body->u.part_set.strikes = sentence->strikes;
		body->u.part_set.decided = sentence->decided;
		body->u.part_set.crashes = sentence->crashes;
	}
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

static void log_change(proxy_t *proxy, const part_change_t *change,
		       const char *reporter, const char *target)
{
	const part_sentence_t *sentence = &change->sentence;
	char text[PART_SET_TEXT_SIZE];
	double score = part_quarantine_score(&proxy->parts, &sentence->set,
					     now_ms(proxy));

	part_set_format(&sentence->set, text);
	switch (change->kind) {
	case PART_CHANGE_HELD:
		metrics_add(proxy->kernel->metrics, COUNTER_PART_QUARANTINES,
			    1);
		log_event(LOG_LEVEL_WARN, "proxy", "part_quarantined",
			  "parts=%s score=%.2f strikes=%u "
			  "left_ms=%" G_GINT64_FORMAT
			  " age_ms=%" G_GINT64_FORMAT " reporter=%s target=%s",
			  text, score, sentence->strikes, sentence->left_ms,
			  sentence->age_ms, reporter, target);
		break;
	case PART_CHANGE_RELEASED:
		metrics_add(proxy->kernel->metrics, COUNTER_PART_RELEASES, 1);
		log_event(LOG_LEVEL_WARN, "proxy", "part_released",
			  "parts=%s score=%.2f reporter=%s", text, score,
			  reporter);
		break;
	case PART_CHANGE_CRASHED:
		log_event(LOG_LEVEL_INFO, "proxy", "part_crash_explained",
			  "parts=%s target=%s", text, target);
		break;
	case PART_CHANGE_REPLACED:
		log_event(LOG_LEVEL_INFO, "proxy", "part_replaced",
			  "parts=%s reporter=%s", text, reporter);
		break;
	}
}

static void tell_change(proxy_t *proxy, const part_change_t *change,
			const char *incarnation)
{
	switch (change->kind) {
	case PART_CHANGE_HELD:
	case PART_CHANGE_CRASHED:
		tell_sentence(proxy, incarnation, PART_EVENT_HELD,
			      &change->sentence);
		break;
	case PART_CHANGE_RELEASED:
		tell_sentence(proxy, incarnation, PART_EVENT_RELEASED,
			      &change->sentence);
		break;
	case PART_CHANGE_REPLACED:
		/* Peers are told of the quarantine in its place. */
		break;
	}
}

static void save_change(proxy_t *proxy, const part_change_t *change)
{
	switch (change->kind) {
	case PART_CHANGE_HELD:
		held_save_parts(proxy, &change->sentence);
		break;
	case PART_CHANGE_CRASHED:
		break;
	case PART_CHANGE_RELEASED:
	case PART_CHANGE_REPLACED:
		held_remove_parts(proxy, &change->sentence.set);
		break;
	}
}

/*
 * Logs, tells and saves what has changed.  The reporter is the peer, or the
 * store, from which it follows, and the target the one that crashed.
 */
static void apply_changes(proxy_t *proxy, const char *reporter,
			  const char *target)
{
	part_change_t change;

	while (part_holds_next_change(&proxy->parts.holds, &change)) {
		log_change(proxy, &change, reporter, target);
		if (change.origin == PART_ORIGIN_HERE)
			tell_change(proxy, &change, "");
		if (change.origin == PART_ORIGIN_ANSWER)
			tell_change(proxy, &change, reporter);
		if (change.origin == PART_ORIGIN_HERE || change.own)
			save_change(proxy, &change);
	}
}

static part_state_t state_of(const proxy_t *proxy, const exchange_spec_t *spec)
{
	part_state_t state;
	uint64_t *parts;
	uint32_t count;

	if (proxy->parts.holds.held == 0)
		return PART_ALLOWED;
	parts = copy_shared(spec, &count);
	state = part_holds_state(&proxy->parts.holds, parts, count,
				 now_ms(proxy));
	g_free(parts);
	return state;
}

bool parts_quarantined(const proxy_t *proxy, const exchange_spec_t *spec)
{
	return state_of(proxy, spec) == PART_QUARANTINED;
}

void parts_log_refused(const proxy_t *proxy, const exchange_spec_t *spec)
{
	char text[PART_SET_TEXT_SIZE];
	uint64_t *parts;
	uint32_t count;
	part_set_t set;

	parts = copy_shared(spec, &count);
	if (part_holds_reason(&proxy->parts.holds, parts, count, now_ms(proxy),
			      &set))
		log_event(LOG_LEVEL_INFO, "proxy", "part_refused",
			  "request=%s parts=%s score=%.2f",
			  log_quote(spec->request_id),
			  part_set_format(&set, text),
			  part_quarantine_score(&proxy->parts, &set,
						now_ms(proxy)));
	g_free(parts);
}

static void begin_probe(proxy_t *proxy, exchange_t *exchange)
{
	uint32_t count, begun;
	uint64_t *parts = copy_shared(exchange->spec, &count);

	begun = part_holds_begin_probe(&proxy->parts.holds, parts, count,
				       now_ms(proxy));
	g_free(parts);
	exchange->probing = true;
	metrics_add(proxy->kernel->metrics, COUNTER_PART_PROBES, begun);
	log_event(LOG_LEVEL_WARN, "proxy", "part_probe", "request=%s sets=%u",
		  log_quote(exchange->spec->request_id), begun);
	apply_changes(proxy, proxy->opts.incarnation, "");
}

bool parts_admit(proxy_t *proxy, exchange_t *exchange)
{
	exchange->probing = false;
	switch (state_of(proxy, exchange->spec)) {
	case PART_ALLOWED:
		return true;
	case PART_QUARANTINED:
		return false;
	case PART_PROBE_DUE:
		begin_probe(proxy, exchange);
		return true;
	}
	return false;
}

void parts_not_run(proxy_t *proxy, exchange_t *exchange)
{
	uint32_t count, unused;
	uint64_t *parts;

	if (!exchange->probing)
		return;
	exchange->probing = false;
	parts = copy_shared(exchange->spec, &count);
	unused = part_holds_probe_unused(&proxy->parts.holds, parts, count,
					 now_ms(proxy));
	g_free(parts);
	log_event(LOG_LEVEL_INFO, "proxy", "part_probe_unused",
		  "request=%s sets=%u", log_quote(exchange->spec->request_id),
		  unused);
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

/* Peers that count a crash with the part need to know that it was sound. */
static void tell_if_unheard(proxy_t *proxy, uint64_t part)
{
	if (part_scores_is_unheard(&proxy->parts.scores, part, now_ms(proxy)))
		tell_later(proxy, part);
}

static void report_crash(proxy_t *proxy, const suspect_t *suspect,
			 const part_crash_t *crash)
{
	const part_suspects_t *parts = &proxy->parts.own.suspects;

	for (uint32_t i = 0; i < parts->count; i++) {
		const part_suspect_t *part = &parts->list[i];

		if (!part->counted)
			continue;
		tell_crash(proxy, part, suspect, crash);
		tell_if_unheard(proxy, part->part);
		metrics_add(proxy->kernel->metrics, COUNTER_PART_CRASHES, 1);
		log_event(LOG_LEVEL_INFO, "proxy", "part_crash",
			  "part=" PART_FORMAT " target=%s score=%.2f "
			  "weight=%.1f",
			  part->part, suspect->instance,
			  part_scores_get(&proxy->parts.scores, part->part,
					  now_ms(proxy)),
			  crash->weight);
	}
}

/* Former builds do not know it from the set that is told. */
static void report_explained(proxy_t *proxy)
{
	const part_suspects_t *parts = &proxy->parts.own.suspects;

	for (uint32_t i = 0; i < parts->count; i++) {
		if (parts->list[i].explained)
			tell(proxy, "",
			     new_report(PART_EVENT_EXPLAINED,
					parts->list[i].part));
	}
}

void parts_crashed(proxy_t *proxy, const suspect_t *const *suspects,
		   uint32_t count)
{
	part_request_t requests[SUSPECTS_MAX];
	part_crash_t crash = {
		.target = hash_name(suspects[0]->instance),
		.weight = weights[suspects[0]->suspicion],
		.at = suspects[0]->at / USEC_PER_MSEC,
	};
	bool begun;

	for (uint32_t i = 0; i < count; i++)
		requests[i] = (part_request_t){
			.request = hash_name(suspects[i]->fingerprint),
			.parts = suspects[i]->parts,
			.count = suspects[i]->part_count,
		};
	begun = part_quarantine_crashed(&proxy->parts, requests, count, &crash,
					now_ms(proxy));
	report_crash(proxy, suspects[0], &crash);
	apply_changes(proxy, proxy->opts.incarnation, suspects[0]->instance);
	if (begun)
		report_explained(proxy);
}

void parts_survived(proxy_t *proxy, exchange_t *exchange)
{
	int64_t began_at = exchange->sent_at;
	uint32_t count, told;
	uint64_t *parts, *news;

	if (exchange->survived)
		return;
	exchange->survived = true;
	if (exchange->attempt_began)
		began_at = exchange->attempt_began_at;
	parts = copy_shared(exchange->spec, &count);
	news = g_new(uint64_t, count);
	told = part_quarantine_survived(&proxy->parts, parts, count,
					began_at / USEC_PER_MSEC, now_ms(proxy),
					news);
	for (uint32_t i = 0; i < told; i++)
		tell_later(proxy, news[i]);
	apply_changes(proxy, proxy->opts.incarnation, "");
	g_free(news);
	g_free(parts);
}

static void tell_survival(proxy_t *proxy, const char *incarnation,
			  uint64_t part)
{
	peer_body_t *body = new_report(PART_EVENT_SURVIVED, part);
	int64_t age = part_scores_sound_age(&proxy->parts.scores, part,
					    now_ms(proxy));

	body->u.part_report.age_ms = (uint64_t)MAX(age, 1);
	tell(proxy, incarnation, body);
}

void parts_tell_survivals(proxy_t *proxy)
{
	proxy->tell_timer = HANDLE_NONE;
	for (uint32_t i = 0; i < proxy->tell_count; i++) {
		if (proxy->tells[i].heard)
			continue;
		part_scores_heard(&proxy->parts.scores, proxy->tells[i].part,
				  now_ms(proxy));
		tell_survival(proxy, "", proxy->tells[i].part);
	}
	proxy->tell_count = 0;
}

/* Which parts of a set were sound lately decides on how it becomes smaller. */
static void tell_sound_parts(proxy_t *proxy, const char *incarnation,
			     const part_set_t *set)
{
	for (uint32_t i = 0; set->count > 1 && i < set->count; i++) {
		if (part_scores_sound_lately(&proxy->parts.scores,
					     set->parts[i], now_ms(proxy)))
			tell_survival(proxy, incarnation, set->parts[i]);
	}
}

void parts_tell_peer(proxy_t *proxy, const char *incarnation)
{
	part_sentence_t *list = g_new(part_sentence_t, PART_HOLDS_MAX);
	uint32_t count = part_holds_list(&proxy->parts.holds, now_ms(proxy),
					 list, PART_HOLDS_MAX);

	for (uint32_t i = 0; i < count; i++) {
		tell_sentence(proxy, incarnation, PART_EVENT_HELD, &list[i]);
		tell_sound_parts(proxy, incarnation, &list[i].set);
	}
	g_free(list);
}

static void log_told(const proxy_t *proxy, const char *event, uint64_t part,
		     const char *reporter)
{
	log_event(LOG_LEVEL_DEBUG, "proxy", event,
		  "part=" PART_FORMAT " score=%.2f reporter=%s", part,
		  part_scores_get(&proxy->parts.scores, part, now_ms(proxy)),
		  reporter);
}

static void crash_told(proxy_t *proxy, const peer_body_t *body,
		       const char *reporter)
{
	uint64_t part = body->u.part_report.part;
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

	if (part_quarantine_crash_told(&proxy->parts, part, &crash,
				       now_ms(proxy)) &&
	    handle_is_none(proxy->decide_timer))
		proxy->decide_timer =
			kernel_timer(proxy->kernel, proxy->svc, DECIDE_DELAY_US,
				     HANDLE_NONE, EXCHANGE_TIMER_DECIDE);
	if (part_quarantine_missed(&proxy->parts, part, &crash, now_ms(proxy),
				   &sentence))
		tell_sentence(proxy, reporter, PART_EVENT_HELD, &sentence);
	else
		tell_if_unheard(proxy, part);
	log_told(proxy, "part_crash_told", part, reporter);
}

void parts_decide(proxy_t *proxy)
{
	proxy->decide_timer = HANDLE_NONE;
	if (!part_quarantine_decide(&proxy->parts, now_ms(proxy)))
		return;
	apply_changes(proxy, proxy->opts.incarnation, "");
	report_explained(proxy);
}

static void survival_told(proxy_t *proxy, const peer_body_t *body,
			  const char *reporter)
{
	uint64_t part = body->u.part_report.part;
	int64_t age = (int64_t)MIN(body->u.part_report.age_ms,
				   (uint64_t)PART_QUARANTINE_MAX_MS);

	for (uint32_t i = 0; i < proxy->tell_count; i++) {
		if (proxy->tells[i].part == part)
			proxy->tells[i].heard = true;
	}
	part_quarantine_survival_told(&proxy->parts, part,
				      now_ms(proxy) -
					      (age > 0 ? age : SURVIVAL_AGE_MS),
				      now_ms(proxy));
	log_told(proxy, "part_survival_told", part, reporter);
}

void parts_adopt(proxy_t *proxy, const part_sentence_t *sentence,
		 const char *source)
{
	part_holds_adopt(&proxy->parts.holds, sentence, PART_ORIGIN_HERE,
			 now_ms(proxy));
	apply_changes(proxy, source, "");
}

static void sentence_told(proxy_t *proxy, part_event_t event,
			  const part_sentence_t *sentence, const char *reporter)
{
	if (sentence->set.count == 0)
		return;
	if (event == PART_EVENT_RELEASED)
		part_holds_release(&proxy->parts.holds, &sentence->set,
				   now_ms(proxy));
	else if (event == PART_EVENT_HELD)
		part_holds_adopt(&proxy->parts.holds, sentence,
				 PART_ORIGIN_ANSWER, now_ms(proxy));
	apply_changes(proxy, reporter, "");
}

static uint64_t limit_ms(uint64_t ms)
{
	return MIN(ms, (uint64_t)PART_QUARANTINE_MAX_MS);
}

static part_sentence_t read_part(const peer_body_t *body)
{
	part_sentence_t sentence = {
		.set = part_set_of(body->u.part_report.part),
		.left_ms = (int64_t)limit_ms(body->u.part_report.left_ms),
		.age_ms = (int64_t)limit_ms(body->u.part_report.age_ms),
		.strikes = (uint32_t)MIN(body->u.part_report.strikes,
					 PART_STRIKES_MAX),
		.decided = {body->u.part_report.request,
			    limit_ms(body->u.part_report.age_ms)},
	};

	return sentence;
}

static part_sentence_t read_set(const peer_body_t *body)
{
	part_sentence_t sentence = {
		.set = body->u.part_set.set,
		.left_ms = (int64_t)limit_ms(body->u.part_set.left_ms),
		.age_ms = (int64_t)limit_ms(body->u.part_set.age_ms),
		.strikes = (uint32_t)MIN(body->u.part_set.strikes,
					 PART_STRIKES_MAX),
		.decided = {body->u.part_set.decided.target,
			    limit_ms(body->u.part_set.decided.age_ms)},
		.crashes = body->u.part_set.crashes,
	};

	for (uint32_t i = 0; i < sentence.crashes.count; i++)
		sentence.crashes.list[i].age_ms =
			limit_ms(sentence.crashes.list[i].age_ms);
	return sentence;
}

void parts_report_received(proxy_t *proxy, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	const char *reporter = msg->u.peer.incarnation;
	uint64_t part = body->u.part_report.part;
	part_sentence_t sentence = read_part(body);

	switch (body->u.part_report.event) {
	case PART_EVENT_CRASHED:
		crash_told(proxy, body, reporter);
		break;
	case PART_EVENT_EXPLAINED:
		part_quarantine_explained(&proxy->parts, part, now_ms(proxy));
		break;
	case PART_EVENT_SURVIVED:
		survival_told(proxy, body, reporter);
		break;
	case PART_EVENT_HELD:
	case PART_EVENT_RELEASED:
		sentence_told(proxy, body->u.part_report.event, &sentence,
			      reporter);
		break;
	case PART_EVENT_COUNT:
		break;
	}
	apply_changes(proxy, reporter, "");
}

void parts_set_received(proxy_t *proxy, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	part_sentence_t sentence = read_set(body);

	sentence_told(proxy, body->u.part_set.event, &sentence,
		      msg->u.peer.incarnation);
}
