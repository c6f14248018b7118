#!/bin/bash
# Guards against a gateway whose sockets fill the memory of its machine with
# series of answers, which their callers read fast and then leave unread.
exec python3 "$(dirname "$0")/sockets.py" unread_series
