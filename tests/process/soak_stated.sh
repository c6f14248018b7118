#!/bin/bash
# Guards against requests to targets that state that they leave, want a pause or
# take few requests: a short run of the soak with fixed seeds under faults, and
# the seeds that failed before.
cd "$(dirname "$0")/../.." || exit 1
SEEDS=stated-3
FAILED_BEFORE=$(sed -n 's/^\(stated-[0-9][0-9]*\) .*/\1/p' tests/soak/seeds.txt |
	paste -sd, -)
exec python3 tests/soak/soak.py --binary "${BUILD:-build}/tanagertrestle" \
	--seeds "$SEEDS${FAILED_BEFORE:+,$FAILED_BEFORE}" --clients 40
