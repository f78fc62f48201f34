"""What the Raft core wants done. Its driver carries these out in their order."""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.consensus.log import LogEntry, Snapshot
from badgergap.consensus.persistent_state import Persist
from badgergap.consensus.raft_messages import RaftMessage


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message once the write `after_token` is durable; 0: at once."""

    peer_id: str
    message: RaftMessage
    after_token: int = 0


@dataclass(frozen=True, slots=True)
class ApplyEntry:
    """Apply a committed entry. Entries come in order, none left out and none twice."""

    entry: LogEntry


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace all that was applied by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Disowned:
    """This member's disk holds less than it has acknowledged: it must not go on under its identity."""

    acknowledged_index: int


RaftAction = Persist | SendToPeer | ApplyEntry | RestoreSnapshot | Disowned
