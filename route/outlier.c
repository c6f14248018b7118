#include "route/outlier.h"

#include "route/pick.h"

#include <math.h>
#include <stdlib.h>

#define MEDIAN_VALID (100 * USEC_PER_MSEC)
#define MEDIAN_TARGETS 64 /* a sample of a large service's targets */
#define SLOWNESS_WEIGHT 0.25
#define SLOWNESS_SAMPLES 4 /* before a mean can eject */
#define SLOWNESS_MAX 20.0 /* of one sample */
#define FAILURES_MAX 3 /* other than of the connection, in a row */
#define LATE_WEIGHT 0.02
#define LATE_MIN 0.05 /* the attempts above the p95 */
/*
 * A run of late attempts ejects when it is no chance: in a burst attempts are
 * late on all targets, and an ejection would only take capacity away.
 */
#define LATE_CHANCE 2e-4
#define DOUBLINGS_MAX 10

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Median of the peers' slowness, at most MEDIAN_VALID old. */
static double median_of(route_t *route, group_t *group)
{
	double values[MEDIAN_TARGETS];
	uint32_t count = 0, step;
	int64_t now = kernel_now(route->kernel);

	if (group->median > 0 && now - group->median_time < MEDIAN_VALID)
		return group->median;
	step = group->targets->len / MEDIAN_TARGETS + 1;
	for (guint i = 0; i < group->targets->len; i += step) {
		const target_t *target = g_ptr_array_index(group->targets, i);

		if (target->slowness.samples >= SLOWNESS_SAMPLES &&
		    count < MEDIAN_TARGETS)
			values[count++] = target->slowness.value;
	}
	qsort(values, count, sizeof(*values), compare_doubles);
	group->median = count == 0 ? 0 : values[count / 2];
	group->median_time = now;
	return group->median;
}

/* A full target has a queue, which explains late first bytes. */
static bool is_full(const route_t *route, const target_t *target)
{
	return target->reported >= target->record.concurrency &&
	       target_report_is_valid(route, target);
}

static int64_t pause_us(uint32_t first_ms, uint32_t max_ms, uint32_t times)
{
	int64_t pause = (int64_t)first_ms << MIN(times, DOUBLINGS_MAX);

	return MIN(pause, (int64_t)max_ms) * USEC_PER_MSEC;
}

static void close_target(route_t *route, target_t *target, int64_t pause)
{
	target->state = TARGET_EJECTED;
	target->probe = HANDLE_NONE;
	target->readmitted = 0;
	kernel_timer_cancel(route->kernel, &target->timer);
	target->timer = kernel_timer(route->kernel, route->svc, pause,
				     target->self, TIMER_TARGET);
	pick_update(route, target);
}

static void set_outlier(route_t *route, target_t *target, bool outlier)
{
	if (target->outlier == outlier)
		return;
	target->outlier = outlier;
	target->group->ejected += outlier ? 1 : -1;
	route->ejected += outlier ? 1 : -1;
	metrics_set(route->kernel->metrics, GAUGE_TARGETS_EJECTED,
		    route->ejected);
}

static void eject(route_t *route, target_t *target)
{
	const policy_t *policy = route->policy;
	const group_t *group = target->group;
	uint32_t max = group->targets->len * policy->eject_max_percent / 100;

	if (!target->configured || target->state == TARGET_EJECTED)
		return;
	/* Ejecting more would overload the rest. */
	if (!target->outlier && group->ejected >= max)
		return;
	set_outlier(route, target, true);
	metrics_add(route->kernel->metrics, COUNTER_EJECTIONS, 1);
	close_target(route, target,
		     pause_us(policy->eject_ms, policy->eject_max_ms,
			      target->ejections++));
}

/* No bound on how many: a target without a connection can't serve. */
static void back_off(route_t *route, target_t *target)
{
	if (target->state == TARGET_EJECTED)
		return;
	close_target(route, target,
		     pause_us(route->policy->backoff_ms,
			      route->policy->backoff_max_ms,
			      target->ejections++));
}

/* After a probe that failed. */
static void close_again(route_t *route, target_t *target)
{
	close_target(route, target,
		     pause_us(route->policy->eject_ms,
			      route->policy->eject_max_ms,
			      target->ejections++));
}

