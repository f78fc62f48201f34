"""The reasons for which connections from clients end."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """The first cause; later steps of the close (lingering, closing the transport) do not change it."""

    CLIENT = "client"  # the client closed, or the connection broke
    LAST_RESPONSE = "last_response"  # a response was the connection's last
    IDLE = "idle"  # no request for too long
    TOO_MANY_IDLE = "too_many_idle"
    EVICTED = "evicted"  # its descriptor or memory was needed
    MIGRATED = "migrated"  # another process of this gateway has taken it over
    LAME_DUCK = "lame_duck"
    SHUTDOWN = "shutdown"
    OVER_LIMIT = "over_limit"
    RESPONSE_UNREAD = "response_unread"  # the client did not read its response
    RESPONSE_BROKEN = "response_broken"  # the endpoint broke off a response that had begun
    INVALID_REQUEST = "invalid_request"  # at a point where no response could be sent any more
