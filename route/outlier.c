#include "route/outlier.h"

#include "log/log.h"
#include "route/pick.h"

#include <math.h>
#include <stdlib.h>

#define MEDIAN_MAX_AGE_US (100 * USEC_PER_MSEC)
#define MEDIAN_SAMPLE_MAX 64 /* targets sampled in a large service */
#define SLOWNESS_WEIGHT 0.25
#define SLOWNESS_SAMPLES_MIN 4 /* samples needed to eject a target */
#define SLOWNESS_MAX 20.0 /* limit for one sample */
#define FAILURES_TO_SUSPEND 3 /* in a row, except failures to connect */
#define LATE_RATE_WEIGHT 0.02
#define LATE_RATE_MIN 0.05 /* share of attempts later than the p95 */
/*
 * A run of late attempts ejects a target only when the run is unlikely at the
 * service's late rate: in a burst attempts are late on all targets, and an
 * ejection would only remove capacity.
 */
#define LATE_RUN_PROBABILITY_MAX 2e-4
#define BACKOFF_DOUBLINGS_MAX 10

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns the median slowness of targets, cached for MEDIAN_MAX_AGE_US. */
static double median_slowness(route_t *route, group_t *group)
{
	double values[MEDIAN_SAMPLE_MAX];
	uint32_t count = 0, step;
	int64_t now = kernel_now(route->kernel);

	if (group->median_slowness > 0 &&
	    now - group->median_time < MEDIAN_MAX_AGE_US)
		return group->median_slowness;
	step = group->targets->len / MEDIAN_SAMPLE_MAX + 1;
	for (guint i = 0; i < group->targets->len; i += step) {
		const target_t *target = g_ptr_array_index(group->targets, i);

		if (target->slowness.samples >= SLOWNESS_SAMPLES_MIN &&
		    count < MEDIAN_SAMPLE_MAX)
			values[count++] = target->slowness.value;
	}
	qsort(values, count, sizeof(*values), compare_doubles);
	group->median_slowness = count == 0 ? 0 : values[count / 2];
	group->median_time = now;
	return group->median_slowness;
}

/* A full target queues requests, which explains late first bytes. */
static bool is_full(const route_t *route, const target_t *target)
{
	return target->reported_load >= target->record.concurrency &&
	       target_report_is_valid(route, target);
}

static int64_t backoff_us(uint32_t first_ms, uint32_t max_ms, uint32_t times)
{
	int64_t pause = (int64_t)first_ms << MIN(times, BACKOFF_DOUBLINGS_MAX);

	return MIN(pause, (int64_t)max_ms) * USEC_PER_MSEC;
}

static void suspend_target(route_t *route, target_t *target, int64_t pause)
{
	target->state = TARGET_SUSPENDED;
	target->probe = HANDLE_NONE;
	target->slow_start_began = 0;
	kernel_timer_cancel(route->kernel, &target->timer);
	target->timer = kernel_timer(route->kernel, route->svc, pause,
				     target->self, TIMER_TARGET);
	pick_update(route, target);
}

static void set_outlier(route_t *route, target_t *target, bool outlier)
{
	if (target->is_outlier == outlier)
		return;
	target->is_outlier = outlier;
	target->group->outliers += outlier ? 1 : -1;
	route->ejected += outlier ? 1 : -1;
	metrics_set(route->kernel->metrics, GAUGE_TARGETS_EJECTED,
		    route->ejected);
}

static void eject(route_t *route, target_t *target)
{
	const policy_t *policy = route->policy;
	const group_t *group = target->group;
	uint32_t max = group->targets->len * policy->eject_max_percent / 100;

	if (!target->configured || target->state == TARGET_SUSPENDED)
		return;
	/* More ejections would overload the remaining targets. */
	if (!target->is_outlier && group->outliers >= max)
		return;
	set_outlier(route, target, true);
	metrics_add(route->kernel->metrics, COUNTER_EJECTIONS, 1);
	suspend_target(route, target,
		       backoff_us(policy->eject_ms, policy->eject_max_ms,
				  target->consecutive_ejections++));
}

