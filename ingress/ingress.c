#include "ingress/ingress.h"

#include "front/refusal.h"
#include "ingress/conn.h"
#include "log/log.h"
#include "platform/wire.h"
#include "proxy/hop.h"

#include <errno.h>
#include <string.h>
#include <sys/resource.h>

#define ACCEPT_MAX 64 /* connections accepted per loop iteration */
/* Resolution of the time limits. */
#define SWEEP_INTERVAL_US (250 * USEC_PER_MSEC)
/*
 * Time before the end of the stop from which connections are refused.  A
 * request on a new connection would not end before the stop does.
 */
#define STOP_REFUSE_US (500 * USEC_PER_MSEC)
/*
 * New connections arrive until the load balancer has seen two failed readiness
 * checks, which are one second apart.
 */
#define STOP_MIN_US (2500 * USEC_PER_MSEC)
/*
 * Requests that arrive later than this after MSG_STOP are refused if their
 * responses might not end within the grace period.
 */
#define STOP_ACCEPT_US (2700 * USEC_PER_MSEC)
/*
 * Callers' connections, and their part of the process's descriptors; leaves
 * some for the files, targets and peers of this process.
 */
#define CONNS_MAX 3000
#define CONNS_QUARTERS 3
/* Part of that number which the listener for metrics has beside it. */
#define METRICS_DIVISOR 12
/*
 * Connections without a request in progress, at the listener for readiness
 * checks or for metrics.  Beyond it the oldest one gives way: a crowd must not
 * keep the load balancer's checks out.
 */
#define SERVICE_CONNS_MAX 128
/* Connections of a listener that wait; each may hold a receive window. */
#define LISTEN_BACKLOG 1024
/* Time without room for a further caller after which this is not ready. */
#define FULL_UNREADY_US USEC_PER_SEC
#define TOO_LARGE 413
#define BEHIND_RETRY_AFTER_MS 300

/*
 * Time until the load balancer has seen two failed readiness checks.  A caller
 * whose connection ends earlier would come back to this instance.
 */
#define UNREADY_SEEN_US (2200 * USEC_PER_MSEC)

/* Time for requests on the last connections, which were just established. */
#define STOP_SETTLE_US (50 * USEC_PER_MSEC)

#define STOP_RETRY_AFTER "0.1" /* s; another instance takes the request */

typedef enum ingress_timer_t {
	INGRESS_TIMER_SWEEP,
	INGRESS_TIMER_SETTLED, /* STOP_SETTLE_US after the listener closed */
} ingress_timer_t;

/* Limits until a configuration is received. */
static const fleet_limits_t default_limits = {
	.max_header = 16384,
	.max_body = 4194304,
	.header_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

bool ingress_is_full(const ingress_t *ingress)
{
	return table_count(&ingress->conns) >= ingress->conns_max;
}

/* Callers do not keep metrics and requests of peers out. */
static bool is_full(const ingress_t *ingress, listener_kind_t kind)
{
	uint32_t count = table_count(&ingress->conns);

	switch (kind) {
	case LISTENER_CALLERS:
		return ingress_is_full(ingress);
	case LISTENER_METRICS:
		return count >= ingress->conns_max +
					ingress->conns_max / METRICS_DIVISOR;
	case LISTENER_READINESS:
	case LISTENER_COUNT:
		break;
	}
	return false;
}

/* Returns how many descriptors the process may have open. */
static uint32_t descriptors_max(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
	    limit.rlim_cur > G_MAXINT32)
		return G_MAXINT32;
	return (uint32_t)limit.rlim_cur;
}

static uint32_t connections_max(void)
{
	return MIN(descriptors_max() / 4 * CONNS_QUARTERS, CONNS_MAX);
}

uint32_t ingress_sockets_max(const ingress_t *ingress)
{
	/* Callers and requests of peers, each with a connection to a target. */
	uint32_t open = 2 * (ingress->conns_max +
			     ingress->conns_max / METRICS_DIVISOR) +
			2 * SERVICE_CONNS_MAX;

	return MIN(open, descriptors_max()) + LISTENER_COUNT * LISTEN_BACKLOG;
}

/*
 * Whether a connection can be accepted; gives is the idle one of another caller
 * that has to give way for it, or NULL.
 */
static bool can_accept(const listener_t *listener, ingress_conn_t **gives)
{
	*gives = NULL;
	if (!is_full(listener->ingress, listener->kind))
		return true;
	if (listener->kind == LISTENER_CALLERS)
		*gives = ingress_conn_longest_idle(listener->ingress);
	return *gives != NULL;
}

