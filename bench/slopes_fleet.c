/*
 * Marginal cost of a budget, settlement, bill, member or peer, measured with
 * the shipped services under the virtual clock.
 */
#include "bench/slopes_world.h"
#include "ledger/ledger.h"
#include "member/member.h"

/* --- ledger -------------------------------------------------------------- */

typedef struct bench_ledger_t {
	world_t world;
	ledger_t ledger;
	GArray *reserved; /* handle_t */
	uint64_t billed;
} bench_ledger_t;

static void on_ledger_reply(void *self, msg_t *msg)
{
	world_t *world = self;
	bench_ledger_t *bench = world->data;

	if (msg->kind == MSG_RESERVED && msg->u.reserved.result == RESERVE_OK)
		g_array_append_val(bench->reserved, msg->id);
	else if (msg->kind == MSG_BILLED)
		bench->billed++;
}

static void ledger_set_members(bench_ledger_t *bench, int members)
{
	msg_t msg = {.kind = MSG_MEMBER_CHANGED};
	member_info_t info = {.state = MEMBER_ALIVE};

	msg.u.members = member_list_new();
	for (int i = 0; i < members; i++) {
		g_snprintf(info.incarnation, INCARNATION_SIZE, "%08d", i);
		g_array_append_val(msg.u.members->members, info);
	}
	world_send(&bench->world, bench->ledger.self, &msg);
}

static void ledger_open(bench_ledger_t *bench, int budgets, int members)
{
	world_t *world = &bench->world;
	record_t record = {.kind = RECORD_BUDGET};
	msg_t lease = {.kind = MSG_LEASE_RENEWED};
	ledger_opts_t opts;
	char key[STORE_KEY_SIZE];

	world_init(world);
	world->on_other = on_ledger_reply;
	world->data = bench;
	bench->billed = 0;
	bench->reserved = g_array_new(FALSE, FALSE, sizeof(handle_t));
	ledger_opts_init(&opts, SELF_INCARNATION);
	ledger_init(&bench->ledger, &world->kernel, &opts);
	record.u.budget.budget = INT64_C(1) << 40;
	for (int i = 0; i < budgets; i++) {
		g_snprintf(key, sizeof(key), "budget/account-%06d/main", i);
		world_put(world, key, &record);
	}
	kernel_start(&world->kernel);
	world_run(world, 0);
	ledger_set_members(bench, members);
	lease.u.lease.lease = 7;
	lease.u.lease.valid_until = INT64_C(1) << 60;
	world_send(world, bench->ledger.self, &lease);
}

static void ledger_close(bench_ledger_t *bench)
{
	ledger_finish(&bench->ledger);
	world_finish(&bench->world);
	g_array_unref(bench->reserved);
}

static void post_reserve(bench_ledger_t *bench, int budget)
{
	msg_t msg = {.kind = MSG_RESERVE};

	g_snprintf(msg.u.reserve.client_account, NAME_SIZE, "account-%06d",
		   budget);
	g_strlcpy(msg.u.reserve.budget, "main", NAME_SIZE);
	msg.u.reserve.tokens = 100;
	kernel_post(&bench->world.kernel, bench->world.other,
		    bench->ledger.self, &msg);
}

static void post_bills(bench_ledger_t *bench)
{
	static uint64_t serial;

	for (guint i = 0; i < bench->reserved->len; i++) {
		msg_t msg = {.kind = MSG_BILL};

		msg.ref = g_array_index(bench->reserved, handle_t, i);
		g_snprintf(msg.u.bill.idem_key, IDEM_KEY_SIZE,
			   "01a24022-78c8-718f-bbbc-%012" G_GINT64_MODIFIER "x",
			   ++serial);
		g_snprintf(msg.u.bill.fingerprint, HASH_SIZE, "%064d", 1);
		msg.u.bill.tokens = 40;
		kernel_post(&bench->world.kernel, bench->world.other,
			    bench->ledger.self, &msg);
	}
	g_array_set_size(bench->reserved, 0);
}

