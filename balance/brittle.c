#include "balance/brittle.h"

#include "log/log.h"

#include <string.h>

/*
 * Until the peers have heard of a rejection, a few more of their requests reach
 * the target.  The pause leaves room for this number of them.
 */
#define REJECTIONS_A_PAUSE 4
#define PAUSE_MIN_US (250 * USEC_PER_MSEC)
#define PAUSE_MAX_US (4 * USEC_PER_SEC)
/* A response without the statement may come from something else. */
#define FORGET_US (3 * USEC_PER_SEC)

bool brittle_is_paused(const balance_target_t *target, int64_t now)
{
	return now < target->notice.brittle.paused_until;
}

void brittle_heard(balance_t *balance, balance_target_t *target,
		   const target_report_t *report)
{
	brittle_t *brittle = &target->notice.brittle;
	int64_t now = kernel_now(balance->kernel);
	bool before = brittle->stated;

	if (report->brittle) {
		brittle->stated = true;
		brittle->rejections_per_s = report->brittle_per_s;
		brittle->heard_at = now;
	} else if (now - brittle->heard_at >= FORGET_US) {
		brittle->stated = false;
	}
	if (brittle->stated != before)
		log_event(LOG_LEVEL_INFO, "balance", "brittle",
			  "target=%s service=%s brittle=%d rejections_per_s=%u",
			  target->info.id, target->info.service,
			  brittle->stated, brittle->rejections_per_s);
}

static int64_t pause_length(const brittle_t *brittle)
{
	int64_t pause = PAUSE_MAX_US;

	if (brittle->rejections_per_s > 0)
		pause = REJECTIONS_A_PAUSE * USEC_PER_SEC /
			brittle->rejections_per_s;
	return CLAMP(pause, PAUSE_MIN_US, PAUSE_MAX_US);
}

/* The instances do not come back together. */
static void pause_target(balance_t *balance, balance_target_t *target,
			 int64_t pause, const char *source)
{
	int64_t now = kernel_now(balance->kernel);
	int64_t spread = (int64_t)kernel_random_below(balance->kernel,
						      (uint64_t)MAX(pause, 1)) /
			 2;

	target->notice.brittle.paused_until =
		MAX(target->notice.brittle.paused_until, now + pause + spread);
	log_event(LOG_LEVEL_INFO, "balance", "brittle_paused",
		  "target=%s pause_ms=%" G_GINT64_FORMAT
		  " source=%s outstanding=%u",
		  target->info.id, (pause + spread) / USEC_PER_MSEC, source,
		  target->outstanding);
}

void brittle_rejected(balance_t *balance, balance_target_t *target)
{
	msg_t msg = {.kind = MSG_PEER_SEND};
	int64_t pause = pause_length(&target->notice.brittle);

	if (!target->notice.brittle.stated)
		return;
	pause_target(balance, target, pause, "response");
	msg.u.peer.body = peer_body_new(PEER_TARGET_FULL);
	g_strlcpy(msg.u.peer.body->u.full.target, target->info.id,
		  sizeof(msg.u.peer.body->u.full.target));
	msg.u.peer.body->u.full.started_ms = target->info.started_ms;
	msg.u.peer.body->u.full.pause_us = (uint64_t)pause;
	kernel_post(balance->kernel, balance->svc, balance->peer, &msg);
}

void brittle_told(balance_t *balance, const peer_body_t *body)
{
	balance_target_t *target = g_hash_table_lookup(balance->targets_by_id,
						       body->u.full.target);

	if (target == NULL ||
	    target->info.started_ms != body->u.full.started_ms)
		return;
	target->notice.brittle.stated = true;
	target->notice.brittle.heard_at = kernel_now(balance->kernel);
	pause_target(
		balance, target,
		(int64_t)MIN(body->u.full.pause_us, (uint64_t)PAUSE_MAX_US),
		"peer");
}