/* Until the sweep resumes it, waiting connections do not wake the loop. */
static void pause_listener(listener_t *listener, const char *reason)
{
	log_event(LOG_LEVEL_WARN, "ingress", "accept_paused",
		  "connections=%u reason=%s",
		  table_count(&listener->ingress->conns), log_quote(reason));
	pollset_set(&listener->ingress->kernel->pollset, listener->watch, 0);
}

/* Returns false if no connection waits or no further one can be open. */
static bool accept_one(listener_t *listener)
{
	GError *error = NULL;
	GSocket *accepted;
	ingress_conn_t *gives;

	if (!can_accept(listener, &gives)) {
		pause_listener(listener, "limit");
		if (listener->kind == LISTENER_CALLERS &&
		    listener->ingress->full_since == 0)
			listener->ingress->full_since =
				kernel_now(listener->ingress->kernel);
		return false;
	}
	accepted = g_socket_accept(listener->socket, NULL, &error);
	if (accepted != NULL) {
		if (gives != NULL)
			ingress_conn_close(gives);
		if (listener->kind != LISTENER_CALLERS)
			ingress_conn_make_room(listener->ingress,
					       listener->kind,
					       SERVICE_CONNS_MAX);
		ingress_conn_open(listener->ingress, accepted, listener->kind);
		g_object_unref(accepted);
		return true;
	}
	if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		pause_listener(listener, error->message);
	g_error_free(error);
	return false;
}

static void resume_listeners(ingress_t *ingress)
{
	ingress_conn_t *gives;

	for (int i = 0; i < LISTENER_COUNT; i++) {
		if (ingress->listeners[i].socket == NULL ||
		    !can_accept(&ingress->listeners[i], &gives))
			continue;
		pollset_set(&ingress->kernel->pollset,
			    ingress->listeners[i].watch, POLLSET_IN);
		if (i == LISTENER_CALLERS)
			ingress->full_since = 0;
	}
}

static void on_accept(void *data, unsigned ready)
{
	(void)ready;
	for (int i = 0; i < ACCEPT_MAX; i++)
		if (!accept_one(data))
			break;
}

ingress_status_t ingress_listen(ingress_t *ingress, listener_kind_t kind,
				const char *host, uint16_t port)
{
	listener_t *listener = &ingress->listeners[kind];
	http_listen_t spec = {
		.host = host,
		.port = port,
		.backlog = LISTEN_BACKLOG,
		.window = kind == LISTENER_CALLERS
				  ? ingress_first_window(ingress)
				  : ingress->kernel->pollset.windows.least,
	};

	listener->ingress = ingress;
	listener->kind = kind;
	listener->socket = http_socket_listen(&spec, &ingress->err);
	if (listener->socket == NULL)
		return INGRESS_LISTEN_FAILED;
	listener->watch = pollset_add(&ingress->kernel->pollset,
				      g_socket_get_fd(listener->socket),
				      POLLSET_IN, on_accept, listener);
	if (kind == LISTENER_CALLERS)
		pollset_classify(&ingress->kernel->pollset, listener->watch,
				 POLLSET_DEFERRED);
	if (handle_is_none(listener->watch)) {
		errmsg_set(&ingress->err, "cannot watch %s port %u: %s", host,
			   port, g_strerror(errno));
		return INGRESS_LISTEN_FAILED;
	}
	return INGRESS_OK;
}

static void close_listener(listener_t *listener)
{
	if (listener->ingress != NULL)
		pollset_remove(&listener->ingress->kernel->pollset,
			       &listener->watch);
	if (listener->socket != NULL)
		g_socket_close(listener->socket, NULL);
	g_clear_object(&listener->socket);
}

bool ingress_sends_away(ingress_conn_t *conn)
{
	const ingress_t *ingress = conn->ingress;

	if (ingress->yields_since == 0 ||
	    kernel_now(ingress->kernel) - ingress->yields_since <
		    UNREADY_SEEN_US)
		return false;
	/* Without a known capacity there is no part that it bears. */
	return ingress->admission.capacity <= 0 || ingress_moves_caller(conn);
}

static void overload_changed(ingress_t *ingress, const msg_t *msg)
{
	ingress->excess = msg->u.overload.excess;
	if (!msg->u.overload.yields)
		ingress->yields_since = 0;
	else if (ingress->yields_since == 0)
		ingress->yields_since = kernel_now(ingress->kernel);
}

