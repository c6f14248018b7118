#!/bin/bash
# Guards against a planned stop that never ends or that cuts streams during a
# store outage.
LEASE_S=3
STORE_TIMEOUT_MS=500
STOP_S=12
RATE=100
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000
start_fleet 2
wait_until "r1 has no buddy" 20 has_buddy "$r1_admin"
start_background streams load "$r1" "$api_key" long --count 8 --tokens 300 \
	--stream
wait_until "the streams do not run" 20 \
	metric_at_least "$r1_admin" requests_running 8
set_mode "$store_port" '{"mode": "out"}'
kill -TERM "$r1_pid"
wait_background streams
expect_complete "streams in progress" 8 "$output"
r1_has_exited() {
	! kill -0 "$r1_pid" 2>/dev/null
}
wait_until "r1 has not stopped within its timeout" 40 r1_has_exited
wait "$r1_pid"
echo "stopped with exit code $? during the store outage"

# The buddy holds the bills of the stopped router.
set_mode "$store_port" '{"mode": "normal"}'
wait_until "bills are missing" 30 store_eval_is 'len(b)' 8
wait_until "spend and bills differ" 20 spend_equals_bills
wait_until "grants and budget differ" 20 grants_equal_budget
stop_router r2
