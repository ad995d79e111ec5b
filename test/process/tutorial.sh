#!/usr/bin/env bash
# Guards against a command of docs/tutorial.md that fails or gives another
# output than the page says.
set -euo pipefail
here=$(dirname "$0")
exec python3 "$here/replay_tutorial.py" "$1" "$here/../../docs/tutorial.md"