static void readmit(route_t *route, target_t *target)
{
	set_outlier(route, target, false);
	target->state = TARGET_OPEN;
	target->probe = HANDLE_NONE;
	target->slowness = (mean_t){0, 0};
	target->failures = 0;
	target->late = 0;
	target_slow_start(route, target);
}

static bool is_probe(const assignment_t *assignment, const target_t *target)
{
	return target->state == TARGET_PROBED &&
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
		if (target->late == 0)
			mean_add(&assignment->group->late, 0, LATE_WEIGHT);
		target->late = 0;
	}
	if (!is_probe(assignment, target))
		return;
	/* A probe that is late shows that the target is still slow. */
	if (assignment->late)
		close_again(route, target);
	else
		readmit(route, target);
}

/*
 * Hedges are cancelled before they are overdue, so a run of late attempts
 * without a timely one in between counts as well.
 */
void outlier_late(route_t *route, assignment_t *assignment, target_t *target)
{
	double chance = CLAMP(assignment->group->late.value, LATE_MIN, 1);

	/* Runs are not counted on, so that a slowed target hides little. */
	if (target->late == 0)
		mean_add(&assignment->group->late, 1, LATE_WEIGHT);
	assignment->late = true;
	if (++target->late >= route->policy->late_count &&
	    pow(chance, target->late) < LATE_CHANCE &&
	    target->state == TARGET_OPEN && !is_full(route, target))
		eject(route, target);
}

static void add_slowness(route_t *route, const assignment_t *assignment,
			 target_t *target, int64_t tokens)
{
	int64_t expected =
		estimate_duration(&assignment->group->estimate, tokens);
	int64_t took = kernel_now(route->kernel) - assignment->since;
	double factor = route->policy->eject_factor_percent / 100.0;
	double median;

	if (expected <= 0 || tokens <= 0)
		return;
	mean_add(&target->slowness,
		 MIN((double)took / (double)expected, SLOWNESS_MAX),
		 SLOWNESS_WEIGHT);
	median = median_of(route, target->group);
	if (target->slowness.samples >= SLOWNESS_SAMPLES && median > 0 &&
	    target->slowness.value > factor * median)
		eject(route, target);
}

void outlier_leaves(route_t *route, target_t *target)
{
	int64_t hold = route->policy->leave_hold_ms * USEC_PER_MSEC;

	target->hold_until = kernel_now(route->kernel) + hold;
	close_target(route, target, hold);
}

void outlier_listed(route_t *route, target_t *target, bool leaving)
{
	target->leaving = leaving;
	if (!leaving && target->hold_until > kernel_now(route->kernel)) {
		target->hold_until = 0;
		close_target(route, target, 0);
	}
	pick_update(route, target);
}

static void on_failure(route_t *route, target_t *target, failure_t failure)
{
	switch (failure) {
	case FAILURE_CONNECT:
	case FAILURE_SILENT:
		back_off(route, target);
		break;
	case FAILURE_SENT:
	case FAILURE_HEAD:
	case FAILURE_STREAM:
		/* One may be the request's fault, several are the target's. */
		if (++target->failures >= FAILURES_MAX)
			back_off(route, target);
		break;
	case FAILURE_OVERLOADED:
		target->reported = MAX(target->record.concurrency, 1);
		target->running_at_report = 0;
		target->report_time = kernel_now(route->kernel);
		break;
	case FAILURE_LEAVING:
		outlier_leaves(route, target);
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
		target->failures = 0;
		if (probe)
			readmit(route, target);
		add_slowness(route, assignment, target, tokens);
		return;
	}
	if (probe)
		target->probe = HANDLE_NONE;
	on_failure(route, target, failure);
}

/*
 * Work in flight shows a slowed target before anything completes.  The peers'
 * overdue work is compared, because a burst delays the work of all.
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
		close_again(route, target);
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
	if (target->state == TARGET_EJECTED) {
		target->state = TARGET_PROBED;
	} else if (target->state == TARGET_OPEN && target->readmitted != 0) {
		if (now - target->readmitted >=
		    route->policy->slow_start_ms * USEC_PER_MSEC) {
			target->readmitted = 0;
			target->ejections = 0;
		} else {
			int64_t since = target->readmitted;

			target_slow_start(route, target);
			target->readmitted = since;
		}
	}
	pick_update(route, target);
}
