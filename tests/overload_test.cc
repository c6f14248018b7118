// Tests when a process counts as behind: late timers and waiting input are
// told from long waits for input, and the state does not flap.
#include "overload/overload.h"

#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace
{

lag_sample_t sample(int64_t timer, int64_t input)
{
	lag_sample_t made = {};

	made.timer = timer;
	made.input = input;
	return made;
}

TEST(Overload, ProcessIsBehindIfTimersOrInputWait)
{
	const lag_sample_t calm = sample(OVERLOAD_WAIT_US, OVERLOAD_WAIT_US);
	const lag_sample_t timer = sample(OVERLOAD_WAIT_US + 1, 0);
	const lag_sample_t input = sample(0, OVERLOAD_WAIT_US + 1);
	overload_state_t state = {};

	EXPECT_EQ(overload_update(&state, &calm, 0), OVERLOAD_UNCHANGED);
	EXPECT_EQ(overload_update(&state, &timer, 0), OVERLOAD_BEGAN);
	state = {};
	EXPECT_EQ(overload_update(&state, &input, 0), OVERLOAD_BEGAN);
}

// Guards against callers that are sent back and forth while the process is
// late now and then.
TEST(Overload, ProcessHasCaughtUpOnlyAfterACalmSecond)
{
	const lag_sample_t calm = sample(0, 0);
	const lag_sample_t late = sample(0, OVERLOAD_WAIT_US + 1);
	overload_state_t state = {};

	overload_update(&state, &late, 0);
	EXPECT_EQ(overload_update(&state, &calm, OVERLOAD_CALM_US - 1),
		  OVERLOAD_UNCHANGED);
	overload_update(&state, &late, OVERLOAD_CALM_US);
	EXPECT_EQ(overload_update(&state, &calm, 2 * OVERLOAD_CALM_US - 1),
		  OVERLOAD_UNCHANGED);
	EXPECT_TRUE(state.behind);
	EXPECT_EQ(overload_update(&state, &calm, 2 * OVERLOAD_CALM_US),
		  OVERLOAD_ENDED);
	EXPECT_FALSE(state.behind);
}

TEST(Overload, WorstOfAnOverloadIsKeptForItsLogLine)
{
	const lag_sample_t first = sample(OVERLOAD_WAIT_US + 1, 0);
	const lag_sample_t second = sample(0, 3 * OVERLOAD_WAIT_US);
	overload_state_t state = {};

	overload_update(&state, &first, 0);
	overload_update(&state, &second, 1);
	EXPECT_EQ(state.worst.timer, OVERLOAD_WAIT_US + 1);
	EXPECT_EQ(state.worst.input, 3 * OVERLOAD_WAIT_US);
}

// Guards against instances of a zone that send their callers to each other
// while all of them are behind.
TEST(Overload, OnlyFewInstancesOfAZoneSendTheirCallersAway)
{
	EXPECT_TRUE(overload_may_yield(8, 1));
	EXPECT_FALSE(overload_may_yield(8, 2));
	EXPECT_FALSE(overload_may_yield(7, 1));
	EXPECT_TRUE(overload_may_yield(48, 6));
	EXPECT_FALSE(overload_may_yield(48, 7));
}

// A zone whose load balancer sends all callers of one account to the first
// instance that it sees ready, and sees that 2.2 s late.
struct zone_t {
	static constexpr int INSTANCES = 8, CONNS = 200;
	move_t moves[INSTANCES] = {};
	bool yields[INSTANCES] = {};
	int64_t changed_at[INSTANCES] = {};
	int at[CONNS] = {}; // instance of each connection
	int64_t considered_at[CONNS] = {};
	int moved = 0;
	int64_t now = 10 * USEC_PER_SEC;
	std::mt19937 random{1};

	double load_of(int instance, double total) const
	{
		int conns = 0;

		for (int on : at)
			conns += on == instance;
		return total * conns / CONNS;
	}
	bool is_late(int instance) const
	{
		return now - changed_at[instance] >= 2200 * USEC_PER_MSEC;
	}
	int route() const
	{
		for (int i = 0; i < INSTANCES; i++)
			if (yields[i] != is_late(i))
				return i;
		return 0;
	}
	void step(double total)
	{
		uint32_t needy = 0, before = 0;

		now += 50 * USEC_PER_MSEC;
		for (int i = 0; i < INSTANCES; i++) {
			move_update(&moves[i], load_of(i, total), now);
			needy += moves[i].needy;
		}
		for (int i = 0; i < INSTANCES; i++) {
			bool now_yields =
				moves[i].needy &&
				move_may_yield(INSTANCES, needy, before);

			before += moves[i].needy;
			if (now_yields != yields[i])
				changed_at[i] = now;
			yields[i] = now_yields;
		}
		for (int i = 0; i < CONNS; i++)
			consider(i);
	}
	void consider(int conn)
	{
		int instance = at[conn];

		if (!yields[instance] || !is_late(instance) ||
		    now - considered_at[conn] < USEC_PER_SEC)
			return;
		considered_at[conn] = now;
		if (std::uniform_real_distribution<double>(0, 1)(random) >=
		    move_excess(&moves[instance]))
			return;
		at[conn] = route();
		moved++;
	}
};

// Guards against instances that swap all callers of a large account, and
// against an excess that stays.
TEST(Move, CallersOfALargeAccountSettleAndStay)
{
	zone_t zone;
	int moved;

	for (int i = 0; i < 200; i++)
		zone.step(1.9);
	for (int i = 0; i < zone_t::INSTANCES; i++)
		EXPECT_LE(zone.load_of(i, 1.9), 1) << i;
	EXPECT_GE(zone.load_of(0, 1.9), 0.5);
	moved = zone.moved;
	EXPECT_LE(moved, zone_t::CONNS);
	for (int i = 0; i < 400; i++)
		zone.step(1.9);
	EXPECT_LE(zone.moved - moved, zone_t::CONNS / 10);
}

TEST(Move, FewerThanHalfOfTheZoneAndNobodyIfMostAreInNeed)
{
	EXPECT_TRUE(move_may_yield(16, 7, 6));
	EXPECT_FALSE(move_may_yield(16, 8, 7));
	EXPECT_TRUE(move_may_yield(16, 8, 0));
	EXPECT_FALSE(move_may_yield(16, 9, 0));
	EXPECT_TRUE(move_may_yield(3, 1, 0));
	EXPECT_FALSE(move_may_yield(2, 1, 0));
}

// Load: one account asks for 1.3 times what a small instance bears, on new
// connections; one instance of the zone is larger.  The load balancer takes the
// first instance in an order of its own that it sees ready.
struct uneven_zone_t {
	static constexpr int INSTANCES = 19, LARGE = 4;
	move_t moves[INSTANCES] = {};
	bool yields[INSTANCES] = {};
	int64_t changed_at[INSTANCES] = {};
	int64_t now = 100 * USEC_PER_SEC;
	int64_t over = 0; // us for which an instance had more than it bears

	int route() const
	{
		for (int i = 0; i < INSTANCES; i++)
			if (yields[i] !=
			    (now - changed_at[i] >= 2200 * USEC_PER_MSEC))
				return i;
		return 0;
	}
	void step()
	{
		int taken = route();
		uint32_t needy = 0, before = 0;

		now += 50 * USEC_PER_MSEC;
		for (int i = 0; i < INSTANCES; i++) {
			double load = i == taken ? 1.3 : 0.05;

			move_update(&moves[i], i == LARGE ? load / 4 : load,
				    now);
			needy += moves[i].needy;
		}
		if (taken != LARGE)
			over += 50 * USEC_PER_MSEC;
		for (int i = 0; i < INSTANCES; i++) {
			bool yield = moves[i].needy &&
				     move_may_yield(INSTANCES, needy, before);

			before += moves[i].needy;
			if (yield != yields[i])
				changed_at[i] = now;
			yields[i] = yield;
		}
	}
};

// Guards against small instances that take the callers of a large account from
// each other for as long as these come: an instance that came back after 2 s
// got all of them at once, and the larger instance none.
TEST(Move, CallersOfALargeAccountReachAnInstanceThatBearsThem)
{
	uneven_zone_t zone;
	int64_t found;

	for (int i = 0; i < 400; i++)
		zone.step();
	EXPECT_EQ(zone.route(), uneven_zone_t::LARGE);
	found = zone.over;
	EXPECT_LE(found, 4 * 3 * USEC_PER_SEC);
	for (int i = 0; i < 600; i++)
		zone.step();
	EXPECT_EQ(zone.over, found);
}

class OverloadService : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		kernel_register(&kernel, "ingress", receive, this);
		kernel_register(&kernel, "proxy", receive_proxy, this);
		peer = kernel_register(&kernel, "peer", receive, this);
		overload_init(&overload, &kernel, "a");
		kernel_start(&kernel);
		for (int i = 0; i < 7; i++)
			post_peer(MSG_PEER_UP, i);
	}
	void TearDown() override
	{
		overload_finish(&overload);
		kernel_finish(&kernel);
	}
	static void receive_proxy(void *self, msg_t *msg)
	{
		if (msg->kind == MSG_OVERLOAD)
			static_cast<OverloadService *>(self)->congested =
				msg->u.overload.congested;
	}
	static void receive(void *self, msg_t *msg)
	{
		auto *test = static_cast<OverloadService *>(self);

		if (msg->kind == MSG_LOAD) {
			test->in = msg->u.load.in;
			test->out = msg->u.load.out;
			test->loads++;
		}
		if (msg->kind == MSG_OVERLOAD)
			test->excess = msg->u.overload.excess;
		if (msg->kind == MSG_OVERLOAD)
			test->yields = msg->u.overload.yields;
		if (msg->kind == MSG_PEER_SEND)
			test->told.push_back(
				msg->u.peer.body->u.overload.behind);
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
	void post_peer(msg_kind_t kind, int number)
	{
		msg_t msg = {};

		msg.kind = kind;
		g_snprintf(msg.u.peer_addr.incarnation, INCARNATION_SIZE, "p%d",
			   number);
		g_strlcpy(msg.u.peer_addr.availability_zone, "a", NAME_SIZE);
		kernel_post(&kernel, peer, overload.svc, &msg);
		run(0);
	}
	// Ingress reports this load for the time, in us.
	void offer(double load, int64_t us)
	{
		for (int64_t at = 0; at < us; at += 50 * USEC_PER_MSEC) {
			msg_t msg = {};

			msg.kind = MSG_OFFERED;
			msg.u.offered.load = load;
			kernel_post(&kernel, peer, overload.svc, &msg);
			run(50 * USEC_PER_MSEC);
		}
	}
	void post_behind(int number, bool behind)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_RECEIVED;
		g_snprintf(msg.u.peer.incarnation, INCARNATION_SIZE, "p%d",
			   number);
		msg.u.peer.body = peer_body_new(PEER_OVERLOAD);
		msg.u.peer.body->u.overload.behind = behind;
		kernel_post(&kernel, peer, overload.svc, &msg);
		run(0);
	}
	void fall_behind()
	{
		lag_input_handled(&kernel.lag, OVERLOAD_WAIT_US + 1);
		run(100 * USEC_PER_MSEC);
	}
	kernel_t kernel;
	overload_t overload;
	svc_t peer;
	std::vector<bool> told;
	bool yields = false, congested = false;
	double in = 0, out = 0, excess = 0;
	int loads = 0;
};

