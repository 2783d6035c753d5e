#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python of the standard library and need no build beyond
# that; the project's own program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/carobsill-review-pycache"
python3 -m py_compile stand_in/world.py ./[0-9]*/play.py
