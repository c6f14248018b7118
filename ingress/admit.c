/*
 * Refuses requests beyond what this instance bears, by the decision of
 * overload/admission.c: from the head on if it states the length of the body,
 * which is then not read.
 */
#include "front/refusal.h"
#include "ingress/conn.h"
#include "log/log.h"
#include "platform/wire.h"

/*
 * The retry goes to another instance.  The times are at random, so that what
 * is refused together does not arrive there together, and a small part of the
 * shortest latency goals, which are 120 ms.
 */
#define RETRY_MIN_MS 10
#define RETRY_SPAN_MS 21
#define PERCENT 100
/*
 * What a link moves in the time to a caller and back.  With larger receive
 * buffers a whole body of 12,000 bytes is on the link before its head is
 * judged; with 4,096 bytes 2,400 to 4,500 of them are.
 */
#define WINDOW_US 3000
#define WINDOW_MIN 4096 /* bytes */
#define WINDOW_MAX 32768 /* bytes; larger links do not need it */
/*
 * A connection is considered once in this time, however many requests it
 * carries, so that no more are closed than the load makes up for meanwhile.
 */
#define MOVE_PERIOD_US USEC_PER_SEC
#define RANDOM_RANGE 1000000
/* A system buffers this much between a caller and this process. */
#define UNREAD_BODY_MAX 32768 /* bytes */

void ingress_set_link(ingress_t *ingress, double link_mbps)
{
	admission_init(&ingress->admission, link_mbps);
}

/* Returns the largest receive window of a caller that the link suggests. */
static uint32_t link_window(const ingress_t *ingress)
{
	double window = ingress->admission.capacity * WINDOW_US;

	if (window <= 0 || window > WINDOW_MAX)
		return WINDOW_WIDE;
	return MAX((uint32_t)window, WINDOW_MIN);
}

uint32_t ingress_first_window(const ingress_t *ingress)
{
	uint32_t least = ingress->kernel->pollset.windows.least;
	uint32_t window = link_window(ingress);

	if (least == 0)
		return window < WINDOW_WIDE ? window : 0;
	return MIN(window, least);
}

void ingress_limit_window(ingress_conn_t *conn)
{
	if (conn->kind == LISTENER_CALLERS)
		conn->sock.window.wide = link_window(conn->ingress);
}

/* Tells service "overload" what was asked for since the last time. */
static void report_offered(ingress_t *ingress)
{
	int64_t now = kernel_now(ingress->kernel);
	msg_t msg = {.kind = MSG_OFFERED};

	if (ingress->measured_at > 0 && now > ingress->measured_at) {
		msg.u.offered.load = admission_take_load(
			&ingress->admission, now - ingress->measured_at);
		kernel_post(ingress->kernel, ingress->svc,
			    kernel_find(ingress->kernel, "overload"), &msg);
	}
	ingress->measured_at = now;
}

bool ingress_moves_caller(ingress_conn_t *conn)
{
	ingress_t *ingress = conn->ingress;
	int64_t now = kernel_now(ingress->kernel);

	if (ingress->excess <= 0 || now - conn->considered_at < MOVE_PERIOD_US)
		return false;
	conn->considered_at = now;
	if ((double)kernel_random_below(ingress->kernel, RANDOM_RANGE) >=
	    ingress->excess * RANDOM_RANGE)
		return false;
	metrics_add(ingress->kernel->metrics, COUNTER_CALLERS_MOVED, 1);
	return true;
}

void ingress_load_measured(ingress_t *ingress, const msg_t *msg)
{
	admission_load_t load = {
		.in = msg->u.load.in,
		.out = msg->u.load.out,
		.wait = msg->u.load.wait,
	};

	report_offered(ingress);
	admission_control(&ingress->admission, &load);
	metrics_set(ingress->kernel->metrics, GAUGE_ADMISSION_RATE,
		    (int64_t)(ingress->admission.scale * PERCENT));
}

