#!/bin/bash
# Runs the process tests in parallel and prints one line for each.  Those that
# measure the memory of a process (clients_*) follow one by one, since others
# would change what they measure.  Failures of tests listed in KNOWN-RED.txt
# ("red: process NAME") are printed but do not fail the run.
cd "$(dirname "$0")/../.." || exit 1
JOBS=5 # tests in parallel, each with up to ten processes
TIMEOUT_S=80 # for one test

run_case() {
	start=$(date +%s)
	if timeout -k 5 "$TIMEOUT_S" bash "tests/process/$1.sh" >"$2/$1" 2>&1; then
		echo "process $1 ok $(($(date +%s) - start))"
		sed -n "s/^known red/process $1: &/p" "$2/$1"
	elif grep -qx "red: process $1" KNOWN-RED.txt; then
		echo "process $1 known red, not counted"
	else
		echo "process $1 FAILED $(($(date +%s) - start))"
		{ grep '^FAILED' "$2/$1"; tail -c 4000 "$2/$1"; } >&2
	fi
}

if [ "${1:-}" = --case ]; then
	run_case "$2" "$3"
	exit 0
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
if [ $# -eq 0 ]; then
	set -- $(cd tests/process && ls ./*.sh | sed 's|^\./||; s|\.sh$||' |
		grep -vx 'run\|fleet')
fi
# run_cases JOBS: runs the tests that are named on stdin.
run_cases() {
	xargs -r -P "$1" -I{} bash tests/process/run.sh --case {} "$out"
}

{
	printf '%s\n' "$@" | grep -v '^clients_' | run_cases "$JOBS"
	printf '%s\n' "$@" | grep '^clients_' | run_cases 1
} | tee "$out/summary"
passed=$(grep -c '^process [a-z_]* ok' "$out/summary")
failed=$(grep -c '^process [a-z_]* FAILED' "$out/summary")
red=$(grep -c '^process [a-z_]* known red' "$out/summary")
echo "process: $passed passed, $failed failed, $red known red"
[ "$failed" -eq 0 ] && [ $((passed + red)) -eq $# ]
