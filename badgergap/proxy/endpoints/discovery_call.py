"""One HTTP call to service discovery, from connecting to its end."""

from __future__ import annotations

import asyncio
import json
import logging
from enum import StrEnum
from typing import TYPE_CHECKING, cast

import httptools

from badgergap.proxy import unread_input
from badgergap.proxy.diagnostics import EventKind
from badgergap.proxy.endpoints.message_splitter import MessageSplitter
from badgergap.proxy.tcp_transport import connect_tcp

if TYPE_CHECKING:
    from badgergap.proxy.endpoints.discovery import Discovery

log = logging.getLogger(__name__)

# A change counts as announced 6 s after discovery has it, whatever became of the calls until then. A call
# that sends nothing for one of these times is not given up, since its answer may be on its way, but another
# is made beside it: of three calls in a row, two may get lost.
ANNOUNCED_S = 6.0
ANSWER_S = ANNOUNCED_S / 3
MOVE_ANSWER_S = 1.5  # after a move, where changes count as announced within 4 s
SILENCE_S = 2.5  # of an accepted watch, which sends a line every 2 s
PARTIAL_S = 1.0  # of one that has sent a part of a message
GIVE_UP_S = ANNOUNCED_S  # silence after which a call ends
LINE_END_S = 0.02  # wait for the line end behind a complete message
LATE_S = 0.05
LINE_LIMIT = 8 * 1024 * 1024  # bytes, also for a message of several lines


class CallReason(StrEnum):
    """Why a call is made, for the log."""

    POLL = "poll"  # requested by the balancer, or the start of a pushed list
    MOVE = "move"  # discovery has another address
    RETRY = "retry"  # the call before has failed
    SILENCE = "silence"  # the call before has sent nothing for too long, and stays open
    UNREADABLE = "unreadable"  # a message could not be read


