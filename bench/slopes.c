/*
 * Marginal cost of a message, request, client account, target or configuration
 * change, measured with the shipped services under the virtual clock.
 */
#include "bench/slopes_world.h"
#include "claims/claims.h"
#include "conf/conf.h"
#include "request/request.h"
#include "route/route.h"

/* --- kernel -------------------------------------------------------------- */

static double kernel_messages(int n)
{
	world_t world;
	int64_t begin_ns;
	double us;

	world_init(&world);
	begin_ns = cpu_ns();
	for (int i = 0; i < n; i++) {
		msg_t msg = {.kind = MSG_RELEASE};

		kernel_post(&world.kernel, world.other, world.other, &msg);
		if (i % 16 == 15)
			world_run(&world, 0);
	}
	us = (double)(cpu_ns() - begin_ns) / 1e3;
	world_finish(&world);
	return us;
}

static double kernel_timers(int n)
{
	world_t world;
	int64_t begin_ns;
	double us;

	world_init(&world);
	begin_ns = cpu_ns();
	for (int i = 0; i < n; i++)
		kernel_timer(&world.kernel, world.other, i % 1000, HANDLE_NONE,
			     0);
	world_run(&world, 1000);
	us = (double)(cpu_ns() - begin_ns) / 1e3;
	world_finish(&world);
	return us;
}

/* --- configuration ------------------------------------------------------- */

static void account_kv(store_result_t *event, int i, int64_t revision)
{
	record_t record = {.kind = RECORD_CLIENT_ACCOUNT};
	record_client_account_t *account = &record.u.client_account;
	char key[STORE_KEY_SIZE];

	g_snprintf(account->name, NAME_SIZE, "account-%06d", i);
	account->weight = 1;
	account->key_count = 1;
	g_snprintf(account->keys[0].hash, HASH_SIZE, "%064d", i);
	g_strlcpy(account->keys[0].budget, "main", NAME_SIZE);
	g_snprintf(key, sizeof(key), "conf/account/%s", account->name);
	store_result_add(event, 0, key, revision, &record);
}

static void target_kv(store_result_t *event, int i, int64_t revision)
{
	record_t record = {.kind = RECORD_TARGET};
	record_target_t *target = &record.u.target;
	char key[STORE_KEY_SIZE];

	g_snprintf(target->name, NAME_SIZE, "target-%06d", i);
	g_snprintf(target->service, NAME_SIZE, "model-%02d", i % 17);
	g_snprintf(target->host, HOST_SIZE, "10.%d.%d.%d", i / 65536,
		   i / 256 % 256, i % 256);
	target->port = 8000;
	g_strlcpy(target->availability_zone, "az1", NAME_SIZE);
	target->concurrency = 16;
	g_snprintf(key, sizeof(key), "conf/target/%s", target->name);
	store_result_add(event, 0, key, revision, &record);
}

typedef void (*kv_fn_t)(store_result_t *event, int i, int64_t revision);

static void post_store_event(world_t *world, svc_t conf, kv_fn_t add, int from,
			     int to, int64_t revision)
{
	msg_t msg = {.kind = MSG_STORE_EVENT};

	msg.u.store_result = store_result_new(STORE_OK);
	for (int i = from; i < to; i++)
		add(msg.u.store_result, i, revision);
	msg.u.store_result->revision = revision;
	kernel_post(&world->kernel, world->store, conf, &msg);
	world_run(world, 1000 * USEC_PER_MSEC);
}

typedef struct conf_cost_t {
	double bytes;
	double change_us;
} conf_cost_t;

/* Cost of n records in conf and, if with_route, in the route service. */
static conf_cost_t conf_cost(int n, kv_fn_t add, bool with_route)
{
	conf_cost_t cost;
	world_t world;
	conf_t conf;
	route_t route;
	size_t before;
	int64_t begin_ns;

	world_init(&world);
	conf_init(&conf, &world.kernel);
	if (with_route)
		route_init(&route, &world.kernel, "az1");
	kernel_start(&world.kernel);
	world_run(&world, 0);
	before = heap_bytes();
	post_store_event(&world, conf.svc, add, 0, n, 100);
	cost.bytes = (double)(heap_bytes() - before);
	begin_ns = cpu_ns();
	for (int i = 0; i < 10; i++)
		post_store_event(&world, conf.svc, add, i, i + 1, 101 + i);
	cost.change_us = (double)(cpu_ns() - begin_ns) / 1e4;
	if (with_route)
		route_finish(&route);
	conf_finish(&conf);
	world_finish(&world);
	return cost;
}

