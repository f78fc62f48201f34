"""Collects this gateway's metrics for the analysis of a rollout. The collector wraps another observer."""

from __future__ import annotations

import resource
import time
from collections.abc import Mapping

from badgergap.balancing.interface import Outcome
from badgergap.proxy.requests import Observer
from badgergap.rollout.analysis import MAX_CLASSES
from badgergap.rollout.blocks import MetricsBlock, RequestCounts

PAGE_BYTES = resource.getpagesize()


class MetricsCollector:
    """Counts requests by class, and forwards each event to the next observer."""

    def __init__(self, next_observer: Observer, incarnation: int) -> None:
        self.next_observer, self.incarnation = next_observer, incarnation
        # Indexed by class number. Objectives come from the old settings: a rollout must not change them.
        self.names: list[str] = []
        self.objectives_us: list[int] = []
        self.counts: dict[str, RequestCounts] = {}
        self.attempts = 0
        self.cpu_us = time.process_time_ns() // 1000

    def set_classes(self, classes: tuple[tuple[str, int], ...], objectives_us: Mapping[str, int]) -> None:
        """Set the request classes as pairs of name and objective (µs), in the balancer's order.

        `objectives_us`, by class name, takes precedence over the objectives in `classes`: a rollout must not
        change the objectives that it is analysed by.
        """
        self.names = [name.partition("~")[0] for name, _ in classes]
        pairs = zip(self.names, classes, strict=True)
        self.objectives_us = [objectives_us.get(name, objective) for name, (_, objective) in pairs]

    def on_answered(self, now_us: int, request_class: int, status: int, latency_us: int, tenant: int) -> None:
        """Count a request that received its final answer."""
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
        """Return the counts of a class, or None if it is unknown or exceeds MAX_CLASSES."""
        if request_class >= len(self.names):
            return None
        counts = self.counts.get(self.names[request_class])
        if counts is None:
            if len(self.counts) >= MAX_CLASSES:
                return None
            counts = self.counts[self.names[request_class]] = RequestCounts()
        return counts

    def on_client_left(self, now_us: int, request_class: int, tenant: int) -> None:
        """Forward the event without counting it: a disconnect is no evidence about the settings."""
        self.next_observer.on_client_left(now_us, request_class, tenant)

    def on_attempt_ended(self, now_us: int, endpoint_id: int, outcome: Outcome, latency_us: int) -> None:
        """Count an attempt at an endpoint."""
        self.next_observer.on_attempt_ended(now_us, endpoint_id, outcome, latency_us)
        self.attempts += 1

    def take_block(self) -> MetricsBlock:
        """Return the metrics collected since the last call, and reset them."""
        cpu_us = time.process_time_ns() // 1000
        block = MetricsBlock(
            self.counts, self.attempts, cpu_us - self.cpu_us, resident_bytes(), self.incarnation
        )
        self.counts, self.attempts, self.cpu_us = {}, 0, cpu_us
        return block


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
