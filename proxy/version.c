/*
 * Which version of a target's software the events of a stream come from, and
 * whether the process that answers is the one whose version is known.
 */
#include "proxy/exchange.h"

#include <string.h>

/* Lets other instances know where the stream began. */
static void report_stream(proxy_t *proxy, const exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_STREAM_BEGAN};

	g_strlcpy(msg.u.stream.request_id, exchange->spec->request_id,
		  sizeof(msg.u.stream.request_id));
	g_strlcpy(msg.u.stream.origin.service, exchange->service,
		  sizeof(msg.u.stream.origin.service));
	g_strlcpy(msg.u.stream.origin.account, exchange->account,
		  sizeof(msg.u.stream.origin.account));
	g_strlcpy(msg.u.stream.origin.version, exchange->stream_version,
		  sizeof(msg.u.stream.origin.version));
	kernel_post(proxy->kernel, proxy->svc, proxy->streams, &msg);
}

/* Events of two versions of a target's software do not fit together. */
void version_keep(proxy_t *proxy, exchange_t *exchange)
{
	if (exchange->has_stream_version)
		return;
	exchange->has_stream_version = true;
	g_strlcpy(exchange->stream_version, exchange->target_version,
		  sizeof(exchange->stream_version));
	if (exchange->route.resumable)
		report_stream(proxy, exchange);
}

void version_confirmed(proxy_t *proxy, const msg_t *msg)
{
	exchange_t *exchange;
	uint32_t cursor = 0;

	while ((exchange = table_next(&proxy->exchanges, &cursor, NULL)) !=
	       NULL) {
		if (!handle_equal(exchange->target,
				  msg->u.target_confirmed.target) ||
		    version_is_known(exchange->target_version))
			continue;
		g_strlcpy(exchange->target_version,
			  msg->u.target_confirmed.version,
			  sizeof(exchange->target_version));
		if (!exchange->has_stream_version ||
		    version_is_known(exchange->stream_version))
			continue;
		exchange->has_stream_version = false;
		version_keep(proxy, exchange);
	}
}

/*
 * An entry may describe a process that has ended, and the one that follows it
 * under the same id may run other software.  Asked once it has answered, the
 * target tells which of them does.  Targets that state no start can't tell.
 */
void version_verify(proxy_t *proxy, exchange_t *exchange)
{
	msg_t msg = {.kind = MSG_PROCESS_VERIFY, .id = exchange->self};

	if (exchange->target_started_ms == 0 || exchange->passed_on)
		return;
	exchange->verifying = true;
	exchange->verify_at = kernel_now(proxy->kernel);
	msg.u.process.target = exchange->target;
	msg.u.process.started_ms = exchange->target_started_ms;
	msg.u.process.attempt = exchange->sends;
	kernel_post(proxy->kernel, proxy->svc, proxy->balance, &msg);
}