static double account_bytes(int n)
{
	return conf_cost(n, account_kv, false).bytes;
}

static double account_change(int n)
{
	return conf_cost(n, account_kv, false).change_us;
}

static double target_bytes(int n)
{
	return conf_cost(n, target_kv, true).bytes;
}

static double target_change(int n)
{
	return conf_cost(n, target_kv, true).change_us;
}

/* Bytes of a peer frame with n changed client accounts. */
static double change_bytes(int n)
{
	peer_body_t *body = peer_body_new(PEER_CONF_ITEMS);
	store_result_t *event = store_result_new(STORE_OK);
	world_t world;
	size_t size;

	world_init(&world);
	for (int i = 0; i < n; i++)
		account_kv(event, i, 100 + i);
	g_array_append_vals(body->u.conf_items.kvs, event->kvs->data,
			    event->kvs->len);
	size = peer_body_size(&world, body);
	peer_body_free(body);
	store_result_free(event);
	world_finish(&world);
	return (double)size;
}

/* --- request, route, claims ---------------------------------------------- */

static conf_snapshot_t *make_conf(int targets)
{
	conf_snapshot_t *conf = conf_snapshot_new();
	record_client_account_t account = {.weight = 1, .key_count = 1};
	record_service_t service = {.kind = SERVICE_MODEL,
				    .idempotent = true,
				    .deadline_ms = 60000,
				    .max_tokens = 100,
				    .max_body = 100000};
	record_target_t target = {.port = 8000, .concurrency = 100000};

	g_strlcpy(account.name, "acme", NAME_SIZE);
	g_strlcpy(account.keys[0].hash, "key", HASH_SIZE);
	g_strlcpy(account.keys[0].budget, "main", NAME_SIZE);
	g_array_append_val(conf->client_accounts, account);
	g_hash_table_insert(conf->by_key_hash, g_strdup("key"),
			    GUINT_TO_POINTER(1));
	g_strlcpy(service.name, "chat", NAME_SIZE);
	g_array_append_val(conf->services, service);
	g_strlcpy(target.service, "chat", NAME_SIZE);
	g_strlcpy(target.availability_zone, "az1", NAME_SIZE);
	for (int i = 0; i < targets; i++) {
		g_snprintf(target.name, NAME_SIZE, "target-%06d", i);
		g_snprintf(target.host, HOST_SIZE, "10.0.%d.%d", i / 256,
			   i % 256);
		g_array_append_val(conf->targets, target);
	}
	return conf;
}

static void send_conf(world_t *world, svc_t to, int targets)
{
	msg_t msg = {.kind = MSG_CONF_CHANGED};

	msg.u.conf = make_conf(targets);
	world_send(world, to, &msg);
}

static void post_reply(world_t *world, const msg_t *msg, msg_kind_t kind)
{
	msg_t reply = {.kind = kind, .ref = msg->id, .id = {1, 1}};

	if (kind == MSG_TARGET_HEAD) {
		reply.u.target_head.status = 200;
		g_strlcpy(reply.u.target_head.content_type, "application/json",
			  CONTENT_TYPE_SIZE);
	} else if (kind == MSG_TARGET_DATA) {
		reply.u.target_data.bytes = g_bytes_new_static("{}", 2);
	} else if (kind == MSG_TARGET_END) {
		reply.u.target_end.usage_known = true;
		reply.u.target_end.prompt_tokens = 9;
		reply.u.target_end.completion_tokens = 3;
	}
	kernel_post(&world->kernel, world->other, msg->from, &reply);
}

/* Replies to "request" as ledger, route and dispatch do. */
static void on_service_call(void *self, msg_t *msg)
{
	world_t *world = self;

	switch (msg->kind) {
	case MSG_RESERVE:
		post_reply(world, msg, MSG_RESERVED);
		break;
	case MSG_ROUTE_REQUEST:
		post_reply(world, msg, MSG_ROUTE_ASSIGNED);
		break;
	case MSG_SEND:
		post_reply(world, msg, MSG_SEND_STARTED);
		post_reply(world, msg, MSG_TARGET_HEAD);
		post_reply(world, msg, MSG_TARGET_DATA);
		post_reply(world, msg, MSG_TARGET_END);
		break;
	case MSG_BILL:
		post_reply(world, msg, MSG_BILLED);
		break;
	default:
		break;
	}
}

