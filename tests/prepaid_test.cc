// Guards the promise that no account spends more than it has paid for, over
// lost and late answers of the store, kills, planned stops and cuts between
// instances, and that a refusal for want of tokens is true.
#include "prepaid/account.h"

#include <cstring>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr const char *ACCOUNT = "a1";
constexpr const char *KEY = "prepaid/a1";
constexpr int64_t STEP_US = 5000;
constexpr int LARGE = 20; // instances of a fleet with homes
constexpr unsigned LARGE_SEEDS = 12;

struct item_t {
	int64_t revision = 0;
	record_t record = {};
};

struct late_write_t {
	int64_t due;
	int64_t expect;
	record_t record;
};

// The store of the whole fleet, for one account.
struct cloud_t {
	item_t item;
	int64_t revision = 10;
	std::vector<late_write_t> late;
	double lost = 0.0; // share of writes that are not answered
	double delayed = 0.0; // share of these that take effect later
	bool down = false;
	int writes = 0;

	~cloud_t()
	{
		record_clear(&item.record);
		for (late_write_t &write : late)
			record_clear(&write.record);
	}
	bool write(int64_t expect, const record_t *record)
	{
		if (expect != item.revision)
			return false;
		record_clear(&item.record);
		record_copy(&item.record, record);
		item.revision = ++revision;
		return true;
	}
	void run_late(int64_t now)
	{
		for (size_t i = 0; i < late.size();) {
			if (late[i].due > now) {
				i++;
				continue;
			}
			write(late[i].expect, &late[i].record);
			record_clear(&late[i].record);
			late.erase(late.begin() + (long)i);
		}
	}
};

struct world_t;

struct held_t {
	handle_t reservation;
	int64_t tokens;
	int64_t until;
};

struct node_t {
	world_t *world;
	int index;
	kernel_t kernel;
	prepaid_t prepaid;
	svc_t store, peer, client, fleet;
	bool stopping = false;
	bool stopped = false;
	std::vector<held_t> held;
	std::map<uint32_t, int64_t> asked; // request number -> tokens
	uint32_t next = 0; // 0: not started
};

struct world_t {
	std::mt19937 random;
	cloud_t cloud;
	std::vector<std::unique_ptr<node_t>> nodes;
	std::vector<bool> cut; // from the store and from peers
	int64_t now = 0;
	int64_t prepaid;
	int64_t spent = 0; // what targets have counted
	int refused_spent = 0;
	int refused_other = 0;
	int granted = 0;
	int incarnations = 0;
	int messages = 0; // between instances

	bool chance(double p)
	{
		return std::uniform_real_distribution<>(0, 1)(random) < p;
	}
	int64_t number(int64_t from, int64_t to)
	{
		return std::uniform_int_distribution<int64_t>(from, to)(random);
	}
};

void reply(node_t *node, const msg_t *to, store_result_t *result)
{
	msg_t msg = {};

	msg.kind = MSG_STORE_RESULT;
	msg.ref = to->id;
	msg.u.store_result = result;
	kernel_post(&node->kernel, node->store, to->from, &msg);
}

void store_get(node_t *node, msg_t *msg)
{
	cloud_t &cloud = node->world->cloud;
	store_result_t *result;

	if (cloud.down || node->world->cut[(size_t)node->index]) {
		reply(node, msg, store_result_new(STORE_UNAVAILABLE));
		return;
	}
	result = store_result_new(STORE_OK);
	store_result_add(result, 0, KEY, cloud.item.revision,
			 &cloud.item.record);
	reply(node, msg, result);
}

void store_txn(node_t *node, msg_t *msg)
{
	world_t *world = node->world;
	cloud_t &cloud = world->cloud;
	const store_op_t *op =
		&g_array_index(msg->u.store_txn->ops, store_op_t, 0);
	store_result_t *result;
	bool ok;

	cloud.writes++;
	if (cloud.down || world->cut[(size_t)node->index]) {
		reply(node, msg, store_result_new(STORE_UNAVAILABLE));
		return;
	}
	if (world->chance(cloud.lost)) {
		if (world->chance(cloud.delayed)) {
			late_write_t write = {
				world->now + world->number(100000, 3000000),
				op->expect,
				{}};
			record_copy(&write.record, &op->record);
			cloud.late.push_back(write);
		} else {
			cloud.write(op->expect, &op->record);
		}
		reply(node, msg, store_result_new(STORE_UNKNOWN));
		return;
	}
	ok = cloud.write(op->expect, &op->record);
	result = store_result_new(STORE_OK);
	result->revision = cloud.item.revision;
	g_array_append_val(result->committed, ok);
	if (!ok)
		store_result_add(result, 0, KEY, cloud.item.revision,
				 &cloud.item.record);
	reply(node, msg, result);
}

