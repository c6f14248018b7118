#include "proxy/proxy.h"

#include "proxy/exchange.h"
#include "proxy/held.h"

#include <string.h>

static void start(proxy_t *proxy)
{
	msg_t msg = {.kind = MSG_FLEET_SUBSCRIBE};

	proxy->ingress = kernel_find(proxy->kernel, "ingress");
	proxy->balance = kernel_find(proxy->kernel, "balance");
	proxy->outbound = kernel_find(proxy->kernel, "outbound");
	proxy->prepaid = kernel_find(proxy->kernel, "prepaid");
	proxy->streams = kernel_find(proxy->kernel, "streams");
	proxy->peer = kernel_find(proxy->kernel, "peer");
	proxy->store = kernel_find(proxy->kernel, "store");
	kernel_post(proxy->kernel, proxy->svc,
		    kernel_find(proxy->kernel, "fleet"), &msg);
	held_load(proxy);
}

static void cancel_call(proxy_t *proxy, handle_t call)
{
	msg_t msg = {.kind = MSG_OUT_CANCEL, .ref = call};

	kernel_post(proxy->kernel, proxy->svc, proxy->outbound, &msg);
}

/*
 * Handles the messages about the current attempt.  Calls of earlier attempts
 * are cancelled when they start, and their other messages are ignored.
 */
static void receive_outbound(proxy_t *proxy, msg_t *msg)
{
	exchange_t *exchange = table_get(&proxy->exchanges, msg->ref);

	if (msg->kind == MSG_OUT_STARTED) {
		if (exchange == NULL || exchange->state != EXCHANGE_SENT ||
		    !handle_is_none(exchange->call)) {
			cancel_call(proxy, msg->id);
			return;
		}
		exchange->call = msg->id;
		exchange->reused = msg->u.out_started.reused;
		return;
	}
	if (exchange == NULL || !handle_equal(exchange->call, msg->id))
		return;
	switch (msg->kind) {
	case MSG_OUT_HEAD:
		response_head(proxy, exchange, msg);
		break;
	case MSG_OUT_DATA:
		response_data(proxy, exchange, msg);
		break;
	case MSG_OUT_END:
		response_end(proxy, exchange);
		break;
	case MSG_OUT_FAILED:
		response_failed(proxy, exchange, msg);
		break;
	default:
		break;
	}
}

static void on_timer(proxy_t *proxy, const msg_t *msg)
{
	switch ((exchange_timer_t)msg->u.timer.kind) {
	case EXCHANGE_TIMER_DEADLINE:
		exchange_timed_out(proxy, msg->ref);
		break;
	case EXCHANGE_TIMER_REJECTION:
		response_rejection_timed_out(proxy, msg->ref);
		break;
	case EXCHANGE_TIMER_CHECK:
		crash_check_targets(proxy);
		break;
	case EXCHANGE_TIMER_TELL:
		parts_tell_survivals(proxy);
		break;
	case EXCHANGE_TIMER_DECIDE:
		parts_decide(proxy);
		break;
	case EXCHANGE_TIMER_REACH:
		forward_check_due(proxy);
		break;
	case EXCHANGE_TIMER_HELD:
		held_timed_out(proxy);
		break;
	}
}

static void receive_peer(proxy_t *proxy, const msg_t *msg)
{
	switch (msg->u.peer.body->kind) {
	case PEER_CRASH_REPORT:
		crash_report_received(proxy, msg);
		break;
	case PEER_QUARANTINE:
		crash_quarantine_received(proxy, msg);
		break;
	case PEER_PART_REPORT:
		parts_report_received(proxy, msg);
		break;
	case PEER_PART_SET:
		parts_set_received(proxy, msg);
		break;
	default:
		break;
	}
}

static void stop(proxy_t *proxy, int64_t deadline)
{
	uint32_t cursor = 0;
	exchange_t *exchange;

	proxy->stop_deadline = deadline;
	while ((exchange = table_next(&proxy->exchanges, &cursor, NULL)) !=
	       NULL)
		exchange_limit_to_stop(proxy, exchange);
}

static void report_refused(proxy_t *proxy, const char *instance)
{
	msg_t msg = {.kind = MSG_TARGET_REFUSED};

	g_strlcpy(msg.u.target_refused.id, instance,
		  sizeof(msg.u.target_refused.id));
	kernel_post(proxy->kernel, proxy->svc, proxy->balance, &msg);
}

static void target_checked(proxy_t *proxy, const msg_t *msg)
{
	const char *instance = msg->u.out_check.instance;

	if (msg->u.out_check.reach) {
		forward_checked(proxy, msg->u.out_check.result);
		return;
	}
	switch (msg->u.out_check.result) {
	case CHECK_ACCEPTED:
		crash_target_reachable(proxy, instance);
		break;
	case CHECK_REFUSED:
		crash_target_unreachable(proxy, instance);
		report_refused(proxy, instance);
		break;
	case CHECK_UNKNOWN:
		break;
	}
}

