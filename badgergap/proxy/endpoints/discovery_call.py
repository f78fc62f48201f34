"""One HTTP call to discovery, from its connection to its end."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING, cast

import httptools

from badgergap.proxy import unread_input
from badgergap.proxy.endpoints.message_splitter import MessageSplitter
from badgergap.proxy.tcp_transport import connect_tcp

if TYPE_CHECKING:
    from badgergap.proxy.endpoints.discovery import Discovery

log = logging.getLogger(__name__)

# A watch sends a line every 2 s. Guards against one that is open and says nothing more, as when the machine
# at its other end has vanished: the list would go stale unseen. A change counts as announced 6 s late at
# the latest, and by then the next call should have been answered.
SILENCE_S = 3.5
CONNECT_S = 1.0
MOVE_ANSWER_S = 1.5  # in place of SILENCE_S, until a service has answered its first watch after a move
LATE_S = 0.05
LINE_LIMIT = 8 * 1024 * 1024  # bytes, also of a message of several lines


class DiscoveryCall(asyncio.Protocol):
    """One call to discovery: a watch that goes on, or the full list once.

    It reports each message by `Discovery.on_list`, an unreadable one of a watch by `on_unreadable`, and its
    end, unless that was by `end`, by `on_call_failed`.
    """

    def __init__(self, discovery: Discovery, target: str, watch: bool) -> None:
        self.discovery = discovery
        self.address = discovery.address
        self.target = target
        self.watch = watch
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.messages = MessageSplitter()
        self.partial_bytes = 0  # bytes of a message that is not complete
        self.over = False
        self.silent = False  # it is over because nothing came for too long
        self.answered = False  # something has come: of the list, or that there is nothing new
        self.silence: asyncio.TimerHandle | None = None
        self.is_parsing = False
        self.is_late = False  # what is being read stood in the socket for longer than LATE_S
        self.task = discovery.loop.create_task(self.open())

    async def open(self) -> None:
        """Connect; `connection_made` sends the request."""
        try:
            async with asyncio.timeout(CONNECT_S):
                await connect_tcp(self.discovery.loop, self, *self.address)
        except (OSError, TimeoutError) as error:
            self.fail(f"no connection: {error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the GET, unless the call is over; from here on silence is timed."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        if self.over:
            self.transport.abort()
            return
        host, port = self.address
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self.restart_silence_timer()

    def restart_silence_timer(self) -> None:
        """Something has come, or is awaited from now on."""
        if self.silence is not None:
            self.silence.cancel()
        moved = self.watch and not self.answered and self.discovery.moving_until
        self.silence = self.discovery.loop.call_later(MOVE_ANSWER_S if moved else SILENCE_S, self.fall_silent)

    def fall_silent(self) -> None:
        """Fail the call because discovery has sent nothing for too long."""
        self.silent = True
        self.fail("silent for too long")

    def data_received(self, data: bytes) -> None:
        """Parse what discovery has sent; malformed input fails the call."""
        self.is_late = unread_input.data_age_s(self.transport) > LATE_S
        self.is_parsing = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"malformed answer: {error}")
        finally:
            self.is_parsing = False
        if not self.over:
            self.restart_silence_timer()  # with the limit that holds after this answer

    def read_unread(self) -> None:
        """Read what discovery has sent and the loop has not read yet."""
        if self.over or self.is_parsing or self.transport is None or self.transport.is_closing():
            return  # what is being parsed may lead here
        if unread_input.is_quiet(self.transport):
            return
        for data in unread_input.read_now(self.transport, LINE_LIMIT):
            self.data_received(data)
            if self.over:
                break

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: the call has failed, unless it is over."""
        self.fail("connection lost")

    def on_headers_complete(self) -> None:
        """Fail the call on any status but 200."""
        status = self.parser.get_status_code()
        if status != 200:
            self.fail(f"answered {status}")

    def on_body(self, body: bytes) -> None:
        """Take bytes of the body, and read each complete line of a watch; fails over LINE_LIMIT bytes."""
        if self.over:
            return
        self.buffer += body
        self.answered = True
        if len(self.buffer) + self.partial_bytes > LINE_LIMIT:
            self.fail("a line too long")
        elif self.watch:
            *lines, rest = self.buffer.split(b"\n")
            self.buffer = rest
            for line in lines:
                if not self.over:
                    self.read_line(bytes(line))

    def on_message_complete(self) -> None:
        """Read the list that was fetched; a watch that ends has failed."""
        if self.over:
            return
        if self.watch:
            self.fail("the watch ended")
        else:
            self.end()
            if not self.read(bytes(self.buffer)):
                self.discovery.on_call_failed(self)

    def read_line(self, line: bytes) -> None:
        """Read one line of a watch, and report a message that it completes or that is unreadable."""
        try:
            message = self.messages.add_line(line)
        except ValueError as error:
            log.warning("skipped what discovery said: %s", error)
            self.discovery.on_unreadable(self)
            message = None
        self.partial_bytes = sum(map(len, self.messages.lines))
        if message is not None and not self.read(message):
            self.discovery.on_unreadable(self)

    def read(self, text: bytes) -> bool:
        """Report a message. Returns whether it could be read."""
        try:
            self.discovery.on_list(json.loads(text), self)
        except (ValueError, RecursionError) as error:
            log.warning("skipped what discovery said: %s: %.200r", error, text)
            return False
        return True

    def end(self) -> None:
        """End without a report."""
        self.over = True
        if self.silence is not None:
            self.silence.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self, why: str) -> None:
        """End the call and report it as failed, once; `why` is logged."""
        if self.over:
            return
        self.end()
        log.info("discovery: %s", why)
        self.discovery.on_call_failed(self)