static void respond_readiness(ingress_t *ingress, ingress_conn_t *conn)
{
	bool full = ingress->full_since != 0 &&
		    kernel_now(ingress->kernel) - ingress->full_since >=
			    FULL_UNREADY_US;
	bool ready = ingress->ready && !ingress->stopping && !full &&
		     ingress->yields_since == 0;

	ingress_conn_respond(conn, ready ? 200 : 503, "text/plain",
			     ready ? "ready\n" : "not ready\n", false);
}

static void respond_metrics(ingress_t *ingress, ingress_conn_t *conn)
{
	GString *text = g_string_new(NULL);

	ingress->kernel->metrics->counters[COUNTER_LOG_DROPPED] = log_dropped();
	metrics_print(ingress->kernel->metrics, text);
	ingress_conn_respond(conn, 200, "text/plain; version=0.0.4", text->str,
			     false);
	g_string_free(text, TRUE);
}

/* "proxy" and "balance" answer. */
static void explain(ingress_t *ingress, ingress_conn_t *conn)
{
	explain_query_t *query = g_new0(explain_query_t, 1);
	msg_t msg = {.kind = MSG_EXPLAIN, .id = conn->self};
	errmsg_t err;

	if (!wire_read_explain(conn->parse.head, query, &err)) {
		explain_query_free(query);
		ingress_conn_respond(conn, 400, "text/plain", err.text, false);
		return;
	}
	msg.u.explain = query;
	kernel_post(ingress->kernel, ingress->svc, ingress->proxy, &msg);
}

static int64_t stop_age(const ingress_t *ingress)
{
	return kernel_now(ingress->kernel) - ingress->stop_requested_at;
}

/* Returns whether the caller's time ends before the stop does. */
static bool ends_before_stop(const ingress_t *ingress,
			     const exchange_spec_t *spec)
{
	return spec->wait_ms >= 0 &&
	       kernel_now(ingress->kernel) + spec->wait_ms * USEC_PER_MSEC <=
		       ingress->stop_deadline;
}

/* Once the stop is complete, the process does not wait for further requests. */
static bool accepts_request(const ingress_t *ingress,
			    const exchange_spec_t *spec)
{
	if (!ingress->stopping)
		return true;
	return !ingress->stopped && (stop_age(ingress) < STOP_ACCEPT_US ||
				     ends_before_stop(ingress, spec));
}

static void refuse_stopping(ingress_t *ingress, ingress_conn_t *conn,
			    const char *request_id)
{
	metrics_refusal(ingress->kernel->metrics, REFUSAL_STOPPING);
	log_event(LOG_LEVEL_INFO, "ingress", "refused",
		  "request=%s reason=%s stop_ms=%" G_GINT64_FORMAT,
		  log_quote(request_id), refusal_name(REFUSAL_STOPPING),
		  stop_age(ingress) / USEC_PER_MSEC);
	ingress_conn_respond_retry_after(
		conn, 503, "this instance is stopping\n", STOP_RETRY_AFTER);
}

static void forward(ingress_t *ingress, ingress_conn_t *conn)
{
	exchange_spec_t *spec = NULL;
	GBytes *body = http_parse_take_body(&conn->parse);
	msg_t msg = {.kind = MSG_EXCHANGE_OPEN, .id = conn->self};
	errmsg_t err;

	metrics_add(ingress->kernel->metrics, COUNTER_REQUESTS, 1);
	spec = exchange_spec_new();
	if (!wire_read_request(conn->parse.head, body, spec, &err)) {
		metrics_refusal(ingress->kernel->metrics, REFUSAL_BAD_REQUEST);
		ingress_conn_respond(conn, 400, "text/plain", err.text, false);
		goto out;
	}
	if (!accepts_request(ingress, spec)) {
		refuse_stopping(ingress, conn, spec->request_id);
		goto out;
	}
	spec->from_peer = conn->kind == LISTENER_METRICS;
	if (!ingress_admit_request(conn, spec))
		goto out;
	/* "proxy" has what it needs of the head. */
	http_head_free(http_parse_take_head(&conn->parse));
	spec->arrived_at = conn->arrived_at;
	spec->unread = conn->unread;
	msg.u.exchange = g_steal_pointer(&spec);
	kernel_post(ingress->kernel, ingress->svc, ingress->proxy, &msg);
out:
	exchange_spec_free(spec);
	g_clear_pointer(&body, g_bytes_unref);
}

