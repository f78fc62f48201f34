"""Who gives way when descriptors or memory run short, and how descriptors are divided. Pure.

The rules, stated once:

1. A connection that is owed an answer never gives way, whether or not more will come on it, and none that has
   not taken all of its answer; but for where memory is short, and nothing of that is taken any more.
2. Else the one that has shown least goes first, by `Standing`; among equals the one that has shown nothing
   more for the longest time.
3. Clients may have what hosts do not use, and hosts what clients do not; LEAST_SHARE of the descriptors for
   connections is always left to either.
4. The reserve, for the listener, discovery, operators and those that hear that they are too many, is a
   quarter of all descriptors, RESERVE at the most.
5. At a planned end a request that has come in part is waited for while more of it comes, as long as its
   answer can still be given: the process is killed no sooner than the longest deadline, DEADLINE_MOST at the
   most, and KILLED_AFTER_S after it was told.
"""

from __future__ import annotations

from enum import IntEnum

RESERVE = 64
LEAST_SHARE = 0.25
SILENT_S = 0.05  # for the first byte on a new connection
STALLED_S = 0.7  # without more of a request that has begun
DEADLINE_MOST_S = 3.0
KILLED_AFTER_S = 0.7
ANSWER_S = 0.6  # for the answer to what has come whole at the last moment
HALF_SENT_LEAST_S = 1.0
LAST_ANSWER_S = 0.2  # before the process may be killed: for the last answers to be written and read


class Standing(IntEnum):
    """What a connection has shown; the lowest goes first."""

    CLOSING = 0  # nothing more will come of it
    SILENT = 1  # has asked nothing, and says nothing
    RESTING = 2  # has asked once, and says nothing since
    STALLED = 3  # in the midst of a request, and nothing more comes
    KEPT = 4  # between requests of a client that has asked several times here
    NEW = 5  # has had no time to show anything
    ASKING = 6  # in the midst of a request that comes on
    OWED = 7  # waits for its answer


def standing(
    now: float,
    *,
    closing: bool,
    owed: bool,
    asked: int,
    reading: bool,
    since: float,
    progress_at: float,
    unsent: bool = False,
    for_memory: bool = False,
) -> Standing:
    """`asked`: requests so far; `since`: accept, last answer or first byte; `progress_at`: last byte.

    `unsent`: part of its answer has not left the process. `for_memory`: that is what is short.
    """
    if owed:
        return Standing.OWED
    if unsent:
        return Standing.STALLED if for_memory and now - progress_at > STALLED_S else Standing.OWED
    if closing:
        return Standing.CLOSING
    if reading:
        return Standing.STALLED if now - progress_at > STALLED_S else Standing.ASKING
    if asked:
        return Standing.KEPT if asked > 1 else Standing.RESTING
    return Standing.SILENT if now - since > SILENT_S else Standing.NEW


def reserve(sockets: int) -> int:
    """Of so many descriptors, those that are for no connection of a client or to a host."""
    return min(RESERVE, sockets // 4)


def half(sockets: int) -> int:
    """Half of what is for connections: where two sides are not weighed against each other."""
    return (sockets - reserve(sockets)) // 2


def limit(sockets: int, others: int) -> int:
    """Connections that clients may have while hosts have so many, and the other way round."""
    whole = sockets - reserve(sockets)
    least = int(whole * LEAST_SHARE)
    return max(least, min(whole - least, whole - others))


def half_sent_s(longest_deadline_s: float) -> float:
    """Seconds after which, at a planned end, what has come in part is waited for no longer."""
    return max(HALF_SENT_LEAST_S, killed_s(longest_deadline_s) - ANSWER_S)


def killed_s(longest_deadline_s: float) -> float:
    """Seconds after which a process that was told to end may be killed."""
    return min(longest_deadline_s, DEADLINE_MOST_S) + KILLED_AFTER_S
