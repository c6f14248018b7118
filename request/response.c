/*
 * Responses of the request service: buffering and forwarding to the caller,
 * billing, storage of the outcome, and replay.
 */
#include "request/internal.h"

/*
 * Bytes of a response that are buffered when the caller asks for no stream.  A
 * retry remains possible until the caller has received a byte.
 */
#define BUFFER_BYTES_MAX 65536
/* Longest wait for the outcome to be stored before the last byte is sent. */
#define STORE_WAIT_US (200 * USEC_PER_MSEC)
/*
 * Used to estimate the tokens of a prompt when the target reports no usage.
 * Tokenisers usually make one token of four bytes.
 */
#define PROMPT_BYTES_PER_TOKEN 4

int64_t response_estimate_tokens(const request_t *request, int64_t generated)
{
	int64_t bytes = 0;

	if (request->service.kind == SERVICE_PLAIN)
		return request->reserved_tokens;
	if (request->spec->body != NULL)
		bytes = (int64_t)g_bytes_get_size(request->spec->body);
	return MIN(bytes / PROMPT_BYTES_PER_TOKEN + generated,
		   request->reserved_tokens);
}

static void post_head(request_svc_t *svc, request_t *request, bool replayed)
{
	msg_t msg = {.kind = MSG_REPLY_HEAD,
		     .ref = request->front_id,
		     .id = request->self};

	request->head_sent = true;
	msg.u.head.status = request->status;
	msg.u.head.replayed = replayed;
	g_strlcpy(msg.u.head.content_type, request->content_type,
		  sizeof(msg.u.head.content_type));
	g_strlcpy(msg.u.head.idem_key, request->idem_key,
		  sizeof(msg.u.head.idem_key));
	kernel_post(svc->kernel, svc->self, request->front, &msg);
}

static void post_data(request_svc_t *svc, const request_t *request,
		      GBytes *bytes)
{
	msg_t msg = {.kind = MSG_REPLY_DATA,
		     .ref = request->front_id,
		     .id = request->self};

	msg.u.data.bytes = bytes;
	kernel_post(svc->kernel, svc->self, request->front, &msg);
}

static void post_end(request_svc_t *svc, const request_t *request)
{
	msg_t msg = {.kind = MSG_REPLY_END,
		     .ref = request->front_id,
		     .id = request->self};

	msg.u.end.billed_tokens = request->billed_tokens;
	kernel_post(svc->kernel, svc->self, request->front, &msg);
	metrics_add(svc->kernel->metrics, COUNTER_ANSWERS, 1);
}

/* Forwards the buffered chunks to the caller, except the last keep chunks. */
static void forward_buffered(request_svc_t *svc, request_t *request, guint keep)
{
	GBytes *bytes;

	while (request->buffered.length > keep) {
		bytes = g_queue_pop_head(&request->buffered);
		request->buffered_bytes -= g_bytes_get_size(bytes);
		if (request->caller_gone) {
			g_bytes_unref(bytes);
			continue;
		}
		if (!request->head_sent)
			post_head(svc, request, false);
		post_data(svc, request, bytes);
	}
}

static void append_outcome(request_t *request, GBytes *bytes)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(bytes, &size);

	if (request->outcome == NULL)
		return;
	if (request->outcome->len + size > OUTCOME_BODY_MAX) {
		g_byte_array_unref(request->outcome);
		request->outcome = NULL;
		return;
	}
	g_byte_array_append(request->outcome, data, (guint)size);
}

static bool is_event_stream(const request_t *request)
{
	return request->service.kind == SERVICE_MODEL &&
	       g_str_has_prefix(request->content_type, "text/event-stream");
}

void response_add(request_svc_t *svc, request_t *request, GBytes *bytes,
		  bool marker)
{
	if (!handle_is_none(request->claim))
		append_outcome(request, bytes);
	g_queue_push_tail(&request->buffered, bytes);
	request->buffered_bytes += g_bytes_get_size(bytes);
	if (request->buffered_bytes > BUFFER_BYTES_MAX)
		request->forwarding = true;
	request->end_marker_seen |= marker;
	if (!request->forwarding)
		return;
	/*
	 * The part that completes a response waits for the bill: the end marker
	 * of an event stream, the last chunk of any other response.  A chunk
	 * of an event stream is not withheld, because that would delay each
	 * token by one interval.
	 */
	if (!is_event_stream(request))
		forward_buffered(svc, request, 1);
	else if (!request->end_marker_seen)
		forward_buffered(svc, request, 0);
}