TEST_F(OverloadService, InstanceThatIsBehindSendsCallersAwayUntilItHasCaughtUp)
{
	fall_behind();
	EXPECT_TRUE(yields);
	ASSERT_EQ(told.size(), 1u);
	EXPECT_TRUE(told[0]);
	run(2 * OVERLOAD_CALM_US);
	EXPECT_FALSE(yields);
	ASSERT_EQ(told.size(), 2u);
	EXPECT_FALSE(told[1]);
}

TEST_F(OverloadService, InstanceKeepsItsCallersWhileItsPeersAreBehind)
{
	post_behind(3, true);
	fall_behind();
	EXPECT_FALSE(yields);
	post_behind(3, false);
	run(100 * USEC_PER_MSEC);
	EXPECT_TRUE(yields);
}

TEST_F(OverloadService, PeerThatIsGoneIsNotBehind)
{
	post_behind(3, true);
	post_peer(MSG_PEER_DOWN, 3);
	post_peer(MSG_PEER_UP, 7);
	fall_behind();
	EXPECT_TRUE(yields);
}

TEST_F(OverloadService, NewPeerIsToldOfAnInstanceThatIsBehind)
{
	fall_behind();
	post_peer(MSG_PEER_UP, 8);
	ASSERT_EQ(told.size(), 2u);
	EXPECT_TRUE(told[1]);
}

