#include "proxy/exchange.h"

#include "front/refusal.h"
#include "log/log.h"
#include "platform/wire.h"

#include <string.h>

/*
 * A request waits for a target for its latency goal divided by this number.
 * An early refusal leaves its caller time for another attempt.
 */
#define PLACE_WAIT_DIVISOR 2
#define PLACE_WAIT_MIN_MS 60
/* A request with less time left is not sent to a target. */
#define SEND_TIME_MIN_US (10 * USEC_PER_MSEC)
/*
 * Time to the response head, in latency goals, after which an idempotent
 * request is sent to another target.  Most responses take a fraction of their
 * latency goal.
 */
#define HEAD_TIMEOUT_GOALS 4
#define HEAD_TIMEOUT_MIN_MS 600
#define RETRY_AFTER_DEFAULT_MS 300 /* applies if a refusal states no time */
#define ELSEWHERE_RETRY_AFTER_MS 100 /* another instance takes the request */
#define PARTS_LOGGED_MAX 16 /* a log line has 2 kB */
/* A small part of the shortest latency goals, which are 120 ms. */
#define RETRY_ELSEWHERE_MIN_MS 10
#define RETRY_ELSEWHERE_SPAN_MS 21
/* Priority levels of a target's queue per priority level of a route. */
#define QUEUE_PRIORITY_FACTOR 4

uint32_t exchange_retry_elsewhere_ms(proxy_t *proxy)
{
	return RETRY_ELSEWHERE_MIN_MS +
	       (uint32_t)kernel_random_below(proxy->kernel,
					     RETRY_ELSEWHERE_SPAN_MS);
}

void exchange_free(proxy_t *proxy, exchange_t *exchange)
{
	kernel_timer_cancel(proxy->kernel, &exchange->deadline_timer);
	kernel_timer_cancel(proxy->kernel, &exchange->rejection_timer);
	kernel_count_bytes(proxy->kernel, BUFFER_RESPONSES, &exchange->counted,
			   0);
	kernel_count_bytes(proxy->kernel, BUFFER_RUNNING,
			   &exchange->counted_request, 0);
	http_head_free(exchange->head);
	exchange_spec_free(exchange->spec);
	g_free(exchange->account_name);
	g_byte_array_unref(exchange->body);
	sse_finish(&exchange->events);
	table_remove(&proxy->exchanges, exchange->self);
}

uint32_t exchange_shared_parts(const exchange_spec_t *spec)
{
	return spec->part_count > 0 ? spec->part_count - 1 : 0;
}

char *exchange_format_parts(const exchange_spec_t *spec)
{
	GString *text = g_string_new(NULL);
	uint32_t count = MIN(exchange_shared_parts(spec), PARTS_LOGGED_MAX);

	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
				       i > 0 ? ":" : "", spec->parts[i].id);
	return g_string_free(text, FALSE);
}

bool exchange_is_idempotent(const exchange_t *exchange)
{
	switch (exchange->route.kind) {
	case ROUTE_SAFE:
		return true;
	case ROUTE_UNSAFE:
		return false;
	case ROUTE_STREAM:
		return exchange->route.resumable;
	}
	return false;
}

static bool is_success_forwarded(const exchange_t *exchange)
{
	return exchange->head_sent && exchange->head != NULL &&
	       http_status_is_success(exchange->head->status);
}

/*
 * An account pays once a part of a successful response has been forwarded.
 * The prompt then counts once, however often the request ran, and generated
 * tokens count if they were forwarded.  They can be counted in streams only.
 */
static int64_t spent_tokens(const exchange_t *exchange)
{
	int64_t generated = exchange->spec->max_tokens;

	if (!is_success_forwarded(exchange))
		return 0;
	if (exchange->streaming)
		generated = MIN(generated, (int64_t)exchange->events.count *
						   exchange->event_tokens);
	return exchange->spec->prompt_tokens + generated;
}

static void report_usage(proxy_t *proxy, exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_SPEND, .ref = exchange->reservation};

	if (handle_is_none(exchange->reservation))
		return;
	msg.u.spend.tokens = spent_tokens(exchange);
	kernel_post(proxy->kernel, proxy->svc, proxy->prepaid, &msg);
	exchange->reservation = HANDLE_NONE;
}

void exchange_return_tokens(proxy_t *proxy, exchange_t *exchange)
{
	report_usage(proxy, exchange);
}

