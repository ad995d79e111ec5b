#!/usr/bin/env bash
# Runs an entry daemon before a target whose answers are broken.
set -euo pipefail
exec python3 "$(dirname "$0")/entry_broken_answers.py" "$1"
