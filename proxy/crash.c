/*
 * Detects requests that crash the targets that run them, and quarantines them
 * on all instances of the gateway.
 */
#include "proxy/exchange.h"

#include "kernel/hash.h"
#include "log/log.h"
#include "proxy/held.h"

#include <string.h>

#define CRASHES_MAX 3 /* crashes that quarantine a request */
#define CRASH_QUARANTINE_MS ((int64_t)10 * 60 * 1000)
/* A target that has crashed refuses connections soon after. */
#define SUSPECT_WINDOW_US (3 * USEC_PER_SEC)
#define PEER_QUARANTINES_MAX 64 /* told to a new peer */
/*
 * A process that follows at once writes its entry when it starts.  A later one
 * may have ended for another reason.
 */
#define REPLACED_WINDOW_US (1500 * USEC_PER_MSEC)
/* A target's listening socket may be closed after its connections. */
#define CHECK_DELAY_US (50 * USEC_PER_MSEC)

static int64_t now_ms(const proxy_t *proxy)
{
	return kernel_now(proxy->kernel) / USEC_PER_MSEC;
}

void crash_init(proxy_t *proxy)
{
	quarantine_init(&proxy->quarantine, CRASHES_MAX, CRASH_QUARANTINE_MS,
			CRASH_SPACING_MS);
}

void crash_finish(proxy_t *proxy)
{
	for (int i = 0; i < SUSPECTS_MAX; i++)
		g_clear_pointer(&proxy->suspects[i].parts, g_free);
	quarantine_finish(&proxy->quarantine);
}

bool crash_quarantined(const proxy_t *proxy, const exchange_t *exchange)
{
	return quarantine_contains(&proxy->quarantine, exchange->fingerprint,
				   now_ms(proxy)) ||
	       parts_quarantined(proxy, exchange->spec);
}

static void tell_quarantine(proxy_t *proxy, const char *incarnation,
			    const quarantine_news_t *news)
{
	peer_body_t *body = peer_body_new(PEER_QUARANTINE);

	g_strlcpy(body->u.quarantine.fingerprint, news->fingerprint,
		  sizeof(body->u.quarantine.fingerprint));
	body->u.quarantine.crashes = news->blames;
	body->u.quarantine.age_ms = (uint64_t)news->age_ms;
	body->u.quarantine.left_ms = (uint64_t)news->left_ms;
	kernel_post_peer(proxy->kernel, proxy->svc, proxy->peer, incarnation,
			 body);
}

void crash_tell_peer(proxy_t *proxy, const char *incarnation)
{
	quarantine_news_t list[PEER_QUARANTINES_MAX];
	uint32_t count = quarantine_list(&proxy->quarantine, now_ms(proxy),
					 list, PEER_QUARANTINES_MAX);

	for (uint32_t i = 0; i < count; i++)
		tell_quarantine(proxy, incarnation, &list[i]);
}

static void log_quarantined(proxy_t *proxy, const char *fingerprint,
			    const char *reporter, int64_t left_ms)
{
	metrics_add(proxy->kernel->metrics, COUNTER_QUARANTINES, 1);
	log_event(LOG_LEVEL_WARN, "proxy", "quarantined",
		  "fingerprint=%.16s reporter=%s left_ms=%" G_GINT64_FORMAT,
		  fingerprint, reporter, left_ms);
}

static void record_crash(proxy_t *proxy, const char *fingerprint,
			 const char *target, const char *reporter, uint64_t seq)
{
	if (!quarantine_blame(&proxy->quarantine, fingerprint, reporter, seq,
			      hash_rendezvous(target, ""), now_ms(proxy)))
		return;
	log_quarantined(proxy, fingerprint, reporter, CRASH_QUARANTINE_MS);
}

