#!/bin/sh
# Runs the property tests of every module and prints the lines in which they
# report the checked guarantees.
build=${1:-build}
status=0
out=$(mktemp)
for source in tests/*_prove.cc; do
	program=$build/tests/$(basename "$source" _prove.cc)_test
	"$program" --gtest_filter='Prove*' --gtest_brief=1 >"$out" 2>&1 ||
		{ status=1; echo "FAILED $program"; tail -40 "$out"; }
	grep '^promise ' "$out"
done
rm -f "$out"
exit $status
