"""The messages of the Raft protocol, named as in the Raft paper.

`term` is the sender's term, or in a pre-vote request the term that it would stand for. A message is encoded
as its tag and its fields in order: names may change here, tags and the order of fields may not.
"""

from __future__ import annotations

import msgspec

from badgergap.consensus.log import Configuration, LogEntry


class PreVoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="pre"):
    """Requests a non-binding vote for `term`, before the term is raised (section 9.6 of the thesis)."""

    term: int
    last_log_index: int
    last_log_term: int


class PreVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="pred"):
    """The response for `requested_term`; it is not binding."""

    term: int
    requested_term: int
    granted: bool


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate's request for a vote."""

    term: int
    last_log_index: int
    last_log_term: int


class RequestVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """Grants or denies a vote."""

    term: int
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="app"):
    """Entries from the leader; none in a heartbeat. `sent_at_us`: send time by the leader's clock."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    sent_at_us: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appd"):
    """A follower's response to `AppendEntries`.

    `match_index`: up to here the follower's log on disk equals the leader's; without success, the index that
    the leader should try next. `sent_at_us` is copied from the request.
    """

    term: int
    success: bool
    match_index: int
    sent_at_us: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """One chunk of a snapshot; each is sent after the previous one is acknowledged."""

    term: int
    last_included_index: int
    last_included_term: int
    configuration: Configuration
    offset: int
    total_bytes: int
    data: bytes
    sent_at_us: int


class InstallSnapshotResponse(msgspec.Struct, frozen=True, array_like=True, tag="partd"):
    """Acknowledges `received_bytes` bytes of the snapshot at `last_included_index`."""

    term: int
    last_included_index: int
    received_bytes: int
    sent_at_us: int


class DisownMember(msgspec.Struct, frozen=True, array_like=True, tag="disown"):
    """Reports that the receiver has lost entries, because its disk was rolled back.

    It had acknowledged entries up to `acknowledged_index`.
    """

    term: int
    acknowledged_index: int


RaftMessage = (
    PreVoteRequest
    | PreVoteResponse
    | RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | DisownMember
)
