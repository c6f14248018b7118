#!/bin/bash
# Guards against new requests to a leaving target, whether the instance list, an
# operator or the target itself announces it, and against cutting its running
# requests.
RATE=150
. "$(dirname "$0")/fleet.sh"

start_platform 2 1000000
start_fake instances instances
INSTANCES_URL="http://127.0.0.1:$instances_port/"
revision=0

# set_engine1_state STATE: publishes an instance list with engine1 in
# this state.
set_engine1_state() {
	revision=$((revision + 1))
	curl -sf -d "{\"revision\":$revision,\"instances\":[
		{\"host\":\"127.0.0.1\",\"port\":$engine1_port,\"state\":\"$1\"},
		{\"host\":\"127.0.0.1\",\"port\":$engine2_port,\"state\":\"live\"}]}" \
		"http://127.0.0.1:$instances_port/test/list" ||
			fail "cannot set the instance list"
}

count_engine1_runs() {
	eval_stats "$engine1_port" 'sum(d["runs"].values())'
}

send_batch() {
	batches=$((batches + 1))
	tool load "$r1,$r2" "$api_key" "batch-$batches" --count 12 "$@"
}

# batch_avoids_engine1: succeeds if no request of a batch runs at engine1.
batch_avoids_engine1() {
	before=$(count_engine1_runs)
	expect_complete "batch of requests" 12 "$(send_batch)"
	[ "$(count_engine1_runs)" = "$before" ]
}

batch_reaches_engine1() {
	! batch_avoids_engine1
}

# test_leaving METHOD COMMAND ...: the command announces that engine1 leaves
# while engine1 serves streams.
test_leaving() {
	method=$1
	shift
	wait_until "engine1 gets no requests before $method" 15 \
		batch_reaches_engine1
	start_background "streams$method" load "$r1,$r2" "$api_key" "long-$method" \
		--count 12 --tokens 300 --stream
	wait_until "no streams at engine1 ($method)" 10 \
		stats_are "$engine1_port" 'd["running"] > 2' True
	"$@" || fail "$method"
	wait_until "engine1 still gets requests ($method)" 15 \
		batch_avoids_engine1
	before=$(count_engine1_runs)
	for _ in 1 2 3; do
		expect_complete "requests after ($method)" 12 "$(send_batch)"
	done
	expect_equal "runs at engine1 after it leaves ($method)" "$before" \
		"$(count_engine1_runs)"
	wait_background "streams$method"
	expect_complete "streams in progress ($method)" 12 "$output"
	expect_equal "cancelled at engine1 ($method)" 0 \
		"$(eval_stats "$engine1_port" 'd["cancelled"]')"
}

# count_leaving_retries: prints how many requests engine1 refused as leaving.
count_leaving_retries() {
	echo $(($(metric "$r1_admin" 'retries_total{reason="leaving"}') +
		$(metric "$r2_admin" 'retries_total{reason="leaving"}')))
}

batches=0
set_engine1_state live
start_fleet 2
test_leaving list set_engine1_state leaving
set_engine1_state live
test_leaving drain ctl target drain engine1 >/dev/null
ctl target undrain engine1 >/dev/null || fail "undrain"
test_leaving response set_mode "$engine1_port" '{"leaving": true}'
expect_equal "each router learns it from a few responses" True \
	"$([ "$(count_leaving_retries)" -le 24 ] && echo True)"
before=$(count_leaving_retries)
expect_complete "requests at the end" 12 "$(send_batch)"
expect_equal "no more requests are sent to be refused" "$before" \
	"$(count_leaving_retries)"
stop_router r1
stop_router r2
