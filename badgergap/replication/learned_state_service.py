"""Sends what a gateway has learned about endpoints to other members, and gets it back after a restart.

Now and then it sends its health snapshot to two others. One that has started asks all for its own, and
takes the newest that comes before it has sent anything to an endpoint. Nothing waits for any of this.
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

GUEST_NAME = "learnt"  # among the group's guests
EXPORT_S = 5.0  # between two health snapshots of this gateway
QUERY_S = 0.2  # between two questions for its own, and for the second answer to come after the first
QUERIES_LIMIT = 50  # questions; a gateway that has not joined its group by then goes without


class LearnedStateService:
    """Exports this gateway's health snapshot, stores those of others, and restores its own at the start."""

    def __init__(
        self, group: GroupService, copies: ReplicationService, proxies: Callable[[], Mapping[str, Proxy]]
    ) -> None:
        """`proxies`: of all pools, once they have started; the main one among them."""
        self.group = group
        self.copies = copies
        self.proxies = proxies
        self.snapshot_store = SnapshotStore()
        self.newest: tuple[str, StoredSnapshot] | None = None  # of what others have sent of this gateway's
        self.restored_count = 0  # endpoints of which something was known again after the start
        self.sent_to: tuple[str, ...] = ()
        self.too_long = False
        self.task: asyncio.Task[None] | None = None

    # The room

    def join(self, proxy: Proxy) -> None:
        """Become a guest of the group's service."""
        self.group.components[GUEST_NAME] = self

    async def start(self) -> None:
        """Ask for this gateway's snapshot, then export one now and then."""
        self.task = asyncio.get_running_loop().create_task(self._work())

    def reload(self, config: Config) -> None:
        """Nothing of it is in the file."""

    async def close(self) -> None:
        """Stop exporting."""
        if self.task is not None:
            self.task.cancel()

    def line(self) -> str:
        """How it stands, for people."""
        at = " and ".join(self.sent_to) or "nobody"
        back = f", {self.restored_count} boxes known again at the start" if self.restored_count else ""
        return (
            f"what it learns is kept at {at}, and of {len(self.snapshot_store.snapshots)} others here{back}"
        )

    # A guest of the group

    def on_message(self, name: str, data: bytes) -> None:
        """A message of another member."""
        try:
            message = learned_state.decode(data)
        except msgspec.MsgspecError as error:
            log.warning("a word on what was learnt from %s that this program does not know: %s", name, error)
            return
        now_us = clock_us()
        match message:
            case StoreSnapshot():
                self.snapshot_store.keep(now_us, name, message.health_snapshot)
            case QuerySnapshot():
                answer = self.snapshot_store.have(now_us, name)
                if answer is not None:
                    self._say(name, answer)
            case StoredSnapshot():
                if self.newest is None or message.age_us < self.newest[1].age_us:
                    self.newest = (name, message)

    def on_group_changed(self) -> None:
        """Nothing of it is in the group's log."""

    def removal_objection(self, name: str) -> str:
        """Nothing speaks against a member's leaving."""
        return ""

    def _say(self, name: str, message: learned_state.Message) -> None:
        self.group.send_to_component(name, GUEST_NAME, learned_state.encode(message))

    # Its own health snapshot

    @property
    def replicas(self) -> tuple[Replica, ...]:
        """Those of the newest placement."""
        replica_node = self.copies.replica_node
        return replica_node.placement.replicas if replica_node is not None else ()

    async def _work(self) -> None:
        """It asks before it sends.

        The health snapshot of one that has learnt nothing would replace its own.
        """
        await self._query_peers()
        while True:
            await asyncio.sleep(EXPORT_S)
            try:
                self.export_snapshot()
            except Exception:
                log.exception("what was learnt could not be sent")

    def export_snapshot(self) -> None:
        """Send what this gateway has learned to the members that store it."""
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
            if not self.too_long:
                log.info("what is learnt of %d boxes is too much to be kept by others", endpoints)
            self.too_long = True
            return
        self.sent_to = learned_state.choose_keepers(own, self.replicas)
        for name in self.sent_to:
            self._say(name, StoreSnapshot(health_snapshot))

    async def _query_peers(self) -> None:
        for _ in range(QUERIES_LIMIT):
            if self.has_sent_requests():
                return
            if self.newest is not None and self.restore(*self.newest):
                return
            member = self.group.member
            for peer in member.raft.log.configuration if member is not None else ():
                if peer.name != self.copies.options.name:
                    self._say(peer.name, QuerySnapshot())
            await asyncio.sleep(QUERY_S)

    def has_sent_requests(self) -> bool:
        """Whether something was sent to an endpoint.

        What is learnt from then on is newer than any health snapshot.
        """
        servers = (
            server for proxy in self.proxies().values() for server in proxy.balancer.endpoints.values()
        )
        return any(server.used for server in servers)

    def restore(self, name: str, answer: StoredSnapshot) -> bool:
        """Whether that is over: taken, or of no use. Not while no list of endpoints is known yet."""
        proxies = self.proxies()
        if not any(proxy.balancer.endpoints for proxy in proxies.values()):
            return False
        try:
            health_snapshot = learned_state.unpack(answer.health_snapshot)
            main = next(iter(proxies.values()))
            if health_snapshot.classes != main.latest_config.names.classes:
                raise BadHealthSnapshotError("its classes are not those of now")
            if answer.age_us > learned_state.MAX_AGE_US:
                raise BadHealthSnapshotError("it is too old")
            for pool, raw in health_snapshot.pools.items():
                if pool in proxies:
                    self.restored_count += self._restore(proxies[pool], health_snapshot, raw, answer.age_us)
        except ValueError as error:
            log.warning("what %s kept of this gateway is not taken: %s", name, error)
            return True
        age_s = answer.age_us / 1e6
        log.info("%d boxes are known again, by what %s has kept for %.1f s", self.restored_count, name, age_s)
        return True

    def _restore(
        self, proxy: Proxy, health_snapshot: HealthSnapshot, raw: learned_state.BalancerSnapshot, age_us: int
    ) -> int:
        """How many endpoints are known again. Raises ValueError, and has then changed nothing."""
        now_us = proxy.clock.now_us()
        older = learned_state.age_snapshot(raw, age_us, now_us - age_us - health_snapshot.taken_us)
        proxy.balancer.restore(now_us, older)
        restored = {server[0] for server in older["servers"]}
        return len(restored & proxy.balancer.endpoints.keys())
