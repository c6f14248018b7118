#!/bin/bash
# Guards against a sound part of prompts that is held back in place of the one
# that crashes targets, because an instance cannot tell them apart by itself.
exec python3 "$(dirname "$0")/deadly_parts.py"
