"""What became of requests and attempts, counted over the last minutes. Pure: times are handed in.

Memory is fixed: SPAN_S seconds for each class and each tenant that asked, BOX_SPAN_S for each box,
at most BOX_LIMIT boxes.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from badgergap.admin.protocol import ClassView, TenantView, Window
from badgergap.balancing.interface import Outcome

SPAN_S = 300
WINDOWS_S = (10, 60, 300)
PLOT_STEP_S = 5
BOX_SPAN_S = 10
# Boxes counted at a time; those beyond are shown without figures.
BOX_LIMIT = 4096
SMOOTHING = 0.1  # share of the newest answer in a usual time

IN_TIME, LATE, REFUSED, FAILED, LEFT = range(5)
KINDS = 5


class Seconds:
    """Counters of several kinds for each of the last `span` seconds."""

    __slots__ = ("counts", "kinds", "span", "stamps")

    def __init__(self, span: int, kinds: int) -> None:
        self.span, self.kinds = span, kinds
        self.stamps = [-1] * span  # which second a place holds
        self.counts = [[0] * kinds for _ in range(span)]

    def add(self, second: int, kind: int) -> None:
        place = second % self.span
        if self.stamps[place] != second:
            if self.stamps[place] > second:
                return  # older than all that is kept
            self.stamps[place] = second
            self.counts[place] = [0] * self.kinds
        self.counts[place][kind] += 1

    def sums(self, last: int, seconds: int) -> list[int]:
        """Over the `seconds` whole seconds that end with `last`."""
        sums = [0] * self.kinds
        for second in range(last - min(seconds, self.span) + 1, last + 1):
            place = second % self.span
            if self.stamps[place] == second:
                for kind, count in enumerate(self.counts[place]):
                    sums[kind] += count
        return sums


@dataclass(slots=True)
class BoxFigures:
    seconds: Seconds = field(default_factory=lambda: Seconds(BOX_SPAN_S + 1, 2))
    usual_us: float = 0.0
    answered_us: int = 0

    def rates(self, now_us: int) -> tuple[float, float]:
        """Good answers and failures a second, over the whole seconds before this one."""
        good, bad = self.seconds.sums(now_us // 1_000_000 - 1, BOX_SPAN_S)
        return good / BOX_SPAN_S, bad / BOX_SPAN_S


class Figures:
    """An observer of the proxy: counts, and answers what the console shows."""

    def __init__(self, classes: tuple[tuple[str, int], ...], tenants: tuple[str, ...] = ()) -> None:
        """`classes`: name and wanted time in microseconds, in the balancer's order. Tenants: "" is none."""
        self.classes = classes
        self.seconds = [Seconds(SPAN_S + 1, KINDS) for _ in classes]
        self.usual_us = [0.0] * len(classes)
        self.boxes: dict[int, BoxFigures] = {}
        self.tenants = tenants
        self.by_tenant: dict[int, Seconds] = {}

    def follow(self, classes: tuple[tuple[str, int], ...], tenants: tuple[str, ...] = ()) -> None:
        """The classes and tenants there are now: those of before under their numbers, and further ones."""
        more = len(classes) - len(self.classes)
        self.classes, self.tenants = classes, tenants
        self.seconds += [Seconds(SPAN_S + 1, KINDS) for _ in range(more)]
        self.usual_us += [0.0] * more

    def on_answered(self, now_us: int, klass: int, status: int, took_us: int, tenant: int = 0) -> None:
        if status < 500 and status != 429:
            kind = IN_TIME if took_us <= self.classes[klass][1] else LATE
            usual_us = self.usual_us[klass]
            self.usual_us[klass] = usual_us + SMOOTHING * (took_us - usual_us) if usual_us else took_us
        else:
            kind = REFUSED if status in (429, 503) else FAILED
        self._count(now_us, klass, tenant, kind)

    def on_client_left(self, now_us: int, klass: int, tenant: int = 0) -> None:
        self._count(now_us, klass, tenant, LEFT)

    def _count(self, now_us: int, klass: int, tenant: int, kind: int) -> None:
        self.seconds[klass].add(now_us // 1_000_000, kind)
        if tenant < len(self.tenants) and self.tenants[tenant]:
            seconds = self.by_tenant.get(tenant)
            if seconds is None:
                seconds = self.by_tenant[tenant] = Seconds(SPAN_S + 1, KINDS)
            seconds.add(now_us // 1_000_000, kind)

    def on_attempt_ended(self, now_us: int, server: int, outcome: Outcome, latency_us: int) -> None:
        if outcome in (Outcome.NEVER_SENT, Outcome.CANCELLED):
            return  # says nothing of the box
        box = self.boxes.get(server)
        if box is None:
            if len(self.boxes) >= BOX_LIMIT:
                return
            box = self.boxes[server] = BoxFigures()
        good = outcome is Outcome.SUCCESS
        box.seconds.add(now_us // 1_000_000, 0 if good else 1)
        if good:
            box.usual_us += SMOOTHING * (latency_us - box.usual_us) if box.usual_us else latency_us
            box.answered_us = now_us

    def keep_only(self, servers: Collection[int]) -> None:
        """Forget boxes that are no longer shown."""
        if any(server not in servers for server in self.boxes):
            self.boxes = {server: box for server, box in self.boxes.items() if server in servers}

    def service(self, now_us: int) -> list[ClassView]:
        second = now_us // 1_000_000 - 1  # the last whole one
        return [
            ClassView(
                name=name,
                wanted_us=wanted_us,
                usual_us=round(self.usual_us[number]),
                windows=_windows(self.seconds[number], second),
                plot=self._plot(number, second),
            )
            for number, (name, wanted_us) in enumerate(self.classes)
            if "~" not in name  # of a file before: nothing new comes under it
        ]

    def of_tenants(self, now_us: int) -> list[TenantView]:
        second = now_us // 1_000_000 - 1
        return [
            TenantView(name=self.tenants[number], windows=_windows(seconds, second))
            for number, seconds in sorted(self.by_tenant.items())
        ]

    def _plot(self, klass: int, second: int) -> list[int]:
        """Steps lie on multiples of PLOT_STEP_S, so that a step once past does not change any more."""
        last = second - (second + 1) % PLOT_STEP_S
        points = []
        for end in range(last - SPAN_S + PLOT_STEP_S, last + 1, PLOT_STEP_S):
            sums = self.seconds[klass].sums(end, PLOT_STEP_S)
            asked = sum(sums)
            points.append(round(100 * sums[IN_TIME] / asked) if asked else -1)
        return points


def _windows(seconds: Seconds, last: int) -> list[Window]:
    windows = []
    for span in WINDOWS_S:
        in_time, late, refused, failed, left = sums = seconds.sums(last, span)
        windows.append(
            Window(
                span_s=span,
                asked=sum(sums),
                in_time=in_time,
                late=late,
                refused=refused,
                failed=failed,
                left=left,
            )
        )
    return windows
