// Tests "streams": a stream that a caller takes up again goes on at the version
// of the target's software that began it, at any instance, or not at all.
#include "streams/streams.h"

#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr int64_t TTL_US = 24 * USEC_PER_SEC; // twice the route's time limit

struct world_t;

struct instance_t {
	world_t *world;
	std::string name;
	kernel_t kernel;
	streams_t streams;
	svc_t proxy, fleet, peer, store, replica;
	bool cut = false; // from the peers
	bool list_cut = false; // from the list of targets
	size_t list_reads = 0;
	bool resolved = false, known = false;
	std::string version, service;
	uint32_t answered = 0;
};

// A fleet whose instances know the same targets.
struct world_t {
	std::vector<std::unique_ptr<instance_t>> instances;
	int started = 0;
	int64_t now = USEC_PER_SEC;
	std::map<std::string, std::string> targets; // id -> version
	// The store's records; absent while it is down.
	std::map<std::string, std::vector<saved_stream_t>> records;
	bool store_down = false;
	int messages = 0, writes = 0, reads = 0;

	explicit world_t(int size)
	{
		for (int i = 0; i < size; i++)
			start();
	}
	~world_t()
	{
		while (!instances.empty())
			kill(0);
	}
	static void receive(void *self, msg_t *msg)
	{
		instance_t *instance = static_cast<instance_t *>(self);

		if (msg->kind == MSG_STREAM_RESOLVED) {
			instance->resolved = true;
			instance->answered++;
			instance->known = msg->u.stream.known;
			instance->version = msg->u.stream.origin.version;
			instance->service = msg->u.stream.origin.service;
		} else if (msg->kind == MSG_PEER_SEND) {
			instance->world->deliver(instance, msg);
		}
	}
	static void on_store(void *self, msg_t *msg)
	{
		instance_t *instance = static_cast<instance_t *>(self);
		world_t *world = instance->world;
		msg_t reply = {};

		reply.kind = MSG_STORE_RESULT;
		reply.ref = msg->id;
		reply.u.store_result = store_result_new(
			world->store_down ? STORE_UNKNOWN : STORE_OK);
		if (msg->kind == MSG_STORE_TXN)
			world->write(msg->u.store_txn);
		else if (msg->kind == MSG_STORE_LIST)
			world->read(reply.u.store_result);
		kernel_post(&instance->kernel, instance->store, msg->from,
			    &reply);
	}
	// A read of the list brings what the instance has missed.
	static void on_replica(void *self, msg_t *msg)
	{
		instance_t *instance = static_cast<instance_t *>(self);
		msg_t current = {};

		if (msg->kind != MSG_LIST_REQUEST)
			return;
		instance->list_reads++;
		if (instance->list_cut || instance->world->store_down)
			return;
		for (auto &[id, version] : instance->world->targets)
			post_target(instance, id, version, false);
		current.kind = MSG_LIST_CURRENT;
		current.u.list_current.as_of = kernel_now(&instance->kernel);
		kernel_post(&instance->kernel, instance->fleet,
			    instance->streams.svc, &current);
	}
	void write(const store_txn_t *txn)
	{
		writes++;
		for (guint i = 0; i < txn->ops->len && !store_down; i++) {
			const store_op_t *op =
				&g_array_index(txn->ops, store_op_t, i);
			const GArray *list;

			if (op->kind == STORE_DELETE) {
				records.erase(op->key);
				continue;
			}
			list = op->record.u.streams->list;
			for (guint j = 0; j < list->len; j++)
				records[op->key].push_back(
					g_array_index(list, saved_stream_t, j));
		}
	}
	void read(store_result_t *result)
	{
		reads++;
		for (auto &[key, streams] : records) {
			record_t record = {};

			record.kind = RECORD_STREAMS;
			record.u.streams = record_streams_new();
			for (auto &saved : streams)
				g_array_append_val(record.u.streams->list,
						   saved);
			if (!store_down)
				store_result_add(result, 0, key.c_str(), 1,
						 &record);
			record_clear(&record);
		}
	}
	void restart_all()
	{
		size_t size = instances.size();

		while (!instances.empty())
			kill(0);
		for (size_t i = 0; i < size; i++)
			start();
		run(USEC_PER_SEC);
	}
	void deliver(const instance_t *from, const msg_t *msg)
	{
		for (auto &to : instances) {
			msg_t copy = {};

			if (to->name != msg->u.peer.incarnation || to->cut ||
			    from->cut)
				continue;
			messages++;
			copy.kind = MSG_PEER_RECEIVED;
			copy.u.peer.body =
				peer_body_new(msg->u.peer.body->kind);
			*copy.u.peer.body = *msg->u.peer.body;
			g_strlcpy(copy.u.peer.incarnation, from->name.c_str(),
				  sizeof(copy.u.peer.incarnation));
			kernel_post(&to->kernel, to->peer, to->streams.svc,
				    &copy);
		}
	}
	static void post_peer(instance_t *to, const std::string &name,
			      msg_kind_t kind)
	{
		msg_t msg = {};

		msg.kind = kind;
		g_strlcpy(msg.u.peer_addr.incarnation, name.c_str(),
			  sizeof(msg.u.peer_addr.incarnation));
		kernel_post(&to->kernel, to->peer, to->streams.svc, &msg);
	}
	instance_t *start()
	{
		instances.push_back(std::make_unique<instance_t>());
		instance_t *instance = instances.back().get();

		instance->world = this;
		instance->name = "run-" + std::to_string(++started);
		kernel_init(&instance->kernel, CLOCK_VIRTUAL,
			    (uint64_t)started);
		kernel_run_until(&instance->kernel, now);
		instance->proxy = kernel_register(&instance->kernel, "proxy",
						  receive, instance);
		instance->fleet = kernel_register(&instance->kernel, "fleet",
						  receive, instance);
		instance->store = kernel_register(&instance->kernel, "store",
						  on_store, instance);
		instance->replica = kernel_register(
			&instance->kernel, "replica", on_replica, instance);
		instance->peer = kernel_register(&instance->kernel, "peer",
						 receive, instance);
		streams_init(&instance->streams, &instance->kernel,
			     instance->name.c_str());
		kernel_start(&instance->kernel);
		post_conf(instance);
		for (auto &other : instances) {
			if (other.get() == instance)
				continue;
			post_peer(instance, other->name, MSG_PEER_UP);
			post_peer(other.get(), instance->name, MSG_PEER_UP);
		}
		for (auto &[id, version] : targets)
			post_target(instance, id, version, false);
		run(0);
		return instance;
	}
	void kill(size_t i)
	{
		std::unique_ptr<instance_t> instance = std::move(instances[i]);

		instances.erase(instances.begin() + (long)i);
		streams_finish(&instance->streams);
		kernel_finish(&instance->kernel);
		for (auto &other : instances)
			post_peer(other.get(), instance->name, MSG_PEER_DOWN);
	}
	static void post_conf(instance_t *to)
	{
		msg_t msg = {};
		route_terms_t terms = {};

		terms.kind = ROUTE_STREAM;
		terms.resumable = true;
		terms.timeout_ms = 12000;
		msg.kind = MSG_FLEET_CONF;
		msg.u.fleet_conf = fleet_conf_new();
		fleet_conf_add_route(msg.u.fleet_conf, &terms, "h", "/");
		kernel_post(&to->kernel, to->fleet, to->streams.svc, &msg);
	}
	static void post_target(instance_t *to, const std::string &id,
				const std::string &version, bool gone)
	{
		msg_t msg = {};
		fleet_target_t *target = &msg.u.fleet_target.target;

		msg.kind = MSG_FLEET_TARGET;
		g_strlcpy(target->id, id.c_str(), sizeof(target->id));
		g_strlcpy(target->service, "s", sizeof(target->service));
		g_strlcpy(target->version, version.c_str(),
			  sizeof(target->version));
		msg.u.fleet_target.gone = gone;
		kernel_post(&to->kernel, to->fleet, to->streams.svc, &msg);
	}
	void set_target(const std::string &id, const std::string &version)
	{
		bool gone = version.empty();

		for (auto &instance : instances)
			if (!instance->list_cut)
				post_target(instance.get(), id,
					    gone ? targets[id] : version, gone);
		if (gone)
			targets.erase(id);
		else
			targets[id] = version;
		run(0);
	}
	void begin(size_t i, const char *id, const char *version,
		   const char *account = "acme")
	{
		instance_t *at = instances[i].get();
		msg_t msg = {};

		msg.kind = MSG_STREAM_BEGAN;
		g_strlcpy(msg.u.stream.request_id, id,
			  sizeof(msg.u.stream.request_id));
		g_strlcpy(msg.u.stream.origin.service, "s", NAME_SIZE);
		g_strlcpy(msg.u.stream.origin.account, account, NAME_SIZE);
		g_strlcpy(msg.u.stream.origin.version, version, NAME_SIZE);
		kernel_post(&at->kernel, at->proxy, at->streams.svc, &msg);
		run(0);
	}
	// Returns the version at which the stream goes on; empty if it does
	// not.
	std::string take_up(size_t i, const char *id,
			    const char *account = "acme")
	{
		instance_t *at = instances[i].get();
		msg_t msg = {};

		at->resolved = false;
		msg.kind = MSG_STREAM_RESOLVE;
		g_strlcpy(msg.u.stream.request_id, id,
			  sizeof(msg.u.stream.request_id));
		g_strlcpy(msg.u.stream.origin.service, "s", NAME_SIZE);
		g_strlcpy(msg.u.stream.origin.account, account, NAME_SIZE);
		kernel_post(&at->kernel, at->proxy, at->streams.svc, &msg);
		run(0);
		run(200000);
		run(400000);
		EXPECT_TRUE(at->resolved) << "no answer in time";
		return at->known ? at->version : "";
	}
	void run(int64_t us)
	{
		now += us;
		for (int round = 0; round < 3; round++)
			for (auto &instance : instances)
				kernel_run_until(&instance->kernel, now);
	}
};

