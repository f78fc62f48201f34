"""The platform's gateway: ROUTER_* variables and the file behind them, nothing else."""

from __future__ import annotations

import os
import sys
from functools import partial

from rosedeal.gateway.config import ConfigError, load_config, reload_config
from rosedeal.gateway.run import log_to_stderr, run


def main() -> int:
    log_to_stderr()
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"rosedeal: {error}", file=sys.stderr)
        return 2
    return run(config, partial(reload_config, os.environ))


if __name__ == "__main__":
    raise SystemExit(main())
