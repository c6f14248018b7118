// Tests of the route service through its messages, on the virtual clock.
#include "route/route.h"
#include "route/target.h"

#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kMsec = USEC_PER_MSEC;
constexpr int64_t kSec = USEC_PER_SEC;

void copy(char *to, const std::string &from, size_t size = NAME_SIZE)
{
	g_strlcpy(to, from.c_str(), size);
}

struct Pick {
	handle_t assignment;
	handle_t target;
	std::string name;
};

class RouteTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		request = kernel_register(&kernel, "request", receive, this);
		route_init(&route, &kernel, "z0");
		route_svc = kernel_find(&kernel, "route");
		kernel_start(&kernel);
		run(0);
	}
	void TearDown() override
	{
		route_finish(&route);
		kernel_finish(&kernel);
	}
	static void receive(void *self, msg_t *msg)
	{
		auto *test = static_cast<RouteTest *>(self);
		uint32_t id = msg->ref.index;

		if (msg->kind == MSG_ROUTE_ASSIGNED) {
			test->picks[id] = {msg->id, msg->u.assigned.target,
					   msg->u.assigned.name};
			test->order.push_back(id);
		} else if (msg->kind == MSG_ROUTE_REFUSED) {
			test->refusals[id] = msg->u.route_refused.reason;
			test->retry_after = msg->u.route_refused.retry_after_s;
		} else if (msg->kind == MSG_ROUTE_HEDGE) {
			test->hedges++;
		}
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
	void post(msg_t msg)
	{
		kernel_post(&kernel, request, route_svc, &msg);
		run(0);
	}
	// One service "s" on targets t0, t1, ... of one zone.
	void configure(uint32_t targets, uint32_t concurrency)
	{
		msg_t msg = {};

		target_count = targets;
		msg.kind = MSG_CONF_CHANGED;
		msg.u.conf = conf_snapshot_new();
		record_service_t service = {};
		copy(service.name, "s");
		service.idempotent = service.hedge = true;
		service.short_tokens = 100;
		g_array_append_val(msg.u.conf->services, service);
		for (uint32_t i = 0; i < targets; i++) {
			record_target_t target = {};
			copy(target.name, "t" + std::to_string(i));
			copy(target.service, "s");
			copy(target.host, "127.0.0.1");
			copy(target.availability_zone, "z0");
			target.port = (uint16_t)(i + 1);
			target.concurrency = concurrency;
			target.draining = draining.count(i) > 0;
			g_array_append_val(msg.u.conf->targets, target);
		}
		for (uint32_t i = 0; i < 2; i++) {
			record_client_account_t account = {};
			copy(account.name, i == 0 ? "heavy" : "light");
			account.weight = i == 0 ? 3 : 1;
			g_array_append_val(msg.u.conf->client_accounts,
					   account);
		}
		post(msg);
	}
	uint32_t submit(int64_t tokens = 10, int64_t time_left = 1000 * kSec,
			const char *account = "heavy",
			const std::vector<handle_t> &avoid = {})
	{
		msg_t msg = {};

		msg.kind = MSG_ROUTE_REQUEST;
		msg.id = {++last, 1};
		copy(msg.u.route.service, "s");
		copy(msg.u.route.client_account, account);
		msg.u.route.tokens = tokens;
		msg.u.route.deadline = kernel_now(&kernel) + time_left;
		for (const handle_t &handle : avoid)
			msg.u.route.avoid[msg.u.route.avoid_count++] = handle;
		post(msg);
		return last;
	}
	void first_byte(uint32_t id)
	{
		msg_t msg = {};

		msg.kind = MSG_ROUTE_FIRST_BYTE;
		msg.ref = picks.at(id).assignment;
		post(msg);
	}
	void done(uint32_t id, failure_t failure = FAILURE_NONE,
		  int64_t tokens = 10)
	{
		msg_t msg = {};

		msg.kind = MSG_ROUTE_DONE;
		msg.ref = picks.at(id).assignment;
		msg.u.route_done.failure = failure;
		msg.u.route_done.tokens = tokens;
		post(msg);
	}
	// Runs rounds of one request for each target; slow targets take longer.
	void serve(int rounds, const std::set<std::string> &slow = {},
		   std::map<std::string, int> *where = nullptr)
	{
		while (rounds-- > 0) {
			std::vector<uint32_t> ids[2];

			for (uint32_t i = 0; i < target_count; i++) {
				uint32_t id = submit();

				ASSERT_TRUE(picks.count(id));
				ids[slow.count(picks[id].name)].push_back(id);
				if (where != nullptr)
					(*where)[picks[id].name]++;
			}
			for (const auto &batch : ids) {
				int64_t time =
					(&batch == ids ? 50 : 500) * kMsec;

				run(time);
				for (uint32_t id : batch)
					first_byte(id);
				run(time);
				for (uint32_t id : batch)
					done(id);
			}
		}
	}
	void post_leaving(uint16_t port, bool leaving)
	{
		msg_t msg = {};

		msg.kind = MSG_TARGET_LEAVING;
		copy(msg.u.target_leaving.host, "127.0.0.1", HOST_SIZE);
		msg.u.target_leaving.port = port;
		msg.u.target_leaving.leaving = leaving;
		post(msg);
	}

	void post_pause(uint16_t port, int64_t pause)
	{
		msg_t msg = {};

		msg.kind = MSG_TARGET_PAUSED;
		copy(msg.u.target_paused.host, "127.0.0.1", HOST_SIZE);
		msg.u.target_paused.port = port;
		msg.u.target_paused.pause_us = pause;
		post(msg);
	}

	kernel_t kernel;
	route_t route;
	svc_t request, route_svc;
	uint32_t last = 0;
	uint32_t target_count = 0;
	std::map<uint32_t, Pick> picks;
	std::vector<uint32_t> order;
	std::map<uint32_t, refusal_t> refusals;
	uint32_t retry_after = 0;
	int hedges = 0;
	std::set<uint32_t> draining;
};

