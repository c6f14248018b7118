// Tests the replica: listing again after the store compacted its history,
// changes pulled from peers while the store is unavailable, and the number of
// store calls of a large fleet.
#include "kernel/hash.h"
#include "replica/entry.h"
#include "replica/replica.h"

#include <algorithm>
#include <cstring>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr const char *TARGET = "fleet/target/i-1";
constexpr const char *SELF = "m";
constexpr int LARGE_FLEET = 40; // number of peers

class Replica : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		replica_opts_t opts = {"", "z", 500};

		g_strlcpy(opts.incarnation, SELF, sizeof(opts.incarnation));
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		store = kernel_register(&kernel, "store", on_store, this);
		peer = kernel_register(&kernel, "peer", on_peer, this);
		owner = kernel_register(&kernel, "owner", on_owner, this);
		replica_init(&replica, &kernel, &opts);
		watch("fleet/");
		put(TARGET, 5);
		store_revision = 9;
	}
	void TearDown() override
	{
		replica_finish(&replica);
		kernel_finish(&kernel);
	}
	void watch(const char *prefix)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_WATCH;
		g_strlcpy(msg.u.store_get.key, prefix,
			  sizeof(msg.u.store_get.key));
		kernel_post(&kernel, owner, replica.svc, &msg);
	}
	void put(const std::string &key, int64_t revision)
	{
		store_items[key] = revision;
		store_revision = revision;
	}
	void add(store_result_t *result, const std::string &key,
		 int64_t revision, bool deleted, uint64_t sequence = 1) const
	{
		std::string text = key + std::to_string(sequence) +
				   std::to_string(conf_version);
		record_t record = {};
		GBytes *raw;

		if (key == "fleet/conf")
			text.resize(200000);
		raw = g_bytes_new(text.data(), text.size());
		if (!deleted && g_str_has_prefix(key.c_str(), "evacuation/")) {
			record.kind = RECORD_EVACUATION;
		} else if (!deleted && key == "fleet/conf" &&
			   conf_version > 0) {
			record.kind = RECORD_FLEET_CONF;
			record.u.fleet_conf = fleet_conf_new();
			record.u.fleet_conf->version = conf_version;
		} else if (!deleted) {
			record.kind = RECORD_FLEET_TARGET;
			record.u.fleet_target = g_new0(fleet_target_t, 1);
			record.u.fleet_target->sequence = sequence;
		}
		store_result_add_raw(result, key.c_str(), revision, &record,
				     deleted ? nullptr : raw);
		record_clear(&record);
		g_bytes_unref(raw);
	}
	static void on_store(void *self, msg_t *msg)
	{
		static_cast<Replica *>(self)->answer(msg);
	}
	void answer(const msg_t *msg)
	{
		store_result_t *result = store_result_new(status);
		msg_t reply = {};

		result->revision = store_revision;
		if (msg->kind == MSG_STORE_DECODE) {
			decoded += msg->u.peer.body->u.store_items.items->len;
			decode(msg->u.peer.body, result);
		} else if (msg->kind == MSG_STORE_LIST) {
			if (restore_after_page && !calls.empty()) {
				restore_after_page = false;
				put(TARGET, revision_make(1, 3));
				result->revision = store_revision;
			}
			calls.push_back(std::string("list ") +
					msg->u.store_list.prefix);
			for (auto &[key, revision] : store_items)
				if (status == STORE_OK &&
				    g_str_has_prefix(key.c_str(),
						     msg->u.store_list.prefix))
					add(result, key, revision, false);
		} else if (msg->kind == MSG_STORE_CHANGES) {
			calls.push_back(
				"changes " +
				std::to_string(msg->u.store_get.min_revision));
			if (compacted) {
				result->status = STORE_COMPACTED;
				compacted = false;
			}
			max_bytes = msg->u.store_get.max_bytes;
			if (changes_bytes > max_bytes)
				result->status = STORE_TOO_LARGE;
			for (auto &[key, revision] : store_items)
				if (result->status == STORE_OK &&
				    revision > msg->u.store_get.min_revision)
					add(result, key, revision, false,
					    (uint64_t)revision);
		}
		reply.kind = MSG_STORE_RESULT;
		reply.ref = msg->id;
		reply.u.store_result = result;
		kernel_post(&kernel, store, msg->from, &reply);
	}
	void decode(const peer_body_t *body, store_result_t *result) const
	{
		const GArray *list = body->u.store_items.items;

		result->status = STORE_OK;
		result->revision = body->u.store_items.up_to;
		for (guint i = 0; i < list->len; i++) {
			const store_item_t *item =
				&g_array_index(list, store_item_t, i);

			add(result, item->key, item->revision,
			    item->value == nullptr);
		}
	}
	static void on_peer(void *self, msg_t *msg)
	{
		Replica *r = static_cast<Replica *>(self);

		if (msg->kind != MSG_PEER_SEND)
			return;
		if (msg->u.peer.body->kind == PEER_CONF_OFFER ||
		    msg->u.peer.body->kind == PEER_CONF_REQUEST) {
			auto &versions =
				msg->u.peer.body->kind == PEER_CONF_OFFER
					? r->conf_offers
					: r->conf_requests;

			versions[msg->u.peer.incarnation].push_back(
				msg->u.peer.body->u.conf_offer.version);
		} else if (msg->u.peer.body->kind == PEER_STORE_PULL) {
			r->pulls.push_back(msg->u.peer.incarnation);
			r->pull_after = msg->u.peer.body->u.store_pull.after;
		} else {
			r->keep_bytes(msg->u.peer.body->u.store_items.items);
			r->pushes[msg->u.peer.incarnation]++;
			r->pushed += msg->u.peer.body->u.store_items.items->len;
			r->pushed -= r->count_marks(msg->u.peer.body);
			r->push_after = msg->u.peer.body->u.store_items.after;
			r->push_up_to = msg->u.peer.body->u.store_items.up_to;
			r->push_partial =
				msg->u.peer.body->u.store_items.partial;
		}
	}
	void keep_bytes(const GArray *items)
	{
		pushed_bytes = 0;
		for (guint i = 0; i < items->len; i++) {
			const store_item_t *item =
				&g_array_index(items, store_item_t, i);

			if (item->value != nullptr)
				pushed_bytes += g_bytes_get_size(item->value);
		}
	}
	void receive_offer(const char *from, int64_t version)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_RECEIVED;
		g_strlcpy(msg.u.peer.incarnation, from,
			  sizeof(msg.u.peer.incarnation));
		msg.u.peer.body = peer_body_new(PEER_CONF_OFFER);
		msg.u.peer.body->u.conf_offer.version = version;
		kernel_post(&kernel, peer, replica.svc, &msg);
		run(0);
	}
	void receive_pull(const char *from, int64_t after)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_RECEIVED;
		g_strlcpy(msg.u.peer.incarnation, from,
			  sizeof(msg.u.peer.incarnation));
		msg.u.peer.body = peer_body_new(PEER_STORE_PULL);
		msg.u.peer.body->u.store_pull.after = after;
		kernel_post(&kernel, peer, replica.svc, &msg);
		run(0);
	}
	// Counts the marks of a build that knows evacuations.
	size_t count_marks(const peer_body_t *body)
	{
		const GArray *items = body->u.store_items.items;
		size_t marks = 0;

		for (guint i = 0; i < items->len; i++)
			marks += strcmp(g_array_index(items, store_item_t, i)
						.key,
					REPLICA_KEY_COMPLETE) == 0 ||
				 strcmp(g_array_index(items, store_item_t, i)
						.key,
					REPLICA_KEY_PATCH) == 0;
		push_marks += marks;
		return marks;
	}
	static void on_owner(void *self, msg_t *msg)
	{
		Replica *r = static_cast<Replica *>(self);
		const store_result_t *result = msg->u.store_result;

		if (msg->kind == MSG_LIST_CURRENT)
			r->list_as_of = msg->u.list_current.as_of;
		if (msg->kind == MSG_FLEET_BEHIND)
			r->behind = msg->u.fleet_behind.behind;
		if (msg->kind != MSG_STORE_EVENT)
			return;
		if (result->kvs->len == 0) {
			r->store_reported_up = result->status == STORE_OK;
			r->eras.push_back(revision_era(result->revision));
			r->events_before_era = r->events;
		}
		for (guint i = 0; i < result->kvs->len; i++) {
			const store_kv_t *kv =
				&g_array_index(result->kvs, store_kv_t, i);

			r->seen[kv->key] = kv->record.kind;
			r->relayed[kv->key] = result->relayed;
			r->events++;
		}
	}
	void peer_up(const std::string &incarnation, const char *zone)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_UP;
		g_strlcpy(msg.u.peer_addr.incarnation, incarnation.c_str(),
			  sizeof(msg.u.peer_addr.incarnation));
		g_strlcpy(msg.u.peer_addr.availability_zone, zone,
			  sizeof(msg.u.peer_addr.availability_zone));
		msg.u.peer_addr.takes_patches = !former_peers;
		kernel_post(&kernel, peer, replica.svc, &msg);
	}
	// Connects peers, half of them in the replica's zone. With self_first,
	// the replica has the lowest incarnation and so is a reader.
	void connect_large_fleet(bool self_first)
	{
		for (int i = 0; i < LARGE_FLEET; i++)
			peer_up((self_first ? "z" : "a") +
					std::to_string(100 + i),
				i % 2 == 0 ? "z" : "y");
	}
	void receive_items(int64_t after, int64_t up_to,
			   const char *key = nullptr, bool deleted = false,
			   bool live = true, bool partial = false,
			   bool former_build = false)
	{
		msg_t msg = {};
		store_item_t item = {}, mark = {};

		msg.kind = MSG_PEER_RECEIVED;
		g_strlcpy(msg.u.peer.incarnation, "a100",
			  sizeof(msg.u.peer.incarnation));
		msg.u.peer.body = peer_body_new(PEER_STORE_ITEMS);
		msg.u.peer.body->u.store_items.after = after;
		msg.u.peer.body->u.store_items.up_to = up_to;
		msg.u.peer.body->u.store_items.live = live;
		msg.u.peer.body->u.store_items.partial = partial;
		if (key != nullptr) {
			g_strlcpy(item.key, key, sizeof(item.key));
			item.revision = up_to;
			if (!deleted)
				item.value = g_bytes_new("x", 1);
			g_array_append_val(msg.u.peer.body->u.store_items.items,
					   item);
		}
		g_strlcpy(mark.key, REPLICA_KEY_COMPLETE, sizeof(mark.key));
		mark.revision = after;
		if (!former_build)
			g_array_append_val(msg.u.peer.body->u.store_items.items,
					   mark);
		kernel_post(&kernel, peer, replica.svc, &msg);
		run(0);
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
	void start()
	{
		kernel_start(&kernel);
		run(100000);
	}
	kernel_t kernel;
	replica_t replica;
	svc_t store, peer, owner;
	store_status_t status = STORE_OK;
	std::map<std::string, int64_t> store_items; // key -> revision
	int64_t store_revision = 0;
	bool compacted = false;
	uint64_t max_bytes = 0; // of the last read of changes
	uint64_t changes_bytes = 0; // that a read of changes has
	bool restore_after_page = false;
	bool former_peers = false; // of a build that does not take patches
	bool store_reported_up = false;
	std::vector<std::string> calls, pulls;
	std::map<std::string, int> pushes;
	std::map<std::string, record_kind_t> seen;
	std::map<std::string, bool> relayed; // the last event, by a peer
	size_t pushed = 0, decoded = 0; // number of items
	size_t push_marks = 0;
	size_t pushed_bytes = 0; // in the values of the last message
	int64_t push_after = 0, push_up_to = 0, pull_after = -1;
	bool push_partial = false;
	int64_t list_as_of = -1;
	bool behind = false;
	int events = 0, events_before_era = 0;
	std::vector<int64_t> eras; // of events without keys
	int64_t conf_version = 0; // in the store; 0: as a target
	std::map<std::string, std::vector<int64_t>> conf_offers, conf_requests;
};

