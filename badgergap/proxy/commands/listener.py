"""Serves operator commands at the second address, one line to a connection; `parsing.py` has the protocol.

Bounds: MAX_CONNECTIONS at once, of which the oldest without a complete line is closed for a new one;
LINE_LIMIT bytes of a line; LINE_TIMEOUT_S for it to come; UNREAD_S for its response to be taken. So clients
that send nothing, or half a command, never keep another out. Their descriptors belong to the reserve.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Sequence
from typing import cast

from badgergap.proxy.commands.parsing import LINE_LIMIT, Command, CommandError, respond
from badgergap.proxy.diagnostics import EventLog
from badgergap.proxy.downstream.acceptor import Acceptor
from badgergap.proxy.downstream.listener import Downstream, bind_socket
from badgergap.proxy.endpoints.registry import EndpointRegistryError
from badgergap.proxy.lifecycle.config import Address
from badgergap.proxy.pools import proxy_for_endpoint
from badgergap.proxy.proxy import Proxy

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 24
LINE_TIMEOUT_S = 2.0
UNREAD_S = 1.0
BACKLOG = 128
DRAIN_OWNER = "console"  # what operators read as the origin of such a drain


class CommandConnection(asyncio.Protocol):
    """One connection of an operator: one line, one response."""

    def __init__(self, listener: CommandListener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.line = bytearray()
        self.is_answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """An operator has connected: its line has LINE_TIMEOUT_S to come."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.listener.add(self)
        self.timer = self.listener.loop.call_later(LINE_TIMEOUT_S, self.respond, b"fail no line has come\n")

    def data_received(self, data: bytes) -> None:
        """Collect the line and respond to it once it is complete; one over LINE_LIMIT bytes fails."""
        if self.is_answered:
            return  # only one line to a connection
        self.line += data[: LINE_LIMIT + 1 - len(self.line)]
        end = self.line.find(b"\n")
        if end >= 0:
            self.respond(self.listener.respond(bytes(self.line[:end])))
        elif len(self.line) > LINE_LIMIT:
            self.respond(b"fail the line is too long\n")

    def eof_received(self) -> bool:
        """The operator has closed its end: a line that is incomplete is answered with a failure."""
        if self.is_answered:
            return False  # it has its response and has closed
        self.respond(b"fail the line has no end\n")
        return True  # until the response is sent

    def respond(self, line: bytes) -> None:
        """Send the response, and end the connection once it is read or UNREAD_S have passed."""
        self.is_answered = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.write(line)
            # Not closed before the client has closed or had its time: unread input would make the close a
            # reset, which can overtake the response.
            self.transport.write_eof()
            self.timer = self.listener.loop.call_later(UNREAD_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: stop its timer and no longer count it."""
        if self.timer is not None:
            self.timer.cancel()
        self.listener.connections.pop(self, None)

    def abort(self) -> None:
        """Close at once, without a response."""
        if self.transport is not None:
            self.transport.abort()


class CommandListener:
    """Listens for operator commands and executes them."""

    def __init__(
        self,
        address: Address,
        loop: asyncio.AbstractEventLoop,
        execute: Callable[[Command], str],
        max_connections: int = MAX_CONNECTIONS,
        events: EventLog | None = None,
    ) -> None:
        """`execute` returns what was done, or raises CommandError. `max_connections`: at a time.

        `events`: where calls of the system that fail are counted.
        """
        self.address, self.loop, self.execute = address, loop, execute
        self.connections: dict[CommandConnection, None] = {}  # oldest first
        self.max_connections = max_connections
        self.events = events if events is not None else EventLog()
        self.socket: socket.socket | None = None
        self.acceptor: Acceptor | None = None

    async def start(self) -> Address:
        """Listen; returns where. Raises OSError."""
        self.socket = bind_socket(self.address, shared=False)
        self.socket.listen(BACKLOG)
        self.acceptor = Acceptor(
            self.loop, self.socket, lambda: CommandConnection(self), self.events, self.close_oldest
        )
        self.acceptor.start()
        bound: Address = self.socket.getsockname()[:2]
        return bound

    def add(self, connection: CommandConnection) -> None:
        """Take a new connection, and close the oldest if there are too many."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            self.close_oldest()

    def close_oldest(self) -> None:
        """Close the oldest connection that has its response, or else the oldest; does nothing without any."""
        # Those that have their response only wait to be read.
        answered = next((each for each in self.connections if each.is_answered), None)
        oldest = answered or next(iter(self.connections), None)
        if oldest is not None:
            del self.connections[oldest]
            oldest.abort()

    def respond(self, line: bytes) -> bytes:
        """Execute a line and return its response, with a line feed."""
        try:
            answer = respond(line, self.execute)
        except Exception:
            log.exception("failed on a call: %.300r", line)
            return b"fail a fault in the gateway, which is in its log\n"
        log.info("call %.300r: %s", line, answer.decode().rstrip())
        return answer

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self.acceptor is not None:
            self.acceptor.stop()
        if self.socket is not None:
            self.socket.close()
        for connection in list(self.connections):
            connection.abort()


class CommandHandler:
    """Executes commands on a gateway: on its listener and its endpoints."""

    def __init__(self, proxies: Callable[[], Sequence[Proxy]], downstream: Downstream) -> None:
        """`proxies` returns those of all pools, the main one first."""
        self.proxies, self.downstream = proxies, downstream

    def execute(self, command: Command) -> str:
        """Return what was done. Raises CommandError."""
        match command.verb:
            case "PING":
                return self.state()
            case "LAMEDUCK":
                self.require_listener()
                return (
                    "sends clients away"
                    if self.downstream.enter_lame_duck()
                    else "sends clients away already"
                )
            case "REJOIN":
                self.require_listener()
                return (
                    "takes clients again" if self.downstream.leave_lame_duck() else "takes clients as before"
                )
            case "DETACH":
                return self.set_drained(command.endpoint_name, drained=True)
            case _:
                return self.set_drained(command.endpoint_name, drained=False)

    def set_drained(self, name: str, drained: bool) -> str:
        """Drain an endpoint by hand, or end that. Raises CommandError."""
        proxy = proxy_for_endpoint(self.proxies(), name)
        was = name in proxy.directory.registry.drains
        try:
            if drained:
                proxy.directory.drain(name, DRAIN_OWNER)
            else:
                proxy.directory.undrain(name, DRAIN_OWNER)
        except EndpointRegistryError as error:
            raise CommandError(str(error)) from None
        if was is drained:
            return f"{name} was {'out' if drained else 'in'} already"
        return f"{name} is {'out' if drained else 'back, cold'}"

    def require_listener(self) -> None:
        """Raises CommandError where the platform's clients have no listener."""
        if self.downstream.config.listen is None:
            raise CommandError("this gateway has no address for the platform's clients")

    def state(self) -> str:
        """Describe the gateway in one line. Raises CommandError once it shuts down."""
        if self.downstream.draining:
            raise CommandError("this process ends and takes no clients")
        main, *_ = proxies = self.proxies()
        drains, lame_duck = main.directory.registry.drains, self.downstream.lame_duck
        age = f" {lame_duck.age(self.downstream.loop.time()):.0f} s ago" if lame_duck else ""
        endpoint_count = sum(proxy.directory.registry.endpoint_count for proxy in proxies)
        parts = [
            f"{main.config.name} (process {os.getpid()})",
            f"was told to send clients away{age}" if lame_duck else "takes clients",
            f"{endpoint_count} hosts, {len(drains)} out by hand",
            f"{sum(proxy.open_requests for proxy in proxies)} requests open",
            f"{len(self.downstream.connections)} connections",
        ]
        return ", ".join(parts)
