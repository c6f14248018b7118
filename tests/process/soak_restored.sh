#!/bin/bash
# Guards against a configuration that is lost and tokens that are taken twice
# when the store comes back from a copy: a short run of the soak with fixed
# seeds, and the seeds that failed before.
cd "$(dirname "$0")/../.." || exit 1
SEEDS=restored-1,restored-3
FAILED_BEFORE=$(sed -n 's/^\(restored-[0-9][0-9]*\) .*/\1/p' tests/soak/seeds.txt |
	paste -sd, -)
exec python3 tests/soak/soak.py --binary "${BUILD:-build}/tanagertrestle" \
	--seeds "$SEEDS${FAILED_BEFORE:+,$FAILED_BEFORE}" --seconds 14 \
	--clients 30 --faults 5
