/*
 * Handles the responses of targets: forwards them to the caller, and decides
 * whether a failed attempt is retried.
 */
#include "proxy/exchange.h"

#include "log/log.h"
#include "outbound/outbound.h"
#include "platform/wire.h"

#include <string.h>

#define BODY_SIZE_MAX 8388608 /* bytes of a response that is not streamed */
/*
 * Bounds of the body of a rejection, which is read so that the connection can
 * be used again.  A broken target may send it without end.
 */
#define REJECTION_BODY_MAX 16384 /* bytes */
#define REJECTION_TIMEOUT_US (250 * USEC_PER_MSEC)
/* Limit on an event that is not complete yet. */
#define EVENT_SIZE_MAX 262144 /* bytes */
/* Limit on the requests sent for one exchange, including those not run. */
#define SENDS_MAX 4
#define STATUS_NO_CONTENT 204
#define STATUS_SERVER_ERROR 500

/* Returns the refusal for the caller after the last attempt has failed. */
static refusal_t refusal_for(failure_t failure)
{
	switch (failure) {
	case FAILURE_DEADLINE:
		return REFUSAL_DEADLINE;
	case FAILURE_OVERLOADED:
	case FAILURE_LEAVING:
		return REFUSAL_OVERLOADED;
	case FAILURE_MISDIRECTED:
		return REFUSAL_NO_TARGET;
	default:
		return REFUSAL_TARGET_FAILED;
	}
}

/* Returns whether another target may be tried, and counts the retry. */
static bool may_retry(proxy_t *proxy, const exchange_t *exchange,
		      failure_t failure, bool ran)
{
	int64_t now = kernel_now(proxy->kernel);

	if (exchange->passed_on || exchange->sends >= SENDS_MAX ||
	    now >= exchange->deadline || crash_quarantined(proxy, exchange))
		return false;
	/* Nothing reached a target, so another attempt is not a retry. */
	if (failure == FAILURE_CONNECT)
		return true;
	if (ran && (!exchange_is_idempotent(exchange) ||
		    exchange->runs >= exchange->route.max_attempts))
		return false;
	if (exchange->head_sent && !exchange->route.resumable)
		return false;
	if (exchange->has_stream_version &&
	    !version_is_known(exchange->stream_version))
		return false;
	return retry_window_take(&proxy->retries, exchange->service,
				 proxy->instances, now);
}

static void log_failure(const exchange_t *exchange, failure_t failure, bool ran,
			bool retry)
{
	char *parts = exchange_format_parts(exchange->spec);

	log_event(LOG_LEVEL_INFO, "proxy", "attempt_failed",
		  "request=%s target=%s failure=%s ran=%d reused=%d send=%u "
		  "status=%u events=%u parts=%s retry=%d",
		  log_quote(exchange->spec->request_id), exchange->instance,
		  failure_name(failure), ran, exchange->reused, exchange->sends,
		  exchange->head != NULL ? exchange->head->status : 0,
		  exchange->events.count, parts, retry);
	g_free(parts);
}

static void avoid_target(exchange_t *exchange)
{
	if (exchange->avoid_count < ROUTE_AVOID_MAX)
		exchange->avoid[exchange->avoid_count++] = exchange->target;
}

static void count_bytes(proxy_t *proxy, exchange_t *exchange)
{
	kernel_count_bytes(proxy->kernel, BUFFER_RESPONSES, &exchange->counted,
			   exchange->body->len + exchange->events.partial->len);
}

/* An array that is only emptied keeps its memory. */
static void free_body(exchange_t *exchange)
{
	if (exchange->body->len == 0)
		return;
	g_byte_array_unref(exchange->body);
	exchange->body = g_byte_array_new();
}

