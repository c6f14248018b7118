/*
 * Replays a trace on the virtual clock, with the shipped route service (one
 * kernel for each router) or with a baseline policy that picks a target on
 * arrival.  A simulated target has a batch of limited size, a first-in,
 * first-out queue and a speed; a request joins the batch at the next step of
 * the engine.
 */
#ifndef BENCH_REPLAY_H
#define BENCH_REPLAY_H

#include "bench/event.h"
#include "bench/trace.h"
#include "route/route.h"

#include <math.h>
#include <stdlib.h>

#define STEP_US US_PER_TOKEN /* interval at which requests join a batch */
#define FIRST_BYTE_WORK_US 60000 /* work before a model's first byte */
#define REPORT_INTERVAL_US 500000
#define REPORT_DELAY_US 2000000
#define MAX_TARGETS 32
#define SLOWED_SPEED 0.1 /* relative to full speed */

typedef enum bench_policy_t {
	BENCH_TANAGERTRESTLE,
	BENCH_ROUND_ROBIN,
	BENCH_LEAST_OUTSTANDING,
	BENCH_TWO_CHOICES,
	BENCH_POLICY_COUNT,
} bench_policy_t;

static const char *const bench_policy_names[] = {
	"tanagertrestle", "round_robin", "least_outstanding", "two_choices"};

typedef struct slowdown_t {
	int64_t from, to; /* us */
	uint32_t target;
} slowdown_t;

typedef enum attempt_state_t {
	ATTEMPT_ROUTING, /* waits for an assignment */
	ATTEMPT_QUEUED, /* in the target's queue */
	ATTEMPT_RUNNING, /* in the target's batch */
	ATTEMPT_ENDED,
} attempt_state_t;

typedef struct attempt_t {
	uint32_t job;
	uint32_t target;
	attempt_state_t state;
	handle_t assignment;
	handle_t target_handle;
	bool first_byte;
	int64_t start; /* us, when the attempt joins the batch */
	int64_t updated; /* us, the time that work_done is valid for */
	double work_done; /* us at full speed */
	uint32_t event_id; /* events with another id are outdated */
} attempt_t;

typedef struct replay_job_t {
	int64_t wait; /* us from arrival to the batch, -1: not started */
	int64_t latency; /* us, -1: no answer */
	bool ended;
	int32_t attempts[2]; /* -1: none */
} replay_job_t;

typedef struct sim_target_t {
	uint32_t service;
	uint32_t zone;
	uint32_t batch;
	double speed;
	GArray *running; /* uint32_t, index of an attempt */
	GQueue queue; /* indices of attempts */
	uint32_t outstanding[TRACE_ROUTERS];
} sim_target_t;

struct replay_t;

typedef struct sim_router_t {
	struct replay_t *replay;
	kernel_t kernel;
	route_t route;
	svc_t request;
	svc_t route_svc;
	uint32_t next; /* target of the round-robin policy */
} sim_router_t;

typedef struct replay_t {
	const trace_t *trace;
	bench_policy_t policy;
	int64_t now;
	uint64_t random;
	uint32_t event_seq;
	event_queue_t events;
	sim_target_t targets[MAX_TARGETS];
	uint32_t target_count;
	sim_router_t routers[TRACE_ROUTERS];
	GArray *attempts; /* attempt_t */
	replay_job_t *jobs;
	conf_snapshot_t *conf;
	double work_useful, work_wasted; /* us at full speed */
	uint32_t hedges, refused[REFUSAL_COUNT];
} replay_t;

static inline const job_t *replay_job(const replay_t *r, uint32_t job)
{
	return &g_array_index(r->trace->jobs, job_t, job);
}

static inline attempt_t *replay_attempt(const replay_t *r, uint32_t index)
{
	return &g_array_index(r->attempts, attempt_t, index);
}

/* --- targets ----------------------------------------------------------- */

