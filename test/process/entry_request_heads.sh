#!/usr/bin/env bash
# Runs an entry daemon under crowds of callers: see entry_request_memory.py.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_request_memory.py" "$1" heads