// Applies states of one key, as they come from the store or from peers.
class Entry : public ::testing::Test
{
      protected:
	void TearDown() override
	{
		g_hash_table_unref(entries);
	}
	bool apply(const char *key, int64_t revision, record_t *record)
	{
		store_kv_t kv = {};
		std::string text = std::to_string(++values);
		bool changed;

		g_strlcpy(kv.key, key, sizeof(kv.key));
		kv.revision = revision;
		kv.record = *record;
		kv.raw = g_bytes_new(text.data(), text.size());
		changed = replica_entries_apply(entries, &kv, 0);
		g_bytes_unref(kv.raw);
		record_clear(&kv.record);
		return changed;
	}
	bool conf(int64_t revision, int64_t version)
	{
		record_t record = {};

		record.kind = RECORD_FLEET_CONF;
		record.u.fleet_conf = fleet_conf_new();
		record.u.fleet_conf->version = version;
		return apply("fleet/conf", revision, &record);
	}
	bool target(int64_t revision, int64_t started_ms, uint64_t sequence,
		    bool draining)
	{
		record_t record = {};

		record.kind = RECORD_FLEET_TARGET;
		record.u.fleet_target = g_new0(fleet_target_t, 1);
		record.u.fleet_target->started_ms = started_ms;
		record.u.fleet_target->sequence = sequence;
		record.u.fleet_target->draining = draining;
		return apply(TARGET, revision, &record);
	}
	bool deleted(const char *key, int64_t revision)
	{
		record_t record = {};

		return apply(key, revision, &record);
	}
	const record_t *known(const char *key)
	{
		return &static_cast<replica_entry_t *>(
				g_hash_table_lookup(entries, key))
				->record;
	}
	GHashTable *entries = replica_entries_new();
	int values = 0;
};

TEST_F(Entry, ConfigurationOfARestoredStoreReplacesNoHigherVersion)
{
	record_t invalid = {};

	invalid.kind = RECORD_INVALID;
	EXPECT_TRUE(conf(revision_make(1, 90), 15));
	EXPECT_FALSE(conf(revision_make(2, 40), 11));
	EXPECT_FALSE(apply("fleet/conf", revision_make(2, 41), &invalid));
	EXPECT_FALSE(deleted("fleet/conf", revision_make(2, 42)));
	ASSERT_EQ(known("fleet/conf")->kind, RECORD_FLEET_CONF);
	EXPECT_EQ(known("fleet/conf")->u.fleet_conf->version, 15);
	// The next version has a lower revision than the last one.
	EXPECT_TRUE(conf(revision_make(2, 43), 17));
	// Another document of that version, written later.
	EXPECT_TRUE(conf(revision_make(2, 44), 17));
}

// An instance that has just started may know only the restored store.
TEST_F(Entry, HigherVersionOfAPeerIsTakenAtAnyRevision)
{
	EXPECT_TRUE(conf(revision_make(2, 40), 11));
	EXPECT_TRUE(conf(revision_make(1, 90), 15));
	EXPECT_FALSE(conf(revision_make(1, 80), 13));
	EXPECT_EQ(known("fleet/conf")->u.fleet_conf->version, 15);
}

// Guards against a message that peers reject, with the connection, since it has
// more items or bytes than a frame takes.
TEST_F(Entry, ManyItemsGoInMessagesThatAFrameTakes)
{
	const int64_t count = 10000;
	int64_t after = 0, received = 0;

	for (int64_t i = 1; i <= count; i++) {
		record_t gone = {};
		std::string key = "fleet/target/" + std::to_string(i);

		// A few keys are as long as the store allows.
		if (i > count - 3000)
			key.resize(200, 'k');
		apply(key.c_str(), i, &gone);
	}
	while (after < count) {
		GArray *items = g_array_new(FALSE, TRUE, sizeof(store_item_t));
		int64_t up_to =
			replica_entries_since(entries, after, count, items);
		size_t bytes = 0;

		for (guint i = 0; i < items->len; i++) {
			store_item_t *item =
				&g_array_index(items, store_item_t, i);

			bytes += strlen(item->key) + 16;
			g_clear_pointer(&item->value, g_bytes_unref);
		}
		received += items->len;
		EXPECT_LT(items->len, 4096u);
		EXPECT_LT(bytes, 1048576u);
		ASSERT_GT(up_to, after);
		after = up_to;
		g_array_unref(items);
	}
	EXPECT_EQ(received, count);
}

TEST_F(Entry, RestoredStoreMakesNoDrainingTargetReady)
{
	EXPECT_TRUE(target(revision_make(1, 50), 1000, 7, false));
	EXPECT_TRUE(target(revision_make(1, 60), 1000, 9, true));
	EXPECT_FALSE(target(revision_make(2, 50), 1000, 7, false));
	EXPECT_TRUE(known(TARGET)->u.fleet_target->draining);
	// Written again by the target itself.
	EXPECT_FALSE(target(revision_make(2, 51), 1000, 10, true));
	EXPECT_TRUE(known(TARGET)->u.fleet_target->draining);
	// Another process with the same id counts anew.
	EXPECT_TRUE(target(revision_make(2, 52), 2000, 1, false));
}

