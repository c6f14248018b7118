#!/bin/bash
# Guards against a router that can't start, or that refuses untruly, while
# the store is out: it takes the configuration from its peers.
LEASE_S=3
STORE_TIMEOUT_MS=500
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000
start_fleet 2
all_complete "requests before" 4 \
	"$(tool load "$r1,$r2" "$api_key" before --count 4)"
mode "$store_port" '{"mode": "out"}'
set -- $(free_ports 3)
write_settings r3 az1 "$1" "$2" "$3" "$r1_peer"
r3="http://127.0.0.1:$1" r3_admin=$3
start_router r3
wait_ready "$r3_admin"
equal "a non-idempotent call" '{"503 claim_unavailable not_run": 1}' \
	"$(tool load "$r3" "$api_key" order --path /orders/a)"
equal "runs of the plain service" 0 \
	"$(stat_of "$plain_port" 'sum(d["bodies"].values())')"
runs=$(stat_of "$engine1_port" 'sum(d["runs"].values())')
tool load "$r3" "$api_key" new --count 6 --each >"$WORK/new"
complete=$(json 'd.count("complete")' <"$WORK/new")
refused=$(json 'd.count("503 budget_unavailable not_run")' <"$WORK/new")
equal "complete answers and refusals as not run" 6 $((complete + refused))
equal "runs at the engine" $((runs + complete)) \
	"$(stat_of "$engine1_port" 'sum(d["runs"].values())')"
echo "store out at the start: $complete of 6 served, $refused refused"

mode "$store_port" '{"mode": "normal"}'
all_complete "requests after" 6 \
	"$(tool load "$r3" "$api_key" new --count 6 --tries 20)"
all_complete "the call after" 1 \
	"$(tool load "$r3" "$api_key" order --path /orders/a --tries 20)"
until_true "bills are missing" 20 dump_is 'len(b)' 11
until_true "spend and bills differ" 20 spend_matches
until_true "grants and budget differ" 20 grants_match
for r in r1 r2 r3; do
	stop_router $r
done
