// Simulation of several instances, each a conf service in a kernel of its own,
// with a store and a network between them. A seed determines the delays and
// losses.
#ifndef TESTS_CONF_WORLD_H
#define TESTS_CONF_WORLD_H

#include "conf/conf.h"

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace conf_world
{

// Sets op.seq of an account to its revision, so that snapshots show it.
inline record_t make_record(const std::string &key, int64_t revision,
			    bool removed)
{
	record_t record = {};
	auto &account = record.u.client_account;

	if (key == "conf/preset") {
		record.kind = RECORD_PRESET;
		record.u.preset.in_force = (preset_t)(revision % PRESET_COUNT);
		return record;
	}
	record.kind = RECORD_CLIENT_ACCOUNT;
	account.op.seq = (uint64_t)revision;
	account.removed = removed;
	g_strlcpy(account.name, key.c_str() + strlen("conf/account/"),
		  NAME_SIZE);
	return record;
}

struct Change {
	int64_t revision;
	std::string key;
	bool removed;
};

// Revision of each client account in a snapshot; removed ones are absent.
using Revisions = std::map<std::string, int64_t>;

inline Revisions account_revisions(const conf_snapshot_t *snapshot)
{
	Revisions revisions;

	for (guint i = 0; i < snapshot->client_accounts->len; i++) {
		auto &account = g_array_index(snapshot->client_accounts,
					      record_client_account_t, i);
		revisions[std::string("conf/account/") + account.name] =
			(int64_t)account.op.seq;
	}
	return revisions;
}

// Checks that no key reverts to an older state in an instance's snapshots.
class RevertChecker
{
      public:
	explicit RevertChecker(const std::vector<Change> *changes)
	    : history(changes)
	{
	}
	// Returns an empty string or a description of the violation.
	std::string add(const Revisions &revisions)
	{
		for (const auto &[key, revision] : revisions) {
			if (revision < highest[key])
				return key + " reverted";
			highest[key] = revision;
		}
		// An absent key must have been removed since it was seen.
		for (auto &[key, revision] : highest) {
			if (revisions.count(key) == 0)
				revision = removed_after(key, revision);
			if (revision < 0)
				return key + " disappeared";
		}
		return "";
	}

      private:
	int64_t removed_after(const std::string &key, int64_t revision) const
	{
		for (const Change &change : *history)
			if (change.key == key && change.removed &&
			    change.revision >= revision)
				return change.revision;
		return -1;
	}
	const std::vector<Change> *history;
	Revisions highest;
};

class Simulation;

struct Instance {
	Simulation *sim;
	std::string incarnation;
	kernel_t kernel;
	conf_t conf;
	svc_t self; // acts as store, peer service, subscriber
	bool watching = false; // conf has sent MSG_STORE_WATCH
	bool store_disconnected = false;
	uint64_t watch_id = 0; // changes when the watch is interrupted
	bool watch_active = false; // the initial read is done
	int64_t last_event = 0;
	int64_t published_revision = 0;
	preset_t preset = PRESET_ORDINARY;
	Revisions revisions;
	std::unique_ptr<RevertChecker> checker;

	void post(msg_t *msg)
	{
		kernel_post(&kernel, self, kernel_find(&kernel, "conf"), msg);
	}
};

class Simulation
{
      public:
	explicit Simulation(uint64_t seed) : random(seed), base_seed(seed)
	{
	}
	~Simulation()
	{
		for (auto &instance : instances)
			stop(*instance);
	}
	int64_t random_below(int64_t n)
	{
		return (int64_t)(random() % (uint64_t)n);
	}
	Instance &start()
	{
		instances.push_back(std::make_unique<Instance>());
		Instance &instance = *instances.back();
		kernel_t *kernel = &instance.kernel;
		std::string name = "i" + std::to_string(started++);
		msg_t msg = {};

		instance.sim = this;
		instance.incarnation = name;
		instance.checker = std::make_unique<RevertChecker>(&history);
		kernel_init(kernel, CLOCK_VIRTUAL, base_seed + started);
		kernel->virtual_now = now;
		kernel_register(kernel, "store", receive, &instance);
		instance.self =
			kernel_register(kernel, "peer", receive, &instance);
		conf_init(&instance.conf, kernel);
		kernel_start(kernel);
		msg.kind = MSG_CONF_SUBSCRIBE;
		instance.post(&msg);
		schedule(random_below(USEC_PER_SEC),
			 [this, name] { heartbeat(name); });
		return instance;
	}
	// Replaces an instance by one without records and with a new
	// incarnation.
	void restart(size_t index)
	{
		bool disconnected = instances[index]->store_disconnected;

		stop(*instances[index]);
		instances.erase(instances.begin() + (long)index);
		start().store_disconnected = disconnected;
	}
	void write(const std::string &key, bool removed)
	{
		// Writes to other keys raise the store's revision too.
		revision += 1 + random_below(5);
		history.push_back({revision, key, removed});
		for (auto &instance : instances)
			if (instance->watch_active)
				send_change(*instance, history.back());
	}
	void set_store_up(bool up)
	{
		store_up = up;
		for (auto &instance : instances)
			set_store_disconnected(*instance,
					       instance->store_disconnected);
	}
	// Interrupts the watch. If the store is reachable, a new watch starts
	// with a complete read.
	void set_store_disconnected(Instance &instance, bool disconnected)
	{
		instance.store_disconnected = disconnected;
		instance.watch_id++;
		instance.watch_active = false;
		if (instance.watching && !disconnected && store_up)
			read_all(instance);
	}
	void run_to(int64_t time)
	{
		for (;;) {
			int64_t next = time + 1;

			for (auto &instance : instances) {
				kernel_run_until(&instance->kernel, now);
				int64_t due =
					kernel_next_timer(&instance->kernel);
				next = due < 0 ? next : std::min(next, due);
			}
			if (!events.empty())
				next = std::min(next, events.top().time);
			if (next > time)
				break;
			now = std::max(now, next);
			while (!events.empty() && events.top().time <= now) {
				auto action = events.top().action;
				events.pop();
				action();
			}
		}
		now = time;
	}
	// Returns whether every instance has the newest configuration.
	bool all_converged() const
	{
		int64_t preset = 0;
		Revisions newest;

		for (const Change &change : history) {
			if (change.key == "conf/preset")
				preset = change.revision % PRESET_COUNT;
			else if (change.removed)
				newest.erase(change.key);
			else
				newest[change.key] = change.revision;
		}
		for (const auto &instance : instances)
			if (instance->revisions != newest ||
			    instance->preset != preset)
				return false;
		return true;
	}

	std::vector<std::unique_ptr<Instance>> instances;
	std::vector<Change> history;
	std::map<std::pair<std::string, std::string>, bool> link_down;
	std::string violation;
	uint64_t checks = 0;
	int64_t now = 0;
	bool store_up = true;
	bool reliable = false; // no loss, short delays
	bool reorder_events = false; // also reorder store events

      private:
	struct Event {
		int64_t time;
		uint64_t order;
		std::function<void()> action;
		bool operator<(const Event &other) const
		{
			return std::tie(time, order) >
			       std::tie(other.time, other.order);
		}
	};
	void schedule(int64_t delay, std::function<void()> action)
	{
		events.push({now + delay, order++, std::move(action)});
	}
	static void stop(Instance &instance)
	{
		conf_finish(&instance.conf);
		kernel_finish(&instance.kernel);
	}
	Instance *find(const std::string &incarnation)
	{
		for (auto &instance : instances)
			if (instance->incarnation == incarnation)
				return instance.get();
		return nullptr;
	}
	static void receive(void *self, msg_t *msg)
	{
		auto *instance = static_cast<Instance *>(self);
		Simulation *sim = instance->sim;

		if (msg->kind == MSG_STORE_WATCH) {
			instance->watching = true;
			sim->read_all(*instance);
		} else if (msg->kind == MSG_PEER_SEND) {
			sim->send_frame(*instance, msg->u.peer.incarnation,
					msg->u.peer.body);
		} else if (msg->kind == MSG_CONF_CHANGED) {
			sim->check(*instance, msg->u.conf);
		}
	}
	void check(Instance &instance, const conf_snapshot_t *snapshot)
	{
		instance.revisions = account_revisions(snapshot);
		instance.preset = snapshot->preset;
		checks++;
		std::string error = instance.checker->add(instance.revisions);
		if (snapshot->revision < instance.published_revision)
			error = "revision of the snapshot decreased";
		instance.published_revision = snapshot->revision;
		if (!error.empty())
			violation = instance.incarnation + ": " + error;
	}
	void heartbeat(const std::string &incarnation)
	{
		Instance *from = find(incarnation);

		if (from == nullptr)
			return;
		peer_body_t *body = peer_body_new(PEER_HEARTBEAT);
		body->u.heartbeat.conf_revision = from->published_revision;
		for (auto &other : instances)
			if (other.get() != from)
				send_frame(*from, other->incarnation, body);
		peer_body_free(body);
		schedule(USEC_PER_SEC,
			 [this, incarnation] { heartbeat(incarnation); });
	}
	static peer_body_t *share_body(const peer_body_t *from)
	{
		auto *body = (peer_body_t *)g_memdup2(from, sizeof(*from));

		if (from->kind == PEER_CONF_ITEMS)
			g_array_ref(body->u.conf_items.kvs);
		else if (from->kind == PEER_HEARTBEAT)
			g_array_ref(body->u.heartbeat.members);
		return body;
	}
	// Frames may be lost, duplicated and reordered.
	void send_frame(Instance &from, const std::string &to,
			peer_body_t *body)
	{
		std::string sender = from.incarnation;

		for (int64_t i = reliable ? 1 : random_below(5) % 3; i > 0;
		     i--) {
			std::shared_ptr<peer_body_t> copy(share_body(body),
							  peer_body_free);
			schedule(random_below(reliable ? 50000 : 900000),
				 [this, sender, to, copy] {
					 deliver(sender, to, copy.get());
				 });
		}
	}
	void deliver(const std::string &from, const std::string &to,
		     const peer_body_t *body)
	{
		Instance *instance = find(to);
		msg_t msg = {};

		if (instance == nullptr || link_down[std::minmax(from, to)])
			return;
		msg.kind = MSG_PEER_RECEIVED;
		g_strlcpy(msg.u.peer.incarnation, from.c_str(),
			  INCARNATION_SIZE);
		msg.u.peer.body = share_body(body);
		instance->post(&msg);
	}
	void read_all(Instance &instance)
	{
		std::string name = instance.incarnation;
		uint64_t watch_id = ++instance.watch_id;

		schedule(
			random_below(2 * USEC_PER_SEC), [this, name, watch_id] {
				Instance *to = find(name);
				std::map<std::string, Change> newest;

				if (to == nullptr || to->watch_id != watch_id ||
				    !store_up || to->store_disconnected)
					return;
				for (const Change &change : history)
					newest[change.key] = change;
				std::vector<Change> all;
				for (const auto &item : newest)
					all.push_back(item.second);
				to->watch_active = true;
				to->last_event = now;
				post_event(*to, all);
			});
	}
	void post_event(Instance &instance, const std::vector<Change> &changes)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_EVENT;
		msg.u.store_result = store_result_new(STORE_OK);
		msg.u.store_result->revision = revision;
		for (const Change &change : changes) {
			record_t record = make_record(
				change.key, change.revision, change.removed);
			store_result_add(msg.u.store_result, 0,
					 change.key.c_str(), change.revision,
					 &record);
		}
		instance.post(&msg);
	}
	// Events are late and doubled; they overtake only if reorder_events is
	// set.
	void send_change(Instance &instance, const Change &change)
	{
		std::string name = instance.incarnation;
		uint64_t watch_id = instance.watch_id;
		int64_t time = now + random_below(reliable ? 50000 : 700000);

		if (!reorder_events)
			time = std::max(time, instance.last_event + 1);
		instance.last_event = std::max(time, instance.last_event);
		for (int64_t copies = 1 + random_below(4) / 3; copies > 0;
		     copies--)
			schedule(time - now, [this, name, watch_id, change] {
				Instance *to = find(name);

				if (to != nullptr && to->watch_id == watch_id)
					post_event(*to, {change});
			});
	}

	std::mt19937_64 random;
	uint64_t base_seed;
	uint64_t order = 0;
	uint64_t started = 0;
	int64_t revision = 1;
	std::priority_queue<Event> events;
};

} // namespace conf_world

#endif
