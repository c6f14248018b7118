// Tests the conf service: revisions, tombstones, coalescing of changes,
// quarantine and the exchange with peers.
#include "tests/conf_world.h"

#include "conf/entry.h"

#include <gtest/gtest.h>

using namespace conf_world;

namespace
{

class ConfTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		store = kernel_register(&kernel, "store", ignore, this);
		peer = kernel_register(&kernel, "peer", on_peer, this);
		observer =
			kernel_register(&kernel, "observer", on_snapshot, this);
		conf_init(&conf, &kernel);
		kernel_start(&kernel);
		msg_t msg = {};
		msg.kind = MSG_CONF_SUBSCRIBE;
		post(observer, &msg);
		run(0);
		snapshots = 0;
	}
	void TearDown() override
	{
		conf_snapshot_unref(snapshot);
		conf_finish(&conf);
		kernel_finish(&kernel);
	}
	static void ignore(void *, msg_t *)
	{
	}
	static void on_snapshot(void *self, msg_t *msg)
	{
		auto *test = static_cast<ConfTest *>(self);

		if (msg->kind != MSG_CONF_CHANGED)
			return;
		test->snapshots++;
		conf_snapshot_unref(test->snapshot);
		test->snapshot = conf_snapshot_ref(msg->u.conf);
	}
	static void on_peer(void *self, msg_t *msg)
	{
		auto *test = static_cast<ConfTest *>(self);

		if (msg->kind != MSG_PEER_SEND)
			return;
		peer_body_t *body = msg->u.peer.body;
		if (body->kind == PEER_CONF_PULL)
			test->pulls.push_back(body->u.conf_pull.from_revision);
		if (body->kind == PEER_CONF_ITEMS) {
			test->items_sent = body->u.conf_items.kvs->len;
			test->items_up_to = body->u.conf_items.up_to_revision;
		}
	}
	void post(svc_t from, msg_t *msg)
	{
		kernel_post(&kernel, from, kernel_find(&kernel, "conf"), msg);
	}
	void event(const std::string &key, int64_t revision,
		   const record_t &record)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_EVENT;
		msg.u.store_result = store_result_new(STORE_OK);
		msg.u.store_result->revision = revision + 100;
		store_result_add(msg.u.store_result, 0, key.c_str(), revision,
				 &record);
		post(store, &msg);
	}
	void event(const std::string &key, int64_t revision, bool removed)
	{
		event(key, revision, make_record(key, revision, removed));
	}
	peer_body_t *from_peer(peer_kind_t kind)
	{
		msg_t msg = {};
		peer_body_t *body = peer_body_new(kind);

		msg.kind = MSG_PEER_RECEIVED;
		g_strlcpy(msg.u.peer.incarnation, "p", INCARNATION_SIZE);
		msg.u.peer.body = body;
		post(peer, &msg);
		return body;
	}
	void items(const std::string &key, int64_t revision, int64_t up_to)
	{
		peer_body_t *body = from_peer(PEER_CONF_ITEMS);
		store_kv_t kv = {};

		body->u.conf_items.up_to_revision = up_to;
		g_strlcpy(kv.key, key.c_str(), STORE_KEY_SIZE);
		kv.revision = revision;
		kv.record = make_record(key, revision, false);
		g_array_append_val(body->u.conf_items.kvs, kv);
	}
	void run(int64_t ms)
	{
		kernel_run_until(&kernel,
				 kernel_now(&kernel) + ms * USEC_PER_MSEC);
	}
	kernel_t kernel;
	conf_t conf;
	svc_t store, peer, observer;
	conf_snapshot_t *snapshot = nullptr;
	int snapshots = 0;
	std::vector<int64_t> pulls;
	guint items_sent = 0;
	int64_t items_up_to = -1;
};

// A burst of changes must not cause one snapshot per record.
TEST_F(ConfTest, BurstMakesOneSnapshot)
{
	for (int i = 1; i <= 50; i++)
		event("conf/account/a" + std::to_string(i), i, false);
	run(0);
	EXPECT_EQ(snapshots, 1);
	EXPECT_EQ(snapshot->client_accounts->len, 50u);
	EXPECT_EQ(snapshot->revision, 50);
}

// A late event or a stale peer must not restore a removed record.
TEST_F(ConfTest, TombstoneRejectsOlderRecords)
{
	event("conf/account/a", 5, false);
	event("conf/account/a", 8, true);
	event("conf/account/a", 5, false);
	items("conf/account/a", 7, 7);
	run(100);
	EXPECT_EQ(snapshot->client_accounts->len, 0u);
	EXPECT_EQ(kernel.metrics->counters[COUNTER_CONF_STALE], 2u);
}

// A malformed record must not replace the last valid one of its key, nor affect
// the records of other keys.
TEST_F(ConfTest, InvalidRecordKeepsTheLastValidOne)
{
	record_t invalid = {};

	invalid.kind = RECORD_INVALID;
	event("conf/account/a", 5, false);
	event("conf/account/a", 6, invalid);
	event("conf/account/b", 7, invalid);
	// A record under the key of another kind is refused as well.
	event("conf/target/a", 8, make_record("conf/account/a", 8, false));
	run(100);
	ASSERT_EQ(snapshot->client_accounts->len, 1u);
	EXPECT_EQ(account_revisions(snapshot)["conf/account/a"], 5);
	EXPECT_EQ(snapshot->targets->len, 0u);
}

