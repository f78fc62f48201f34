"""One request of a client on HTTP/1.1 while it is read, and its response while it is written."""

from __future__ import annotations

import time
from dataclasses import dataclass

from badgergap.proxy.body_streams import DownloadSource, Upload
from badgergap.proxy.downstream.request_validation import BadRequestError, RequestHead
from badgergap.proxy.upstream.stream_attempt import StreamAttempt

VERSIONS = ("1.0", "1.1")

# The body of all requests that have none: complete from the start, and with nothing to hold.
NO_BODY = Upload(lambda on: None, complete=True)


@dataclass(slots=True, eq=False)
class IncomingRequest(RequestHead):
    """A request while it is read, and its response while it is written."""

    received_at: float = 0.0  # time.monotonic() when its last byte came
    upload: Upload = NO_BODY
    size: int = 0  # bytes of its header fields, then of its body
    raw_bytes: int = 0  # read for it, with its framing
    length: int | None = 0  # of the body; None: chunked
    version: str = "1.1"
    head_complete: bool = False
    is_queued: bool = False  # it waits for its turn, or it has had it
    expects_continue: bool = False  # its client waits for 100 Continue
    keep_alive: bool = True
    rejection: BadRequestError | None = None  # its response, whatever the rest of it
    request_id: bytes = b""  # once it is reserved
    forwarded_head: bytes = b""  # its head as it is forwarded, but for the deadline and the length
    exchange: StreamAttempt | None = None  # the newest attempt
    source: DownloadSource | None = None  # of the response that is streamed
    chunked: bool = False  # how the response is framed
    is_last: bool = False  # the connection ends with its response

    def waited_s(self) -> float:
        """Seconds since its last byte came; 0 while more is to come."""
        return time.monotonic() - self.received_at if self.upload.complete else 0.0

    def check_head(self, version: str) -> None:
        """Check the head before any of the body has come. Raises BadRequestError."""
        if version not in VERSIONS:
            raise BadRequestError(505, "neither HTTP/1.0 nor HTTP/1.1")
        self.version = version
        self.check_target()
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (b"content-length" in self.headers or coding.lower() != b"chunked"):
            raise BadRequestError(400, "ambiguous length")
        self.check_length()
        if self.method == b"GET" and coding is not None:
            raise BadRequestError(400, "GET with a body")
        self.length = int(self.headers.get(b"content-length", b"0")) if coding is None else None
