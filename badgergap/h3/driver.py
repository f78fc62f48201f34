"""What drives one connection of the library, whichever side it is: packets in, events, timer, packets out."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, TypeAlias

from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import QuicEvent

log = logging.getLogger(__name__)

Sender: TypeAlias = Any  # a socket's address, as the loop has it


class Driver:
    """Everything that one turn of the loop brings goes out together, at its end."""

    def __init__(self, quic: QuicConnection, loop: asyncio.AbstractEventLoop) -> None:
        self.driven, self.loop = quic, loop
        self.gone = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at: float | None = None
        self.flushing: asyncio.Handle | None = None

    # Whoever uses it says

    def handle(self, event: QuicEvent) -> None:
        raise NotImplementedError

    def send(self, data: bytes, to: Sender) -> None:
        raise NotImplementedError

    def sent(self) -> None:
        """What could be sent has been."""

    def fault(self) -> None:
        """The library has tripped over a packet: this connection is over, and no other."""
        raise NotImplementedError

    # The library's side

    def receive(self, data: bytes, sender: Sender) -> None:
        try:
            self.driven.receive_datagram(data, sender, self.loop.time())
        except Exception:
            log.exception("a connection ends by a fault")
            self.fault()
            return
        self.process()

    def process(self) -> None:
        while not self.gone and (event := self.driven.next_event()) is not None:
            self.handle(event)
        self.soon()

    def soon(self) -> None:
        """Send what there is once all of this turn has been heard."""
        if self.flushing is None and not self.gone:
            self.flushing = self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = None
        if self.gone:
            return
        now = self.loop.time()
        for data, to in self.driven.datagrams_to_send(now):
            self.send(data, to)
        at = self.driven.get_timer()
        if at != self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = at
            self.timer = self.loop.call_at(max(at, now), self.tick) if at is not None else None
        self.sent()

    def tick(self) -> None:
        self.timer = self.timer_at = None
        self.driven.handle_timer(self.loop.time())
        self.process()

    def stop(self) -> None:
        """Nothing more is sent or heard."""
        self.gone = True
        if self.timer is not None:
            self.timer.cancel()
        if self.flushing is not None:
            self.flushing.cancel()
