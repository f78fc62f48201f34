"""Runs balancers on the bench's wire: batches from standard input, one reply each to standard output.

Every instance has a Balancer of its own; nothing is shared and nothing is decided here. A line that cannot be
read is named on standard error and skipped.
"""

from __future__ import annotations

import gc
import sys
from typing import TextIO

from badgergap.balancing.interface import Event, ListedEndpoint, EndpointListKind, EndpointList
from badgergap.balancing.balancer import Balancer
from badgergap.simulator.codec import (
    LIST_KINDS,
    PARSERS,
    Fields,
    WireError,
    format_action,
    parse_server,
    parse_settings,
    split_line,
)


class Host:
    """The balancers of one simulator process, by instance name, and the batch being read.

    The simulated clock is in microseconds and moves only with `begin_batch`. `errors` gets one line for each
    line of `source` that cannot be read.
    """

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.source, self.sink, self.errors = source, sink, errors
        self.balancers: dict[str, Balancer] = {}
        self.tables: dict[str, tuple[ListedEndpoint, ...]] = {}
        self.instance = ""
        self.spoken_for = ""
        self.now_us = 0
        self.line_number = 0
        self.reply: list[str] = []

    def run(self) -> None:
        """Read `source` to its end. Lines that cannot be read are reported and skipped."""
        for line in self.source:
            self.line_number += 1
            line = line.rstrip("\r\n")
            try:
                self.read_line(line)
            except KeyError as error:
                self.complain(line, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.complain(line, str(error))

    def complain(self, line: str, why: str) -> None:
        """Report an unreadable line, cut to 200 characters, with its number in the input (from 1)."""
        print(f"badgergap: line {self.line_number}: {why}: {line[:200]}", file=self.errors, flush=True)

    def read_line(self, line: str) -> None:
        """Act on one line without its line end; an empty one is ignored.

        Raises KeyError for a missing field or an unknown value, and ValueError (WireError among them) for a
        line that cannot be read otherwise.
        """
        if line == "go":
            self.finish_batch()
            return
        if not line:
            return
        name, fields = split_line(line)
        parser = PARSERS.get(name)
        if parser is not None:
            self.deliver(parser(fields))
        elif name == "begin_batch":
            self.reply, self.instance, self.spoken_for = [], "", ""
            self.now_us = int(fields["simTimeUs"])
        elif name == "instance":
            self.instance = ""  # a malformed name must not leave events to the one before
            self.instance = fields["i"]
        elif name == "inventory":
            self.read_inventory(fields)
        elif name == "registry":
            kind = LIST_KINDS[fields["how"]]
            servers = () if kind is EndpointListKind.ERROR else self.tables[fields["table"]]
            self.deliver(EndpointList(kind, servers))
        elif name == "launch":
            self.balancers.pop(self.instance, None)
            if not self.instance:
                raise WireError("launch outside any instance")
            settings = parse_settings(fields["bootInfo"])
            self.balancers[self.instance] = Balancer(settings, int(fields["prng"]))
        elif name == "destroy":
            if self.balancers.pop(self.instance, None) is None:
                raise WireError(f"unknown instance '{self.instance}'")
        else:
            raise WireError("unknown event")

    def read_inventory(self, fields: Fields) -> None:
        """Read the entries that follow an `inventory` line and keep them as a numbered endpoint list.

        Unreadable entries are reported and left out. Raises KeyError or ValueError for the line itself.
        """
        members: list[ListedEndpoint] = []
        for _ in range(int(fields["members"])):
            entry = self.source.readline()
            self.line_number += 1
            entry = entry.rstrip("\r\n")
            try:
                name, entry_fields = split_line(entry)
                if name != "host":
                    raise WireError("not a list entry")
                members.append(parse_server(entry_fields))
            except KeyError as error:
                self.complain(entry, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.complain(entry, str(error))
        self.tables[fields["table"]] = tuple(members)

    def deliver(self, event: Event) -> None:
        """Give an event to the current instance's balancer, and add its actions to the batch's reply.

        Raises WireError if the instance is not running.
        """
        balancer = self.balancers.get(self.instance)
        if balancer is None:
            raise WireError(f"unknown instance '{self.instance}'")
        actions = balancer.handle(self.now_us, event)
        if not actions:
            return
        if self.spoken_for != self.instance:
            self.spoken_for = self.instance
            self.reply.append(f"by i={self.instance}")
        self.reply.extend(map(format_action, actions))

    def finish_batch(self) -> None:
        """Write the reply of the batch, ended by `next`, and start an empty one."""
        self.reply.append("next\n")
        self.sink.write("\n".join(self.reply))
        self.sink.flush()
        self.reply = []


def main() -> int:
    """Serve the simulator on standard input and output until the input ends; return the exit status."""
    gc.freeze()  # what the imports made is never garbage
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")  # type: ignore[union-attr]
    Host(sys.stdin, sys.stdout, sys.stderr).run()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
