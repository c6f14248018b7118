#!/bin/bash
# Guards against tokens that are taken twice when the store comes back from a
# copy while responses are lost: a seed of the soak that has failed.
cd "$(dirname "$0")/../.." || exit 1
exec python3 tests/soak/soak.py --binary "${BUILD:-build}/tanagertrestle" \
	--seeds restored-2 --seconds 14 --clients 30 --faults 5