void exchange_release_target(proxy_t *proxy, exchange_t *exchange,
			     place_result_t result)
{
	msg_t cancel = {.kind = MSG_OUT_CANCEL, .ref = exchange->call};
	msg_t done = {.kind = MSG_PLACE_DONE, .ref = exchange->placement};

	if (!handle_is_none(exchange->call))
		kernel_post(proxy->kernel, proxy->svc, proxy->outbound,
			    &cancel);
	exchange->call = HANDLE_NONE;
	if (handle_is_none(exchange->placement))
		return;
	done.u.place_done.result = result;
	done.u.place_done.load = exchange->response_info.report.load;
	kernel_post(proxy->kernel, proxy->svc, proxy->balance, &done);
	exchange->placement = HANDLE_NONE;
}

/* Returns ms, or -1 for an event that has not happened. */
static int64_t ms_since_start(const exchange_t *exchange, int64_t at)
{
	return at > 0 ? (at - exchange->started_at) / USEC_PER_MSEC : -1;
}

static void log_outcome(proxy_t *proxy, const exchange_t *exchange,
			const char *outcome)
{
	int64_t now = kernel_now(proxy->kernel);

	metrics_observe(proxy->kernel->metrics, HISTOGRAM_REQUEST,
			now - exchange->started_at);
	log_event(LOG_LEVEL_INFO, "proxy", "finished",
		  "request=%s outcome=%s route=%s service=%s account=%s "
		  "version=%" G_GINT64_FORMAT " target=%s software=%s "
		  "sends=%u runs=%u "
		  "reused=%d status=%u events=%u tokens=%" G_GINT64_FORMAT
		  " ms=%" G_GINT64_FORMAT " first_ms=%" G_GINT64_FORMAT
		  " event_ms=%" G_GINT64_FORMAT " gap_ms=%" G_GINT64_FORMAT,
		  log_quote(exchange->spec->request_id), outcome,
		  exchange->route.name, exchange->service, exchange->account,
		  exchange->version, exchange->instance,
		  exchange->target_version, exchange->sends, exchange->runs,
		  exchange->reused,
		  exchange->head != NULL ? exchange->head->status : 0,
		  exchange->events.count, spent_tokens(exchange),
		  (now - exchange->started_at) / USEC_PER_MSEC,
		  ms_since_start(exchange, exchange->first_byte_at),
		  ms_since_start(exchange, exchange->first_event_at),
		  exchange->longest_gap / USEC_PER_MSEC);
}

void exchange_abandon(proxy_t *proxy, exchange_t *exchange)
{
	log_outcome(proxy, exchange, "abandoned");
	exchange_free(proxy, exchange);
}

void exchange_end(proxy_t *proxy, exchange_t *exchange, const char *outcome)
{
	log_outcome(proxy, exchange, outcome);
	report_usage(proxy, exchange);
	exchange_free(proxy, exchange);
}

/* Once the request may have run, the status must not imply that it did not. */
static uint32_t refusal_status_code(const exchange_t *exchange,
				    refusal_t reason)
{
	if (exchange->runs > 0)
		return reason == REFUSAL_DEADLINE ? 504 : 502;
	switch (reason) {
	case REFUSAL_DEADLINE:
	case REFUSAL_TARGET_FAILED:
	case REFUSAL_RETRIES_SPENT:
	case REFUSAL_QUARANTINED:
		return 503;
	default:
		return refusal_status(reason);
	}
}