void tell_store(node_t *node, store_status_t status)
{
	msg_t msg = {};

	msg.kind = MSG_STORE_EVENT;
	msg.u.store_result = store_result_new(status);
	kernel_post(&node->kernel, node->store, node->prepaid.svc, &msg);
}

void store_recv(void *self, msg_t *msg)
{
	if (msg->kind == MSG_STORE_GET)
		store_get(static_cast<node_t *>(self), msg);
	else if (msg->kind == MSG_STORE_TXN)
		store_txn(static_cast<node_t *>(self), msg);
	else if (msg->kind == MSG_STORE_WATCH)
		tell_store(static_cast<node_t *>(self), STORE_OK);
}

void deliver(node_t *to, const node_t *from, const peer_body_t *body)
{
	msg_t msg = {};

	msg.kind = MSG_PEER_RECEIVED;
	msg.u.peer.body = peer_body_new(body->kind);
	*msg.u.peer.body = *body; // these kinds hold no arrays
	g_strlcpy(msg.u.peer.incarnation, from->prepaid.opts.incarnation,
		  sizeof(msg.u.peer.incarnation));
	kernel_post(&to->kernel, to->peer, to->prepaid.svc, &msg);
}

void peer_recv(void *self, msg_t *msg)
{
	node_t *node = static_cast<node_t *>(self);
	world_t *world = node->world;

	if (msg->kind != MSG_PEER_SEND || world->cut[(size_t)node->index])
		return;
	for (auto &other : world->nodes) {
		if (other.get() == node || world->cut[(size_t)other->index])
			continue;
		if (msg->u.peer.incarnation[0] != '\0' &&
		    strcmp(msg->u.peer.incarnation,
			   other->prepaid.opts.incarnation) != 0)
			continue;
		world->messages++;
		deliver(other.get(), node, msg->u.peer.body);
	}
}

void client_recv(void *self, msg_t *msg)
{
	node_t *node = static_cast<node_t *>(self);
	world_t *world = node->world;
	int64_t tokens;

	if (msg->kind != MSG_RESERVED)
		return;
	tokens = node->asked[msg->ref.index];
	switch (msg->u.reserved.result) {
	case RESERVE_OK:
		world->granted++;
		node->held.push_back({msg->id, tokens,
				      world->now + world->number(0, 2000000)});
		break;
	case RESERVE_SPENT:
		world->refused_spent++;
		break;
	case RESERVE_UNAVAILABLE:
		world->refused_other++;
		break;
	}
}

void fleet_recv(void *, msg_t *)
{
}

void gateway_recv(void *self, msg_t *msg)
{
	if (msg->kind == MSG_STOPPED)
		static_cast<node_t *>(self)->stopped = true;
}

void post(node_t *node, msg_t *msg)
{
	kernel_post(&node->kernel, node->client, node->prepaid.svc, msg);
}

void send_conf(node_t *node)
{
	fleet_conf_t *conf = fleet_conf_new();
	fleet_account_t account = {};
	msg_t msg = {};
	msg_t size = {};

	g_strlcpy(account.name, ACCOUNT, sizeof(account.name));
	account.prepaid = node->world->prepaid;
	g_array_append_val(conf->accounts, account);
	msg.kind = MSG_FLEET_CONF;
	msg.u.fleet_conf = conf;
	post(node, &msg);
	size.kind = MSG_FLEET_SIZE;
	size.u.fleet_size.instances = (uint32_t)node->world->nodes.size();
	post(node, &size);
}

void tell_peer(node_t *to, const node_t *about, msg_kind_t kind)
{
	msg_t msg = {};

	msg.kind = kind;
	g_strlcpy(msg.u.peer_addr.incarnation, about->prepaid.opts.incarnation,
		  sizeof(msg.u.peer_addr.incarnation));
	kernel_post(&to->kernel, to->peer, to->prepaid.svc, &msg);
}

