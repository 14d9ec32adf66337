#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases 6 to 10. They are Python 3 programs that use the
# standard library only, so nothing is compiled or fetched; python3 is among the packages of
# scripts/install-packages. The gateway is built as deploy/system.toml says, before or after this.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py [0-9]/run.py 10/run.py <<'PROGRAM'
import sys

if sys.version_info < (3, 9):
    sys.exit("review: Python 3.9 or later is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
# All modules that the programs import.
import asyncio, base64, json, os, random, signal, socket, struct, subprocess, tempfile, threading, time, urllib.parse
print(f"review: {len(sys.argv) - 1} programs checked")
PROGRAM
