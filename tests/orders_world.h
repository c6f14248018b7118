// World of the orders tests: routers with the orders service, a store with
// leases, and targets that keep account of what reaches them.
#ifndef TESTS_ORDERS_WORLD_H
#define TESTS_ORDERS_WORLD_H

#include "orders/orders.h"
#include "tests/prove_world.h"

#include <cstring>
#include <set>

constexpr int64_t SEC = USEC_PER_SEC;
constexpr uint32_t LONGEST_MS[ORDER_KIND_COUNT] = {25000, 8000, 1500};

struct Target {
	std::string name;
	bool checks = false;
	bool down = false;
	bool refuses = false; // for good
	int64_t fence = 0;
	int64_t current = 0, highest = 0; // numbers of wishes
	int64_t wish = 0;
	struct Run {
		std::string router;
		int64_t number, end;
	};
	std::vector<Run> runs;
};

struct OrderWorld : World {
	using World::World;
	std::vector<Target> targets;
	std::map<int64_t, int64_t> leases; // id -> end
	std::map<std::string, int64_t> bound; // key -> lease
	int64_t lease_seq = 0;
	int64_t lease_cut = 0; // deliberate fault: ends sooner than promised
	bool quiet = false; // nothing is lost or late
	uint64_t calls[MSG_KIND_COUNT] = {}, sent = 0;

	void check(bool ok)
	{
		tally.checks[0]++;
		tally.violations[0] += !ok;
	}
	bool chance(uint64_t p)
	{
		return !quiet && rng.percent(p);
	}
	Target &find(const char *name)
	{
		for (Target &target : targets)
			if (target.name == name)
				return target;
		abort();
	}
	void expire()
	{
		for (auto it = bound.begin(); it != bound.end();) {
			if (leases[it->second] > now) {
				++it;
				continue;
			}
			values.erase(it->first);
			it = bound.erase(it);
		}
	}
	store_result_t *transact(const store_txn_t *txn)
	{
		store_result_t *result;
		for (guint i = 0; i < txn->ops->len; i++) {
			auto *op = &g_array_index(txn->ops, store_op_t, i);
			if (op->lease != 0 && leases[op->lease] <= now)
				return store_result_new(STORE_INVALID);
		}
		result = apply(txn);
		for (guint i = 0; i < txn->ops->len; i++) {
			auto *op = &g_array_index(txn->ops, store_op_t, i);
			if (!store_result_committed(result, op->group))
				continue;
			if (op->lease != 0)
				bound[op->key] = op->lease;
			if (op->kind == STORE_DELETE) {
				values.erase(op->key);
				bound.erase(op->key);
			}
		}
		return result;
	}
	store_result_t *execute(const msg_t *call, const store_txn_t *txn)
	{
		store_result_t *result;
		expire();
		if (call->kind == MSG_STORE_TXN)
			return transact(txn);
		result = store_result_new(STORE_OK);
		if (call->kind == MSG_STORE_GET) {
			std::string prefix = call->u.store_get.key;
			for (auto &[key, value] : values)
				if (key.compare(0, prefix.size(), prefix) == 0)
					store_result_add(result, 0, key.c_str(),
							 value.revision,
							 &value.record);
			return result;
		}
		int32_t ttl = call->u.store_lease.ttl_s;
		int64_t lease = call->kind == MSG_STORE_LEASE
					? ++lease_seq
					: call->u.store_lease.lease;
		if (call->kind == MSG_STORE_LEASE || leases[lease] > now) {
			leases[lease] = now + ttl * SEC - lease_cut;
			result->lease_ttl_s = ttl;
		}
		result->lease = lease;
		return result;
	}
	void store(Node *node, msg_t *msg)
	{
		svc_t from = msg->from;
		int epoch = node->generation;
		calls[msg->kind]++;
		std::shared_ptr<store_txn_t> txn(
			msg->kind == MSG_STORE_TXN ? msg->u.store_txn : nullptr,
			store_txn_free);
		if (txn != nullptr)
			msg->u.store_txn = nullptr;
		msg_t call = *msg;
		if (chance(3)) // wakes up with an old answer
			node->paused_until = now + rng.ms(100, 15000);
		if (store_down && chance(60)) {
			reply(node, from, call, rng.ms(1, 2000),
			      store_result_new(STORE_UNAVAILABLE));
			return;
		}
		bool lost = store_down || chance(10);
		if (lost)
			reply(node, from, call, rng.ms(1, 2000),
			      store_result_new(STORE_UNKNOWN));
		after(rng.ms(0, lost ? 2500 : 5), [=]() {
			store_result_t *result = execute(&call, txn.get());
			if (lost || node->generation != epoch)
				store_result_free(result);
			else
				reply(node, from, call, rng.ms(0, 5), result);
		});
	}

	// An order reaches the target; false when it is refused.
	bool arrive(Target &target, const std::string &router, int64_t fence,
		    int64_t number, int64_t end)
	{
		if (target.checks) {
			if (fence < target.fence)
				return false;
			target.fence = fence;
			target.current = number;
			check(number >= target.highest);
			target.highest = std::max(target.highest, number);
			return true;
		}
		bool alone = true;
		for (auto &run : target.runs)
			alone = alone &&
				(run.end <= now || (run.router == router &&
						    run.number == number));
		check(alone);
		target.runs.push_back({router, number, end});
		// It takes effect when it ends: overlapping would show.
		Target *at_end = &target;
		after(end - now, [=]() { at_end->current = number; });
		return true;
	}
};

