#!/bin/bash
# Guards against a gateway whose memory or descriptors are exhausted by
# bodies of legal size in small pieces that stop short of their end.
exec python3 "$(dirname "$0")/crowd.py" small_pieces
