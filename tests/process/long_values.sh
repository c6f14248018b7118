#!/bin/bash
# Guards against a configuration that is never applied, so that a key that it
# takes away still runs, and against requests that run and get no answer,
# because a name, host, path, key or id is longer than a buffer.
exec python3 "$(dirname "$0")/long_values.py"
