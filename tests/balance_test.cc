// Guards the choice of targets: one target for the same prompt on every
// instance, nothing for a target that leaves, and the urgent first.
#include "balance/balance.h"

#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

// One instance with its own kernel.
struct instance_t {
	kernel_t kernel;
	balance_t balance;
	svc_t proxy, fleet;
	std::vector<std::pair<uint32_t, std::string>> placed;
	std::vector<handle_t> placements;
	std::vector<uint32_t> refused;
	refusal_t reason = REFUSAL_NONE;

	svc_t peer;
	std::vector<peer_body_t> told; // what peers would get
	std::string told_zone;

	static void receive(void *self, msg_t *msg)
	{
		instance_t *i = static_cast<instance_t *>(self);

		if (msg->kind == MSG_PEER_SEND) {
			i->told.push_back(*msg->u.peer.body);
			i->told_zone = msg->u.peer.availability_zone;
		} else if (msg->kind == MSG_PLACED) {
			i->placed.emplace_back(msg->ref.index,
					       msg->u.placed.instance);
			i->placements.push_back(msg->id);
		} else if (msg->kind == MSG_PLACE_REFUSED) {
			i->refused.push_back(msg->ref.index);
			i->reason = msg->u.place_refused.reason;
		}
	}
	instance_t(const char *zone, uint64_t seed)
	{
		kernel_init(&kernel, CLOCK_VIRTUAL, seed);
		proxy = kernel_register(&kernel, "proxy", receive, this);
		fleet = kernel_register(&kernel, "fleet", receive, this);
		peer = kernel_register(&kernel, "peer", receive, this);
		balance_init(&balance, &kernel, zone);
		kernel_start(&kernel);
		conf();
	}
	~instance_t()
	{
		balance_finish(&balance);
		kernel_finish(&kernel);
	}
	void conf()
	{
		msg_t msg = {};
		fleet_service_t engine = {}, desk = {};

		msg.kind = MSG_FLEET_CONF;
		msg.u.fleet_conf = fleet_conf_new();
		g_strlcpy(engine.name, "engine", sizeof(engine.name));
		engine.engine = true;
		engine.kv_cache_tokens = 100000;
		engine.max_connections = 1000;
		g_array_append_val(msg.u.fleet_conf->services, engine);
		g_strlcpy(desk.name, "desk", sizeof(desk.name));
		desk.max_connections = 1000;
		g_array_append_val(msg.u.fleet_conf->services, desk);
		kernel_post(&kernel, fleet, balance.svc, &msg);
		run(0);
	}
	void target(const char *service, const char *id, const char *zone,
		    bool draining = false, bool gone = false,
		    uint32_t slots = 8)
	{
		msg_t msg = {};
		fleet_target_t *info = &msg.u.fleet_target.target;

		msg.kind = MSG_FLEET_TARGET;
		g_strlcpy(info->id, id, sizeof(info->id));
		g_strlcpy(info->service, service, sizeof(info->service));
		g_strlcpy(info->zone, zone, sizeof(info->zone));
		g_strlcpy(info->host, "127.0.0.1", sizeof(info->host));
		info->port = 1;
		info->slots = slots;
		info->draining = draining;
		msg.u.fleet_target.gone = gone;
		kernel_post(&kernel, fleet, balance.svc, &msg);
		run(0);
	}
	void size(uint32_t instances)
	{
		msg_t msg = {};

		msg.kind = MSG_FLEET_SIZE;
		msg.u.fleet_size.instances = instances;
		kernel_post(&kernel, fleet, balance.svc, &msg);
		run(0);
	}
	void hear(const peer_body_t &body)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_RECEIVED;
		msg.u.peer.body = peer_body_new(body.kind);
		*msg.u.peer.body = body; // this kind holds no arrays
		kernel_post(&kernel, peer, balance.svc, &msg);
		run(0);
	}
	void ask(uint32_t number, const char *service, uint64_t part = 0,
		 int32_t priority = 0)
	{
		msg_t msg = {};

		msg.kind = MSG_PLACE;
		msg.id = {number, 1};
		g_strlcpy(msg.u.place.service, service,
			  sizeof(msg.u.place.service));
		msg.u.place.priority = priority;
		msg.u.place.deadline = kernel_now(&kernel) + 100000;
		if (part != 0) {
			msg.u.place.part_count = 3;
			msg.u.place.parts[0] = {1, 500};
			msg.u.place.parts[1] = {part, 5000};
			msg.u.place.parts[2] = {part * 1000 + number, 500};
			msg.u.place.prompt_tokens = 6000;
		}
		kernel_post(&kernel, proxy, balance.svc, &msg);
		run(0);
	}
	void done(size_t i, place_result_t result)
	{
		msg_t msg = {};

		msg.kind = MSG_PLACE_DONE;
		msg.ref = placements[i];
		msg.u.place_done.result = result;
		kernel_post(&kernel, proxy, balance.svc, &msg);
		run(0);
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
};

