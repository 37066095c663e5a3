#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python of the standard library only,
# so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins.py ./*/case.py
