#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# bodies of legal size in chunks of one byte.
exec python3 "$(dirname "$0")/crowd.py" one_byte_chunks
