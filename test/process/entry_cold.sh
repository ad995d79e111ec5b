#!/usr/bin/env bash
# Runs entry daemons before cold targets.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_cold.py" "$1"
