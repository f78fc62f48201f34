"""What the gateways of a platform of fakes record of themselves."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from badgergap.standins.platform import GatewayProcess
from tests.sockets import run

JITTER_S = 0.05


# Guards against a record that lasts longer than the stop: SIGCONT ends all stops of a process.
def test_stops_that_overlap_are_recorded_as_the_one_that_they_were(tmp_path: Path) -> None:
    async def test() -> None:
        gateway = GatewayProcess("n0", 0, tmp_path)
        gateway.process = await asyncio.create_subprocess_exec("sleep", "10")
        await asyncio.gather(gateway.hold_up(0.3), hold_up_later(gateway))
        await gateway.hold_up(0.1)
        lengths = [ended_at - began_at for began_at, ended_at in gateway.stops]
        assert lengths == [pytest.approx(0.2, abs=JITTER_S), pytest.approx(0.1, abs=JITTER_S)]
        await gateway.end()

    run(test())


async def hold_up_later(gateway: GatewayProcess) -> None:
    await asyncio.sleep(0.1)
    await gateway.hold_up(0.1)