class DiscoveryCall(asyncio.Protocol):
    """One call to discovery: a continuous watch, or one fetch of the full list.

    It calls `Discovery.on_list` for each message, `on_unreadable` for an unreadable one of a watch, and
    `on_call_failed` at its end, unless that was by `end`.
    """

    def __init__(self, discovery: Discovery, target: str, reason: CallReason, watch: bool) -> None:
        self.discovery = discovery
        self.number = next(discovery.call_numbers)  # for the log
        self.generation = discovery.generation
        self.began_at = self.heard_at = discovery.loop.time()  # heard_at: when data was last received
        self.address = discovery.address
        self.target = target
        self.watch = watch
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.fetched = bytearray()  # a list that is fetched, as far as it was received
        self.messages = MessageSplitter()  # of a watch
        self.ended = False
        self.connecting = True
        self.is_broken = False  # discovery has closed the connection, as `read_unread` has seen
        self.accepted = False  # the head of a response was received
        self.answered = False  # body data was received: part of a list, or a keep-alive line
        self.silence_timer: asyncio.TimerHandle | None = None
        self.line_end_timer: asyncio.TimerHandle | None = None
        self.is_parsing = False
        self.data_age_s = 0.0  # how long the data being read was in the socket
        discovery.events.inform(
            EventKind.DISCOVERY_CALL,
            reason,
            "discovery call %d: %s%s at %s:%d (%s)",
            self.number,
            "watch " if watch else "",
            target,
            *self.address,
            reason,
        )
        self.task = discovery.loop.create_task(self.open())

    async def open(self) -> None:
        """Connect; `connection_made` sends the request."""
        self.restart_silence_timer()
        try:
            await connect_tcp(self.discovery.loop, self, *self.address)
        except OSError as error:
            self.connecting = False
            self.fail(f"no connection: {error}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the GET request, unless the call has ended."""
        self.connecting = False
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        if self.ended:
            self.transport.abort()
            return
        host, port = self.address
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    @property
    def silence_limit_s(self) -> float:
        """How long it may send nothing before another call is made beside it."""
        if not self.answered and self.watch and self.discovery.moving_until:
            return MOVE_ANSWER_S
        if not self.accepted:
            return min(ANSWER_S, SILENCE_S)
        return min(PARTIAL_S, SILENCE_S) if self.has_incomplete_message else SILENCE_S

    @property
    def is_silent(self) -> bool:
        """Whether it has sent nothing for longer than it may."""
        return self.discovery.loop.time() - self.heard_at >= self.silence_limit_s

    @property
    def is_open(self) -> bool:
        """Whether it has been answered and its connection has not been closed, as `read_unread` has seen."""
        if not self.answered or self.ended or self.transport is None or self.transport.is_closing():
            return False
        return not self.is_broken and not self.has_incomplete_message

    @property
    def has_incomplete_message(self) -> bool:
        """Whether a message has begun whose rest is missing."""
        return bool(self.fetched) or self.messages.size > 0

    def restart_silence_timer(self) -> None:
        """Restart the timer that acts when discovery sends nothing."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = self.discovery.loop.call_later(self.silence_limit_s, self.on_silence)

    def on_silence(self) -> None:
        """Have another call made beside this one; after GIVE_UP_S of silence this one fails.

        The socket is read first: after a stall this may run before data that arrived in time is read.
        """
        heard_at = self.heard_at
        self.read_unread()
        if self.ended or self.heard_at != heard_at:
            return
        self.restart_silence_timer()
        self.discovery.on_silence(self)
        if self.discovery.loop.time() - heard_at >= GIVE_UP_S:
            self.fail("no data for too long")

    def data_received(self, data: bytes) -> None:
        """Parse data from discovery; malformed input fails the call."""
        self.data_age_s = unread_input.data_age_s(self.transport)
        self.heard_at = self.discovery.loop.time()
        self.is_parsing = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"malformed response: {error}")
        finally:
            self.is_parsing = False
        if not self.ended:
            self.restart_silence_timer()  # with the limit that applies after this response

    @property
    def is_late(self) -> bool:
        """Whether the data being read was in the socket for longer than LATE_S."""
        return self.data_age_s > LATE_S

    def read_unread(self) -> None:
        """Process data from discovery that the event loop has not read yet."""
        if self.ended or self.is_parsing or self.transport is None or self.transport.is_closing():
            return  # data being parsed may lead to this call
        events = unread_input.pending_events(self.transport)
        self.is_broken = events & unread_input.CLOSE_EVENTS != 0
        if not events:
            return
        for data in unread_input.read_now(self.transport, LINE_LIMIT):
            self.data_received(data)
            if self.ended:
                break

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call, unless it has ended, because the connection is lost."""
        self.read_last_line()
        self.fail("connection lost")

    def on_headers_complete(self) -> None:
        """Fail the call on any status but 200."""
        status = self.parser.get_status_code()
        if status != 200:
            self.fail(f"answered {status}")
        self.accepted = True

    def on_body(self, body: bytes) -> None:
        """Buffer the body, and process each complete line of a watch; fails over LINE_LIMIT bytes."""
        if self.ended:
            return
        self.answered = True
        if self.watch:
            self.read_lines(body)
        else:
            self.fetched += body
        if len(self.fetched) + self.messages.size > LINE_LIMIT:
            self.fail("line too long")

    def read_lines(self, body: bytes) -> None:
        """Process each line of a watch that this part of the body completes."""
        *line_ends, rest = body.split(b"\n")
        for line_end in line_ends:
            self.messages.add(line_end)
            self.read_line()
            if self.ended:
                return
        if rest:
            self.messages.add(rest)
        if self.messages.is_complete:
            self.await_line_end()

    def await_line_end(self) -> None:
        """Process what the buffer holds if its line end has not come LINE_END_S after it."""
        if self.data_age_s >= LINE_END_S:
            self.read_last_line()
        elif self.line_end_timer is None:
            self.line_end_timer = self.discovery.loop.call_later(LINE_END_S, self.read_last_line)

    def read_last_line(self) -> None:
        """Process a complete message whose line end has not come."""
        if self.line_end_timer is not None:
            self.line_end_timer.cancel()
            self.line_end_timer = None
        if self.watch and not self.ended and self.messages.is_complete:
            self.read_line()

    def on_message_complete(self) -> None:
        """Process a fetched list; a watch that ends has failed."""
        if self.ended:
            return
        if self.watch:
            self.read_last_line()
            self.fail("the watch ended")
        else:
            self.end()
            if not self.read(bytes(self.fetched)):
                self.discovery.on_call_failed(self)

    def read_line(self) -> None:
        """Process the end of a line of a watch; report a message that it completes or that is unreadable."""
        try:
            message = self.messages.end_line()
        except ValueError as error:
            log.warning("discovery: skipped an unreadable message: %s", error)
            self.discovery.on_unreadable(self)
            message = None
        if message is not None and not self.read(message):
            self.discovery.on_unreadable(self)

    def read(self, text: bytes) -> bool:
        """Decode and report a message. Returns whether it was readable."""
        try:
            self.discovery.on_list(json.loads(text), self)
        except (ValueError, RecursionError) as error:
            log.warning("discovery: skipped an unreadable message: %s: %.200r", error, text)
            return False
        return True

    def end(self) -> None:
        """End the call without reporting a failure."""
        self.ended = True
        for timer in (self.silence_timer, self.line_end_timer):
            if timer is not None:
                timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.connecting:
            self.task.cancel()

    def fail(self, reason: str) -> None:
        """End the call and report it as failed, once; `reason` is logged."""
        if self.ended:
            return
        self.end()
        self.discovery.events.inform(
            EventKind.DISCOVERY_CALL,
            "failed",
            "discovery call %d: failed after %.2f s: %s",
            self.number,
            self.discovery.loop.time() - self.began_at,
            reason,
        )
        self.discovery.on_call_failed(self)
