#!/bin/bash
# Guards against overspend by a router that is stopped past its lease, while
# its grants are recovered and the budget is spent elsewhere, and that then
# goes on with what it believes to hold.
LEASE_S=3
. "$(dirname "$0")/fleet.sh"

start_platform 1 20000
start_fleet 3
until_true "r1 has no buddy" 20 has_buddy "$r1_admin"
inc=$(incarnation "$r1_admin")
all_complete "requests before the pause" 10 \
	"$(tool load "$r1" "$api_key" before --count 10 --tokens 50)"
until_true "r1 holds no grant" 10 dump_is "sum(g['granted'] - g['settled'] for g in under('grant/$inc').values()) >= 500" True
kill -STOP "$r1_pid"
until_true "the grant of r1 is not recovered" 40 dump_is \
	"[g['recovered'] for g in under('grant/$inc').values()]" "[True]"

# The others spend what is left until neither admits even a small request.
spend() {
	tool load "$r2,$r3" "$api_key" "spend-$1" --count 24 --tokens 800 \
		>"$WORK/spend"
	tool load "$r2,$r3" "$api_key" "rest-$1" --count 24 --tokens 50 \
		>"$WORK/spend"
	! grep -q complete "$WORK/spend"
}
round=0
until spend $round; do
	round=$((round + 1))
	[ $round -lt 20 ] || fail "the budget is never spent"
done
equal "the last refusals" '{"402 budget_spent not_run": 24}' \
	"$(cat "$WORK/spend")"
left=$(dump 'sum(g["granted"] - g["settled"] for g in
	under("grant/'"$inc"'").values())')

# These wait in r1's socket, so that it finds them first when it wakes up.
background woken load "$r1" "$api_key" woken --count 40 --tokens 400 \
	--parallel 40
sleep 0.5
kill -CONT "$r1_pid"
finish woken
until_true "bills of r1 are pending" 20 metric_is "$r1_admin" bills_pending 0
equal "spend is within the budget" True \
	"$(dump 'sum(b.values()) <= 20000')"
until_true "grants and budget differ" 20 grants_match
equal "r1 spent at most what recovery had withheld" True \
	"$(dump "sum(v for k, v in b.items() if '/woken-' in k) <= $left")"
until_true "spend and bills differ" 20 spend_matches
for r in r1 r2 r3; do
	stop_router $r
done
