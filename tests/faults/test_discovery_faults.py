"""Real gateways whose discovery is asked, and is down, slow, silent, cut off or moved around a drain.

Each scenario has a gateway of its own; the drain is told to all of them at one time.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from badgergap.standins.discovery import Change, Cut, DiscoveryService, Outage, Outlet
from badgergap.standins.faults.checker import DRAIN_GRACE_S
from badgergap.standins.load import Kind
from badgergap.standins.platform import GatewayProcess, Platform, settings_of
from tests.sockets import Client, ask, run

KINDS = (Kind("look", "safe", 0.5, 2.0),)
BOXES = 4
CLIENTS = 2  # of each gateway
PAUSE_S = 0.04
LEAD_S = 1.0
LAST_LOOK_S = 8.0  # after the drain, to see what is sent beyond its grace: 6 s, the grace, and some
SERVED_LEAST = 150
TEST_S = 80.0
PREPARED_S = 40.0  # for all scenarios to be ready for the drain


@dataclass
class World:
    """One gateway under steady load, and its discovery."""

    platform: Platform
    gateway: GatewayProcess
    outlet: Outlet
    statuses: list[int] = field(default_factory=list)
    is_over: bool = False

    async def move(self) -> None:
        await self.platform.move_discovery(self.gateway)

    async def ask_on(self, client_number: int) -> None:
        """One client that asks again and again on one connection."""
        client = Client(*await asyncio.open_connection("127.0.0.1", self.gateway.port))
        for number in itertools.count():
            if self.is_over:
                return
            status, _, _ = await client.ask(ask(Request_Id=f"{self.gateway.name}-{client_number}-{number}"))
            self.statuses.append(status)
            await asyncio.sleep(PAUSE_S)

    async def answered(self) -> None:
        """Wait until discovery has written something since now."""
        count = len(self.outlet.writes)
        while len(self.outlet.writes) == count:
            await asyncio.sleep(0.001)

    async def failed_calls(self, count: int) -> None:
        """Wait for so many calls from now on."""
        count += len(self.outlet.calls)
        while len(self.outlet.calls) < count:
            await asyncio.sleep(0.001)

    def late(self, change: Change) -> list[str]:
        """The requests that this gateway sent to a draining endpoint beyond the grace, by how much."""
        box = self.platform.boxes[str(change.entry["name"])]
        until = self.outlet.notified_at(change) + DRAIN_GRACE_S
        own = [seen for seen in box.seen if seen.id.startswith(f"{self.gateway.name}-")]
        return [f"+{seen.at - until:.3f}" for seen in own if seen.at > until]


Step = Callable[[World], Awaitable[None]]


async def nothing(it: World) -> None:
    """No fault."""


@dataclass(frozen=True)
class Scenario:
    """What becomes of discovery before the drain, shortly before it, and in the instant before it is told."""

    before: Step = nothing
    shortly_before: Step = nothing  # at most LEAD_S
    at_drain: Step = nothing


async def slow_new_service(it: World) -> None:
    it.outlet.answer_after_s = 2.0
    await it.move()


async def long_outage(it: World) -> None:
    """Ends just after a call has failed, so that the pause that follows is a whole one."""
    await it.outlet.go_down(Outage.RESET)
    await it.failed_calls(3)


async def outage_that_hangs(it: World) -> None:
    await it.outlet.go_down(Outage.HANGS)
    await it.failed_calls(2)


async def outage_over_a_move(it: World) -> None:
    await it.outlet.go_down(Outage.RESET)
    await it.move()
    await asyncio.sleep(12.0)


async def outage_that_refuses(it: World) -> None:
    await it.outlet.go_down(Outage.REFUSED)
    await asyncio.sleep(12.0)


async def busy_outage(it: World) -> None:
    await it.outlet.go_down(Outage.BUSY)
    await it.failed_calls(2)


async def come_back(it: World) -> None:
    await it.outlet.come_back()


async def come_back_cut(it: World) -> None:
    it.outlet.cut_messages, it.outlet.cut = 1, Cut.SILENCE
    await it.outlet.come_back()


async def silent_twice(it: World) -> None:
    it.outlet.fall_silent(calls=1)


async def silent_and_slow(it: World) -> None:
    it.outlet.answer_after_s = 2.0
    it.outlet.fall_silent()


async def reset_and_slow(it: World) -> None:
    it.outlet.answer_after_s = 2.0
    it.outlet.reset()


async def two_moves(it: World) -> None:
    """The first one's answer crosses the second."""
    it.outlet.answer_after_s = 0.9 * LEAD_S
    await it.move()
    await asyncio.sleep(0.9 * LEAD_S)
    await it.move()


