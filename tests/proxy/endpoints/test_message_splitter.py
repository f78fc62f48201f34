"""Messages of a watch, however they are written and cut."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgergap.proxy.endpoints.message_splitter import MessageSplitter

TEXT = st.text(alphabet='ab"\\{}[]\u00e9\n', max_size=8)
MESSAGES = st.lists(
    st.tuples(st.dictionaries(TEXT, TEXT | st.lists(TEXT, max_size=3), max_size=3), st.booleans()), max_size=4
)


def feed(splitter: MessageSplitter, data: bytes) -> list[bytes]:
    """Feed a chunk, as a watch does, and return the messages that it completes."""
    *line_ends, rest = data.split(b"\n")
    messages = []
    for line_end in line_ends:
        splitter.add(line_end)
        messages.append(splitter.end_line())
    splitter.add(rest)
    return [message for message in messages if message is not None]


@given(MESSAGES, st.sampled_from(["\n", "\r\n"]), st.integers(1, 40))
def test_messages_are_found_however_they_are_written_and_cut(
    messages: list[tuple[dict[str, object], bool]], line_end: str, piece: int
) -> None:
    written = "".join(
        json.dumps(raw, indent=2 if is_indented else None).replace("\n", line_end) + line_end
        for raw, is_indented in messages
    ).encode()
    splitter = MessageSplitter()
    found = [
        json.loads(message)
        for start in range(0, len(written), piece)
        for message in feed(splitter, written[start : start + piece])
    ]
    assert found == [raw for raw, _ in messages]
    assert splitter.size == 0


@given(st.dictionaries(TEXT, TEXT, max_size=3), st.integers(1, 10))
def test_a_message_is_complete_at_its_last_byte_only(raw: dict[str, str], piece: int) -> None:
    written = json.dumps(raw).encode()
    splitter = MessageSplitter()
    for start in range(0, len(written), piece):
        assert not splitter.is_complete
        splitter.add(written[start : start + piece])
    assert splitter.is_complete
    splitter.add(b"\r")
    assert splitter.is_complete


def test_an_empty_line_drops_an_incomplete_message() -> None:
    splitter = MessageSplitter()
    assert feed(splitter, b'{"a":\n') == []
    assert splitter.size > 0
    with pytest.raises(ValueError, match="incomplete message"):
        feed(splitter, b"\n")
    assert splitter.size == 0
    assert feed(splitter, b"\n \n{}\n") == [b"{}"]
