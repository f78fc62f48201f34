"""The states of an HTTP/1.1 connection, against the two facts that they stand for."""

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

# Whether nothing more is read, and whether a request has come in part.
FACTS = {IDLE: (False, False), RECEIVING: (False, True), DISCARDING: (True, True), CLOSED: (True, False)}


def facts_after(event: ConnectionEvent, closing: bool, receiving: bool) -> tuple[bool, bool]:
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
def test_each_event_changes_a_state_as_it_changes_the_facts(
    event: ConnectionEvent, state: ConnectionState
) -> None:
    """A client that was told that its connection ends sends further requests in the same read.

    The parser reports them, and none may be answered: a connection that has ended its reading must never
    come back to a state in which it reads. A missing or wrong entry of the table would do that, or would
    raise KeyError within a callback of the parser.
    """
    after = TRANSITIONS[event][state]
    assert FACTS[after] == facts_after(event, *FACTS[state])
    assert FACTS[after][0] or not FACTS[state][0]
