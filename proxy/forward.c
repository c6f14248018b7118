/*
 * Passes requests on through peers while this instance reaches no target.  The
 * peer decides about the request as about one of its own: it holds the tokens,
 * chooses the target and repeats attempts.  Here the request is sent to one
 * peer only, unless it has certainly not run.
 */
#include "proxy/exchange.h"

#include "log/log.h"
#include "platform/wire.h"

#include <string.h>

#define HOPS_MAX 4 /* peers tried for one request */
/* Attempts of a request that reached no target before a peer is asked. */
#define UNREACHED_MAX 2
#define CHECK_INTERVAL_US (250 * USEC_PER_MSEC)

bool forward_wanted(proxy_t *proxy, exchange_t *exchange)
{
	/* What may have run, or has been answered in part, stays here. */
	if (exchange->runs > 0 || exchange->head_sent)
		return false;
	if (exchange->unreached >= UNREACHED_MAX)
		return true;
	if (proxy->reach.state == REACH_OPEN)
		return false;
	if (!exchange->trial)
		exchange->trial = reach_allows_trial(
			&proxy->reach, exchange_is_idempotent(exchange),
			kernel_now(proxy->kernel));
	return !exchange->trial || exchange->unreached > 0;
}

static void send_to(proxy_t *proxy, exchange_t *exchange,
		    const hop_peer_t *peer)
{
	int64_t left = exchange->deadline - kernel_now(proxy->kernel);
	msg_t msg = {.kind = MSG_OUT_SEND, .id = exchange->self};
	http_head_t *head = wire_write_passed_on(exchange->spec,
						 MAX(left, 0) / USEC_PER_MSEC);

	hop_sign(&proxy->hops, exchange->spec->request_id, head);
	exchange->state = EXCHANGE_SENT;
	exchange->passed_on = true;
	exchange->hops++;
	exchange->call = HANDLE_NONE;
	exchange->attempt_began = false;
	/* The peer keeps in mind where a stream began. */
	exchange->has_stream_version = true;
	g_strlcpy(exchange->stream_version, VERSION_UNKNOWN,
		  sizeof(exchange->stream_version));
	memset(&exchange->response_info, 0, sizeof(exchange->response_info));
	g_strlcpy(exchange->peer, peer->incarnation, sizeof(exchange->peer));
	g_strlcpy(msg.u.out_send.host, peer->host, sizeof(msg.u.out_send.host));
	msg.u.out_send.port = peer->port;
	msg.u.out_send.head = head;
	if (exchange->spec->body != NULL)
		msg.u.out_send.body = g_bytes_ref(exchange->spec->body);
	msg.u.out_send.own_connection = true;
	kernel_post(proxy->kernel, proxy->svc, proxy->outbound, &msg);
	metrics_add(proxy->kernel->metrics, COUNTER_PASSED_ON, 1);
	log_event(LOG_LEVEL_INFO, "proxy", "passed_on",
		  "request=%s peer=%s same_zone=%d hop=%u unreached=%u",
		  log_quote(exchange->spec->request_id), peer->incarnation,
		  peer->same_zone, exchange->hops, exchange->unreached);
}

void forward_start(proxy_t *proxy, exchange_t *exchange)
{
	const hop_peer_t *peer = NULL;

	/* The peer holds the tokens for the request. */
	exchange_return_tokens(proxy, exchange);
	if (!exchange->spec->from_peer && exchange->hops < HOPS_MAX)
		peer = hops_choose(&proxy->hops, kernel_random(proxy->kernel),
				   kernel_now(proxy->kernel));
	if (peer == NULL)
		exchange_refuse(proxy, exchange, REFUSAL_UNREACHABLE, 0);
	else
		send_to(proxy, exchange, peer);
}

