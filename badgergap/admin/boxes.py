"""Each box as it is shown, from what the roster, the balancer and the figures say of it. Pure."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterable, Mapping

import msgspec

from badgergap.admin.figures import Figures
from badgergap.admin.protocol import BoxView, Said
from badgergap.balancing.interface import EndpointStatus, EndpointView
from badgergap.proxy.endpoints.registry import MergedEndpoint
from badgergap.proxy.lifecycle.config import Names

GONE_SHOWN_US = 300_000_000  # how long a box that is gone is still shown
# Boxes that a snapshot names; of a larger fleet those drained by hand first. What a look costs grows with it.
SHOWN = 500
ABLE = ("serving", "untried", "warming")  # states of a box that takes its share of new requests


class Boxes:
    def __init__(self, names: Names) -> None:
        self.names = names
        self.since: dict[str, tuple[str, int]] = {}  # by name: the state, and since when

    def views(
        self,
        now_us: int,
        hosts: Iterable[MergedEndpoint],
        servers: Iterable[EndpointView],
        connecting: Mapping[int, int],
        figures: Figures,
        pools: Mapping[int, str] | None = None,
    ) -> list[BoxView]:
        """Sorted as people sort: box-2 before box-10. `pools`: of the boxes that are not in the main one."""
        by_number = {server.endpoint_id: server for server in servers}
        views = []
        for host in hosts:
            number = host.entry.listed.endpoint_id
            view = self._view(now_us, host, by_number.get(number), connecting.get(number, 0), figures)
            if pools and number in pools:
                view = msgspec.structs.replace(view, pool=pools[number])
            if view.state != "gone" or now_us - view.since_us < GONE_SHOWN_US:
                views.append(view)
        self.since = {view.name: (view.state, view.since_us) for view in views}
        figures.keep_only(by_number.keys())
        return sorted(views, key=lambda view: natural(view.name))

    def _view(
        self,
        now_us: int,
        host: MergedEndpoint,
        server: EndpointView | None,
        connecting: int,
        figures: Figures,
    ) -> BoxView:
        entry, out = host.entry, server.in_flight if server is not None else 0
        counted = figures.boxes.get(entry.listed.endpoint_id)
        state, by = state_of(host, server, counted is not None and counted.answered_us > 0)
        before = self.since.get(entry.name, ("", 0))
        since_us = before[1] if before[0] == state else now_us
        if state == "drained" and host.drain is not None:
            since_us = host.drain.at_us
        elif state in ("gone", "draining"):
            since_us = host.statements[0][2]
        good, bad = counted.rates(now_us) if counted is not None else (0.0, 0.0)
        address, port = entry.address
        return BoxView(
            name=entry.name,
            address=f"{address}:{port}",
            zone=_named(self.names.zones, entry.listed.zone),
            kind=_named(self.names.kinds, entry.listed.kind),
            state=state,
            until_us=server.open_until_us if server is not None and state == "resting" else 0,
            warm_share=round(server.warm_up_fraction, 3) if server is not None else 1.0,
            weight=entry.listed.weight,
            by=by,
            since_us=since_us,
            waiting=connecting,
            in_work=max(0, out - connecting),
            rate=round(good, 1),
            failures=round(bad, 1),
            usual_us=round(counted.usual_us) if counted is not None else 0,
            answered_us=counted.answered_us if counted is not None else 0,
            streams=server.streams if server is not None else 0,
            sources=[name for name, _, _ in host.statements],
            said=[
                Said(source=name, status=status.value, at_us=at_us) for name, status, at_us in host.statements
            ],
        )


def state_of(host: MergedEndpoint, server: EndpointView | None, has_answered: bool) -> tuple[str, str]:
    """The state's word, and who is behind it where somebody is."""
    if host.statements[0][1] is EndpointStatus.GONE:
        return "gone", host.source
    if host.drain is not None:
        return "drained", host.drain.by
    if host.entry.listed.status is EndpointStatus.DRAINING:
        return "draining", host.source
    if server is None:
        return "gone", host.source
    if server.open_until_us:
        return "resting", ""
    if server.half_open:
        return "trial", ""
    if server.overdue:
        return "silent", ""
    if server.warm_up_fraction < 1.0:
        return "warming", ""
    return ("serving" if has_answered else "untried"), ""


def is_last_able(boxes: Iterable[BoxView], name: str) -> bool:
    """Whether this box takes new requests and no other one of its pool does."""
    boxes = list(boxes)
    pools = {box.pool for box in boxes if box.name == name}
    able = [box.name for box in boxes if box.state in ABLE and box.pool in pools]
    return able == [name]


DIGITS = re.compile(r"(\d+)", re.ASCII)


@functools.lru_cache(maxsize=2 * SHOWN)
def natural(name: str) -> tuple[tuple[int, int, str], ...]:
    """A sort key: runs of digits count as numbers."""
    parts = DIGITS.split(name)
    return tuple((0, int(part), part) if part.isdigit() else (1, 0, part) for part in parts if part)


def _named(names: tuple[str, ...], number: int) -> str:
    return names[number] if number < len(names) else ""
