#!/usr/bin/env bash
# Everything a change must pass: style, types, tests. pytest comes last: its closing lines are the verdict.
# Types, and three parts of the tests, which mostly wait for processes and sockets, run beside the rest.
set -euo pipefail
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
told=$(mktemp -d)
trap 'rm -rf "$told"' EXIT
mypy > "$told/types" 2>&1 & types=$!
beside=(tests/etcd tests/h3 tests/hot_restart tests/console tests/appliance tests/proxy/limits tests/proxy/lifecycle)
python -m pytest tests/consensus tests/replication > "$told/groups" 2>&1 & groups=$!
python -m pytest "${beside[@]}" > "$told/beside" 2>&1 & others=$!
python -m pytest tests/faults > "$told/faults" 2>&1 & faults=$!
rest=0
python -m pytest --ignore=tests/consensus --ignore=tests/replication --ignore=tests/faults "${beside[@]/#/--ignore=}" > "$told/rest" 2>&1 || rest=$?
wait "$types" || { cat "$told/types"; rest=1; }
wait "$groups" || rest=1
wait "$others" || rest=1
wait "$faults" || rest=1
cat "$told/groups" "$told/beside" "$told/faults" "$told/rest"
exit "$rest"
