// Promise 8: an accepted configuration is in force everywhere within 8 s of
// virtual time once the network allows it, and no key ever goes back.
#include "tests/conf_world.h"

#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace conf_world;

namespace
{

constexpr int64_t CHAOS_US = 20 * USEC_PER_SEC;
constexpr int64_t LIMIT_US = 8 * USEC_PER_SEC;

std::string random_key(World &world)
{
	int64_t n = world.below(9);

	return n == 0 ? "conf/preset" : "conf/account/n" + std::to_string(n);
}

void fault(World &world)
{
	size_t index = static_cast<size_t>(
		world.below(static_cast<int64_t>(world.instances.size())));
	Instance &instance = *world.instances[index];
	Instance &other = *world.instances[0];

	switch (world.below(5)) {
	case 0:
		world.set_store(!world.store_up);
		break;
	case 1:
		world.cut_from_store(instance, !instance.store_cut);
		break;
	case 2:
		if (&instance != &other) {
			bool &cut = world.link_cut[std::minmax(
				instance.incarnation, other.incarnation)];
			cut = !cut;
		}
		break;
	case 3:
		world.restart(index);
		break;
	default:
		break;
	}
}

// Ends the faults; some instances may stay cut from the store, as long as one
// has it: the others learn through their peers.
void heal(World &world, bool leave_cut)
{
	world.calm = true;
	// One starts empty, so that its peers send everything in frames.
	if (leave_cut)
		world.restart(world.instances.size() - 1);
	world.link_cut.clear();
	world.set_store(true);
	for (size_t i = 0; i < world.instances.size(); i++)
		world.cut_from_store(*world.instances[i], leave_cut && i != 0);
}

std::string run_schedule(uint64_t seed, uint64_t &checks)
{
	World world(seed);
	bool leave_cut = seed % 2 == 0;
	int64_t first = seed % 10 == 0 ? 3 * CONF_ITEMS_MAX : 0;

	// A peer may rely on another's order of store events.
	world.crossed = !leave_cut;
	for (int64_t i = 0; i < first; i++)
		world.write("conf/account/m" + std::to_string(i), false);
	for (int64_t i = 0, n = 2 + world.below(2); i < n; i++)
		world.start();
	while (world.now < CHAOS_US && world.violation.empty()) {
		world.run_to(world.now + 1 + world.below(300000));
		if (world.below(3) == 0)
			fault(world);
		else if (world.store_up || world.below(2) == 0)
			world.write(random_key(world), world.below(6) == 0);
	}
	heal(world, leave_cut);
	for (int64_t i = 0; i < 5; i++)
		world.write(random_key(world), i == 2);
	world.run_to(world.now + LIMIT_US);
	checks += world.checks + 1;
	if (!world.violation.empty())
		return world.violation;
	return world.all_current() ? "" : "not current after 8 s";
}

// Guards against lost, reverted and endlessly stale configuration.
TEST(ProveConf, Promise8)
{
	uint64_t first = 1, last = 400, checks = 0, violations = 0;
	const char *range = getenv("SEEDS");

	if (range != nullptr) {
		ASSERT_EQ(sscanf(range,
				 "%" G_GUINT64_FORMAT "..%" G_GUINT64_FORMAT,
				 &first, &last),
			  2);
	}
	for (uint64_t seed = first; seed <= last; seed++) {
		std::string error = run_schedule(seed, checks);
		if (error.empty())
			continue;
		if (violations++ == 0)
			printf("first violation: seed %" G_GUINT64_FORMAT
			       ": %s\n",
			       seed, error.c_str());
	}
	printf("promise 8 configuration schedules=%" G_GUINT64_FORMAT
	       " checks=%" G_GUINT64_FORMAT " violations=%" G_GUINT64_FORMAT
	       "\n",
	       last - first + 1, checks, violations);
	EXPECT_EQ(violations, 0u);
}

// Shows that the check fails on a snapshot that goes back, on a key that
// vanishes without a removal and on a removed key that comes back.
TEST(ProveConf, CheckerFindsReverts)
{
	std::vector<Change> history = {{2, "conf/account/a", false},
				       {3, "conf/account/a", true}};

	RevertChecker lower(&history);
	EXPECT_EQ(lower.add({{"conf/account/a", 5}}), "");
	EXPECT_NE(lower.add({{"conf/account/a", 4}}), "");
	RevertChecker vanished(&history);
	EXPECT_EQ(vanished.add({{"conf/account/a", 4}}), "");
	EXPECT_NE(vanished.add({}), "");
	RevertChecker resurrected(&history);
	EXPECT_EQ(resurrected.add({{"conf/account/a", 2}}), "");
	EXPECT_EQ(resurrected.add({}), "");
	EXPECT_NE(resurrected.add({{"conf/account/a", 2}}), "");
}

} // namespace
