#!/bin/bash
# Guards against a client that reports success without a write, applies an
# operation twice, does not report a conflicting write or reclaims tokens that
# are still in use.
. "$(dirname "$0")/fleet.sh"

# start_relay NAME ARG ...: starts a relay to the store; sets NAME_port.
start_relay() {
	relay=$1
	shift
	start_background "$relay" relay "$store_port" --path /v3/kv/txn "$@"
	wait_until "$relay does not listen" 10 \
		grep -q listening "$WORK/$relay.out"
	port=$(sed -n 's/^listening //p' "$WORK/$relay.out")
	eval "${relay}_port=$port"
}

# ctl_via PORT ARG ...: runs the client with the store at a port.
ctl_via() {
	port=$1
	shift
	"$BIN" "$@" --store "http://127.0.0.1:$port"
}

# expect_exit EXPECTED ACTUAL TEXT
expect_exit() {
	expect_equal "exit code of $3: $(cat "$WORK/err")" "$1" "$2"
}

start_fake store store
ctl account create workshop >/dev/null || fail "account create"
ctl budget create workshop 1000 >/dev/null || fail "budget create"
ctl service set assistant >/dev/null || fail "service set"
az="--availability-zone az1 --address 127.0.0.1:9000"
ctl target set one --service assistant $az >/dev/null || fail "target set"
ctl preset set ordinary >/dev/null || fail "preset set"

# The relay drops transactions but passes reads: nothing is written, and no
# command may report success.
start_relay drop
kill -USR1 "$drop_pid"
before=$(eval_store d)
n=0
pids=""
while read -r line; do
	n=$((n + 1))
	ctl_via "$drop_port" $line >"$WORK/drop$n.txt" 2>&1 &
	pids="$pids $!:${line// /_}"
done <<LINES
account create study
account set workshop --weight 5
account disable workshop
account remove workshop
key add workshop
budget create workshop/spare 5
budget topup workshop 5
budget lower workshop 5
service set other
service remove assistant
target set two --service assistant $az
target drain one
target remove one
target order one load big
preset set peak
LINES
for pid in $pids; do
	wait "${pid%%:*}"
	got=$?
	echo "${pid#*:}: exit code $got"
	case $got in
	1 | 5) ;;
	*) fail "${pid#*:}: exit code $got without a write" ;;
	esac
done
expect_equal "commands that were run" 15 $n
check "an API key is shown that was not stored" \
	[ -z "$(grep -l api_key "$WORK"/drop*.txt)" ]
expect_equal "what was stored" "$before" "$(eval_store d)"
check "reads do not work" ctl_via "$drop_port" status >/dev/null

# Without a store no request is sent, so the exit code is 1.
ctl_via 1 budget topup workshop 5 >/dev/null 2>"$WORK/err"
expect_exit 1 $? "a command without a store"

# The store applies a write but its response is lost: the client finds its write
# and adds a top-up only once.
start_relay lose --way answer
kill -USR1 "$lose_pid"
ctl_with_lost_response() {
	ctl_via "$lose_port" "$@" >"$WORK/out" 2>"$WORK/err"
	expect_exit 0 $? "$* with a lost response"
}
ctl_with_lost_response budget topup workshop 5
expect_equal "the budget" 1005 \
	"$(eval_store 'd["budget/workshop/main"]["budget"]')"
ctl_with_lost_response budget lower workshop 1000
ctl_with_lost_response budget create workshop/spare 7
ctl_with_lost_response account set workshop --weight 5
ctl_with_lost_response preset set peak
ctl_with_lost_response target drain one
ctl_with_lost_response target order one load big
expect_equal "what was stored" "[1000, 7, 5, 'peak', True, 1]" "$(eval_store \
	'[d["budget/workshop/main"]["budget"],
	  d["budget/workshop/spare"]["budget"],
	  d["conf/account/workshop"]["weight"], d["conf/preset"]["in_force"],
	  d["conf/target/one"]["draining"], d["conf/order/one"]["number"]]')"
ctl_with_lost_response key add workshop --json
hash=$(json 'd["api_key"]' <"$WORK/out" | tr -d '\n' | sha256sum |
	cut -d' ' -f1)
expect_equal "the key that is shown is stored" True "$(eval_store \
	"'$hash' in [k['hash'] for k in d['conf/account/workshop']['keys']]")"

# A repeated operation ID is applied once.
for _ in 1 2 3; do
	ctl budget topup workshop 10 --op monday >/dev/null || fail "topup"
