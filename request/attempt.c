/*
 * Attempts of a request: routing to a target, dispatch, hedging, and the
 * responses and failures of targets.
 */
#include "request/internal.h"

/* Returns an attempt of the request other than the given one, or NULL. */
static attempt_t *find_attempt(request_svc_t *svc, const request_t *request,
			       handle_t except)
{
	for (int i = 0; i < REQUEST_ATTEMPTS; i++) {
		attempt_t *attempt =
			table_get(&svc->attempts, request->attempts[i]);

		if (attempt != NULL && !handle_equal(attempt->self, except))
			return attempt;
	}
	return NULL;
}

static void post_route_done(request_svc_t *svc, handle_t assignment,
			    failure_t failure, int64_t tokens)
{
	msg_t msg = {.kind = MSG_ROUTE_DONE, .ref = assignment};

	msg.u.route_done.failure = failure;
	msg.u.route_done.tokens = tokens;
	kernel_post(svc->kernel, svc->self, svc->route, &msg);
}

static void post_dispatch(request_svc_t *svc, msg_kind_t kind, handle_t send)
{
	msg_t msg = {.kind = kind, .ref = send};

	kernel_post(svc->kernel, svc->self, svc->dispatch, &msg);
}

/* Ends the assignment with its only ROUTE_DONE and removes the attempt. */
static void remove_attempt(request_svc_t *svc, request_t *request,
			   attempt_t *attempt, failure_t failure,
			   int64_t tokens)
{
	handle_t self = attempt->self;

	if (!handle_is_none(attempt->assignment))
		post_route_done(svc, attempt->assignment, failure, tokens);
	for (int i = 0; i < REQUEST_ATTEMPTS; i++) {
		if (handle_equal(request->attempts[i], self))
			request->attempts[i] = HANDLE_NONE;
	}
	if (handle_equal(request->response_attempt, self))
		request->response_attempt = HANDLE_NONE;
	table_remove(&svc->attempts, self);
}

static void cancel_attempt(request_svc_t *svc, request_t *request,
			   attempt_t *attempt)
{
	msg_t msg = {.kind = MSG_ROUTE_CANCEL, .id = attempt->self};

	switch (attempt->state) {
	case ATTEMPT_ROUTING:
		if (handle_is_none(attempt->assignment))
			kernel_post(svc->kernel, svc->self, svc->route, &msg);
		break;
	case ATTEMPT_SENT:
	case ATTEMPT_HEAD:
		/* Before SEND_STARTED, attempt_started() cancels the send. */
		if (!handle_is_none(attempt->send))
			post_dispatch(svc, MSG_SEND_CANCEL, attempt->send);
		break;
	}
	remove_attempt(
		svc, request, attempt, FAILURE_CANCELLED,
		response_estimate_tokens(request, attempt->generated_tokens));
}

void attempt_cancel_all(request_svc_t *svc, request_t *request, handle_t except)
{
	attempt_t *attempt;

	while ((attempt = find_attempt(svc, request, except)) != NULL)
		cancel_attempt(svc, request, attempt);
}

void attempt_pause(request_svc_t *svc, const request_t *request)
{
	const attempt_t *attempt;

	for (int i = 0; i < REQUEST_ATTEMPTS; i++) {
		attempt = table_get(&svc->attempts, request->attempts[i]);
		if (attempt != NULL && !handle_is_none(attempt->send))
			post_dispatch(svc,
				      request->paused ? MSG_SEND_PAUSE
						      : MSG_SEND_RESUME,
				      attempt->send);
	}
}

