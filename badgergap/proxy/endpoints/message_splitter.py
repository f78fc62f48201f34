"""Splits the lines of a watch into messages."""

from __future__ import annotations

import re

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class MessageSplitter:
    """Joins the lines of a watch to messages: one a line, or indented over several lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of a message that is not complete
        self.depth = 0  # brackets of it that are open

    def add_line(self, line: bytes) -> bytes | None:
        """The message that this line ends, if it ends one. Raises ValueError for what can be none.

        An empty line is a sign of life. Guards against one in the midst of a message: that will never be
        complete, and would swallow those that follow.
        """
        if not line.strip():
            if self.lines:
                self.lines, self.depth = [], 0
                raise ValueError("a message without its end")
            return None
        bare = STRING.sub(b"", line)
        self.lines.append(line)
        self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        if self.depth > 0:
            return None
        message, self.lines, self.depth = b"\n".join(self.lines), [], 0
        return message
