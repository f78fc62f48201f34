"""Selects the connection to evict when descriptors or memory run short, and divides descriptors. No I/O.

1. A connection with an open request is never evicted, even if nothing more will be read from it. Nor is one
   whose client has not read all of its response, unless memory is short and the client has stopped reading.
2. Otherwise the connection with the lowest `EvictionPriority` is evicted first; among equals, the one without
   progress for the longest time.
3. Client connections may use the descriptors that endpoint connections leave free, and the reverse. Each side
   always keeps at minimum MIN_SHARE of the descriptors for connections.
4. The reserve, for the listener, discovery, operators and rejected connections, is a quarter of all
   descriptors, but at most RESERVE_MAX.
5. A graceful shutdown waits for a partially received request while more of it is received and its response
   can still be sent: the process is killed no sooner than KILL_DELAY_S after the longest deadline (capped
   at MAX_DEADLINE_S), counted from the signal.
"""

from __future__ import annotations

from enum import IntEnum

RESERVE_MAX = 64
MIN_SHARE = 0.25
SILENT_S = 0.05  # without a first byte on a new connection
STALLED_S = 0.7  # without progress within a request
MAX_DEADLINE_S = 3.0
KILL_DELAY_S = 0.7
ANSWER_S = 0.6  # left to answer a request that became complete at the last moment
PARTIAL_REQUEST_MIN_S = 1.0
LAST_ANSWER_S = 0.2  # before the process may be killed: for the last answers to be written and read


class EvictionPriority(IntEnum):
    """The state of a client connection; the lowest is evicted first."""

    CLOSING = 0  # nothing more is read from the client
    SILENT = 1  # no request yet, and nothing received
    IDLE_ONCE = 2  # idle after its only request
    STALLED = 3  # within a request, without progress
    KEEP_ALIVE = 4  # idle after several requests
    NEW = 5  # too new to have sent anything
    RECEIVING = 6  # within a request, with progress
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
    """Return the priority of a connection. Times are in seconds of the event loop's clock.

    `requests_read`: number of requests so far. `phase_began_at`: when the connection was accepted, its last
    response was sent, or the first byte of its request was received. `progress_at`: time of the last byte.
    `has_unsent`: part of a response has not left the process. `for_memory`: memory is short, rather than
    descriptors.
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
    """Return how many of `sockets` descriptors are reserved: neither for clients nor for endpoints."""
    return min(RESERVE_MAX, sockets // 4)


def per_side(sockets: int) -> int:
    """Return half of the descriptors for connections, for a fixed split between clients and endpoints."""
    return (sockets - reserve(sockets)) // 2


def limit(sockets: int, others: int) -> int:
    """Return how many connections one side (clients or endpoints) may have while the other has `others`."""
    available = sockets - reserve(sockets)
    minimum = int(available * MIN_SHARE)
    return max(minimum, min(available - minimum, available - others))


def partial_request_s(longest_deadline_s: float) -> float:
    """Return how long, in seconds, a graceful shutdown waits for partially received requests."""
    return max(PARTIAL_REQUEST_MIN_S, kill_after_s(longest_deadline_s) - ANSWER_S)


def kill_after_s(longest_deadline_s: float) -> float:
    """Return how long after SIGTERM, in seconds, the process may be killed."""
    return min(longest_deadline_s, MAX_DEADLINE_S) + KILL_DELAY_S
