// Tests of "prepaid": no account spends more than it has paid for, despite
// lost and delayed store writes, crashes, planned stops and partitions, and a
// request is refused as spent only if the account is.
#include "prepaid/account.h"

#include <algorithm>
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
constexpr int START_STEPS = 80;
constexpr int LARGE_FLEET = 20; // instances, with homes for accounts
constexpr unsigned LARGE_FLEET_SEEDS = 12;

struct stored_record_t {
	int64_t revision = 0;
	record_t record = {};
};

struct delayed_write_t {
	int64_t due;
	int64_t expect;
	record_t record;
};

// The store shared by all instances, with the record of one account.
struct fake_store_t {
	stored_record_t stored;
	int64_t revision = 10;
	std::vector<delayed_write_t> delayed_writes;
	double unanswered_share = 0.0; // share of writes without a result
	double delayed_share = 0.0; // share of unanswered writes applied later
	bool down = false; // instances that start then hear nothing
	int writes = 0;
	int64_t era = 1;
	stored_record_t copy; // what a restore brings back
	int64_t copied_revision = 10;

	int64_t revision_now() const
	{
		return revision_make(era, revision);
	}
	void make_copy()
	{
		record_clear(&copy.record);
		record_copy(&copy.record, &stored.record);
		copy.revision = stored.revision;
		copied_revision = revision;
	}
	// Revisions go back and are given out again.
	void restore()
	{
		record_clear(&stored.record);
		record_copy(&stored.record, &copy.record);
		stored.revision = copy.revision;
		revision = copied_revision;
		era++;
		restores++;
	}
	int restores = 0;

	~fake_store_t()
	{
		record_clear(&stored.record);
		record_clear(&copy.record);
		for (delayed_write_t &write : delayed_writes)
			record_clear(&write.record);
	}
	// The store itself compares the numbers only.
	bool write(int64_t expect, const record_t *record)
	{
		if (revision_number(expect) != stored.revision)
			return false;
		record_clear(&stored.record);
		record_copy(&stored.record, record);
		stored.revision = ++revision;
		return true;
	}
	void apply_delayed(int64_t now)
	{
		for (size_t i = 0; i < delayed_writes.size();) {
			if (delayed_writes[i].due > now) {
				i++;
				continue;
			}
			write(delayed_writes[i].expect,
			      &delayed_writes[i].record);
			record_clear(&delayed_writes[i].record);
			delayed_writes.erase(delayed_writes.begin() + (long)i);
		}
	}
};

struct cluster_t;

struct held_reservation_t {
	handle_t reservation;
	int64_t tokens;
	int64_t until;
};

struct node_t {
	cluster_t *cluster;
	int index;
	kernel_t kernel;
	prepaid_t prepaid;
	svc_t store, peer, client, fleet;
	bool stopping = false;
	bool stopped = false;
	std::vector<held_reservation_t> held;
	std::map<uint32_t, int64_t> requested; // request number -> tokens
	uint32_t next_request = 0; // 0: not started
};

struct cluster_t {
	std::mt19937 random;
	fake_store_t store;
	std::vector<std::unique_ptr<node_t>> nodes;
	std::vector<bool> partitioned; // from the store and all peers
	int64_t now = 0;
	int zones = 1;
	int cut_zone = -1; // without connections to the other zones
	int64_t prepaid;
	int64_t spent = 0; // tokens counted by the targets
	int refused_spent = 0;
	int refused_unavailable = 0;
	int granted = 0;
	int incarnations = 0;
	int messages = 0; // between instances
	guint most_holdings = 0; // in one message
	int pulls_to_lose = 0; // requests for holdings that do not arrive
	uint32_t retry_after_ms = 0; // of the last refusal

	bool random_bool(double p)
	{
		return std::uniform_real_distribution<>(0, 1)(random) < p;
	}
	int zone_of(const node_t *node) const
	{
		return node->index % zones;
	}
	bool is_connected(const node_t *a, const node_t *b) const
	{
		return (zone_of(a) == cut_zone) == (zone_of(b) == cut_zone);
	}
	int64_t random_int(int64_t from, int64_t to)
	{
		return std::uniform_int_distribution<int64_t>(from, to)(random);
	}
};

void post_store_result(node_t *node, const msg_t *to, store_result_t *result)
{
	msg_t msg = {};

	msg.kind = MSG_STORE_RESULT;
	msg.ref = to->id;
	msg.u.store_result = result;
	kernel_post(&node->kernel, node->store, to->from, &msg);
}

void store_get(node_t *node, msg_t *msg)
{
	fake_store_t &store = node->cluster->store;
	store_result_t *result;

	if (store.down || node->cluster->partitioned[(size_t)node->index]) {
		post_store_result(node, msg,
				  store_result_new(STORE_UNAVAILABLE));
		return;
	}
	result = store_result_new(STORE_OK);
	store_result_add(result, 0, KEY,
			 revision_make(store.era, store.stored.revision),
			 &store.stored.record);
	post_store_result(node, msg, result);
}

void store_txn(node_t *node, msg_t *msg)
{
	cluster_t *cluster = node->cluster;
	fake_store_t &store = cluster->store;
	const store_op_t *op =
		&g_array_index(msg->u.store_txn->ops, store_op_t, 0);
	store_result_t *result;
	bool ok;

	store.writes++;
	if (store.down || cluster->partitioned[(size_t)node->index]) {
		post_store_result(node, msg,
				  store_result_new(STORE_UNAVAILABLE));
		return;
	}
	if (cluster->random_bool(store.unanswered_share)) {
		if (cluster->random_bool(store.delayed_share)) {
			delayed_write_t write = {
				cluster->now +
					cluster->random_int(100000, 3000000),
				op->expect,
				{}};
			record_copy(&write.record, &op->record);
			store.delayed_writes.push_back(write);
		} else {
			store.write(op->expect, &op->record);
		}
		post_store_result(node, msg, store_result_new(STORE_UNKNOWN));
		return;
	}
	ok = store.write(op->expect, &op->record);
	// As the store service reports a write that is based on a lost
	// revision.
	if (ok && revision_era(op->expect) < store.era) {
		post_store_result(node, msg, store_result_new(STORE_UNKNOWN));
		return;
	}
	result = store_result_new(STORE_OK);
	result->revision = revision_make(store.era, store.stored.revision);
	g_array_append_val(result->committed, ok);
	if (!ok)
		store_result_add(
			result, 0, KEY,
			revision_make(store.era, store.stored.revision),
			&store.stored.record);
	post_store_result(node, msg, result);
}

