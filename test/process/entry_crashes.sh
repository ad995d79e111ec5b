#!/usr/bin/env bash
# Runs entry daemons before targets that crash.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_crashes.py" "$1"
