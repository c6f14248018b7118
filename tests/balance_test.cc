// Tests of "balance": all instances choose the same target for a prompt,
// targets that leave or have failed are avoided, and queued requests are placed
// by priority.  What concerns the limits of targets in a fleet is in
// balance_prove.cc.
#include "balance/balance.h"
#include "balance/limit.h"
#include "balance/pace.h"
#include "balance/zone_reach.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

// One instance with its own kernel.
struct instance_t {
	kernel_t kernel;
	balance_t balance;
	svc_t proxy, fleet;
	uint64_t request_bytes = 0; // of the following requests
	std::vector<std::pair<uint32_t, std::string>> placed;
	std::vector<std::string> placed_versions;
	std::vector<handle_t> placements;
	std::vector<uint32_t> refused;
	refusal_t reason = REFUSAL_NONE;
	uint32_t retry_after_ms = 0;

	svc_t peer, outbound;
	int64_t reported_start = 0; // of the process; 0: it sends no report
	int64_t reported_cold_ms = 0;
	bool refuses = false; // it accepts no connections
	size_t reports = 0;
	std::vector<bool> verified; // answers to verify()
	std::string full_id; // of targets that are set
	std::string placed_full_id, reported_full_id; // the last ones
	std::vector<handle_t> confirmed;
	std::vector<std::string> checked; // targets that are connected to
	std::vector<peer_body_t> announced; // bodies sent to peers
	std::string announced_zone;
	std::string explanation; // of the last MSG_PLACE_EXPLAIN

	static void receive(void *self, msg_t *msg)
	{
		instance_t *i = static_cast<instance_t *>(self);

		if (msg->kind == MSG_OUT_SEND) {
			i->send_report(msg);
		} else if (msg->kind == MSG_OUT_CHECK) {
			i->checked.push_back(msg->u.out_check.instance);
		} else if (msg->kind == MSG_TARGET_CONFIRMED) {
			i->confirmed.push_back(msg->u.target_confirmed.target);
		} else if (msg->kind == MSG_PROCESS_VERIFIED) {
			i->verified.push_back(msg->u.process.listed);
			EXPECT_EQ(msg->ref.index, 5u);
			EXPECT_EQ(msg->u.process.attempt, 2u);
		} else if (msg->kind == MSG_PEER_SEND) {
			i->announced.push_back(*msg->u.peer.body);
			i->announced_zone = msg->u.peer.availability_zone;
		} else if (msg->kind == MSG_PLACED) {
			i->placed.emplace_back(msg->ref.index,
					       msg->u.placed.instance);
			i->placed_versions.push_back(msg->u.placed.version);
			i->placed_full_id = msg->u.placed.full_id;
			i->placements.push_back(msg->id);
		} else if (msg->kind == MSG_EXCHANGE_DATA) {
			gsize size;
			const void *data =
				g_bytes_get_data(msg->u.data.bytes, &size);

			i->explanation.assign(static_cast<const char *>(data),
					      size);
		} else if (msg->kind == MSG_PLACE_REFUSED) {
			i->refused.push_back(msg->ref.index);
			i->reason = msg->u.place_refused.reason;
			i->retry_after_ms = msg->u.place_refused.retry_after_ms;
		}
	}
	instance_t(const char *zone, uint64_t seed)
	{
		kernel_init(&kernel, CLOCK_VIRTUAL, seed);
		proxy = kernel_register(&kernel, "proxy", receive, this);
		fleet = kernel_register(&kernel, "fleet", receive, this);
		peer = kernel_register(&kernel, "peer", receive, this);
		outbound = kernel_register(&kernel, "outbound", receive, this);
		kernel_register(&kernel, "ingress", receive, this);
		balance_init(&balance, &kernel, "run-1", zone);
		kernel_start(&kernel);
		send_conf();
	}
	~instance_t()
	{
		balance_finish(&balance);
		kernel_finish(&kernel);
	}
	void send_conf()
	{
		msg_t msg = {};
		fleet_service_t engine = {}, call = {};
		route_terms_t terms = {};

		msg.kind = MSG_FLEET_CONF;
		msg.u.fleet_conf = fleet_conf_new();
		terms.kind = ROUTE_STREAM;
		terms.resumable = true;
		fleet_conf_add_route(msg.u.fleet_conf, &terms, "h", "/");
		fleet_conf_add_share(msg.u.fleet_conf, "engine", 1);
		g_strlcpy(engine.name, "engine", sizeof(engine.name));
		engine.engine = true;
		engine.kv_cache_tokens = 100000;
		engine.max_connections = 1000;
		engine.cold_ms = 3000;
		engine.cold_per_ks = 12000;
		g_array_append_val(msg.u.fleet_conf->services, engine);
		g_strlcpy(call.name, "call", sizeof(call.name));
		call.max_connections = 1000;
		g_array_append_val(msg.u.fleet_conf->services, call);
		kernel_post(&kernel, fleet, balance.svc, &msg);
		run(0);
	}
	void set_target(const char *service, const char *id, const char *zone,
			bool draining = false, bool gone = false,
			uint32_t slots = 8, int64_t started_ms = 1,
			const char *version = "v1")
	{
		msg_t msg = {};
		fleet_target_t *info = &msg.u.fleet_target.target;

		msg.kind = MSG_FLEET_TARGET;
		g_strlcpy(info->id, id, sizeof(info->id));
		g_strlcpy(info->full_id, full_id.c_str(),
			  sizeof(info->full_id));
		g_strlcpy(info->service, service, sizeof(info->service));
		g_strlcpy(info->zone, zone, sizeof(info->zone));
		g_strlcpy(info->host, "127.0.0.1", sizeof(info->host));
		info->port = 1;
		info->slots = slots;
		info->started_ms = started_ms;
		info->draining = draining;
		g_strlcpy(info->version, version, sizeof(info->version));
		msg.u.fleet_target.gone = gone;
		kernel_post(&kernel, fleet, balance.svc, &msg);
		run(0);
	}
	void set_evacuated(const char *zone, bool evacuated)
	{
		msg_t msg = {};

		msg.kind = MSG_FLEET_EVACUATION;
		g_strlcpy(msg.u.fleet_evacuation.zone, zone, NAME_SIZE);
		msg.u.fleet_evacuation.evacuated = evacuated;
		kernel_post(&kernel, fleet, balance.svc, &msg);
		run(0);
	}
	int64_t gauge(gauge_t id) const
	{
		return kernel.metrics->gauges[id];
	}
	void set_fleet_size(uint32_t instances)
	{
		msg_t msg = {};

		msg.kind = MSG_FLEET_SIZE;
		msg.u.fleet_size.instances = instances;
		kernel_post(&kernel, fleet, balance.svc, &msg);
		run(0);
	}
	void receive_from_peer(const peer_body_t &body)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_RECEIVED;
		msg.u.peer.body = peer_body_new(body.kind);
		*msg.u.peer.body = body; // this kind holds no arrays
		kernel_post(&kernel, peer, balance.svc, &msg);
		run(0);
	}
	// Returns what would happen to the request.
	const std::string &explain(const char *service, uint64_t part = 0,
				   int32_t priority = 0,
				   const char *version = nullptr)
	{
		explanation.clear();
		request(0, service, part, priority, version, MSG_PLACE_EXPLAIN);
		return explanation;
	}
	bool explains(const std::string &text) const
	{
		return explanation.find(text) != std::string::npos;
	}
	void request(uint32_t number, const char *service, uint64_t part = 0,
		     int32_t priority = 0, const char *version = nullptr,
		     msg_kind_t kind = MSG_PLACE)
	{
		msg_t msg = {};

		msg.kind = kind;
		msg.u.place.one_version = version != nullptr;
		g_strlcpy(msg.u.place.version,
			  version != nullptr ? version : "",
			  sizeof(msg.u.place.version));
		msg.id = {number, 1};
		g_strlcpy(msg.u.place.service, service,
			  sizeof(msg.u.place.service));
		msg.u.place.priority = priority;
		msg.u.place.bytes = request_bytes;
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
	// What the response to a placed request states about its target.
	void report(size_t i, bool leaving, int64_t pause_ms)
	{
		msg_t msg = {};

		msg.kind = MSG_PLACE_REPORT;
		msg.ref = placements[i];
		msg.u.place_report.leaving = leaving;
		msg.u.place_report.pause_ms = pause_ms;
		kernel_post(&kernel, proxy, balance.svc, &msg);
		run(0);
	}
	// The response states how many rejections a second its target bears.
	void report_brittle(size_t i, uint32_t rejections_per_s)
	{
		msg_t msg = {};

		msg.kind = MSG_PLACE_REPORT;
		msg.ref = placements[i];
		msg.u.place_report.brittle = rejections_per_s > 0;
		msg.u.place_report.brittle_per_s = rejections_per_s;
		kernel_post(&kernel, proxy, balance.svc, &msg);
		run(0);
	}
	void peer_up(const char *peer_incarnation)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_UP;
		g_strlcpy(msg.u.peer_addr.incarnation, peer_incarnation,
			  INCARNATION_SIZE);
		kernel_post(&kernel, peer, balance.svc, &msg);
		run(0);
	}
	void report_refused(const char *id)
	{
		msg_t msg = {};

		msg.kind = MSG_TARGET_REFUSED;
		g_strlcpy(msg.u.target_refused.id, id, NAME_SIZE);
		kernel_post(&kernel, proxy, balance.svc, &msg);
		run(0);
	}
	void finish_request(size_t i, place_result_t result,
			    const target_load_t &load = {})
	{
		msg_t msg = {};

		msg.kind = MSG_PLACE_DONE;
		msg.ref = placements[i];
		msg.u.place_done.result = result;
		msg.u.place_done.load = load;
		kernel_post(&kernel, proxy, balance.svc, &msg);
		run(0);
	}
	// Answers a request for a report as the target's process does.
	// Asks whether the first target is the process with that start.
	void verify(int64_t started_ms)
	{
		uint32_t cursor = 0;
		msg_t msg = {};

		table_next(&balance.targets, &cursor, &msg.u.process.target);
		msg.kind = MSG_PROCESS_VERIFY;
		msg.id = {5, 1};
		msg.u.process.started_ms = started_ms;
		msg.u.process.attempt = 2;
		kernel_post(&kernel, proxy, balance.svc, &msg);
		run(USEC_PER_SEC);
	}
	void send_report(const msg_t *request)
	{
		std::string text = "{\"sequence\":2,\"born\":" +
				   std::to_string(reported_start) + "}";
		msg_t msg = {};

		reports++;
		reported_full_id = http_head_get(request->u.out_send.head,
						 "Expect-Instance");
		msg.ref = request->id;
		if (reported_start == 0) {
			msg.kind = MSG_OUT_FAILED;
			msg.u.out_failed.refused = refuses;
			kernel_post(&kernel, outbound, request->from, &msg);
			return;
		}
		msg.kind = MSG_OUT_HEAD;
		msg.u.out_head.head = http_head_response(200);
		if (reported_cold_ms > 0)
			http_head_add_int(msg.u.out_head.head, "Cold-Ms",
					  reported_cold_ms);
		kernel_post(&kernel, outbound, request->from, &msg);
		msg.kind = MSG_OUT_DATA;
		msg.ref = request->id;
		msg.u.data.bytes = g_bytes_new(text.data(), text.size());
		kernel_post(&kernel, outbound, request->from, &msg);
		msg.kind = MSG_OUT_END;
		msg.ref = request->id;
		kernel_post(&kernel, outbound, request->from, &msg);
	}
	void accept_check(const std::string &id)
	{
		msg_t msg = {};

		msg.kind = MSG_OUT_CHECKED;
		g_strlcpy(msg.u.out_check.instance, id.c_str(), NAME_SIZE);
		msg.u.out_check.result = CHECK_ACCEPTED;
		kernel_post(&kernel, outbound, balance.svc, &msg);
		run(0);
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
};

