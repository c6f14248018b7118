#!/bin/bash
# Guards against a gateway whose sockets fill the memory of its machine with
# what was sent on connections that were not accepted yet.
exec python3 "$(dirname "$0")/sockets.py" waiting
