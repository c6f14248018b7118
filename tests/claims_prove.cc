// Property test of the claims service: at most one holder runs a claim, and
// a replay gives the outcome of that run (promises 3 and 5).
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
	std::vector<std::pair<std::string, int64_t>> asked; // key, deadline
	uint64_t results[5] = {};
};

struct Holder : Node {
	claims_svc_t claims;
	svc_t request;

	static void receive(void *self, msg_t *msg)
	{
		auto *holder = static_cast<Holder *>(self);
		if (msg->kind == MSG_CLAIM_RESULT)
			holder->claimed(msg);
	}
	static void store(void *self, msg_t *msg)
	{
		auto *holder = static_cast<Holder *>(self);
		holder->world->store_call(holder, msg);
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
	void ask(const std::string &key, const std::string &fingerprint)
	{
		auto *w = static_cast<ClaimWorld *>(world);
		msg_t msg = {};
		msg.kind = MSG_CLAIM_BEGIN;
		w->asked.emplace_back(key, w->now + w->rng.ms(50, 800));
		msg.id = {(uint32_t)w->asked.size(), 1};
		g_strlcpy(msg.u.claim.client_account, "acme", NAME_SIZE);
		g_strlcpy(msg.u.claim.idem_key, key.c_str(), IDEM_KEY_SIZE);
		g_strlcpy(msg.u.claim.fingerprint, fingerprint.c_str(),
			  HASH_SIZE);
		msg.u.claim.deadline = w->asked.back().second;
		post_after(0, request, claims.self, msg);
	}
	void claimed(msg_t *msg)
	{
		auto *w = static_cast<ClaimWorld *>(world);
		auto &ask = w->asked[msg->ref.index - 1];
		Run &run = w->runs[ask.first];
		msg_t reply = {};

		w->results[msg->u.claimed.result]++;
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
			// Owned after the deadline counts as a violation too.
			if (++run.count > 1 || w->now >= ask.second)
				w->tally.violations[5]++;
			run.outcome = ask.first + "/" + std::to_string(w->now);
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

Tally schedule(uint64_t seed, int steps, bool ignore_expect, uint64_t *results)
{
	ClaimWorld w(seed);
	Holder holders[2];

	w.ignore_revisions = ignore_expect;
	for (Holder &holder : holders) {
		holder.world = &w;
		w.nodes.push_back(&holder);
		holder.start();
	}
	w.plan_faults(5000 * MS);
	for (int i = 0; i < steps; i++) {
		int64_t when = w.rng.ms(0, 5000);
		uint64_t who = w.rng.below(3);
		std::string key = "k/" + std::to_string(w.rng.below(8));
		std::string print = w.rng.percent(90) ? "f" : "g";
		w.after(when, [&, who, key, print]() {
			for (uint64_t h = 0; h < 2; h++)
				if ((who == h || who == 2) && holders[h].up)
					holders[h].ask(key, print);
		});
	}
	w.run(20000 * MS);
	for (int i = 0; i < 5; i++)
		results[i] += w.results[i];
	for (Holder &holder : holders)
		holder.crash();
	return w.tally;
}

TEST(Prove, ClaimIsRunAtMostOnceAndReplaysItsOutcome)
{
	uint64_t results[5] = {};
	Tally tally = check_schedules(
		"claims", {3, 5}, 1, 400, 40, [&](uint64_t seed, int steps) {
			return schedule(seed, steps, false, results);
		});
	EXPECT_EQ(tally.violations[3], 0u);
	EXPECT_EQ(tally.violations[5], 0u);
	if (getenv("SEEDS") == nullptr) {
		for (uint64_t count : results)
			EXPECT_GT(count, 100u); // each answer was given
	}
}

// The check must see a store that commits without comparing revisions.
TEST(Prove, CatchesAStoreThatIgnoresExpectations)
{
	uint64_t results[5] = {};
	Tally tally = check_schedules(
		"claims", {3, 5}, 1, 20, 40,
		[&](uint64_t seed, int steps) {
			return schedule(seed, steps, true, results);
		},
		false);
	EXPECT_GT(tally.violations[5], 0u);
}

} // namespace
