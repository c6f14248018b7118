// Tests that configuration never reverts to an older version and that targets
// whose entries expire during a store outage are not removed at once.
#include "fleet/fleet.h"
#include "fleet/mesh.h"
#include "kernel/identifier.h"

#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace
{

class Fleet : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		msg_t msg = {};

		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		store = kernel_register(&kernel, "replica", receive, this);
		listener = kernel_register(&kernel, "listener", receive, this);
		fleet_init(&fleet, &kernel);
		kernel_start(&kernel);
		msg.kind = MSG_FLEET_SUBSCRIBE;
		kernel_post(&kernel, listener, fleet.svc, &msg);
		set_store_up(true);
		run_for(10 * USEC_PER_SEC);
	}
	void TearDown() override
	{
		fleet_finish(&fleet);
		kernel_finish(&kernel);
	}
	static void receive(void *self, msg_t *msg)
	{
		Fleet *f = static_cast<Fleet *>(self);

		if (msg->kind == MSG_FLEET_CONF) {
			f->version = msg->u.fleet_conf->version;
			f->conf_notifications++;
		} else if (msg->kind == MSG_FLEET_TARGET) {
			const fleet_target_t &target =
				msg->u.fleet_target.target;

			f->targets[target.id] = msg->u.fleet_target.gone
							? "gone"
						: target.draining ? "draining"
								  : "ready";
			f->notifications++;
		} else if (msg->kind == MSG_FLEET_EVACUATION) {
			f->evacuated[msg->u.fleet_evacuation.zone] =
				msg->u.fleet_evacuation.evacuated;
			f->evacuation_notifications++;
		}
	}
	void send_event(store_result_t *result)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_EVENT;
		msg.u.store_result = result;
		kernel_post(&kernel, store, fleet.svc, &msg);
		run_for(0);
	}
	void set_store_up(bool up)
	{
		send_event(store_result_new(up ? STORE_OK : STORE_UNAVAILABLE));
	}
	void put_conf(int64_t revision, const char *text = nullptr)
	{
		store_result_t *result = store_result_new(STORE_OK);
		record_t record = {};

		record.kind = RECORD_FLEET_CONF;
		record.u.fleet_conf = fleet_conf_new();
		record.u.fleet_conf->version = revision;
		if (text != nullptr)
			record.u.fleet_conf->document =
				g_bytes_new(text, strlen(text));
		store_result_add(result, 0, "fleet/conf", revision, &record);
		record_clear(&record);
		send_event(result);
	}
	void put_target(const char *id, bool draining = false,
			uint64_t sequence = 1)
	{
		store_result_t *result = store_result_new(STORE_OK);
		record_t record = {};

		record.kind = RECORD_FLEET_TARGET;
		record.u.fleet_target = g_new0(fleet_target_t, 1);
		fleet_target_id(record.u.fleet_target->id, id);
		record.u.fleet_target->draining = draining;
		record.u.fleet_target->sequence = sequence;
		store_result_add(result, 0,
				 (std::string("fleet/target/") + id).c_str(), 1,
				 &record);
		record_clear(&record);
		send_event(result);
	}
	void remove_target(const char *id, record_kind_t kind = RECORD_NONE)
	{
		store_result_t *result = store_result_new(STORE_OK);
		record_t record = {};

		record.kind = kind;
		store_result_add(result, 0,
				 (std::string("fleet/target/") + id).c_str(), 2,
				 &record);
		send_event(result);
	}
	void put_evacuation(const char *zone,
			    record_kind_t kind = RECORD_EVACUATION)
	{
		store_result_t *result = store_result_new(STORE_OK);
		record_t record = {};

		record.kind = kind;
		store_result_add(result, 0,
				 (std::string("evacuation/") + zone).c_str(), 3,
				 &record);
		send_event(result);
	}
	void run_for(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
	kernel_t kernel;
	fleet_t fleet;
	svc_t store, listener;
	int64_t version = 0;
	std::map<std::string, std::string> targets;
	int notifications = 0, conf_notifications = 0;
	std::map<std::string, bool> evacuated;
	int evacuation_notifications = 0;
};

