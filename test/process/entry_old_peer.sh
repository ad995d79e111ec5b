#!/usr/bin/env bash
# Runs an entry daemon beside a stand-in for a VM of release f1be9e1.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_old_peer.py" "$1"