// Guards against connects that are late behind a full link and look like a
// partition.
TEST_F(OverloadService, FullLinkIsMeasuredInEachDirection)
{
	overload.link_mbps = 10;
	run(500 * USEC_PER_MSEC);
	EXPECT_GE(loads, 9);
	for (int i = 0; i < 10; i++) {
		kernel.pollset.traffic.in += 62500;
		kernel.pollset.traffic.out += 31250;
		run(50 * USEC_PER_MSEC);
	}
	EXPECT_NEAR(in, 1, 0.01);
	EXPECT_NEAR(out, 0.5, 0.01);
	EXPECT_TRUE(congested);
	EXPECT_FALSE(yields);
	run(500 * USEC_PER_MSEC);
	EXPECT_NEAR(in, 0, 0.01);
	EXPECT_FALSE(congested);
}

TEST_F(OverloadService, NothingIsReportedIfTheLinkIsUnknown)
{
	kernel.pollset.traffic.in += 10000000;
	run(500 * USEC_PER_MSEC);
	EXPECT_EQ(loads, 0);
	EXPECT_FALSE(congested);
}

// Guards against an instance that refuses what its peers could serve, and
// against two instances that swap all callers of an account.
TEST_F(OverloadService, InstanceOverItsCapacityMovesTheExcessUntilItIsCalm)
{
	overload_set_link(&overload, "p", 10);
	offer(0.7, 5 * USEC_PER_SEC);
	EXPECT_FALSE(yields);
	offer(1.7, 2 * USEC_PER_SEC);
	EXPECT_TRUE(yields);
	EXPECT_NEAR(excess, 0.5, 0.05);
	ASSERT_EQ(told.size(), 1u);
	EXPECT_TRUE(told[0]);
	// It keeps what it bears, and stays out of the rotation.
	offer(0.8, 5 * USEC_PER_SEC);
	EXPECT_TRUE(yields);
	EXPECT_EQ(excess, 0);
	offer(0.4, 50 * USEC_PER_SEC);
	EXPECT_TRUE(yields);
	offer(0.8, 10 * USEC_PER_SEC);
	offer(0.4, USEC_PER_SEC);
	EXPECT_TRUE(yields);
	offer(0.4, 3 * USEC_PER_SEC);
	EXPECT_FALSE(yields);
	EXPECT_EQ(told.size(), 2u);
}

// Guards against most of a zone that sends its callers to the rest.
TEST_F(OverloadService, FewerThanHalfOfAZoneMoveCallers)
{
	overload_set_link(&overload, "p3", 10);
	post_behind(0, true);
	post_behind(1, true);
	offer(2, USEC_PER_SEC);
	EXPECT_TRUE(yields);
	post_behind(2, true);
	offer(2, 100 * USEC_PER_MSEC);
	EXPECT_FALSE(yields);
	post_behind(0, false);
	offer(2, 100 * USEC_PER_MSEC);
	EXPECT_TRUE(yields);
	post_behind(5, true);
	offer(2, 100 * USEC_PER_MSEC);
	EXPECT_TRUE(yields);
	post_behind(4, true);
	offer(2, 100 * USEC_PER_MSEC);
	EXPECT_FALSE(yields);
}

TEST_F(OverloadService, WaitsAloneDoNotMoveCallersIfTheLinkIsKnown)
{
	overload_set_link(&overload, "p", 10);
	fall_behind();
	EXPECT_FALSE(yields);
	EXPECT_TRUE(congested);
}

} // namespace
