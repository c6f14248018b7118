#include "route/route.h"

#include "route/admit.h"
#include "route/assignment.h"
#include "route/outlier.h"
#include "route/pick.h"
#include "route/target.h"

#include <string.h>

/* Recounts the available targets of a service and serves its queue. */
static void refresh(route_t *route, group_t *group)
{
	group->available = 0;
	for (guint i = 0; i < group->targets->len; i++)
		group->available += target_is_available(
			route, g_ptr_array_index(group->targets, i));
	admit_serve_queue(route, group);
}

static void refresh_all(route_t *route)
{
	GHashTableIter i;
	group_t *group;

	g_hash_table_iter_init(&i, route->groups);
	while (g_hash_table_iter_next(&i, NULL, (gpointer *)&group))
		refresh(route, group);
}

static void on_conf(route_t *route, msg_t *msg)
{
	conf_snapshot_unref(route->conf);
	route->conf = g_steal_pointer(&msg->u.conf);
	route->policy = policy_get(route->conf->preset);
	target_apply_conf(route, route->conf);
	refresh_all(route);
}

static void on_members(route_t *route, const member_list_t *list)
{
	uint32_t alive = 0;
	GHashTableIter i;
	group_t *group;

	for (guint n = 0; n < list->members->len; n++) {
		if (g_array_index(list->members, member_info_t, n).state ==
		    MEMBER_ALIVE)
			alive++;
	}
	if (route->members == MAX(alive, 1))
		return;
	route->members = MAX(alive, 1);
	g_hash_table_iter_init(&i, route->groups);
	while (g_hash_table_iter_next(&i, NULL, (gpointer *)&group))
		pick_rebuild(route, group);
	refresh_all(route);
}

static void on_done(route_t *route, const msg_t *msg)
{
	group_t *group = assignment_done(route, msg);

	if (group == NULL)
		return;
	if (msg->u.route_done.failure == FAILURE_LEAVING)
		refresh(route, group);
	else
		admit_serve_queue(route, group);
}

static void on_report(route_t *route, const msg_t *msg)
{
	target_t *target = target_find(route, msg->u.target_report.host,
				       msg->u.target_report.port);

	if (target == NULL)
		return;
	target->reported_load = MIN(msg->u.target_report.running, G_MAXINT32) +
				MIN(msg->u.target_report.queued, G_MAXINT32);
	target->running_at_report = target_running(target);
	target->report_time = kernel_now(route->kernel);
	pick_update(route, target);
	admit_serve_queue(route, target->group);
}

static void on_leaving(route_t *route, const msg_t *msg)
{
	target_t *target = target_find(route, msg->u.target_leaving.host,
				       msg->u.target_leaving.port);

	if (target == NULL)
		return;
	/* The dispatch service forwards what the target announces. */
	if (handle_equal(msg->from, route->dispatch))
		outlier_target_leaving(route, target);
	else
		outlier_set_leaving(route, target,
				    msg->u.target_leaving.leaving);
	refresh(route, target->group);
}

static void on_paused(route_t *route, const msg_t *msg)
{
	target_t *target = target_find(route, msg->u.target_paused.host,
				       msg->u.target_paused.port);

	if (target == NULL)
		return;
	outlier_target_paused(route, target, msg->u.target_paused.pause_us);
	refresh(route, target->group);
}

static void on_timer(route_t *route, const msg_t *msg)
{
	target_t *target;

	switch ((route_timer_t)msg->u.timer.kind) {
	case TIMER_LATEST_START:
		admit_timeout(route, msg->ref);
		break;
	case TIMER_FIRST_BYTE:
	case TIMER_OVERDUE:
		assignment_timer(route, msg->ref,
				 (route_timer_t)msg->u.timer.kind);
		break;
	case TIMER_TARGET:
		target = table_get(&route->targets, msg->ref);
		if (target == NULL)
			break;
		outlier_timer(route, target);
		refresh(route, target->group);
		break;
	}
}

static void on_start(route_t *route)
{
	msg_t conf = {.kind = MSG_CONF_SUBSCRIBE};
	msg_t members = {.kind = MSG_MEMBER_SUBSCRIBE};
	kernel_t *kernel = route->kernel;

	route->request = kernel_find(kernel, "request");
	route->dispatch = kernel_find(kernel, "dispatch");
	kernel_post(kernel, route->svc, kernel_find(kernel, "conf"), &conf);
	kernel_post(kernel, route->svc, kernel_find(kernel, "member"),
		    &members);
}

static void receive(void *self, msg_t *msg)
{
	route_t *route = self;

	switch (msg->kind) {
	case MSG_START:
		on_start(route);
		break;
	case MSG_CONF_CHANGED:
		on_conf(route, msg);
		break;
	case MSG_MEMBER_CHANGED:
		on_members(route, msg->u.members);
		break;
	case MSG_ROUTE_REQUEST:
		admit_request(route, msg);
		break;
	case MSG_ROUTE_CANCEL:
		admit_cancel(route, msg->id);
		break;
	case MSG_ROUTE_FIRST_BYTE:
		assignment_first_byte(route, msg->ref);
		break;
	case MSG_ROUTE_DONE:
		on_done(route, msg);
		break;
	case MSG_TARGET_REPORT:
		on_report(route, msg);
		break;
	case MSG_TARGET_LEAVING:
		on_leaving(route, msg);
		break;
	case MSG_TARGET_PAUSED:
		on_paused(route, msg);
		break;
	case MSG_TIMER:
		on_timer(route, msg);
		break;
	default:
		break;
	}
}

void route_init(route_t *route, kernel_t *kernel, const char *availability_zone)
{
	memset(route, 0, sizeof(*route));
	route->kernel = kernel;
	route->members = 1;
	route->policy = policy_get(PRESET_ORDINARY);
	g_strlcpy(route->availability_zone, availability_zone,
		  sizeof(route->availability_zone));
	route->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      group_free);
	route->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	route->by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	route->by_attempt = g_hash_table_new(g_int64_hash, g_int64_equal);
	table_init(&route->targets, sizeof(target_t));
	table_init(&route->reqs, sizeof(route_req_t));
	table_init(&route->assignments, sizeof(assignment_t));
	route->svc = kernel_register(kernel, "route", receive, route);
}

void route_finish(route_t *route)
{
	admit_finish(route);
	kernel_unregister(route->kernel, route->svc);
	conf_snapshot_unref(route->conf);
	g_hash_table_unref(route->by_attempt);
	g_hash_table_unref(route->by_address);
	g_hash_table_unref(route->by_name);
	g_hash_table_unref(route->groups);
	table_finish(&route->targets);
	table_finish(&route->reqs);
	table_finish(&route->assignments);
}