/* Heap use of n budgets; the records of the in-memory store are not counted. */
static double slice_bytes(int n)
{
	size_t before = heap_bytes();
	bench_ledger_t bench;
	double bytes;

	ledger_open(&bench, n, 3);
	for (int i = 0; i < n; i++)
		post_reserve(&bench, i);
	world_run(&bench.world, 100 * USEC_PER_MSEC);
	post_bills(&bench);
	world_run(&bench.world, 2 * USEC_PER_SEC);
	g_hash_table_remove_all(bench.world.values);
	bytes = (double)(heap_bytes() - before);
	ledger_close(&bench);
	return bytes;
}

/* Processor time (us) of an idle second while n grants are held. */
static double slice_idle(int n)
{
	bench_ledger_t bench;
	int64_t begin_ns, store_begin_ns;
	double us;

	ledger_open(&bench, n, 3);
	for (int i = 0; i < n; i++)
		post_reserve(&bench, i);
	world_run(&bench.world, 20 * USEC_PER_SEC);
	begin_ns = cpu_ns();
	store_begin_ns = bench.world.store_ns;
	world_run(&bench.world, 60 * USEC_PER_SEC);
	us = (double)world_cpu_ns(&bench.world, begin_ns, store_begin_ns) /
	     1e3 / 60;
	ledger_close(&bench);
	return us;
}

/* Processor time of n requests at 1,000/s (10 each 10 ms) on 10 budgets. */
static double ledger_requests(int n)
{
	bench_ledger_t bench;
	int64_t begin_ns, store_begin_ns;
	double us;

	ledger_open(&bench, 10, 3);
	bench.world.latency_us = 2 * USEC_PER_MSEC;
	begin_ns = cpu_ns();
	store_begin_ns = bench.world.store_ns;
	for (int i = 0; i < n; i++) {
		post_reserve(&bench, i % 10);
		if (i % 10 != 9)
			continue;
		world_run(&bench.world, 10 * USEC_PER_MSEC);
		post_bills(&bench);
	}
	world_run(&bench.world, USEC_PER_SEC);
	us = (double)world_cpu_ns(&bench.world, begin_ns, store_begin_ns) / 1e3;
	ledger_close(&bench);
	return us;
}

static int fleet_size;

/* Store calls of the ledger for 1,000 requests at the given rate per second. */
static double ledger_calls(int rate)
{
	bench_ledger_t bench;
	uint64_t calls;
	double value;

	ledger_open(&bench, 10, fleet_size);
	bench.world.latency_us = 2 * USEC_PER_MSEC;
	for (int i = 0; i < 10; i++)
		post_reserve(&bench, i);
	world_run(&bench.world, USEC_PER_SEC);
	post_bills(&bench);
	world_run(&bench.world, 30 * USEC_PER_SEC);
	calls = bench.world.calls;
	for (int i = 0; i < 1000; i++) {
		post_reserve(&bench, i % 10);
		world_run(&bench.world, USEC_PER_SEC / rate);
		post_bills(&bench);
	}
	world_run(&bench.world, 30 * USEC_PER_SEC);
	value = (double)(bench.world.calls - calls);
	ledger_close(&bench);
	return value;
}

/* Store calls for one request on each of n budgets, until all are closed. */
static double cold_calls(int n)
{
	bench_ledger_t bench;
	uint64_t calls;
	double value;

	ledger_open(&bench, n, fleet_size);
	bench.world.latency_us = 2 * USEC_PER_MSEC;
	calls = bench.world.calls;
	for (int i = 0; i < n; i++) {
		post_reserve(&bench, i);
		world_run(&bench.world, 50 * USEC_PER_MSEC);
		post_bills(&bench);
	}
	world_run(&bench.world, 600 * USEC_PER_SEC);
	value = (double)(bench.world.calls - calls);
	ledger_close(&bench);
	return value;
}

/* Makes a frame that copies n bills to the buddy. */
static peer_body_t *bill_frame(int n)
{
	peer_body_t *body = peer_body_new(PEER_BILL_COPY);
	bill_t bill = {.tokens = 40, .wall_ms = INT64_C(1767225600000)};

	g_strlcpy(bill.client_account, "account-000001", NAME_SIZE);
	g_strlcpy(bill.budget, "main", NAME_SIZE);
	g_snprintf(bill.fingerprint, HASH_SIZE, "%064d", 1);
	for (int i = 0; i < n; i++) {
		bill.seq = 100000 + (uint64_t)i;
		g_snprintf(bill.idem_key, IDEM_KEY_SIZE,
			   "01a24022-78c8-718f-bbbc-%012d", i);
		g_array_append_val(body->u.bill_copy.bills, bill);
	}
	return body;
}