def cutting(cut: Cut, messages: int) -> Step:
    async def cut_messages(it: World) -> None:
        it.outlet.cut_messages, it.outlet.cut = messages, cut

    return cut_messages


SCENARIOS: dict[str, Scenario] = {
    "no fault": Scenario(),
    "slow new service": Scenario(shortly_before=slow_new_service),
    "long outage": Scenario(long_outage, at_drain=come_back),
    "outage that hangs": Scenario(outage_that_hangs, at_drain=come_back),
    "outage that refuses": Scenario(outage_that_refuses, at_drain=come_back),
    "outage over a move": Scenario(outage_over_a_move, at_drain=come_back),
    "busy outage": Scenario(busy_outage, at_drain=come_back),
    "outage, then an answer that is cut": Scenario(outage_that_hangs, at_drain=come_back_cut),
    "silent twice": Scenario(at_drain=silent_twice),
    "silent and slow": Scenario(at_drain=silent_and_slow),
    "reset and slow": Scenario(at_drain=reset_and_slow),
    "two moves": Scenario(shortly_before=two_moves),
    **{f"cut, {cut.value}": Scenario(at_drain=cutting(cut, 2)) for cut in Cut},
}


@asynccontextmanager
async def worlds(folder: Path, must_ask_s: float) -> AsyncIterator[dict[str, World]]:
    """A world for each scenario, whose gateways have all been answered by discovery."""
    service = DiscoveryService()
    settings = settings_of(KINDS, contract={"mustAskInUs": int(must_ask_s * 1e6)})
    settings |= {"membershipMode": "on_request", "balancers": len(SCENARIOS)}
    async with Platform(
        folder, KINDS, boxes=BOXES, gateways=len(SCENARIOS), settings=settings, discovery=service
    ) as platform:
        its = {
            name: World(platform, gateway, service.outlets[gateway.name])
            for name, gateway in zip(SCENARIOS, platform.gateways, strict=True)
        }
        async with asyncio.timeout(0.1 * must_ask_s + 5.0):
            while not all(it.outlet.writes for it in its.values()):
                await asyncio.sleep(0.01)
        async with asyncio.TaskGroup() as group:
            for it in its.values():
                for number in range(CLIENTS):
                    group.create_task(it.ask_on(number))
            yield its
            for it in its.values():
                it.is_over = True


# Guards against report 25e3c4: draining endpoints got requests beyond the grace, because the gateway had
# given up, delayed or thrown away the calls that would have told it.
@pytest.mark.parametrize("must_ask_s", [5.0, 60.0])
def test_a_drain_is_heeded_whatever_becomes_of_calls_to_discovery(must_ask_s: float, tmp_path: Path) -> None:
    async def test() -> None:
        async with worlds(tmp_path, must_ask_s) as its:
            async with asyncio.timeout(PREPARED_S):
                await asyncio.gather(*(scenario.before(its[name]) for name, scenario in SCENARIOS.items()))
            leads = [scenario.shortly_before(its[name]) for name, scenario in SCENARIOS.items()]
            await asyncio.gather(asyncio.sleep(LEAD_S), *leads)
            for name, scenario in SCENARIOS.items():
                await scenario.at_drain(its[name])
            platform = its["no fault"].platform
            platform.tell("b0", "leaving")
            assert platform.discovery is not None
            change = platform.discovery.changes[-1]
            await asyncio.sleep(LAST_LOOK_S)
        assert all(it.statuses.count(200) > SERVED_LEAST for it in its.values())
        failed = [story(name, it, change) for name, it in its.items() if it.late(change)]
        assert failed == [], "\n".join(failed)

    run(test(), TEST_S)


def story(name: str, it: World, change: Change) -> str:
    late, calls = it.late(change), [f"{at - change.at:+.2f}" for at in it.outlet.calls]
    notified_s = it.outlet.notified_at(change) - change.at
    return f"{name}: {len(late)} late, {late[0]} to {late[-1]}, notified {notified_s:.2f}, calls {calls}"
