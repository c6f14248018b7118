#!/bin/bash
# Runs a small fleet on loopback: a store, two engines, a plain service and
# three routers in two availability zones, all as separate processes.
set -u
cd "$(dirname "$0")/.." || exit 1
. demo/lib.sh

print_step "starting the fake store, two engines and a plain service"
start_fake store store
start_fake engine1 engine --rate 200
start_fake engine2 engine --rate 200
start_fake plain plain

print_step "configuring with the command-line client"
ctl budget create workshop 100000 || fail "budget create"
api_key=$(ctl account create workshop --json | json 'd["api_key"]')
[ -n "$api_key" ] || fail "account create"
ctl service set assistant --kind model --max-tokens 200 || fail "service set"
ctl service set orders --kind plain --path-prefix /orders --idempotent no \
	--call-tokens 5 || fail "service set"
ctl target set engine1 --service assistant --availability-zone az1 \
	--address "127.0.0.1:$engine1_port" || fail "target set"
ctl target set engine2 --service assistant --availability-zone az2 \
	--address "127.0.0.1:$engine2_port" || fail "target set"
ctl target set desk --service orders --availability-zone az1 \
	--address "127.0.0.1:$plain_port" || fail "target set"
ctl preset set ordinary || fail "preset set"

print_step "starting three routers in two availability zones"
set -- $(free_ports 9)
write_settings r1 az1 "$1" "$2" "$3" "$2"
write_settings r2 az1 "$4" "$5" "$6" "$2"
write_settings r3 az2 "$7" "$8" "$9" "$2"
r1="http://127.0.0.1:$1"
r2="http://127.0.0.1:$4"
r3="http://127.0.0.1:$7"
admin2=$6
for r in r1 r2 r3; do
	"$BIN" check "$WORK/$r.json" || fail "settings of $r"
	start_router $r
done
wait_ready "$3"
wait_ready "$6"
wait_ready "$9"

chat() { # URL KEY BODY
	curl -sS --max-time 20 -H "Authorization: Bearer $api_key" \
		-H "Content-Type: application/json" \
		-H "Idempotency-Key: $2" -d "$3" "$1/v1/chat/completions"
}

print_step "a complete response"
response=$(chat "$r1" demo-1 '{"model":"assistant","max_tokens":12,"messages":[{"role":"user","content":"Draft a quote."}]}')
echo "$response"
echo "$response" | json 'd["usage"]["completion_tokens"]' >/dev/null ||
	fail "no usage in the response"

print_step "a streamed response"
chat "$r3" demo-2 '{"model":"assistant","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Draft a letter."}]}' >"$WORK/stream"
tail -n 4 "$WORK/stream"
grep -q '^data: \[DONE\]' "$WORK/stream" || fail "the stream is incomplete"

print_step "an order is sent twice with the same key"
for r in "$r1" "$r3"; do
	curl -sS --max-time 20 -H "Authorization: Bearer $api_key" \
		-H "Idempotency-Key: frame-17" -d '{"frame":"120x80"}' \
		"$r/orders/frames" || fail "the order failed"
	echo
done
runs=$(curl -s "http://127.0.0.1:$plain_port/test/stats" | json 'sum(d["bodies"].values())')
echo "the plain service ran the order $runs time(s)"
[ "$runs" = 1 ] || fail "the order ran $runs times"

print_step "router r1 is killed during a stream; the caller retries at r2"
body='{"model":"assistant","stream":true,"max_tokens":150,"messages":[{"role":"user","content":"A long draft."}]}'
chat "$r1" demo-3 "$body" >"$WORK/cut" 2>/dev/null &
curl_pid=$!
sleep 0.3
kill -KILL "$r1_pid"
wait "$r1_pid" 2>/dev/null
wait "$curl_pid"
grep -q '^data: \[DONE\]' "$WORK/cut" && fail "the first attempt was not cut off"
chat "$r2" demo-3 "$body" >"$WORK/again"
grep -q '^data: \[DONE\]' "$WORK/again" || fail "the second attempt is incomplete"
echo "the first attempt gave $(grep -c '^data:' "$WORK/cut") records, the second $(grep -c '^data:' "$WORK/again")"

print_step "a wrong key and a spent budget"
code=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer wrong" \
	-d '{"model":"assistant","messages":[{"role":"user","content":"Hi."}]}' "$r2/v1/chat/completions")
echo "wrong key: $code"
[ "$code" = 401 ] || fail "a wrong key got $code"
ctl budget create small 10 || fail "budget create"
small_key=$(ctl account create small --json | json 'd["api_key"]')
for _ in $(seq 50); do
	code=$(curl -s -o "$WORK/spent" -w '%{http_code}' \
		-H "Authorization: Bearer $small_key" \
		-d '{"model":"assistant","max_tokens":50,"messages":[{"role":"user","content":"Hi."}]}' \
		"$r2/v1/chat/completions")
	[ "$code" != 401 ] && break
	sleep 0.1
done
cat "$WORK/spent"
echo
[ "$code" = 402 ] || fail "a spent budget got $code"

print_step "the preset is switched to peak"
ctl preset set peak || fail "preset set"
for _ in $(seq 80); do
	preset=$(curl -s "http://127.0.0.1:$admin2/status" | json 'd["preset"]')
	[ "$preset" = peak ] && break
	sleep 0.1
done
[ "$preset" = peak ] || fail "the preset is $preset after 8 s"
echo "router r2 has preset $preset in force"

print_step "the state of the fleet"
ctl status || fail "status"
ctl status --json | json '[r["refusals"] for r in d["refusals"] if r["member"] == "r2"][0]' |
	grep -q budget_spent=1 || fail "status does not count the refusal"

print_step "planned stop of the routers and the billed tokens"
stop_router r2
stop_router r3
ctl budget show workshop
spent=$(spent workshop)
[ "$spent" -gt 150 ] && [ "$spent" -lt 1000 ] || fail "spent is $spent tokens"
print_step "finished: $spent tokens billed, balance $(balance workshop)"
