"""Serves operator commands, one per connection, at the address for operators; protocol: `parsing.py`.

Limits: MAX_CONNECTIONS at a time, beyond which the oldest is closed, first of all those that have their
response; LINE_LIMIT bytes and LINE_TIMEOUT_S for a line; UNREAD_S for its response to be read. So clients
that send nothing or an incomplete command never block others. The descriptors count against the reserve.
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
DRAIN_OWNER = "console"  # the origin of these drains as shown to operators


class CommandConnection(asyncio.Protocol):
    """One connection from an operator: receives one command and sends one response."""

    def __init__(self, listener: CommandListener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.line = bytearray()
        self.is_answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection, which has LINE_TIMEOUT_S to send its line."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self.listener.add(self)
        self.timer = self.listener.loop.call_later(LINE_TIMEOUT_S, self.respond, b"fail no line has come\n")

    def data_received(self, data: bytes) -> None:
        """Collect the line and respond when it is complete or exceeds LINE_LIMIT bytes."""
        if self.is_answered:
            return  # one command per connection
        self.line += data[: LINE_LIMIT + 1 - len(self.line)]
        end = self.line.find(b"\n")
        if end >= 0:
            self.respond(self.listener.respond(bytes(self.line[:end])))
        elif len(self.line) > LINE_LIMIT:
            self.respond(b"fail the line is too long\n")

    def eof_received(self) -> bool:
        """Reject an incomplete line, after the operator has closed its write side."""
        if self.is_answered:
            return False  # the response was sent, so the transport may close
        self.respond(b"fail the line has no end\n")
        return True  # keeps the transport open until the response is sent

    def respond(self, line: bytes) -> None:
        """Send the response, and close the connection once the client has closed or after UNREAD_S."""
        self.is_answered = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.write(line)
            # Closing now could send a reset, if input is unread, which can overtake the response.
            self.transport.write_eof()
            self.timer = self.listener.loop.call_later(UNREAD_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer of the lost connection and remove the connection."""
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
        """Listen on `address` after `start`.

        `execute` returns the text of the response, or raises CommandError. `max_connections`: the limit on
        simultaneous connections. `events` counts failed system calls.
        """
        self.address, self.loop, self.execute = address, loop, execute
        self.connections: dict[CommandConnection, None] = {}  # oldest first
        self.max_connections = max_connections
        self.events = events if events is not None else EventLog()
        self.socket: socket.socket | None = None
        self.acceptor: Acceptor | None = None

    async def start(self) -> Address:
        """Listen, and return the bound address. Raises OSError."""
        self.socket = bind_socket(self.address, shared=False)
        self.socket.listen(BACKLOG)
        self.acceptor = Acceptor(
            self.loop, self.socket, lambda: CommandConnection(self), self.events, self.close_oldest
        )
        self.acceptor.start()
        bound: Address = self.socket.getsockname()[:2]
        return bound

    def add(self, connection: CommandConnection) -> None:
        """Add a new connection, and close the oldest if there are too many."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            self.close_oldest()

    def close_oldest(self) -> None:
        """Close the oldest connection that was sent its response, else the oldest, if there is one."""
        # These only wait for the client to read the response.
        answered = next((each for each in self.connections if each.is_answered), None)
        oldest = answered or next(iter(self.connections), None)
        if oldest is not None:
            del self.connections[oldest]
            oldest.abort()

    def respond(self, line: bytes) -> bytes:
        """Execute a command line and return the response line, with its line feed."""
        try:
            answer = respond(line, self.execute)
        except Exception:
            log.exception("operator command failed: %.300r", line)
            return b"fail a fault in the gateway, which is in its log\n"
        log.info("operator command %.300r: %s", line, answer.decode().rstrip())
        return answer

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.acceptor is not None:
            self.acceptor.stop()
        if self.socket is not None:
            self.socket.close()
        for connection in list(self.connections):
            connection.abort()


class CommandHandler:
    """Executes operator commands on a gateway's listener and endpoints."""

    def __init__(self, proxies: Callable[[], Sequence[Proxy]], downstream: Downstream) -> None:
        """`proxies` returns the proxies of all pools, the main one first."""
        self.proxies, self.downstream = proxies, downstream

    def execute(self, command: Command) -> str:
        """Execute a command and return the text of the response. Raises CommandError."""
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
        """Begin or end the manual drain of an endpoint. Raises CommandError."""
        proxy = proxy_for_endpoint(self.proxies(), name)
        was_drained = name in proxy.directory.registry.drains
        try:
            if drained:
                proxy.directory.drain(name, DRAIN_OWNER)
            else:
                proxy.directory.undrain(name, DRAIN_OWNER)
        except EndpointRegistryError as error:
            raise CommandError(str(error)) from None
        if was_drained is drained:
            return f"{name} was {'out' if drained else 'in'} already"
        return f"{name} is {'out' if drained else 'back, cold'}"

    def require_listener(self) -> None:
        """Raise CommandError if the gateway has no listener for the platform's clients."""
        if self.downstream.config.listen is None:
            raise CommandError("this gateway has no address for the platform's clients")

    def state(self) -> str:
        """Return the state of the gateway as one line. Raises CommandError during shutdown."""
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
