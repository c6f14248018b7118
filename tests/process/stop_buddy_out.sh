#!/bin/bash
# Guards against a planned stop that does not end, or that reports success, when
# the store is out and the router holds copies of a live router's bills.
LEASE_S=20
STORE_TIMEOUT_MS=500
STOP_S=5
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000
start_fleet 2
wait_until "r1 has no buddy" 20 has_buddy "$r1_admin"
expect_complete "first request" 1 "$(tool load "$r1" "$api_key" first)"
wait_until "the first bill is missing" 20 store_eval_is 'len(b)' 1
set_mode "$store_port" '{"mode": "out"}'
expect_complete "requests without the store" 10 \
	"$(tool load "$r1" "$api_key" out --count 10)"
kill -TERM "$r2_pid"
r2_has_exited() {
	! kill -0 "$r2_pid" 2>/dev/null
}
wait_until "r2 has not stopped within its timeout" 20 r2_has_exited
wait "$r2_pid"
expect_equal "exit code of the buddy" 1 $?
check "the copies that could not be recorded are not logged" \
	grep -q 'copies_unsettled .*bills=10 ' "$WORK/r2.log"

set_mode "$store_port" '{"mode": "normal"}'
wait_until "bills are missing" 20 store_eval_is 'len(b)' 11
wait_until "spend and bills differ" 20 spend_equals_bills
stop_router r1