void start(node_t *node)
{
	world_t *world = node->world;
	prepaid_opts_t opts = {};
	int number = ++world->incarnations;

	kernel_init(&node->kernel, CLOCK_VIRTUAL, (uint64_t)number);
	kernel_run_until(&node->kernel, world->now);
	g_snprintf(opts.node, sizeof(opts.node), "node-%d", node->index);
	g_snprintf(opts.incarnation, sizeof(opts.incarnation), "run-%d",
		   number);
	node->store = kernel_register(&node->kernel, "store", store_recv, node);
	kernel_register(&node->kernel, "replica", store_recv, node);
	node->peer = kernel_register(&node->kernel, "peer", peer_recv, node);
	node->fleet = kernel_register(&node->kernel, "fleet", fleet_recv, node);
	node->client =
		kernel_register(&node->kernel, "proxy", client_recv, node);
	kernel_register(&node->kernel, "gateway", gateway_recv, node);
	prepaid_init(&node->prepaid, &node->kernel, &opts);
	node->stopping = false;
	node->stopped = false;
	kernel_start(&node->kernel);
	send_conf(node);
	for (auto &other : world->nodes) {
		if (other.get() == node || other->next == 0)
			continue;
		tell_peer(node, other.get(), MSG_PEER_UP);
		tell_peer(other.get(), node, MSG_PEER_UP);
	}
	node->next = 1;
}

// A process ends: what it holds has been spent at its targets, at most.
void finish(node_t *node)
{
	for (const held_t &held : node->held)
		node->world->spent += held.tokens;
	node->held.clear();
	node->asked.clear();
	for (auto &other : node->world->nodes)
		if (other.get() != node && other->next != 0)
			tell_peer(other.get(), node, MSG_PEER_DOWN);
	node->next = 0;
	prepaid_finish(&node->prepaid);
	kernel_finish(&node->kernel);
}

const prepaid_account_t *account_of(const node_t *node)
{
	return static_cast<prepaid_account_t *>(
		g_hash_table_lookup(node->prepaid.by_name, ACCOUNT));
}

void reserve(node_t *node, int64_t tokens)
{
	msg_t msg = {};

	msg.kind = MSG_RESERVE;
	msg.id.index = node->next++;
	msg.id.gen = 1;
	node->asked[msg.id.index] = tokens;
	g_strlcpy(msg.u.reserve.client_account, ACCOUNT,
		  sizeof(msg.u.reserve.client_account));
	msg.u.reserve.tokens = tokens;
	post(node, &msg);
}

void settle(node_t *node, bool all)
{
	world_t *world = node->world;

	for (size_t i = 0; i < node->held.size();) {
		held_t held = node->held[i];
		msg_t msg = {};

		if (!all && held.until > world->now) {
			i++;
			continue;
		}
		msg.kind = MSG_SPEND;
		msg.ref = held.reservation;
		msg.u.spend.tokens = world->number(0, held.tokens);
		world->spent += msg.u.spend.tokens;
		post(node, &msg);
		node->held.erase(node->held.begin() + (long)i);
	}
}

void tick(world_t *world)
{
	world->now += STEP_US;
	world->cloud.run_late(world->now);
	for (auto &node : world->nodes)
		kernel_run_until(&node->kernel, world->now);
	// Messages between instances arrive within the same step.
	for (auto &node : world->nodes)
		kernel_run_until(&node->kernel, world->now);
}

void begin(world_t *world, int nodes, int64_t prepaid)
{
	world->prepaid = prepaid;
	world->cut.assign((size_t)nodes, false);
	for (int i = 0; i < nodes; i++) {
		world->nodes.push_back(std::make_unique<node_t>());
		world->nodes.back()->world = world;
		world->nodes.back()->index = i;
	}
	for (auto &node : world->nodes)
		start(node.get());
	tick(world);
}

void end(world_t *world)
{
	for (auto &node : world->nodes)
		finish(node.get());
}

void stop(node_t *node)
{
	msg_t msg = {};

	msg.kind = MSG_STOP;
	post(node, &msg);
	node->stopping = true;
}

void disturb(world_t *world, node_t *node)
{
	if (world->chance(0.004)) {
		finish(node);
		start(node);
	} else if (!node->stopping && world->chance(0.004)) {
		stop(node);
	} else if (node->stopping && (node->stopped || world->chance(0.01))) {
		finish(node);
		start(node);
	}
	if (world->chance(0.003))
		world->cut[(size_t)node->index] =
			!world->cut[(size_t)node->index];
}

