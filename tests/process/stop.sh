#!/bin/bash
# Guards against a planned stop that cuts streams, loses bills or keeps
# grants, while other routers take new requests.
RATE=100
. "$(dirname "$0")/fleet.sh"

start_platform 2 200000
start_fleet 3
until_true "r1 has no buddy" 20 has_buddy "$r1_admin"
inc=$(incarnation "$r1_admin")
background streams load "$r1" "$api_key" long --count 30 --tokens 200 \
	--stream
until_true "the streams do not run" 20 \
	metric_at_least "$r1_admin" requests_running 30
background others load "$r2,$r3" "$api_key" other --count 60 \
	--parallel 4
kill -TERM "$r1_pid"
finish streams
all_complete "streams in progress" 30 "$output"
wait "$r1_pid"
equal "exit code of the stopped router" 0 $?
finish others
all_complete "requests elsewhere" 60 "$output"
equal "a request at the stopped router" '{"cut": 1}' \
	"$(tool load "$r1" "$api_key" late)"
equal "grants and records of the stopped router" '[]' \
	"$(dump "[k for k in d if '$inc' in k]")"
until_true "bills are missing" 20 dump_is 'len(b)' 90
equal "runs at the engines" 90 "$(($(stat_of "$engine1_port" \
	'sum(d["runs"].values())') + $(stat_of "$engine2_port" \
	'sum(d["runs"].values())')))"
until_true "spend and bills differ" 20 spend_matches
until_true "grants and budget differ" 20 grants_match

# All at once: nothing stays granted.
kill -TERM "$r2_pid" "$r3_pid"
wait "$r2_pid"
equal "exit code of r2" 0 $?
wait "$r3_pid"
equal "exit code of r3" 0 $?
equal "grants after the last stop" '[]' "$(dump 'list(under("grant/"))')"
equal "granted is what was spent" True "$(dump \
	'd["budget/workshop/main"]["granted"] == sum(b.values())')"
