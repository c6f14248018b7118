#!/bin/bash
# Guards against reporting success to two operators who set the same value
# concurrently, and against lost or duplicate top-ups.
. "$(dirname "$0")/fleet.sh"

start_fake store store
ctl budget create workshop 1000 >/dev/null || fail "budget create"
ctl preset set ordinary >/dev/null || fail "preset set"

# The store responds slowly, so that both clients read before either writes.
set_mode "$store_port" '{"mode": "slow", "delay_ms": 500}'
races=0
for round in 1 2 3 4 5; do
	ctl preset set peak --op "anna-$round" >"$WORK/a" 2>&1 &
	a_pid=$!
	ctl preset set maintenance --op "bert-$round" >"$WORK/b" 2>&1 &
	b_pid=$!
	wait $a_pid
	a=$?
	wait $b_pid
	b=$?
	stored=$(eval_store '"%s %s" % (d["conf/preset"]["in_force"],
		d["conf/preset"]["op"])')
	case $a-$b in
	0-4)
		winner=anna-$round preset=peak loser=$WORK/b
		;;
	4-0)
		winner=bert-$round preset=maintenance loser=$WORK/a
		;;
	0-0) # the clients ran one after the other on a busy machine
		continue
		;;
	*)
		fail "round $round: exit codes $a and $b"
		;;
	esac
	races=$((races + 1))
	check "round $round: $preset is not in force: $stored" \
		grep -q "$preset.*$winner" <<<"$stored"
	check "round $round: the successful operation is not named: $(cat "$loser")" \
		grep -q "$winner" "$loser"
done
echo "$races races in 5 rounds"
check "no race in five rounds" [ $races -gt 0 ]

set_mode "$store_port" '{"mode": "slow", "delay_ms": 100}'
for round in 1 2 3 4 5; do
	ctl budget topup workshop 10 >/dev/null &
	a_pid=$!
	ctl budget topup workshop 100 >/dev/null &
	b_pid=$!
	wait $a_pid || fail "round $round: top-up exits with $?"
	wait $b_pid || fail "round $round: top-up exits with $?"
	expect_equal "budget after round $round" $((1000 + 110 * round)) \
		"$(eval_store 'd["budget/workshop/main"]["budget"]')"
done
