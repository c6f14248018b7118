#!/bin/bash
# Guards against a gateway whose sockets fill the memory of its machine with
# unread answers of targets while it does not run.
exec python3 "$(dirname "$0")/sockets.py" answers