/* Ends an attempt whose response cannot be forwarded. */
static void fail_attempt(proxy_t *proxy, exchange_t *exchange,
			 failure_t failure, bool ran, place_result_t result)
{
	bool retry;

	if (ran)
		exchange->runs++;
	else
		parts_not_run(proxy, exchange);
	exchange_release_target(proxy, exchange, result);
	retry = may_retry(proxy, exchange, failure, ran);
	log_failure(exchange, failure, ran, retry);
	avoid_target(exchange);
	if (!exchange->head_sent)
		g_clear_pointer(&exchange->head, http_head_free);
	free_body(exchange);
	sse_discard_partial(&exchange->events);
	count_bytes(proxy, exchange);
	if (!retry) {
		exchange_refuse(proxy, exchange,
				crash_quarantined(proxy, exchange)
					? REFUSAL_QUARANTINED
					: refusal_for(failure),
				0);
		return;
	}
	metrics_retry(proxy->kernel->metrics, failure);
	exchange_place(proxy, exchange);
}

static void report_first_byte(proxy_t *proxy, exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_PLACE_FIRST_BYTE, .ref = exchange->placement};

	kernel_post(proxy->kernel, proxy->svc, proxy->balance, &msg);
	if (exchange->first_byte_at == 0)
		exchange->first_byte_at = kernel_now(proxy->kernel);
}

static bool ends_with_connection(const http_head_t *head)
{
	return head->status != STATUS_NO_CONTENT &&
	       http_head_get(head, "Content-Length") == NULL &&
	       !http_head_has_token(head, "Transfer-Encoding", "chunked");
}

static http_head_t *copy_end_to_end(const http_head_t *head)
{
	http_head_t *out = http_head_response(head->status);

	for (guint i = 0; i < head->fields->len; i++) {
		const http_field_t *field =
			&g_array_index(head->fields, http_field_t, i);

		if (!http_field_is_hop_by_hop(field->name) &&
		    !http_head_has_token(head, "Connection", field->name))
			http_head_add(out, field->name, field->value);
	}
	return out;
}

static void send_head(proxy_t *proxy, exchange_t *exchange, int64_t length)
{
	msg_t msg = {.kind = MSG_EXCHANGE_HEAD, .ref = exchange->caller};

	exchange->head_sent = true;
	msg.u.exchange_head.head = copy_end_to_end(exchange->head);
	msg.u.exchange_head.length = length;
	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &msg);
}

static void send_bytes(proxy_t *proxy, const exchange_t *exchange,
		       GBytes *bytes)
{
	msg_t msg = {.kind = MSG_EXCHANGE_DATA, .ref = exchange->caller};

	msg.u.data.bytes = bytes;
	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &msg);
}

static void send_end(proxy_t *proxy, exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_EXCHANGE_END, .ref = exchange->caller};

	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &msg);
	metrics_add(proxy->kernel->metrics, COUNTER_ANSWERS, 1);
}

/*
 * A refusal may come without the id of its request.  On a connection that had
 * another request before, it may be a copy of the refusal of that one.
 */
static bool belongs_to(const exchange_t *exchange)
{
	const response_info_t *info = &exchange->response_info;

	switch (info->id) {
	case RESPONSE_ID_SAME:
		return true;
	case RESPONSE_ID_MISSING:
		return info->not_run && !exchange->reused;
	case RESPONSE_ID_OTHER:
		return false;
	}
	return false;
}

/* Another instance's response tells nothing about the target. */
static void forward_report(proxy_t *proxy, const exchange_t *exchange)
{
	const response_info_t *info = &exchange->response_info;
	msg_t msg = {.kind = MSG_PLACE_REPORT, .ref = exchange->placement};

	if (info->misdirected)
		return;
	if (info->report.unreadable != NULL)
		log_event(LOG_LEVEL_WARN, "proxy", "field_ignored",
			  "request=%s target=%s field=%s reason=malformed",
			  log_quote(exchange->spec->request_id),
			  exchange->instance, info->report.unreadable);
	msg.u.place_report = info->report;
	kernel_post(proxy->kernel, proxy->svc, proxy->balance, &msg);
}

/* A response that states no type is taken for what its route asks for. */
static bool is_event_stream(const http_head_t *head)
{
	static const char type[] = "text/event-stream";
	const char *stated = http_head_get(head, "Content-Type");

	return stated == NULL ||
	       g_ascii_strncasecmp(stated, type, strlen(type)) == 0;
}