void exchange_refuse(proxy_t *proxy, exchange_t *exchange, refusal_t reason,
		     uint32_t retry_after_ms)
{
	uint32_t status = refusal_status_code(exchange, reason);
	run_state_t run = exchange->runs > 0 ? RUN_UNKNOWN : RUN_NOT_RUN;
	msg_t head = {.kind = MSG_EXCHANGE_HEAD, .ref = exchange->caller};
	msg_t data = {.kind = MSG_EXCHANGE_DATA, .ref = exchange->caller};
	msg_t end = {.kind = MSG_EXCHANGE_END, .ref = exchange->caller};
	char *text;

	if (retry_after_ms == 0)
		retry_after_ms = RETRY_AFTER_DEFAULT_MS;
	metrics_refusal(proxy->kernel->metrics, reason);
	if (reason == REFUSAL_QUARANTINED)
		parts_log_refused(proxy, exchange->spec);
	exchange_release_target(proxy, exchange, PLACE_CANCELLED);
	if (exchange->head_sent) {
		msg_t aborted = {.kind = MSG_EXCHANGE_ABORTED,
				 .ref = exchange->caller};

		metrics_add(proxy->kernel->metrics, COUNTER_BROKEN, 1);
		kernel_post(proxy->kernel, proxy->svc, proxy->ingress,
			    &aborted);
		exchange_end(proxy, exchange, refusal_name(reason));
		return;
	}
	text = refusal_json(reason, run, wire_request_id(exchange->spec), NULL);
	head.u.exchange_head.head = wire_write_refusal(
		exchange->spec, status,
		status == 503 || status == 429 ? retry_after_ms : 0);
	head.u.exchange_head.length = (int64_t)strlen(text);
	if (reason == REFUSAL_UNREACHABLE && exchange->spec->from_peer)
		hop_mark_unreachable(head.u.exchange_head.head);
	data.u.data.bytes = g_bytes_new_take(text, strlen(text));
	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &head);
	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &data);
	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &end);
	exchange_end(proxy, exchange, refusal_name(reason));
}

static void reserve_tokens(proxy_t *proxy, exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_RESERVE, .id = exchange->self};

	exchange->state = EXCHANGE_RESERVING;
	exchange->reserved =
		exchange->spec->prompt_tokens + exchange->spec->max_tokens;
	g_strlcpy(msg.u.reserve.request_id, exchange->spec->request_id,
		  sizeof(msg.u.reserve.request_id));
	g_strlcpy(msg.u.reserve.client_account, exchange->account,
		  sizeof(msg.u.reserve.client_account));
	msg.u.reserve.tokens = exchange->reserved;
	msg.u.reserve.deadline = exchange->deadline;
	kernel_post(proxy->kernel, proxy->svc, proxy->prepaid, &msg);
}

static void start_deadline_timer(proxy_t *proxy, exchange_t *exchange)
{
	int64_t wait = exchange->deadline - kernel_now(proxy->kernel);

	kernel_timer_cancel(proxy->kernel, &exchange->deadline_timer);
	exchange->deadline_timer =
		kernel_timer(proxy->kernel, proxy->svc, MAX(wait, 0),
			     exchange->self, EXCHANGE_TIMER_DEADLINE);
}

void exchange_limit_to_stop(proxy_t *proxy, exchange_t *exchange)
{
	if (proxy->stop_deadline == 0 ||
	    exchange->deadline <= proxy->stop_deadline)
		return;
	exchange->deadline = proxy->stop_deadline;
	exchange->ends_at_stop = true;
	start_deadline_timer(proxy, exchange);
}

/* The caller has been waiting since then. */
static int64_t arrived_at(const exchange_t *exchange)
{
	return exchange->spec->arrived_at > 0 ? exchange->spec->arrived_at
					      : exchange->started_at;
}

static void set_deadline(proxy_t *proxy, exchange_t *exchange)
{
	int64_t wait = exchange->spec->wait_ms;

	if (wait < 0 || wait > exchange->route.timeout_ms)
		wait = exchange->route.timeout_ms;
	exchange->deadline = arrived_at(exchange) + wait * USEC_PER_MSEC;
	start_deadline_timer(proxy, exchange);
	exchange_limit_to_stop(proxy, exchange);
}

static bool is_taken_up_again(const exchange_t *exchange)
{
	return exchange->route.kind == ROUTE_STREAM &&
	       exchange->route.resumable && exchange->spec->taken_up;
}

/* Asks at which version the stream began. */
static void resolve_stream(proxy_t *proxy, exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_STREAM_RESOLVE, .id = exchange->self};

	exchange->state = EXCHANGE_RESOLVING;
	g_strlcpy(msg.u.stream.request_id, exchange->spec->resumes,
		  sizeof(msg.u.stream.request_id));
	g_strlcpy(msg.u.stream.origin.service, exchange->service,
		  sizeof(msg.u.stream.origin.service));
	g_strlcpy(msg.u.stream.origin.account, exchange->account,
		  sizeof(msg.u.stream.origin.account));
	kernel_post(proxy->kernel, proxy->svc, proxy->streams, &msg);
}

static void reserve_or_place(proxy_t *proxy, exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;

	if (exchange->event_tokens > 0 && exchange->account[0] != '\0' &&
	    spec->prompt_tokens + spec->max_tokens > 0)
		reserve_tokens(proxy, exchange);
	else
		exchange_place(proxy, exchange);
}