void response_reset(request_t *request)
{
	GBytes *bytes;

	while ((bytes = g_queue_pop_head(&request->buffered)) != NULL)
		g_bytes_unref(bytes);
	request->buffered_bytes = 0;
	request->end_marker_seen = false;
	request->status = 0;
	if (request->outcome != NULL)
		g_byte_array_set_size(request->outcome, 0);
}

static void complete_request(request_svc_t *svc, request_t *request)
{
	if (request->caller_gone) {
		request_end(svc, request, "caller_gone");
		return;
	}
	forward_buffered(svc, request, 0);
	if (!request->head_sent)
		post_head(svc, request, false);
	post_end(svc, request);
	request_end(svc, request, "answered");
}

/* Stores the outcome after the bill: only a billed response is replayed. */
static void store_outcome(request_svc_t *svc, request_t *request)
{
	msg_t msg = {.kind = MSG_CLAIM_DONE, .ref = request->claim};
	outcome_t *outcome = &msg.u.claim_done.outcome;

	request->state = REQUEST_STORING;
	msg.id = request->self;
	outcome->status = request->status;
	outcome->tokens = request->billed_tokens;
	g_strlcpy(outcome->content_type, request->content_type,
		  sizeof(outcome->content_type));
	if (request->outcome != NULL)
		outcome->body = g_byte_array_free_to_bytes(request->outcome);
	request->outcome = NULL;
	kernel_post(svc->kernel, svc->self, svc->claims, &msg);
	request_set_step_timer(svc, request, STORE_WAIT_US);
}

static void bill_recorded(request_svc_t *svc, request_t *request)
{
	kernel_timer_cancel(svc->kernel, &request->deadline_timer);
	request->reservation = HANDLE_NONE;
	if (request->over_limit)
		request_refuse(svc, request, REFUSAL_TARGET_FAILED, 0);
	else if (!handle_is_none(request->claim))
		store_outcome(svc, request);
	else
		complete_request(svc, request);
}

void response_complete(request_svc_t *svc, request_t *request, int64_t tokens)
{
	msg_t msg = {.kind = MSG_BILL,
		     .ref = request->reservation,
		     .id = request->self};

	request->state = REQUEST_BILLING;
	if (tokens == 0) {
		/*
		 * The reservation is released instead of billed, because a bill
		 * of 0 tokens would make a later run under the same key free of
		 * charge.
		 */
		msg.kind = MSG_RELEASE;
		kernel_post(svc->kernel, svc->self, svc->ledger, &msg);
		bill_recorded(svc, request);
		return;
	}
	request->billed_tokens = MIN(tokens, request->reserved_tokens);
	g_strlcpy(msg.u.bill.idem_key, request->idem_key,
		  sizeof(msg.u.bill.idem_key));
	g_strlcpy(msg.u.bill.fingerprint, request->spec->fingerprint,
		  sizeof(msg.u.bill.fingerprint));
	msg.u.bill.tokens = request->billed_tokens;
	kernel_post(svc->kernel, svc->self, svc->ledger, &msg);
}

void response_billed(request_svc_t *svc, const msg_t *msg)
{
	request_t *request = table_get(&svc->requests, msg->ref);

	if (request == NULL || request->state != REQUEST_BILLING)
		return;
	switch (msg->u.billed.result) {
	case BILL_RECORDED:
		break;
	case BILL_DUPLICATE:
		request->billed_tokens = 0;
		break;
	case BILL_REFUSED:
		request->billed_tokens = 0;
		request->reservation = HANDLE_NONE;
		request_refuse(svc, request, REFUSAL_BILL_REFUSED, 0);
		return;
	}
	bill_recorded(svc, request);
}

void response_stored(request_svc_t *svc, request_t *request)
{
	if (request->state == REQUEST_STORING)
		complete_request(svc, request);
}

void response_replay(request_svc_t *svc, request_t *request, msg_t *msg)
{
	outcome_t *outcome = &msg->u.claimed.outcome;

	request->status = outcome->status;
	request->ran = true;
	if (outcome->body == NULL) {
		/* The request ran, but the response was too large to store. */
		request_refuse(svc, request, REFUSAL_OUTCOME_UNKNOWN, 0);
		return;
	}
	metrics_add(svc->kernel->metrics, COUNTER_REPLAYS, 1);
	g_strlcpy(request->content_type, outcome->content_type,
		  sizeof(request->content_type));
	post_head(svc, request, true);
	if (g_bytes_get_size(outcome->body) > 0) {
		post_data(svc, request, outcome->body);
		outcome->body = NULL;
	}
	post_end(svc, request);
	request_end(svc, request, "replayed");
}