static double bill_bytes(int n)
{
	peer_body_t *body = bill_frame(n);
	world_t world;
	double size;

	world_init(&world);
	size = (double)peer_body_size(&world, body);
	peer_body_free(body);
	world_finish(&world);
	return size;
}

/* Processor time (us) to encode and decode a frame with n bills. */
static double bill_codec(int n)
{
	peer_body_t *body = bill_frame(n);
	peer_frame_t frame;
	world_t world;
	errmsg_t err;
	int64_t begin_ns;
	double us;

	world_init(&world);
	begin_ns = cpu_ns();
	for (int i = 0; i < 100; i++) {
		peer_body_size(&world, body);
		if (!peer_decode(world.scratch->data + PEER_FRAME_HEADER_SIZE,
				 world.scratch->len - PEER_FRAME_HEADER_SIZE,
				 &frame, &err))
			g_error("%s", err.text);
		peer_frame_clear(&frame);
	}
	us = (double)(cpu_ns() - begin_ns) / 1e5;
	peer_body_free(body);
	world_finish(&world);
	return us;
}

/* --- members ------------------------------------------------------------- */

typedef struct member_cost_t {
	double bytes;
	double idle_us; /* processor time in a second */
	double sent; /* bytes sent to peers in a second */
	double calls; /* store calls in a minute */
} member_cost_t;

static void put_members(world_t *world, int n)
{
	record_t record = {.kind = RECORD_MEMBER};
	record_t alive = {.kind = RECORD_ALIVE};
	char key[STORE_KEY_SIZE];

	for (int i = 0; i < n; i++) {
		record_member_t *member = &record.u.member;

		g_snprintf(member->incarnation, INCARNATION_SIZE,
			   "01a24022-78c8-718f-bbbc-%012d", i);
		g_snprintf(member->name, NAME_SIZE, "router-%04d", i);
		g_snprintf(member->availability_zone, NAME_SIZE, "az%d", i % 7);
		g_snprintf(member->host, HOST_SIZE, "10.1.%d.%d", i / 256,
			   i % 256);
		member->peer_port = 9000;
		member->admin_port = 9001;
		g_strlcpy(alive.u.alive.incarnation, member->incarnation,
			  INCARNATION_SIZE);
		g_snprintf(key, sizeof(key), "member/%s", member->incarnation);
		world_put(world, key, &record);
		g_snprintf(key, sizeof(key), "alive/%s", member->incarnation);
		world_put(world, key, &alive);
	}
}

/*
 * Posts one heartbeat of each connected peer.  A member sends its own record
 * to its peers every second.
 */
static void post_heartbeats(world_t *world, svc_t member, int peers,
			    uint64_t counter)
{
	for (int i = 0; i < peers; i++) {
		msg_t msg = {.kind = MSG_PEER_RECEIVED};
		member_info_t *self;

		msg.u.peer.body = peer_body_new(PEER_HEARTBEAT);
		self = &msg.u.peer.body->u.heartbeat.self;
		g_snprintf(self->incarnation, INCARNATION_SIZE,
			   "01a24022-78c8-718f-bbbc-%012d", i);
		g_snprintf(self->name, NAME_SIZE, "router-%04d", i);
		g_snprintf(self->availability_zone, NAME_SIZE, "az%d", i % 7);
		g_snprintf(self->host, HOST_SIZE, "10.1.0.%d", i % 256);
		self->peer_port = 9000;
		self->heartbeat = counter;
		g_strlcpy(msg.u.peer.incarnation, self->incarnation,
			  INCARNATION_SIZE);
		kernel_post(&world->kernel, world->peer, member, &msg);
	}
}

