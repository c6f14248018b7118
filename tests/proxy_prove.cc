// Property test of the quarantines of prompt parts and of whole requests:
// several instances of the service "proxy", with their decisions, messages and
// records, and targets that crash as they begin to answer a deadly request.
// After each schedule two rules are checked from outside: sound requests go on
// reaching targets, and few deadly ones do after some crashes.
//
// SEEDS=A..B selects the schedules, and INSTANCES=N the size of the fleet. With
// AT_ONCE=N, that many deadly requests come at a time, and instances neither
// start again nor are cut off; WHOLE=0 or 1 chooses parts or whole requests,
// and SPREAD=1 sends the series to all instances.
#include "proxy/proxy.h"
#include "tests/prove_world.h"

#include <cstring>
#include <gtest/gtest.h>
#include <set>

namespace
{

constexpr int64_t SECOND = 1000 * MS;
constexpr int64_t CONTACT = 3 * SECOND;
constexpr int64_t START = SECOND; // the instances have connected
constexpr int64_t HEAD_AFTER = 60 * MS, CRASH_AFTER = 70 * MS;
constexpr int64_t EVENT_EVERY = 80 * MS;
constexpr int EVENTS = 8;
constexpr uint64_t SOUND_LEAST = 20; // sound requests to judge a schedule
constexpr uint64_t LATE_MOST = 3;

enum Rule {
	SOUND_GO_ON,
	FEW_DEADLY,
	RULES
};
const char *const rule_names[RULES] = {"sound_requests_go_on",
				       "few_deadly_requests_reach_targets"};

// What a schedule plays.
struct Plan {
	bool whole; // the deadly request is one and the same
	bool popular; // so are the sound ones
	size_t instances, targets;
	std::vector<uint64_t> sound, deadly; // parts
	bool varied; // each deadly request has other company
	bool apart; // the instance with the series gets no sound requests
	int64_t sound_gap, series_gap, deadly_gap, down;
	int series, at_once; // deadly requests in the series, at a time
	int restarts; // instances that start again just before the series
	bool restart_all; // all start again some time after the series
	bool cut; // the instance with the series reaches no other for a while
	int64_t late; // most by which a message is late
	bool spread = false; // the series reaches all instances

	Plan(Rng &rng, uint64_t seed)
	{
		static const int64_t series_gaps[] = {50,  100, 150,
						      300, 600, 3000};
		static const size_t sizes[] = {1, 2, 3, 3, 5, 7};

		whole = rng.percent(25);
		popular = whole && seed % 2 == 0;
		instances = sizes[rng.below(6)];
		if (getenv("INSTANCES") != nullptr)
			instances = (size_t)atoi(getenv("INSTANCES"));
		targets = 12 + rng.below(20);
		for (uint64_t i = 1 + rng.below(4); i > 0; i--)
			sound.push_back(100 + i);
		deadly = sound;
		if (rng.percent(25))
			deadly.resize(rng.below(deadly.size() + 1));
		if (rng.percent(25))
			deadly.push_back(200);
		deadly.insert(
			deadly.begin() + (long)rng.below(deadly.size() + 1), 1);
		varied = rng.percent(15);
		apart = rng.percent(60);
		sound_gap = rng.ms(100, 1500);
		series_gap = series_gaps[rng.below(6)] * MS;
		deadly_gap = rng.ms(300, 2000);
		down = rng.ms(1500, 4000);
		series = 1 + (int)rng.below(8);
		at_once = rng.percent(25) ? 2 + (int)rng.below(9) : 1;
		restarts = rng.percent(25) ? 1 + (int)rng.below(instances) : 0;
		restart_all = rng.percent(15);
		cut = rng.percent(15);
		late = rng.percent(20) ? rng.ms(20, 700) : 3 * MS;
		if (getenv("AT_ONCE") != nullptr)
			simplify();
	}
	void simplify()
	{
		const char *wanted = getenv("WHOLE");

		at_once = atoi(getenv("AT_ONCE"));
		targets = 4 * (size_t)at_once + 8;
		varied = restart_all = cut = popular = false;
		restarts = 0;
		late = 3 * MS;
		whole = wanted != nullptr && atoi(wanted) != 0;
		spread = getenv("SPREAD") != nullptr;
	}
};

struct Instance;

struct Request {
	bool deadly;
	size_t instance; // that got it
	int64_t sent, arrived = -1; // at a target
	bool in_touch = true;
};

struct Call {
	Instance *instance;
	int generation;
	handle_t ref, id;
	size_t request;
};

struct Target {
	bool up = true;
	std::vector<Call> calls;
};

struct FleetWorld : World {
	using World::World;
	std::vector<Instance *> instances;
	std::vector<Request> requests;
	std::vector<Target> targets;
	std::vector<int64_t> crashes;
	std::map<std::pair<Instance *, Instance *>, int64_t> delivered;
	std::map<std::string, record_t> records;
	size_t cut = SIZE_MAX; // this instance reaches no other
	int64_t late = 0, down = 0;

