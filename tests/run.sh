#!/bin/sh
# Runs every test program of a build folder and prints a summary.  Tests listed
# in KNOWN-RED.txt ("red: PROGRAM FILTER") are printed and not run.
build=${1:-build}

# run PROGRAM FILTER: runs the tests that the filter does not match.  The leak
# checker crashes at exit ("Tracer caught signal 11") once GIO's TLS module is
# loaded, so a sanitizer build runs the TLS tests separately, without leak
# detection.
run() {
	case $1 in
	*/sanitize/tests/front_test)
		timeout 600 "$1" --gtest_brief=1 --gtest_filter="-*Tls*:$2" &&
		ASAN_OPTIONS=detect_leaks=0 timeout 600 "$1" \
			--gtest_brief=1 --gtest_filter="*Tls*-$2"
		;;
	*)
		timeout 600 "$1" --gtest_brief=1 --gtest_filter="-$2"
		;;
	esac
}

passed=0
failed=0
skipped=0
for program in "$build"/tests/*_test; do
	name=$(basename "$program")
	filter=$(sed -n "s/^red: $name //p" KNOWN-RED.txt 2>/dev/null |
		 paste -sd: -)
	if [ -n "$filter" ]; then
		echo "known red, not counted: $name $filter"
		skipped=$((skipped + 1))
	fi
	out=$(mktemp)
	if run "$program" "$filter" >"$out" 2>&1; then
		passed=$((passed + 1))
		echo "ok $name: $(grep PASSED "$out" | tail -1)"
	else
		failed=$((failed + 1))
		echo "FAILED $name"
		tail -c 6000 "$out"
	fi
	rm -f "$out"
done
echo "$passed passed, $failed failed, $skipped skipped"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
