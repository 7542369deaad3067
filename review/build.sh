#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library; nothing is built. Checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys, tomllib; sys.path.insert(0, "standins"); import standins'