// Guards against a stream that goes on at another version of the software, and
// against a wait for a version that has left.
TEST(Balance, RequestForAVersionIsPlacedThereOrRefusedAtOnce)
{
	instance_t instance("z1", 1);

	for (int i = 0; i < 12; i++)
		instance.set_target("engine",
				    ("i-" + std::to_string(i)).c_str(), "z1",
				    false, false, 8, 1, i == 7 ? "v2" : "v1");
	for (uint32_t i = 0; i < 8; i++)
		instance.request(i, "engine", 0, 0, "v2");
	ASSERT_EQ(instance.placed.size(), 8u);
	for (auto &placed : instance.placed)
		EXPECT_EQ(placed.second, "i-7");
	// That target is full: other versions are no substitute.
	instance.request(8, "engine", 0, 0, "v2");
	EXPECT_EQ(instance.placed.size(), 8u);
	EXPECT_TRUE(instance.refused.empty());
	instance.request(9, "engine", 0, 0, "v3");
	ASSERT_EQ(instance.refused.size(), 1u);
	EXPECT_EQ(instance.reason, REFUSAL_NO_TARGET);
}

// Guards against a shared prompt that is read at several targets because
// instances in different zones choose different ones.
TEST(Balance, TargetRestartedWithOtherSoftwareTakesNoStreamOfTheOldOne)
{
	instance_t i("z1", 1);

	i.set_target("engine", "t1", "z1", false, false, 8, 1, "v1");
	i.set_target("engine", "t2", "z1", false, false, 8, 1, "v1");
	i.set_target("engine", "t1", "z1", false, false, 8, 2, "v2");
	for (uint32_t n = 1; n <= 6; n++)
		i.request(n, "engine", n, 0, "v1");
	i.request(7, "engine", 7, 0, "v2");
	ASSERT_EQ(i.placed.size(), 7u);
	for (size_t n = 0; n < 6; n++)
		EXPECT_EQ(i.placed[n].second, "t2");
	EXPECT_EQ(i.placed[6].second, "t1");
	EXPECT_EQ(i.placed_versions[6], "v2");
}

// Guards against a stream that goes on at another process than the listed one.
TEST(Balance, ProcessThatAnswersIsVerified)
{
	instance_t i("z1", 1);

	i.run(1000);
	i.set_target("engine", "t1", "z1");
	i.reported_start = 1;
	i.verify(1);
	i.reported_start = 2;
	i.verify(1);
	// The target is in doubt now, and takes no streams that go on.
	i.request(1, "engine", 1, 0, "v1");
	EXPECT_TRUE(i.placed.empty());
	i.reported_start = 0;
	i.verify(1);
	i.set_target("engine", "t1", "z1", false, true);
	i.verify(1);
	EXPECT_EQ(i.verified, std::vector<bool>({true, false, false, false}));
}

// Guards against a target that refuses a request, or the question for its
// start, as misdirected, since they expect a shortened id.
TEST(Balance, TargetsAreAskedAndPlacedByTheirFullId)
{
	instance_t i("z1", 1);

	i.run(1000);
	i.full_id = std::string(180, 't');
	i.set_target("engine", "t1", "z1");
	i.request(1, "engine", 1, 0, "v1");
	EXPECT_EQ(i.placed_full_id, i.full_id);
	i.finish_request(0, PLACE_RESET);
	i.request(2, "engine", 1, 0, "v1");
	i.run(100 * USEC_PER_MSEC);
	ASSERT_GT(i.reports, 0u);
	EXPECT_EQ(i.reported_full_id, i.full_id);
}

// Guards against a new process that gets no requests for what the one before
// it was like: full, slow and lost.
TEST(Balance, RestartedTargetIsNotJudgedByItsFormerProcess)
{
	instance_t i("z1", 1);
	target_load_t busy = {true, 8, 8, 8, 900};

	i.set_target("engine", "t1", "z1", false, false, 8, 1);
	i.request(1, "engine", 1);
	i.finish_request(0, PLACE_UNREACHABLE, busy);
	i.set_target("engine", "t1", "z1", false, false, 8, 2);
	i.set_target("engine", "t2", "z1", false, false, 8, 2);
	for (uint32_t n = 2; n <= 9; n++)
		i.request(n, "engine", n);
	EXPECT_GT(std::count_if(i.placed.begin() + 1, i.placed.end(),
				[](auto &p) { return p.second == "t1"; }),
		  1);
}

// Guards against a stream that goes on at a process whose software nobody
// knows: it has followed another one and has not written its entry yet.
TEST(Balance, TargetWhoseConnectionWasResetTakesNoStreamUntilItReports)
{
	instance_t i("z1", 1);

	i.run(1000);
	i.set_target("engine", "t1", "z1");
	i.request(1, "engine", 1, 0, "v1");
	i.finish_request(0, PLACE_RESET);
	// A report is awaited, but not the deadline.
	i.request(2, "engine", 1, 0, "v1");
	EXPECT_TRUE(i.refused.empty());
	i.run(60 * USEC_PER_MSEC);
	ASSERT_EQ(i.refused.size(), 1u);
	EXPECT_GE(i.retry_after_ms, 1000u);
	i.request(5, "engine", 1, 0, "v1");
	EXPECT_EQ(i.refused.size(), 2u); // at once
	// New streams may begin there; their version is not known.
	i.request(3, "engine", 1);
	ASSERT_EQ(i.placed.size(), 2u);
	EXPECT_EQ(i.placed_versions[1], VERSION_UNKNOWN);
	i.run(USEC_PER_SEC);
	EXPECT_TRUE(i.confirmed.empty());
	i.reported_start = 1;
	i.request(6, "engine", 1, 0, "v1");
	i.run(5 * USEC_PER_SEC);
	ASSERT_EQ(i.confirmed.size(), 1u);
	i.request(4, "engine", 1, 0, "v1");
	ASSERT_EQ(i.placed.size(), 3u);
	EXPECT_EQ(i.placed_versions[2], "v1");
	// Nothing is asked any more.
	i.reports = 0;
	i.run(60 * USEC_PER_SEC);
	EXPECT_EQ(i.reports, 0u);
}

// Guards against a fleet that keeps connecting to targets which have ended.
TEST(Balance, TargetsInDoubtAreAskedOnlyIfAStreamDependsOnThem)
{
	instance_t i("z1", 1);

	i.run(1000);
	for (int n = 0; n < 20; n++)
		i.set_target("engine", ("t" + std::to_string(n)).c_str(), "z1");
	for (int n = 0; n < 20; n++)
		i.report_refused(("t" + std::to_string(n)).c_str());
	i.run(60 * USEC_PER_SEC);
	EXPECT_EQ(i.reports, 0u);
	EXPECT_EQ(i.announced.size(), 20u);
	// Those that are wanted are asked less and less often.
	i.refuses = true;
	for (uint32_t n = 0; n < 600; n++) {
		i.request(n, "engine", 1, 0, "v1");
		i.run(100 * USEC_PER_MSEC);
	}
	EXPECT_GE(i.reports, 20u * 5);
	EXPECT_LE(i.reports, 20u * 25);
	EXPECT_EQ(i.announced.size(), 20u); // nothing new
	// A target that leaves takes no streams.
	for (int n = 0; n < 20; n++)
		i.set_target("engine", ("t" + std::to_string(n)).c_str(), "z1",
			     true);
	i.reports = 0;
	i.request(1000, "engine", 1, 0, "v1");
	i.run(10 * USEC_PER_SEC);
	EXPECT_EQ(i.reports, 0u);
}

TEST(Balance, NextProcessOfATargetIsKnownByItsEntryOnly)
{
	instance_t i("z1", 1);

	i.run(1000);
	i.set_target("engine", "t1", "z1");
	i.request(1, "engine", 1);
	i.reported_start = 2;
	i.finish_request(0, PLACE_RESET);
	for (uint32_t n = 10; n < 70; n++) {
		i.request(n, "engine", 1, 0, "v1");
		i.run(USEC_PER_SEC);
	}
	EXPECT_TRUE(i.confirmed.empty());
	EXPECT_EQ(i.reports, 1u);
	EXPECT_EQ(i.refused.size(), 60u);
	i.set_target("engine", "t1", "z1", false, false, 8, 2, "v2");
	i.request(3, "engine", 1, 0, "v2");
	ASSERT_EQ(i.placed.size(), 2u);
	EXPECT_EQ(i.placed_versions[1], "v2");
}

