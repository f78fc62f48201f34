"""What this gateway does, counted for the judge of a change: an observer beside the console's figures."""

from __future__ import annotations

import resource
import time
from collections.abc import Mapping

from badgergap.proxy.requests import Observer
from badgergap.balancing.interface import Outcome
from badgergap.rollout.analysis import CLASSES_MOST, Block, Counts

PAGE = resource.getpagesize()


class Meter:
    """Passes on what it hears. `classes`: name and wanted time in microseconds, in the balancer's order."""

    def __init__(self, then: Observer, life: int) -> None:
        self.then, self.life = then, life
        # Names and aims by number. Judged by the aims of the old settings: a change must not move them.
        self.names: list[str] = []
        self.aims_us: list[int] = []
        self.counts: dict[str, Counts] = {}
        self.tries = 0
        self.cpu_us = time.process_time_ns() // 1000

    def follow(self, classes: tuple[tuple[str, int], ...], aims_us: Mapping[str, int]) -> None:
        """`classes`: as they are now; `aims_us`: by name, those that count in place of their own."""
        self.names = [name.partition("~")[0] for name, _ in classes]
        pairs = zip(self.names, classes, strict=True)
        self.aims_us = [aims_us.get(name, own) for name, (_, own) in pairs]

    def on_answered(self, now_us: int, klass: int, status: int, took_us: int, tenant: int) -> None:
        self.then.on_answered(now_us, klass, status, took_us, tenant)
        counts = self._counts(klass)
        if counts is None:
            return
        counts.asked += 1
        if status < 500 and status != 429:
            counts.took_ms += took_us / 1000
            if took_us <= self.aims_us[klass]:
                counts.good += 1
            else:
                counts.late += 1
        elif status in (429, 503):
            counts.refused += 1
        else:
            counts.failed += 1

    def _counts(self, klass: int) -> Counts | None:
        if klass >= len(self.names):
            return None
        counts = self.counts.get(self.names[klass])
        if counts is None:
            if len(self.counts) >= CLASSES_MOST:
                return None
            counts = self.counts[self.names[klass]] = Counts()
        return counts

    def on_client_left(self, now_us: int, klass: int, tenant: int) -> None:
        """Whoever left is told of nothing: the client decides, and no settings are to blame for it."""
        self.then.on_client_left(now_us, klass, tenant)

    def on_attempt_ended(self, now_us: int, server: int, outcome: Outcome, latency_us: int) -> None:
        self.then.on_attempt_ended(now_us, server, outcome, latency_us)
        self.tries += 1

    def take(self) -> Block:
        """What was counted since the last time."""
        cpu_us = time.process_time_ns() // 1000
        block = Block(self.counts, self.tries, cpu_us - self.cpu_us, memory(), self.life)
        self.counts, self.tries, self.cpu_us = {}, 0, cpu_us
        return block


def memory() -> int:
    """Of this process, in bytes."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE
