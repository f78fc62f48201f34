"""The follower's rules: each hard case as a script, and any interleaving of them by chance."""

from __future__ import annotations

from itertools import pairwise

import pytest

from badgergap.etcd import follow
from badgergap.etcd.follow import Failed as CallFailed
from badgergap.etcd.follow import Header, Listed, LogIn, State, Trouble, Watch, Watched
from badgergap.standins.etcd import Store
from tests.etcd.simulation import FIRST, LAST, Simulation

A, B, C = b"/boxes/a", b"/boxes/b", b"/boxes/c"


def followed(endpoints: int = 3, **keys: bytes) -> Simulation:
    """A follower that is up to date with a store of these keys."""
    it = Simulation(1, endpoints)
    for name, value in keys.items():
        it.store.put(FIRST + name.encode(), value)
    it.settle()
    assert it.view == it.truth and it.follower.current
    return it


def cut(it: Simulation) -> None:
    it.end_watch(it.follower.call)


def run_on(it: Simulation, rounds: int = 40) -> None:
    """Everything is answered, without an end to the faults."""
    for _ in range(rounds):
        it.exchange()
        it.pass_time()


def test_a_list_then_a_watch_from_the_next_revision() -> None:
    it = followed(a=b"1", b=b"2", c=b"3", d=b"4")  # two pages of three
    assert it.wholes == 1 and isinstance(it.calls[it.follower.call], Watch)
    assert it.calls[it.follower.call].start == it.store.revision + 1  # type: ignore[union-attr]
    it.store.put(B, b"new")
    it.store.delete(A)
    it.settle()
    assert it.view == it.truth and it.wholes == 1


def test_a_cut_watch_is_resumed_without_a_list() -> None:
    it = followed(a=b"1", b=b"2")
    cut(it)
    it.store.delete(A)
    it.store.put(C, b"3")
    it.settle()
    assert it.view == it.truth and it.wholes == 1


def test_a_cut_watch_whose_history_is_compacted_tells_the_difference() -> None:
    """Removed, replaced and added again under the same name in between."""
    it = followed(a=b"1", b=b"2", c=b"3")
    told_before = dict(it.newest)
    cut(it)
    it.store.delete(A)
    it.store.delete(B)
    it.store.put(B, b"another")
    it.store.put(C, b"3 again")
    it.store.put(b"/boxes/d", b"4")
    it.store.compact(it.store.revision)
    it.settle()
    assert it.view == it.truth and it.wholes == 2
    assert it.newest[A] > told_before[A] and A not in it.view


def test_a_compaction_under_an_open_watch_that_lags_behind_it() -> None:
    it = followed(a=b"1", b=b"2")
    it.store.delete(A)
    it.store.put(C, b"1")
    it.store.compact(it.store.revision)
    it.settle()
    assert it.view == it.truth


def test_compacted_in_the_midst_of_a_list() -> None:
    it = Simulation(1)
    for n in range(5):
        it.store.put(b"/boxes/%d" % n, b"x")
    it.answer(it.follower.call)  # the first page
    it.store.delete(b"/boxes/0")
    it.store.compact(it.store.revision)
    it.settle()
    assert it.view == it.truth


def test_an_open_and_silent_watch_is_found_within_the_stated_time() -> None:
    it = followed(a=b"1")
    began_us, call = it.now_us, it.follower.call
    for end in it.ends[:1]:
        end.mute = True
    it.store.delete(A)
    for _ in range(20):
        if it.follower.call == call:
            it.pass_time()
            if call in it.watches:
                it.pump(call)
    assert it.follower.call != call, "the silence was not noticed"
    assert it.now_us - began_us <= it.follower.times.silence_us
    assert not it.follower.current and "says nothing" in it.trust[-1].why
    it.settle()
    assert it.view == it.truth == {}


def test_a_quiet_watch_that_answers_is_kept() -> None:
    it = followed(a=b"1")
    call = it.follower.call
    for n in range(20):
        it.store.put(b"/elsewhere/%d" % n, b"x")
        it.pass_time()
        it.pump(call)
        it.deliver(call)
    assert it.follower.call == call and it.follower.revision == it.store.revision  # its bookmark moves on
    it.store.compact(it.store.revision)
    cut(it)
    it.settle()
    assert it.wholes == 1  # so a compaction of what did not concern it costs no list


def test_an_endpoint_that_lags_brings_nothing_back() -> None:
    it = followed(a=b"1", b=b"2")
    seen = it.store.revision
    it.store.delete(A)
    it.settle()
    for end in it.ends[1:]:
        end.lag = seen
    it.ends[0].dead = True
    cut(it)
    run_on(it)
    assert A not in it.view and it.follower.revision > seen
    assert not it.follower.current
    it.settle()
    assert it.view == it.truth


def test_a_list_of_a_lagging_endpoint_is_not_believed() -> None:
    it = followed(a=b"1", b=b"2")
    seen = it.store.revision
    it.store.delete(A)
    it.settle()
    it.ends[1].lag = seen
    it.store.compact(it.store.revision)
    it.ends[0].dead = True
    cut(it)
    it.ends[2].dead = True
    run_on(it, 60)
    assert A not in it.view
    it.settle()
    assert it.view == it.truth


def restored(it: Simulation, cluster: int) -> Store:
    store = Store(cluster=cluster)
    store.put(B, b"from the backup")
    return store


def test_a_restored_store_under_another_id_is_believed_by_a_majority() -> None:
    it = followed(a=b"1", b=b"2", c=b"3")
    store = restored(it, 0xBAD)
    it.ends[1].store = store
    cut(it)
    run_on(it)
    assert it.view == it.truth  # one of three is not believed
    for end in it.ends:
        end.store = store
    cut(it)
    it.store = store
    it.settle()
    assert it.view == it.truth and "replaces the one before" in it.shouts[-1]