/* Whether the response goes on with the stream that the caller receives. */
static bool continues_stream(const exchange_t *exchange,
			     const http_head_t *head)
{
	const char *type = http_head_get(head, "Content-Type");
	const char *first = http_head_get(exchange->head, "Content-Type");

	return exchange->streaming && head->status == exchange->head->status &&
	       g_strcmp0(type, first) == 0;
}

void response_head(proxy_t *proxy, exchange_t *exchange, msg_t *msg)
{
	const http_head_t *head = msg->u.out_head.head;
	bool success = http_status_is_success(head->status);

	if (exchange->state != EXCHANGE_SENT)
		return;
	if (!exchange->passed_on)
		forward_target_answered(proxy);
	else if (forward_is_refused(proxy, exchange, head))
		return;
	wire_read_reply(head, exchange->spec, &exchange->response_info);
	if (!belongs_to(exchange)) {
		fail_attempt(proxy, exchange, FAILURE_HEAD, true, PLACE_LOST);
		return;
	}
	forward_report(proxy, exchange);
	if (exchange->response_info.not_run && !exchange->passed_on) {
		exchange->state = EXCHANGE_REJECTED;
		exchange->rejection_bytes = 0;
		exchange->rejection_timer = kernel_timer(
			proxy->kernel, proxy->svc, REJECTION_TIMEOUT_US,
			exchange->self, EXCHANGE_TIMER_REJECTION);
		return;
	}
	if (success && !exchange->response_info.authentic) {
		fail_attempt(proxy, exchange, FAILURE_HEAD, true, PLACE_LOST);
		return;
	}
	if (exchange->head_sent && !continues_stream(exchange, head)) {
		fail_attempt(proxy, exchange, FAILURE_HEAD, true, PLACE_ERROR);
		return;
	}
	report_first_byte(proxy, exchange);
	exchange->state = EXCHANGE_RESPONDING;
	exchange->until_close = ends_with_connection(head);
	/* A resumed stream keeps the head of its first target. */
	if (!exchange->head_sent) {
		exchange->streaming = success && is_event_stream(head) &&
				      exchange->route.kind == ROUTE_STREAM;
		http_head_free(exchange->head);
		exchange->head = g_steal_pointer(&msg->u.out_head.head);
	}
	if (exchange->streaming && exchange->joins)
		version_verify(proxy, exchange);
}

static void record_start(const proxy_t *proxy, exchange_t *exchange)
{
	if (exchange->attempt_began)
		return;
	exchange->attempt_began = true;
	exchange->attempt_began_at = kernel_now(proxy->kernel);
}

static void record_event(proxy_t *proxy, exchange_t *exchange)
{
	int64_t now = kernel_now(proxy->kernel);

	record_start(proxy, exchange);
	if (now - exchange->attempt_began_at >= ANSWER_START_US)
		parts_survived(proxy, exchange);
	if (exchange->first_event_at == 0)
		exchange->first_event_at = now;
	else
		exchange->longest_gap = MAX(exchange->longest_gap,
					    now - exchange->last_event_at);
	exchange->last_event_at = now;
}

static void reject_attempt(proxy_t *proxy, exchange_t *exchange)
{
	kernel_timer_cancel(proxy->kernel, &exchange->rejection_timer);
	if (exchange->response_info.misdirected)
		fail_attempt(proxy, exchange, FAILURE_MISDIRECTED, false,
			     PLACE_MISDIRECTED);
	else
		fail_attempt(proxy, exchange, FAILURE_OVERLOADED, false,
			     PLACE_FULL);
}

void response_rejection_timed_out(proxy_t *proxy, handle_t ref)
{
	exchange_t *exchange = table_get(&proxy->exchanges, ref);

	if (exchange == NULL || exchange->state != EXCHANGE_REJECTED)
		return;
	exchange->rejection_timer = HANDLE_NONE;
	reject_attempt(proxy, exchange);
}

