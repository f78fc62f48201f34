"""The protocol of operator commands: one line in, one line out. No I/O.

1. A command is a verb in capitals, for some verbs followed by one space and the name of an endpoint, and ends
   with a line feed (a carriage return before it is ignored). Any other line is rejected and has no effect.
2. A response is one line: `ok` followed by the result, or `fail` followed by the reason.
3. A line without a line feed at the end of the connection is rejected: it may be truncated.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from badgergap.errors import BadgergapError

LINE_LIMIT = 512  # bytes, including the line feed
NAME = re.compile(rb"[!-~]{1,256}")


class CommandError(BadgergapError, ValueError):
    """A line is not a valid command, or the command cannot be executed; the message is the reason."""


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command."""

    verb: str
    endpoint_name: str = ""  # empty if the verb takes none


# The verbs, and whether each takes the name of an endpoint.
COMMANDS = {"PING": False, "DETACH": True, "ATTACH": True, "LAMEDUCK": False, "REJOIN": False}


def parse_command(line: bytes) -> Command:
    """Parse a complete line, given without its line feed. Raises CommandError."""
    verb, space, name = line.removesuffix(b"\r").partition(b" ")
    takes_name = COMMANDS.get(verb.decode("latin-1"))
    if takes_name is None:
        raise CommandError(f"no such call; there are {', '.join(COMMANDS)}")
    if not takes_name:
        if space:
            raise CommandError(f"{verb.decode()} takes nothing behind it")
    elif NAME.fullmatch(name) is None:
        raise CommandError(f"{verb.decode()} takes one name")
    return Command(verb.decode(), name.decode())


def respond(line: bytes, execute: Callable[[Command], str]) -> bytes:
    """Return the response to a command line.

    `execute` returns the text of the response, or raises CommandError.
    """
    try:
        status, message = "ok", execute(parse_command(line))
    except CommandError as error:
        status, message = "fail", str(error)
    # A line feed within a name or an error message must not end the line.
    text = " ".join(f"{status} {message}".split())
    return text.encode("ascii", "replace") + b"\n"