struct Router : Node {
	orders_t orders;
	svc_t conf, member, dispatch;
	bool alone = false; // sees no other router
	int stopped = 0;

	OrderWorld *w()
	{
		return static_cast<OrderWorld *>(world);
	}
	static void on_store(void *self, msg_t *msg)
	{
		auto *router = static_cast<Router *>(self);
		router->w()->store(router, msg);
	}
	static void on_dispatch(void *self, msg_t *msg)
	{
		auto *router = static_cast<Router *>(self);
		if (msg->kind == MSG_ORDER_SEND)
			router->connect(*msg);
	}
	static void on_router(void *self, msg_t *msg)
	{
		static_cast<Router *>(self)->stopped +=
			msg->kind == MSG_STOPPED;
	}
	static void ignore(void *, msg_t *)
	{
	}
	void start_services() override
	{
		orders_opts_t opts = {};
		g_strlcpy(opts.incarnation, incarnation, INCARNATION_SIZE);
		memcpy(opts.longest_ms, LONGEST_MS, sizeof(LONGEST_MS));
		register_fake("store", on_store);
		conf = register_fake("conf", ignore);
		member = register_fake("member", ignore);
		dispatch = register_fake("dispatch", on_dispatch);
		register_fake("router", on_router);
		orders_init(&orders, &kernel, &opts);
		run_after(0, [this]() { tell_members(); });
		run_after(0, [this]() { tell_conf(); });
	}
	void stop_services() override
	{
		orders_finish(&orders);
	}
	void tell_members()
	{
		msg_t msg = {};
		msg.kind = MSG_MEMBER_CHANGED;
		msg.u.members = member_list_new();
		for (Node *node : world->nodes) {
			member_info_t info = {};
			if (!node->up || (alone && node != this))
				continue;
			g_strlcpy(info.incarnation, node->incarnation,
				  INCARNATION_SIZE);
			g_strlcpy(info.availability_zone, "a", NAME_SIZE);
			g_array_append_val(msg.u.members->members, info);
		}
		kernel_post(&kernel, member, orders.svc, &msg);
	}
	void tell_conf()
	{
		msg_t msg = {};
		msg.kind = MSG_CONF_CHANGED;
		msg.u.conf = conf_snapshot_new();
		for (const Target &from : w()->targets) {
			record_target_t target = {};
			record_order_t order = {};
			g_strlcpy(target.name, from.name.c_str(), NAME_SIZE);
			g_strlcpy(target.host, from.name.c_str(), HOST_SIZE);
			g_strlcpy(target.availability_zone, "a", NAME_SIZE);
			target.checks_fencing = from.checks;
			g_array_append_val(msg.u.conf->targets, target);
			if (from.wish == 0)
				continue;
			g_strlcpy(order.target, from.name.c_str(), NAME_SIZE);
			order.number = from.wish;
			order.kind =
				(order_kind_t)(from.wish % ORDER_KIND_COUNT);
			g_snprintf(order.subject, NAME_SIZE,
				   "%" G_GINT64_FORMAT, from.wish);
			g_array_append_val(msg.u.conf->orders, order);
		}
		kernel_post(&kernel, conf, orders.svc, &msg);
	}
	void result(const msg_t &send, int64_t delay, order_result_t result)
	{
		msg_t msg = {};
		msg.kind = MSG_ORDER_RESULT;
		msg.ref = send.id;
		msg.u.order_result.result = result;
		post_after(delay, dispatch, orders.svc, msg);
	}
	// Connecting takes time, in which the router may be paused.
	void connect(const msg_t &send)
	{
		if (w()->chance(5))
			paused_until = w()->now + w()->rng.ms(100, 30000);
		run_after(w()->quiet ? 0 : w()->rng.ms(0, 200),
			  [=]() { connected(send); });
	}
	void connected(const msg_t &send)
	{
		if (paused_until > w()->now) {
			run_after(paused_until - w()->now,
				  [=]() { connected(send); });
			return;
		}
		Target &target = w()->find(send.u.order_send.host);
		if (w()->now >= send.u.order_send.send_before || target.down ||
		    w()->chance(5))
			result(send, 0, ORDER_RESULT_NOT_SENT);
		else
			transmit(send, &target);
	}
	void transmit(const msg_t &send, Target *target)
	{
		OrderWorld *world_now = w();
		Rng &rng = world_now->rng;
		std::string self = incarnation;
		int at_epoch = generation;
		int64_t number = atoll(send.u.order_send.subject);
		int64_t fence = send.u.order_send.fencing_token;
		int64_t longest = send.u.order_send.longest_ms;
		int64_t end = world_now->now + rng.ms(200, longest);
		// A fence holds whatever the delay on the way.
		int64_t delay = target->checks && world_now->chance(20)
					? rng.ms(0, 40000)
					: rng.ms(0, 100);
		bool lost = world_now->chance(15);

		world_now->sent++;
		if (target->refuses) {
			result(send, delay, ORDER_RESULT_FAILED);
			return;
		}
		if (lost)
			result(send, rng.ms(0, longest), ORDER_RESULT_UNKNOWN);
		else if (delay > 100 * MS)
			result(send, longest * MS, ORDER_RESULT_UNKNOWN);
		bool answer = !lost && delay <= 100 * MS;
		world_now->after(delay, [=]() {
			bool ok = world_now->arrive(*target, self, fence,
						    number, end);
			if (answer && generation == at_epoch)
				result(send, end - world_now->now,
				       ok ? ORDER_RESULT_DONE
					  : ORDER_RESULT_REFUSED_FENCING);
		});
	}
};

#endif
