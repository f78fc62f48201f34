"""Compares the states of an HTTP/1.1 connection with the two flags that each state represents."""

from __future__ import annotations

import pytest

from badgergap.proxy.downstream.http_connection import (
    CLOSED,
    DISCARDING,
    IDLE,
    RECEIVING,
    TRANSITIONS,
    ConnectionEvent,
    ConnectionState,
)

# Whether nothing more is read, and whether a request is partly received.
FLAGS = {IDLE: (False, False), RECEIVING: (False, True), DISCARDING: (True, True), CLOSED: (True, False)}


def flags_after(event: ConnectionEvent, closing: bool, receiving: bool) -> tuple[bool, bool]:
    match event:
        case ConnectionEvent.REQUEST_BEGINS:
            return closing, True
        case ConnectionEvent.REQUEST_ENDS:
            return closing, False
        case ConnectionEvent.LAST_READ:
            return True, receiving
        case ConnectionEvent.FRAMING_LOST:
            return True, False


@pytest.mark.parametrize("state", ConnectionState)
@pytest.mark.parametrize("event", ConnectionEvent)
def test_each_event_changes_the_state_as_it_changes_the_flags(
    event: ConnectionEvent, state: ConnectionState
) -> None:
    """A connection that has stopped reading must never return to a state in which it reads.

    A client may send further requests after the connection's last one, in the same read. The parser reports
    them, and none may be answered. A wrong entry of the table would allow that; a missing entry would raise
    KeyError within a callback of the parser.
    """
    after = TRANSITIONS[event][state]
    assert FLAGS[after] == flags_after(event, *FLAGS[state])
    assert FLAGS[after][0] or not FLAGS[state][0]
