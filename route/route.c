#include "route/route.h"

#include "route/target.h"

#include <string.h>

#define QUEUE_MAX 10000 /* requests that wait at this router */
#define RETRY_AFTER_S 1

typedef struct ask_t {
	handle_t id; /* of the request */
	char service[NAME_SIZE];
	int64_t tokens;
	int64_t deadline; /* us */
	int64_t since; /* us */
	uint32_t avoid_count;
	handle_t avoid[ROUTE_AVOID_MAX];
	handle_t timer;
	GList *link; /* in the queue */
} ask_t;

typedef struct assignment_t {
	handle_t target;
	int64_t tokens;
	int64_t since; /* us */
} assignment_t;

typedef enum timer_what_t {
	TIMER_DEADLINE,
} timer_what_t;

static bool is_avoided(const ask_t *ask, handle_t target)
{
	for (uint32_t i = 0; i < ask->avoid_count; i++) {
		if (handle_equal(ask->avoid[i], target))
			return true;
	}
	return false;
}

/* Fewest outstanding tokens, own availability zone first on a tie. */
static bool is_better(const route_t *route, const target_t *a,
		      const target_t *b)
{
	if (a->outstanding != b->outstanding)
		return a->outstanding < b->outstanding;
	return strcmp(a->record.availability_zone, route->availability_zone) ==
		       0 &&
	       strcmp(b->record.availability_zone, route->availability_zone) !=
		       0;
}

/* Counts the targets that could ever serve the ask in *usable. */
static target_t *choose(route_t *route, const ask_t *ask, handle_t *chosen,
			uint32_t *usable)
{
	target_t *best = NULL;
	target_t *target;
	handle_t handle;
	uint32_t cursor = 0;

	*usable = 0;
	while ((target = table_next(&route->targets, &cursor, &handle)) !=
	       NULL) {
		if (strcmp(target->record.service, ask->service) != 0 ||
		    !target_is_open(target) || is_avoided(ask, handle))
			continue;
		(*usable)++;
		if (target->running >= target_limit(route, target))
			continue;
		if (best == NULL || is_better(route, target, best)) {
			best = target;
			*chosen = handle;
		}
	}
	return best;
}

static void remove_ask(route_t *route, handle_t handle, ask_t *ask)
{
	kernel_timer_cancel(route->kernel, &ask->timer);
	if (ask->link != NULL) {
		g_free(ask->link->data);
		g_queue_delete_link(&route->queue, ask->link);
	}
	table_remove(&route->asks, handle);
	metrics_set(route->kernel->metrics, GAUGE_QUEUE_LENGTH,
		    route->queue.length);
}

static void refuse(route_t *route, handle_t handle, ask_t *ask,
		   refusal_t reason)
{
	msg_t msg = {.kind = MSG_ROUTE_REFUSED, .ref = ask->id};

	msg.u.route_refused.reason = reason;
	msg.u.route_refused.retry_after_s = RETRY_AFTER_S;
	kernel_post(route->kernel, route->svc, route->request, &msg);
	remove_ask(route, handle, ask);
}

static void assign(route_t *route, handle_t handle, ask_t *ask,
		   handle_t target_handle, target_t *target)
{
	msg_t msg = {.kind = MSG_ROUTE_PICKED, .ref = ask->id};
	assignment_t *assignment;

	msg.id = table_add(&route->assignments, (void **)&assignment);
	assignment->target = target_handle;
	assignment->tokens = ask->tokens;
	assignment->since = kernel_now(route->kernel);
	target->running++;
	target->outstanding += ask->tokens;
	msg.u.picked.target = target_handle;
	g_strlcpy(msg.u.picked.name, target->record.name,
		  sizeof(msg.u.picked.name));
	g_strlcpy(msg.u.picked.host, target->record.host,
		  sizeof(msg.u.picked.host));
	msg.u.picked.port = target->record.port;
	kernel_post(route->kernel, route->svc, route->request, &msg);
	metrics_observe(route->kernel->metrics, HISTOGRAM_QUEUE_WAIT,
			kernel_now(route->kernel) - ask->since);
	remove_ask(route, handle, ask);
}

/* Gives the ask a target or a refusal; false when it has to wait. */
static bool settle(route_t *route, handle_t handle, ask_t *ask)
{
	handle_t chosen = HANDLE_NONE;
	uint32_t usable;
	target_t *target = choose(route, ask, &chosen, &usable);

	if (target != NULL) {
		assign(route, handle, ask, chosen, target);
		return true;
	}
	if (usable == 0) {
		refuse(route, handle, ask, REFUSAL_NO_TARGET);
		return true;
	}
	return false;
}

