"""Splits the stream of a watch into messages. Its work is linear in the bytes, however they are cut."""

from __future__ import annotations

import re

ESCAPE = re.compile(rb"\\.")


class MessageSplitter:
    """Joins the lines of a watch into JSON messages, each on one line or indented over several."""

    def __init__(self) -> None:
        self._text = bytearray()  # of an incomplete message
        self._line_start = 0  # where its last line begins in `_text`
        self._brackets = BracketCounter()

    def add(self, data: bytes) -> None:
        """Add a part of a line, without its line end."""
        self._text += data
        self._brackets.add(data)

    def end_line(self) -> bytes | None:
        """Return the message that this line completes, or None. Raises ValueError for an incomplete message.

        An empty line is a keep-alive. Within a message it means that the rest will never come: the incomplete
        message is dropped, as it would otherwise absorb those that follow.
        """
        self._brackets.end_line()
        if not self._text[self._line_start :].strip():
            is_within_message = self._line_start > 0
            self._take()
            if is_within_message:
                raise ValueError("incomplete message")
            return None
        if self._brackets.depth > 0:
            self._text += b"\n"
            self._line_start = len(self._text)
            return None
        return self._take()

    @property
    def is_complete(self) -> bool:
        """Whether a message is complete but for the end of its line."""
        return self._brackets.depth == 0 and self._text.endswith((b"}", b"}\r"))

    @property
    def size(self) -> int:
        """The bytes of the incomplete message."""
        return len(self._text)

    def _take(self) -> bytes:
        message, self._text = bytes(self._text), bytearray()
        self._line_start = 0
        self._brackets = BracketCounter()
        return message


class BracketCounter:
    """Counts how many more brackets are opened than closed outside of strings, in a text in parts."""

    def __init__(self) -> None:
        self.depth = 0
        self._is_in_string = False
        self._is_escaped = False  # the part before has ended with a backslash

    def add(self, data: bytes) -> None:
        """Count a further part of a line."""
        if self._is_escaped:
            data = data[1:] if data else b"\\"
        if b"\\" in data:
            data = ESCAPE.sub(b"", data)
        self._is_escaped = data.endswith(b"\\")
        parts = data.split(b'"')
        outside = b"".join(parts[self._is_in_string :: 2])
        self._is_in_string ^= len(parts) % 2 == 0
        self.depth += outside.count(b"{") + outside.count(b"[") - outside.count(b"}") - outside.count(b"]")

    def end_line(self) -> None:
        """Begin another line: a string cannot contain a line end."""
        self._is_in_string = self._is_escaped = False
