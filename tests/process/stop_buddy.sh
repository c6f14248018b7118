#!/bin/bash
# Guards against bills that are lost or recorded twice when a router stops as
# planned and holds copies of a live or of a killed router.
LEASE_S=20
. "$(dirname "$0")/fleet.sh"

start_platform 1 200000
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

r3_buddy() {
	curl -s --max-time 5 "http://127.0.0.1:$r3_admin/status" | json \
		'[m["buddy"] for m in d["members"] if m["incarnation"] == d["incarnation"]][0]'
}

# r3_buddy_is INCARNATION
r3_buddy_is() {
	[ "$(r3_buddy)" = "$1" ]
}

wait_until "r3 has no buddy" 20 has_buddy "$r3_admin"
expect_complete "first request" 1 "$(tool load "$r3" "$api_key" first)"
wait_until "the first bill is missing" 20 store_eval_is 'len(b)' 1
buddy=r1 other=r2 other_admin=$r2_admin
if r3_buddy_is "$(incarnation "$r2_admin")"; then
	buddy=r2 other=r1 other_admin=$r1_admin
fi
eval "buddy_pid=\$${buddy}_pid other_pid=\$${other}_pid"

# Without the store, only copies release the answers of r3.
kill -USR1 "$relay_pid"
expect_complete "requests without the store" 20 \
	"$(tool load "$r3" "$api_key" alive --count 20)"
expect_equal "bills before the stop" 1 "$(eval_store 'len(b)')"
kill -TERM "$buddy_pid"
wait "$buddy_pid"
expect_equal "exit code of the buddy" 0 $?
expect_equal "bills after the buddy's stop" 21 "$(eval_store 'len(b)')"
kill -USR2 "$relay_pid"
wait_until "r3 has no new buddy" 20 r3_buddy_is "$(incarnation "$other_admin")"
expect_complete "requests with the new buddy" 4 \
	"$(tool load "$r3" "$api_key" next --count 4)"
wait_until "bills are missing" 20 store_eval_is 'len(b)' 25
wait_until "spend and bills differ" 20 spend_equals_bills

kill -USR1 "$relay_pid"
expect_complete "requests before the kill" 20 \
	"$(tool load "$r3" "$api_key" killed --count 20)"
kill_router r3
kill -TERM "$other_pid"
wait "$other_pid"
expect_equal "exit code of the last router" 0 $?
expect_equal "bills after the last stop" 45 "$(eval_store 'len(b)')"
expect_equal "spend equals the bills" "$(eval_store 'sum(b.values())')" \
	"$(spent workshop)"
expect_equal "grants and budget agree" True "$(eval_store '(lambda x:
	x["granted"] == x["retired"] + sum(g["granted"] for g in
	under("grant/").values()))(d["budget/workshop/main"])')"
