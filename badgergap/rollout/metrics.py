"""What this gateway does, counted for the judge of a change: an observer beside the console's figures."""

from __future__ import annotations

import resource
import time
from collections.abc import Mapping

from badgergap.proxy.requests import Observer
from badgergap.balancing.interface import Outcome
from badgergap.rollout.analysis import MAX_CLASSES, MetricsBlock, RequestCounts

PAGE = resource.getpagesize()


class MetricsCollector:
    """Passes on what it hears. `classes`: name and wanted time in microseconds, in the balancer's order."""

    def __init__(self, next_observer: Observer, incarnation: int) -> None:
        self.next_observer, self.incarnation = next_observer, incarnation
        # Names and aims by number. Judged by the aims of the old settings: a change must not move them.
        self.names: list[str] = []
        self.objectives_us: list[int] = []
        self.counts: dict[str, RequestCounts] = {}
        self.attempts = 0
        self.cpu_us = time.process_time_ns() // 1000

    def set_classes(self, classes: tuple[tuple[str, int], ...], objectives_us: Mapping[str, int]) -> None:
        """`classes`: as they are now; `aims_us`: by name, those that count in place of their own."""
        self.names = [name.partition("~")[0] for name, _ in classes]
        pairs = zip(self.names, classes, strict=True)
        self.objectives_us = [objectives_us.get(name, own) for name, (_, own) in pairs]

    def on_answered(self, now_us: int, request_class: int, status: int, latency_us: int, tenant: int) -> None:
        self.next_observer.on_answered(now_us, request_class, status, latency_us, tenant)
        counts = self._counts(request_class)
        if counts is None:
            return
        counts.requests += 1
        if status < 500 and status != 429:
            counts.latency_ms += latency_us / 1000
            if latency_us <= self.objectives_us[request_class]:
                counts.good += 1
            else:
                counts.late += 1
        elif status in (429, 503):
            counts.refused += 1
        else:
            counts.failed += 1

    def _counts(self, request_class: int) -> RequestCounts | None:
        if request_class >= len(self.names):
            return None
        counts = self.counts.get(self.names[request_class])
        if counts is None:
            if len(self.counts) >= MAX_CLASSES:
                return None
            counts = self.counts[self.names[request_class]] = RequestCounts()
        return counts

    def on_client_left(self, now_us: int, request_class: int, tenant: int) -> None:
        """Whoever left is told of nothing: the client decides, and no settings are to blame for it."""
        self.next_observer.on_client_left(now_us, request_class, tenant)

    def on_attempt_ended(self, now_us: int, server: int, outcome: Outcome, latency_us: int) -> None:
        self.next_observer.on_attempt_ended(now_us, server, outcome, latency_us)
        self.attempts += 1

    def take_block(self) -> MetricsBlock:
        """What was counted since the last time."""
        cpu_us = time.process_time_ns() // 1000
        block = MetricsBlock(
            self.counts, self.attempts, cpu_us - self.cpu_us, resident_bytes(), self.incarnation
        )
        self.counts, self.attempts, self.cpu_us = {}, 0, cpu_us
        return block


def resident_bytes() -> int:
    """Of this process, in bytes."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE
