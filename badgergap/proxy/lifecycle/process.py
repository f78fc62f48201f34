"""The gateway process: start, signals, reloads and graceful shutdown of its components (`component.py`)."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Sequence

import uvloop

from badgergap.proxy.commands.listener import MAX_CONNECTIONS, CommandHandler, CommandListener
from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.lifecycle.component import (
    AsyncReload,
    Component,
    ConfigurationSource,
    Drainable,
    HotRestart,
    HotRestartFactory,
    PoolOwner,
    ReadConfig,
)
from badgergap.proxy.lifecycle.config import Config, ConfigError
from badgergap.proxy.limits import eviction
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import Observer

log = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class GatewayProcess:
    """The parts of one gateway; starts and closes them in order."""

    def __init__(
        self,
        config: Config,
        proxy: Proxy,
        downstream: Downstream,
        components: Sequence[Component],
        hot_restart: HotRestart | None,
    ) -> None:
        self.config = config
        self.proxy = proxy
        self.downstream = downstream
        self.components = components
        self.hot_restart = hot_restart

    async def start(self) -> Reloader:
        """Start all parts and return the reloader. Raises OSError."""
        if self.hot_restart is not None:
            self.hot_restart.join(self.proxy, self.downstream, self.components)
        for component in self.components:
            component.join(self.proxy)
        self.proxy.diagnostics.loop_monitor.start()
        await self.proxy.start()
        if self.hot_restart is not None:
            self.hot_restart.restore_learned_state()
            self.hot_restart.apply_changes()
        reloader = Reloader(self.proxy, self.downstream, self.components)
        for component in self.components:
            if isinstance(component, ConfigurationSource):
                component.set_reload(reloader.reload)
        if self.config.listen is not None:
            inherited = self.hot_restart.listener if self.hot_restart is not None else None
            self.proxy.client_address = await self.downstream.start(inherited)
            log.info("%s listens on %s:%d", self.config.name, *self.proxy.client_address)
        for component in self.components:
            await component.start()
        if self.hot_restart is not None:
            await self.hot_restart.take_clients()
        return reloader

    async def drain(self) -> None:
        """Shut down gracefully: return when all accepted requests are answered.

        An error of one part is logged and does not prevent the others from answering their requests.
        """
        if self.hot_restart is not None:
            self.hot_restart.on_shutdown()
        drains = [component.drain() for component in self.components if isinstance(component, Drainable)]
        if self.config.listen is not None:
            drains.append(self.downstream.drain())
        for error in await asyncio.gather(*drains, return_exceptions=True):
            if error is not None:
                log.error("graceful shutdown failed", exc_info=error)

    async def close(self) -> None:
        """Close all parts, in the reverse order of their start."""
        for component in reversed(self.components):
            await component.close()
        if self.hot_restart is not None:
            await self.hot_restart.close()
        self.proxy.diagnostics.events.write_summary()
        self.proxy.close()


async def serve(
    config: Config,
    read_again: ReadConfig,
    components: Sequence[Component] = (),
    observer: Observer | None = None,
    early_hangups: Sequence[int] = (),
    make_hot_restart: HotRestartFactory | None = None,
) -> None:
    """Run until SIGTERM or SIGINT, and then until all accepted requests are answered.

    `early_hangups`: SIGHUPs received before the event loop ran. Raises OSError if an address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    stopped, hung_up = watch_signals(loop)
    if early_hangups:
        hung_up.set()
    hot_restart = make_hot_restart(config) if make_hot_restart is not None else None
    inherited = await hot_restart.inherit() if hot_restart is not None else None
    proxy = Proxy(config if inherited is None else inherited.configure(config), loop, observer)
    if inherited is not None:
        proxy.clock.offset_ns = inherited.clock_offset_ns
    downstream = Downstream(config, proxy, loop)
    gateway = GatewayProcess(config, proxy, downstream, components, hot_restart)
    reloader = await gateway.start()
    commands = await start_command_listener(config, proxy, downstream, components)
    reloads = loop.create_task(reload_on_signal(reloader, hung_up, read_again))
    await stopped.wait()
    ignore_signals(loop)
    reloads.cancel()  # a process that shuts down applies no configuration
    await gateway.drain()
    if commands is not None:
        commands.close()
    await gateway.close()


def watch_signals(loop: asyncio.AbstractEventLoop) -> tuple[asyncio.Event, asyncio.Event]:
    """Return two events: one is set by SIGTERM and SIGINT, the other by SIGHUP."""
    stopped, hung_up = asyncio.Event(), asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, hung_up.set)
    return stopped, hung_up


async def start_command_listener(
    config: Config, proxy: Proxy, downstream: Downstream, components: Sequence[Component]
) -> CommandListener | None:
    """Listen for operator commands, if an address is configured for them.

    Started last, as a response to PING states that clients are served.
    """
    if config.console is None:
        return None

    def proxies() -> list[Proxy]:
        owners = [component for component in components if isinstance(component, PoolOwner)]
        pool_proxies = [each for owner in owners for each in owner.proxies().values()]
        return list(dict.fromkeys((proxy, *pool_proxies)))

    max_connections = min(MAX_CONNECTIONS, eviction.reserve(config.sockets) // 3)
    handler = CommandHandler(proxies, downstream)
    listener = CommandListener(
        config.console, proxy.loop, handler.execute, max_connections, proxy.diagnostics.events
    )
    log.info("operators call at %s:%d", *await listener.start())
    return listener


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore all handled signals from here on; the process ends by itself.

    Closing the event loop restores the default handlers: a signal after that would end the process as if it
    had crashed.
    """
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


class Reloader:
    """Applies new configurations to the running gateway, one at a time."""

    def __init__(self, proxy: Proxy, downstream: Downstream, components: Sequence[Component]) -> None:
        self.proxy, self.downstream, self.components = proxy, downstream, components
        self.lock = asyncio.Lock()

    async def reload(self, read: ReadConfig) -> None:
        """Read a configuration and apply it. Raises ConfigError without having changed anything."""
        async with self.lock:
            config = await asyncio.to_thread(read, self.proxy.latest_config)
            self.proxy.reload(config)
            if config.grows:
                self.downstream.reconfigure(config)
            for component in self.components:
                component.reload(config)
            for component in self.components:
                if isinstance(component, AsyncReload):
                    await component.wait_reloaded()


async def reload_on_signal(reloader: Reloader, hung_up: asyncio.Event, read_again: ReadConfig) -> None:
    """Reload the configuration on each SIGHUP; an invalid configuration has no effect."""
    while True:
        await hung_up.wait()
        hung_up.clear()
        try:
            await reloader.reload(read_again)
        except ConfigError as error:
            log.error("the old configuration stays: %s", error)
        else:
            log.info("the configuration was read again")


def run(
    config: Config,
    read_again: ReadConfig,
    components: Sequence[Component] = (),
    observer: Observer | None = None,
    early_hangups: Sequence[int] = (),
    make_hot_restart: HotRestartFactory | None = None,
) -> int:
    """Serve until a signal stops the process, and return the exit code.

    `early_hangups`: SIGHUPs received during the start.
    """
    gc.freeze()  # objects created by imports are never garbage
    gc.enable()  # `__main__` disables it during the imports
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, read_again, components, observer, early_hangups, make_hot_restart))
    except OSError as error:
        why = error if error.errno is not None else error.strerror  # this package's own errors have no errno
        print(f"badgergap: cannot start: {why}", file=sys.stderr)
        return 1
    return 0


def log_to_stderr() -> None:
    """Write the log to stderr, with timestamps."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
