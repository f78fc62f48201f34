"""The platform's gateway: ROUTER_* variables and the file behind them, nothing else."""

from __future__ import annotations

import gc
import signal
import sys

early: list[int] = []  # SIGHUPs that came before the gateway could heed them


def main() -> int:
    """Run the gateway; return its exit code."""
    # Before all else, which takes its time: until somebody heeds it, the signal would end the process.
    signal.signal(signal.SIGHUP, lambda number, frame: early.append(number))

    # What the imports make stays: the collector would search it again and again.
    gc.disable()

    import os
    from functools import partial

    from badgergap.proxy.lifecycle.config import ConfigError, load_config, reload_config
    from badgergap.proxy.lifecycle.process import log_to_stderr, run

    log_to_stderr()
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"badgergap: {error}", file=sys.stderr)
        return 2
    make_hot_restart = None
    if config.console is not None:
        from badgergap.hot_restart.coordinator import coordinator_from_environment

        make_hot_restart = partial(coordinator_from_environment, os.environ)
    return run(
        config, partial(reload_config, os.environ), early_hangups=early, make_hot_restart=make_hot_restart
    )


if __name__ == "__main__":
    raise SystemExit(main())
