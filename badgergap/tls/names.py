"""Which certificate a client gets that asks for a name. Pure.

1. A certificate that has the name itself comes before one that has `*.` and all of the name but its first
   label (RFC 6125 section 6.4.3: one label, the leftmost, whole).
2. Among equals the one that the file names first.
3. A client that names nobody, or a name that no certificate has, gets the first certificate of the file: it
   will refuse that one or not, and hears so from its own library.
"""

from __future__ import annotations

from collections.abc import Sequence


class Names:
    """`certificates`: the names of each, in the file's order."""

    def __init__(self, certificates: Sequence[Sequence[str]]) -> None:
        self.exact: dict[str, int] = {}
        self.wild: dict[str, int] = {}
        for number, names in enumerate(certificates):
            for name in names:
                name = name.lower().rstrip(".")
                if name.startswith("*."):
                    self.wild.setdefault(name[2:], number)
                else:
                    self.exact.setdefault(name, number)

    def of(self, asked: str | None) -> int:
        """The certificate's number."""
        if asked is None:
            return 0
        asked = asked.lower().rstrip(".")
        if asked in self.exact:
            return self.exact[asked]
        return self.wild.get(asked.partition(".")[2], 0)