	bool connected(const Instance *a, const Instance *b) const;
	void connect(Instance *a, Instance *b);
	void deliver(Instance *from, Instance *to, const peer_body_t *body);
	void crash_target(size_t index);
	void restart(size_t index);
	void set_cut(size_t index);
};

struct Instance : Node {
	FleetWorld *w;
	size_t index;
	proxy_t proxy;
	svc_t ingress, balance, outbound, prepaid, peer, store, fleet;
	std::map<uint32_t, size_t> exchanges; // index of the handle -> request
	std::map<uint32_t, uint32_t> calls; // sent for the exchange so far
	int64_t disturbed = -CONTACT; // last restart or cut

	static void receive(void *self, msg_t *msg)
	{
		static_cast<Instance *>(self)->handle(msg);
	}
	void start_services() override
	{
		proxy_opts_t opts = {};
		msg_t conf = {};

		exchanges.clear();
		disturbed = w->now;
		g_strlcpy(opts.incarnation, incarnation,
			  sizeof(opts.incarnation));
		g_strlcpy(opts.zone, "a", sizeof(opts.zone));
		g_strlcpy(opts.peer_key, "key", sizeof(opts.peer_key));
		opts.retry_limits = {0.2, 100, 10 * USEC_PER_SEC};
		ingress = register_fake("ingress", receive);
		balance = register_fake("balance", receive);
		outbound = register_fake("outbound", receive);
		prepaid = register_fake("prepaid", receive);
		register_fake("streams", receive);
		peer = register_fake("peer", receive);
		store = register_fake("store", receive);
		fleet = register_fake("fleet", receive);
		proxy_init(&proxy, &kernel, &opts);
		conf.kind = MSG_FLEET_CONF;
		conf.u.fleet_conf = make_conf();
		kernel_post(&kernel, fleet, proxy.svc, &conf);
		post_size();
	}
	void stop_services() override
	{
		proxy_finish(&proxy);
	}
	void post_size()
	{
		msg_t msg = {};

		msg.kind = MSG_FLEET_SIZE;
		msg.u.fleet_size.instances = (uint32_t)w->instances.size();
		kernel_post(&kernel, fleet, proxy.svc, &msg);
	}
	static fleet_conf_t *make_conf()
	{
		fleet_conf_t *conf = fleet_conf_new();
		fleet_service_t engine = {};
		fleet_account_t account = {};
		route_terms_t terms = {};

		conf->version = 1;
		conf->has_accounts = true;
		g_strlcpy(terms.name, "draft", sizeof(terms.name));
		terms.kind = ROUTE_STREAM;
		terms.max_attempts = 1;
		terms.timeout_ms = 8000;
		terms.latency_goal_ms = 500;
		fleet_conf_add_route(conf, &terms, "h", "/");
		fleet_conf_add_share(conf, "engine", 1);
		g_strlcpy(engine.name, "engine", sizeof(engine.name));
		engine.engine = true;
		engine.event_tokens = 6;
		g_array_append_val(conf->services, engine);
		g_strlcpy(account.name, "a", sizeof(account.name));
		account.full_name = fleet_conf_keep(conf, "a");
		account.priority = -1;
		account.prepaid = 1000000000;
		g_array_append_val(conf->accounts, account);
		g_hash_table_insert(conf->keys, g_strdup("key"),
				    GUINT_TO_POINTER(1));
		return conf;
	}
	void open(bool deadly, bool whole, const std::vector<uint64_t> &parts)
	{
		msg_t msg = {};
		exchange_spec_t *spec = exchange_spec_new();
		size_t number = w->requests.size();
		uint64_t own = !whole ? number + 2 : deadly;

		w->requests.push_back({deadly, index, w->now});
		w->requests.back().in_touch = in_touch();
		for (uint64_t part : parts)
			exchange_spec_add_part(spec, part, 40);
		exchange_spec_add_part(spec, 1000 + own, 40);
		spec->body = g_bytes_new(&own, sizeof(own));
		spec->host = g_strdup("h");
		spec->path = g_strdup("/x");
		spec->api_key = g_strdup("key");
		g_snprintf(spec->request_id, sizeof(spec->request_id), "q");
		spec->prompt_tokens = 100;
		spec->max_tokens = 50;
		spec->wait_ms = -1;
		spec->head = http_head_request("POST", "/x");
		msg.kind = MSG_EXCHANGE_OPEN;
		msg.id = {(uint32_t)number + 1, 1};
		msg.u.exchange = spec;
		kernel_post(&kernel, ingress, proxy.svc, &msg);
	}
	bool in_touch() const
	{
		return up && w->now - disturbed >= CONTACT;
	}
	void handle(msg_t *msg)
	{
		switch (msg->kind) {
		case MSG_EXCHANGE_STARTED:
			exchanges[msg->id.index] = msg->ref.index - 1;
			break;
		case MSG_RESERVE:
			reserve(msg);
			break;
		case MSG_PLACE:
			place(msg);
			break;
		case MSG_OUT_SEND:
			send(msg);
			break;
		case MSG_OUT_CHECK:
			check(msg);
			break;
		case MSG_STORE_LIST:
		case MSG_STORE_TXN:
			call_store(msg);
			break;
		case MSG_PEER_SEND:
			for (Instance *to : w->instances)
				if (msg->u.peer.incarnation[0] == '\0' ||
				    strcmp(msg->u.peer.incarnation,
					   to->incarnation) == 0)
					w->deliver(this, to, msg->u.peer.body);
			break;
		default:
			break;
		}
	}
	void reserve(const msg_t *request)
	{
		msg_t msg = {};

		msg.kind = MSG_RESERVED;
		msg.ref = request->id;
		msg.id = {1, 1};
		msg.u.reserved.result = RESERVE_OK;
		kernel_post(&kernel, prepaid, request->from, &msg);
	}
	void place(const msg_t *request)
	{
		std::vector<size_t> up_targets;
		msg_t msg = {};

		for (size_t i = 0; i < w->targets.size(); i++)
			if (w->targets[i].up)
				up_targets.push_back(i);
		msg.ref = request->id;
		msg.id = {1, 1};
		if (up_targets.empty()) {
			msg.kind = MSG_PLACE_REFUSED;
			msg.u.place_refused.reason = REFUSAL_OVERLOADED;
		} else {
			size_t target =
				up_targets[w->rng.below(up_targets.size())];

			msg.kind = MSG_PLACED;
			msg.u.placed.target = {(uint32_t)target + 1, 1};
			g_snprintf(msg.u.placed.instance, NAME_SIZE, "t%zu",
				   target);
			g_snprintf(msg.u.placed.full_id,
				   sizeof(msg.u.placed.full_id), "t%zu",
				   target);
			g_strlcpy(msg.u.placed.host, "127.0.0.1",
				  sizeof(msg.u.placed.host));
			msg.u.placed.port = (uint16_t)target;
		}
		kernel_post(&kernel, balance, request->from, &msg);
	}
	msg_t call_msg(msg_kind_t kind, const Call &call)
	{
		msg_t msg = {};

		msg.kind = kind;
		msg.ref = call.ref;
		msg.id = call.id;
		return msg;
	}
	void send(const msg_t *request)
	{
		size_t target = request->u.out_send.port;
		size_t number = exchanges[request->id.index];
		Call call = {this,
			     generation,
			     request->id,
			     {++calls[request->id.index], 1},
			     number};
		msg_t msg = call_msg(MSG_OUT_STARTED, call);
		int64_t arrival = w->rng.ms(0, 2);

		kernel_post(&kernel, outbound, proxy.svc, &msg);
		run_after(arrival, [=]() { arrive(target, call); });
	}
	// The target gets the request, which ends there on any crash.
	void arrive(size_t target, const Call &call)
	{
		Request &request = w->requests[call.request];

		if (!w->targets[target].up) {
			msg_t msg = call_msg(MSG_OUT_FAILED, call);

			msg.u.out_failed.failure = FAILURE_CONNECT;
			msg.u.out_failed.refused = true;
			kernel_post(&kernel, outbound, proxy.svc, &msg);
			return;
		}
		request.arrived = w->now;
		request.in_touch = request.in_touch && in_touch();
		w->targets[target].calls.push_back(call);
		run_after(HEAD_AFTER, [=]() {
			if (!runs(target, call))
				return;
			msg_t msg = call_msg(MSG_OUT_HEAD, call);
			http_head_t *head = http_head_response(200);

			http_head_add(head, "Attempt-Id", "q");
			http_head_add(head, "Response-Seal", "s");
			http_head_add(head, "Content-Type",
				      "text/event-stream");
			http_head_add(head, "Transfer-Encoding", "chunked");
			msg.u.out_head.head = head;
			kernel_post(&kernel, outbound, proxy.svc, &msg);
		});
		if (request.deadly)
			w->after(CRASH_AFTER, [=]() {
				if (w->targets[target].up)
					w->crash_target(target);
			});
		for (int i = 1; !request.deadly && i <= EVENTS; i++)
			run_after(HEAD_AFTER + EVENT_EVERY * i,
				  [=]() { write_event(target, call, i); });
	}
	bool runs(size_t target, const Call &call) const
	{
		for (const Call &running : w->targets[target].calls)
			if (running.instance == this &&
			    running.generation == call.generation &&
			    running.request == call.request)
				return true;
		return false;
	}
	void write_event(size_t target, const Call &call, int number)
	{
		static const char event[] = "id: 1\ndata: x\n\n";
		std::vector<Call> &calls_there = w->targets[target].calls;
		msg_t data = call_msg(MSG_OUT_DATA, call);
		msg_t end = call_msg(MSG_OUT_END, call);

		if (!runs(target, call))
			return;
		data.u.data.bytes = g_bytes_new(event, strlen(event));
		kernel_post(&kernel, outbound, proxy.svc, &data);
		if (number < EVENTS)
			return;
		kernel_post(&kernel, outbound, proxy.svc, &end);
		for (size_t i = 0; i < calls_there.size(); i++)
			if (calls_there[i].request == call.request)
				calls_there.erase(calls_there.begin() +
						  (long)i--);
	}
	void check(const msg_t *request)
	{
		msg_t msg = {};

		msg.kind = MSG_OUT_CHECKED;
		msg.u.out_check = request->u.out_check;
		msg.u.out_check.result =
			w->targets[request->u.out_check.port].up
				? CHECK_ACCEPTED
				: CHECK_REFUSED;
		post_after(w->rng.ms(0, 2), outbound, proxy.svc, msg);
	}
	void call_store(const msg_t *request)
	{
		store_result_t *result = store_result_new(STORE_OK);
		msg_t msg = {};

		if (request->kind == MSG_STORE_TXN) {
			const GArray *ops = request->u.store_txn->ops;

			for (guint i = 0; i < ops->len; i++) {
				const store_op_t *op =
					&g_array_index(ops, store_op_t, i);

				if (op->kind == STORE_DELETE)
					w->records.erase(op->key);
				else
					w->records[op->key] = op->record;
			}
		} else {
			for (auto &[key, record] : w->records)
				store_result_add(result, 0, key.c_str(), 1,
						 &record);
		}
		msg.kind = MSG_STORE_RESULT;
		msg.ref = request->id;
		msg.u.store_result = result;
		post_after(4 * MS, store, request->from, msg);
	}
	void post_peer(msg_kind_t kind, const Instance *other)
	{
		msg_t msg = {};

		msg.kind = kind;
		g_strlcpy(msg.u.peer_addr.incarnation, other->incarnation,
			  sizeof(msg.u.peer_addr.incarnation));
		kernel_post(&kernel, peer, proxy.svc, &msg);
	}
};

bool FleetWorld::connected(const Instance *a, const Instance *b) const
{
	return a != b && a->up && b->up && a->index != cut && b->index != cut;
}

void FleetWorld::connect(Instance *a, Instance *b)
{
	if (!connected(a, b))
		return;
	a->post_peer(MSG_PEER_UP, b);
	b->post_peer(MSG_PEER_UP, a);
}

// Messages of one instance to another stay in order.  Some come twice.
void FleetWorld::deliver(Instance *from, Instance *to, const peer_body_t *body)
{
	int64_t &last = delivered[{from, to}];
	int64_t at = now + rng.ms(0, 1) + (int64_t)rng.below((uint64_t)late);

	if (!connected(from, to))
		return;
	last = MAX(last, at);
	for (int copies = rng.percent(3) ? 2 : 1; copies > 0; copies--) {
		msg_t msg = {};

		msg.kind = MSG_PEER_RECEIVED;
		g_strlcpy(msg.u.peer.incarnation, from->incarnation,
			  sizeof(msg.u.peer.incarnation));
		// None of the messages of the proxy owns memory.
		msg.u.peer.body = peer_body_new(body->kind);
		*msg.u.peer.body = *body;
		to->post_after(last - now, to->peer, to->proxy.svc, msg);
	}
}

void FleetWorld::crash_target(size_t index)
{
	Target &target = targets[index];

	crashes.push_back(now);
	target.up = false;
	for (const Call &call : target.calls) {
		msg_t msg = call.instance->call_msg(MSG_OUT_FAILED, call);

		if (!call.instance->up ||
		    call.instance->generation != call.generation)
			continue;
		msg.u.out_failed.failure = FAILURE_STREAM;
		msg.u.out_failed.sent = true;
		msg.u.out_failed.reset = true;
		call.instance->post_after(rng.ms(0, 2), call.instance->outbound,
					  call.instance->proxy.svc, msg);
	}
	target.calls.clear();
	after(down, [=]() { targets[index].up = true; });
}

void FleetWorld::restart(size_t index)
{
	Instance *instance = instances[index];

	instance->crash();
	for (Instance *other : instances)
		if (other->up)
			other->post_peer(MSG_PEER_DOWN, instance);
	after(300 * MS, [=]() {
		instance->start();
		for (Instance *other : instances)
			connect(instance, other);
	});
}

void FleetWorld::set_cut(size_t index)
{
	size_t former = cut;

	cut = index;
	if (index != SIZE_MAX)
		instances[index]->disturbed = now;
	if (former == SIZE_MAX)
		return;
	instances[former]->disturbed = now;
	for (Instance *other : instances)
		connect(instances[former], other);
}

struct Outcome {
	bool judged[RULES] = {}, broken[RULES] = {};
	size_t crashes = 0;
	uint64_t late = 0, before[2] = {},
		 after[2] = {}; // sound; begun of them
};

// Sends sound requests, then deadly ones, in a series and one by one.
struct Schedule {
	FleetWorld w;
	Plan plan;
	std::vector<Instance> members;
	int64_t begin, end;
	uint64_t deadly_sent = 0;