void post_store_event(node_t *node, store_status_t status)
{
	msg_t msg = {};

	msg.kind = MSG_STORE_EVENT;
	msg.u.store_result = store_result_new(status);
	msg.u.store_result->revision =
		revision_make(node->cluster->store.era, 0);
	kernel_post(&node->kernel, node->store, node->prepaid.svc, &msg);
}

// What the replica reports after it has read the changes.
void post_record(node_t *node)
{
	const fake_store_t &store = node->cluster->store;
	msg_t msg = {};

	msg.kind = MSG_STORE_EVENT;
	msg.u.store_result = store_result_new(STORE_OK);
	store_result_add(msg.u.store_result, 0, KEY,
			 revision_make(store.era, store.stored.revision),
			 &store.stored.record);
	kernel_post(&node->kernel, node->store, node->prepaid.svc, &msg);
}

void store_receive(void *self, msg_t *msg)
{
	if (msg->kind == MSG_STORE_GET)
		store_get(static_cast<node_t *>(self), msg);
	else if (msg->kind == MSG_STORE_TXN)
		store_txn(static_cast<node_t *>(self), msg);
	else if (msg->kind == MSG_STORE_WATCH &&
		 !static_cast<node_t *>(self)->cluster->store.down)
		post_store_event(static_cast<node_t *>(self), STORE_OK);
}

void deliver_to_peer(node_t *to, const node_t *from, const peer_body_t *body)
{
	msg_t msg = {};

	msg.kind = MSG_PEER_RECEIVED;
	msg.u.peer.body = peer_body_new(body->kind);
	if (body->kind == PEER_HOLDINGS) {
		GArray *list = msg.u.peer.body->u.holdings.list;

		g_array_append_vals(list, body->u.holdings.list->data,
				    body->u.holdings.list->len);
		*msg.u.peer.body = *body;
		msg.u.peer.body->u.holdings.list = list;
	} else {
		*msg.u.peer.body = *body; // these kinds hold no arrays
	}
	g_strlcpy(msg.u.peer.incarnation, from->prepaid.opts.incarnation,
		  sizeof(msg.u.peer.incarnation));
	kernel_post(&to->kernel, to->peer, to->prepaid.svc, &msg);
}

void peer_receive(void *self, msg_t *msg)
{
	node_t *node = static_cast<node_t *>(self);
	cluster_t *cluster = node->cluster;

	if (msg->kind != MSG_PEER_SEND ||
	    cluster->partitioned[(size_t)node->index])
		return;
	if (msg->u.peer.body->kind == PEER_HOLDINGS)
		cluster->most_holdings =
			MAX(cluster->most_holdings,
			    msg->u.peer.body->u.holdings.list->len);
	if (msg->u.peer.body->kind == PEER_HOLDINGS_PULL &&
	    cluster->pulls_to_lose-- > 0)
		return;
	for (auto &other : cluster->nodes) {
		if (other.get() == node ||
		    cluster->partitioned[(size_t)other->index] ||
		    !cluster->is_connected(node, other.get()))
			continue;
		if (msg->u.peer.incarnation[0] != '\0' &&
		    strcmp(msg->u.peer.incarnation,
			   other->prepaid.opts.incarnation) != 0)
			continue;
		cluster->messages++;
		deliver_to_peer(other.get(), node, msg->u.peer.body);
	}
}

void client_receive(void *self, msg_t *msg)
{
	node_t *node = static_cast<node_t *>(self);
	cluster_t *cluster = node->cluster;
	int64_t tokens;

	if (msg->kind != MSG_RESERVED)
		return;
	tokens = node->requested[msg->ref.index];
	switch (msg->u.reserved.result) {
	case RESERVE_OK:
		cluster->granted++;
		node->held.push_back(
			{msg->id, tokens,
			 cluster->now + cluster->random_int(0, 2000000)});
		break;
	case RESERVE_SPENT:
		cluster->refused_spent++;
		break;
	case RESERVE_UNAVAILABLE:
		cluster->refused_unavailable++;
		cluster->retry_after_ms = msg->u.reserved.retry_after_ms;
		break;
	}
}

void fleet_receive(void *, msg_t *)
{
}

void gateway_receive(void *self, msg_t *msg)
{
	if (msg->kind == MSG_STOPPED)
		static_cast<node_t *>(self)->stopped = true;
}

void post_from_client(node_t *node, msg_t *msg)
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
	account.prepaid = node->cluster->prepaid;
	g_array_append_val(conf->accounts, account);
	msg.kind = MSG_FLEET_CONF;
	msg.u.fleet_conf = conf;
	post_from_client(node, &msg);
	size.kind = MSG_FLEET_SIZE;
	size.u.fleet_size.instances = (uint32_t)node->cluster->nodes.size();
	post_from_client(node, &size);
}

void post_peer_event(node_t *to, const node_t *about, msg_kind_t kind)
{
	msg_t msg = {};

	msg.kind = kind;
	g_strlcpy(msg.u.peer_addr.incarnation, about->prepaid.opts.incarnation,
		  sizeof(msg.u.peer_addr.incarnation));
	g_strlcpy(msg.u.peer_addr.availability_zone,
		  about->prepaid.opts.availability_zone,
		  sizeof(msg.u.peer_addr.availability_zone));
	kernel_post(&to->kernel, to->peer, to->prepaid.svc, &msg);
}

void start_node(node_t *node)
{
	cluster_t *cluster = node->cluster;
	prepaid_opts_t opts = {};
	int number = ++cluster->incarnations;

	kernel_init(&node->kernel, CLOCK_VIRTUAL, (uint64_t)number);
	kernel_run_until(&node->kernel, cluster->now);
	g_snprintf(opts.node, sizeof(opts.node), "node-%d", node->index);
	g_snprintf(opts.incarnation, sizeof(opts.incarnation), "run-%d",
		   number);
	g_snprintf(opts.availability_zone, sizeof(opts.availability_zone),
		   "zone-%d", cluster->zone_of(node));
	node->store =
		kernel_register(&node->kernel, "store", store_receive, node);
	kernel_register(&node->kernel, "replica", store_receive, node);
	node->peer = kernel_register(&node->kernel, "peer", peer_receive, node);
	node->fleet =
		kernel_register(&node->kernel, "fleet", fleet_receive, node);
	node->client =
		kernel_register(&node->kernel, "proxy", client_receive, node);
	kernel_register(&node->kernel, "gateway", gateway_receive, node);
	prepaid_init(&node->prepaid, &node->kernel, &opts);
	node->stopping = false;
	node->stopped = false;
	kernel_start(&node->kernel);
	send_conf(node);
	for (auto &other : cluster->nodes) {
		if (other.get() == node || other->next_request == 0)
			continue;
		post_peer_event(node, other.get(), MSG_PEER_UP);
		post_peer_event(other.get(), node, MSG_PEER_UP);
	}
	node->next_request = 1;
}

// Ends an instance.  Its reservations count as spent, which is the most that
// targets can have used.
void finish_node(node_t *node)
{
	for (const held_reservation_t &held : node->held)
		node->cluster->spent += held.tokens;
	node->held.clear();
	node->requested.clear();
	for (auto &other : node->cluster->nodes)
		if (other.get() != node && other->next_request != 0)
			post_peer_event(other.get(), node, MSG_PEER_DOWN);
	node->next_request = 0;
	prepaid_finish(&node->prepaid);
	kernel_finish(&node->kernel);
}

const prepaid_account_t *find_account(const node_t *node)
{
	return static_cast<prepaid_account_t *>(
		g_hash_table_lookup(node->prepaid.accounts_by_name, ACCOUNT));
}

void reserve(node_t *node, int64_t tokens)
{
	msg_t msg = {};

	msg.kind = MSG_RESERVE;
	msg.id.index = node->next_request++;
	msg.id.gen = 1;
	node->requested[msg.id.index] = tokens;
	g_strlcpy(msg.u.reserve.client_account, ACCOUNT,
		  sizeof(msg.u.reserve.client_account));
	msg.u.reserve.tokens = tokens;
	post_from_client(node, &msg);
}

void settle(node_t *node, bool all)
{
	cluster_t *cluster = node->cluster;

	for (size_t i = 0; i < node->held.size();) {
		held_reservation_t held = node->held[i];
		msg_t msg = {};

		if (!all && held.until > cluster->now) {
			i++;
			continue;
		}
		msg.kind = MSG_SPEND;
		msg.ref = held.reservation;
		msg.u.spend.tokens = cluster->random_int(0, held.tokens);
		cluster->spent += msg.u.spend.tokens;
		post_from_client(node, &msg);
		node->held.erase(node->held.begin() + (long)i);
	}
}

void step(cluster_t *cluster)
{
	cluster->now += STEP_US;
	cluster->store.apply_delayed(cluster->now);
	for (auto &node : cluster->nodes)
		kernel_run_until(&node->kernel, cluster->now);
	// Messages between instances arrive within the same step.
	for (auto &node : cluster->nodes)
		kernel_run_until(&node->kernel, cluster->now);
}

void start_cluster(cluster_t *cluster, int nodes, int64_t prepaid)
{
	cluster->prepaid = prepaid;
	cluster->partitioned.assign((size_t)nodes, false);
	for (int i = 0; i < nodes; i++) {
		cluster->nodes.push_back(std::make_unique<node_t>());
		cluster->nodes.back()->cluster = cluster;
		cluster->nodes.back()->index = i;
	}
	for (auto &node : cluster->nodes)
		start_node(node.get());
	// Instances that start ask their peers before they take tokens.
	for (int i = 0; i < START_STEPS; i++)
		step(cluster);
}

// Takes the store down, and all instances notice.
void stop_store(cluster_t *cluster)
{
	cluster->store.down = true;
	for (auto &node : cluster->nodes)
		post_store_event(node.get(), STORE_UNAVAILABLE);
	step(cluster);
}

void finish_cluster(cluster_t *cluster)
{
	for (auto &node : cluster->nodes)
		finish_node(node.get());
}

void stop_node(node_t *node)
{
	msg_t msg = {};

	msg.kind = MSG_STOP;
	post_from_client(node, &msg);
	node->stopping = true;
}

void inject_faults(cluster_t *cluster, node_t *node)
{
	if (cluster->random_bool(0.004)) {
		finish_node(node);
		start_node(node);
	} else if (!node->stopping && cluster->random_bool(0.004)) {
		stop_node(node);
	} else if (node->stopping &&
		   (node->stopped || cluster->random_bool(0.01))) {
		finish_node(node);
		start_node(node);
	}
	if (cluster->random_bool(0.003))
		cluster->partitioned[(size_t)node->index] =
			!cluster->partitioned[(size_t)node->index];
}

// Time between two reads of changes by the replica.
constexpr int POLL_STEPS = 100;

// Runs requests while the store is restored from copies some seconds old.  Each
// node reads the changes at intervals; cut_share of them is cut off, or ends,
// when the store is restored.
int64_t run_restores(unsigned seed, int nodes, int64_t prepaid,
		     double cut_share, double end_share)
{
	cluster_t cluster;
	int next_copy = 0, next_restore = 0, back = -1;
	int64_t overspent;

	cluster.random.seed(seed);
	start_cluster(&cluster, nodes, prepaid);
	next_copy = 200;
	for (int i = 0; i < 6000; i++) {
		if (i == next_copy) {
			cluster.store.make_copy();
			next_copy += 3000;
			next_restore = i + (int)cluster.random_int(400, 1800);
		}
		if (i == next_restore)
			stop_store(&cluster);
		if (i == next_restore + 60) {
			cluster.store.restore();
			cluster.store.down = false;
			for (auto &node : cluster.nodes) {
				// What no connected instance knows is lost.
				if (node->index == 0) {
					post_store_event(node.get(), STORE_OK);
					continue;
				}
				if (cluster.random_bool(end_share)) {
					finish_node(node.get());
					start_node(node.get());
				} else if (cluster.random_bool(cut_share)) {
					cluster.partitioned[(size_t)node
								    ->index] =
						true;
				}
				post_store_event(node.get(), STORE_OK);
			}
			back = i + (int)cluster.random_int(50, 1000);
		}
		if (i == back)
			cluster.partitioned.assign((size_t)nodes, false);
		for (auto &node : cluster.nodes) {
			// In a large fleet one instance reads the changes.
			if ((nodes < LARGE_FLEET || node->index == 0) &&
			    !cluster.store.down &&
			    !cluster.partitioned[(size_t)node->index] &&
			    (i + node->index * 13) % POLL_STEPS == 0)
				post_record(node.get());
			if (cluster.random_bool(0.1))
				reserve(node.get(),
					cluster.random_int(1, 1500));
			settle(node.get(), false);
		}
		step(&cluster);
	}
	finish_cluster(&cluster);
	EXPECT_GT(cluster.store.restores, 1) << "seed " << seed;
	EXPECT_GT(cluster.spent, prepaid / 2) << "seed " << seed;
	overspent = cluster.spent - cluster.prepaid;
	return overspent;
}

// Runs requests with random faults of every kind.
void run_schedule(unsigned seed, int nodes, int steps, int64_t prepaid,
		  int zones = 1)
{
	cluster_t cluster;

	cluster.random.seed(seed);
	cluster.zones = zones;
	start_cluster(&cluster, nodes, prepaid);
	for (int i = 0; i < steps; i++) {
		if (cluster.random_bool(0.002))
			cluster.store.unanswered_share =
				cluster.random_bool(0.5) ? 0.4 : 0.0;
		if (cluster.random_bool(0.002))
			cluster.store.delayed_share =
				cluster.random_bool(0.5) ? 0.7 : 0.0;
		if (cluster.random_bool(0.001))
			cluster.store.down = !cluster.store.down;
		if (zones > 1 && cluster.random_bool(0.002))
			cluster.cut_zone =
				(int)cluster.random_int(-1, zones - 1);
		for (auto &node : cluster.nodes) {
			inject_faults(&cluster, node.get());
			if (cluster.random_bool(0.1))
				reserve(node.get(),
					cluster.random_int(1, 1500));
			settle(node.get(), false);
		}
		step(&cluster);
	}
	finish_cluster(&cluster);
	EXPECT_LE(cluster.spent, cluster.prepaid) << "seed " << seed;
	EXPECT_GT(cluster.granted, 0) << "seed " << seed;
}

TEST(Prepaid, NeverOverspendsUnderFaults)
{
	for (unsigned seed = 1; seed <= 10; seed++)
		run_schedule(seed, 4, 3000, 100000);
}

// Guards against overspending when instances are refilled from a home.
// The copy lacks the tokens that were taken since, which would be taken twice.
TEST(Prepaid, RestoredStoreLetsNoTokensBeTakenTwice)
{
	for (unsigned seed = 1; seed <= 40; seed++)
		EXPECT_LE(run_restores(seed, 7, 400000, 0, 0), 0)
			<< "seed " << seed;
}

TEST(Prepaid, RestoredStoreLetsNoTokensBeTakenTwiceBehindACut)
{
	for (unsigned seed = 1; seed <= 40; seed++)
		EXPECT_LE(run_restores(seed, 7, 400000, 0.4, 0), 0)
			<< "seed " << seed;
}

// What an instance had taken is known to its peers only, once it has ended.
TEST(Prepaid, RestoredStoreLetsNoTokensOfEndedInstancesBeTakenTwice)
{
	for (unsigned seed = 1; seed <= 40; seed++)
		EXPECT_LE(run_restores(seed, 7, 400000, 0.2, 0.4), 0)
			<< "seed " << seed;
}

TEST(Prepaid, RestoredStoreLetsNoTokensBeTakenTwiceInLargeFleet)
{
	for (unsigned seed = 1; seed <= 10; seed++)
		EXPECT_LE(run_restores(seed, LARGE_FLEET, 800000, 0.2, 0.1), 0)
			<< "seed " << seed;
}

// Guards against a reply that is not sent, as it has more holders than a frame
// takes, so that tokens are taken twice after a restore.
TEST(Prepaid, RecordWithManyHoldersIsToldToPeers)
{
	cluster_t cluster;

	cluster.random.seed(31);
	start_cluster(&cluster, 2, 100000);
	prepaid_t *from = &cluster.nodes[0]->prepaid;
	prepaid_t *to = &cluster.nodes[1]->prepaid;
	prepaid_account_t *account = prepaid_find_account(from, "a1");
	msg_t pull = {};

	if (account->record == nullptr)
		account->record = allocation_new();
	for (int i = 0; i < 5000; i++) {
		grant_holder_t holder = {"m", "", 3, GRANT_OPEN};

		g_snprintf(holder.incarnation, sizeof(holder.incarnation),
			   "run-%d", i);
		allocation_join_holder(account->record, &holder);
	}
	account->unsaved = true;
	pull.kind = MSG_PEER_RECEIVED;
	pull.u.peer.body = peer_body_new(PEER_HOLDINGS_PULL);
	g_strlcpy(pull.u.peer.incarnation, to->opts.incarnation,
		  sizeof(pull.u.peer.incarnation));
	kernel_post(from->kernel, cluster.nodes[0]->peer, from->svc, &pull);
	for (int i = 0; i < 5; i++)
		step(&cluster);
	EXPECT_LE(cluster.most_holdings, (guint)PEER_HOLDINGS_MAX);
	EXPECT_GE(prepaid_find_account(to, "a1")->record->holders->len, 5000u);
	finish_cluster(&cluster);
}

// A message is lost with a connection that is replaced, and the wait for its
// reply would last until its limit.
TEST(Prepaid, PeerThatDoesNotReplyAfterARestoreIsAskedAgain)
{
	cluster_t cluster;

	cluster.random.seed(31);
	start_cluster(&cluster, 7, 100000);
	cluster.store.make_copy();
	cluster.store.restore();
	cluster.pulls_to_lose = 5;
	for (auto &node : cluster.nodes)
		post_store_event(node.get(), STORE_OK);
	for (int i = 0; i < 140; i++) // 0.7 s
		step(&cluster);
	for (auto &node : cluster.nodes)
		EXPECT_FALSE(node->prepaid.settling) << node->index;
	finish_cluster(&cluster);
}

TEST(Prepaid, NeverOverspendsInLargeFleet)
{
	for (unsigned seed = 1; seed <= LARGE_FLEET_SEEDS; seed++)
		run_schedule(seed, LARGE_FLEET, 1200, 200000);
	for (unsigned seed = 1; seed <= LARGE_FLEET_SEEDS; seed++)
		run_schedule(seed, LARGE_FLEET, 1200, 200000, 4);
}

// Guards against a call to the store for each request: in a large fleet, the
// share of one instance is small.
TEST(Prepaid, LargeFleetWritesToStoreThroughHome)
{
	cluster_t cluster;

	cluster.random.seed(11);
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	for (int i = 0; i < 2000; i++) {
		node_t *node = cluster.nodes[(size_t)cluster.random_int(
						     0, LARGE_FLEET - 1)]
				       .get();

		if (i % 2 == 0)
			reserve(node, 1000);
		step(&cluster);
		settle(node, true);
	}
	EXPECT_EQ(cluster.granted, 1000);
	EXPECT_GT(cluster.messages, 0);
	/* The run takes 10 s, and the home extends its grant about every 2 s.
	 */
	EXPECT_LE(cluster.store.writes, 50);
	finish_cluster(&cluster);
}

