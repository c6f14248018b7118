/*
 * Cost of one request in the route service on the real clock (request,
 * assignment, first byte, completion) with 12 and 12,000 targets, and with
 * requests waiting in the queue.  The figures have no goal.
 */
#include "route/route.h"

#include <stdio.h>

#define CONCURRENCY 32
#define IN_FLIGHT 64 /* requests on targets, fewer while requests wait */
#define IN_FLIGHT_MAX 1024
#define REQUESTS 100000

typedef struct requester_t {
	kernel_t kernel;
	route_t route;
	svc_t svc;
	svc_t route_svc;
	handle_t in_flight[IN_FLIGHT_MAX];
	uint32_t head, count;
	uint32_t refused;
} requester_t;

static void receive(void *self, msg_t *msg)
{
	requester_t *requester = self;

	if (msg->kind == MSG_ROUTE_REFUSED)
		requester->refused++;
	if (msg->kind != MSG_ROUTE_ASSIGNED)
		return;
	requester->in_flight[(requester->head + requester->count++) %
			     IN_FLIGHT_MAX] = msg->id;
}

static void configure(requester_t *requester, uint32_t targets)
{
	msg_t msg = {.kind = MSG_CONF_CHANGED};
	record_service_t service = {.name = "s", .short_tokens = 100};

	msg.u.conf = conf_snapshot_new();
	g_array_append_val(msg.u.conf->services, service);
	for (uint32_t i = 0; i < targets; i++) {
		record_target_t target = {.service = "s",
					  .port = (uint16_t)(i + 1),
					  .concurrency = CONCURRENCY};

		g_snprintf(target.name, NAME_SIZE, "t%05u", i);
		g_strlcpy(target.host, "127.0.0.1", HOST_SIZE);
		g_snprintf(target.availability_zone, NAME_SIZE, "z%u", i % 4);
		g_array_append_val(msg.u.conf->targets, target);
	}
	kernel_post(&requester->kernel, requester->svc, requester->route_svc,
		    &msg);
}

static void deliver(requester_t *requester)
{
	while (kernel_deliver_one(&requester->kernel))
		;
}

static void finish_oldest(requester_t *requester)
{
	msg_t first = {.kind = MSG_ROUTE_FIRST_BYTE};
	msg_t done = {.kind = MSG_ROUTE_DONE};

	first.ref = done.ref = requester->in_flight[requester->head];
	done.u.route_done.tokens = 20;
	requester->head = (requester->head + 1) % IN_FLIGHT_MAX;
	requester->count--;
	kernel_post(&requester->kernel, requester->svc, requester->route_svc,
		    &first);
	kernel_post(&requester->kernel, requester->svc, requester->route_svc,
		    &done);
}

static void post_request(requester_t *requester, uint32_t number, bool prefix)
{
	msg_t request = {.kind = MSG_ROUTE_REQUEST, .id = {number, 1}};

	g_strlcpy(request.u.route.service, "s", NAME_SIZE);
	g_snprintf(request.u.route.client_account, NAME_SIZE, "c%u",
		   number % 10);
	request.u.route.tokens = 50 + number % 100;
	request.u.route.deadline =
		kernel_now(&requester->kernel) + 100 * USEC_PER_SEC;
	request.u.route.prefix_hash = prefix ? number % 1000 + 1 : 0;
	kernel_post(&requester->kernel, requester->svc, requester->route_svc,
		    &request);
	deliver(requester);
}

static void run(uint32_t targets, bool prefix, uint32_t waiting)
{
	requester_t requester = {.head = 0};
	uint32_t number = 1;
	gint64 started;

	kernel_init(&requester.kernel, CLOCK_REAL, 1);
	requester.svc = kernel_register(&requester.kernel, "request", receive,
					&requester);
	route_init(&requester.route, &requester.kernel, "z0");
	requester.route_svc = kernel_find(&requester.kernel, "route");
	kernel_start(&requester.kernel);
	configure(&requester, targets);
	deliver(&requester);
	while (requester.route.waiting < waiting && number < REQUESTS)
		post_request(&requester, number++, prefix);
	started = g_get_monotonic_time();
	for (uint32_t i = 0; i < REQUESTS; i++) {
		post_request(&requester, number++, prefix);
		if (requester.count >= IN_FLIGHT)
			finish_oldest(&requester);
	}
	deliver(&requester);
	printf("bench route_request_us targets=%u prefix=%s waiting=%u "
	       "value=%.2f refused=%u\n",
	       targets, prefix ? "yes" : "no", requester.route.waiting,
	       (double)(g_get_monotonic_time() - started) / REQUESTS,
	       requester.refused);
	route_finish(&requester.route);
	kernel_finish(&requester.kernel);
}

int main(void)
{
	run(12, false, 0);
	run(12, true, 0);
	run(12000, false, 0);
	run(12000, true, 0);
	run(12, false, 4000);
	return 0;
}
