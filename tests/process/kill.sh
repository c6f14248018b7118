#!/bin/bash
# Guards against lost or duplicate bills and lost tokens when a router is killed
# with open streams and callers retry at another router.
LEASE_S=3
RATE=150
. "$(dirname "$0")/fleet.sh"

start_platform 2 100000
start_fleet 3
wait_until "r1 has no buddy" 20 has_buddy "$r1_admin"
r1_incarnation=$(incarnation "$r1_admin")

# r1 answers short requests just before it is killed, so that only its buddy may
# hold their bills.
start_background streams load "$r1,$r2,$r3" "$api_key" long --count 12 \
	--tokens 450 --stream --in-order --tries 10
wait_until "the streams do not run" 20 \
	metric_at_least "$r1_admin" requests_running 12
short=$(tool load "$r1" "$api_key" short --count 20)
granted=$(eval_store "sum(g['granted'] for g in under('grant/$r1_incarnation').values())")
kill_router r1
expect_complete "short requests" 20 "$short"
wait_background streams
expect_complete "retried streams" 12 "$output"
engines=$(eval_stats "$engine1_port" 'sum(d["runs"].values())')
engines=$((engines + $(eval_stats "$engine2_port" 'sum(d["runs"].values())')))
expect_equal "runs at the engines" $((20 + 2 * 12)) "$engines"

# A repeated request that r1 had answered gets the same response and no second
# bill.
expect_complete "repeated short requests" 20 \
	"$(tool load "$r2" "$api_key" short --count 20 --tries 3)"
wait_until "the grant of r1 is not recovered" 30 store_eval_is \
	"all(g['recovered'] for g in under('grant/$r1_incarnation').values())" True
wait_until "a bill is missing" 20 store_eval_is 'len(b)' 32
expect_equal "tokens of the bills" \
	"$(python3 -c 'print(sum(len("short-%d" % i) // 4 + 9 for i in range(20)) +
		sum(len("long-%d" % i) // 4 + 451 for i in range(12)))')" \
	"$(eval_store 'sum(b.values())')"
wait_until "spend and bills differ" 20 spend_equals_bills
expect_equal "the killed router's grant was reduced to what it may have spent" \
	True \
	"$(eval_store "all(g['granted'] == g['settled'] + g['unprotected'] < $granted
		for g in under('grant/$r1_incarnation').values())")"
wait_until "grants and budget differ" 20 grants_equal_budget
stop_router r2
stop_router r3