static inline double attempt_work(const replay_t *r, const attempt_t *a)
{
	return (double)replay_job(r, a->job)->tokens * US_PER_TOKEN;
}

static inline double attempt_first_work(const replay_t *r, const attempt_t *a)
{
	double work = attempt_work(r, a);

	return replay_job(r, a->job)->service == 1
		       ? work
		       : MIN(work, FIRST_BYTE_WORK_US);
}

static inline void attempt_advance(const replay_t *r, attempt_t *a)
{
	if (r->now > a->updated)
		a->work_done += (double)(r->now - a->updated) *
				r->targets[a->target].speed;
	a->updated = MAX(r->now, a->updated);
}

static inline void attempt_schedule(replay_t *r, uint32_t index)
{
	attempt_t *a = replay_attempt(r, index);
	double until =
		a->first_byte ? attempt_work(r, a) : attempt_first_work(r, a);
	double left =
		MAX(until - a->work_done, 0) / r->targets[a->target].speed;

	a->event_id = ++r->event_seq;
	event_push(&r->events,
		   (event_t){.time = a->updated + (int64_t)ceil(left),
			     .kind = EVENT_ATTEMPT,
			     .index = index,
			     .value = a->event_id});
}

static inline void target_start_queued(replay_t *r, sim_target_t *target)
{
	while (target->running->len < target->batch &&
	       !g_queue_is_empty(&target->queue)) {
		uint32_t index =
			GPOINTER_TO_UINT(g_queue_pop_head(&target->queue));
		attempt_t *a = replay_attempt(r, index);
		replay_job_t *job = &r->jobs[a->job];

		a->state = ATTEMPT_RUNNING;
		a->start = (r->now + STEP_US - 1) / STEP_US * STEP_US;
		a->updated = a->start;
		if (job->wait < 0)
			job->wait = a->start - replay_job(r, a->job)->arrival;
		g_array_append_val(target->running, index);
		attempt_schedule(r, index);
	}
}

static inline void attempt_send(replay_t *r, uint32_t index, uint32_t target)
{
	attempt_t *a = replay_attempt(r, index);

	a->target = target;
	a->state = ATTEMPT_QUEUED;
	r->targets[target].outstanding[replay_job(r, a->job)->router]++;
	g_queue_push_tail(&r->targets[target].queue, GUINT_TO_POINTER(index));
	target_start_queued(r, &r->targets[target]);
}

/* Removes a queued or running attempt from its target. */
static inline void attempt_remove(replay_t *r, uint32_t index)
{
	attempt_t *a = replay_attempt(r, index);
	sim_target_t *target = &r->targets[a->target];

	if (a->state == ATTEMPT_QUEUED)
		g_queue_remove(&target->queue, GUINT_TO_POINTER(index));
	for (guint i = 0; i < target->running->len; i++) {
		if (g_array_index(target->running, uint32_t, i) == index) {
			g_array_remove_index_fast(target->running, i);
			break;
		}
	}
	if (a->state == ATTEMPT_RUNNING)
		attempt_advance(r, a);
	target->outstanding[replay_job(r, a->job)->router]--;
	a->state = ATTEMPT_ENDED;
	a->event_id = 0;
	target_start_queued(r, target);
}

/* --- routers ----------------------------------------------------------- */

static inline void router_post(sim_router_t *router, msg_t *msg)
{
	kernel_post(&router->kernel, router->request, router->route_svc, msg);
}

static inline void post_done(replay_t *r, const attempt_t *a, failure_t failure)
{
	msg_t msg = {.kind = MSG_ROUTE_DONE, .ref = a->assignment};

	if (r->policy != BENCH_TANAGERTRESTLE || handle_is_none(a->assignment))
		return;
	msg.u.route_done.failure = failure;
	msg.u.route_done.tokens = replay_job(r, a->job)->tokens;
	router_post(&r->routers[replay_job(r, a->job)->router], &msg);
}