def test_a_store_that_has_gone_back_under_its_own_id_is_believed_after_a_while() -> None:
    it = followed(a=b"1", b=b"2", c=b"3")
    store = restored(it, it.store.cluster)
    assert store.revision < it.store.revision
    for end in it.ends:
        end.store = store
    cut(it)
    began_us = it.now_us
    while not it.shouts:
        run_on(it, 1)
    assert it.now_us - began_us >= it.follower.times.restored_us
    it.store = store
    it.settle()
    assert it.view == it.truth


def test_all_keys_deleted_at_once_is_obeyed_and_shouted_about() -> None:
    it = followed(a=b"1", b=b"2")
    it.store.delete(FIRST, LAST)
    it.settle()
    assert it.view == {} and "All keys are gone" in it.shouts[-1]
    it = followed(a=b"1", b=b"2")
    cut(it)
    it.store.delete(FIRST, LAST)
    it.store.compact(it.store.revision)
    it.settle()
    assert it.view == {} and "All 2 keys are gone" in it.shouts[-1]


def test_parts_of_one_change_that_is_cut_off_bring_nothing_back() -> None:
    """The first part told that a is there, the second that it is gone; then the watch is resumed."""
    it = followed(a=b"1")
    call, head = it.follower.call, Header(it.store.cluster, 9)
    revision = it.follower.revision
    put, gone = follow.Change(A, b"2", revision + 1), follow.Change(A, None, revision + 2)
    it.feed(Watched(call, head, (put,), fragment=True))
    it.feed(Watched(call, head, (gone,), fragment=True))
    assert A not in it.view and it.follower.revision == revision
    it.feed(Watched(call, head, (put,), fragment=True))  # the take() asserts that nothing older is told
    assert A not in it.view


def test_a_progress_word_ends_no_fragment() -> None:
    it = followed(a=b"1")
    call = it.follower.call
    it.feed(Watched(call, Header(it.store.cluster, 50), (follow.Change(B, b"1", 40),), fragment=True))
    assert it.follower.revision < 40
    it.feed(Watched(call, Header(it.store.cluster, 50), (follow.Change(C, b"1", 40),)))
    assert it.follower.revision == 40


def test_unreachable_at_the_start_and_then_there() -> None:
    it = Simulation(1)
    it.store.put(A, b"1")
    for end in it.ends:
        end.dead = True
    run_on(it, 30)
    assert it.view == {} and not it.follower.current and it.trust[0].why == "dead"
    assert len(it.trust) == 1  # said once, not with every attempt
    it.settle()
    assert it.view == it.truth and it.trust[-1].current


def test_attempts_grow_further_apart_but_the_next_endpoint_is_tried_at_once() -> None:
    it = Simulation(1)
    for end in it.ends:
        end.dead = True
    tried: list[int] = []
    while len(tried) < 30:
        tried.append(it.now_us)
        it.answer(it.follower.call)
        if it.follower.state is State.RESTING:
            it.pass_time()
    gaps = [later - earlier for earlier, later in pairwise(tried)]
    assert gaps[:2] == [0, 0] and max(gaps) <= follow.AGAIN_MOST_US and gaps[-1] > 500_000


def test_a_token_that_has_run_out_is_renewed_on_the_spot() -> None:
    it = Simulation(1, login=True)
    assert isinstance(it.calls[it.follower.call], LogIn)
    it.settle()
    it.store.put(A, b"1")
    it.settle()
    assert it.view == it.truth
    endpoint = it.follower.endpoint
    it.calls.clear()
    it.watches.clear()
    it.feed(CallFailed(it.follower.call, Trouble.AUTH, "invalid auth token"))
    assert isinstance(it.calls[it.follower.call], LogIn) and it.follower.endpoint == endpoint
    it.store.delete(A)
    it.settle()
    assert it.view == it.truth == {} and it.wholes == 1
    assert len(it.trust) == 1  # nobody needed to hear of it


def test_a_wrong_password_does_not_hammer() -> None:
    it = Simulation(1, endpoints=1, login=True)
    for _ in range(5):
        it.feed(CallFailed(it.follower.call, Trouble.DENIED, "authentication failed"))
        assert it.follower.state is State.RESTING
        it.calls.clear()
        it.pass_time()


def test_a_call_that_never_ends_is_given_up() -> None:
    it = Simulation(1)
    first = it.follower.call
    it.pass_time()
    assert it.follower.call != first and it.follower.endpoint == 1 and "out of time" in it.trust[-1].why


def test_a_prefix_with_too_many_keys_is_refused_as_a_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follow, "KEYS_LIMIT", 4)
    it = followed(a=b"1")
    for n in range(9):
        it.store.put(b"/boxes/%d" % n, b"x")
    it.store.compact(it.store.revision)
    cut(it)
    run_on(it, 5)
    assert list(it.view) == [A] and "more than 4 keys" in it.shouts[-1] and not it.follower.current


def test_a_list_without_end_is_not_followed_for_ever() -> None:
    it = Simulation(1)
    it.feed(Listed(it.follower.call, Header(1, 5), (), True))  # says more, and gives nothing
    assert it.follower.state is State.OPENING


@pytest.mark.parametrize("seed", range(300))
def test_any_interleaving_ends_in_the_stores_true_list(seed: int) -> None:
    """Cuts, compactions, fragments, lag, death, silence, late words of earlier calls. `take` asserts at every
    word told that no key's news is older than what was told of it before."""
    it = Simulation(seed, endpoints=1 + seed % 3, login=seed % 5 == 0)
    for _ in range(250):
        it.step()
    it.settle()
    assert it.follower.current, (seed, it.trust[-3:])
    assert it.view == it.truth, seed
