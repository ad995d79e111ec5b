#!/usr/bin/env bash
# Runs entry daemons while the operator evacuates a failure domain.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_evacuation.py" "$1"
