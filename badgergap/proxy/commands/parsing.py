"""The protocol of operator commands: one line in, one line out. No I/O.

1. A command is a verb in capitals, for some verbs followed by one space and the name of an endpoint, ended by
   a line feed (a carriage return before it is ignored). Anything else is rejected and changes nothing.
2. A response is one line that begins with `ok` or `fail`; after `fail` it says why.
3. A line that ends with its connection, without a line feed, may be half of another: it is rejected.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from badgergap.errors import BadgergapError

LINE_LIMIT = 512  # bytes, with the line feed
NAME = re.compile(rb"[!-~]{1,256}")


class CommandError(BadgergapError, ValueError):
    """A line is no command, or the command cannot be executed; the message says why."""


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command."""

    verb: str
    endpoint_name: str = ""  # where the verb takes one


# Whether each verb takes the name of an endpoint.
COMMANDS = {"PING": False, "DETACH": True, "ATTACH": True, "LAMEDUCK": False, "REJOIN": False}


def parse_command(line: bytes) -> Command:
    """Parse a complete line without its line feed. Raises CommandError."""
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
    """Return the response to a line. `execute` returns what was done, or raises CommandError."""
    try:
        status, message = "ok", execute(parse_command(line))
    except CommandError as error:
        status, message = "fail", str(error)
    # A line feed in a name or an error must not end the line.
    text = " ".join(f"{status} {message}".split())
    return text.encode("ascii", "replace") + b"\n"