// Guards against calls to the store that grow with the zones.
TEST(Prepaid, AllZonesShareOneHome)
{
	cluster_t cluster;

	cluster.random.seed(21);
	cluster.zones = 5;
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	for (int i = 0; i < 2000; i++) {
		node_t *node = cluster.nodes[(size_t)cluster.random_int(
						     0, LARGE_FLEET - 1)]
				       .get();

		if (i % 2 == 0)
			reserve(node, 1000);
		step(&cluster);
		settle(node, true);
	}
	EXPECT_EQ(cluster.granted, 1000);
	EXPECT_LE(cluster.store.writes, 50);
	finish_cluster(&cluster);
}

// Guards against refusals in a zone that has lost the others, the home among
// them, while its connections still look open.
TEST(Prepaid, ZoneWithoutTheOthersHasItsOwnHome)
{
	for (int zone = 0; zone < 4; zone++) {
		cluster_t cluster;

		cluster.random.seed(22);
		cluster.zones = 4;
		start_cluster(&cluster, LARGE_FLEET, 40000000);
		for (auto &node : cluster.nodes)
			reserve(node.get(), 1000);
		for (int i = 0; i < 100; i++)
			step(&cluster);
		ASSERT_EQ(cluster.granted, LARGE_FLEET);
		cluster.cut_zone = zone;
		cluster.granted = 0;
		cluster.store.writes = 0;
		for (auto &node : cluster.nodes)
			if (cluster.zone_of(node.get()) == zone)
				reserve(node.get(), 30000);
		for (int i = 0; i < 120; i++)
			step(&cluster);
		EXPECT_EQ(cluster.granted, LARGE_FLEET / 4);
		EXPECT_EQ(cluster.refused_unavailable, 0);
		finish_cluster(&cluster);
	}
}

// Guards against a burst at one instance that gets tokens for one request with
// each refill, and against a home that is left because it did not cover all.
TEST(Prepaid, BurstAtOneInstanceIsRefilledAtOnce)
{
	cluster_t cluster;
	node_t *node;

	cluster.random.seed(23);
	start_cluster(&cluster, LARGE_FLEET, 2000000);
	for (auto &other : cluster.nodes)
		reserve(other.get(), 1000);
	for (int i = 0; i < 20; i++)
		step(&cluster);
	ASSERT_EQ(cluster.granted, LARGE_FLEET);
	node = cluster.nodes[0].get();
	if (find_account(node)->home[0] == '\0')
		node = cluster.nodes[1].get();
	cluster.granted = 0;
	cluster.messages = 0;
	for (int i = 0; i < 60; i++)
		reserve(node, 5000);
	for (int i = 0; i < 8; i++)
		step(&cluster);
	EXPECT_EQ(cluster.granted, 60);
	EXPECT_LE(cluster.messages, 20);
	EXPECT_EQ(find_account(node)->failed_home_count, 0u);
	finish_cluster(&cluster);
}

// Guards against requests that fail because the account's home has failed.
TEST(Prepaid, UsesStoreWhenHomeDoesNotAnswer)
{
	cluster_t cluster;
	std::string home;

	cluster.random.seed(12);
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	reserve(cluster.nodes[0].get(), 1000);
	reserve(cluster.nodes[1].get(), 1000);
	for (int i = 0; i < 20; i++)
		step(&cluster);
	ASSERT_EQ(cluster.granted, 2);
	for (auto &node : cluster.nodes) {
		const prepaid_account_t *account = find_account(node.get());

		if (account != nullptr && account->home[0] != '\0')
			home = account->home;
	}
	ASSERT_FALSE(home.empty());
	for (auto &node : cluster.nodes)
		if (home == node->prepaid.opts.incarnation)
			cluster.partitioned[(size_t)node->index] = true;
	for (auto &node : cluster.nodes)
		if (!cluster.partitioned[(size_t)node->index])
			reserve(node.get(), 30000);
	for (int i = 0; i < 120; i++)
		step(&cluster);
	EXPECT_EQ(cluster.granted, 2 + LARGE_FLEET - 1);
	finish_cluster(&cluster);
}

// Guards against a refusal as spent while other instances of a large fleet hold
// tokens, and against refusals for another reason when the account is spent.
TEST(Prepaid, LargeFleetSpendsAlmostAllOfAnAccount)
{
	cluster_t cluster;

	cluster.random.seed(13);
	start_cluster(&cluster, LARGE_FLEET, 400000);
	for (int i = 0; i < 12000; i++) {
		node_t *node = cluster.nodes[(size_t)cluster.random_int(
						     0, LARGE_FLEET - 1)]
				       .get();
		int64_t before = cluster.spent;

		if (i % 2 == 0)
			reserve(node, 200);
		step(&cluster);
		settle(node, true);
		if (cluster.refused_spent > 0) {
			EXPECT_GE(before, 388000);
			break;
		}
	}
	EXPECT_GT(cluster.refused_spent, 0);
	EXPECT_EQ(cluster.refused_unavailable, 0);
	EXPECT_LE(cluster.spent, cluster.prepaid);
	finish_cluster(&cluster);
}

// Guards against peers that each extend their grant to serve one slice request:
// one request then caused six store calls for a few tokens.
TEST(Prepaid, SliceRequestsInLargeFleetDoNotWriteToStore)
{
	cluster_t cluster;
	int writes;

	cluster.random.seed(14);
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	for (auto &node : cluster.nodes)
		reserve(node.get(), 1000);
	for (int i = 0; i < 20; i++)
		step(&cluster);
	ASSERT_EQ(cluster.granted, LARGE_FLEET);
	writes = cluster.store.writes;
	for (auto &to : cluster.nodes) {
		peer_body_t body = {};

		body.kind = PEER_SLICE_REQUEST;
		g_strlcpy(body.u.slice.client_account, ACCOUNT,
			  sizeof(body.u.slice.client_account));
		body.u.slice.tokens = 20000;
		deliver_to_peer(to.get(), cluster.nodes[0].get(), &body);
	}
	for (int i = 0; i < 20; i++)
		step(&cluster);
	EXPECT_LE(cluster.store.writes, writes + 1);
	finish_cluster(&cluster);
}

// States of one holder as instances may know them.
std::vector<grant_holder_t> known_states()
{
	return {
		{"n", "run-1", 10, GRANT_OPEN},
		{"n", "run-1", 50, GRANT_OPEN},
		{"n", "run-1", 50, GRANT_LOST},
		{"n", "run-1", 30, GRANT_RETURNED},
		{"n", "run-2", 7, GRANT_OPEN},
		{"n", "run-2", 4, GRANT_RETURNED},
	};
}