static size_t spec_memory(const exchange_spec_t *spec)
{
	return sizeof(*spec) + strlen(spec->host) + strlen(spec->path) +
	       spec->part_capacity * sizeof(*spec->parts) +
	       http_head_memory(spec->head) +
	       (spec->body != NULL ? g_bytes_get_size(spec->body) : 0);
}

void exchange_start(proxy_t *proxy, msg_t *msg)
{
	msg_t started = {.kind = MSG_EXCHANGE_STARTED, .ref = msg->id};
	exchange_t *exchange;
	handle_t self = table_add(&proxy->exchanges, (void **)&exchange);
	refusal_t reason;

	exchange->self = self;
	exchange->caller = msg->id;
	exchange->spec = g_steal_pointer(&msg->u.exchange);
	exchange->started_at = kernel_now(proxy->kernel);
	exchange->body = g_byte_array_new();
	sse_init(&exchange->events);
	kernel_count_bytes(proxy->kernel, BUFFER_RUNNING,
			   &exchange->counted_request,
			   spec_memory(exchange->spec));
	started.id = self;
	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &started);
	reason = exchange_admit(proxy, exchange);
	/* The newer configuration may have the route or the key. */
	if (proxy->conf_behind &&
	    (reason == REFUSAL_NO_ROUTE || reason == REFUSAL_UNAUTHENTICATED))
		reason = REFUSAL_CONF_BEHIND;
	if (reason != REFUSAL_NONE) {
		exchange_refuse(proxy, exchange, reason,
				reason == REFUSAL_BEHIND
					? ELSEWHERE_RETRY_AFTER_MS
					: 0);
		return;
	}
	set_deadline(proxy, exchange);
	/* Its caller could not repeat it if the stop cut it. */
	if (exchange->ends_at_stop && !exchange_is_idempotent(exchange)) {
		exchange_refuse(proxy, exchange, REFUSAL_STOPPING,
				ELSEWHERE_RETRY_AFTER_MS);
		return;
	}
	if (forward_wanted(proxy, exchange))
		forward_start(proxy, exchange);
	else if (is_taken_up_again(exchange))
		resolve_stream(proxy, exchange);
	else
		reserve_or_place(proxy, exchange);
}

/* The route may lead to another service than when the stream began. */
static bool leads_to(const proxy_t *proxy, const exchange_t *exchange,
		     const char *service)
{
	const exchange_spec_t *spec = exchange->spec;
	const fleet_route_t *route =
		fleet_conf_route(proxy->conf, spec->host, spec->path);

	return route != NULL &&
	       fleet_conf_leads_to(proxy->conf, route, service);
}

void exchange_resolved(proxy_t *proxy, const msg_t *msg)
{
	const stream_origin_t *origin = &msg->u.stream.origin;
	exchange_t *exchange = table_get(&proxy->exchanges, msg->ref);

	if (exchange == NULL || exchange->state != EXCHANGE_RESOLVING)
		return;
	if (!msg->u.stream.known) {
		exchange_refuse(proxy, exchange, REFUSAL_VERSION_UNKNOWN, 0);
		return;
	}
	if (!leads_to(proxy, exchange, origin->service)) {
		exchange_refuse(proxy, exchange, REFUSAL_NO_TARGET, 0);
		return;
	}
	exchange_set_service(proxy, exchange, origin->service);
	exchange->has_stream_version = true;
	g_strlcpy(exchange->stream_version, origin->version,
		  sizeof(exchange->stream_version));
	reserve_or_place(proxy, exchange);
}

void exchange_reserved(proxy_t *proxy, const msg_t *msg)
{
	exchange_t *exchange = table_get(&proxy->exchanges, msg->ref);
	msg_t release = {.kind = MSG_RELEASE, .ref = msg->id};

	if (exchange == NULL || exchange->state != EXCHANGE_RESERVING) {
		kernel_post(proxy->kernel, proxy->svc, proxy->prepaid,
			    &release);
		return;
	}
	switch (msg->u.reserved.result) {
	case RESERVE_OK:
		exchange->reservation = msg->id;
		exchange_place(proxy, exchange);
		break;
	case RESERVE_SPENT:
		exchange_refuse(proxy, exchange, REFUSAL_BUDGET_SPENT, 0);
		break;
	case RESERVE_UNAVAILABLE:
		exchange_refuse(proxy, exchange, REFUSAL_BUDGET_UNAVAILABLE,
				msg->u.reserved.retry_after_ms);
		break;
	}
}

