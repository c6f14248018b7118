#!/bin/bash
# Guards against overspending by a router that is paused for longer than its
# lease: other routers recover its grants and spend the budget, and the resumed
# router still has the grants in memory.
LEASE_S=3
. "$(dirname "$0")/fleet.sh"

start_platform 1 20000
start_fleet 3
wait_until "r1 has no buddy" 20 has_buddy "$r1_admin"
r1_incarnation=$(incarnation "$r1_admin")
expect_complete "requests before the pause" 10 \
	"$(tool load "$r1" "$api_key" before --count 10 --tokens 50)"
wait_until "r1 holds no grant" 10 \
	store_eval_is "sum(g['granted'] - g['settled'] for g in under('grant/$r1_incarnation').values()) >= 500" True
kill -STOP "$r1_pid"
wait_until "the grant of r1 is not recovered" 40 store_eval_is \
	"[g['recovered'] for g in under('grant/$r1_incarnation').values()]" "[True]"

# budget_is_spent ROUND: sends requests to the other routers and succeeds if
# they refuse even small ones.
budget_is_spent() {
	tool load "$r2,$r3" "$api_key" "spend-$1" --count 24 --tokens 800 \
		>"$WORK/spend"
	tool load "$r2,$r3" "$api_key" "rest-$1" --count 24 --tokens 50 \
		>"$WORK/spend"
	! grep -q complete "$WORK/spend"
}
round=0
until budget_is_spent $round; do
	round=$((round + 1))
	[ $round -lt 20 ] || fail "the budget is never spent"
done
expect_equal "the last refusals" '{"402 budget_spent not_run": 24}' \
	"$(cat "$WORK/spend")"
left=$(eval_store 'sum(g["granted"] - g["settled"] for g in
	under("grant/'"$r1_incarnation"'").values())')

# These requests wait in the socket of r1, so that r1 reads them before anything
# else when it resumes.
start_background after load "$r1" "$api_key" after --count 40 --tokens 400 \
	--parallel 40
sleep 0.5
kill -CONT "$r1_pid"
wait_background after
wait_until "bills of r1 are pending" 20 metric_is "$r1_admin" bills_pending 0
expect_equal "spend is within the budget" True \
	"$(eval_store 'sum(b.values()) <= 20000')"
wait_until "grants and budget differ" 20 grants_equal_budget
expect_equal "r1 spent at most what recovery had withheld" True \
	"$(eval_store "sum(v for k, v in b.items() if '/after-' in k) <= $left")"
wait_until "spend and bills differ" 20 spend_equals_bills
for r in r1 r2 r3; do
	stop_router $r
done
