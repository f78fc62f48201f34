"""The gateway's process: start, signals, exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from rosedeal.gateway.config import Config, ConfigError, load_config, reload_config
from rosedeal.gateway.downstream import Downstream
from rosedeal.gateway.proxy import Proxy

log = logging.getLogger(__name__)

ENDING = (signal.SIGTERM, signal.SIGINT)


async def serve(config: Config) -> None:
    """Run until told to end, and then until everything taken is answered."""
    loop = asyncio.get_running_loop()
    told, hung_up = asyncio.Event(), asyncio.Event()
    for number in ENDING:
        loop.add_signal_handler(number, told.set)
    loop.add_signal_handler(signal.SIGHUP, hung_up.set)
    proxy = Proxy(config, loop)
    downstream = Downstream(config, proxy, loop)
    await proxy.start()
    log.info("%s listens on %s:%d", config.name, *await downstream.start())
    reloads = loop.create_task(reload(proxy, hung_up))
    await told.wait()
    ignore_signals(loop)
    reloads.cancel()  # a process that ends follows no configuration
    await downstream.drain()
    proxy.close()


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """From here on the process ends by itself.

    Guards against a signal after the loop has closed and handed them back: it would end as a crash.
    """
    for number in (*ENDING, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def reload(proxy: Proxy, hung_up: asyncio.Event) -> None:
    """Read the file again at each SIGHUP, beside the serving loop; one that is bad changes nothing."""
    while True:
        await hung_up.wait()
        hung_up.clear()
        try:
            config = await asyncio.to_thread(reload_config, os.environ, proxy.filed)
        except ConfigError as error:
            log.error("the old configuration stays: %s", error)
        else:
            proxy.take_over(config)
            log.info("the configuration was read again")


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"rosedeal: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what the imports made is never garbage
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config))
    except OSError as error:
        print(f"rosedeal: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