TEST_F(Entry, TargetThatHasLeftDoesNotReturnWithARestoredStore)
{
	EXPECT_TRUE(target(revision_make(1, 50), 1000, 7, false));
	// A heartbeat is no change, but counts as a statement.
	EXPECT_FALSE(target(revision_make(1, 60), 1000, 9, false));
	EXPECT_TRUE(deleted(TARGET, revision_make(1, 70)));
	EXPECT_FALSE(target(revision_make(2, 55), 1000, 8, false));
	EXPECT_EQ(known(TARGET)->kind, RECORD_NONE);
	EXPECT_TRUE(target(revision_make(2, 56), 1000, 10, false));
	EXPECT_EQ(known(TARGET)->kind, RECORD_FLEET_TARGET);
}

// Without the start of its process, only the store's order is left.
TEST_F(Entry, TargetWithoutAStartFollowsTheStore)
{
	EXPECT_TRUE(target(revision_make(1, 50), 0, 9, true));
	EXPECT_TRUE(target(revision_make(2, 40), 0, 7, false));
	EXPECT_FALSE(known(TARGET)->u.fleet_target->draining);
}

TEST_F(Replica, ListsOnceThenReadsChanges)
{
	kernel_start(&kernel);
	run(3 * USEC_PER_SEC);
	EXPECT_EQ(seen[TARGET], RECORD_FLEET_TARGET);
	ASSERT_GT(calls.size(), 4u);
	// Evacuations come first: no target is known before them.
	EXPECT_EQ(calls[0], "list evacuation/");
	EXPECT_EQ(calls[1], "list fleet/conf");
	EXPECT_EQ(calls[4], "changes 9");
	/* 3 s of reads at an interval of 500 ms: at most 7. */
	EXPECT_LE(calls.size(), 4u + 7u);
}

// Guards against an instance that never catches up: all versions of a large
// configuration that the store still keeps take longer than a read may.
TEST_F(Replica, StateIsListedIfTheChangesAreLarger)
{
	conf_version = 3;
	put("fleet/conf", 7);
	start();
	put("fleet/conf", 14);
	conf_version = 4;
	// Twelve versions of 200,000 bytes, in base64.
	changes_bytes = 3200000;
	calls.clear();
	run(600000);
	EXPECT_EQ(calls[0], "changes 7");
	EXPECT_EQ(calls[1], "list evacuation/");
	EXPECT_EQ(replica.revision, 14);
	EXPECT_TRUE(store_reported_up);
	// One value of the largest size is read as a change.
	EXPECT_GE(max_bytes, 1400000u);
	EXPECT_LE(max_bytes, 1600000u);
}

// A target that is deleted before a compaction is missing from the changes;
// only a new listing shows the deletion.
TEST_F(Replica, CompactedHistoryIsListedAgainWithoutAGap)
{
	start();
	ASSERT_EQ(seen[TARGET], RECORD_FLEET_TARGET);
	store_items.clear();
	store_revision = 20;
	compacted = true;
	run(USEC_PER_SEC);
	EXPECT_EQ(seen[TARGET], RECORD_NONE);
	EXPECT_EQ(replica.revision, 20);
}

// Guards against a configuration that arrives seconds late: a store that has
// dropped its history responds, so the listing must not wait like a retry of a
// store that does not.
TEST_F(Replica, HistoryDroppedInAnOutageIsListedAtOnce)
{
	for (bool reader : {true, false}) {
		start();
		connect_large_fleet(reader);
		status = STORE_UNKNOWN;
		run(3 * USEC_PER_SEC);
		ASSERT_FALSE(store_reported_up);
		calls.clear();
		status = STORE_OK;
		compacted = true;
		for (int i = 0; i < 500 && calls.empty(); i++)
			run(10000);
		run(10000);
		EXPECT_TRUE(store_reported_up) << reader;
		EXPECT_GE(calls.size(), 4u) << reader;
		TearDown();
		SetUp();
	}
}

// Guards against a list that is taken for complete as of now though it was read
// before.
TEST_F(Replica, ListIsCurrentAsOfTheStartOfItsRead)
{
	msg_t request = {};
	int64_t asked_at;

	start();
	EXPECT_GE(list_as_of, 0);
	run(300000);
	asked_at = kernel_now(&kernel);
	EXPECT_LT(list_as_of, asked_at);
	request.kind = MSG_LIST_REQUEST;
	kernel_post(&kernel, owner, replica.svc, &request);
	run(100000);
	EXPECT_GE(list_as_of, asked_at);
	status = STORE_UNAVAILABLE;
	run(2 * USEC_PER_SEC);
	EXPECT_LT(list_as_of, kernel_now(&kernel) - USEC_PER_SEC);
}

TEST_F(Replica, HeartbeatsSendNoEvents)
{
	start();
	ASSERT_EQ(events, 1);
	put(TARGET, 12);
	run(USEC_PER_SEC);
	EXPECT_EQ(replica.revision, 12);
	EXPECT_EQ(events, 1);
}

TEST_F(Replica, PeersArePulledWhileTheStoreIsUnavailable)
{
	status = STORE_UNKNOWN;
	peer_up("a100", "y");
	kernel_start(&kernel);
	run(USEC_PER_SEC);
	EXPECT_FALSE(store_reported_up);
	EXPECT_GE(pulls.size(), 2u);
	receive_items(0, 30, TARGET);
	EXPECT_EQ(seen[TARGET], RECORD_FLEET_TARGET);
	EXPECT_EQ(replica.revision, 30);
	/* Items from a peer do not mean that the store answers again. */
	EXPECT_FALSE(store_reported_up);
}

// In a large fleet only the reader reads, to limit the load on the store.
TEST_F(Replica, FollowerDoesNotReadWhileRelayed)
{
	start();
	connect_large_fleet(false);
	receive_items(9, 9);
	calls.clear();
	for (int i = 0; i < 20; i++) {
		receive_items(9 + i, 10 + i, i == 10 ? TARGET : nullptr, true);
		run(300000);
	}
	EXPECT_EQ(calls.size(), 0u);
	EXPECT_EQ(seen[TARGET], RECORD_NONE);
	EXPECT_EQ(replica.revision, 29);
}

TEST_F(Replica, FollowerWithoutRelayReadsTheStore)
{
	start();
	connect_large_fleet(false);
	receive_items(9, 9);
	run(600000);
	calls.clear();
	put("fleet/target/i-2", 14);
	run(1400000);
	EXPECT_GE(calls.size(), 1u);
	EXPECT_EQ(seen["fleet/target/i-2"], RECORD_FLEET_TARGET);
}

// Changes that a reader pushed before the follower was connected must be pulled
// from it.
TEST_F(Replica, FollowerPullsMissingChanges)
{
	start();
	connect_large_fleet(false);
	receive_items(9, 9);
	pulls.clear();
	receive_items(40, 50, TARGET, true);
	ASSERT_EQ(pulls.size(), 1u);
	EXPECT_EQ(pulls[0], "a100");
	EXPECT_EQ(seen[TARGET], RECORD_FLEET_TARGET);
	receive_items(9, 50, TARGET, true);
	EXPECT_EQ(seen[TARGET], RECORD_NONE);
	EXPECT_EQ(replica.revision, 50);
}

// A follower does not read at intervals, so it must detect an unavailable store
// by the failed call of another service.
TEST_F(Replica, FollowerReadsWhenAnotherCallFailed)
{
	msg_t msg = {};

	start();
	connect_large_fleet(false);
	run(600000);
	receive_items(9, 10);
	status = STORE_UNAVAILABLE;
	msg.kind = MSG_STORE_EVENT;
	msg.u.store_result = store_result_new(STORE_UNAVAILABLE);
	kernel_post(&kernel, store, replica.svc, &msg);
	run(400000);
	EXPECT_FALSE(store_reported_up);
	/* The store's return is noticed although readers push all changes. */
	status = STORE_OK;
	for (int i = 0; i < 5; i++) {
		receive_items(10, 10);
		run(300000);
	}
	EXPECT_TRUE(store_reported_up);
}

// Guards against a configuration that arrives late: an instance without access
// to the store took the answers of peers in the same situation for the pushes
// of a reader, and stopped asking other peers.
TEST_F(Replica, PullAnswersDoNotCountAsRelay)
{
	start();
	connect_large_fleet(false);
	status = STORE_UNAVAILABLE;
	run(USEC_PER_SEC);
	ASSERT_FALSE(store_reported_up);
	pulls.clear();
	for (int i = 0; i < 10; i++) {
		receive_items(9, 20 + i, nullptr, false, false);
		run(300000);
	}
	EXPECT_GE(pulls.size(), 9u);
}