int64_t exchange_place_wait_ms(const route_terms_t *route)
{
	return MAX(route->latency_goal_ms / PLACE_WAIT_DIVISOR,
		   PLACE_WAIT_MIN_MS);
}

void exchange_place(proxy_t *proxy, exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;
	msg_t msg = {.kind = MSG_PLACE, .id = exchange->self};
	int64_t wait = exchange_place_wait_ms(&exchange->route);

	exchange->state = EXCHANGE_PLACING;
	g_strlcpy(msg.u.place.request_id, spec->request_id,
		  sizeof(msg.u.place.request_id));
	g_strlcpy(msg.u.place.service, exchange->service,
		  sizeof(msg.u.place.service));
	msg.u.place.priority = exchange->priority;
	msg.u.place.deadline =
		MIN(kernel_now(proxy->kernel) + wait * USEC_PER_MSEC,
		    exchange->deadline);
	msg.u.place.prompt_tokens = spec->prompt_tokens;
	msg.u.place.max_tokens = spec->max_tokens;
	if (spec->body != NULL)
		msg.u.place.bytes = g_bytes_get_size(spec->body);
	msg.u.place.part_count =
		exchange_spec_place_parts(spec, msg.u.place.parts);
	msg.u.place.avoid_count = exchange->avoid_count;
	memcpy(msg.u.place.avoid, exchange->avoid, sizeof(exchange->avoid));
	msg.u.place.one_version = exchange->has_stream_version;
	g_strlcpy(msg.u.place.version, exchange->stream_version,
		  sizeof(msg.u.place.version));
	kernel_post(proxy->kernel, proxy->svc, proxy->balance, &msg);
}

/* Returns when a missing response head fails the attempt; 0: never. */
static int64_t head_deadline(const exchange_t *exchange, int64_t now)
{
	const route_terms_t *route = &exchange->route;
	int64_t timeout_ms =
		MAX((int64_t)route->latency_goal_ms * HEAD_TIMEOUT_GOALS,
		    HEAD_TIMEOUT_MIN_MS);

	if (!exchange_is_idempotent(exchange) ||
	    exchange->runs + 1 >= route->max_attempts)
		return 0;
	return now + timeout_ms * USEC_PER_MSEC;
}

static void send_request(proxy_t *proxy, exchange_t *exchange,
			 const msg_t *placed)
{
	int64_t now = kernel_now(proxy->kernel);
	wire_request_opts_t fields = {
		.instance = placed->u.placed.full_id,
		.account = exchange->account_name,
		.time_budget_ms = (exchange->deadline - now) / USEC_PER_MSEC,
		.priority = exchange->priority * QUEUE_PRIORITY_FACTOR,
		.last_event_id = exchange->events.last_id->len > 0
					 ? exchange->events.last_id->str
					 : NULL,
	};
	msg_t msg = {.kind = MSG_OUT_SEND, .id = exchange->self};

	exchange->state = EXCHANGE_SENT;
	exchange->sent_at = now;
	exchange->sends++;
	exchange->call = HANDLE_NONE;
	exchange->attempt_began = false;
	exchange->survived = false;
	exchange->verifying = false;
	exchange->ended = false;
	exchange->joins = exchange->has_stream_version &&
			  version_is_known(exchange->stream_version);
	memset(&exchange->response_info, 0, sizeof(exchange->response_info));
	g_strlcpy(msg.u.out_send.host, placed->u.placed.host,
		  sizeof(msg.u.out_send.host));
	msg.u.out_send.port = placed->u.placed.port;
	msg.u.out_send.head = wire_write_request(exchange->spec, &fields);
	if (exchange->spec->body != NULL)
		msg.u.out_send.body = g_bytes_ref(exchange->spec->body);
	wire_echo_field(exchange->spec, msg.u.out_send.echo_name,
			sizeof(msg.u.out_send.echo_name),
			msg.u.out_send.echo_value,
			sizeof(msg.u.out_send.echo_value));
	/* Without an id, nothing tells responses on a connection apart. */
	msg.u.out_send.own_connection = msg.u.out_send.echo_name[0] == '\0';
	msg.u.out_send.head_deadline = head_deadline(exchange, now);
	kernel_post(proxy->kernel, proxy->svc, proxy->outbound, &msg);
	metrics_add(proxy->kernel->metrics, COUNTER_ATTEMPTS, 1);
}