// A run with faults of every kind.
void run_schedule(unsigned seed, int nodes, int steps, int64_t prepaid)
{
	world_t world;

	world.random.seed(seed);
	begin(&world, nodes, prepaid);
	for (int i = 0; i < steps; i++) {
		if (world.chance(0.002))
			world.cloud.lost = world.chance(0.5) ? 0.4 : 0.0;
		if (world.chance(0.002))
			world.cloud.delayed = world.chance(0.5) ? 0.7 : 0.0;
		if (world.chance(0.001))
			world.cloud.down = !world.cloud.down;
		for (auto &node : world.nodes) {
			disturb(&world, node.get());
			if (world.chance(0.1))
				reserve(node.get(), world.number(1, 1500));
			settle(node.get(), false);
		}
		tick(&world);
	}
	end(&world);
	EXPECT_LE(world.spent, world.prepaid) << "seed " << seed;
	EXPECT_GT(world.granted, 0) << "seed " << seed;
}

TEST(Prepaid, NeverSpendsMoreThanWasPaidForUnderFaults)
{
	for (unsigned seed = 1; seed <= 60; seed++)
		run_schedule(seed, 4, 3000, 100000);
}

// The same with a home for the account, from which the others are refilled.
TEST(Prepaid, NeverSpendsMoreThanWasPaidForWithAHome)
{
	for (unsigned seed = 1; seed <= LARGE_SEEDS; seed++)
		run_schedule(seed, LARGE, 1200, 200000);
}

// Guards against a call to the store for each request: parts of a large
// fleet's instances are small.
TEST(Prepaid, LargeFleetTakesFromTheStoreThroughItsHome)
{
	world_t world;

	world.random.seed(11);
	begin(&world, LARGE, 4000000);
	for (int i = 0; i < 2000; i++) {
		node_t *node =
			world.nodes[(size_t)world.number(0, LARGE - 1)].get();

		if (i % 2 == 0)
			reserve(node, 1000);
		tick(&world);
		settle(node, true);
	}
	EXPECT_EQ(world.granted, 1000);
	EXPECT_GT(world.messages, 0);
	/* 10 s, and the home takes more every 2 s or so. */
	EXPECT_LE(world.cloud.writes, 50);
	end(&world);
}

// Guards against requests that fail with the home of their account.
TEST(Prepaid, StoreIsAskedWhenTheHomeDoesNotAnswer)
{
	world_t world;
	std::string home;

	world.random.seed(12);
	begin(&world, LARGE, 4000000);
	reserve(world.nodes[0].get(), 1000);
	reserve(world.nodes[1].get(), 1000);
	for (int i = 0; i < 20; i++)
		tick(&world);
	ASSERT_EQ(world.granted, 2);
	for (auto &node : world.nodes) {
		const prepaid_account_t *account = account_of(node.get());

		if (account != nullptr && account->home[0] != '\0')
			home = account->home;
	}
	ASSERT_FALSE(home.empty());
	for (auto &node : world.nodes)
		if (home == node->prepaid.opts.incarnation)
			world.cut[(size_t)node->index] = true;
	for (auto &node : world.nodes)
		if (!world.cut[(size_t)node->index])
			reserve(node.get(), 30000);
	for (int i = 0; i < 120; i++)
		tick(&world);
	EXPECT_EQ(world.granted, 2 + LARGE - 1);
	end(&world);
}

// Guards against a refusal as spent while instances of a large fleet hold
// tokens, and against refusals that do not say that the account is spent.
TEST(Prepaid, LargeFleetSpendsAlmostAllOfAnAccount)
{
	world_t world;

	world.random.seed(13);
	begin(&world, LARGE, 400000);
	for (int i = 0; i < 12000; i++) {
		node_t *node =
			world.nodes[(size_t)world.number(0, LARGE - 1)].get();
		int64_t before = world.spent;

		if (i % 2 == 0)
			reserve(node, 200);
		tick(&world);
		settle(node, true);
		if (world.refused_spent > 0) {
			EXPECT_GE(before, 388000);
			break;
		}
	}
	EXPECT_GT(world.refused_spent, 0);
	EXPECT_EQ(world.refused_other, 0);
	EXPECT_LE(world.spent, world.prepaid);
	end(&world);
}

