#include "dispatch/statement.h"

#include "log/log.h"

#include <string.h>

/* A longer pause is more likely a mistake of the target. */
#define PAUSE_MAX_S 3600.0

void statement_report_load(call_t *call, SoupMessageHeaders *headers)
{
	const char *running =
		soup_message_headers_get_one(headers, "X-Load-Running");
	const char *queued =
		soup_message_headers_get_one(headers, "X-Load-Queued");
	msg_t msg = {.kind = MSG_TARGET_REPORT};
	guint64 running_count, queued_count = 0;

	if (running == NULL ||
	    !g_ascii_string_to_unsigned(running, 10, 0, G_MAXUINT32,
					&running_count, NULL))
		return;
	if (queued != NULL &&
	    !g_ascii_string_to_unsigned(queued, 10, 0, G_MAXUINT32,
					&queued_count, NULL))
		return;
	g_strlcpy(msg.u.target_report.host, call->host,
		  sizeof(msg.u.target_report.host));
	msg.u.target_report.port = call->port;
	msg.u.target_report.running = (uint32_t)running_count;
	msg.u.target_report.queued = (uint32_t)queued_count;
	kernel_post(call->dispatch->kernel, call->dispatch->svc,
		    call->dispatch->route, &msg);
}

static void post_leaving(call_t *call)
{
	msg_t msg = {.kind = MSG_TARGET_LEAVING};

	g_strlcpy(msg.u.target_leaving.host, call->host,
		  sizeof(msg.u.target_leaving.host));
	msg.u.target_leaving.port = call->port;
	msg.u.target_leaving.leaving = true;
	kernel_post(call->dispatch->kernel, call->dispatch->svc,
		    call->dispatch->route, &msg);
}

/* Forwards how long a target that refuses a request wants no others. */
static void post_pause(call_t *call, const char *seconds)
{
	msg_t msg = {.kind = MSG_TARGET_PAUSED};
	double pause_s;

	if (!http_parse_decimal(seconds, &pause_s)) {
		log_event(LOG_LEVEL_WARN, "dispatch", "field_ignored",
			  "target=%s:%u field=Retry-After value=%s", call->host,
			  call->port, log_quote(seconds));
		return;
	}
	g_strlcpy(msg.u.target_paused.host, call->host,
		  sizeof(msg.u.target_paused.host));
	msg.u.target_paused.port = call->port;
	msg.u.target_paused.pause_us =
		(int64_t)(MIN(pause_s, PAUSE_MAX_S) * (double)USEC_PER_SEC);
	kernel_post(call->dispatch->kernel, call->dispatch->svc,
		    call->dispatch->route, &msg);
}

static bool header_is(SoupMessageHeaders *headers, const char *name,
		      const char *value)
{
	const char *got = soup_message_headers_get_one(headers, name);

	return got != NULL && strcmp(got, value) == 0;
}

bool statement_refuses(call_t *call, SoupMessageHeaders *headers,
		       uint32_t status)
{
	bool leaving =
		status == 503 && header_is(headers, "X-Target-Leaving", "1");
	const char *retry_after =
		soup_message_headers_get_one(headers, "Retry-After");
	msg_t msg = {.kind = MSG_TARGET_FAILED};

	if (status != 429 && status != 503)
		return false;
	if (leaving)
		post_leaving(call);
	else if (status == 503 && retry_after != NULL)
		post_pause(call, retry_after);
	msg.u.target_failed.failure =
		leaving ? FAILURE_LEAVING : FAILURE_OVERLOADED;
	msg.u.target_failed.not_run =
		header_is(headers, "X-Request-State", "not_run");
	call_post(call, &msg);
	call->ended = true;
	call->discard = !msg.u.target_failed.not_run;
	return true;
}
