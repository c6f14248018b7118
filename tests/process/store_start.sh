#!/bin/bash
# Guards against a router that can't start or that refuses requests for a wrong
# reason during a store outage, when it gets the configuration from its peers.
LEASE_S=3
STORE_TIMEOUT_MS=500
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000
start_fleet 2
expect_complete "requests before" 4 \
	"$(tool load "$r1,$r2" "$api_key" before --count 4)"
set_mode "$store_port" '{"mode": "out"}'
set -- $(free_ports 3)
write_settings r3 az1 "$1" "$2" "$3" "$r1_peer"
r3="http://127.0.0.1:$1" r3_admin=$3
start_router r3
wait_ready "$r3_admin"
expect_equal "a non-idempotent call" '{"503 claim_unavailable not_run": 1}' \
	"$(tool load "$r3" "$api_key" order --path /orders/a)"
expect_equal "runs of the plain service" 0 \
	"$(eval_stats "$plain_port" 'sum(d["bodies"].values())')"
runs=$(eval_stats "$engine1_port" 'sum(d["runs"].values())')
tool load "$r3" "$api_key" new --count 6 --each >"$WORK/new"
complete=$(json 'd.count("complete")' <"$WORK/new")
refused=$(json 'd.count("503 budget_unavailable not_run")' <"$WORK/new")
expect_equal "complete responses and refusals as not run" 6 \
	$((complete + refused))
expect_equal "runs at the engine" $((runs + complete)) \
	"$(eval_stats "$engine1_port" 'sum(d["runs"].values())')"
echo "start during a store outage: $complete of 6 served, $refused refused"

set_mode "$store_port" '{"mode": "normal"}'
expect_complete "requests after" 6 \
	"$(tool load "$r3" "$api_key" new --count 6 --tries 20)"
expect_complete "the call after" 1 \
	"$(tool load "$r3" "$api_key" order --path /orders/a --tries 20)"
wait_until "bills are missing" 20 store_eval_is 'len(b)' 11
wait_until "spend and bills differ" 20 spend_equals_bills
wait_until "grants and budget differ" 20 grants_equal_budget
for r in r1 r2 r3; do
	stop_router $r
done
