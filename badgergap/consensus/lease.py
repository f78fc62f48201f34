"""Who may act, and until when: the two sides of a lease. Pure; microseconds of each member's own clock.

A member asks its leader with the time of its own clock, `stamp`. The leader answers once it knows that it
still was the leader after the question came (`Raft.confirmed_us`) and holds all that was agreed before
(`settled`). The lease lasts `length` from the stamp, so whatever the way took has been counted. The leader
reckons from when the question came, with both clocks' drift on top: it may hold a member for able to act
longer than it is, never shorter. A new leader knows of no lease that was given before; it takes every
member to hold one for a whole length from its election on, for no leader before it can have confirmed
itself after that.

A version that contradicts comes into force once each member has it, or its lease is over. So a member that is
cut off acts on the version before for at most one length after the others went on: the bound.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

DRIFT = 0.01  # two clocks' rates differ by no more than this share, each from true time
SHARE = 0.8  # of the stated time that a lease lasts; the rest is for drift, stalls and the way to a box
ASKS = 8  # questions in a lease


def length_of(contradiction_us: int) -> int:
    return int(contradiction_us * SHARE)


@dataclass(slots=True)
class Lease:
    """A member's own. Its process never takes a word that was given to an earlier one."""

    length_us: int
    end_us: int = -(1 << 60)
    floor: int = 0  # the version that it must have in force to act under this lease

    def take(self, now_us: int, stamp_us: int, floor: int) -> None:
        self.end_us = max(self.end_us, min(stamp_us, now_us) + self.length_us)
        self.floor = max(self.floor, floor)

    def left_us(self, now_us: int) -> int:
        return max(0, self.end_us - now_us)

    def drop(self) -> None:
        self.end_us = -(1 << 60)


class Question(Protocol):
    """What a member says as it asks: of which process it is, its clock, and what it holds and acts on."""

    @property
    def life(self) -> int: ...
    @property
    def stamp_us(self) -> int: ...
    @property
    def has(self) -> int: ...
    @property
    def acts(self) -> int: ...
    @property
    def log_bytes(self) -> int: ...


@dataclass(slots=True)
class Account:
    """What a leader knows of one member."""

    stamp_us: int = 0  # of the question to be answered
    came_us: int = -1  # when it came; -1: none is open
    life: int = 0  # of its process: those that came before have less, and their late words count no more
    newest_us: int = -(1 << 60)  # the stamp of the newest question
    heard_us: int = -(1 << 60)
    until_us: int = 0  # it may act until then; microseconds of the leader's clock
    has: int = 0  # the newest version that it holds
    acts: int = 0
    log_bytes: int = 0


@dataclass(slots=True)
class Grants:
    """A leader's side, from its election on."""

    length_us: int
    elected_us: int
    accounts: dict[str, Account] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)  # get none any more: they are being taken out

    @property
    def hold_us(self) -> int:
        return int(self.length_us * (1 + 2 * DRIFT)) + 1

    def account(self, id: str) -> Account:
        known = self.accounts.get(id)
        if known is None:
            known = self.accounts[id] = Account(until_us=self.elected_us + self.hold_us)
        return known

    def ask(self, now_us: int, id: str, question: Question) -> None:
        account = self.account(id)
        if question.life < account.life:
            return
        account.heard_us = now_us
        if question.life > account.life:  # started anew, with another clock
            account.life, account.newest_us, account.came_us = question.life, question.stamp_us, -1
        if question.stamp_us < account.newest_us:
            return  # overtaken by a newer one
        account.newest_us, account.acts = question.stamp_us, question.acts
        account.log_bytes = question.log_bytes
        account.has = (
            question.has
        )  # less than before from one that started anew, until it has learnt it again
        if account.came_us < 0:
            account.stamp_us, account.came_us = question.stamp_us, now_us

    def due(self, confirmed_us: int, members: Iterable[str]) -> list[tuple[str, int]]:
        """Whose question can be answered now, with its stamp. From here on they count as able to act."""
        granted = []
        for id in members:
            account = self.accounts.get(id)
            if account is None or account.came_us < 0 or id in self.leaving:
                continue
            if account.came_us <= confirmed_us:
                account.until_us = max(account.until_us, account.came_us + self.hold_us)
                granted.append((id, account.stamp_us))
                account.came_us = -1
        return granted

    def is_over(self, now_us: int, id: str) -> bool:
        """Whether it can no longer act, whatever became of it."""
        return now_us >= self.account(id).until_us

    def behind(self, now_us: int, version: int, members: Iterable[str]) -> list[str]:
        """Who still keeps a version from coming into force."""
        return [id for id in members if self.account(id).has < version and not self.is_over(now_us, id)]
