"""Versions of a group's agreed state, and the log commands that create them. Performs no I/O.

The structs here are part of log entries and snapshots: they are encoded as their tag and their fields in
order. Names may change; tags, the order of fields and the values of `kind` may not.
"""

from __future__ import annotations

import hashlib
from typing import Literal

import msgspec

VersionKind = Literal["settings", "out", "back", "list"]

ANY_PARENT = -1


class ProposeVersion(msgspec.Struct, frozen=True, array_like=True, tag="publish"):
    """A proposal for the next version.

    `parent`: the settings version that it is based on; the proposal is refused if that is no longer the
    newest one. ANY_PARENT skips this check. `contradicts` is computed by the leader, so that members of all
    releases agree on it.
    """

    id: str
    kind: VersionKind
    body: str  # settings or endpoint list as JSON, or the name of an endpoint
    author: str
    reason: str
    parent: int
    contradicts: bool


class BanMember(msgspec.Struct, frozen=True, array_like=True, tag="bar"):
    """Bans a removed member from joining again under its name, or lifts that ban."""

    name: str
    banned: bool


class EnforceVersion(msgspec.Struct, frozen=True, array_like=True, tag="enforce"):
    """Puts all versions up to this one in force, at each member that holds them."""

    version: int


class StoreComponentState(msgspec.Struct, frozen=True, array_like=True, tag="keep"):
    """Replaces the state of another component; ignored if `number` is not the next one."""

    component: str
    number: int
    data: bytes


Command = ProposeVersion | EnforceVersion | BanMember | StoreComponentState


class VersionHeader(msgspec.Struct, frozen=True, array_like=True):
    """The metadata of a version."""

    number: int
    kind: VersionKind
    digest: str  # of the content after this version
    author: str
    reason: str
    parent: int
    contradicts: bool
    endpoint: str = ""  # of "out" and "back", else empty


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a proposal."""

    id: str
    version: int  # 0: it was refused
    why: str = ""
    newest: int = 0  # the newest version at that time


class VersionContent(msgspec.Struct, frozen=True, array_like=True):
    """The complete agreed state at one version."""

    number: int = 0
    settings: str = ""  # the agreed tables, as JSON with sorted keys
    out: dict[str, str] = {}  # manually drained endpoints, and who drained each
    endpoint_list: str = ""  # as JSON; "": the group has none
    settings_at: int = 0  # the version that last changed the settings

    def digest(self) -> str:
        """Return a digest of the content that does not depend on the version number."""
        identity = self.settings, sorted(self.out), self.endpoint_list
        return hashlib.blake2b(msgspec.msgpack.encode(identity), digest_size=8).hexdigest()


def encode_command(command: Command) -> bytes:
    """Encode the data of a "data" entry in the log."""
    return msgspec.msgpack.encode(command)
