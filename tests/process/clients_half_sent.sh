#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# callers that send half a body and then a byte at a time.
exec python3 "$(dirname "$0")/crowd.py" half_sent
