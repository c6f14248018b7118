#!/bin/bash
# Guards against malformed or hostile input that stops or blocks a router, and
# against refused requests that no counter shows.
. "$(dirname "$0")/fleet.sh"

start_platform 1 1000000
start_fleet 2
port=${r1##*:}

# print_bytes EXPRESSION: writes the bytes of a Python expression to stdout.
print_bytes() {
	python3 -c 'import sys; sys.stdout.buffer.write(eval(sys.argv[1]))' "$1"
}

count_refusals() {
	metric "$r1_admin" "refusals_total{reason=\"$1\"}"
}

# http_status HEADER BODY_EXPRESSION [HEADER]: sends a request and prints its
# status code.
http_status() {
	print_bytes "$2" | curl -s -o /dev/null -w '%{http_code}' --max-time 20 \
		-H "$1" ${3:+-H "$3"} --data-binary @- "$r1/v1/chat/completions"
}

# expect_service TEXT: fails unless r1 is ready and serves requests.
expect_service() {
	check "r1 is not ready after $1" curl -sf --max-time 10 -o /dev/null \
		"http://127.0.0.1:$r1_admin/readyz"
	service_checks=$((service_checks + 1))
	expect_complete "requests after $1" 4 \
		"$(tool load "$r1" "$api_key" "ok-$service_checks" --count 4)"
}
service_checks=0

for input in 'b"\xff\xff\xff\xff" + b"x" * 70000' 'b"\0\0\0\0"' \
	'b"\0\0\1\0" + b"\x93" * 256' 'b"GET / HTTP/1.1\r\n\r\n"' \
	'b"\0\x0f\xff\xff" + b"\x91" * 1048575' \
	'bytes((i * 167 + 13) & 255 for i in range(50000))'; do
	print_bytes "$input" | tool raw "$r1_peer" >/dev/null
done
expect_service "garbage frames"
check "bad frames are not counted" \
	metric_at_least "$r1_admin" peer_frames_bad_total 4

set -- $(free_ports 3)
PEER_KEY=another-key-0123456789
write_settings foreign az1 "$1" "$2" "$3" "$r1_peer"
start_router foreign
wait_until "wrong peer keys are not counted" 20 \
	metric_at_least "$r1_admin" peer_auth_failed_total 1
expect_equal "peers of r1" 1 "$(metric "$r1_admin" peers)"
expect_equal "peers of the router with another key" 0 "$(metric "$3" peers)"
stop_router foreign

# More connections than the backlog of a listener and the limit of
# unauthenticated peers.
start_background held hold "$port" 'POST /v1/chat/completions HTTP/1.1' \
	--count 200
start_background held_peer hold "$r1_peer" '0123' --count 200
start_background held_admin hold "$r1_admin" 'GET /metrics' --count 100
for held in held held_peer held_admin; do
	wait_until "$held does not hold" 20 grep -q holding "$WORK/$held.out"
done
expect_service "half-open connections"
wait_until "r1 has lost its peer" 20 metric_is "$r1_admin" peers 1

for input in 'b"\0\1\2\3" * 1000' 'b"POST / HTTP/9.9\r\n\r\n"' \
	'b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n"' \
	'b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"' \
	'b"GET /" + b"a" * 200000 + b" HTTP/1.1\r\n\r\n"'; do
	response=$(print_bytes "$input" | tool raw "$port" | tr -d '\0' | head -1)
	case $response in
	"HTTP/1.1 2"*) fail "garbage was answered with $response" ;;
	esac
done
expect_service "garbage HTTP"

ok="Authorization: Bearer $api_key"
body='b"""{"model":"assistant","messages":[{"role":"user","content":"Hi."}]}"""'
filler="X-Filler: $(printf 'a%.0s' $(seq 60000))"
expect_equal "an oversized head without a key" 401 \
	"$(http_status "$filler" "$body")"
head=$(http_status "$filler" "$body" "$ok")
check "an oversized head got $head" [ "$head" = 431 -o "$head" = 400 -o \
	"$head" = 413 -o "$head" = 000 ]
before=$(count_refusals too_large)
expect_equal "an oversized body" 413 "$(http_status "$ok" 'b" " * 5000000')"
check "oversized bodies are not counted" \
	[ "$(count_refusals too_large)" -gt "$before" ]
before=$(count_refusals unauthenticated)
expect_equal "a wrong key" 401 \
	"$(http_status "Authorization: Bearer wrong" "$body")"
expect_equal "no key" 401 "$(http_status "X-Nothing: 1" "$body")"
expect_equal "wrong keys counted" $((before + 2)) \
	"$(count_refusals unauthenticated)"
before=$(count_refusals bad_request)
for input in 'b"{"' 'b"[" * 100000' 'b"\xff\xfe"' 'b"{\"model\":7}"' \
	'b"{\"model\":\"assistant\",\"max_tokens\":-1,\"messages\":[]}"'; do
	found=$(http_status "$ok" "$input")
	check "malformed body $input got $found" [ "${found:0:1}" = 4 ]
done
check "malformed bodies are not counted" \
	[ "$(count_refusals bad_request)" -gt "$before" ]
expect_service "bad requests"
wait_until "bills are missing" 20 store_eval_is 'len(b)' $((service_checks * 4))
kill "$held_pid" "$held_peer_pid" "$held_admin_pid"
stop_router r1
stop_router r2