/* Returns false if the configuration has no route for it. */
static bool describe(const ingress_conn_t *conn, const exchange_spec_t *spec,
		     uint64_t body, uint64_t arrived,
		     admission_request_t *request)
{
	const fleet_conf_t *conf = conn->ingress->conf;
	const fleet_route_t *route;
	const fleet_account_t *account = NULL;

	if (conf == NULL)
		return false;
	route = fleet_conf_route(conf, spec->host, spec->path);
	if (route == NULL)
		return false;
	if (spec->api_key != NULL)
		account = fleet_conf_account_by_key(conf, spec->api_key);
	request->route = route->terms.name;
	request->priority = account != NULL && account->priority >= 0
				    ? account->priority
				    : route->terms.priority;
	request->bytes = traffic_on_link(conn->parse.head_bytes + body);
	request->arrived = traffic_on_link(conn->parse.head_bytes + arrived);
	request->continued = conn->kind == LISTENER_METRICS || spec->taken_up;
	return true;
}

static void refuse(ingress_conn_t *conn, const exchange_spec_t *spec,
		   const admission_request_t *request, bool close)
{
	ingress_t *ingress = conn->ingress;
	kernel_t *kernel = ingress->kernel;
	uint64_t ms = RETRY_MIN_MS + kernel_random_below(kernel, RETRY_SPAN_MS);
	char *text = refusal_json(REFUSAL_OVER_CAPACITY, RUN_NOT_RUN,
				  wire_request_id(spec), NULL);

	admission_count(&ingress->admission, request, false,
			kernel_now(kernel));
	metrics_refusal(kernel->metrics, REFUSAL_OVER_CAPACITY);
	log_event(LOG_LEVEL_DEBUG, "ingress", "over_capacity",
		  "request=%s route=%s bytes=%" G_GUINT64_FORMAT,
		  log_quote(spec->request_id), request->route, request->bytes);
	ingress_conn_refuse(
		conn,
		wire_write_refusal(spec, refusal_status(REFUSAL_OVER_CAPACITY),
				   (uint32_t)ms),
		text, close);
	g_free(text);
}

/*
 * The rest of the body does not use the link unless it is so long that its
 * caller could not write all of it before it reads the refusal.
 */
static void leave_body(ingress_conn_t *conn, int64_t length)
{
	conn->leaves_body = length <= UNREAD_BODY_MAX;
	g_byte_array_set_size(conn->input, 0);
	http_parse_reset(&conn->parse);
	if (conn->leaves_body)
		http_socket_watch_input(&conn->sock, false);
}

bool ingress_admit_head(ingress_conn_t *conn)
{
	ingress_t *ingress = conn->ingress;
	int64_t now = kernel_now(ingress->kernel);
	int64_t length = http_parse_content_length(&conn->parse);
	admission_request_t request = {0};
	exchange_spec_t *spec;
	errmsg_t err;
	bool admitted = true;

	conn->admitted = false;
	if (length < 0 || conn->kind == LISTENER_READINESS ||
	    ingress->admission.capacity <= 0)
		return true;
	conn->admitted = true;
	if (admission_is_calm(&ingress->admission, now))
		return true;
	spec = exchange_spec_new();
	if (wire_read_request(conn->parse.head, NULL, spec, &err) &&
	    describe(conn, spec, (uint64_t)length, conn->parse.body->len,
		     &request))
		admitted = admission_test(&ingress->admission, &request, now);
	if (!admitted) {
		conn->admitted = false;
		metrics_add(ingress->kernel->metrics, COUNTER_REQUESTS, 1);
		refuse(conn, spec, &request, true);
		leave_body(conn, length);
	}
	exchange_spec_free(spec);
	return admitted;
}

bool ingress_admit_request(ingress_conn_t *conn, const exchange_spec_t *spec)
{
	ingress_t *ingress = conn->ingress;
	uint64_t body = spec->body != NULL ? g_bytes_get_size(spec->body) : 0;
	int64_t now = kernel_now(ingress->kernel);
	admission_request_t request = {0};

	if (ingress->admission.capacity <= 0 ||
	    !describe(conn, spec, body, body, &request))
		return true;
	if (!conn->admitted &&
	    !admission_test(&ingress->admission, &request, now)) {
		/* Its other requests may be admitted. */
		refuse(conn, spec, &request, false);
		return false;
	}
	conn->admitted = false;
	admission_count(&ingress->admission, &request, true, now);
	g_strlcpy(conn->route, request.route, sizeof(conn->route));
	conn->answer_bytes = 0;
	return true;
}

void ingress_answered(ingress_conn_t *conn)
{
	if (conn->route[0] != '\0')
		admission_answered(&conn->ingress->admission, conn->route,
				   conn->answer_bytes);
	conn->route[0] = '\0';
}