// Guards against a stream that is joined from two versions.
TEST(Streams, TakenUpAtAnyInstanceGoesOnAtItsVersion)
{
	world_t world(7);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v1.1");
	world.begin(0, "a", "v1");
	world.begin(3, "b", "v1.1");
	for (size_t i = 0; i < 7; i++) {
		EXPECT_EQ(world.take_up(i, "a"), "v1") << i;
		EXPECT_EQ(world.take_up(i, "b"), "v1.1") << i;
	}
}

TEST(Streams, StreamOfAnUnknownVersionIsNotTakenForTheOnlyOneListed)
{
	world_t world(7);

	world.set_target("i-1", "v1");
	world.run(60 * USEC_PER_SEC);
	world.begin(0, "a", VERSION_UNKNOWN);
	for (size_t i = 0; i < 7; i++)
		EXPECT_EQ(world.take_up(i, "a"), "") << i;
	// The target's entry has arrived.
	world.begin(0, "a", "v1");
	for (size_t i = 0; i < 7; i++)
		EXPECT_EQ(world.take_up(i, "a"), "v1") << i;
}

TEST(Streams, VersionIsKnownAfterItsInstanceHasEnded)
{
	world_t world(7);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v1.1");
	world.begin(0, "a", "v1");
	// The instance and two of the three peers that keep a copy.
	world.kill(0);
	for (int killed = 0; killed < 2;)
		for (size_t i = 0; i < world.instances.size(); i++)
			if (g_hash_table_size(
				    world.instances[i]->streams.entries) > 0) {
				world.kill(i);
				killed++;
				break;
			}
	for (size_t i = 0; i < world.instances.size(); i++)
		EXPECT_EQ(world.take_up(i, "a"), "v1") << i;
}

