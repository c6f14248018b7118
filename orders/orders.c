#include "orders/orders.h"

#include "kernel/hash.h"
#include "log/log.h"
#include "orders/job.h"

#include <string.h>

#define LONGEST_LOAD_MS 120000 /* weights come over the network */
#define LONGEST_OTHER_MS 30000
#define STOP_WAIT_US (10 * USEC_PER_SEC) /* for orders that were sent */
/* Routers that look at one target; more of them only read the store. */
#define RANKS 3

typedef enum orders_timer_t {
	TIMER_JOB,
	TIMER_STOP,
} orders_timer_t;

/* --- which router acts --------------------------------------------------- */

static bool may_act(const member_info_t *member, const char *zone)
{
	return member->state == MEMBER_ALIVE &&
	       (zone == NULL || strcmp(member->availability_zone, zone) == 0);
}

static bool has_member_in(const member_list_t *list, const char *zone)
{
	for (guint i = 0; i < list->members->len; i++) {
		if (may_act(&g_array_index(list->members, member_info_t, i),
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
	if (!has_member_in(list, zone))
		zone = NULL;
	for (guint i = 0; i < list->members->len; i++) {
		const member_info_t *member =
			&g_array_index(list->members, member_info_t, i);

		if (!may_act(member, zone))
			continue;
		if (strcmp(member->incarnation, orders->opts.incarnation) == 0)
			found = true;
		else if (hash_rendezvous(member->incarnation, target->name) >
			 own)
			rank++;
	}
	return found && rank < RANKS ? rank : -1;
}

/* --- jobs ---------------------------------------------------------------- */

static void remove_job(orders_t *orders, job_t *job)
{
	kernel_timer_cancel(orders->kernel, &job->timer);
	g_hash_table_remove(orders->by_target, job->target.name);
	table_remove(&orders->jobs, job->self);
}

static bool is_sent(const job_t *job)
{
	return job->phase == PHASE_SENT || job->phase == PHASE_ENDING;
}

static void check_stopped(orders_t *orders, bool late)
{
	msg_t msg = {.kind = MSG_STOPPED};
	uint32_t cursor = 0;
	uint32_t running = 0;
	job_t *job;

	if (!orders->stopping || orders->stopped)
		return;
	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL)
		running += is_sent(job);
	if (running > 0 && !late)
		return;
	if (late)
		log_event(LOG_LEVEL_WARN, "orders", "stop_late", "running=%u",
			  running);
	orders->stopped = true;
	kernel_timer_cancel(orders->kernel, &orders->stop_timer);
	kernel_post(orders->kernel, orders->svc,
		    kernel_find(orders->kernel, "router"), &msg);
}

void orders_job_ended(orders_t *orders, job_t *job)
{
	if (job->gone)
		remove_job(orders, job);
	check_stopped(orders, false);
}

static const record_target_t *find_target(const conf_snapshot_t *conf,
					  const char *name, guint *cursor)
{
	const record_target_t *target;
	int order;

	/* Both arrays are sorted by name, so the search only goes on. */
	for (; *cursor < conf->targets->len; (*cursor)++) {
		target =
			&g_array_index(conf->targets, record_target_t, *cursor);
		order = strcmp(target->name, name);
		if (order >= 0)
			return order == 0 ? target : NULL;
	}
	return NULL;
}

static void apply_wish(orders_t *orders, const record_target_t *target,
		       const record_order_t *wish)
{
	job_t *job = g_hash_table_lookup(orders->by_target, wish->target);
	handle_t self;

	if (job == NULL) {
		self = table_add(&orders->jobs, (void **)&job);
		job->self = self;
		job->target = *target;
		g_hash_table_insert(orders->by_target, job->target.name, job);
	}
	/* The name, which is the key in by_target, stays the same. */
	job->target = *target;
	job->gone = false;
	if (wish->number > job->wish.number) {
		job->wish = *wish;
		job->failures = 0;
		job->held_polls = 0;
		if (job->phase != PHASE_IDLE)
			return; /* followed up when the attempt ends */
		job->free_since = 0;
		kernel_timer_cancel(orders->kernel, &job->timer);
		job_start(orders, job);
	}
}

static void apply_conf(orders_t *orders, msg_t *msg)
{
	const conf_snapshot_t *conf = msg->u.conf;
	uint32_t cursor = 0;
	guint at = 0;
	job_t *job;

	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL)
		job->gone = true;
	for (guint i = 0; i < conf->orders->len; i++) {
		const record_order_t *wish =
			&g_array_index(conf->orders, record_order_t, i);
		const record_target_t *target =
			find_target(conf, wish->target, &at);

		if (target != NULL)
			apply_wish(orders, target, wish);
	}
	cursor = 0;
	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL) {
		if (job->gone && job->phase == PHASE_IDLE)
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
		/* A job without a timer was another router's until now. */
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

/* What was not sent is left to other routers once the lease has expired. */
static void stop(orders_t *orders)
{
	uint32_t cursor = 0;
	job_t *job;

	if (orders->stopping)
		return;
	orders->stopping = true;
	while ((job = table_next(&orders->jobs, &cursor, NULL)) != NULL) {
		if (is_sent(job))
			continue;
		kernel_timer_cancel(orders->kernel, &job->timer);
		job->phase = PHASE_IDLE;
		job->round++;
	}
	orders->stop_timer =
		kernel_timer(orders->kernel, orders->svc, STOP_WAIT_US,
			     HANDLE_NONE, TIMER_STOP);
	check_stopped(orders, false);
}

static void timer(orders_t *orders, const msg_t *msg)
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
	call_t *entry = table_get(&orders->calls, msg->ref);
	call_t call;
	job_t *job;

	if (entry == NULL)
		return;
	call = *entry;
	table_remove(&orders->calls, msg->ref);
	job = table_get(&orders->jobs, call.job);
	/* An answer to an attempt that was given up changes nothing here. */
	if (job != NULL && job->round == call.round)
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
		timer(orders, msg);
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
	table_init(&orders->calls, sizeof(call_t));
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
