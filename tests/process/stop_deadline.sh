#!/bin/bash
# Guards against a planned stop that runs out of time and drops the requests in
# progress without an answer.
STOP_S=4
RATE=20
. "$(dirname "$0")/fleet.sh"

start_platform 1 200000
start_fleet 2
wait_until "r1 has no buddy" 20 has_buddy "$r1_admin"
start_background running load "$r1" "$api_key" long --count 8 --tokens 1000
wait_until "the requests do not run" 20 \
	metric_at_least "$r1_admin" requests_running 8
kill -TERM "$r1_pid"
wait_background running
expect_equal "requests in progress" '{"502 stopping unknown": 8}' "$output"
wait "$r1_pid"
expect_equal "exit code of the stopped router" 0 $?
wait_until "spend and bills differ" 20 spend_equals_bills
wait_until "grants and budget differ" 20 grants_equal_budget
stop_router r2
