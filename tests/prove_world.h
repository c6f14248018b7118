// Seeded simulation for property tests: routers under one virtual clock and a
// shared fake store, with delayed and lost messages, crashes, pauses and store
// outages.
#ifndef TESTS_PROVE_WORLD_H
#define TESTS_PROVE_WORLD_H

#include "kernel/kernel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

constexpr int64_t MS = USEC_PER_MSEC;

struct Rng {
	uint64_t state;
	uint64_t below(uint64_t n)
	{
		uint64_t z = (state += UINT64_C(0x9e3779b97f4a7c15));
		z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
		z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
		return (z ^ (z >> 31)) % n;
	}
	bool percent(uint64_t p)
	{
		return below(100) < p;
	}
	int64_t ms(int64_t from, int64_t to)
	{
		return from * MS + (int64_t)below((to - from) * MS + 1);
	}
};

struct Tally {
	uint64_t checks[6] = {}, violations[6] = {}; // indexed by promise
};

struct World;

// A router.  A test derives from this class and registers its services in
// start_services().
struct Node {
	World *world = nullptr;
	kernel_t kernel;
	int generation = 0;
	bool up = false;
	int64_t paused_until = 0;
	char incarnation[INCARNATION_SIZE];

	virtual ~Node() = default;
	virtual void start_services() = 0;
	virtual void stop_services() = 0;
	void start();
	void crash();
	// Calls fn after a delay, unless the router has crashed in the
	// meantime.
	void run_after(int64_t delay, const std::function<void()> &fn);
	void post_after(int64_t delay, svc_t from, svc_t to, const msg_t &msg);
	svc_t register_fake(const char *name, recv_fn_t recv)
	{
		return kernel_register(&kernel, name, recv, this);
	}
};

struct World {
	Rng rng;
	int64_t now = 0;
	uint64_t seq = 0;
	std::map<std::pair<int64_t, uint64_t>, std::function<void()>> events;
	std::vector<Node *> nodes;
	Tally tally;

	struct Value {
		int64_t revision = 0;
		record_t record = {};
	};
	std::map<std::string, Value> values;
	int64_t revision = 1;
	bool store_down = false;
	bool ignore_revisions = false; // deliberate fault

	explicit World(uint64_t seed) : rng{seed * 7919 + 1}
	{
	}
	~World()
	{
		for (auto &value : values)
			record_clear(&value.second.record);
	}
	void after(int64_t delay, std::function<void()> fn)
	{
		events[{now + delay, ++seq}] = std::move(fn);
	}
	// Returns the time of the next event of a router, or INT64_MAX.
	int64_t next_event_at(const Node *node) const
	{
		int64_t next = node->up ? kernel_next_timer(&node->kernel) : -1;
		if (node->up && node->kernel.queue_len > 0)
			next = now;
		return next < 0 ? INT64_MAX
				: std::max(next, node->paused_until);
	}
	void run(int64_t until)
	{
		for (;;) {
			int64_t next = INT64_MAX;
			if (!events.empty())
				next = events.begin()->first.first;
			for (Node *node : nodes)
				next = std::min(next, next_event_at(node));
			if (next > until)
				break;
			now = std::max(now, next);
			while (!events.empty() &&
			       events.begin()->first.first <= now) {
				auto fn = std::move(events.begin()->second);
				events.erase(events.begin());
				fn();
			}
			for (Node *node : nodes) {
				if (!node->up || node->paused_until > now)
					continue;
				// After a pause the clock jumps forward.
				node->kernel.virtual_now = now;
				kernel_run_until(&node->kernel, now);
			}
		}
		now = until;
	}
	store_result_t *apply(const store_txn_t *txn)
	{
		store_result_t *result = store_result_new(STORE_OK);
		result->revision = ++revision;
		for (guint g = 0; g < txn->group_count; g++) {
			bool holds = true;
			for (int pass = 0; pass < 2; pass++)
				for (guint i = 0; i < txn->ops->len; i++)
					apply_op(&g_array_index(txn->ops,
								store_op_t, i),
						 g, pass, &holds, result);
			g_array_append_val(result->committed, holds);
		}
		return result;
	}
	// Pass 0 compares the group's revisions, pass 1 writes or reports
	// values.
	void apply_op(const store_op_t *op, guint g, int pass, bool *holds,
		      store_result_t *result)
	{
		Value &value = values[op->key]; // revision 0: absent
		if (op->group != g)
			return;
		if (pass == 0) {
			*holds = *holds && (ignore_revisions ||
					    op->expect == EXPECT_ANY ||
					    op->expect == value.revision);
		} else if (*holds) {
			record_clear(&value.record);
			record_copy(&value.record, &op->record);
			value.revision = revision;
		} else {
			store_result_add(result, g, op->key, value.revision,
					 &value.record);
		}
	}
	void reply(Node *node, svc_t from, const msg_t &call, int64_t delay,
		   store_result_t *result)
	{
		msg_t msg = {};
		msg.kind = MSG_STORE_RESULT;
		msg.ref = call.id;
		msg.u.store_result = result;
		node->post_after(delay, call.to, from, msg);
	}
	void store_call(Node *node, msg_t *msg)
	{
		svc_t from = msg->from;
		int generation = node->generation;
		if (msg->kind == MSG_STORE_LEASE) {
			store_result_t *result = store_result_new(
				store_down ? STORE_UNAVAILABLE : STORE_OK);
			result->lease = store_down ? 0 : 7;
			reply(node, from, *msg, rng.ms(0, 5), result);
			return;
		}
		if (msg->kind != MSG_STORE_TXN)
			return;
		// A router paused here resumes with an outdated result.
		if (rng.percent(2))
			node->paused_until = now + rng.ms(100, 1500);
		if (store_down && rng.percent(60)) {
			reply(node, from, *msg, rng.ms(1, 50),
			      store_result_new(rng.percent(70)
						       ? STORE_UNAVAILABLE
						       : STORE_UNKNOWN));
			return;
		}
		// The result is lost, possibly before the call takes effect.
		bool lost = store_down || rng.percent(15);
		if (lost)
			reply(node, from, *msg, rng.ms(1, 100),
			      store_result_new(STORE_UNKNOWN));
		std::shared_ptr<store_txn_t> txn(msg->u.store_txn,
						 store_txn_free);
		msg->u.store_txn = nullptr;
		msg_t call = *msg;
		after(rng.ms(0, lost ? 300 : 5), [=]() {
			store_result_t *result = apply(txn.get());
			if (lost || node->generation != generation)
				store_result_free(result);
			else
				reply(node, from, call, rng.ms(0, 5), result);
		});
	}
	// Schedules crashes, pauses and store outages at random times.
	void plan_faults(int64_t until)
	{
		for (int i = (int)rng.below(6); i > 0; i--) {
			Node *node = nodes[rng.below(nodes.size())];
			int64_t length = rng.ms(20, 2500);
			uint64_t kind = rng.below(3);
			after((int64_t)rng.below(until), [=]() {
				if (kind == 0 && node->up) {
					node->crash();
					after(length, [=]() { node->start(); });
				} else if (kind == 1) {
					node->paused_until = now + length;
				} else if (kind == 2 && !store_down) {
					store_down = true;
					after(length,
					      [=]() { store_down = false; });
				}
			});
		}
	}
};