// Guards against changes that are delayed behind a large configuration, which a
// reader with a slow link would send to its whole zone.
TEST_F(Replica, LargeItemsAreNotPushed)
{
	start();
	connect_large_fleet(true);
	run(600000);
	pushes.clear();
	pushed = 0;
	put("fleet/conf", 14);
	put("fleet/target/i-2", 15);
	run(600000);
	EXPECT_EQ(pushed, pushes.size());
	EXPECT_TRUE(push_partial);
	EXPECT_EQ(push_up_to, 13);
	run(600000);
	/* The next push is complete again. */
	EXPECT_FALSE(push_partial);
	EXPECT_EQ(push_after, 15);
}

TEST_F(Replica, FollowerReadsOmittedItems)
{
	start();
	connect_large_fleet(false);
	run(600000);
	receive_items(9, 10);
	run(400000);
	calls.clear();
	put("fleet/conf", 14);
	receive_items(10, 13, nullptr, false, true, true);
	EXPECT_EQ(calls.size(), 1u);
	EXPECT_EQ(seen.count("fleet/conf"), 1u);
	EXPECT_EQ(replica.revision, 14);
}

// Guards against a configuration that is seconds late at an instance which the
// store does not answer, while pushes without it go on, and against final
// refusals by the older one meanwhile.
TEST_F(Replica, FollowerWithoutTheStorePullsOmittedItems)
{
	start();
	connect_large_fleet(false);
	run(600000);
	receive_items(9, 10);
	status = STORE_UNAVAILABLE;
	run(2 * USEC_PER_SEC);
	ASSERT_FALSE(store_reported_up);
	receive_items(10, 10);
	pulls.clear();
	EXPECT_FALSE(behind);
	receive_items(10, 13, nullptr, false, true, true);
	EXPECT_TRUE(behind);
	EXPECT_EQ(pulls, std::vector<std::string>{"a100"});
	receive_items(13, 13, nullptr, false, true, true);
	EXPECT_EQ(pulls.size(), 1u);
	receive_items(10, 14, "fleet/conf", false, false);
	EXPECT_EQ(seen.count("fleet/conf"), 1u);
	EXPECT_FALSE(behind);
}

// Guards against two calls of each instance for each configuration: a second
// push that omits the same item must not lead to another read.
TEST_F(Replica, KnownOmittedItemIsNotReadAgain)
{
	start();
	connect_large_fleet(false);
	run(600000);
	receive_items(9, 10);
	run(400000);
	put("fleet/conf", 14);
	receive_items(10, 13, nullptr, false, true, true);
	calls.clear();
	receive_items(10, 13, nullptr, false, true, true);
	run(400000);
	EXPECT_EQ(calls.size(), 0u);
}

// Decoding a large configuration takes long, and each of the two readers sends
// the same items.
TEST_F(Replica, KnownItemsAreNotDecodedAgain)
{
	start();
	connect_large_fleet(false);
	receive_items(9, 20, TARGET);
	EXPECT_EQ(decoded, 1u);
	receive_items(9, 20, TARGET);
	receive_items(9, 21);
	EXPECT_EQ(decoded, 1u);
	EXPECT_EQ(replica.revision, 21);
}

// Guards against links that are full of documents: an instance that the store
// turns away asks a peer every 300 ms, and only one of them has to send it.
TEST_F(Replica, PullIsAnsweredWithAnOfferOfALargeConfiguration)
{
	conf_version = 3;
	start();
	peer_up("p1", "z");
	put("fleet/conf", 14);
	run(600000);
	ASSERT_EQ(seen["fleet/conf"], RECORD_FLEET_CONF);
	conf_offers.clear();
	receive_pull("p1", 9);
	EXPECT_EQ(pushes.count("p1"), 1u);
	EXPECT_LE(pushed_bytes, 8192u);
	EXPECT_EQ(conf_offers["p1"], std::vector<int64_t>{3});
	// The changes that the offer stands for are not complete without it.
	EXPECT_TRUE(push_partial);
	EXPECT_EQ(push_up_to, 13);
}

// Guards against an instance of the former build that never gets a
// configuration while the store turns it away: it asks for no document.
TEST_F(Replica, PullOfTheFormerBuildIsAnsweredWithTheDocument)
{
	conf_version = 3;
	former_peers = true;
	start();
	peer_up("p1", "z");
	put("fleet/conf", 14);
	run(600000);
	receive_pull("p1", 9);
	EXPECT_GE(pushed_bytes, 200000u);
	EXPECT_FALSE(push_partial);
	EXPECT_EQ(push_up_to, 14);
}

// Guards against several documents on one link: one that was asked for has to
// arrive, or be late, before another is.
TEST_F(Replica, OneDocumentIsRequestedAtATime)
{
	start();
	peer_up("a100", "z");
	peer_up("a101", "z");
	receive_offer("a100", 5);
	EXPECT_EQ(conf_requests["a100"], std::vector<int64_t>{5});
	EXPECT_EQ(conf_requests.count(""), 0u);
	receive_offer("a101", 6);
	EXPECT_EQ(conf_requests.count("a101"), 0u);
	run(2 * USEC_PER_SEC);
	receive_offer("a101", 6);
	EXPECT_EQ(conf_requests["a101"], std::vector<int64_t>{6});
}

// Services wait for targets to write themselves again only if they learn of the
// restore before the deletions.
TEST_F(Replica, RestoreIsReportedBeforeItsDeletions)
{
	start();
	EXPECT_EQ(seen[TARGET], RECORD_FLEET_TARGET);
	store_items.clear();
	put("fleet/target/i-2", revision_make(1, 4));
	compacted = true;
	run(700000);
	EXPECT_EQ(seen[TARGET], RECORD_NONE);
	EXPECT_EQ(seen["fleet/target/i-2"], RECORD_FLEET_TARGET);
	// The era is not known yet when the store first responds.
	EXPECT_EQ(eras, (std::vector<int64_t>{-1, 0, 1}));
	EXPECT_EQ(events_before_era, 1);
}

// Pages of two eras are no state of the store.
TEST_F(Replica, ListingIsRepeatedIfTheStoreIsRestoredMeanwhile)
{
	restore_after_page = true;
	start();
	EXPECT_EQ(calls, (std::vector<std::string>{
				 "list evacuation/", "list fleet/conf",
				 "list evacuation/", "list fleet/conf",
				 "list fleet/target/", "list prepaid/"}));
	EXPECT_EQ(replica.revision, revision_make(1, 3));
	EXPECT_EQ(seen[TARGET], RECORD_FLEET_TARGET);
}

// An instance that starts after a restore reads an older configuration than the
// one that the operator has been told is in force.
TEST_F(Replica, LostConfigurationIsTakenFromAPeer)
{
	msg_t offer = {};

	conf_version = 11;
	put("fleet/conf", revision_make(2, 7));
	for (int i = 0; i < 3; i++) {
		offer.kind = MSG_PEER_RECEIVED;
		g_strlcpy(offer.u.peer.incarnation, "b",
			  sizeof(offer.u.peer.incarnation));
		offer.u.peer.body = peer_body_new(PEER_CONF_OFFER);
		offer.u.peer.body->u.conf_offer.version = 15;
		kernel_post(&kernel, peer, replica.svc, &offer);
	}
	start();
	ASSERT_EQ(conf_requests["b"], std::vector<int64_t>{15});
	conf_version = 15;
	// The answer holds that item only, and so has no mark.
	receive_items(0, 0, "fleet/conf", false, false, false, true);
	EXPECT_EQ(seen["fleet/conf"], RECORD_FLEET_CONF);
	// It is passed on to others that start.
	peer_up("c", "z");
	run(0);
	EXPECT_EQ(conf_offers["c"], std::vector<int64_t>{15});
}

// A version that only some instances have read before the restore.
TEST_F(Replica, PeersAreToldOfAConfigurationThatTheStoreHasLost)
{
	conf_version = 15;
	put("fleet/conf", revision_make(1, 90));
	start();
	EXPECT_TRUE(conf_offers[""].empty());
	conf_version = 11;
	put("fleet/conf", revision_make(2, 40));
	compacted = true;
	run(700000);
	EXPECT_EQ(conf_offers[""], std::vector<int64_t>{15});
}

// Guards against an evacuation that reaches only the instance that reads it,
// and against a report that hides where it was learnt.
TEST_F(Replica, EvacuationIsReadAndPushed)
{
	watch("evacuation/");
	start();
	connect_large_fleet(true);
	run(600000);
	pushed = push_marks = 0;
	pushes.clear();
	put("evacuation/z1", 14);
	run(600000);
	EXPECT_EQ(seen["evacuation/z1"], RECORD_EVACUATION);
	EXPECT_FALSE(relayed["evacuation/z1"]);
	EXPECT_EQ(pushes.size(), (size_t)LARGE_FLEET / 2 + 2);
	EXPECT_EQ(pushed, pushes.size());
	EXPECT_EQ(push_marks, pushes.size());
}

