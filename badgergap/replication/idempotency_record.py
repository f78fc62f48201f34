"""What is kept of one key, and who may make what of it. Pure.

| state | what it says | what may follow |
| --- | --- | --- |
| (nothing) | nobody has sent a request with this key to an endpoint | begun |
| begun | the claim's gateway may have sent it to `endpoints` | begun, free, done, doubt |
| free | that claim never ran, says the gateway that made it | begun |
| done | it ran, and this was the endpoint's answer | nothing, until it expires |
| doubt | it may have run; whoever knew is gone | done; doubt; begun where endpoints know keys |

`done` is final. Only the claim's own gateway says `free`, and only of a claim that it never sent; anybody
may make `begun` a `doubt`, since that promises nothing; what is known later by the claim's gateway mends
it. Times are of the group's clock (`group_clock.py`), microseconds.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Literal

import msgspec

BODY_LIMIT = 64 * 1024  # bytes of an answer that is kept
HEAD_LIMIT = 16 * 1024
LABEL_LIMIT = 64  # characters of a key that are kept for people
ENDPOINTS_LIMIT = 16
LAG_US = 3_000_000  # that a member's clock may be behind another's, beside drift: it hears of ticks late
# That a record outlives its promise: clocks drift, and a member's is up to a tick and a lease behind (7.4 s).
SLACK_US = 30_000_000

Fields = tuple[tuple[bytes, bytes], ...]
Name = Literal["begun", "free", "done", "doubt"]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What is stored of one key. Its fields are an array on the wire and on disk: their order stays."""

    state: Name
    claim: str  # drawn by who runs it, once for each run
    owner: str  # the member that runs it, or ran it
    incarnation: int  # of that member's process
    digest: bytes  # of the request: another with the same key is refused
    tenant: str
    label: str  # the key, for people
    at_us: int  # when it was first begun
    expires_us: int
    endpoints: tuple[int, ...] = ()  # those that may have run it
    again: bool = False  # begun once more, at endpoints that know its key
    status: int = 0
    headers: Fields = ()
    body: bytes = b""
    whole: bool = True  # False: the answer was longer than what is kept

    @property
    def size(self) -> int:
        """Bytes to be held for it; one that is begun has its answer's room already."""
        answer = sum(len(name) + len(value) + 8 for name, value in self.headers) + len(self.body)
        return 256 + (BODY_LIMIT if self.state == "begun" else answer)


_records: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """The bytes of a record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Raises MsgspecError."""
    return _records.decode(data)


def key_of(tenant: str, route: str, key: bytes) -> bytes:
    """Where a client's key is kept: apart for each tenant and route."""
    parts = b"\0".join((tenant.encode(), route.encode(), key))
    return hashlib.blake2b(parts, digest_size=16, person=b"badgergap-copies").digest()


def digest_of(method: bytes, target: bytes, credentials: bytes, body: bytes) -> bytes:
    """What a repetition must have in common with the first: also who asks, as far as that is said."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method, target, credentials, body):
        digest.update(len(part).to_bytes(8, "little") + part)
    return digest.digest()


def has_expired(record: Record, now_us: int) -> bool:
    """Whether it has expired, with the time for which clocks may differ."""
    return now_us >= record.expires_us + SLACK_US


class Decision(Enum):
    """What becomes of a request, by the record of its key."""

    RUN = "run"  # nobody has: claim it
    GIVE = "give"  # its answer
    TOO_LONG = "too long"  # it is done, and its answer was not kept
    OTHER = "other"  # the key is another request's
    ASK = "ask"  # somebody runs it: ask that gateway
    AGAIN = "again"  # in doubt, and its endpoints know keys: ask them
    DOUBT = "doubt"  # in doubt


@dataclass(frozen=True, slots=True)
class Repeats:
    """What a class says of repeats of a key.

    Endpoints drop them for so long, all of them or only their own.
    """

    window_us: int = 0  # 0: they do not know keys
    anywhere: bool = True


def judge(
    record: Record | None, digest: bytes, now_us: int, repeats: Repeats, hole: bool, sure_since_us: int
) -> Decision:
    """What becomes of a request with this key.

    `hole`: copies of this partition were lost beyond repair. `sure_since_us`: the group's clock is known to
    have gone on without a break since then, so that no more time has passed than it says.
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
    """Whether its endpoints certainly still know the key.

    A tenth of the time is left for the way and drift.
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
    """A claim, with no endpoint yet. `before`: the record in doubt that it settles."""
    if before is not None:
        return msgspec.structs.replace(
            before, state="begun", claim=claim, owner=owner, incarnation=incarnation, again=True, status=0
        )
    return Record(
        "begun", claim, owner, incarnation, digest, tenant, label[:LABEL_LIMIT], now_us, now_us + keep_us
    )


def sent_to(record: Record, endpoint: int) -> Record:
    """The claim, about to be sent to a further endpoint."""
    if endpoint in record.endpoints:
        return record
    return msgspec.structs.replace(record, endpoints=(*record.endpoints, endpoint)[-ENDPOINTS_LIMIT:])


def done(record: Record, status: int, headers: Fields, body: bytes) -> Record:
    """It ran, with this answer; one that is too long is not kept."""
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
    """It may have run, and nobody can say."""
    return msgspec.structs.replace(record, state="doubt")


def freed(record: Record) -> Record:
    """That claim never ran. Where it was to settle a doubt, the doubt stands."""
    if record.again:
        return doubted(record)
    return msgspec.structs.replace(record, state="free", endpoints=())


def follows(before: Record | None, after: Record) -> bool:
    """Whether a record may take the place of another one that has not expired: the table above."""
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
