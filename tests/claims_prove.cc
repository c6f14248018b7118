// Property test of the claims service: at most one router runs a claim, and a
// replay returns the outcome of that run (reported as promises 5 and 3).
#include "claims/claims.h"
#include "tests/prove_world.h"

#include <gtest/gtest.h>

namespace
{

struct Run {
	int count = 0;
	std::string outcome;
};

struct ClaimWorld : World {
	using World::World;
	std::map<std::string, Run> runs; // by idempotency key
	std::vector<std::pair<std::string, int64_t>>
		claims_begun; // key, deadline
	uint64_t result_counts[5] = {};
};

struct Router : Node {
	claims_svc_t claims;
	svc_t request;

	static void receive(void *self, msg_t *msg)
	{
		auto *router = static_cast<Router *>(self);
		if (msg->kind == MSG_CLAIM_RESULT)
			router->on_claim_result(msg);
	}
	static void store(void *self, msg_t *msg)
	{
		auto *router = static_cast<Router *>(self);
		router->world->store_call(router, msg);
	}
	void start_services() override
	{
		claims_opts_t opts;
		claims_opts_defaults(&opts);
		g_strlcpy(opts.incarnation, incarnation, INCARNATION_SIZE);
		register_fake("store", store);
		request = register_fake("request", receive);
		claims_init(&claims, &kernel, &opts);
	}
	void stop_services() override
	{
		claims_finish(&claims);
	}
	void begin_claim(const std::string &key, const std::string &fingerprint)
	{
		auto *w = static_cast<ClaimWorld *>(world);
		msg_t msg = {};
		msg.kind = MSG_CLAIM_BEGIN;
		w->claims_begun.emplace_back(key, w->now + w->rng.ms(50, 800));
		msg.id = {(uint32_t)w->claims_begun.size(), 1};
		g_strlcpy(msg.u.claim.client_account, "acme", NAME_SIZE);
		g_strlcpy(msg.u.claim.idem_key, key.c_str(), IDEM_KEY_SIZE);
		g_strlcpy(msg.u.claim.fingerprint, fingerprint.c_str(),
			  HASH_SIZE);
		msg.u.claim.deadline = w->claims_begun.back().second;
		post_after(0, request, claims.self, msg);
	}
	void on_claim_result(msg_t *msg)
	{
		auto *w = static_cast<ClaimWorld *>(world);
		auto &claim = w->claims_begun[msg->ref.index - 1];
		Run &run = w->runs[claim.first];
		msg_t reply = {};

		w->result_counts[msg->u.claimed.result]++;
		if (msg->u.claimed.result == CLAIM_REPLAY) {
			GBytes *body = msg->u.claimed.outcome.body;
			gsize size = 0;
			auto *data = static_cast<const char *>(
				g_bytes_get_data(body, &size));
			w->tally.checks[3]++;
			if (std::string(data, size) != run.outcome)
				w->tally.violations[3]++;
		}
		if (msg->u.claimed.result != CLAIM_OWNED)
			return;
		reply.ref = msg->id;
		if (w->rng.percent(15)) {
			reply.kind = MSG_CLAIM_ABORT;
		} else {
			w->tally.checks[5]++;
			// A claim owned after its deadline is a violation too.
			if (++run.count > 1 || w->now >= claim.second)
				w->tally.violations[5]++;
			run.outcome =
				claim.first + "/" + std::to_string(w->now);
			reply.kind = MSG_CLAIM_DONE;
			reply.u.claim_done.outcome.status = 200;
			reply.u.claim_done.outcome.body = g_bytes_new(
				run.outcome.data(), run.outcome.size());
			if (w->rng.percent(10)) {
				msg_clear(&reply);
				reply.kind = MSG_CLAIM_ABANDON;
			}
		}
		post_after(w->rng.ms(0, 40), request, claims.self, reply);
	}
};

Tally schedule(uint64_t seed, int steps, bool ignore_expect,
	       uint64_t *result_counts)
{
	ClaimWorld w(seed);
	Router routers[2];

	w.ignore_revisions = ignore_expect;
	for (Router &router : routers) {
		router.world = &w;
		w.nodes.push_back(&router);
		router.start();
	}
	w.plan_faults(5000 * MS);
	for (int i = 0; i < steps; i++) {
		int64_t when = w.rng.ms(0, 5000);
		uint64_t recipient = w.rng.below(3);
		std::string key = "k/" + std::to_string(w.rng.below(8));
		std::string fingerprint = w.rng.percent(90) ? "f" : "g";
		w.after(when, [&, recipient, key, fingerprint]() {
			for (uint64_t r = 0; r < 2; r++)
				if ((recipient == r || recipient == 2) &&
				    routers[r].up)
					routers[r].begin_claim(key,
							       fingerprint);
		});
	}
	w.run(20000 * MS);
	for (int i = 0; i < 5; i++)
		result_counts[i] += w.result_counts[i];
	for (Router &router : routers)
		router.crash();
	return w.tally;
}

TEST(Prove, ClaimRunsAtMostOnceAndReplaysItsOutcome)
{
	uint64_t result_counts[5] = {};
	Tally tally = check_schedules(
		"claims", {3, 5}, 1, 400, 40, [&](uint64_t seed, int steps) {
			return schedule(seed, steps, false, result_counts);
		});
	EXPECT_EQ(tally.violations[3], 0u);
	EXPECT_EQ(tally.violations[5], 0u);
	if (getenv("SEEDS") == nullptr) {
		for (uint64_t count : result_counts)
			EXPECT_GT(count, 100u); // each result occurred
	}
}

// The checks must detect a store that commits without comparing revisions.
TEST(Prove, DetectsStoreThatIgnoresRevisions)
{
	uint64_t result_counts[5] = {};
	Tally tally = check_schedules(
		"claims", {3, 5}, 1, 20, 40,
		[&](uint64_t seed, int steps) {
			return schedule(seed, steps, true, result_counts);
		},
		false);
	EXPECT_GT(tally.violations[5], 0u);
}

} // namespace
