"""One request of a client on HTTP/1.1 while it is read, and its response while it is written."""

from __future__ import annotations

from dataclasses import dataclass

from badgergap.proxy.body_streams import DownloadSource, Upload
from badgergap.proxy.downstream.request_validation import BadRequest, RequestHead
from badgergap.proxy.upstream.stream_attempt import Tried

VERSIONS = ("1.0", "1.1")

# The body of all requests that have none: whole from the start, and nothing to hold.
NOTHING = Upload(lambda on: None, complete=True)


@dataclass(slots=True, eq=False)
class IncomingRequest(RequestHead):
    """A request as it is read, and its answer as it is written."""

    received_at: float = 0.0  # loop time of its last byte
    upload: Upload = NOTHING
    size: int = 0  # of its header fields, then of its body
    raw_bytes: int = 0  # bytes since the first, however they are framed
    length: int | None = 0  # of the body; None: chunked
    version: str = "1.1"
    head_complete: bool = False
    is_queued: bool = False  # it waits for its turn, or has had it
    expects_continue: bool = False  # its client sends no body before it is told to
    keep_alive: bool = True
    rejection: BadRequest | None = None  # what it is answered in its turn, without a look at the rest
    request_id: bytes = b""  # once it is among the open ones
    forwarded_head: bytes = b""  # of its head, as a host is to hear them
    exchange: Tried | None = None  # the newest
    source: DownloadSource | None = None  # once an answer is passed on
    chunked: bool = False  # how that is framed
    is_last: bool = False  # the connection ends with its answer

    def check_head(self, version: str) -> None:
        """What the head alone shows to be wrong, before any of the body has come."""
        if version not in VERSIONS:
            raise BadRequest(505, "neither HTTP/1.0 nor HTTP/1.1")
        self.version = version
        self.check_target()
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (b"content-length" in self.headers or coding.lower() != b"chunked"):
            raise BadRequest(400, "ambiguous length")
        self.check_length()
        if self.method == b"GET" and coding is not None:
            raise BadRequest(400, "GET with a body")
        self.length = int(self.headers.get(b"content-length", b"0")) if coding is None else None
