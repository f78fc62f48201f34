"""Which reads are the same, and the group against a plain model."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from badgergap.joining.group import Act, Do, Group, State
from badgergap.joining.identity import (
    ABOUT_CLIENT,
    ALONE,
    PERSONAL,
    Asked,
    Learned,
    agree,
    identity,
    vary_of,
    why_alone,
)

PLAIN = Asked(("all", "main", 0, b"GET", b"store", b"/standings"), {b"accept": b"*/*"}, False, True)
VALUES = st.sampled_from([b"a", b"b", b""])
NAMES = st.sampled_from(
    [b"accept", b"cookie", b"authorization", b"origin", b"x-app", b"user-agent", b"x-forwarded-for", b"range"]
)
HEADS = st.dictionaries(NAMES, VALUES, max_size=5)


@pytest.mark.parametrize(
    ("asked", "alone"),
    [
        (PLAIN, False),
        (replace(PLAIN, by_name={}), False),
        (replace(PLAIN, base=(*PLAIN.base[:3], b"HEAD", *PLAIN.base[4:])), False),
        (replace(PLAIN, base=(*PLAIN.base[:3], b"POST", *PLAIN.base[4:])), True),
        (replace(PLAIN, base=(*PLAIN.base[:3], b"PUT", *PLAIN.base[4:])), True),
        (replace(PLAIN, has_body=True), True),
        (replace(PLAIN, repeatable=False), True),
        (replace(PLAIN, by_name={b"h%d" % n: b"" for n in range(65)}), True),
        *((replace(PLAIN, by_name={name: b"x"}), True) for name in ALONE),
    ],
)
def test_what_is_never_joined(asked: Asked, alone: bool) -> None:
    assert bool(why_alone(asked)) is alone


@given(HEADS, HEADS, st.sets(NAMES, max_size=3))
def test_two_of_different_identity_never_have_one_answer(
    one: dict[bytes, bytes], other: dict[bytes, bytes], varies: set[bytes]
) -> None:
    """Equal identities differ only in what says who asks, and not in what the answer varies on."""
    first, second = replace(PLAIN, by_name=one), replace(PLAIN, by_name=other)
    same = identity(first, varies) == identity(second, varies)
    differ = {name for name in one.keys() | other.keys() if one.get(name) != other.get(name)}
    assert same is (not (differ - (ABOUT_CLIENT - varies)))
    if same:
        assert agree(first, second, varies)
        assert identity(first, varies).digest(b"s") == identity(second, varies).digest(b"s")
    else:
        assert identity(first, varies).digest(b"s") != identity(second, varies).digest(b"s")


@given(st.integers(0, 5), VALUES)
def test_each_part_of_the_base_counts(place: int, value: bytes) -> None:
    base = list(PLAIN.base)
    base[place] = 7 if place == 2 else f"x{value!r}" if place < 2 else b"x" + value
    other = replace(PLAIN, base=tuple(base))  # type: ignore[arg-type]
    assert identity(PLAIN) != identity(other) and identity(PLAIN).digest(b"") != identity(other).digest(b"")


def test_a_digest_needs_the_secret() -> None:
    assert identity(PLAIN).digest(b"one") != identity(PLAIN).digest(b"two")


@pytest.mark.parametrize(
    ("headers", "varies"),
    [
        ([], frozenset()),
        ([(b"vary", b"Accept-Encoding, Cookie")], frozenset()),  # compared anyway
        (
            [(b"vary", b"User-Agent"), (b"vary", b"accept, X-Forwarded-For")],
            {b"user-agent", b"x-forwarded-for"},
        ),
        ([(b"vary", b"accept, *")], PERSONAL),
        ([(b"set-cookie", b"a=b")], PERSONAL),
        ([(b"cache-control", b"max-age=5, Private")], PERSONAL),
        ([(b"cache-control", b'private="x-y", max-age=5')], PERSONAL),
        ([(b"cache-control", b"no-store")], PERSONAL),
        ([(b"cache-control", b"public, max-age=5")], frozenset()),
    ],
)
def test_what_an_answer_says_of_whom_it_is_for(
    headers: list[tuple[bytes, bytes]], varies: frozenset[bytes]
) -> None:
    assert vary_of(headers) == varies


def test_what_was_learnt_adds_up_and_is_bounded() -> None:
    learned = Learned(most=2)
    learned.learn(PLAIN.base, frozenset((b"user-agent",)))
    learned.learn(PLAIN.base, frozenset())
    learned.learn(PLAIN.base, frozenset((b"referer",)))
    assert learned.varies(PLAIN.base) == {b"user-agent", b"referer"}
    for n in range(3):
        learned.learn((*PLAIN.base[:5], b"%d" % n), PERSONAL)
    assert len(learned.targets) == 2 and not learned.varies(PLAIN.base)


class GroupMachine(RuleBasedStateMachine):
    """Any order of arrivals, leavings, readers that stop, bytes and ends, against what each should have."""

    LIMIT = 10

    def __init__(self) -> None:
        super().__init__()
        self.group = Group(self.LIMIT)
        self.answer = b""
        self.next = 0
        self.inside: dict[int, bytes] = {}  # what each member has had
        self.blocked: set[int] = set()
        self.begun: set[int] = set()
        self.ended: dict[int, Do] = {}
        self.held_back = self.given_up = False

    def carry_out(self, acts: list[Act]) -> None:
        for act in acts:
            number = act.member
            if act.do is Do.HOLD or act.do is Do.GO_ON:
                assert self.held_back is (act.do is Do.GO_ON)
                self.held_back = act.do is Do.HOLD
                continue
            if act.do is Do.GIVE_UP:
                assert not self.given_up and not self.inside and self.group.state is State.OVER
                self.given_up = True
                continue
            assert number in self.inside and number not in self.ended
            if act.do is Do.BEGIN:
                assert number not in self.begun
                self.begun.add(number)
            elif act.do is Do.SEND:
                assert number in self.begun and number not in self.blocked and act.data
                self.inside[number] += act.data
                assert self.answer.startswith(self.inside[number])
            else:
                if act.do is Do.END:
                    assert self.inside[number] == self.answer and self.group.state in (
                        State.WHOLE,
                        State.OVER,
                    )
                elif act.do is Do.ALONE:
                    assert number not in self.begun
                self.ended[number] = act.do
                del self.inside[number]

    @precondition(lambda self: self.group.open)
    @rule()
    def join(self) -> None:
        self.next += 1
        self.inside[self.next] = b""
        self.carry_out(self.group.join(self.next))

    @precondition(lambda self: not self.group.open)
    @rule()
    def none_comes_late(self) -> None:
        with pytest.raises(ValueError, match="takes nobody"):
            self.group.join(self.next + 1)

    @precondition(lambda self: self.inside)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        number = data.draw(st.sampled_from(sorted(self.inside)))
        del self.inside[number]
        self.blocked.discard(number)
        self.ended[number] = Do.GIVE_UP
        self.carry_out(self.group.leave(number))
        assert self.group.leave(number) == []

    @precondition(lambda self: self.inside)
    @rule(data=st.data(), on=st.booleans())
    def flow(self, data: st.DataObject, on: bool) -> None:
        number = data.draw(st.sampled_from(sorted(self.inside)))
        (self.blocked.discard if on else self.blocked.add)(number)
        self.carry_out(self.group.flow(number, on))

    @precondition(lambda self: self.group.state is State.WAITING and self.inside)
    @rule(data=st.data())
    def begin(self, data: st.DataObject) -> None:
        alone = data.draw(st.frozensets(st.sampled_from(sorted(self.inside))))
        self.carry_out(self.group.begin(alone))
        assert all(self.ended.get(number) is Do.ALONE for number in alone)

    @precondition(lambda self: self.group.state is State.BEGUN and not self.held_back)
    @rule(size=st.integers(1, 7))
    def data(self, size: int) -> None:
        more = bytes((len(self.answer) + n) % 251 for n in range(size))
        self.answer += more
        self.carry_out(self.group.data(more))

    @precondition(lambda self: self.group.state is State.BEGUN)
    @rule(good=st.booleans())
    def end(self, good: bool) -> None:
        self.carry_out(self.group.end() if good else self.group.fail())
        if not good:
            assert not self.inside

    @precondition(lambda self: self.group.state is State.WAITING and self.inside)
    @rule()
    def settle(self) -> None:
        for number in self.group.settle():
            self.ended[number] = Do.END
            del self.inside[number]
        assert not self.inside

    @rule()
    def close(self) -> None:
        self.group.close()
        assert not self.group.open

    @invariant()
    def nothing_is_left_over(self) -> None:
        group = self.group
        assert group.members.keys() == self.inside.keys()
        if self.next and not self.inside:
            assert group.state is State.OVER and not group.held and not group.open
        slowest = min((len(had) for had in self.inside.values()), default=len(self.answer))
        if self.inside and any(len(had) == len(self.answer) for had in self.inside.values()):
            assert len(self.answer) - slowest <= self.LIMIT  # whoever keeps up is not held back by others
        for number, had in self.inside.items():
            if number in self.begun and number not in self.blocked:
                assert had == self.answer  # nobody who takes it waits for it
        # What is held: the limit, and what had come when the box was told to stop.
        assert len(group.held) <= 2 * self.LIMIT + 7

    def teardown(self) -> None:
        for number in list(self.inside):
            del self.inside[number]
            self.ended[number] = Do.GIVE_UP
            self.carry_out(self.group.leave(number))
        if self.next:
            assert self.group.state is State.OVER and set(self.ended) == set(range(1, self.next + 1))


def test_one_who_joins_and_keeps_up_is_not_held_back_by_one_who_lags() -> None:
    """Until more of the answer came, which its box was told not to send: found by the machine above."""
    group = Group(10)
    group.join(1)
    group.begin()
    group.flow(1, False)
    assert group.data(bytes(4)) == [] and group.data(bytes(7)) == [Act(Do.HOLD)]
    assert group.join(2) == [
        Act(Do.BEGIN, 2),
        Act(Do.SEND, 2, bytes(11)),
        Act(Do.CUT, 1),
        Act(Do.GO_ON),
    ]


TestGroup = GroupMachine.TestCase
TestGroup.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
