# Functions shared by the process tests: starting a fleet, checks and polling.
# Each test is a script that sources this file.
set -u

cd "$(dirname "$0")/../.." || exit 1
. demo/lib.sh

tool() {
	python3 tests/process/tool.py "$@"
}

# check TEXT COMMAND [ARG ...]: fails the test with the text unless the command
# succeeds.
check() {
	text=$1
	shift
	"$@" || fail "$text"
}

# expect_equal TEXT EXPECTED ACTUAL
expect_equal() {
	[ "$2" = "$3" ] || fail "$1: expected $2, found $3"
}

# wait_until TEXT SECONDS COMMAND [ARG ...]: polls until the command succeeds
# and fails the test with the text after the timeout.  The timeouts are long
# because the machine may be busy.
wait_until() {
	text=$1
	polls=$(($2 * 5))
	shift 2
	for _ in $(seq "$polls"); do
		"$@" && return 0
		sleep 0.2
	done
	fail "$text"
}

# start_platform ENGINES TOKENS: starts a store, a plain service and the engines
# and configures them, with the client account workshop and its budget; sets
# api_key.
start_platform() {
	start_fake store store
	start_fake plain plain ${PLAIN_ARGS:-}
	ctl budget create workshop "$2" >/dev/null || fail "budget create"
	api_key=$(ctl account create workshop --json | json 'd["api_key"]')
	ctl service set assistant --kind model --max-tokens 1000000 \
		${SERVICE_ARGS:-} >/dev/null || fail "service set"
	ctl service set orders --kind plain --path-prefix /orders \
		--idempotent no --call-tokens 5 ${ORDERS_ARGS:-} >/dev/null ||
		fail "service set"
	ctl target set desk --service orders --availability-zone az1 \
		--address "127.0.0.1:$plain_port" >/dev/null ||
		fail "target set"
	for i in $(seq "$1"); do
		start_fake "engine$i" engine --rate "${RATE:-1000}"
		eval "port=\$engine${i}_port"
		ctl target set "engine$i" --service assistant \
			--availability-zone az1 --concurrency 64 \
			--address "127.0.0.1:$port" >/dev/null ||
			fail "target set"
	done
}

# start_fleet N: starts N routers in one availability zone and waits until they
# are ready and connected; sets rI (URL), rI_admin and rI_peer for each.
start_fleet() {
	count=$1
	ports=$(free_ports $((3 * count)))
	set -- $ports
	first=$2
	for i in $(seq "$count"); do
		write_settings "r$i" az1 "$1" "$2" "$3" "$first"
		eval "r$i=http://127.0.0.1:$1 r${i}_peer=$2 r${i}_admin=$3"
		start_router "r$i"
		shift 3
	done
	for i in $(seq "$count"); do
		eval "port=\$r${i}_admin"
		wait_ready "$port"
		[ "$count" -gt 1 ] && wait_until "r$i has no peers" 15 \
			metric_is "$port" peers $((count - 1))
	done
	return 0
}

# metric ADMIN_PORT NAME: prints a counter or gauge, 0 if it does not exist.
metric() {
	curl -s --max-time 5 "http://127.0.0.1:$1/metrics" |
		awk -v name="tanagertrestle_$2" \
			'$1 == name || $1 == name "_total" { v = $2 }
			 END { print v + 0 }'
}

metric_is() {
	[ "$(metric "$1" "$2")" = "$3" ]
}

metric_at_least() {
	[ "$(metric "$1" "$2")" -ge "$3" ]
}

# eval_store EXPRESSION: evaluates a Python expression on the records of the
# store; run_dump in tool.py lists its variables.
eval_store() {
	tool dump "http://127.0.0.1:$store_port" "$1"
}

store_eval_is() {
	[ "$(eval_store "$1")" = "$2" ]
}

# set_mode PORT JSON: puts a fake service into a test mode.
set_mode() {
	curl -sf --max-time 5 -o /dev/null -d "$2" \
		"http://127.0.0.1:$1/test/mode" ||
			fail "cannot set the test mode at port $1"
}

# eval_stats PORT EXPRESSION: evaluates a Python expression on the statistics d
# of a fake service.
eval_stats() {
	curl -s --max-time 5 "http://127.0.0.1:$1/test/stats" | json "$2"
}

stats_are() {
	[ "$(eval_stats "$1" "$2")" = "$3" ]
}

# incarnation ADMIN_PORT: prints the incarnation of a router.
incarnation() {
	curl -s --max-time 5 "http://127.0.0.1:$1/status" |
		json 'd["incarnation"]'
}

# has_buddy ADMIN_PORT: succeeds if the router has a buddy.
has_buddy() {
	[ -n "$(curl -s --max-time 5 "http://127.0.0.1:$1/status" | json \
		'[m["buddy"] for m in d["members"] if m["incarnation"] == d["incarnation"]][0]')" ]
}

# kill_router NAME: kills a router with SIGKILL.
kill_router() {
	eval "pid=\$${1}_pid"
	kill -KILL "$pid"
	wait "$pid" 2>/dev/null
	return 0
}

# start_background NAME ARG ...: runs tool.py in the background with its output
# in $WORK/NAME.out and sets NAME_pid.
start_background() {
	name=$1
	shift
	python3 tests/process/tool.py "$@" >"$WORK/$name.out" \
		2>>"$WORK/$name.log" &
	eval "${name}_pid=$!"
	PIDS="$PIDS $!"
}

# wait_background NAME: waits for a background command and sets output.
wait_background() {
	eval "pid=\$${1}_pid"
	wait "$pid"
	output=$(cat "$WORK/$1.out")
}

# expect_complete TEXT COUNT JSON: fails unless all COUNT requests of a load got
# a complete response.
expect_complete() {
	expect_equal "$1" "{\"complete\": $2}" "$3"
}

# spend_equals_bills: succeeds if the spent tokens of the budget are the sum of
# the bills.
spend_equals_bills() {
	[ "$(spent workshop)" = "$(eval_store 'sum(b.values())')" ]
}

# grants_equal_budget: succeeds if the granted tokens of the budget are its
# retired tokens and those of the open grants, within the budget.
grants_equal_budget() {
	store_eval_is '(lambda x: x["granted"] == x["retired"] + sum(g["granted"]
		for g in under("grant/").values()) <= x["budget"])(
		d["budget/workshop/main"])' True
}
