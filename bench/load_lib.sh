# Functions that measure one router between load and load_engine on loopback:
# router r1, its buddy r2 unless ALONE is set, a store and an engine.
. demo/lib.sh

LOAD=$BUILD/bench/load

# rss_kb PID: prints the resident memory.
rss_kb() {
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status"
}

# cpu_ms PID: prints the processor time used so far.
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
	ctl budget create bench 1000000000000 >/dev/null || fail "cannot create the budget"
	key=$(ctl account create bench --json | json 'd["api_key"]')
	ctl service set assistant --kind model --max-tokens 64 \
		--deadline-ms 600000 --idle-ms 600000 >/dev/null ||
		fail "cannot set the service"
	ctl target set engine --service assistant --availability-zone az1 \
		--concurrency 4000 --address "127.0.0.1:$engine_port" \
		>/dev/null || fail "cannot set the target"
	ctl preset set ordinary >/dev/null || fail "cannot set the preset"
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
	# Waits until the buddy is chosen; the warm-up then obtains the grant.
	sleep 4
	"$LOAD" --port "$router_port" --key "$key" --rate 100 --seconds 2 \
		>/dev/null || fail "the warm-up requests failed"
}

# hold_streams COUNT: opens idle streams for 4 s in the background, and returns
# after 3 s.
hold_streams() {
	"$LOAD" --port "$router_port" --key "$key" --stream \
		--connections "$1" --seconds 4 --warm 0 >"$WORK/hold" 2>&1 &
	hold_pid=$!
	PIDS="$PIDS $hold_pid"
	sleep 3
}

start_fleet() {
	start_fake store store
	start_engine
	configure
	start_routers
	admin_port=$(json 'd["admin"]["port"]' <"$WORK/r1.json")
}