// Guards against a zone that keeps its requests at an instance that is cut off
// from the store.
TEST_F(Replica, EvacuationAndItsEndComeFromPeersInAnOutage)
{
	watch("evacuation/");
	start();
	peer_up("a100", "y");
	status = STORE_UNAVAILABLE;
	run(USEC_PER_SEC);
	receive_items(9, 20, "evacuation/z1", false, false);
	EXPECT_EQ(seen["evacuation/z1"], RECORD_EVACUATION);
	EXPECT_TRUE(relayed["evacuation/z1"]);
	receive_items(20, 22, "evacuation/z1", true, false);
	EXPECT_EQ(seen["evacuation/z1"], RECORD_NONE);
}

// Guards against a service with two watches that takes one outage for two, or
// passes each statement on twice.
TEST_F(Replica, OwnerOfTwoWatchesIsToldOnceOfTheStore)
{
	size_t before;

	watch("evacuation/");
	start();
	before = eras.size();
	status = STORE_UNAVAILABLE;
	run(USEC_PER_SEC);
	EXPECT_FALSE(store_reported_up);
	EXPECT_EQ(eras.size(), before + 1);
}

// Guards against an evacuation that is never learnt while instances are
// replaced: a reader of the former build passes over its key, and says that it
// is complete up to a later revision.
TEST_F(Replica, PushesOfTheFormerBuildReplaceNoRead)
{
	watch("evacuation/");
	start();
	connect_large_fleet(false);
	for (int i = 0; i < 10; i++) {
		receive_items(9, 20, nullptr, false, true, false, true);
		if (i == 2)
			put("evacuation/z1", 14);
		run(300000);
	}
	EXPECT_EQ(seen["evacuation/z1"], RECORD_EVACUATION);
	EXPECT_EQ(replica.revision, 14);
}

// The same without the store: what a peer of the former build passed over must
// still be taken from another one.
TEST_F(Replica, PeerOfTheFormerBuildHidesNoEvacuationInAnOutage)
{
	watch("evacuation/");
	start();
	peer_up("a100", "y");
	status = STORE_UNAVAILABLE;
	run(USEC_PER_SEC);
	receive_items(9, 30, TARGET, true, false, false, true);
	EXPECT_EQ(seen[TARGET], RECORD_NONE);
	EXPECT_EQ(replica.revision, 9);
	run(USEC_PER_SEC);
	EXPECT_EQ(pull_after, 9);
	receive_items(9, 20, "evacuation/z1", false, false);
	EXPECT_EQ(seen["evacuation/z1"], RECORD_EVACUATION);
}

// Guards against an instance that starts without the store, knows only what a
// peer of the former build told, and never learns the rest.
TEST_F(Replica, StateOfTheFormerBuildIsListedAgain)
{
	watch("evacuation/");
	status = STORE_UNAVAILABLE;
	put("evacuation/z1", 14);
	put(TARGET, 30);
	peer_up("a100", "y");
	start();
	receive_items(0, 30, TARGET, false, false, false, true);
	EXPECT_EQ(seen[TARGET], RECORD_FLEET_TARGET);
	EXPECT_EQ(seen.count("evacuation/z1"), 0u);
	status = STORE_OK;
	run(USEC_PER_SEC);
	EXPECT_EQ(seen["evacuation/z1"], RECORD_EVACUATION);
	EXPECT_FALSE(replica.incomplete);
}

// The same while the store stays away: the whole state is asked for until a
// peer of this build has sent it.
TEST_F(Replica, StateOfTheFormerBuildIsCompletedByAPeer)
{
	watch("evacuation/");
	status = STORE_UNAVAILABLE;
	peer_up("a100", "y");
	start();
	receive_items(0, 30, TARGET, false, false, false, true);
	run(USEC_PER_SEC);
	EXPECT_EQ(pull_after, 0);
	receive_items(0, 30, "evacuation/z1", false, false);
	EXPECT_EQ(seen["evacuation/z1"], RECORD_EVACUATION);
	run(USEC_PER_SEC);
	EXPECT_EQ(pull_after, 30);
}

// A peer that was cut off does not know of the deletion.
TEST_F(Replica, PeerBringsNoDeletedKeyBack)
{
	start();
	connect_large_fleet(false);
	receive_items(9, revision_make(1, 4), "fleet/target/i-3", true);
	receive_items(0, 8, "fleet/target/i-7", false, false);
	EXPECT_EQ(seen.count("fleet/target/i-7"), 0u);
	receive_items(0, 8, "fleet/target/i-3", false, false);
	EXPECT_EQ(seen["fleet/target/i-3"], RECORD_NONE);
}

// Each call is billed, and in a large fleet many instances make calls.
TEST_F(Replica, FollowerRarelyRetriesAnUnavailableStore)
{
	start();
	connect_large_fleet(false);
	status = STORE_UNAVAILABLE;
	run(3 * USEC_PER_SEC);
	ASSERT_FALSE(store_reported_up);
	calls.clear();
	pulls.clear();
	run(8 * USEC_PER_SEC);
	EXPECT_LE(calls.size(), 2u);
	EXPECT_GE(pulls.size(), 24u);
	status = STORE_OK;
	run(4300000);
	EXPECT_TRUE(store_reported_up);
}

// Guards against an instance that learns late that the store is back.
TEST_F(Replica, PushEndsAnOutageEarly)
{
	start();
	connect_large_fleet(false);
	status = STORE_UNAVAILABLE;
	run(3 * USEC_PER_SEC);
	ASSERT_FALSE(store_reported_up);
	run(1100000);
	status = STORE_OK;
	receive_items(9, 9);
	run(400000);
	EXPECT_TRUE(store_reported_up);
}

// An instance that the store turns away while it serves the others must notice
// when this ends.
TEST_F(Replica, FollowerThatIsTurnedAwayRetriesEachSecond)
{
	start();
	connect_large_fleet(false);
	status = STORE_UNAVAILABLE;
	run(3 * USEC_PER_SEC);
	calls.clear();
	for (int i = 0; i < 20; i++) {
		receive_items(9, 9);
		run(300000);
	}
	EXPECT_LE(calls.size(), 6u);
	EXPECT_GE(calls.size(), 4u);
}

TEST_F(Replica, ReaderPushesChangesToItsZoneAndAllRelays)
{
	start();
	connect_large_fleet(true);
	run(600000);
	pushes.clear();
	pushed = 0;
	put("fleet/target/i-2", 14);
	put("prepaid/a", 15);
	run(600000);
	/* All of the zone, and the two relays of the other zone. */
	EXPECT_EQ(pushes.size(), (size_t)LARGE_FLEET / 2 + 2);
	EXPECT_EQ(pushes.count("z100"), 1u);
	EXPECT_EQ(pushes.count("z101"), 1u);
	EXPECT_EQ(pushes.count("z103"), 1u);
	EXPECT_EQ(pushes.count("z105"), 0u);
	EXPECT_EQ(pushed, pushes.size());
	EXPECT_EQ(push_up_to, 15);
	put("fleet/target/i-2", 16);
	pushed = 0;
	run(600000);
	/* A heartbeat is not pushed; only the revision advances. */
	EXPECT_EQ(pushed, 0u);
	EXPECT_EQ(push_after, 15);
	EXPECT_EQ(push_up_to, 16);
}

GBytes *make_text(size_t size, uint64_t seed)
{
	std::string text;

	for (uint64_t i = 0; text.size() < size; i++)
		text += std::to_string(hash_mix(seed + i));
	text.resize(size);
	return g_bytes_new(text.data(), text.size());
}

// Returns the document with one byte changed.
GBytes *change(GBytes *document, size_t at)
{
	gsize size;
	const char *data =
		static_cast<const char *>(g_bytes_get_data(document, &size));
	std::string text(data, size);

	text[at] = 'x';
	return g_bytes_new(text.data(), text.size());
}

// Guards against a document that differs from the one that was written.
TEST(Patch, MakesTheDocumentOfItsBaseOnly)
{
	for (size_t size : {1u, 5000u, 400000u, (unsigned)PATCH_DOCUMENT_MAX}) {
		g_autoptr(GBytes) base = make_text(size, 1);
		g_autoptr(GBytes) other = make_text(size + 10, 9);
		g_autoptr(GBytes) next = change(base, size / 2);
		g_autoptr(GBytes) frame = patch_make_frame(base, next);
		g_autoptr(GBytes) made = patch_apply_frame(base, frame);
		g_autoptr(GBytes) wrong = patch_apply_frame(other, frame);

		ASSERT_NE(made, nullptr);
		EXPECT_TRUE(g_bytes_equal(made, next));
		EXPECT_LE(g_bytes_get_size(frame), 300u);
		EXPECT_TRUE(wrong == nullptr || g_bytes_equal(wrong, next));
	}
}

