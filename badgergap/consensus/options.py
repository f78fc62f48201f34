"""The operator file's group settings, as the service needs them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from badgergap.consensus.settings import MemberSettings
from badgergap.proxy.lifecycle.config import Address


@dataclass(frozen=True, slots=True)
class Options:
    """This member's settings, its listening address, log folder and key, and the others' addresses."""

    settings: MemberSettings
    listen: Address
    key: bytes
    folder: Path
    addresses: Mapping[str, Address]  # of the other members, by name
    shared_endpoint_list: bool = False  # only the leader follows service discovery, for all members

    @property
    def restart_only_part(self) -> tuple[Address, bytes, Path, str]:
        """The options that cannot change without a restart."""
        return self.listen, self.key, self.folder, self.settings.name
