"""The admin socket's messages: JSON, one a line, version 1. Pure: bytes to messages and back.

A caller sends requests, each with an `id` of its own, and gets one reply for each, in any order:

    {"v":1,"id":"1","do":"snapshot"}
    {"v":1,"id":"2","do":"subscribe"}
    {"v":1,"id":"3","do":"drain","box":"box-3","by":"anna","action":"6f1c"}
    {"v":1,"id":"4","do":"undrain","box":"box-3","by":"anna","action":"6f1d"}
    {"v":1,"id":"5","do":"action","action":"6f1c"}

    {"v":1,"id":"3","ok":true,"result":{...}}
    {"v":1,"id":"3","ok":false,"error":{"code":"unknown-box","text":"..."}}
    {"v":1,"push":"snapshot","snapshot":{...}}          after a subscribe

`action` is the caller's own name for a wish. The same wish under the same name is carried out once, however
often it is sent; `do: action` asks what became of it. Readers ignore fields that they do not know, so fields
may be added within a version.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

VERSION = 1
LINE_LIMIT = 640 * 1024  # bytes of a request: a group's settings may be one
TEXT_LIMIT = 256

Id = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=TEXT_LIMIT)]


class Ask(msgspec.Struct, tag_field="do", kw_only=True):
    v: int
    id: Id


class AskSnapshot(Ask, tag="snapshot"):
    pass


class Subscribe(Ask, tag="subscribe"):
    """Snapshots from now on: at each tick, and at once after a drain or undrain."""


class Drain(Ask, tag="drain"):
    box: Text
    by: Text
    action: Id
    even_last: bool = False  # also where no other box would be left to serve


class Undrain(Ask, tag="undrain"):
    box: Text
    by: Text
    action: Id


class AskAction(Ask, tag="action"):
    action: Id
    void: bool = False  # if it has not been carried out, it never shall be


class AskGroup(Ask, tag="group"):
    """A call of the gateway's group: `agreement/calls.py` says which there are."""

    op: Text
    given: dict[str, Any] = {}


Request = AskSnapshot | Subscribe | Drain | Undrain | AskAction | AskGroup


class Failure(msgspec.Struct, kw_only=True, frozen=True):
    """`code`: malformed, version, unknown-box, last-box, conflict, unknown-action, too-many, busy, failed."""

    code: str
    text: str


class ActionResult(msgspec.Struct, kw_only=True, frozen=True):
    """What became of a wish. It is in effect once this is told."""

    action: str
    do: str
    box: str
    by: str
    at_us: int
    changed: bool  # False: it was so before
    left: int = 0  # requests that the box is still working on
    kept: bool = False  # will outlive a restart
    not_kept: str = ""  # why not
    not_agreed: str = ""  # of a gateway in a group: why it is not in force at all members; empty: it is


class Window(msgspec.Struct, kw_only=True, frozen=True):
    """Final answers of a class over `span_s`. `late`: served, but after the wanted time."""

    span_s: int
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    left: int  # clients that left before their answer


class ClassView(msgspec.Struct, kw_only=True, frozen=True):
    name: str
    wanted_us: int
    usual_us: int  # of served answers, smoothed; 0: none yet
    windows: list[Window]
    plot: list[int]  # per cent answered in time, for each 5 s of the last 5 min, oldest first; -1: none asked


class TenantView(msgspec.Struct, kw_only=True, frozen=True):
    """A tenant that routes name, once it has asked."""

    name: str
    windows: list[Window]


class Said(msgspec.Struct, kw_only=True, frozen=True):
    """What one source said last of a box: ready, draining or gone, and when."""

    source: str
    status: str
    at_us: int


