"""Runs the gateway with the settings of the ROUTER_* environment variables and the file that they name."""

from __future__ import annotations

import gc
import signal
import sys

early_hangups: list[int] = []  # SIGHUPs received before the event loop handles them


def main() -> int:
    """Run the gateway; return its exit code."""
    # First of all, as the imports below take a while: an unhandled SIGHUP would end the process.
    signal.signal(signal.SIGHUP, lambda number, frame: early_hangups.append(number))

    # The objects that the imports create are never freed; collections would scan them in vain.
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
        from badgergap.hot_restart.environment import coordinator_from_environment

        make_hot_restart = partial(coordinator_from_environment, os.environ)
    return run(
        config,
        partial(reload_config, os.environ),
        early_hangups=early_hangups,
        make_hot_restart=make_hot_restart,
    )


if __name__ == "__main__":
    raise SystemExit(main())