static inline void attempt_cancel(replay_t *r, uint32_t index, bool wasted)
{
	attempt_t *a = replay_attempt(r, index);
	msg_t msg = {.kind = MSG_ROUTE_CANCEL, .id = {index, 1}};

	if (a->state == ATTEMPT_ENDED)
		return;
	if (a->state == ATTEMPT_ROUTING) {
		a->state = ATTEMPT_ENDED;
		if (r->policy == BENCH_TANAGERTRESTLE)
			router_post(&r->routers[replay_job(r, a->job)->router],
				    &msg);
		return;
	}
	attempt_remove(r, index);
	if (wasted)
		r->work_wasted += a->work_done;
	post_done(r, a, FAILURE_CANCELLED);
}

static inline void cancel_others(replay_t *r, uint32_t job, int32_t except,
				 bool wasted)
{
	for (int i = 0; i < 2; i++) {
		int32_t index = r->jobs[job].attempts[i];

		if (index >= 0 && index != except)
			attempt_cancel(r, (uint32_t)index, wasted);
	}
}

static inline uint32_t attempt_new(replay_t *r, uint32_t job)
{
	attempt_t attempt = {.job = job};
	replay_job_t *state = &r->jobs[job];

	g_array_append_val(r->attempts, attempt);
	state->attempts[state->attempts[0] >= 0] =
		(int32_t)r->attempts->len - 1;
	return r->attempts->len - 1;
}

static inline void router_request(replay_t *r, uint32_t job,
				  const attempt_t *first)
{
	const job_t *j = replay_job(r, job);
	msg_t msg = {.kind = MSG_ROUTE_REQUEST};

	if (first != NULL) {
		msg.u.route.hedge = true;
		msg.u.route.avoid[msg.u.route.avoid_count++] =
			first->target_handle;
	}
	msg.id = (handle_t){attempt_new(r, job), 1};
	g_snprintf(msg.u.route.service, NAME_SIZE, "s%u", j->service);
	g_snprintf(msg.u.route.client_account, NAME_SIZE, "c%u", j->account);
	msg.u.route.tokens = j->token_limit;
	msg.u.route.deadline = j->deadline;
	router_post(&r->routers[j->router], &msg);
}

static inline void on_assigned(replay_t *r, const msg_t *msg)
{
	attempt_t *a = replay_attempt(r, msg->ref.index);

	a->assignment = msg->id;
	a->target_handle = msg->u.assigned.target;
	if (a->state != ATTEMPT_ROUTING) {
		post_done(r, a, FAILURE_CANCELLED);
		return;
	}
	attempt_send(r, msg->ref.index,
		     (uint32_t)strtoul(msg->u.assigned.name + 1, NULL, 10));
}

static inline void on_refused(replay_t *r, const msg_t *msg)
{
	attempt_t *a = replay_attempt(r, msg->ref.index);
	replay_job_t *job = &r->jobs[a->job];

	a->state = ATTEMPT_ENDED;
	if (job->attempts[1] >= 0)
		return;
	job->ended = true;
	r->refused[msg->u.route_refused.reason]++;
}

/*
 * Replaces the request service: sends an attempt to its assigned target and
 * starts hedges.
 */
static inline void on_request_msg(void *self, msg_t *msg)
{
	replay_t *r = ((sim_router_t *)self)->replay;
	attempt_t *a;

	r->now = kernel_now(&((sim_router_t *)self)->kernel);
	switch (msg->kind) {
	case MSG_ROUTE_ASSIGNED:
		on_assigned(r, msg);
		break;
	case MSG_ROUTE_REFUSED:
		on_refused(r, msg);
		break;
	case MSG_ROUTE_HEDGE:
		a = replay_attempt(r, msg->ref.index);
		if (a->state == ATTEMPT_ENDED || a->first_byte ||
		    r->jobs[a->job].attempts[1] >= 0)
			break;
		r->hedges++;
		router_request(r, a->job, a);
		break;
	default:
		break;
	}
}