inline void Node::start()
{
	if (up)
		return;
	kernel_init(&kernel, CLOCK_VIRTUAL, world->rng.below(UINT64_MAX));
	kernel.virtual_now = world->now;
	kernel_uuid(&kernel, incarnation);
	up = true;
	generation++;
	start_services();
	kernel_start(&kernel);
}

inline void Node::crash()
{
	if (!up)
		return;
	up = false;
	generation++;
	stop_services();
	kernel_finish(&kernel);
}

inline void Node::run_after(int64_t delay, const std::function<void()> &fn)
{
	int at_generation = generation;

	world->after(delay, [=]() {
		if (generation == at_generation)
			fn();
	});
}

inline void Node::post_after(int64_t delay, svc_t from, svc_t to,
			     const msg_t &msg)
{
	int at_generation = generation;
	world->after(delay, [=]() {
		msg_t copy = msg;
		if (generation == at_generation)
			kernel_post(&kernel, from, to, &copy);
		else
			msg_clear(&copy);
	});
}

using Schedule = std::function<Tally(uint64_t seed, int steps)>;

// Runs a schedule for each seed and prints one line per promise, with the seed
// and the shortest failing prefix of the first violation.
inline Tally check_schedules(const char *what, const std::vector<int> &promises,
			     uint64_t first, uint64_t last, int steps,
			     const Schedule &schedule, bool print = true)
{
	Tally sum;
	std::map<int, uint64_t> bad;
	const char *range = getenv("SEEDS");

	if (print && range != nullptr)
		sscanf(range, "%" G_GUINT64_FORMAT "..%" G_GUINT64_FORMAT,
		       &first, &last);
	for (uint64_t seed = first; seed <= last; seed++) {
		Tally one = schedule(seed, steps);
		for (int p : promises) {
			sum.checks[p] += one.checks[p];
			sum.violations[p] += one.violations[p];
			if (one.violations[p] > 0)
				bad.emplace(p, seed);
		}
	}
	for (int p : promises) {
		if (!print)
			continue;
		printf("promise %d %s schedules=%" G_GUINT64_FORMAT
		       " checks=%" G_GUINT64_FORMAT
		       " violations=%" G_GUINT64_FORMAT,
		       p, what, last - first + 1, sum.checks[p],
		       sum.violations[p]);
		int prefix = 1;
		if (bad.count(p) != 0) {
			while (prefix < steps &&
			       schedule(bad[p], prefix).violations[p] == 0)
				prefix++;
			printf(" seed=%" G_GUINT64_FORMAT " prefix=%d", bad[p],
			       prefix);
		}
		printf("\n");
	}
	fflush(stdout);
	return sum;
}

#endif
