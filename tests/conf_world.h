// Several conf services, each in a kernel of its own, with a store, peers and
// a network between them that a seed drives.
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

// Records carry their revision as op.seq, so that snapshots show it.
inline record_t make_record(const std::string &key, int64_t revision,
			    bool removed)
{
	record_t record = {};
	std::string name = key.substr(key.rfind('/') + 1);
	op_id_t op = {};

	g_strlcpy(op.writer, "test", sizeof(op.writer));
	op.seq = static_cast<uint64_t>(revision);
	if (key.rfind("conf/account/", 0) == 0) {
		record.kind = RECORD_CLIENT_ACCOUNT;
		record.u.client_account.op = op;
		record.u.client_account.removed = removed;
		g_strlcpy(record.u.client_account.name, name.c_str(),
			  NAME_SIZE);
	} else if (key.rfind("conf/target/", 0) == 0) {
		record.kind = RECORD_TARGET;
		record.u.target.op = op;
		record.u.target.removed = removed;
		g_strlcpy(record.u.target.name, name.c_str(), NAME_SIZE);
	} else {
		record.kind = RECORD_PRESET;
		record.u.preset.op = op;
		record.u.preset.in_force =
			static_cast<preset_t>(revision % PRESET_COUNT);
	}
	return record;
}

struct Change {
	int64_t revision;
	std::string key;
	bool removed;
};

// Revision of each key a snapshot shows; removed keys are absent.
using View = std::map<std::string, int64_t>;

inline View view_of(const conf_snapshot_t *snapshot)
{
	View view;

	for (guint i = 0; i < snapshot->client_accounts->len; i++) {
		const auto &account = g_array_index(snapshot->client_accounts,
						    record_client_account_t, i);
		view[std::string("conf/account/") + account.name] =
			static_cast<int64_t>(account.op.seq);
	}
	for (guint i = 0; i < snapshot->targets->len; i++) {
		const auto &target =
			g_array_index(snapshot->targets, record_target_t, i);
		view[std::string("conf/target/") + target.name] =
			static_cast<int64_t>(target.op.seq);
	}
	return view;
}

// Checks that no key goes back within one instance's snapshots.
class RevertChecker
{
      public:
	explicit RevertChecker(const std::vector<Change> *changes)
	    : history(changes)
	{
	}
	// Returns an empty string or what went back.
	std::string add(const View &view)
	{
		for (const auto &[key, revision] : view) {
			if (revision < highest[key])
				return key + " went back";
			highest[key] = revision;
		}
		// An absent key must have been removed since it was seen.
		for (auto &[key, revision] : highest) {
			if (view.count(key) != 0 || revision == 0)
				continue;
			int64_t removal = removed_after(key, revision);
			if (removal == 0)
				return key + " vanished";
			revision = removal;
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
		return 0;
	}
	const std::vector<Change> *history;
	std::map<std::string, int64_t> highest;
};

class World;

struct Instance {
	World *world;
	std::string incarnation;
	kernel_t kernel;
	conf_t conf;
	svc_t store, peer, observer;
	bool watched = false; // conf asked the store
	bool store_cut = false;
	uint64_t stream = 0; // changes when the watch breaks
	bool streaming = false; // the stream's read was made
	int64_t last_event = 0;
	int64_t published_revision = 0;
	preset_t preset = PRESET_ORDINARY;
	View view;
	std::unique_ptr<RevertChecker> checker;
};

class World
{
      public:
	explicit World(uint64_t seed) : random(seed), base_seed(seed)
	{
	}
	~World()
	{
		for (auto &instance : instances)
			stop(*instance);
	}
	int64_t below(int64_t n)
	{
		return static_cast<int64_t>(random() %
					    static_cast<uint64_t>(n));
	}
	void at(int64_t delay, std::function<void()> action)
	{
		events.push({now + delay, order++, std::move(action)});
	}
	Instance &start();
	void restart(size_t index);
	void write(const std::string &key, bool removed);
	void set_store(bool up);
	void cut_from_store(Instance &instance, bool cut);
	void run_to(int64_t time);
	// The newest configuration that the store holds.
	View truth() const;
	bool all_current() const;

	std::vector<std::unique_ptr<Instance>> instances;
	std::vector<Change> history;
	std::map<std::pair<std::string, std::string>, bool> link_cut;
	std::string violation;
	uint64_t checks = 0;
	int64_t now = 0;
	int64_t revision = 1;
	bool store_up = true;
	bool calm = false; // no loss, short delays
	bool crossed = false; // store events may overtake each other

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
	static void on_store(void *self, msg_t *msg);
	static void on_peer(void *self, msg_t *msg);
	static void on_observer(void *self, msg_t *msg);
	Instance *find(const std::string &incarnation);
	void stop(Instance &instance);
	void heartbeat(const std::string &incarnation);
	void carry(Instance &from, const std::string &to, peer_body_t *body);
	void deliver(const std::string &from, const std::string &to,
		     const peer_body_t *body);
	void read_all(Instance &instance);
	void send_changes(Instance &instance, std::vector<Change> changes);
	void post_event(Instance &instance, const std::vector<Change> &changes);

