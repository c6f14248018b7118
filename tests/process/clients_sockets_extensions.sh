#!/bin/bash
# Guards against a gateway whose sockets fill the memory of its machine with
# chunk extensions, which it reads slower than they arrive.
exec python3 "$(dirname "$0")/sockets.py" extensions
