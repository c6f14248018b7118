#!/bin/bash
# Guards against a router whose memory is exhausted by bodies of legal size that
# consist of very many short values.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form short_values" python3 tests/process/router_crowd.py \
	short_values "$r1" "$api_key" "$r1_pid"