static void discard_rejection(proxy_t *proxy, exchange_t *exchange, gsize size)
{
	exchange->rejection_bytes += size;
	if (exchange->rejection_bytes > REJECTION_BODY_MAX)
		reject_attempt(proxy, exchange);
}

static void forward_events(proxy_t *proxy, exchange_t *exchange, GBytes *bytes)
{
	GBytes *complete = sse_feed(&exchange->events, bytes);

	if (complete != NULL) {
		record_event(proxy, exchange);
		version_keep(proxy, exchange);
		if (!exchange->head_sent)
			send_head(proxy, exchange, -1);
		send_bytes(proxy, exchange, complete);
	}
	count_bytes(proxy, exchange);
	if (exchange->events.partial->len > EVENT_SIZE_MAX)
		fail_attempt(proxy, exchange, FAILURE_STREAM, true, PLACE_LOST);
}

void response_data(proxy_t *proxy, exchange_t *exchange, msg_t *msg)
{
	gsize size;
	const guint8 *data;

	if (!exchange->passed_on)
		reach_heard(&proxy->reach, kernel_now(proxy->kernel));
	if (exchange->state == EXCHANGE_REJECTED) {
		discard_rejection(proxy, exchange,
				  g_bytes_get_size(msg->u.data.bytes));
		return;
	}
	if (exchange->state != EXCHANGE_RESPONDING)
		return;
	if (exchange->streaming && !exchange->verifying) {
		forward_events(proxy, exchange, msg->u.data.bytes);
		return;
	}
	record_start(proxy, exchange);
	data = g_bytes_get_data(msg->u.data.bytes, &size);
	g_byte_array_append(exchange->body, data, (guint)size);
	count_bytes(proxy, exchange);
	if (exchange->body->len > BODY_SIZE_MAX)
		fail_attempt(proxy, exchange, FAILURE_STREAM, true, PLACE_LOST);
}

static exchange_t *find_largest(const proxy_t *proxy)
{
	exchange_t *exchange, *largest = NULL;
	uint32_t cursor = 0;

	while ((exchange = table_next(&proxy->exchanges, &cursor, NULL)) !=
	       NULL)
		if (exchange->state == EXCHANGE_RESPONDING &&
		    exchange->counted > 0 &&
		    (largest == NULL || exchange->counted > largest->counted))
			largest = exchange;
	return largest;
}

void response_relieve(proxy_t *proxy)
{
	exchange_t *exchange;

	while (!buffers_relieved(&proxy->kernel->buffers) &&
	       (exchange = find_largest(proxy)) != NULL) {
		metrics_add(proxy->kernel->metrics, COUNTER_BUFFERS_DROPPED, 1);
		log_event(LOG_LEVEL_WARN, "proxy", "response_dropped",
			  "request=%s target=%s bytes=%zu "
			  "buffered=%" G_GUINT64_FORMAT,
			  log_quote(exchange->spec->request_id),
			  exchange->instance, exchange->counted,
			  buffers_total(&proxy->kernel->buffers));
		fail_attempt(proxy, exchange, FAILURE_STREAM, true, PLACE_LOST);
	}
	kernel_buffers_relieved(proxy->kernel);
}

/*
 * Returns whether a crash may have ended the response: a target that crashes
 * may close its connections in order.
 */
static bool may_be_cut(const proxy_t *proxy, const exchange_t *exchange)
{
	return exchange->until_close &&
	       (!exchange->attempt_began ||
		kernel_now(proxy->kernel) - exchange->attempt_began_at <
			ANSWER_START_US);
}

static void finish_exchange(proxy_t *proxy, exchange_t *exchange,
			    place_result_t result)
{
	exchange->runs++;
	exchange->call = HANDLE_NONE;
	exchange_release_target(proxy, exchange, result);
	if (exchange->passed_on) {
		/* The peer knows its target. */
	} else if (may_be_cut(proxy, exchange)) {
		crash_add_suspect(proxy, exchange);
	} else {
		crash_request_completed(proxy, exchange);
		if (http_status_is_success(exchange->head->status))
			parts_survived(proxy, exchange);
	}
	send_end(proxy, exchange);
	exchange_end(proxy, exchange,
		     result == PLACE_OK ? "answered" : "target_error");
}