static void on_ask(route_t *route, const msg_t *msg)
{
	ask_t *ask;
	handle_t handle = table_add(&route->asks, (void **)&ask);
	handle_t *queued;

	ask->id = msg->id;
	g_strlcpy(ask->service, msg->u.ask.service, sizeof(ask->service));
	ask->tokens = MAX(msg->u.ask.tokens, 1);
	ask->deadline = msg->u.ask.deadline;
	ask->since = kernel_now(route->kernel);
	ask->avoid_count = MIN(msg->u.ask.avoid_count, ROUTE_AVOID_MAX);
	memcpy(ask->avoid, msg->u.ask.avoid, sizeof(ask->avoid));
	if (settle(route, handle, ask))
		return;
	if (route->queue.length >= QUEUE_MAX) {
		refuse(route, handle, ask, REFUSAL_QUEUE_FULL);
		return;
	}
	queued = g_new(handle_t, 1);
	*queued = handle;
	g_queue_push_tail(&route->queue, queued);
	ask->link = route->queue.tail;
	ask->timer = kernel_timer(route->kernel, route->svc,
				  ask->deadline - ask->since, handle,
				  TIMER_DEADLINE);
	metrics_set(route->kernel->metrics, GAUGE_QUEUE_LENGTH,
		    route->queue.length);
}

/* Serves the queue in order as far as targets have room. */
static void serve_queue(route_t *route)
{
	GList *next;

	for (GList *l = route->queue.head; l != NULL; l = next) {
		handle_t handle = *(handle_t *)l->data;
		ask_t *ask = table_get(&route->asks, handle);

		next = l->next;
		if (ask != NULL)
			settle(route, handle, ask);
	}
}

static void on_cancel(route_t *route, handle_t request)
{
	ask_t *ask;
	handle_t handle;
	uint32_t cursor = 0;

	while ((ask = table_next(&route->asks, &cursor, &handle)) != NULL) {
		if (handle_equal(ask->id, request)) {
			remove_ask(route, handle, ask);
			return;
		}
	}
}

static void on_done(route_t *route, const msg_t *msg)
{
	assignment_t *assignment = table_get(&route->assignments, msg->ref);
	target_t *target;

	if (assignment == NULL)
		return;
	target = table_get(&route->targets, assignment->target);
	if (target != NULL) {
		target->running--;
		target->outstanding -= assignment->tokens;
		if (msg->u.route_done.failure == FAILURE_LEAVING)
			target->leaving = true;
		if (!target->configured && target->running == 0)
			table_remove(&route->targets, assignment->target);
	}
	table_remove(&route->assignments, msg->ref);
	serve_queue(route);
}

static void on_conf(route_t *route, msg_t *msg)
{
	conf_snapshot_unref(route->conf);
	route->conf = g_steal_pointer(&msg->u.conf);
	target_update_all(route, route->conf);
	serve_queue(route);
}

static void on_members(route_t *route, const member_list_t *list)
{
	uint32_t alive = 0;

	for (guint i = 0; i < list->members->len; i++) {
		if (g_array_index(list->members, member_info_t, i).state ==
		    MEMBER_ALIVE)
			alive++;
	}
	route->members = MAX(alive, 1);
}

static void on_report(route_t *route, const msg_t *msg)
{
	target_t *target =
		target_find(route, msg->u.report.host, msg->u.report.port);

	if (target == NULL)
		return;
	target->reported = msg->u.report.running + msg->u.report.queued;
	serve_queue(route);
}

static void on_leaving(route_t *route, const msg_t *msg)
{
	target_t *target =
		target_find(route, msg->u.leaving.host, msg->u.leaving.port);

	if (target == NULL)
		return;
	target->leaving = msg->u.leaving.leaving;
	serve_queue(route);
}

static void on_start(route_t *route)
{
	msg_t conf = {.kind = MSG_CONF_SUBSCRIBE};
	msg_t members = {.kind = MSG_MEMBER_SUBSCRIBE};
	kernel_t *kernel = route->kernel;

	route->request = kernel_find(kernel, "request");
	kernel_post(kernel, route->svc, kernel_find(kernel, "conf"), &conf);
	kernel_post(kernel, route->svc, kernel_find(kernel, "member"),
		    &members);
}

static void receive(void *self, msg_t *msg)
{
	route_t *route = self;
	ask_t *ask;

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
	case MSG_ROUTE_ASK:
		on_ask(route, msg);
		break;
	case MSG_ROUTE_CANCEL:
		on_cancel(route, msg->id);
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
	case MSG_TIMER:
		ask = table_get(&route->asks, msg->ref);
		if (ask != NULL)
			refuse(route, msg->ref, ask, REFUSAL_DEADLINE);
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
	g_strlcpy(route->availability_zone, availability_zone,
		  sizeof(route->availability_zone));
	table_init(&route->targets, sizeof(target_t));
	table_init(&route->asks, sizeof(ask_t));
	table_init(&route->assignments, sizeof(assignment_t));
	g_queue_init(&route->queue);
	route->svc = kernel_register(kernel, "route", receive, route);
}

void route_finish(route_t *route)
{
	ask_t *ask;
	handle_t handle;
	uint32_t cursor = 0;

	while ((ask = table_next(&route->asks, &cursor, &handle)) != NULL)
		remove_ask(route, handle, ask);
	kernel_unregister(route->kernel, route->svc);
	conf_snapshot_unref(route->conf);
	table_finish(&route->targets);
	table_finish(&route->asks);
	table_finish(&route->assignments);
}