class BoxView(msgspec.Struct, kw_only=True, frozen=True):
    """`state`: serving, untried, warming, resting, trial, silent, drained (by hand), draining, gone."""

    name: str
    address: str
    zone: str
    kind: str
    state: str
    until_us: int = 0  # resting: until when
    warm_share: float = 1.0
    weight: float = 1.0  # as listed
    by: str = ""  # drained: whose wish; draining, gone: which source says so
    since_us: int = 0  # of the above
    waiting: int = 0  # requests that wait for a connection to it
    in_work: int = 0  # requests that it has
    rate: float = 0.0  # good answers a second over the last 10 s
    failures: float = 0.0  # failed attempts a second over the last 10 s
    usual_us: int = 0  # of its good answers, smoothed; 0: none yet
    answered_us: int = 0  # when it last gave a good answer; 0: not yet
    sources: list[str] = []  # that have spoken of it, the one that is believed first
    said: list[Said] = []
    pool: str = ""  # the main one has no name
    streams: int = 0  # answers, uploads and tunnels that go on as long as their clients like


class SourceView(msgspec.Struct, kw_only=True, frozen=True):
    name: str
    boxes: int
    heard_us: int  # its last useful word; 0: none yet
    failing_since_us: int = 0  # 0: it does not fail
    detail: str = ""  # in its own words: where, which revision


class LogLine(msgspec.Struct, kw_only=True, frozen=True):
    number: int
    at_us: int
    text: str


class Snapshot(msgspec.Struct, kw_only=True, frozen=True):
    """All that is shown. Times are microseconds of Unix time by the gateway's clock."""

    site: str
    pid: int
    version: str
    started_us: int
    at_us: int
    listen: str
    open: int  # requests that are owed an answer
    waiting: int  # of those, the ones that no box has at the moment
    boxes: list[BoxView]
    not_shown: int = 0  # boxes beyond those named: a snapshot names at most 500
    classes: list[ClassView]
    sources: list[SourceView]
    log: list[LogLine]
    tenants: list[TenantView] = []
    joins: dict[str, int] = {}  # reads of routes that join, since the start, by what became of them
    joined_now: tuple[int, int] = (0, 0)  # groups that take members, and the members they have
    group: str = ""  # a line on the group, of a gateway that has one
    problems: list[str] = []  # what the operator should mend, in sentences


class Reply(msgspec.Struct, kw_only=True, frozen=True):
    """Any line that a gateway sends, as its reader takes it."""

    v: int
    id: str = ""
    ok: bool = True
    result: msgspec.Raw = msgspec.Raw()
    error: Failure | None = None
    push: str = ""
    snapshot: msgspec.Raw = msgspec.Raw()


class ProtocolError(ValueError):
    """A line that is no request. `id` is its id, where that can be read."""

    def __init__(self, code: str, text: str, id: str = "") -> None:
        super().__init__(text)
        self.failure = Failure(code=code, text=text)
        self.id = id


_requests: msgspec.json.Decoder[Request] = msgspec.json.Decoder(Request)
_replies: msgspec.json.Decoder[Reply] = msgspec.json.Decoder(Reply)
_encoder = msgspec.json.Encoder()


def decode_request(line: bytes) -> Request:
    """Raises ProtocolError."""
    try:
        request = _requests.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        version = _peek(line, "v")
        if isinstance(version, int) and version != VERSION:
            raise ProtocolError("version", f"this gateway speaks version {VERSION}", _id(line)) from None
        raise ProtocolError("malformed", str(error)[:TEXT_LIMIT], _id(line)) from None
    if request.v != VERSION:
        raise ProtocolError("version", f"this gateway speaks version {VERSION}", request.id)
    return request


def decode_reply(line: bytes) -> Reply:
    """Raises ProtocolError."""
    try:
        return _replies.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError("malformed", str(error)[:TEXT_LIMIT]) from None


def encode(message: Any) -> bytes:
    return _encoder.encode(message) + b"\n"


def reply(id: str, result: Any) -> bytes:
    return encode({"v": VERSION, "id": id, "ok": True, "result": result})


def failure(id: str, error: Failure) -> bytes:
    return encode({"v": VERSION, "id": id, "ok": False, "error": error})


def push(snapshot: Snapshot) -> bytes:
    return encode({"v": VERSION, "push": "snapshot", "snapshot": snapshot})


def _peek(line: bytes, key: str) -> Any:
    try:
        raw = msgspec.json.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return raw.get(key) if isinstance(raw, dict) else None


def _id(line: bytes) -> str:
    found = _peek(line, "id")
    return found if isinstance(found, str) and len(found) <= 64 else ""
