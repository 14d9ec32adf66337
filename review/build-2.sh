#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases 6 to 10. They are Python 3 programs that use the
# standard library only; python3 is among the packages of scripts/install-packages. The gateway is
# built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")"
files=(lib-2/stand_ins.py lib-2/memory_case.py)
for number in 6 7 8 9 10; do
  [ ! -e "$number/run.py" ] || files+=("$number/run.py")
done
for file in "${files[@]}"; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -x ../target/dragonflystair ] || echo "review: target/dragonflystair is missing; build it first"
echo "review: ${#files[@]} programs checked"