void attempt_start(request_svc_t *svc, request_t *request, bool hedge)
{
	msg_t msg = {.kind = MSG_ROUTE_REQUEST};
	const attempt_t *first = find_attempt(svc, request, HANDLE_NONE);
	attempt_t *attempt;
	uint32_t n = request->avoid_count;

	msg.id = table_add(&svc->attempts, (void **)&attempt);
	attempt->self = msg.id;
	attempt->request = request->self;
	attempt->hedge = hedge;
	request->attempts[first != NULL && handle_equal(request->attempts[0],
							first->self)] = msg.id;
	g_strlcpy(msg.u.route.service, request->service.name,
		  sizeof(msg.u.route.service));
	g_strlcpy(msg.u.route.client_account, request->client_account,
		  sizeof(msg.u.route.client_account));
	msg.u.route.tokens = request->reserved_tokens;
	msg.u.route.deadline = request->deadline;
	msg.u.route.prefix_hash = request->spec->prefix_hash;
	msg.u.route.hedge = hedge;
	for (uint32_t i = 0; i < n; i++)
		msg.u.route.avoid[i] = request->avoid[i];
	if (first != NULL && n < ROUTE_AVOID_MAX)
		msg.u.route.avoid[n++] = first->target;
	msg.u.route.avoid_count = n;
	kernel_post(svc->kernel, svc->self, svc->route, &msg);
}

static void send_attempt(request_svc_t *svc, request_t *request,
			 attempt_t *attempt, const msg_t *assigned)
{
	msg_t msg = {.kind = MSG_SEND, .id = attempt->self};
	const request_spec_t *spec = request->spec;

	attempt->state = ATTEMPT_SENT;
	request->maybe_ran++;
	request->attempt_count++;
	metrics_add(svc->kernel->metrics, COUNTER_ATTEMPTS, 1);
	if (attempt->hedge)
		metrics_add(svc->kernel->metrics, COUNTER_HEDGES, 1);
	g_strlcpy(msg.u.send.host, assigned->u.assigned.host,
		  sizeof(msg.u.send.host));
	msg.u.send.port = assigned->u.assigned.port;
	g_strlcpy(msg.u.send.method, spec->method, sizeof(msg.u.send.method));
	g_strlcpy(msg.u.send.path, spec->path, sizeof(msg.u.send.path));
	g_strlcpy(msg.u.send.content_type, spec->content_type,
		  sizeof(msg.u.send.content_type));
	g_strlcpy(msg.u.send.request_id, spec->request_id,
		  sizeof(msg.u.send.request_id));
	if (spec->body != NULL)
		msg.u.send.body = g_bytes_ref(spec->body);
	msg.u.send.model = request->service.kind == SERVICE_MODEL;
	msg.u.send.max_tokens = request->max_tokens;
	msg.u.send.priority = assigned->u.assigned.priority;
	msg.u.send.first_byte_ms = request->service.first_byte_ms;
	msg.u.send.idle_ms = request->service.idle_ms;
	msg.u.send.deadline = request->deadline;
	kernel_post(svc->kernel, svc->self, svc->dispatch, &msg);
}

void attempt_assigned(request_svc_t *svc, const msg_t *msg)
{
	attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	request_t *request;

	if (attempt == NULL || attempt->state != ATTEMPT_ROUTING) {
		if (attempt == NULL ||
		    !handle_equal(attempt->assignment, msg->id))
			post_route_done(svc, msg->id, FAILURE_CANCELLED, 0);
		return;
	}
	request = table_get(&svc->requests, attempt->request);
	attempt->assignment = msg->id;
	attempt->target = msg->u.assigned.target;
	g_strlcpy(attempt->target_name, msg->u.assigned.name,
		  sizeof(attempt->target_name));
	g_strlcpy(request->target, msg->u.assigned.name,
		  sizeof(request->target));
	/* A request that expired while the process was paused is not sent. */
	if (kernel_now(svc->kernel) >= request->deadline) {
		request_refuse(svc, request, REFUSAL_DEADLINE, 0);
		return;
	}
	send_attempt(svc, request, attempt, msg);
}

void attempt_refused(request_svc_t *svc, const msg_t *msg)
{
	attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	refusal_t reason = msg->u.route_refused.reason;
	request_t *request;

	if (attempt == NULL || attempt->state != ATTEMPT_ROUTING)
		return;
	request = table_get(&svc->requests, attempt->request);
	remove_attempt(svc, request, attempt, FAILURE_CANCELLED, 0);
	if (find_attempt(svc, request, HANDLE_NONE) != NULL)
		return;
	request_refuse(svc, request,
		       reason == REFUSAL_NONE ? REFUSAL_NO_TARGET : reason,
		       msg->u.route_refused.retry_after_s);
}

