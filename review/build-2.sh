#!/usr/bin/env bash
# Builds what the scripts of the review cases 6 to 10 start, after the build of the deploy file. They need no
# package: the stand-ins are Python of the standard library, run by the interpreter of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/rig2 review/6 review/7 review/8 review/9 review/10
