#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python and need no compilation, only a check.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -m py_compile lib/stand_ins.py [1-5]/case.py
rm -rf lib/__pycache__ [1-5]/__pycache__
