// Property test of the shipped request and claims services at two routers:
// whole answers to their own callers (promise 3), true refusals (4), and
// non-idempotent requests run at most once (5).
#include "claims/claims.h"
#include "tests/prove_world.h"
#include "tests/request_conf.h"

#include <gtest/gtest.h>
#include <set>

namespace
{

// Deliberate faults, each of which one check has to catch.
enum Fault {
	SOUND,
	CROSSED_ANSWERS, // dispatch gives an answer to another request
	FALSE_CONNECT, // dispatch reports a failed connect after a run
	BLIND_STORE, // the store commits without comparing revisions
};

struct Caller {
	std::string key, fingerprint, got;
	bool idempotent, gone = false;
	int router, epoch, runs = 0, finals = 0;
	bool ended = false, not_run = false, head = false;
	handle_t request = HANDLE_NONE;
};

struct RequestWorld : World {
	using World::World;
	Fault fault = SOUND;
	std::vector<Caller> callers;
	std::vector<Node *> routers;
	std::map<std::string, int> runs; // non-idempotent, by key
	std::map<std::string, std::set<std::string>> answers;
	uint32_t handles = 0, serial = 0;
	void open(int router, bool idempotent, const std::string &key,
		  const std::string &fingerprint);
};

struct Router : Node {
	RequestWorld *w;
	request_svc_t request;
	claims_svc_t claims;
	std::set<uint32_t> cancelled; // dispatch's handles
	handle_t last_attempt = HANDLE_NONE; // for crossed answers

	static void receive(void *self, msg_t *msg)
	{
		static_cast<Router *>(self)->on(msg);
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
	// The callers of a router that has crashed come again.
	void stop_services() override
	{
		for (size_t i = 0, n = w->callers.size(); i < n; i++)
			if (w->callers[i].epoch == generation - 1 &&
			    w->routers[w->callers[i].router] == this &&
			    w->callers[i].finals == 0)
				again(w->callers[i]);
		request_finish(&request);
		claims_finish(&claims);
	}
	msg_t make(msg_kind_t kind, handle_t ref, bool new_id = false)
	{
		msg_t msg = {};
		msg.kind = kind;
		msg.ref = ref;
		if (new_id)
			msg.id = {++w->handles, 1};
		return msg;
	}
	// Sends an answer to the request service, at times twice.
	void tell(int64_t delay, const msg_t &msg, bool twice = true)
	{
		post_after(delay, HANDLE_NONE, request.self, msg);
		if (twice && w->rng.percent(10))
			post_after(delay + w->rng.ms(0, 300), HANDLE_NONE,
				   request.self, msg);
	}
	void on(msg_t *msg)
	{
		msg_t reply;

		switch (msg->kind) {
		case MSG_STORE_TXN:
		case MSG_STORE_LEASE:
			w->store_call(this, msg);
			break;
		case MSG_RESERVE:
			reply = make(MSG_RESERVED, msg->id, true);
			if (w->rng.percent(6))
				reply.u.reserved.result =
					w->rng.percent(50)
						? RESERVE_SPENT
						: RESERVE_UNAVAILABLE;
			tell(w->rng.ms(0, 3), reply);
			break;
		case MSG_BILL:
			reply = make(MSG_BILLED, msg->id);
			if (w->rng.percent(6))
				reply.u.billed.result = w->rng.percent(50)
								? BILL_DUPLICATE
								: BILL_REFUSED;
			tell(w->rng.ms(0, w->rng.percent(5) ? 3000 : 5), reply);
			break;
		case MSG_ROUTE_REQUEST:
			on_ask(msg);
			break;
		case MSG_SEND:
			on_send(msg);
			break;
		case MSG_SEND_CANCEL:
			// Some answers were on their way already.
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
		msg_t reply = make(MSG_ROUTE_REFUSED, msg->id);

		reply.u.route_refused.reason = REFUSAL_QUEUE_FULL;
		if (!w->rng.percent(5)) {
			reply = make(MSG_ROUTE_ASSIGNED, msg->id, true);
			reply.u.assigned.target = {1 + w->handles % 5, 1};
			if (w->rng.percent(30))
				tell(delay + w->rng.ms(0, 50),
				     make(MSG_ROUTE_HEDGE, msg->id));
		}
		tell(delay, reply);
	}
	// What a target makes of a request, and what dispatch tells of it.
	void on_send(const msg_t *msg)
	{
		handle_t attempt = msg->id, send = {++w->handles, 1};
		msg_t reply = make(MSG_SEND_STARTED, attempt);
		msg_t failed = make(MSG_TARGET_FAILED, attempt);
		size_t caller = strtoul(msg->u.send.request_id, nullptr, 10);
		int64_t delay = w->rng.ms(1, 30);
		uint64_t plan = w->rng.below(100);

		reply.id = send;
		tell(w->rng.ms(0, 2), reply);
		auto &failure = failed.u.target_failed;
		if (plan < 15) {
			failure.failure = FAILURE_CONNECT;
			if (w->fault == FALSE_CONNECT && plan < 3)
				run(caller);
		} else if (plan < 25) {
			failure.failure = plan < 20 ? FAILURE_OVERLOADED
						    : FAILURE_LEAVING;
			failure.not_run = w->rng.percent(50);
			if (!failure.not_run && w->rng.percent(50))
				run_later(delay, caller);
		} else if (plan < 40) {
			run_later(delay, caller);
			failure.failure =
				plan < 35 ? FAILURE_SENT : FAILURE_SILENT;
			failure.reset = plan < 28;
			delay += w->rng.ms(0, plan < 35 ? 10 : 1000);
		} else {
			answer(delay, attempt, send.index, caller, plan < 50);
			return;
		}
		tell(delay, failed);
	}
	std::string run(size_t index)
	{
		Caller &caller = w->callers[index];
		std::string text =
			caller.fingerprint + "#" + std::to_string(++w->serial);
		caller.runs++;
		if (!caller.idempotent) {
			w->tally.checks[5]++;
			if (++w->runs[caller.key] > 1)
				w->tally.violations[5]++;
		}
		// Up to more than what is kept back for a retry.
		text.append(w->rng.below(4) * 30000, 'a' + w->serial % 26);
		text += ".";
		w->answers[caller.key + caller.fingerprint].insert(text);
		return text;
	}
	// The request is on its way: a crash of the router doesn't stop it.
	void run_later(int64_t delay, size_t caller)
	{
		w->after(delay, [=]() { run(caller); });
	}
	void answer(int64_t delay, handle_t attempt, uint32_t send,
		    size_t caller, bool breaks)
	{
		int at_epoch = generation;

		w->after(delay, [=]() {
			std::string text = run(caller);
			msg_t head = make(MSG_TARGET_HEAD, attempt);
			if (generation != at_epoch)
				return;
			head.u.target_head.status = 200;
			tell(w->rng.ms(0, 20), head);
			stream(w->rng.ms(20, 40), attempt, send, text, breaks);
		});
	}
	void stream(int64_t delay, handle_t attempt, uint32_t send,
		    const std::string &text, bool breaks)
	{
		run_after(delay, [=]() {
			size_t size = 1 + w->rng.below(30000);
			msg_t msg = make(MSG_TARGET_END, attempt);
			if (cancelled.count(send) != 0)
				return;
			if (breaks && w->rng.percent(50)) {
				msg.kind = MSG_TARGET_FAILED;
				msg.u.target_failed.failure = FAILURE_STREAM;
			}
			if (text.empty() || msg.kind == MSG_TARGET_FAILED) {
				tell(0, msg);
				return;
			}
			size = std::min(size, text.size());
			msg.kind = MSG_TARGET_DATA;
			msg.u.target_data.bytes =
				g_bytes_new(text.data(), size);
			if (w->fault == CROSSED_ANSWERS && w->rng.percent(10) &&
			    last_attempt.gen != 0)
				msg.ref = last_attempt;
			last_attempt = attempt;
			tell(0, msg, false);
			stream(w->rng.ms(0, 20), attempt, send,
			       text.substr(size), breaks);
		});
	}
	// The caller's side.
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
				leave(msg->ref.index - 1);
			break;
		case MSG_REPLY_HEAD:
			caller.head = true;
			break;
		case MSG_REPLY_DATA:
			data = static_cast<const char *>(
				g_bytes_get_data(msg->u.data.bytes, &size));
			caller.got.append(data, size);
			break;
		case MSG_REPLY_END:
			caller.ended = true;
			caller.finals++;
			break;
		case MSG_REPLY_REFUSED:
		case MSG_REPLY_ABORTED:
			caller.finals++;
			caller.not_run = msg->u.refused.run == RUN_NOT_RUN;
			again(caller);
			break;
		default:
			break;
		}
	}
	void leave(size_t index)
	{
		run_after(w->rng.ms(0, 300), [=]() {
			Caller &caller = w->callers[index];
			if (caller.finals > 0)
				return;
			caller.gone = true;
			post_after(0, kernel_find(&kernel, "front"),
				   request.self,
				   make(MSG_REQ_CANCEL, caller.request));
			again(caller);
		});
	}
	// The caller comes again with the same key, at either router.
	void again(const Caller &caller)
	{
		std::string key = caller.key, print = caller.fingerprint;
		bool idempotent = caller.idempotent;
		int router = (int)w->rng.below(2);

		if (!w->rng.percent(50) || w->callers.size() > 200)
			return;
		w->after(w->rng.ms(0, 500),
			 [=]() { w->open(router, idempotent, key, print); });
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

// Compares what each caller got with what ran for it at the targets.
void check(RequestWorld &w)
{
	for (Caller &caller : w.callers) {
		bool alive =
			w.routers[caller.router]->generation == caller.epoch;
		auto &whole = w.answers[caller.key + caller.fingerprint];

		if (caller.not_run) {
			w.tally.checks[4]++;
			w.tally.violations[4] += caller.runs > 0;
		}
		if (caller.gone)
			continue;
		// Each caller gets exactly one end, and a whole own answer.
		w.tally.checks[3]++;
		if (caller.finals > 1 || (alive && caller.finals == 0) ||
		    (caller.ended &&
		     (!caller.head || whole.count(caller.got) == 0)))
			w.tally.violations[3]++;
	}
}

Tally schedule(uint64_t seed, int steps, Fault fault, uint64_t *ended)
{
	RequestWorld w(seed);
	Router routers[2];

	w.fault = fault;
	w.ignore_revisions = fault == BLIND_STORE;
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
		uint64_t who = w.rng.below(3);
		std::string key = (idempotent ? "i" : "n") +
				  std::to_string(w.rng.below(10));
		std::string print = w.rng.percent(95) ? key + "f" : key + "g";
		w.after(when, [&w, who, idempotent, key, print]() {
			for (int r = 0; r < 2; r++)
				if (who == (uint64_t)r || who == 2)
					w.open(r, idempotent, key, print);
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
			w.tally.violations[3]++; // a leaked entry
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

TEST(Prove, AnswersAreWholeRefusalsTrueAndRunsSingle)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(SOUND, 600, true, &ended);
	for (int promise : {3, 4, 5}) {
		EXPECT_EQ(tally.violations[promise], 0u);
		EXPECT_GT(tally.checks[promise], 0u);
	}
	// The check must not pass because nothing was answered.
	EXPECT_GT(ended * 5, tally.checks[3]);
}

TEST(Prove, CatchesCrossedAnswers)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(CROSSED_ANSWERS, 20, false, &ended);
	EXPECT_GT(tally.violations[3], 0u);
}

TEST(Prove, CatchesAConnectFailureReportedAfterARun)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(FALSE_CONNECT, 40, false, &ended);
	EXPECT_GT(tally.violations[4], 0u);
}

TEST(Prove, CatchesAStoreThatIgnoresExpectations)
{
	uint64_t ended = 0;
	Tally tally = prove_fault(BLIND_STORE, 20, false, &ended);
	EXPECT_GT(tally.violations[5], 0u);
}

} // namespace
