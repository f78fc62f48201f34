"""Manual drains of endpoints: agreed by the group, and carried out in the gateway."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Literal

from badgergap.consensus.background_tasks import BackgroundTasks
from badgergap.consensus.errors import NotAgreedError
from badgergap.consensus.pending_requests import PROPOSAL_TIMEOUT_S, REPEAT_S
from badgergap.consensus.replicated_state import ALREADY_DRAINED, NOT_DRAINED
from badgergap.consensus.versions import ANY_PARENT, Outcome, ProposeVersion, VersionContent
from badgergap.proxy.endpoints.registry import DRAIN_LIMIT, EndpointRegistryError, ManualDrain
from badgergap.proxy.pools import proxy_for_endpoint
from badgergap.proxy.proxy import Proxy

GROUP = "the group"  # the author of drains and reinstatements that the group agreed on
MIN_ATTEMPT_S = 0.1

DrainKind = Literal["out", "back"]
Propose = Callable[[ProposeVersion, float], Awaitable[Outcome | None]]


class DrainAgreement:
    """Drains endpoints by the version in force or a newer one, or at this gateway alone until agreed."""

    def __init__(
        self,
        tasks: BackgroundTasks,
        propose: Propose,
        is_not_drained: Callable[[str], bool],
        on_agreed: Callable[[], None],
        proxies: Callable[[], Mapping[str, Proxy]],
    ) -> None:
        """`is_not_drained`: whether the newest version known here does not drain an endpoint.

        `on_agreed` must cause a call of `follow` with the versions known at that time.
        """
        self.tasks = tasks
        self.is_not_drained = is_not_drained
        self.on_agreed = on_agreed
        self.propose = propose
        self.main: Proxy | None = None
        self.proxies = proxies
        self.acting = VersionContent()
        self.newest = VersionContent()
        # Drained manually at this gateway, while the group's agreement is pending.
        self.pending_drains: dict[str, asyncio.Task[None]] = {}

    def join(self, proxy: Proxy) -> None:
        """Listen for manual drains and reinstatements at this gateway."""
        self.main = proxy
        proxy.directory.may_undrain = self._may_reinstate
        proxy.directory.manual_drain_listeners.append(self._on_drained_here)

    def _main(self) -> Proxy:
        assert self.main is not None
        return self.main

    def _agreed(self) -> Mapping[str, str]:
        """Return the endpoints that the group has drained, and who drained each."""
        return {**self.newest.out, **self.acting.out}

    def follow(self, acting: VersionContent, newest: VersionContent) -> None:
        """Drain and reinstate endpoints as these versions require."""
        self.acting = acting
        self.newest = newest
        self.apply()

    def apply(self) -> None:
        """Drain what the group has drained; reinstate what neither it nor a pending local drain covers."""
        agreed = self._agreed()
        drains = self._main().directory.registry.drains
        for name, by in agreed.items():
            if name not in drains:
                self._drain(name, by)
        for name in list(drains):
            if name not in agreed and name not in self.pending_drains:
                self._reinstate(name)

    def _drain(self, name: str, by: str) -> None:
        drains = self._main().directory.registry.drains
        proxy = proxy_for_endpoint(self.proxies().values(), name)
        try:
            proxy.directory.drain(name, by)
        except EndpointRegistryError:
            # Not in any endpoint list yet: the drain takes effect as soon as it is.
            if len(drains) < DRAIN_LIMIT:
                drains[name] = ManualDrain(name, by, proxy.clock.now_us())

    def _reinstate(self, name: str) -> None:
        try:
            proxy_for_endpoint(self.proxies().values(), name).directory.undrain(name, GROUP)
        except EndpointRegistryError:
            self._main().directory.registry.drains.pop(name, None)

    # Manual drains at this gateway

    def _may_reinstate(self, name: str, by: str) -> bool:
        """Whether an endpoint may be reinstated now: one that the group drained needs its agreement."""
        if by == GROUP:
            return True
        pending = self.pending_drains.get(name)
        if pending is None and name not in self._main().directory.registry.drains:
            return True
        self.tasks.spawn(self.agree(name, "back", by, None))
        if pending is None:
            return False
        pending.cancel()
        return self.is_not_drained(name)  # the group did not agree on the drain

    def _on_drained_here(self, name: str, by: str, out: bool) -> None:
        """Propose to the group a drain at this gateway that is neither agreed nor pending."""
        if out and name not in self._agreed() and name not in self.pending_drains:
            task = self.tasks.spawn(self.agree(name, "out", by, None))
            self.pending_drains[name] = task
            task.add_done_callback(lambda _: self.pending_drains.pop(name, None))

    # Agreement

    async def agree(self, name: str, kind: DrainKind, by: str, within_s: float | None) -> None:
        """Have the group agree that an endpoint is drained, or is not. `within_s` None: no time limit.

        Raises NotAgreedError if the group refuses or the time is over.
        """
        deadline = None if within_s is None else time.monotonic() + within_s
        id = uuid.uuid4().hex
        while True:
            left_s = PROPOSAL_TIMEOUT_S if deadline is None else deadline - time.monotonic()
            proposal = ProposeVersion(id, kind, name, by, "by hand", ANY_PARENT, True)
            outcome = await self.propose(proposal, max(MIN_ATTEMPT_S, left_s))
            if outcome is not None:
                if outcome.version or outcome.why in (ALREADY_DRAINED, NOT_DRAINED):
                    self.on_agreed()  # also ends a local drain when no new version results
                    return
                if deadline is not None:
                    raise NotAgreedError(outcome.why)
                await asyncio.sleep(REPEAT_S)  # refused, for example because too many proposals wait
                id = uuid.uuid4().hex
            elif deadline is not None and time.monotonic() >= deadline:
                raise NotAgreedError("the group has not agreed yet")

    async def drain(self, name: str, by: str, within_s: float) -> None:
        """Have the group agree that an endpoint is drained.

        Raises NotAgreedError if it does not agree in time. A drain that was already pending stays so.
        """
        pending = self.pending_drains.get(name)
        if pending is None:
            await self.agree(name, "out", by, within_s)
            return
        await asyncio.wait({pending}, timeout=within_s)
        if not pending.done() or pending.cancelled():
            raise NotAgreedError("the group has not agreed yet")
        pending.result()
