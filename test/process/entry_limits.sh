#!/usr/bin/env bash
# Runs entry daemons before targets that name limits.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_limits.py" "$1"
