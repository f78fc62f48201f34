"""Why a connection from a client ended."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """The first cause; what follows from it (a linger, the transport's end) does not change it."""

    CLIENT = "client"  # the client closed, or the connection broke
    LAST_RESPONSE = "last_response"  # the response before was the connection's last
    IDLE = "idle"  # between requests for too long, or nothing asked in time
    TOO_MANY_IDLE = "too_many_idle"
    EVICTED = "evicted"  # its descriptor or memory was needed
    MIGRATED = "migrated"  # another process of this gateway has it now
    LAME_DUCK = "lame_duck"
    SHUTDOWN = "shutdown"
    OVER_LIMIT = "over_limit"
    RESPONSE_UNREAD = "response_unread"  # the client takes nothing of its response
    RESPONSE_BROKEN = "response_broken"  # the endpoint broke off a response that had begun
    INVALID_REQUEST = "invalid_request"  # in a place where no response can be given any more
