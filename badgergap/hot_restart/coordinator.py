"""Who does what when one process of a gateway takes over from another, while both live.

What goes over: the main listener and its clients, and those of each `TransferableComponent`. The rules
below are the protocol. The old process is the predecessor, the new one its successor; a process is often
both in turn.

1. The successor asks for the state before it starts and waits `STATE_TIMEOUT_S` at the most. Without one it
   starts as if alone, with the manual drains that the file beside the rendezvous names.
2. Until the successor says that it takes clients, nothing changes for the predecessor: the successor may
   ask and die.
3. From then on the predecessor accepts nothing, sends endpoints that are warming up nothing, and exports
   each client's connection once nothing is open on it, so that no byte of it is in either process.
4. A manual drain, its end, or a lame-duck command at either goes to the other before it is answered.
5. If the successor is lost, the predecessor takes clients again, unless it is ending. If the predecessor is
   lost, the successor goes on.
6. Where an operator file sets the predecessor's standby time, the successor ends it after that; a successor
   that is told to end before that ends the predecessor too.
7. The connections that the predecessor still holds count against the successor's limits; they are reported
   every `CONNECTION_COUNTS_S`, those of still older processes among them.
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

from badgergap.hot_restart import messages
from badgergap.hot_restart.channel import Link, descriptor_of
from badgergap.hot_restart.errors import StateTransferError
from badgergap.hot_restart.frames import JsonObject
from badgergap.hot_restart.learned_state_import import LearnedStateImport
from badgergap.hot_restart.listeners import TransferableComponent
from badgergap.hot_restart.messages import Message
from badgergap.hot_restart.rendezvous import Rendezvous, check_peer
from badgergap.hot_restart.state_transfer import (
    GatewayIdentity,
    TransferredState,
    export_endpoint_list,
    read_state,
)
from badgergap.proxy.downstream.client_connection import ClientConnection
from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.endpoints.manual_drains import DrainStore
from badgergap.proxy.endpoints.registry import EndpointRegistryError, ManualDrain
from badgergap.proxy.endpoints.sources import PLATFORM
from badgergap.proxy.lifecycle.component import Component, PoolOwner
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.pools import MAIN, proxy_for_endpoint
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.tcp_transport import TcpTransport

log = logging.getLogger(__name__)

STATE_TIMEOUT_S = 2.0
CONNECTION_COUNTS_S = 0.1
FLUSH_TIMEOUT_S = 0.5  # for the successor to read the last exported connections
SUCCESSORS_LIMIT = 4  # that ask at a time
LISTENERS_LIMIT = 32  # that are taken over from one process
OTHER_DESCRIPTORS = 24  # of another process beside connections: loop, log, discovery, second address


def coordinator_from_environment(environ: Mapping[str, str], config: Config) -> HotRestartCoordinator | None:
    """None where there is no second address, no listener, or no $TMPDIR of this user's own."""
    folder = environ.get("TMPDIR")
    if config.console is None or config.listen is None or not folder:
        return None
    try:
        rendezvous = Rendezvous(Path(folder))
    except OSError as error:
        log.warning("no other process can take over from this one: %s", error)
        return None
    return HotRestartCoordinator(rendezvous, config, DrainStore(rendezvous.folder))