// If long requests filled every slot, short ones would wait for their end.
TEST_F(RouteTest, LongWorkLeavesRoomForShortWork)
{
	configure(2, 8);
	for (int i = 0; i < 40; i++)
		submit(5000);
	EXPECT_EQ(picks.size(), 12u);
	EXPECT_TRUE(picks.count(submit(10)));
}

// Long requests must not starve behind a steady flow of short ones.
TEST_F(RouteTest, AgedLongWorkGoesFirst)
{
	configure(1, 1);
	serve(5);
	uint32_t running = submit();
	uint32_t waiting = submit(5000);
	run(100 * kSec);
	uint32_t newer = submit();
	done(running);
	EXPECT_TRUE(picks.count(waiting));
	EXPECT_FALSE(picks.count(newer));
}

// A slow target that keeps its share of work delays that share of requests.
TEST_F(RouteTest, OutlierGetsNothingUntilAProbeSucceeds)
{
	std::map<std::string, int> where;

	configure(4, 4);
	serve(20);
	serve(20, {"t1"});
	ASSERT_EQ(route.ejected, 1u);
	serve(1, {}, &where);
	EXPECT_EQ(where["t1"], 0);
	// The ejection ends; one probe is sent to t1 and readmits it.
	run(20 * kSec);
	serve(1, {}, &where);
	EXPECT_EQ(where["t1"], 1);
	EXPECT_EQ(route.ejected, 0u);
	serve(10, {}, &where);
	EXPECT_GT(where["t1"], 5);
}

// A target that leaves its probe unanswered must get no further work.
TEST_F(RouteTest, OnlyOneProbeIsSent)
{
	configure(4, 4);
	serve(20);
	serve(20, {"t1"});
	run(20 * kSec);
	uint32_t probe = submit();
	ASSERT_EQ(picks[probe].name, "t1");
	for (int i = 0; i < 12; i++) {
		uint32_t id = submit();
		if (picks.count(id)) {
			EXPECT_NE(picks[id].name, "t1");
		}
	}
	run(2 * kSec);
	EXPECT_EQ(route.ejected, 1u);
}

// Ejecting more targets would overload the remaining ones.
TEST_F(RouteTest, AtMostAThirdIsEjected)
{
	uint32_t max_ejected = 0;

	configure(9, 4);
	serve(20);
	for (int i = 0; i < 30; i++) {
		serve(1, {"t0", "t1", "t2", "t3"});
		max_ejected = MAX(max_ejected, route.ejected);
	}
	EXPECT_EQ(max_ejected, 3u);
}

