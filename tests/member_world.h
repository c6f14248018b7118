// Simulation for the member tests: routers under one virtual clock, a shared
// store with leases and watches, and connections that can be partitioned.
#ifndef TESTS_MEMBER_WORLD_H
#define TESTS_MEMBER_WORLD_H

#include "member/member.h"
#include "tests/prove_world.h"

#include <cstring>
#include <set>

constexpr int64_t SEC = USEC_PER_SEC;

struct MemberWorld;

struct MemberNode : Node {
	MemberWorld *member_world;
	int index;
	std::string zone, buddy;
	int partition = 0; // routers connect only within a partition
	bool store_unreachable = false;
	member_t member;
	std::vector<std::string> watches;
	std::set<int> connections; // indices of connected routers
	std::set<std::string> neighbours;
	std::map<std::string, int64_t> reports; // expiry reports by incarnation
	std::set<std::string> reported_as_buddy, reported_instance_gone;
	int64_t valid_until = 0;
	int renewals = 0, buddy_changes = 0;
	bool stopped = false;

	void start_services() override;
	void stop_services() override
	{
		member_finish(&member);
		connections.clear();
		watches.clear();
		neighbours.clear();
	}
	static void store_recv(void *self, msg_t *msg);
	static void peer_recv(void *self, msg_t *msg);
	static void ledger_recv(void *self, msg_t *msg);
	static void other_recv(void *self, msg_t *msg)
	{
		if (msg->kind == MSG_STOPPED)
			static_cast<MemberNode *>(self)->stopped = true;
	}
	void post_peer(msg_kind_t kind, MemberNode *other);
	void list_instances(const std::vector<MemberNode *> &nodes);
	std::string key(const char *prefix) const
	{
		return std::string(prefix) + incarnation;
	}
	void stop()
	{
		msg_t msg = {};

		msg.kind = MSG_STOP;
		post_after(0, HANDLE_NONE, member.svc, msg);
	}
};

struct MemberWorld : World {
	struct Lease {
		int64_t ttl, until;
		std::set<std::string> keys;
	};
	std::map<int64_t, Lease> leases;
	std::vector<std::unique_ptr<MemberNode>> routers;
	std::vector<std::pair<int64_t, std::string>> change_log;
	bool finished = false;
	uint64_t loss_percent = 0; // store replies that are lost

