// Simulation for the orders tests: routers with the orders service, a store
// with leases, and targets that record the orders they receive.
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
	bool checks_fencing = false;
	bool down = false;
	bool rejects_orders = false; // as failed, not to be retried
	int64_t fencing_token = 0;
	int64_t applied = 0, highest_applied = 0; // numbers of orders
	int64_t newest_order = 0; // number of the newest stored order
	struct Run {
		std::string router;
		int64_t number, end;
	};
	std::vector<Run> runs;
};

struct OrderWorld : World {
	using World::World;
	std::vector<Target> targets;
	std::map<int64_t, int64_t> leases; // lease id -> expiry
	std::map<std::string, int64_t> key_leases; // store key -> lease id
	int64_t lease_seq = 0;
	// Injected fault: the time by which leases expire before their TTL.
	int64_t lease_shortfall = 0;
	bool faults_disabled = false; // no lost or late messages
	uint64_t calls[MSG_KIND_COUNT] = {}, sent = 0;

	void check(bool ok)
	{
		tally.checks[0]++;
		tally.violations[0] += !ok;
	}
	bool fault_chance(uint64_t p)
	{
		return !faults_disabled && rng.percent(p);
	}
	Target &find(const char *name)
	{
		for (Target &target : targets)
			if (target.name == name)
				return target;
		abort();
	}
	void expire_keys()
	{
		for (auto it = key_leases.begin(); it != key_leases.end();) {
			if (leases[it->second] > now) {
				++it;
				continue;
			}
			values.erase(it->first);
			it = key_leases.erase(it);
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
				key_leases[op->key] = op->lease;
			if (op->kind == STORE_DELETE) {
				values.erase(op->key);
				key_leases.erase(op->key);
			}
		}
		return result;
	}
	store_result_t *execute(const msg_t *call, const store_txn_t *txn)
	{
		store_result_t *result;
		expire_keys();
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
			leases[lease] = now + ttl * SEC - lease_shortfall;
			result->lease_ttl_s = ttl;
		}
		result->lease = lease;
		return result;
	}
	void store(Node *node, msg_t *msg)
	{
		svc_t from = msg->from;
		int generation = node->generation;
		calls[msg->kind]++;
		std::shared_ptr<store_txn_t> txn(
			msg->kind == MSG_STORE_TXN ? msg->u.store_txn : nullptr,
			store_txn_free);
		if (txn != nullptr)
			msg->u.store_txn = nullptr;
		msg_t call = *msg;
		if (fault_chance(3)) // the result is old after the pause
			node->paused_until = now + rng.ms(100, 15000);
		if (store_down && fault_chance(60)) {
			reply(node, from, call, rng.ms(1, 2000),
			      store_result_new(STORE_UNAVAILABLE));
			return;
		}
		bool lost = store_down || fault_chance(10);
		if (lost)
			reply(node, from, call, rng.ms(1, 2000),
			      store_result_new(STORE_UNKNOWN));
		after(rng.ms(0, lost ? 2500 : 5), [=]() {
			store_result_t *result = execute(&call, txn.get());
			if (lost || node->generation != generation)
				store_result_free(result);
			else
				reply(node, from, call, rng.ms(0, 5), result);
		});
	}

	// Returns false if the target refuses an old fencing token.
	bool receive_order(Target &target, const std::string &router,
			   int64_t fencing_token, int64_t number, int64_t end)
	{
		if (target.checks_fencing) {
			if (fencing_token < target.fencing_token)
				return false;
			target.fencing_token = fencing_token;
			target.applied = number;
			check(number >= target.highest_applied);
			target.highest_applied =
				std::max(target.highest_applied, number);
			return true;
		}
		bool exclusive = true;
		for (auto &run : target.runs)
			exclusive = exclusive &&
				    (run.end <= now || (run.router == router &&
							run.number == number));
		check(exclusive);
		target.runs.push_back({router, number, end});
		// The order takes effect when it ends, so that an overlap
		// changes the result.
		Target *receiver = &target;
		after(end - now, [=]() { receiver->applied = number; });
		return true;
	}
};