void exchange_placed(proxy_t *proxy, const msg_t *msg)
{
	exchange_t *exchange = table_get(&proxy->exchanges, msg->ref);
	msg_t done = {.kind = MSG_PLACE_DONE, .ref = msg->id};
	int64_t now = kernel_now(proxy->kernel);

	if (exchange == NULL || exchange->state != EXCHANGE_PLACING) {
		done.u.place_done.result = PLACE_NOT_SENT;
		kernel_post(proxy->kernel, proxy->svc, proxy->balance, &done);
		return;
	}
	exchange->placement = msg->id;
	exchange->target = msg->u.placed.target;
	g_strlcpy(exchange->instance, msg->u.placed.instance,
		  sizeof(exchange->instance));
	g_strlcpy(exchange->target_version, msg->u.placed.version,
		  sizeof(exchange->target_version));
	g_strlcpy(exchange->target_host, msg->u.placed.host,
		  sizeof(exchange->target_host));
	exchange->target_port = msg->u.placed.port;
	exchange->target_started_ms = msg->u.placed.started_ms;
	if (exchange->deadline - now < SEND_TIME_MIN_US) {
		exchange_release_target(proxy, exchange, PLACE_NOT_SENT);
		exchange_refuse(proxy, exchange, REFUSAL_DEADLINE, 0);
		return;
	}
	if (forward_wanted(proxy, exchange)) {
		exchange_release_target(proxy, exchange, PLACE_NOT_SENT);
		forward_start(proxy, exchange);
		return;
	}
	/* The quarantine may have come while the request waited. */
	if (crash_quarantined(proxy, exchange) ||
	    !parts_admit(proxy, exchange)) {
		exchange_release_target(proxy, exchange, PLACE_NOT_SENT);
		exchange_refuse(proxy, exchange, REFUSAL_QUARANTINED, 0);
		return;
	}
	send_request(proxy, exchange, msg);
}

void exchange_place_refused(proxy_t *proxy, const msg_t *msg)
{
	exchange_t *exchange = table_get(&proxy->exchanges, msg->ref);

	if (exchange == NULL || exchange->state != EXCHANGE_PLACING)
		return;
	exchange_refuse(proxy, exchange, msg->u.place_refused.reason,
			msg->u.place_refused.retry_after_ms);
}

static void cancel_placement(proxy_t *proxy, const exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_PLACE_CANCEL, .id = exchange->self};

	if (exchange->state == EXCHANGE_PLACING)
		kernel_post(proxy->kernel, proxy->svc, proxy->balance, &msg);
}

/* Counts the request in progress if it may have run. */
static void count_run(exchange_t *exchange)
{
	if (exchange->state == EXCHANGE_SENT ||
	    exchange->state == EXCHANGE_RESPONDING)
		exchange->runs++;
}

void exchange_timed_out(proxy_t *proxy, handle_t ref)
{
	exchange_t *exchange = table_get(&proxy->exchanges, ref);

	if (exchange == NULL)
		return;
	exchange->deadline_timer = HANDLE_NONE;
	if (exchange->state == EXCHANGE_SENT && !exchange->passed_on &&
	    forward_judge_late(proxy, exchange) == REACH_LATE_CUT)
		forward_target_failed(proxy, exchange);
	cancel_placement(proxy, exchange);
	count_run(exchange);
	exchange_release_target(proxy, exchange,
				exchange->state == EXCHANGE_SENT
					? PLACE_LOST
					: PLACE_CANCELLED);
	if (exchange->ends_at_stop)
		exchange_refuse(proxy, exchange, REFUSAL_STOPPING,
				ELSEWHERE_RETRY_AFTER_MS);
	else
		exchange_refuse(proxy, exchange, REFUSAL_DEADLINE, 0);
}

void exchange_cancelled(proxy_t *proxy, handle_t ref)
{
	exchange_t *exchange = table_get(&proxy->exchanges, ref);

	if (exchange == NULL)
		return;
	metrics_add(proxy->kernel->metrics, COUNTER_CALLERS_GONE, 1);
	cancel_placement(proxy, exchange);
	count_run(exchange);
	exchange_release_target(proxy, exchange, PLACE_CANCELLED);
	exchange_end(proxy, exchange, "caller_gone");
}