static inline void baseline_pick(replay_t *r, uint32_t job)
{
	const job_t *j = replay_job(r, job);
	sim_router_t *router = &r->routers[j->router];
	uint32_t first = j->service == 0 ? 0 : r->trace->deployment.targets[0];
	uint32_t n = r->trace->deployment.targets[j->service];
	uint32_t best = first + trace_random_below(&r->random, n);
	uint32_t other = first + trace_random_below(&r->random, n);

	switch (r->policy) {
	case BENCH_ROUND_ROBIN:
		best = first + router->next++ % n;
		break;
	case BENCH_LEAST_OUTSTANDING:
		/* A random start keeps routers from breaking ties alike. */
		for (uint32_t i = 0; i < n; i++) {
			other = first + (best - first + 1) % n;
			other = first + (other - first + i) % n;
			if (r->targets[other].outstanding[j->router] <
			    r->targets[best].outstanding[j->router])
				best = other;
		}
		break;
	default:
		if (r->targets[other].outstanding[j->router] <
		    r->targets[best].outstanding[j->router])
			best = other;
		break;
	}
	attempt_send(r, attempt_new(r, job), best);
}

/* --- event loop -------------------------------------------------------- */

static inline void on_attempt(replay_t *r, const event_t *event)
{
	attempt_t *a = replay_attempt(r, event->index);
	replay_job_t *job = &r->jobs[a->job];
	sim_router_t *router = &r->routers[replay_job(r, a->job)->router];

	if (a->event_id != event->value || a->state != ATTEMPT_RUNNING)
		return;
	attempt_advance(r, a);
	if (!a->first_byte) {
		msg_t msg = {.kind = MSG_ROUTE_FIRST_BYTE,
			     .ref = a->assignment};

		a->first_byte = true;
		cancel_others(r, a->job, (int32_t)event->index, true);
		if (r->policy == BENCH_TANAGERTRESTLE)
			router_post(router, &msg);
		attempt_schedule(r, event->index);
		return;
	}
	attempt_remove(r, event->index);
	r->work_useful += a->work_done;
	job->ended = true;
	job->latency = r->now - replay_job(r, a->job)->arrival;
	post_done(r, a, FAILURE_NONE);
}

static inline void on_speed_changed(replay_t *r, const event_t *event)
{
	sim_target_t *target = &r->targets[event->index];

	for (guint i = 0; i < target->running->len; i++) {
		uint32_t index = g_array_index(target->running, uint32_t, i);

		attempt_advance(r, replay_attempt(r, index));
	}
	target->speed = event->speed;
	for (guint i = 0; i < target->running->len; i++)
		attempt_schedule(r,
				 g_array_index(target->running, uint32_t, i));
}

static inline void on_report_arrived(replay_t *r, const event_t *event)
{
	msg_t msg = {.kind = MSG_TARGET_REPORT};

	g_strlcpy(msg.u.target_report.host, "127.0.0.1", HOST_SIZE);
	msg.u.target_report.port = (uint16_t)(event->index + 1);
	msg.u.target_report.running = event->value;
	for (uint32_t i = 0; i < TRACE_ROUTERS; i++) {
		msg_t copy = msg;

		router_post(&r->routers[i], &copy);
	}
}

static inline void on_event(replay_t *r, const event_t *event)
{
	const sim_target_t *target;

	switch (event->kind) {
	case EVENT_ATTEMPT:
		on_attempt(r, event);
		break;
	case EVENT_DEADLINE:
		if (r->jobs[event->index].ended)
			break;
		r->jobs[event->index].ended = true;
		cancel_others(r, event->index, -1, false);
		break;
	case EVENT_SPEED_CHANGED:
		on_speed_changed(r, event);
		break;
	case EVENT_REPORT_SENT:
		target = &r->targets[event->index];
		event_push(&r->events,
			   (event_t){.time = r->now + REPORT_DELAY_US,
				     .kind = EVENT_REPORT_ARRIVED,
				     .index = event->index,
				     .value = target->running->len +
					      target->queue.length});
		event_push(&r->events,
			   (event_t){.time = r->now + REPORT_INTERVAL_US,
				     .kind = EVENT_REPORT_SENT,
				     .index = event->index});
		break;
	case EVENT_REPORT_ARRIVED:
		on_report_arrived(r, event);
		break;
	}
}