/* Answers as "proxy" would, in the same form. */
static void refuse_head(ingress_t *ingress, ingress_conn_t *conn,
			const exchange_spec_t *spec, refusal_t reason)
{
	uint32_t status = refusal_status(reason);
	char *text =
		refusal_json(reason, RUN_NOT_RUN, wire_request_id(spec), NULL);

	metrics_add(ingress->kernel->metrics, COUNTER_REQUESTS, 1);
	metrics_refusal(ingress->kernel->metrics, reason);
	log_event(LOG_LEVEL_INFO, "ingress", "refused",
		  "request=%s reason=%s unread_body=1",
		  log_quote(spec->request_id), refusal_name(reason));
	ingress_conn_respond_head(
		conn,
		wire_write_refusal(spec, status,
				   status == 503 ? BEHIND_RETRY_AFTER_MS : 0),
		text);
	g_free(text);
}

static bool has_route(const ingress_t *ingress, const exchange_spec_t *spec)
{
	/* Without a configuration, "proxy" refuses. */
	return ingress->conf == NULL ||
	       fleet_conf_route(ingress->conf, spec->host, spec->path) != NULL;
}

/*
 * A path without a route has no use for a body.  A tunnel has no route, and the
 * bytes behind its request, which belong to the tunnel, are never parsed.
 */
static bool check_caller_head(ingress_t *ingress, ingress_conn_t *conn)
{
	exchange_spec_t *spec = exchange_spec_new();
	errmsg_t err;
	bool tunnel = http_parse_asks_tunnel(&conn->parse);
	/* A request that is complete already is refused by "proxy". */
	bool accepted =
		!tunnel && (conn->parse.state == HTTP_STATE_COMPLETE ||
			    (wire_read_request_target(conn->parse.head, spec) &&
			     has_route(ingress, spec)));

	if (accepted)
		goto out;
	if (!wire_read_request(conn->parse.head, NULL, spec, &err)) {
		metrics_refusal(ingress->kernel->metrics, REFUSAL_BAD_REQUEST);
		ingress_conn_respond(conn, 400, "text/plain", err.text, true);
		goto out;
	}
	refuse_head(ingress, conn, spec,
		    ingress->conf_behind && !tunnel ? REFUSAL_CONF_BEHIND
						    : REFUSAL_NO_ROUTE);
out:
	exchange_spec_free(spec);
	return accepted;
}

bool ingress_is_forwarded(const ingress_conn_t *conn)
{
	switch (conn->kind) {
	case LISTENER_CALLERS:
		return true;
	case LISTENER_METRICS:
		/* The mark of a peer is verified by "proxy". */
		return hop_is_passed_on(conn->parse.head);
	case LISTENER_READINESS:
	case LISTENER_COUNT:
		break;
	}
	return false;
}

bool ingress_check_head(ingress_t *ingress, ingress_conn_t *conn)
{
	if (ingress_is_forwarded(conn))
		return check_caller_head(ingress, conn);
	ingress_conn_respond(conn, TOO_LARGE, "text/plain",
			     "no body is accepted here\n", true);
	return false;
}

void ingress_request(ingress_t *ingress, ingress_conn_t *conn)
{
	if (ingress_is_forwarded(conn))
		forward(ingress, conn);
	else if (conn->kind == LISTENER_READINESS)
		respond_readiness(ingress, conn);
	else if (wire_is_explain(conn->parse.head))
		explain(ingress, conn);
	else
		respond_metrics(ingress, conn);
}

static bool is_listening(const ingress_t *ingress, listener_kind_t kind)
{
	return ingress->listeners[kind].socket != NULL;
}

/*
 * Accepts the connections that are established and closes the listener.  The
 * requests on them have STOP_SETTLE_US to arrive.
 */
static void refuse_connections(ingress_t *ingress)
{
	listener_t *listener = &ingress->listeners[LISTENER_CALLERS];

	while (accept_one(listener))
		;
	close_listener(listener);
	ingress->closed_at = kernel_now(ingress->kernel);
	kernel_timer(ingress->kernel, ingress->svc, STOP_SETTLE_US, HANDLE_NONE,
		     INGRESS_TIMER_SETTLED);
}

