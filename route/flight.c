#include "route/flight.h"

#include "route/outlier.h"
#include "route/pick.h"

/* Hedges saved up in quiet times, which a slowed target uses at once. */
#define HEDGE_CREDIT_MAX 10.0
/* Work may take this multiple of the time of its worst case. */
#define WORST_FACTOR 1.5
/* Until the first byte's times are known. */
#define LATE_UNKNOWN (10 * USEC_PER_SEC)

static void set_timer(route_t *route, assignment_t *assignment, int64_t after,
		      timer_what_t what)
{
	int64_t passed = kernel_now(route->kernel) - assignment->since;

	kernel_timer_cancel(route->kernel, &assignment->timer);
	assignment->timer =
		kernel_timer(route->kernel, route->svc, after - passed,
			     assignment->self, what);
}

static void post_picked(route_t *route, const ask_t *ask,
			const assignment_t *assignment, const target_t *target)
{
	msg_t msg = {.kind = MSG_ROUTE_ASSIGNED,
		     .ref = ask->id,
		     .id = assignment->self};

	msg.u.assigned.target = target->self;
	g_strlcpy(msg.u.assigned.name, target->record.name,
		  sizeof(msg.u.assigned.name));
	g_strlcpy(msg.u.assigned.host, target->record.host,
		  sizeof(msg.u.assigned.host));
	msg.u.assigned.port = target->record.port;
	msg.u.assigned.priority = ask->work == WORK_SHORT ? 0 : 1;
	kernel_post(route->kernel, route->svc, route->request, &msg);
}

void flight_start(route_t *route, const ask_t *ask, target_t *target)
{
	group_t *group = ask->group;
	double p95 = group->estimate.first_byte_p95;
	assignment_t *assignment;
	handle_t self = table_add(&route->assignments, (void **)&assignment);

	assignment->self = self;
	assignment->id = ask->id;
	assignment->target = target->self;
	assignment->group = group;
	assignment->work = ask->work;
	assignment->hedge = ask->hedge;
	assignment->worst = ask->worst;
	assignment->tokens = ask->tokens;
	assignment->duration = ask->duration;
	assignment->since = kernel_now(route->kernel);
	target->running[ask->work]++;
	group->running[ask->work]++;
	if (target->state == TARGET_PROBED)
		target->probe = self;
	if (!ask->hedge)
		group->hedge_credit =
			MIN(group->hedge_credit +
				    route->policy->hedge_permille / 1000.0,
			    HEDGE_CREDIT_MAX);
	set_timer(route, assignment,
		  p95 <= 0
			  ? LATE_UNKNOWN
			  : (int64_t)(p95 * route->policy->hedge_delay_percent /
				      100.0),
		  TIMER_LATE);
	pick_update(route, target);
	post_picked(route, ask, assignment, target);
}

void flight_first_byte(route_t *route, handle_t handle)
{
	assignment_t *assignment = table_get(&route->assignments, handle);
	target_t *target;
	int64_t worst;

	if (assignment == NULL || assignment->first_byte)
		return;
	target = table_get(&route->targets, assignment->target);
	assignment->first_byte = true;
	assignment->first_byte_us =
		kernel_now(route->kernel) - assignment->since;
	metrics_observe(route->kernel->metrics, HISTOGRAM_FIRST_BYTE,
			assignment->first_byte_us);
	estimate_first_byte(&assignment->group->estimate,
			    assignment->first_byte_us);
	if (target != NULL) {
		outlier_first_byte(route, assignment, target);
		pick_update(route, target);
	}
	worst = estimate_duration(&assignment->group->estimate,
				  assignment->worst);
	set_timer(route, assignment,
		  (int64_t)((double)worst * WORST_FACTOR) + LATE_UNKNOWN / 100,
		  TIMER_OVERDUE);
}

static void learn(const route_t *route, const assignment_t *assignment,
		  const msg_t *msg)
{
	int64_t took = kernel_now(route->kernel) - assignment->since;

	if (msg->u.route_done.failure != FAILURE_NONE ||
	    !assignment->first_byte)
		return;
	estimate_done(&assignment->group->estimate, assignment->worst,
		      msg->u.route_done.tokens, took,
		      assignment->first_byte_us);
}

group_t *flight_done(route_t *route, const msg_t *msg)
{
	assignment_t *assignment = table_get(&route->assignments, msg->ref);
	target_t *target;
	group_t *group;

	if (assignment == NULL)
		return NULL;
	group = assignment->group;
	target = table_get(&route->targets, assignment->target);
	kernel_timer_cancel(route->kernel, &assignment->timer);
	learn(route, assignment, msg);
	group->running[assignment->work]--;
	if (target != NULL) {
		target->running[assignment->work]--;
		outlier_done(route, assignment, target,
			     msg->u.route_done.failure,
			     msg->u.route_done.tokens);
		pick_update(route, target);
		target_forget(route, target);
	}
	table_remove(&route->assignments, msg->ref);
	return group;
}

/* True when a target other than the late one could take the work at once. */
static bool has_other(const route_t *route, const assignment_t *assignment)
{
	ask_t ask = {.group = assignment->group,
		     .work = assignment->work,
		     .hedge = true,
		     .avoid_count = 1,
		     .avoid = {assignment->target}};

	return pick_choose(route, &ask) != NULL;
}

static void hedge(route_t *route, const assignment_t *assignment)
{
	msg_t msg = {.kind = MSG_ROUTE_HEDGE, .ref = assignment->id};
	group_t *group = assignment->group;

	if (!group->record.hedge || !group->record.idempotent ||
	    assignment->work != WORK_SHORT || assignment->hedge ||
	    group->hedge_credit < 1 || !has_other(route, assignment))
		return;
	group->hedge_credit -= 1;
	kernel_post(route->kernel, route->svc, route->request, &msg);
}

void flight_timer(route_t *route, handle_t handle, timer_what_t what)
{
	assignment_t *assignment = table_get(&route->assignments, handle);
	target_t *target;
	double p95;

	if (assignment == NULL)
		return;
	target = table_get(&route->targets, assignment->target);
	p95 = assignment->group->estimate.first_byte_p95;
	if (target == NULL)
		return;
	if (what == TIMER_LATE) {
		outlier_late(route, assignment, target);
		hedge(route, assignment);
		set_timer(route, assignment,
			  p95 <= 0
				  ? LATE_UNKNOWN
				  : (int64_t)(p95 *
					      route->policy
						      ->overdue_factor_percent /
					      100.0),
			  TIMER_OVERDUE);
		return;
	}
	outlier_overdue(route, assignment, target);
}
