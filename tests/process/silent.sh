#!/bin/bash
# Guards against requests that hang on a connection without data, and against a
# second run of a non-idempotent call.
SERVICE_ARGS="--first-byte-ms 1500 --idle-ms 1500 --deadline-ms 15000"
ORDERS_ARGS="--first-byte-ms 1500 --idle-ms 1500 --deadline-ms 15000"
. "$(dirname "$0")/fleet.sh"

start_platform 2 100000
start_fleet 2
set_mode "$engine1_port" '{"silent": true}'
expect_complete "requests beside a silent engine" 8 \
	"$(tool load "$r1" "$api_key" quiet --count 8)"
expect_equal "the silent engine got requests" True \
	"$(eval_stats "$engine1_port" 'len(d["runs"]) > 0')"
wait_until "a silent call is not cancelled" 10 \
	stats_are "$engine1_port" 'd["running"] + d["queued"]' 0
expect_equal "every silent call is cancelled" True \
	"$(eval_stats "$engine1_port" 'd["cancelled"] == len(d["runs"])')"

# A stream that stalls after its first words ends with an error and is complete
# when the caller retries.
set_mode "$engine1_port" '{"slow_factor": 20}'
set_mode "$engine2_port" '{"slow_factor": 20}'
start_background cut load "$r1,$r2" "$api_key" cut --count 4 --tokens 200 \
	--stream --in-order --tries 6
wait_until "the streams have not begun" 10 \
	metric_at_least "$r1_admin" requests_running 4
sleep 0.5
set_mode "$engine1_port" '{"silent": true}'
set_mode "$engine2_port" '{}'
wait_background cut
expect_complete "retried streams" 4 "$output"

set_mode "$plain_port" '{"silent": true}'
expect_equal "a call that is not to be repeated" \
	'{"502 target_failed unknown": 1}' \
	"$(tool load "$r1" "$api_key" order --path /orders/a)"
set_mode "$plain_port" '{}'
expect_equal "the same call at another router" \
	'{"409 outcome_unknown unknown": 1}' \
	"$(tool load "$r2" "$api_key" order --path /orders/a)"
expect_equal "runs of the call" 1 \
	"$(eval_stats "$plain_port" 'sum(d["bodies"].values())')"
wait_until "a bill is missing" 20 store_eval_is 'len(b)' 12
expect_equal "the order is not billed" '[]' \
	"$(eval_store '[k for k in b if "/order-" in k]')"
stop_router r1
stop_router r2
