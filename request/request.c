#include "request/request.h"

#include "request/internal.h"

#include <string.h>

#define RETRY_RATIO 0.1
#define MAX_REQUESTS 20000
#define MAX_BODY_BYTES (4 * 1024 * 1024)
#define DEFAULT_DEADLINE_MS 60000

void request_opts_defaults(request_opts_t *opts)
{
	memset(opts, 0, sizeof(*opts));
	opts->retry_ratio = RETRY_RATIO;
	opts->max_requests = MAX_REQUESTS;
	opts->max_body = MAX_BODY_BYTES;
	opts->default_deadline_ms = DEFAULT_DEADLINE_MS;
}

static void start(request_svc_t *svc)
{
	msg_t msg = {.kind = MSG_CONF_SUBSCRIBE};

	svc->claims = kernel_find(svc->kernel, "claims");
	svc->ledger = kernel_find(svc->kernel, "ledger");
	svc->route = kernel_find(svc->kernel, "route");
	svc->dispatch = kernel_find(svc->kernel, "dispatch");
	svc->store = kernel_find(svc->kernel, "store");
	svc->peer = kernel_find(svc->kernel, "peer");
	kernel_post(svc->kernel, svc->self, kernel_find(svc->kernel, "conf"),
		    &msg);
}

static void stop(request_svc_t *svc, int64_t deadline)
{
	svc->stopping = true;
	svc->stop_deadline = deadline;
	request_limit_to_stop(svc);
	request_check_stopped(svc);
}

static void conf_changed(request_svc_t *svc, msg_t *msg)
{
	conf_snapshot_unref(svc->conf);
	svc->conf = msg->u.conf;
	msg->u.conf = NULL;
}

static void timer(request_svc_t *svc, const msg_t *msg)
{
	switch ((request_timer_t)msg->u.timer.kind) {
	case TIMER_WRITE_RETRY:
		blame_timer(svc, msg);
		break;
	case TIMER_DEADLINE:
	case TIMER_STEP:
		request_timer(svc, msg);
		break;
	}
}

/* Delivers a message to a request, unless the request has ended. */
static void receive_for_request(request_svc_t *svc, request_t *request,
				msg_kind_t kind)
{
	if (request == NULL)
		return;
	switch (kind) {
	case MSG_REQ_CANCEL:
		request_caller_gone(svc, request);
		break;
	case MSG_REQ_PAUSE:
	case MSG_REQ_RESUME:
		request_pause(svc, request, kind == MSG_REQ_PAUSE);
		break;
	case MSG_CLAIM_STORED:
		response_stored(svc, request);
		break;
	default:
		break;
	}
}

static void receive(void *self, msg_t *msg)
{
	request_svc_t *svc = self;

	switch (msg->kind) {
	case MSG_START:
		start(svc);
		break;
	case MSG_STOP:
		stop(svc, msg->u.stop.deadline);
		break;
	case MSG_TIMER:
		timer(svc, msg);
		break;
	case MSG_CONF_CHANGED:
		conf_changed(svc, msg);
		break;
	case MSG_REQ_OPEN:
		request_open(svc, msg);
		break;
	case MSG_REQ_CANCEL:
	case MSG_REQ_PAUSE:
	case MSG_REQ_RESUME:
	case MSG_CLAIM_STORED:
		receive_for_request(svc, table_get(&svc->requests, msg->ref),
				    msg->kind);
		break;
	case MSG_CLAIM_RESULT:
		request_claim_result(svc, msg);
		break;
	case MSG_RESERVED:
		request_reserved(svc, msg);
		break;
	case MSG_BILLED:
		response_billed(svc, msg);
		break;
	case MSG_ROUTE_ASSIGNED:
		attempt_assigned(svc, msg);
		break;
	case MSG_ROUTE_REFUSED:
		attempt_refused(svc, msg);
		break;
	case MSG_ROUTE_HEDGE:
		attempt_hedge(svc, msg);
		break;
	case MSG_SEND_STARTED:
		attempt_started(svc, msg);
		break;
	case MSG_TARGET_HEAD:
		attempt_head(svc, msg);
		break;
	case MSG_TARGET_DATA:
		attempt_data(svc, msg);
		break;
	case MSG_TARGET_END:
		attempt_end(svc, msg);
		break;
	case MSG_TARGET_FAILED:
		attempt_failed(svc, msg);
		break;
	case MSG_STORE_RESULT:
		blame_store_result(svc, msg);
		break;
	case MSG_PEER_RECEIVED:
		blame_received(svc, msg);
		break;
	default:
		break;
	}
}

void request_init(request_svc_t *svc, kernel_t *kernel,
		  const request_opts_t *opts)
{
	memset(svc, 0, sizeof(*svc));
	svc->kernel = kernel;
	svc->opts = *opts;
	table_init(&svc->requests, sizeof(request_t));
	table_init(&svc->attempts, sizeof(attempt_t));
	table_init(&svc->quarantine_writes, sizeof(quarantine_write_t));
	svc->running_by_account =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	retry_budget_init(&svc->retry_budget, opts->retry_ratio);
	quarantine_init(&svc->quarantine, QUARANTINE_BLAME_THRESHOLD,
			QUARANTINE_DURATION_MS, 0);
	svc->self = kernel_register(kernel, "request", receive, svc);
}

void request_finish(request_svc_t *svc)
{
	request_t *request;
	uint32_t cursor = 0;

	while ((request = table_next(&svc->requests, &cursor, NULL)) != NULL) {
		response_reset(request);
		if (request->outcome != NULL)
			g_byte_array_unref(request->outcome);
		kernel_count_bytes(svc->kernel, BUFFER_RUNNING,
				   &request->counted, 0);
		request_spec_free(request->spec);
	}
	kernel_unregister(svc->kernel, svc->self);
	conf_snapshot_unref(svc->conf);
	table_finish(&svc->requests);
	table_finish(&svc->attempts);
	table_finish(&svc->quarantine_writes);
	g_hash_table_unref(svc->running_by_account);
	quarantine_finish(&svc->quarantine);
	memset(svc, 0, sizeof(*svc));
}
