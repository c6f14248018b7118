// A model of an instance with a link of 10 Mbit/s in each direction, first in
// first out, for the load that docs/design/hard-load.md measured: bodies of
// 12,000, 2,400, 830 and 600 bytes, answers of 42, 32 and 3 events.
#ifndef TESTS_ADMISSION_WORLD_H
#define TESTS_ADMISSION_WORLD_H

#include "overload/admission.h"
#include "overload/move.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

struct load_kind_t {
	const char *route;
	int32_t priority;
	uint64_t body;
	int events;
	int64_t goal_ms;
	double share; // of the requests
};

const load_kind_t load_kinds[] = {
	{"long", 2, 12000, 42, 1500, 0.15},
	{"chat", 1, 2400, 32, 400, 0.30},
	{"short", 1, 830, 3, 400, 0.20},
	{"small", 0, 600, 3, 120, 0.35},
};
const int KINDS = 4;

struct kind_result_t {
	int offered = 0, admitted = 0, in_time = 0;
	std::vector<double> first_ms; // of those admitted
	double quantile(double q)
	{
		if (first_ms.empty())
			return 0;
		std::sort(first_ms.begin(), first_ms.end());
		return first_ms[(size_t)(q * (double)(first_ms.size() - 1))];
	}
};

class admission_world_t
{
      public:
	admission_state_t admission;
	move_t move = {};
	int64_t needy_at = 0; // first need to move callers; 0: none
	kind_result_t results[KINDS];
	int64_t now = 0;
	double processor_us = 0; // that a request takes; 0: not modelled
	double bytes_in = 0, bytes_out = 0;
	uint64_t window = UINT64_MAX; // of a body that arrives undecided
	double wait_sum_us = 0;

	explicit admission_world_t(double link_mbps, bool decide_any = true,
				   uint64_t seed = 1)
	    : rate(link_mbps / 8), decides(decide_any), random(seed)
	{
		admission_init(&admission, link_mbps);
		at(50000, [this] { sample(); });
	}
	// Requests arrive at this rate, with the mix, until that time.
	void offer(double per_s, int64_t until)
	{
		std::exponential_distribution<double> gap(per_s / 1e6);
		auto when = (double)now;

		while ((when += gap(random)) < (double)until)
			at((int64_t)when, [this] { arrive(); });
	}
	void run(int64_t until)
	{
		while (!events.empty() && events.top().when <= until) {
			auto fn = events.top().fn;

			now = events.top().when;
			events.pop();
			fn();
		}
		now = until;
	}
	void forget()
	{
		for (auto &result : results)
			result = kind_result_t();
	}
	kind_result_t sum() const
	{
		kind_result_t all;

		for (auto &result : results) {
			all.offered += result.offered;
			all.admitted += result.admitted;
			all.in_time += result.in_time;
		}
		return all;
	}

      private:
	struct event_t {
		int64_t when;
		uint64_t seq;
		std::function<void()> fn;
		bool operator<(const event_t &other) const
		{
			return when != other.when ? when > other.when
						  : seq > other.seq;
		}
	};
	static constexpr uint64_t HEAD = 400, EVENT = 100;
	static constexpr int64_t TARGET_US = 40000, EVENT_GAP_US = 20000;

