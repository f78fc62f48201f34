"""A gateway's processes, one after the other, that are one gateway while both live.

What goes over: the platform's listener and its clients, and those of each room that is a `Part`. The rules,
stated once; "old" and "new" are two processes on one `Place`, and either may be both:

1. The new one asks for a will before it starts. It waits WAIT_S at the most; without one it starts as if
   alone, with the hosts out by hand that a file beside the place names.
2. Until the new one says that it takes clients, nothing changes for the old one: it may ask and die.
3. From then on the old one accepts nothing, sends cold hosts nothing, and gives each client's connection over
   once nothing is open on it: one that is whole and quiet, so that no byte of it is in either process.
4. A call by hand at either is told to the other at once, before it is answered.
5. If the new one is lost the old one takes clients again, unless it is ending. If the old one is lost the new
   one goes on.
6. Where an operator file says how long the old one stands by, the new one ends it after that time; and if the
   new one is told to end before, both end.
7. What the old one still holds of descriptors counts against the new one's limits, as it is told every
   HOLDS_S. What is said of an older process still counts with it.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.downstream.client_connection import ClientConnection, Downstream
from badgergap.proxy.endpoints.manual_drains import DrainStore
from badgergap.hot_restart.channel import Link, Place, check_peer, descriptor_of
from badgergap.hot_restart.listeners import Part
from badgergap.proxy.pools import MAIN, proxy_of
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.endpoints.registry import HandDrain, RosterError
from badgergap.proxy.lifecycle.process import Pooled, Room
from badgergap.proxy.endpoints.sources import PLATFORM
from badgergap.hot_restart.state_transfer import Will, WillError, list_of, read_will, whose, write_will

log = logging.getLogger(__name__)

WAIT_S = 2.0  # for a will
HOLDS_S = 0.1
FLUSH_S = 0.5  # for the heir to take the last connections
HEIRS = 4  # that ask at a time
HOSTS_S = 5.0  # for the new one to hear of hosts in each pool that had some
HOSTS_POLL_S = 0.02
LISTENERS = 32  # that a process hands over
OTHERS_OWN = 24  # descriptors of another process beside connections: loop, log, discovery, second address


def succession_of(environ: Mapping[str, str], config: Config) -> Succession | None:
    """Where operators call there is a $TMPDIR of the gateway's own; else a process has no heir."""
    folder = environ.get("TMPDIR")
    if config.console is None or config.listen is None or not folder:
        return None
    try:
        place = Place(Path(folder))
    except OSError as error:
        log.warning("no other process can take over from this one: %s", error)
        return None
    return Succession(place, config, DrainStore(place.folder))


