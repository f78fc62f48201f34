"""The stand-in's store is the oracle of other tests: held here against a plain model of etcd's data model."""

from __future__ import annotations

import copy
import random

import pytest

from badgergap.standins.etcd import AHEAD, COMPACTED, Store, StoreError


@pytest.mark.parametrize("seed", range(20))
def test_every_revision_reads_as_it_was(seed: int) -> None:
    rng, store = random.Random(seed), Store()
    now: dict[bytes, bytes] = {}
    past: dict[int, dict[bytes, bytes]] = {1: {}}
    for _ in range(60):
        key = rng.choice([b"a", b"b", b"c"])
        match rng.randrange(4):
            case 0 | 1:
                now[key] = b"%d" % rng.randrange(9)
                store.put(key, now[key])
            case 2:
                assert store.delete(key) == (now.pop(key, None) is not None)
            case 3 if store.compacted < store.revision:
                store.compact(rng.randint(store.compacted + 1, store.revision))
        past[store.revision] = copy.copy(now)
        for revision, held in past.items():
            if revision < store.compacted:
                with pytest.raises(StoreError, match="compacted"):
                    store.at(b"a", b"\0", revision)
            else:
                assert {k: v.value for k, v in store.at(b"a", b"\0", revision)} == held, (seed, revision)
        # What changed since any revision leads from there to now.
        for revision, held in past.items():
            if revision >= store.compacted:
                led = dict(held)
                for _, key, new, _ in store.since(revision + 1):
                    led.pop(key, None) if new.value is None else led.__setitem__(key, new.value)
                assert led == now


def test_versions_leases_and_bounds() -> None:
    store = Store()
    lease = store.grant(10.0, now=100.0)
    store.put(b"a", b"1", lease)
    store.put(b"a", b"2", lease)
    ((_, have),) = store.at(b"a")
    assert (have.create, have.revision, have.version) == (2, 3, 2)
    assert store.keep_alive(lease, now=105.0) == 10.0 and not store.expire(112.0)
    assert store.expire(115.0) and store.at(b"a") == [] and store.revision == 4
    assert store.keep_alive(lease, now=116.0) == 0.0 and not store.revoke(lease)
    store.put(b"a", b"3")
    assert store.at(b"a")[0][1].version == 1
    with pytest.raises(StoreError, match=AHEAD):
        store.at(b"a", b"", 99)
    store.compact(5)
    with pytest.raises(StoreError, match=COMPACTED):
        store.since(5)
    for revision in (5, 99):
        with pytest.raises(StoreError):
            store.compact(revision)
