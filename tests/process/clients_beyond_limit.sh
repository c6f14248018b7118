#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# bodies that announce far more than the limit.
exec python3 "$(dirname "$0")/crowd.py" beyond_limit