	std::mt19937_64 random;
	uint64_t base_seed;
	uint64_t order = 0;
	uint64_t started = 0;
	std::priority_queue<Event> events;
};

inline peer_body_t *copy_body(const peer_body_t *from)
{
	peer_body_t *body = peer_body_new(from->kind);

	switch (from->kind) {
	case PEER_HEARTBEAT:
		body->u.heartbeat.conf_revision =
			from->u.heartbeat.conf_revision;
		break;
	case PEER_CONF_PULL:
		body->u.conf_pull = from->u.conf_pull;
		break;
	case PEER_CONF_ITEMS:
		body->u.conf_items.up_to_revision =
			from->u.conf_items.up_to_revision;
		g_array_append_vals(body->u.conf_items.kvs,
				    from->u.conf_items.kvs->data,
				    from->u.conf_items.kvs->len);
		break;
	default:
		break;
	}
	return body;
}

inline Instance *World::find(const std::string &incarnation)
{
	for (auto &instance : instances)
		if (instance->incarnation == incarnation)
			return instance.get();
	return nullptr;
}

inline Instance &World::start()
{
	auto owner = std::make_unique<Instance>();
	Instance *instance = owner.get();
	msg_t msg = {};

	instance->world = this;
	instance->incarnation = "i" + std::to_string(started++);
	instance->checker = std::make_unique<RevertChecker>(&history);
	kernel_init(&instance->kernel, CLOCK_VIRTUAL, base_seed + started);
	instance->kernel.virtual_now = now;
	instance->store =
		kernel_register(&instance->kernel, "store", on_store, instance);
	instance->peer =
		kernel_register(&instance->kernel, "peer", on_peer, instance);
	instance->observer = kernel_register(&instance->kernel, "observer",
					     on_observer, instance);
	conf_init(&instance->conf, &instance->kernel);
	kernel_start(&instance->kernel);
	msg.kind = MSG_CONF_SUBSCRIBE;
	kernel_post(&instance->kernel, instance->observer,
		    kernel_find(&instance->kernel, "conf"), &msg);
	std::string incarnation = instance->incarnation;
	at(below(USEC_PER_SEC),
	   [this, incarnation] { heartbeat(incarnation); });
	instances.push_back(std::move(owner));
	// Connections to the others come up.
	for (auto &other : instances) {
		if (other.get() == instance)
			continue;
		std::string name = other->incarnation;
		at(below(100000), [this, incarnation, name] {
			Instance *to = find(incarnation);
			msg_t up = {};

			up.kind = MSG_PEER_UP;
			g_strlcpy(up.u.peer_addr.incarnation, name.c_str(),
				  INCARNATION_SIZE);
			if (to != nullptr)
				kernel_post(&to->kernel, to->peer,
					    kernel_find(&to->kernel, "conf"),
					    &up);
		});
	}
	return *instance;
}

inline void World::stop(Instance &instance)
{
	conf_finish(&instance.conf);
	kernel_finish(&instance.kernel);
}

// A replacement starts with empty memory and a new incarnation.
inline void World::restart(size_t index)
{
	stop(*instances[index]);
	bool cut = instances[index]->store_cut;
	instances.erase(instances.begin() + static_cast<long>(index));
	start().store_cut = cut;
}

inline void World::on_observer(void *self, msg_t *msg)
{
	auto *instance = static_cast<Instance *>(self);
	World *world = instance->world;

	if (msg->kind != MSG_CONF_CHANGED)
		return;
	instance->view = view_of(msg->u.conf);
	instance->preset = msg->u.conf->preset;
	if (msg->u.conf->revision < instance->published_revision)
		world->violation = "revision of the snapshot went back";
	instance->published_revision = msg->u.conf->revision;
	std::string error = instance->checker->add(instance->view);
	world->checks++;
	if (!error.empty())
		world->violation = instance->incarnation + ": " + error;
}

inline void World::on_store(void *self, msg_t *msg)
{
	auto *instance = static_cast<Instance *>(self);

	if (msg->kind != MSG_STORE_WATCH)
		return;
	instance->watched = true;
	instance->world->read_all(*instance);
}

inline void World::on_peer(void *self, msg_t *msg)
{
	auto *instance = static_cast<Instance *>(self);

	if (msg->kind == MSG_PEER_SEND)
		instance->world->carry(*instance, msg->u.peer.incarnation,
				       msg->u.peer.body);
}

inline void World::carry(Instance &from, const std::string &to,
			 peer_body_t *body)
{
	int copies = calm ? 1 : static_cast<int>(below(10)) / 2 % 3;

	for (int i = 0; i < copies; i++) {
		std::shared_ptr<peer_body_t> copy(copy_body(body),
						  peer_body_free);
		std::string sender = from.incarnation;
		at(below(calm ? 50000 : 900000), [this, sender, to, copy] {
			deliver(sender, to, copy.get());
		});
	}
}

inline void World::deliver(const std::string &from, const std::string &to,
			   const peer_body_t *body)
{
	Instance *instance = find(to);
	msg_t msg = {};

	if (instance == nullptr || link_cut[std::minmax(from, to)])
		return;
	msg.kind = MSG_PEER_RECEIVED;
	g_strlcpy(msg.u.peer.incarnation, from.c_str(), INCARNATION_SIZE);
	msg.u.peer.body = copy_body(body);
	kernel_post(&instance->kernel, instance->peer,
		    kernel_find(&instance->kernel, "conf"), &msg);
}

inline void World::heartbeat(const std::string &incarnation)
{
	Instance *from = find(incarnation);

	if (from == nullptr)
		return;
	peer_body_t *body = peer_body_new(PEER_HEARTBEAT);
	body->u.heartbeat.conf_revision = from->published_revision;
	for (auto &other : instances)
		if (other.get() != from)
			carry(*from, other->incarnation, body);
	peer_body_free(body);
	at(USEC_PER_SEC, [this, incarnation] { heartbeat(incarnation); });
}

// The watch begins, or begins again after a break, with a complete read.
inline void World::read_all(Instance &instance)
{
	std::string incarnation = instance.incarnation;
	uint64_t stream = ++instance.stream;

	at(below(2 * USEC_PER_SEC), [this, incarnation, stream] {
		Instance *to = find(incarnation);
		std::map<std::string, Change> newest;
		std::vector<Change> all;

		if (to == nullptr || to->stream != stream || !store_up ||
		    to->store_cut)
			return;
		for (const Change &change : history)
			newest[change.key] = change;
		for (const auto &[key, change] : newest)
			all.push_back(change);
		to->streaming = true;
		to->last_event = now;
		post_event(*to, all);
	});
}

inline void World::post_event(Instance &instance,
			      const std::vector<Change> &changes)
{
	store_result_t *result = store_result_new(STORE_OK);
	msg_t msg = {};

	result->revision = revision;
	for (const Change &change : changes) {
		record_t record = make_record(change.key, change.revision,
					      change.removed);
		store_result_add(result, 0, change.key.c_str(), change.revision,
				 &record);
	}
	msg.kind = MSG_STORE_EVENT;
	msg.u.store_result = result;
	kernel_post(&instance.kernel, instance.store,
		    kernel_find(&instance.kernel, "conf"), &msg);
}

inline void World::send_changes(Instance &instance, std::vector<Change> changes)
{
	std::string incarnation = instance.incarnation;
	uint64_t stream = instance.stream;
	int64_t time = now + below(calm ? 50000 : 700000);

	if (!crossed)
		time = std::max(time, instance.last_event + 1);
	instance.last_event = std::max(time, instance.last_event);
	for (int64_t copies = 1 + below(4) / 3; copies > 0; copies--)
		at(time - now, [this, incarnation, stream, changes] {
			Instance *to = find(incarnation);

			if (to != nullptr && to->stream == stream)
				post_event(*to, changes);
		});
}

inline void World::write(const std::string &key, bool removed)
{
	// Other writers move the store's revision too.
	revision += 1 + below(5);
	history.push_back({revision, key, removed});
	for (auto &instance : instances)
		if (instance->streaming)
			send_changes(*instance, {history.back()});
}

inline void World::set_store(bool up)
{
	store_up = up;
	for (auto &instance : instances) {
		instance->stream++;
		instance->streaming = false;
		if (up && instance->watched && !instance->store_cut)
			read_all(*instance);
	}
}

inline void World::cut_from_store(Instance &instance, bool cut)
{
	instance.store_cut = cut;
	instance.stream++;
	instance.streaming = false;
	if (!cut && instance.watched)
		read_all(instance);
}

inline void World::run_to(int64_t time)
{
	for (;;) {
		int64_t next = time + 1;

		for (auto &instance : instances) {
			kernel_run_until(&instance->kernel, now);
			int64_t due = kernel_next_timer(&instance->kernel);
			if (due >= 0)
				next = std::min(next, due);
		}
		if (!events.empty())
			next = std::min(next, events.top().time);
		if (next > time)
			break;
		now = std::max(now, next);
		for (auto &instance : instances)
			kernel_run_until(&instance->kernel, now);
		while (!events.empty() && events.top().time <= now) {
			auto action = events.top().action;
			events.pop();
			action();
		}
	}
	now = time;
	for (auto &instance : instances)
		kernel_run_until(&instance->kernel, now);
}

inline View World::truth() const
{
	View view;

	for (const Change &change : history) {
		if (change.removed)
			view.erase(change.key);
		else if (change.key != "conf/preset")
			view[change.key] = change.revision;
	}
	return view;
}

inline bool World::all_current() const
{
	View newest = truth();
	int64_t preset = 0;

	for (const Change &change : history)
		if (change.key == "conf/preset")
			preset = change.revision % PRESET_COUNT;
	for (const auto &instance : instances)
		if (instance->view != newest || instance->preset != preset)
			return false;
	return true;
}

} // namespace conf_world

#endif