// Requests sent to a leaving target are cut off when the target stops.
TEST_F(RouteTest, LeavingTargetGetsNothingNew)
{
	std::map<std::string, int> where;

	configure(3, 4);
	post_leaving(1, true);
	draining = {1};
	configure(3, 4);
	target_count = 1;
	serve(20, {}, &where);
	EXPECT_EQ(where["t2"], 20);
	post_leaving(3, true);
	EXPECT_EQ(refusals[submit()], REFUSAL_NO_TARGET);
	post_leaving(1, false);
	EXPECT_EQ(picks[submit()].name, "t0");
}

// A target that announced its leaving but was never listed as leaving must get
// no work during the hold, and must be probed after it.
TEST_F(RouteTest, LeavingTargetIsProbedAfterTheHold)
{
	configure(2, 4);
	uint32_t first = submit();
	std::string name = picks[first].name;
	done(first, FAILURE_LEAVING);
	run(59 * kSec);
	for (int i = 0; i < 4; i++)
		EXPECT_NE(picks[submit()].name, name);
	run(2 * kSec);
	EXPECT_EQ(picks[submit()].name, name);
}

// Guards against requests to a target that turned one away and asked for a
// pause, and against callers who are told to come back before any pause ends.
TEST_F(RouteTest, PausedTargetGetsNothingUntilThePauseEnds)
{
	configure(2, 4);
	post_pause(1, 5 * kSec);
	post_pause(1, 2 * kSec);
	post_leaving(1, false);
	run(4900 * kMsec);
	for (int i = 0; i < 4; i++)
		EXPECT_EQ(picks[submit()].name, "t1");
	post_pause(2, 20 * kSec);
	EXPECT_EQ(refusals[submit()], REFUSAL_NO_TARGET);
	run(200 * kMsec);
	EXPECT_EQ(picks[submit()].name, "t0");
	post_pause(1, 10 * kSec);
	EXPECT_EQ(refusals[submit()], REFUSAL_NO_TARGET);
	EXPECT_GE(retry_after, 10u);
	EXPECT_LE(retry_after, 11u);
}

// Queued requests must not keep waiting when their last target leaves.
TEST_F(RouteTest, WaitingWorkIsRefusedWhenTheLastTargetLeaves)
{
	configure(1, 1);
	submit();
	uint32_t waiting = submit();
	post_leaving(1, true);
	EXPECT_EQ(refusals[waiting], REFUSAL_NO_TARGET);
}

// Without back-off, a target that refuses connections would use up all retries.
TEST_F(RouteTest, ConnectFailuresBackOffExponentially)
{
	int64_t failed_at[4];

	configure(1, 4);
	for (int64_t &at : failed_at) {
		uint32_t id = submit();
		while (!picks.count(id))
			run(10 * kMsec);
		at = kernel_now(&kernel);
		done(id, FAILURE_CONNECT);
	}
	EXPECT_GE(failed_at[1] - failed_at[0], 100 * kMsec);
	EXPECT_GE(failed_at[2] - failed_at[1], 200 * kMsec);
	EXPECT_GE(failed_at[3] - failed_at[2], 400 * kMsec);
}

// A flood from one client account must not get more than its weighted share.
TEST_F(RouteTest, AccountsAreServedByWeight)
{
	std::map<bool, int> served;
	std::set<uint32_t> light;

	configure(1, 1);
	serve(5);
	uint32_t running = submit();
	for (int i = 0; i < 40; i++) {
		submit(10, 1000 * kSec, "heavy");
		light.insert(submit(10, 1000 * kSec, "light"));
	}
	for (int i = 0; i < 40; i++) {
		done(running);
		running = order.back();
		served[light.count(running) > 0]++;
	}
	EXPECT_NEAR(served[true], 10, 1);
}

// A request that can't end in time must be refused at once, not at its
// deadline.
TEST_F(RouteTest, UnmeetableDeadlineIsRefusedEarly)
{
	configure(1, 1);
	serve(30);
	for (int i = 0; i < 100; i++)
		submit(10, 2 * kSec);
	// A request takes 0.1 s, therefore about 20 can end within 2 s.
	EXPECT_NEAR((double)refusals.size(), 80, 5);
	EXPECT_EQ(refusals[last], REFUSAL_OVERLOADED);
	EXPECT_GE(retry_after, 2u);
	EXPECT_EQ(refusals[submit(10, 0)], REFUSAL_DEADLINE);
}

