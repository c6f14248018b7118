#!/bin/bash
# Guards against failed requests, lost or duplicate bills and wrong refusals
# when the store fails under load.
LEASE_S=3
STORE_TIMEOUT_MS=500
. "$(dirname "$0")/fleet.sh"

start_platform 1 1000000
start_fleet 2
wait_until "r1 has no buddy" 20 has_buddy "$r1_admin"
wait_until "r2 has no buddy" 20 has_buddy "$r2_admin"
# The grants cover the requests during the outage.
expect_complete "requests before" 40 \
	"$(tool load "$r1,$r2" "$api_key" before --count 40 --tokens 200)"
wait_until "no grants" 10 store_eval_is \
	'len(under("grant/")) == 2 and min(g["granted"] - g["settled"] for g in under("grant/").values()) > 5000' True
set_mode "$store_port" '{"mode": "out"}'
# The outage outlasts the lease, so that only the buddies protect the grants.
expect_complete "requests at the start of the outage" 20 \
	"$(tool load "$r1,$r2" "$api_key" out --count 20)"
sleep 5
expect_complete "requests later in the outage" 20 \
	"$(tool load "$r1,$r2" "$api_key" later --count 20)"
expect_equal "non-idempotent calls" '{"503 claim_unavailable not_run": 4}' \
	"$(tool load "$r1,$r2" "$api_key" order --count 4 --path /orders/a)"
expect_equal "runs of the plain service" 0 \
	"$(eval_stats "$plain_port" 'sum(d["bodies"].values())')"
expect_equal "bills in the store during the outage" 40 "$(eval_store 'len(b)')"

set_mode "$store_port" '{"mode": "normal"}'
wait_until "bills do not arrive after the outage" 30 store_eval_is 'len(b)' 80
expect_complete "the calls after the outage" 4 \
	"$(tool load "$r1,$r2" "$api_key" order --count 4 --path /orders/a \
		--tries 20)"
expect_equal "runs of the plain service" 4 \
	"$(eval_stats "$plain_port" 'sum(d["bodies"].values())')"
wait_until "a bill is missing" 20 store_eval_is 'len(b)' 84
wait_until "spend and bills differ" 20 spend_equals_bills
wait_until "grants and budget differ" 20 grants_equal_budget
expect_equal "bills counted as duplicate" "0 0" \
	"$(metric "$r1_admin" bills_duplicate) $(metric "$r2_admin" bills_duplicate)"
stop_router r1
stop_router r2