// The complete revision of a frame that was not requested could hide a gap: the
// frame may start above the receiver's own revision.
TEST_F(ConfTest, OnlyAnsweredPullsRaiseTheRevision)
{
	event("conf/account/a", 5, false);
	items("conf/account/b", 20, 20);
	run(100);
	EXPECT_EQ(account_revisions(snapshot)["conf/account/b"], 20);
	EXPECT_EQ(snapshot->revision, 5);
	from_peer(PEER_HEARTBEAT)->u.heartbeat.conf_revision = 20;
	run(0);
	ASSERT_EQ(pulls, (std::vector<int64_t>{5}));
	items("conf/account/c", 12, 20);
	run(100);
	EXPECT_EQ(snapshot->revision, 20);
	// Records beyond the frame are requested at once.
	EXPECT_EQ(pulls, (std::vector<int64_t>{5, 20}));
}

// If a frame ended within a store transaction, the next pull would skip the
// rest of that transaction.
TEST_F(ConfTest, FramesAreBoundedAndNeverSplitARevision)
{
	for (int i = 1; i < CONF_ITEMS_MAX; i++)
		event("conf/account/a" + std::to_string(i), i, false);
	for (int i = 0; i < 3; i++)
		event("conf/account/t" + std::to_string(i), CONF_ITEMS_MAX,
		      false);
	event("conf/account/z", CONF_ITEMS_MAX + 1, false);
	from_peer(PEER_CONF_PULL)->u.conf_pull.from_revision = 0;
	run(0);
	EXPECT_EQ(items_sent, CONF_ITEMS_MAX + 2u);
	EXPECT_EQ(items_up_to, CONF_ITEMS_MAX);
	from_peer(PEER_CONF_PULL)->u.conf_pull.from_revision = items_up_to;
	run(0);
	EXPECT_EQ(items_sent, 1u);
	EXPECT_EQ(items_up_to, CONF_ITEMS_MAX + 1);
}

// A partial configuration would refuse callers whose records are still
// missing.
TEST_F(ConfTest, PublishesNothingBeforeTheFirstCompleteConfiguration)
{
	msg_t up = {};

	up.kind = MSG_PEER_UP;
	g_strlcpy(up.u.peer_addr.incarnation, "p", INCARNATION_SIZE);
	post(peer, &up);
	items("conf/account/a", 5, 5);
	run(100);
	EXPECT_EQ(snapshots, 0);
	from_peer(PEER_CONF_ITEMS)->u.conf_items.up_to_revision = 5;
	run(100);
	EXPECT_EQ(snapshots, 1);
	EXPECT_EQ(snapshot->revision, 5);
}

TEST_F(ConfTest, QuarantineExpiresByWallClock)
{
	record_t record = {};

	record.kind = RECORD_QUARANTINE;
	g_strlcpy(record.u.quarantine.fingerprint, "ab", HASH_SIZE);
	record.u.quarantine.expires_ms =
		kernel_wall(&kernel) / USEC_PER_MSEC + 90000;
	event("conf/quarantine/ab", 5, record);
	run(89000);
	EXPECT_EQ(snapshot->quarantine->len, 1u);
	run(2000);
	EXPECT_EQ(snapshot->quarantine->len, 0u);
}

// A stale copy must not restore an older order.
TEST_F(ConfTest, OrdersAreSortedAndNeverReverted)
{
	record_t record = {};

	record.kind = RECORD_ORDER;
	for (const char *name : {"b", "a"}) {
		g_strlcpy(record.u.order.target, name, NAME_SIZE);
		record.u.order.number = 2;
		event(std::string("conf/order/") + name, 6, record);
	}
	record.u.order.number = 1;
	event("conf/order/a", 5, record);
	// An order of target a under the key of target c is refused.
	event("conf/order/c", 7, record);
	run(100);
	ASSERT_EQ(snapshot->orders->len, 2u);
	auto *order = &g_array_index(snapshot->orders, record_order_t, 0);
	EXPECT_STREQ(order->target, "a");
	EXPECT_EQ(order->number, 2);
}

// An account is found by the hash of any of its API keys.
TEST_F(ConfTest, AccountsAreIndexedByKeyHash)
{
	record_t record = make_record("conf/account/b", 5, false);
	const char *budget = nullptr;

	record.u.client_account.key_count = 2;
	g_strlcpy(record.u.client_account.keys[1].hash, "h1", HASH_SIZE);
	g_strlcpy(record.u.client_account.keys[1].budget, "night", NAME_SIZE);
	event("conf/account/b", 5, record);
	event("conf/account/a", 6, false);
	run(100);
	const auto *account =
		conf_snapshot_account_by_key(snapshot, "h1", &budget);
	ASSERT_NE(account, nullptr);
	EXPECT_STREQ(account->name, "b");
	EXPECT_STREQ(budget, "night");
}

} // namespace
