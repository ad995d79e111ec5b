#!/usr/bin/env bash
# Runs an entry daemon whose grace ends while targets are at work.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_drain.py" "$1"
