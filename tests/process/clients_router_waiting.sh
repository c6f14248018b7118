#!/bin/bash
# Guards against a router whose sockets fill the memory of its machine with
# what was sent on connections that were not accepted yet.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form waiting" python3 tests/process/router_crowd.py \
	waiting "$r1" "$api_key" "$r1_pid"
