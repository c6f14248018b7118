#!/bin/bash
# Guards against duplicate top-ups, bills and claims when the store applies
# writes but its responses are lost.
STORE_TIMEOUT_MS=500
. "$(dirname "$0")/fleet.sh"

start_platform 1 100000
start_fleet 2
expect_complete "requests before" 4 \
	"$(tool load "$r1,$r2" "$api_key" before --count 4)"

# A few lost responses: the client finds its own write.
set_mode "$store_port" '{"mode": "lose_answer", "count": 2}'
ctl budget topup workshop 1000 --op topup-1 >"$WORK/ctl.out" 2>&1
echo "top-up with lost responses: exit code $?"
set_mode "$store_port" '{"mode": "normal"}'
check "the same top-up again" ctl budget topup workshop 1000 --op topup-1 \
	>/dev/null
expect_equal "the budget" 101000 \
	"$(eval_store 'd["budget/workshop/main"]["budget"]')"

# All responses lost: the client can't know the outcome; a repeated command
# with the same operation ID reports it.
set_mode "$store_port" '{"mode": "lose_answer"}'
ctl budget topup workshop 1000 --op topup-2 >"$WORK/ctl.out" 2>&1
expect_equal "the client succeeds without a response" False \
	"$([ $? -eq 0 ] && echo True || echo False)"
start_background load load "$r1,$r2" "$api_key" lost --count 30 --tries 30
start_background orders load "$r1,$r2" "$api_key" order --count 10 \
	--path /orders/a --tries 30
sleep 3
set_mode "$store_port" '{"mode": "normal"}'
check "the second top-up again" ctl budget topup workshop 1000 --op topup-2 \
	>/dev/null
expect_equal "the budget" 102000 \
	"$(eval_store 'd["budget/workshop/main"]["budget"]')"
wait_background load
expect_complete "requests" 30 "$output"
wait_background orders
echo "orders: $output"
expect_equal "no order ran more than once" True \
	"$(eval_stats "$plain_port" 'max(d["bodies"].values()) == 1')"
expect_equal "orders are complete or of unknown outcome" 10 \
	"$(echo "$output" | json \
	'd.get("complete", 0) + d.get("409 outcome_unknown unknown", 0)')"
expect_equal "one claim for each order" 10 \
	"$(eval_store 'len(under("claim/"))')"
orders=$(echo "$output" | json 'd.get("complete", 0)')
wait_until "bills are missing" 30 store_eval_is 'len(b)' $((34 + orders))
expect_equal "every request has the tokens of one run" True "$(eval_store \
	'all(v == len(k.split("/")[1]) // 4 + 9 for k, v in b.items()
	     if "order" not in k)')"
wait_until "spend and bills differ" 20 spend_equals_bills
wait_until "grants and budget differ" 20 grants_equal_budget
stop_router r1
stop_router r2
