// Tests of the request service: admission, retries, hedges, billing before the
// last byte, claims, callers that disconnect, and quarantine.
#include "tests/request_conf.h"

#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace
{

// Records the messages to all other services; each test replies to them.
class RequestTest : public ::testing::Test
{
      protected:
	static void record_msg(void *self, msg_t *msg)
	{
		auto *test = static_cast<RequestTest *>(self);
		test->received[msg->kind].push_back(*msg);
		if (msg->kind == MSG_REPLY_DATA)
			test->body += text(msg->u.data.bytes);
		if (msg->kind == MSG_CLAIM_DONE) {
			GBytes *bytes = msg->u.claim_done.outcome.body;
			test->outcome = bytes == nullptr ? "none" : text(bytes);
		}
	}
	static std::string text(GBytes *bytes)
	{
		gsize size;
		auto *data = g_bytes_get_data(bytes, &size);
		return std::string(static_cast<const char *>(data), size);
	}
	void SetUp() override
	{
		request_opts_t opts;
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		for (const char *name :
		     {"front", "claims", "ledger", "route", "dispatch", "conf",
		      "store", "peer", "router"})
			kernel_register(&kernel, name, record_msg, this);
		front = kernel_find(&kernel, "front");
		request_opts_defaults(&opts);
		g_strlcpy(opts.incarnation, "me", INCARNATION_SIZE);
		request_init(&request, &kernel, &opts);
		kernel_start(&kernel);
		msg_t conf = make_msg(MSG_CONF_CHANGED, HANDLE_NONE);
		conf.u.conf = request_conf(4);
		send(conf);
	}
	void TearDown() override
	{
		request_finish(&request);
		kernel_finish(&kernel);
	}
	static msg_t make_msg(msg_kind_t kind, handle_t ref,
			      handle_t id = HANDLE_NONE)
	{
		msg_t msg = {};
		msg.kind = kind;
		msg.ref = ref;
		msg.id = id;
		return msg;
	}
	void send(msg_t msg)
	{
		kernel_post(&kernel, front, request.self, &msg);
		advance(0);
	}
	void advance(int64_t ms)
	{
		kernel_run_until(&kernel,
				 kernel_now(&kernel) + ms * USEC_PER_MSEC);
	}
	size_t count(msg_kind_t kind)
	{
		return received[kind].size();
	}
	const msg_t &last(msg_kind_t kind)
	{
		EXPECT_FALSE(received[kind].empty()) << "kind " << kind;
		if (received[kind].empty())
			received[kind].emplace_back();
		return received[kind].back();
	}
	void open(request_spec_t *spec)
	{
		msg_t msg =
			make_msg(MSG_REQ_OPEN, HANDLE_NONE, {++last_index, 1});
		msg.u.open = spec;
		send(msg);
	}
	void open_chat(bool stream = false, const char *fingerprint = "f")
	{
		request_spec_t *spec = request_spec(true, "k", fingerprint);
		spec->stream = stream;
		open(spec);
	}
	void reserved(reserve_result_t result = RESERVE_OK)
	{
		msg_t msg = make_msg(MSG_RESERVED, last(MSG_RESERVE).id,
				     {++last_index, 2});
		msg.u.reserved.result = result;
		send(msg);
	}
	// Assigns a target to the newest attempt and returns the attempt's
	// handle.
	handle_t picked(uint32_t target = 1)
	{
		handle_t attempt = last(MSG_ROUTE_REQUEST).id;
		msg_t msg = make_msg(MSG_ROUTE_ASSIGNED, attempt,
				     {++last_index, 3});
		msg.u.assigned.target = {target, 1};
		send(msg);
		send(make_msg(MSG_SEND_STARTED, attempt, {++last_index, 4}));
		return attempt;
	}
	void head(handle_t attempt, uint32_t status = 200,
		  const char *type = "")
	{
		msg_t msg = make_msg(MSG_TARGET_HEAD, attempt);
		msg.u.target_head.status = status;
		g_strlcpy(msg.u.target_head.content_type, type,
			  sizeof(msg.u.target_head.content_type));
		send(msg);
	}
	void data(handle_t attempt, const std::string &bytes,
		  int64_t tokens = 1, bool marker = false)
	{
		msg_t msg = make_msg(MSG_TARGET_DATA, attempt);
		msg.u.target_data.marker = marker;
		msg.u.target_data.bytes =
			g_bytes_new(bytes.data(), bytes.size());
		msg.u.target_data.tokens = tokens;
		send(msg);
	}
	void end(handle_t attempt)
	{
		msg_t msg = make_msg(MSG_TARGET_END, attempt);
		msg.u.target_end.usage_known = true;
		msg.u.target_end.prompt_tokens = 5;
		msg.u.target_end.completion_tokens = 3;
		send(msg);
	}
	void failed(handle_t attempt, failure_t failure, bool reset = false,
		    bool not_run = false)
	{
		msg_t msg = make_msg(MSG_TARGET_FAILED, attempt);
		msg.u.target_failed.failure = failure;
		msg.u.target_failed.reset = reset;
		msg.u.target_failed.not_run = not_run;
		send(msg);
	}
	void billed(bill_result_t result = BILL_RECORDED)
	{
		msg_t msg = make_msg(MSG_BILLED, last(MSG_BILL).id);
		msg.u.billed.result = result;
		send(msg);
	}
	void claimed(claim_result_t result, const char *stored = nullptr)
	{
		msg_t msg = make_msg(MSG_CLAIM_RESULT, last(MSG_CLAIM_BEGIN).id,
				     {77, 1});
		msg.u.claimed.result = result;
		msg.u.claimed.outcome.status = 200;
		if (stored != nullptr)
			msg.u.claimed.outcome.body =
				g_bytes_new(stored, strlen(stored));
		send(msg);
	}
	// Opens a request whose complete response waits for its bill.
	void open_complete()
	{
		open_chat();
		reserved();
		handle_t attempt = picked();
		head(attempt);
		data(attempt, "one");
		end(attempt);
	}
	void stop(int64_t ms)
	{
		msg_t msg = make_msg(MSG_STOP, HANDLE_NONE);
		msg.u.stop.deadline = kernel_now(&kernel) + ms * USEC_PER_MSEC;
		send(msg);
	}
	void expect_refused(refusal_t reason, run_state_t run)
	{
		EXPECT_STREQ(
			refusal_name(last(MSG_REPLY_REFUSED).u.refused.reason),
			refusal_name(reason));
		EXPECT_EQ(last(MSG_REPLY_REFUSED).u.refused.run, run);
		EXPECT_GT(kernel.metrics->refusals[reason], 0u);
	}
	kernel_t kernel;
	request_svc_t request;
	svc_t front;
	std::map<int, std::vector<msg_t>> received;
	std::string body, outcome;
	uint32_t last_index = 0;
};

// The last byte must not be sent before the bill is recorded.
TEST_F(RequestTest, LastChunkAndEndWaitForTheBill)
{
	open_chat(true);
	EXPECT_EQ(last(MSG_RESERVE).u.reserve.tokens, 120);
	reserved();
	handle_t attempt = picked();
	head(attempt);
	data(attempt, "one ");
	EXPECT_EQ(body, "");
	data(attempt, "two");
	EXPECT_EQ(body, "one ");
	end(attempt);
	EXPECT_EQ(last(MSG_BILL).u.bill.tokens, 8);
	EXPECT_EQ(count(MSG_REPLY_END), 0u);
	billed();
	EXPECT_EQ(body, "one two");
	EXPECT_EQ(last(MSG_REPLY_END).u.end.billed_tokens, 8);
	EXPECT_EQ(count(MSG_ROUTE_DONE), 1u);
	EXPECT_EQ(count(MSG_ROUTE_FIRST_BYTE), 1u);
	EXPECT_EQ(table_count(&request.requests), 0u);
	EXPECT_EQ(table_count(&request.attempts), 0u);
}

// Tokens of an event stream must not reach the caller one interval late, and
// the end marker must not be sent before the bill is recorded.
// Guards against bodies of requests in progress that no limit counts.
TEST_F(RequestTest, BodyCountsUntilItsRequestEnds)
{
	const uint64_t *held = &kernel.buffers.held[BUFFER_RUNNING];

	open_chat(true);
	EXPECT_GT(*held, 0u);
	reserved();
	handle_t attempt = picked();
	head(attempt);
	data(attempt, "one");
	EXPECT_GT(*held, 0u);
	end(attempt);
	billed();
	EXPECT_EQ(*held, 0u);
}

TEST_F(RequestTest, EventStreamIsForwardedAtOnceExceptItsEndMarker)
{
	open_chat(true);
	reserved();
	handle_t attempt = picked();
	head(attempt, 200, "text/event-stream; charset=utf-8");
	data(attempt, "one ");
	EXPECT_EQ(body, "one ");
	data(attempt, "[DONE]", 0, true);
	data(attempt, "\n\n", 0, true);
	EXPECT_EQ(body, "one ");
	end(attempt);
	EXPECT_EQ(body, "one ");
	billed();
	EXPECT_EQ(body, "one [DONE]\n\n");
}

// Unknown and disabled keys must get the same refusal.
TEST_F(RequestTest, AdmissionRefusals)
{
	for (const char *key : {"nobody", "disabled"}) {
		request_spec_t *spec = request_spec(true, "k", "f");
		g_strlcpy(spec->key_hash, key, HASH_SIZE);
		open(spec);
		expect_refused(REFUSAL_UNAUTHENTICATED, RUN_NOT_RUN);
	}
	request_spec_t *spec = request_spec(false, "k", "f");
	g_strlcpy(spec->path, "/ordering", PATH_SIZE);
	open(spec);
	expect_refused(REFUSAL_NO_SERVICE, RUN_NOT_RUN);
	spec = request_spec(true, "k", "f");
	g_bytes_unref(spec->body);
	spec->body = g_bytes_new_take(g_malloc0(1001), 1001);
	open(spec);
	expect_refused(REFUSAL_TOO_LARGE, RUN_NOT_RUN);
	for (int i = 0; i < 5; i++)
		open_chat();
	expect_refused(REFUSAL_TOO_MANY_REQUESTS, RUN_NOT_RUN);
	reserved(RESERVE_SPENT);
	expect_refused(REFUSAL_BUDGET_SPENT, RUN_NOT_RUN);
	open_chat();
	EXPECT_EQ(count(MSG_RESERVE), 5u);
}

// A retry must avoid the failed target, and late data of the first attempt
// must not reach the caller.
TEST_F(RequestTest, RetryAvoidsTheTargetAndDropsLateData)
{
	open_chat();
	reserved();
	handle_t first = picked(9);
	head(first);
	data(first, "lost");
	failed(first, FAILURE_STREAM);
	advance(100);
	ASSERT_EQ(count(MSG_ROUTE_REQUEST), 2u);
	EXPECT_EQ(last(MSG_ROUTE_REQUEST).u.route.avoid_count, 1u);
	EXPECT_EQ(last(MSG_ROUTE_REQUEST).u.route.avoid[0].index, 9u);
	handle_t second = picked();
	head(first);
	data(first, "late");
	end(first);
	head(second);
	data(second, "good");
	end(second);
	billed();
	EXPECT_EQ(body, "good");
	EXPECT_EQ(kernel.metrics->retries[FAILURE_STREAM], 1u);
}

// The run state must be not_run only after failures that prove it.
TEST_F(RequestTest, RunStateAfterRetries)
{
	request.retry_budget.credit = 2 * RETRY_UNIT;
	request.retry_budget.ratio = 0;
	open_chat();
	reserved();
	failed(picked(), FAILURE_CONNECT);
	advance(100);
	failed(picked(), FAILURE_OVERLOADED, false, true);
	advance(100);
	failed(picked(), FAILURE_CONNECT);
	expect_refused(REFUSAL_RETRIES_SPENT, RUN_NOT_RUN);
	request.retry_budget.credit = RETRY_UNIT;
	open_chat();
	reserved();
	failed(picked(), FAILURE_SENT);
	advance(100);
	failed(picked(), FAILURE_CONNECT);
	expect_refused(REFUSAL_RETRIES_SPENT, RUN_UNKNOWN);
	EXPECT_EQ(count(MSG_RELEASE), 2u);
	EXPECT_EQ(count(MSG_ROUTE_DONE), 5u);
}

// A router must not send a request that expired while the router was paused.
TEST_F(RequestTest, ExpiredRequestIsNotSent)
{
	open_chat();
	reserved();
	kernel.virtual_now += 2001 * USEC_PER_MSEC;
	picked();
	EXPECT_EQ(count(MSG_SEND), 0u);
	EXPECT_EQ(count(MSG_ROUTE_DONE), 1u);
	expect_refused(REFUSAL_DEADLINE, RUN_NOT_RUN);
}

// A caller that has received a byte must not get data of a second response.
TEST_F(RequestTest, NoRetryAfterTheFirstByte)
{
	open_chat(true);
	reserved();
	handle_t attempt = picked();
	head(attempt);
	data(attempt, "one");
	data(attempt, "two");
	failed(attempt, FAILURE_STREAM);
	EXPECT_EQ(last(MSG_REPLY_ABORTED).u.refused.run, RUN_UNKNOWN);
	EXPECT_EQ(count(MSG_RELEASE), 1u);
	EXPECT_EQ(count(MSG_ROUTE_REQUEST), 1u);
}

// Only one of the first attempt and its hedge may respond and be billed.
TEST_F(RequestTest, FirstHeadWinsTheHedge)
{
	open_chat();
	reserved();
	handle_t first = picked(1);
	send(make_msg(MSG_ROUTE_HEDGE, first));
	EXPECT_TRUE(last(MSG_ROUTE_REQUEST).u.route.hedge);
	EXPECT_EQ(last(MSG_ROUTE_REQUEST).u.route.avoid[0].index, 1u);
	handle_t second = picked(2);
	head(second);
	EXPECT_EQ(count(MSG_SEND_CANCEL), 1u);
	head(first);
	data(first, "slow");
	data(second, "fast");
	end(second);
	end(first);
	billed();
	EXPECT_EQ(body, "fast");
	EXPECT_EQ(count(MSG_BILL), 1u);
	EXPECT_EQ(count(MSG_ROUTE_DONE), 2u);
}

// A stream over its limit would exceed its reservation.
TEST_F(RequestTest, StreamOverItsLimitIsCancelledAndBilled)
{
	open_chat(true);
	reserved();
	handle_t attempt = picked();
	head(attempt);
	data(attempt, "x", 100);
	data(attempt, "y", 1);
	EXPECT_EQ(count(MSG_SEND_CANCEL), 1u);
	EXPECT_EQ(last(MSG_BILL).u.bill.tokens, 120);
	billed();
	EXPECT_EQ(count(MSG_REPLY_REFUSED) + count(MSG_REPLY_ABORTED), 1u);
	EXPECT_EQ(count(MSG_REPLY_END), 0u);
}

TEST_F(RequestTest, CallerGoneIsBilledForGeneratedTokens)
{
	open_chat(true);
	reserved();
	handle_t attempt = picked();
	head(attempt);
	data(attempt, "one", 7);
	send(make_msg(MSG_REQ_CANCEL, last(MSG_REQ_STARTED).id));
	EXPECT_EQ(count(MSG_SEND_CANCEL), 1u);
	EXPECT_EQ(last(MSG_BILL).u.bill.tokens, 20 / 4 + 7);
	billed();
	EXPECT_EQ(body, "");
	EXPECT_EQ(table_count(&request.requests), 0u);
}

// Nothing may be dispatched before the claim is owned.  The end of the request
// must wait for the stored outcome, but at most 200 ms.
TEST_F(RequestTest, NonIdempotentIsClaimedBilledAndStored)
{
	open(request_spec(false, "k", "f"));
	EXPECT_EQ(count(MSG_RESERVE), 0u);
	claimed(CLAIM_OWNED);
	reserved();
	handle_t attempt = picked();
	send(make_msg(MSG_ROUTE_HEDGE, attempt));
	EXPECT_EQ(count(MSG_ROUTE_REQUEST), 1u);
	// The attempt must run on without a caller so that its outcome is
	// stored.
	send(make_msg(MSG_REQ_CANCEL, last(MSG_REQ_STARTED).id));
	head(attempt);
	data(attempt, "ok");
	end(attempt);
	EXPECT_EQ(last(MSG_BILL).u.bill.tokens, 30);
	EXPECT_EQ(count(MSG_CLAIM_DONE), 0u);
	billed();
	EXPECT_EQ(outcome, "ok");
	advance(199);
	EXPECT_EQ(table_count(&request.requests), 1u);
	advance(1);
	EXPECT_EQ(table_count(&request.requests), 0u);
}

// A failure that does not prove not_run must leave the claim open, without a
// retry.
TEST_F(RequestTest, NonIdempotentIsRetriedOnlyIfNotRun)
{
	open(request_spec(false, "k", "f"));
	claimed(CLAIM_OWNED);
	reserved();
	failed(picked(), FAILURE_CONNECT);
	advance(100);
	failed(picked(), FAILURE_OVERLOADED);
	expect_refused(REFUSAL_OVERLOADED, RUN_UNKNOWN);
	EXPECT_EQ(count(MSG_CLAIM_ABORT), 0u);
	EXPECT_EQ(count(MSG_CLAIM_ABANDON), 1u);
	open(request_spec(false, "k", "f"));
	claimed(CLAIM_OWNED);
	reserved(RESERVE_UNAVAILABLE);
	expect_refused(REFUSAL_BUDGET_UNAVAILABLE, RUN_NOT_RUN);
	EXPECT_EQ(count(MSG_CLAIM_ABORT), 1u);
}

TEST_F(RequestTest, ClaimResultsOfEarlierRuns)
{
	open(request_spec(false, "k", "f"));
	claimed(CLAIM_REPLAY, "stored");
	EXPECT_TRUE(last(MSG_REPLY_HEAD).u.head.replayed);
	EXPECT_EQ(body, "stored");
	EXPECT_EQ(count(MSG_RESERVE), 0u);
	open(request_spec(false, "k", "f"));
	claimed(CLAIM_REPLAY);
	expect_refused(REFUSAL_OUTCOME_UNKNOWN, RUN_RAN);
	open(request_spec(false, "k", "f"));
	claimed(CLAIM_IN_DOUBT);
	expect_refused(REFUSAL_OUTCOME_UNKNOWN, RUN_UNKNOWN);
	open(request_spec(false, "k", "f"));
	claimed(CLAIM_MISMATCH);
	expect_refused(REFUSAL_KEY_MISMATCH, RUN_NOT_RUN);
	// A claim that is owned after the deadline must be aborted.
	open(request_spec(false, "k", "f"));
	advance(2000);
	expect_refused(REFUSAL_DEADLINE, RUN_NOT_RUN);
	claimed(CLAIM_OWNED);
	EXPECT_EQ(count(MSG_CLAIM_ABORT), 1u);
	EXPECT_EQ(table_count(&request.requests), 0u);
}

// A request that crashes targets must not reach a third target.
TEST_F(RequestTest, TwoBlamesQuarantine)
{
	open_chat();
	reserved();
	failed(picked(), FAILURE_SENT, true);
	EXPECT_EQ(count(MSG_PEER_SEND), 1u);
	advance(100);
	failed(picked(), FAILURE_SENT, true);
	expect_refused(REFUSAL_QUARANTINED, RUN_UNKNOWN);
	open_chat();
	expect_refused(REFUSAL_QUARANTINED, RUN_NOT_RUN);
	EXPECT_EQ(count(MSG_STORE_LEASE), 1u);
	msg_t msg = make_msg(MSG_STORE_RESULT, last(MSG_STORE_LEASE).id);
	msg.u.store_result = store_result_new(STORE_OK);
	msg.u.store_result->lease = 5;
	send(msg);
	EXPECT_EQ(count(MSG_STORE_TXN), 1u);
	advance(3600 * 1000);
	open_chat();
	EXPECT_EQ(count(MSG_RESERVE), 2u);
}

// A blame that is received twice must count once.
TEST_F(RequestTest, BlamesOfPeers)
{
	for (uint64_t seq : {1, 1, 2}) {
		open_chat(false, "p");
		EXPECT_EQ(count(MSG_REPLY_REFUSED), 0u);
		msg_t msg = make_msg(MSG_PEER_RECEIVED, HANDLE_NONE);
		msg.u.peer.body = peer_body_new(PEER_CRASH_REPORT);
		g_strlcpy(msg.u.peer.body->u.crash_report.fingerprint, "p",
			  HASH_SIZE);
		g_strlcpy(msg.u.peer.body->u.crash_report.reporter, "peer",
			  INCARNATION_SIZE);
		msg.u.peer.body->u.crash_report.seq = seq;
		send(msg);
	}
	open_chat(false, "p");
	expect_refused(REFUSAL_QUARANTINED, RUN_NOT_RUN);
}

TEST_F(RequestTest, StopRefusesNewRequestsAndWaitsForRunningOnes)
{
	open_chat();
	reserved();
	handle_t attempt = picked();
	kernel_stop(&kernel);
	advance(0);
	open_chat();
	expect_refused(REFUSAL_STOPPING, RUN_NOT_RUN);
	EXPECT_EQ(count(MSG_STOPPED), 0u);
	head(attempt, 503);
	end(attempt);
	EXPECT_EQ(last(MSG_REPLY_HEAD).u.head.status, 503u);
	EXPECT_EQ(count(MSG_BILL), 0u); // an error response costs nothing
	EXPECT_EQ(count(MSG_RELEASE), 1u);
	EXPECT_EQ(count(MSG_STOPPED), 1u);
}

TEST_F(RequestTest, RequestThatWaitsAtTheEndOfAStopIsNotDropped)
{
	open_chat();
	reserved();
	open_chat();
	stop(1000);
	advance(999);
	EXPECT_EQ(count(MSG_REPLY_REFUSED), 0u);
	advance(1);
	EXPECT_EQ(count(MSG_REPLY_REFUSED), 2u);
	expect_refused(REFUSAL_STOPPING, RUN_NOT_RUN);
	EXPECT_EQ(count(MSG_ROUTE_CANCEL), 1u);
	EXPECT_EQ(count(MSG_RELEASE), 1u);
	EXPECT_EQ(count(MSG_STOPPED), 1u);
}

TEST_F(RequestTest, RequestThatRunsAtTheEndOfAStopIsNotDropped)
{
	open_chat();
	reserved();
	picked();
	stop(1000);
	advance(1000);
	expect_refused(REFUSAL_STOPPING, RUN_UNKNOWN);
	EXPECT_EQ(count(MSG_SEND_CANCEL), 1u);
	EXPECT_EQ(count(MSG_STOPPED), 1u);
}

TEST_F(RequestTest, RetryThatWouldOutlastAStopIsNotDropped)
{
	open_chat();
	reserved();
	handle_t attempt = picked();
	stop(1000);
	advance(999);
	failed(attempt, FAILURE_CONNECT);
	advance(1);
	expect_refused(REFUSAL_STOPPING, RUN_NOT_RUN);
}

TEST_F(RequestTest, StreamThatRunsAtTheEndOfAStopDoesNotLookComplete)
{
	open_chat(true);
	reserved();
	handle_t attempt = picked();
	head(attempt, 200, "text/event-stream");
	data(attempt, "one");
	stop(1000);
	advance(1000);
	EXPECT_EQ(last(MSG_REPLY_ABORTED).u.refused.reason, REFUSAL_STOPPING);
	EXPECT_EQ(last(MSG_REPLY_ABORTED).u.refused.run, RUN_UNKNOWN);
	EXPECT_EQ(count(MSG_REPLY_END), 0u);
	EXPECT_EQ(count(MSG_STOPPED), 1u);
}

TEST_F(RequestTest, BillThatIsPendingAtTheEndOfAStopDoesNotDropTheRequest)
{
	open_complete();
	advance(1900);
	stop(1000);
	advance(999);
	EXPECT_EQ(count(MSG_REPLY_REFUSED), 0u);
	advance(1);
	expect_refused(REFUSAL_STOPPING, RUN_RAN);
	EXPECT_EQ(count(MSG_RELEASE), 0u);
	EXPECT_EQ(count(MSG_STOPPED), 1u);
}

TEST_F(RequestTest, BillThatIsLateWhenAStopBeginsDoesNotDropTheRequest)
{
	open_complete();
	advance(2100);
	stop(1000);
	advance(999);
	EXPECT_EQ(count(MSG_REPLY_REFUSED), 0u);
	advance(1);
	expect_refused(REFUSAL_STOPPING, RUN_RAN);
	EXPECT_EQ(count(MSG_STOPPED), 1u);
}

TEST_F(RequestTest, ClaimThatIsPendingAtTheEndOfAStopDoesNotDropTheRequest)
{
	open(request_spec(false, "k", "f"));
	stop(1000);
	advance(1000);
	expect_refused(REFUSAL_STOPPING, RUN_NOT_RUN);
	claimed(CLAIM_OWNED);
	EXPECT_EQ(count(MSG_CLAIM_ABORT), 1u);
	EXPECT_EQ(count(MSG_STOPPED), 1u);
}

TEST_F(RequestTest, StopDoesNotExtendTheDeadlineOfARequest)
{
	open_chat();
	reserved();
	picked();
	stop(10000);
	advance(2000);
	expect_refused(REFUSAL_DEADLINE, RUN_UNKNOWN);
}

// A slow caller must pause its target, also one that a retry chooses later.
TEST_F(RequestTest, PauseReachesTheTarget)
{
	open_chat(true);
	reserved();
	handle_t first = picked();
	send(make_msg(MSG_REQ_PAUSE, last(MSG_REQ_STARTED).id));
	EXPECT_EQ(count(MSG_SEND_PAUSE), 1u);
	failed(first, FAILURE_SENT);
	advance(100);
	picked();
	EXPECT_EQ(count(MSG_SEND_PAUSE), 2u);
	send(make_msg(MSG_REQ_RESUME, last(MSG_REQ_STARTED).id));
	EXPECT_EQ(count(MSG_SEND_RESUME), 1u);
}

} // namespace
