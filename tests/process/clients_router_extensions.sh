#!/bin/bash
# Guards against a router whose memory or processor is exhausted by chunk
# extensions.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form extensions" python3 tests/process/router_crowd.py \
	extensions "$r1" "$api_key" "$r1_pid"
