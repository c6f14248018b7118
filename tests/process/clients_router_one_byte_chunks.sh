#!/bin/bash
# Guards against a router whose memory or processor is exhausted by
# bodies in chunks of one byte.
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000000
start_fleet 1
check "a crowd of the form one_byte_chunks" python3 tests/process/router_crowd.py \
	one_byte_chunks "$r1" "$api_key" "$r1_pid"
