// Tests of the orders service: the choice of one router, fencing tokens, the
// wait for an earlier order, lease expiry and stopping.
#include "tests/orders_world.h"

#include <gtest/gtest.h>

namespace
{

struct Fleet : OrderWorld {
	Router routers[3];
	int count;

	explicit Fleet(int n) : OrderWorld(1), count(n)
	{
		faults_disabled = true;
		now = SEC;
	}
	~Fleet()
	{
		for (Router &router : routers)
			router.crash();
	}
	void start()
	{
		for (int i = 0; i < count; i++) {
			routers[i].world = this;
			nodes.push_back(&routers[i]);
			routers[i].start();
		}
		advance_ms(100);
	}
	void add(const char *name, bool checks_fencing)
	{
		targets.emplace_back();
		targets.back().name = name;
		targets.back().checks_fencing = checks_fencing;
	}
	void advance_ms(int64_t ms)
	{
		run(now + ms * MS);
	}
	void place_order(Target &target)
	{
		target.newest_order++;
		for (Router &router : routers)
			if (router.up)
				router.publish_conf();
		advance_ms(1);
	}
	const record_order_state_t &state(const std::string &target)
	{
		return values["order/" + target + "/state"]
			.record.u.order_state;
	}
	// Stores the state of a holder that crashed after it sent an order.
	void store_running_state(const std::string &target, int64_t number)
	{
		Value &value = values["order/" + target + "/state"];
		value.revision = ++revision;
		value.record.kind = RECORD_ORDER_STATE;
		value.record.u.order_state.number = number;
		value.record.u.order_state.state = ORDER_RUNNING;
		value.record.u.order_state.longest_ms = 20000;
	}
};

// If all routers tried at once, the load on the store would multiply.
TEST(Orders, OneRouterHandlesEachOrderAndTargetsAreShared)
{
	Fleet fleet(3);
	std::set<std::string> owners;

	for (int i = 0; i < 20; i++) // sorted by name as in a snapshot
		fleet.add(("t" + std::to_string(10 + i)).c_str(), i % 2 == 0);
	fleet.start();
	for (Target &target : fleet.targets)
		fleet.place_order(target);
	fleet.advance_ms(60000);
	for (Target &target : fleet.targets) {
		EXPECT_EQ(target.applied, 1);
		owners.insert(fleet.state(target.name).owner);
	}
	EXPECT_EQ(owners.size(), 3u);
	EXPECT_EQ(fleet.sent, 20u);
	EXPECT_EQ(fleet.calls[MSG_STORE_LEASE], 20u);
	EXPECT_LE(fleet.calls[MSG_STORE_GET], 20u * 5);
	uint64_t reads = fleet.calls[MSG_STORE_GET];
	fleet.advance_ms(600000); // idle routers must not read the store
	EXPECT_EQ(fleet.calls[MSG_STORE_GET], reads);
}

// The router of rank 0 may crash before the others learn of the crash.
TEST(Orders, AnotherRouterTakesOverFromTheFirst)
{
	Fleet fleet(2);

	fleet.add("t", true);
	fleet.start();
	fleet.place_order(fleet.targets[0]);
	fleet.advance_ms(20000);
	std::string first = fleet.state("t").owner;
	for (int i = 0; i < 2; i++)
		if (first == fleet.routers[i].incarnation)
			fleet.routers[i].crash();
	fleet.place_order(fleet.targets[0]);
	fleet.advance_ms(2000);
	EXPECT_EQ(fleet.state("t").number, 1);
	fleet.advance_ms(20000);
	EXPECT_EQ(fleet.targets[0].applied, 2);
	EXPECT_NE(fleet.state("t").owner, first);
}

// An earlier order may still be running.  A new one must wait for its end only
// at a target that ignores fencing tokens.
TEST(Orders, WaitsForEarlierOrderIfTargetIgnoresFencing)
{
	Fleet fleet(1);

	fleet.add("fenced", true);
	fleet.add("ignores", false);
	fleet.store_running_state("fenced", 1);
	fleet.store_running_state("ignores", 1);
	fleet.start();
	for (Target &target : fleet.targets) {
		target.newest_order = 1;
		fleet.place_order(target);
	}
	fleet.advance_ms(19000);
	EXPECT_EQ(fleet.targets[0].applied, 2);
	EXPECT_TRUE(fleet.targets[1].runs.empty());
	EXPECT_EQ(fleet.state("ignores").longest_ms, 20000u);
	fleet.advance_ms(10000);
	EXPECT_EQ(fleet.targets[1].applied, 2);
	EXPECT_EQ(fleet.routers[0]
			  .kernel.metrics->counters[COUNTER_ORDERS_WAITED],
		  1u);
}

// A holder that was paused until after its lease expired must not send an
// order when it resumes.
TEST(Orders, PausedHolderSendsNothingAfterLeaseExpiry)
{
	Fleet fleet(1);

	fleet.add("t", false);
	fleet.store_running_state("t", 1);
	fleet.start();
	fleet.targets[0].newest_order = 1;
	fleet.place_order(fleet.targets[0]);
	// The keepalive result that arrives after the pause is old and must not
	// extend the lease.
	while (fleet.calls[MSG_STORE_KEEPALIVE] < 3)
		fleet.advance_ms(1);
	fleet.routers[0].paused_until = fleet.now + 30 * SEC;
	fleet.advance_ms(31000);
	EXPECT_EQ(fleet.sent, 0u);
	fleet.advance_ms(60000);
	EXPECT_EQ(fleet.targets[0].applied, 2);
}

// A rejected order must be reported as failed and not be sent again.
TEST(Orders, RefusedOrderFailsAndTheNextOrderIsSent)
{
	Fleet fleet(1);

	fleet.add("t", true);
	fleet.targets[0].rejects_orders = true;
	fleet.start();
	fleet.place_order(fleet.targets[0]);
	fleet.advance_ms(120000);
	EXPECT_EQ(fleet.sent, 1u);
	EXPECT_EQ(fleet.state("t").state, ORDER_FAILED);
	fleet.targets[0].rejects_orders = false;
	fleet.place_order(fleet.targets[0]);
	fleet.advance_ms(20000);
	EXPECT_EQ(fleet.state("t").state, ORDER_DONE);
	EXPECT_EQ(fleet.state("t").number, 2);
}

// A planned stop writes the result of the order that was sent and starts no
// other.
TEST(Orders, StopWaitsForSentOrder)
{
	Fleet fleet(1);

	fleet.add("t", true);
	fleet.add("u", true);
	fleet.start();
	fleet.place_order(fleet.targets[0]);
	fleet.advance_ms(150);
	kernel_stop(&fleet.routers[0].kernel);
	fleet.place_order(fleet.targets[1]);
	EXPECT_EQ(fleet.routers[0].stopped, 0);
	fleet.advance_ms(30000);
	EXPECT_EQ(fleet.routers[0].stopped, 1);
	EXPECT_EQ(fleet.state("t").state, ORDER_DONE);
	EXPECT_EQ(fleet.sent, 1u);
}

} // namespace