class HotRestartCoordinator:
    """One process's side of the protocol, towards its predecessor and towards its successors."""

    def __init__(
        self,
        rendezvous: Rendezvous,
        config: Config,
        drain_store: DrainStore | None = None,
        standby_s: float | None = None,
    ) -> None:
        """`drain_store`: keeps manual drains where nothing else does.

        `standby_s`: when the predecessor is ended; None: an operator ends it.
        """
        self.rendezvous = rendezvous
        self.config = config
        self.identity = GatewayIdentity(config.name, config.listen)
        # On the wire a gateway without a listener asks with no address, but its state has an empty one.
        self.state_identity = GatewayIdentity(config.name, config.listen or ("", 0))
        self.drain_store = drain_store
        self.standby_s = standby_s
        self.loop = asyncio.get_running_loop()
        self.drain_writer = ThreadPoolExecutor(1)  # one save after the other
        self.components: dict[str, TransferableComponent] = {}
        self.rooms: Sequence[Component] = ()
        self.proxy: Proxy
        self.downstream: Downstream
        self.serving = False
        self.ending = False
        self.origin: Link | None = None  # of the message that is being handled; it is not sent back there
        # The predecessor
        self.predecessor: Link | None = None
        self.state: TransferredState | None = None
        self.state_received = asyncio.Event()  # or it is certain that none will come
        self.learned_state: LearnedStateImport | None = None
        self.listener: socket.socket | None = None  # the main listener
        self.component_listeners: dict[str, socket.socket] = {}  # that no component has taken yet
        self.counts = messages.ConnectionCounts()  # of the processes before this one
        # Successors
        self.rendezvous_socket: socket.socket | None = None
        self.candidates: set[Link] = set()  # processes that may become the successor
        self.successor: Link | None = None  # the one that takes clients

    def proxies(self) -> Mapping[str, Proxy]:
        """The proxy of each pool that there is by now; a room may have none yet."""
        pools = {
            name: proxy
            for room in self.rooms
            if isinstance(room, PoolOwner)
            for name, proxy in room.proxies().items()
        }
        return {MAIN: self.proxy, **pools}

    # As the successor

    async def inherit(self) -> TransferredState | None:
        """The state of the process that serves, or None where there is none to take over from."""
        try:
            sock = self.rendezvous.connect()
        except OSError as error:
            log.info("no other process of this gateway: %s", error.strerror or error)
            return None
        link = self.predecessor = Link(sock, self.loop, self.on_predecessor_message, self.on_predecessor_lost)
        link.send(messages.RequestState(self.identity))
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                await self.state_received.wait()
        except TimeoutError:
            log.warning("another process of this gateway listens and hands nothing over")
        if self.state is None or (self.listener is None and self.config.listen is not None):
            self.state = None
            self.close_unused_listeners()
            link.close()
            return None
        self._log_state(self.state)
        self.learned_state = LearnedStateImport(self.state, self.proxies)
        return self.state

    def _log_state(self, state: TransferredState) -> None:
        endpoints = len(state.endpoint_list["endpoints"])
        log.info("takes over %d hosts, %d out by hand", endpoints, len(state.drains))
        for field in state.missing:
            log.warning("could not be taken over: %s", field)

    def on_predecessor_message(self, message: Message, sock: socket.socket | None) -> None:
        """Handle a message of the predecessor; a socket that nobody takes is closed."""
        match message:
            case messages.ExportListener(name):
                has_room = len(self.component_listeners) < LISTENERS_LIMIT
                if sock is not None and has_room and not self.state_received.is_set():
                    self.component_listeners[name] = sock
                    return
            case messages.ReceivedState(raw):
                if self._import_state(raw, sock):
                    return
            case messages.ExportClient(component) if sock is not None and self.serving:
                self._adopt_client(component, sock)
                return
            case _ if self.serving and self.predecessor is not None:
                self.on_shared_message(self.predecessor, message)
        if sock is not None:
            sock.close()

    def _import_state(self, raw: JsonObject, listener: socket.socket | None) -> bool:
        """Whether the state could be read, and with it the listener was taken."""
        try:
            self.state = read_state(raw, self.state_identity)
        except StateTransferError as error:
            log.warning("what another process hands over is not taken: %s", error)
            return False
        else:
            self.listener = listener
            return True
        finally:
            self.state_received.set()

    def on_predecessor_lost(self) -> None:
        """Its link has ended: what it held counts no more."""
        self.state_received.set()
        self.predecessor = None
        if self.serving:
            self.update_counts(messages.ConnectionCounts())

    def close_unused_listeners(self) -> None:
        """Those that no component has taken: their address may not be served any more."""
        for name, sock in self.component_listeners.items():
            log.info("%s is not listened on any more, as it was handed over", name)
            sock.close()
        self.component_listeners.clear()

    def join(self, proxy: Proxy, downstream: Downstream, rooms: Sequence[Component] = ()) -> None:
        """Before anything has started: restore the manual drains and a drain of the gateway."""
        self.proxy = proxy
        self.downstream = downstream
        self.rooms = rooms
        self.components = {
            room.transfer_name: room for room in rooms if isinstance(room, TransferableComponent)
        }
        stored = self.drain_store.load() if self.drain_store is not None else []
        state = self.state
        if state is None:
            proxy.directory.registry.restore(stored)
        else:
            for component in self.components.values():
                component.import_listeners(self.component_listeners, self.ready)
            proxy.directory.registry.restore(state.drains)
            if state.lame_duck_age_s is not None:
                downstream.enter_lame_duck(state.lame_duck_age_s)
        proxy.directory.manual_drain_listeners.append(self.on_manual_drain)
        downstream.lame_duck_observers.append(self.on_lame_duck)

    def restore_learned_state(self) -> None:
        """In pools that have endpoints by now and have not used them."""
        if self.learned_state is not None:
            self.learned_state.restore()

    async def ready(self) -> None:
        """Before clients are taken: wait for the endpoints of each pool that had some."""
        if self.learned_state is not None:
            await self.learned_state.wait_for_endpoints()
            self.learned_state.restore()

    def take_clients(self) -> None:
        """Clients are taken here from now on; the predecessor is told, and successors may ask."""
        self.restore_learned_state()
        self.close_unused_listeners()
        self.serving = True
        self.listen_for_successors()
        if self.predecessor is not None:
            self.predecessor.send(messages.TakeClients())
            self.update_counts(self.counts)
            if self.standby_s is not None:
                self.loop.call_later(self.standby_s, self.end_predecessor)

    def end_predecessor(self) -> None:
        """This process has proved itself: the one before it may end."""
        if self.predecessor is not None:
            self.predecessor.send(messages.EndPredecessor())

    def _adopt_client(self, component_name: str | None, sock: socket.socket) -> None:
        sock.setblocking(False)
        component = self.components.get(component_name) if component_name is not None else None
        if component is not None:
            component.adopt_client(sock)
            return
        TcpTransport(self.loop, sock, ClientConnection(self.downstream, adopted=True)).start()

    def update_counts(self, counts: messages.ConnectionCounts) -> None:
        """What the processes before this one hold, which the limits here must leave room for."""
        self.counts = counts
        others = OTHER_DESCRIPTORS if self.predecessor is not None else 0
        self.downstream.connections_elsewhere = counts.clients + others
        self.proxy.upstream.connections_elsewhere = counts.endpoints

    # As the predecessor

    def listen_for_successors(self) -> None:
        """Open the rendezvous; without it this process cannot be taken over from."""
        try:
            self.rendezvous_socket = self.rendezvous.listen()
            self.loop.add_reader(self.rendezvous_socket.fileno(), self._accept_successor)
        except OSError as error:
            log.warning("no other process can take over from this one: %s", error)

    def stop_listening_for_successors(self) -> None:
        """Close the rendezvous, if it is open."""
        if self.rendezvous_socket is not None:
            self.loop.remove_reader(self.rendezvous_socket.fileno())
            self.rendezvous_socket.close()
            self.rendezvous_socket = None

    def _accept_successor(self) -> None:
        assert self.rendezvous_socket is not None
        try:
            sock, _ = self.rendezvous_socket.accept()
        except OSError:
            return
        try:
            check_peer(sock)
            if len(self.candidates) >= SUCCESSORS_LIMIT:
                raise OSError(None, "too many processes ask for a will")
        except OSError as error:
            log.warning("turned away at the place of hand-over: %s", error)
            sock.close()
            return
        sock.setblocking(False)
        link: Link
        link = Link(
            sock,
            self.loop,
            lambda message, descriptor: self.on_successor_message(link, message, descriptor),
            lambda: self.on_successor_lost(link),
        )
        self.candidates.add(link)

    def on_successor_message(self, link: Link, message: Message, sock: socket.socket | None) -> None:
        """Handle a message of a process that may become the successor, or is it."""
        if sock is not None:
            sock.close()  # a successor exports nothing
        match message:
            case messages.RequestState(identity):
                self._export_state(link, identity)
            case messages.TakeClients() if self.successor is None:
                self.release_clients(link)
            case messages.EndPredecessor() if link is self.successor:
                log.info("the process that took the clients ends this one")
                self.ending = True
                os.kill(os.getpid(), signal.SIGTERM)
            case _:
                self.on_shared_message(link, message)

    def _export_state(self, link: Link, identity: GatewayIdentity | None) -> None:
        main_socket = self.downstream.socket
        has_ended = self.config.listen is not None and main_socket is None
        if identity != self.identity or self.successor is not None or has_ended or self.ending:
            link.close("it is of another gateway, or too late")
            return
        for component in self.components.values():
            for name, descriptor in component.export_listeners().items():
                link.send(messages.ExportListener(name), descriptor)
        message = messages.ExportState(self.current_state(), self.state_identity)
        link.send(message, main_socket.fileno() if main_socket is not None else None)
        log.info("another process of this gateway has asked for what it needs")

    def current_state(self) -> TransferredState:
        """What a successor needs to go on as this process would."""
        proxy, lame = self.proxy, self.downstream.lame_duck
        platform = proxy.directory.registry.sources.get(PLATFORM)
        records = platform.records.values() if platform is not None else ()
        entries = [record.entry for record in records]
        discovery = proxy.directory.discovery
        index = discovery.index if discovery is not None else 0
        proxies = self.proxies()
        return TransferredState(
            clock_offset_ns=proxy.clock.offset_ns,
            endpoint_list=export_endpoint_list(entries, proxy.config.names, index),
            drains=tuple(proxy.directory.registry.drains.values()),
            lame_duck_age_s=lame.age(self.loop.time()) if lame else None,
            learned_state=proxy.balancer.snapshot(),
            pools={name: pool.balancer.snapshot() for name, pool in proxies.items() if name != MAIN},
            request_classes=proxy.latest_config.names.classes,
            endpoint_counts={name: len(pool.upstream.endpoints) for name, pool in proxies.items()},
        )

    def release_clients(self, successor: Link) -> None:
        """Accept nothing more, and export each client's connection once it is quiet."""
        log.info("another process of this gateway takes its clients")
        self.successor = successor
        self.stop_listening_for_successors()
        for proxy in self.proxies().values():
            proxy.balancer.is_standby = True
            proxy.upstream.close_all_idle()
        self.downstream.hand_over(self._export_connection)
        for name, component in self.components.items():
            component.release_clients(partial(self._export_descriptor, name))
        self._report_counts()

    def _export_connection(self, connection: ClientConnection) -> bool:
        """False: the connection stays in this process."""
        if self.successor is None or connection.transport is None:
            return False
        return self.successor.send(messages.ExportClient(), descriptor_of(connection.transport))

    def _export_descriptor(self, component: str, descriptor: int) -> bool:
        """False: the connection stays in this process."""
        if self.successor is None:
            return False
        return self.successor.send(messages.ExportClient(component), descriptor)

    def _report_counts(self) -> None:
        """Report to the successor, again and again, what it has to leave room for."""
        if self.successor is None:
            return
        counts = messages.ConnectionCounts(
            clients=self.counts.clients + len(self.downstream.connections),
            endpoints=self.counts.endpoints + len(self.proxy.upstream.connections),
        )
        self.successor.send(counts)
        self.loop.call_later(CONNECTION_COUNTS_S, self._report_counts)

    def on_successor_lost(self, link: Link) -> None:
        """Its link has ended. If it had taken the clients, they are taken here again."""
        self.candidates.discard(link)
        if link is not self.successor:
            return
        self.successor = None
        if self.ending:
            return
        log.warning("the process that took the clients has gone: they are taken here again")
        for proxy in self.proxies().values():
            proxy.balancer.is_standby = False
        if self.config.listen is not None:
            self.downstream.resume_accepting()
        for component in self.components.values():
            component.reclaim_clients()
        self.listen_for_successors()

    # As either

    def on_shared_message(self, link: Link, message: Message) -> None:
        """Handle what either may send; anything that is not understood is logged and ignored."""
        self.origin = link
        try:
            match message:
                case messages.ManualDrainChanged():
                    self._apply_manual_drain(message)
                case messages.LameDuckChanged(lame):
                    (self.downstream.enter_lame_duck if lame else self.downstream.leave_lame_duck)()
                case messages.ConnectionCounts() if link is self.predecessor:
                    self.update_counts(message)
                case _:
                    log.warning("not understood, from another process: %.200r", messages.encode(message))
        finally:
            self.origin = None

    def _apply_manual_drain(self, change: messages.ManualDrainChanged) -> None:
        proxy = proxy_for_endpoint(self.proxies().values(), change.endpoint)
        try:
            if change.drained:
                proxy.directory.drain(change.endpoint, change.by)
            else:
                proxy.directory.undrain(change.endpoint, change.by)
        except EndpointRegistryError:
            if change.drained:  # not listed here yet: it is drained as soon as it is
                drain = ManualDrain(change.endpoint, change.by, self.proxy.clock.now_us())
                self.proxy.directory.registry.restore([drain])

    def _notify(self, message: Message) -> None:
        """Tell the processes on both sides, but not the one that this came from."""
        for link in (self.predecessor, self.successor):
            if link is not None and link is not self.origin:
                link.send(message)

    def on_manual_drain(self, name: str, by: str, drained: bool) -> None:
        """An operator has drained or reinstated an endpoint here, or in the other process."""
        self._notify(messages.ManualDrainChanged(name, by, drained))
        if self.drain_store is not None:
            drains = list(self.proxy.directory.registry.drains.values())
            self.drain_writer.submit(self._save_drains, self.drain_store, drains)

    def _save_drains(self, store: DrainStore, drains: list[ManualDrain]) -> None:
        try:
            store.save(drains)
        except OSError as error:
            log.warning("hosts out by hand are not kept: %s", error.strerror or error)

    def on_lame_duck(self, lame: bool) -> None:
        """Clients are sent away here from now on, or taken again."""
        self._notify(messages.LameDuckChanged(lame))

    def on_shutdown(self) -> None:
        """This process was told to end. With a standby time its predecessor ends too."""
        self.ending = True
        if self.standby_s is not None:
            self.end_predecessor()

    async def close(self) -> None:
        """All requests are answered: end the links, after the successor has read the last clients."""
        self.ending = True
        self.stop_listening_for_successors()
        self.close_unused_listeners()
        if self.successor is not None:
            with suppress(TimeoutError):
                async with asyncio.timeout(FLUSH_TIMEOUT_S):
                    await self.successor.flush()
        for link in (self.predecessor, *self.candidates):
            if link is not None:
                link.close()
        self.drain_writer.shutdown(wait=True)