static void open_request(world_t *world, svc_t request, int i)
{
	msg_t msg = {.kind = MSG_REQ_OPEN, .id = {(uint32_t)i, 1}};
	request_spec_t *spec = request_spec_new();

	g_strlcpy(spec->key_hash, "key", HASH_SIZE);
	g_strlcpy(spec->service, "chat", NAME_SIZE);
	g_strlcpy(spec->method, "POST", sizeof(spec->method));
	g_strlcpy(spec->path, "/v1/chat/completions", PATH_SIZE);
	g_snprintf(spec->fingerprint, HASH_SIZE, "%064d", i);
	spec->body = g_bytes_new_static("{\"model\":\"chat\"}", 16);
	msg.u.open = spec;
	kernel_post(&world->kernel, world->other, request, &msg);
}

static double request_cost(int n)
{
	static const char *const names[] = {"ledger", "route", "dispatch",
					    "claims", "front"};
	request_opts_t opts;
	request_svc_t svc;
	world_t world;
	int64_t begin_ns;
	double us;

	world_init(&world);
	world.on_other = on_service_call;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		kernel_register(&world.kernel, names[i], on_other, &world);
	request_opts_defaults(&opts);
	g_strlcpy(opts.incarnation, SELF_INCARNATION, INCARNATION_SIZE);
	request_init(&svc, &world.kernel, &opts);
	kernel_start(&world.kernel);
	send_conf(&world, svc.self, 0);
	begin_ns = cpu_ns();
	for (int i = 0; i < n; i++) {
		open_request(&world, svc.self, i);
		world_run(&world, USEC_PER_MSEC);
	}
	us = (double)(cpu_ns() - begin_ns) / 1e3;
	if (world.kernel.metrics->counters[COUNTER_ANSWERS] != (uint64_t)n)
		g_error("requests were not answered");
	request_finish(&svc);
	world_finish(&world);
	return us;
}

typedef struct route_result_t {
	handle_t assignment;
	bool assigned;
} route_result_t;

static void on_route_reply(void *self, msg_t *msg)
{
	route_result_t *result = ((world_t *)self)->data;

	result->assigned = msg->kind == MSG_ROUTE_ASSIGNED;
	result->assignment = msg->id;
}

static int route_target_count;

static double route_cost(int n)
{
	route_result_t result;
	route_t route;
	world_t world;
	int64_t begin_ns;
	double us;

	world_init(&world);
	world.on_other = on_route_reply;
	world.data = &result;
	kernel_register(&world.kernel, "request", on_other, &world);
	route_init(&route, &world.kernel, "az1");
	kernel_start(&world.kernel);
	send_conf(&world, route.svc, route_target_count);
	begin_ns = cpu_ns();
	for (int i = 0; i < n; i++) {
		msg_t request = {.kind = MSG_ROUTE_REQUEST};
		msg_t done = {.kind = MSG_ROUTE_DONE};

		request.id = (handle_t){(uint32_t)i, 1};
		g_strlcpy(request.u.route.service, "chat", NAME_SIZE);
		g_strlcpy(request.u.route.client_account, "acme", NAME_SIZE);
		request.u.route.tokens = 100;
		request.u.route.deadline =
			kernel_now(&world.kernel) + USEC_PER_SEC;
		result.assigned = false;
		world_send(&world, route.svc, &request);
		if (!result.assigned)
			g_error("no target was assigned");
		world_run(&world, USEC_PER_MSEC);
		done.ref = result.assignment;
		done.u.route_done.tokens = 12;
		world_send(&world, route.svc, &done);
	}
	us = (double)(cpu_ns() - begin_ns) / 1e3;
	route_finish(&route);
	world_finish(&world);
	return us;
}

/* Cost of a request over n targets, from 1,000 requests. */
static double route_by_targets(int n)
{
	route_target_count = n;
	return route_cost(1000) / 1000;
}

static void on_claims_msg(void *self, msg_t *msg)
{
	world_t *world = self;
	msg_t done = {.kind = MSG_CLAIM_DONE, .ref = msg->id, .id = {1, 1}};

	if (msg->kind != MSG_CLAIM_RESULT)
		return;
	done.u.claim_done.outcome.status = 200;
	done.u.claim_done.outcome.body = g_bytes_new_static("ok", 2);
	kernel_post(&world->kernel, world->other, msg->from, &done);
}

