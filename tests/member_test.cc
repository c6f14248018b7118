// Tests of membership: the lease, the view, the buddy and the reports of
// routers whose lease has expired.
#include "tests/member_world.h"

#include <gtest/gtest.h>

namespace
{

const std::vector<std::string> five_routers = {"z1", "z1", "z1", "z2", "z2"};

// A partitioned zone can use its slices in full only if each router's buddy
// is in the same zone.
TEST(Member, BuddyIsInOwnZoneAndCommittedBeforeUse)
{
	MemberWorld world(1, five_routers);

	world.run(12 * SEC);
	for (auto &node : world.routers) {
		MemberNode *buddy = world.find(node->buddy);

		ASSERT_NE(buddy, nullptr) << "router " << node->index;
		EXPECT_EQ(buddy->zone, node->zone);
		EXPECT_NE(buddy, node.get());
		EXPECT_EQ(node->kernel.metrics->gauges[GAUGE_MEMBERS_ALIVE], 5);
		EXPECT_EQ(node->kernel.metrics->gauges[GAUGE_PEERS], 4);
		EXPECT_GT(node->valid_until, world.now);
	}
	EXPECT_GT(world.tally.checks[2], 0u);
	EXPECT_EQ(world.tally.violations[2], 0u);
}

// Without the report, the tokens granted to a crashed router would never be
// recovered.
TEST(Member, CrashIsReportedToBuddyInBoundedTime)
{
	MemberWorld world(2, five_routers);

	world.run(12 * SEC);
	std::string dead = world[0].incarnation, buddy = world[0].buddy;
	world[0].crash();
	world.run(world.now + 20 * SEC); // 10 s lease, 3 s grace, margin
	MemberNode *holder = world.find(buddy);
	ASSERT_NE(holder, nullptr);
	EXPECT_TRUE(holder->reported_as_buddy.count(dead));
	int64_t reports = holder->reports[dead];
	world.run(world.now + 12 * SEC);
	// The report is repeated until the record is deleted.
	EXPECT_GT(holder->reports[dead], reports);
	world.revision++;
	world.erase("member/" + dead);
	world.run(world.now + SEC);
	reports = holder->reports[dead];
	world.run(world.now + 12 * SEC);
	EXPECT_EQ(holder->reports[dead], reports);
	EXPECT_EQ(world.tally.violations[1], 0u);
}

// A router must not rely on copies that a crashed buddy held.
TEST(Member, FailedBuddyIsReplaced)
{
	MemberWorld world(3, five_routers);

	world.run(12 * SEC);
	std::string old = world[1].buddy;
	world.find(old)->crash();
	world.run(world.now + 7 * SEC);
	EXPECT_NE(world[1].buddy, old);
	world.run(world.now + 5 * SEC);
	ASSERT_NE(world.find(world[1].buddy), nullptr);
	EXPECT_EQ(world.tally.violations[2], 0u);
}

// A new buddy can't be recorded during a store outage, so none may be used:
// recovery would not ask it for its copies.
TEST(Member, NoNewBuddyWithoutTheStore)
{
	MemberWorld world(4, five_routers);

	world.run(12 * SEC);
	std::string old = world[1].buddy;
	world.store_down = true;
	world.find(old)->crash();
	world.run(world.now + 30 * SEC);
	EXPECT_EQ(world[1].buddy, "");
	EXPECT_LT(world[1].valid_until, world.now);
	EXPECT_TRUE(world[1].reports.empty());
	world.store_down = false;
	world.run(world.now + 20 * SEC);
	EXPECT_NE(world.find(world[1].buddy), nullptr);
	EXPECT_GT(world[1].valid_until, world.now);
	EXPECT_EQ(world.tally.violations[2], 0u);
}

// A router that lost only its lease must write alive/ under a new lease; one
// whose grants were recovered must also create its record again.
TEST(Member, RegistersAgainAfterLostLeaseAndAfterRecovery)
{
	MemberWorld world(5, five_routers);

	world.run(12 * SEC);
	std::string name = world[0].incarnation;
	int64_t before = world.values["member/" + name].revision;
	world[0].paused_until = world.now + 15 * SEC;
	world.run(world.now + 12 * SEC);
	EXPECT_FALSE(world.has_key("alive/" + name));
	world.run(world.now + 6 * SEC);
	EXPECT_TRUE(world.has_key("alive/" + name));
	EXPECT_GT(world[0].valid_until, world.now);
	EXPECT_EQ(world.values["member/" + name].revision, before);

	world[0].paused_until = world.now + 25 * SEC;
	world.run(world.now + 22 * SEC);
	EXPECT_TRUE(world.has_key("member/" + name));
	world.revision++;
	world.erase("member/" + name); // as the buddy's ledger does
	world.run(world.now + 20 * SEC);
	EXPECT_TRUE(world.has_key("alive/" + name));
	EXPECT_GT(world.values["member/" + name].revision, before);
	EXPECT_NE(world[0].buddy, "");
}

// A planned stop must leave no records that others would have to recover.
TEST(Member, StopRemovesItsRecords)
{
	MemberWorld world(6, five_routers);

	world.run(12 * SEC);
	std::string name = world[0].incarnation;
	world[0].stop();
	world.run(world.now + SEC);
	EXPECT_TRUE(world[0].stopped);
	EXPECT_FALSE(world.has_key("member/" + name));
	EXPECT_FALSE(world.has_key("alive/" + name));
	for (size_t i = 1; i < 5; i++)
		EXPECT_NE(world[i].buddy, name);
	world[1].store_unreachable = true;
	world[1].stop();
	world.run(world.now + 4 * SEC);
	EXPECT_FALSE(world[1].stopped);
	world.run(world.now + 3 * SEC);
	EXPECT_TRUE(world[1].stopped); // the wait is bounded
}

// Tokens withheld from recovery are released only when the platform's list
// shows the instance as gone.  A list without routers, a list that lags or a
// list that can't be fetched must not count as such.
TEST(Member, InstanceIsGoneOnlyWhenUnlisted)
{
	MemberWorld world(7, {"z1", "z1", "z1"});
	std::vector<MemberNode *> listed;

	auto run = [&](int seconds) {
		for (int i = 0; i < seconds; i++) {
			for (auto &node : world.routers)
				if (node->up && !listed.empty())
					node->list_instances(listed);
			world.run(world.now + SEC);
		}
	};
	run(12);
	std::string dead = world[0].incarnation;
	world[0].crash();
	run(60); // no list is received
	EXPECT_GT(world[1].reports[dead], 0);
	EXPECT_TRUE(world[1].reported_instance_gone.empty());
	listed = {&world[0]};
	run(60); // the list lacks the reporting routers
	EXPECT_TRUE(world[1].reported_instance_gone.empty());
	listed = {&world[0], &world[1], &world[2]};
	run(60); // the list lags and still holds the crashed router
	EXPECT_TRUE(world[1].reported_instance_gone.empty());
	listed = {&world[1], &world[2]};
	run(45);
	EXPECT_TRUE(world[1].reported_instance_gone.count(dead));
}

// At the fleet size expected in two years, a router must not connect to all
// others.
TEST(Member, LargeFleetUsesFewNeighbours)
{
	std::vector<std::string> zones;

	for (int i = 0; i < 60; i++)
		zones.push_back("z" + std::to_string(i % 7));
	MemberWorld world(8, zones);
	world.run(30 * SEC);
	for (auto &node : world.routers) {
		EXPECT_LE(node->neighbours.size(),
			  (size_t)MEMBER_NEIGHBOURS_MAX);
		EXPECT_EQ(node->kernel.metrics->gauges[GAUGE_MEMBERS_ALIVE],
			  60);
		ASSERT_NE(world.find(node->buddy), nullptr);
		EXPECT_EQ(world.find(node->buddy)->zone, node->zone);
	}
	EXPECT_EQ(world.tally.violations[1] + world.tally.violations[2], 0u);
}

} // namespace