TEST_F(Fleet, ConfigurationNeverReverts)
{
	put_conf(5);
	put_conf(9);
	put_conf(7);
	EXPECT_EQ(version, 9);
	put_conf(12);
	EXPECT_EQ(version, 12);
}

// A restored store may lose a version whose number the operator uses again.
TEST_F(Fleet, LaterDocumentOfTheSameVersionIsTaken)
{
	put_conf(7, "first");
	put_conf(7, "first");
	EXPECT_EQ(conf_notifications, 1);
	put_conf(7, "second");
	EXPECT_EQ(conf_notifications, 2);
	put_conf(6, "first");
	EXPECT_EQ(conf_notifications, 2);
}

TEST_F(Fleet, PublishesDrainingTargetAtOnceAndIgnoresHeartbeats)
{
	put_target("i-1");
	put_target("i-1", false, 2);
	put_target("i-1", false, 3);
	EXPECT_EQ(notifications, 1);
	put_target("i-1", true, 4);
	EXPECT_EQ(targets["i-1"], "draining");
	remove_target("i-1");
	EXPECT_EQ(targets["i-1"], "gone");
}

TEST_F(Fleet, RemovedEntryRemovesTargetWhileStoreIsUp)
{
	put_target("i-1");
	remove_target("i-1");
	EXPECT_EQ(targets["i-1"], "gone");
}

TEST_F(Fleet, InvalidEntryRemovesTarget)
{
	put_target("i-1");
	remove_target("i-1", RECORD_INVALID);
	EXPECT_EQ(targets["i-1"], "gone");
}

// Targets can't renew their entries during a store outage, though they are
// still up.
TEST_F(Fleet, RemovalDuringStoreOutageIsDelayed)
{
	put_target("i-1");
	put_target("i-2");
	set_store_up(false);
	remove_target("i-1");
	run_for(10 * USEC_PER_SEC);
	EXPECT_EQ(targets["i-1"], "ready");
	set_store_up(true);
	remove_target("i-2");
	run_for(1900 * USEC_PER_MSEC);
	EXPECT_EQ(targets["i-1"], "ready");
	EXPECT_EQ(targets["i-2"], "ready");
	put_target("i-2", false, 9);
	run_for(200 * USEC_PER_MSEC);
	EXPECT_EQ(targets["i-1"], "gone");
	EXPECT_EQ(targets["i-2"], "ready");
}

// A restored store lacks the targets that were listed after its copy was made,
// until they write themselves again.
TEST_F(Fleet, TargetMissingInARestoredStoreIsKeptForAWhile)
{
	store_result_t *restored = store_result_new(STORE_OK);

	put_target("i-1");
	put_target("i-2");
	restored->revision = revision_make(2, 0);
	send_event(restored);
	remove_target("i-1");
	remove_target("i-2");
	run_for(1900 * USEC_PER_MSEC);
	EXPECT_EQ(targets["i-1"], "ready");
	EXPECT_EQ(targets["i-2"], "ready");
	put_target("i-2", false, 9);
	run_for(200 * USEC_PER_MSEC);
	EXPECT_EQ(targets["i-1"], "gone");
	EXPECT_EQ(targets["i-2"], "ready");
}

TEST_F(Fleet, DrainingTargetIsRemovedDuringStoreOutage)
{
	put_target("i-1", true);
	set_store_up(false);
	remove_target("i-1");
	EXPECT_EQ(targets["i-1"], "gone");
}

// Guards against a target with a long id that gets requests after it is gone,
// and against a zone with a long name that is not evacuated.
TEST_F(Fleet, LongIdsAndZonesAreFoundAgain)
{
	std::string id(190, 'i'), zone(190, 'z');
	char id_known[NAME_SIZE], zone_known[NAME_SIZE];

	fleet_target_id(id_known, id.c_str());
	identifier_set(zone_known, sizeof(zone_known), zone.c_str());
	put_target(id.c_str());
	EXPECT_EQ(targets[id_known], "ready");
	remove_target(id.c_str());
	EXPECT_EQ(targets[id_known], "gone");
	put_evacuation(zone.c_str());
	EXPECT_TRUE(evacuated[zone_known]);
	put_evacuation(zone.c_str(), RECORD_NONE);
	EXPECT_FALSE(evacuated[zone_known]);
}

