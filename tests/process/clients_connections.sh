#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# more connections than the process has descriptors.
exec python3 "$(dirname "$0")/crowd.py" connections