// Guards against peers that each take from the store for one of them that
// found too little: one request of it became six calls for a few tokens.
TEST(Prepaid, PeersOfALargeFleetTakeNothingForASlice)
{
	world_t world;
	int writes;

	world.random.seed(14);
	begin(&world, LARGE, 4000000);
	for (auto &node : world.nodes)
		reserve(node.get(), 1000);
	for (int i = 0; i < 20; i++)
		tick(&world);
	ASSERT_EQ(world.granted, LARGE);
	writes = world.cloud.writes;
	for (auto &to : world.nodes) {
		peer_body_t body = {};

		body.kind = PEER_SLICE_REQUEST;
		g_strlcpy(body.u.slice.client_account, ACCOUNT,
			  sizeof(body.u.slice.client_account));
		body.u.slice.tokens = 20000;
		deliver(to.get(), world.nodes[0].get(), &body);
	}
	for (int i = 0; i < 20; i++)
		tick(&world);
	EXPECT_LE(world.cloud.writes, writes + 1);
	end(&world);
}

// Guards against parts that are too small in an account's first seconds: a
// rate that is smoothed from zero says too little.
TEST(Account, FirstSecondsOfDemandCountInFull)
{
	prepaid_account_t account = {};
	fleet_share_t share = {1, 1};
	int64_t now = USEC_PER_SEC;

	account.prepaid = 1000000000;
	account.most = -1;
	for (int i = 0; i < 10; i++, now += 100000)
		account_note_demand(&account, 100, now);
	/* 1,000 tokens a second, for 9 s. */
	EXPECT_GE(account_headroom(&account, &share, now), 8000);
	EXPECT_LE(account_headroom(&account, &share, now), 10000);
	/* And little is held for an account that is not used. */
	EXPECT_LE(account_headroom(&account, &share, now + 60 * USEC_PER_SEC),
		  1000);
}

// Guards against tokens that lie idle at many instances of a large fleet: they
// are lost if all lose power, and are returned to the home before that.
TEST(Prepaid, IdleTokensGoBackToTheHome)
{
	world_t world;
	int64_t idle = 0;

	world.random.seed(16);
	begin(&world, LARGE, 4000000);
	for (int i = 0; i < 400; i++) {
		for (auto &node : world.nodes)
			if (i % 20 == 0)
				reserve(node.get(), 1000);
		tick(&world);
		for (auto &node : world.nodes)
			settle(node.get(), true);
	}
	for (int i = 0; i < 6000; i++)
		tick(&world);
	for (auto &node : world.nodes) {
		const prepaid_account_t *account = account_of(node.get());

		if (account->home[0] != '\0')
			idle += account_available(account);
	}
	/* At most one usual request at each. */
	EXPECT_LE(idle, (LARGE - 1) * 1000);
	end(&world);
}

// Guards against instances that go to the store by themselves because their
// home is turned away: the next one is asked.
TEST(Prepaid, HomeThatTheStoreTurnsAwayIsReplaced)
{
	world_t world;
	int writes;

	world.random.seed(15);
	begin(&world, LARGE, 4000000);
	for (auto &node : world.nodes)
		reserve(node.get(), 1000);
	for (int i = 0; i < 20; i++)
		tick(&world);
	for (auto &node : world.nodes) {
		const prepaid_account_t *account = account_of(node.get());

		if (account->home[0] == '\0')
			tell_store(node.get(), STORE_UNAVAILABLE);
	}
	tick(&world);
	world.granted = 0;
	writes = world.cloud.writes;
	for (int i = 0; i < 400; i++) {
		if (i % 2 == 0)
			reserve(world.nodes[(size_t)world.number(0, LARGE - 1)]
					.get(),
				5000);
		tick(&world);
		settle(world.nodes[0].get(), true);
	}
	EXPECT_EQ(world.granted, 200);
	EXPECT_LE(world.cloud.writes, writes + 20);
	/* Its own requests go to the next home as well. */
	for (auto &node : world.nodes)
		if (!node->prepaid.store_up)
			reserve(node.get(), 500000);
	for (int i = 0; i < 20; i++)
		tick(&world);
	EXPECT_EQ(world.granted, 201);
	end(&world);
}

// Guards against reservations from a part whose return was written but not
// answered: the write may still take effect.
TEST(Prepaid, PartIsNotUsedOnceItsReturnWasSent)
{
	world_t world;

	world.random.seed(1);
	begin(&world, 1, 100000);
	for (int i = 0; i < 200; i++) {
		reserve(world.nodes[0].get(), 500);
		tick(&world);
		settle(world.nodes[0].get(), true);
	}
	world.cloud.lost = 1.0;
	world.cloud.delayed = 1.0;
	stop(world.nodes[0].get());
	tick(&world);
	world.granted = 0;
	reserve(world.nodes[0].get(), 10);
	for (int i = 0; i < 200; i++)
		tick(&world);
	EXPECT_EQ(world.granted, 0);
	end(&world);
}