// Guards against an evacuation that a subscriber misses because it subscribes
// later, and against news without a change.
TEST_F(Fleet, EvacuationIsToldToAllSubscribersOnce)
{
	msg_t subscribe = {};

	put_evacuation("z1");
	put_evacuation("z1");
	EXPECT_TRUE(evacuated["z1"]);
	EXPECT_EQ(evacuation_notifications, 1);
	EXPECT_EQ(kernel.metrics->gauges[GAUGE_ZONES_EVACUATED], 1);
	subscribe.kind = MSG_FLEET_SUBSCRIBE;
	kernel_post(&kernel, listener, fleet.svc, &subscribe);
	run_for(0);
	EXPECT_EQ(evacuation_notifications, 2);
	put_evacuation("z1", RECORD_NONE);
	EXPECT_FALSE(evacuated["z1"]);
	EXPECT_EQ(kernel.metrics->gauges[GAUGE_ZONES_EVACUATED], 0);
	put_evacuation("z2", RECORD_INVALID);
	EXPECT_EQ(evacuated.count("z2"), 0u);
}

// Guards against requests to an evacuated zone because its key was missing
// around an outage, and against an evacuation that never ends.
TEST_F(Fleet, EvacuationEndsOnlyOnceTheStoreAnswers)
{
	put_evacuation("z1");
	put_evacuation("z2");
	set_store_up(false);
	put_evacuation("z1", RECORD_NONE);
	run_for(10 * USEC_PER_SEC);
	EXPECT_TRUE(evacuated["z1"]);
	set_store_up(true);
	put_evacuation("z2", RECORD_NONE);
	run_for(1900 * USEC_PER_MSEC);
	EXPECT_TRUE(evacuated["z1"]);
	put_evacuation("z2");
	run_for(200 * USEC_PER_MSEC);
	EXPECT_FALSE(evacuated["z1"]);
	EXPECT_TRUE(evacuated["z2"]);
}

// Guards against an evacuation that ends at once because the store was restored
// from a copy that is older than its key.
TEST_F(Fleet, EvacuationMissingInARestoredStoreIsKeptForAWhile)
{
	store_result_t *restored = store_result_new(STORE_OK);

	put_evacuation("z1");
	put_evacuation("z2");
	restored->revision = revision_make(2, 0);
	send_event(restored);
	put_evacuation("z1", RECORD_NONE);
	put_evacuation("z2", RECORD_NONE);
	run_for(1900 * USEC_PER_MSEC);
	EXPECT_TRUE(evacuated["z1"]);
	put_evacuation("z2");
	run_for(200 * USEC_PER_MSEC);
	EXPECT_FALSE(evacuated["z1"]);
	EXPECT_TRUE(evacuated["z2"]);
}

struct mesh_world_t;

// One instance with its own kernel and a fake peer service.
struct mesh_node_t {
	mesh_world_t *world;
	kernel_t kernel;
	mesh_t mesh;
	svc_t peer;
	std::string host;
	std::set<mesh_node_t *> up;
	uint32_t instances = 1;

	static void on_peer(void *self, msg_t *msg);
	static void on_fleet(void *self, msg_t *msg)
	{
		if (msg->kind == MSG_FLEET_SIZE)
			static_cast<mesh_node_t *>(self)->instances =
				msg->u.fleet_size.instances;
	}
	void post_peer(msg_kind_t kind, const mesh_node_t *other)
	{
		msg_t msg = {};

		msg.kind = kind;
		g_strlcpy(msg.u.peer_addr.incarnation, other->host.c_str(),
			  sizeof(msg.u.peer_addr.incarnation));
		g_strlcpy(msg.u.peer_addr.host, other->host.c_str(),
			  sizeof(msg.u.peer_addr.host));
		msg.u.peer_addr.port = 7000;
		kernel_post(&kernel, peer, mesh.svc, &msg);
	}
};

