/*
 * Cost of one request in the route service on the real clock (asked, picked,
 * first byte, done) with 12 and 12,000 targets, and with requests that wait.
 * Printed without a bound.
 */
#include "route/route.h"

#include <stdio.h>

#define CONCURRENCY 32
#define RUNNING 64 /* requests on targets at one time, unless some wait */
#define RUNNING_MAX 1024
#define REQUESTS 100000

typedef struct asker_t {
	kernel_t kernel;
	route_t route;
	svc_t svc;
	svc_t route_svc;
	handle_t running[RUNNING_MAX];
	uint32_t head, count;
	uint32_t refused;
} asker_t;

static void receive(void *self, msg_t *msg)
{
	asker_t *asker = self;

	if (msg->kind == MSG_ROUTE_REFUSED)
		asker->refused++;
	if (msg->kind != MSG_ROUTE_ASSIGNED)
		return;
	asker->running[(asker->head + asker->count++) % RUNNING_MAX] = msg->id;
}

static void configure(asker_t *asker, uint32_t targets)
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
	kernel_post(&asker->kernel, asker->svc, asker->route_svc, &msg);
}

static void deliver(asker_t *asker)
{
	while (kernel_deliver_one(&asker->kernel))
		;
}

static void end_oldest(asker_t *asker)
{
	msg_t first = {.kind = MSG_ROUTE_FIRST_BYTE};
	msg_t done = {.kind = MSG_ROUTE_DONE};

	first.ref = done.ref = asker->running[asker->head];
	done.u.route_done.tokens = 20;
	asker->head = (asker->head + 1) % RUNNING_MAX;
	asker->count--;
	kernel_post(&asker->kernel, asker->svc, asker->route_svc, &first);
	kernel_post(&asker->kernel, asker->svc, asker->route_svc, &done);
}

static void post_ask(asker_t *asker, uint32_t number, bool prefix)
{
	msg_t ask = {.kind = MSG_ROUTE_REQUEST, .id = {number, 1}};

	g_strlcpy(ask.u.route.service, "s", NAME_SIZE);
	g_snprintf(ask.u.route.client_account, NAME_SIZE, "c%u", number % 10);
	ask.u.route.tokens = 50 + number % 100;
	ask.u.route.deadline = kernel_now(&asker->kernel) + 100 * USEC_PER_SEC;
	ask.u.route.prefix_hash = prefix ? number % 1000 + 1 : 0;
	kernel_post(&asker->kernel, asker->svc, asker->route_svc, &ask);
	deliver(asker);
}

static void run(uint32_t targets, bool prefix, uint32_t waiting)
{
	asker_t asker = {.head = 0};
	uint32_t number = 1;
	gint64 started;

	kernel_init(&asker.kernel, CLOCK_REAL, 1);
	asker.svc = kernel_register(&asker.kernel, "request", receive, &asker);
	route_init(&asker.route, &asker.kernel, "z0");
	asker.route_svc = kernel_find(&asker.kernel, "route");
	kernel_start(&asker.kernel);
	configure(&asker, targets);
	deliver(&asker);
	while (asker.route.waiting < waiting && number < REQUESTS)
		post_ask(&asker, number++, prefix);
	started = g_get_monotonic_time();
	for (uint32_t i = 0; i < REQUESTS; i++) {
		post_ask(&asker, number++, prefix);
		if (asker.count >= RUNNING)
			end_oldest(&asker);
	}
	deliver(&asker);
	printf("bench route_request_us targets=%u prefix=%s waiting=%u "
	       "value=%.2f refused=%u\n",
	       targets, prefix ? "yes" : "no", asker.route.waiting,
	       (double)(g_get_monotonic_time() - started) / REQUESTS,
	       asker.refused);
	route_finish(&asker.route);
	kernel_finish(&asker.kernel);
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
