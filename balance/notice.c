#include "balance/notice.h"

#include "balance/brittle.h"
#include "balance/heat.h"
#include "balance/home.h"
#include "balance/queue.h"
#include "log/log.h"

#include <string.h>

/* Notices kept of targets that are not listed. */
#define KEPT_MAX 1024
/*
 * A longer pause is more likely a mistake, which would take the target out for
 * good.
 */
#define PAUSE_MAX_US (3600 * USEC_PER_SEC)
#define AGE_MAX_US                                                \
	(3600 * USEC_PER_SEC) /* a peer's older news has this age \
			       */

typedef struct kept_notice_t {
	int64_t started_ms; /* process of the target */
	int64_t kept_at; /* monotonic, us */
	target_notice_t notice;
} kept_notice_t;

void notices_init(balance_t *balance)
{
	balance->kept_notices =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void notices_finish(balance_t *balance)
{
	g_hash_table_unref(balance->kept_notices);
}

bool notice_is_paused(const balance_target_t *target, int64_t now)
{
	return now < target->notice.paused_until;
}

static void drop_oldest(balance_t *balance)
{
	const char *oldest = NULL;
	int64_t oldest_at = 0;
	GHashTableIter iter;
	gpointer key, data;

	g_hash_table_iter_init(&iter, balance->kept_notices);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		const kept_notice_t *kept = data;

		if (oldest != NULL && kept->kept_at >= oldest_at)
			continue;
		oldest = key;
		oldest_at = kept->kept_at;
	}
	if (oldest != NULL)
		g_hash_table_remove(balance->kept_notices, oldest);
}

static void keep(balance_t *balance, const char *target, int64_t started_ms,
		 const target_notice_t *notice)
{
	kept_notice_t *kept = g_new0(kept_notice_t, 1);

	if (g_hash_table_size(balance->kept_notices) >= KEPT_MAX)
		drop_oldest(balance);
	kept->started_ms = started_ms;
	kept->kept_at = kernel_now(balance->kernel);
	kept->notice = *notice;
	g_hash_table_replace(balance->kept_notices, g_strdup(target), kept);
}

void notice_keep(balance_t *balance, const balance_target_t *target)
{
	const target_notice_t *notice = &target->notice;

	if (notice->leaving || notice->limit.stated ||
	    cold_is(&notice->cold, kernel_now(balance->kernel)) ||
	    notice_is_paused(target, kernel_now(balance->kernel)))
		keep(balance, target->info.id, target->info.started_ms, notice);
}

void notice_restore(balance_t *balance, balance_target_t *target)
{
	const kept_notice_t *kept =
		g_hash_table_lookup(balance->kept_notices, target->info.id);

	if (kept == NULL)
		return;
	if (kept->started_ms == target->info.started_ms)
		target->notice = kept->notice;
	g_hash_table_remove(balance->kept_notices, target->info.id);
}

void notice_tell(balance_t *balance, const balance_target_t *target,
		 const char *incarnation)
{
	peer_body_t *body = peer_body_new(PEER_TARGET_LEAVING);
	int64_t age = kernel_now(balance->kernel) - target->notice.leaving_at;

	g_strlcpy(body->u.leaving.target, target->info.id,
		  sizeof(body->u.leaving.target));
	body->u.leaving.started_ms = target->info.started_ms;
	body->u.leaving.age_us = (uint64_t)MAX(age, 0);
	kernel_post_peer(balance->kernel, balance->svc, balance->peer,
			 incarnation, body);
}

/* Nothing but another process of the target takes this back. */
static void set_leaving(balance_t *balance, balance_target_t *target,
			uint64_t age_us, const char *source)
{
	int64_t now = kernel_now(balance->kernel);

	if (target->notice.leaving)
		return;
	target->notice.leaving = true;
	target->notice.leaving_at = now - (int64_t)MIN(age_us, AGE_MAX_US);
	log_event(LOG_LEVEL_INFO, "balance", "leaving",
		  "target=%s service=%s source=%s age_ms=%" G_GUINT64_FORMAT
		  " outstanding=%u",
		  target->info.id, target->info.service, source,
		  age_us / USEC_PER_MSEC, target->outstanding);
}

/* Of several pauses, the one that ends last holds. */
static void set_pause(balance_t *balance, balance_target_t *target,
		      int64_t pause_ms)
{
	int64_t now = kernel_now(balance->kernel);
	int64_t pause = MIN(pause_ms * USEC_PER_MSEC, PAUSE_MAX_US);

	metrics_add(balance->kernel->metrics, COUNTER_PAUSES_STATED, 1);
	if (now + pause <= target->notice.paused_until)
		return;
	target->notice.paused_until = now + pause;
	target->notice.paused_at = now;
	log_event(LOG_LEVEL_INFO, "balance", "paused",
		  "target=%s service=%s pause_ms=%" G_GINT64_FORMAT
		  " stated_ms=%" G_GINT64_FORMAT " outstanding=%u",
		  target->info.id, target->info.service, pause / USEC_PER_MSEC,
		  pause_ms, target->outstanding);
}

void notice_heard(balance_t *balance, balance_target_t *target,
		  const target_report_t *report)
{
	if (report->leaving && !target->notice.leaving) {
		set_leaving(balance, target, 0, "response");
		notice_tell(balance, target, "");
	}
	if (report->pause_ms > 0)
		set_pause(balance, target, report->pause_ms);
	brittle_heard(balance, target, report);
	heat_heard(balance, target, report);
	home_heard(balance, target, &report->limit);
}

void notice_told(balance_t *balance, const peer_body_t *body)
{
	const char *id = body->u.leaving.target;
	balance_target_t *target =
		g_hash_table_lookup(balance->targets_by_id, id);
	uint64_t age_us = MIN(body->u.leaving.age_us, AGE_MAX_US);
	target_notice_t notice = {.leaving = true};

	if (target == NULL) {
		notice.leaving_at =
			kernel_now(balance->kernel) - (int64_t)age_us;
		keep(balance, id, body->u.leaving.started_ms, &notice);
	} else if (target->info.started_ms == body->u.leaving.started_ms) {
		set_leaving(balance, target, age_us, "peer");
	}
}
