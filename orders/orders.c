#include "orders/orders.h"

#include "kernel/hash.h"
#include "log/log.h"
#include "orders/job.h"

#include <string.h>

#define LONGEST_LOAD_MS 120000 /* model weights come over the network */
#define LONGEST_OTHER_MS 30000
#define STOP_WAIT_US (10 * USEC_PER_SEC) /* limit for outstanding results */
/* Routers that handle one target; more would only add reads of the store. */
#define ROUTERS_PER_TARGET 3

typedef enum orders_timer_t {
	TIMER_JOB,
	TIMER_STOP,
} orders_timer_t;

/* --- choice of the router ------------------------------------------------ */

static bool is_eligible(const member_info_t *member, const char *zone)
{
	return member->state == MEMBER_ALIVE &&
	       (zone == NULL || strcmp(member->availability_zone, zone) == 0);
}

static bool has_eligible_member(const member_list_t *list, const char *zone)
{
	for (guint i = 0; i < list->members->len; i++) {
		if (is_eligible(&g_array_index(list->members, member_info_t, i),
				zone))
			return true;
	}
	return false;
}

int orders_rank(const orders_t *orders, const record_target_t *target)
{
	const member_list_t *list = orders->members;
	const char *zone = target->availability_zone;
	uint64_t own = hash_rendezvous(orders->opts.incarnation, target->name);
	bool found = false;
	int rank = 0;

	if (list == NULL)
		return -1;
	if (!has_eligible_member(list, zone))
		zone = NULL;
	for (guint i = 0; i < list->members->len; i++) {
		const member_info_t *member =
			&g_array_index(list->members, member_info_t, i);

		if (!is_eligible(member, zone))
			continue;
		if (strcmp(member->incarnation, orders->opts.incarnation) == 0)
			found = true;
		else if (hash_rendezvous(member->incarnation, target->name) >
			 own)
			rank++;
	}
	return found && rank < ROUTERS_PER_TARGET ? rank : -1;
}

/* --- jobs ---------------------------------------------------------------- */

static void remove_job(orders_t *orders, job_t *job)
{
	kernel_timer_cancel(orders->kernel, &job->timer);
	g_hash_table_remove(orders->by_target, job->target.name);
	table_remove(&orders->jobs, job->self);
}

static bool awaits_result(const job_t *job)
{
	return job->phase == PHASE_SENT || job->phase == PHASE_ENDING;
}

static void check_stopped(orders_t *orders, bool timed_out)
{
	msg_t msg = {.kind = MSG_STOPPED};
	uint32_t cursor = 0;
	uint32_t running = 0;
	job_t *job;

	if (!orders->stopping || orders->stopped)
		return;
	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL)
		running += awaits_result(job);
	if (running > 0 && !timed_out)
		return;
	if (timed_out)
		log_event(LOG_LEVEL_WARN, "orders", "stop_late", "running=%u",
			  running);
	orders->stopped = true;
	kernel_timer_cancel(orders->kernel, &orders->stop_timer);
	kernel_post(orders->kernel, orders->svc,
		    kernel_find(orders->kernel, "router"), &msg);
}

void orders_job_ended(orders_t *orders, job_t *job)
{
	if (job->removed)
		remove_job(orders, job);
	check_stopped(orders, false);
}

static const record_target_t *find_target(const conf_snapshot_t *conf,
					  const char *name, guint *cursor)
{
	const record_target_t *target;
	int cmp;

	/*
	 * Targets and orders are both sorted by target name, so the search
	 * continues where the last one ended.
	 */
	for (; *cursor < conf->targets->len; (*cursor)++) {
		target =
			&g_array_index(conf->targets, record_target_t, *cursor);
		cmp = strcmp(target->name, name);
		if (cmp >= 0)
			return cmp == 0 ? target : NULL;
	}
	return NULL;
}

static void apply_order(orders_t *orders, const record_target_t *target,
			const record_order_t *order)
{
	job_t *job = g_hash_table_lookup(orders->by_target, order->target);
	handle_t self;

	if (job == NULL) {
		self = table_add(&orders->jobs, (void **)&job);
		job->self = self;
		job->target = *target;
		g_hash_table_insert(orders->by_target, job->target.name, job);
	}
	/* The assignment keeps the name, which is the key in by_target. */
	job->target = *target;
	job->removed = false;
	if (order->number > job->order.number) {
		job->order = *order;
		job->failures = 0;
		job->held_polls = 0;
		if (job->phase != PHASE_IDLE)
			return; /* the next attempt follows this one */
		job->free_since = 0;
		kernel_timer_cancel(orders->kernel, &job->timer);
		job_start(orders, job);
	}
}

static void apply_conf(orders_t *orders, msg_t *msg)
{
	const conf_snapshot_t *conf = msg->u.conf;
	uint32_t cursor = 0;
	guint next_target = 0;
	job_t *job;

	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL)
		job->removed = true;
	for (guint i = 0; i < conf->orders->len; i++) {
		const record_order_t *order =
			&g_array_index(conf->orders, record_order_t, i);
		const record_target_t *target =
			find_target(conf, order->target, &next_target);

		if (target != NULL)
			apply_order(orders, target, order);
	}
	cursor = 0;
	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL) {
		if (job->removed && job->phase == PHASE_IDLE)
			remove_job(orders, job);
	}
}

