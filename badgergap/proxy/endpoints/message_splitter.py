"""Assembles the lines of a watch into messages."""

from __future__ import annotations

import re

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class MessageSplitter:
    """Joins the lines of a watch into JSON messages, each on one line or indented over several."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of an incomplete message
        self.depth = 0  # its number of open brackets

    def add_line(self, line: bytes) -> bytes | None:
        """Return the message that this line completes, or None. Raises ValueError for an incomplete message.

        An empty line is a keep-alive. Within a message it means that the rest will never come: the incomplete
        message is dropped, as it would otherwise absorb those that follow.
        """
        if not line.strip():
            if self.lines:
                self.lines, self.depth = [], 0
                raise ValueError("incomplete message")
            return None
        self.lines.append(line)
        self.depth += _bracket_balance(line)
        if self.depth > 0:
            return None
        message, self.lines, self.depth = b"\n".join(self.lines), [], 0
        return message

    def is_last_line(self, line: bytes | bytearray) -> bool:
        """Whether this line, whose end has not come yet, completes a message."""
        return line.endswith((b"}", b"}\r")) and self.depth + _bracket_balance(line) == 0

    @property
    def has_incomplete_message(self) -> bool:
        """Whether a message has begun whose rest is missing."""
        return bool(self.lines)


def _bracket_balance(line: bytes | bytearray) -> int:
    """Return how many more brackets are opened than closed, outside of strings."""
    unquoted = STRING.sub(b"", line)
    return unquoted.count(b"{") + unquoted.count(b"[") - unquoted.count(b"}") - unquoted.count(b"]")