static void report_crash(proxy_t *proxy, const suspect_t *suspect)
{
	uint64_t seq = ++proxy->crash_seq;
	quarantine_news_t news;
	peer_body_t *body = peer_body_new(PEER_CRASH_REPORT);

	record_crash(proxy, suspect->fingerprint, suspect->instance,
		     proxy->opts.incarnation, seq);
	g_strlcpy(body->u.crash_report.fingerprint, suspect->fingerprint,
		  sizeof(body->u.crash_report.fingerprint));
	g_strlcpy(body->u.crash_report.target, suspect->instance,
		  sizeof(body->u.crash_report.target));
	g_strlcpy(body->u.crash_report.reporter, proxy->opts.incarnation,
		  sizeof(body->u.crash_report.reporter));
	body->u.crash_report.seq = seq;
	kernel_post_peer(proxy->kernel, proxy->svc, proxy->peer, "", body);
	/* Peers may have missed earlier reports. */
	if (quarantine_news(&proxy->quarantine, suspect->fingerprint,
			    now_ms(proxy), &news) &&
	    news.left_ms > 0) {
		tell_quarantine(proxy, "", &news);
		held_save_request(proxy, &news);
	}
}

static suspicion_t suspicion_of(const proxy_t *proxy,
				const exchange_t *exchange)
{
	int64_t now = kernel_now(proxy->kernel);

	if (exchange->state == EXCHANGE_SENT)
		return SUSPICION_WEAK;
	if (!exchange->attempt_began)
		return SUSPICION_STRONG;
	if (now - exchange->attempt_began_at < ANSWER_START_US)
		return SUSPICION_WEAK;
	return SUSPICION_NONE;
}

static bool is_current(const proxy_t *proxy, const suspect_t *suspect)
{
	return suspect->instance[0] != '\0' &&
	       kernel_now(proxy->kernel) - suspect->at < SUSPECT_WINDOW_US;
}

/*
 * Returns the entry to overwrite: the oldest of the least suspicion, or NULL
 * if all entries are of a higher suspicion than this one.
 */
static suspect_t *find_entry(proxy_t *proxy, suspicion_t suspicion)
{
	suspect_t *found = NULL;

	for (int i = 0; i < SUSPECTS_MAX; i++) {
		suspect_t *suspect = &proxy->suspects[i];

		if (!is_current(proxy, suspect) ||
		    suspect->check == CHECK_PASSED)
			return suspect;
		if (found == NULL || suspect->suspicion < found->suspicion ||
		    (suspect->suspicion == found->suspicion &&
		     suspect->at < found->at))
			found = suspect;
	}
	return found->suspicion <= suspicion ? found : NULL;
}

static void check_later(proxy_t *proxy, int64_t delay)
{
	if (handle_is_none(proxy->check_timer))
		proxy->check_timer =
			kernel_timer(proxy->kernel, proxy->svc, delay,
				     HANDLE_NONE, EXCHANGE_TIMER_CHECK);
}

void crash_add_suspect(proxy_t *proxy, const exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;
	suspicion_t suspicion = suspicion_of(proxy, exchange);
	suspect_t *suspect;

	if (suspicion == SUSPICION_NONE)
		return;
	suspect = find_entry(proxy, suspicion);
	if (suspect == NULL)
		return;
	g_free(suspect->parts);
	memset(suspect, 0, sizeof(*suspect));
	g_strlcpy(suspect->request_id, spec->request_id,
		  sizeof(suspect->request_id));
	g_strlcpy(suspect->fingerprint, exchange->fingerprint,
		  sizeof(suspect->fingerprint));
	suspect->answering = exchange->attempt_began;
	g_strlcpy(suspect->instance, exchange->instance,
		  sizeof(suspect->instance));
	g_strlcpy(suspect->host, exchange->target_host, sizeof(suspect->host));
	suspect->port = exchange->target_port;
	suspect->started_ms = exchange->target_started_ms;
	suspect->suspicion = suspicion;
	suspect->part_count = exchange_shared_parts(spec);
	suspect->parts = g_new(uint64_t, suspect->part_count);
	for (uint32_t i = 0; i < suspect->part_count; i++)
		suspect->parts[i] = spec->parts[i].id;
	suspect->at = kernel_now(proxy->kernel);
	suspect->check = CHECK_WANTED;
	check_later(proxy, CHECK_DELAY_US);
}

/* Returns the time until the target of the suspect may be checked. */
static int64_t check_wait(const proxy_t *proxy, const suspect_t *suspect)
{
	return suspect->at + CHECK_DELAY_US - kernel_now(proxy->kernel);
}