void attempt_hedge(request_svc_t *svc, const msg_t *msg)
{
	const attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	request_t *request;

	if (attempt == NULL || attempt->state != ATTEMPT_SENT)
		return;
	request = table_get(&svc->requests, attempt->request);
	if (!request->service.idempotent ||
	    find_attempt(svc, request, attempt->self) != NULL)
		return;
	attempt_start(svc, request, true);
}

void attempt_started(request_svc_t *svc, const msg_t *msg)
{
	attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	const request_t *request;

	if (attempt == NULL) {
		post_dispatch(svc, MSG_SEND_CANCEL, msg->id);
		return;
	}
	if (!handle_is_none(attempt->send))
		return;
	attempt->send = msg->id;
	request = table_get(&svc->requests, attempt->request);
	if (request->paused)
		post_dispatch(svc, MSG_SEND_PAUSE, attempt->send);
}

void attempt_head(request_svc_t *svc, const msg_t *msg)
{
	attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	msg_t first_byte = {.kind = MSG_ROUTE_FIRST_BYTE};
	request_t *request;

	if (attempt == NULL || attempt->state != ATTEMPT_SENT)
		return;
	request = table_get(&svc->requests, attempt->request);
	attempt->state = ATTEMPT_HEAD;
	attempt->status = msg->u.target_head.status;
	first_byte.ref = attempt->assignment;
	kernel_post(svc->kernel, svc->self, svc->route, &first_byte);
	/* A fast error must not cancel the other attempt, which may succeed. */
	if (attempt->status >= 500 &&
	    find_attempt(svc, request, attempt->self) != NULL) {
		cancel_attempt(svc, request, attempt);
		return;
	}
	attempt_cancel_all(svc, request, attempt->self);
	request->response_attempt = attempt->self;
	g_strlcpy(request->content_type, msg->u.target_head.content_type,
		  sizeof(request->content_type));
	request->status = attempt->status;
}

void attempt_data(request_svc_t *svc, msg_t *msg)
{
	attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	request_t *request;

	if (attempt == NULL || attempt->state != ATTEMPT_HEAD)
		return;
	request = table_get(&svc->requests, attempt->request);
	attempt->generated_tokens +=
		CLAMP(msg->u.target_data.tokens, 0, G_MAXINT32);
	if (request->service.kind == SERVICE_MODEL &&
	    attempt->generated_tokens > (int64_t)request->max_tokens) {
		request->over_limit = true;
		attempt_cancel_all(svc, request, HANDLE_NONE);
		response_complete(svc, request, request->reserved_tokens);
		return;
	}
	if (msg->u.target_data.bytes == NULL)
		return;
	response_add(svc, request, msg->u.target_data.bytes,
		     msg->u.target_data.marker);
	msg->u.target_data.bytes = NULL;
}

static int64_t used_tokens(const request_t *request, const attempt_t *attempt,
			   const msg_t *msg)
{
	int64_t prompt = msg->u.target_end.prompt_tokens;
	int64_t completion = msg->u.target_end.completion_tokens;

	/* An error response generates no tokens, so it costs nothing. */
	if (attempt->status >= 400)
		return 0;
	if (request->service.kind == SERVICE_PLAIN)
		return request->reserved_tokens;
	if (!msg->u.target_end.usage_known)
		return response_estimate_tokens(request,
						attempt->generated_tokens);
	prompt = CLAMP(prompt, 0, request->reserved_tokens);
	completion = CLAMP(completion, 0, request->reserved_tokens - prompt);
	return prompt + completion;
}

static void handle_failure(request_svc_t *svc, attempt_t *attempt,
			   failure_t failure, bool reset, bool stated_not_run);

