#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# pipelined requests behind one that waits for its target.
exec python3 "$(dirname "$0")/crowd.py" pipelined_waiting
