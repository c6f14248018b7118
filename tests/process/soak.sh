#!/bin/bash
# Guards the guarantees of the gateways under external faults: a short run of
# the soak with fixed seeds and the seeds that failed before.
cd "$(dirname "$0")/../.." || exit 1
SEEDS=1,2
FAILED_BEFORE=$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak/seeds.txt |
	paste -sd, -)
exec python3 tests/soak/soak.py --binary "${BUILD:-build}/tanagertrestle" \
	--seeds "$SEEDS${FAILED_BEFORE:+,$FAILED_BEFORE}" --seconds 8 \
	--clients 12 --faults 6