static int claim_rate = 1000;

/* Store calls or processor time (us) of n claims and their outcomes. */
static double claims_cost(int n, bool calls)
{
	static uint64_t serial;
	claims_opts_t opts;
	claims_svc_t claims;
	world_t world;
	int64_t begin_ns, store_begin_ns;
	double us;

	world_init(&world);
	world.on_other = on_claims_msg;
	world.latency_us = 2 * USEC_PER_MSEC;
	claims_opts_defaults(&opts);
	g_strlcpy(opts.incarnation, SELF_INCARNATION, INCARNATION_SIZE);
	claims_init(&claims, &world.kernel, &opts);
	kernel_start(&world.kernel);
	world_run(&world, 10 * USEC_PER_MSEC);
	begin_ns = cpu_ns();
	store_begin_ns = world.store_ns;
	world.calls = 0;
	for (int i = 0; i < n; i++) {
		msg_t msg = {.kind = MSG_CLAIM_BEGIN, .id = {1, 1}};

		g_strlcpy(msg.u.claim.client_account, "acme", NAME_SIZE);
		g_snprintf(msg.u.claim.idem_key, IDEM_KEY_SIZE,
			   "order-%" G_GUINT64_FORMAT, ++serial);
		g_snprintf(msg.u.claim.fingerprint, HASH_SIZE, "%064d", i);
		msg.u.claim.deadline =
			kernel_now(&world.kernel) + 10 * USEC_PER_SEC;
		kernel_post(&world.kernel, world.other, claims.self, &msg);
		world_run(&world, USEC_PER_SEC / claim_rate);
	}
	world_run(&world, USEC_PER_SEC);
	us = (double)world_cpu_ns(&world, begin_ns, store_begin_ns) / 1e3;
	claims_finish(&claims);
	if (calls)
		us = (double)world.calls;
	world_finish(&world);
	return us;
}

static double claims_requests(int n)
{
	return claims_cost(n, false);
}

static double claims_calls(int rate)
{
	claim_rate = rate;
	return claims_cost(1000, true);
}

/* --- measurements -------------------------------------------------------- */

static void measure_requests(void)
{
	static const int message_counts[] = {20000, 40000, 80000};
	static const int request_counts[] = {2000, 4000, 8000};
	static const int targets[] = {10, 100, 1000};
	static const int rates[] = {10, 100, 1000};

	printf("size msg_t bytes=%zu\n", sizeof(msg_t));
	print_slope("kernel_message", "cpu_us", "message", message_counts,
		    kernel_messages, REPEATS);
	print_slope("kernel_timer", "cpu_us", "timer", message_counts,
		    kernel_timers, REPEATS);
	print_slope("request_cpu", "cpu_us", "request", request_counts,
		    request_cost, REPEATS);
	print_slope("claims_cpu", "cpu_us", "request", request_counts,
		    claims_requests, REPEATS);
	print_slope("claim_calls", "calls_per_1000_requests", "request_per_s",
		    rates, claims_calls, 1);
	route_target_count = 16;
	print_slope("route_cpu_16_targets", "cpu_us", "request", request_counts,
		    route_cost, REPEATS);
	print_slope("route_cpu_by_targets", "cpu_us_per_request", "target",
		    targets, route_by_targets, REPEATS);
}

static void measure_configuration(void)
{
	static const int accounts[] = {1000, 5000, 21000};
	static const int targets[] = {100, 1000, 12000};
	static const int items[] = {1, 10, 100};

	print_slope("account_memory", "bytes", "client_account", accounts,
		    account_bytes, 1);
	print_slope("account_change", "cpu_us_per_change", "client_account",
		    accounts, account_change, REPEATS);
	print_slope("target_memory", "bytes", "target", targets, target_bytes,
		    1);
	print_slope("target_change", "cpu_us_per_change", "target", targets,
		    target_change, REPEATS);
	print_slope("change_frame", "bytes", "changed_account", items,
		    change_bytes, 1);
}

int main(void)
{
	/* Without mmapped blocks the bytes in use can be read exactly. */
	mallopt(M_MMAP_THRESHOLD, 1 << 30);
	measure_requests();
	measure_configuration();
	return 0;
}
