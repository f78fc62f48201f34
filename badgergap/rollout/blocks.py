"""Metrics that a member collects during one block of time, and how guards measure them."""

from __future__ import annotations

import msgspec

from badgergap.rollout.plan import Guard


class RequestCounts(msgspec.Struct, array_like=True):
    """Counts of the finished requests of one class.

    `good` and `late` were answered within the latency objective and after it; `latency_ms` is the sum of the
    latencies of both.
    """

    requests: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    latency_ms: float = 0.0

    def add(self, other: RequestCounts) -> None:
        """Add the counts of `other` to these."""
        self.requests += other.requests
        self.good += other.good
        self.late += other.late
        self.refused += other.refused
        self.failed += other.failed
        self.latency_ms += other.latency_ms


class MetricsBlock(msgspec.Struct, array_like=True):
    """Metrics of one member over BLOCK_S.

    `incarnation` identifies the process. `rss_bytes` is its resident memory at the end of the block. For
    both, 0 means unknown.
    """

    classes: dict[str, RequestCounts] = {}
    attempts: int = 0
    cpu_us: int = 0
    rss_bytes: int = 0
    incarnation: int = 0

    def of(self, request_class: str) -> RequestCounts:
        """Return the counts of one class, or the sum over all classes for ""."""
        if request_class:
            return self.classes.get(request_class, NO_REQUESTS)
        total = RequestCounts()
        for counts in self.classes.values():
            total.add(counts)
        return total

    def merged(self, later: MetricsBlock) -> MetricsBlock:
        """Return a block that combines this one with a later one."""
        classes = {name: msgspec.structs.replace(counts) for name, counts in self.classes.items()}
        for name, counts in later.classes.items():
            classes.setdefault(name, RequestCounts()).add(counts)
        return MetricsBlock(
            classes,
            self.attempts + later.attempts,
            self.cpu_us + later.cpu_us,
            later.rss_bytes or self.rss_bytes,
            later.incarnation,
        )


NO_REQUESTS = RequestCounts()


def measure_block(guard: Guard, block: MetricsBlock) -> tuple[float, float]:
    """Return the numerator and denominator of a guard's measure in a block."""
    counts = block.of(guard.request_class)
    answered = counts.good + counts.late
    match guard.measure:
        case "service":
            return float(counts.good), float(counts.requests)
        case "failed":
            return float(counts.failed), float(counts.requests)
        case "refused":
            return float(counts.refused), float(counts.requests)
        case "late":
            return float(counts.late), float(answered)
        case "latency":
            return counts.latency_ms, float(answered)
        case "tries":
            return float(block.attempts), float(counts.requests)
        case "cpu":
            return float(block.cpu_us), float(counts.requests)
        case _:  # memory
            return float(block.rss_bytes), 1.0 if block.rss_bytes else 0.0