void attempt_end(request_svc_t *svc, const msg_t *msg)
{
	attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	request_t *request;
	int64_t tokens;

	if (attempt == NULL || attempt->state == ATTEMPT_ROUTING)
		return;
	if (attempt->state == ATTEMPT_SENT) {
		handle_failure(svc, attempt, FAILURE_SENT, false, false);
		return;
	}
	request = table_get(&svc->requests, attempt->request);
	request->ran = true;
	tokens = used_tokens(request, attempt, msg);
	if (attempt->status < 500)
		quarantine_clear_blames(&svc->quarantine,
					request->spec->fingerprint);
	remove_attempt(svc, request, attempt,
		       attempt->status >= 500 ? FAILURE_HEAD : FAILURE_NONE,
		       tokens);
	response_complete(svc, request, tokens);
}

static void schedule_retry(request_svc_t *svc, request_t *request,
			   int64_t backoff, failure_t failure)
{
	metrics_retry(svc->kernel->metrics, failure);
	request->state = REQUEST_BACKOFF;
	request_set_step_timer(svc, request, backoff);
}

/* Retries or refuses a request whose last attempt has failed. */
static void retry_or_refuse(request_svc_t *svc, request_t *request,
			    retry_case_t *retry)
{
	refusal_t refusal;
	int64_t now = kernel_now(svc->kernel);

	if (!request->head_sent)
		response_reset(request);
	retry->idempotent = request->service.idempotent;
	/* Nobody waits for the response, and a retry would cost tokens. */
	if (request->caller_gone) {
		request_refuse(svc, request, REFUSAL_CALLER_GONE, 0);
		return;
	}
	if (quarantine_contains(&svc->quarantine, request->spec->fingerprint,
				kernel_wall(svc->kernel) / USEC_PER_MSEC)) {
		request_refuse(svc, request, REFUSAL_QUARANTINED, 0);
		return;
	}
	retry->response_started = request->head_sent;
	retry->attempts = request->attempt_count;
	retry->remaining_us = request->deadline - now;
	retry->backoff_us = retry_backoff_us(request->attempt_count,
					     kernel_random(svc->kernel));
	refusal = retry_decide(retry, &svc->retry_budget);
	if (refusal == REFUSAL_NONE)
		schedule_retry(svc, request, retry->backoff_us, retry->failure);
	else
		request_refuse(svc, request, refusal, 0);
}

static void handle_failure(request_svc_t *svc, attempt_t *attempt,
			   failure_t failure, bool reset, bool stated_not_run)
{
	request_t *request = table_get(&svc->requests, attempt->request);
	retry_case_t retry = {.failure = failure};
	attempt_t *other;

	/* After a response head, a statement of "not run" cannot be true. */
	retry.stated_not_run = stated_not_run && attempt->state == ATTEMPT_SENT;
	if (attempt->state == ATTEMPT_SENT &&
	    retry_proves_not_run(failure, retry.stated_not_run))
		request->maybe_ran--;
	if (request->avoid_count < ROUTE_AVOID_MAX)
		request->avoid[request->avoid_count++] = attempt->target;
	if (reset && failure != FAILURE_CONNECT)
		blame_report(svc, request, attempt->target_name);
	remove_attempt(
		svc, request, attempt, failure,
		response_estimate_tokens(request, attempt->generated_tokens));
	other = find_attempt(svc, request, HANDLE_NONE);
	if (other != NULL && other->state != ATTEMPT_ROUTING)
		return;
	/* A retry replaces a hedge that still waits for a target. */
	if (other != NULL)
		cancel_attempt(svc, request, other);
	retry_or_refuse(svc, request, &retry);
}

void attempt_failed(request_svc_t *svc, const msg_t *msg)
{
	attempt_t *attempt = table_get(&svc->attempts, msg->ref);
	failure_t failure = msg->u.target_failed.failure;

	if (attempt == NULL || attempt->state == ATTEMPT_ROUTING)
		return;
	/* A failure to connect cannot follow a response head. */
	if (failure == FAILURE_NONE ||
	    (failure == FAILURE_CONNECT && attempt->state == ATTEMPT_HEAD))
		failure = FAILURE_STREAM;
	handle_failure(svc, attempt, failure, msg->u.target_failed.reset,
		       msg->u.target_failed.not_run);
}
