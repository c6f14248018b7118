#!/bin/bash
# Measures a router process on loopback: latency added to a small request,
# highest sustained request rate and memory of an idle stream.  Prints a line
# for each figure; a missed goal is not an error.  ALONE=1 leaves out the second
# router, so that a response waits for the store instead of the copy at the
# buddy.
set -u
cd "$(dirname "$0")/.." || exit 1
. bench/load_lib.sh

STREAMS=1000
P99_MAX_MS=100 # up to which a rate counts as sustained

# field NAME LINE: prints the value of NAME=VALUE in the line.
field() {
	echo "$2" | tr ' ' '\n' | sed -n "s/^$1=//p"
}

# print_result NAME VALUE GOAL OPERATOR: OPERATOR is lt or ge.
print_result() {
	python3 -c '
import sys
name, value, goal, op = sys.argv[1:]
met = float(value) < float(goal) if op == "lt" else float(value) >= float(goal)
print("latency %s value=%s goal=%s met=%s"
      % (name, value, goal, "yes" if met else "no"))' "$@"
}

# nth_smallest N VALUE ...: prints the Nth smallest value.
nth_smallest() {
	n=$1
	shift
	printf '%s\n' "$@" | sort -g | sed -n "${n}p"
}

subtract() {
	python3 -c 'import sys; print("%.3f" % (float(sys.argv[1]) - float(sys.argv[2])))' "$@"
}

# Other load on the machine varies between the rounds: each round is printed,
# and the median and the minimum are reported.
added_latency() {
	p50=""
	p99=""
	for _ in 1 2 3 4 5; do
		cpu=$(cpu_ms "$r1_pid")
		out=$("$LOAD" --port "$engine_port" --second "$router_port" \
			--key "$key" --rate 1000 --seconds 4 --connections 16)
		cpu=$(($(cpu_ms "$r1_pid") - cpu))
		direct=$(echo "$out" | grep '^a ')
		routed=$(echo "$out" | grep '^b ')
		echo "direct $direct"
		echo "routed $routed cpu_us_per_request=$((cpu * 1000 / 4000))"
		p50="$p50 $(subtract "$(field p50_ms "$routed")" \
			"$(field p50_ms "$direct")")"
		p99="$p99 $(subtract "$(field p99_ms "$routed")" \
			"$(field p99_ms "$direct")")"
	done
	print_result added_p50_ms_median "$(nth_smallest 3 $p50)" 0.3 lt
	print_result added_p50_ms_least "$(nth_smallest 1 $p50)" 0.3 lt
	print_result added_p99_ms_median "$(nth_smallest 3 $p99)" 1 lt
	print_result added_p99_ms_least "$(nth_smallest 1 $p99)" 1 lt
}

# Raises the rate until a request fails or p99 reaches P99_MAX_MS.
highest_rate() {
	best=0
	for rate in 500 1000 1500 2000 2500 3000 3500 4000 5000 6000 8000 10000 \
		14000 20000; do
		cpu=$(cpu_ms "$r1_pid")
		out=$("$LOAD" --port "$router_port" --key "$key" \
			--rate "$rate" --seconds 3 --connections 64)
		cpu=$(($(cpu_ms "$r1_pid") - cpu))
		echo "rate $rate: $out cpu_us_per_request=$((cpu * 1000 / (rate * 3)))"
		[ "$(field errors "$out")" = 0 ] &&
			[ "$(field unanswered "$out")" = 0 ] &&
			[ "$(field p99_ms "$out" | cut -d. -f1)" -lt "$P99_MAX_MS" ] ||
			break
		best=$rate
	done
	print_result requests_per_s "$best" 20000 ge
}

stream_memory() {
	before=$(rss_kb "$r1_pid")
	hold_streams "$STREAMS"
	after=$(rss_kb "$r1_pid")
	open=$(curl -s "http://127.0.0.1:$admin_port/metrics" |
		grep -i '_connections [0-9]' | head -1)
	wait "$hold_pid"
	echo "streams: $(cat "$WORK/hold" | tr '\n' ' ') $open"
	print_result streams_1000_mb \
		"$(python3 -c "print('%.1f' % (($after - $before) / 1024))")" \
		32 lt
}

# Measures the load generator against the engine without a router.
generator() {
	for rate in 1000 20000 40000; do
		echo "alone at $rate: $("$LOAD" --port "$engine_port" \
			--rate "$rate" --seconds 3 --connections 32)"
	done
}

# STEPS lists the measurements to run.
start_fleet
for step in ${STEPS:-generator stream_memory added_latency highest_rate}; do
	$step
done
