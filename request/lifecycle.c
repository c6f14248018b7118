/*
 * Steps of a request outside its attempts and its response: start, claim,
 * reservation, timers, refusal and end.
 */
#include "request/internal.h"

#include "log/log.h"

#include <string.h>

/*
 * Extra time for the bill after the deadline, granted because the response is
 * already complete.
 */
#define BILL_GRACE_US (2 * USEC_PER_SEC)

static void count_running(request_svc_t *svc, const char *account, int change)
{
	guint running = GPOINTER_TO_UINT(
		g_hash_table_lookup(svc->running_by_account, account));

	running = (guint)((int)running + change);
	if (running == 0)
		g_hash_table_remove(svc->running_by_account, account);
	else
		g_hash_table_replace(svc->running_by_account, g_strdup(account),
				     GUINT_TO_POINTER(running));
}

run_state_t request_run_state(const request_t *request)
{
	if (request->ran)
		return RUN_RAN;
	return request->maybe_ran ? RUN_UNKNOWN : RUN_NOT_RUN;
}

void request_check_stopped(request_svc_t *svc)
{
	msg_t msg = {.kind = MSG_STOPPED};

	if (!svc->stopping || svc->stopped || table_count(&svc->requests) > 0)
		return;
	svc->stopped = true;
	kernel_post(svc->kernel, svc->self, kernel_find(svc->kernel, "router"),
		    &msg);
}

static void log_request(request_svc_t *svc, const request_t *request,
			const char *result, int64_t duration)
{
	log_event(LOG_LEVEL_INFO, "request", "finished",
		  "request=%s client_account=%s service=%s target=%s "
		  "attempts=%u tokens=%" G_GINT64_FORMAT
		  " result=%s run=%s ms=%" G_GINT64_FORMAT,
		  log_quote(request->spec->request_id), request->client_account,
		  request->service.name, request->target,
		  request->attempt_count, request->billed_tokens, result,
		  run_state_name(request_run_state(request)),
		  duration / USEC_PER_MSEC);
	metrics_observe(svc->kernel->metrics, HISTOGRAM_REQUEST, duration);
}

void request_end(request_svc_t *svc, request_t *request, const char *result)
{
	handle_t self = request->self;

	log_request(svc, request, result,
		    kernel_now(svc->kernel) - request->started);
	kernel_timer_cancel(svc->kernel, &request->deadline_timer);
	kernel_timer_cancel(svc->kernel, &request->step_timer);
	if (request->client_account[0] != '\0')
		count_running(svc, request->client_account, -1);
	response_reset(request);
	if (request->outcome != NULL)
		g_byte_array_unref(request->outcome);
	kernel_count_bytes(svc->kernel, BUFFER_RUNNING, &request->counted, 0);
	request_spec_free(request->spec);
	table_remove(&svc->requests, self);
	metrics_set(svc->kernel->metrics, GAUGE_REQUESTS_RUNNING,
		    table_count(&svc->requests));
	request_check_stopped(svc);
}

static void post_refused(request_svc_t *svc, request_t *request,
			 refusal_t reason, uint32_t retry_after_s)
{
	msg_t msg = {.kind = request->head_sent ? MSG_REPLY_ABORTED
						: MSG_REPLY_REFUSED,
		     .ref = request->front_id,
		     .id = request->self};

	metrics_refusal(svc->kernel->metrics, reason);
	if (request->head_sent)
		metrics_add(svc->kernel->metrics, COUNTER_BROKEN, 1);
	request->refused = true;
	if (request->caller_gone)
		return;
	msg.u.refused.reason = reason;
	msg.u.refused.run =
		request->head_sent ? RUN_UNKNOWN : request_run_state(request);
	msg.u.refused.retry_after_s = retry_after_s;
	g_strlcpy(msg.u.refused.idem_key, request->idem_key,
		  sizeof(msg.u.refused.idem_key));
	kernel_post(svc->kernel, svc->self, request->front, &msg);
}