// Guards against a process that ends, or fills its memory, on the bytes of a
// peer.
TEST(Patch, MutatedFramesAreAppliedOrRefused)
{
	g_autoptr(GBytes) base = make_text(20000, 1);
	g_autoptr(GBytes) next = change(base, 700);
	g_autoptr(GBytes) frame = patch_make_frame(base, next);
	patch_t patch = {1, 2, 3, frame}, read = {};
	g_autoptr(GBytes) whole = patch_encode(&patch);
	gsize size;
	const guint8 *data =
		static_cast<const guint8 *>(g_bytes_get_data(whole, &size));

	for (uint64_t i = 0; i < 20000; i++) {
		std::vector<guint8> bytes(data, data + size);
		g_autoptr(GBytes) value = nullptr;
		g_autoptr(GBytes) made = nullptr;

		bytes[hash_mix(i) % size] = (guint8)hash_mix(i + 1);
		if (i % 3 == 0)
			bytes.resize(hash_mix(i + 2) % size);
		value = g_bytes_new(bytes.data(), bytes.size());
		if (!patch_decode(value, &read))
			continue;
		EXPECT_GE(read.up_to, 0);
		if (read.frame != nullptr)
			made = patch_apply_frame(base, read.frame);
		EXPECT_TRUE(made == nullptr ||
			    g_bytes_get_size(made) <= PATCH_DOCUMENT_MAX);
		patch_clear(&read);
	}
}

// Guards against a frame that names a size beyond any document.
TEST(Patch, DocumentAboveTheLimitIsRefused)
{
	g_autoptr(GBytes) base = make_text(1000, 1);
	g_autoptr(GBytes) large = make_text(PATCH_DOCUMENT_MAX + 1, 1);
	g_autoptr(GBytes) frame = patch_make_frame(base, large);

	EXPECT_EQ(frame, nullptr);
}

constexpr int ZONES = 6;
constexpr int ZONE_SIZE = 10;
constexpr int64_t POLL_US = 600000;
constexpr int64_t FLEET_STEP_US = 5000;
constexpr int64_t LINK_BYTES_PER_MS = 1250; // 10 Mbit/s
constexpr int64_t CONF_INTERVAL_US = 1600000;
constexpr int64_t CONF_BOUND_US = 3 * USEC_PER_SEC;
constexpr int CONF_ROUTES = 2000;

struct fleet_t;

struct member_t {
	void read_evacuation(const msg_t *msg, store_result_t *result) const;
	size_t read_conf(const msg_t *msg, store_result_t *result) const;
	// Bytes arrive one after the other; returns when the last one has.
	int64_t receive_bytes(size_t bytes);
	void deliver(int64_t until);
	int64_t version() const;

	fleet_t *fleet;
	std::string incarnation, zone;
	kernel_t kernel;
	replica_t replica;
	svc_t store, peer;
	bool silent = false; // sends nothing, as if paused
	bool deaf = false; // receives nothing from peers
	bool plain = false; // of a build that takes no patches
	bool cut = false; // its calls to the store fail
	bool former = false; // of a build that passes over evacuations
	int calls = 0;
	int64_t bytes_in = 0;
	int64_t link_free_at = 0;
	std::deque<std::pair<int64_t, msg_t>> arriving; // with time, us
};

// A fleet of replicas in several zones that share a store.
struct fleet_t {
	std::vector<std::unique_ptr<member_t>> members;
	int64_t now = 0;
	int64_t revision = 9;
	int64_t evacuation = 0; // revision of the key; 0: absent
	std::map<int64_t, GBytes *> documents; // by revision
	std::map<int64_t, int64_t> versions; // by revision
	bool slow_links = false;