done
ctl budget topup workshop 10 --op tuesday >/dev/null || fail "topup"
ctl target order one load big --op wednesday >/dev/null || fail "order"
ctl target order one load big --op wednesday >/dev/null || fail "order"
expect_equal "budget and order" "[1020, 2]" "$(eval_store \
	'[d["budget/workshop/main"]["budget"], d["conf/order/one"]["number"]]')"

# Another operator writes between the read and the write of a command: the
# command fails and names the other operation, but a top-up is still added.
start_relay hold --way hold
# ctl_with_conflict COMMAND ARG ...: runs the client with the arguments and the
# operation ID anna; COMMAND is run with the ID bert before its write.
ctl_with_conflict() {
	conflicting_command=$1
	shift
	kill -USR1 "$hold_pid"
	held=$(grep -c held "$WORK/hold.out")
	ctl_via "$hold_port" "$@" --op anna >"$WORK/out" 2>"$WORK/err" &
	pid=$!
	wait_until "$*: no write" 10 eval \
		'[ "$(grep -c held "$WORK/hold.out")" -gt "$held" ]'
	ctl $conflicting_command --op bert >/dev/null ||
		fail "$conflicting_command: exit code $?"
	kill -USR2 "$hold_pid"
	wait $pid
}
for pair in "preset set peak:preset set maintenance" \
	"account set workshop --weight 8:account disable workshop" \
	"service set assistant --hedge no:service remove assistant" \
	"target undrain one:target remove one"; do
	ctl_with_conflict "${pair%%:*}" ${pair#*:}
	expect_exit 4 $? "${pair#*:}"
	grep -q bert "$WORK/err" ||
		fail "the conflicting operation is not named: $pair"
done
expect_equal "what the conflicting commands set" "['peak', 8, False, False, False, False]" \
	"$(eval_store '[d["conf/preset"]["in_force"],
	  d["conf/account/workshop"]["weight"],
	  d["conf/account/workshop"]["disabled"],
	  d["conf/service/assistant"]["hedge"],
	  d["conf/target/one"]["draining"], d["conf/target/one"]["removed"]]')"
ctl_with_conflict "budget topup workshop 100" budget topup workshop 1000
expect_exit 0 $? "a top-up with a conflicting top-up"
expect_equal "the budget" 2120 \
	"$(eval_store 'd["budget/workshop/main"]["budget"]')"

# put_record KEY RECORD: writes a record into the store.
put_record() {
	tool put "http://127.0.0.1:$store_port" "$1" "$2" || fail "put $1"
}

# put_grant INCARNATION RECOVERED: writes the grant of a router.
put_grant() {
	put_record "grant/$1/workshop/main" '{"kind": "grant", "op": {"writer": "x",
		"seq": 1}, "granted": 400, "settled": 150, "unprotected": 40,
		"recovered": '"$2"'}'
}
put_grant living true
put_grant dead false
put_record alive/living '{"kind": "alive", "incarnation": "living"}'
put_record budget/workshop/main '{"kind": "budget", "budget": 2000, "granted": 800,
	"retired": 0, "ops": []}'
expect_refused() {
	ctl "$@" >"$WORK/out" 2>"$WORK/err"
	expect_exit 3 $? "$*"
}
before=$(eval_store d)
expect_refused budget lower workshop 799
expect_refused budget reclaim living
expect_refused budget reclaim living --force
expect_refused budget reclaim dead
expect_equal "what refused commands changed" "$before" "$(eval_store d)"
ctl budget lower workshop 800 >/dev/null || fail "lower to what is granted"
ctl budget show workshop --json >"$WORK/out" || fail "budget show"
expect_equal "spent, balance and grants" "[300, 500, 2]" \
	"$(json '[d["spent"], d["balance"], len(d["grants"])]' <"$WORK/out")"
ctl budget reclaim dead --force >/dev/null || fail "reclaim --force"
expect_equal "the budget after the first grant is closed" "[800, 550, 150, 1]" \
	"$(eval_store \
	'[d["budget/workshop/main"][k] for k in
	  ("budget", "granted", "retired")] + [len(under("grant/"))]')"
put_grant old true
put_record budget/workshop/main '{"kind": "budget", "budget": 2000, "granted": 950,
	"retired": 150, "ops": []}'
ctl budget reclaim old >/dev/null || fail "reclaim of a recovered grant"
expect_equal "the budget after the second grant is closed" "[2000, 700, 300, 1]" \
	"$(eval_store \
	'[d["budget/workshop/main"][k] for k in
	  ("budget", "granted", "retired")] + [len(under("grant/"))]')"