// A queued request is refused as soon as it can't end before its deadline.
TEST_F(RouteTest, WaitingWorkIsRefusedAtItsLatestStart)
{
	configure(1, 1);
	serve(30);
	submit();
	uint32_t waiting = submit(10, 1 * kSec);
	run(800 * kMsec);
	EXPECT_FALSE(refusals.count(waiting));
	run(150 * kMsec);
	EXPECT_EQ(refusals[waiting], REFUSAL_OVERLOADED);
}

// Without a limit, one client account could fill the queue of all others.
TEST_F(RouteTest, QueueIsBounded)
{
	configure(1, 1);
	uint32_t account_max =
		policy_get(PRESET_ORDINARY)->queue_max *
		policy_get(PRESET_ORDINARY)->account_queue_percent / 100;
	for (uint32_t i = 0; i < account_max + 1; i++)
		submit();
	EXPECT_TRUE(refusals.empty());
	EXPECT_EQ(refusals[submit()], REFUSAL_QUEUE_FULL);
	EXPECT_FALSE(refusals.count(submit(10, 1000 * kSec, "light")));
}

// Hedges beyond the budget would add load to a service that is already slow.
TEST_F(RouteTest, HedgesStayWithinTheirBudget)
{
	configure(8, 100);
	serve(20);
	for (int i = 0; i < 200; i++)
		submit();
	run(10 * kSec);
	EXPECT_GT(hedges, 0);
	EXPECT_LE(hedges, (20 * 8 + 200) * 3 / 100);
}

// A retry at the target that has just failed would probably fail again.
TEST_F(RouteTest, AvoidedTargetsAreNotPicked)
{
	configure(2, 4);
	Pick first = picks[submit()];
	for (int i = 0; i < 6; i++) {
		uint32_t id = submit(10, kSec, "heavy", {first.target});
		if (picks.count(id)) {
			EXPECT_NE(picks[id].name, first.name);
		}
	}
	draining = {picks[last].name == "t0" ? 0u : 1u};
	configure(2, 4);
	EXPECT_EQ(refusals[submit(10, kSec, "heavy", {first.target})],
		  draining.count(first.name == "t0" ? 1 : 0) ? REFUSAL_NO_TARGET
							     : REFUSAL_NONE);
}

// A repeated ROUTE_DONE must not free the slot of another request.
TEST_F(RouteTest, StaleAssignmentIsIgnored)
{
	configure(1, 1);
	uint32_t first = submit();
	done(first);
	uint32_t second = submit();
	done(first);
	first_byte(first);
	EXPECT_FALSE(picks.count(submit()));
	EXPECT_TRUE(picks.count(second));
}

// A request whose caller has gone must not get a target.
TEST_F(RouteTest, CancelledRequestIsNotServed)
{
	configure(1, 1);
	uint32_t running = submit();
	uint32_t cancelled = submit();
	uint32_t waiting = submit();
	msg_t msg = {};
	msg.kind = MSG_ROUTE_CANCEL;
	msg.id = {cancelled, 1};
	post(msg);
	post(msg);
	done(running);
	EXPECT_FALSE(picks.count(cancelled));
	EXPECT_TRUE(picks.count(waiting));
}

// Removing a target from the configuration must not lose its running requests.
TEST_F(RouteTest, RemovedTargetFinishesItsWork)
{
	configure(2, 1);
	uint32_t a = submit();
	uint32_t b = submit();
	uint32_t waiting = submit();
	configure(1, 1);
	done(picks[a].name == "t1" ? a : b);
	EXPECT_FALSE(picks.count(waiting));
	EXPECT_EQ(table_count(&route.targets), 1u);
	done(picks[a].name == "t1" ? b : a);
	EXPECT_TRUE(picks.count(waiting));
}

// Operators must be able to see every parameter of each preset.
TEST(Policy, EveryParameterHasARow)
{
	bool has_room = false;
	policy_row_t row;
	uint32_t rows = 0;

	for (; policy_row(PRESET_PEAK, rows, &row); rows++)
		has_room =
			has_room || strcmp(row.name, "short_room_percent") == 0;
	EXPECT_EQ(rows * sizeof(uint32_t), sizeof(policy_t));
	EXPECT_TRUE(has_room);
	EXPECT_GT(policy_get(PRESET_PEAK)->short_room_percent,
		  policy_get(PRESET_ORDINARY)->short_room_percent);
}

} // namespace
