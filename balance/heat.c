#include "balance/heat.h"

#include "balance/home.h"
#include "balance/queue.h"
#include "log/log.h"

#include <string.h>

/*
 * Time in which an instance takes the share of the whole fleet.  After a start
 * or a partition another home may still admit requests that this one does not
 * know of.
 */
#define RISE_US (4.0 * 1e6)
/*
 * Time in which an instance takes the place of a home that it has lost.  The
 * other side of a cut may notice it some seconds later.
 */
#define REPLACE_US (8.0 * 1e6)
/* Until then an instance that is not the home need not be asked again. */
#define NOT_HOME_US (250 * USEC_PER_MSEC)

bool heat_is_cold(const balance_target_t *target, int64_t now)
{
	return target->cold_per_ks > 0 && cold_is(&target->notice.cold, now);
}

uint64_t heat_age(const balance_target_t *target, int64_t now)
{
	return (uint64_t)MAX(
		target->cold_us - (target->notice.cold.until - now), 0);
}

void heat_update_gauge(balance_t *balance)
{
	int64_t now = kernel_now(balance->kernel), count = 0;
	const balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		count += heat_is_cold(target, now);
	metrics_set(balance->kernel->metrics, GAUGE_TARGETS_COLD, count);
}

static void log_cold(const balance_target_t *target, const char *source,
		     int64_t left)
{
	log_event(LOG_LEVEL_INFO, "balance", "cold",
		  "target=%s service=%s left_ms=%" G_GINT64_FORMAT
		  " per_s=%.3f source=%s outstanding=%u",
		  target->info.id, target->info.service, left / USEC_PER_MSEC,
		  target->cold_per_ks / 1000.0, source, target->outstanding);
}

static void apply(balance_t *balance, balance_target_t *target, int64_t left,
		  bool used, const char *source)
{
	int64_t now = kernel_now(balance->kernel);
	cold_news_t news =
		cold_apply(&target->notice.cold, now + left, used, now);

	if (news == COLD_NO_NEWS)
		return;
	kernel_timer(balance->kernel, balance->svc, left, target->self,
		     BALANCE_TIMER_COLD);
	if (news == COLD_EXTENDED || target->cold_per_ks == 0)
		return;
	metrics_add(balance->kernel->metrics, COUNTER_TARGETS_COLD_SEEN, 1);
	log_cold(target, source, left);
	heat_update_gauge(balance);
	/* Requests that were admitted before would come on top. */
	target->permit_count = 0;
	memset(target->free_at, 0, sizeof(target->free_at));
	home_tell_cold(balance, target, used);
}

void heat_listed(balance_t *balance, balance_target_t *target, bool used)
{
	if (target->info.cold_ms > 0)
		apply(balance, target, target->info.cold_ms * USEC_PER_MSEC,
		      used, "entry");
}

void heat_heard(balance_t *balance, balance_target_t *target,
		const target_report_t *report)
{
	if (report->cold_ms > 0)
		apply(balance, target, report->cold_ms * USEC_PER_MSEC, true,
		      "response");
}

/*
 * Peers state the rate of a cold target as its limit, since former releases
 * know no other frame, and as age the time for which it has been cold.
 */
bool heat_told(balance_t *balance, balance_target_t *target,
	       const target_limit_t *limit, uint64_t age_us)
{
	int64_t now = kernel_now(balance->kernel);
	int64_t left = target->cold_us - (int64_t)age_us;

	if (target->cold_per_ks == 0 || limit->kind != LIMIT_STATED ||
	    limit->per_ks != target->cold_per_ks || left <= 0)
		return false;
	if (cold_is_news(&target->notice.cold, now + left, now))
		apply(balance, target, left, true, "peer");
	return true;
}

void heat_timed_out(balance_t *balance, handle_t ref)
{
	const balance_target_t *target = table_get(&balance->targets, ref);

	heat_update_gauge(balance);
	if (target == NULL || target->cold_per_ks == 0 ||
	    heat_is_cold(target, kernel_now(balance->kernel)))
		return;
	log_event(LOG_LEVEL_INFO, "balance", "warm", "target=%s service=%s",
		  target->info.id, target->info.service);
	queue_run(balance);
}

/* Unlike home_share(), the shares of all parts of the fleet sum up to one. */
void heat_update_share(balance_t *balance)
{
	cold_share_t *share = &balance->cold_share;
	int64_t now = kernel_now(balance->kernel);
	uint32_t reached = peer_set_count(&balance->peers) + 1;
	double rise = (double)(now - share->changed_at) / RISE_US;
	double reach = (double)reached / MAX(balance->instances, reached);

	share->value = MIN(share->value + rise, reach);
	share->changed_at = now;
}

void heat_peer_lost(balance_t *balance, const msg_t *msg)
{
	cold_share_t *share = &balance->cold_share;
	lost_peer_t *lost = &share->lost[share->next_lost++ % LOST_PEERS_MAX];

	heat_update_share(balance);
	g_strlcpy(lost->incarnation, msg->u.peer_addr.incarnation,
		  sizeof(lost->incarnation));
	g_strlcpy(lost->zone, msg->u.peer_addr.availability_zone,
		  sizeof(lost->zone));
	lost->lost_at = kernel_now(balance->kernel);
}

static double share_of(balance_t *balance, const balance_target_t *target)
{
	const cold_share_t *share = &balance->cold_share;
	int64_t now = kernel_now(balance->kernel);
	double value;

	heat_update_share(balance);
	value = share->value;
	for (uint32_t i = 0; i < LOST_PEERS_MAX; i++) {
		const lost_peer_t *lost = &share->lost[i];
		double risen = (double)(now - lost->lost_at) / REPLACE_US;

		if (lost->incarnation[0] != '\0' && risen < value &&
		    home_precedes(balance, target, lost->incarnation,
				  lost->zone))
			value = risen;
	}
	return value;
}

admission_t heat_admit(balance_t *balance, balance_target_t *target,
		       const limit_request_t *request)
{
	int64_t now = kernel_now(balance->kernel);
	admission_t admission = {.at = now + NOT_HOME_US};
	uint32_t per_ks = cold_rate(target->cold_per_ks, &balance->cold_bounds);
	char home[INCARNATION_SIZE];

	if (!home_find_cold(balance, target, home)) {
		if (target->notice.limit.stated)
			per_ks = MIN(per_ks, target->notice.limit.per_ks);
		admission = cold_admit(&target->notice.cold, per_ks,
				       share_of(balance, target), now, request);
	}
	metrics_add(balance->kernel->metrics,
		    admission.admitted ? COUNTER_COLD_ADMITTED
				       : COUNTER_COLD_REFUSED,
		    1);
	return admission;
}
