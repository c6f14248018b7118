// Property test of orders to targets: a target never goes back to an older
// wish, a target that ignores fencing numbers runs one router's order at a
// time, and the newest wish is in effect once faults end.
#include "tests/orders_world.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t FAULTS = 150 * SEC;
constexpr int64_t HEALED = 700 * SEC;

void plan_fault(OrderWorld &w, std::vector<Router> &routers)
{
	Router *router = &routers[w.rng.below(routers.size())];
	Target *target = &w.targets[w.rng.below(w.targets.size())];
	int64_t length = w.rng.ms(500, 25000);
	uint64_t kind = w.rng.below(5);

	w.after((int64_t)w.rng.below(FAULTS), [=, &w]() {
		if (kind == 0 && router->up) {
			router->crash();
			w.after(length, [=]() { router->start(); });
		} else if (kind == 1) {
			router->paused_until = w.now + length;
		} else if (kind == 2 && !w.store_down) {
			w.store_down = true;
			w.after(length, [&w]() { w.store_down = false; });
		} else if (kind == 3) {
			router->alone = true;
			w.after(length, [=]() { router->alone = false; });
		} else if (kind == 4) {
			target->down = true;
			w.after(length, [=]() { target->down = false; });
		}
	});
}

// Members and configuration reach each router late.
void publish(OrderWorld &w, std::vector<Router> &routers)
{
	for (int64_t when = 0; when < HEALED; when += 2 * SEC)
		for (Router &router : routers) {
			Router *to = &router;
			w.after(when + w.rng.ms(0, 2000), [=]() {
				if (to->up)
					to->tell_members();
			});
			w.after(when + w.rng.ms(0, 2000), [=, &w]() {
				if (to->up &&
				    (w.now > FAULTS || w.rng.percent(60)))
					to->tell_conf();
			});
		}
}

Tally schedule(uint64_t seed, int64_t lease_cut)
{
	OrderWorld w(seed);
	std::vector<Router> routers(2 + w.rng.below(2));

	w.lease_cut = lease_cut;
	w.targets.resize(2);
	w.targets[0].name = "fenced";
	w.targets[0].checks = true;
	w.targets[1].name = "ignores";
	for (Router &router : routers) {
		router.world = &w;
		w.nodes.push_back(&router);
		router.start();
	}
	for (Target &target : w.targets)
		for (int i = 0; i < 6; i++)
			w.after((int64_t)w.rng.below(FAULTS),
				[&target]() { target.wish++; });
	for (uint64_t i = w.rng.below(12); i > 0; i--)
		plan_fault(w, routers);
	publish(w, routers);
	w.run(FAULTS + 30 * SEC);
	w.quiet = true;
	for (Router &router : routers)
		router.paused_until = 0;
	w.run(HEALED);
	for (Target &target : w.targets) {
		record_t &state =
			w.values["order/" + target.name + "/state"].record;
		w.check(target.current == target.wish);
		w.check(state.kind == RECORD_ORDER_STATE &&
			state.u.order_state.number == target.wish &&
			state.u.order_state.state == ORDER_DONE);
	}
	for (Router &router : routers)
		router.crash();
	return w.tally;
}

TEST(Prove, NewestWishWinsAndOrdersNeverOverlap)
{
	uint64_t first = 1, last = 300, failed = 0;
	const char *range = getenv("SEEDS");
	Tally sum;

	if (range != nullptr)
		sscanf(range, "%" G_GUINT64_FORMAT "..%" G_GUINT64_FORMAT,
		       &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		Tally one = schedule(seed, 0);
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

// The check must see holders that send past the real end of their lease, as
// they would without comparing the time with its deadline.
TEST(Prove, CatchesHoldersThatSendPastTheirLease)
{
	uint64_t violations = 0;

	for (uint64_t seed = 1; seed <= 60; seed++)
		violations += schedule(seed, 9 * SEC).violations[0];
	EXPECT_GT(violations, 0u);
}

} // namespace