static void receive(void *self, msg_t *msg)
{
	proxy_t *proxy = self;

	switch (msg->kind) {
	case MSG_START:
		start(proxy);
		break;
	case MSG_STOP:
		stop(proxy, msg->u.stop.deadline);
		break;
	case MSG_BUFFERS_FULL:
		response_relieve(proxy);
		break;
	case MSG_TIMER:
		on_timer(proxy, msg);
		break;
	case MSG_FLEET_CONF:
		fleet_conf_unref(proxy->conf);
		proxy->conf = g_steal_pointer(&msg->u.fleet_conf);
		break;
	case MSG_FLEET_TARGET:
		if (!msg->u.fleet_target.gone)
			crash_target_listed(proxy, &msg->u.fleet_target.target);
		break;
	case MSG_OVERLOAD:
		proxy->reach.congested = msg->u.overload.congested;
		break;
	case MSG_FLEET_BEHIND:
		proxy->conf_behind = msg->u.fleet_behind.behind;
		break;
	case MSG_FLEET_SIZE:
		proxy->instances = msg->u.fleet_size.instances;
		break;
	case MSG_EXCHANGE_OPEN:
		exchange_start(proxy, msg);
		break;
	case MSG_EXPLAIN:
		explain_query(proxy, msg);
		break;
	case MSG_EXCHANGE_CANCEL:
		exchange_cancelled(proxy, msg->ref);
		break;
	case MSG_STREAM_RESOLVED:
		exchange_resolved(proxy, msg);
		break;
	case MSG_RESERVED:
		exchange_reserved(proxy, msg);
		break;
	case MSG_PLACED:
		exchange_placed(proxy, msg);
		break;
	case MSG_PLACE_REFUSED:
		exchange_place_refused(proxy, msg);
		break;
	case MSG_PEER_RECEIVED:
		receive_peer(proxy, msg);
		break;
	case MSG_PEER_DOWN:
		hops_update(&proxy->hops, msg);
		break;
	case MSG_PEER_UP:
		hops_update(&proxy->hops, msg);
		crash_tell_peer(proxy, msg->u.peer_addr.incarnation);
		parts_tell_peer(proxy, msg->u.peer_addr.incarnation);
		break;
	case MSG_PROCESS_VERIFIED:
		response_verified(proxy, msg);
		break;
	case MSG_TARGET_CONFIRMED:
		version_confirmed(proxy, msg);
		break;
	case MSG_STORE_RESULT:
		held_store_result(proxy, msg);
		break;
	case MSG_OUT_CHECKED:
		target_checked(proxy, msg);
		break;
	case MSG_OUT_STARTED:
	case MSG_OUT_HEAD:
	case MSG_OUT_DATA:
	case MSG_OUT_END:
	case MSG_OUT_FAILED:
		receive_outbound(proxy, msg);
		break;
	default:
		break;
	}
}

void proxy_init(proxy_t *proxy, kernel_t *kernel, const proxy_opts_t *opts)
{
	memset(proxy, 0, sizeof(*proxy));
	proxy->kernel = kernel;
	proxy->opts = *opts;
	proxy->instances = 1;
	table_init(&proxy->exchanges, sizeof(exchange_t));
	retry_window_init(&proxy->retries, &opts->retry_limits);
	hops_init(&proxy->hops, opts->incarnation, opts->zone, opts->peer_key);
	crash_init(proxy);
	parts_init(proxy);
	held_init(&proxy->held);
	proxy->svc = kernel_register(kernel, "proxy", receive, proxy);
}

void proxy_finish(proxy_t *proxy)
{
	uint32_t cursor = 0;
	exchange_t *exchange;

	while ((exchange = table_next(&proxy->exchanges, &cursor, NULL)) !=
	       NULL)
		exchange_abandon(proxy, exchange);
	fleet_conf_unref(proxy->conf);
	retry_window_finish(&proxy->retries);
	hops_finish(&proxy->hops);
	kernel_timer_cancel(proxy->kernel, &proxy->reach_timer);
	kernel_timer_cancel(proxy->kernel, &proxy->check_timer);
	kernel_timer_cancel(proxy->kernel, &proxy->tell_timer);
	kernel_timer_cancel(proxy->kernel, &proxy->held.timer);
	held_finish(&proxy->held);
	crash_finish(proxy);
	part_quarantine_finish(&proxy->parts);
	table_finish(&proxy->exchanges);
	kernel_unregister(proxy->kernel, proxy->svc);
}
