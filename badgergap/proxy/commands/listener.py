"""The second address: operators' calls, one line to a connection. What they mean is in `calls.py`.

Bounds: CALLERS connections at once, of which the one that has waited longest without a whole line gives way
to a new one; LINE_LIMIT bytes of a line; LINE_S for it to come; UNREAD_S for its answer to be taken. So
callers that say nothing, or half a call, never keep a good one out. Their descriptors are of the reserve.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Sequence
from typing import cast

from badgergap.proxy.commands.parsing import LINE_LIMIT, Call, CallError, answer_line
from badgergap.proxy.lifecycle.config import Address
from badgergap.proxy.downstream.client_connection import Downstream
from badgergap.proxy.pools import proxy_of
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.endpoints.registry import EndpointRegistryError

log = logging.getLogger(__name__)

CALLERS = 24
LINE_S = 2.0
UNREAD_S = 1.0
BACKLOG = 128
BY = "console"  # whose wish a ban is, for people


class Caller(asyncio.Protocol):
    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.transport: asyncio.Transport | None = None
        self.line = bytearray()
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self.desk.add(self)
        self.timer = self.desk.loop.call_later(LINE_S, self.answer, b"fail no line has come\n")

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # one line to a connection
        self.line += data[: LINE_LIMIT + 1 - len(self.line)]
        end = self.line.find(b"\n")
        if end >= 0:
            self.answer(self.desk.answer(bytes(self.line[:end])))
        elif len(self.line) > LINE_LIMIT:
            self.answer(b"fail the line is too long\n")

    def eof_received(self) -> bool:
        if self.answered:
            return False  # it has its answer and has closed
        self.answer(b"fail the line has no end\n")
        return True  # until the answer is sent

    def answer(self, line: bytes) -> None:
        self.answered = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.write(line)
            # Not closed before the caller has closed or had its time: unread bytes would make it a reset,
            # which can overtake the answer.
            self.transport.write_eof()
            self.timer = self.desk.loop.call_later(UNREAD_S, self.transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.desk.callers.pop(self, None)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Desk:
    """Listens for calls and carries them out."""

    def __init__(
        self,
        address: Address,
        loop: asyncio.AbstractEventLoop,
        carry_out: Callable[[Call], str],
        most: int = CALLERS,
    ) -> None:
        """`most`: callers at a time, of the reserve of descriptors."""
        self.address, self.loop, self.carry_out = address, loop, carry_out
        self.callers: dict[Caller, None] = {}  # the one that came first comes first
        self.most = most
        self.listener: asyncio.Server | None = None

    async def start(self) -> Address:
        self.listener = await self.loop.create_server(
            lambda: Caller(self), *self.address, backlog=BACKLOG, reuse_address=True
        )
        bound: Address = self.listener.sockets[0].getsockname()[:2]
        return bound

    def add(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > self.most:
            # Those that have had their answer only wait to be read.
            oldest = next((c for c in self.callers if c.answered), next(iter(self.callers)))
            del self.callers[oldest]
            oldest.abort()

    def answer(self, line: bytes) -> bytes:
        try:
            answer = answer_line(line, self.carry_out)
        except Exception:
            log.exception("failed on a call: %.300r", line)
            return b"fail a fault in the gateway, which is in its log\n"
        log.info("call %.300r: %s", line, answer.decode().rstrip())
        return answer

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            caller.abort()


class Hands:
    """What the calls do to a gateway: its listener, its hosts."""

    def __init__(self, proxies: Callable[[], Sequence[Proxy]], downstream: Downstream) -> None:
        """`proxies`: of all pools, the main one first."""
        self.proxies, self.downstream = proxies, downstream

    def carry_out(self, call: Call) -> str:
        """Raises CallError."""
        match call.word:
            case "PING":
                return self.state()
            case "LAMEDUCK":
                self.check_listens()
                return "sends clients away" if self.downstream.send_away() else "sends clients away already"
            case "REJOIN":
                self.check_listens()
                return "takes clients again" if self.downstream.rejoin() else "takes clients as before"
            case "DETACH":
                return self.by_hand(call.name, out=True)
            case _:
                return self.by_hand(call.name, out=False)

    def by_hand(self, name: str, out: bool) -> str:
        proxy = proxy_of(self.proxies(), name)
        was = name in proxy.directory.registry.drains
        try:
            if out:
                proxy.directory.drain(name, BY)
            else:
                proxy.directory.undrain(name, BY)
        except EndpointRegistryError as error:
            raise CallError(str(error)) from None
        if was is out:
            return f"{name} was {'out' if out else 'in'} already"
        return f"{name} is {'out' if out else 'back, cold'}"

    def check_listens(self) -> None:
        if self.downstream.config.listen is None:
            raise CallError("this gateway has no address for the platform's clients")

    def state(self) -> str:
        if self.downstream.draining:
            raise CallError("this process ends and takes no clients")
        main, *_ = proxies = self.proxies()
        drains, lame = main.directory.registry.drains, self.downstream.lame
        age = f" {lame.age(self.downstream.loop.time()):.0f} s ago" if lame else ""
        endpoint_count = sum(proxy.directory.registry.endpoint_count for proxy in proxies)
        words = [
            f"{main.config.name} (process {os.getpid()})",
            f"was told to send clients away{age}" if lame else "takes clients",
            f"{endpoint_count} hosts, {len(drains)} out by hand",
            f"{sum(proxy.open_requests for proxy in proxies)} requests open",
            f"{len(self.downstream.connections)} connections",
        ]
        return ", ".join(words)