	void at(int64_t when, std::function<void()> fn)
	{
		events.push({when, seq++, std::move(fn)});
	}
	// Returns when the bytes have passed the link.
	int64_t pass(double *free_at, uint64_t bytes) const
	{
		*free_at = std::max(*free_at, (double)now) +
			   (double)traffic_on_link(bytes) / rate;
		return (int64_t)*free_at;
	}
	void receive(uint64_t bytes, std::function<void()> then)
	{
		at(pass(&in_free, bytes), [this, bytes, then] {
			bytes_in += (double)traffic_on_link(bytes);
			in_window += (double)traffic_on_link(bytes);
			then();
		});
	}
	int64_t send(uint64_t bytes)
	{
		bytes_out += (double)traffic_on_link(bytes);
		out_window += (double)traffic_on_link(bytes);
		return pass(&out_free, bytes);
	}
	void arrive()
	{
		double at_share =
			std::uniform_real_distribution<double>(0, 1)(random);
		int kind = 0;
		int64_t sent = now;

		while (kind < KINDS - 1 && at_share >= load_kinds[kind].share)
			at_share -= load_kinds[kind++].share;
		receive(HEAD + std::min(window, load_kinds[kind].body),
			[this, kind, sent] {
				if (processor_us <= 0) {
					decide(kind, sent);
					return;
				}
				cpu_free = std::max(cpu_free, (double)now) + 50;
				worst_wait = std::max(worst_wait,
						      cpu_free - (double)now);
				at((int64_t)cpu_free,
				   [this, kind, sent] { decide(kind, sent); });
			});
	}
	void decide(int kind, int64_t sent)
	{
		const load_kind_t &load = load_kinds[kind];
		admission_request_t request = {
			load.route, load.priority,
			traffic_on_link(HEAD + load.body),
			traffic_on_link(HEAD + std::min(window, load.body)),
			false};
		bool admitted =
			!decides || admission_test(&admission, &request, now);

		admission_count(&admission, &request, admitted, now);
		results[kind].offered++;
		if (!admitted) {
			send(200);
			return;
		}
		results[kind].admitted++;
		if (processor_us > 0)
			cpu_free =
				std::max(cpu_free, (double)now) + processor_us;
		if (load.body > window)
			receive(load.body - window,
				[this, kind, sent] { forward(kind, sent); });
		else
			forward(kind, sent);
	}
	void forward(int kind, int64_t sent)
	{
		at(send(HEAD + load_kinds[kind].body) + TARGET_US,
		   [this, kind, sent] { event(kind, sent, 0); });
	}
	void event(int kind, int64_t sent, int number)
	{
		const load_kind_t &load = load_kinds[kind];

		receive(EVENT, [this, kind, sent, number, &load] {
			int64_t done = send(EVENT);

			if (number == 0)
				at(done, [this, kind, sent] {
					first(kind, now - sent);
				});
			if (number + 1 == load.events)
				admission_answered(
					&admission, load.route,
					traffic_on_link(EVENT) *
						(uint64_t)load.events);
		});
		if (number + 1 < load.events)
			at(now + EVENT_GAP_US, [this, kind, sent, number] {
				event(kind, sent, number + 1);
			});
	}
	void first(int kind, int64_t took)
	{
		results[kind].first_ms.push_back((double)took / 1000);
		if (took <= load_kinds[kind].goal_ms * 1000)
			results[kind].in_time++;
	}
	// The last 200 ms, as the product measures them.
	void sample()
	{
		admission_load_t load = {};
		double in = 0, out = 0;

		windows_in.push_back(in_window);
		windows_out.push_back(out_window);
		in_window = out_window = 0;
		if (windows_in.size() > 4) {
			windows_in.erase(windows_in.begin());
			windows_out.erase(windows_out.begin());
		}
		for (double bytes : windows_in)
			in += bytes;
		for (double bytes : windows_out)
			out += bytes;
		load.in = in / (rate * 200000);
		load.out = out / (rate * 200000);
		load.wait = (int64_t)worst_wait;
		worst_wait = std::max(cpu_free - (double)now, 0.0);
		move_update(&move, admission_take_load(&admission, 50000), now);
		if (move.needy && needy_at == 0)
			needy_at = now;
		if (decides)
			admission_control(&admission, &load);
		at(now + 50000, [this] { sample(); });
	}
	double rate; // bytes per us
	bool decides;
	double in_free = 0, out_free = 0, cpu_free = 0, worst_wait = 0;
	double in_window = 0, out_window = 0;
	std::vector<double> windows_in, windows_out;
	std::priority_queue<event_t> events;
	uint64_t seq = 0;
	std::mt19937_64 random;
};

#endif
