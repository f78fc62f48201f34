"""What the operator file says of a group, as its service needs it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from badgergap.consensus.settings import MemberSettings
from badgergap.proxy.lifecycle.config import Address


@dataclass(frozen=True, slots=True)
class Options:
    """This member, where it listens and keeps its log, and where the others are."""

    settings: MemberSettings
    listen: Address
    key: bytes
    folder: Path
    addresses: Mapping[str, Address]  # of the others, by name
    one_list: bool = False  # the leader follows the source of endpoints for all

    @property
    def own_part(self) -> tuple[Address, bytes, Path, str]:
        """What makes this member who it is."""
        return self.listen, self.key, self.folder, self.settings.name
