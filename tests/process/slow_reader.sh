#!/bin/bash
# Guards against a router that buffers a response that the caller does not read.

# A sanitizer build quarantines freed memory, which would count as growth.
export ASAN_OPTIONS=quarantine_size_mb=1
RATE=250000
SERVICE_ARGS="--deadline-ms 120000 --first-byte-ms 60000 --idle-ms 60000"
. "$(dirname "$0")/fleet.sh"

TOKENS=1000000 # 62 MB of stream records
start_platform 1 10000000
start_fleet 1

rss_kib() {
	awk '/^VmRSS/ { print $2 }' "/proc/$r1_pid/status"
}

expect_complete "a stream that is read" 1 \
	"$(tool load "$r1" "$api_key" warm --tokens 20000 --stream)"
before=$(rss_kib)
start_background slow slow "$r1" "$api_key" slow --tokens $TOKENS --stream \
	--timeout 60
wait_until "the reader has not stopped" 30 grep -q stopped "$WORK/slow.out"
wait_until "the engine has not generated the response" 30 \
	stats_are "$engine1_port" 'd["tokens"]' $((TOKENS + 20000))
peak=0
for _ in $(seq 20); do
	now=$(rss_kib)
	[ "$now" -gt "$peak" ] && peak=$now
	sleep 0.1
done
echo "resident set: $before KiB before, at most $peak KiB during the stream"
check "the router has grown by $((peak - before)) KiB" \
	[ $((peak - before)) -lt 8192 ]
# Other callers are served while the reader is stopped.
expect_complete "requests beside the slow reader" 8 \
	"$(tool load "$r1" "$api_key" beside --count 8 --stream)"
expect_equal "the bill is not yet due" 9 "$(eval_store 'len(b)')"
kill -USR1 "$slow_pid"
wait_background slow
expect_equal "the stream after the reader resumed" "complete" \
	"$(tail -1 <<<"$output")"
peak=$(rss_kib)
check "the router has grown by $((peak - before)) KiB at the end" \
	[ $((peak - before)) -lt 8192 ]
wait_until "the bill is missing" 20 store_eval_is 'b.get("workshop/slow-0")' \
	$((TOKENS + 2))
stop_router r1
