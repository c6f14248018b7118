// Simulation of routers with ledgers under one virtual clock, with a fake
// store, membership and network that fail at random or on request.  The
// accounting that checks the results shares no code with the ledger.
#ifndef TESTS_LEDGER_WORLD_H
#define TESTS_LEDGER_WORLD_H

#include "ledger/ledger.h"

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct World;

struct Entry {
	record_t record;
	int64_t revision;
};

// In-memory store; World::on_store injects the faults of each call.
struct Store {
	std::map<std::string, Entry> entries;
	int64_t revision = 10;
	int64_t calls = 0;
	bool up = true;
	int fault_percent = 0;
	bool ignore_grant_revision = false; // deliberate fault

	int64_t revision_of(const std::string &key) const
	{
		auto it = entries.find(key);
		return it == entries.end() ? 0 : it->second.revision;
	}
	void put(const std::string &key, const record_t &record)
	{
		entries[key] = Entry{record, ++revision};
	}
	void erase(const std::string &key)
	{
		revision++;
		entries.erase(key);
	}
	bool expectation_met(const store_op_t &op) const
	{
		if (ignore_grant_revision && strncmp(op.key, "grant/", 6) == 0)
			return true;
		return op.expect == EXPECT_ANY ||
		       revision_of(op.key) == op.expect;
	}
	void add_kv(store_result_t *result, uint32_t group,
		    const std::string &key) const
	{
		auto it = entries.find(key);
		bool found = it != entries.end();
		store_result_add(result, group, key.c_str(),
				 found ? it->second.revision : 0,
				 found ? &it->second.record : nullptr);
	}
	store_result_t *apply(const store_txn_t *txn);
	store_result_t *get(const std::string &key, bool prefix) const;
};

struct Request {
	std::string budget;
	std::string key;
	int64_t reserved;
	int64_t tokens;
	int64_t run_us;
	std::string fingerprint = "f";
};

// A router: a kernel with a ledger and fakes of the other services.
struct Router {
	World *world;
	int index;
	std::string incarnation;
	kernel_t kernel;
	ledger_t ledger;
	svc_t store, peer, member, request, router;
	bool paused = false;
	bool store_unreachable = false;
	bool stopping = false;
	bool stopped = false;
	int64_t lease_until = 0; // end of the store lease
	std::string buddy;
	std::map<uint32_t, Request> requests;
	uint32_t next_request = 0;
	int outcomes[3] = {0, 0, 0}; // indexed by reserve_result_t
	int refused_bills = 0;
	std::map<std::string, int64_t> last_delivery; // keeps messages in order
};

struct World {
	explicit World(uint64_t seed);
	~World();

	int64_t now = 0;
	uint64_t random_state;
	Store store;
	std::vector<std::unique_ptr<Router>> routers; // null after a crash
	std::multimap<int64_t, std::function<void()>> events;
	std::set<std::pair<int, int>> cut_links;
	std::map<std::string, int64_t> crashed; // incarnation -> time
	std::map<std::string, uint64_t> unprotected_bills; // of crashed routers
	std::map<std::string, std::string> released_by; // key -> incarnation
	// Time until the instance list shows a crash.
	int64_t instance_gone_delay = 20 * USEC_PER_SEC;
	uint64_t unprotected_bills_lost = 0; // released, then lost in a crash
	uint64_t stops = 0; // planned stops that were completed
	uint64_t counters[COUNTER_COUNT] = {}; // sums over all routers
	ledger_opts_t opts;
	bool fast_links = false;
	bool check_writes = true; // false: check at the end only
	// Zone by router; a buddy in the same zone is preferred.
	std::vector<int> zone_of;
	// Optional callback for the result of each reservation.
	std::function<void(const Request &, reserve_result_t)> on_reserved;
	int next_incarnation = 0;
	int64_t peer_messages = 0;

	// Released answers: idempotency key -> charged budget and tokens.
	std::map<std::string, std::pair<std::string, int64_t>> released;
	std::map<std::string, int64_t> spent;
	uint64_t checks = 0;
	std::string overspend, unbilled;

	uint64_t random();
	int64_t random_below(int64_t n);
	void after(int64_t delay, std::function<void()> run);
	Router *find(const std::string &incarnation);
	int live_routers() const;
	void start(int index);
	void crash(int index);
	void stop(int index);
	void exit_if_stopped(const std::string &incarnation);
	void set_budget(const std::string &name, int64_t add);
	void submit(int index, const Request &request, int64_t deadline_us = 0);
	void run_for(int64_t us);
	void clear_faults();
	void check_store();
	void check_end();
	void add_counters(const Router *router);
	void post(const std::string &incarnation, svc_t Router::*from,
		  msg_t *m);
	void tick_members();
	void publish_members();
	void choose_buddy(Router *router);
	bool has_grants(const std::string &incarnation) const;
	bool is_recovering() const;
	int64_t sum_withheld(const std::string &name);
	record_budget_t budget(const std::string &name);
	void on_store(Router *router, msg_t *msg);
	void on_peer(Router *router, msg_t *msg);
	void on_request(Router *router, msg_t *msg);
};

#endif
