"""Clients that send load to a rig, and the joint analysis of their records and those of the endpoints."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from badgergap.admin import AdminError, NoAnswer, NoGateway
from badgergap.site.read import read_tables, shared
from badgergap.standins.net import read_message
from badgergap.standins.rig import Gateway, Rig

CLIENT_TIMEOUT_S = 6.0  # the client timeout of the request classes is 5 s
BOUND_S = 3.0
TRANSIT_S = 0.15  # from a gateway's decision to the endpoint's record, on a busy machine


@dataclass(slots=True)
class SentRequest:
    number: int
    gateway: str
    at: float
    method: str
    status: int = 0  # 0: the connection was refused or broke
    took_s: float = 0.0


@dataclass
class Load:
    """Sends `rate` requests per second in total, each on its own connection, to random gateways."""

    rig: Rig
    rate: float
    seed: int
    asked: list[SentRequest] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def play(self, until: asyncio.Event) -> None:
        rng = random.Random(self.seed)
        began, number = time.monotonic(), 0
        while not until.is_set():
            number += 1
            gateway = rng.choice(list(self.rig))
            one = SentRequest(number, gateway.name, time.monotonic(), rng.choice(("GET", "GET", "POST")))
            self.asked.append(one)
            task = asyncio.get_running_loop().create_task(self.one(one, gateway))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(max(0.0, began + number / self.rate - time.monotonic()))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=CLIENT_TIMEOUT_S + 2.0)

    async def one(self, asked: SentRequest, gateway: Gateway) -> None:
        writer = None
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.http)
                body = b"Content-Length: 2\r\n\r\nhi" if asked.method == "POST" else b"\r\n"
                target = f"/echo?from={gateway.name}&number={asked.number}".encode()
                writer.write(
                    b"%b %b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%b"
                    % (asked.method.encode(), target, body)
                )
                first, _, _ = await read_message(reader)
                asked.status = int(first.split()[1])
        except TimeoutError:
            asked.status = -1
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            asked.took_s = time.monotonic() - asked.at
            if writer is not None:
                writer.close()

    def counts(self) -> Counter[int]:
        return Counter(asked.status for asked in self.asked)


@dataclass
class Joined:
    """The records of all endpoints by version: `put_before = "/vN"` marks each request with its version."""

    spans: dict[int, tuple[float, float]]  # first and last request under each version
    twice: list[int]  # requests with an effect that ran more than once
    longest_s: float  # longest time that two versions were in use at once
    pair: tuple[int, int]


def join(rig: Rig) -> Joined:
    spans: dict[int, tuple[float, float]] = {}
    effects: dict[int, int] = defaultdict(int)
    for app in rig.apps:
        for run in app.runs:
            version = int(run.path.split("/")[1].removeprefix("v")) if run.path.startswith("/v") else 0
            first, last = spans.get(version, (run.at, run.at))
            spans[version] = (min(first, run.at), max(last, run.at))
            if run.method == "POST":
                effects[run.query("number")] += 1
    longest, pair = 0.0, (0, 0)
    for older, (_, last) in spans.items():
        for newer, (first, _) in spans.items():
            if older < newer and last - first > longest:
                longest, pair = last - first, (older, newer)
    return Joined(spans, [number for number, times in effects.items() if times > 1], longest, pair)


def versioned(it: Rig, number: int) -> dict[str, object]:
    """Return settings that mark every request with that number."""
    route = 'name = "everything"\nclass = "pages"\n'
    text = it.settings().replace(route, f'{route}put_before = "/v{number}"\n')
    assert f"/v{number}" in text
    return shared(read_tables(text, "test"))


async def publish(it: Rig, gateway: Gateway, number: int, within_s: float = 10.0) -> int:
    """Publish settings. Returns the version, or 0 if the outcome is a failure or unknown."""
    try:
        result = await asyncio.to_thread(
            gateway.ask,
            "publish",
            tables=versioned(it, number),
            by="test",
            reason=f"number {number}",
            within_s=within_s,
            timeout_s=within_s + 15.0,
        )
    except (AdminError, NoAnswer, NoGateway):
        return 0
    return int(result["version"])
