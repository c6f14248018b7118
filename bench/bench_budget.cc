// Overspend and false refusals of the ledger at the size of the present
// deployments, compared with equal static shares and with a single ledger that
// knows every reservation without delay.
#include "ledger/local.h"
#include "tests/ledger_world.h"
#include "tests/ledger_world_impl.h"

#include <cstdio>
#include <cstdlib>

namespace
{

constexpr int ROUTERS = 7;
constexpr int ACCOUNTS = 10;
constexpr int LARGE_ACCOUNTS = 3; // a quarter of the requests each
constexpr int64_t LENGTH_S = 900;
constexpr int64_t REQUESTS_PER_S = 40;
constexpr int64_t TOPUP_S = 420;
constexpr int64_t SHIFT_S = 450; // the home zone of each account changes
constexpr int64_t PARTITION_START_S = 180;
constexpr int64_t PARTITION_END_S = 780;
constexpr uint64_t SEED = 20261204; // default of the first argument
constexpr double GOAL_CONNECTED = 0.1; // percent
constexpr double GOAL_PARTITIONED = 1.0; // percent

uint64_t chosen_seed = SEED;

struct Deployment {
	const char *name;
	std::vector<int> zones; // zone of each router
};

struct Arrival {
	int64_t at; // us
	int router;
	int account;
	Request request;
};

struct Trace {
	std::vector<Arrival> arrivals;
	int64_t budgets[ACCOUNTS];
	int64_t topups[ACCOUNTS];
};

// SplitMix64; a trace depends on its seed only.
struct Random {
	uint64_t state;
	int64_t below(int64_t n)
	{
		uint64_t z = (state += UINT64_C(0x9e3779b97f4a7c15));
		z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
		z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
		return (int64_t)((z ^ (z >> 31)) % (uint64_t)n);
	}
};

int pick_account(Random &random)
{
	int64_t x = random.below(100);

	if (x < 25 * LARGE_ACCOUNTS)
		return (int)(x / 25);
	return LARGE_ACCOUNTS + (int)random.below(ACCOUNTS - LARGE_ACCOUNTS);
}

// Picks a random router; in six of ten cases a router outside the home zone of
// the account is rejected and another one is picked.
int pick_router(Random &random, const Deployment &deployment, int account,
		int64_t at)
{
	int zones = deployment.zones.back() + 1;
	int home = (account + (at >= SHIFT_S * SEC ? 1 : 0)) % zones;

	for (;;) {
		int router = (int)random.below(ROUTERS);
		if (random.below(10) >= 6 ||
		    deployment.zones[(size_t)router] == home)
			return router;
	}
}

// Budgets as a share of the total demand of each account.  Tight budgets: five
// accounts run out, two end near their limit.
const double TIGHT_SHARES[ACCOUNTS] = {0.5, 1.02, 2.0, 0.3, 0.6,
				       0.9, 1.0,  1.1, 1.5, 3.0};
// Ordinary budgets: two small accounts run out.
const double ORDINARY_SHARES[ACCOUNTS] = {1.3, 1.6, 2.0, 0.6, 0.9,
					  1.2, 1.5, 2.5, 3.0, 4.0};

Trace make_trace(const Deployment &deployment, const double *budget_shares,
		 uint64_t seed)
{
	int64_t demand[ACCOUNTS] = {};
	Random random = {seed};
	Trace trace = {};
	int64_t at = 0;

	for (int i = 0; at < LENGTH_S * SEC; i++) {
		Arrival arrival = {};
		int64_t prompt = 100 + random.below(1400);
		int64_t limit = 128 << random.below(4);
		int64_t generated = 1 + random.below(limit);

		at += 1 + random.below(2 * SEC / REQUESTS_PER_S);
		arrival.at = at;
		arrival.account = pick_account(random);
		arrival.router =
			pick_router(random, deployment, arrival.account, at);
		arrival.request.budget = "b" + std::to_string(arrival.account);
		arrival.request.key = "k" + std::to_string(i);
		arrival.request.reserved = prompt + limit;
		arrival.request.tokens = prompt / 4 + generated;
		arrival.request.run_us = 200 * MS + generated * 20 * MS;
		demand[arrival.account] += arrival.request.tokens;
		trace.arrivals.push_back(arrival);
	}
	for (int i = 0; i < ACCOUNTS; i++) {
		trace.budgets[i] =
			(int64_t)((double)demand[i] * budget_shares[i]);
		trace.topups[i] = budget_shares[i] < 1 ? demand[i] / 5 : 0;
	}
	return trace;
}

// A ledger that knows every reservation and top-up without delay.  With more
// than one share, each router has an equal part of every budget to itself.
std::vector<bool> run_single(const Trace &trace, int shares)
{
	std::vector<bool> admitted;
	std::multimap<int64_t, std::pair<std::pair<int, int>, int64_t>>
		settlements;
	std::map<std::pair<int, int>, int64_t> funds;
	bool topped_up = false;

	for (int a = 0; a < ACCOUNTS; a++)
		for (int s = 0; s < shares; s++)
			funds[{a, s}] = trace.budgets[a] / shares;
	for (const Arrival &arrival : trace.arrivals) {
		if (!topped_up && arrival.at >= TOPUP_S * SEC) {
			topped_up = true;
			for (auto &[key, tokens] : funds)
				tokens += trace.topups[key.first] / shares;
		}
		while (!settlements.empty() &&
		       settlements.begin()->first <= arrival.at) {
			funds[settlements.begin()->second.first] +=
				settlements.begin()->second.second;
			settlements.erase(settlements.begin());
		}
		std::pair<int, int> key = {arrival.account,
					   shares == 1 ? 0 : arrival.router};
		bool ok = funds[key] >= arrival.request.reserved;
		admitted.push_back(ok);
		if (!ok)
			continue;
		funds[key] -= arrival.request.reserved;
		settlements.emplace(
			arrival.at + arrival.request.run_us,
			std::make_pair(key, arrival.request.reserved -
						    arrival.request.tokens));
	}
	return admitted;
}

// Returns the smallest balance at the start of the partition with which one
// side can serve all requests that arrive there during the partition.
int64_t tokens_needed(const Trace &trace, const Deployment &deployment,
		      int account, int side)
{
	std::multimap<int64_t, int64_t> changes;
	int64_t balance = 0, lowest = 0;

	if (side == 1)
		changes.emplace(TOPUP_S * SEC, trace.topups[account]);
	for (const Arrival &a : trace.arrivals) {
		if (a.account != account || a.at < PARTITION_START_S * SEC ||
		    a.at >= PARTITION_END_S * SEC ||
		    (deployment.zones[(size_t)a.router] != 0) != (side == 1))
			continue;
		changes.emplace(a.at, -a.request.reserved);
		changes.emplace(a.at + a.request.run_us,
				a.request.reserved - a.request.tokens);
	}
	for (auto &[at, tokens] : changes) {
		balance += tokens;
		lowest = std::min(lowest, balance);
	}
	return -lowest;
}

// The best that a ledger could do with the partition: it acts as a single
// ledger before and after.  At the start of the partition each side gets what
// it will use, in proportion if the tokens don't suffice, and only the side of
// the store sees the top-up.
std::vector<bool> run_best_partitioned(const Trace &trace,
				       const Deployment &deployment)
{
	std::vector<bool> admitted;
	std::multimap<int64_t, std::pair<std::pair<int, int>, int64_t>>
		settlements;
	int64_t funds[ACCOUNTS][2] = {};
	bool topped_up = false, partitioned = false, healed = false;

	for (int a = 0; a < ACCOUNTS; a++)
		funds[a][1] = trace.budgets[a];
	for (const Arrival &arrival : trace.arrivals) {
		int account = arrival.account;
		if (!partitioned && arrival.at >= PARTITION_START_S * SEC) {
			partitioned = true;
			for (int a = 0; a < ACCOUNTS; a++) {
				double n0 = (double)tokens_needed(
					trace, deployment, a, 0);
				double n1 = (double)tokens_needed(
					trace, deployment, a, 1);
				int64_t part = (int64_t)n0;
				if (n0 + n1 > (double)funds[a][1])
					part = (int64_t)((double)funds[a][1] *
							 n0 / (n0 + n1));
				funds[a][0] = part;
				funds[a][1] -= part;
			}
		}
		if (!topped_up && arrival.at >= TOPUP_S * SEC) {
			topped_up = true;
			for (int a = 0; a < ACCOUNTS; a++)
				funds[a][1] += trace.topups[a];
		}
		healed = arrival.at >= PARTITION_END_S * SEC;
		while (!settlements.empty() &&
		       settlements.begin()->first <= arrival.at) {
			auto [key, tokens] = settlements.begin()->second;
			funds[key.first][partitioned ? key.second : 1] +=
				tokens;
			settlements.erase(settlements.begin());
		}
		for (int a = 0; healed && a < ACCOUNTS; a++) {
			funds[a][1] += funds[a][0];
			funds[a][0] = 0;
		}
		int zone = deployment.zones[(size_t)arrival.router];
		int side = zone != 0 ? 1 : 0;
		int64_t &balance =
			funds[account][!partitioned || healed ? 1 : side];
		bool ok = balance >= arrival.request.reserved;
		admitted.push_back(ok);
		if (!ok)
			continue;
		balance -= arrival.request.reserved;
		settlements.emplace(
			arrival.at + arrival.request.run_us,
			std::make_pair(std::make_pair(account, side),
				       arrival.request.reserved -
					       arrival.request.tokens));
	}
	return admitted;
}

void set_partition(World &world, const Deployment &deployment, bool partitioned)
{
	for (int i = 0; i < ROUTERS; i++) {
		if (deployment.zones[(size_t)i] != 0)
			continue;
		world.routers[(size_t)i]->store_unreachable = partitioned;
		for (int j = 0; j < ROUTERS; j++) {
			if (deployment.zones[(size_t)j] == 0)
				continue;
			if (partitioned) {
				world.cut_links.insert({i, j});
				world.cut_links.insert({j, i});
			} else {
				world.cut_links.erase({i, j});
				world.cut_links.erase({j, i});
			}
		}
	}
}

struct Outcome {
	std::vector<bool> admitted;
	std::string overspend;
	int64_t store_calls;
	std::map<std::string, std::string> causes; // by the key of the request
};

// Describes where the tokens were when a request was refused.
std::string cause_of(World &world, const Deployment &deployment,
		     const Arrival &arrival, int64_t since, bool partitioned,
		     reserve_result_t result)
{
	int side = partitioned && deployment.zones[(size_t)arrival.router] == 0
			   ? 0
			   : 1;
	int64_t free[2] = {}, reserved[2] = {}, need = arrival.request.reserved;
	record_budget_t record = world.budget(arrival.request.budget);
	int64_t unallocated = side == 1 ? record.budget - record.granted : 0;
	std::string name;

	for (auto &r : world.routers) {
		slice_t *slice = slice_find(&r->ledger, "acme",
					    arrival.request.budget.c_str());
		int at = partitioned && deployment.zones[(size_t)r->index] == 0
				 ? 0
				 : 1;
		if (slice == nullptr)
			continue;
		free[at] += slice_available(slice);
		reserved[at] += slice->reserved_tokens;
	}
	name = !partitioned ? "connected "
	       : side == 0  ? "cut side "
			    : "store side ";
	if (partitioned)
		name += since >= TOPUP_S * SEC ? "after top-up: "
					       : "before top-up: ";
	name += result == RESERVE_SPENT ? "spent, " : "waited, ";
	if (free[side] + unallocated >= need)
		return name + "tokens free on this side";
	if (free[side] + unallocated + reserved[side] >= need)
		return name + "tokens in reservations";
	if (partitioned && free[1 - side] + reserved[1 - side] >= need)
		return name + "tokens on the other side";
	if (side == 0 && record.budget - record.granted >= need)
		return name + "tokens in the store";
	return name + "no tokens";
}

Outcome run_ledger(const Deployment &deployment, const Trace &trace,
		   bool partitioned)
{
	Outcome outcome;
	World world(1);
	std::set<std::string> refused;
	int64_t start = 0;

	world.fast_links = true;
	world.check_writes = false;
	world.zone_of = deployment.zones;
	world.on_reserved = [&](const Request &request,
				reserve_result_t result) {
		if (result == RESERVE_OK)
			return;
		const Arrival &arrival =
			trace.arrivals[(size_t)atoi(request.key.c_str() + 1)];
		int64_t since = world.now - start;
		refused.insert(request.key);
		outcome.causes[request.key] = cause_of(
			world, deployment, arrival, since,
			partitioned && since >= PARTITION_START_S * SEC &&
				since < PARTITION_END_S * SEC,
			result);
	};
	for (int a = 0; a < ACCOUNTS; a++)
		world.set_budget("b" + std::to_string(a), trace.budgets[a]);
	for (int i = 0; i < ROUTERS; i++)
		world.start(i);
	world.run_for(5 * SEC);
	start = world.now;
	world.after(TOPUP_S * SEC, [&] {
		for (int a = 0; a < ACCOUNTS; a++)
			world.set_budget("b" + std::to_string(a),
					 trace.topups[a]);
	});
	if (partitioned) {
		world.after(PARTITION_START_S * SEC,
			    [&] { set_partition(world, deployment, true); });
		world.after(PARTITION_END_S * SEC,
			    [&] { set_partition(world, deployment, false); });
	}
	for (const Arrival &arrival : trace.arrivals) {
		world.run_for(start + arrival.at - world.now);
		world.submit(arrival.router, arrival.request);
	}
	world.run_for(60 * SEC);
	world.check_store();
	for (const Arrival &arrival : trace.arrivals)
		outcome.admitted.push_back(refused.count(arrival.request.key) ==
					   0);
	outcome.overspend = world.overspend;
	outcome.store_calls = world.store.calls;
	return outcome;
}

// Returns the requests that were refused although the single ledger admits
// them, in percent of those that the single ledger admits.
double false_refusals(const std::vector<bool> &best,
		      const std::vector<bool> &run)
{
	int64_t admitted = 0, refused = 0;

	for (size_t i = 0; i < best.size(); i++) {
		admitted += best[i];
		refused += best[i] && !run[i];
	}
	return 100.0 * (double)refused / (double)admitted;
}

void print_causes(const Trace &trace, const std::vector<bool> &best,
		  const Outcome &run)
{
	std::map<std::string, int> counts;

	for (size_t i = 0; i < best.size(); i++) {
		auto it = run.causes.find(trace.arrivals[i].request.key);
		if (best[i] && it != run.causes.end())
			counts[it->second]++;
	}
	for (auto &[cause, count] : counts)
		printf("# %6d %s\n", count, cause.c_str());
}

bool print(const char *name, const char *trace, const char *policy,
	   double value, const char *unit, double goal)
{
	bool met = value <= goal;

	printf("bench %s trace=%s seed=%lu policy=%s value=%.3f%s goal=%g%s "
	       "met=%s\n",
	       name, trace, (unsigned long)chosen_seed, policy, value, unit,
	       goal, unit, met ? "yes" : "no");
	return met;
}

bool run(const Deployment &deployment, const char *label,
	 const double *budget_shares, bool partitioned)
{
	const char *name =
		partitioned ? "false_refusals_cut" : "false_refusals";
	double goal = partitioned ? GOAL_PARTITIONED : GOAL_CONNECTED;
	Trace trace = make_trace(deployment, budget_shares, chosen_seed);
	std::vector<bool> best = run_single(trace, 1);
	std::vector<bool> static_shares = run_single(trace, ROUTERS);
	Outcome own = run_ledger(deployment, trace, partitioned);
	bool met;

	met = print(partitioned ? "overspend_cut" : "overspend", label,
		    "tanagertrestle", own.overspend.empty() ? 0 : 1, "", 0);
	if (!own.overspend.empty())
		printf("# %s\n", own.overspend.c_str());
	met &= print(name, label, "tanagertrestle",
		     false_refusals(best, own.admitted), "%", goal);
	print_causes(trace, best, own);
	printf("bench %s trace=%s policy=static_shares value=%.3f%%\n", name,
	       label, false_refusals(best, static_shares));
	if (partitioned)
		printf("bench %s trace=%s policy=best_partitioned "
		       "value=%.3f%%\n",
		       name, label,
		       false_refusals(best,
				      run_best_partitioned(trace, deployment)));
	printf("bench store_calls_per_1000 trace=%s policy=tanagertrestle "
	       "cut=%s value=%.1f\n",
	       label, partitioned ? "yes" : "no",
	       1000.0 * (double)own.store_calls / (double)best.size());
	fflush(stdout);
	return met;
}

} // namespace

int main(int argc, char **argv)
{
	const Deployment deployments[] = {
		{"szunyoghalo", {0, 0, 1, 1, 2, 2, 3}},
		{"pemberton", {0, 0, 0, 1, 1, 2, 2}},
	};
	bool met = true;

	if (argc > 1)
		chosen_seed = strtoul(argv[1], nullptr, 10);
	for (const Deployment &deployment : deployments)
		for (bool partitioned : {false, true})
			for (bool tight : {true, false}) {
				std::string label = deployment.name;
				label += tight ? "" : "_ordinary";
				met &= run(deployment, label.c_str(),
					   tight ? TIGHT_SHARES
						 : ORDINARY_SHARES,
					   partitioned);
			}
	return met ? 0 : 1;
}