// Guards against a refusal that comes late although nothing can change it.
TEST(Prepaid, RefusedAtOnceWithoutStoreAndPeers)
{
	world_t world;

	world.random.seed(6);
	begin(&world, 1, 100000);
	tell_store(world.nodes[0].get(), STORE_UNAVAILABLE);
	tick(&world);
	reserve(world.nodes[0].get(), 900);
	tick(&world);
	EXPECT_EQ(world.refused_other, 1);
	end(&world);
}

// Guards against a refusal by a record that was read long ago: a part that
// was returned meanwhile can pay for the request.
TEST(Prepaid, RecordIsReadAgainBeforeARefusalByIt)
{
	world_t world;
	record_t record = {};

	world.random.seed(5);
	begin(&world, 1, 100000);
	/* Another instance has taken most, and returns it unseen. */
	record.kind = RECORD_ALLOCATION;
	record.u.allocation = allocation_new();
	record.u.allocation->closed = 99000;
	world.cloud.write(0, &record);
	for (int i = 0; i < 100; i++) {
		if (i % 50 == 0)
			reserve(world.nodes[0].get(), 900);
		tick(&world);
	}
	ASSERT_EQ(world.granted, 1);
	ASSERT_EQ(world.refused_spent, 1);
	record_clear(&record);
	record_copy(&record, &world.cloud.item.record);
	record.u.allocation->closed -= 50000;
	world.cloud.write(world.cloud.item.revision, &record);
	record_clear(&record);
	for (int i = 0; i < 600; i++)
		tick(&world);
	reserve(world.nodes[0].get(), 900);
	for (int i = 0; i < 100; i++)
		tick(&world);
	EXPECT_EQ(world.granted, 2);
	end(&world);
}

// Guards against a storm of refused calls: an instance that the store turns
// away must not ask again for each account and request.
TEST(Prepaid, StoreThatTurnsCallsAwayIsNotAskedForEachRequest)
{
	world_t world;

	world.random.seed(4);
	begin(&world, 1, 1000000);
	world.cloud.down = true;
	world.cloud.writes = 0;
	tell_store(world.nodes[0].get(), STORE_UNAVAILABLE);
	for (int i = 0; i < 400; i++) {
		reserve(world.nodes[0].get(), 5000);
		tick(&world);
	}
	EXPECT_EQ(world.cloud.writes, 0);
	EXPECT_EQ(world.granted, 0);
	/* Its return is told, and nothing else is waited for. */
	world.cloud.down = false;
	tell_store(world.nodes[0].get(), STORE_OK);
	reserve(world.nodes[0].get(), 5000);
	for (int i = 0; i < 10; i++)
		tick(&world);
	EXPECT_GE(world.granted, 1);
	end(&world);
}

// Guards against a refusal as spent while the account has enough.
TEST(Prepaid, SpendsAlmostAllOfAnAccountAcrossInstances)
{
	world_t world;

	world.random.seed(2);
	begin(&world, 4, 100000);
	for (int i = 0; i < 6000; i++) {
		node_t *node = world.nodes[(size_t)world.number(0, 3)].get();
		int64_t before = world.spent;

		if (i % 4 == 0)
			reserve(node, 200);
		tick(&world);
		settle(node, true);
		if (world.refused_spent > 0) {
			EXPECT_GE(before, 97000);
			break;
		}
	}
	EXPECT_GT(world.refused_spent, 0);
	EXPECT_LE(world.spent, world.prepaid);
	end(&world);
}

// Guards against refusals while the store is away and peers hold tokens.
TEST(Prepaid, PeersHandOverTokensWhileTheStoreIsDown)
{
	world_t world;

	world.random.seed(3);
	begin(&world, 3, 1000000);
	for (int i = 0; i < 400; i++) {
		reserve(world.nodes[0].get(), 1000);
		tick(&world);
		settle(world.nodes[0].get(), true);
	}
	world.cloud.down = true;
	world.granted = 0;
	reserve(world.nodes[1].get(), 1000);
	for (int i = 0; i < 100; i++)
		tick(&world);
	EXPECT_EQ(world.granted, 1);
	EXPECT_EQ(world.refused_other, 0);
	end(&world);
}

} // namespace
