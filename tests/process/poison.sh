#!/bin/bash
# Guards against a request that crashes one target after another, and against
# the loss of other requests at those targets.
. "$(dirname "$0")/fleet.sh"

start_platform 3 1000000
start_fleet 3
for i in 1 2 3; do
	eval "set_mode \$engine${i}_port '{\"crash_on\": \"poison\"}'"
done
count_live_engines() {
	count=0
	for i in 1 2 3; do
		eval "pid=\$engine${i}_pid"
		kill -0 "$pid" 2>/dev/null && count=$((count + 1))
	done
	echo $count
}
is_quarantined() {
	[ "$(tool load "$1" "$api_key" again --prompt poison)" = \
		'{"422 quarantined not_run": 1}' ]
}
first=$(tool load "$r1" "$api_key" first --prompt poison)
echo "first attempt: $first, engines alive: $(count_live_engines)"
check "a crashing request is answered" [ "$first" != '{"complete": 1}' ]
# Every router quarantines the request, for the same and other idempotency keys.
for r in $r2 $r3 $r1; do
	wait_until "not in quarantine at $r" 15 is_quarantined "$r"
done
expect_equal "the same key at another router" '{"422 quarantined not_run": 1}' \
	"$(tool load "$r3" "$api_key" first --prompt poison)"
expect_equal "engines that survive" 1 "$(count_live_engines)"
expect_complete "other requests" 60 \
	"$(tool load "$r1,$r2,$r3" "$api_key" other --count 60 --parallel 6)"
wait_until "bills are missing" 20 store_eval_is 'len(b)' 60
expect_equal "the record of the quarantine" 1 \
	"$(eval_store 'len(under("conf/quarantine/"))')"

# A router that starts later reads the quarantine from the store.
set -- $(free_ports 3)
write_settings r4 az1 "$1" "$2" "$3" "$r1_peer"
start_router r4
wait_ready "$3"
wait_until "not in quarantine at a new router" 15 \
	is_quarantined "http://127.0.0.1:$1"
expect_equal "engines that survive" 1 "$(count_live_engines)"
for r in r1 r2 r3 r4; do
	stop_router $r
done
