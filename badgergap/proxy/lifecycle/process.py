"""One gateway as a process: start, signals, the end. Rooms beside the core are let in by one protocol."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any, Protocol, runtime_checkable

import uvloop

from badgergap.proxy.limits import eviction
from badgergap.proxy.lifecycle.config import Config, ConfigError
from badgergap.proxy.commands.listener import CALLERS, Desk, Hands
from badgergap.proxy.downstream.client_connection import Downstream
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.requests import Observer

log = logging.getLogger(__name__)

ENDING = (signal.SIGTERM, signal.SIGINT)

# At SIGHUP, off the loop: the configuration as it is now, given the one read last. Raises ConfigError.
ReadAgain = Callable[[Config], Config]


class Room(Protocol):
    """Something that lives beside the core in its process: a console's socket, a further source of hosts."""

    def join(self, proxy: Proxy) -> None:
        """Before anything has started: add sources, restore what was kept."""

    async def start(self) -> None:
        """The gateway listens. An OSError ends the process with exit code 1."""

    def reload(self, config: Config) -> None:
        """The configuration was read again, and the core has taken it over."""

    async def close(self) -> None:
        """All requests are answered; the process is about to end."""


@runtime_checkable
class Pooled(Protocol):
    """A room that divides the hosts among pools."""

    def proxies(self) -> Mapping[str, Proxy]:
        """Of all pools, the main one among them; empty before it has started."""


# Has the configuration read by this and taken over by all; returns once that is so. Raises ConfigError.
Again = Callable[[ReadAgain], Awaitable[None]]


@runtime_checkable
class Steering(Protocol):
    """A room that brings configurations of its own, beside those of SIGHUP."""

    def steers(self, again: Again) -> None:
        """Before it is started."""


@runtime_checkable
class Following(Protocol):
    """A room that needs a while to follow a new configuration."""

    async def followed(self) -> None:
        """Returns once it does."""


@runtime_checkable
class Taking(Protocol):
    """A room that takes requests itself."""

    async def drain(self) -> None:
        """The process was told to end: returns once all that the room has taken is answered."""


class Inherited(Protocol):
    """What a process hands over that a gateway begins with."""

    @property
    def known(self) -> dict[str, Any]:
        """The list of hosts, as `Config.known`."""

    @property
    def offset_ns(self) -> int:
        """Of its clock against the monotonic one."""


class Succession(Protocol):
    """What takes over from another process of this gateway, and gives over to the next."""

    listener: socket.socket | None  # of clients, handed over

    async def inherit(self) -> Inherited | None:
        """What the process that serves hands over, or None where there is none."""

    def join(self, proxy: Proxy, downstream: Downstream, rooms: Sequence[Room]) -> None:
        """Before anything has started."""

    def teach(self) -> None:
        """The hosts are listed, as far as they were handed over."""

    def take(self) -> None:
        """Clients are taken here from now on."""

    def end(self) -> None:
        """This process was told to end."""

    async def close(self) -> None:
        """All requests are answered."""


# Where there can be one. Called on the loop.
Succeed = Callable[[Config], Succession | None]


