"""The messages of the Raft protocol, by the names of the Raft papers.

`term` is the sender's, or in a pre-vote the term that it would ask for. On the wire a message is its tag and
its fields in their order: the names here may change, tags and order may not.
"""

from __future__ import annotations

import msgspec

from badgergap.consensus.log import Configuration, LogEntry


class PreVoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="pre"):
    """Would you vote for me in this term? Asked before the term is raised (section 9.6 of the thesis)."""

    term: int
    last_log_index: int
    last_log_term: int


class PreVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="pred"):
    """The answer for `requested_term`; it binds nobody."""

    term: int
    requested_term: int
    granted: bool


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate asks for a vote."""

    term: int
    last_log_index: int
    last_log_term: int


class RequestVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """A vote, or its refusal."""

    term: int
    granted: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="app"):
    """Entries from the leader, none in a heartbeat. `sent_at_us`: the leader's clock as it was sent."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    sent_at_us: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appd"):
    """`match_index`: up to where the follower's log on disk is the leader's; without success, where the
    leader
    should look next. `sent_at_us` is that of the request.
    """

    term: int
    success: bool
    match_index: int
    sent_at_us: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """One chunk of a snapshot; each is sent once the one before it is acknowledged."""

    term: int
    last_included_index: int
    last_included_term: int
    configuration: Configuration
    offset: int
    total_bytes: int
    data: bytes
    sent_at_us: int


class InstallSnapshotResponse(msgspec.Struct, frozen=True, array_like=True, tag="partd"):
    """How many bytes of the snapshot at `last_included_index` have arrived."""

    term: int
    last_included_index: int
    received_bytes: int
    sent_at_us: int


class DisownMember(msgspec.Struct, frozen=True, array_like=True, tag="disown"):
    """The receiver acknowledged entries up to `acknowledged_index` and no longer has them: its disk was
    rolled
    back.
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