static inline void run_routers(replay_t *r, int64_t now)
{
	if (r->policy != BENCH_TANAGERTRESTLE)
		return;
	for (uint32_t i = 0; i < TRACE_ROUTERS; i++)
		kernel_run_until(&r->routers[i].kernel, now);
}

/* Returns the time of the earliest timer of the routers, or INT64_MAX. */
static inline int64_t next_timer(const replay_t *r)
{
	int64_t next = INT64_MAX;

	if (r->policy != BENCH_TANAGERTRESTLE)
		return next;
	for (uint32_t i = 0; i < TRACE_ROUTERS; i++) {
		int64_t due = kernel_next_timer(&r->routers[i].kernel);

		if (due >= 0)
			next = MIN(next, due);
	}
	return next;
}

static inline void on_arrival(replay_t *r, uint32_t job)
{
	event_push(&r->events, (event_t){.time = replay_job(r, job)->deadline,
					 .kind = EVENT_DEADLINE,
					 .index = job});
	if (r->policy == BENCH_TANAGERTRESTLE)
		router_request(r, job, NULL);
	else
		baseline_pick(r, job);
}

static inline void replay_loop(replay_t *r)
{
	const GArray *jobs = r->trace->jobs;
	int64_t end = 0;
	uint32_t job = 0;

	for (guint i = 0; i < jobs->len; i++)
		end = MAX(end, replay_job(r, i)->deadline + 1);

	while (r->now < end) {
		int64_t event_time =
			g_array_index(r->events.heap, event_t, 0).time;
		int64_t arrival = job < jobs->len ? replay_job(r, job)->arrival
						  : INT64_MAX;
		int64_t timer = next_timer(r);
		int64_t next = MIN(MIN(event_time, arrival), timer);

		run_routers(r, next);
		r->now = next;
		if (timer <= MIN(event_time, arrival))
			continue;
		if (arrival <= event_time) {
			on_arrival(r, job++);
		} else {
			event_t event = event_pop(&r->events);

			on_event(r, &event);
		}
		run_routers(r, next);
		r->now = next;
	}
}

static inline void make_conf(replay_t *r)
{
	const deployment_t *d = &r->trace->deployment;
	conf_snapshot_t *conf = conf_snapshot_new();

	for (uint32_t i = 0; i < TRACE_ACCOUNTS; i++) {
		record_client_account_t account = {.weight = i < 3 ? 4 : 1};

		g_snprintf(account.name, NAME_SIZE, "c%u", i);
		g_array_append_val(conf->client_accounts, account);
	}
	for (uint32_t i = 0; i < TRACE_SERVICES; i++) {
		record_service_t service = {.kind = i == 0 ? SERVICE_MODEL
							   : SERVICE_PLAIN,
					    .idempotent = i == 0,
					    .hedge = i == 0,
					    .short_tokens = d->short_tokens};

		g_snprintf(service.name, NAME_SIZE, "s%u", i);
		g_array_append_val(conf->services, service);
	}
	for (uint32_t i = 0; i < r->target_count; i++) {
		record_target_t target = {.port = (uint16_t)(i + 1),
					  .concurrency = r->targets[i].batch};

		g_snprintf(target.name, NAME_SIZE, "t%02u", i);
		g_snprintf(target.service, NAME_SIZE, "s%u",
			   r->targets[i].service);
		g_strlcpy(target.host, "127.0.0.1", HOST_SIZE);
		g_snprintf(target.availability_zone, NAME_SIZE, "z%u",
			   r->targets[i].zone);
		g_array_append_val(conf->targets, target);
	}
	r->conf = conf;
}

