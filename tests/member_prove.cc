// Property test of membership under random crashes, pauses longer than the
// lease, partitions, store outages and lost replies.
#include "tests/member_world.h"

#include <gtest/gtest.h>

namespace
{

void inject_fault(MemberWorld &world)
{
	MemberNode *node = world.routers[world.rng.below(5)].get();
	int64_t length = world.rng.ms(500, 25000);

	switch (world.rng.below(7)) {
	case 0:
		node->crash();
		world.after(length, [=]() { node->start(); });
		break;
	case 1:
	case 2:
		node->paused_until = world.now + length;
		break;
	case 3:
		for (auto &other : world.routers)
			other->partition = other->zone == node->zone;
		break;
	case 4:
		node->store_unreachable = true;
		world.after(length, [=]() { node->store_unreachable = false; });
		break;
	case 5:
		world.store_down = true;
		world.after(length, [&world]() { world.store_down = false; });
		break;
	default:
		world.loss_percent = 30;
		// Meanwhile the ledgers of buddies recover expired routers.
		world.after(length, [&world]() {
			world.loss_percent = 0;
			for (auto &other : world.routers)
				for (auto &name : other->reported_as_buddy)
					if (!world.has_key("alive/" + name)) {
						world.revision++;
						world.erase("member/" + name);
					}
		});
		break;
	}
}

// Checks the promises of tests/member_world.h at each message.  After all
// faults have ended, tally 0 checks that every router is registered, has a
// buddy and sees all others as alive, and that every record whose router is
// down has been reported by the buddy that it names.
Tally run_schedule(uint64_t seed, int steps)
{
	MemberWorld world(seed, {"z1", "z1", "z1", "z2", "z2"});

	world.run(10 * SEC);
	for (int i = 0; i < steps; i++) {
		inject_fault(world);
		world.run(world.now + world.rng.ms(200, 12000));
		for (auto &node : world.routers)
			if (world.rng.percent(20))
				node->partition = 0;
	}
	world.run(world.now + 26 * SEC);
	for (auto &node : world.routers) {
		node->partition = 0;
		node->paused_until = 0;
		node->start();
	}
	world.run(world.now + 60 * SEC);
	for (auto &node : world.routers) {
		auto &gauges = node->kernel.metrics->gauges;

		world.check(0, world.has_key(node->key("alive/")));
		world.check(0, world.has_key(node->key("member/")));
		world.check(0, node->valid_until > world.now);
		world.check(0, world.find(node->buddy) != nullptr);
		world.check(0, gauges[GAUGE_MEMBERS_ALIVE] == 5);
	}
	for (auto &value : world.values) {
		if (value.first.rfind("member/", 0) != 0)
			continue;
		MemberNode *buddy =
			world.find(value.second.record.u.member.buddy);
		std::string name = value.first.substr(7);
		if (world.find(name) == nullptr && buddy != nullptr)
			world.check(0,
				    buddy->reported_as_buddy.count(name) != 0);
	}
	return world.tally;
}

TEST(ProveMember, HoldsUnderFaults)
{
	Tally final_tally;
	Tally sum = check_schedules(
		"member", {1, 2}, 1, 150, 12, [&](uint64_t seed, int steps) {
			Tally one = run_schedule(seed, steps);
			final_tally.checks[0] += one.checks[0];
			final_tally.violations[0] += one.violations[0];
			return one;
		});

	for (int p = 1; p <= 2; p++) {
		EXPECT_GT(sum.checks[p], 0u);
		EXPECT_EQ(sum.violations[p], 0u) << "promise " << p;
	}
	EXPECT_GT(final_tally.checks[0], 0u);
	EXPECT_EQ(final_tally.violations[0], 0u);
}

} // namespace
