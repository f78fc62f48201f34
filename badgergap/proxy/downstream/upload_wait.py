"""Since when a client may wait for its response, while an endpoint takes its request slowly. No I/O.

A client's time counts from its request's last byte. While reading is paused for the endpoint, that byte may
already stand in the sockets between the client and this gateway.
"""

from __future__ import annotations

SOCKETS_HOLD_BYTES = 4 * 1024 * 1024  # of one direction, on both machines
SENDING_GAP_S = 0.1  # without data while reading: the client had not sent the rest


class UploadWait:
    """The wait of one request; times are in seconds of one clock."""

    def __init__(self) -> None:
        self.since: float | None = None  # when the client may have sent all of the request
        self._read_at = 0.0  # when data was last read, or reading was last resumed

    def pause(self, now: float, left_bytes: int | None) -> None:
        """Note that reading is paused with `left_bytes` of the body to come (None: not known)."""
        if self.since is None and (left_bytes is None or left_bytes <= SOCKETS_HOLD_BYTES):
            self.since = now

    def resume(self, now: float) -> None:
        """Note that reading is resumed."""
        self._read_at = now

    def receive(self, now: float) -> bool:
        """Note that more of the body was read; return whether the wait ends: the client was still sending."""
        was_quiet = now - self._read_at > SENDING_GAP_S
        self._read_at = now
        if self.since is None or not was_quiet:
            return False
        self.since = None
        return True
