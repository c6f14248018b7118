// Property test of orders to targets: a target never returns to an older
// order, a target that ignores fencing tokens runs one router's order at a
// time, and the newest order is in effect after the faults have ended.
#include "tests/orders_world.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t FAULTS_END = 150 * SEC;
constexpr int64_t RUN_END = 700 * SEC;

void schedule_fault(OrderWorld &w, std::vector<Router> &routers)
{
	Router *router = &routers[w.rng.below(routers.size())];
	Target *target = &w.targets[w.rng.below(w.targets.size())];
	int64_t length = w.rng.ms(500, 25000);
	uint64_t kind = w.rng.below(5);

	w.after((int64_t)w.rng.below(FAULTS_END), [=, &w]() {
		if (kind == 0 && router->up) {
			router->crash();
			w.after(length, [=]() { router->start(); });
		} else if (kind == 1) {
			router->paused_until = w.now + length;
		} else if (kind == 2 && !w.store_down) {
			w.store_down = true;
			w.after(length, [&w]() { w.store_down = false; });
		} else if (kind == 3) {
			router->isolated = true;
			w.after(length, [=]() { router->isolated = false; });
		} else if (kind == 4) {
			target->down = true;
			w.after(length, [=]() { target->down = false; });
		}
	});
}

// Each router receives the members and the configuration after its own delays.
void schedule_updates(OrderWorld &w, std::vector<Router> &routers)
{
	for (int64_t when = 0; when < RUN_END; when += 2 * SEC)
		for (Router &router : routers) {
			Router *to = &router;
			w.after(when + w.rng.ms(0, 2000), [=]() {
				if (to->up)
					to->publish_members();
			});
			w.after(when + w.rng.ms(0, 2000), [=, &w]() {
				if (to->up &&
				    (w.now > FAULTS_END || w.rng.percent(60)))
					to->publish_conf();
			});
		}
}

Tally run_schedule(uint64_t seed, int64_t lease_shortfall)
{
	OrderWorld w(seed);
	std::vector<Router> routers(2 + w.rng.below(2));

	w.lease_shortfall = lease_shortfall;
	w.targets.resize(2);
	w.targets[0].name = "fenced";
	w.targets[0].checks_fencing = true;
	w.targets[1].name = "ignores";
	for (Router &router : routers) {
		router.world = &w;
		w.nodes.push_back(&router);
		router.start();
	}
	for (Target &target : w.targets)
		for (int i = 0; i < 6; i++)
			w.after((int64_t)w.rng.below(FAULTS_END),
				[&target]() { target.newest_order++; });
	for (uint64_t i = w.rng.below(12); i > 0; i--)
		schedule_fault(w, routers);
	schedule_updates(w, routers);
	w.run(FAULTS_END + 30 * SEC);
	w.faults_disabled = true;
	for (Router &router : routers)
		router.paused_until = 0;
	w.run(RUN_END);
	for (Target &target : w.targets) {
		record_t &state =
			w.values["order/" + target.name + "/state"].record;
		w.check(target.applied == target.newest_order);
		w.check(state.kind == RECORD_ORDER_STATE &&
			state.u.order_state.number == target.newest_order &&
			state.u.order_state.state == ORDER_DONE);
	}
	for (Router &router : routers)
		router.crash();
	return w.tally;
}

TEST(Prove, NewestOrderWinsAndOrdersNeverOverlap)
{
	uint64_t first = 1, last = 300, failed = 0;
	const char *range = getenv("SEEDS");
	Tally sum;

	if (range != nullptr)
		sscanf(range, "%" G_GUINT64_FORMAT "..%" G_GUINT64_FORMAT,
		       &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		Tally one = run_schedule(seed, 0);
		sum.checks[0] += one.checks[0];
		sum.violations[0] += one.violations[0];
		if (failed == 0 && one.violations[0] > 0)
			failed = seed;
	}
	printf("promise - orders fencing schedules=%" G_GUINT64_FORMAT
	       " checks=%" G_GUINT64_FORMAT " violations=%" G_GUINT64_FORMAT,
	       last - first + 1, sum.checks[0], sum.violations[0]);
	if (failed != 0)
		printf(" seed=%" G_GUINT64_FORMAT, failed);
	printf("\n");
	fflush(stdout);
	EXPECT_EQ(sum.violations[0], 0u);
	if (range == nullptr) {
		EXPECT_GT(sum.checks[0], 2000u);
	}
}

// Checks that the simulation detects holders that send after their lease has
// expired in the store, as a router would that did not compare the time with
// the end of its lease.
TEST(Prove, DetectsSendsAfterLeaseExpiry)
{
	uint64_t violations = 0;

	for (uint64_t seed = 1; seed <= 60; seed++)
		violations += run_schedule(seed, 9 * SEC).violations[0];
	EXPECT_GT(violations, 0u);
}

} // namespace
