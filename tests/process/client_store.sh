#!/bin/bash
# Guards against a client that reports success without a write, applies an
# operation twice, hides a lost race or gives back tokens still in use.
. "$(dirname "$0")/fleet.sh"

# relay_up NAME ARG ...: a relay to the store; sets NAME_port.
relay_up() {
	relay=$1
	shift
	background "$relay" relay "$store_port" --path /v3/kv/txn "$@"
	until_true "$relay does not listen" 10 \
		grep -q listening "$WORK/$relay.out"
	port=$(sed -n 's/^listening //p' "$WORK/$relay.out")
	eval "${relay}_port=$port"
}

# through PORT ARG ...: the client by way of a relay.
through() {
	port=$1
	shift
	"$BIN" "$@" --store "http://127.0.0.1:$port"
}

# code EXPECTED FOUND TEXT
code() {
	equal "exit code of $3: $(cat "$WORK/err")" "$1" "$2"
}

start_fake store store
ctl account create workshop >/dev/null || fail "account create"
ctl budget create workshop 1000 >/dev/null || fail "budget create"
ctl service set assistant >/dev/null || fail "service set"
az="--availability-zone az1 --address 127.0.0.1:9000"
ctl target set one --service assistant $az >/dev/null || fail "target set"
ctl preset set ordinary >/dev/null || fail "preset set"

# Transactions are lost on the way and reads work: nothing is written, and no
# command may say that it is done.
relay_up drop
kill -USR1 "$drop_pid"
before=$(dump d)
n=0
pids=""
while read -r line; do
	n=$((n + 1))
	through "$drop_port" $line >"$WORK/drop$n.txt" 2>&1 &
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
equal "lines that were tried" 15 $n
check "an API key is shown that was not stored" \
	[ -z "$(grep -l api_key "$WORK"/drop*.txt)" ]
equal "what was stored" "$before" "$(dump d)"
check "reads do not work" through "$drop_port" status >/dev/null

# No store at all: nothing can have been sent.
through 1 budget topup workshop 5 >/dev/null 2>"$WORK/err"
code 1 $? "a command without a store"

# The write took effect and its answer was lost: the client finds its write,
# and a top-up is added once.
relay_up lose --way answer
kill -USR1 "$lose_pid"
lost() {
	through "$lose_port" "$@" >"$WORK/out" 2>"$WORK/err"
	code 0 $? "$* with a lost answer"
}
lost budget topup workshop 5
equal "the budget" 1005 "$(dump 'd["budget/workshop/main"]["budget"]')"
lost budget lower workshop 1000
lost budget create workshop/spare 7
lost account set workshop --weight 5
lost preset set peak
lost target drain one
lost target order one load big
equal "what was stored" "[1000, 7, 5, 'peak', True, 1]" "$(dump \
	'[d["budget/workshop/main"]["budget"],
	  d["budget/workshop/spare"]["budget"],
	  d["conf/account/workshop"]["weight"], d["conf/preset"]["in_force"],
	  d["conf/target/one"]["draining"], d["conf/order/one"]["number"]]')"
lost key add workshop --json
hash=$(json 'd["api_key"]' <"$WORK/out" | tr -d '\n' | sha256sum |
	cut -d' ' -f1)
equal "the key that is shown is stored" True "$(dump \
	"'$hash' in [k['hash'] for k in d['conf/account/workshop']['keys']]")"

# A repeated operation id.
for _ in 1 2 3; do
	ctl budget topup workshop 10 --op monday >/dev/null || fail "topup"
done
ctl budget topup workshop 10 --op tuesday >/dev/null || fail "topup"
ctl target order one load big --op wednesday >/dev/null || fail "order"
ctl target order one load big --op wednesday >/dev/null || fail "order"
equal "budget and order" "[1020, 2]" "$(dump \
	'[d["budget/workshop/main"]["budget"], d["conf/order/one"]["number"]]')"

# Another operator's write comes between the reading and the writing of a
# command: it loses and names the winner, but a top-up counts as well.
relay_up late --way hold
# overtaken OP ARG ...: runs the command with the id anna; OP is done meanwhile.
overtaken() {
	meanwhile=$1
	shift
	kill -USR1 "$late_pid"
	held=$(grep -c held "$WORK/late.out")
	through "$late_port" "$@" --op anna >"$WORK/out" 2>"$WORK/err" &
	pid=$!
	until_true "$*: no write" 10 eval \
		'[ "$(grep -c held "$WORK/late.out")" -gt "$held" ]'
	ctl $meanwhile --op bert >/dev/null || fail "$meanwhile: exit code $?"
	kill -USR2 "$late_pid"
	wait $pid
}
for pair in "preset set peak:preset set maintenance" \
	"account set workshop --weight 8:account disable workshop" \
	"service set assistant --hedge no:service remove assistant" \
	"target undrain one:target remove one"; do
	overtaken "${pair%%:*}" ${pair#*:}
	code 4 $? "${pair#*:}"
	grep -q bert "$WORK/err" || fail "the winner is not named: $pair"
done
equal "what the winners set" "['peak', 8, False, False, False, False]" \
	"$(dump '[d["conf/preset"]["in_force"],
	  d["conf/account/workshop"]["weight"],
	  d["conf/account/workshop"]["disabled"],
	  d["conf/service/assistant"]["hedge"],
	  d["conf/target/one"]["draining"], d["conf/target/one"]["removed"]]')"
overtaken "budget topup workshop 100" budget topup workshop 1000
code 0 $? "a top-up that was overtaken"
equal "the budget" 2120 "$(dump 'd["budget/workshop/main"]["budget"]')"

# Grants of routers: put RECORD KEY.
put() {
	tool put "http://127.0.0.1:$store_port" "$1" "$2" || fail "put $1"
}
grant() {
	put "grant/$1/workshop/main" '{"kind": "grant", "op": {"writer": "x",
		"seq": 1}, "granted": 400, "settled": 150, "unprotected": 40,
		"recovered": '"$2"'}'
}
grant living true
grant dead false
put alive/living '{"kind": "alive", "incarnation": "living"}'
put budget/workshop/main '{"kind": "budget", "budget": 2000, "granted": 800,
	"retired": 0, "ops": []}'
refused() {
	ctl "$@" >"$WORK/out" 2>"$WORK/err"
	code 3 $? "$*"
}
before=$(dump d)
refused budget lower workshop 799
refused budget reclaim living
refused budget reclaim living --force
refused budget reclaim dead
equal "what refused commands changed" "$before" "$(dump d)"
ctl budget lower workshop 800 >/dev/null || fail "lower to what is granted"
ctl budget show workshop --json >"$WORK/out" || fail "budget show"
equal "spent, balance and grants" "[300, 500, 2]" \
	"$(json '[d["spent"], d["balance"], len(d["grants"])]' <"$WORK/out")"
ctl budget reclaim dead --force >/dev/null || fail "reclaim --force"
equal "the budget after one grant is closed" "[800, 550, 150, 1]" "$(dump \
	'[d["budget/workshop/main"][k] for k in
	  ("budget", "granted", "retired")] + [len(under("grant/"))]')"
grant old true
put budget/workshop/main '{"kind": "budget", "budget": 2000, "granted": 950,
	"retired": 150, "ops": []}'
ctl budget reclaim old >/dev/null || fail "reclaim of a recovered grant"
equal "the budget after the other is closed" "[2000, 700, 300, 1]" "$(dump \
	'[d["budget/workshop/main"][k] for k in
	  ("budget", "granted", "retired")] + [len(under("grant/"))]')"