static void check_target(proxy_t *proxy, const suspect_t *suspect)
{
	msg_t msg = {.kind = MSG_OUT_CHECK};

	g_strlcpy(msg.u.out_check.instance, suspect->instance,
		  sizeof(msg.u.out_check.instance));
	g_strlcpy(msg.u.out_check.host, suspect->host,
		  sizeof(msg.u.out_check.host));
	msg.u.out_check.port = suspect->port;
	kernel_post(proxy->kernel, proxy->svc, proxy->outbound, &msg);
	for (int i = 0; i < SUSPECTS_MAX; i++) {
		suspect_t *other = &proxy->suspects[i];

		if (strcmp(other->instance, suspect->instance) == 0 &&
		    check_wait(proxy, other) <= 0)
			other->check = CHECK_SENT;
	}
}

void crash_check_targets(proxy_t *proxy)
{
	int64_t wait = 0; /* until the next check, 0: none */

	proxy->check_timer = HANDLE_NONE;
	for (int i = 0; i < SUSPECTS_MAX; i++) {
		const suspect_t *suspect = &proxy->suspects[i];
		int64_t left = check_wait(proxy, suspect);

		if (suspect->instance[0] == '\0' ||
		    suspect->check != CHECK_WANTED)
			continue;
		if (left <= 0)
			check_target(proxy, suspect);
		else
			wait = wait > 0 ? MIN(wait, left) : left;
	}
	if (wait > 0)
		check_later(proxy, wait);
}

/*
 * Reports the parts of the suspects of a crash.  Requests that the target had
 * not begun to answer are left out if it had begun to run others.
 */
static void report_parts(proxy_t *proxy, const suspect_t *const *suspects,
			 uint32_t count)
{
	const suspect_t *chosen[SUSPECTS_MAX];
	suspicion_t most = SUSPICION_NONE;
	uint32_t chosen_count = 0;

	for (uint32_t i = 0; i < count; i++)
		most = MAX(most, suspects[i]->suspicion);
	for (uint32_t i = 0; i < count; i++) {
		if (suspects[i]->suspicion == most)
			chosen[chosen_count++] = suspects[i];
	}
	if (chosen_count > 0)
		parts_crashed(proxy, chosen, chosen_count);
}

/* Evidence that a target has crashed. */
typedef enum crash_evidence_t {
	CRASH_REFUSED, /* it refuses connections */
	CRASH_REPLACED, /* another process has its id */
} crash_evidence_t;

static bool is_confirmed(const proxy_t *proxy, const suspect_t *suspect,
			 crash_evidence_t evidence, int64_t started_ms)
{
	switch (evidence) {
	case CRASH_REFUSED:
		return suspect->check != CHECK_PASSED;
	case CRASH_REPLACED:
		return suspect->started_ms != 0 &&
		       suspect->started_ms < started_ms &&
		       kernel_now(proxy->kernel) - suspect->at <
			       REPLACED_WINDOW_US;
	}
	return false;
}

static void confirm_crash(proxy_t *proxy, const char *instance,
			  crash_evidence_t evidence, int64_t started_ms)
{
	suspect_t *found[SUSPECTS_MAX];
	uint32_t count = 0;

	for (int i = 0; i < SUSPECTS_MAX; i++) {
		suspect_t *suspect = &proxy->suspects[i];

		if (!is_current(proxy, suspect) ||
		    strcmp(suspect->instance, instance) != 0 ||
		    !is_confirmed(proxy, suspect, evidence, started_ms))
			continue;
		log_event(LOG_LEVEL_INFO, "proxy", "crash_suspect",
			  "request=%s target=%s begun=%d parts=%u evidence=%s",
			  log_quote(suspect->request_id), suspect->instance,
			  suspect->suspicion == SUSPICION_STRONG,
			  suspect->part_count,
			  evidence == CRASH_REFUSED ? "refused" : "replaced");
		if (!suspect->answering)
			report_crash(proxy, suspect);
		found[count++] = suspect;
	}
	report_parts(proxy, (const suspect_t *const *)found, count);
	for (uint32_t i = 0; i < count; i++)
		found[i]->instance[0] = '\0';
}