// Guards against streams joined after a kill of all instances: one version in
// service now is no proof that it was the one then.
TEST(Streams, UnknownStreamIsNotTakenUpAfterAllInstancesEnded)
{
	world_t world(7);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v1.1");
	world.begin(0, "a", "v1");
	world.targets.erase("i-1");
	// The store has no record of it yet, but of others.
	world.records["streams/other"].push_back({"other", {"s", "x", "v1"}});
	world.restart_all();
	for (size_t i = 0; i < 7; i++)
		EXPECT_EQ(world.take_up(i, "a"), "") << i;
	// Those that began since are known.
	world.begin(2, "c", "v1.1");
	EXPECT_EQ(world.take_up(5, "c"), "v1.1");
}

// Guards against streams that all stay broken after a kill of all instances.
TEST(Streams, SavedStreamIsTakenUpAfterAllInstancesEnded)
{
	world_t world(7);

	world.set_target("i-1", "v1");
	world.begin(4, "before", "v1");
	world.run(USEC_PER_SEC);
	EXPECT_EQ(world.writes, 0) << "one version needs no record";
	world.set_target("i-2", "v1.1");
	for (int i = 0; i < 20; i++) {
		world.begin((size_t)i % 7, ("s" + std::to_string(i)).c_str(),
			    i % 2 ? "v1" : "v1.1");
		world.run(100000);
	}
	world.run(USEC_PER_SEC);
	EXPECT_LE(world.writes, 21) << "calls of all instances in 3 s";
	world.restart_all();
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(world.take_up((size_t)(i + 3) % 7,
					("s" + std::to_string(i)).c_str()),
			  i % 2 ? "v1" : "v1.1")
			<< i;
	EXPECT_EQ(world.take_up(0, "before"), "v1");
	EXPECT_LE(world.reads, 7) << "one read an instance";
}