static void post_claim(request_svc_t *svc, msg_kind_t kind, handle_t claim)
{
	msg_t msg = {.kind = kind, .ref = claim};

	kernel_post(svc->kernel, svc->self, svc->claims, &msg);
}

static void post_release(request_svc_t *svc, handle_t reservation)
{
	msg_t msg = {.kind = MSG_RELEASE, .ref = reservation};

	kernel_post(svc->kernel, svc->self, svc->ledger, &msg);
}

/* Releases the claim and the reservation of a request without a response. */
static void release_resources(request_svc_t *svc, request_t *request)
{
	if (!handle_is_none(request->reservation))
		post_release(svc, request->reservation);
	request->reservation = HANDLE_NONE;
	if (!handle_is_none(request->claim))
		post_claim(svc,
			   request->maybe_ran ? MSG_CLAIM_ABANDON
					      : MSG_CLAIM_ABORT,
			   request->claim);
	request->claim = HANDLE_NONE;
}

void request_refuse(request_svc_t *svc, request_t *request, refusal_t reason,
		    uint32_t retry_after_s)
{
	if (reason == REFUSAL_DEADLINE && request->ends_at_stop)
		reason = REFUSAL_STOPPING;
	attempt_cancel_all(svc, request, HANDLE_NONE);
	post_refused(svc, request, reason, retry_after_s);
	if (request->state == REQUEST_CLAIMING) {
		/* The claim is aborted once its result is known. */
		request->state = REQUEST_ABANDONED;
		kernel_timer_cancel(svc->kernel, &request->deadline_timer);
		return;
	}
	release_resources(svc, request);
	request_end(svc, request, refusal_name(reason));
}

static void set_deadline(request_svc_t *svc, request_t *request,
			 int64_t deadline)
{
	int64_t wait;

	request->ends_at_stop =
		svc->stop_deadline != 0 && deadline > svc->stop_deadline;
	request->deadline =
		request->ends_at_stop ? svc->stop_deadline : deadline;
	wait = request->deadline - kernel_now(svc->kernel);
	kernel_timer_cancel(svc->kernel, &request->deadline_timer);
	request->deadline_timer =
		kernel_timer(svc->kernel, svc->self, MAX(wait, 0),
			     request->self, TIMER_DEADLINE);
}

void request_limit_to_stop(request_svc_t *svc)
{
	request_t *request;
	uint32_t cursor = 0;

	/* Without a deadline timer, the request is about to end. */
	while ((request = table_next(&svc->requests, &cursor, NULL)) != NULL)
		if (!handle_is_none(request->deadline_timer))
			set_deadline(svc, request, request->deadline);
}

static void begin_reserve(request_svc_t *svc, request_t *request)
{
	msg_t msg = {.kind = MSG_RESERVE, .id = request->self};

	request->state = REQUEST_RESERVING;
	g_strlcpy(msg.u.reserve.client_account, request->client_account,
		  sizeof(msg.u.reserve.client_account));
	g_strlcpy(msg.u.reserve.budget, request->budget,
		  sizeof(msg.u.reserve.budget));
	msg.u.reserve.tokens = request->reserved_tokens;
	msg.u.reserve.deadline = request->deadline;
	kernel_post(svc->kernel, svc->self, svc->ledger, &msg);
}

static void begin_claim(request_svc_t *svc, request_t *request)
{
	msg_t msg = {.kind = MSG_CLAIM_BEGIN, .id = request->self};

	request->state = REQUEST_CLAIMING;
	request->outcome = g_byte_array_new();
	g_strlcpy(msg.u.claim.client_account, request->client_account,
		  sizeof(msg.u.claim.client_account));
	g_strlcpy(msg.u.claim.idem_key, request->idem_key,
		  sizeof(msg.u.claim.idem_key));
	g_strlcpy(msg.u.claim.fingerprint, request->spec->fingerprint,
		  sizeof(msg.u.claim.fingerprint));
	msg.u.claim.deadline = request->deadline;
	kernel_post(svc->kernel, svc->self, svc->claims, &msg);
}

