#!/usr/bin/env bash
# Runs an entry daemon against stand-ins of the platform's store and of targets.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_daemon.py" "$1"
