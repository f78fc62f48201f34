"""Which connection is evicted when descriptors or memory run short, and how descriptors are divided. No I/O.

1. A connection with an open request is never evicted, whether or not more will come on it, and none whose
   client has not taken all of its response; unless memory is short and the client takes nothing any more.
2. Else the connection with the lowest `EvictionPriority` goes first; among equals the one without progress
   for the longest time.
3. Clients may have what endpoints do not use, and endpoints what clients do not; MIN_SHARE of the
   descriptors for connections is always left to either.
4. The reserve, for the listener, discovery, operators and connections that are rejected, is a quarter of all
   descriptors, RESERVE_MAX at the most.
5. At a graceful shutdown a request that has come in part is waited for while more of it comes, as long as its
   response can still be given: the process is killed no sooner than KILLED_AFTER_S after the longest deadline
   (DEADLINE_MOST_S at the most), counted from the signal.
"""

from __future__ import annotations

from enum import IntEnum

RESERVE_MAX = 64
MIN_SHARE = 0.25
SILENT_S = 0.05  # for the first byte on a new connection
STALLED_S = 0.7  # without more of a request that has begun
DEADLINE_MOST_S = 3.0
KILLED_AFTER_S = 0.7
ANSWER_S = 0.6  # for the answer to what has come whole at the last moment
PARTIAL_REQUEST_MIN_S = 1.0
LAST_ANSWER_S = 0.2  # before the process may be killed: for the last answers to be written and read


class EvictionPriority(IntEnum):
    """What a client has done on its connection; the lowest is evicted first."""

    CLOSING = 0  # nothing more is read from it
    SILENT = 1  # no request yet, and sends nothing
    IDLE_ONCE = 2  # idle after its only request
    STALLED = 3  # within a request, and sends nothing more
    KEEP_ALIVE = 4  # idle after several requests
    NEW = 5  # has had no time to send anything
    RECEIVING = 6  # within a request, and sends more
    AWAITING_RESPONSE = 7  # a request is open


def eviction_priority(
    now: float,
    *,
    closing: bool,
    awaits_response: bool,
    requests_read: int,
    receiving: bool,
    phase_began_at: float,
    progress_at: float,
    has_unsent: bool = False,
    for_memory: bool = False,
) -> EvictionPriority:
    """Return the priority of a connection; times in seconds of the loop's clock.

    `requests_read`: so far. `phase_began_at`: its accept, last response or the first byte of a request.
    `progress_at`: its last byte. `has_unsent`: part of a response has not left the process. `for_memory`:
    memory is short, not descriptors.
    """
    if awaits_response:
        return EvictionPriority.AWAITING_RESPONSE
    if has_unsent:
        stalled = for_memory and now - progress_at > STALLED_S
        return EvictionPriority.STALLED if stalled else EvictionPriority.AWAITING_RESPONSE
    if closing:
        return EvictionPriority.CLOSING
    if receiving:
        return EvictionPriority.STALLED if now - progress_at > STALLED_S else EvictionPriority.RECEIVING
    if requests_read:
        return EvictionPriority.KEEP_ALIVE if requests_read > 1 else EvictionPriority.IDLE_ONCE
    return EvictionPriority.SILENT if now - phase_began_at > SILENT_S else EvictionPriority.NEW


def reserve(sockets: int) -> int:
    """Return how many of `sockets` descriptors are for no connection of a client or to an endpoint."""
    return min(RESERVE_MAX, sockets // 4)


def per_side(sockets: int) -> int:
    """Return half of the descriptors for connections: where clients and endpoints have fixed parts."""
    return (sockets - reserve(sockets)) // 2


def limit(sockets: int, others: int) -> int:
    """Return how many connections clients may have while endpoints have `others`, or the other way round."""
    whole = sockets - reserve(sockets)
    least = int(whole * MIN_SHARE)
    return max(least, min(whole - least, whole - others))


def partial_request_s(longest_deadline_s: float) -> float:
    """Return the seconds of a graceful shutdown after which a partial request is waited for no longer."""
    return max(PARTIAL_REQUEST_MIN_S, kill_after_s(longest_deadline_s) - ANSWER_S)


def kill_after_s(longest_deadline_s: float) -> float:
    """Return the seconds after SIGTERM after which the process may be killed."""
    return min(longest_deadline_s, DEADLINE_MOST_S) + KILLED_AFTER_S
