#!/usr/bin/env bash
# Everything a change must pass: style, types, tests. pytest comes last: its closing line is the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
mypy
python -m pytest
