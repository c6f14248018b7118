#!/bin/bash
# Guards against a router whose memory is exhausted by bodies that are sent to
# its readiness check.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form admin" python3 tests/process/router_crowd.py \
	admin "$r1" "$api_key" "$r1_pid" "$r1_admin"
