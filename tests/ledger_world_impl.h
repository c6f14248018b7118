// Implementation of ledger_world.h.
#ifndef TESTS_LEDGER_WORLD_IMPL_H
#define TESTS_LEDGER_WORLD_IMPL_H

#include "tests/ledger_world.h"

#define MS USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define LEASE_TTL (6 * SEC)
#define LEASE_MARGIN (1 * SEC)

// Owns a message payload, and frees the payload if it is never delivered.
template <typename T>
std::shared_ptr<std::unique_ptr<T, void (*)(T *)>>
own_payload(T *payload, void (*release)(T *))
{
	return std::make_shared<std::unique_ptr<T, void (*)(T *)>>(payload,
								   release);
}

inline store_result_t *Store::apply(const store_txn_t *txn)
{
	store_result_t *result = store_result_new(STORE_OK);
	int64_t next = revision + 1;
	bool wrote = false;

	for (uint32_t group = 0; group < txn->group_count; group++) {
		bool ok = true;
		for (guint i = 0; i < txn->ops->len; i++) {
			auto &op = g_array_index(txn->ops, store_op_t, i);
			if (op.group == group)
				ok = ok && expectation_met(op);
		}
		g_array_append_val(result->committed, ok);
		for (guint i = 0; i < txn->ops->len; i++) {
			auto &op = g_array_index(txn->ops, store_op_t, i);
			if (op.group != group)
				continue;
			if (!ok) {
				add_kv(result, group, op.key);
			} else if (op.kind == STORE_PUT) {
				entries[op.key] = Entry{op.record, next};
				wrote = true;
			} else if (op.kind == STORE_DELETE) {
				entries.erase(op.key);
				wrote = true;
			}
		}
	}
	if (wrote)
		revision = next;
	result->revision = revision;
	return result;
}

inline store_result_t *Store::get(const std::string &key, bool prefix) const
{
	store_result_t *result = store_result_new(STORE_OK);

	result->revision = revision;
	if (!prefix)
		add_kv(result, 0, key);
	for (auto it = entries.lower_bound(key);
	     prefix && it != entries.end() &&
	     it->first.compare(0, key.size(), key) == 0;
	     ++it)
		add_kv(result, 0, it->first);
	return result;
}

inline World::World(uint64_t seed) : random_state(seed * 7919 + 1)
{
	ledger_opts_init(&opts, "");
	after(1 * MS, [this] { tick_members(); });
}

inline World::~World()
{
	for (auto &router : routers) {
		if (router == nullptr)
			continue;
		ledger_finish(&router->ledger);
		kernel_finish(&router->kernel);
	}
}

