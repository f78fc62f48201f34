"""Stores a gateway's learned state about endpoints at other members, and restores it after a restart.

A gateway periodically sends its health snapshot to two other members. After a start it queries all members
for its own snapshot, and restores the newest one that arrives before it has sent a request to an endpoint.
Serving requests never waits for this.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

import msgspec

from badgergap.consensus.clock import clock_us
from badgergap.consensus.service import GroupService
from badgergap.proxy.lifecycle.config import Config
from badgergap.proxy.proxy import Proxy
from badgergap.replication import learned_state
from badgergap.replication.learned_state import (
    BadHealthSnapshotError,
    HealthSnapshot,
    QuerySnapshot,
    SnapshotStore,
    StoredSnapshot,
    StoreSnapshot,
)
from badgergap.replication.placement import Replica
from badgergap.replication.service import ReplicationService

log = logging.getLogger(__name__)

COMPONENT_NAME = "learnt"  # among the components of the group's service
EXPORT_S = 5.0  # interval between two health snapshots of this gateway
QUERY_S = 0.2  # interval between two queries; long enough for answers of several members to arrive
QUERIES_LIMIT = 50  # a gateway that has not joined its group by then starts without its learned state


class LearnedStateService:
    """Exports this gateway's health snapshot, stores those of others, and restores its own at the start."""

    def __init__(
        self, group: GroupService, copies: ReplicationService, proxies: Callable[[], Mapping[str, Proxy]]
    ) -> None:
        """`proxies` returns the proxies of all pools, the main one first; empty before they have started."""
        self.group = group
        self.copies = copies
        self.proxies = proxies
        self.snapshot_store = SnapshotStore()
        self.newest: tuple[str, StoredSnapshot] | None = None  # the member that sent it, and the snapshot
        self.restored_count = 0  # endpoints whose learned state was restored after the start
        self.sent_to: tuple[str, ...] = ()
        self.is_too_large = False
        self.task: asyncio.Task[None] | None = None

    # Component

    def join(self, proxy: Proxy) -> None:
        """Register as a component of the group's service."""
        self.group.components[COMPONENT_NAME] = self

    async def start(self) -> None:
        """Start the task that queries for this gateway's snapshot, and then exports one periodically."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def reload(self, config: Config) -> None:
        """Do nothing: there are no settings for it."""

    async def close(self) -> None:
        """Stop exporting."""
        if self.task is not None:
            self.task.cancel()

    def line(self) -> str:
        """Return a one-line status for operators."""
        keepers = " and ".join(self.sent_to) or "nobody"
        restored = f", {self.restored_count} boxes known again at the start" if self.restored_count else ""
        return (
            f"what it learns is kept at {keepers}, "
            f"and of {len(self.snapshot_store.snapshots)} others here{restored}"
        )

    # Component of the group's service

    def on_message(self, name: str, data: bytes) -> None:
        """Process a message from another member."""
        try:
            message = learned_state.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("cannot decode a learned-state message from %s: %s", name, error)
            return
        now_us = clock_us()
        match message:
            case StoreSnapshot():
                self.snapshot_store.keep(now_us, name, message.health_snapshot)
            case QuerySnapshot():
                answer = self.snapshot_store.have(now_us, name)
                if answer is not None:
                    self._send(name, answer)
            case StoredSnapshot():
                if self.newest is None or message.age_us < self.newest[1].age_us:
                    self.newest = (name, message)

    def on_group_changed(self) -> None:
        """Do nothing: no learned state is in the group's log."""

    def removal_objection(self, name: str) -> str:
        """Return an empty string: any member may leave."""
        return ""

    def _send(self, name: str, message: learned_state.Message) -> None:
        self.group.send_to_component(name, COMPONENT_NAME, learned_state.encode(message))

    # This gateway's health snapshot

    @property
    def replicas(self) -> tuple[Replica, ...]:
        """The replicas of the newest placement."""
        replica_node = self.copies.replica_node
        return replica_node.placement.replicas if replica_node is not None else ()

    async def _run(self) -> None:
        """Query for the stored snapshot, and only then export snapshots.

        A snapshot without any learned state would replace the one that other members store.
        """
        await self._query_peers()
        while True:
            await asyncio.sleep(EXPORT_S)
            try:
                self.export_snapshot()
            except Exception:
                log.exception("failed to export the health snapshot")

    def export_snapshot(self) -> None:
        """Send this gateway's health snapshot to the members that store it."""
        own = next((replica for replica in self.replicas if replica.name == self.copies.options.name), None)
        proxies = self.proxies()
        endpoints = sum(len(proxy.balancer.endpoints) for proxy in proxies.values())
        if own is None or not proxies:
            return
        health_snapshot = None
        if endpoints <= learned_state.ENDPOINTS_LIMIT:
            main = next(iter(proxies.values()))
            pools = {name: proxy.balancer.snapshot() for name, proxy in proxies.items()}
            health_snapshot = learned_state.pack(
                HealthSnapshot(main.clock.now_us(), main.latest_config.names.classes, pools)
            )
        if health_snapshot is None:
            if not self.is_too_large:
                log.info(
                    "the health snapshot of %d endpoints is too large to be stored by other members",
                    endpoints,
                )
            self.is_too_large = True
            return
        self.sent_to = learned_state.choose_keepers(own, self.replicas)
        for name in self.sent_to:
            self._send(name, StoreSnapshot(health_snapshot))

    async def _query_peers(self) -> None:
        for _ in range(QUERIES_LIMIT):
            if self.has_sent_requests():
                return
            if self.newest is not None and self.restore(*self.newest):
                return
            member = self.group.member
            for peer in member.raft.log.configuration if member is not None else ():
                if peer.name != self.copies.options.name:
                    self._send(peer.name, QuerySnapshot())
            await asyncio.sleep(QUERY_S)

    def has_sent_requests(self) -> bool:
        """Return whether a request was sent to an endpoint.

        The state that is learned from then on is newer than any stored health snapshot.
        """
        endpoints = (
            endpoint for proxy in self.proxies().values() for endpoint in proxy.balancer.endpoints.values()
        )
        return any(endpoint.used for endpoint in endpoints)

    def restore(self, name: str, answer: StoredSnapshot) -> bool:
        """Restore a stored snapshot.

        Returns False while there is no endpoint list yet, and True once the snapshot is applied or rejected.
        """
        proxies = self.proxies()
        if not any(proxy.balancer.endpoints for proxy in proxies.values()):
            return False
        try:
            health_snapshot = learned_state.unpack(answer.health_snapshot)
            main = next(iter(proxies.values()))
            if health_snapshot.classes != main.latest_config.names.classes:
                raise BadHealthSnapshotError("its request classes differ from the current ones")
            if answer.age_us > learned_state.MAX_AGE_US:
                raise BadHealthSnapshotError("it is too old")
            for pool, raw in health_snapshot.pools.items():
                if pool in proxies:
                    self.restored_count += self._restore(proxies[pool], health_snapshot, raw, answer.age_us)
        except ValueError as error:
            log.warning("rejected the health snapshot that %s stored for this gateway: %s", name, error)
            return True
        age_s = answer.age_us / 1e6
        log.info(
            "restored the learned state of %d endpoints from %s, stored %.1f s ago",
            self.restored_count,
            name,
            age_s,
        )
        return True

    def _restore(
        self, proxy: Proxy, health_snapshot: HealthSnapshot, raw: learned_state.BalancerSnapshot, age_us: int
    ) -> int:
        """Restore one pool and return the number of its endpoints that the snapshot contains.

        Raises ValueError without having changed anything.
        """
        now_us = proxy.clock.now_us()
        aged = learned_state.age_snapshot(raw, age_us, now_us - age_us - health_snapshot.taken_us)
        proxy.balancer.restore(now_us, aged)
        restored = {endpoint[0] for endpoint in aged["servers"]}
        return len(restored & proxy.balancer.endpoints.keys())
