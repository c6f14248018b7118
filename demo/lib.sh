# Functions that start routers and fakes of external services as separate
# processes on loopback, for the demo, the process tests and the benchmarks.
# BUILD selects the build folder.

BUILD=${BUILD:-build}
BIN=$BUILD/tanagertrestle
WORK=$(mktemp -d)
PIDS=""
PEER_KEY=demonstration-key-0123456789

print_step() {
	echo "== $*"
}

fail() {
	echo "FAILED: $*" >&2
	for log in "$WORK"/*.log; do
		echo "--- $(basename "$log")" >&2
		tail -15 "$log" >&2
	done
	exit 1
}

cleanup() {
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# free_ports N: prints N ports that are currently free.  The ports are below the
# ephemeral range, so that no outgoing connection takes one before it is bound.
free_ports() {
	python3 -c '
import random, socket, sys
ports = []
while len(ports) < int(sys.argv[1]):
    port = random.randrange(10000, 32000)
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind(("127.0.0.1", port))
        except OSError:
            continue
    if port not in ports:
        ports.append(port)
print(*ports)' "$1"
}

# json EXPRESSION: evaluates a Python expression on the JSON document "d"
# from stdin.
json() {
	python3 -c '
import json, sys
d = json.load(sys.stdin)
print(eval(sys.argv[1]))' "$1"
}

# start_fake NAME PROGRAM [ARG ...]: starts a fake service, sets NAME_port and
# NAME_pid.
start_fake() {
	name=$1
	program=$2
	shift 2
	"$BUILD/fakes/$program" --port 0 "$@" >"$WORK/$name.out" \
		2>"$WORK/$name.log" &
	eval "${name}_pid=$!"
	PIDS="$PIDS $!"
	for _ in $(seq 100); do
		port=$(sed -n 's/^listening //p' "$WORK/$name.out")
		[ -n "$port" ] && break
		sleep 0.05
	done
	[ -n "$port" ] || fail "$name did not start"
	eval "${name}_port=$port"
}

# write_settings NAME ZONE CALLER_PORT PEER_PORT ADMIN_PORT SEED_PORT: writes
# $WORK/NAME.json.
write_settings() {
	cat >"$WORK/$1.json" <<JSON
{
  "name": "$1",
  "availability_zone": "$2",
  "caller": {"port": $3},
  "peer": {"port": $4, "key": "$PEER_KEY", "seeds": ["127.0.0.1:$6"]},
  "admin": {"port": $5},
  "store": {"endpoints": ["${STORE_URL:-http://127.0.0.1:$store_port}"],
            "timeout_ms": ${STORE_TIMEOUT_MS:-1000}},
  "instances": {"url": "${INSTANCES_URL:-}"},
  "member": {"lease_s": ${LEASE_S:-4}},
  "ledger": {"horizon_s": ${HORIZON_S:-600}},
  "stop_timeout_s": ${STOP_S:-20}
}
JSON
}

# start_router NAME: starts a router with $WORK/NAME.json and sets NAME_pid.
start_router() {
	"$BIN" router -f "$WORK/$1.json" >>"$WORK/$1.log" 2>&1 &
	eval "${1}_pid=$!"
	PIDS="$PIDS $!"
}

# wait_ready ADMIN_PORT
wait_ready() {
	for _ in $(seq 150); do
		curl -sf -o /dev/null "http://127.0.0.1:$1/readyz" && return 0
		sleep 0.1
	done
	fail "the router with admin port $1 is not ready"
}

ctl() {
	"$BIN" "$@" --store "http://127.0.0.1:$store_port"
}

# stop_router NAME: stops a router with SIGTERM and fails unless the router
# exits with 0.
stop_router() {
	eval "pid=\$${1}_pid"
	kill -TERM "$pid" 2>/dev/null
	wait "$pid" || fail "$1 exited with $? after SIGTERM"
}

# balance ACCOUNT: prints the remaining tokens.
balance() {
	ctl budget show "$1" --json | json 'd["balance"]'
}

spent() {
	ctl budget show "$1" --json | json 'd["spent"]'
}