async def serve(
    config: Config,
    read_again: ReadAgain,
    rooms: Sequence[Room] = (),
    observer: Observer | None = None,
    early: Sequence[int] = (),
    succeed: Succeed | None = None,
) -> None:
    """Run until told to end, and then until everything taken is answered. `early`: SIGHUPs before it."""
    loop = asyncio.get_running_loop()
    told, hung_up = asyncio.Event(), asyncio.Event()
    for number in ENDING:
        loop.add_signal_handler(number, told.set)
    loop.add_signal_handler(signal.SIGHUP, hung_up.set)
    if early:
        hung_up.set()
    succession = succeed(config) if succeed is not None else None
    will = await succession.inherit() if succession is not None else None
    proxy = Proxy(config if will is None else replace(config, known=will.known), loop, observer)
    if will is not None:
        proxy.clock.offset_ns = will.offset_ns
    downstream = Downstream(config, proxy, loop)
    if succession is not None:
        succession.join(proxy, downstream, rooms)
    for room in rooms:
        room.join(proxy)
    await proxy.start()
    if succession is not None:
        succession.teach()
    reloader = Reloader(proxy, downstream, rooms)
    for room in rooms:
        if isinstance(room, Steering):
            room.steers(reloader.again)
    if config.listen is not None:
        proxy.client_address = await downstream.start(succession.listener if succession is not None else None)
        log.info("%s listens on %s:%d", config.name, *proxy.client_address)
    for room in rooms:
        await room.start()
    if succession is not None:
        succession.take()
    desk = await open_desk(config, proxy, downstream, rooms)
    reloads = loop.create_task(reload(reloader, hung_up, read_again))
    await told.wait()
    ignore_signals(loop)
    reloads.cancel()  # a process that ends follows no configuration
    if succession is not None:
        succession.end()
    # A room that fails must not keep the others from answering what they have taken.
    ends = [room.drain() for room in rooms if isinstance(room, Taking)]
    if config.listen is not None:
        ends.append(downstream.drain())
    for failed in await asyncio.gather(*ends, return_exceptions=True):
        if failed is not None:
            log.error("the end was not as planned", exc_info=failed)
    if desk is not None:
        desk.close()
    for room in reversed(rooms):
        await room.close()
    if succession is not None:
        await succession.close()
    proxy.close()


async def open_desk(
    config: Config, proxy: Proxy, downstream: Downstream, rooms: Sequence[Room]
) -> Desk | None:
    """The second address, once clients are taken: to a call for a sign of life it says so."""
    if config.console is None:
        return None

    def proxies() -> list[Proxy]:
        further = [p for room in rooms if isinstance(room, Pooled) for p in room.proxies().values()]
        return list(dict.fromkeys((proxy, *further)))

    most = min(CALLERS, eviction.reserve(config.sockets) // 3)
    desk = Desk(config.console, proxy.loop, Hands(proxies, downstream).carry_out, most)
    log.info("operators call at %s:%d", *await desk.start())
    return desk


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """From here on the process ends by itself.

    Guards against a signal after the loop has closed and handed them back: it would end as a crash.
    """
    for number in (*ENDING, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


class Reloader:
    """Has one new configuration after the other taken over, beside the serving loop."""

    def __init__(self, proxy: Proxy, downstream: Downstream, rooms: Sequence[Room]) -> None:
        self.proxy, self.downstream, self.rooms = proxy, downstream, rooms
        self.turn = asyncio.Lock()

    async def again(self, read: ReadAgain) -> None:
        """Raises ConfigError, and then nothing has changed."""
        async with self.turn:
            config = await asyncio.to_thread(read, self.proxy.latest_config)
            self.proxy.reload(config)
            if config.grows:
                self.downstream.follow(config)
            for room in self.rooms:
                room.reload(config)
            for room in self.rooms:
                if isinstance(room, Following):
                    await room.followed()


async def reload(reloader: Reloader, hung_up: asyncio.Event, read_again: ReadAgain) -> None:
    """Read the file again at each SIGHUP; one that is bad changes nothing."""
    while True:
        await hung_up.wait()
        hung_up.clear()
        try:
            await reloader.again(read_again)
        except ConfigError as error:
            log.error("the old configuration stays: %s", error)
        else:
            log.info("the configuration was read again")


def run(
    config: Config,
    read_again: ReadAgain,
    rooms: Sequence[Room] = (),
    observer: Observer | None = None,
    hung_up: Sequence[int] = (),
    succeed: Succeed | None = None,
) -> int:
    """Serve until told to end; returns the exit code. `hung_up`: SIGHUPs that came while it started."""
    gc.freeze()  # what the imports made is never garbage
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, read_again, rooms, observer, hung_up, succeed))
    except OSError as error:
        why = error if error.errno is not None else error.strerror  # of our own there is no number
        print(f"badgergap: cannot start: {why}", file=sys.stderr)
        return 1
    return 0


def log_to_stderr() -> None:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
