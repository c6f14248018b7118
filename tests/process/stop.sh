#!/bin/bash
# Guards against a planned stop that cuts streams, loses bills or does not
# return grants while other routers serve new requests.
RATE=100
. "$(dirname "$0")/fleet.sh"

start_platform 2 200000
start_fleet 3
wait_until "r1 has no buddy" 20 has_buddy "$r1_admin"
r1_incarnation=$(incarnation "$r1_admin")
start_background streams load "$r1" "$api_key" long --count 30 --tokens 200 \
	--stream
wait_until "the streams do not run" 20 \
	metric_at_least "$r1_admin" requests_running 30
start_background others load "$r2,$r3" "$api_key" other --count 60 \
	--parallel 4
kill -TERM "$r1_pid"
wait_background streams
expect_complete "streams in progress" 30 "$output"
wait "$r1_pid"
expect_equal "exit code of the stopped router" 0 $?
wait_background others
expect_complete "requests at the other routers" 60 "$output"
expect_equal "a request at the stopped router" '{"cut": 1}' \
	"$(tool load "$r1" "$api_key" late)"
expect_equal "grants and records of the stopped router" '[]' \
	"$(eval_store "[k for k in d if '$r1_incarnation' in k]")"
wait_until "bills are missing" 20 store_eval_is 'len(b)' 90
expect_equal "runs at the engines" 90 "$(($(eval_stats "$engine1_port" \
	'sum(d["runs"].values())') + $(eval_stats "$engine2_port" \
	'sum(d["runs"].values())')))"
wait_until "spend and bills differ" 20 spend_equals_bills
wait_until "grants and budget differ" 20 grants_equal_budget

# All remaining routers stop together: no grant is left.
kill -TERM "$r2_pid" "$r3_pid"
wait "$r2_pid"
expect_equal "exit code of r2" 0 $?
wait "$r3_pid"
expect_equal "exit code of r3" 0 $?
expect_equal "grants after the last stop" '[]' \
	"$(eval_store 'list(under("grant/"))')"
expect_equal "granted tokens are the spent tokens" True "$(eval_store \
	'd["budget/workshop/main"]["granted"] == sum(b.values())')"