// Guards against streams that break off because their instance has lost its
// connections to sound targets.
TEST(Balance, StreamGoesOnAtTheTargetThatReportsSoon)
{
	instance_t i("z1", 1);

	i.run(1000);
	i.set_target("engine", "t1", "z1");
	i.request(1, "engine", 1);
	i.reported_start = 1;
	i.finish_request(0, PLACE_RESET);
	i.request(2, "engine", 1, 0, "v1");
	i.run(60 * USEC_PER_MSEC);
	ASSERT_EQ(i.placed.size(), 2u);
	EXPECT_EQ(i.placed_versions[1], "v1");
}

// Guards against a stream that goes on at a new process through an instance
// that had no connection to the former one.
TEST(Balance, PeersAreToldOfATargetThatHasEnded)
{
	instance_t a("z1", 1), b("z1", 2);

	a.run(1000);
	b.run(1000);
	a.set_target("engine", "t1", "z1");
	b.set_target("engine", "t1", "z1");
	a.request(1, "engine", 1);
	a.announced.clear();
	// A reset alone is no news: the target may be there.
	a.finish_request(0, PLACE_RESET);
	EXPECT_TRUE(a.announced.empty());
	a.refuses = true;
	a.request(2, "engine", 1, 0, "v1");
	a.run(100 * USEC_PER_MSEC);
	ASSERT_EQ(a.announced.size(), 1u);
	EXPECT_EQ(a.announced[0].kind, PEER_TARGET_DOUBTED);
	b.receive_from_peer(a.announced[0]);
	b.request(1, "engine", 1, 0, "v1");
	EXPECT_EQ(b.refused.size(), 1u);
	// An instance that was cut off or has just started is told too.
	instance_t c("z1", 3);
	c.run(1000);
	c.set_target("engine", "t1", "z1");
	a.announced.clear();
	a.peer_up("run-3");
	ASSERT_EQ(a.announced.size(), 1u);
	c.receive_from_peer(a.announced[0]);
	c.request(1, "engine", 1, 0, "v1");
	EXPECT_EQ(c.refused.size(), 1u);
	// Peers do not tell each other the same again.
	b.report_refused("t1");
	EXPECT_TRUE(b.announced.empty());
	// What is told of a former process says nothing of the next one.
	b.set_target("engine", "t1", "z1", false, false, 8, 2);
	b.receive_from_peer(a.announced[0]);
	b.request(2, "engine", 1, 0, "v1");
	EXPECT_EQ(b.placed.size(), 1u);
}

TEST(Balance, InstancesAgreeOnTargetForAPrompt)
{
	instance_t a("z1", 1), b("z2", 2);
	std::map<uint64_t, std::string> chosen;
	std::map<std::string, int> count;

	for (int i = 0; i < 12; i++) {
		std::string id = "i-" + std::to_string(i);
		const char *zone = i % 2 ? "z1" : "z2";

		a.set_target("engine", id.c_str(), zone);
		b.set_target("engine", id.c_str(), zone);
	}
	for (uint64_t part = 2; part < 62; part++) {
		a.request((uint32_t)part, "engine", part);
		b.request((uint32_t)part, "engine", part);
		ASSERT_FALSE(a.placed.empty());
		EXPECT_EQ(a.placed.back().second, b.placed.back().second)
			<< part;
		count[a.placed.back().second]++;
		a.finish_request(a.placements.size() - 1, PLACE_OK);
		b.finish_request(b.placements.size() - 1, PLACE_OK);
	}
	EXPECT_GE(count.size(), 9u);
	for (auto &entry : count)
		EXPECT_LE(entry.second, 15) << entry.first;
}

TEST(Balance, DrainingAndRemovedTargetsGetNoRequests)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1");
	a.set_target("call", "i-2", "z2");
	a.set_target("call", "i-1", "z1", true);
	for (uint32_t i = 1; i <= 10; i++)
		a.request(i, "call");
	a.set_target("call", "i-2", "z2", false, true);
	a.request(11, "call");
	a.run(200000);
	for (auto &entry : a.placed)
		EXPECT_EQ(entry.second, "i-2");
	EXPECT_EQ(a.placed.size(), 10u);
	ASSERT_EQ(a.refused.size(), 1u);
	EXPECT_EQ(a.reason, REFUSAL_NO_TARGET);
}

// Guards against running work that is started elsewhere or given up because its
// target was silent for a while: an entry that expires takes new requests away
// from the target, and nothing else.
TEST(Balance, RequestsAtATargetOutliveItsEntry)
{
	instance_t a("z1", 1);

	a.set_target("engine", "i-1", "z1");
	a.request(1, "engine", 2);
	ASSERT_EQ(a.placed.size(), 1u);
	a.set_target("engine", "i-1", "z1", false, true);
	a.run(10 * USEC_PER_SEC);
	EXPECT_EQ(a.placed.size(), 1u);
	EXPECT_TRUE(a.refused.empty());
	a.set_target("engine", "i-1", "z1");
	a.finish_request(0, PLACE_OK);
	a.request(2, "engine", 2);
	EXPECT_EQ(a.placed.size(), 2u);
}

TEST(Balance, UnreachableTargetIsAvoidedTemporarily)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1");
	a.set_target("call", "i-2", "z2");
	a.request(1, "call");
	ASSERT_EQ(a.placed[0].second, "i-1");
	a.finish_request(0, PLACE_UNREACHABLE);
	for (uint32_t i = 2; i <= 5; i++) {
		a.request(i, "call");
		EXPECT_EQ(a.placed.back().second, "i-2");
		a.finish_request(a.placements.size() - 1, PLACE_OK);
	}
	a.run(30 * USEC_PER_SEC);
	a.request(6, "call");
	EXPECT_EQ(a.placed.back().second, "i-1");
}

// Guards against further requests to a target that does not answer: the wait of
// an earlier request raises its cost.
TEST(Balance, UnresponsiveTargetIsAvoided)
{
	instance_t a("z1", 1);

	a.set_target("engine", "i-1", "z1", false, false, 64);
	a.run(1000);
	a.request(1, "engine");
	a.run(3 * USEC_PER_SEC);
	a.set_target("engine", "i-2", "z2", false, false, 64);
	a.request(2, "engine");
	EXPECT_EQ(a.placed.back().second, "i-2");
}

// A zone that is cut off: its targets are found out one by one, each by a
// request that is late.
TEST(ZoneReach, ThreeTargetsWithoutAnAnswerInBetweenAreACut)
{
	zone_reach_t reach = {};
	const int64_t ms = USEC_PER_MSEC;

	EXPECT_FALSE(zone_reach_failed(&reach, {1, 1}, 1005 * ms, 1000 * ms));
	// The same target again shows nothing new.
	EXPECT_FALSE(zone_reach_failed(&reach, {1, 1}, 1005 * ms, 1010 * ms));
	EXPECT_FALSE(zone_reach_failed(&reach, {2, 1}, 1005 * ms, 1020 * ms));
	EXPECT_FALSE(zone_reach_answered(&reach, 1030 * ms));
	EXPECT_FALSE(zone_reach_failed(&reach, {3, 1}, 1050 * ms, 1040 * ms));
	EXPECT_FALSE(zone_reach_failed(&reach, {1, 1}, 1050 * ms, 1050 * ms));
	EXPECT_TRUE(zone_reach_failed(&reach, {2, 1}, 1050 * ms, 1060 * ms));
	EXPECT_TRUE(zone_reach_answered(&reach, 1070 * ms));
}

// Guards against taking an instance that reaches nothing at all, and failures
// that have nothing to do with each other, for zones that are cut off.
TEST(ZoneReach, NoCutWhileNoOtherZoneAnswersOrFailuresAreFarApart)
{
	zone_reach_t alone = {}, apart = {};
	const int64_t ms = USEC_PER_MSEC;

	for (uint32_t i = 1; i <= 6; i++)
		EXPECT_FALSE(zone_reach_failed(&alone, {i, 1}, 900 * ms,
					       (1000 + i) * ms));
	// Another zone has answered since: the next failure counts.
	EXPECT_TRUE(zone_reach_failed(&alone, {7, 1}, 1010 * ms, 1020 * ms));
	for (uint32_t i = 1; i <= 6; i++)
		EXPECT_FALSE(zone_reach_failed(&apart, {i, 1}, i * 2500 * ms,
					       i * 2500 * ms));
}

// Load: requests for a service with targets in two zones, one of which is cut
// off.  Guards against a connect that fails for each target of that zone.
TEST(Balance, TargetsOfAZoneThatIsCutOffArePassedOver)
{
	instance_t a("z1", 1);

	for (int i = 0; i < 10; i++)
		a.set_target("engine", ("i-far-" + std::to_string(i)).c_str(),
			     "z2", false, false, 4);
	a.set_target("engine", "i-near", "z1", false, false, 4);
	a.run(1000);
	// The near target is full; the others fail to connect.
	for (uint32_t i = 1; i <= 4; i++)
		a.request(i, "engine");
	for (size_t i = 0; i < 4; i++) {
		ASSERT_EQ(a.placed[i].second, "i-near");
		a.report(i, false, 0);
	}
	for (uint32_t i = 5; i <= 7; i++) {
		a.request(i, "engine");
		EXPECT_NE(a.placed.back().second, "i-near");
	}
	a.run(400 * USEC_PER_MSEC);
	a.report(0, false, 0);
	a.finish_request(4, PLACE_UNREACHABLE);
	a.report(0, false, 0);
	a.finish_request(5, PLACE_UNREACHABLE);
	a.finish_request(6, PLACE_UNREACHABLE);
	EXPECT_EQ(a.kernel.metrics->gauges[GAUGE_ZONES_CUT], 1);
	// Room at the near target is worth more than a free target far away.
	a.request(8, "engine");
	a.run(1000);
	EXPECT_EQ(a.placed.size(), 7u);
	a.finish_request(0, PLACE_OK);
	ASSERT_EQ(a.placed.size(), 8u);
	EXPECT_EQ(a.placed.back().second, "i-near");
	// A check that is accepted ends the cut.
	a.run(300 * USEC_PER_MSEC);
	ASSERT_FALSE(a.checked.empty());
	a.accept_check(a.checked.back());
	EXPECT_EQ(a.kernel.metrics->gauges[GAUGE_ZONES_CUT], 0);
	a.request(9, "engine");
	EXPECT_NE(a.placed.back().second, "i-near");
}

