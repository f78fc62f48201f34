#!/usr/bin/env bash
# Everything a change must pass: style, types, tests. pytest comes last: its closing line is the verdict.
# Types, and the tests of groups of processes, which mostly wait, run beside the rest.
set -euo pipefail
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
told=$(mktemp -d)
trap 'rm -rf "$told"' EXIT
mypy > "$told/types" 2>&1 & types=$!
python -m pytest tests/agreement tests/copies > "$told/groups" 2>&1 & groups=$!
rest=0
python -m pytest --ignore=tests/agreement --ignore=tests/copies > "$told/rest" 2>&1 || rest=$?
wait "$types" || { cat "$told/types"; rest=1; }
wait "$groups" || rest=1
cat "$told/groups" "$told/rest"
exit "$rest"
