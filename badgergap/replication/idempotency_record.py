"""The idempotency record of one key, and the transitions between its states. Does no I/O.

| state | meaning | possible next states |
| --- | --- | --- |
| (none) | no request with this key was sent to an endpoint | begun |
| begun | the gateway of the claim may have sent the request to `endpoints` | begun, free, done, doubt |
| free | the gateway of the claim reports that it never sent the request | begun |
| done | the request ran, and this was the endpoint's answer | none, until the record expires |
| doubt | the request may have run, and its gateway is gone | done, doubt; begun if endpoints deduplicate |

`done` is final. Only the claim's own gateway sets `free`, and only for a claim that it never sent. Any member
may turn `begun` into `doubt`, since `doubt` guarantees nothing; the claim's gateway corrects it if it learns
the outcome later. Times are microseconds of the group's clock (`group_clock.py`).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Literal

import msgspec

BODY_LIMIT = 64 * 1024  # of an answer that is stored, in bytes
HEAD_LIMIT = 16 * 1024
LABEL_LIMIT = 64  # characters of a key that are shown to operators
ENDPOINTS_LIMIT = 16
# How far a member's clock may be behind another's, apart from drift, because it receives ticks late.
LAG_US = 3_000_000
# For which a record is kept after it expires: clocks drift, and a member's clock may be a tick and a lease
# (7.4 s) behind.
SLACK_US = 30_000_000

Fields = tuple[tuple[bytes, bytes], ...]
State = Literal["begun", "free", "done", "doubt"]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The record of one key. Its fields are an array on the wire and on disk: their order must not change."""

    state: State
    claim: str  # the unique name of one run
    owner: str  # the member that runs it, or ran it
    incarnation: int  # of that member's process
    digest: bytes  # of the request: a different request with the same key is refused
    tenant: str
    label: str  # the start of the key, for operators
    at_us: int  # when it was first begun
    expires_us: int
    endpoints: tuple[int, ...] = ()  # those that may have run it
    again: bool = False  # begun again after a doubt, at endpoints that deduplicate its key
    status: int = 0
    headers: Fields = ()
    body: bytes = b""
    whole: bool = True  # False: the answer was too long to store

    @property
    def size(self) -> int:
        """The bytes to reserve for it; a begun record includes the space for its answer."""
        answer = sum(len(name) + len(value) + 8 for name, value in self.headers) + len(self.body)
        return 256 + (BODY_LIMIT if self.state == "begun" else answer)


_records: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encode a record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Decode a record. Raises MsgspecError."""
    return _records.decode(data)


def key_of(tenant: str, route: str, key: bytes) -> bytes:
    """Return the register of a client's key, which is separate for each tenant and route."""
    parts = b"\0".join((tenant.encode(), route.encode(), key))
    return hashlib.blake2b(parts, digest_size=16, person=b"badgergap-copies").digest()


def digest_of(method: bytes, target: bytes, credentials: bytes, body: bytes) -> bytes:
    """Return the digest that a repetition must share with the first request, including its credentials."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method, target, credentials, body):
        digest.update(len(part).to_bytes(8, "little") + part)
    return digest.digest()


def has_expired(record: Record, now_us: int) -> bool:
    """Return whether the record has expired, allowing for the difference between clocks."""
    return now_us >= record.expires_us + SLACK_US


class Decision(Enum):
    """How to handle a request, by the record of its key."""

    RUN = "run"  # it never ran: claim the key and run it
    GIVE = "give"  # return the stored answer
    TOO_LONG = "too long"  # it ran, but its answer was too long to store
    OTHER = "other"  # the key belongs to a different request
    ASK = "ask"  # it is claimed: query the gateway of the claim
    AGAIN = "again"  # in doubt, but its endpoints deduplicate keys: send it to them again
    DOUBT = "doubt"  # in doubt: it may have run


@dataclass(frozen=True, slots=True)
class Repeats:
    """How the endpoints of a request class deduplicate requests with the same key."""

    window_us: int = 0  # the deduplication window; 0: they do not deduplicate
    anywhere: bool = True  # the scope: across all endpoints, or False: each endpoint only its own requests


def judge(
    record: Record | None, digest: bytes, now_us: int, repeats: Repeats, hole: bool, sure_since_us: int
) -> Decision:
    """Decide how to handle a request, by the record of its key.

    `hole`: records of this partition may have been lost for good. `sure_since_us`: the group's clock is known
    to have run without a break since then, so that no more time has passed than it shows.
    """
    if record is None or has_expired(record, now_us):
        return Decision.DOUBT if hole else Decision.RUN
    if record.digest != digest:
        return Decision.OTHER
    match record.state:
        case "done":
            return Decision.GIVE if record.whole else Decision.TOO_LONG
        case "begun":
            return Decision.ASK
        case "free":
            return Decision.DOUBT if hole else Decision.RUN
    return Decision.AGAIN if may_ask_again(record, now_us, repeats, sure_since_us) else Decision.DOUBT


def may_ask_again(record: Record, now_us: int, repeats: Repeats, sure_since_us: int) -> bool:
    """Return whether the record's endpoints certainly still deduplicate its key.

    A tenth of the deduplication window is left for network delay and clock drift.
    """
    known = bool(record.endpoints) and record.at_us >= sure_since_us
    return known and max(0, now_us - record.at_us) + LAG_US < repeats.window_us * 9 // 10


def begun(
    claim: str,
    owner: str,
    incarnation: int,
    digest: bytes,
    tenant: str,
    label: str,
    now_us: int,
    keep_us: int,
    before: Record | None = None,
) -> Record:
    """Return the record of a new claim, with no endpoint yet. `before`: the record in doubt to be settled."""
    if before is not None:
        return msgspec.structs.replace(
            before, state="begun", claim=claim, owner=owner, incarnation=incarnation, again=True, status=0
        )
    return Record(
        "begun", claim, owner, incarnation, digest, tenant, label[:LABEL_LIMIT], now_us, now_us + keep_us
    )


def sent_to(record: Record, endpoint: int) -> Record:
    """Return the record of a claim whose request is about to be sent to another endpoint."""
    if endpoint in record.endpoints:
        return record
    return msgspec.structs.replace(record, endpoints=(*record.endpoints, endpoint)[-ENDPOINTS_LIMIT:])


def done(record: Record, status: int, headers: Fields, body: bytes) -> Record:
    """Return the record of a request that ran. The answer is stored unless it is too long."""
    size = sum(len(name) + len(value) for name, value in headers)
    whole = len(body) <= BODY_LIMIT and size <= HEAD_LIMIT
    return msgspec.structs.replace(
        record,
        state="done",
        status=status,
        headers=headers if whole else (),
        body=body if whole else b"",
        whole=whole,
    )


def doubted(record: Record) -> Record:
    """Return the record of a request that may have run, with no way to find out."""
    return msgspec.structs.replace(record, state="doubt")


def freed(record: Record) -> Record:
    """Return the record of a claim that never ran; if it was to settle a doubt, the doubt remains."""
    if record.again:
        return doubted(record)
    return msgspec.structs.replace(record, state="free", endpoints=())


def follows(before: Record | None, after: Record) -> bool:
    """Return whether a record may replace an unexpired one, by the state table of this module."""
    if before is None or before.state == "free":
        return after.state == "begun"
    if before.state == "done":
        return after == before
    own = after.claim == before.claim
    if after.state == "free":
        return own and before.state == "begun"
    if after.state in ("done", "doubt"):
        return own
    return (own and before.state == "begun") or (before.state == "doubt" and after.again)