static void check_stopped(ingress_t *ingress)
{
	msg_t msg = {.kind = MSG_STOPPED};

	if (!ingress->stopping || ingress->stopped || ingress->busy > 0 ||
	    stop_age(ingress) < STOP_MIN_US ||
	    ingress_conn_any_unfinished(ingress))
		return;
	if (is_listening(ingress, LISTENER_CALLERS)) {
		refuse_connections(ingress);
		return;
	}
	if (kernel_now(ingress->kernel) - ingress->closed_at < STOP_SETTLE_US)
		return;
	ingress->stopped = true;
	kernel_post(ingress->kernel, ingress->svc,
		    kernel_find(ingress->kernel, "gateway"), &msg);
}

/* Callers then use another instance at once. */
static void check_stop_deadline(ingress_t *ingress)
{
	if (!ingress->stopping || ingress->stop_deadline == 0 ||
	    !is_listening(ingress, LISTENER_CALLERS))
		return;
	if (kernel_now(ingress->kernel) >=
	    ingress->stop_deadline - STOP_REFUSE_US)
		refuse_connections(ingress);
}

static void on_timer(ingress_t *ingress, ingress_timer_t kind)
{
	switch (kind) {
	case INGRESS_TIMER_SWEEP:
		ingress_conn_sweep(ingress);
		kernel_return_memory(ingress->kernel);
		resume_listeners(ingress);
		check_stop_deadline(ingress);
		kernel_timer(ingress->kernel, ingress->svc, SWEEP_INTERVAL_US,
			     HANDLE_NONE, INGRESS_TIMER_SWEEP);
		break;
	case INGRESS_TIMER_SETTLED:
		break;
	}
	check_stopped(ingress);
}

static void start(ingress_t *ingress)
{
	msg_t msg = {.kind = MSG_FLEET_SUBSCRIBE};

	ingress->proxy = kernel_find(ingress->kernel, "proxy");
	kernel_post(ingress->kernel, ingress->svc,
		    kernel_find(ingress->kernel, "fleet"), &msg);
	kernel_timer(ingress->kernel, ingress->svc, SWEEP_INTERVAL_US,
		     HANDLE_NONE, INGRESS_TIMER_SWEEP);
}

static void receive(void *self, msg_t *msg)
{
	ingress_t *ingress = self;

	switch (msg->kind) {
	case MSG_START:
		start(ingress);
		break;
	case MSG_STOP:
		ingress->stopping = true;
		ingress->stop_requested_at = kernel_now(ingress->kernel);
		ingress->stop_deadline = msg->u.stop.deadline;
		break;
	case MSG_OVERLOAD:
		overload_changed(ingress, msg);
		break;
	case MSG_LOAD:
		ingress_load_measured(ingress, msg);
		break;
	case MSG_BUFFERS_FULL:
		ingress_conn_relieve(ingress, msg->u.buffers_full.kind);
		break;
	case MSG_TIMER:
		on_timer(ingress, (ingress_timer_t)msg->u.timer.kind);
		break;
	case MSG_FLEET_CONF:
		ingress->limits = msg->u.fleet_conf->limits;
		fleet_conf_unref(ingress->conf);
		ingress->conf = fleet_conf_ref(msg->u.fleet_conf);
		ingress->ready = true;
		break;
	case MSG_FLEET_BEHIND:
		ingress->conf_behind = msg->u.fleet_behind.behind;
		break;
	case MSG_EXCHANGE_STARTED:
	case MSG_EXCHANGE_HEAD:
	case MSG_EXCHANGE_DATA:
	case MSG_EXCHANGE_END:
	case MSG_EXCHANGE_ABORTED:
		ingress_conn_recv(ingress, msg);
		break;
	default:
		break;
	}
}

void ingress_init(ingress_t *ingress, kernel_t *kernel)
{
	memset(ingress, 0, sizeof(*ingress));
	ingress->kernel = kernel;
	ingress->limits = default_limits;
	admission_init(&ingress->admission, 0);
	ingress->conns_max = connections_max();
	table_init(&ingress->conns, sizeof(ingress_conn_t));
	ingress->svc = kernel_register(kernel, "ingress", receive, ingress);
}

void ingress_finish(ingress_t *ingress)
{
	uint32_t cursor = 0;
	ingress_conn_t *conn;

	for (int i = 0; i < LISTENER_COUNT; i++)
		close_listener(&ingress->listeners[i]);
	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL)
		ingress_conn_close(conn);
	table_finish(&ingress->conns);
	g_clear_pointer(&ingress->conf, fleet_conf_unref);
	kernel_unregister(ingress->kernel, ingress->svc);
}
