"""A gateway whose right to act ends at some moment: what it has taken goes to no box from then on."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.web.harness import request, site


class Acting:
    """The right to act, asked `calls` times so far; from call `ends` on it is something else."""

    def __init__(self, ends: int, then: int) -> None:
        self.calls, self.ends, self.then = 0, ends, then

    def __call__(self) -> int:
        self.calls += 1
        return 0 if self.calls < self.ends else self.then


@pytest.mark.parametrize("then", [-1, 7], ids=["no lease", "other rules"])
def test_whenever_it_ends_the_request_is_refused_or_had_gone_before(tmp_path: Path, then: int) -> None:
    """At its taking, at its sending, and once the new connection to its box is there."""
    outcomes: list[tuple[int, int]] = []

    async def play() -> None:
        for ends in range(1, 12):
            async with site(tmp_path) as it:
                acting = Acting(ends, then)
                it.proxy.set_epoch_source(acting)
                client = await it.client()
                status, head, _ = await client.ask(request("POST", "/echo", b"slip"))
                ran = it.runs("/echo")
                outcomes.append((status, ran))
                if status == 503:
                    assert head["retry-after"] and ran == 0
                else:
                    assert (status, ran) == (200, 1)
                if acting.calls < ends:
                    return

    asyncio.run(play())
    print(outcomes)
    # Asked as it is taken and sent, as its connection is begun, and, the last before the first byte, once
    # that is there. (Rules that change between the second and the third are those of both.)
    assert sum(status == 503 for status, _ in outcomes) == (4 if then < 0 else 2)
    assert outcomes[-1] == (200, 1)


def test_ready_says_no_without_a_lease_and_pools_ask_too(tmp_path: Path) -> None:
    async def play() -> None:
        async with site(tmp_path, pools="other") as it:
            assert it.proxy.ready
            it.proxy.set_epoch_source(lambda: -1)
            assert not it.proxy.ready

    asyncio.run(play())