int64_t joined_total(const std::vector<grant_holder_t> &states)
{
	record_allocation_t *joined = allocation_new();
	int64_t total;

	for (const grant_holder_t &state : states)
		allocation_join_holder(joined, &state);
	total = allocation_total(joined);
	allocation_free(joined);
	return total;
}

// Several instances join what they know at once, in any order, repeatedly.
TEST(Allocation, JoinDoesNotDependOnOrderOrRepetition)
{
	std::vector<grant_holder_t> states = known_states(), twice;
	std::vector<size_t> order = {0, 1, 2, 3, 4, 5};

	do {
		std::vector<grant_holder_t> shuffled;

		for (size_t i : order)
			shuffled.push_back(states[i]);
		ASSERT_EQ(joined_total(shuffled), 34);
		twice = shuffled;
		twice.insert(twice.end(), shuffled.begin(), shuffled.end());
		ASSERT_EQ(joined_total(twice), 34);
	} while (std::next_permutation(order.begin(), order.end()));
	EXPECT_EQ(joined_total({states[0], states[2], states[4]}), 57);
}

// A record would grow with each process that has ever taken tokens.
TEST(Account, EndedGrantsAreMergedWithoutLosingTokens)
{
	prepaid_opts_t self = {"n", "self", "z"};
	prepaid_account_t account = {};
	record_allocation_t *next;

	account.record = allocation_new();
	for (int i = 0; i < 511; i++) {
		grant_holder_t holder = {"m", "", 3, GRANT_RETURNED};

		if (i % 8 == 0)
			holder.state = GRANT_OPEN;
		g_snprintf(holder.incarnation, sizeof(holder.incarnation),
			   "run-%d", i);
		g_array_append_val(account.record->holders, holder);
	}
	next = account_next_record(&account, &self, 100, false);
	EXPECT_EQ(allocation_total(next),
		  allocation_total(account.record) + 100);
	EXPECT_LT(next->holders->len, 70u);
	allocation_free(next);
	allocation_free(account.record);
}

// Guards against a headroom that is too small in an account's first seconds: an
// exponentially smoothed rate starts at zero.
TEST(Account, HeadroomIsUnbiasedInFirstSeconds)
{
	prepaid_account_t account = {};
	fleet_share_t share = {1, 1};
	int64_t now = USEC_PER_SEC;

	account.prepaid_tokens = 1000000000;
	account.headroom_limit = -1;
	for (int i = 0; i < 10; i++, now += 100000)
		account_add_demand(&account, 100, now);
	/* The headroom covers 9 s of a demand of 1,000 tokens per second. */
	EXPECT_GE(account_headroom(&account, &share, now), 8000);
	EXPECT_LE(account_headroom(&account, &share, now), 10000);
	/* The headroom of an account without demand is small. */
	EXPECT_LE(account_headroom(&account, &share, now + 60 * USEC_PER_SEC),
		  1000);
}

// Guards against tokens that stay idle at many instances of a large fleet: they
// would be lost if all instances lost power, so they are returned to the home.
TEST(Prepaid, IdleTokensAreReturnedToHome)
{
	cluster_t cluster;
	int64_t idle = 0;

	cluster.random.seed(16);
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	for (int i = 0; i < 400; i++) {
		for (auto &node : cluster.nodes)
			if (i % 20 == 0)
				reserve(node.get(), 1000);
		step(&cluster);
		for (auto &node : cluster.nodes)
			settle(node.get(), true);
	}
	for (int i = 0; i < 6000; i++)
		step(&cluster);
	for (auto &node : cluster.nodes) {
		const prepaid_account_t *account = find_account(node.get());

		if (account->home[0] != '\0')
			idle += account_available(account);
	}
	/* Each instance keeps at most the size of one request. */
	EXPECT_LE(idle, (LARGE_FLEET - 1) * 1000);
	finish_cluster(&cluster);
}

// Tokens that are neither spent nor at an instance that runs nor in the record.
int64_t lost_tokens(const cluster_t *cluster)
{
	int64_t lost = -cluster->spent;
	const record_t *record = &cluster->store.stored.record;

	if (record->kind == RECORD_ALLOCATION)
		lost += allocation_total(record->u.allocation);
	for (auto &node : cluster->nodes) {
		const prepaid_account_t *account = find_account(node.get());

		lost -= account_available(account) + account->reserved;
	}
	return lost;
}

// Guards against tokens that are returned to a home whose own grant has been
// returned already, because it is about to stop.
TEST(Prepaid, TokensReturnedToStoppingHomeAreNotLost)
{
	cluster_t cluster;
	node_t *home = nullptr;

	cluster.random.seed(23);
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	for (int i = 0; i < 400; i++) {
		for (auto &node : cluster.nodes)
			if (i % 20 == 0)
				reserve(node.get(), 1000);
		step(&cluster);
		for (auto &node : cluster.nodes)
			settle(node.get(), true);
	}
	for (auto &node : cluster.nodes)
		if (find_account(node.get())->home[0] == '\0')
			home = node.get();
	ASSERT_NE(home, nullptr);
	ASSERT_EQ(lost_tokens(&cluster), 0);
	stop_node(home);
	for (int i = 0; i < 2000; i++)
		step(&cluster);
	finish_node(home);
	start_node(home);
	step(&cluster);
	EXPECT_EQ(lost_tokens(&cluster), 0);
	finish_cluster(&cluster);
}

node_t *find_home(const cluster_t *cluster, const node_t *of)
{
	for (auto &node : cluster->nodes)
		if (strcmp(node->prepaid.opts.incarnation,
			   find_account(of)->home) == 0)
			return node.get();
	return nullptr;
}

// Guards against a stop that keeps its grant until the process is ended,
// because a refill was under way when it began.
TEST(Prepaid, RefillDuringStopDoesNotKeepTheGrant)
{
	cluster_t cluster;
	node_t *node = nullptr, *home = nullptr;
	peer_body_t reply = {};

	cluster.random.seed(24);
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	for (auto &other : cluster.nodes)
		reserve(other.get(), 1000);
	step(&cluster);
	for (auto &other : cluster.nodes) {
		settle(other.get(), true);
		if (find_account(other.get())->granted > 0)
			node = other.get();
	}
	ASSERT_NE(node, nullptr);
	/* Another instance becomes the home. */
	for (int i = 0; i < 100 && home == nullptr; i++) {
		node_t *other = cluster.nodes[(size_t)i % LARGE_FLEET].get();

		if (other == node)
			continue;
		finish_node(other);
		start_node(other);
		for (int j = 0; j < START_STEPS; j++)
			step(&cluster);
		reserve(node, 1);
		step(&cluster);
		settle(node, true);
		home = find_home(&cluster, node);
	}
	ASSERT_NE(home, nullptr);
	cluster.partitioned[(size_t)home->index] = true;
	for (int i = 0; i < 1000 && !find_account(node)->refill_pending; i++) {
		reserve(node, 1000);
		step(&cluster);
		settle(node, true);
	}
	step(&cluster);
	ASSERT_TRUE(find_account(node)->refill_pending);
	ASSERT_EQ(find_account(node)->waiting.length, 0u);
	stop_node(node);
	step(&cluster);
	ASSERT_FALSE(node->stopped);
	reply.kind = PEER_REFILL_REPLY;
	g_strlcpy(reply.u.refill_reply.client_account, ACCOUNT,
		  sizeof(reply.u.refill_reply.client_account));
	deliver_to_peer(node, home, &reply);
	for (int i = 0; i < 100; i++)
		step(&cluster);
	EXPECT_TRUE(node->stopped);
	EXPECT_EQ(find_account(node)->granted, 0);
	finish_cluster(&cluster);
}