static void apply_members(orders_t *orders, msg_t *msg)
{
	uint32_t cursor = 0;
	job_t *job;

	member_list_unref(orders->members);
	orders->members = g_steal_pointer(&msg->u.members);
	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL) {
		/*
		 * An idle job without a timer was left to other routers, but
		 * this router's rank may have changed.
		 */
		if (job->phase == PHASE_IDLE && handle_is_none(job->timer))
			job_start(orders, job);
	}
}

/* --- service ------------------------------------------------------------- */

static void subscribe(orders_t *orders, const char *name, msg_kind_t kind)
{
	msg_t msg = {.kind = kind};

	kernel_post(orders->kernel, orders->svc,
		    kernel_find(orders->kernel, name), &msg);
}

static void start(orders_t *orders)
{
	orders->store = kernel_find(orders->kernel, "store");
	orders->dispatch = kernel_find(orders->kernel, "dispatch");
	subscribe(orders, "conf", MSG_CONF_SUBSCRIBE);
	subscribe(orders, "member", MSG_MEMBER_SUBSCRIBE);
}

/*
 * Orders that have not been sent are left to other routers, which take over
 * once the lease has expired.
 */
static void stop(orders_t *orders)
{
	uint32_t cursor = 0;
	job_t *job;

	if (orders->stopping)
		return;
	orders->stopping = true;
	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL) {
		if (awaits_result(job))
			continue;
		kernel_timer_cancel(orders->kernel, &job->timer);
		job->phase = PHASE_IDLE;
		job->generation++;
	}
	orders->stop_timer =
		kernel_timer(orders->kernel, orders->svc, STOP_WAIT_US,
			     HANDLE_NONE, TIMER_STOP);
	check_stopped(orders, false);
}

static void handle_timer(orders_t *orders, const msg_t *msg)
{
	job_t *job;

	switch ((orders_timer_t)msg->u.timer.kind) {
	case TIMER_JOB:
		job = table_get(&orders->jobs, msg->ref);
		if (job != NULL) {
			job->timer = HANDLE_NONE;
			job_timer(orders, job);
		}
		break;
	case TIMER_STOP:
		orders->stop_timer = HANDLE_NONE;
		check_stopped(orders, true);
		break;
	}
}

static void store_result(orders_t *orders, const msg_t *msg)
{
	store_call_t *entry = table_get(&orders->calls, msg->ref);
	store_call_t call;
	job_t *job;

	if (entry == NULL)
		return;
	call = *entry;
	table_remove(&orders->calls, msg->ref);
	job = table_get(&orders->jobs, call.job);
	/* A result for an attempt that has ended is ignored. */
	if (job != NULL && job->generation == call.generation)
		job_store_result(orders, job, &call, msg->u.store_result);
}

static void receive(void *self, msg_t *msg)
{
	orders_t *orders = self;
	job_t *job;

	switch (msg->kind) {
	case MSG_START:
		start(orders);
		break;
	case MSG_STOP:
		stop(orders);
		break;
	case MSG_TIMER:
		handle_timer(orders, msg);
		break;
	case MSG_CONF_CHANGED:
		apply_conf(orders, msg);
		break;
	case MSG_MEMBER_CHANGED:
		apply_members(orders, msg);
		break;
	case MSG_STORE_RESULT:
		store_result(orders, msg);
		break;
	case MSG_ORDER_RESULT:
		job = table_get(&orders->jobs, msg->ref);
		if (job != NULL)
			job_order_result(orders, job, msg);
		break;
	default:
		break;
	}
}

void orders_init(orders_t *orders, kernel_t *kernel, const orders_opts_t *opts)
{
	uint32_t *longest = orders->opts.longest_ms;

	memset(orders, 0, sizeof(*orders));
	orders->kernel = kernel;
	orders->opts = *opts;
	if (orders->opts.lease_ttl_s == 0)
		orders->opts.lease_ttl_s = ORDERS_LEASE_TTL_S;
	for (int kind = 0; kind < ORDER_KIND_COUNT; kind++) {
		if (longest[kind] == 0)
			longest[kind] = kind == ORDER_LOAD ? LONGEST_LOAD_MS
							   : LONGEST_OTHER_MS;
	}
	table_init(&orders->jobs, sizeof(job_t));
	table_init(&orders->calls, sizeof(store_call_t));
	orders->by_target = g_hash_table_new(g_str_hash, g_str_equal);
	orders->svc = kernel_register(kernel, "orders", receive, orders);
}

void orders_finish(orders_t *orders)
{
	kernel_unregister(orders->kernel, orders->svc);
	member_list_unref(orders->members);
	g_hash_table_unref(orders->by_target);
	table_finish(&orders->jobs);
	table_finish(&orders->calls);
	memset(orders, 0, sizeof(*orders));
}
