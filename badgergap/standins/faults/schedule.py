"""The faults of one run: drawn from a seed, kept as JSON lines that can be cut down by hand and replayed."""

from __future__ import annotations

import errno
import random
from collections.abc import Iterable, Sequence
from enum import StrEnum
from pathlib import Path

import msgspec

from badgergap.standins.discovery import Cut, Outage
from badgergap.standins.faults.heavy_clients import Heavy
from badgergap.standins.faults.injector import Call

QUIET_S = 1.0  # at the beginning
HOLD_UP_MOST_S = 0.4
HOLD_UP_OVER_DRAIN_S = (0.65, 0.9)  # longer than the grace of the drain that is told meanwhile
HOLD_UP_SHARE = 0.6  # of the drains
HANG_SHARE = 0.7  # of the restarts
SLOW_FACTOR = 15.0
DRAIN_S = 2.0  # from the drain until the box is gone
AWAY_S = 1.0  # until it is back, cold
ASKED_DRAIN_S = 9.0  # where discovery is asked, and may tell late
LIST_FAULT_SHARE = 0.7  # of the drains
LIST_FAULT_APART_S = 7.0


class FaultKind(StrEnum):
    """What goes wrong."""

    HOLD_UP = "hold_up"  # a gateway: SIGSTOP, SIGCONT
    CALLS = "calls"  # a gateway: calls fail
    RESTART = "restart"  # a gateway: SIGTERM, SIGKILL at the earliest time allowed, a new process
    KILL = "kill"  # a gateway: SIGKILL, a new process
    SIGNALS = "signals"  # a gateway: SIGHUPs in quick succession
    DRAIN = "drain"  # a box: leaving, left, back cold
    DIE = "die"  # a box: dead, noticed late, back cold
    SILENT = "silent"  # a box
    SLOW = "slow"  # a box
    SPOIL = "spoil"  # a box
    WATCH = "watch"  # discovery: watches are reset
    CLOCK = "clock"  # all machines: the wall clock is stepped
    CROWD = "crowd"  # clients that connect to a gateway and say nothing
    HEAVY = "heavy"  # clients that cost a gateway memory or time; `detail`: what they do
    LATE_CONNECTIONS = "late_connections"  # a box: its connections break, and new ones come up a second late
    # Where discovery is asked, for one gateway:
    OUTAGE = "outage"  # discovery is down; `detail`: how calls fare
    SLOW_LISTS = "slow_lists"  # discovery answers so many seconds late; `detail`
    SILENT_WATCH = "silent_watch"  # open watches fall silent, and so many of the next; `detail`
    CUT_LISTS = "cut_lists"  # the next messages arrive in part; `detail`: what follows
    MOVE = "move"  # new addresses of discovery, in quick succession; `detail`: how many


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, `at_s` seconds after the start of the run, for `for_s` seconds."""

    at_s: float
    kind: FaultKind
    target: str = ""
    for_s: float = 0.0
    call: str = ""
    error: str = ""
    probability: float = 0.0
    detail: str = ""


# Calls that fail for a moment without a broken connection.
HARMLESS_CALLS = (
    (Call.ACCEPT, "ECONNABORTED"),
    (Call.ACCEPT, "EMFILE"),
    (Call.ACCEPT, "ENFILE"),
    (Call.ACCEPT, "ENOBUFS"),
    (Call.SOCKET, "EMFILE"),
    (Call.SOCKET, "ENFILE"),
    (Call.CONNECT, "EADDRNOTAVAIL"),
    (Call.CONNECT, "ENETUNREACH"),
    (Call.CONNECT, "ECONNREFUSED"),
    (Call.CONNECT, "EHOSTUNREACH"),
    (Call.READ, "EAGAIN"),
    (Call.READ, "EINTR"),
    (Call.WRITE, "EAGAIN"),
    (Call.WRITE, "EINTR"),
    (Call.WAIT, "EINTR"),
    (Call.SHORT_READ, "EAGAIN"),
    (Call.SHORT_WRITE, "EAGAIN"),
)
# Calls that say that a connection is broken: whose client it was has no answer.
BREAKING_CALLS = ((Call.READ, "ETIMEDOUT"), (Call.READ, "EHOSTUNREACH"), (Call.WRITE, "ETIMEDOUT"))
CLOCK_STEPS = ("-3600", "-5", "5", "3600")  # seconds
SPOILS = ("error", "cut", "garbage", "unframed")


def is_breaking(fault: Fault) -> bool:
    """Whether a fault breaks connections of clients by itself."""
    return (fault.call, fault.error) in [(call.name, error) for call, error in BREAKING_CALLS]


def draw(
    seed: int,
    seconds: float,
    gateways: Sequence[str],
    boxes: Sequence[str],
    restart_s: float,
    *,
    asked: bool = False,
    heavy: bool = False,
) -> tuple[Fault, ...]:
    """Draw the faults of one run, the same for the same arguments.

    `restart_s`: that a restart may take. `asked`: discovery is asked, and has faults of its own. `heavy`:
    with heavy clients, and connections to boxes that come up late.
    """
    rng = random.Random(seed)
    if heavy:
        return _draw_heavy(rng, seconds, gateways, boxes, restart_s)
    if asked:
        return _draw_asked(rng, seconds, gateways, boxes, restart_s)
    of_gateways = list(_of_gateways(rng, seconds, gateways, restart_s))
    of_boxes = list(_of_boxes(rng, seconds, boxes))
    faults = [
        *of_gateways,
        *of_boxes,
        *_over_drains(rng, gateways, of_gateways, of_boxes),
        *_over_restarts(rng, boxes, of_gateways),
        *_of_discovery(rng, seconds),
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_heavy(
    rng: random.Random, seconds: float, gateways: Sequence[str], boxes: Sequence[str], restart_s: float
) -> tuple[Fault, ...]:
    of_gateways = list(_of_gateways(rng, seconds, gateways, restart_s))
    faults = [*of_gateways, *_over_restarts(rng, boxes, of_gateways), *_of_discovery(rng, seconds)]
    for gateway in gateways:
        faults += _heavy_clients(rng, seconds, gateway)
    at_s = QUIET_S + rng.random()
    while at_s < seconds:
        late = rng.sample(boxes, len(boxes) - 1)  # one always takes connections
        faults += (Fault(at_s, FaultKind.LATE_CONNECTIONS, box, rng.uniform(0.2, 0.9)) for box in late)
        at_s += rng.uniform(2.0, 4.0)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _heavy_clients(rng: random.Random, seconds: float, gateway: str) -> Iterable[Fault]:
    """Crowds of heavy clients, one at a time."""
    at_s = QUIET_S + rng.random()
    while at_s < seconds:
        fault = Fault(at_s, FaultKind.HEAVY, gateway, rng.uniform(0.5, 2.5), detail=rng.choice(tuple(Heavy)))
        yield fault
        at_s += fault.for_s + rng.uniform(0.5, 1.5)


def _draw_asked(
    rng: random.Random, seconds: float, gateways: Sequence[str], boxes: Sequence[str], restart_s: float
) -> tuple[Fault, ...]:
    of_gateways = list(_of_gateways(rng, seconds, gateways, restart_s))
    drains = list(_long_drains(rng, seconds, boxes))
    faults = [*of_gateways, *drains, *_over_drains(rng, gateways, of_gateways, drains)]
    for gateway in gateways:
        faults += _of_lists(rng, gateway, drains)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _long_drains(rng: random.Random, seconds: float, boxes: Sequence[str]) -> Iterable[Fault]:
    """Boxes that stay up for so long as a gateway may not know of their drain; two always serve."""
    free_from = dict.fromkeys(boxes[2:], 0.0)
    at_s = QUIET_S + rng.random()
    while at_s < seconds:
        box = rng.choice(list(free_from))
        if free_from[box] <= at_s:
            yield Fault(at_s, FaultKind.DRAIN, box, ASKED_DRAIN_S + AWAY_S)
            free_from[box] = at_s + ASKED_DRAIN_S + 2 * AWAY_S
        at_s += rng.uniform(0.5, 3.0)


def _of_lists(rng: random.Random, gateway: str, drains: Sequence[Fault]) -> Iterable[Fault]:
    """Faults of discovery around drains, so far apart that one is over when the next begins."""
    free_from = 0.0
    for drain in drains:
        if drain.at_s < free_from or rng.random() > LIST_FAULT_SHARE:
            continue
        fault = _of_list(rng, max(0.0, drain.at_s + rng.uniform(-1.0, 0.3)), gateway)
        yield fault
        free_from = fault.at_s + fault.for_s + LIST_FAULT_APART_S


def _of_list(rng: random.Random, at_s: float, gateway: str) -> Fault:
    kinds = (FaultKind.OUTAGE, FaultKind.SLOW_LISTS, FaultKind.SILENT_WATCH, FaultKind.CUT_LISTS)
    kind = rng.choice((*kinds, FaultKind.MOVE, FaultKind.WATCH))
    match kind:
        case FaultKind.OUTAGE:
            return Fault(at_s, kind, gateway, rng.uniform(0.5, 8.0), detail=rng.choice(tuple(Outage)))
        case FaultKind.SLOW_LISTS:
            return Fault(at_s, kind, gateway, rng.uniform(1.0, 6.0), detail=f"{rng.uniform(0.2, 2.0):.2f}")
        case FaultKind.SILENT_WATCH:
            return Fault(at_s, kind, gateway, detail=rng.choice("01"))
        case FaultKind.CUT_LISTS:
            return Fault(at_s, kind, gateway, detail=rng.choice(tuple(Cut)))
        case FaultKind.MOVE:
            return Fault(at_s, kind, gateway, rng.uniform(0.1, 1.5), detail=rng.choice("123"))
        case _:
            return Fault(at_s, FaultKind.WATCH, gateway)


def _over_drains(
    rng: random.Random, gateways: Sequence[str], of_gateways: Sequence[Fault], of_boxes: Sequence[Fault]
) -> Iterable[Fault]:
    """Hold-ups in which a drain is told, of gateways that do not end then."""
    for drain in of_boxes:
        gateway = rng.choice(gateways)
        ends = (FaultKind.RESTART, FaultKind.KILL)
        is_ending = any(
            fault.kind in ends and fault.target == gateway and abs(fault.at_s - drain.at_s) < 2 * fault.for_s
            for fault in of_gateways
        )
        if drain.kind is FaultKind.DRAIN and not is_ending and rng.random() < HOLD_UP_SHARE:
            yield Fault(
                max(0.0, drain.at_s - 0.03), FaultKind.HOLD_UP, gateway, rng.uniform(*HOLD_UP_OVER_DRAIN_S)
            )


def _over_restarts(rng: random.Random, boxes: Sequence[str], of_gateways: Sequence[Fault]) -> Iterable[Fault]:
    """Boxes that hang through the whole of a gateway's planned end."""
    for restart in of_gateways:
        if restart.kind is FaultKind.RESTART and rng.random() < HANG_SHARE:
            for box in rng.sample(boxes, max(1, len(boxes) // 3)):
                yield Fault(max(0.0, restart.at_s - 0.1), FaultKind.SILENT, box, restart.for_s)


def _of_gateways(
    rng: random.Random, seconds: float, gateways: Sequence[str], restart_s: float
) -> Iterable[Fault]:
    for gateway in gateways:
        at_s = QUIET_S + rng.random()
        while at_s < seconds:
            fault = _of_gateway(rng, at_s, gateway, restart_s)
            yield fault
            at_s += fault.for_s + rng.uniform(0.2, 1.2)


def _of_gateway(rng: random.Random, at_s: float, gateway: str, restart_s: float) -> Fault:
    kinds = (FaultKind.HOLD_UP, FaultKind.CALLS, FaultKind.RESTART, FaultKind.KILL)
    kind = rng.choices((*kinds, FaultKind.SIGNALS, FaultKind.CROWD), (8, 8, 2, 1, 1, 1))[0]
    if kind is FaultKind.HOLD_UP:
        return Fault(at_s, kind, gateway, rng.uniform(0.05, HOLD_UP_MOST_S))
    if kind is FaultKind.CALLS:
        call, error = rng.choice(HARMLESS_CALLS + (BREAKING_CALLS if rng.random() < 0.3 else ()))
        probability = 0.02 if (call, error) in BREAKING_CALLS else rng.choice((0.1, 0.3, 0.6))
        return Fault(at_s, kind, gateway, rng.uniform(0.3, 1.5), call.name, error, probability)
    if kind in (FaultKind.RESTART, FaultKind.KILL):
        return Fault(at_s, kind, gateway, restart_s)
    return Fault(at_s, kind, gateway, rng.uniform(0.5, 1.5))


def _of_boxes(rng: random.Random, seconds: float, boxes: Sequence[str]) -> Iterable[Fault]:
    """One at a time, so that there are always others."""
    at_s = QUIET_S + rng.random()
    while at_s < seconds:
        of_box = (FaultKind.DRAIN, FaultKind.DIE, FaultKind.SILENT, FaultKind.SPOIL, FaultKind.SLOW)
        kind = rng.choices(of_box, (4, 1, 2, 2, 2))[0]
        box = rng.choice(boxes)
        if kind in (FaultKind.DRAIN, FaultKind.DIE):
            yield Fault(at_s, kind, box, DRAIN_S + AWAY_S)
            at_s += DRAIN_S + AWAY_S + rng.uniform(0.5, 1.0)
        else:
            for_s = rng.uniform(0.3, 1.5)
            yield Fault(at_s, kind, box, for_s, detail=rng.choice(SPOILS) if kind is FaultKind.SPOIL else "")
            at_s += for_s + rng.uniform(0.2, 1.0)


def _of_discovery(rng: random.Random, seconds: float) -> Iterable[Fault]:
    """Watches that end, and the clock that it and all others read."""
    yield Fault(QUIET_S + seconds * rng.random() / 2, FaultKind.CLOCK, detail=rng.choice(CLOCK_STEPS))
    at_s = QUIET_S + 2 * rng.random()
    while at_s < seconds:
        yield Fault(at_s, FaultKind.WATCH)
        at_s += rng.uniform(2.0, 4.0)


def write(path: Path, faults: Iterable[Fault]) -> None:
    """Write a schedule, one fault a line."""
    path.write_bytes(b"".join(msgspec.json.encode(fault) + b"\n" for fault in faults))


def read(path: Path) -> tuple[Fault, ...]:
    """Read a schedule, without blank lines and those that begin with #. Raises msgspec.ValidationError."""
    lines = path.read_bytes().splitlines()
    return tuple(msgspec.json.decode(line, type=Fault) for line in lines if line.strip() and line[:1] != b"#")


def errno_of(name: str) -> int:
    """Return the number of an error by its name. Raises ValueError."""
    for number, known in errno.errorcode.items():
        if known == name:
            return number
    raise ValueError(f"no error is called {name!r}")