// Guards against refusing what only a zone that seems to be cut off could run.
TEST(Balance, ZoneThatIsCutOffIsTheLastResort)
{
	instance_t a("z1", 1);

	a.set_target("engine", "i-near", "z1");
	for (int i = 0; i < 4; i++)
		a.set_target("call", ("i-far-" + std::to_string(i)).c_str(),
			     "z2");
	a.request(1, "engine");
	for (uint32_t i = 0; i < 3; i++) {
		a.request(2 + i, "call");
		a.report(0, false, 0);
		a.finish_request(1 + i, PLACE_UNREACHABLE);
		a.report(0, false, 0);
	}
	a.request(9, "call");
	EXPECT_EQ(a.placed.size(), 5u);
	EXPECT_TRUE(a.refused.empty());
}

// Guards against a target that crashes under the large requests that it holds.
TEST(Balance, BytesOfTheRequestsAtATargetAreBounded)
{
	instance_t a("z1", 1);

	a.set_fleet_size(75);
	a.set_target("call", "i-1", "z1", false, false, 64);
	a.request_bytes = 1000 * 1024;
	a.request(1, "call");
	// One may exceed the bound of 1 MiB: large ones must not starve.
	a.request_bytes = 4 * 1024 * 1024;
	a.request(2, "call");
	EXPECT_EQ(a.placed.size(), 2u);
	a.request_bytes = 100;
	a.request(3, "call");
	EXPECT_EQ(a.placed.size(), 2u);
	EXPECT_TRUE(a.refused.empty());
	a.finish_request(1, PLACE_OK);
	ASSERT_EQ(a.placed.size(), 3u);
	EXPECT_EQ(a.placed[2].first, 3u);
	// Another target takes what this one does not.
	a.request_bytes = 4 * 1024 * 1024;
	a.request(4, "call");
	a.set_target("call", "i-2", "z1", false, false, 64);
	a.request_bytes = 100;
	a.request(5, "call");
	ASSERT_EQ(a.placed.size(), 5u);
	EXPECT_EQ(a.placed[4].second, "i-2");
}

TEST(Balance, QueuedRequestsArePlacedByPriority)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1", false, false, 1);
	a.request(1, "call");
	a.request(2, "call");
	a.request(3, "call", 0, 2);
	a.request(4, "call", 0, 1);
	EXPECT_EQ(a.placed.size(), 2u);
	a.finish_request(0, PLACE_OK);
	a.finish_request(1, PLACE_OK);
	ASSERT_EQ(a.placed.size(), 4u);
	EXPECT_EQ(a.placed[2].first, 4u);
	EXPECT_EQ(a.placed[3].first, 3u);
}

TEST(Balance, QueuedRequestIsRefusedAtDeadline)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1", false, false, 1);
	for (uint32_t i = 1; i <= 3; i++)
		a.request(i, "call");
	a.run(99000);
	EXPECT_TRUE(a.refused.empty());
	a.run(2000);
	ASSERT_EQ(a.refused.size(), 1u);
	EXPECT_EQ(a.refused[0], 3u);
	EXPECT_EQ(a.reason, REFUSAL_OVERLOADED);
	/* A refused request is not placed when a target has room later. */
	a.finish_request(0, PLACE_OK);
	EXPECT_EQ(a.placed.size(), 2u);
}

// Guards against requests that are held until their deadline although the
// queue before them is too long.
TEST(Balance, RequestBehindALongQueueIsRefusedAtOnce)
{
	instance_t a("z1", 1);
	std::map<uint32_t, int64_t> asked;
	int64_t begin = kernel_now(&a.kernel);
	size_t early = 0, refused = 0;

	a.set_target("call", "i-1", "z1", false, false, 1);
	/* 100 requests a second, of which the target takes 20. */
	for (uint32_t i = 1; i <= 400; i++) {
		asked[i] = kernel_now(&a.kernel);
		a.request(i, "call");
		a.run(10000);
		if (i % 5 == 0 && i / 5 - 1 < a.placements.size())
			a.finish_request(i / 5 - 1, PLACE_OK);
		if (kernel_now(&a.kernel) - begin < 2 * USEC_PER_SEC) {
			refused = a.refused.size();
			continue;
		}
		for (; refused < a.refused.size(); refused++)
			early += kernel_now(&a.kernel) -
					 asked[a.refused[refused]] <=
				 20000;
	}
	EXPECT_GE(a.placed.size(), 78u);
	EXPECT_GE(a.refused.size(), 300u);
	/* Of 160 requests of the last two seconds that find no room. */
	EXPECT_GE(early, 130u);
}

// Guards against streams that stall while prompts of other instances are read:
// without announcements, instances send prompts to the same target.
TEST(Balance, TargetReadingAPeersPromptIsAvoided)
{
	instance_t a("z1", 1), b("z1", 2), c("z1", 3);

	for (instance_t *i : {&a, &b, &c})
		for (const char *id : {"t1", "t2"})
			i->set_target("engine", id, "z1");
	a.request(1, "engine", 7);
	ASSERT_EQ(a.announced.size(), 1u);
	EXPECT_EQ(a.announced[0].kind, PEER_PLACED);
	EXPECT_EQ(a.announced[0].u.placed.tokens, 6000);
	EXPECT_STREQ(a.announced[0].u.placed.target,
		     a.placed[0].second.c_str());
	for (instance_t *i : {&b, &c})
		for (int n = 0; n < 8; n++)
			i->receive_from_peer(a.announced[0]);
	b.request(1, "engine", 7);
	EXPECT_NE(b.placed[0].second, a.placed[0].second);
	/* Once the prompts are read, affinity determines the target again. */
	c.run(20 * USEC_PER_SEC);
	c.request(1, "engine", 7);
	EXPECT_EQ(c.placed[0].second, a.placed[0].second);
}

// Guards against requests that wait at an engine whose slots are all taken, for
// longer than their callers do, while the instances see only their own ones.
TEST(Balance, EngineWithoutAFreeSlotGetsNoMore)
{
	instance_t a("z1", 1);
	peer_body_t body = {};

	a.set_target("engine", "t1", "z1");
	a.request(1, "engine");
	ASSERT_EQ(a.placed.size(), 1u);
	body.kind = PEER_PLACED;
	g_strlcpy(body.u.placed.target, "t1", sizeof(body.u.placed.target));
	for (int i = 0; i < 7; i++)
		a.receive_from_peer(body);
	a.request(2, "engine");
	EXPECT_EQ(a.placed.size(), 1u);
	a.run(100000);
	EXPECT_EQ(a.reason, REFUSAL_OVERLOADED);
	/* The requests of the peers end. */
	a.run(2 * USEC_PER_SEC);
	a.request(3, "engine");
	EXPECT_EQ(a.placed.size(), 2u);
}

// Guards against shared parts that are read at a different target each time
// while the primary target is busy.
TEST(Balance, InstancesAgreeOnSecondaryTarget)
{
	std::map<std::string, int> primaries, secondaries;

	for (uint64_t seed = 1; seed <= 8; seed++) {
		instance_t i("z1", seed);
		peer_body_t body = {};

		for (const char *id : {"t1", "t2", "t3", "t4", "t5", "t6"})
			i.set_target("engine", id, "z1");
		i.request(1, "engine", 7);
		primaries[i.placed[0].second]++;
		instance_t j("z1", seed + 100);
		for (const char *id : {"t1", "t2", "t3", "t4", "t5", "t6"})
			j.set_target("engine", id, "z1");
		body.kind = PEER_PLACED;
		body.u.placed.tokens = 30000;
		g_strlcpy(body.u.placed.target, i.placed[0].second.c_str(),
			  sizeof(body.u.placed.target));
		j.receive_from_peer(body);
		j.request(1, "engine", 7);
		secondaries[j.placed[0].second]++;
	}
	EXPECT_EQ(primaries.size(), 1u);
	EXPECT_EQ(secondaries.size(), 1u);
	EXPECT_NE(primaries.begin()->first, secondaries.begin()->first);
}

// Guards against saturated links in a large fleet, where each placement would
// otherwise be announced to all instances.
TEST(Balance, LargeFleetAnnouncesPlacementsWithinZone)
{
	instance_t a("z1", 1);

	a.set_target("engine", "t1", "z1");
	a.set_target("call", "c1", "z1");
	a.request(1, "engine", 7);
	EXPECT_EQ(a.announced_zone, "");
	a.set_fleet_size(64);
	a.request(2, "engine", 7);
	EXPECT_EQ(a.announced_zone, "z1");
	/* Calls occupy their target for some ms only and are not announced. */
	a.announced.clear();
	a.request(3, "call");
	EXPECT_TRUE(a.announced.empty());
}

// Guards against a crash or a wrong load when a peer announces a placement at a
// target that this instance does not list.
TEST(Balance, PlacementAtUnknownTargetIsIgnored)
{
	instance_t a("z1", 1);
	peer_body_t body = {};

	body.kind = PEER_PLACED;
	g_strlcpy(body.u.placed.target, "t9", sizeof(body.u.placed.target));
	body.u.placed.tokens = -5;
	a.receive_from_peer(body);
	a.set_target("engine", "t1", "z1");
	a.request(1, "engine", 7);
	EXPECT_EQ(a.placed.size(), 1u);
}

