#!/usr/bin/env bash
# Runs entry daemons against a store that is away while entries of targets end.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_left.py" "$1"
