"""Actions that the Raft core requests. The driver carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.consensus.log import LogEntry, Snapshot
from badgergap.consensus.persistent_state import Persist
from badgergap.consensus.raft_messages import RaftMessage


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message once the write `after_token` is durable, or at once if it is 0."""

    peer_id: str
    message: RaftMessage
    after_token: int = 0


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply a committed entry. Entries come in order, without gaps or repeats."""

    entry: LogEntry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the applied state with a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Disowned:
    """This member's disk holds less than it has acknowledged, so it must give up its identity."""

    acknowledged_index: int


RaftAction = Persist | SendToPeer | ApplyEntry | RestoreSnapshot | Disowned