struct Router : Node {
	orders_t orders;
	svc_t conf, member, dispatch;
	bool isolated = false; // sees no other member
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
		run_after(0, [this]() { publish_members(); });
		run_after(0, [this]() { publish_conf(); });
	}
	void stop_services() override
	{
		orders_finish(&orders);
	}
	void publish_members()
	{
		msg_t msg = {};
		msg.kind = MSG_MEMBER_CHANGED;
		msg.u.members = member_list_new();
		for (Node *node : world->nodes) {
			member_info_t info = {};
			if (!node->up || (isolated && node != this))
				continue;
			g_strlcpy(info.incarnation, node->incarnation,
				  INCARNATION_SIZE);
			g_strlcpy(info.availability_zone, "a", NAME_SIZE);
			g_array_append_val(msg.u.members->members, info);
		}
		kernel_post(&kernel, member, orders.svc, &msg);
	}
	void publish_conf()
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
			target.checks_fencing = from.checks_fencing;
			g_array_append_val(msg.u.conf->targets, target);
			if (from.newest_order == 0)
				continue;
			g_strlcpy(order.target, from.name.c_str(), NAME_SIZE);
			order.number = from.newest_order;
			order.kind = (order_kind_t)(from.newest_order %
						    ORDER_KIND_COUNT);
			g_snprintf(order.subject, NAME_SIZE,
				   "%" G_GINT64_FORMAT, from.newest_order);
			g_array_append_val(msg.u.conf->orders, order);
		}
		kernel_post(&kernel, conf, orders.svc, &msg);
	}
	void post_result(const msg_t &send, int64_t delay,
			 order_result_t result)
	{
		msg_t msg = {};
		msg.kind = MSG_ORDER_RESULT;
		msg.ref = send.id;
		msg.u.order_result.result = result;
		post_after(delay, dispatch, orders.svc, msg);
	}
	// The router may be paused while it connects.
	void connect(const msg_t &send)
	{
		if (w()->fault_chance(5))
			paused_until = w()->now + w()->rng.ms(100, 30000);
		run_after(w()->faults_disabled ? 0 : w()->rng.ms(0, 200),
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
		    w()->fault_chance(5))
			post_result(send, 0, ORDER_RESULT_NOT_SENT);
		else
			transmit(send, &target);
	}
	void transmit(const msg_t &send, Target *target)
	{
		OrderWorld *sim = w();
		Rng &rng = sim->rng;
		std::string self = incarnation;
		int sent_generation = generation;
		int64_t number = atoll(send.u.order_send.subject);
		int64_t fencing_token = send.u.order_send.fencing_token;
		int64_t longest = send.u.order_send.longest_ms;
		int64_t end = sim->now + rng.ms(200, longest);
		// Fencing must work with any network delay.
		int64_t delay = target->checks_fencing && sim->fault_chance(20)
					? rng.ms(0, 40000)
					: rng.ms(0, 100);
		bool lost = sim->fault_chance(15);

		sim->sent++;
		if (target->rejects_orders) {
			post_result(send, delay, ORDER_RESULT_FAILED);
			return;
		}
		if (lost)
			post_result(send, rng.ms(0, longest),
				    ORDER_RESULT_UNKNOWN);
		else if (delay > 100 * MS)
			post_result(send, longest * MS, ORDER_RESULT_UNKNOWN);
		bool responds = !lost && delay <= 100 * MS;
		sim->after(delay, [=]() {
			bool ok = sim->receive_order(
				*target, self, fencing_token, number, end);
			if (responds && generation == sent_generation)
				post_result(send, end - sim->now,
					    ok ? ORDER_RESULT_DONE
					       : ORDER_RESULT_REFUSED_FENCING);
		});
	}
};

#endif
