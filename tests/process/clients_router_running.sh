#!/bin/bash
# Guards against a router whose memory is exhausted by the bodies of requests
# in progress, which arrive one after the other.
RATE=50
. "$(dirname "$0")/fleet.sh"

start_platform 1 1000000000
start_fleet 1
check "a crowd of the form running" python3 tests/process/router_crowd.py \
	running "$r1" "$api_key" "$r1_pid"
