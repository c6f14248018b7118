#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to 10 start. They are
# Python programs of the standard library, so that only their syntax is checked.
set -e
cd "$(dirname "$0")/.."
for file in tests/soak/http1.py tests/soak/platform_store.py review/[6-9]/*.py \
	review/10/*.py; do
	[ ! -e "$file" ] || python3 -B -c \
		'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