// Guards against requests to a target that has stated that it leaves, while the
// list still has it as ready, or has it again.
TEST(Balance, LeavingTargetGetsNothingWhateverTheListSays)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1", false, false, 1);
	for (uint32_t i = 1; i <= 3; i++)
		a.request(i, "call");
	ASSERT_EQ(a.placed.size(), 2u);
	a.report(0, true, 0);
	a.finish_request(0, PLACE_OK);
	a.run(60000);
	a.set_target("call", "i-1", "z1");
	a.set_target("call", "i-1", "z1", false, true);
	a.set_target("call", "i-1", "z1");
	a.request(4, "call");
	a.run(60 * USEC_PER_SEC);
	a.request(5, "call");
	a.run(USEC_PER_SEC);
	EXPECT_EQ(a.placed.size(), 2u);
	EXPECT_EQ(a.refused.size(), 3u);
	EXPECT_EQ(a.reason, REFUSAL_NO_TARGET);
	/* Another process has started at the address, under the same id. */
	a.set_target("call", "i-1", "z1", false, false, 8, 2);
	a.request(6, "call");
	EXPECT_EQ(a.placed.size(), 3u);
}

// Guards against requests to a zone that operators have evacuated, whatever the
// order in which the evacuation and the targets become known, and against a
// zone that stays evacuated after its end.
TEST(Balance, EvacuatedZoneGetsNothingUntilItsEnd)
{
	instance_t a("z1", 1);

	a.set_evacuated("z1", true);
	a.set_target("call", "i-1", "z1");
	a.set_target("call", "i-2", "z2");
	for (uint32_t i = 1; i <= 20; i++) {
		a.request(i, "call");
		ASSERT_EQ(a.placed.size(), i);
		EXPECT_EQ(a.placed.back().second, "i-2");
		a.finish_request(i - 1, PLACE_OK);
	}
	EXPECT_EQ(a.kernel.metrics->passed_over[PASS_EVACUATED], 20u);
	// Neither another process at the address nor an unknown zone ends it.
	a.set_target("call", "i-1", "z1", false, false, 8, 2);
	a.set_evacuated("z9", true);
	a.set_evacuated("z9", false);
	a.request(21, "call");
	EXPECT_EQ(a.placed.back().second, "i-2");
	a.set_evacuated("z1", false);
	a.set_evacuated("z2", true);
	a.request(22, "call");
	EXPECT_EQ(a.placed.back().second, "i-1");
}

// Guards against callers that are held although every target of their service
// is in an evacuated zone, or is about to leave, and against a service without
// evacuated targets that no longer waits for one.
TEST(Balance, RequestIsRefusedAtOnceWhileAllTargetsAreEvacuated)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1", false, false, 1);
	a.set_target("call", "i-2", "z2", true);
	a.request(1, "call");
	a.request(2, "call");
	a.request(3, "call");
	ASSERT_EQ(a.placed.size(), 2u);
	ASSERT_TRUE(a.refused.empty());
	// The third waits for room at a target of the zone.
	a.set_evacuated("z1", true);
	ASSERT_EQ(a.refused, std::vector<uint32_t>{3});
	a.request(4, "call");
	EXPECT_EQ(a.refused, (std::vector<uint32_t>{3, 4}));
	EXPECT_EQ(a.reason, REFUSAL_NO_TARGET);
	EXPECT_GE(a.retry_after_ms, 1000u);
	EXPECT_LT(a.retry_after_ms, 2000u);
	a.request(5, "engine");
	EXPECT_EQ(a.refused.size(), 2u);
}

// Guards against requests that wait for a zone although another one has room,
// and against ones that miss the end of an evacuation.
TEST(Balance, WaitingRequestsArePlacedAnewWhenAnEvacuationBeginsOrEnds)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1", false, false, 1);
	a.set_target("call", "i-2", "z2", false, false, 1);
	a.set_evacuated("z2", true);
	for (uint32_t i = 1; i <= 3; i++)
		a.request(i, "call");
	ASSERT_EQ(a.placed.size(), 2u);
	a.set_evacuated("z2", false);
	ASSERT_EQ(a.placed.size(), 3u);
	EXPECT_EQ(a.placed[2].second, "i-2");
	a.request(4, "call");
	a.request(5, "call");
	ASSERT_EQ(a.placed.size(), 4u);
	// The waiting request is not sent to the zone when it has room there.
	a.set_evacuated("z1", true);
	a.finish_request(0, PLACE_OK);
	EXPECT_EQ(a.placed.size(), 4u);
	a.finish_request(2, PLACE_OK);
	ASSERT_EQ(a.placed.size(), 5u);
	EXPECT_EQ(a.placed[4].second, "i-2");
}

// Guards against a stream that goes on in an evacuated zone, or at another
// version of the software, or that waits for a version which only an evacuated
// zone has.
TEST(Balance, StreamOfAnEvacuatedZoneGoesOnAtItsVersionElsewhere)
{
	instance_t a("z1", 1);

	a.set_target("engine", "i-1", "z1", false, false, 8, 1, "v1");
	a.set_target("engine", "i-2", "z2", false, false, 8, 1, "v2");
	a.set_target("engine", "i-3", "z3", false, false, 8, 1, "v1");
	a.set_evacuated("z1", true);
	a.request(1, "engine", 0, 0, "v1");
	ASSERT_EQ(a.placed.size(), 1u);
	EXPECT_EQ(a.placed[0].second, "i-3");
	a.set_evacuated("z3", true);
	a.request(2, "engine", 0, 0, "v1");
	EXPECT_EQ(a.placed.size(), 1u);
	ASSERT_EQ(a.refused.size(), 1u);
	EXPECT_EQ(a.reason, REFUSAL_NO_TARGET);
}

// Guards against a report that is asked of a target in an evacuated zone for
// the sake of a stream that may not go there.
TEST(Balance, TargetInDoubtIsNotAskedWhileItsZoneIsEvacuated)
{
	instance_t a("z1", 1);

	a.run(1000);
	a.set_target("engine", "t1", "z1");
	a.set_target("engine", "t2", "z2");
	a.request(1, "engine", 1, 0, "v1");
	a.request(2, "engine", 2, 0, "v1");
	a.finish_request(0, PLACE_RESET);
	a.finish_request(1, PLACE_RESET);
	// It waits for the report of either.
	a.request(3, "engine", 1, 0, "v1");
	EXPECT_TRUE(a.refused.empty());
	a.set_evacuated("z1", true);
	a.set_evacuated("z2", true);
	EXPECT_EQ(a.refused.size(), 1u);
	a.run(USEC_PER_SEC);
	EXPECT_EQ(a.reports, 0u);
}

// Guards against prompts that are read at several targets, since the ones that
// all instances prefer for them are in an evacuated zone.
TEST(Balance, InstancesAgreeOnTargetsOutsideOfAnEvacuatedZone)
{
	instance_t a("z3", 1), b("z3", 2);

	for (instance_t *i : {&a, &b}) {
		for (int t = 0; t < 8; t++)
			i->set_target("engine",
				      ("t" + std::to_string(t)).c_str(),
				      t < 5 ? "z1" : "z2");
		i->set_evacuated("z1", true);
		for (uint32_t n = 1; n <= 20; n++) {
			i->request(n, "engine", 100 + n);
			i->finish_request(n - 1, PLACE_OK);
		}
	}
	EXPECT_EQ(a.placed, b.placed);
}

// Guards against a home that gives permits for a target of an evacuated zone to
// an instance that does not know of the evacuation yet.
TEST(Balance, HomeGivesNoPermitForAnEvacuatedTarget)
{
	instance_t a("z1", 1);
	peer_body_t asked = {};
	size_t answers = 0;

	a.set_target("engine", "t1", "z1");
	asked.kind = PEER_PERMIT_REQUEST;
	g_strlcpy(asked.u.permit_request.target, "t1", NAME_SIZE);
	asked.u.permit_request.wait_us = 100000;
	asked.u.permit_request.limit.kind = LIMIT_STATED;
	asked.u.permit_request.limit.per_ks = 100000;
	for (bool evacuated : {false, true}) {
		a.set_evacuated("z1", evacuated);
		a.receive_from_peer(asked);
		for (auto &body : a.announced) {
			if (body.kind != PEER_PERMIT_REPLY)
				continue;
			EXPECT_EQ(body.u.permit_reply.admitted, !evacuated);
			answers++;
		}
		a.announced.clear();
	}
	EXPECT_EQ(answers, 2u);
}

// Guards against a zone that looks empty while requests of this instance still
// run there, also at a target that has left the list meanwhile.
TEST(Balance, RequestsThatStillRunInAnEvacuatedZoneAreCounted)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1");
	a.request(1, "call");
	a.request(2, "call");
	a.request(3, "call");
	EXPECT_EQ(a.gauge(GAUGE_EVACUATED_RUNNING), 0);
	a.set_evacuated("z1", true);
	EXPECT_EQ(a.gauge(GAUGE_EVACUATED_RUNNING), 3);
	a.finish_request(0, PLACE_OK);
	EXPECT_EQ(a.gauge(GAUGE_EVACUATED_RUNNING), 2);
	a.set_target("call", "i-1", "z1", false, true);
	a.finish_request(1, PLACE_OK);
	EXPECT_EQ(a.gauge(GAUGE_EVACUATED_RUNNING), 1);
	a.set_evacuated("z1", false);
	EXPECT_EQ(a.gauge(GAUGE_EVACUATED_RUNNING), 0);
}

// Guards against a peer's news of a leaving target that is lost because the
// target is not listed yet, or that is held against its next process.
TEST(Balance, PeersTellOfLeavingTargets)
{
	instance_t a("z1", 1), b("z1", 2);
	peer_body_t told;

	a.set_target("call", "i-1", "z1");
	a.request(1, "call");
	a.report(0, true, 0);
	a.report(0, true, 0);
	ASSERT_EQ(a.announced.size(), 1u);
	told = a.announced[0];
	EXPECT_EQ(told.kind, PEER_TARGET_LEAVING);
	b.receive_from_peer(told);
	b.set_target("call", "i-1", "z1");
	b.request(1, "call");
	EXPECT_TRUE(b.placed.empty());
	b.set_target("call", "i-1", "z1", false, false, 8, 2);
	EXPECT_EQ(b.placed.size(), 1u);
	b.receive_from_peer(told);
	b.request(2, "call");
	EXPECT_EQ(b.placed.size(), 2u);
	EXPECT_TRUE(b.announced.empty());
}