inline uint64_t World::random()
{
	uint64_t z = (random_state += UINT64_C(0x9e3779b97f4a7c15));
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

inline int64_t World::random_below(int64_t n)
{
	return (int64_t)(random() % (uint64_t)n);
}

inline void World::after(int64_t delay, std::function<void()> run)
{
	events.emplace(now + delay, std::move(run));
}

inline Router *World::find(const std::string &incarnation)
{
	for (auto &router : routers)
		if (router != nullptr && router->incarnation == incarnation)
			return router.get();
	return nullptr;
}

inline int World::live_routers() const
{
	int count = 0;
	for (auto &router : routers)
		count += router != nullptr;
	return count;
}

inline void World::start(int index)
{
	if ((int)routers.size() <= index)
		routers.resize((size_t)index + 1);
	routers[(size_t)index] = std::make_unique<Router>();
	Router *router = routers[(size_t)index].get();
	router->world = this;
	router->index = index;
	router->incarnation = "inc-" + std::to_string(next_incarnation++);
	kernel_init(&router->kernel, CLOCK_VIRTUAL, random());
	router->kernel.virtual_now = now;
	auto add = [router](const char *name, recv_fn_t recv) {
		return kernel_register(&router->kernel, name, recv, router);
	};
	router->store = add("store", [](void *self, msg_t *msg) {
		auto *h = static_cast<Router *>(self);
		h->world->on_store(h, msg);
	});
	router->peer = add("peer", [](void *self, msg_t *msg) {
		auto *h = static_cast<Router *>(self);
		h->world->on_peer(h, msg);
	});
	router->request = add("request", [](void *self, msg_t *msg) {
		auto *h = static_cast<Router *>(self);
		h->world->on_request(h, msg);
	});
	router->member = add("member", [](void *, msg_t *) {});
	router->router = add("router", [](void *self, msg_t *msg) {
		if (msg->kind == MSG_STOPPED)
			static_cast<Router *>(self)->stopped = true;
	});
	ledger_opts_t router_opts = opts;
	g_strlcpy(router_opts.incarnation, router->incarnation.c_str(),
		  sizeof(router_opts.incarnation));
	ledger_init(&router->ledger, &router->kernel, &router_opts);
	kernel_start(&router->kernel);
	kernel_run_until(&router->kernel, now);
	choose_buddy(router);
	publish_members();
}

inline void World::add_counters(const Router *router)
{
	for (int i = 0; i < COUNTER_COUNT; i++)
		counters[i] += router->kernel.metrics->counters[i];
}

inline void World::crash(int index)
{
	Router *router = routers[(size_t)index].get();

	crashed[router->incarnation] = now;
	unprotected_bills[router->incarnation] =
		router->kernel.metrics->counters[COUNTER_BILLS_UNPROTECTED];
	add_counters(router);
	ledger_finish(&router->ledger);
	kernel_finish(&router->kernel);
	std::string inc = router->incarnation;
	after(std::max(router->lease_until - now, (int64_t)0),
	      [this, inc] { store.erase("alive/" + inc); });
	routers[(size_t)index].reset();
	publish_members();
}

// Starts a planned stop; the router exits once its ledger has stopped.
inline void World::stop(int index)
{
	Router *router = routers[(size_t)index].get();

	router->stopping = true;
	kernel_stop(&router->kernel);
	exit_if_stopped(router->incarnation);
}

inline void World::exit_if_stopped(const std::string &incarnation)
{
	Router *router = find(incarnation);

	if (router == nullptr)
		return;
	if (!router->stopped || router->paused) {
		after(10 * MS,
		      [this, incarnation] { exit_if_stopped(incarnation); });
		return;
	}
	stops++;
	add_counters(router);
	ledger_finish(&router->ledger);
	kernel_finish(&router->kernel);
	store.erase("alive/" + incarnation);
	store.erase("member/" + incarnation);
	routers[(size_t)router->index].reset();
	publish_members();
}

// Posts a message to a router; a paused router keeps it in its queue.
inline void World::post(const std::string &incarnation, svc_t Router::*from,
			msg_t *msg)
{
	Router *router = find(incarnation);
	if (router == nullptr) {
		msg_clear(msg);
		return;
	}
	if (!router->paused)
		kernel_run_until(&router->kernel, now);
	kernel_post(&router->kernel, router->*from, router->ledger.self, msg);
	if (!router->paused)
		kernel_run_until(&router->kernel, now);
}

inline void World::publish_members()
{
	for (auto &to : routers) {
		if (to == nullptr)
			continue;
		msg_t msg = {};
		msg.kind = MSG_MEMBER_CHANGED;
		msg.u.members = member_list_new();
		for (auto &router : routers) {
			if (router == nullptr)
				continue;
			member_info_t info = {};
			g_strlcpy(info.incarnation, router->incarnation.c_str(),
				  sizeof(info.incarnation));
			info.state = MEMBER_ALIVE;
			g_array_append_val(msg.u.members->members, info);
		}
		post(to->incarnation, &Router::member, &msg);
	}
}

inline void World::choose_buddy(Router *router)
{
	Router *current = find(router->buddy);
	auto is_cut = [&](Router *other) {
		return cut_links.count({router->index, other->index}) > 0;
	};
	bool registered = store.revision_of("member/" + router->incarnation);

	if (registered && current != nullptr && !is_cut(current) &&
	    !current->paused)
		return;
	std::string buddy = current == nullptr ? "" : router->buddy;
	auto in_same_zone = [&](Router *other) {
		return !zone_of.empty() &&
		       zone_of[(size_t)other->index] ==
			       zone_of[(size_t)router->index];
	};
	bool same_zone = false;
	for (auto &other : routers) {
		if (other == nullptr || other.get() == router ||
		    is_cut(other.get()) || other->paused ||
		    (same_zone && !in_same_zone(other.get())))
			continue;
		same_zone = in_same_zone(other.get());
		buddy = other->incarnation;
	}
	if (registered && buddy == router->buddy)
		return;
	record_t record = {};
	record.kind = RECORD_MEMBER;
	g_strlcpy(record.u.member.buddy, buddy.c_str(),
		  sizeof(record.u.member.buddy));
	store.put("member/" + router->incarnation, record);
	router->buddy = buddy;
	msg_t msg = {};
	msg.kind = MSG_BUDDY_CHANGED;
	g_strlcpy(msg.u.buddy.incarnation, buddy.c_str(),
		  sizeof(msg.u.buddy.incarnation));
	post(router->incarnation, &Router::member, &msg);
}

inline bool World::has_grants(const std::string &incarnation) const
{
	std::string prefix = "grant/" + incarnation + "/";
	auto it = store.entries.lower_bound(prefix);
	return it != store.entries.end() &&
	       it->first.compare(0, prefix.size(), prefix) == 0;
}

// Whether any grant of a crashed router awaits recovery.
inline bool World::is_recovering() const
{
	for (auto &[key, entry] : store.entries) {
		if (entry.record.kind != RECORD_GRANT)
			continue;
		std::string inc = key.substr(6, key.find('/', 6) - 6);
		if (crashed.count(inc) > 0 && !entry.record.u.grant.recovered)
			return true;
	}
	return false;
}

// Renews leases, selects buddies and reports expired members, once a second.
inline void World::tick_members()
{
	after(1 * SEC, [this] { tick_members(); });
	auto notify_expired = [this](const std::string &inc,
				     bool instance_gone) {
		auto it = store.entries.find("member/" + inc);
		for (auto &router : routers) {
			if (router == nullptr || router->incarnation == inc ||
			    router->store_unreachable || !store.up)
				continue;
			msg_t msg = {};
			msg.kind = MSG_MEMBER_EXPIRED;
			g_strlcpy(msg.u.expired.incarnation, inc.c_str(),
				  sizeof(msg.u.expired.incarnation));
			msg.u.expired.was_buddy =
				it != store.entries.end() &&
				router->incarnation ==
					it->second.record.u.member.buddy;
			msg.u.expired.instance_gone = instance_gone;
			post(router->incarnation, &Router::member, &msg);
		}
	};
	for (auto &[inc, when] : crashed)
		if (store.revision_of("member/" + inc) != 0 && store.up &&
		    store.revision_of("alive/" + inc) == 0)
			notify_expired(inc, now - when > instance_gone_delay);
	for (size_t i = 0; i < routers.size(); i++) {
		Router *router = routers[i].get();
		if (router == nullptr)
			continue;
		std::string alive = "alive/" + router->incarnation;
		if (store.up && store.revision_of(alive) != 0 &&
		    router->lease_until <= now)
			store.erase(alive);
		if (store.up && !store.revision_of(alive) && now > 2 * SEC)
			notify_expired(router->incarnation, false);
		if (!store.up || router->store_unreachable || router->paused)
			continue;
		choose_buddy(router);
		if (store.revision_of(alive) == 0) {
			record_t record = {};
			record.kind = RECORD_ALIVE;
			store.put(alive, record);
		}
		router->lease_until = now + LEASE_TTL;
		msg_t msg = {};
		msg.kind = MSG_LEASE_RENEWED;
		msg.u.lease.valid_until = now + LEASE_TTL - LEASE_MARGIN;
		post(router->incarnation, &Router::member, &msg);
	}
}

inline void World::on_store(Router *router, msg_t *msg)
{
	if (msg->kind != MSG_STORE_TXN && msg->kind != MSG_STORE_GET &&
	    msg->kind != MSG_STORE_LEASE)
		return;
	std::string inc = router->incarnation;
	handle_t ref = msg->id;
	auto answer = [this, inc, ref](int64_t delay, store_result_t *result) {
		auto owned = own_payload(result, store_result_free);
		after(delay, [this, inc, ref, owned] {
			msg_t reply = {};
			reply.kind = MSG_STORE_RESULT;
			reply.ref = ref;
			reply.u.store_result = owned->release();
			post(inc, &Router::store, &reply);
		});
	};
	auto fail = [&](int64_t delay, store_status_t status) {
		answer(delay, store_result_new(status));
	};
	auto copy = std::make_shared<msg_t>(*msg);
	std::shared_ptr<store_txn_t> txn(
		msg->kind == MSG_STORE_TXN ? msg->u.store_txn : nullptr,
		store_txn_free);
	if (msg->kind == MSG_STORE_TXN)
		msg->u.store_txn = nullptr;
	auto run = [this, copy, txn]() -> store_result_t * {
		if (txn != nullptr) {
			store_result_t *result = store.apply(txn.get());
			if (check_writes)
				check_store();
			return result;
		}
		if (copy->kind == MSG_STORE_GET)
			return store.get(copy->u.store_get.key,
					 copy->u.store_get.prefix);
		store_result_t *result = store_result_new(STORE_OK);
		result->lease = 7;
		return result;
	};
	store.calls++;
	if (!store.up || router->store_unreachable) {
		if (random_below(3) == 0)
			fail(300 * MS, STORE_UNKNOWN);
		else
			fail(5 * MS, STORE_UNAVAILABLE);
		return;
	}
	int64_t request_delay =
		fast_links ? 1 * MS : 1 * MS + random_below(4 * MS);
	int64_t reply_delay =
		fast_links ? 1 * MS : 1 * MS + random_below(4 * MS);
	int64_t fault =
		random_below(100) < store.fault_percent ? random_below(4) : -1;
	// 0: lost before taking effect, 1: result lost, 2: applied late with
	// the result lost, 3: duplicate result.
	if (fault == 0) {
		fail(300 * MS, STORE_UNKNOWN);
		return;
	}
	if (fault == 2)
		request_delay += random_below(5 * SEC);
	if (fault == 1 || fault == 2) {
		fail(300 * MS, STORE_UNKNOWN);
		after(request_delay, [run] { store_result_free(run()); });
		return;
	}
	after(request_delay, [run, answer, reply_delay, fault] {
		store_result_t *result = run();
		if (fault == 3) {
			store_result_t *duplicate = store_result_new(STORE_OK);
			duplicate->revision = result->revision;
			g_array_append_vals(duplicate->committed,
					    result->committed->data,
					    result->committed->len);
			answer(reply_delay + 3 * MS, duplicate);
		}
		answer(reply_delay, result);
	});
}

inline void World::on_peer(Router *router, msg_t *msg)
{
	if (msg->kind != MSG_PEER_SEND)
		return;
	Router *to = find(msg->u.peer.incarnation);
	peer_messages++;
	if (to == nullptr || cut_links.count({router->index, to->index}) > 0)
		return;
	std::string inc = to->incarnation, from = router->incarnation;
	auto owned = own_payload(msg->u.peer.body, peer_body_free);
	msg->u.peer.body = nullptr;
	int64_t due =
		now + (fast_links ? 1 * MS : 1 * MS + random_below(3 * MS));
	due = std::max(due, router->last_delivery[inc]);
	router->last_delivery[inc] = due;
	after(due - now, [this, inc, from, owned] {
		msg_t reply = {};
		reply.kind = MSG_PEER_RECEIVED;
		g_strlcpy(reply.u.peer.incarnation, from.c_str(),
			  sizeof(reply.u.peer.incarnation));
		reply.u.peer.body = owned->release();
		post(inc, &Router::peer, &reply);
	});
}

inline void World::submit(int index, const Request &request, int64_t deadline)
{
	Router *router = routers[(size_t)index].get();
	if (router == nullptr || router->paused)
		return;
	uint32_t id = ++router->next_request;
	router->requests[id] = request;
	msg_t msg = {};
	msg.kind = MSG_RESERVE;
	msg.id = handle_t{id, 1};
	g_strlcpy(msg.u.reserve.client_account, "acme", NAME_SIZE);
	g_strlcpy(msg.u.reserve.budget, request.budget.c_str(), NAME_SIZE);
	msg.u.reserve.tokens = request.reserved;
	msg.u.reserve.deadline =
		deadline == 0 ? now + 30 * SEC : now + deadline;
	post(router->incarnation, &Router::request, &msg);
}

// Simulates the request service: runs admitted requests, bills them and counts
// the released answers.
inline void World::on_request(Router *router, msg_t *msg)
{
	auto it = router->requests.find(msg->ref.index);
	if (it == router->requests.end())
		return;
	Request request = it->second;
	if (msg->kind == MSG_RESERVED) {
		router->outcomes[msg->u.reserved.result]++;
		if (on_reserved)
			on_reserved(request, msg->u.reserved.result);
		if (msg->u.reserved.result != RESERVE_OK) {
			router->requests.erase(it);
			return;
		}
		std::string inc = router->incarnation;
		handle_t reservation = msg->id, ref = msg->ref;
		after(request.run_us, [this, inc, reservation, ref, request] {
			msg_t bill = {};
			bill.kind = request.tokens < 0 ? MSG_RELEASE : MSG_BILL;
			bill.ref = reservation;
			bill.id = ref;
			g_strlcpy(bill.u.bill.idem_key, request.key.c_str(),
				  IDEM_KEY_SIZE);
			g_strlcpy(bill.u.bill.fingerprint,
				  request.fingerprint.c_str(), HASH_SIZE);
			bill.u.bill.tokens = request.tokens;
			if (request.tokens < 0)
				memset(&bill.u, 0, sizeof(bill.u));
			post(inc, &Router::request, &bill);
		});
		return;
	}
	if (msg->kind != MSG_BILLED)
		return;
	router->requests.erase(it);
	if (msg->u.billed.result == BILL_REFUSED)
		router->refused_bills++;
	if (msg->u.billed.result != BILL_RECORDED ||
	    released.count(request.key) > 0)
		return;
	released[request.key] = {request.budget, request.tokens};
	released_by[request.key] = router->incarnation;
	spent[request.budget] += request.tokens;
	checks++;
	if (spent[request.budget] > budget(request.budget).budget &&
	    overspend.empty())
		overspend = request.budget + " spent " +
			    std::to_string(spent[request.budget]) + " of " +
			    std::to_string(budget(request.budget).budget) +
			    " at " + std::to_string(now);
}

inline record_budget_t World::budget(const std::string &name)
{
	return store.entries["budget/acme/" + name].record.u.budget;
}

inline void World::set_budget(const std::string &name, int64_t add)
{
	std::string key = "budget/acme/" + name;
	record_t record = {};
	record.kind = RECORD_BUDGET;
	if (store.revision_of(key) != 0)
		record.u.budget = budget(name);
	record.u.budget.budget += add;
	store.put(key, record);
}

// Checks the sums of the store's records after a write.
inline void World::check_store()
{
	std::map<std::string, int64_t> granted, settled, billed;
	auto fail = [this](const std::string &what) {
		if (overspend.empty())
			overspend = what + " at " + std::to_string(now);
	};
	checks++;
	for (auto &[key, entry] : store.entries) {
		if (entry.record.kind == RECORD_GRANT) {
			auto &grant = entry.record.u.grant;
			std::string name = key.substr(key.rfind('/') + 1);
			granted[name] += grant.granted;
			settled[name] += grant.settled;
			if (grant.settled > grant.granted || grant.settled < 0)
				fail("settled over granted in " + key);
		} else if (entry.record.kind == RECORD_BILL) {
			auto &bill = entry.record.u.bill;
			billed[bill.budget] += bill.tokens;
		}
	}
	for (auto &[key, entry] : store.entries) {
		if (entry.record.kind != RECORD_BUDGET)
			continue;
		auto &record = entry.record.u.budget;
		std::string name = key.substr(key.rfind('/') + 1);
		if (granted[name] + record.retired != record.granted)
			fail("grants differ from the budget's sum in " + key);
		if (record.granted > record.budget)
			fail("granted over budget in " + key);
		if (settled[name] + record.retired != billed[name])
			fail("settled differs from the bills of " + key);
	}
}

inline void World::run_for(int64_t us)
{
	int64_t end = now + us;
	for (;;) {
		int64_t next = events.empty() ? end : events.begin()->first;
		for (auto &router : routers) {
			if (router == nullptr || router->paused)
				continue;
			int64_t timer = kernel_next_timer(&router->kernel);
			if (timer >= 0)
				next = std::min(next, timer);
			if (router->kernel.queue_len > 0)
				next = now;
		}
		next = std::max(std::min(next, end), now);
		now = next;
		for (size_t i = 0; i < routers.size(); i++)
			if (routers[i] != nullptr && !routers[i]->paused) {
				routers[i]->kernel.virtual_now = now;
				kernel_run_until(&routers[i]->kernel, now);
			}
		if (!events.empty() && events.begin()->first <= now) {
			auto run = std::move(events.begin()->second);
			events.erase(events.begin());
			run();
		} else if (now >= end) {
			break;
		}
	}
}

inline void World::clear_faults()
{
	store.up = true;
	store.fault_percent = 0;
	cut_links.clear();
	for (auto &router : routers) {
		if (router == nullptr)
			continue;
		router->store_unreachable = false;
		router->paused = false;
	}
}

// Returns the tokens of a budget in the grants of crashed routers.  The unspent
// part of each grant must cover the answers that its router released without
// protection and whose bills were lost, and must not exceed the unprotected
// part.
inline int64_t World::sum_withheld(const std::string &name)
{
	int64_t sum = 0;

	for (auto &[inc, bills] : unprotected_bills) {
		auto it = store.entries.find("grant/" + inc + "/acme/" + name);
		int64_t held = 0, lost = 0;
		if (it != store.entries.end()) {
			auto &grant = it->second.record.u.grant;
			held = grant.granted - grant.settled;
			if ((!grant.recovered || held <= 0 ||
			     held > grant.unprotected) &&
			    unbilled.empty())
				unbilled = "tokens stranded in " + it->first;
			sum += grant.granted;
		}
		for (auto &[key, what] : released)
			if (what.first == name && released_by[key] == inc &&
			    store.revision_of("bill/acme/" + key + "/f") == 0)
				lost += what.second;
		if (lost > held && overspend.empty())
			overspend = inc + " lost bills of " +
				    std::to_string(lost) + " tokens of " +
				    name + ", withheld " + std::to_string(held);
	}
	return sum;
}

// Checks the final state, after the faults have ended.  Every released answer
// is billed once, except those released without protection before a crash.  No
// tokens are stranded, except those withheld for such answers.
inline void World::check_end()
{
	std::map<std::string, uint64_t> lost; // bills by incarnation

	for (auto &router : routers)
		if (router != nullptr)
			add_counters(router.get());
	for (auto &[key, what] : released) {
		checks++;
		if (store.revision_of("bill/acme/" + key + "/f") != 0)
			continue;
		std::string inc = released_by[key];
		unprotected_bills_lost++;
		if ((crashed.count(inc) == 0 ||
		     ++lost[inc] > unprotected_bills[inc]) &&
		    unbilled.empty())
			unbilled = key + " was released and not billed";
	}
	for (auto &[key, entry] : store.entries) {
		if (entry.record.kind != RECORD_BUDGET)
			continue;
		checks++;
		auto &record = entry.record.u.budget;
		int64_t withheld = sum_withheld(key.substr(key.rfind('/') + 1));
		if (record.granted != record.retired + withheld &&
		    unbilled.empty())
			unbilled = "tokens stranded in " + key;
	}
}

#endif
