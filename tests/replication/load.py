"""Clients that repeat keyed requests at other gateways, and the check of their answers.

The check compares the answers that the clients received with the requests that the endpoints ran.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from badgergap.standins.net import read_message
from badgergap.standins.rig import Gateway, Rig

CLIENT_TIMEOUT_S = 6.0  # longer than the request class's timeout of 4 s


def keyed(once: str = "10min", repeats: str = "unsafe") -> str:
    """Return the shared settings: keyed routes to /echo, whose answer differs in each run, and to /file."""
    text = (
        '[[class]]\nname = "slips"\nwanted_within = "1s"\ngiven_up_after = "4s"\n'
        f'repeats = "{repeats}"\nrepeats_dropped_for = "5min"\n'
    )
    for name in ("echo", "file"):
        text += f'[[route]]\nname = "{name}"\nprefix = "/{name}"\nclass = "slips"\n'
        text += f'once = "{once}"\n' if once else ""
    return text


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a keyed request.

    `status` 0: the connection was refused or broken, or there was no answer in time. `state`: the gateway's
    `Idempotency-State` header.
    """

    gateway: str
    at: float
    took_s: float
    status: int
    state: str
    body: bytes

    @property
    def of_box(self) -> bool:
        return self.status == 200


async def post(
    gateway: Gateway, key: str, body: bytes = b"slip", path: str = "/echo", within_s: float = CLIENT_TIMEOUT_S
) -> Answer:
    began, writer = time.monotonic(), None
    status, state, answer = 0, "", b""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.http)
            writer.write(
                b"POST %b HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %b\r\nConnection: close\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (path.encode(), key.encode(), len(body), body)
            )
            first, headers, answer = await read_message(reader)
            status, state = int(first.split()[1]), headers.get("idempotency-state", "")
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Answer(gateway.name, began, time.monotonic() - began, status, state, answer)


@dataclass
class Keyed:
    """Sends `rate` new keys a second; each is repeated until an endpoint's answer arrives.

    A client gives a key up after `repeats` attempts, each at a random gateway.
    """

    rig: Rig
    rate: float
    seed: int
    repeats: int = 8
    also: float = 0.2  # probability that an answered key is requested again
    answers: dict[str, list[Answer]] = field(default_factory=lambda: defaultdict(list))
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def play(self, until: asyncio.Event) -> None:
        began, number = time.monotonic(), 0
        while not until.is_set():
            number += 1
            task = asyncio.get_running_loop().create_task(self.one(f"key-{self.seed}-{number}", number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(max(0.0, began + number / self.rate - time.monotonic()))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=60.0)

    async def one(self, key: str, number: int) -> None:
        rng = random.Random(self.seed * 1_000_003 + number)
        for _ in range(self.repeats):
            answer = await post(rng.choice(list(self.rig)), key)
            self.answers[key].append(answer)
            if answer.of_box and rng.random() >= self.also:
                return
            await asyncio.sleep(rng.uniform(0.02, 0.6))

    def effects(self) -> dict[str, int]:
        """Return how often each key ran at the endpoints."""
        ran: Counter[str] = Counter()
        for app in self.rig.apps:
            for run in app.runs:
                key = run.headers.get("idempotency-key", "")
                if run.whole and key:
                    ran[key] += 1
        return ran

    def judge(self) -> Judged:
        ran = self.effects()
        twice = [key for key, count in ran.items() if count > 1]
        changed: list[str] = []
        in_doubt: list[str] = []
        unanswered: list[str] = []
        for key, answers in self.answers.items():
            bodies = {answer.body for answer in answers if answer.of_box}
            if len(bodies) > 1:
                changed.append(key)
            if not bodies:
                (in_doubt if answers[-1].state == "in-doubt" else unanswered).append(key)
        took = sorted(a.took_s for each in self.answers.values() for a in each if a.of_box)
        return Judged(len(self.answers), twice, changed, in_doubt, unanswered, took)


@dataclass(frozen=True, slots=True)
class Judged:
    keys: int
    twice: list[str]
    changed: list[str]
    in_doubt: list[str]
    unanswered: list[str]
    took_s: list[float]
