#include "proxy/exchange.h"

#include "log/log.h"

#include <string.h>

/* Crashes that quarantine a request, and how long it is held. */
#define POISON_BLAMES 3
#define POISON_HOLD_MS ((int64_t)30 * 1000)
/* A target that has crashed refuses connections soon after. */
#define SUSPECT_US (3 * USEC_PER_SEC)

static int64_t now_ms(const proxy_t *proxy)
{
	return kernel_now(proxy->kernel) / USEC_PER_MSEC;
}

void poison_init(proxy_t *proxy)
{
	quarantine_init(&proxy->quarantine, POISON_BLAMES, POISON_HOLD_MS);
}

bool poison_holds(const proxy_t *proxy, const exchange_t *exchange)
{
	return quarantine_contains(&proxy->quarantine, exchange->fingerprint,
				   now_ms(proxy));
}

static void blame(proxy_t *proxy, const char *fingerprint, const char *reporter,
		  uint64_t seq)
{
	if (!quarantine_blame(&proxy->quarantine, fingerprint, reporter, seq,
			      now_ms(proxy)))
		return;
	metrics_add(proxy->kernel->metrics, COUNTER_QUARANTINES, 1);
	log_event(LOG_LEVEL_WARN, "proxy", "quarantined",
		  "fingerprint=%.16s reporter=%s", fingerprint, reporter);
}

static void report(proxy_t *proxy, const suspect_t *suspect)
{
	uint64_t seq = ++proxy->blame_seq;
	peer_body_t *body = peer_body_new(PEER_CRASH_REPORT);

	blame(proxy, suspect->fingerprint, proxy->opts.incarnation, seq);
	g_strlcpy(body->u.crash_report.fingerprint, suspect->fingerprint,
		  sizeof(body->u.crash_report.fingerprint));
	g_strlcpy(body->u.crash_report.target, suspect->instance,
		  sizeof(body->u.crash_report.target));
	g_strlcpy(body->u.crash_report.reporter, proxy->opts.incarnation,
		  sizeof(body->u.crash_report.reporter));
	body->u.crash_report.seq = seq;
	kernel_post_peer(proxy->kernel, proxy->svc, proxy->peer, "", body);
}

void poison_suspect(proxy_t *proxy, const exchange_t *exchange)
{
	suspect_t *suspect =
		&proxy->suspects[proxy->next_suspect++ % SUSPECTS_MAX];

	g_strlcpy(suspect->fingerprint, exchange->fingerprint,
		  sizeof(suspect->fingerprint));
	g_strlcpy(suspect->instance, exchange->instance,
		  sizeof(suspect->instance));
	suspect->at = kernel_now(proxy->kernel);
}

void poison_unreachable(proxy_t *proxy, const char *instance)
{
	int64_t now = kernel_now(proxy->kernel);

	for (int i = 0; i < SUSPECTS_MAX; i++) {
		suspect_t *suspect = &proxy->suspects[i];

		if (strcmp(suspect->instance, instance) != 0)
			continue;
		if (now - suspect->at < SUSPECT_US)
			report(proxy, suspect);
		suspect->instance[0] = '\0';
	}
}

void poison_forgive(proxy_t *proxy, const exchange_t *exchange)
{
	quarantine_clear_blames(&proxy->quarantine, exchange->fingerprint);
}

void poison_heard(proxy_t *proxy, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;

	if (body->kind == PEER_CRASH_REPORT)
		blame(proxy, body->u.crash_report.fingerprint,
		      body->u.crash_report.reporter, body->u.crash_report.seq);
}
