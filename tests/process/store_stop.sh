#!/bin/bash
# Guards against a planned stop that never ends, or that cuts streams, while
# the store is out.
LEASE_S=3
STORE_TIMEOUT_MS=500
STOP_S=12
RATE=100
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000
start_fleet 2
until_true "r1 has no buddy" 20 has_buddy "$r1_admin"
background streams load "$r1" "$api_key" long --count 8 --tokens 300 \
	--stream
until_true "the streams do not run" 20 \
	metric_at_least "$r1_admin" requests_running 8
mode "$store_port" '{"mode": "out"}'
kill -TERM "$r1_pid"
finish streams
all_complete "streams in progress" 8 "$output"
stopped() {
	! kill -0 "$r1_pid" 2>/dev/null
}
until_true "r1 has not stopped within its bound" 40 stopped
wait "$r1_pid"
echo "stopped with exit code $? while the store was out"

# The buddy holds the bills of the stopped router.
mode "$store_port" '{"mode": "normal"}'
until_true "bills are missing" 30 dump_is 'len(b)' 8
until_true "spend and bills differ" 20 spend_matches
until_true "grants and budget differ" 20 grants_match
stop_router r2
