// Property test of the request and claims services at two routers: each caller
// gets its own complete response (reported as promise 3), a refusal states
// correctly whether the request ran (4), and a non-idempotent request runs at
// most once (5).
#include "claims/claims.h"
#include "tests/prove_world.h"
#include "tests/request_conf.h"

#include <gtest/gtest.h>
#include <set>

namespace
{

// Injected faults; the checks must detect each of them.
enum Fault {
	NO_FAULT,
	MIXED_RESPONSES, // dispatch sends response data to another request
	FALSE_CONNECT, // dispatch reports a failed connect after a run
	UNCONDITIONAL_STORE, // the store commits without comparing revisions
};

struct Caller {
	std::string key, fingerprint, received;
	bool idempotent, disconnected = false;
	int router, epoch, runs = 0, terminal_replies = 0;
	bool ended = false, not_run = false, head = false;
	handle_t request = HANDLE_NONE;
};

struct RequestWorld : World {
	using World::World;
	Fault fault = NO_FAULT;
	std::vector<Caller> callers;
	std::vector<Node *> routers;
	std::map<std::string, int> runs; // non-idempotent, by key
	std::map<std::string, std::set<std::string>> responses;
	uint32_t handles = 0, run_serial = 0;
	void open(int router, bool idempotent, const std::string &key,
		  const std::string &fingerprint);
};

struct Router : Node {
	RequestWorld *w;
	request_svc_t request;
	claims_svc_t claims;
	std::set<uint32_t> cancelled; // send handles
	handle_t last_attempt = HANDLE_NONE; // used by MIXED_RESPONSES

