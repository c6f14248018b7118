// Unit tests of the ledger under a virtual clock.
#include "tests/ledger_world_impl.h"

#include <cstdio>
#include <gtest/gtest.h>

namespace
{

class Ledger : public ::testing::Test
{
      protected:
	void start_routers(int routers, int64_t tokens)
	{
		world.set_budget("main", tokens);
		for (int i = 0; i < routers; i++)
			world.start(i);
		world.run_for(3 * SEC);
	}
	Request request(const char *key, int64_t reserved, int64_t tokens)
	{
		return Request{"main", key, reserved, tokens, 100 * MS};
	}
	Router *router(int index)
	{
		return world.routers[(size_t)index].get();
	}
	World world{1};
};

TEST_F(Ledger, BillsOnceAndReturnsTheRemainder)
{
	start_routers(1, 1000);
	world.submit(0, request("a", 400, 150));
	world.run_for(1 * SEC);
	EXPECT_EQ(world.released.size(), 1u);
	EXPECT_EQ(world.store.entries.count("bill/acme/a/f"), 1u);
	world.submit(0, request("b", 850, 850));
	world.run_for(1 * SEC);
	EXPECT_EQ(world.spent["main"], 1000);
	world.submit(0, request("c", 1, 1));
	world.run_for(1 * SEC);
	EXPECT_EQ(router(0)->outcomes[RESERVE_SPENT], 1);
}

TEST_F(Ledger, TopUpIsSeenSoon)
{
	start_routers(1, 100);
	world.submit(0, request("a", 200, 200));
	world.run_for(1 * SEC);
	EXPECT_EQ(router(0)->outcomes[RESERVE_SPENT], 1);
	world.set_budget("main", 500);
	world.run_for(1 * SEC);
	world.submit(0, request("b", 200, 200));
	world.run_for(1 * SEC);
	EXPECT_EQ(world.spent["main"], 200);
}

// Unused tokens of one router must not cause refusals at another.
TEST_F(Ledger, PeersGiveUnusedSlices)
{
	start_routers(2, 10000);
	world.submit(0, request("a", 100, 100));
	world.run_for(1 * SEC);
	world.submit(1, request("b", 9900, 9900));
	world.run_for(1 * SEC);
	EXPECT_EQ(world.spent["main"], 10000);
}

// During a store outage the buddy's copy releases the answer.  The bill must
// reach the store afterwards.
TEST_F(Ledger, BuddyCopyReleasesDuringAnOutage)
{
	start_routers(2, 100000);
	world.submit(0, request("a", 100, 100));
	world.run_for(1 * SEC);
	world.store.up = false;
	world.run_for(30 * SEC);
	world.submit(0, request("b", 100, 100));
	world.run_for(1 * SEC);
	EXPECT_EQ(world.released.size(), 2u);
	EXPECT_EQ(world.store.entries.count("bill/acme/b/f"), 0u);
	world.store.up = true;
	world.run_for(5 * SEC);
	EXPECT_EQ(world.store.entries.count("bill/acme/b/f"), 1u);
	EXPECT_EQ(world.overspend, "");
}

// A router without buddy and store may spend only the unprotected part of its
// grant.
TEST_F(Ledger, UnprotectedSpendIsBounded)
{
	start_routers(1, 10000);
	world.submit(0, request("a", 100, 100));
	world.run_for(1 * SEC);
	int64_t unprotected = world.store.entries["grant/inc-0/acme/main"]
				      .record.u.grant.unprotected;
	world.store.up = false;
	world.run_for(20 * SEC);
	for (int i = 0; i < 40; i++)
		world.submit(
			0, request(("u" + std::to_string(i)).c_str(), 50, 50));
	world.run_for(5 * SEC);
	EXPECT_GT(world.spent["main"], 100);
	EXPECT_LE(world.spent["main"] - 100, unprotected);
	world.store.up = true;
	world.run_for(5 * SEC);
	EXPECT_EQ(world.overspend, "");
}

// The crash of a router must not lose the bills copied to its buddy.  Only an
// operator may return the tokens that the router may have spent without
// protection.  The member record must be deleted with the last grant.
TEST_F(Ledger, BuddyRecoversACrashedRouter)
{
	start_routers(2, 10000);
	world.submit(0, request("a", 100, 100));
	world.run_for(1 * SEC);
	world.store.up = false;
	world.submit(0, request("b", 100, 100));
	world.run_for(1 * SEC);
	EXPECT_EQ(world.released.size(), 2u);
	world.crash(0);
	world.store.up = true;
	world.run_for(15 * SEC);
	EXPECT_EQ(world.store.entries.count("bill/acme/b/f"), 1u);
	EXPECT_TRUE(world.store.entries["grant/inc-0/acme/main"]
			    .record.u.grant.recovered);
	world.run_for(30 * SEC);
	const char *key = "grant/inc-0/acme/main";
	record_grant_t grant = world.store.entries[key].record.u.grant;
	EXPECT_GT(grant.unprotected, 0);
	EXPECT_EQ(grant.granted, grant.settled + grant.unprotected);
	EXPECT_EQ(router(1)->kernel.metrics->gauges[GAUGE_WITHHELD_TOKENS],
		  grant.unprotected);
	record_t budget = world.store.entries["budget/acme/main"].record;
	budget.u.budget.granted -= grant.unprotected;
	budget.u.budget.retired += grant.settled;
	world.store.put("budget/acme/main", budget);
	world.store.erase(key); // as the command "budget reclaim" does
	world.run_for(90 * SEC);
	EXPECT_EQ(world.store.entries.count("member/inc-0"), 0u);
	EXPECT_EQ(router(1)->kernel.metrics->gauges[GAUGE_WITHHELD_TOKENS], 0);
	EXPECT_EQ(world.overspend, "");
}

TEST_F(Ledger, StopReturnsGrants)
{
	start_routers(2, 10000);
	world.submit(0, request("a", 100, 60));
	world.run_for(50 * MS);
	kernel_stop(&router(0)->kernel);
	world.run_for(2 * SEC);
	EXPECT_TRUE(router(0)->stopped);
	EXPECT_FALSE(world.has_grants("inc-0"));
	EXPECT_EQ(world.budget("main").retired, 60);
}

// A planned stop must not lose the bills that it holds for a crashed router.
TEST_F(Ledger, StopOfTheBuddyKeepsBillsOfACrashedRouter)
{
	start_routers(3, 30000);
	ASSERT_EQ(router(0)->buddy, router(2)->incarnation);
	world.submit(0, request("a", 100, 100));
	world.run_for(1 * SEC);
	router(0)->store_unreachable = true;
	world.submit(0, request("b", 100, 70));
	world.run_for(200 * MS);
	EXPECT_EQ(world.released.size(), 2u);
	EXPECT_EQ(world.store.entries.count("bill/acme/b/f"), 0u);
	world.crash(0);
	kernel_stop(&router(1)->kernel);
	kernel_stop(&router(2)->kernel);
	world.run_for(2 * SEC);
	EXPECT_TRUE(router(1)->stopped);
	EXPECT_TRUE(router(2)->stopped);
	EXPECT_EQ(world.store.entries.count("bill/acme/b/f"), 1u);
	EXPECT_EQ(world.overspend, "");
}

// The buddy and the owner must not both charge a bill, and a buddy that stops
// must not acknowledge copies that it drops.
TEST_F(Ledger, StopOfTheBuddyBillsALiveRouterOnce)
{
	start_routers(3, 30000);
	world.submit(0, request("a", 100, 100));
	world.run_for(1 * SEC);
	router(0)->store_unreachable = true;
	world.submit(0, request("b", 100, 70));
	world.run_for(200 * MS);
	EXPECT_EQ(world.released.count("b"), 1u);
	kernel_stop(&router(2)->kernel);
	world.run_for(1 * SEC);
	EXPECT_TRUE(router(2)->stopped);
	EXPECT_EQ(world.store.entries.count("bill/acme/b/f"), 1u);
	world.submit(0, request("c", 100, 30));
	world.run_for(1 * SEC);
	EXPECT_EQ(world.released.count("c"), 0u);
	router(0)->store_unreachable = false;
	world.run_for(5 * SEC);
	EXPECT_EQ(world.released.count("c"), 1u);
	record_grant_t grant =
		world.store.entries["grant/inc-0/acme/main"].record.u.grant;
	EXPECT_EQ(grant.settled, 200);
	EXPECT_EQ(world.overspend, "");
}

// More bills than one write holds, most of which their owner records between
// the buddy's reads and its write, must not seem too large for the grant.
TEST_F(Ledger, StopOfTheBuddyRecordsManyBillsBesideTheirOwner)
{
	for (int delay = 0; delay < 30; delay++) {
		World local(1);
		Store &store = local.store;
		local.fast_links = true;
		local.set_budget("main", 2000);
		for (int i = 0; i < 3; i++)
			local.start(i);
		local.run_for(3 * SEC);
		local.submit(0, request("a", 2000, 0));
		local.run_for(1 * SEC);
		local.routers[0]->store_unreachable = true;
		for (int i = 0; i < 200; i++)
			local.submit(0,
				     request(("m" + std::to_string(i)).c_str(),
					     10, 10));
		local.run_for(200 * MS);
		ASSERT_EQ(local.released.size(), 201u);
		local.crash(0);
		kernel_stop(&local.routers[2]->kernel);
		local.run_for((490 + delay) * MS);
		record_t grant = store.entries["grant/inc-0/acme/main"].record;
		record_t bill = store.entries["bill/acme/a/f"].record;
		bill.u.bill.tokens = 10;
		for (int i = 0; i < 178; i++) {
			std::string key =
				"bill/acme/m" + std::to_string(i) + "/f";
			if (store.revision_of(key) != 0)
				continue;
			store.put(key, bill);
			grant.u.grant.settled += 10;
		}
		store.put("grant/inc-0/acme/main", grant);
		local.run_for(3 * SEC);
		EXPECT_TRUE(local.routers[2]->stopped);
		for (int i = 178; i < 200; i++)
			EXPECT_NE(store.revision_of("bill/acme/m" +
						    std::to_string(i) + "/f"),
				  0)
				<< "bill " << i << " after " << delay << " ms";
		EXPECT_EQ(local.overspend, "");
	}
}

// A buddy that stops while the store is down must protect its peers until it
// can write their bills.
TEST_F(Ledger, StopOfTheBuddyHoldsCopiesUntilTheStoreReplies)
{
	start_routers(3, 30000);
	world.submit(0, request("a", 100, 100));
	world.run_for(1 * SEC);
	world.store.up = false;
	world.submit(0, request("b", 100, 70));
	world.run_for(200 * MS);
	kernel_stop(&router(2)->kernel);
	world.run_for(20 * SEC);
	EXPECT_FALSE(router(2)->stopped);
	world.submit(0, request("c", 100, 30));
	world.run_for(500 * MS);
	EXPECT_EQ(world.released.count("c"), 1u);
	world.crash(0);
	world.store.up = true;
	world.run_for(3 * SEC);
	EXPECT_TRUE(router(2)->stopped);
	EXPECT_EQ(world.store.entries.count("bill/acme/b/f"), 1u);
	EXPECT_EQ(world.store.entries.count("bill/acme/c/f"), 1u);
	EXPECT_EQ(world.overspend, "");
}

// Two idempotency keys must never share a record, whatever their bytes.
TEST_F(Ledger, KeysAreEscapedAndBounded)
{
	char a[STORE_KEY_SIZE], b[STORE_KEY_SIZE];
	std::string long_key(IDEM_KEY_SIZE - 1, '/');
	bill_t bill = {};
	auto make_key = [&](char *out, const char *key) {
		g_strlcpy(bill.client_account, "acme", NAME_SIZE);
		g_strlcpy(bill.fingerprint, "f", HASH_SIZE);
		g_strlcpy(bill.idem_key, key, IDEM_KEY_SIZE);
		ledger_bill_key(out, &bill);
	};

	make_key(a, "x/y");
	make_key(b, "x%2Fy");
	EXPECT_STREQ(a, "bill/acme/x%2Fy/f");
	EXPECT_STRNE(a, b);
	make_key(a, long_key.c_str());
	EXPECT_LT(strlen(a), 120u);
}

// A key reused for another request must not make that request free.  Its stream
// reaches the caller before the bill reaches the store, so the key alone would
// turn the bill into a duplicate.
TEST_F(Ledger, AnotherRequestUnderTheSameKeyIsBilledToo)
{
	start_routers(1, 1000);
	Request first = request("k", 100, 60);
	Request second = request("k", 100, 70);
	second.fingerprint = "g";
	world.submit(0, first);
	world.submit(0, second);
	world.run_for(5 * SEC);
	world.submit(0, second);
	world.run_for(5 * SEC);
	EXPECT_EQ(world.store.entries.count("bill/acme/k/f"), 1u);
	EXPECT_EQ(world.store.entries.count("bill/acme/k/g"), 1u);
	int64_t settled = world.budget("main").retired;
	for (auto &[key, entry] : world.store.entries)
		if (entry.record.kind == RECORD_GRANT)
			settled += entry.record.u.grant.settled;
	EXPECT_EQ(settled, 130);
}

// A repeated top-up is detected by its operation id in the budget record.  The
// routers' writes to that record must not evict the id.
TEST_F(Ledger, OperatorsOperationIdsSurviveTheRoutersWrites)
{
	start_routers(1, 100000);
	std::string key = "budget/acme/main";
	g_strlcpy(world.store.entries[key].record.u.budget.ops[0].writer,
		  "weekend-1", INCARNATION_SIZE);
	int64_t revision = world.store.revision_of(key);
	for (int i = 0; i < 30; i++) {
		world.submit(0, request(("o" + std::to_string(i)).c_str(), 3000,
					2500));
		world.run_for(20 * SEC);
	}
	EXPECT_GT(world.store.revision_of(key), revision);
	EXPECT_STREQ(world.budget("main").ops[0].writer, "weekend-1");
}

// Bills must be settled in groups, or the store gets a call for each bill.
TEST_F(Ledger, SteadyRunNeedsFewStoreCalls)
{
	world.fast_links = true;
	start_routers(2, 1000000000);
	int64_t before = world.store.calls;
	for (int i = 0; i < 20000; i++) {
		world.submit(i % 2, request(("s" + std::to_string(i)).c_str(),
					    1000, 400));
		world.run_for(1 * MS);
	}
	world.run_for(2 * SEC);
	EXPECT_EQ(world.released.size(), 20000u);
	double calls = (double)(world.store.calls - before) / 20;
	printf("store calls per 1000 requests: %.1f\n", calls);
	EXPECT_LT(calls, 200);
}

// The last tokens of a budget must serve requests at either router.  A refusal
// is false if the worst case of the request still fits into the budget, as a
// single ledger for both routers would admit it.
TEST_F(Ledger, FewFalseRefusalsNearTheEnd)
{
	world.fast_links = true;
	start_routers(2, 1000000);
	int false_refusals = 0, submitted = 0;
	for (int i = 0; i < 4000; i++) {
		int64_t reserved = 0;
		int before = router(0)->outcomes[RESERVE_SPENT] +
			     router(1)->outcomes[RESERVE_SPENT];
		for (int h = 0; h < 2; h++)
			reserved += 1000 * (int64_t)router(h)->requests.size();
		bool fits = world.spent["main"] + reserved + 1000 <= 1000000;
		world.submit(i % 2, request(("e" + std::to_string(i)).c_str(),
					    1000, 400));
		world.run_for(5 * MS);
		int after = router(0)->outcomes[RESERVE_SPENT] +
			    router(1)->outcomes[RESERVE_SPENT];
		submitted += fits;
		false_refusals += fits ? after - before : 0;
	}
	world.run_for(3 * SEC);
	printf("near the end: %d false refusals of %d, spent %ld of 1000000\n",
	       false_refusals, submitted, (long)world.spent["main"]);
	EXPECT_LE(world.spent["main"], 1000000);
	EXPECT_GE(world.spent["main"], 999000);
	EXPECT_LE(false_refusals, submitted / 100);
}

} // namespace