static void post_started(request_svc_t *svc, const request_t *request)
{
	msg_t msg = {.kind = MSG_REQ_STARTED,
		     .ref = request->front_id,
		     .id = request->self};

	kernel_post(svc->kernel, svc->self, request->front, &msg);
}

static void count_body(request_svc_t *svc, request_t *request)
{
	GBytes *body = request->spec->body;

	if (body != NULL)
		kernel_count_bytes(
			svc->kernel, BUFFER_RUNNING, &request->counted,
			REQUEST_BODY_COPIES * g_bytes_get_size(body));
}

void request_open(request_svc_t *svc, msg_t *msg)
{
	request_t *request;
	handle_t self;
	refusal_t refusal;

	self = table_add(&svc->requests, (void **)&request);
	request->self = self;
	request->front = msg->from;
	request->front_id = msg->id;
	request->spec = msg->u.open;
	msg->u.open = NULL;
	count_body(svc, request);
	request->started = kernel_now(svc->kernel);
	g_queue_init(&request->buffered);
	/* In REQUEST_CLAIMING a refusal would wait for CLAIM_RESULT. */
	request->state = REQUEST_RESERVING;
	post_started(svc, request);
	refusal = request_admit(svc, request);
	if (refusal != REFUSAL_NONE) {
		request_refuse(svc, request, refusal,
			       refusal == REFUSAL_INTERNAL ? 1 : 0);
		return;
	}
	metrics_add(svc->kernel->metrics, COUNTER_REQUESTS, 1);
	metrics_set(svc->kernel->metrics, GAUGE_REQUESTS_RUNNING,
		    table_count(&svc->requests));
	retry_budget_deposit(&svc->retry_budget);
	count_running(svc, request->client_account, 1);
	request->forwarding = request->spec->stream;
	set_deadline(svc, request, request->deadline);
	if (request->service.idempotent)
		begin_reserve(svc, request);
	else
		begin_claim(svc, request);
}

void request_claim_result(request_svc_t *svc, msg_t *msg)
{
	request_t *request = table_get(&svc->requests, msg->ref);
	claim_result_t result = msg->u.claimed.result;

	if (request == NULL)
		return;
	if (request->state == REQUEST_ABANDONED) {
		if (result == CLAIM_OWNED)
			post_claim(svc, MSG_CLAIM_ABORT, msg->id);
		request_end(svc, request, "abandoned");
		return;
	}
	if (request->state != REQUEST_CLAIMING)
		return;
	request->state = REQUEST_RESERVING;
	switch (result) {
	case CLAIM_OWNED:
		request->claim = msg->id;
		begin_reserve(svc, request);
		break;
	case CLAIM_REPLAY:
		response_replay(svc, request, msg);
		break;
	case CLAIM_IN_DOUBT:
		request->maybe_ran++;
		request_refuse(svc, request, REFUSAL_OUTCOME_UNKNOWN, 0);
		break;
	case CLAIM_MISMATCH:
		request_refuse(svc, request, REFUSAL_KEY_MISMATCH, 0);
		break;
	case CLAIM_STORE_UNAVAILABLE:
		request_refuse(svc, request, REFUSAL_CLAIM_UNAVAILABLE, 1);
		break;
	}
}

void request_reserved(request_svc_t *svc, const msg_t *msg)
{
	request_t *request = table_get(&svc->requests, msg->ref);

	if (request == NULL || request->state != REQUEST_RESERVING) {
		/* A repeated reply must not release the reservation in use. */
		if (msg->u.reserved.result == RESERVE_OK &&
		    (request == NULL ||
		     !handle_equal(request->reservation, msg->id)))
			post_release(svc, msg->id);
		return;
	}
	switch (msg->u.reserved.result) {
	case RESERVE_OK:
		request->reservation = msg->id;
		request->state = REQUEST_ATTEMPTING;
		attempt_start(svc, request, false);
		break;
	case RESERVE_SPENT:
		request_refuse(svc, request, REFUSAL_BUDGET_SPENT, 0);
		break;
	case RESERVE_UNAVAILABLE:
		request_refuse(svc, request, REFUSAL_BUDGET_UNAVAILABLE, 1);
		break;
	}
}

