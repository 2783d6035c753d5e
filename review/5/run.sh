#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec python3 play.py
