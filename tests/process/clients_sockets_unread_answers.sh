#!/bin/bash
# Guards against a gateway whose sockets fill the memory of its machine with
# answers that their callers have stopped to read.
exec python3 "$(dirname "$0")/sockets.py" unread_answers