static void end_stream(proxy_t *proxy, exchange_t *exchange)
{
	bool empty = exchange->until_close && !exchange->attempt_began;

	/*
	 * The body is complete, but the target truncated the last event or
	 * closed the connection instead of sending any.
	 */
	if (exchange->events.partial->len > 0 || empty) {
		if (!exchange->passed_on)
			crash_add_suspect(proxy, exchange);
		fail_attempt(proxy, exchange, FAILURE_STREAM, true,
			     exchange->until_close ? PLACE_RESET : PLACE_LOST);
		return;
	}
	if (!exchange->head_sent)
		send_head(proxy, exchange, -1);
	finish_exchange(proxy, exchange, PLACE_OK);
}

static void end_buffered(proxy_t *proxy, exchange_t *exchange)
{
	bool error = exchange->head->status >= STATUS_SERVER_ERROR;

	/* Another target may succeed if the request may run again. */
	if (error && !exchange->passed_on && exchange_is_idempotent(exchange) &&
	    exchange->runs + 1 < exchange->route.max_attempts &&
	    retry_window_take(&proxy->retries, exchange->service,
			      proxy->instances, kernel_now(proxy->kernel))) {
		exchange->runs++;
		exchange->call = HANDLE_NONE;
		exchange_release_target(proxy, exchange, PLACE_ERROR);
		log_failure(exchange, FAILURE_HEAD, true, true);
		metrics_retry(proxy->kernel->metrics, FAILURE_HEAD);
		avoid_target(exchange);
		free_body(exchange);
		count_bytes(proxy, exchange);
		exchange_place(proxy, exchange);
		return;
	}
	send_head(proxy, exchange, exchange->body->len);
	if (exchange->body->len > 0) {
		send_bytes(proxy, exchange,
			   g_byte_array_free_to_bytes(exchange->body));
		exchange->body = g_byte_array_new();
	}
	finish_exchange(proxy, exchange, error ? PLACE_ERROR : PLACE_OK);
}

void response_end(proxy_t *proxy, exchange_t *exchange)
{
	switch (exchange->state) {
	case EXCHANGE_REJECTED:
		exchange->call = HANDLE_NONE;
		reject_attempt(proxy, exchange);
		break;
	case EXCHANGE_RESPONDING:
		if (exchange->verifying)
			exchange->ended = true;
		else if (exchange->streaming)
			end_stream(proxy, exchange);
		else
			end_buffered(proxy, exchange);
		break;
	case EXCHANGE_RESOLVING:
	case EXCHANGE_RESERVING:
	case EXCHANGE_PLACING:
	case EXCHANGE_SENT:
		break;
	}
}

void response_verified(proxy_t *proxy, const msg_t *msg)
{
	exchange_t *exchange = table_get(&proxy->exchanges, msg->ref);
	GBytes *bytes;

	if (exchange == NULL || !exchange->verifying ||
	    exchange->state != EXCHANGE_RESPONDING ||
	    exchange->sends != msg->u.process.attempt)
		return;
	exchange->verifying = false;
	log_event(LOG_LEVEL_INFO, "proxy", "process_verified",
		  "request=%s target=%s software=%s listed=%d "
		  "us=%" G_GINT64_FORMAT " held=%u",
		  log_quote(exchange->spec->request_id), exchange->instance,
		  exchange->stream_version, msg->u.process.listed,
		  kernel_now(proxy->kernel) - exchange->verify_at,
		  exchange->body->len);
	if (!msg->u.process.listed) {
		fail_attempt(proxy, exchange, FAILURE_MISDIRECTED, true,
			     PLACE_CANCELLED);
		return;
	}
	bytes = g_byte_array_free_to_bytes(exchange->body);
	exchange->body = g_byte_array_new();
	if (g_bytes_get_size(bytes) > 0)
		forward_events(proxy, exchange, bytes);
	g_bytes_unref(bytes);
	/* An event that is too large ends the attempt. */
	exchange = table_get(&proxy->exchanges, msg->ref);
	if (exchange != NULL && exchange->state == EXCHANGE_RESPONDING &&
	    exchange->ended)
		end_stream(proxy, exchange);
}

