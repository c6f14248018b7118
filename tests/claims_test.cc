// Tests of the claims service: group commit, lost replies, deadlines, replays.
#include "claims/claims.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

// Records the store calls of the claims service; each test replies to them.
class ClaimsTest : public ::testing::Test
{
      protected:
	static void on_store(void *self, msg_t *msg)
	{
		auto *test = static_cast<ClaimsTest *>(self);
		if (msg->kind == MSG_STORE_LEASE) {
			test->lease_calls++;
			test->reply(msg->id, store_result_new(STORE_OK), 7);
		} else if (msg->kind == MSG_STORE_TXN) {
			test->calls.push_back(*msg);
			msg->u.store_txn = nullptr;
		}
	}
	static void on_result(void *self, msg_t *msg)
	{
		auto *test = static_cast<ClaimsTest *>(self);
		if (msg->kind == MSG_CLAIM_RESULT) {
			test->results.push_back(*msg);
			msg->u.claimed.outcome.body = nullptr;
		} else if (msg->kind == MSG_CLAIM_STORED) {
			test->stored_replies.push_back(
				msg->u.claim_stored.stored);
		} else if (msg->kind == MSG_STOPPED) {
			test->stopped_count++;
		}
	}
	void SetUp() override
	{
		claims_opts_t opts;
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		store = kernel_register(&kernel, "store", on_store, this);
		request = kernel_register(&kernel, "request", on_result, this);
		kernel_register(&kernel, "router", on_result, this);
		claims_opts_defaults(&opts);
		g_strlcpy(opts.incarnation, "me", INCARNATION_SIZE);
		opts.max_outcome_bytes = 100;
		claims_init(&claims, &kernel, &opts);
		kernel_start(&kernel);
		advance(0);
	}
	void TearDown() override
	{
		for (auto &call : calls)
			msg_clear(&call);
		for (auto &result : results)
			msg_clear(&result);
		claims_finish(&claims);
		kernel_finish(&kernel);
	}
	void advance(int64_t ms)
	{
		kernel_run_until(&kernel,
				 kernel_now(&kernel) + ms * USEC_PER_MSEC);
	}
	void begin(const char *key, const char *fingerprint = "f",
		   int64_t ms = 1000)
	{
		msg_t msg = {};
		msg.kind = MSG_CLAIM_BEGIN;
		msg.id = {++claims_begun, 1};
		g_strlcpy(msg.u.claim.client_account, "acme", NAME_SIZE);
		g_strlcpy(msg.u.claim.idem_key, key, IDEM_KEY_SIZE);
		g_strlcpy(msg.u.claim.fingerprint, fingerprint, HASH_SIZE);
		msg.u.claim.deadline = kernel_now(&kernel) + ms * USEC_PER_MSEC;
		kernel_post(&kernel, request, claims.self, &msg);
		advance(0);
	}
	void post(msg_kind_t kind, handle_t claim, size_t bytes = 0)
	{
		msg_t msg = {};
		msg.kind = kind;
		msg.ref = claim;
		if (kind == MSG_CLAIM_DONE)
			msg.u.claim_done.outcome.body =
				g_bytes_new_take(g_strnfill(bytes, 'x'), bytes);
		kernel_post(&kernel, request, claims.self, &msg);
		advance(0);
	}
	void reply(handle_t ref, store_result_t *result, int64_t lease = 0)
	{
		msg_t msg = {};
		msg.kind = MSG_STORE_RESULT;
		msg.ref = ref;
		msg.u.store_result = result;
		result->lease = lease;
		kernel_post(&kernel, store, claims.self, &msg);
	}
	void complete_call(size_t call, store_status_t status,
			   bool commit = true)
	{
		store_result_t *result = store_result_new(status);
		result->revision = ++revision;
		for (guint i = 0; i < calls[call].u.store_txn->group_count; i++)
			g_array_append_val(result->committed, commit);
		reply(calls[call].id, result);
		advance(0);
	}
	// Replies that the call did not commit because the key holds the
	// record.
	void conflict(size_t call, const record_t *record)
	{
		store_result_t *result = store_result_new(STORE_OK);
		bool committed = false;
		result->revision = ++revision;
		g_array_append_val(result->committed, committed);
		store_result_add(result, 0, op(call).key, revision, record);
		reply(calls[call].id, result);
		advance(0);
	}
	const store_op_t &op(size_t call, guint i = 0)
	{
		return g_array_index(calls[call].u.store_txn->ops, store_op_t,
				     i);
	}
	claim_result_t last_result()
	{
		return results.back().u.claimed.result;
	}
	kernel_t kernel;
	claims_svc_t claims;
	svc_t store, request;
	std::vector<msg_t> calls, results;
	std::vector<bool> stored_replies;
	int lease_calls = 0, stopped_count = 0;
	uint32_t claims_begun = 0;
	int64_t revision = 10;
};

// A key with '/' must not address a record of another client account.
TEST_F(ClaimsTest, StoreKeyIsEscaped)
{
	char key[STORE_KEY_SIZE];
	ASSERT_TRUE(claims_store_key("acme", "a/b %", key));
	EXPECT_STREQ(key, "claim/acme/a%2Fb%20%25");
	std::string longest(IDEM_KEY_SIZE - 1, '/');
	EXPECT_FALSE(claims_store_key("acme", longest.c_str(), key));
	EXPECT_FALSE(claims_store_key("acme", "", key));
}

// Claims that arrive during a call share the next call, at most 100 in each.
TEST_F(ClaimsTest, GroupCommitIsBounded)
{
	begin("first");
	for (int i = 0; i < 150; i++)
		begin(std::to_string(i).c_str());
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_TRUE(results.empty());
	complete_call(0, STORE_OK);
	EXPECT_EQ(last_result(), CLAIM_OWNED);
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_EQ(calls[1].u.store_txn->group_count, 100u);
	complete_call(1, STORE_OK);
	EXPECT_EQ(calls[2].u.store_txn->group_count, 50u);
	EXPECT_EQ(lease_calls, 1);
}

