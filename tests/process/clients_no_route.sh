#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# large bodies at a path without a route.
exec python3 "$(dirname "$0")/crowd.py" no_route
