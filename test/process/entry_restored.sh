#!/usr/bin/env bash
# Runs entry daemons against a store that comes back from an older copy.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_restored.py" "$1"