class Succession:
    def __init__(
        self, place: Place, config: Config, store: DrainStore | None = None, stands_by_s: float | None = None
    ) -> None:
        """`store`: keeps hosts out by hand where nothing else does. No `stands_by_s`: until it is ended."""
        self.place, self.config, self.store, self.stands_by_s = place, config, store, stands_by_s
        self.loop = asyncio.get_running_loop()
        self.disk = ThreadPoolExecutor(1)  # one save after the other
        self.parts: dict[str, Part] = {}
        self.rooms: Sequence[Room] = ()
        self.will: Will | None = None
        self.listener: socket.socket | None = None  # of clients, handed over
        self.listeners: dict[str, socket.socket] = {}  # of the parts, handed over and not taken yet
        self.taught: set[Proxy] = set()
        self.before: Link | None = None  # to the process that serves, and then ends
        self.willed = asyncio.Event()
        self.at_place: socket.socket | None = None  # listens for heirs
        self.heirs: set[Link] = set()  # that have asked
        self.heir: Link | None = None  # that takes clients
        self.serves = self.ending = False
        self.hearing: Link | None = None  # whose word is being carried out
        self.told_holds = (0, 0)  # of the processes before
        self.tasks: set[asyncio.Task[Any]] = set()
        self.proxy: Proxy
        self.downstream: Downstream

    def proxies(self) -> Mapping[str, Proxy]:
        """Of all pools there are by now. Read with suspicion: a room may have none yet."""
        pools = {
            name: p for room in self.rooms if isinstance(room, Pooled) for name, p in room.proxies().items()
        }
        return {MAIN: self.proxy, **pools}

    # As the new one

    async def inherit(self) -> Will | None:
        """What the process that serves hands over, or None where there is none."""
        try:
            link = self.before = Link(self.place.connect(), self.loop, self.heard_before, self.lost_before)
        except OSError as error:
            log.info("no other process of this gateway: %s", error.strerror or error)
            return None
        link.send({"ask": whose(self.config.name, self.config.listen)})
        try:
            async with asyncio.timeout(WAIT_S):
                await self.willed.wait()
        except TimeoutError:
            log.warning("another process of this gateway listens and hands nothing over")
        if self.will is None or (self.listener is None and self.config.listen is not None):
            self.will = None
            self.drop_listeners()
            link.close()
            return None
        log.info(
            "takes over %d hosts, %d out by hand", len(self.will.known["endpoints"]), len(self.will.drains)
        )
        for each in self.will.missing:
            log.warning("could not be taken over: %s", each)
        return self.will

    def heard_before(self, message: dict[str, Any], sock: socket.socket | None) -> None:
        if "listener" in message:
            if sock is not None and len(self.listeners) < LISTENERS and not self.willed.is_set():
                self.listeners[str(message["listener"])] = sock
                return
        elif "will" in message:
            try:
                self.will = read_will(message, self.config.name, self.config.listen or ("", 0))
                self.listener, sock = sock, None
            except WillError as error:
                log.warning("what another process hands over is not taken: %s", error)
            self.willed.set()
        elif "client" in message and sock is not None and self.serves:
            sock.setblocking(False)
            part = self.parts.get(str(message["client"]))
            self.adopt(sock) if part is None else part.adopt(sock)
            return
        elif self.serves and self.before is not None:
            self.heard(self.before, message)
        if sock is not None:
            sock.close()

    def lost_before(self) -> None:
        self.willed.set()
        self.before = None
        if self.serves:
            self.count((0, 0))

    def drop_listeners(self) -> None:
        """What was handed over and nobody has taken: it may be of an address that is not served any more."""
        for name, sock in self.listeners.items():
            log.info("%s is not listened on any more, as it was handed over", name)
            sock.close()
        self.listeners.clear()

    def join(self, proxy: Proxy, downstream: Downstream, rooms: Sequence[Room] = ()) -> None:
        """Before anything has started: what the will says of hosts out by hand, and of a drain."""
        self.proxy, self.downstream, self.rooms = proxy, downstream, rooms
        self.parts = {room.part: room for room in rooms if isinstance(room, Part)}
        will = self.will
        if will is not None:
            for part in self.parts.values():
                part.inherit(self.listeners, self.ready)
        kept = self.store.load() if self.store is not None else []
        proxy.roster.restore(will.drains if will is not None else kept)
        if will is not None and will.lame_s is not None:
            downstream.send_away(will.lame_s)
        proxy.by_hand.append(self.changed_by_hand)
        downstream.on_lame.append(self.changed_lame)

    def teach(self) -> None:
        """Go on with what was learnt of hosts, in pools that have some by now and have not used them."""
        will = self.will
        if will is None:
            return
        for name, proxy in self.proxies().items():
            learnt = will.learnt if name == MAIN else will.pools.get(name)
            servers = proxy.balancer.endpoints.values()
            if proxy in self.taught or learnt is None or not servers or any(s.used for s in servers):
                continue
            self.taught.add(proxy)
            if will.classes and will.classes != proxy.filed.names.classes:
                log.warning("what was learnt is not taken over: the classes are others")
                continue
            try:
                proxy.balancer.restore(proxy.clock.now_us(), learnt)
            except ValueError as error:
                log.warning("what was learnt could not be taken over: %s", error)

    async def ready(self) -> None:
        """Before clients are taken: each pool that had hosts has some again, if they come in time."""
        had = self.will.hosts if self.will is not None else {}
        until = self.loop.time() + HOSTS_S

        def lacking() -> list[str]:
            there = self.proxies()
            return [
                name
                for name, hosts in had.items()
                if hosts and name in there and not there[name].upstream.hosts
            ]

        while lacking() and self.loop.time() < until:
            await asyncio.sleep(HOSTS_POLL_S)
        if lacking():
            log.warning("no hosts are known yet in: %s", ", ".join(lacking()))
        self.teach()

    def take(self) -> None:
        """Clients are taken here from now on; listen for an heir."""
        self.teach()
        self.drop_listeners()
        self.serves = True
        self.listen()
        if self.before is not None:
            self.before.send({"taking": True})
            self.count(self.told_holds)
            if self.stands_by_s is not None:
                self.loop.call_later(self.stands_by_s, self.dismiss)

    def dismiss(self) -> None:
        """This process has proved itself: the one before it may end."""
        if self.before is not None:
            self.before.send({"end": True})

    def adopt(self, sock: socket.socket) -> None:
        made = partial(ClientConnection, self.downstream, asked=True)
        task = self.loop.create_task(self.loop.connect_accepted_socket(made, sock))
        self.tasks.add(task)
        task.add_done_callback(self.adopted)

    def adopted(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.info("a connection that was given over has gone: %s", task.exception())

    def count(self, holds: tuple[int, int]) -> None:
        """What the processes before hold: connections of clients, and to hosts."""
        self.told_holds = holds
        clients, hosts = holds
        self.downstream.elsewhere = clients + (OTHERS_OWN if self.before is not None else 0)
        self.proxy.upstream.elsewhere = hosts

    # As the old one

    def listen(self) -> None:
        try:
            self.at_place = self.place.listen()
            self.loop.add_reader(self.at_place.fileno(), self.accept)
        except OSError as error:
            log.warning("no other process can take over from this one: %s", error)

    def listen_no_more(self) -> None:
        if self.at_place is not None:
            self.loop.remove_reader(self.at_place.fileno())
            self.at_place.close()
            self.at_place = None

    def accept(self) -> None:
        assert self.at_place is not None
        try:
            sock, _ = self.at_place.accept()
        except OSError:
            return
        try:
            check_peer(sock)
            if len(self.heirs) >= HEIRS:
                raise OSError(None, "too many processes ask for a will")
        except OSError as error:
            log.warning("turned away at the place of hand-over: %s", error)
            sock.close()
            return
        sock.setblocking(False)
        link: Link
        link = Link(sock, self.loop, lambda m, s: self.heard_heir(link, m, s), lambda: self.lost_heir(link))
        self.heirs.add(link)

    def heard_heir(self, link: Link, message: dict[str, Any], sock: socket.socket | None) -> None:
        if sock is not None:
            sock.close()  # an heir hands nothing over
        if "ask" in message:
            ours = whose(self.config.name, self.config.listen)
            ended = self.config.listen is not None and self.downstream.socket is None
            if message["ask"] != ours or self.heir is not None or ended or self.ending:
                link.close("it is of another gateway, or too late")
                return
            for part in self.parts.values():
                for name, descriptor in part.bequeath().items():
                    link.send({"listener": name}, descriptor)
            will = write_will(self.make_will(), self.config.name, self.config.listen or ("", 0))
            link.send(will, self.downstream.socket.fileno() if self.downstream.socket is not None else None)
            log.info("another process of this gateway has asked for what it needs")
        elif message.get("taking") is True and self.heir is None:
            self.give_way(link)
        elif message.get("end") is True and link is self.heir:
            log.info("the process that took the clients ends this one")
            self.ending = True
            os.kill(os.getpid(), signal.SIGTERM)
        else:
            self.heard(link, message)

    def make_will(self) -> Will:
        proxy, lame = self.proxy, self.downstream.lame
        words = proxy.roster.sources[PLATFORM].words if PLATFORM in proxy.roster.sources else {}
        index = proxy.discovery.index if proxy.discovery is not None else 0
        return Will(
            offset_ns=proxy.clock.offset_ns,
            known=list_of((word.entry for word in words.values()), proxy.config.names, index),
            drains=tuple(proxy.roster.drains.values()),
            lame_s=lame.age(self.loop.time()) if lame else None,
            learnt=proxy.balancer.snapshot(),
            pools={name: p.balancer.snapshot() for name, p in self.proxies().items() if name != MAIN},
            classes=proxy.filed.names.classes,
            hosts={name: len(p.upstream.hosts) for name, p in self.proxies().items()},
        )

    def give_way(self, link: Link) -> None:
        log.info("another process of this gateway takes its clients")
        self.heir = link
        self.listen_no_more()
        for proxy in self.proxies().values():
            proxy.balancer.is_standby = True
            proxy.upstream.close_all_idle()
        self.downstream.give_way(self.give)
        for name, part in self.parts.items():
            part.give_way(partial(self.give_to, name))
        self.tell_holds()

    def give(self, connection: ClientConnection) -> bool:
        """Give a client's connection over. False: it stays here."""
        if self.heir is None or connection.transport is None:
            return False
        return self.heir.send({"client": True}, descriptor_of(connection.transport))

    def give_to(self, part: str, descriptor: int) -> bool:
        """The same of a part's client."""
        return self.heir is not None and self.heir.send({"client": part}, descriptor)

    def tell_holds(self) -> None:
        if self.heir is None:
            return
        clients, hosts = self.told_holds
        holds = [clients + len(self.downstream.connections), hosts + len(self.proxy.upstream.connections)]
        self.heir.send({"holds": holds})
        self.loop.call_later(HOLDS_S, self.tell_holds)

    def lost_heir(self, link: Link) -> None:
        self.heirs.discard(link)
        if link is not self.heir:
            return
        self.heir = None
        if self.ending:
            return
        log.warning("the process that took the clients has gone: they are taken here again")
        for proxy in self.proxies().values():
            proxy.balancer.is_standby = False
        if self.config.listen is not None:
            self.downstream.take_back()
        for part in self.parts.values():
            part.take_back()
        self.listen()

    # As either

    def heard(self, link: Link, message: dict[str, Any]) -> None:
        """What the other one has been told by hand, or holds. What cannot be read is passed over."""
        self.hearing = link
        try:
            match message:
                case {"hand": [str(name), str(by), bool(out)]}:
                    self.carry_out(name, by, out)
                case {"lame": bool(lame)}:
                    (self.downstream.send_away if lame else self.downstream.rejoin)()
                case {"holds": [int(clients), int(hosts)]} if link is self.before:
                    self.count((max(0, clients), max(0, hosts)))
                case _:
                    log.warning("not understood, from another process: %.200r", message)
        finally:
            self.hearing = None

    def carry_out(self, name: str, by: str, out: bool) -> None:
        proxy = proxy_of(self.proxies().values(), name)
        try:
            if out:
                proxy.drain(name, by)
            else:
                proxy.undrain(name, by)
        except RosterError:
            if out:  # not listed here yet: it is out as soon as it is
                self.proxy.roster.restore([HandDrain(name, by, self.proxy.clock.now_us())])

    def tell(self, message: dict[str, Any]) -> None:
        for link in (self.before, self.heir):
            if link is not None and link is not self.hearing:
                link.send(message)

    def changed_by_hand(self, name: str, by: str, out: bool) -> None:
        self.tell({"hand": [name, by, out]})
        if self.store is not None:
            self.disk.submit(self.save, self.store, list(self.proxy.roster.drains.values()))

    def save(self, store: DrainStore, drains: list[HandDrain]) -> None:
        try:
            store.save(drains)
        except OSError as error:
            log.warning("hosts out by hand are not kept: %s", error.strerror or error)

    def changed_lame(self, lame: bool) -> None:
        self.tell({"lame": lame})

    def end(self) -> None:
        """This process was told to end; with it the one that stands by, or it would take clients again."""
        self.ending = True
        if self.stands_by_s is not None:
            self.dismiss()

    async def close(self) -> None:
        self.ending = True
        self.listen_no_more()
        self.drop_listeners()
        if self.heir is not None:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.heir.flush(), FLUSH_S)
        for link in (self.before, *self.heirs):
            if link is not None:
                link.close()
        self.disk.shutdown(wait=True)