/*
 * Suspends a failing target.  Unlike eject(), there is no limit on the number
 * of targets, because a target that can't be reached can't serve.
 */
static void back_off(route_t *route, target_t *target)
{
	if (target->state == TARGET_SUSPENDED)
		return;
	suspend_target(route, target,
		       backoff_us(route->policy->backoff_ms,
				  route->policy->backoff_max_ms,
				  target->consecutive_ejections++));
}

static void suspend_after_probe(route_t *route, target_t *target)
{
	suspend_target(route, target,
		       backoff_us(route->policy->eject_ms,
				  route->policy->eject_max_ms,
				  target->consecutive_ejections++));
}

static void readmit(route_t *route, target_t *target)
{
	set_outlier(route, target, false);
	target->state = TARGET_ACTIVE;
	target->probe = HANDLE_NONE;
	target->slowness = (mean_t){0, 0};
	target->consecutive_failures = 0;
	target->consecutive_late = 0;
	target_slow_start(route, target);
}

static bool is_probe(const assignment_t *assignment, const target_t *target)
{
	return target->state == TARGET_PROBING &&
	       handle_equal(target->probe, assignment->self);
}

static void clear_overdue(assignment_t *assignment, target_t *target)
{
	if (!assignment->overdue)
		return;
	assignment->overdue = false;
	target->overdue--;
	assignment->group->overdue--;
}

void outlier_first_byte(route_t *route, assignment_t *assignment,
			target_t *target)
{
	clear_overdue(assignment, target);
	if (!assignment->late) {
		if (target->consecutive_late == 0)
			mean_add(&assignment->group->late_rate, 0,
				 LATE_RATE_WEIGHT);
		target->consecutive_late = 0;
	}
	if (!is_probe(assignment, target))
		return;
	/* A late first byte means that the target is still slow. */
	if (assignment->late)
		suspend_after_probe(route, target);
	else
		readmit(route, target);
}

/*
 * The slower attempt of a hedged request is cancelled before it is overdue, so
 * a run of late attempts without a timely one counts against a target as well.
 */
void outlier_late(route_t *route, assignment_t *assignment, target_t *target)
{
	double probability =
		CLAMP(assignment->group->late_rate.value, LATE_RATE_MIN, 1);

	/*
	 * Only the first late attempt of a run counts towards the late rate, so
	 * that a slow target barely raises the rate that it is judged by.
	 */
	if (target->consecutive_late == 0)
		mean_add(&assignment->group->late_rate, 1, LATE_RATE_WEIGHT);
	assignment->late = true;
	if (++target->consecutive_late >= route->policy->late_count &&
	    pow(probability, target->consecutive_late) <
		    LATE_RUN_PROBABILITY_MAX &&
	    target->state == TARGET_ACTIVE && !is_full(route, target))
		eject(route, target);
}

static void update_slowness(route_t *route, const assignment_t *assignment,
			    target_t *target, int64_t tokens)
{
	int64_t expected =
		estimate_duration(&assignment->group->estimate, tokens);
	int64_t elapsed = kernel_now(route->kernel) - assignment->started;
	double factor = route->policy->eject_factor_percent / 100.0;
	double median;

	if (expected <= 0 || tokens <= 0)
		return;
	mean_add(&target->slowness,
		 MIN((double)elapsed / (double)expected, SLOWNESS_MAX),
		 SLOWNESS_WEIGHT);
	median = median_slowness(route, target->group);
	if (target->slowness.samples >= SLOWNESS_SAMPLES_MIN && median > 0 &&
	    target->slowness.value > factor * median)
		eject(route, target);
}

void outlier_target_leaving(route_t *route, target_t *target)
{
	int64_t hold = route->policy->leave_hold_ms * USEC_PER_MSEC;

	target->hold_until = kernel_now(route->kernel) + hold;
	suspend_target(route, target, hold);
}