	// Of a period of instances, the first ones are of a build that takes no
	// patches.
	fleet_t(int plain = 0, int period = 1)
	{
		for (int i = 0; i < ZONES * ZONE_SIZE; i++)
			add(i);
		for (int i = 0; i < ZONES * ZONE_SIZE; i++)
			members[(size_t)i]->plain = i % period < plain;
		for (auto &member : members)
			for (auto &other : members)
				if (member != other)
					connect(member.get(), other.get());
	}
	~fleet_t()
	{
		for (auto &member : members) {
			replica_finish(&member->replica);
			kernel_finish(&member->kernel);
			for (auto &[at, msg] : member->arriving)
				msg_clear(&msg);
		}
		for (auto &[at, document] : documents)
			g_bytes_unref(document);
	}
	// Writes a document that differs from the last one in a few places, or
	// with another seed in all of them.
	void write_conf(uint64_t seed = 7)
	{
		int64_t version = (int64_t)versions.size() * 3 + 1;
		std::string text = "{\"version\":" + std::to_string(version);

		for (int i = 0; i < CONF_ROUTES; i++) {
			seed = hash_mix(seed + 1);
			text += ",{\"name\":\"r-" + std::to_string(seed) +
				"\",\"host\":\"" +
				std::to_string(hash_mix(seed)) +
				".example\",\"path_prefix\":\"/" +
				std::to_string(hash_mix(seed + 2)) +
				"/\",\"kind\":\"streaming\","
				"\"service\":\"s\",\"max_attempts\":2,"
				"\"timeout_ms\":" +
				std::to_string(i == version % CONF_ROUTES
						       ? 9000
						       : 10000) +
				"}";
		}
		revision++;
		documents[revision] = g_bytes_new(text.data(), text.size());
		versions[revision] = version;
	}
	int64_t newest_version() const
	{
		return versions.empty() ? 0 : versions.rbegin()->second;
	}
	// Runs until all members have the newest version; at most 30 s.
	int64_t time_until_in_force()
	{
		int64_t from = now;
		auto has_newest = [this](auto &member) {
			return member->version() == newest_version();
		};

		while (!std::all_of(members.begin(), members.end(),
				    has_newest) &&
		       now - from < 30 * USEC_PER_SEC)
			run(FLEET_STEP_US);
		return now - from;
	}
	void clear_bytes()
	{
		for (auto &member : members)
			member->bytes_in = 0;
	}
	void add(int i)
	{
		member_t *member;
		replica_opts_t opts = {"", "", POLL_US / 1000};

		members.push_back(std::make_unique<member_t>());
		member = members.back().get();
		member->fleet = this;
		member->incarnation = "m" + std::to_string(100 + i);
		member->zone = "z" + std::to_string(i % ZONES);
		g_strlcpy(opts.incarnation, member->incarnation.c_str(),
			  sizeof(opts.incarnation));
		g_strlcpy(opts.availability_zone, member->zone.c_str(),
			  sizeof(opts.availability_zone));
		kernel_init(&member->kernel, CLOCK_VIRTUAL, (uint64_t)i);
		member->store = kernel_register(&member->kernel, "store",
						on_store, member);
		member->peer = kernel_register(&member->kernel, "peer", on_peer,
					       member);
		replica_init(&member->replica, &member->kernel, &opts);
		kernel_start(&member->kernel);
	}
	static void connect(member_t *member, const member_t *other)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_UP;
		g_strlcpy(msg.u.peer_addr.incarnation,
			  other->incarnation.c_str(),
			  sizeof(msg.u.peer_addr.incarnation));
		g_strlcpy(msg.u.peer_addr.availability_zone,
			  other->zone.c_str(),
			  sizeof(msg.u.peer_addr.availability_zone));
		msg.u.peer_addr.takes_patches = !other->plain;
		kernel_post(&member->kernel, member->peer, member->replica.svc,
			    &msg);
	}
	static void on_store(void *self, msg_t *msg)
	{
		member_t *member = static_cast<member_t *>(self);
		store_result_t *result = store_result_new(
			member->cut ? STORE_UNAVAILABLE : STORE_OK);
		msg_t reply = {};
		size_t bytes = 0;

		result->revision = member->fleet->revision;
		if (msg->kind == MSG_STORE_DECODE) {
			result->status = STORE_OK;
			result->revision =
				msg->u.peer.body->u.store_items.up_to;
			copy_evacuations(msg->u.peer.body, result);
		} else {
			member->calls++;
			member->read_evacuation(msg, result);
			bytes = member->read_conf(msg, result);
		}
		reply.kind = MSG_STORE_RESULT;
		reply.ref = msg->id;
		reply.u.store_result = result;
		if (bytes > 0 && member->fleet->slow_links) {
			announce(member);
			member->arriving.push_back(
				{member->receive_bytes(bytes), reply});
			return;
		}
		member->bytes_in += (int64_t)bytes;
		kernel_post(&member->kernel, member->store, msg->from, &reply);
	}
	// As the store service does once a large response begins to arrive.
	static void announce(member_t *member)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_ARRIVING;
		kernel_post(&member->kernel, member->store, member->replica.svc,
			    &msg);
	}
	static void copy_evacuations(const peer_body_t *body,
				     store_result_t *result)
	{
		const GArray *items = body->u.store_items.items;

		for (guint i = 0; i < items->len; i++) {
			const store_item_t *item =
				&g_array_index(items, store_item_t, i);
			record_t record = {};

			if (strcmp(item->key, "fleet/conf") == 0)
				set_conf(&record, item->value);
			else
				record.kind = RECORD_EVACUATION;
			store_result_add_raw(result, item->key, item->revision,
					     &record, item->value);
			record_clear(&record);
		}
	}
	static void set_conf(record_t *record, GBytes *document)
	{
		const char *text = static_cast<const char *>(
			g_bytes_get_data(document, nullptr));

		record->kind = RECORD_FLEET_CONF;
		record->u.fleet_conf = fleet_conf_new();
		record->u.fleet_conf->version = atoll(strchr(text, ':') + 1);
	}
	static void on_peer(void *self, msg_t *msg)
	{
		member_t *from = static_cast<member_t *>(self);
		msg_t copy = {};

		if (msg->kind != MSG_PEER_SEND || from->silent)
			return;
		if (from->former)
			drop_what_is_new(msg->u.peer.body);
		for (auto &to : from->fleet->members) {
			if (to->incarnation != msg->u.peer.incarnation)
				continue;
			if (to->deaf)
				return;
			copy.kind = MSG_PEER_RECEIVED;
			copy.u.peer.body = g_steal_pointer(&msg->u.peer.body);
			if (to->former)
				accept_as_former(copy.u.peer.body);
			EXPECT_FALSE(to->plain && has_patch(copy.u.peer.body));
			g_strlcpy(copy.u.peer.incarnation,
				  from->incarnation.c_str(),
				  sizeof(copy.u.peer.incarnation));
			to->arriving.push_back({to->receive_bytes(count_bytes(
							copy.u.peer.body)),
						copy});
			if (!to->fleet->slow_links)
				to->deliver(INT64_MAX);
			return;
		}
	}
	static bool has_patch(const peer_body_t *body)
	{
		bool found = false;

		if (body->kind != PEER_STORE_ITEMS)
			return false;
		for (guint i = 0; i < body->u.store_items.items->len; i++)
			found |= strcmp(g_array_index(body->u.store_items.items,
						      store_item_t, i)
						.key,
					REPLICA_KEY_PATCH) == 0;
		return found;
	}
	static size_t count_bytes(const peer_body_t *body)
	{
		size_t bytes = 100;

		if (body->kind != PEER_STORE_ITEMS)
			return bytes;
		for (guint i = 0; i < body->u.store_items.items->len; i++) {
			const store_item_t *item = &g_array_index(
				body->u.store_items.items, store_item_t, i);

			bytes += strlen(item->key) + 20;
			if (item->value != nullptr)
				bytes += g_bytes_get_size(item->value);
		}
		return bytes;
	}
	// A former build neither marks its messages nor passes the key on.
	static void drop_what_is_new(const peer_body_t *body)
	{
		GArray *items = body->u.store_items.items;

		if (body->kind != PEER_STORE_ITEMS)
			return;
		for (guint i = items->len; i > 0; i--)
			if (g_str_has_prefix(
				    g_array_index(items, store_item_t, i - 1)
					    .key,
				    "evacuation"))
				g_array_remove_index(items, i - 1);
	}
	// It takes each message for complete, and passes over the key.
	static void accept_as_former(const peer_body_t *body)
	{
		store_item_t mark = {};

		drop_what_is_new(body);
		if (body->kind != PEER_STORE_ITEMS)
			return;
		g_strlcpy(mark.key, REPLICA_KEY_COMPLETE, sizeof(mark.key));
		g_array_append_val(body->u.store_items.items, mark);
	}
	size_t count_knowing(bool former) const
	{
		size_t count = 0;

		for (auto &member : members)
			count += member->former == former &&
				 g_hash_table_contains(member->replica.entries,
						       "evacuation/z1");
		return count;
	}
	void run(int64_t us)
	{
		for (int64_t end = now + us; now < end;) {
			now += FLEET_STEP_US;
			for (auto &member : members) {
				member->deliver(now);
				kernel_run_until(&member->kernel, now);
			}
		}
	}
	int calls() const
	{
		int sum = 0;

		for (auto &member : members)
			sum += member->calls;
		return sum;
	}
	void clear_calls()
	{
		for (auto &member : members)
			member->calls = 0;
	}
	// Runs until all members that are not cut know the store's revision.
	int64_t time_until_known()
	{
		int64_t from = now;
		bool known = false;

		while (!known && now - from < 10 * USEC_PER_SEC) {
			run(FLEET_STEP_US);
			known = true;
			for (auto &member : members)
				known = known &&
					(member->cut ||
					 member->replica.revision == revision);
		}
		return now - from;
	}
};

void member_t::read_evacuation(const msg_t *msg, store_result_t *result) const
{
	record_t record = {};
	GBytes *raw;

	if (former || fleet->evacuation == 0 || cut ||
	    (msg->kind == MSG_STORE_LIST &&
	     strcmp(msg->u.store_list.prefix, "evacuation/") != 0) ||
	    (msg->kind == MSG_STORE_CHANGES &&
	     msg->u.store_get.min_revision >= fleet->evacuation))
		return;
	raw = g_bytes_new("x", 1);
	record.kind = RECORD_EVACUATION;
	store_result_add_raw(result, "evacuation/z1", fleet->evacuation,
			     &record, raw);
	g_bytes_unref(raw);
}

// A read of changes brings each version since a revision, as the store does.
size_t member_t::read_conf(const msg_t *msg, store_result_t *result) const
{
	int64_t after = msg->kind == MSG_STORE_CHANGES
				? msg->u.store_get.min_revision
				: INT64_MAX;
	size_t bytes = 0;

	if (cut || fleet->documents.empty())
		return 0;
	if (msg->kind == MSG_STORE_LIST &&
	    strcmp(msg->u.store_list.prefix, "fleet/conf") == 0)
		after = fleet->documents.rbegin()->first - 1;
	for (auto &[at, document] : fleet->documents) {
		record_t record = {};

		if (at <= after)
			continue;
		fleet_t::set_conf(&record, document);
		store_result_add_raw(result, "fleet/conf", at, &record,
				     document);
		record_clear(&record);
		bytes += g_bytes_get_size(document) * 4 / 3; // base64
	}
	return bytes;
}

int64_t member_t::receive_bytes(size_t bytes)
{
	bytes_in += (int64_t)bytes;
	link_free_at = std::max(link_free_at, fleet->now) +
		       (int64_t)bytes * USEC_PER_MSEC / LINK_BYTES_PER_MS;
	return link_free_at;
}

void member_t::deliver(int64_t until)
{
	while (!arriving.empty() && arriving.front().first <= until) {
		msg_t msg = arriving.front().second;

		arriving.pop_front();
		kernel_post(&kernel,
			    msg.kind == MSG_STORE_RESULT ? store : peer,
			    replica.svc, &msg);
	}
}

int64_t member_t::version() const
{
	const replica_entry_t *entry = static_cast<const replica_entry_t *>(
		g_hash_table_lookup(replica.entries, REPLICA_KEY_CONF));

	return entry != nullptr ? entry->record.u.fleet_conf->version : 0;
}

// Guards against callers that wait behind documents: while a large
// configuration changes again and again, only the reader may read it whole.
TEST(ReplicaFleet, ChangesOfALargeConfigurationLeaveLinksToCallers)
{
	fleet_t fleet;
	int64_t from;
	int busy = 0;

	fleet.slow_links = true;
	fleet.run(3 * USEC_PER_SEC);
	fleet.write_conf();
	fleet.run(10 * USEC_PER_SEC);
	fleet.clear_bytes();
	from = fleet.now;
	for (int i = 0; i < 10; i++) {
		fleet.write_conf();
		EXPECT_LE(fleet.time_until_in_force(), CONF_BOUND_US / 2);
		fleet.run(CONF_INTERVAL_US -
			  (fleet.now - from) % CONF_INTERVAL_US);
	}
	/* 2 % of what the link carries; the reader reads each version. */
	for (auto &member : fleet.members)
		busy += member->bytes_in > (fleet.now - from) / USEC_PER_MSEC *
						   LINK_BYTES_PER_MS / 50;
	EXPECT_LE(busy, 1);
}

