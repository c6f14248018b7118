#!/bin/bash
# Guards against requests to a zone that operators have evacuated, and against a
# zone that is not used again: a short run of the soak with fixed seeds under
# faults, and the seeds that failed before.
cd "$(dirname "$0")/../.." || exit 1
SEEDS=evacuated-1
FAILED_BEFORE=$(sed -n 's/^\(evacuated-[0-9][0-9]*\) .*/\1/p' tests/soak/seeds.txt |
	paste -sd, -)
exec python3 tests/soak/soak.py --binary "${BUILD:-build}/tanagertrestle" \
	--seeds "$SEEDS${FAILED_BEFORE:+,$FAILED_BEFORE}" --clients 24
