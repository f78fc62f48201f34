"""What a gateway has learnt about boxes, kept for it by others, and aged by the time that has passed. Pure.

A weaker class than what is promised: it is sent now and then, never waited for, and may be lost. A *lesson*
is what `Balancer.snapshot` gives, of each pool. Its times are readings of the clock of the gateway that
learnt it; who keeps it counts by its own clock how long, so nobody's wall clock is trusted.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import zstandard

from badgergap.replication.placement import Seat, seats_of

HOLDERS = 2  # others that keep a gateway's lesson: one of them may be lost with it
HALF_LIFE_US = 60_000_000  # after which what one answer tells counts half
OLDEST_US = 600_000_000  # beyond which a lesson is none
LESSON_BYTES = 256 * 1024  # compressed; a longer one is not sent
UNPACKED_BYTES = 4 * 1024 * 1024
KEPT_BYTES = 8 * 1024 * 1024  # of all that is kept for others
BOXES_MOST = 500  # of all pools: more hold up the loop for over 5 ms while they are written down

Learnt = dict[str, Any]  # as `Balancer.snapshot` gives it


class BadLesson(ValueError):
    """One that is damaged, or of another program, in words."""


class Lesson(msgspec.Struct, frozen=True, array_like=True):
    taken_us: int  # by the clock of the gateway that learnt it
    classes: tuple[str, ...]  # what the figures by class stand for
    pools: dict[str, Learnt]


class Keep(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Keep this for me, in place of the one before."""

    lesson: bytes


class Want(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """What do you keep for me?"""


class Have(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    lesson: bytes
    age_us: int  # for which it was kept


Word = Keep | Want | Have
_words: msgspec.msgpack.Decoder[Word] = msgspec.msgpack.Decoder(Keep | Want | Have)
_lessons: msgspec.msgpack.Decoder[Lesson] = msgspec.msgpack.Decoder(Lesson)


def encode(word: Word) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> Word:
    """Raises MsgspecError."""
    return _words.decode(data)


def pack(lesson: Lesson) -> bytes | None:
    """None for one that is too long to be kept by others."""
    data = zstandard.ZstdCompressor(level=3, write_checksum=True).compress(msgspec.msgpack.encode(lesson))
    return data if len(data) <= LESSON_BYTES else None


def unpack(data: bytes) -> Lesson:
    """Raises BadLesson."""
    try:
        if zstandard.get_frame_parameters(data).content_size > UNPACKED_BYTES:
            raise BadLesson("a lesson too long")
        return _lessons.decode(zstandard.ZstdDecompressor().decompress(data))
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise BadLesson(f"no lesson: {error}") from None


def holders(own: Seat, seats: Sequence[Seat]) -> tuple[str, ...]:
    """Who keeps the lesson of `own`: the same ones while seats stay, of other zones while there are any."""
    others = [seat for seat in seats if seat.name != own.name]
    away = [seat for seat in others if not own.zone or seat.zone != own.zone]
    place = hashlib.blake2b(own.name.encode(), digest_size=1).digest()[0]
    chosen = list(seats_of(tuple(away), HOLDERS, place))
    chosen += [seat for seat in seats_of(tuple(others), HOLDERS, place) if seat not in chosen]
    return tuple(seat.name for seat in chosen[:HOLDERS])


@dataclass(slots=True)
class Kept:
    """What is kept here for others, one lesson each."""

    lessons: dict[str, tuple[bytes, int]] = field(default_factory=dict)  # and since when; oldest first

    @property
    def size(self) -> int:
        return sum(len(lesson) for lesson, _ in self.lessons.values())

    def keep(self, now_us: int, name: str, lesson: bytes) -> None:
        self.lessons.pop(name, None)
        if len(lesson) > LESSON_BYTES:
            return
        self.lessons[name] = (lesson, now_us)
        self.forget(now_us)
        while self.size > KEPT_BYTES:
            del self.lessons[next(iter(self.lessons))]

    def have(self, now_us: int, name: str) -> Have | None:
        self.forget(now_us)
        lesson, since_us = self.lessons.get(name, (b"", 0))
        return Have(lesson, now_us - since_us) if lesson else None

    def forget(self, now_us: int) -> None:
        for name, (_, since_us) in list(self.lessons.items()):
            if now_us - since_us > OLDEST_US:
                del self.lessons[name]


def aged(learnt: Mapping[str, Any], age_us: int, shift_us: int) -> Learnt:
    """What it is worth `age_us` later, in times that are `shift_us` ahead of its own.

    Outcomes count less, the newest longest; weights go back towards 1; nothing is out any more. An open
    breaker stays open until its time, and is then on trial: that costs a box that is well again little.
    Raises BadLesson for what has no snapshot's form; `Balancer.restore` judges its figures.
    """
    share = 0.5 ** (max(0, age_us) / HALF_LIFE_US)
    try:
        return {
            **learnt,
            "answers": [int(count * share) for count in learnt["answers"]],
            "asked": [count * share for count in learnt["asked"]],
            "served": [count * share for count in learnt["served"]],
            "shed": learnt["shed"] * share,
            "shed_at_us": _at(learnt["shed_at_us"], shift_us),
            "mean_out": 0.0,
            "servers": [_aged_server(server, share, shift_us) for server in learnt["servers"]],
        }
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise BadLesson(f"no lesson: {error!r:.100}") from None


def _aged_server(raw: Sequence[Any], share: float, shift_us: int) -> list[Any]:
    number, weight, spent_us, spent_at_us, start_us, out_us, back_us, used, breakers = raw
    return [
        number,
        1.0 - (1.0 - weight) * share,
        spent_us,
        *(_at(at_us, shift_us) for at_us in (spent_at_us, start_us, out_us, back_us)),
        used,
        [
            [state, _at(until_us, shift_us), cooldown_us, list(ring)[len(ring) - round(len(ring) * share) :]]
            for state, until_us, cooldown_us, ring in breakers
        ],
    ]


def _at(at_us: int, shift_us: int) -> int:
    """0 stands for never, or long ago."""
    return max(1, at_us + shift_us) if at_us > 0 else at_us
