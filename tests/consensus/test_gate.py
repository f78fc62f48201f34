"""Once a gateway's right to act ends, requests that it has accepted are sent to no endpoint."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.web.harness import request, site


class Acting:
    """An epoch source that returns 0, and `then` from call `ends` on. `calls` counts the calls."""

    def __init__(self, ends: int, then: int) -> None:
        self.calls, self.ends, self.then = 0, ends, then

    def __call__(self) -> int:
        self.calls += 1
        return 0 if self.calls < self.ends else self.then


@pytest.mark.parametrize("then", [-1, 7], ids=["no lease", "other rules"])
def test_a_request_is_rejected_or_was_sent_before_the_right_to_act_ended(tmp_path: Path, then: int) -> None:
    """The right ends when the request is accepted, when it is sent, or when the new connection is open."""
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
    # Checked when the request is accepted, when it is sent, when its connection is started, and, last before
    # the first byte, when that is open. (An epoch that changes between the second and the third check is not
    # noticed: both checks of the connection use the new one.)
    assert sum(status == 503 for status, _ in outcomes) == (4 if then < 0 else 2)
    assert outcomes[-1] == (200, 1)


def test_a_gateway_without_a_lease_is_not_ready(tmp_path: Path) -> None:
    async def play() -> None:
        async with site(tmp_path, pools="other") as it:
            assert it.proxy.ready
            it.proxy.set_epoch_source(lambda: -1)
            assert not it.proxy.ready

    asyncio.run(play())