	// Starts one router in each of the given zones.
	MemberWorld(uint64_t seed, const std::vector<std::string> &zones)
	    : World(seed)
	{
		for (size_t i = 0; i < zones.size(); i++) {
			routers.push_back(std::make_unique<MemberNode>());
			MemberNode *node = routers.back().get();
			node->world = this;
			node->member_world = this;
			node->index = (int)i;
			node->zone = zones[i];
			nodes.push_back(node);
		}
		for (auto &node : routers)
			node->start();
		update_connections();
		expire_leases();
	}
	~MemberWorld()
	{
		for (auto &node : routers)
			node->crash();
		finished = true;
		World::run(now + 60 * SEC); // frees pending messages
	}
	MemberNode &operator[](size_t i)
	{
		return *routers[i];
	}
	MemberNode *find(const std::string &incarnation)
	{
		for (auto &node : routers)
			if (node->up && incarnation == node->incarnation)
				return node.get();
		return nullptr;
	}
	bool has_key(const std::string &key) const
	{
		return values.count(key) != 0;
	}
	bool can_reach(const MemberNode *a, const MemberNode *b) const
	{
		return a->up && b->up && a->partition == b->partition;
	}
	bool is_store_unreachable(const MemberNode *node) const
	{
		return store_down || node->store_unreachable;
	}
	void check(int promise, bool holds)
	{
		tally.checks[promise]++;
		tally.violations[promise] += !holds;
	}
	// Connections are made at once; their loss is reported after 3 s.
	void update_connections()
	{
		for (auto &a : routers)
			for (auto &b : routers)
				if (a != b && can_reach(a.get(), b.get()) &&
				    !a->connections.count(b->index) &&
				    (a->neighbours.count(b->incarnation) ||
				     b->connections.count(a->index) ||
				     b->neighbours.count(a->incarnation))) {
					a->connections.insert(b->index);
					a->post_peer(MSG_PEER_UP, b.get());
				}
		for (auto &a : routers)
			for (int i : std::set<int>(a->connections))
				if (!can_reach(a.get(), routers[i].get()))
					disconnect(a.get(), routers[i].get());
		if (!finished)
			after(50 * MS, [this]() { update_connections(); });
	}
	void disconnect(MemberNode *a, MemberNode *b)
	{
		std::string other = b->incarnation;
		int epoch = a->generation;

		a->connections.erase(b->index);
		after(3 * SEC, [=]() {
			if (a->generation == epoch &&
			    !(a->connections.count(b->index) &&
			      other == b->incarnation)) {
				msg_t msg = {};
				msg.kind = MSG_PEER_DOWN;
				g_strlcpy(msg.u.peer_addr.incarnation,
					  other.c_str(), INCARNATION_SIZE);
				kernel_post(&a->kernel, HANDLE_NONE,
					    a->member.svc, &msg);
			}
		});
	}
	void expire_leases()
	{
		for (auto it = leases.begin(); !store_down;) {
			it = std::find_if(
				leases.begin(), leases.end(),
				[&](auto &l) { return l.second.until <= now; });
			if (it == leases.end())
				break;
			end_lease(it->first);
		}
		if (!finished)
			after(100 * MS, [this]() { expire_leases(); });
	}
	void end_lease(int64_t id)
	{
		std::set<std::string> keys = leases[id].keys;

		leases.erase(id);
		for (const std::string &key : keys) {
			revision++;
			erase(key);
		}
	}
	void erase(const std::string &key)
	{
		auto found = values.find(key);

		if (found == values.end())
			return;
		record_clear(&found->second.record);
		values.erase(found);
		for (auto &lease : leases)
			lease.second.keys.erase(key);
		notify_watchers(key);
	}
	void notify_watchers(const std::string &key)
	{
		change_log.emplace_back(revision, key);
		for (auto &node : routers)
			for (const std::string &prefix : node->watches)
				if (node->up && key.rfind(prefix, 0) == 0)
					notify_node(node.get(), key, revision,
						    node->generation);
	}
	// A watch delivers missed changes when the store is reachable again.
	void notify_node(MemberNode *node, const std::string &key, int64_t rev,
			 int epoch)
	{
		auto found = values.find(key);
		msg_t msg = {};

		if (node->generation != epoch)
			return;
		if (is_store_unreachable(node)) {
			after(200 * MS, [=]() {
				notify_node(node, key, revision, epoch);
			});
			return;
		}
		msg.kind = MSG_STORE_EVENT;
		msg.u.store_result = store_result_new(STORE_OK);
		msg.u.store_result->revision = rev;
		if (found != values.end())
			store_result_add(msg.u.store_result, 0, key.c_str(),
					 found->second.revision,
					 &found->second.record);
		else
			store_result_add(msg.u.store_result, 0, key.c_str(),
					 rev, nullptr);
		node->post_after(0, HANDLE_NONE, node->member.svc, msg);
	}
	void write(const store_op_t &op)
	{
		for (auto &lease : leases)
			lease.second.keys.erase(op.key);
		if (op.kind == STORE_DELETE) {
			erase(op.key);
		} else if (op.kind == STORE_PUT) {
			Value &value = values[op.key];

			record_clear(&value.record);
			record_copy(&value.record, &op.record);
			value.revision = revision;
			if (op.lease != 0)
				leases[op.lease].keys.insert(op.key);
			notify_watchers(op.key);
		}
	}
	store_result_t *txn(const store_txn_t *txn)
	{
		store_result_t *result = store_result_new(STORE_OK);
		bool holds = true;

		for (guint i = 0; i < txn->ops->len; i++) {
			auto &op = g_array_index(txn->ops, store_op_t, i);
			auto found = values.find(op.key);
			bool has = found != values.end();
			int64_t rev = has ? found->second.revision : 0;

			holds = holds &&
				(op.expect == EXPECT_ANY || op.expect == rev) &&
				(op.lease == 0 || leases.count(op.lease));
			store_result_add(result, 0, op.key, rev,
					 has ? &found->second.record : nullptr);
		}
		revision += holds;
		for (guint i = 0; holds && i < txn->ops->len; i++)
			write(g_array_index(txn->ops, store_op_t, i));
		if (holds)
			g_array_set_size(result->kvs, 0);
		g_array_append_val(result->committed, holds);
		result->revision = revision;
		return result;
	}
	store_result_t *list(const std::string &prefix)
	{
		store_result_t *result = store_result_new(STORE_OK);

		for (auto &value : values)
			if (value.first.rfind(prefix, 0) == 0)
				store_result_add(result, 0, value.first.c_str(),
						 value.second.revision,
						 &value.second.record);
		result->revision = revision;
		return result;
	}
	store_result_t *lease_call(const msg_t *msg)
	{
		store_result_t *result = store_result_new(STORE_OK);
		int64_t id = msg->u.store_lease.lease;
		int64_t ttl = msg->u.store_lease.ttl_s;

		if (msg->kind == MSG_STORE_LEASE) {
			id = 1000 + (int64_t)++seq;
			leases[id] = {ttl, now + ttl * SEC, {}};
		} else if (msg->kind == MSG_STORE_REVOKE && leases.count(id)) {
			end_lease(id);
		} else if (leases.count(id)) {
			leases[id].until = now + leases[id].ttl * SEC;
		}
		result->lease = id;
		result->lease_ttl_s =
			leases.count(id) ? (int32_t)leases[id].ttl : 0;
		result->revision = revision;
		return result;
	}
	// Applies a call unless the store is unreachable; its reply may be
	// lost.
	void call(MemberNode *node, msg_t *msg)
	{
		bool lost = rng.percent(loss_percent);

		if (is_store_unreachable(node)) {
			reply(node, msg->from, *msg, rng.ms(1, 2000),
			      store_result_new(rng.percent(50)
						       ? STORE_UNAVAILABLE
						       : STORE_UNKNOWN));
			return;
		}
		store_result_t *result = msg->kind == MSG_STORE_TXN
						 ? txn(msg->u.store_txn)
					 : msg->kind == MSG_STORE_GET
						 ? list(msg->u.store_get.key)
						 : lease_call(msg);
		if (lost) {
			store_result_free(result);
			result = store_result_new(STORE_UNKNOWN);
		}
		reply(node, msg->from, *msg, rng.ms(0, 5), result);
	}
};

