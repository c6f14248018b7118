#!/bin/sh
# Checks what the scripts need.  The stand-ins are Python and are not compiled.
cd "$(dirname "$0")/.." || exit 2
for file in tests/soak/http1.py tests/soak/platform_store.py \
	tests/soak/relay.py review/[1-5]/*.py; do
	[ -f "$file" ] || continue
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
		"$file" || exit 1
done
