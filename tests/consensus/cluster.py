"""Raft cores under manual control: tests decide on each message, disk write, crash and clock step."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable

from badgergap.consensus.log import Configuration, Peer, Snapshot, encode_configuration
from badgergap.consensus.persistent_state import Persist, PersistentState
from badgergap.consensus.raft import Raft
from badgergap.consensus.raft_actions import ApplyEntry, RestoreSnapshot, SendToPeer

NOW = 10_000_000


class Disagreement(AssertionError):
    pass


class Cluster:
    """A group of cores. `kind` is their class; tests pass a variant that lacks one safety check."""

    def __init__(self, count: int, kind: type[Raft] = Raft) -> None:
        self.kind = kind
        config: Configuration = tuple(Peer(f"{n}", f"n{n}") for n in range(1, count + 1))
        start = Snapshot(1, 1, config, b"")
        self.now = NOW
        self.disks = {peer.id: PersistentState(1, "", start) for peer in config}
        self.unsaved: dict[str, list[Persist]] = {id: [] for id in self.disks}
        self.held: dict[str, list[SendToPeer]] = {id: [] for id in self.disks}
        self.wire: list[tuple[str, SendToPeer]] = []
        self.nodes: dict[str, Raft] = {}
        self.agreed: dict[int, tuple[int, bytes]] = {}
        self.leaders: dict[int, str] = {}
        for id in self.disks:
            self.start(id)

    def start(self, id: str) -> None:
        self.nodes[id] = self.kind(id, copy.deepcopy(self.disks[id]), self.now, random.Random(1))
        self.settle(id)

    def settle(self, id: str) -> None:
        """Collect the actions of a core, and check that its applied entries and leadership are consistent."""
        node = self.nodes[id]
        for action in node.actions:
            match action:
                case Persist():
                    self.unsaved[id].append(action)
                case SendToPeer():
                    (self.held[id] if action.after_token > node.writes.durable_token else self.wire).append(
                        action if action.after_token > node.writes.durable_token else (id, action)  # type: ignore[arg-type]
                    )
                case ApplyEntry():
                    found = (action.entry.term, action.entry.data)
                    if self.agreed.setdefault(action.entry.index, found) != found:
                        raise Disagreement(f"entry {action.entry.index} at {id}")
                case RestoreSnapshot():
                    pass
        node.actions = []
        if node.is_leader and self.leaders.setdefault(node.term, id) != id:
            raise Disagreement(f"two leaders of term {node.term}")

    def flush(self, id: str) -> None:
        saves, self.unsaved[id] = self.unsaved[id], []
        if not saves:
            return
        for save in saves:
            self.disks[id].apply(save)
        token = saves[-1].token
        self.wire += [(id, send) for send in self.held[id] if send.after_token <= token]
        self.held[id] = [send for send in self.held[id] if send.after_token > token]
        self.nodes[id].on_persisted(self.now, token)
        self.settle(id)

    def crash(self, id: str) -> None:
        self.unsaved[id], self.held[id] = [], []
        self.start(id)

    def deliver(self, position: int) -> None:
        sender, send = self.wire.pop(position)
        self.nodes[send.peer_id].receive(self.now, sender, send.message)
        self.settle(send.peer_id)

    def time_out(self, id: str) -> None:
        """Let the election timeout of this node pass, and the leader timeout of all."""
        self.now += 1_100_000
        self.nodes[id].election_due_us = self.now
        self.nodes[id].tick(self.now)
        self.settle(id)

    def propose(self, id: str, data: bytes) -> None:
        self.nodes[id].propose(self.now, "data", data)
        self.settle(id)

    def configure(self, id: str, members: str) -> None:
        peers = tuple(Peer(n, f"n{n}") for n in members)
        self.nodes[id].propose(self.now, "config", encode_configuration(peers))
        self.settle(id)

    def run(self, among: str, until: Callable[[], bool] = lambda: False, most: int = 300) -> None:
        """Deliver messages and writes among these nodes until none are left; drop all other messages."""
        for _ in range(most):
            if until():
                return
            for id in among:
                self.flush(id)
            self.wire = [(s, send) for s, send in self.wire if s in among and send.peer_id in among]
            if self.wire:
                self.deliver(0)
            elif not any(self.unsaved[id] for id in among):
                return
