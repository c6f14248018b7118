#!/bin/bash
# Guards against lost or doubled bills and lost tokens when a router is
# killed with streams open: callers send again elsewhere.
LEASE_S=3
RATE=150
. "$(dirname "$0")/fleet.sh"

start_platform 2 100000
start_fleet 3
until_true "r1 has no buddy" 20 has_buddy "$r1_admin"
inc=$(incarnation "$r1_admin")

# Short requests are answered by r1 just before it dies; their bills may be
# with the buddy only.
background streams load "$r1,$r2,$r3" "$api_key" long --count 12 \
	--tokens 450 --stream --in-order --tries 10
until_true "the streams do not run" 20 \
	metric_at_least "$r1_admin" requests_running 12
short=$(tool load "$r1" "$api_key" short --count 20)
granted=$(dump "sum(g['granted'] for g in under('grant/$inc').values())")
kill_router r1
all_complete "short requests" 20 "$short"
finish streams
all_complete "streams sent again" 12 "$output"
engines=$(stat_of "$engine1_port" 'sum(d["runs"].values())')
engines=$((engines + $(stat_of "$engine2_port" 'sum(d["runs"].values())')))
equal "runs at the engines" $((20 + 2 * 12)) "$engines"

# A repeat of what r1 had answered gets the same answer and no second bill.
all_complete "short requests sent again" 20 \
	"$(tool load "$r2" "$api_key" short --count 20 --tries 3)"
until_true "the grant of r1 is not recovered" 30 dump_is \
	"all(g['recovered'] for g in under('grant/$inc').values())" True
until_true "a bill is missing" 20 dump_is 'len(b)' 32
equal "tokens of the bills" \
	"$(python3 -c 'print(sum(len("short-%d" % i) // 4 + 9 for i in range(20)) +
		sum(len("long-%d" % i) // 4 + 451 for i in range(12)))')" \
	"$(dump 'sum(b.values())')"
until_true "spend and bills differ" 20 spend_matches
equal "the dead router's grant was reduced to what it may have spent" True \
	"$(dump "all(g['granted'] == g['settled'] + g['unprotected'] < $granted
		for g in under('grant/$inc').values())")"
until_true "grants and budget differ" 20 grants_match
stop_router r2
stop_router r3
