#!/bin/bash
# Guards against a preset or API key that does not reach a router without a
# connection to the store, and against a router that reverts to an older
# configuration.
STORE_TIMEOUT_MS=500
. "$(dirname "$0")/fleet.sh"

start_platform 1 1000000
ctl preset set ordinary >/dev/null || fail "preset set"
start_background relay relay "$store_port"
wait_until "the relay does not listen" 10 grep -q listening "$WORK/relay.out"
relay_port=$(sed -n 's/^listening //p' "$WORK/relay.out")
start_fleet 2
set -- $(free_ports 3)
STORE_URL=http://127.0.0.1:$relay_port
write_settings r3 az1 "$1" "$2" "$3" "$r1_peer"
STORE_URL=
r3="http://127.0.0.1:$1" r3_admin=$3
start_router r3
wait_ready "$r3_admin"
wait_until "r3 has no peers" 15 metric_is "$r3_admin" peers 2
expect_complete "requests at r3" 4 "$(tool load "$r3" "$api_key" a --count 4)"

get_preset() {
	curl -s --max-time 5 "http://127.0.0.1:$1/status" | json 'd["preset"]'
}

preset_is() {
	[ "$(get_preset "$1")" = "$2" ]
}

# switch_preset PRESET TEXT: sets the preset and prints the time until all
# routers have it.  The goal is 8 s, which the test does not enforce.
switch_preset() {
	ctl preset set "$1" >/dev/null || fail "preset set"
	start=$(date +%s%N)
	for port in $r1_admin $r2_admin $r3_admin; do
		wait_until "preset $1 does not reach port $port" 30 \
			preset_is "$port" "$1"
	done
	echo "preset $1 at all routers after $((($(date +%s%N) - start) / 1000000)) ms ($2)"
}

is_served() {
	[ "$(tool load "$r3" "$1" "$2")" = '{"complete": 1}' ]
}

switch_preset peak "store reachable"
kill -USR1 "$relay_pid"
wait_until "r3 is not cut off" 15 metric_is "$r3_admin" store_up 0
switch_preset maintenance "one router cut off"
switch_preset ordinary "one router cut off"
new_key=$(ctl key add workshop --json | json 'd["api_key"]')
[ -n "$new_key" ] || fail "key add"
wait_until "a new key does not reach r3" 30 is_served "$new_key" new
ctl account disable workshop >/dev/null || fail "disable"
is_refused() {
	[ "$(tool load "$r3" "$new_key" off)" = \
		'{"401 unauthenticated not_run": 1}' ]
}
wait_until "a disabled account is still served by r3" 30 is_refused
ctl account enable workshop >/dev/null || fail "enable"
wait_until "an enabled account is not served by r3" 30 \
	is_served "$api_key" on
switch_preset peak "one router cut off"
kill -USR2 "$relay_pid"
wait_until "r3 does not reconnect to the store" 20 \
	metric_is "$r3_admin" store_up 1
for _ in $(seq 20); do
	expect_equal "the preset at r3 after the partition" peak \
		"$(get_preset "$r3_admin")"
	sleep 0.1
done
expect_equal "one revision at all routers" 1 \
	"$(for port in $r1_admin $r2_admin $r3_admin; do
	metric "$port" conf_revision; done | sort -u | wc -l)"
# A request may still have been served while the account was being disabled.
wait_until "bills are missing" 20 store_eval_is \
	'len([k for k in b if "/off-" not in k])' 6
for r in r1 r2 r3; do
	stop_router $r
done
