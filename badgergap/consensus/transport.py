"""The sockets between members: one connection for each direction, dialed by who talks.

Bounds: STRANGERS connections at once that have not shown the key, STRANGER_S for each; one listener's
connection a member, the newest; UNSENT_BYTES written to a member and not taken, beyond which what is said
is lost (consensus says it again); WAITING messages for a link that is being made. A link that takes
nothing for STUCK_S is made anew.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import cast

from badgergap.consensus.framing import (
    GREETING,
    NONCE,
    BadFrame,
    Envelope,
    Listener,
    Opening,
    Reader,
    Talker,
    open_link,
    session_key,
)
from badgergap.consensus.framing import VERSION as FRAMES_VERSION
from badgergap.consensus.member import Message
from badgergap.proxy.lifecycle.config import Address

log = logging.getLogger(__name__)

STRANGERS = 64
MEMBERS = 512
STRANGER_S = 2.0
UNSENT_BYTES = 4 * 1024 * 1024
WAITING = 64
STUCK_S = 3.0
CONNECT_S = 2.0
AGAIN_S, AGAIN_MOST_S = 0.05, 1.0
QUIET_S = 60.0  # between two lines in the log on what is turned away

# Of a member by its identity and name: a message that is for this one.
Heard = Callable[[str, str, Message], None]


class Links:
    """`who` gives this member's group and identity as they are now."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        key: bytes,
        name: str,
        who: Callable[[], tuple[str, str]],
        heard: Heard,
    ) -> None:
        self.loop, self.key, self.name, self.who, self.heard = loop, key, name, who, heard
        self.addresses: dict[str, Address] = {}
        self.talks: dict[str, Talk] = {}
        self.strangers: OrderedDict[Incoming, None] = OrderedDict()
        self.incoming: OrderedDict[str, Incoming] = OrderedDict()  # by the identity of who talks
        self.listener: asyncio.Server | None = None
        self.turned_away = 0
        self.told_at = -QUIET_S
        self.bytes_out = self.messages_out = 0
        self.ended = False

    async def start(self, listen: Address) -> Address:
        """Raises OSError."""
        self.listener = await self.loop.create_server(lambda: Incoming(self), *listen, backlog=256)
        return cast(Address, self.listener.sockets[0].getsockname()[:2])

    def send(self, name: str, id: str, message: Message, most: int = UNSENT_BYTES) -> None:
        """It is lost where more than `most` bytes wait to be sent."""
        address = self.addresses.get(name)
        if address is None or self.ended:
            return
        talk = self.talks.get(name)
        if talk is None or talk.address != address:
            if talk is not None:
                talk.close()
            talk = self.talks[name] = Talk(self, name, address)
        talk.say(id, message, most)

    def answer(self, id: str, message: Message) -> None:
        """To one that cannot be dialed, on the link that it has made itself."""
        incoming = self.incoming.get(id)
        if incoming is not None and incoming.transport is not None:
            incoming.back = incoming.back or incoming.frames.back()
            incoming.transport.write(incoming.back.frame(id, message))

    def turn_away(self, why: str) -> None:
        """One line for many."""
        self.turned_away += 1
        now = self.loop.time()
        if now - self.told_at >= QUIET_S:
            self.told_at = now
            log.warning("turned away at the group's address (%d so far): %s", self.turned_away, why)

    def close(self) -> None:
        self.ended = True
        if self.listener is not None:
            self.listener.close()
        for talk in self.talks.values():
            talk.close()
        for incoming in [*self.strangers, *self.incoming.values()]:
            incoming.abort()