/* Returns whether the caller gets another answer soonest elsewhere. */
static bool is_refused_here(const proxy_t *proxy, const exchange_t *exchange,
			    reach_late_t late)
{
	int64_t left = exchange->deadline - kernel_now(proxy->kernel);

	/* What may have run is not refused as not run. */
	if (exchange->runs > 0 || exchange->head_sent)
		return false;
	return late == REACH_LATE_LOCAL || left < OUT_CONNECT_TIMEOUT_US;
}

/*
 * A connect has timed out, which is no sign of a partition: this instance is
 * late itself, or other targets answer.
 */
static void connect_late(proxy_t *proxy, exchange_t *exchange,
			 reach_late_t late)
{
	bool local = late == REACH_LATE_LOCAL;
	bool refused = is_refused_here(proxy, exchange, late);

	metrics_add(proxy->kernel->metrics, COUNTER_CONNECTS_LATE, 1);
	log_event(LOG_LEVEL_INFO, "proxy", "connect_late",
		  "request=%s target=%s local=%d send=%u refused=%d",
		  log_quote(exchange->spec->request_id), exchange->instance,
		  local, exchange->sends, refused);
	if (!local)
		crash_target_unreachable(proxy, exchange->instance);
	if (!refused) {
		fail_attempt(proxy, exchange, FAILURE_CONNECT, false,
			     local ? PLACE_NOT_SENT : PLACE_UNREACHABLE);
		return;
	}
	parts_not_run(proxy, exchange);
	exchange_release_target(proxy, exchange,
				local ? PLACE_NOT_SENT : PLACE_UNREACHABLE);
	exchange_refuse(proxy, exchange, REFUSAL_BEHIND,
			exchange_retry_elsewhere_ms(proxy));
}

void response_failed(proxy_t *proxy, exchange_t *exchange, const msg_t *msg)
{
	failure_t failure = msg->u.out_failed.failure;
	bool sent = msg->u.out_failed.sent;
	reach_late_t late = REACH_LATE_CUT;

	if (exchange->state == EXCHANGE_RESOLVING ||
	    exchange->state == EXCHANGE_RESERVING ||
	    exchange->state == EXCHANGE_PLACING)
		return;
	exchange->call = HANDLE_NONE;
	if (exchange->passed_on && exchange->state == EXCHANGE_SENT) {
		forward_failed(proxy, exchange, sent);
		return;
	}
	/* The target stated that nothing ran before the connection failed. */
	if (exchange->state == EXCHANGE_REJECTED) {
		reject_attempt(proxy, exchange);
		return;
	}
	if (!sent && !msg->u.out_failed.refused)
		late = forward_judge_late(proxy, exchange);
	else if (failure == FAILURE_SILENT)
		late = forward_judge_late(proxy, exchange);
	/* A reset may be a crash that the request itself has caused. */
	if (!exchange->passed_on && exchange->state == EXCHANGE_SENT &&
	    (!sent || failure == FAILURE_SILENT) && late == REACH_LATE_CUT)
		forward_target_failed(proxy, exchange);
	if (!sent && late != REACH_LATE_CUT) {
		connect_late(proxy, exchange, late);
		return;
	}
	if (!sent) {
		exchange->unreached++;
		crash_target_unreachable(proxy, exchange->instance);
		fail_attempt(proxy, exchange, FAILURE_CONNECT, false,
			     msg->u.out_failed.refused ? PLACE_REFUSED
						       : PLACE_UNREACHABLE);
		return;
	}
	if (msg->u.out_failed.reset && !exchange->passed_on)
		crash_add_suspect(proxy, exchange);
	fail_attempt(proxy, exchange, failure, true,
		     msg->u.out_failed.reset ? PLACE_RESET : PLACE_LOST);
}
