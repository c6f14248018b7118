#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# pipelined requests whose answers are not read.
exec python3 "$(dirname "$0")/crowd.py" pipelined