class Incoming(asyncio.Protocol):
    """Somebody who dialed."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.challenge = secrets.token_bytes(NONCE)
        self.frames = Listener(links.key, self.challenge)
        self.back: Talker | None = None
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        links = self.links
        links.strangers[self] = None
        if len(links.strangers) > STRANGERS:
            oldest, _ = links.strangers.popitem(last=False)
            oldest.abort()
            links.turn_away(f"more than {STRANGERS} connections that show no key")
        self.timer = links.loop.call_later(STRANGER_S, self.abort)
        self.transport.write(GREETING + self.challenge)

    def data_received(self, data: bytes) -> None:
        known = self.frames.opening is not None
        try:
            for envelope in self.frames.feed(data):
                if not known:
                    self._welcome()
                    known = True
                self._take(envelope)
            if not known and self.frames.opening is not None:
                self._welcome()
        except BadFrame as error:
            self.links.turn_away(str(error))
            self.abort()

    def _welcome(self) -> None:
        """Raises BadFrame for a member of another group, or one that takes this for another member."""
        opening, links = self.frames.opening, self.links
        assert opening is not None
        group, id = links.who()
        if opening.to != links.name:
            raise BadFrame(f"{opening.name} takes this member for {opening.to}: an address is wrong")
        if opening.group and group and opening.group != group:
            raise BadFrame(f"{opening.name} is of the group {opening.group}, and this one of {group}")
        if opening.name == links.name and opening.id != id:
            raise BadFrame(f"another member is called {opening.name}, as this one is")
        links.strangers.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        before = links.incoming.pop(opening.id, None)
        links.incoming[opening.id] = self
        if before is None and len(links.incoming) > MEMBERS:
            _, before = links.incoming.popitem(last=False)
        if before is not None:
            before.abort()

    def _take(self, envelope: Envelope) -> None:
        opening = self.frames.opening
        assert opening is not None
        if envelope.to in ("", self.links.who()[1]):
            self.links.heard(opening.id, opening.name, envelope.message)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        links, opening = self.links, self.frames.opening
        links.strangers.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        if opening is not None and links.incoming.get(opening.id) is self:
            del links.incoming[opening.id]


class Talk(asyncio.Protocol):
    """What this member says to another one: a link that is made anew whenever it ends."""

    def __init__(self, links: Links, name: str, address: Address) -> None:
        self.links, self.name, self.address = links, name, address
        self.transport: asyncio.Transport | None = None
        self.talker: Talker | None = None
        self.reader: Reader | None = None
        self.greeting = bytearray()
        self.waiting: deque[tuple[str, Message]] = deque(maxlen=WAITING)
        self.again_s = AGAIN_S
        self.again_at = self.since = 0.0  # not to be dialed before; connected since; loop time
        self.stuck_at: float | None = None  # loop time since which the other end has taken nothing
        self.task: asyncio.Task[None] | None = None
        self.closed = False

    def say(self, id: str, message: Message, most: int = UNSENT_BYTES) -> None:
        now = self.links.loop.time()
        transport = self.transport
        if transport is None or self.talker is None or transport.is_closing():
            self.waiting.append((id, message))
            if transport is not None and now - self.since > CONNECT_S:
                transport.abort()  # it takes connections and says nothing
            elif transport is None and self.task is None and not self.closed and now >= self.again_at:
                self.task = self.links.loop.create_task(self._dial())
            return
        if self.stuck_at is not None and now - self.stuck_at > STUCK_S:
            transport.abort()
            return
        if transport.get_write_buffer_size() > most:
            return
        frame = self.talker.frame(id, message)
        self.links.bytes_out += len(frame)
        self.links.messages_out += 1
        transport.write(frame)

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.links.loop.create_connection(lambda: self, *self.address)
        except (OSError, TimeoutError):
            self._wait()
        finally:
            self.task = None

    def _wait(self) -> None:
        self.again_at = self.links.loop.time() + self.again_s
        self.again_s = min(2 * self.again_s, AGAIN_MOST_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.since = self.links.loop.time()
        self.greeting.clear()
        self.stuck_at = None
        if self.closed:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.reader is not None:
            try:
                for envelope in self.reader.feed(data):
                    if envelope.to == self.links.who()[1]:
                        self.links.heard("", self.name, envelope.message)
            except BadFrame as error:
                self.links.turn_away(str(error))
                self.anew()
            return
        self.greeting += data
        if len(self.greeting) < len(GREETING) + NONCE:
            return
        assert self.transport is not None
        if not self.greeting.startswith(GREETING):
            self.transport.abort()
            return
        challenge = bytes(self.greeting[len(GREETING) : len(GREETING) + NONCE])
        links = self.links
        group, id = links.who()
        opening = Opening(FRAMES_VERSION, secrets.token_bytes(NONCE), group, id, links.name, self.name)
        self.talker = Talker(session_key(links.key, challenge, opening.nonce, b"there"))
        self.reader = Reader(session_key(links.key, challenge, opening.nonce, b"back"))
        self.transport.write(open_link(links.key, challenge, opening))
        waiting, self.waiting = self.waiting, deque(maxlen=WAITING)
        for to, message in waiting:
            self.say(to, message)

    def pause_writing(self) -> None:
        self.stuck_at = self.links.loop.time()

    def resume_writing(self) -> None:
        self.stuck_at = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.talker = self.reader = None
        self.stuck_at = None
        if self.links.loop.time() - self.since > CONNECT_S:
            self.again_s = AGAIN_S  # it held: whatever ended it, it is tried again at once
        self._wait()

    def anew(self) -> None:
        """As who this member is now."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        self.closed = True
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()
