#!/bin/bash
# Guards against a router whose memory is exhausted by bodies of legal size in
# chunks that stop short of their end.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form bodies" python3 tests/process/router_crowd.py \
	bodies "$r1" "$api_key" "$r1_pid"