static void deadline_expired(request_svc_t *svc, request_t *request)
{
	switch (request->state) {
	case REQUEST_ABANDONED:
	case REQUEST_STORING:
		break;
	case REQUEST_BILLING:
		if (!request->in_bill_grace) {
			request->in_bill_grace = true;
			set_deadline(svc, request,
				     kernel_now(svc->kernel) + BILL_GRACE_US);
			break;
		}
		/*
		 * The reservation must not be released while the ledger is
		 * still billing.
		 */
		request->reservation = HANDLE_NONE;
		request_refuse(svc, request, REFUSAL_DEADLINE, 0);
		break;
	case REQUEST_CLAIMING:
	case REQUEST_RESERVING:
	case REQUEST_ATTEMPTING:
	case REQUEST_BACKOFF:
		request_refuse(svc, request, REFUSAL_DEADLINE, 0);
		break;
	}
}

void request_set_step_timer(request_svc_t *svc, request_t *request,
			    int64_t delay)
{
	kernel_timer_cancel(svc->kernel, &request->step_timer);
	request->step_timer = kernel_timer(svc->kernel, svc->self, delay,
					   request->self, TIMER_STEP);
}

void request_timer(request_svc_t *svc, const msg_t *msg)
{
	request_t *request = table_get(&svc->requests, msg->ref);

	if (request == NULL)
		return;
	if (msg->u.timer.kind == TIMER_DEADLINE) {
		request->deadline_timer = HANDLE_NONE;
		deadline_expired(svc, request);
		return;
	}
	request->step_timer = HANDLE_NONE;
	if (request->state == REQUEST_BACKOFF) {
		request->state = REQUEST_ATTEMPTING;
		attempt_start(svc, request, false);
	} else if (request->state == REQUEST_STORING) {
		response_stored(svc, request);
	}
}

/* Bills the tokens that an idempotent request has generated so far. */
static void bill_partial_response(request_svc_t *svc, request_t *request)
{
	const attempt_t *attempt =
		table_get(&svc->attempts, request->response_attempt);
	int64_t tokens = 0;

	if (attempt != NULL && attempt->generated_tokens > 0)
		tokens = response_estimate_tokens(request,
						  attempt->generated_tokens);
	attempt_cancel_all(svc, request, HANDLE_NONE);
	if (tokens == 0) {
		request_refuse(svc, request, REFUSAL_CALLER_GONE, 0);
		return;
	}
	response_complete(svc, request, tokens);
}

void request_caller_gone(request_svc_t *svc, request_t *request)
{
	if (request->caller_gone)
		return;
	request->caller_gone = true;
	switch (request->state) {
	case REQUEST_ABANDONED:
	case REQUEST_BILLING:
	case REQUEST_STORING:
		break;
	case REQUEST_CLAIMING:
	case REQUEST_RESERVING:
	case REQUEST_BACKOFF:
		request_refuse(svc, request, REFUSAL_CALLER_GONE, 0);
		break;
	case REQUEST_ATTEMPTING:
		if (request->service.idempotent) {
			bill_partial_response(svc, request);
		} else if (!request->maybe_ran) {
			request_refuse(svc, request, REFUSAL_CALLER_GONE, 0);
		} else {
			/* The attempt runs on so that its outcome is stored. */
			request_pause(svc, request, false);
		}
		break;
	}
}

void request_pause(request_svc_t *svc, request_t *request, bool paused)
{
	if (request->paused == paused)
		return;
	request->paused = paused;
	attempt_pause(svc, request);
}