TEST(Streams, SavedStreamsAreRemovedOnceTheyHaveEnded)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v1.1");
	for (int i = 0; i < 60; i++) {
		world.begin(0, ("s" + std::to_string(i)).c_str(), "v1");
		world.run(USEC_PER_SEC);
	}
	EXPECT_LE(world.records.size(), 27u);
}

TEST(Streams, StreamIsSavedOnceTheStoreIsBack)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v1.1");
	world.store_down = true;
	world.begin(0, "a", "v1");
	world.run(3 * USEC_PER_SEC);
	EXPECT_LE(world.writes, 4);
	// Without the store, a stream that nobody knows stays broken.
	EXPECT_EQ(world.take_up(1, "unknown"), "");
	world.store_down = false;
	world.run(2 * USEC_PER_SEC);
	world.restart_all();
	EXPECT_EQ(world.take_up(2, "a"), "v1");
}

// Nothing is saved while a service has one version.
TEST(Streams, EmptyStoreShowsThatThereWasOneVersion)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.begin(0, "a", "v1");
	world.restart_all();
	EXPECT_EQ(world.take_up(1, "a"), "v1");
	world.store_down = true;
	world.run(5 * USEC_PER_SEC);
	EXPECT_EQ(world.take_up(2, "b"), "");
}

TEST(Streams, VersionThatHasJustLeftStillCounts)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v1.1");
	world.run(TTL_US);
	EXPECT_EQ(world.take_up(0, "unknown"), "");
	world.set_target("i-1", "");
	world.run(TTL_US - 2 * USEC_PER_SEC);
	EXPECT_EQ(world.take_up(0, "unknown"), "");
	world.run(3 * USEC_PER_SEC);
	EXPECT_EQ(world.take_up(0, "unknown"), "v1.1");
}

