#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain Python of the standard library, so they are only compiled, to find mistakes.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*.py review/*/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