/* Of several pauses, the one that ends last counts. */
void outlier_target_paused(route_t *route, target_t *target, int64_t pause)
{
	int64_t now = kernel_now(route->kernel);

	if (now + pause <= target->paused_until)
		return;
	target->paused_until = now + pause;
	log_event(LOG_LEVEL_INFO, "route", "paused",
		  "target=%s pause_ms=%" G_GINT64_FORMAT, target->record.name,
		  pause / USEC_PER_MSEC);
	suspend_target(route, target, target_hold(route, target));
}

void outlier_set_leaving(route_t *route, target_t *target, bool leaving)
{
	target->leaving = leaving;
	if (!leaving && target->hold_until > kernel_now(route->kernel)) {
		target->hold_until = 0;
		suspend_target(route, target, target_hold(route, target));
	}
	pick_update(route, target);
}

static void handle_failure(route_t *route, target_t *target, failure_t failure)
{
	switch (failure) {
	case FAILURE_CONNECT:
	case FAILURE_SILENT:
		back_off(route, target);
		break;
	case FAILURE_SENT:
	case FAILURE_HEAD:
	case FAILURE_STREAM:
		/* A request may cause one failure, but hardly a run of them. */
		if (++target->consecutive_failures >= FAILURES_TO_SUSPEND)
			back_off(route, target);
		break;
	case FAILURE_OVERLOADED:
		target->reported_load = MAX(target->record.concurrency, 1);
		target->running_at_report = 0;
		target->report_time = kernel_now(route->kernel);
		break;
	case FAILURE_LEAVING:
		outlier_target_leaving(route, target);
		break;
	default:
		break;
	}
}

void outlier_done(route_t *route, assignment_t *assignment, target_t *target,
		  failure_t failure, int64_t tokens)
{
	bool probe = is_probe(assignment, target);

	clear_overdue(assignment, target);
	if (failure == FAILURE_NONE) {
		target->consecutive_failures = 0;
		if (probe)
			readmit(route, target);
		update_slowness(route, assignment, target, tokens);
		return;
	}
	if (probe)
		target->probe = HANDLE_NONE;
	handle_failure(route, target, failure);
}

/*
 * Outstanding work reveals a slow target before any request completes.  The
 * share of overdue work is compared with that of the peers, because a burst
 * delays the work on all targets.
 */
void outlier_overdue(route_t *route, assignment_t *assignment, target_t *target)
{
	const group_t *group = assignment->group;
	double running, peers;

	if (!assignment->overdue) {
		assignment->overdue = true;
		target->overdue++;
		assignment->group->overdue++;
	}
	if (is_probe(assignment, target)) {
		suspend_after_probe(route, target);
		return;
	}
	if (target->overdue < route->policy->overdue_count ||
	    is_full(route, target))
		return;
	running = group->running[WORK_SHORT] + group->running[WORK_LONG] -
		  target_running(target) + 1.0;
	peers = (group->overdue - target->overdue) / running;
	if ((double)target->overdue / MAX(target_running(target), 1) >
	    route->policy->eject_factor_percent / 100.0 * peers)
		eject(route, target);
}

void outlier_timer(route_t *route, target_t *target)
{
	int64_t now = kernel_now(route->kernel);

	target->timer = HANDLE_NONE;
	if (target->state == TARGET_SUSPENDED) {
		target->state = TARGET_PROBING;
	} else if (target->state == TARGET_ACTIVE &&
		   target->slow_start_began != 0) {
		if (now - target->slow_start_began >=
		    route->policy->slow_start_ms * USEC_PER_MSEC) {
			target->slow_start_began = 0;
			target->consecutive_ejections = 0;
		} else {
			int64_t began = target->slow_start_began;

			target_slow_start(route, target);
			target->slow_start_began = began;
		}
	}
	pick_update(route, target);
}
