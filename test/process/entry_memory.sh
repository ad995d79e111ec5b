#!/usr/bin/env bash
# Runs an entry daemon before targets that send bytes without end.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_memory.py" "$1"
