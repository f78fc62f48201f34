"""Endpoints drained by hand: agreed by the group, and carried out in the gateway."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Literal

from badgergap.consensus.background_tasks import BackgroundTasks
from badgergap.consensus.errors import NotAgreedError
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S, REPEAT_S
from badgergap.consensus.replicated_state import BACK_ALREADY, OUT_ALREADY
from badgergap.consensus.versions import ANY_PARENT, Outcome, ProposeVersion, VersionContent
from badgergap.proxy.endpoints.registry import DRAIN_LIMIT, EndpointRegistryError, ManualDrain
from badgergap.proxy.pools import proxy_for_endpoint
from badgergap.proxy.proxy import Proxy

GROUP = "the group"  # who drains and reinstates, where the group agreed on it
MIN_ATTEMPT_S = 0.1

DrainKind = Literal["out", "back"]
Propose = Callable[[ProposeVersion, float], Awaitable[Outcome | None]]


class DrainAgreement:
    """Endpoints are drained by the version in force, by a newer one, or for now here alone."""

    def __init__(
        self,
        tasks: BackgroundTasks,
        propose: Propose,
        is_not_drained: Callable[[str], bool],
        on_agreed: Callable[[], None],
        proxies: Callable[[], Mapping[str, Proxy]],
    ) -> None:
        """`is_not_drained`: whether the newest version that is known here does not drain an endpoint.

        `on_agreed` has to have `follow` called with the versions that are known then.
        """
        self.tasks = tasks
        self.is_not_drained = is_not_drained
        self.on_agreed = on_agreed
        self.propose = propose
        self.main: Proxy | None = None
        self.proxies = proxies
        self.acting = VersionContent()
        self.newest = VersionContent()
        # Drained here by hand, and not by the group's agreement yet.
        self.being_agreed: dict[str, asyncio.Task[None]] = {}

    def join(self, proxy: Proxy) -> None:
        """Follow what is drained and reinstated by hand at this gateway."""
        self.main = proxy
        proxy.directory.may_undrain = self._may_reinstate
        proxy.directory.manual_drain_listeners.append(self._on_drained_here)

    def _main(self) -> Proxy:
        assert self.main is not None
        return self.main

    def _agreed(self) -> Mapping[str, str]:
        """Endpoints that the group has drained, and who drained each."""
        return {**self.newest.out, **self.acting.out}

    def follow(self, acting: VersionContent, newest: VersionContent) -> None:
        """Drain and reinstate by these versions."""
        self.acting = acting
        self.newest = newest
        self.apply()

    def apply(self) -> None:
        """Drain what the group has drained, and reinstate what neither it nor anybody here has."""
        agreed = self._agreed()
        drains = self._main().directory.registry.drains
        for name, by in agreed.items():
            if name not in drains:
                self._drain(name, by)
        for name in list(drains):
            if name not in agreed and name not in self.being_agreed:
                self._reinstate(name)

    def _drain(self, name: str, by: str) -> None:
        drains = self._main().directory.registry.drains
        proxy = proxy_for_endpoint(self.proxies().values(), name)
        try:
            proxy.directory.drain(name, by)
        except EndpointRegistryError:
            # No source names it yet: it is drained as soon as one does.
            if len(drains) < DRAIN_LIMIT:
                drains[name] = ManualDrain(name, by, proxy.clock.now_us())

    def _reinstate(self, name: str) -> None:
        try:
            proxy_for_endpoint(self.proxies().values(), name).directory.undrain(name, GROUP)
        except EndpointRegistryError:
            self._main().directory.registry.drains.pop(name, None)

    # By hand at this gateway

    def _may_reinstate(self, name: str, by: str) -> bool:
        """Only the group's agreement reinstates an endpoint that the group has drained."""
        if by == GROUP:
            return True
        waiting = self.being_agreed.get(name)
        if waiting is None and name not in self._main().directory.registry.drains:
            return True
        self.tasks.spawn(self.agree(name, "back", by, None))
        if waiting is None:
            return False
        waiting.cancel()
        return self.is_not_drained(name)  # the group never heard of it

    def _on_drained_here(self, name: str, by: str, out: bool) -> None:
        """An endpoint was drained at this gateway, by hand or by the group's agreement."""
        if out and name not in self._agreed() and name not in self.being_agreed:
            task = self.tasks.spawn(self.agree(name, "out", by, None))
            self.being_agreed[name] = task
            task.add_done_callback(lambda _: self.being_agreed.pop(name, None))

    # Agreement

    async def agree(self, name: str, kind: DrainKind, by: str, within_s: float | None) -> None:
        """Have the group agree that an endpoint is drained, or is not. `within_s` None: until it does.

        Raises NotAgreedError.
        """
        deadline = None if within_s is None else time.monotonic() + within_s
        id = uuid.uuid4().hex
        while True:
            left_s = PROPOSAL_TIMEOUT_S if deadline is None else deadline - time.monotonic()
            proposal = ProposeVersion(id, kind, name, by, "by hand", ANY_PARENT, True)
            outcome = await self.propose(proposal, max(MIN_ATTEMPT_S, left_s))
            if outcome is not None:
                if outcome.version or outcome.why in (OUT_ALREADY, BACK_ALREADY):
                    self.on_agreed()  # reinstates what was drained here alone, where nothing new comes of it
                    return
                if deadline is not None:
                    raise NotAgreedError(outcome.why)
                await asyncio.sleep(REPEAT_S)  # too many proposals wait just now
                id = uuid.uuid4().hex
            elif deadline is not None and time.monotonic() >= deadline:
                raise NotAgreedError("the group has not agreed yet")

    async def drain(self, name: str, by: str, within_s: float) -> None:
        """Have the group agree that an endpoint is drained. Raises NotAgreedError; it goes on trying."""
        waiting = self.being_agreed.get(name)
        if waiting is None:
            await self.agree(name, "out", by, within_s)
            return
        await asyncio.wait({waiting}, timeout=within_s)
        if not waiting.done() or waiting.cancelled():
            raise NotAgreedError("the group has not agreed yet")
        waiting.result()
