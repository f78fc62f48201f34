"""The state of one HTTP/1.1 request from a client, from its first byte to the end of its response."""

from __future__ import annotations

import time
from dataclasses import dataclass

from badgergap.proxy.body_streams import DownloadSource, Upload
from badgergap.proxy.downstream.request_validation import BadRequestError, RequestHead
from badgergap.proxy.upstream.stream_attempt import StreamAttempt

VERSIONS = ("1.0", "1.1")

# Shared by all requests without a body: it is complete and buffers nothing.
NO_BODY = Upload(lambda on: None, complete=True)


@dataclass(slots=True, eq=False)
class IncomingRequest(RequestHead):
    """A request while it is read, and the framing of its response while that is written."""

    received_at: float = 0.0  # time.monotonic() when its last byte arrived
    upload: Upload = NO_BODY
    size: int = 0  # bytes of its header fields; once the head is complete, of its body
    raw_bytes: int = 0  # bytes read for it, including the framing
    length: int | None = 0  # of the body; None: chunked
    version: str = "1.1"
    head_complete: bool = False
    is_queued: bool = False  # it was added to the pipeline, and may have left it
    expects_continue: bool = False  # its client waits for 100 Continue
    keep_alive: bool = True
    rejection: BadRequestError | None = None  # its response, whatever the rest of the request is
    request_id: bytes = b""  # empty until it is reserved
    is_repeatable: bool = False  # by its class; known once its id is reserved
    forwarded_head: bytes = b""  # the head to forward, without the timeout and the body's length
    exchange: StreamAttempt | None = None  # the newest attempt
    source: DownloadSource | None = None  # of the response that is being streamed
    chunked: bool = False  # how the response is framed
    is_last: bool = False  # the connection ends with its response

    def waited_s(self) -> float:
        """Return the seconds since its last byte arrived; 0 while it is incomplete."""
        return time.monotonic() - self.received_at if self.upload.complete else 0.0

    def check_head(self, version: str) -> None:
        """Validate the head before the body is read, and set `version` and `length`.

        Raises BadRequestError.
        """
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