// A shared prompt is read once for the fleet, whatever the instance's zone.
TEST(Balance, AllInstancesSendAPromptToTheSameTarget)
{
	instance_t a("z1", 1), b("z2", 2);
	std::map<uint64_t, std::string> chosen;
	std::map<std::string, int> count;

	for (int i = 0; i < 12; i++) {
		std::string id = "i-" + std::to_string(i);
		const char *zone = i % 2 ? "z1" : "z2";

		a.target("engine", id.c_str(), zone);
		b.target("engine", id.c_str(), zone);
	}
	for (uint64_t part = 2; part < 62; part++) {
		a.ask((uint32_t)part, "engine", part);
		b.ask((uint32_t)part, "engine", part);
		ASSERT_FALSE(a.placed.empty());
		EXPECT_EQ(a.placed.back().second, b.placed.back().second)
			<< part;
		count[a.placed.back().second]++;
		a.done(a.placements.size() - 1, PLACE_OK);
		b.done(b.placements.size() - 1, PLACE_OK);
	}
	EXPECT_GE(count.size(), 9u);
	for (auto &entry : count)
		EXPECT_LE(entry.second, 15) << entry.first;
}

TEST(Balance, LeavingTargetGetsNothingNew)
{
	instance_t a("z1", 1);

	a.target("desk", "i-1", "z1");
	a.target("desk", "i-2", "z2");
	a.target("desk", "i-1", "z1", true);
	for (uint32_t i = 1; i <= 10; i++)
		a.ask(i, "desk");
	a.target("desk", "i-2", "z2", false, true);
	a.ask(11, "desk");
	a.run(200000);
	for (auto &entry : a.placed)
		EXPECT_EQ(entry.second, "i-2");
	EXPECT_EQ(a.placed.size(), 10u);
	ASSERT_EQ(a.refused.size(), 1u);
	EXPECT_EQ(a.reason, REFUSAL_NO_TARGET);
}

TEST(Balance, TargetThatIsUnreachableIsAvoidedForAWhile)
{
	instance_t a("z1", 1);

	a.target("desk", "i-1", "z1");
	a.target("desk", "i-2", "z2");
	a.ask(1, "desk");
	ASSERT_EQ(a.placed[0].second, "i-1");
	a.done(0, PLACE_UNREACHABLE);
	for (uint32_t i = 2; i <= 5; i++) {
		a.ask(i, "desk");
		EXPECT_EQ(a.placed.back().second, "i-2");
		a.done(a.placements.size() - 1, PLACE_OK);
	}
	a.run(30 * USEC_PER_SEC);
	a.ask(6, "desk");
	EXPECT_EQ(a.placed.back().second, "i-1");
}

// A silent target is found by the requests that wait for it.
TEST(Balance, TargetThatDoesNotAnswerIsAvoided)
{
	instance_t a("z1", 1);

	a.target("engine", "i-1", "z1", false, false, 64);
	a.run(1000);
	a.ask(1, "engine");
	a.run(3 * USEC_PER_SEC);
	a.target("engine", "i-2", "z2", false, false, 64);
	a.ask(2, "engine");
	EXPECT_EQ(a.placed.back().second, "i-2");
}

TEST(Balance, UrgentRequestsArePlacedFirst)
{
	instance_t a("z1", 1);

	a.target("desk", "i-1", "z1", false, false, 1);
	a.ask(1, "desk");
	a.ask(2, "desk");
	a.ask(3, "desk", 0, 2);
	a.ask(4, "desk", 0, 1);
	EXPECT_EQ(a.placed.size(), 2u);
	a.done(0, PLACE_OK);
	a.done(1, PLACE_OK);
	ASSERT_EQ(a.placed.size(), 4u);
	EXPECT_EQ(a.placed[2].first, 4u);
	EXPECT_EQ(a.placed[3].first, 3u);
}