inline void MemberNode::start_services()
{
	member_opts_t opts = {};

	connections.clear();
	reports.clear();
	reported_as_buddy.clear();
	reported_instance_gone.clear();
	buddy.clear();
	stopped = false;
	valid_until = 0;
	register_fake("store", store_recv);
	register_fake("peer", peer_recv);
	register_fake("ledger", ledger_recv);
	register_fake("router", other_recv);
	register_fake("conf", other_recv);
	register_fake("claims", other_recv);
	g_strlcpy(opts.self.incarnation, incarnation, INCARNATION_SIZE);
	g_snprintf(opts.self.name, NAME_SIZE, "r%d", index);
	g_strlcpy(opts.self.availability_zone, zone.c_str(), NAME_SIZE);
	g_strlcpy(opts.self.host, "127.0.0.1", HOST_SIZE);
	opts.self.peer_port = (uint16_t)(7000 + index);
	member_init(&member, &kernel, &opts);
}

inline void MemberNode::store_recv(void *self, msg_t *msg)
{
	auto *node = static_cast<MemberNode *>(self);

	if (msg->kind == MSG_STORE_WATCH) {
		std::string prefix = msg->u.store_get.key;

		node->watches.push_back(prefix);
		for (auto &change : node->member_world->change_log)
			if (change.first >= msg->u.store_get.min_revision &&
			    change.second.rfind(prefix, 0) == 0)
				node->member_world->notify_node(
					node, change.second,
					node->member_world->revision,
					node->generation);
	} else if (msg->kind >= MSG_STORE_GET && msg->kind <= MSG_STORE_REVOKE)
		node->member_world->call(node, msg);
}