struct mesh_world_t {
	std::map<std::string, std::unique_ptr<mesh_node_t>> nodes;
	size_t max_gossip = 0;

	void add(const std::string &host, const setting_list_t &seeds)
	{
		auto node = std::make_unique<mesh_node_t>();
		member_info_t self = {};

		node->world = this;
		node->host = host;
		kernel_init(&node->kernel, CLOCK_VIRTUAL, nodes.size() + 1);
		node->peer = kernel_register(&node->kernel, "peer",
					     mesh_node_t::on_peer, node.get());
		kernel_register(&node->kernel, "fleet", mesh_node_t::on_fleet,
				node.get());
		g_strlcpy(self.host, host.c_str(), sizeof(self.host));
		g_strlcpy(self.incarnation, host.c_str(),
			  sizeof(self.incarnation));
		self.peer_port = 7000;
		mesh_init(&node->mesh, &node->kernel, &self, &seeds);
		nodes[host] = std::move(node);
	}
	void connect(mesh_node_t *a, mesh_node_t *b)
	{
		if (!a->up.insert(b).second)
			return;
		b->up.insert(a);
		a->post_peer(MSG_PEER_UP, b);
		b->post_peer(MSG_PEER_UP, a);
	}
	void run(int64_t until)
	{
		for (int64_t now = 0; now <= until; now += 50000)
			for (auto &[host, node] : nodes)
				kernel_run_until(&node->kernel, now);
	}
	~mesh_world_t()
	{
		for (auto &[host, node] : nodes) {
			mesh_finish(&node->mesh);
			kernel_finish(&node->kernel);
		}
	}
};

void mesh_node_t::on_peer(void *self, msg_t *msg)
{
	mesh_node_t *node = static_cast<mesh_node_t *>(self);
	mesh_world_t *world = node->world;

	if (msg->kind == MSG_PEER_CONNECT &&
	    world->nodes.count(msg->u.peer_addr.host) > 0) {
		world->connect(node, world->nodes[msg->u.peer_addr.host].get());
	} else if (msg->kind == MSG_PEER_SEND &&
		   msg->u.peer.body->kind == PEER_HEARTBEAT) {
		mesh_node_t *to = world->nodes[msg->u.peer.incarnation].get();
		msg_t received = {};

		world->max_gossip = std::max<size_t>(
			world->max_gossip,
			msg->u.peer.body->u.heartbeat.members->len);
		received.kind = MSG_PEER_RECEIVED;
		g_strlcpy(received.u.peer.incarnation, node->host.c_str(),
			  sizeof(received.u.peer.incarnation));
		received.u.peer.body = msg->u.peer.body;
		msg->u.peer.body = nullptr;
		kernel_post(&to->kernel, to->peer, to->mesh.svc, &received);
	}
}

// Gossip that lists all instances would saturate the links when a fleet starts;
// gossip that lists few must still let every instance discover all others.
TEST(Mesh, BoundedGossipReachesAllInstances)
{
	constexpr int NODES = 60;
	mesh_world_t world;
	setting_list_t seeds = {};

	seeds.count = 3;
	for (int i = 0; i < 3; i++)
		g_snprintf(seeds.items[i], sizeof(seeds.items[i]),
			   "10.0.0.%d:7000", i + 1);
	for (int i = 0; i < NODES; i++)
		world.add("10.0.0." + std::to_string(i + 1), seeds);
	for (auto &[host, node] : world.nodes)
		kernel_start(&node->kernel);
	world.run(10 * USEC_PER_SEC);
	for (auto &[host, node] : world.nodes)
		EXPECT_EQ(node->instances, (uint32_t)NODES) << host;
	EXPECT_LE(world.max_gossip, 8u);
}

} // namespace
