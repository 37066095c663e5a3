#!/bin/bash
# Builds what the scripts of review/11 to review/15 start besides the deploy file's
# programs: the stand-ins of standins_3.py, which need only Python's standard library.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/standins_3.py