// Guards against requests during a pause that a target asked for, and against a
// pause that never ends or is cut short by an earlier one.
TEST(Balance, PausedTargetGetsNothingUntilTheLastPauseEnds)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1");
	a.set_target("call", "i-2", "z2");
	a.request(1, "call");
	a.request(2, "call");
	ASSERT_EQ(a.placed[0].second, "i-1");
	a.report(0, false, 5000);
	a.run(USEC_PER_SEC);
	a.report(0, false, 2000);
	/* An entry that lapses and comes back does not end the pause. */
	a.set_target("call", "i-1", "z1", false, true);
	a.set_target("call", "i-1", "z1");
	for (uint32_t i = 3; i < 42; i++) {
		a.request(i, "call");
		EXPECT_EQ(a.placed.back().second, "i-2");
		a.finish_request(a.placements.size() - 1, PLACE_OK);
		a.run(100000);
	}
	a.run(200000);
	a.request(50, "call");
	EXPECT_EQ(a.placed.back().second, "i-1");
}

// Guards against callers that wait although it is known that all targets want
// a pause, or that all return at its end.
TEST(Balance, RequestIsRefusedAtOnceWhileAllTargetsPause)
{
	instance_t a("z1", 1);
	uint32_t least = UINT32_MAX, most = 0;

	a.set_target("call", "i-1", "z1");
	a.set_target("call", "i-2", "z1");
	a.request(1, "call");
	a.request(2, "call");
	ASSERT_NE(a.placed[0].second, a.placed[1].second);
	a.report(0, false, 900);
	a.report(1, false, 4000);
	for (uint32_t i = 3; i < 103; i++) {
		a.request(i, "call");
		ASSERT_EQ(a.refused.size(), i - 2);
		EXPECT_EQ(a.reason, REFUSAL_OVERLOADED);
		least = MIN(least, a.retry_after_ms);
		most = MAX(most, a.retry_after_ms);
	}
	EXPECT_GE(least, 900u);
	EXPECT_GE(most - least, 450u);
	EXPECT_LE(most, 2000u);
	/* A pause that ends in time is waited for. */
	a.run(850000);
	a.request(200, "call");
	EXPECT_EQ(a.refused.size(), 100u);
	a.run(60000);
	EXPECT_EQ(a.placed.back().first, 200u);
}

// Guards against a mistaken pause that takes a target out for good.
TEST(Balance, PauseWithoutEndEnds)
{
	instance_t a("z1", 1);

	a.set_target("call", "i-1", "z1");
	a.request(1, "call");
	a.report(0, false, INT64_C(1000000000000));
	a.run(3599 * USEC_PER_SEC);
	a.request(2, "call");
	EXPECT_EQ(a.placed.size(), 1u);
	a.run(2 * USEC_PER_SEC);
	a.request(3, "call");
	EXPECT_EQ(a.placed.size(), 2u);
}

// Guards against a list of notices that grows with every target that ever left.
TEST(Balance, NoticesOfTargetsThatLeftAreBounded)
{
	instance_t a("z1", 1);

	for (int i = 0; i < 3000; i++) {
		peer_body_t body = {};

		body.kind = PEER_TARGET_LEAVING;
		g_snprintf(body.u.leaving.target, NAME_SIZE, "i-%d", i);
		a.receive_from_peer(body);
	}
	EXPECT_LE(g_hash_table_size(a.balance.kept_notices), 1024u);
}

// Guards against a process that has just started behind the address of another
// one, is cold, and gets what the former one sustained until its entry comes.
TEST(Balance, ReportTellsThatATargetIsCold)
{
	instance_t i("z1", 1);

	i.run(USEC_PER_SEC);
	i.set_target("engine", "t1", "z1");
	i.reported_start = 2;
	i.reported_cold_ms = 2500;
	i.request(1, "engine", 1, 0, "v1");
	i.finish_request(0, PLACE_RESET);
	i.request(2, "engine", 1, 0, "v1");
	i.run(60 * USEC_PER_MSEC);
	ASSERT_EQ(i.reports, 1u);
	EXPECT_EQ(i.kernel.metrics->gauges[GAUGE_TARGETS_COLD], 1);
	for (uint32_t n = 3; n < 20; n++)
		i.request(n, "engine", n);
	EXPECT_EQ(i.placed.size(), 1u);
	i.run(3 * USEC_PER_SEC);
	EXPECT_EQ(i.kernel.metrics->gauges[GAUGE_TARGETS_COLD], 0);
}

// Admits requests of a priority as often as possible until a time.
std::vector<int64_t> admit_all(limit_t *limit, int64_t from, int64_t to,
			       int64_t wait, uint32_t priority = 0)
{
	std::vector<int64_t> starts;

	for (int64_t now = from; now < to; now += 1000) {
		limit_request_t request = {wait, priority};
		admission_t admission = limit_admit(limit, 1.0, now, &request);

		if (admission.admitted)
			starts.push_back(admission.at);
	}
	return starts;
}

limit_t stated_limit(uint32_t per_ks, int64_t now)
{
	target_limit_t stated = {LIMIT_STATED, per_ks};
	limit_t limit = {};

	limit_apply(&limit, &stated, now, now);
	return limit;
}

// Guards against a burst that was saved up before the limit was stated or in a
// pause, and against requests that are admitted for a moment out of reach.
TEST(Limit, AdmitsAtTheStatedRate)
{
	for (uint32_t per_ks : {200u, 1000u, 2700u, 50000u}) {
		int64_t interval = 1000000000 / per_ks;
		limit_t limit = stated_limit(per_ks, 100 * USEC_PER_SEC);
		std::vector<int64_t> starts = admit_all(
			&limit, 100 * USEC_PER_SEC, 110 * USEC_PER_SEC, 250000);

		EXPECT_GE(starts.front(), 100 * USEC_PER_SEC + interval);
		for (size_t i = 1; i < starts.size(); i++)
			EXPECT_GE(starts[i] - starts[i - 1], interval - 1);
		EXPECT_NEAR((double)starts.size(), per_ks / 100.0,
			    1.0 + 0.25 * per_ks / 1000.0);
		EXPECT_LE(starts.back(), 110 * USEC_PER_SEC + 250000);
		starts = admit_all(&limit, 150 * USEC_PER_SEC,
				   154 * USEC_PER_SEC, 0);
		EXPECT_LE((double)starts.size(), per_ks * 4.5 / 1000.0 + 1.0);
	}
}

// Guards against refused requests that come again all at the same time, and
// against less urgent ones that take the times of urgent ones.
TEST(Limit, RefusedRequestsGetDifferentTimes)
{
	limit_t limit = stated_limit(1000, 0);
	limit_request_t later = {0, 2}, urgent = {0, 0};
	std::vector<int64_t> times;

	for (int i = 0; i < 3; i++)
		times.push_back(limit_admit(&limit, 1.0, 0, &later).at);
	EXPECT_GE(times[1] - times[0], 100000);
	EXPECT_GE(times[2] - times[1], 100000);
	EXPECT_LT(limit_admit(&limit, 1.0, 0, &urgent).at, times[0]);
	for (int i = 0; i < 1000; i++)
		EXPECT_LE(limit_admit(&limit, 1.0, 0, &later).at,
			  2 * LIMIT_WAIT_MAX_US);
}

// Guards against a limit that is ended or changed by news that is older than
// what is known, and against one that outlives its end.
TEST(Limit, NewestStatementHolds)
{
	const target_limit_t none = {LIMIT_NONE, 0}, two = {LIMIT_STATED, 2000},
			     three = {LIMIT_STATED, 3000};
	limit_t limit = {};
	int64_t t = 100 * USEC_PER_SEC;

	EXPECT_FALSE(limit_apply(&limit, &none, t, t));
	EXPECT_TRUE(limit_apply(&limit, &two, t, t));
	EXPECT_FALSE(limit_apply(&limit, &three, t - 1, t));
	EXPECT_EQ(limit.per_ks, 2000u);
	/* A response without a limit may have been overtaken. */
	EXPECT_FALSE(limit_apply(&limit, &none, t + 50000, t + 50000));
	EXPECT_FALSE(limit_apply(&limit, &two, t + 400000, t + 400000));
	EXPECT_FALSE(limit_apply(&limit, &none, t + 300000, t + 500000));
	EXPECT_TRUE(limit.stated);
	EXPECT_TRUE(limit_apply(&limit, &none, t + 600000, t + 600000));
	EXPECT_FALSE(limit.stated);
	EXPECT_FALSE(limit_apply(&limit, &three, t + 500000, t + 700000));
	EXPECT_TRUE(limit_apply(&limit, &three, t + 700000, t + 700000));
	EXPECT_EQ(limit.per_ks, 3000u);
}

// Guards against a raised limit that is held up by what was admitted under the
// lower one.
TEST(Limit, HigherValueIsNotHeldUp)
{
	const target_limit_t higher = {LIMIT_STATED, 10000};
	limit_t limit = stated_limit(0, 0);

	admit_all(&limit, 0, 20 * USEC_PER_SEC, LIMIT_WAIT_MAX_US);
	limit_apply(&limit, &higher, 20 * USEC_PER_SEC, 20 * USEC_PER_SEC);
	EXPECT_GE(admit_all(&limit, 20 * USEC_PER_SEC, 21 * USEC_PER_SEC, 0)
			  .size(),
		  8u);
}

// Guards against requests to a brittle target that has just turned one away,
// from this instance and from its peers.
TEST(Balance, BrittleTargetIsLeftAloneByAllAfterARejection)
{
	instance_t a("z1", 1), b("z1", 2);

	a.run(1000);
	b.run(1000);
	a.set_target("call", "t1", "z1");
	b.set_target("call", "t1", "z1");
	a.request(1, "call");
	a.report_brittle(0, 10);
	a.finish_request(0, PLACE_FULL);
	ASSERT_EQ(a.announced.size(), 1u);
	EXPECT_EQ(a.announced[0].kind, PEER_TARGET_FULL);
	b.receive_from_peer(a.announced[0]);
	a.request(2, "call");
	b.request(1, "call");
	EXPECT_EQ(a.placed.size(), 1u);
	EXPECT_TRUE(b.placed.empty());
	a.run(800 * USEC_PER_MSEC);
	a.request(3, "call");
	EXPECT_EQ(a.placed.size(), 2u);
}

