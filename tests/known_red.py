"""Tests that are known to fail for a real fault, as KNOWN-RED.txt at the root lists them.

One entry a line, its four parts separated by ` | `:

    tests/x/test_y.py::test_z | command and seed | what was seen | issue

Blank lines and lines that begin with `#` are ignored. A test without parameters stands for all its cases.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
SEPARATOR = " | "
PARTS = 4


class KnownRedError(ValueError):
    """A line of the list that is not an entry; the message names it."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that fails until its issue is resolved."""

    test: str
    command: str
    observed: str
    issue: str

    def matches(self, test_id: str) -> bool:
        """Whether the entry stands for the test of this id."""
        return test_id == self.test or test_id.startswith(f"{self.test}[")


def parse(lines: Iterable[str]) -> Iterator[KnownRed]:
    """The entries, in their order. Raises KnownRedError for a line that lacks a part."""
    for number, line in enumerate(lines, start=1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != PARTS or not all(parts):
            raise KnownRedError(
                f"KNOWN-RED line {number}: not 'test | command and seed | seen | issue': {line}"
            )
        yield KnownRed(*parts)


def load(file: Path = FILE) -> tuple[KnownRed, ...]:
    """The entries of the file; none where there is no file."""
    if not file.exists():
        return ()
    return tuple(parse(file.read_text().splitlines()))