	static void receive(void *self, msg_t *msg)
	{
		static_cast<Router *>(self)->handle_msg(msg);
	}
	void start_services() override
	{
		request_opts_t request_opts;
		claims_opts_t claims_opts;
		msg_t conf = {};

		cancelled.clear();
		last_attempt = HANDLE_NONE;
		for (const char *name :
		     {"front", "ledger", "route", "dispatch", "conf", "store"})
			register_fake(name, receive);
		request_opts_defaults(&request_opts);
		claims_opts_defaults(&claims_opts);
		g_strlcpy(request_opts.incarnation, incarnation,
			  INCARNATION_SIZE);
		g_strlcpy(claims_opts.incarnation, incarnation,
			  INCARNATION_SIZE);
		request_init(&request, &kernel, &request_opts);
		claims_init(&claims, &kernel, &claims_opts);
		conf.kind = MSG_CONF_CHANGED;
		conf.u.conf = request_conf(0);
		kernel_post(&kernel, HANDLE_NONE, request.self, &conf);
	}
	// Callers of a crashed router may send their requests again.
	void stop_services() override
	{
		for (size_t i = 0, n = w->callers.size(); i < n; i++)
			if (w->callers[i].epoch == generation - 1 &&
			    w->routers[w->callers[i].router] == this &&
			    w->callers[i].terminal_replies == 0)
				resubmit(w->callers[i]);
		request_finish(&request);
		claims_finish(&claims);
	}
	msg_t make_msg(msg_kind_t kind, handle_t ref, bool new_id = false)
	{
		msg_t msg = {};
		msg.kind = kind;
		msg.ref = ref;
		if (new_id)
			msg.id = {++w->handles, 1};
		return msg;
	}
	// Posts a reply to the request service, sometimes twice.
	void post(int64_t delay, const msg_t &msg, bool may_repeat = true)
	{
		post_after(delay, HANDLE_NONE, request.self, msg);
		if (may_repeat && w->rng.percent(10))
			post_after(delay + w->rng.ms(0, 300), HANDLE_NONE,
				   request.self, msg);
	}
	void handle_msg(msg_t *msg)
	{
		msg_t reply;

		switch (msg->kind) {
		case MSG_STORE_TXN:
		case MSG_STORE_LEASE:
			w->store_call(this, msg);
			break;
		case MSG_RESERVE:
			reply = make_msg(MSG_RESERVED, msg->id, true);
			if (w->rng.percent(6))
				reply.u.reserved.result =
					w->rng.percent(50)
						? RESERVE_SPENT
						: RESERVE_UNAVAILABLE;
			post(w->rng.ms(0, 3), reply);
			break;
		case MSG_BILL:
			reply = make_msg(MSG_BILLED, msg->id);
			if (w->rng.percent(6))
				reply.u.billed.result = w->rng.percent(50)
								? BILL_DUPLICATE
								: BILL_REFUSED;
			post(w->rng.ms(0, w->rng.percent(5) ? 3000 : 5), reply);
			break;
		case MSG_ROUTE_REQUEST:
			on_ask(msg);
			break;
		case MSG_SEND:
			on_send(msg);
			break;
		case MSG_SEND_CANCEL:
			// Some cancellations come too late to stop the
			// response.
			if (w->rng.percent(50))
				cancelled.insert(msg->ref.index);
			break;
		default:
			on_reply(msg);
			break;
		}
	}
	void on_ask(const msg_t *msg)
	{
		int64_t delay = w->rng.ms(0, w->rng.percent(10) ? 1500 : 10);
		msg_t reply = make_msg(MSG_ROUTE_REFUSED, msg->id);

		reply.u.route_refused.reason = REFUSAL_QUEUE_FULL;
		if (!w->rng.percent(5)) {
			reply = make_msg(MSG_ROUTE_ASSIGNED, msg->id, true);
			reply.u.assigned.target = {1 + w->handles % 5, 1};
			if (w->rng.percent(30))
				post(delay + w->rng.ms(0, 50),
				     make_msg(MSG_ROUTE_HEDGE, msg->id));
		}
		post(delay, reply);
	}
	// Simulates a target, and what dispatch reports of it.
	void on_send(const msg_t *msg)
	{
		handle_t attempt = msg->id, send = {++w->handles, 1};
		msg_t reply = make_msg(MSG_SEND_STARTED, attempt);
		msg_t failed = make_msg(MSG_TARGET_FAILED, attempt);
		size_t caller = strtoul(msg->u.send.request_id, nullptr, 10);
		int64_t delay = w->rng.ms(1, 30);
		uint64_t outcome = w->rng.below(100);

		reply.id = send;
		post(w->rng.ms(0, 2), reply);
		auto &failure = failed.u.target_failed;
		if (outcome < 15) {
			failure.failure = FAILURE_CONNECT;
			if (w->fault == FALSE_CONNECT && outcome < 3)
				run(caller);
		} else if (outcome < 25) {
			failure.failure = outcome < 20 ? FAILURE_OVERLOADED
						       : FAILURE_LEAVING;
			failure.not_run = w->rng.percent(50);
			if (!failure.not_run && w->rng.percent(50))
				run_later(delay, caller);
		} else if (outcome < 40) {
			run_later(delay, caller);
			failure.failure =
				outcome < 35 ? FAILURE_SENT : FAILURE_SILENT;
			failure.reset = outcome < 28;
			delay += w->rng.ms(0, outcome < 35 ? 10 : 1000);
		} else {
			respond(delay, attempt, send.index, caller,
				outcome < 50);
			return;
		}
		post(delay, failed);
	}
	std::string run(size_t index)
	{
		Caller &caller = w->callers[index];
		std::string text = caller.fingerprint + "#" +
				   std::to_string(++w->run_serial);
		caller.runs++;
		if (!caller.idempotent) {
			w->tally.checks[5]++;
			if (++w->runs[caller.key] > 1)
				w->tally.violations[5]++;
		}
		// The longest texts exceed the response buffer.
		text.append(w->rng.below(4) * 30000, 'a' + w->run_serial % 26);
		text += ".";
		w->responses[caller.key + caller.fingerprint].insert(text);
		return text;
	}
	// A crash of the router does not stop a request that was sent.
	void run_later(int64_t delay, size_t caller)
	{
		w->after(delay, [=]() { run(caller); });
	}
	void respond(int64_t delay, handle_t attempt, uint32_t send,
		     size_t caller, bool may_fail)
	{
		int at_epoch = generation;

		w->after(delay, [=]() {
			std::string text = run(caller);
			msg_t head = make_msg(MSG_TARGET_HEAD, attempt);
			if (generation != at_epoch)
				return;
			head.u.target_head.status = 200;
			post(w->rng.ms(0, 20), head);
			stream(w->rng.ms(20, 40), attempt, send, text,
			       may_fail);
		});
	}
	void stream(int64_t delay, handle_t attempt, uint32_t send,
		    const std::string &text, bool may_fail)
	{
		run_after(delay, [=]() {
			size_t size = 1 + w->rng.below(30000);
			msg_t msg = make_msg(MSG_TARGET_END, attempt);
			if (cancelled.count(send) != 0)
				return;
			if (may_fail && w->rng.percent(50)) {
				msg.kind = MSG_TARGET_FAILED;
				msg.u.target_failed.failure = FAILURE_STREAM;
			}
			if (text.empty() || msg.kind == MSG_TARGET_FAILED) {
				post(0, msg);
				return;
			}
			size = std::min(size, text.size());
			msg.kind = MSG_TARGET_DATA;
			msg.u.target_data.bytes =
				g_bytes_new(text.data(), size);
			if (w->fault == MIXED_RESPONSES && w->rng.percent(10) &&
			    last_attempt.gen != 0)
				msg.ref = last_attempt;
			last_attempt = attempt;
			post(0, msg, false);
			stream(w->rng.ms(0, 20), attempt, send,
			       text.substr(size), may_fail);
		});
	}
	// Simulates the caller.
	void on_reply(msg_t *msg)
	{
		if (msg->ref.index == 0 || msg->ref.gen != 9)
			return;
		Caller &caller = w->callers[msg->ref.index - 1];
		const char *data;
		gsize size;

		switch (msg->kind) {
		case MSG_REQ_STARTED:
			caller.request = msg->id;
			if (w->rng.percent(8))
				disconnect(msg->ref.index - 1);
			break;
		case MSG_REPLY_HEAD:
			caller.head = true;
			break;
		case MSG_REPLY_DATA:
			data = static_cast<const char *>(
				g_bytes_get_data(msg->u.data.bytes, &size));
			caller.received.append(data, size);
			break;
		case MSG_REPLY_END:
			caller.ended = true;
			caller.terminal_replies++;
			break;
		case MSG_REPLY_REFUSED:
		case MSG_REPLY_ABORTED:
			caller.terminal_replies++;
			caller.not_run = msg->u.refused.run == RUN_NOT_RUN;
			resubmit(caller);
			break;
		default:
			break;
		}
	}
	void disconnect(size_t index)
	{
		run_after(w->rng.ms(0, 300), [=]() {
			Caller &caller = w->callers[index];
			if (caller.terminal_replies > 0)
				return;
			caller.disconnected = true;
			post_after(0, kernel_find(&kernel, "front"),
				   request.self,
				   make_msg(MSG_REQ_CANCEL, caller.request));
			resubmit(caller);
		});
	}
	// Repeats a request with the same key at one of the routers.
	void resubmit(const Caller &caller)
	{
		std::string key = caller.key, fingerprint = caller.fingerprint;
		bool idempotent = caller.idempotent;
		int router = (int)w->rng.below(2);

		if (!w->rng.percent(50) || w->callers.size() > 200)
			return;
		w->after(w->rng.ms(0, 500), [=]() {
			w->open(router, idempotent, key, fingerprint);
		});
	}
};

void RequestWorld::open(int router, bool idempotent, const std::string &key,
			const std::string &fingerprint)
{
	auto *node = static_cast<Router *>(routers[router]);
	request_spec_t *spec;
	msg_t msg = {};

	if (!node->up)
		return;
	callers.push_back({key, fingerprint, "", idempotent});
	callers.back().router = router;
	callers.back().epoch = node->generation;
	spec = request_spec(idempotent, key, fingerprint);
	spec->stream = rng.percent(50);
	spec->deadline_ms = (uint32_t)(100 + rng.below(2000));
	g_snprintf(spec->request_id, INCARNATION_SIZE, "%zu",
		   callers.size() - 1);
	msg.kind = MSG_REQ_OPEN;
	msg.id = {(uint32_t)callers.size(), 9};
	msg.u.open = spec;
	node->post_after(0, kernel_find(&node->kernel, "front"),
			 node->request.self, msg);
}

// Compares what each caller received with what its targets ran.
void check(RequestWorld &w)
{
	for (Caller &caller : w.callers) {
		bool alive =
			w.routers[caller.router]->generation == caller.epoch;
		auto &complete = w.responses[caller.key + caller.fingerprint];

		if (caller.not_run) {
			w.tally.checks[4]++;
			w.tally.violations[4] += caller.runs > 0;
		}
		if (caller.disconnected)
			continue;
		// Each caller gets one final reply and its own complete
		// response.
		w.tally.checks[3]++;
		if (caller.terminal_replies > 1 ||
		    (alive && caller.terminal_replies == 0) ||
		    (caller.ended &&
		     (!caller.head || complete.count(caller.received) == 0)))
			w.tally.violations[3]++;
	}
}

Tally schedule(uint64_t seed, int steps, Fault fault, uint64_t *ended)
{
	RequestWorld w(seed);
	Router routers[2];

	w.fault = fault;
	w.ignore_revisions = fault == UNCONDITIONAL_STORE;
	for (Router &router : routers) {
		router.world = &w;
		router.w = &w;
		w.nodes.push_back(&router);
		w.routers.push_back(&router);
		router.start();
	}
	w.plan_faults(4000 * MS);
	for (int i = 0; i < steps; i++) {
		int64_t when = w.rng.ms(0, 4000);
		bool idempotent = w.rng.percent(40);
		uint64_t recipient = w.rng.below(3);
		std::string key = (idempotent ? "i" : "n") +
				  std::to_string(w.rng.below(10));
		std::string fingerprint =
			w.rng.percent(95) ? key + "f" : key + "g";
		w.after(when, [&w, recipient, idempotent, key, fingerprint]() {
			for (int r = 0; r < 2; r++)
				if (recipient == (uint64_t)r || recipient == 2)
					w.open(r, idempotent, key, fingerprint);
		});
	}
	w.run(25000 * MS);
	check(w);
	for (Caller &caller : w.callers)
		*ended += caller.ended;
	for (Router &router : routers) {
		if (router.up &&
		    table_count(&router.request.requests) +
				    table_count(&router.request.attempts) +
				    table_count(&router.claims.claims) >
			    0)
			w.tally.violations[3]++; // an entry was leaked
		router.crash();
	}
	return w.tally;
}

Tally prove_fault(Fault fault, uint64_t last, bool print, uint64_t *ended)
{
	return check_schedules(
		"requests", {3, 4, 5}, 1, last, 30,
		[&](uint64_t seed, int steps) {
			return schedule(seed, steps, fault, ended);
		},
		print);
}

TEST(Prove, ResponsesRefusalsAndRunsAreCorrect)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(NO_FAULT, 600, true, &ended);
	for (int promise : {3, 4, 5}) {
		EXPECT_EQ(tally.violations[promise], 0u);
		EXPECT_GT(tally.checks[promise], 0u);
	}
	// The checks must not pass because requests got no response.
	EXPECT_GT(ended * 5, tally.checks[3]);
}

TEST(Prove, DetectsMixedResponses)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(MIXED_RESPONSES, 20, false, &ended);
	EXPECT_GT(tally.violations[3], 0u);
}

TEST(Prove, DetectsConnectFailureReportedAfterRun)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(FALSE_CONNECT, 40, false, &ended);
	EXPECT_GT(tally.violations[4], 0u);
}

TEST(Prove, DetectsStoreThatIgnoresRevisions)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(UNCONDITIONAL_STORE, 20, false, &ended);
	EXPECT_GT(tally.violations[5], 0u);
}

} // namespace
