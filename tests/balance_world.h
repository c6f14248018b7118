// A fleet of instances of "balance" with targets that they share, on virtual
// clocks that advance together.  Peers' messages take time and are lost across
// a cut.  The world checks the limits that targets state.
#ifndef TESTS_BALANCE_WORLD_H
#define TESTS_BALANCE_WORLD_H

#include "balance/balance.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balance_world
{

// Users count requests from this time after a target first stated a limit.
constexpr int64_t CONTACT_US = 3 * USEC_PER_SEC;
// They count those of instances that were told at least this long before.
constexpr int64_t TOLD_US = 500 * USEC_PER_MSEC;
constexpr int64_t WINDOW_US = 4 * USEC_PER_SEC;

// The users' figures for cold targets.
constexpr int64_t COLD_MS = 3000;
constexpr uint32_t COLD_PER_KS = 12000;
constexpr size_t COLD_BOUND = 23; // in a second: 12 x 1.5 + 5

class World;

struct arrival_t {
	int64_t at;
	uint32_t instance;
	bool counted; // its instance was told, and is not excused
};

struct target_t {
	std::string id, zone;
	target_limit_t limit = {LIMIT_NONE, 0};
	bool down = false; // with World::pace: it resets all connections
	int64_t answer_us = 0; // 0: as World::answer_us
	size_t running = 0, most_running = 0;
	int64_t named_at = -1; // first response that stated the limit
	std::vector<arrival_t> arrivals;
	std::map<uint32_t, int64_t> told; // instance -> first such response
	uint64_t sequence = 0; // of its entry
	int64_t cold_until = -1;
	int64_t cold_known_at = -1; // its entry has reached all instances
	bool states_cold = false; // in its responses
	std::vector<int64_t> cold_arrivals;
};

// One instance with its own kernel.
struct instance_t {
	World *world;
	uint32_t number;
	std::string incarnation, zone;
	uint32_t group = 0; // instances of one group reach each other
	bool frozen = false;
	bool left = false;
	int64_t excused_until = -1;
	kernel_t kernel;
	balance_t balance;
	svc_t proxy, fleet, peer;

	instance_t(World *in, uint32_t index, const std::string &in_zone,
		   uint64_t seed);
	~instance_t();
	void announce_size();
	void announce_target(const target_t &target, bool gone = false,
			     int64_t cold_ms = 0);
	void announce_peer(const instance_t &other, bool up);
	void request(uint32_t id, int32_t priority, int64_t wait_us,
		     uint64_t part);
	static void receive(void *self, msg_t *msg);
};

struct refusal_seen_t {
	int64_t at, asked_at;
	uint32_t instance, retry_after_ms;
	int32_t priority;
	refusal_t reason;
};

class World
{
      public:
	explicit World(uint64_t first_seed = 1)
	    : seed(first_seed), random_state(first_seed)
	{
	}

	instance_t &add_instance(const std::string &zone);
	target_t &add_target(const std::string &zone);
	// A target that is cold from the start.
	target_t &add_cold_target(const std::string &zone);
	// A target becomes cold; its entry reaches each instance within late.
	void chill(target_t &target, int64_t late);
	// Cuts an instance off; each end notices it within late.
	void cut(uint32_t number, uint32_t group, int64_t late);
	// Most requests that a cold target got in a second.
	size_t worst_cold_second() const;
	// Starts an instance anew, under another incarnation.
	void restart(uint32_t number);
	void remove(uint32_t number);
	void set_group(uint32_t number, uint32_t group);
	// Requests per second of each instance; priorities are drawn evenly.
	void set_demand(double per_second, uint32_t priorities = 1)
	{
		demand = per_second;
		priority_count = priorities;
	}
	void run(int64_t us);
	// Counts the requests of the busiest window above what is allowed.
	int64_t worst_excess() const;
	size_t arrivals(const target_t &target, int64_t from, int64_t to) const;
	uint64_t below(uint64_t n)
	{
		random_state = random_state * 6364136223846793005ULL +
			       1442695040888963407ULL;
		return (random_state >> 33) % n;
	}
	void at(int64_t when, std::function<void()> action)
	{
		events.emplace(when, std::move(action));
	}
	void on_placed(instance_t &from, const msg_t *msg);
	void on_peer_send(instance_t &from, const msg_t *msg);
	void on_refused(instance_t &from, const msg_t *msg);

	int64_t now = 0;
	int64_t step_us = 500;
	int64_t peer_delay_us = 1400;
	int64_t answer_us = 80 * USEC_PER_MSEC;
	bool pace = false; // of instances that are added later
	int64_t stream_us = 1500 * USEC_PER_MSEC;
	int64_t wait_us = 250 * USEC_PER_MSEC;
	// Share of the requests that go to the busiest instance; 0: even.
	double skew = 0.0;
	// Requests reach their target up to this much later.
	int64_t late_us = 0;
	size_t limit_messages = 0; // sent for limits
	size_t asked = 0, placed = 0;
	std::map<int32_t, size_t> asked_by_priority, placed_by_priority;
	std::vector<refusal_seen_t> refusals;
	std::vector<int64_t> waits; // of placed requests, us
	std::vector<std::unique_ptr<instance_t>> instances;
	std::vector<std::unique_ptr<target_t>> targets;

      private:
	struct asked_t {
		int64_t at;
		int32_t priority;
	};
	void create_requests();
	instance_t *find(const std::string &incarnation);
	target_t *find_target(const std::string &id);
	void answer(uint32_t instance, const std::string &incarnation,
		    target_t *target, handle_t placement);
	bool reach(const instance_t &a, const instance_t &b) const
	{
		return a.group == b.group && !a.left && !b.left;
	}
	void connect(instance_t &instance);

	uint64_t seed;
	uint64_t random_state;
	uint32_t starts = 0;
	uint32_t next_request = 1;
	double demand = 0.0;
	uint32_t priority_count = 1;
	std::multimap<int64_t, std::function<void()>> events;
	std::map<uint32_t, asked_t> waiting;
};

inline instance_t::instance_t(World *in, uint32_t index,
			      const std::string &in_zone, uint64_t seed)
    : world(in), number(index),
      incarnation("run-" + std::to_string(1000 + seed)), zone(in_zone)
{
	msg_t msg = {};
	fleet_service_t engine = {};

	kernel_init(&kernel, CLOCK_VIRTUAL, seed);
	kernel_run_until(&kernel, world->now);
	proxy = kernel_register(&kernel, "proxy", receive, this);
	fleet = kernel_register(&kernel, "fleet", receive, this);
	peer = kernel_register(&kernel, "peer", receive, this);
	balance_init(&balance, &kernel, incarnation.c_str(), zone.c_str());
	balance_set_pace(&balance, world->pace);
	kernel_start(&kernel);
	msg.kind = MSG_FLEET_CONF;
	msg.u.fleet_conf = fleet_conf_new();
	g_strlcpy(engine.name, "engine", sizeof(engine.name));
	engine.engine = true;
	engine.kv_cache_tokens = 100000;
	engine.max_connections = 100000;
	engine.cold_ms = COLD_MS;
	engine.cold_per_ks = COLD_PER_KS;
	g_array_append_val(msg.u.fleet_conf->services, engine);
	kernel_post(&kernel, fleet, balance.svc, &msg);
}

inline instance_t::~instance_t()
{
	balance_finish(&balance);
	kernel_finish(&kernel);
}

inline void instance_t::announce_size()
{
	msg_t msg = {};

	msg.kind = MSG_FLEET_SIZE;
	for (auto &other : world->instances)
		msg.u.fleet_size.instances += !other->left;
	kernel_post(&kernel, fleet, balance.svc, &msg);
}

inline void instance_t::announce_target(const target_t &target, bool gone,
					int64_t cold_ms)
{
	msg_t msg = {};
	fleet_target_t *info = &msg.u.fleet_target.target;

	msg.kind = MSG_FLEET_TARGET;
	g_strlcpy(info->id, target.id.c_str(), sizeof(info->id));
	g_strlcpy(info->service, "engine", sizeof(info->service));
	g_strlcpy(info->zone, target.zone.c_str(), sizeof(info->zone));
	g_strlcpy(info->host, "127.0.0.1", sizeof(info->host));
	info->port = 1;
	info->slots = 64;
	info->started_ms = 1;
	info->sequence = target.sequence;
	info->cold_ms = cold_ms;
	msg.u.fleet_target.gone = gone;
	kernel_post(&kernel, fleet, balance.svc, &msg);
}

inline void instance_t::announce_peer(const instance_t &other, bool up)
{
	msg_t msg = {};

	msg.kind = up ? MSG_PEER_UP : MSG_PEER_DOWN;
	g_strlcpy(msg.u.peer_addr.incarnation, other.incarnation.c_str(),
		  sizeof(msg.u.peer_addr.incarnation));
	g_strlcpy(msg.u.peer_addr.availability_zone, other.zone.c_str(),
		  sizeof(msg.u.peer_addr.availability_zone));
	kernel_post(&kernel, peer, balance.svc, &msg);
}

inline void instance_t::request(uint32_t id, int32_t priority, int64_t wait_us,
				uint64_t part)
{
	msg_t msg = {};

	msg.kind = MSG_PLACE;
	msg.id = {id, 1};
	g_strlcpy(msg.u.place.service, "engine", sizeof(msg.u.place.service));
	msg.u.place.priority = priority;
	msg.u.place.deadline = kernel_now(&kernel) + wait_us;
	msg.u.place.part_count = 2;
	msg.u.place.parts[0] = {part, 500};
	msg.u.place.parts[1] = {1000000 + id, 300};
	msg.u.place.prompt_tokens = 800;
	kernel_post(&kernel, proxy, balance.svc, &msg);
}

inline void instance_t::receive(void *self, msg_t *msg)
{
	instance_t *i = static_cast<instance_t *>(self);

	if (msg->kind == MSG_PEER_SEND)
		i->world->on_peer_send(*i, msg);
	else if (msg->kind == MSG_PLACED)
		i->world->on_placed(*i, msg);
	else if (msg->kind == MSG_PLACE_REFUSED)
		i->world->on_refused(*i, msg);
}

inline instance_t *World::find(const std::string &incarnation)
{
	for (auto &i : instances)
		if (i->incarnation == incarnation)
			return i.get();
	return nullptr;
}

inline target_t *World::find_target(const std::string &id)
{
	for (auto &t : targets)
		if (t->id == id)
			return t.get();
	return nullptr;
}

// Tells an instance of all targets and of the peers that it reaches.
inline void World::connect(instance_t &instance)
{
	for (auto &t : targets)
		instance.announce_target(
			*t, false, MAX(t->cold_until - now, 0) / USEC_PER_MSEC);
	for (auto &other : instances) {
		if (other.get() == &instance || !reach(*other, instance))
			continue;
		instance.announce_peer(*other, true);
		other->announce_peer(instance, true);
	}
	for (auto &other : instances)
		other->announce_size();
}

inline instance_t &World::add_instance(const std::string &zone)
{
	instances.push_back(
		std::make_unique<instance_t>(this, (uint32_t)instances.size(),
					     zone, seed * 1000 + ++starts));
	connect(*instances.back());
	return *instances.back();
}

inline target_t &World::add_target(const std::string &zone)
{
	targets.push_back(std::make_unique<target_t>());
	targets.back()->id = "t-" + std::to_string(targets.size());
	targets.back()->zone = zone;
	for (auto &i : instances)
		i->announce_target(*targets.back());
	return *targets.back();
}

inline target_t &World::add_cold_target(const std::string &zone)
{
	targets.push_back(std::make_unique<target_t>());
	targets.back()->id = "t-" + std::to_string(targets.size());
	targets.back()->zone = zone;
	targets.back()->sequence = 1;
	targets.back()->cold_until = now + COLD_MS * USEC_PER_MSEC;
	targets.back()->cold_known_at = now;
	for (auto &i : instances)
		i->announce_target(*targets.back(), false, COLD_MS);
	return *targets.back();
}

inline void World::chill(target_t &target, int64_t late)
{
	target_t *chilled = &target;

	target.sequence++;
	target.cold_until = now + COLD_MS * USEC_PER_MSEC;
	target.cold_known_at = now + late;
	for (auto &i : instances) {
		std::string incarnation = i->incarnation;

		at(now + (int64_t)below((uint64_t)late + 1), [this, incarnation,
							      chilled] {
			instance_t *to = find(incarnation);

			if (to != nullptr)
				to->announce_target(*chilled, false, COLD_MS);
		});
	}
}

inline void World::cut(uint32_t number, uint32_t group, int64_t late)
{
	instance_t &moved = *instances[number];

	for (auto &other : instances) {
		std::string a = moved.incarnation, b = other->incarnation;
		bool before = reach(*other, moved);
		bool after = other->group == group && !other->left;

		if (other.get() == &moved || before == after)
			continue;
		for (auto &ends : {std::make_pair(a, b), std::make_pair(b, a)})
			at(now + (int64_t)below((uint64_t)late + 1),
			   [this, ends, after] {
				   instance_t *to = find(ends.first);
				   instance_t *peer = find(ends.second);

				   if (to != nullptr && peer != nullptr &&
				       reach(*to, *peer) == after)
					   to->announce_peer(*peer, after);
			   });
	}
	moved.group = group;
}

inline size_t World::worst_cold_second() const
{
	size_t worst = 0;

	for (const auto &t : targets) {
		std::vector<int64_t> times = t->cold_arrivals;
		size_t from = 0;

		std::sort(times.begin(), times.end());
		for (size_t to = 0; to < times.size(); to++) {
			while (times[to] - times[from] >= USEC_PER_SEC)
				from++;
			worst = MAX(worst, to - from + 1);
		}
	}
	return worst;
}

inline void World::restart(uint32_t number)
{
	std::string zone = instances[number]->zone;
	uint32_t group = instances[number]->group;

	for (auto &other : instances)
		if (other->number != number &&
		    reach(*other, *instances[number]))
			other->announce_peer(*instances[number], false);
	instances[number] = std::make_unique<instance_t>(
		this, number, zone, seed * 1000 + ++starts);
	instances[number]->group = group;
	instances[number]->excused_until = now + CONTACT_US;
	for (auto &t : targets)
		t->told.erase(number);
	connect(*instances[number]);
}

inline void World::remove(uint32_t number)
{
	for (auto &other : instances)
		if (other->number != number &&
		    reach(*other, *instances[number]))
			other->announce_peer(*instances[number], false);
	instances[number]->left = true;
	for (auto &other : instances)
		other->announce_size();
}

inline void World::set_group(uint32_t number, uint32_t group)
{
	instance_t &moved = *instances[number];

	for (auto &other : instances) {
		bool before = reach(*other, moved);
		bool after = other->group == group && !other->left;

		if (other.get() == &moved || before == after)
			continue;
		other->announce_peer(moved, after);
		moved.announce_peer(*other, after);
	}
	moved.group = group;
}

inline void World::on_peer_send(instance_t &from, const msg_t *msg)
{
	std::string to = msg->u.peer.incarnation;
	std::string zone = msg->u.peer.availability_zone;

	for (auto &other : instances) {
		std::string incarnation = other->incarnation;
		std::string sender = from.incarnation;
		peer_body_t body = *msg->u.peer.body; // holds no arrays

		if (other.get() == &from || !reach(*other, from) ||
		    (!to.empty() && to != incarnation) ||
		    (!zone.empty() && zone != other->zone))
			continue;
		limit_messages += body.kind != PEER_PLACED;
		at(now + peer_delay_us, [this, incarnation, sender, body] {
			instance_t *receiver = find(incarnation);
			msg_t out = {};

			if (receiver == nullptr || receiver->frozen)
				return;
			out.kind = MSG_PEER_RECEIVED;
			g_strlcpy(out.u.peer.incarnation, sender.c_str(),
				  sizeof(out.u.peer.incarnation));
			out.u.peer.body = peer_body_new(body.kind);
			*out.u.peer.body = body;
			kernel_post(&receiver->kernel, receiver->peer,
				    receiver->balance.svc, &out);
		});
	}
}

inline void World::answer(uint32_t number, const std::string &incarnation,
			  target_t *target, handle_t placement)
{
	instance_t *to = find(incarnation);
	msg_t msg = {};

	if (to == nullptr)
		return;
	if (pace && target->down) {
		msg.kind = MSG_PLACE_DONE;
		msg.ref = placement;
		msg.u.place_done.result = PLACE_RESET;
		kernel_post(&to->kernel, to->proxy, to->balance.svc, &msg);
		target->running--;
		return;
	}
	if (pace) {
		msg.kind = MSG_PLACE_FIRST_BYTE;
		msg.ref = placement;
		kernel_post(&to->kernel, to->proxy, to->balance.svc, &msg);
		msg = {};
	}
	msg.kind = MSG_PLACE_REPORT;
	msg.ref = placement;
	msg.u.place_report.limit = target->limit;
	if (target->states_cold && now < target->cold_until)
		msg.u.place_report.cold_ms =
			(target->cold_until - now) / USEC_PER_MSEC;
	if (target->limit.kind == LIMIT_STATED) {
		if (target->named_at < 0)
			target->named_at = now;
		target->told.emplace(number, now);
	}
	kernel_post(&to->kernel, to->proxy, to->balance.svc, &msg);
	at(now + stream_us, [this, incarnation, target, placement] {
		instance_t *owner = find(incarnation);
		msg_t done = {};

		target->running--;
		if (owner == nullptr)
			return;
		done.kind = MSG_PLACE_DONE;
		done.ref = placement;
		kernel_post(&owner->kernel, owner->proxy, owner->balance.svc,
			    &done);
	});
}

inline void World::on_placed(instance_t &from, const msg_t *msg)
{
	target_t *target = find_target(msg->u.placed.instance);
	auto told = target->told.find(from.number);
	bool counted = told != target->told.end() &&
		       now - told->second >= TOLD_US &&
		       now >= from.excused_until;
	asked_t asked_for = waiting[msg->ref.index];
	std::string incarnation = from.incarnation;
	uint32_t number = from.number;
	handle_t placement = msg->id;

	waiting.erase(msg->ref.index);
	placed++;
	placed_by_priority[asked_for.priority]++;
	waits.push_back(now - asked_for.at);
	target->arrivals.push_back({now, number, counted});
	if (now >= target->cold_known_at && now < target->cold_until)
		target->cold_arrivals.push_back(
			now + (int64_t)below((uint64_t)late_us + 1));
	target->running++;
	target->most_running = MAX(target->most_running, target->running);
	at(now + (target->answer_us > 0 ? target->answer_us : answer_us),
	   [this, number, incarnation, target, placement] {
		   answer(number, incarnation, target, placement);
	   });
}

inline void World::on_refused(instance_t &from, const msg_t *msg)
{
	asked_t asked_for = waiting[msg->ref.index];

	waiting.erase(msg->ref.index);
	refusals.push_back({now, asked_for.at, from.number,
			    msg->u.place_refused.retry_after_ms,
			    asked_for.priority, msg->u.place_refused.reason});
}

inline void World::create_requests()
{
	double expected = demand * (double)step_us / 1e6;

	for (auto &i : instances) {
		double share = (double)below(1000000) / 1e6;
		uint32_t id = next_request;
		int32_t priority;

		if (skew > 0.0)
			share /= i->number == 0 ? 1.0 + skew : 1.0;
		if (share >= expected || i->frozen || i->left)
			continue;
		next_request++;
		priority = (int32_t)below(priority_count);
		waiting[id] = {now, priority};
		asked++;
		asked_by_priority[priority]++;
		i->request(id, priority, wait_us, 1 + below(40));
	}
}

inline void World::run(int64_t us)
{
	int64_t end = now + us;

	while (now < end) {
		now += step_us;
		while (!events.empty() && events.begin()->first <= now) {
			std::function<void()> action = events.begin()->second;

			events.erase(events.begin());
			action();
		}
		create_requests();
		for (auto &i : instances)
			if (!i->frozen)
				kernel_run_until(&i->kernel, now);
	}
}

inline size_t World::arrivals(const target_t &target, int64_t from,
			      int64_t to) const
{
	size_t count = 0;

	for (const arrival_t &a : target.arrivals)
		count += a.at >= from && a.at < to;
	return count;
}

inline int64_t World::worst_excess() const
{
	int64_t worst = INT64_MIN;

	for (const auto &t : targets) {
		int64_t allowed = (int64_t)(t->limit.per_ks / 1000.0 * 1.5 *
					    (double)WINDOW_US / USEC_PER_SEC) +
				  5;

		if (t->named_at < 0)
			continue;
		for (size_t i = 0; i < t->arrivals.size(); i++) {
			int64_t from = t->arrivals[i].at, count = 0;

			if (from < t->named_at + CONTACT_US)
				continue;
			for (size_t k = i; k < t->arrivals.size() &&
					   t->arrivals[k].at < from + WINDOW_US;
			     k++)
				count += t->arrivals[k].counted;
			worst = MAX(worst, count - allowed);
		}
	}
	return worst;
}

} // namespace balance_world

#endif
