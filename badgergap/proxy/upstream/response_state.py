"""States of the response on an HTTP/1.1 connection to an endpoint."""

from __future__ import annotations

import enum


class ResponseState(enum.Enum):
    """State of the response to the request on a connection.

    | state | next input is | next states |
    | --- | --- | --- |
    | HEAD | parsed: interim heads, the final one | BODY; COMPLETE without a body; TUNNEL after 101 |
    | BODY | parsed: content, trailers | DIRECT once the length is known and the head forwarded; COMPLETE |
    | DIRECT | content, forwarded unparsed | COMPLETE when all of its length is received |
    | TUNNEL | anything, forwarded unparsed | COMPLETE when the connection ends |
    | COMPLETE | nothing | HEAD when the next request is written |

    At the end of the connection a body without a length and a tunnel are COMPLETE; any other body is
    truncated.
    """

    HEAD = enum.auto()
    BODY = enum.auto()
    DIRECT = enum.auto()
    TUNNEL = enum.auto()
    COMPLETE = enum.auto()
