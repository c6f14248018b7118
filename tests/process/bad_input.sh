#!/bin/bash
# Guards against a router that malformed or hostile input stops or blocks, and
# against refusals that no counter shows.
. "$(dirname "$0")/fleet.sh"

start_platform 1 1000000
start_fleet 2
port=${r1##*:}

bytes() { # EXPRESSION
	python3 -c 'import sys; sys.stdout.buffer.write(eval(sys.argv[1]))' "$1"
}

refusals() {
	metric "$r1_admin" "refusals_total{reason=\"$1\"}"
}

# code HEADER BODY_EXPRESSION [HEADER]
code() {
	bytes "$2" | curl -s -o /dev/null -w '%{http_code}' --max-time 20 \
		-H "$1" ${3:+-H "$3"} --data-binary @- "$r1/v1/chat/completions"
}

serves() { # TEXT
	check "r1 is not ready after $1" curl -sf --max-time 10 -o /dev/null \
		"http://127.0.0.1:$r1_admin/readyz"
	served=$((served + 1))
	all_complete "requests after $1" 4 \
		"$(tool load "$r1" "$api_key" "ok-$served" --count 4)"
}
served=0

for sent in 'b"\xff\xff\xff\xff" + b"x" * 70000' 'b"\0\0\0\0"' \
	'b"\0\0\1\0" + b"\x93" * 256' 'b"GET / HTTP/1.1\r\n\r\n"' \
	'b"\0\x0f\xff\xff" + b"\x91" * 1048575' \
	'bytes((i * 167 + 13) & 255 for i in range(50000))'; do
	bytes "$sent" | tool raw "$r1_peer" >/dev/null
done
serves "garbage frames"
check "bad frames are not counted" \
	metric_at_least "$r1_admin" peer_frames_bad_total 4

set -- $(free_ports 3)
PEER_KEY=another-key-0123456789
write_settings stranger az1 "$1" "$2" "$3" "$r1_peer"
start_router stranger
until_true "wrong peer keys are not counted" 20 \
	metric_at_least "$r1_admin" peer_auth_failed_total 1
equal "peers of r1" 1 "$(metric "$r1_admin" peers)"
equal "peers of the stranger" 0 "$(metric "$3" peers)"
stop_router stranger

# More than a listener's backlog or the limit of unauthenticated peers.
background held hold "$port" 'POST /v1/chat/completions HTTP/1.1' \
	--count 200
background held_peer hold "$r1_peer" '0123' --count 200
background held_admin hold "$r1_admin" 'GET /metrics' --count 100
for held in held held_peer held_admin; do
	until_true "$held does not hold" 20 grep -q holding "$WORK/$held.out"
done
serves "half-open connections"
until_true "r1 has lost its peer" 20 metric_is "$r1_admin" peers 1

for sent in 'b"\0\1\2\3" * 1000' 'b"POST / HTTP/9.9\r\n\r\n"' \
	'b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n"' \
	'b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"' \
	'b"GET /" + b"a" * 200000 + b" HTTP/1.1\r\n\r\n"'; do
	answer=$(bytes "$sent" | tool raw "$port" | tr -d '\0' | head -1)
	case $answer in
	"HTTP/1.1 2"*) fail "garbage was answered with $answer" ;;
	esac
done
serves "garbage HTTP"

ok="Authorization: Bearer $api_key"
body='b"""{"model":"assistant","messages":[{"role":"user","content":"Hi."}]}"""'
filler="X-Filler: $(printf 'a%.0s' $(seq 60000))"
equal "an oversized head without a key" 401 "$(code "$filler" "$body")"
head=$(code "$filler" "$body" "$ok")
check "an oversized head got $head" [ "$head" = 431 -o "$head" = 400 -o \
	"$head" = 413 -o "$head" = 000 ]
before=$(refusals too_large)
equal "an oversized body" 413 "$(code "$ok" 'b" " * 5000000')"
check "oversized bodies are not counted" [ "$(refusals too_large)" -gt "$before" ]
before=$(refusals unauthenticated)
equal "a wrong key" 401 "$(code "Authorization: Bearer wrong" "$body")"
equal "no key" 401 "$(code "X-Nothing: 1" "$body")"
equal "wrong keys counted" $((before + 2)) "$(refusals unauthenticated)"
before=$(refusals bad_request)
for sent in 'b"{"' 'b"[" * 100000' 'b"\xff\xfe"' 'b"{\"model\":7}"' \
	'b"{\"model\":\"assistant\",\"max_tokens\":-1,\"messages\":[]}"'; do
	found=$(code "$ok" "$sent")
	check "malformed body $sent got $found" [ "${found:0:1}" = 4 ]
done
check "malformed bodies are not counted" [ "$(refusals bad_request)" -gt "$before" ]
serves "bad requests"
until_true "bills are missing" 20 dump_is 'len(b)' $((served * 4))
kill "$held_pid" "$held_peer_pid" "$held_admin_pid"
stop_router r1
stop_router r2
