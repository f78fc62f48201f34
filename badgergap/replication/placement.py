"""Which members hold the copies of which key, by epochs that the group has agreed on. Pure.

A key lies in one of so many parts, by its first byte. A part belongs to `copies` seats by rendezvous hashing
over the seats' names, never two in one zone while there are zones enough. A seat is a name and its
`holder`: the identity of the disk behind it. A wiped disk is another holder in the same seat, so only its
parts move.

An epoch is *moving* or *settled*. Moving from the seats `before` to `seats`, whatever is done needs a
majority of both sets of a part; it is settled once a majority of each part's new set holds all that a
majority of its old one held (`Filled`). A majority of holders that are gone for good cannot be asked: such
a part has *holes* until a given time, and a key that is not found there is in doubt, never "not run".
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache

import msgspec

PARTS = 256  # the most, and as many as there are but in simulations
SEATS_LIMIT = 256
FORMAT = 1


class Unreadable(Exception):
    """A placement of a later program version."""


class Seat(msgspec.Struct, frozen=True, array_like=True):
    name: str
    zone: str
    holder: str


class Placement(msgspec.Struct, frozen=True, array_like=True):
    epoch: int = 0  # 0: nothing is placed yet
    copies: int = 3
    seats: tuple[Seat, ...] = ()
    before: tuple[Seat, ...] | None = None  # where the epoch before had them; None: this one is settled
    # Parts that lost a majority for good; group time (us) until which what is not found there is in doubt.
    holes: dict[int, int] = {}
    lost: tuple[int, ...] = ()  # parts that have lost a majority of their old set in this very move
    parts: int = PARTS
    format: int = FORMAT

    def sets(self, part: int) -> tuple[tuple[Seat, ...], ...]:
        """Of each of these a majority is needed."""
        new = seats_of(self.seats, self.copies, part)
        if self.before is None:
            return (new,)
        old = seats_of(self.before, self.copies, part)
        if part in self.lost:
            # The others are gone for good, and nobody waits for them: all that are left are asked.
            there = {seat.holder for seat in self.seats}
            old = tuple(seat for seat in old if seat.holder in there)
        return (new, old) if old and old != new else (new,)

    def members(self, part: int) -> tuple[Seat, ...]:
        """All seats that have to do with a part."""
        return tuple(dict.fromkeys(seat for each in self.sets(part) for seat in each))

    def sources(self, part: int) -> tuple[Seat, ...]:
        """Of whom a majority must have been read before a new seat holds what it should."""
        return self.sets(part)[-1]

    def seat(self, holder: str) -> Seat | None:
        return next((seat for seat in (*self.seats, *(self.before or ())) if seat.holder == holder), None)

    def is_hole(self, part: int, now_us: int) -> bool:
        return now_us < self.holes.get(part, 0)


def part_of(key: bytes, parts: int) -> int:
    return key[0] * parts >> 8


def majority(count: int) -> int:
    return count // 2 + 1


@lru_cache(maxsize=65536)
def _weight(part: int, name: str) -> bytes:
    return hashlib.blake2b(b"%d/%b" % (part, name.encode()), digest_size=8).digest()


@lru_cache(maxsize=4096)
def seats_of(seats: tuple[Seat, ...], copies: int, part: int) -> tuple[Seat, ...]:
    """The set of a part, first choice first: by weight, zones that are not in it yet before others."""
    ranked = sorted(seats, key=lambda seat: (_weight(part, seat.name), seat.name))
    chosen: list[Seat] = []
    zones: set[str] = set()
    for seat in ranked:
        if len(chosen) < copies and (not seat.zone or seat.zone not in zones):
            chosen.append(seat)
            zones.add(seat.zone)
    if len(chosen) < copies:
        chosen += [seat for seat in ranked if seat not in chosen][: copies - len(chosen)]
    return tuple(chosen)


def encode(placement: Placement) -> bytes:
    return msgspec.msgpack.encode(placement)


_placements: msgspec.msgpack.Decoder[Placement] = msgspec.msgpack.Decoder(Placement)


def decode(data: bytes) -> Placement:
    """Raises Unreadable."""
    if not data:
        return Placement()
    try:
        placement = _placements.decode(data)
    except msgspec.MsgspecError as error:
        raise Unreadable(f"a placement that this program does not know: {error}") from None
    if placement.format > FORMAT:
        raise Unreadable(f"a placement of format {placement.format}")
    return placement


def next_of(
    now: Placement,
    offers: Iterable[Seat],
    filled: Mapping[str, Collection[int]],
    members: Collection[str],
    copies: int,
    hole_until_us: int,
    patient: bool = False,
    parts: int = PARTS,
) -> Placement | None:
    """What the leader would have agreed on next; None: all is well, or a move is under way.

    `offers`: the holders that have said they are there, `filled`: of each holder the parts that it has read
    from a majority of their sources in this epoch; `members`: the names in the group; `hole_until_us`: how
    long a loss may still matter; `patient`: a move that is under way has its time yet.
    """
    offered = {seat.name: seat for seat in offers if seat.name in members}
    if now.before is not None:
        if all(_is_held(now, part, filled) for part in range(now.parts)):
            # What was lost stays lost until its time is over, however often seats move.
            return msgspec.structs.replace(now, epoch=now.epoch + 1, before=None, lost=())
        if patient:
            return None
        # A new seat that was lost while it was filled gives way to whoever sits there now.
        stuck = [s for s in now.seats if s.name in offered and offered[s.name].holder != s.holder]
        lost = [s for s in now.seats if s.name not in members]
        if not stuck and not lost:
            return None
        wanted = _wanted(now.seats, offered, members)
        if not wanted:
            return None
        # Still from the settled seats of before: what this one has not finished counts for nothing.
        return _move(now, now.before, wanted, copies, hole_until_us)
    wanted = _wanted(now.seats, offered, members)
    if not wanted or (wanted == now.seats and copies == now.copies):
        return None
    if not now.epoch:
        return Placement(1, copies, wanted, parts=parts)
    return _move(now, now.seats, wanted, copies, hole_until_us)


def _move(
    now: Placement, old: tuple[Seat, ...], wanted: tuple[Seat, ...], copies: int, hole_until_us: int
) -> Placement:
    there = {seat.holder for seat in wanted}
    holes, lost = dict(now.holes), []
    for part in range(now.parts):
        held = seats_of(old, now.copies, part)
        if sum(seat.holder in there for seat in held) < majority(len(held)):
            holes[part] = max(hole_until_us, holes.get(part, 0))
            lost.append(part)
    return Placement(now.epoch + 1, copies, wanted, old, holes, tuple(lost), now.parts)


def _wanted(seats: Sequence[Seat], offered: Mapping[str, Seat], members: Collection[str]) -> tuple[Seat, ...]:
    """Seats stay as long as their members are in the group, and are taken by whoever holds them now."""
    kept = {seat.name: offered.get(seat.name, seat) for seat in seats if seat.name in members}
    return tuple(sorted({**kept, **offered}.values(), key=lambda seat: seat.name))[:SEATS_LIMIT]


def _is_held(now: Placement, part: int, filled: Mapping[str, Collection[int]]) -> bool:
    new = now.sets(part)[0]
    return sum(part in filled.get(seat.holder, ()) for seat in new) >= majority(len(new))