TEST(Balance, RejectionOfATargetThatIsNotBrittleIsNotTold)
{
	instance_t a("z1", 1);

	a.run(1000);
	a.set_target("call", "t1", "z1");
	a.request(1, "call");
	a.report_brittle(0, 0);
	a.finish_request(0, PLACE_FULL);
	EXPECT_TRUE(a.announced.empty());
	a.request(2, "call");
	EXPECT_EQ(a.placed.size(), 2u);
}

TEST(Balance, BrittleTargetHasNoRequestsWaiting)
{
	instance_t a("z1", 1);

	a.run(1000);
	a.set_target("call", "t1", "z1", false, false, 2);
	a.request(1, "call");
	a.report_brittle(0, 10);
	a.request(2, "call");
	EXPECT_EQ(a.placed.size(), 2u);
	a.request(3, "call");
	EXPECT_EQ(a.placed.size(), 2u);
}

// Instances that share brittle targets, which get more than they have room for.
class BrittleWorld
{
      public:
	static constexpr int TARGETS = 4;
	static constexpr int ROOM = 6; // requests at a time
	static constexpr uint32_t BORNE = 5; // rejections a second
	static constexpr int64_t STEP = USEC_PER_MSEC;
	static constexpr int64_t WORK = 50 * USEC_PER_MSEC;
	static constexpr int64_t PEER_DELAY = 5 * USEC_PER_MSEC;
	static constexpr int64_t CONTACT = 3 * USEC_PER_SEC;

	BrittleWorld(int instances, bool stated) : is_stated(stated)
	{
		seen.resize((size_t)instances);
		for (int i = 0; i < instances; i++) {
			fleet.push_back(std::make_unique<instance_t>(
				"z1", (uint64_t)i + 1));
			fleet.back()->set_fleet_size((uint32_t)instances);
			for (int t = 0; t < TARGETS; t++)
				fleet.back()->set_target("call",
							 name(t).c_str(), "z1");
		}
	}
	// A request comes in each step, twice what there is room for.  Returns
	// how often a target turned too many away after CONTACT.
	int run(int64_t us)
	{
		for (now = STEP; now <= us; now += STEP) {
			for (auto &i : fleet)
				i->run(STEP);
			end_work();
			deliver();
			numbers++;
			fleet[(size_t)numbers % fleet.size()]->request(
				(uint32_t)numbers, "call");
			begin_work();
			announce();
		}
		return falls;
	}

      private:
	struct work_t {
		size_t instance, placement;
		int target;
		int64_t ends;
		bool rejected;
	};
	struct news_t {
		size_t from;
		int64_t arrives;
		peer_body_t body;
	};
	static std::string name(int target)
	{
		return "t" + std::to_string(target);
	}
	void begin_work()
	{
		for (size_t i = 0; i < fleet.size(); i++)
			for (; seen[i] < fleet[i]->placed.size(); seen[i]++) {
				int t = fleet[i]->placed[seen[i]].second[1] -
					'0';
				bool full = running[t] >= ROOM;

				running[t] += !full;
				if (full)
					reject(t);
				work.push_back({i, seen[i], t,
						now + (full ? STEP : WORK),
						full});
			}
	}
	void reject(int t)
	{
		std::vector<int64_t> &times = rejections[t];

		if (now < CONTACT)
			return;
		times.push_back(now);
		while (now - times.front() >= USEC_PER_SEC)
			times.erase(times.begin());
		if (times.size() <= BORNE)
			return;
		falls++;
		times.clear();
	}
	void end_work()
	{
		for (size_t w = 0; w < work.size();) {
			work_t done = work[w];

			if (done.ends > now) {
				w++;
				continue;
			}
			work.erase(work.begin() + (long)w);
			running[done.target] -= !done.rejected;
			fleet[done.instance]->report_brittle(
				done.placement, is_stated ? BORNE : 0);
			fleet[done.instance]->finish_request(
				done.placement,
				done.rejected ? PLACE_FULL : PLACE_OK);
		}
	}
	void announce()
	{
		for (size_t i = 0; i < fleet.size(); i++) {
			for (auto &body : fleet[i]->announced)
				news.push_back({i, now + PEER_DELAY, body});
			fleet[i]->announced.clear();
		}
	}
	void deliver()
	{
		for (size_t n = 0; n < news.size();) {
			news_t item = news[n];

			if (item.arrives > now) {
				n++;
				continue;
			}
			news.erase(news.begin() + (long)n);
			for (size_t i = 0; i < fleet.size(); i++)
				if (i != item.from)
					fleet[i]->receive_from_peer(item.body);
		}
	}
	bool is_stated;
	int64_t now = 0;
	int numbers = 0;
	int falls = 0;
	std::vector<std::unique_ptr<instance_t>> fleet;
	std::vector<size_t> seen;
	std::vector<work_t> work;
	std::vector<news_t> news;
	int running[TARGETS] = {};
	std::vector<int64_t> rejections[TARGETS];
};

// Guards against brittle targets that fall over since each instance sends
// little beyond their room, but all together send too much (LIMIT).
TEST(Balance, BrittleTargetsBearWhatAllInstancesSendTogether)
{
	for (int instances : {2, 10, 40}) {
		EXPECT_GT(BrittleWorld(instances, false).run(10 * USEC_PER_SEC),
			  2)
			<< instances;
		EXPECT_LE(BrittleWorld(instances, true).run(10 * USEC_PER_SEC),
			  2)
			<< instances;
	}
}

// An operator acts on the explanation, so it must name the target that the next
// request goes to.
TEST(Explain, NamesTheTargetOfTheNextRequest)
{
	instance_t i("a", 1);
	uint32_t number = 0;

	for (const char *id : {"e1", "e2", "e3", "e4", "e5"})
		i.set_target("engine", id, "a");
	i.set_target("engine", "far", "b");
	i.set_target("engine", "old", "a", true);
	for (uint64_t part = 10; part < 40; part++) {
		i.explain("engine", part);
		i.request(++number, "engine", part);
		ASSERT_EQ(i.placed.size(), number);
		EXPECT_TRUE(i.explains(
			"outcome=sent target=" + i.placed.back().second + " "))
			<< i.explanation << i.placed.back().second;
		EXPECT_TRUE(i.explains("target=old zone=a usable=no "
				       "reason=unavailable chosen=no "));
		i.finish_request(number - 1, PLACE_OK);
	}
}

// Asking must not change what happens to requests: it asks for no permit or
// report, counts nothing, and draws no random number.
TEST(Explain, HasNoEffect)
{
	instance_t a("a", 1), b("a", 1);

	for (instance_t *i : {&a, &b}) {
		i->run(1000);
		i->set_target("engine", "e1", "a");
		i->set_target("engine", "e2", "a");
		i->set_target("engine", "e3", "a");
		i->request(1, "engine", 7);
		i->request(2, "engine", 8);
		i->report(0, true, 0);
		i->report(1, false, 5000);
		/* A stream of a version would want its report. */
		i->finish_request(1, PLACE_RESET);
	}
	metrics_t before = *a.kernel.metrics;
	size_t told = a.announced.size();
	int64_t timer = kernel_next_timer(&a.kernel);

	for (uint64_t part = 10; part < 30; part++) {
		EXPECT_FALSE(a.explain("engine", part).empty());
		a.explain("engine", part, 2, "v1");
		a.explain("engine", part, 0, "v9");
		a.explain("call");
	}
	EXPECT_TRUE(a.explain("engine", 7, 0, "v1").find("reason=doubted") !=
		    std::string::npos)
		<< a.explanation;
	EXPECT_EQ(memcmp(&before, a.kernel.metrics, sizeof(before)), 0);
	EXPECT_EQ(a.announced.size(), told);
	EXPECT_EQ(kernel_next_timer(&a.kernel), timer);
	EXPECT_EQ(table_count(&a.balance.queue), 0u);
	EXPECT_EQ(table_count(&a.balance.asks), 0u);
	EXPECT_EQ(table_count(&a.balance.reports), 0u);
	EXPECT_EQ(a.reports, b.reports);
	EXPECT_EQ(g_hash_table_size(a.balance.flows),
		  g_hash_table_size(b.balance.flows));
	EXPECT_EQ(a.refused.size(), 0u);
	/* Both draw the same numbers from then on. */
	for (uint32_t number = 3; number < 9; number++)
		for (instance_t *i : {&a, &b})
			i->request(number, "engine", number * 100);
	EXPECT_EQ(a.placed, b.placed);
	EXPECT_EQ(kernel_random(&a.kernel), kernel_random(&b.kernel));
}

// Each reason to pass over a target, and each outcome, is told.
TEST(Explain, TellsReasonsAndOutcomes)
{
	instance_t i("a", 1);

	i.explain("engine");
	EXPECT_TRUE(i.explains("outcome=waits at_most_ms=100 "
			       "room_in_ms=unknown ahead=0 "));
	i.set_target("engine", "e1", "a", false, false, 1);
	i.explain("engine", 7, 0, "v9");
	EXPECT_TRUE(i.explains("reason=version "));
	EXPECT_TRUE(i.explains("outcome=refused reason=no_target "));
	i.request(1, "engine", 7);
	i.explain("engine", 7);
	EXPECT_TRUE(i.explains("usable=no reason=full ")) << i.explanation;
	EXPECT_TRUE(i.explains("outcome=waits ")) << i.explanation;
	i.request(2, "engine", 7);
	i.explain("engine", 7, 1);
	EXPECT_TRUE(i.explains(" ahead=1 ")) << i.explanation;
	i.report(0, false, 5000);
	i.explain("engine", 7);
	EXPECT_TRUE(i.explains("reason=paused ")) << i.explanation;
	EXPECT_TRUE(i.explains("outcome=refused reason=overloaded "))
		<< i.explanation;
	i.report(0, true, 0);
	i.explain("engine", 7);
	EXPECT_TRUE(i.explains("reason=leaving ")) << i.explanation;
}