void crash_target_unreachable(proxy_t *proxy, const char *instance)
{
	confirm_crash(proxy, instance, CRASH_REFUSED, 0);
}

void crash_target_listed(proxy_t *proxy, const fleet_target_t *target)
{
	confirm_crash(proxy, target->id, CRASH_REPLACED, target->started_ms);
}

void crash_target_reachable(proxy_t *proxy, const char *instance)
{
	for (int i = 0; i < SUSPECTS_MAX; i++) {
		suspect_t *suspect = &proxy->suspects[i];

		if (strcmp(suspect->instance, instance) == 0 &&
		    suspect->check == CHECK_SENT)
			suspect->check = CHECK_PASSED;
	}
}

static void log_released(const char *fingerprint, const char *reporter)
{
	log_event(LOG_LEVEL_WARN, "proxy", "released",
		  "fingerprint=%.16s reporter=%s", fingerprint, reporter);
}

void crash_request_completed(proxy_t *proxy, const exchange_t *exchange)
{
	int64_t began_ms = (exchange->attempt_began ? exchange->attempt_began_at
						    : exchange->sent_at) /
			   USEC_PER_MSEC;
	quarantine_news_t cleared = {.blames = 0};

	g_strlcpy(cleared.fingerprint, exchange->fingerprint,
		  sizeof(cleared.fingerprint));
	switch (quarantine_complete(&proxy->quarantine, cleared.fingerprint,
				    began_ms, now_ms(proxy))) {
	case QUARANTINE_UNCHANGED:
		return;
	case QUARANTINE_CLEARED:
		break;
	case QUARANTINE_ENDED:
		log_released(cleared.fingerprint, proxy->opts.incarnation);
		held_remove_request(proxy, cleared.fingerprint);
		break;
	}
	/* Peers may not get the request, and would add up what is unrelated. */
	cleared.age_ms = MAX(now_ms(proxy) - began_ms, 1);
	tell_quarantine(proxy, "", &cleared);
}

/* A former build states no age, and clears what is not in quarantine. */
static void clear_told(proxy_t *proxy, const quarantine_news_t *news,
		       const char *reporter)
{
	int64_t began_ms =
		news->age_ms > 0 ? now_ms(proxy) - news->age_ms : INT64_MIN;

	if (quarantine_complete(&proxy->quarantine, news->fingerprint, began_ms,
				now_ms(proxy)) == QUARANTINE_ENDED)
		log_released(news->fingerprint, reporter);
}

void crash_report_received(proxy_t *proxy, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	const char *fingerprint = body->u.crash_report.fingerprint;
	bool held = quarantine_contains(&proxy->quarantine, fingerprint,
					now_ms(proxy));
	quarantine_news_t news;

	record_crash(proxy, fingerprint, body->u.crash_report.target,
		     body->u.crash_report.reporter, body->u.crash_report.seq);
	/* An instance that knew of it would not have sent the request. */
	if (held && quarantine_news(&proxy->quarantine, fingerprint,
				    now_ms(proxy), &news))
		tell_quarantine(proxy, msg->u.peer.incarnation, &news);
}

void crash_adopt(proxy_t *proxy, const quarantine_news_t *news,
		 const char *source)
{
	if (quarantine_adopt(&proxy->quarantine, news, now_ms(proxy)))
		log_quarantined(proxy, news->fingerprint, source,
				news->left_ms);
}

void crash_quarantine_received(proxy_t *proxy, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	quarantine_news_t news = {
		.blames =
			(uint32_t)MIN(body->u.quarantine.crashes, CRASHES_MAX),
		.age_ms = (int64_t)MIN(body->u.quarantine.age_ms,
				       (uint64_t)CRASH_QUARANTINE_MS),
		.left_ms = (int64_t)MIN(body->u.quarantine.left_ms,
					(uint64_t)CRASH_QUARANTINE_MS),
	};

	g_strlcpy(news.fingerprint, body->u.quarantine.fingerprint,
		  sizeof(news.fingerprint));
	if (news.blames == 0 && news.left_ms == 0)
		clear_told(proxy, &news, msg->u.peer.incarnation);
	else
		crash_adopt(proxy, &news, msg->u.peer.incarnation);
}
