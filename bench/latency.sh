#!/bin/bash
# Measures one router as a separate process on loopback: added latency of a
# small request, highest rate, memory of an idle stream.  Prints one line for
# each; a report, not a test.  ALONE=1 leaves out the second router, so that
# an answer waits for the store instead of the buddy's copy.
set -u
cd "$(dirname "$0")/.." || exit 1
. demo/lib.sh

LOAD=$BUILD/bench/load
STREAMS=1000

# field NAME LINE: the value of NAME=VALUE in a line.
field() {
	echo "$2" | tr ' ' '\n' | sed -n "s/^$1=//p"
}

# verdict NAME VALUE GOAL OPERATOR(lt or ge)
verdict() {
	python3 -c '
import sys
name, value, goal, op = sys.argv[1:]
met = float(value) < float(goal) if op == "lt" else float(value) >= float(goal)
print("latency %s value=%s goal=%s met=%s"
      % (name, value, goal, "yes" if met else "no"))' "$@"
}

minus() {
	python3 -c 'import sys; print("%.3f" % (float(sys.argv[1]) - float(sys.argv[2])))' "$@"
}

rss_kb() {
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status"
}

# cpu_ms PID: processor time used so far.
cpu_ms() {
	awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"
}

start_engine() {
	"$BUILD/bench/load_engine" >"$WORK/engine.out" 2>"$WORK/engine.log" &
	PIDS="$PIDS $!"
	for _ in $(seq 100); do
		engine_port=$(sed -n 's/^listening //p' "$WORK/engine.out")
		[ -n "$engine_port" ] && return
		sleep 0.05
	done
	fail "the engine stand-in did not start"
}

configure() {
	ctl budget create bench 1000000000000 >/dev/null || fail "budget"
	key=$(ctl account create bench --json | json 'd["api_key"]')
	ctl service set assistant --kind model --max-tokens 64 \
		--deadline-ms 600000 --idle-ms 600000 >/dev/null ||
		fail "service"
	ctl target set engine --service assistant --availability-zone az1 \
		--concurrency 4000 --address "127.0.0.1:$engine_port" \
		>/dev/null || fail "target"
	ctl preset set ordinary >/dev/null || fail "preset"
}

start_routers() {
	set -- $(free_ports 6)
	write_settings r1 az1 "$1" "$2" "$3" "$2"
	write_settings r2 az1 "$4" "$5" "$6" "$2"
	router_port=$1
	start_router r1
	wait_ready "$3"
	if [ -z "${ALONE:-}" ]; then
		start_router r2
		wait_ready "$6"
	fi
	# The first request takes the grant; the buddy is named meanwhile.
	sleep 4
	"$LOAD" --port "$router_port" --key "$key" --rate 100 --seconds 2 \
		>/dev/null || fail "warm-up"
}

added_latency() {
	cpu=$(cpu_ms "$r1_pid")
	out=$("$LOAD" --port "$engine_port" --second "$router_port" \
		--key "$key" --rate 1000 --seconds 8 --connections 16)
	cpu=$(($(cpu_ms "$r1_pid") - cpu))
	echo "$out"
	echo "router cpu_us_per_request=$((cpu * 1000 / 8000))"
	direct=$(echo "$out" | grep '^a ')
	routed=$(echo "$out" | grep '^b ')
	verdict added_p50_ms "$(minus "$(field p50_ms "$routed")" \
		"$(field p50_ms "$direct")")" 0.3 lt
	verdict added_p99_ms "$(minus "$(field p99_ms "$routed")" \
		"$(field p99_ms "$direct")")" 1 lt
}

# Raises the rate while no request fails and p99 is at most 20 ms.
highest_rate() {
	best=0
	for rate in 1000 1500 2000 2500 3000 3500 4000 5000 6000 8000 10000 \
		14000 20000; do
		cpu=$(cpu_ms "$r1_pid")
		out=$("$LOAD" --port "$router_port" --key "$key" \
			--rate "$rate" --seconds 3 --connections 64)
		cpu=$(($(cpu_ms "$r1_pid") - cpu))
		echo "rate $rate: $out cpu_us_per_request=$((cpu * 1000 / (rate * 3)))"
		[ "$(field errors "$out")" = 0 ] &&
			[ "$(field unanswered "$out")" = 0 ] &&
			[ "$(field p99_ms "$out" | cut -d. -f1)" -lt 20 ] ||
			break
		best=$rate
	done
	verdict requests_per_s "$best" 20000 ge
}

stream_memory() {
	before=$(rss_kb "$r1_pid")
	"$LOAD" --port "$router_port" --key "$key" --stream \
		--connections "$STREAMS" --seconds 4 --warm 0 \
		>"$WORK/hold" 2>&1 &
	hold_pid=$!
	PIDS="$PIDS $hold_pid"
	sleep 3
	after=$(rss_kb "$r1_pid")
	open=$(curl -s "http://127.0.0.1:$admin_port/metrics" |
		grep -i '_connections [0-9]' | head -1)
	wait "$hold_pid"
	echo "streams: $(cat "$WORK/hold" | tr '\n' ' ') $open"
	verdict streams_1000_mb \
		"$(python3 -c "print('%.1f' % (($after - $before) / 1024))")" \
		32 lt
}

generator() {
	for rate in 1000 20000 40000; do
		echo "alone at $rate: $("$LOAD" --port "$engine_port" \
			--rate "$rate" --seconds 3 --connections 32)"
	done
}

# STEPS names the measurements to run.
start_fake store store
start_engine
configure
start_routers
admin_port=$(json 'd["admin"]["port"]' <"$WORK/r1.json")
for step in ${STEPS:-generator stream_memory added_latency highest_rate}; do
	$step
done