// Instances that send requests to one target as far as its pace allows.
class PaceWorld
{
      public:
	static constexpr int64_t STEP = USEC_PER_MSEC;
	static constexpr int64_t USUAL = 50 * USEC_PER_MSEC;
	static constexpr int64_t PEER_DELAY = 3 * USEC_PER_MSEC;
	static constexpr uint32_t ROOM = 32;

	explicit PaceWorld(uint32_t count, uint32_t sides = 1)
	    : side_count(sides), paces(count), running(count)
	{
		for (pace_t &pace : paces)
			pace_begin(&pace, 0);
	}
	// asks_per_s: requests of each instance that might go to the target.
	// Below the usual time, the target fails at once.
	void run(int64_t us, double asks_per_s, int64_t answer_us)
	{
		int64_t end = now + us;

		while (now < end) {
			now += STEP;
			deliver();
			end_work();
			for (uint32_t i = 0; i < paces.size(); i++)
				if ((double)below(1000000) <
				    asks_per_s * (double)STEP)
					ask(i, answer_us);
			most = MAX(most, work.size());
		}
	}
	bool is_free() const
	{
		return std::none_of(paces.begin(), paces.end(),
				    [](const pace_t &p) { return p.active; });
	}
	uint32_t max_level() const
	{
		uint32_t level = 0;

		for (const pace_t &p : paces)
			level = MAX(level, p.active ? p.level : 99);
		return level;
	}
	int64_t now = 0;
	size_t sent = 0, asked = 0, answered = 0, most = 0, news_sent = 0;
	std::vector<size_t> silent; // instances whose requests go elsewhere

      private:
	struct work_t {
		uint32_t instance;
		int64_t sent_at, ends;
		pace_answer_t answer;
	};
	struct news_t {
		uint32_t from, level;
		int64_t arrives;
	};
	uint64_t below(uint64_t n)
	{
		random = random * 6364136223846793005ULL +
			 1442695040888963407ULL;
		return (random >> 33) % n;
	}
	void ask(uint32_t i, int64_t answer_us)
	{
		uint32_t count = (uint32_t)paces.size();
		pace_place_t place = {i / side_count, count / side_count, count,
				      running[i], USUAL};

		asked++;
		if (std::count(silent.begin(), silent.end(), i) > 0 ||
		    !pace_is_open(&paces[i], &place, now))
			return;
		sent++;
		running[i]++;
		work.push_back({i, now, now + answer_us,
				answer_us < USUAL
					? PACE_FAILED
					: pace_rate_answer(answer_us, USUAL)});
	}
	void end_work()
	{
		for (size_t w = 0; w < work.size();) {
			work_t done = work[w];
			pace_t *pace = &paces[done.instance];

			if (done.ends > now) {
				w++;
				continue;
			}
			work.erase(work.begin() + (long)w);
			running[done.instance]--;
			answered++;
			if (!pace->active && done.answer == PACE_FAILED)
				pace_begin(pace, now);
			if (pace_answered(pace, done.answer, done.sent_at, ROOM,
					  now)) {
				news_sent++;
				news.push_back(
					{done.instance,
					 pace->active ? pace->level : PACE_FREE,
					 now + PEER_DELAY});
			}
		}
	}
	void deliver()
	{
		for (size_t n = 0; n < news.size();) {
			news_t item = news[n];

			if (item.arrives > now) {
				n++;
				continue;
			}
			news.erase(news.begin() + (long)n);
			for (uint32_t i = 0; i < paces.size(); i++)
				if (i % side_count == item.from % side_count)
					pace_told(&paces[i], item.level, ROOM,
						  now);
		}
	}
	uint32_t side_count;
	uint64_t random = 1;
	std::vector<pace_t> paces;
	std::vector<uint32_t> running;
	std::vector<work_t> work;
	std::vector<news_t> news;
};

// Guards against a target that has just started and gets a request of each of
// 75 instances at once, and against one that stays restrained.
TEST(Pace, FloodedStartGrowsWithItsAnswers)
{
	PaceWorld world(75);

	world.run(40 * USEC_PER_MSEC, 1000.0, PaceWorld::USUAL);
	EXPECT_GE(world.sent, 1u);
	EXPECT_LE(world.most, 2u);
	world.run(70 * USEC_PER_MSEC, 1000.0, PaceWorld::USUAL);
	EXPECT_LE(world.most, 8u);
	while (!world.is_free() && world.now < 2 * USEC_PER_SEC) {
		world.run(PaceWorld::STEP, 1000.0, PaceWorld::USUAL);
		EXPECT_TRUE(world.is_free() ||
			    world.most <= 2 * PaceWorld::ROOM);
	}
	EXPECT_LE(world.now, 500 * USEC_PER_MSEC);
}

// Guards against a target that is left idle since the instances that may send
// first have no requests for it, and against one that needs many answers.
TEST(Pace, IdleStartOpensWithinAFewAnswers)
{
	PaceWorld quiet(75), absent(75);

	quiet.run(6 * USEC_PER_SEC, 0.2, PaceWorld::USUAL);
	EXPECT_TRUE(quiet.is_free());
	EXPECT_LE(quiet.news_sent, 6u);
	EXPECT_GE(quiet.sent * 2, quiet.asked);
	for (size_t i = 0; i < 40; i++)
		absent.silent.push_back(i);
	absent.run(4 * USEC_PER_SEC, 2.0, PaceWorld::USUAL);
	EXPECT_TRUE(absent.is_free());
	/* It has cached nothing yet. */
	PaceWorld uncached(75);
	uncached.run(10 * USEC_PER_SEC, 1.0, 2 * PaceWorld::USUAL);
	EXPECT_TRUE(uncached.is_free());
}

// Guards against a target that answers slowly and gets more and more, or
// nothing at all.
TEST(Pace, SlowTargetStaysRestrained)
{
	PaceWorld world(75);

	world.run(5 * USEC_PER_SEC, 100.0, 5 * PaceWorld::USUAL);
	EXPECT_EQ(world.max_level(), 0u);
	EXPECT_GE(world.answered, 15u);
	EXPECT_LE(world.most, 12u);
	world.run(USEC_PER_SEC, 100.0, PaceWorld::USUAL);
	EXPECT_TRUE(world.is_free());
}

// Guards against a window that stays as wide as it was when the target fails
// again.
TEST(Pace, TargetThatFailsAgainGetsLess)
{
	PaceWorld world(75);

	world.run(160 * USEC_PER_MSEC, 1000.0, PaceWorld::USUAL);
	ASSERT_GE(world.max_level(), 2u);
	ASSERT_FALSE(world.is_free());
	world.run(300 * USEC_PER_MSEC, 1000.0, 5 * USEC_PER_MSEC);
	EXPECT_EQ(world.max_level(), 0u);
	EXPECT_FALSE(world.is_free());
	world.run(USEC_PER_SEC, 1000.0, PaceWorld::USUAL);
	EXPECT_TRUE(world.is_free());
}

// Guards against sides of a partition that each use the whole window.
TEST(Pace, SidesOfAPartitionShareTheWindow)
{
	PaceWorld world(75, 3);

	world.run(45 * USEC_PER_MSEC, 1000.0, PaceWorld::USUAL);
	EXPECT_LE(world.most, 3u);
	world.run(55 * USEC_PER_MSEC, 1000.0, PaceWorld::USUAL);
	EXPECT_LE(world.most, 6u);
}

class Cache : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		caches_init(&caches, 0); // the least that is kept
		for (cache_t &cache : targets) {
			cache_init(&cache, &caches);
			cache.max_tokens = 1000000000;
		}
	}
	void TearDown() override
	{
		for (cache_t &cache : targets)
			cache_finish(&cache);
		EXPECT_EQ(caches.lru.length, 0u);
	}
	bool is_cached(size_t target, uint64_t id)
	{
		prompt_part_t part = {id, 0};

		return g_hash_table_contains(targets[target].parts, &part.id);
	}
	void add(size_t target, uint64_t id, uint32_t size)
	{
		prompt_part_t part = {id, size};

		cache_add(&targets[target], &part, 1);
	}
	caches_t caches = {};
	std::vector<cache_t> targets = std::vector<cache_t>(5);
};

// Requests with many parts of no or few tokens must not fill the memory, at
// whichever targets they are placed.
TEST_F(Cache, PartsOfAllTargetsAreBounded)
{
	for (uint64_t id = 0; id < 100000; id++)
		add(id % 5, id, id % 2 == 0 ? 0 : 1);
	EXPECT_EQ(caches.lru.length, caches.max_parts);
	guint held = 0;
	for (cache_t &cache : targets)
		held += g_hash_table_size(cache.parts);
	EXPECT_EQ(held, caches.max_parts);
}

// Parts that are in use must outlive a flood of others.
TEST_F(Cache, PartThatIsUsedStays)
{
	for (uint64_t id = 1000; id < 100000; id++) {
		add(id % 5, id, 1);
		if (id % 500 == 0)
			add(2, 1, 600);
	}
	EXPECT_TRUE(is_cached(2, 1));
	EXPECT_FALSE(is_cached(2, 1002));
}

// A target that holds fewer tokens than the parts have keeps the latest ones.
TEST_F(Cache, TokensOfATargetAreBounded)
{
	targets[0].max_tokens = 1000;
	for (uint64_t id = 0; id < 20; id++)
		add(0, id, 100);
	EXPECT_EQ(targets[0].tokens, 1000);
	EXPECT_FALSE(is_cached(0, 9));
	EXPECT_TRUE(is_cached(0, 10));
	cache_clear(&targets[0]);
	EXPECT_EQ(targets[0].tokens, 0);
	EXPECT_EQ(caches.lru.length, 0u);
}

} // namespace
