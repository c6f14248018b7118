// Checks promise 8 in simulations with random faults: an accepted configuration
// is in force on every instance within 8 s of virtual time after the faults
// end, and no key ever reverts to an older revision.
#include "tests/conf_world.h"

#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace conf_world;

namespace
{

constexpr int64_t FAULT_PHASE_US = 20 * USEC_PER_SEC;
constexpr int64_t CONVERGENCE_LIMIT_US = 8 * USEC_PER_SEC;

std::string random_key(Simulation &sim)
{
	int64_t n = sim.random_below(9);

	return n == 0 ? "conf/preset" : "conf/account/n" + std::to_string(n);
}

void inject_fault(Simulation &sim)
{
	size_t index = static_cast<size_t>(
		sim.random_below(static_cast<int64_t>(sim.instances.size())));
	Instance &instance = *sim.instances[index];
	Instance &other = *sim.instances[0];

	switch (sim.random_below(5)) {
	case 0:
		sim.set_store_up(!sim.store_up);
		break;
	case 1:
		sim.set_store_disconnected(instance,
					   !instance.store_disconnected);
		break;
	case 2:
		if (&instance != &other) {
			bool &down = sim.link_down[std::minmax(
				instance.incarnation, other.incarnation)];
			down = !down;
		}
		break;
	case 3:
		sim.restart(index);
		break;
	default:
		break;
	}
}

// Ends the faults. With keep_disconnected, only the first instance can reach
// the store, and the others receive the configuration from peers.
void end_faults(Simulation &sim, bool keep_disconnected)
{
	sim.reliable = true;
	// A restarted instance has no records: peers send it all, in frames.
	if (keep_disconnected)
		sim.restart(sim.instances.size() - 1);
	sim.link_down.clear();
	sim.set_store_up(true);
	for (size_t i = 0; i < sim.instances.size(); i++)
		sim.set_store_disconnected(*sim.instances[i],
					   keep_disconnected && i != 0);
}

std::string run_schedule(uint64_t seed, uint64_t &checks)
{
	Simulation sim(seed);
	bool keep_disconnected = seed % 2 == 0;
	int64_t initial_accounts = seed % 10 == 0 ? 3 * CONF_ITEMS_MAX : 0;

	// Store events are reordered only if every instance reads the store in
	// the end: an instance that depends on a peer relies on the order in
	// which that peer receives its store events.
	sim.reorder_events = !keep_disconnected;
	for (int64_t i = 0; i < initial_accounts; i++)
		sim.write("conf/account/m" + std::to_string(i), false);
	for (int64_t i = 0, n = 2 + sim.random_below(2); i < n; i++)
		sim.start();
	while (sim.now < FAULT_PHASE_US && sim.violation.empty()) {
		sim.run_to(sim.now + 1 + sim.random_below(300000));
		if (sim.random_below(3) == 0)
			inject_fault(sim);
		else if (sim.store_up || sim.random_below(2) == 0)
			sim.write(random_key(sim), sim.random_below(6) == 0);
	}
	end_faults(sim, keep_disconnected);
	for (int64_t i = 0; i < 5; i++)
		sim.write(random_key(sim), i == 2);
	sim.run_to(sim.now + CONVERGENCE_LIMIT_US);
	checks += sim.checks + 1;
	if (!sim.violation.empty())
		return sim.violation;
	return sim.all_converged() ? "" : "not current after 8 s";
}

// Guards against lost, reverted and permanently stale configuration.
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

// Checks that RevertChecker reports a lower revision, a key that disappears
// without a removal, and a removed key that reappears.
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
