"""Which ids of requests may not be taken again, and for how long."""

from __future__ import annotations

from badgergap.proxy.downstream.request_ids import REMEMBERED_LIMIT, REMEMBERED_S, RequestIds


class FakeClock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_an_id_is_free_again_once_nothing_of_its_request_may_have_run() -> None:
    ids = RequestIds()
    assert ids.reserve(b"a", is_repeatable=False) and not ids.reserve(b"a", is_repeatable=False)
    ids.finish(b"a", may_have_run=False)
    assert ids.reserve(b"a", is_repeatable=False)


def test_an_id_that_may_have_run_is_remembered_for_its_time() -> None:
    clock = FakeClock()
    ids = RequestIds(clock)
    ids.reserve(b"a", is_repeatable=False)
    ids.finish(b"a", may_have_run=True)
    clock.now = REMEMBERED_S - 1
    assert not ids.reserve(b"a", is_repeatable=False)
    clock.now = REMEMBERED_S + 1
    assert ids.reserve(b"a", is_repeatable=False)


# Guards against report a0d5b8: memory that grows under ever new names.
def test_only_the_newest_ids_are_remembered() -> None:
    clock = FakeClock()
    ids = RequestIds(clock)
    ids.remember_all(b"%d" % n for n in range(3 * REMEMBERED_LIMIT))
    assert len(ids.known()) == REMEMBERED_LIMIT
    assert not ids.reserve(b"%d" % (3 * REMEMBERED_LIMIT - 1), is_repeatable=False)
    clock.now = 2 * REMEMBERED_S
    ids.finish(b"a", may_have_run=True)
    assert ids.known() == (b"a",)


def test_other_processes_are_told_of_ids_that_may_not_be_repeated() -> None:
    told: list[bytes] = []
    ids = RequestIds()
    ids.on_taken = told.append
    ids.reserve(b"a", is_repeatable=False)
    ids.reserve(b"b", is_repeatable=True)
    assert told == [b"a"]