// Guards against tokens that instances which stop at the same time pass to each
// other until they exit.
TEST(Prepaid, OverlappingStopsLoseNoTokens)
{
	constexpr int STOPS = 8;

	for (unsigned seed = 1; seed <= LARGE_FLEET_SEEDS; seed++) {
		cluster_t cluster;
		int messages;

		cluster.random.seed(seed);
		cluster.zones = 4;
		start_cluster(&cluster, LARGE_FLEET, 4000000);
		for (int i = 0; i < 800; i++) {
			for (auto &node : cluster.nodes) {
				if (!node->stopping &&
				    cluster.random_bool(0.05))
					reserve(node.get(), 1000);
				settle(node.get(), true);
			}
			step(&cluster);
		}
		ASSERT_EQ(lost_tokens(&cluster), 0) << "seed " << seed;
		messages = cluster.messages;
		for (int i = 0; i < STOPS * 40; i++) {
			if (i % 40 == 0)
				stop_node(
					cluster.nodes[(size_t)(i / 40)].get());
			step(&cluster);
		}
		messages = cluster.messages - messages;
		for (auto &node : cluster.nodes) {
			if (!node->stopping)
				continue;
			finish_node(node.get());
			start_node(node.get());
		}
		step(&cluster);
		EXPECT_EQ(lost_tokens(&cluster), 0) << "seed " << seed;
		EXPECT_LE(messages,
			  STOPS * (LARGE_FLEET - 1) + 10 * LARGE_FLEET)
			<< "seed " << seed;
		finish_cluster(&cluster);
	}
}

// Guards against instances that all call the store themselves because their
// home cannot: they use the next home instead.
TEST(Prepaid, HomeWithoutStoreIsReplaced)
{
	cluster_t cluster;
	int writes;

	cluster.random.seed(15);
	start_cluster(&cluster, LARGE_FLEET, 4000000);
	for (auto &node : cluster.nodes)
		reserve(node.get(), 1000);
	for (int i = 0; i < 20; i++)
		step(&cluster);
	for (auto &node : cluster.nodes) {
		const prepaid_account_t *account = find_account(node.get());

		if (account->home[0] == '\0')
			post_store_event(node.get(), STORE_UNAVAILABLE);
	}
	step(&cluster);
	cluster.granted = 0;
	writes = cluster.store.writes;
	for (int i = 0; i < 400; i++) {
		if (i % 2 == 0)
			reserve(cluster.nodes[(size_t)cluster.random_int(
						      0, LARGE_FLEET - 1)]
					.get(),
				5000);
		step(&cluster);
		settle(cluster.nodes[0].get(), true);
	}
	EXPECT_EQ(cluster.granted, 200);
	EXPECT_LE(cluster.store.writes, writes + 20);
	/* The instance without a store also uses the next home. */
	for (auto &node : cluster.nodes)
		if (!node->prepaid.store_up)
			reserve(node.get(), 500000);
	for (int i = 0; i < 20; i++)
		step(&cluster);
	EXPECT_EQ(cluster.granted, 201);
	finish_cluster(&cluster);
}

// Guards against reservations from a grant whose close was sent and has no
// result: the write may still take effect.
TEST(Prepaid, RequestAfterTheStopDoesNotTakeTokensThatAreNeverReturned)
{
	cluster_t cluster;

	cluster.random.seed(1);
	start_cluster(&cluster, 1, 100000);
	stop_node(cluster.nodes[0].get());
	for (int i = 0; i < 200; i++)
		step(&cluster);
	cluster.granted = 0;
	reserve(cluster.nodes[0].get(), 10);
	for (int i = 0; i < 200; i++)
		step(&cluster);
	EXPECT_EQ(cluster.granted, 0);
	finish_cluster(&cluster);
}

TEST(Prepaid, GrantIsNotUsedOnceCloseWasSent)
{
	cluster_t cluster;

	cluster.random.seed(1);
	start_cluster(&cluster, 1, 100000);
	for (int i = 0; i < 200; i++) {
		reserve(cluster.nodes[0].get(), 500);
		step(&cluster);
		settle(cluster.nodes[0].get(), true);
	}
	cluster.store.unanswered_share = 1.0;
	cluster.store.delayed_share = 1.0;
	stop_node(cluster.nodes[0].get());
	step(&cluster);
	cluster.granted = 0;
	reserve(cluster.nodes[0].get(), 10);
	for (int i = 0; i < 200; i++)
		step(&cluster);
	EXPECT_EQ(cluster.granted, 0);
	finish_cluster(&cluster);
}

// Guards against a delayed refusal when no source of tokens is left.
TEST(Prepaid, RefusesImmediatelyWithoutStoreAndPeers)
{
	cluster_t cluster;

	cluster.random.seed(6);
	start_cluster(&cluster, 1, 100000);
	post_store_event(cluster.nodes[0].get(), STORE_UNAVAILABLE);
	step(&cluster);
	reserve(cluster.nodes[0].get(), 900);
	step(&cluster);
	EXPECT_EQ(cluster.refused_unavailable, 1);
	finish_cluster(&cluster);
}

