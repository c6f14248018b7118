#include "route/assignment.h"

#include "route/outlier.h"
#include "route/pick.h"

/* Limit on hedges saved up in quiet times, for use when a target slows down. */
#define HEDGE_CREDIT_MAX 10.0
/* An assignment is overdue after this multiple of its worst-case duration. */
#define WORST_CASE_FACTOR 1.5
/* Limit for the first byte while the service has no first-byte estimate. */
#define FIRST_BYTE_DEFAULT_US (10 * USEC_PER_SEC)

static void restart_timer(route_t *route, assignment_t *assignment,
			  int64_t after, route_timer_t what)
{
	int64_t passed = kernel_now(route->kernel) - assignment->started;

	kernel_timer_cancel(route->kernel, &assignment->timer);
	assignment->timer =
		kernel_timer(route->kernel, route->svc, after - passed,
			     assignment->self, what);
}

static void post_assigned(route_t *route, const route_req_t *req,
			  const assignment_t *assignment,
			  const target_t *target)
{
	msg_t msg = {.kind = MSG_ROUTE_ASSIGNED,
		     .ref = req->attempt,
		     .id = assignment->self};

	msg.u.assigned.target = target->self;
	g_strlcpy(msg.u.assigned.name, target->record.name,
		  sizeof(msg.u.assigned.name));
	g_strlcpy(msg.u.assigned.host, target->record.host,
		  sizeof(msg.u.assigned.host));
	msg.u.assigned.port = target->record.port;
	msg.u.assigned.priority = req->work == WORK_SHORT ? 0 : 1;
	kernel_post(route->kernel, route->svc, route->request, &msg);
}

void assignment_start(route_t *route, const route_req_t *req, target_t *target)
{
	group_t *group = req->group;
	double p95 = group->estimate.first_byte_p95;
	assignment_t *assignment;
	handle_t self = table_add(&route->assignments, (void **)&assignment);

	assignment->self = self;
	assignment->attempt = req->attempt;
	assignment->target = target->self;
	assignment->group = group;
	assignment->work = req->work;
	assignment->hedge = req->hedge;
	assignment->worst_tokens = req->worst_tokens;
	assignment->tokens = req->tokens;
	assignment->duration = req->duration;
	assignment->started = kernel_now(route->kernel);
	target->running[req->work]++;
	group->running[req->work]++;
	if (target->state == TARGET_PROBING)
		target->probe = self;
	if (!req->hedge)
		group->hedge_credit =
			MIN(group->hedge_credit +
				    route->policy->hedge_permille / 1000.0,
			    HEDGE_CREDIT_MAX);
	restart_timer(
		route, assignment,
		p95 <= 0 ? FIRST_BYTE_DEFAULT_US
			 : (int64_t)(p95 * route->policy->hedge_delay_percent /
				     100.0),
		TIMER_FIRST_BYTE);
	pick_update(route, target);
	post_assigned(route, req, assignment, target);
}

void assignment_first_byte(route_t *route, handle_t handle)
{
	assignment_t *assignment = table_get(&route->assignments, handle);
	target_t *target;
	int64_t worst_us;

	if (assignment == NULL || assignment->first_byte)
		return;
	target = table_get(&route->targets, assignment->target);
	assignment->first_byte = true;
	assignment->first_byte_us =
		kernel_now(route->kernel) - assignment->started;
	metrics_observe(route->kernel->metrics, HISTOGRAM_FIRST_BYTE,
			assignment->first_byte_us);
	estimate_add_first_byte(&assignment->group->estimate,
				assignment->first_byte_us);
	if (target != NULL) {
		outlier_first_byte(route, assignment, target);
		pick_update(route, target);
	}
	worst_us = estimate_duration(&assignment->group->estimate,
				     assignment->worst_tokens);
	restart_timer(route, assignment,
		      (int64_t)((double)worst_us * WORST_CASE_FACTOR) +
			      FIRST_BYTE_DEFAULT_US / 100,
		      TIMER_OVERDUE);
}

static void update_estimate(const route_t *route,
			    const assignment_t *assignment, const msg_t *msg)
{
	int64_t elapsed = kernel_now(route->kernel) - assignment->started;

	if (msg->u.route_done.failure != FAILURE_NONE ||
	    !assignment->first_byte)
		return;
	estimate_add_completed(
		&assignment->group->estimate, assignment->worst_tokens,
		msg->u.route_done.tokens, elapsed, assignment->first_byte_us);
}

group_t *assignment_done(route_t *route, const msg_t *msg)
{
	assignment_t *assignment = table_get(&route->assignments, msg->ref);
	target_t *target;
	group_t *group;

	if (assignment == NULL)
		return NULL;
	group = assignment->group;
	target = table_get(&route->targets, assignment->target);
	kernel_timer_cancel(route->kernel, &assignment->timer);
	update_estimate(route, assignment, msg);
	group->running[assignment->work]--;
	if (target != NULL) {
		target->running[assignment->work]--;
		outlier_done(route, assignment, target,
			     msg->u.route_done.failure,
			     msg->u.route_done.tokens);
		pick_update(route, target);
		target_remove_unused(route, target);
	}
	table_remove(&route->assignments, msg->ref);
	return group;
}

/* Returns true if another target could take the work of a late attempt now. */
static bool has_alternative(const route_t *route,
			    const assignment_t *assignment)
{
	route_req_t req = {.group = assignment->group,
			   .work = assignment->work,
			   .hedge = true,
			   .avoid_count = 1,
			   .avoid = {assignment->target}};

	return pick_target(route, &req) != NULL;
}

static void offer_hedge(route_t *route, const assignment_t *assignment)
{
	msg_t msg = {.kind = MSG_ROUTE_HEDGE, .ref = assignment->attempt};
	group_t *group = assignment->group;

	if (!group->record.hedge || !group->record.idempotent ||
	    assignment->work != WORK_SHORT || assignment->hedge ||
	    group->hedge_credit < 1 || !has_alternative(route, assignment))
		return;
	group->hedge_credit -= 1;
	kernel_post(route->kernel, route->svc, route->request, &msg);
}

void assignment_timer(route_t *route, handle_t handle, route_timer_t what)
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
	if (what == TIMER_FIRST_BYTE) {
		outlier_late(route, assignment, target);
		offer_hedge(route, assignment);
		restart_timer(
			route, assignment,
			p95 <= 0 ? FIRST_BYTE_DEFAULT_US
				 : (int64_t)(p95 *
					     route->policy
						     ->overdue_factor_percent /
					     100.0),
			TIMER_OVERDUE);
		return;
	}
	outlier_overdue(route, assignment, target);
}
