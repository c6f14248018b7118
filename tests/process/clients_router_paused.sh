#!/bin/bash
# Guards against a router whose sockets fill the memory of its machine with
# unread bodies while it does not run.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form paused" python3 tests/process/router_crowd.py \
	paused "$r1" "$api_key" "$r1_pid"