// After a lost reply the claim must be owned exactly once.
TEST_F(ClaimsTest, CommitWithLostReplyIsFoundByItsOperation)
{
	begin("k");
	complete_call(0, STORE_UNKNOWN);
	EXPECT_TRUE(results.empty());
	advance(100);
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_TRUE(op_id_equal(&op(0).record.u.claim.op,
				&op(1).record.u.claim.op));
	conflict(1, &op(0).record);
	EXPECT_EQ(last_result(), CLAIM_OWNED);
}

// A claim that commits after its deadline must be aborted, not owned.
TEST_F(ClaimsTest, LateCommitIsAborted)
{
	begin("k", "f", 50);
	advance(60);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(last_result(), CLAIM_STORE_UNAVAILABLE);
	complete_call(0, STORE_OK);
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_EQ(op(1).record.u.claim.state, CLAIM_ABORTED);
	EXPECT_EQ(op(1).expect, revision);
	complete_call(1, STORE_OK);
	EXPECT_EQ(results.size(), 1u);
}

// After a call that certainly had no effect, the claim must be refused at once.
TEST_F(ClaimsTest, UnavailableStoreIsReportedAtOnce)
{
	begin("k");
	complete_call(0, STORE_UNAVAILABLE);
	EXPECT_EQ(last_result(), CLAIM_STORE_UNAVAILABLE);
}

// When an outage loses replies, a caller must not wait until its deadline.
TEST_F(ClaimsTest, WaitForAnUnknownResultIsBounded)
{
	begin("k", "f", 60000);
	complete_call(0, STORE_UNKNOWN);
	EXPECT_TRUE(results.empty());
	advance(3000);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(last_result(), CLAIM_STORE_UNAVAILABLE);
}

// Each state of an existing record must lead to its own result.
TEST_F(ClaimsTest, RecordsOfEarlierClaims)
{
	record_t found = {};
	found.kind = RECORD_CLAIM;
	g_strlcpy(found.u.claim.fingerprint, "f", HASH_SIZE);
	found.u.claim.state = CLAIM_OPEN;
	begin("open");
	conflict(0, &found);
	EXPECT_EQ(last_result(), CLAIM_IN_DOUBT);
	found.u.claim.state = CLAIM_FINISHED;
	found.u.claim.outcome.status = 201;
	begin("finished");
	conflict(1, &found);
	EXPECT_EQ(last_result(), CLAIM_REPLAY);
	EXPECT_EQ(results.back().u.claimed.outcome.status, 201u);
	begin("other", "g");
	conflict(2, &found);
	EXPECT_EQ(last_result(), CLAIM_MISMATCH);
	found.u.claim.state = CLAIM_ABORTED;
	begin("aborted");
	conflict(3, &found);
	EXPECT_EQ(op(4).expect, revision);
	complete_call(4, STORE_OK);
	EXPECT_EQ(last_result(), CLAIM_OWNED);
}

// A second request with the same key must not be dispatched while the first one
// runs.
TEST_F(ClaimsTest, RepeatWhileRunningIsInDoubtThenReplayed)
{
	begin("k");
	complete_call(0, STORE_OK);
	handle_t claim = results[0].id;
	begin("k");
	EXPECT_EQ(last_result(), CLAIM_IN_DOUBT);
	begin("k", "g");
	EXPECT_EQ(last_result(), CLAIM_MISMATCH);
	post(MSG_CLAIM_DONE, claim, 5);
	begin("k");
	EXPECT_EQ(last_result(), CLAIM_REPLAY);
	// After the outcome, an abort must not free the key.
	complete_call(1, STORE_UNAVAILABLE);
	post(MSG_CLAIM_ABORT, claim);
	advance(3000);
	ASSERT_EQ(calls.size(), 3u);
	EXPECT_EQ(op(2).record.u.claim.state, CLAIM_FINISHED);
}

// Outcomes must be kept during an outage, within bounded memory.
TEST_F(ClaimsTest, OutcomesSurviveAnOutageAndAreBounded)
{
	for (const char *key : {"a", "b", "c"}) {
		begin(key);
		complete_call(calls.size() - 1, STORE_OK);
	}
	post(MSG_CLAIM_DONE, results[0].id, 60);
	complete_call(3, STORE_UNAVAILABLE);
	post(MSG_CLAIM_DONE, results[1].id, 40);
	EXPECT_TRUE(stored_replies.empty());
	post(MSG_CLAIM_DONE, results[2].id, 40); // evicts "a"
	EXPECT_EQ(stored_replies, (std::vector<bool>{false}));
	advance(3000);
	ASSERT_EQ(calls.size(), 5u);
	EXPECT_EQ(calls[4].u.store_txn->group_count, 2u);
	complete_call(4, STORE_OK);
	EXPECT_EQ(stored_replies, (std::vector<bool>{false, true, true}));
}

// A planned stop must wait for outcomes, but only for a limited time.
TEST_F(ClaimsTest, StopWaitsForWritesUpToALimit)
{
	begin("k");
	complete_call(0, STORE_OK);
	kernel_stop(&kernel);
	advance(100);
	EXPECT_EQ(stopped_count, 0);
	post(MSG_CLAIM_DONE, results[0].id, 5);
	EXPECT_EQ(stopped_count, 0);
	advance(11000);
	EXPECT_EQ(stopped_count, 1);
	complete_call(1, STORE_OK);
	EXPECT_EQ(stopped_count, 1);
}

} // namespace