inline void MemberNode::peer_recv(void *self, msg_t *msg)
{
	auto *node = static_cast<MemberNode *>(self);

	if (msg->kind == MSG_PEER_CONNECT)
		node->neighbours.insert(msg->u.peer_addr.incarnation);
	if (msg->kind == MSG_PEER_DISCONNECT)
		node->neighbours.erase(msg->u.peer_addr.incarnation);
	if (msg->kind != MSG_PEER_SEND)
		return;
	for (int i : node->connections) {
		MemberNode *to = node->member_world->routers[i].get();
		const char *name = msg->u.peer.incarnation;
		peer_body_t *body = msg->u.peer.body;
		msg_t out = {};

		if (!node->member_world->can_reach(node, to) ||
		    (name[0] != '\0' && strcmp(name, to->incarnation) != 0))
			continue;
		out.kind = MSG_PEER_RECEIVED;
		g_strlcpy(out.u.peer.incarnation, node->incarnation,
			  INCARNATION_SIZE);
		out.u.peer.body = peer_body_new(body->kind);
		if (body->kind == PEER_HEARTBEAT) {
			auto &heartbeat = out.u.peer.body->u.heartbeat;
			GArray *members = heartbeat.members;

			heartbeat = body->u.heartbeat;
			heartbeat.members = members;
			g_array_append_vals(members,
					    body->u.heartbeat.members->data,
					    body->u.heartbeat.members->len);
		}
		to->post_after(MS, HANDLE_NONE, to->member.svc, out);
	}
}

// Checks promise 1: no router whose alive record is present is reported as
// expired, and no lease is relied on for longer than the store keeps it.
// Checks promise 2: the ledger gets a buddy only when the router's record in
// the store names that buddy.
inline void MemberNode::ledger_recv(void *self, msg_t *msg)
{
	auto *node = static_cast<MemberNode *>(self);
	MemberWorld *member_world = node->member_world;

	if (msg->kind == MSG_MEMBER_EXPIRED) {
		std::string name = msg->u.expired.incarnation;

		member_world->check(1, !member_world->has_key("alive/" + name));
		node->reports[name]++;
		if (msg->u.expired.was_buddy)
			node->reported_as_buddy.insert(name);
		if (msg->u.expired.instance_gone)
			node->reported_instance_gone.insert(name);
	} else if (msg->kind == MSG_BUDDY_CHANGED) {
		auto own = member_world->values.find(node->key("member/"));

		node->buddy = msg->u.buddy.incarnation;
		node->buddy_changes++;
		if (!node->buddy.empty())
			member_world->check(
				2,
				own == member_world->values.end() ||
					node->buddy == own->second.record.u
							       .member.buddy);
	} else if (msg->kind == MSG_LEASE_RENEWED) {
		auto lease = member_world->leases.find(msg->u.lease.lease);

		node->renewals++;
		node->valid_until = msg->u.lease.valid_until;
		member_world->check(
			1, (lease != member_world->leases.end() &&
			    node->valid_until < lease->second.until) ||
				   node->valid_until < member_world->now);
	}
}

inline void MemberNode::post_peer(msg_kind_t kind, MemberNode *other)
{
	msg_t msg = {};

	msg.kind = kind;
	g_strlcpy(msg.u.peer_addr.incarnation, other->incarnation,
		  INCARNATION_SIZE);
	g_strlcpy(msg.u.peer_addr.host, "127.0.0.1", HOST_SIZE);
	msg.u.peer_addr.port = (uint16_t)(7000 + other->index);
	post_after(0, HANDLE_NONE, member.svc, msg);
}

inline void MemberNode::list_instances(const std::vector<MemberNode *> &nodes)
{
	msg_t msg = {};

	msg.kind = MSG_INSTANCES_LISTED;
	msg.u.instances = instance_list_new();
	for (MemberNode *node : nodes) {
		instance_info_t one = {};

		g_strlcpy(one.host, "127.0.0.1", HOST_SIZE);
		one.port = (uint16_t)(7000 + node->index);
		g_array_append_val(msg.u.instances->instances, one);
	}
	post_after(0, HANDLE_NONE, member.svc, msg);
}

#endif
