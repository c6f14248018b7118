/*
 * Detects requests that crash the targets that run them, and quarantines them
 * on all instances of the gateway.
 */
#include "proxy/exchange.h"

#include "log/log.h"

#include <string.h>

#define CRASHES_MAX 3 /* crashes that quarantine a request */
#define CRASH_QUARANTINE_MS ((int64_t)30 * 1000)
/* A target that has crashed refuses connections soon after. */
#define SUSPECT_WINDOW_US (3 * USEC_PER_SEC)

static int64_t now_ms(const proxy_t *proxy)
{
	return kernel_now(proxy->kernel) / USEC_PER_MSEC;
}

void crash_init(proxy_t *proxy)
{
	quarantine_init(&proxy->quarantine, CRASHES_MAX, CRASH_QUARANTINE_MS);
}

bool crash_quarantined(const proxy_t *proxy, const exchange_t *exchange)
{
	return quarantine_contains(&proxy->quarantine, exchange->fingerprint,
				   now_ms(proxy));
}

static void record_crash(proxy_t *proxy, const char *fingerprint,
			 const char *reporter, uint64_t seq)
{
	if (!quarantine_blame(&proxy->quarantine, fingerprint, reporter, seq,
			      now_ms(proxy)))
		return;
	metrics_add(proxy->kernel->metrics, COUNTER_QUARANTINES, 1);
	log_event(LOG_LEVEL_WARN, "proxy", "quarantined",
		  "fingerprint=%.16s reporter=%s", fingerprint, reporter);
}

static void report_crash(proxy_t *proxy, const suspect_t *suspect)
{
	uint64_t seq = ++proxy->crash_seq;
	peer_body_t *body = peer_body_new(PEER_CRASH_REPORT);

	record_crash(proxy, suspect->fingerprint, proxy->opts.incarnation, seq);
	g_strlcpy(body->u.crash_report.fingerprint, suspect->fingerprint,
		  sizeof(body->u.crash_report.fingerprint));
	g_strlcpy(body->u.crash_report.target, suspect->instance,
		  sizeof(body->u.crash_report.target));
	g_strlcpy(body->u.crash_report.reporter, proxy->opts.incarnation,
		  sizeof(body->u.crash_report.reporter));
	body->u.crash_report.seq = seq;
	kernel_post_peer(proxy->kernel, proxy->svc, proxy->peer, "", body);
}

void crash_add_suspect(proxy_t *proxy, const exchange_t *exchange)
{
	suspect_t *suspect =
		&proxy->suspects[proxy->next_suspect++ % SUSPECTS_MAX];

	g_strlcpy(suspect->fingerprint, exchange->fingerprint,
		  sizeof(suspect->fingerprint));
	g_strlcpy(suspect->instance, exchange->instance,
		  sizeof(suspect->instance));
	suspect->at = kernel_now(proxy->kernel);
}

void crash_target_unreachable(proxy_t *proxy, const char *instance)
{
	int64_t now = kernel_now(proxy->kernel);

	for (int i = 0; i < SUSPECTS_MAX; i++) {
		suspect_t *suspect = &proxy->suspects[i];

		if (strcmp(suspect->instance, instance) != 0)
			continue;
		if (now - suspect->at < SUSPECT_WINDOW_US)
			report_crash(proxy, suspect);
		suspect->instance[0] = '\0';
	}
}

void crash_request_completed(proxy_t *proxy, const exchange_t *exchange)
{
	quarantine_clear_blames(&proxy->quarantine, exchange->fingerprint);
}

void crash_report_received(proxy_t *proxy, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;

	if (body->kind == PEER_CRASH_REPORT)
		record_crash(proxy, body->u.crash_report.fingerprint,
			     body->u.crash_report.reporter,
			     body->u.crash_report.seq);
}
