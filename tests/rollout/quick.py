"""`badgergap` with blocks of one second instead of ten for the analysis of rollouts, to shorten tests."""

from __future__ import annotations

import sys

from badgergap.cli.main import main
from badgergap.rollout import analysis, commands, service

for module in (commands, analysis, service):
    module.BLOCK_S = 1  # type: ignore[attr-defined]

if __name__ == "__main__":
    sys.exit(main())