// Guards against a large change that goes through the fleet one instance after
// the other: those that have to read it begin at once.
TEST(ReplicaFleet, NewLargeConfigurationIsSoonInForce)
{
	fleet_t fleet;

	fleet.slow_links = true;
	fleet.run(3 * USEC_PER_SEC);
	for (uint64_t seed = 1; seed <= 4; seed++) {
		fleet.write_conf(seed);
		EXPECT_LE(fleet.time_until_in_force(), CONF_BOUND_US / 2);
		fleet.run(5 * USEC_PER_SEC);
	}
}

// Guards against a configuration that is late while two builds run side by
// side, with and without the store: only one of them takes patches.
TEST(ReplicaFleet, LargeConfigurationReachesBuildsWithAndWithoutPatches)
{
	for (auto [plain, period] :
	     {std::pair{1, 60}, {12, 60}, {1, 2}, {59, 60}})
		for (bool cut : {false, true}) {
			fleet_t fleet(plain, period);

			fleet.slow_links = true;
			fleet.run(3 * USEC_PER_SEC);
			fleet.write_conf();
			fleet.run(5 * USEC_PER_SEC);
			for (size_t i = 0; cut && i < fleet.members.size(); i++)
				fleet.members[i]->cut = i % 5 != 2;
			fleet.run(4 * USEC_PER_SEC);
			for (int i = 0; i < 4; i++) {
				fleet.write_conf();
				EXPECT_LE(fleet.time_until_in_force(),
					  CONF_BOUND_US)
					<< plain << " of " << period << " cut "
					<< cut;
			}
		}
}

// Guards against an instance that stays behind as it has another version than
// the one that a patch applies to.
TEST(ReplicaFleet, InstanceWithoutTheBaseOfAPatchCatchesUp)
{
	fleet_t fleet;
	member_t *late;

	fleet.run(3 * USEC_PER_SEC);
	fleet.write_conf();
	fleet.run(3 * USEC_PER_SEC);
	late = fleet.members.back().get();
	for (bool cut : {false, true}) {
		late->deaf = true;
		fleet.write_conf();
		fleet.run(USEC_PER_SEC / 2);
		fleet.write_conf();
		fleet.run(USEC_PER_SEC / 2);
		late->deaf = false;
		late->cut = cut;
		fleet.write_conf();
		EXPECT_LE(fleet.time_until_in_force(), CONF_BOUND_US) << cut;
	}
}

// Guards against a configuration that is seconds late at instances which the
// store turns away: their links were full of documents from several peers.
TEST(ReplicaFleet, LargeConfigurationReachesInstancesWithoutTheStore)
{
	fleet_t fleet;
	int64_t from;

	fleet.slow_links = true;
	fleet.run(3 * USEC_PER_SEC);
	fleet.write_conf();
	fleet.run(10 * USEC_PER_SEC);
	for (size_t i = 0; i < fleet.members.size(); i++)
		fleet.members[i]->cut = i % 5 != 2;
	fleet.run(4 * USEC_PER_SEC);
	from = fleet.now;
	for (int i = 0; i < 10; i++) {
		fleet.write_conf();
		EXPECT_LE(fleet.time_until_in_force(), CONF_BOUND_US);
		fleet.run(CONF_INTERVAL_US -
			  (fleet.now - from) % CONF_INTERVAL_US);
	}
}

// Guards against an evacuation that reaches an instance too late: the bound is
// 5 s for all of them together, which read, pass on and place.
TEST(ReplicaFleet, EvacuationReachesAllSoon)
{
	fleet_t fleet;

	fleet.run(10 * USEC_PER_SEC);
	fleet.evacuation = ++fleet.revision;
	fleet.run(2 * USEC_PER_SEC);
	EXPECT_EQ(fleet.count_knowing(false), fleet.members.size());
}

// Guards against an evacuation that instances of this build never learn while
// the reader or the relays are of a former build, which pass over its key; and
// against calls without bound meanwhile.
TEST(ReplicaFleet, EvacuationReachesInstancesBesideTheFormerBuild)
{
	// By the rank in the zone: 0 and 1 are relays, 0 of zone 0 the reader.
	const std::function<bool(size_t, size_t)> patterns[] = {
		[](size_t rank, size_t) { return rank == 0; },
		[](size_t rank, size_t) { return rank < 2; },
		[](size_t rank, size_t zone) { return rank + zone > 0; },
		[](size_t rank, size_t zone) { return rank < 2 && zone > 0; },
		[](size_t rank, size_t) { return rank % 2 == 0; },
		[](size_t rank, size_t) { return rank != ZONE_SIZE - 1; },
	};

	for (size_t p = 0; p < G_N_ELEMENTS(patterns); p++) {
		fleet_t fleet;
		size_t present = 0;

		for (size_t i = 0; i < fleet.members.size(); i++) {
			fleet.members[i]->former =
				patterns[p](i / ZONES, i % ZONES);
			present += !fleet.members[i]->former;
		}
		fleet.run(10 * USEC_PER_SEC);
		fleet.clear_calls();
		fleet.evacuation = ++fleet.revision;
		fleet.run(2 * USEC_PER_SEC);
		EXPECT_EQ(fleet.count_knowing(false), present) << p;
		EXPECT_EQ(fleet.count_knowing(true), 0u) << p;
		// Four reads of each in 2 s, at an interval of 600 ms.
		EXPECT_LE(fleet.calls(), (int)(4 * (present + ZONES))) << p;
	}
}

// Guards against calls that grow with the zones or the size of the fleet; each
// one is billed.
TEST(ReplicaFleet, ReadsTheStoreAsOneInCalm)
{
	fleet_t fleet;

	fleet.run(3 * USEC_PER_SEC);
	fleet.clear_calls();
	for (int i = 0; i < 100; i++) {
		fleet.revision++;
		fleet.run(100000);
	}
	/* 10 s at an interval of 600 ms. */
	EXPECT_LE(fleet.calls(), 18);
	fleet.revision++;
	EXPECT_LE(fleet.time_until_known(), POLL_US + 50000);
}

// Guards against news that are late because the reader is paused or cut off
// while its connections still look open, or all relays of a zone are.
TEST(ReplicaFleet, OthersTakeOverFromASilentReader)
{
	for (int silent : {1, 2, ZONES, 2 * ZONES}) {
		fleet_t fleet;

		fleet.run(3 * USEC_PER_SEC);
		for (int i = 0; i < silent; i++) {
			fleet.members[(size_t)i]->silent = true;
			fleet.members[(size_t)i]->cut = true;
		}
		for (int i = 0; i < 10; i++) {
			fleet.revision++;
			EXPECT_LE(fleet.time_until_known(), 1500000)
				<< silent << " silent";
			fleet.run(130000);
		}
	}
}

// Guards against calls of every instance while none reaches the store, and
// against a return that only some of them notice.
TEST(ReplicaFleet, FewInstancesLookForTheReturnOfTheStore)
{
	fleet_t fleet;
	size_t up = 0;

	fleet.run(3 * USEC_PER_SEC);
	for (auto &member : fleet.members)
		member->cut = true;
	fleet.run(4 * USEC_PER_SEC);
	fleet.clear_calls();
	fleet.run(8 * USEC_PER_SEC);
	/* The reader, 5 standby readers and 54 others. */
	EXPECT_LE(fleet.calls(), 8 + 5 * 4 + 54 * 2);
	for (auto &member : fleet.members)
		member->cut = false;
	fleet.run(1500000);
	for (auto &member : fleet.members)
		up += member->replica.store_up;
	EXPECT_EQ(up, fleet.members.size());
}

// Guards against a zone whose relays are silent, and against the calls of its
// followers ending up as a storm.
TEST(ReplicaFleet, ZoneWithoutRelaysReadsForItself)
{
	fleet_t fleet;

	fleet.run(3 * USEC_PER_SEC);
	for (size_t i : {(size_t)1, (size_t)1 + ZONES}) {
		fleet.members[i]->silent = true;
		fleet.members[i]->cut = true;
	}
	fleet.run(2 * USEC_PER_SEC);
	fleet.clear_calls();
	for (int i = 0; i < 5; i++) {
		fleet.revision++;
		EXPECT_LE(fleet.time_until_known(), 1500000);
		fleet.run(USEC_PER_SEC);
	}
	/* The reader and the zone's eight others, for at most 12.5 s. */
	EXPECT_LE(fleet.calls(), 21 * (1 + ZONE_SIZE - 2) + 21);
}

} // namespace
