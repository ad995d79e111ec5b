#!/usr/bin/env bash
# As entry_evacuation, with a VM that the configuration service turns away.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_evacuation.py" "$1" --turned-away