static member_cost_t member_cost(int members, int peers)
{
	member_cost_t cost;
	member_opts_t opts = {.lease_ttl_s = 10};
	world_t world;
	member_t member;
	size_t before;
	int64_t begin_ns, store_begin_ns;

	world_init(&world);
	world.accept_connections = peers > 0;
	put_members(&world, members);
	g_strlcpy(opts.self.incarnation, "01a24022-78c8-718f-bbbc-ffffffffffff",
		  INCARNATION_SIZE);
	g_strlcpy(opts.self.name, "self", NAME_SIZE);
	g_strlcpy(opts.self.availability_zone, "az1", NAME_SIZE);
	g_strlcpy(opts.self.host, "10.2.0.1", HOST_SIZE);
	opts.self.peer_port = 9000;
	before = heap_bytes();
	member_init(&member, &world.kernel, &opts);
	kernel_start(&world.kernel);
	world_run(&world, 10 * USEC_PER_SEC);
	cost.bytes = (double)(heap_bytes() - before);
	begin_ns = cpu_ns();
	store_begin_ns = world.store_ns;
	world.peer_bytes = 0;
	world.calls = 0;
	for (int s = 0; s < 60; s++) {
		post_heartbeats(&world, member.svc, peers, 100 + (uint64_t)s);
		world_run(&world, USEC_PER_SEC);
	}
	cost.idle_us = (double)world_cpu_ns(&world, begin_ns, store_begin_ns) /
		       1e3 / 60;
	cost.sent = (double)world.peer_bytes / 60;
	cost.calls = (double)world.calls;
	member_finish(&member);
	world_finish(&world);
	return cost;
}

static double member_bytes(int n)
{
	return member_cost(n, 0).bytes;
}

static double member_idle(int n)
{
	return member_cost(n, 0).idle_us;
}

static double member_store(int n)
{
	return member_cost(n, 0).calls;
}

static double peer_sent(int n)
{
	return member_cost(n, n).sent;
}

static double peer_idle(int n)
{
	return member_cost(n, n).idle_us;
}

/* Bytes sent to 8 peers, in fleets up to the size expected in two years. */
static double large_fleet_sent(int n)
{
	return member_cost(n, 8).sent;
}

static void measure_budgets(void)
{
	static const int grants[] = {100, 400, 1600};
	static const int rates[] = {10, 100, 1000};
	static const int bills[] = {1, 10, 90};
	static const int request_counts[] = {2000, 4000, 8000};

	print_slope("ledger_cpu", "cpu_us", "request", request_counts,
		    ledger_requests, REPEATS);
	print_slope("budget_memory", "bytes", "budget_with_grant", grants,
		    slice_bytes, 1);
	print_slope("budget_idle", "cpu_us_per_s", "budget_with_grant", grants,
		    slice_idle, REPEATS);
	fleet_size = 7;
	print_slope("settle_calls_7_members", "calls_per_1000_requests",
		    "request_per_s", rates, ledger_calls, 1);
	fleet_size = 1700;
	print_slope("settle_calls_1700_members", "calls_per_1000_requests",
		    "request_per_s", rates, ledger_calls, 1);
	print_slope("cold_budget_calls", "calls", "request_on_an_unused_budget",
		    grants, cold_calls, 1);
	print_slope("bill_copy", "bytes", "bill", bills, bill_bytes, 1);
	print_slope("bill_copy_codec", "cpu_us", "bill", bills, bill_codec,
		    REPEATS);
}

static void measure_members(void)
{
	static const int fleet_sizes[] = {100, 400, 1700};
	static const int peers[] = {2, 4, 8};

	print_slope("member_memory", "bytes", "member", fleet_sizes,
		    member_bytes, 1);
	print_slope("member_idle", "cpu_us_per_s", "member", fleet_sizes,
		    member_idle, REPEATS);
	print_slope("member_store_calls", "calls_per_minute", "member",
		    fleet_sizes, member_store, 1);
	print_slope("peer_heartbeat", "bytes_per_s_sent", "peer", peers,
		    peer_sent, 1);
	print_slope("peer_idle", "cpu_us_per_s", "peer", peers, peer_idle,
		    REPEATS);
	print_slope("fleet_heartbeat", "bytes_per_s_sent", "member",
		    fleet_sizes, large_fleet_sent, 1);
}

int main(void)
{
	mallopt(M_MMAP_THRESHOLD, 1 << 30);
	measure_budgets();
	measure_members();
	return 0;
}
