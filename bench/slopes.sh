#!/bin/bash
# Marginal costs: first those of the services under the virtual clock, then
# those of a router process on loopback (processor time of an idle router and
# of a request, memory of an open stream).
set -u
cd "$(dirname "$0")/.." || exit 1
. bench/load_lib.sh

# print_slope NAME UNIT PER N1 V1 N2 V2 N3 V3: prints the least-squares slope.
print_slope() {
	python3 -c '
import sys
name, unit, per, *rest = sys.argv[1:]
n = [float(x) for x in rest[0::2]]
v = [float(x) for x in rest[1::2]]
mn, mv = sum(n) / len(n), sum(v) / len(v)
slope = (sum((a - mn) * (b - mv) for a, b in zip(n, v)) /
         sum((a - mn) ** 2 for a in n))
pairs = " ".join("n%d=%g v%d=%g" % (i + 1, n[i], i + 1, v[i])
                 for i in range(len(n)))
print("slope %s %s per=%s %s slope=%.4g" % (name, unit, per, pairs, slope))' "$@"
}

# metric NAME: prints the value of a metric of r1.
metric() {
	curl -s "http://127.0.0.1:$admin_port/metrics" |
		sed -n "s/^tanagertrestle_$1 //p"
}

measure_idle() {
	cpu=$(cpu_ms "$r1_pid")
	bytes=$(metric peer_bytes_out_total)
	calls=$(metric store_calls_total)
	sleep 10
	cpu=$(($(cpu_ms "$r1_pid") - cpu))
	echo "idle cpu_ms_per_s=$((cpu / 10))" \
		"peer_bytes_out_per_s=$((($(metric peer_bytes_out_total) - bytes) / 10))" \
		"store_calls_per_10_s=$(($(metric store_calls_total) - calls))" \
		"rss_kb=$(rss_kb "$r1_pid")"
}

measure_request_cpu() {
	cpu_args=""
	call_args=""
	for rate in 100 300 600; do
		cpu=$(cpu_ms "$r1_pid")
		calls=$(metric store_calls_total)
		"$LOAD" --port "$router_port" --key "$key" --rate "$rate" \
			--seconds 5 --connections 16 --warm 0 >/dev/null
		sleep 1
		cpu=$(($(cpu_ms "$r1_pid") - cpu))
		calls=$(($(metric store_calls_total) - calls))
		cpu_args="$cpu_args $((rate * 5)) $cpu"
		call_args="$call_args $rate $((calls * 1000 / (rate * 5)))"
	done
	print_slope process_request cpu_ms request $cpu_args
	print_slope process_store_calls calls_per_1000_requests request_per_s \
		$call_args
}

measure_stream_memory() {
	args=""
	for count in 250 500 1000; do
		before=$(rss_kb "$r1_pid")
		hold_streams "$count"
		args="$args $count $(($(rss_kb "$r1_pid") - before + retained_kb))"
		[ "$count" = 250 ] && first=$(($(rss_kb "$r1_pid") - before))
		wait "$hold_pid"
		sleep 1
		retained_kb=$(($(rss_kb "$r1_pid") - start_kb))
	done
	print_slope open_stream rss_kb stream $args
}

"$BUILD/bench/slopes" || fail "bench/slopes failed"
"$BUILD/bench/slopes_fleet" || fail "bench/slopes_fleet failed"
start_fleet
start_kb=$(rss_kb "$r1_pid")
retained_kb=0
measure_idle
measure_stream_memory
measure_request_cpu
