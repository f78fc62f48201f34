"""The calls of operators at the second address: one line in, one line out. Pure.

The rules, stated once:

1. A call is a word, and for some words one name behind one space, ended by a line feed (a carriage return
   before it is passed over). Words are in capitals. Anything else is no call and changes nothing.
2. An answer is one line that begins with `ok` or `fail`; behind a `fail` stands why.
3. A line that ends with its connection, without a line feed, may be half of another: it is no call.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

LINE_LIMIT = 512  # bytes, with the line feed
NAME = re.compile(rb"[!-~]{1,256}")


class CallError(ValueError):
    """What came is no call, or it cannot be carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class Call:
    word: str
    name: str = ""  # of a host, where the word takes one


# Whether each word takes a name.
WORDS = {"PING": False, "DETACH": True, "ATTACH": True, "LAMEDUCK": False, "REJOIN": False}


def parse_call(line: bytes) -> Call:
    """A whole line without its line feed. Raises CallError."""
    word, space, name = line.removesuffix(b"\r").partition(b" ")
    takes_name = WORDS.get(word.decode("latin-1"))
    if takes_name is None:
        raise CallError(f"no such call; there are {', '.join(WORDS)}")
    if not takes_name:
        if space:
            raise CallError(f"{word.decode()} takes nothing behind it")
    elif NAME.fullmatch(name) is None:
        raise CallError(f"{word.decode()} takes one name")
    return Call(word.decode(), name.decode())


def answer_line(line: bytes, carry_out: Callable[[Call], str]) -> bytes:
    """The answer to a line. `carry_out` says what was done, or raises CallError for why it was not."""
    try:
        words = "ok", carry_out(parse_call(line))
    except CallError as error:
        words = "fail", str(error)
    # What is said of a name or an error must not end the line.
    text = " ".join(" ".join(words).split())
    return text.encode("ascii", "replace") + b"\n"