	explicit Schedule(uint64_t seed)
	    : w(seed), plan(w.rng, seed), members(plan.instances)
	{
		w.targets.resize(plan.targets);
		w.late = plan.late;
		w.down = plan.down;
		for (size_t i = 0; i < members.size(); i++) {
			members[i].world = &w;
			members[i].w = &w;
			members[i].index = i;
			w.instances.push_back(&members[i]);
			w.nodes.push_back(&members[i]);
		}
		begin = START + (SOUND_LEAST + 6) * plan.sound_gap;
		end = begin + plan.series * plan.series_gap + 4 * CONTACT +
		      (int64_t)(SOUND_LEAST + 6) * plan.sound_gap;
	}
	~Schedule()
	{
		for (Instance &instance : members)
			instance.crash();
		w.run(end + 60 * SECOND); // frees what is on its way
	}
	size_t last() const
	{
		return members.size() - 1;
	}
	void send_sound(uint64_t number)
	{
		size_t at = plan.apart ? 0 : w.rng.below(members.size());

		if (members[at].up)
			members[at].open(false, plan.popular, plan.sound);
		if (w.now + plan.sound_gap < end)
			w.after(plan.sound_gap,
				[=]() { send_sound(number + 1); });
	}
	void send_deadly(size_t at)
	{
		std::vector<uint64_t> parts = plan.deadly;

		if (plan.varied && ++deadly_sent > 4) {
			parts.clear();
			for (uint64_t part : plan.deadly)
				if (part == 1 || w.rng.percent(50))
					parts.push_back(part);
		}
		if (plan.whole)
			parts.clear();
		if (members[at].up)
			members[at].open(true, plan.whole, parts);
	}
	void send_more()
	{
		for (int i = 0; i < plan.at_once; i++)
			send_deadly(w.rng.below(members.size()));
		if (w.now + plan.deadly_gap < end)
			w.after(plan.deadly_gap, [=]() { send_more(); });
	}
	void send_series(int left)
	{
		for (int i = 0; i < plan.at_once; i++)
			send_deadly(plan.spread ? w.rng.below(members.size())
						: last());
		if (left > 1)
			w.after(plan.series_gap,
				[=]() { send_series(left - 1); });
		else
			w.after(plan.deadly_gap, [=]() { send_more(); });
	}
	void disturb()
	{
		for (int i = 0; i < plan.restarts; i++)
			w.restart(last() - (size_t)i);
		if (plan.cut && members.size() > 1) {
			w.set_cut(last());
			w.after(5 * SECOND, [=]() { w.set_cut(SIZE_MAX); });
		}
		w.after(SECOND, [=]() { send_series(plan.series); });
		if (!plan.restart_all)
			return;
		w.after(4 * SECOND, [=]() {
			for (size_t i = 0; i < members.size(); i++)
				w.restart(i);
		});
	}
	Outcome play()
	{
		for (Instance &instance : members)
			instance.start();
		for (size_t i = 0; i < members.size(); i++)
			for (size_t j = 0; j < i; j++)
				w.connect(&members[i], &members[j]);
		w.after(START, [=]() { send_sound(0); });
		w.after(begin, [=]() { disturb(); });
		w.run(end);
		return judge();
	}
	Outcome judge() const
	{
		Outcome outcome;
		// A request is blamed by its third crash, a part by its fifth.
		size_t counted = plan.whole ? 3 : 5;
		size_t n = w.crashes.size();
		int64_t decisive =
			n == 0 ? begin : w.crashes[MIN(n, counted) - 1];

		outcome.crashes = n;
		for (const Request &request : w.requests) {
			bool arrived = request.arrived >= 0;

			if (!request.in_touch)
				continue;
			if (request.deadly) {
				outcome.late +=
					n >= counted && arrived &&
					request.arrived > decisive + CONTACT;
			} else if (request.sent < begin) {
				outcome.before[0]++;
				outcome.before[1] += arrived;
			} else if (request.sent > decisive + 2 * CONTACT) {
				outcome.after[0]++;
				outcome.after[1] += arrived;
			}
		}
		outcome.judged[SOUND_GO_ON] =
			outcome.before[0] >= SOUND_LEAST &&
			outcome.after[0] >= SOUND_LEAST;
		outcome.judged[FEW_DEADLY] = n >= counted;
		outcome.broken[SOUND_GO_ON] =
			outcome.judged[SOUND_GO_ON] &&
			2 * outcome.after[1] * outcome.before[0] <
				outcome.before[1] * outcome.after[0];
		outcome.broken[FEW_DEADLY] = outcome.late > LATE_MOST;
		return outcome;
	}
};

void print(uint64_t seed, const Outcome &outcome)
{
	Rng rng = FleetWorld(seed).rng;
	Plan plan(rng, seed);

	printf("seed %" G_GUINT64_FORMAT
	       ": instances=%zu whole=%d popular=%d parts=%zu deadly=",
	       seed, plan.instances, plan.whole, plan.popular,
	       plan.sound.size());
	for (uint64_t part : plan.deadly)
		printf("%" G_GUINT64_FORMAT ":", part);
	printf(" varied=%d apart=%d series=%d at_once=%d restarts=%d all=%d "
	       "cut=%d late_ms=%d crashes=%zu late=%d sound %d/%d then "
	       "%d/%d\n",
	       plan.varied, plan.apart, plan.series, plan.at_once,
	       plan.restarts, plan.restart_all, plan.cut, (int)(plan.late / MS),
	       outcome.crashes, (int)outcome.late, (int)outcome.before[1],
	       (int)outcome.before[0], (int)outcome.after[1],
	       (int)outcome.after[0]);
}

// Plays the schedules and returns how many break the rule.
uint64_t count_broken(Rule rule)
{
	uint64_t first = 1, last = 300, judged = 0, broken = 0;
	uint64_t late = 0, begun = 0, sound = 0;
	const char *range = getenv("SEEDS");

	if (range != nullptr)
		sscanf(range, "%" G_GUINT64_FORMAT "..%" G_GUINT64_FORMAT,
		       &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		Outcome outcome = Schedule(seed).play();

		judged += outcome.judged[rule];
		broken += outcome.broken[rule];
		late += outcome.judged[rule] ? outcome.late : 0;
		begun += outcome.judged[rule] ? outcome.after[1] : 0;
		sound += outcome.judged[rule] ? outcome.after[0] : 0;
		if (outcome.broken[rule])
			print(seed, outcome);
	}
	printf("quarantines %s schedules=%" G_GUINT64_FORMAT
	       " judged=%" G_GUINT64_FORMAT " violations=%" G_GUINT64_FORMAT
	       " late=%" G_GUINT64_FORMAT " sound=%" G_GUINT64_FORMAT
	       "/%" G_GUINT64_FORMAT "\n",
	       rule_names[rule], last - first + 1, judged, broken, late, begun,
	       sound);
	return broken;
}

// Guards against a quarantine of what sound requests have in common with the
// deadly ones.
TEST(ProveQuarantines, SoundRequestsGoOn)
{
	EXPECT_EQ(count_broken(SOUND_GO_ON), 0u);
}

// Guards against deadly requests that reach target after target.
TEST(ProveQuarantines, FewDeadlyRequestsReachTargets)
{
	EXPECT_EQ(count_broken(FEW_DEADLY), 0u);
}

} // namespace