TEST(Balance, RequestWithoutRoomIsRefusedInTime)
{
	instance_t a("z1", 1);

	a.target("desk", "i-1", "z1", false, false, 1);
	for (uint32_t i = 1; i <= 3; i++)
		a.ask(i, "desk");
	a.run(99000);
	EXPECT_TRUE(a.refused.empty());
	a.run(2000);
	ASSERT_EQ(a.refused.size(), 1u);
	EXPECT_EQ(a.refused[0], 3u);
	EXPECT_EQ(a.reason, REFUSAL_OVERLOADED);
	/* Room that comes later goes to nobody who was refused. */
	a.done(0, PLACE_OK);
	EXPECT_EQ(a.placed.size(), 2u);
}

// Guards against streams that stop for the prompts of others: instances that
// know nothing of each other send them to the same target.
TEST(Balance, InstancesAvoidTargetsThatReadAPromptOfAPeer)
{
	instance_t a("z1", 1), b("z1", 2), c("z1", 3);

	for (instance_t *i : {&a, &b, &c})
		for (const char *id : {"t1", "t2"})
			i->target("engine", id, "z1");
	a.ask(1, "engine", 7);
	ASSERT_EQ(a.told.size(), 1u);
	EXPECT_EQ(a.told[0].kind, PEER_PLACED);
	EXPECT_EQ(a.told[0].u.placed.tokens, 6000);
	EXPECT_STREQ(a.told[0].u.placed.target, a.placed[0].second.c_str());
	for (instance_t *i : {&b, &c})
		for (int n = 0; n < 8; n++)
			i->hear(a.told[0]);
	b.ask(1, "engine", 7);
	EXPECT_NE(b.placed[0].second, a.placed[0].second);
	/* Once they are read, the shared parts decide again. */
	c.run(20 * USEC_PER_SEC);
	c.ask(1, "engine", 7);
	EXPECT_EQ(c.placed[0].second, a.placed[0].second);
}

// Guards against shared parts that are read at a different target each time
// while the preferred one is busy.
TEST(Balance, InstancesAgreeOnASecondTargetForAPrompt)
{
	std::map<std::string, int> firsts, seconds;

	for (uint64_t seed = 1; seed <= 8; seed++) {
		instance_t i("z1", seed);
		peer_body_t body = {};

		for (const char *id : {"t1", "t2", "t3", "t4", "t5", "t6"})
			i.target("engine", id, "z1");
		i.ask(1, "engine", 7);
		firsts[i.placed[0].second]++;
		instance_t j("z1", seed + 100);
		for (const char *id : {"t1", "t2", "t3", "t4", "t5", "t6"})
			j.target("engine", id, "z1");
		body.kind = PEER_PLACED;
		body.u.placed.tokens = 30000;
		g_strlcpy(body.u.placed.target, i.placed[0].second.c_str(),
			  sizeof(body.u.placed.target));
		j.hear(body);
		j.ask(1, "engine", 7);
		seconds[j.placed[0].second]++;
	}
	EXPECT_EQ(firsts.size(), 1u);
	EXPECT_EQ(seconds.size(), 1u);
	EXPECT_NE(firsts.begin()->first, seconds.begin()->first);
}

// A message to all for each placement would fill the links of a large fleet.
TEST(Balance, OnlyTheZoneOfALargeFleetIsTold)
{
	instance_t a("z1", 1);

	a.target("engine", "t1", "z1");
	a.target("desk", "d1", "z1");
	a.ask(1, "engine", 7);
	EXPECT_EQ(a.told_zone, "");
	a.size(64);
	a.ask(2, "engine", 7);
	EXPECT_EQ(a.told_zone, "z1");
	/* Calls hold their target for some ms only. */
	a.told.clear();
	a.ask(3, "desk");
	EXPECT_TRUE(a.told.empty());
}

// A target that this instance does not list must be ignored.
TEST(Balance, PlacementAtAnUnknownTargetIsIgnored)
{
	instance_t a("z1", 1);
	peer_body_t body = {};

	body.kind = PEER_PLACED;
	g_strlcpy(body.u.placed.target, "t9", sizeof(body.u.placed.target));
	body.u.placed.tokens = -5;
	a.hear(body);
	a.target("engine", "t1", "z1");
	a.ask(1, "engine", 7);
	EXPECT_EQ(a.placed.size(), 1u);
}

} // namespace
