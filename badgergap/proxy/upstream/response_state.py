"""How far the response on an HTTP/1.1 connection to an endpoint has come."""

from __future__ import annotations

import enum


class ResponseState(enum.Enum):
    """How far the response to the request on a connection has come.

    | state | what comes next is | leads to |
    | --- | --- | --- |
    | HEAD | parsed: interim heads, the final one | BODY; COMPLETE without a body; TUNNEL after 101 |
    | BODY | parsed: content, trailers | DIRECT once the length is known and the head passed on; COMPLETE |
    | DIRECT | content, passed on unparsed | COMPLETE when all of its length has come |
    | TUNNEL | anything, passed on unparsed | COMPLETE when the connection ends |
    | COMPLETE | nothing | HEAD when the next request is written |

    A body without a length and the tunnel are COMPLETE at the connection's end, any other one is broken off.
    """

    HEAD = enum.auto()
    BODY = enum.auto()
    DIRECT = enum.auto()
    TUNNEL = enum.auto()
    COMPLETE = enum.auto()
