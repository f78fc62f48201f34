"""Files and frames that release b7ff903 wrote are read, and written again as the same bytes.

When a gateway is upgraded in place, its state folder, its group's log, a snapshot of the replicas and the
state that the running process transfers were all written by the older release. The files under `data/` are
from that release; no code here generates them.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest

from badgergap.balancing.interface import EndpointListKind
from badgergap.consensus import endpoint_lists, replicated_state
from badgergap.consensus.log import LogEntry, Peer, Snapshot
from badgergap.consensus.persistence import decode
from badgergap.consensus.persistent_state import PersistentState
from badgergap.hot_restart import frames, state_transfer
from badgergap.proxy.endpoints.manual_drains import DrainStore
from badgergap.proxy.endpoints.registry import ManualDrain
from badgergap.replication import snapshot
from badgergap.storage.files import LocalFiles
from badgergap.storage.record_log import RecordLog
from tests.balancing.test_manual_drains import COLD
from tests.helpers import Driver
from tests.hot_restart.test_state_transfer import driver_with_learned_state

DATA = Path(__file__).parent / "data"
FILE_IDENTITY = 7  # the file identity that is stored in the fixture's log

DRAINS = [ManualDrain("box-1", "anna", 1_700_000_000_000_000, "d-1"), ManualDrain("box-2", "console", 6, "")]
IDENTITY = state_transfer.GatewayIdentity("n0", ("127.0.0.1", 3000))
TRANSFERRED_STATE = state_transfer.TransferredState(
    clock_offset_ns=123,
    endpoint_list={"index": 7, "snapshot": True, "endpoints": [{"name": "box-1", "address": "127.0.0.1:80"}]},
    drains=tuple(DRAINS),
    lame_duck_age_s=1.5,
    learned_state={"servers": [], "mean_out": 0.5},
    pools={"spare": {"servers": []}},
    request_classes=("read", "write"),
    endpoint_counts={"main": 2, "spare": 0},
)
LINK_MESSAGES: tuple[tuple[dict[str, Any], str], ...] = (
    (
        {"ask": IDENTITY.to_json()},
        "6267770100000034e8aed24c7b2261736b223a7b2267617465776179223a226e30222c226c697374656e223a5b"
        "223132372e302e302e31222c333030305d7d7d",
    ),
    ({"taking": True}, "626777010000000faee022597b2274616b696e67223a747275657d"),
    ({"holds": [3, 4]}, "626777010000000fb904b0687b22686f6c6473223a5b332c345d7d"),
    (
        {"client": "http", "fd": True},
        "626777010000001b128336197b22636c69656e74223a2268747470222c226664223a747275657d",
    ),
)
REPLICA_HEAD = snapshot.Head(1, "group-1", 4, 5_000_000, '{"limits":{}}', {"box-1": "anna"})
REPLICA_RECORDS = [(f"key-{number}".encode(), f"value-{number}".encode()) for number in range(600)]
LISTED = (
    '[{"name":"a","address":"127.0.0.1:1","zone":"z","kind":"k","weight":2.5,"group":3,'
    '"started_us":4,"out":true},'
    '{"name":"b","address":"127.0.0.1:2","protocol":"h3"}]'
)


class ConstantIdentityFiles(LocalFiles):
    """The system's files with a constant file identity, so that a copied log is not detected as a copy."""

    def file_id(self, file: int) -> int:
        return FILE_IDENTITY


def test_a_consensus_log_is_read_and_rewritten_unchanged(tmp_path: Path) -> None:
    folder = tmp_path / "log"
    shutil.copytree(DATA / "consensus_log", folder)
    log = RecordLog(folder, ConstantIdentityFiles())
    found = log.open()
    log.close()
    assert (found.lost_reason, found.is_new, found.torn_bytes) == ("", False, 0)
    peers = (Peer("id-1", "g1", "z", True), Peer("id-2", "g2", "", False))
    entries = [LogEntry(3, 2, "data", b"x"), LogEntry(4, 3, "noop")]
    expected = PersistentState(
        term=3, voted_for="id-2", snapshot=Snapshot(2, 1, peers, b"state"), entries=entries
    )
    assert decode(found.records) == expected
    for name in ("log", "mark"):
        assert (folder / name).read_bytes() == (DATA / "consensus_log_reopened" / name).read_bytes()


def test_a_group_state_in_a_snapshot_is_read_and_rewritten_unchanged() -> None:
    written = (DATA / "group_state.bin").read_bytes()
    group = replicated_state.GroupState()
    group.restore(written)
    assert group.newest.number == 3 and group.newest.out == {"box-1": "anna"}
    assert group.snapshot() == written
    assert group.newest.digest() == "5090df9f81d44b64"


def test_an_endpoint_list_in_the_log_keeps_its_form() -> None:
    assert endpoint_lists.encode(endpoint_lists.decode(LISTED)) == LISTED


def test_manual_drains_are_read_and_rewritten_unchanged(tmp_path: Path) -> None:
    shutil.copy(DATA / "drains.json", tmp_path / "drains.json")
    store = DrainStore(tmp_path)
    assert store.load() == DRAINS
    store.save(DRAINS)
    assert (tmp_path / "drains.json").read_bytes() == (DATA / "drains.json").read_bytes()


def test_a_snapshot_of_the_replicas_is_read_and_rewritten_unchanged(tmp_path: Path) -> None:
    found = snapshot.verify(DATA / "replicas.snapshot")
    assert (found.head, list(found.records())) == (REPLICA_HEAD, REPLICA_RECORDS)
    snapshot.write(tmp_path / "again", REPLICA_HEAD, REPLICA_RECORDS)
    assert (tmp_path / "again").read_bytes() == (DATA / "replicas.snapshot").read_bytes()


def test_a_state_transfer_is_read_and_rewritten_unchanged() -> None:
    written = (DATA / "state_transfer.frame").read_bytes()
    (message,) = frames.FrameDecoder().feed(written)
    assert state_transfer.read_state(message, IDENTITY) == TRANSFERRED_STATE
    assert frames.encode_frame(state_transfer.write_state(TRANSFERRED_STATE, IDENTITY)) == written


@pytest.mark.parametrize(("message", "written"), LINK_MESSAGES)
def test_a_hot_restart_message_keeps_its_bytes(message: dict[str, Any], written: str) -> None:
    assert frames.encode_frame(message) == bytes.fromhex(written)
    assert list(frames.FrameDecoder().feed(bytes.fromhex(written))) == [message]


def test_learned_state_is_written_unchanged() -> None:
    assert (
        json.dumps(driver_with_learned_state().balancer.snapshot())
        == (DATA / "balancer_snapshot.json").read_text()
    )


def test_learned_state_is_read() -> None:
    written = (DATA / "balancer_snapshot.json").read_text()
    before = driver_with_learned_state()
    after = Driver(COLD, endpoints=0)
    after.now_us = before.now_us
    after.list_endpoints(*(s.entry for s in before.balancer.endpoints.values()), kind=EndpointListKind.DISK)
    assert json.dumps(after.balancer.snapshot()) != written
    after.balancer.restore(after.now_us, json.loads(written))
    assert json.dumps(after.balancer.snapshot()) == written