// Guards against streams that stay broken though nothing speaks against it.
TEST(Streams, SoleVersionIsEnoughForAStreamThatNobodyKnows)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.run(TTL_US + USEC_PER_SEC);
	EXPECT_EQ(world.take_up(0, "unknown"), "v1");
	EXPECT_EQ(world.take_up(0, ""), "v1");
	// An instance that has just started relies on its peers.
	world.start();
	EXPECT_EQ(world.take_up(3, "unknown"), "v1");
	// A second version makes it uncertain at once.
	world.set_target("i-2", "v2");
	EXPECT_EQ(world.take_up(0, "unknown"), "");
	EXPECT_EQ(world.take_up(3, ""), "");
}

// Guards against streams joined at an instance that was out of step while
// targets of another version joined.
TEST(Streams, InstanceThatIsCutOffTakesNoVersionForTheOnlyOne)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.run(TTL_US + USEC_PER_SEC);
	world.instances[0]->cut = true;
	world.instances[0]->list_cut = true;
	world.set_target("i-2", "v2");
	world.begin(1, "a", "v2");
	EXPECT_EQ(world.take_up(0, "a"), "");
	// It reads the list, but not yet what the peers know.
	world.instances[0]->list_cut = false;
	EXPECT_EQ(world.take_up(0, "a"), "");
	world.instances[0]->cut = false;
	EXPECT_EQ(world.take_up(0, "a"), "v2");
}

// The peers that answer may be out of step as well.
TEST(Streams, PeersThatAreCutOffTakeNoVersionForTheOnlyOne)
{
	world_t world(2);

	world.set_target("i-1", "v1");
	world.run(TTL_US + USEC_PER_SEC);
	for (auto &instance : world.instances)
		instance->list_cut = true;
	world.set_target("i-2", "v2");
	EXPECT_EQ(world.take_up(0, "unknown"), "");
	world.instances[0]->list_cut = false;
	EXPECT_EQ(world.take_up(0, "unknown"), "");
}

TEST(Streams, ListIsReadOnlyForStreamsThatNobodyKnows)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.run(TTL_US + USEC_PER_SEC);
	world.begin(0, "a", "v1");
	EXPECT_EQ(world.take_up(1, "a"), "v1");
	EXPECT_EQ(world.instances[1]->list_reads, 0u);
	EXPECT_EQ(world.take_up(1, "unknown"), "v1");
	EXPECT_EQ(world.instances[1]->list_reads, 1u);
}

// An instance that is cut off from the store may know of one version only.
TEST(Streams, PeerWithANewerListGoesBeforeAnOutdatedOne)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.run(TTL_US + USEC_PER_SEC);
	world_t::post_target(world.instances[1].get(), "i-2", "v2", false);
	world.run(0);
	EXPECT_EQ(world.take_up(0, "unknown"), "");
}

TEST(Streams, AttemptOfAnotherAccountIsNotTakenUp)
{
	world_t world(3);

	world.set_target("i-1", "v1");
	world.begin(0, "a", "v1");
	EXPECT_EQ(world.take_up(0, "a", "other"), "");
	EXPECT_EQ(world.take_up(2, "a", "other"), "");
	EXPECT_EQ(world.take_up(2, "a"), "v1");
}

// A peer that is cut off must not delay the answer beyond a short wait.
TEST(Streams, SilentPeersDelayAnUnknownStreamBriefly)
{
	world_t world(4);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v2");
	for (size_t i = 1; i < 4; i++)
		world.instances[i]->cut = true;
	EXPECT_EQ(world.take_up(0, "unknown"), "");
	EXPECT_EQ(world.instances[0]->answered, 1u);
}

TEST(Streams, EntriesAreForgottenAfterAWhile)
{
	world_t world(2);

	world.set_target("i-1", "v1");
	world.set_target("i-2", "v2");
	world.begin(0, "a", "v1");
	world.run(TTL_US + USEC_PER_SEC);
	world.begin(0, "b", "v1");
	EXPECT_EQ(g_hash_table_size(world.instances[0]->streams.entries), 1u);
}

} // namespace