// Guards against a refusal because of an outdated record: tokens that another
// instance has returned since may cover the request.
TEST(Prepaid, StaleRecordIsReadAgainBeforeRefusal)
{
	cluster_t cluster;
	record_t record = {};

	cluster.random.seed(5);
	start_cluster(&cluster, 1, 100000);
	/*
	 * Another instance has taken most tokens, and returns some later
	 * without an event to this one.
	 */
	record.kind = RECORD_ALLOCATION;
	record.u.allocation = allocation_new();
	record.u.allocation->closed = 99000;
	cluster.store.write(0, &record);
	for (int i = 0; i < 100; i++) {
		if (i % 50 == 0)
			reserve(cluster.nodes[0].get(), 900);
		step(&cluster);
	}
	ASSERT_EQ(cluster.granted, 1);
	ASSERT_EQ(cluster.refused_spent, 1);
	record_clear(&record);
	record_copy(&record, &cluster.store.stored.record);
	record.u.allocation->closed -= 50000;
	cluster.store.write(cluster.store.stored.revision, &record);
	record_clear(&record);
	for (int i = 0; i < 600; i++)
		step(&cluster);
	reserve(cluster.nodes[0].get(), 900);
	for (int i = 0; i < 100; i++)
		step(&cluster);
	EXPECT_EQ(cluster.granted, 2);
	finish_cluster(&cluster);
}

// Guards against a storm of failing calls: while the store is not available, an
// instance must not call it for each account and request.
TEST(Prepaid, UnavailableStoreIsNotCalledForEachRequest)
{
	cluster_t cluster;

	cluster.random.seed(4);
	start_cluster(&cluster, 1, 1000000);
	cluster.store.down = true;
	cluster.store.writes = 0;
	post_store_event(cluster.nodes[0].get(), STORE_UNAVAILABLE);
	for (int i = 0; i < 400; i++) {
		reserve(cluster.nodes[0].get(), 5000);
		step(&cluster);
	}
	EXPECT_EQ(cluster.store.writes, 0);
	EXPECT_EQ(cluster.granted, 0);
	/* The store is called again as soon as an event reports it back. */
	cluster.store.down = false;
	post_store_event(cluster.nodes[0].get(), STORE_OK);
	reserve(cluster.nodes[0].get(), 5000);
	for (int i = 0; i < 10; i++)
		step(&cluster);
	EXPECT_GE(cluster.granted, 1);
	finish_cluster(&cluster);
}

// Guards against a refusal as spent while the account has enough tokens left.
TEST(Prepaid, SpendsAlmostAllOfAnAccountAcrossInstances)
{
	cluster_t cluster;

	cluster.random.seed(2);
	start_cluster(&cluster, 4, 100000);
	for (int i = 0; i < 6000; i++) {
		node_t *node =
			cluster.nodes[(size_t)cluster.random_int(0, 3)].get();
		int64_t before = cluster.spent;

		if (i % 4 == 0)
			reserve(node, 200);
		step(&cluster);
		settle(node, true);
		if (cluster.refused_spent > 0) {
			EXPECT_GE(before, 97000);
			break;
		}
	}
	EXPECT_GT(cluster.refused_spent, 0);
	EXPECT_LE(cluster.spent, cluster.prepaid);
	finish_cluster(&cluster);
}

// Guards against a refusal that comes late: once all peers have replied that
// they hold too little, waiting longer helps nobody.
TEST(Prepaid, RefusesOnceAllPeersHaveReplied)
{
	cluster_t cluster;

	cluster.random.seed(7);
	start_cluster(&cluster, 9, 100000);
	stop_store(&cluster);
	reserve(cluster.nodes[0].get(), 900);
	for (int i = 0; i < 4; i++)
		step(&cluster);
	EXPECT_EQ(cluster.refused_unavailable, 1);
	finish_cluster(&cluster);
}

// Guards against callers that return during the same outage and are refused
// again: most have a single retry.
TEST(Prepaid, OutageThatLastsDefersRetries)
{
	cluster_t cluster;

	cluster.random.seed(9);
	start_cluster(&cluster, 2, 100000);
	stop_store(&cluster);
	reserve(cluster.nodes[0].get(), 900);
	for (int i = 0; i < 4; i++)
		step(&cluster);
	ASSERT_EQ(cluster.refused_unavailable, 1);
	EXPECT_LE(cluster.retry_after_ms, 500u);
	for (int i = 0; i < 2 * USEC_PER_SEC / STEP_US; i++)
		step(&cluster);
	reserve(cluster.nodes[0].get(), 900);
	for (int i = 0; i < 4; i++)
		step(&cluster);
	ASSERT_EQ(cluster.refused_unavailable, 2);
	EXPECT_GE(cluster.retry_after_ms, 1900u);
	finish_cluster(&cluster);
}

// Guards against callers of a new instance that are sent away for long before
// it has reached the store: its clock does not start at 0.
TEST(Prepaid, NewInstanceAsksCallersToReturnSoon)
{
	cluster_t cluster;

	cluster.random.seed(10);
	cluster.now = 1000 * USEC_PER_SEC;
	cluster.store.down = true;
	start_cluster(&cluster, 2, 100000);
	reserve(cluster.nodes[0].get(), 900);
	for (int i = 0; i < 4; i++)
		step(&cluster);
	ASSERT_EQ(cluster.refused_unavailable, 1);
	EXPECT_LE(cluster.retry_after_ms, 500u);
	finish_cluster(&cluster);
}

// Guards against a refusal while some peer of a small fleet holds the tokens.
TEST(Prepaid, AsksAllPeersOfSmallFleet)
{
	cluster_t cluster;

	cluster.random.seed(8);
	start_cluster(&cluster, 12, 1000000);
	for (int i = 0; i < 400; i++) {
		reserve(cluster.nodes[11].get(), 1000);
		step(&cluster);
		settle(cluster.nodes[11].get(), true);
	}
	stop_store(&cluster);
	cluster.granted = 0;
	for (int i = 0; i < 11; i++) {
		reserve(cluster.nodes[(size_t)i].get(), 100);
		for (int j = 0; j < 20; j++)
			step(&cluster);
	}
	EXPECT_EQ(cluster.granted, 11);
	EXPECT_EQ(cluster.refused_unavailable, 0);
	finish_cluster(&cluster);
}

// Guards against refusals while the store is down and peers hold tokens.
TEST(Prepaid, PeersTransferTokensWhileStoreIsDown)
{
	cluster_t cluster;

	cluster.random.seed(3);
	start_cluster(&cluster, 3, 1000000);
	for (int i = 0; i < 400; i++) {
		reserve(cluster.nodes[0].get(), 1000);
		step(&cluster);
		settle(cluster.nodes[0].get(), true);
	}
	cluster.store.down = true;
	cluster.granted = 0;
	reserve(cluster.nodes[1].get(), 1000);
	for (int i = 0; i < 100; i++)
		step(&cluster);
	EXPECT_EQ(cluster.granted, 1);
	EXPECT_EQ(cluster.refused_unavailable, 0);
	finish_cluster(&cluster);
}

} // namespace
