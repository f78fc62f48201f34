"""A run with digests on both sides: boxes die, stall, break bodies off and are drained, the file is reread.

The ledgers of both sides are the oracle, the seed is printed. Nobody is told that a short body is whole, no
request that may not be repeated runs twice, each has one end, and a drained box gets nothing new.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from badgergap.proxy.body_streams import HOLD
from badgergap.standins.app import content
from tests.sockets import run
from tests.web.harness import ROUTE, Site, request, site

SIZES = (0, 1, 1000, HOLD - 1, HOLD, HOLD + 1, 300_000, 2_000_000)
BREAKS = (asyncio.IncompleteReadError, ConnectionError)
BOXES, CLIENTS, SECONDS = 4, 12, 3.0
GRACE_S = 0.5
CONTENT = content(50_000_000)


@dataclass
class Ledger:
    ends: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    drained: list[tuple[str, float, float]] = field(default_factory=list)  # box, from, until; monotonic


async def client(it: Site, ledger: Ledger, draw: random.Random, until: float, name: str) -> None:
    number = 0
    while time.monotonic() < until:
        number += 1
        size = draw.choice(SIZES) if draw.random() > 0.01 else 50_000_000
        raw = await it.client()
        try:
            async with asyncio.timeout(20):
                end = await (download if draw.random() < 0.5 else upload)(
                    it, raw, draw, size, f"{name}-{number}"
                )
        except BREAKS:
            end = "broken"
        except TimeoutError:
            end = "no end"
        ledger.ends[end.partition(":")[0]] += 1
        if end.startswith("wrong") or end == "no end":
            ledger.faults.append(f"{end} {name}-{number}")
        raw.writer.transport.abort()


async def download(it: Site, raw: object, draw: random.Random, size: int, number: str) -> str:
    path = draw.choice(("/file", "/chunked"))
    status, _, body = await raw.ask(request("GET", f"{path}?n={size}", x_run=number))  # type: ignore[attr-defined]
    if status != 200:
        return "refused"
    return "whole" if body == CONTENT[:size] else f"wrong: {len(body)} of {size} bytes taken for whole"


async def upload(it: Site, raw: object, draw: random.Random, size: int, number: str) -> str:
    method = draw.choice(("POST", "PUT"))
    status, _, told = await raw.ask(request(method, "/upload", CONTENT[:size], x_run=number))  # type: ignore[attr-defined]
    if status != 200:
        return "refused"
    return "whole" if hashlib.sha256(CONTENT[:size]).hexdigest().encode() in told else "wrong: another digest"


async def trouble(it: Site, ledger: Ledger, draw: random.Random, until: float) -> None:
    text = it.setup.path.read_text()
    kinds = ["die", "cut", "stall", "drain", "reload", "short"]
    while time.monotonic() < until or not ledger.drained:
        app = draw.choice(it.apps)
        kinds = kinds or ["die", "cut", "stall", "drain", "reload", "short"]  # each before any comes again
        match kinds.pop(draw.randrange(len(kinds))):
            case "die":
                app.die()
                await asyncio.sleep(draw.uniform(0.05, 0.3))
                await app.revive()
            case "drain":
                it.proxy.directory.drain(app.name, "test")
                began = time.monotonic()
                await asyncio.sleep(GRACE_S + draw.uniform(0.1, 0.3))
                ledger.drained.append((app.name, began + GRACE_S, time.monotonic()))
                it.proxy.directory.undrain(app.name, "test")
            case "reload":
                await it.reload(
                    text.replace('given_up_after = "20s"', f'given_up_after = "{draw.randint(20, 22)}s"')
                )
            case fault:
                app.fault = fault
                await asyncio.sleep(draw.uniform(0.05, 0.3))
                app.fault = ""
        it.forgive()
        await asyncio.sleep(draw.uniform(0.0, 0.1))


@pytest.mark.parametrize("seed", [1, 2])
def test_bodies_of_all_sizes_while_everything_goes_wrong(tmp_path: Path, seed: int) -> None:
    print("seed", seed)

    async def test() -> None:
        http = 'between_bytes = "1s"\nupload_limit = "60MB"'
        async with site(tmp_path, boxes=BOXES, routes=ROUTE + 'answer_within = "3s"\n', http=http) as it:
            ledger, until = Ledger(), time.monotonic() + SECONDS
            draws = [random.Random(f"{seed}-{n}") for n in range(CLIENTS + 1)]
            clients = [client(it, ledger, draws[n], until, f"c{n}") for n in range(CLIENTS)]
            await asyncio.gather(trouble(it, ledger, draws[-1], until), *clients)
            print(ledger.ends, len(ledger.drained))
            assert not ledger.faults, ledger.faults
            assert ledger.ends["whole"] > 20, ledger.ends
            runs = Counter(
                run.headers["x-run"] for app in it.apps for run in app.runs if run.method == "POST"
            )
            assert max(runs.values(), default=0) <= 1
            assert [app.refused for app in it.apps] == [[]] * BOXES
            for app in it.apps:
                for name, began, ended in ledger.drained:
                    late = [run.at - began for run in app.runs if name == app.name and began < run.at < ended]
                    assert not late, (name, late)
            async with asyncio.timeout(10):
                while it.proxy.requests:  # every request in the books has ended
                    await asyncio.sleep(0.05)
            assert (
                it.proxy.open_requests == 0
                and it.proxy.balancer.in_flight == 0
                and not it.proxy.balancer.requests
            )
            assert not any(server.streams for server in it.proxy.balancer.endpoints.values())

    run(test(), 90)