static void try_next(proxy_t *proxy, exchange_t *exchange, const char *reason)
{
	log_event(LOG_LEVEL_INFO, "proxy", "peer_avoided",
		  "request=%s peer=%s reason=%s",
		  log_quote(exchange->spec->request_id), exchange->peer,
		  reason);
	hops_avoid(&proxy->hops, exchange->peer, kernel_now(proxy->kernel));
	exchange_release_target(proxy, exchange, PLACE_NOT_SENT);
	forward_start(proxy, exchange);
}

void forward_failed(proxy_t *proxy, exchange_t *exchange, bool sent)
{
	exchange->call = HANDLE_NONE;
	if (!sent) {
		try_next(proxy, exchange, "connect");
		return;
	}
	hops_avoid(&proxy->hops, exchange->peer, kernel_now(proxy->kernel));
	exchange->runs++;
	exchange_refuse(proxy, exchange, REFUSAL_TARGET_FAILED, 0);
}

bool forward_is_refused(proxy_t *proxy, exchange_t *exchange,
			const http_head_t *head)
{
	if (!hop_is_unreachable(head))
		return false;
	try_next(proxy, exchange, "unreachable");
	return true;
}

static void check_targets(proxy_t *proxy)
{
	const reach_target_t *target = reach_next_check(&proxy->reach);
	msg_t msg = {.kind = MSG_OUT_CHECK};

	if (target == NULL)
		return;
	g_strlcpy(msg.u.out_check.instance, target->instance,
		  sizeof(msg.u.out_check.instance));
	g_strlcpy(msg.u.out_check.host, target->host,
		  sizeof(msg.u.out_check.host));
	msg.u.out_check.port = target->port;
	msg.u.out_check.reach = true;
	kernel_post(proxy->kernel, proxy->svc, proxy->outbound, &msg);
}

void forward_check_due(proxy_t *proxy)
{
	proxy->reach_timer = HANDLE_NONE;
	if (proxy->reach.state == REACH_OPEN)
		return;
	check_targets(proxy);
	proxy->reach_timer =
		kernel_timer(proxy->kernel, proxy->svc, CHECK_INTERVAL_US,
			     HANDLE_NONE, EXCHANGE_TIMER_REACH);
}

reach_late_t forward_judge_late(const proxy_t *proxy,
				const exchange_t *exchange)
{
	return reach_judge_late(&proxy->reach, exchange->sent_at,
				kernel_now(proxy->kernel));
}

void forward_target_failed(proxy_t *proxy, const exchange_t *exchange)
{
	int64_t now = kernel_now(proxy->kernel);
	reach_target_t target = {.port = exchange->target_port};

	g_strlcpy(target.instance, exchange->instance, sizeof(target.instance));
	g_strlcpy(target.host, exchange->target_host, sizeof(target.host));
	if (!reach_failed(&proxy->reach, &target, now))
		return;
	log_event(LOG_LEVEL_WARN, "proxy", "unreachable",
		  "targets=%s,%s,%s peers=%u", proxy->reach.failed[0].instance,
		  proxy->reach.failed[1].instance,
		  proxy->reach.failed[2].instance, proxy->hops.peers->len);
	metrics_set(proxy->kernel->metrics, GAUGE_UNREACHABLE, 1);
	if (handle_is_none(proxy->reach_timer))
		forward_check_due(proxy);
}

void forward_target_answered(proxy_t *proxy)
{
	int64_t since = proxy->reach.cut_at;

	reach_heard(&proxy->reach, kernel_now(proxy->kernel));
	if (!reach_answered(&proxy->reach))
		return;
	metrics_set(proxy->kernel->metrics, GAUGE_UNREACHABLE, 0);
	log_event(LOG_LEVEL_WARN, "proxy", "reachable",
		  "lasted_ms=%" G_GINT64_FORMAT,
		  (kernel_now(proxy->kernel) - since) / USEC_PER_MSEC);
}

void forward_checked(proxy_t *proxy, check_result_t result)
{
	if (result == CHECK_ACCEPTED)
		reach_accepted(&proxy->reach, kernel_now(proxy->kernel));
}
