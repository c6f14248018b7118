#!/bin/bash
# Guards against new work for a target that leaves, whoever says so, and
# against cutting what runs there.
RATE=150
. "$(dirname "$0")/fleet.sh"

start_platform 2 1000000
start_fake instances instances
INSTANCES_URL="http://127.0.0.1:$instances_port/"
revision=0

# list STATE: the instance list with engine1 in this state.
list() {
	revision=$((revision + 1))
	curl -sf -d "{\"revision\":$revision,\"instances\":[
		{\"host\":\"127.0.0.1\",\"port\":$engine1_port,\"state\":\"$1\"},
		{\"host\":\"127.0.0.1\",\"port\":$engine2_port,\"state\":\"live\"}]}" \
		"http://127.0.0.1:$instances_port/test/list" || fail "list"
}

runs() {
	stat_of "$engine1_port" 'sum(d["runs"].values())'
}

batch() {
	batches=$((batches + 1))
	tool load "$r1,$r2" "$api_key" "batch-$batches" --count 12 "$@"
}

# quiet_batch: true when a batch of requests brings engine1 no run.
quiet_batch() {
	before=$(runs)
	all_complete "batch of requests" 12 "$(batch)"
	[ "$(runs)" = "$before" ]
}

busy_batch() {
	! quiet_batch
}

# case WAY COMMAND ...: engine1 has streams when the command says it leaves.
leave() {
	way=$1
	shift
	until_true "engine1 gets no work before $way" 15 busy_batch
	background "streams$way" load "$r1,$r2" "$api_key" "long-$way" \
		--count 12 --tokens 300 --stream
	until_true "no streams at engine1 ($way)" 10 \
		stat_is "$engine1_port" 'd["running"] > 2' True
	"$@" || fail "$way"
	until_true "engine1 still gets work ($way)" 15 quiet_batch
	before=$(runs)
	for _ in 1 2 3; do
		all_complete "requests after ($way)" 12 "$(batch)"
	done
	equal "runs at engine1 after it leaves ($way)" "$before" "$(runs)"
	finish "streams$way"
	all_complete "streams in progress ($way)" 12 "$output"
	equal "cancelled at engine1 ($way)" 0 \
		"$(stat_of "$engine1_port" 'd["cancelled"]')"
}

# asked: requests that the routers sent to engine1 and saw refused.
refused_as_leaving() {
	echo $(($(metric "$r1_admin" 'retries_total{reason="leaving"}') +
		$(metric "$r2_admin" 'retries_total{reason="leaving"}')))
}

batches=0
list live
start_fleet 2
leave list list leaving
list live
leave drain ctl target drain engine1 >/dev/null
ctl target undrain engine1 >/dev/null || fail "undrain"
leave answer mode "$engine1_port" '{"leaving": true}'
equal "each router learns it from a few answers" True \
	"$([ "$(refused_as_leaving)" -le 24 ] && echo True)"
before=$(refused_as_leaving)
all_complete "requests at the end" 12 "$(batch)"
equal "no more requests are sent to be refused" "$before" \
	"$(refused_as_leaving)"
stop_router r1
stop_router r2