static inline void start_router(replay_t *r, uint32_t index)
{
	sim_router_t *router = &r->routers[index];
	msg_t conf = {.kind = MSG_CONF_CHANGED};
	msg_t members = {.kind = MSG_MEMBER_CHANGED};
	char zone[NAME_SIZE];

	router->replay = r;
	kernel_init(&router->kernel, CLOCK_VIRTUAL,
		    r->trace->seed * 100 + index);
	router->request = kernel_register(&router->kernel, "request",
					  on_request_msg, router);
	g_snprintf(zone, sizeof(zone), "z%u",
		   r->trace->deployment.router_zone[index]);
	route_init(&router->route, &router->kernel, zone);
	router->route_svc = kernel_find(&router->kernel, "route");
	kernel_start(&router->kernel);
	conf.u.conf = conf_snapshot_ref(r->conf);
	router_post(router, &conf);
	members.u.members = member_list_new();
	for (uint32_t i = 0; i < TRACE_ROUTERS; i++) {
		member_info_t member = {.state = MEMBER_ALIVE};

		g_array_append_val(members.u.members->members, member);
	}
	router_post(router, &members);
}

static inline void replay_init(replay_t *r, const trace_t *trace,
			       bench_policy_t policy)
{
	const deployment_t *d = &trace->deployment;

	memset(r, 0, sizeof(*r));
	r->trace = trace;
	r->policy = policy;
	r->random = trace->seed;
	r->events.heap = g_array_new(FALSE, FALSE, sizeof(event_t));
	r->attempts = g_array_new(FALSE, FALSE, sizeof(attempt_t));
	r->jobs = g_new0(replay_job_t, trace->jobs->len);
	for (guint i = 0; i < trace->jobs->len; i++)
		r->jobs[i] = (replay_job_t){
			.wait = -1, .latency = -1, .attempts = {-1, -1}};
	for (uint32_t s = 0; s < TRACE_SERVICES; s++) {
		for (uint32_t i = 0; i < d->targets[s]; i++) {
			sim_target_t *t = &r->targets[r->target_count++];

			t->service = s;
			t->zone = i % d->zones;
			t->batch = d->batch[s];
			t->speed = 1;
			t->running =
				g_array_new(FALSE, FALSE, sizeof(uint32_t));
			g_queue_init(&t->queue);
		}
	}
	make_conf(r);
	for (uint32_t i = 0; i < TRACE_ROUTERS; i++)
		start_router(r, i);
	for (uint32_t i = 0; i < r->target_count; i++)
		event_push(&r->events, (event_t){.time = (int64_t)i * 10000,
						 .kind = EVENT_REPORT_SENT,
						 .index = i});
}

static inline void replay_run(replay_t *r, const GArray *slowdowns)
{
	for (guint i = 0; slowdowns != NULL && i < slowdowns->len; i++) {
		const slowdown_t *s = &g_array_index(slowdowns, slowdown_t, i);

		event_push(&r->events, (event_t){.time = s->from,
						 .kind = EVENT_SPEED_CHANGED,
						 .index = s->target,
						 .speed = SLOWED_SPEED});
		event_push(&r->events, (event_t){.time = s->to,
						 .kind = EVENT_SPEED_CHANGED,
						 .index = s->target,
						 .speed = 1});
	}
	replay_loop(r);
}

static inline void replay_finish(replay_t *r)
{
	for (uint32_t i = 0; i < TRACE_ROUTERS; i++) {
		route_finish(&r->routers[i].route);
		kernel_finish(&r->routers[i].kernel);
	}
	for (uint32_t i = 0; i < r->target_count; i++) {
		g_array_unref(r->targets[i].running);
		g_queue_clear(&r->targets[i].queue);
	}
	conf_snapshot_unref(r->conf);
	g_array_unref(r->events.heap);
	g_array_unref(r->attempts);
	g_free(r->jobs);
}

#endif
