"""Runs balancers on the simulator's text protocol: batches from standard input, replies to standard output.

Each instance has its own Balancer, which makes all decisions; instances share nothing. Unreadable lines are
reported on standard error and skipped.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from typing import TextIO

from badgergap.balancing.balancer import Balancer
from badgergap.balancing.interface import EndpointList, EndpointListKind, Event, ListedEndpoint
from badgergap.simulator.codec import (
    LIST_KINDS,
    PARSERS,
    Fields,
    WireError,
    format_action,
    parse_listed_endpoint,
    split_line,
)
from badgergap.simulator.settings_parser import parse_settings


class SimulatorAdapter:
    """The balancers of one simulator process, by instance name, and the current batch.

    The simulated clock is in microseconds and changes only on `begin_batch`. One line is written to `errors`
    for each unreadable line of `source`.
    """

    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.source, self.sink, self.errors = source, sink, errors
        self.balancers: dict[str, Balancer] = {}
        self.endpoint_lists: dict[str, tuple[ListedEndpoint, ...]] = {}
        self.instance = ""
        self.reply_instance = ""
        self.now_us = 0
        self.line_number = 0
        self.reply: list[str] = []
        self.control_handlers: dict[str, Callable[[Fields], None]] = {
            "begin_batch": self.begin_batch,
            "instance": self.select_instance,
            "inventory": self.read_endpoint_list,
            "registry": self.deliver_endpoint_list,
            "launch": self.launch_instance,
            "destroy": self.destroy_instance,
        }

    def run(self) -> None:
        """Process `source` until its end. Unreadable lines are reported and skipped."""
        for raw_line in self.source:
            self.line_number += 1
            line = raw_line.rstrip("\r\n")
            try:
                self.read_line(line)
            except KeyError as error:
                self.report_error(line, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.report_error(line, str(error))

    def report_error(self, line: str, reason: str) -> None:
        """Report an unreadable line, truncated to 200 characters, with its line number (from 1)."""
        print(f"badgergap: line {self.line_number}: {reason}: {line[:200]}", file=self.errors, flush=True)

    def read_line(self, line: str) -> None:
        """Process one line, given without its line ending; empty lines are ignored.

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
            return
        handler = self.control_handlers.get(name)
        if handler is None:
            raise WireError("unknown event")
        handler(fields)

    def begin_batch(self, fields: Fields) -> None:
        """Start a batch at the given simulated time, with no instance selected.

        Raises KeyError or ValueError if the time is missing or not an integer.
        """
        self.reply, self.instance, self.reply_instance = [], "", ""
        self.now_us = int(fields["simTimeUs"])

    def select_instance(self, fields: Fields) -> None:
        """Make an instance the current one. Raises KeyError for a missing name; then none is selected."""
        self.instance = ""  # after a malformed line, events must not go to the previous instance
        self.instance = fields["i"]

    def launch_instance(self, fields: Fields) -> None:
        """Create a new balancer for the current instance; bad settings still remove the previous one.

        Raises WireError for unusable settings or no current instance, KeyError for a missing field and
        ValueError for a seed that is not an integer.
        """
        self.balancers.pop(self.instance, None)
        if not self.instance:
            raise WireError("launch outside any instance")
        settings = parse_settings(fields["bootInfo"])
        self.balancers[self.instance] = Balancer(settings, int(fields["prng"]))

    def destroy_instance(self, fields: Fields) -> None:
        """Remove the current instance's balancer; reads no fields. Raises WireError if it is not running."""
        if self.balancers.pop(self.instance, None) is None:
            raise WireError(f"unknown instance '{self.instance}'")

    def deliver_endpoint_list(self, fields: Fields) -> None:
        """Deliver a numbered endpoint list, or the failure to get one, to the current instance.

        Raises KeyError for an unknown kind or number, and WireError if the instance is not running.
        """
        kind = LIST_KINDS[fields["how"]]
        endpoints = () if kind is EndpointListKind.ERROR else self.endpoint_lists[fields["table"]]
        self.deliver(EndpointList(kind, endpoints))

    def read_endpoint_list(self, fields: Fields) -> None:
        """Read the entries that follow an `inventory` line and store them as a numbered endpoint list.

        Unreadable entries are reported and omitted. Raises KeyError or ValueError for the line itself.
        """
        entries: list[ListedEndpoint] = []
        for _ in range(int(fields["members"])):
            entry = self.source.readline()
            self.line_number += 1
            entry = entry.rstrip("\r\n")
            try:
                name, entry_fields = split_line(entry)
                if name != "host":
                    raise WireError("not a list entry")
                entries.append(parse_listed_endpoint(entry_fields))
            except KeyError as error:
                self.report_error(entry, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.report_error(entry, str(error))
        self.endpoint_lists[fields["table"]] = tuple(entries)

    def deliver(self, event: Event) -> None:
        """Pass an event to the current instance's balancer and append its actions to the batch's reply.

        Raises WireError if the instance is not running.
        """
        balancer = self.balancers.get(self.instance)
        if balancer is None:
            raise WireError(f"unknown instance '{self.instance}'")
        actions = balancer.handle(self.now_us, event)
        if not actions:
            return
        if self.reply_instance != self.instance:
            self.reply_instance = self.instance
            self.reply.append(f"by i={self.instance}")
        self.reply.extend(map(format_action, actions))

    def finish_batch(self) -> None:
        """Write the reply of the batch, terminated by `next`, and start an empty reply."""
        self.reply.append("next\n")
        self.sink.write("\n".join(self.reply))
        self.sink.flush()
        self.reply = []


def main() -> int:
    """Run the adapter on standard input and output until the input ends; return the exit status."""
    gc.freeze()  # objects created by imports are never garbage
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")  # type: ignore[union-attr]
    SimulatorAdapter(sys.stdin, sys.stdout, sys.stderr).run()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
