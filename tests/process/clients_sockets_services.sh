#!/bin/bash
# Guards against a gateway whose sockets fill the memory of its machine with
# what was sent to the listeners for readiness, metrics and peers.
exec python3 "$(dirname "$0")/sockets.py" services
