"""Clients of keyed requests that repeat elsewhere, and what their ledger and the boxes' say together."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from badgergap.standins.net import read_message
from badgergap.standins.rig import Gateway, Rig

GIVE_UP_S = 6.0  # the class is given up after 4 s


def keyed(once: str = "10min", repeats: str = "unsafe") -> str:
    """Agreed tables: keyed requests to /echo, whose answers no two runs share, and to /file."""
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
    """`status` 0: refused, broken or nothing in time. `state`: the gateway's own word on the key."""

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
    gateway: Gateway, key: str, body: bytes = b"slip", path: str = "/echo", within_s: float = GIVE_UP_S
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
    """`rate` new keys a second, each repeated elsewhere until a box's answer comes or it has had enough."""

    rig: Rig
    rate: float
    seed: int
    repeats: int = 8
    also: float = 0.2  # share of the keys that are asked for once more though they were answered
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
        chance = random.Random(self.seed * 1_000_003 + number)
        for _ in range(self.repeats):
            answer = await post(chance.choice(list(self.rig)), key)
            self.answers[key].append(answer)
            if answer.of_box and chance.random() >= self.also:
                return
            await asyncio.sleep(chance.uniform(0.02, 0.6))

    def effects(self) -> dict[str, int]:
        """How often each key ran at the boxes."""
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
