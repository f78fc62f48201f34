"""Coordinates a hot restart: one process of a gateway takes over from another while both run.

The main listener and its clients are transferred, and those of each `TransferableComponent`. The old process
is the predecessor, the new one its successor; over time a process is usually both. The protocol:

1. The successor requests the state before it starts and waits at most `STATE_TIMEOUT_S` for it. Without a
   state it starts as a single process, with the manual drains from the file beside the rendezvous socket.
2. Nothing changes for the predecessor until the successor announces that it takes the clients; a successor
   may fail before that.
3. From then on the predecessor accepts no connection and sends no request to endpoints that are warming up.
   It exports each client's connection once no request is open on it, so that neither process holds any
   unprocessed byte of it.
4. A manual drain, its end or a lame-duck command is forwarded to the other process before it is answered,
   and a newer endpoint list as it is received: from the export of the state on (`state_sync.py`).
   A process that has the state, and finds that another one has taken the clients first, takes the state and
   the clients from that one.
5. If the successor is lost, the predecessor takes clients again, unless it is shutting down. If the
   predecessor is lost, the successor continues.
6. If the operator file sets a standby time, the successor ends the predecessor after that time, or earlier if
   it shuts down itself.
7. The connections that the predecessor still holds count against the successor's limits. The predecessor
   reports their number every `CONNECTION_COUNTS_S`, including those of even older processes.
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

from badgergap.hot_restart import messages
from badgergap.hot_restart.channel import Link, descriptor_of
from badgergap.hot_restart.errors import StateTransferError
from badgergap.hot_restart.frames import JsonObject
from badgergap.hot_restart.learned_state_import import LearnedStateImport
from badgergap.hot_restart.listeners import TransferableComponent
from badgergap.hot_restart.messages import Message
from badgergap.hot_restart.rendezvous import Rendezvous, RendezvousListener
from badgergap.hot_restart.state_sync import StateSync
from badgergap.hot_restart.state_transfer import (
    GatewayIdentity,
    TransferredState,
    export_endpoint_list,
    read_state,
)
from badgergap.proxy.downstream.client_connection import ClientConnection
from badgergap.proxy.downstream.listener import Downstream
from badgergap.proxy.endpoints.discovery import EndpointNews
from badgergap.proxy.endpoints.manual_drains import DrainStore
from badgergap.proxy.endpoints.registry import ManualDrain
from badgergap.proxy.endpoints.sources import PLATFORM
from badgergap.proxy.lifecycle.component import Component, PoolOwner
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.lifecycle.discovery_origin import origin_of
from badgergap.proxy.pools import MAIN
from badgergap.proxy.proxy import Proxy
from badgergap.proxy.tcp_transport import TcpTransport

log = logging.getLogger(__name__)

STATE_TIMEOUT_S = 2.0
REJECTED_RETRY_S = 0.3  # for a process that has just replaced the serving one to listen in its place
REJECTED_POLL_S = 0.02
RELEASE_TIMEOUT_S = 2.0
CONNECTION_COUNTS_S = 0.1
FLUSH_TIMEOUT_S = 0.5  # for sending the last exported connections to the successor
CANDIDATES_LIMIT = 4  # processes connected to the rendezvous socket at a time
LISTENERS_LIMIT = 32  # component listeners accepted from the predecessor
OTHER_DESCRIPTORS = 24  # of the predecessor beside connections: loop, log, discovery, second address


class HotRestartCoordinator:
    """Runs the protocol for one process, with its predecessor and its successor."""

    def __init__(
        self,
        rendezvous: Rendezvous,
        config: Config,
        drain_store: DrainStore | None = None,
        standby_s: float | None = None,
    ) -> None:
        """`drain_store` stores manual drains; None if another component stores them.

        `standby_s`: how long after taking clients the predecessor is ended; None: an operator ends it.
        """
        self.rendezvous = rendezvous
        self.config = config
        self.identity = GatewayIdentity(config.name, config.listen)
        # Without a listener, a state request carries no address but the state itself an empty one.
        self.state_identity = GatewayIdentity(config.name, config.listen or ("", 0))
        self.drain_store = drain_store
        self.standby_s = standby_s
        self.loop = asyncio.get_running_loop()
        self.drain_writer = ThreadPoolExecutor(1)  # one thread: saves run one at a time, in order
        self.transferable: dict[str, TransferableComponent] = {}
        self.components: Sequence[Component] = ()
        self.proxy: Proxy
        self.downstream: Downstream
        self.serving = False
        self.ending = False
        self.sync = StateSync(self.proxies)
        # Towards the predecessor
        self.predecessor: Link | None = None
        self.state: TransferredState | None = None
        self.state_received = asyncio.Event()  # also set when no state will come
        self.learned_state: LearnedStateImport | None = None
        self.listener: socket.socket | None = None  # the main listener
        self.component_listeners: dict[str, socket.socket] = {}  # received, not yet used by a component
        self.counts = messages.ConnectionCounts()  # connections that older processes hold
        self.released = asyncio.Event()  # the predecessor has released its clients, or its link has ended
        # Towards successors
        self.rendezvous_listener = RendezvousListener(rendezvous, self.loop, self._add_candidate)
        self.candidates: set[Link] = set()  # connected processes, one of which may become the successor
        self.successor: Link | None = None  # the process that has taken the clients

    def proxies(self) -> Mapping[str, Proxy]:
        """Return the proxies of all pools by name; a component may not have created its own yet."""
        pools = {
            name: proxy
            for component in self.components
            if isinstance(component, PoolOwner)
            for name, proxy in component.proxies().items()
        }
        return {MAIN: self.proxy, **pools}

    # As the successor

    async def inherit(self) -> TransferredState | None:
        """Request and return the state of the serving process; None if there is no such process or state."""
        await self._request_state()
        link = self.predecessor
        if self.state is None or (self.listener is None and self.config.listen is not None):
            self.state = None
            self.sync = StateSync(self.proxies)
            self.close_unused_listeners()
            if link is not None:
                link.close()
            return None
        self._log_state(self.state)
        self.learned_state = LearnedStateImport(self.state, self.proxies)
        return self.state

    async def _request_state(self) -> None:
        """Connect to the serving process and wait for its state; it becomes the predecessor.

        A process that closes the connection without an answer may just have been replaced by another one:
        the request is repeated for `REJECTED_RETRY_S`.
        """
        retry_until = self.loop.time() + REJECTED_RETRY_S
        while True:
            try:
                sock = self.rendezvous.connect()
            except OSError as error:
                log.info("no other process of this gateway: %s", error.strerror or error)
                return
            self.state_received.clear()
            link = Link(sock, self.loop, self.on_predecessor_message, self.on_predecessor_lost)
            self.predecessor = link
            link.send(messages.RequestState(self.identity))
            try:
                async with asyncio.timeout(STATE_TIMEOUT_S):
                    await self.state_received.wait()
            except TimeoutError:
                log.warning("another process of this gateway listens and hands nothing over")
                return
            has_state = self.state is not None and not self.serving
            if link.open or has_state or self.loop.time() > retry_until:
                return
            await asyncio.sleep(REJECTED_POLL_S)

    def _log_state(self, state: TransferredState) -> None:
        endpoints = len(state.endpoint_list["endpoints"])
        log.info("takes over %d hosts, %d out by hand", endpoints, len(state.drains))
        for field in state.missing:
            log.warning("could not be taken over: %s", field)

    def on_predecessor_message(self, message: Message, sock: socket.socket | None) -> None:
        """Handle a message from the predecessor; a socket that came with it is closed unless it is used."""
        match message:
            case messages.ExportListener(name):
                below_limit = len(self.component_listeners) < LISTENERS_LIMIT
                if sock is not None and below_limit and not self.state_received.is_set():
                    self.component_listeners[name] = sock
                    return
            case messages.ReceivedState(raw):
                if self._import_state(raw, sock):
                    return
            case messages.ExportClient(component) if sock is not None and self.serving:
                self._adopt_client(component, sock)
                return
            case _ if self.predecessor is not None:
                self.on_shared_message(self.predecessor, message)
        if sock is not None:
            sock.close()

    def _import_state(self, raw: JsonObject, listener: socket.socket | None) -> bool:
        """Read the state; return whether it is valid and `listener` was kept with it."""
        try:
            state = read_state(raw, self.state_identity)
        except StateTransferError as error:
            log.warning("the state of another process of this gateway was rejected: %s", error)
            return False
        else:
            assert self.predecessor is not None
            self.sync.add(self.predecessor)
            if self.serving:  # with the state of a process that another one has replaced meanwhile
                self.sync.replace_state(self.predecessor, state)
                return False
            self.state = state
            self.listener = listener
            return True
        finally:
            self.state_received.set()

    def on_predecessor_lost(self) -> None:
        """Handle the end of the predecessor's link; its connections no longer count against the limits."""
        self.state_received.set()
        self.released.set()
        if self.predecessor is not None:
            self.sync.discard(self.predecessor)
        self.predecessor = None
        if self.serving:
            self.update_counts(messages.ConnectionCounts())

    def close_unused_listeners(self) -> None:
        """Close the received listeners that no component uses; the settings may no longer contain them."""
        for name, sock in self.component_listeners.items():
            log.info("%s is not listened on any more, as it was handed over", name)
            sock.close()
        self.component_listeners.clear()

    def join(self, proxy: Proxy, downstream: Downstream, components: Sequence[Component] = ()) -> None:
        """Attach the gateway's parts before they start; restore manual drains and the lame-duck state."""
        self.proxy = proxy
        self.downstream = downstream
        self.components = components
        self.transferable = {
            component.transfer_name: component
            for component in components
            if isinstance(component, TransferableComponent)
        }
        stored = self.drain_store.load() if self.drain_store is not None else []
        state = self.state
        if state is None:
            proxy.directory.registry.restore(stored)
        else:
            for transferable in self.transferable.values():
                transferable.import_listeners(self.component_listeners, self.ready)
            proxy.directory.registry.restore(state.drains)
            proxy.directory.restore_start_times(state.start_times)
            if state.lame_duck_age_s is not None:
                downstream.enter_lame_duck(state.lame_duck_age_s)
        proxy.directory.manual_drain_listeners.append(self.on_manual_drain)
        downstream.lame_duck_observers.append(self.on_lame_duck)
        if proxy.directory.discovery is not None:
            proxy.directory.discovery.on_news = self.on_endpoint_news
            proxy.directory.on_discovery_moved = self.sync.on_discovery_moved

    def restore_learned_state(self) -> None:
        """Restore learned state in the pools that list endpoints and have not used any."""
        if self.learned_state is not None:
            self.learned_state.restore()

    def apply_changes(self) -> None:
        """Apply what operators have changed at the predecessor since it exported its state."""
        if self.state is not None:
            self.sync.undrain_others(self.state)
        self.sync.start(self.downstream)

    async def ready(self) -> None:
        """Wait until the pools list endpoints, then restore learned state; runs before clients are taken."""
        if self.learned_state is not None:
            await self.learned_state.wait_for_endpoints()
            self.learned_state.restore()

    async def take_clients(self) -> None:
        """Take clients from now on, from the process that serves now, and listen for successors."""
        self.restore_learned_state()
        self.close_unused_listeners()
        self.serving = True
        while self.predecessor is not None and not await self._is_released(self.predecessor):
            # Another process has taken the clients since the state was exported, or the predecessor has died.
            await self._request_state()
        self.rendezvous_listener.start()
        if self.predecessor is not None:
            self.update_counts(self.counts)
            if self.standby_s is not None:
                self.loop.call_later(self.standby_s, self.end_predecessor)

    async def _is_released(self, predecessor: Link) -> bool:
        """Ask the predecessor for the clients; return False if its link ends before it has released them."""
        self.released.clear()
        predecessor.send(messages.TakeClients())
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self.released.wait()
        except TimeoutError:
            log.warning("the process before this one has not said that it releases its clients")
        return predecessor.open

    def end_predecessor(self) -> None:
        """Request that the predecessor, if there still is one, drains and exits."""
        if self.predecessor is not None:
            self.predecessor.send(messages.EndPredecessor())

    def _adopt_client(self, component_name: str | None, sock: socket.socket) -> None:
        sock.setblocking(False)
        component = self.transferable.get(component_name) if component_name is not None else None
        if component is not None:
            component.adopt_client(sock)
            return
        TcpTransport(self.loop, sock, ClientConnection(self.downstream, adopted=True)).start()

    def update_counts(self, counts: messages.ConnectionCounts) -> None:
        """Count the connections of older processes against the limits of this one."""
        self.counts = counts
        other_descriptors = OTHER_DESCRIPTORS if self.predecessor is not None else 0
        self.downstream.connections_elsewhere = counts.clients + other_descriptors
        self.proxy.upstream.connections_elsewhere = counts.endpoints
        self.downstream.budget.divide(1 if self.predecessor is None else 2)

    # As the predecessor

    def _add_candidate(self, sock: socket.socket) -> None:
        """Handle a connection of a process that may become the successor. Raises OSError to reject it."""
        if len(self.candidates) >= CANDIDATES_LIMIT:
            raise OSError(None, "too many processes request the state")
        link: Link
        link = Link(
            sock,
            self.loop,
            lambda message, descriptor: self.on_successor_message(link, message, descriptor),
            lambda: self.on_successor_lost(link),
        )
        self.candidates.add(link)

    def on_successor_message(self, link: Link, message: Message, sock: socket.socket | None) -> None:
        """Handle a message from the successor or a process that may become it."""
        if sock is not None:
            sock.close()  # successors have no reason to send descriptors
        match message:
            case messages.RequestState(identity):
                self._export_state(link, identity)
            case messages.TakeClients() if self.successor is None:
                self.release_clients(link)
            case messages.TakeClients() if self.successor is not link:
                link.close("another process has taken the clients before it")
            case messages.EndPredecessor() if link is self.successor:
                log.info("shutting down at the request of the process that took the clients")
                self.ending = True
                os.kill(os.getpid(), signal.SIGTERM)
            case _:
                self.on_shared_message(link, message)

    def _export_state(self, link: Link, identity: GatewayIdentity | None) -> None:
        main_socket = self.downstream.socket
        has_ended = self.config.listen is not None and main_socket is None
        if identity != self.identity or self.successor is not None or has_ended or self.ending:
            link.close("its request for the state was rejected: it is of another gateway or too late")
            return
        for component in self.transferable.values():
            for name, descriptor in component.export_listeners().items():
                link.send(messages.ExportListener(name), descriptor)
        message = messages.ExportState(self.current_state(), self.state_identity)
        link.send(message, main_socket.fileno() if main_socket is not None else None)
        self.sync.add(link)
        log.info("another process of this gateway has asked for what it needs")

    def current_state(self) -> TransferredState:
        """Return the state that a successor needs to continue the work of this process."""
        proxy, lame_duck = self.proxy, self.downstream.lame_duck
        entries = proxy.directory.registry.entries_of(PLATFORM)
        index, start_times = proxy.directory.list_version, proxy.directory.export_start_times()
        proxies = self.proxies()
        return TransferredState(
            clock_offset_ns=proxy.clock.offset_ns,
            endpoint_list=export_endpoint_list(entries, proxy.config.names, index, start_times),
            start_times=start_times,
            drains=tuple(proxy.directory.registry.drains.values()),
            lame_duck_age_s=lame_duck.age(self.loop.time()) if lame_duck else None,
            learned_state=proxy.balancer.snapshot(),
            pools={name: pool.balancer.snapshot() for name, pool in proxies.items() if name != MAIN},
            request_classes=proxy.latest_config.names.classes,
            endpoint_counts={name: len(pool.upstream.endpoints) for name, pool in proxies.items()},
            discovery=origin_of(proxy.latest_config),
        )

    def release_clients(self, successor: Link) -> None:
        """Stop accepting; export each client's connection to `successor` once no request is open on it."""
        log.info("another process of this gateway takes its clients")
        self.successor = successor
        for proxy in self.proxies().values():
            proxy.balancer.is_standby = True
            proxy.upstream.close_all_idle()
        self.downstream.budget.divide(2)
        self.downstream.hand_over(self._export_connection)
        for name, component in self.transferable.items():
            component.release_clients(partial(self._export_descriptor, name))
        self._report_counts()

    def _export_connection(self, connection: ClientConnection) -> bool:
        """Send a client's connection to the successor; return False if it stays in this process."""
        if self.successor is None or connection.transport is None:
            return False
        return self.successor.send(messages.ExportClient(), descriptor_of(connection.transport))

    def _export_descriptor(self, component: str, descriptor: int) -> bool:
        """Send a client's connection to the successor; return False if it stays in this process."""
        if self.successor is None:
            return False
        return self.successor.send(messages.ExportClient(component), descriptor)

    def _report_counts(self) -> None:
        """Report the connections that count against the successor's limits, and schedule the next report."""
        if self.successor is None:
            return
        counts = messages.ConnectionCounts(
            clients=self.counts.clients + len(self.downstream.connections),
            endpoints=self.counts.endpoints + len(self.proxy.upstream.connections),
        )
        self.successor.send(counts)
        self.loop.call_later(CONNECTION_COUNTS_S, self._report_counts)

    def on_successor_lost(self, link: Link) -> None:
        """Handle the end of a link; if that process had taken the clients, take them here again."""
        self.candidates.discard(link)
        self.sync.discard(link)
        if link is not self.successor:
            return
        self.successor = None
        if self.ending:
            return
        log.warning("the process that took the clients has gone: they are taken here again")
        self.downstream.budget.divide(1)
        for proxy in self.proxies().values():
            proxy.balancer.is_standby = False
        if self.config.listen is not None:
            self.downstream.resume_accepting()
        for component in self.transferable.values():
            component.reclaim_clients()
        self.rendezvous_listener.start()

    # In both roles

    def on_shared_message(self, link: Link, message: Message) -> None:
        """Handle a message that both processes may send."""
        match message:
            case messages.ConnectionCounts() if link is self.predecessor:
                self.released.set()
                self.update_counts(message)
            case _:
                self.sync.receive(link, message)

    def on_manual_drain(self, name: str, by: str, drained: bool) -> None:
        """Forward and store a change of the manual drains, made here or at another process."""
        self.sync.notify(messages.ManualDrainChanged(name, by, drained))
        if self.drain_store is not None:
            drains = list(self.proxy.directory.registry.drains.values())
            self.drain_writer.submit(self._save_drains, self.drain_store, drains)

    def _save_drains(self, store: DrainStore, drains: list[ManualDrain]) -> None:
        try:
            store.save(drains)
        except OSError as error:
            log.warning("manual drains could not be saved: %s", error.strerror or error)

    def on_lame_duck(self, is_lame_duck: bool) -> None:
        """Forward the start or the end of the lame-duck state."""
        self.sync.notify(messages.LameDuckChanged(is_lame_duck))

    def on_endpoint_news(self, news: EndpointNews) -> None:
        """Forward a newer endpoint list: what one process is told counts as told to the gateway."""
        self.sync.notify(messages.EndpointsChanged(news))

    def on_shutdown(self) -> None:
        """Note that this process shuts down; with a standby time, end the predecessor too."""
        self.ending = True
        if self.standby_s is not None:
            self.end_predecessor()

    async def close(self) -> None:
        """Send the last exported connections, then close all links; runs when all requests are answered."""
        self.ending = True
        self.rendezvous_listener.stop()
        self.close_unused_listeners()
        if self.successor is not None:
            with suppress(TimeoutError):
                async with asyncio.timeout(FLUSH_TIMEOUT_S):
                    await self.successor.flush()
        for link in (self.predecessor, *self.candidates):
            if link is not None:
                link.close()
        self.drain_writer.shutdown(wait=True)
