#!/bin/bash
# Guards against a router whose memory is exhausted by the bodies of requests
# in progress.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form complete" python3 tests/process/router_crowd.py \
	complete "$r1" "$api_key" "$r1_pid"
