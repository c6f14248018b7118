#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# chunked bodies far over the limit.
exec python3 "$(dirname "$0")/crowd.py" beyond_limit_chunked
