"""What a group agrees on: versions of its settings, and the commands in the log that make them. Pure.

The structs here are part of log entries and snapshots: on the wire and on disk they are their tag and their
fields in order. Names may change; tags, order and the values of `kind` may not.
"""

from __future__ import annotations

import hashlib
from typing import Literal

import msgspec

VersionKind = Literal["settings", "out", "back", "list"]

ANY_PARENT = -1


class ProposeVersion(msgspec.Struct, frozen=True, array_like=True, tag="publish"):
    """A proposal for the next version.

    `parent`: the settings version that it was made from; it is refused if that is not the newest any more.
    ANY_PARENT: it does not matter. `contradicts` is found by the leader, so that it is the same at members
    of all releases.
    """

    id: str
    kind: VersionKind
    body: str  # settings or endpoint list as JSON, or the name of an endpoint
    author: str
    reason: str
    parent: int
    contradicts: bool


class BanMember(msgspec.Struct, frozen=True, array_like=True, tag="bar"):
    """A name was removed from the group and may not join again by itself; or it may again."""

    name: str
    banned: bool


class EnforceVersion(msgspec.Struct, frozen=True, array_like=True, tag="enforce"):
    """All versions up to this one are in force wherever they are known."""

    version: int


class StoreComponentState(msgspec.Struct, frozen=True, array_like=True, tag="keep"):
    """The next state of another component, in place of its last; ignored if its number is not the next."""

    component: str
    number: int
    data: bytes


Command = ProposeVersion | EnforceVersion | BanMember | StoreComponentState


class VersionHeader(msgspec.Struct, frozen=True, array_like=True):
    """What is remembered of a version beside its content."""

    number: int
    kind: VersionKind
    digest: str  # of all the content that it leads to
    author: str
    reason: str
    parent: int
    contradicts: bool
    endpoint: str = ""  # of "out" and "back", else empty


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """What became of a proposal."""

    id: str
    version: int  # 0: it was refused
    why: str = ""
    newest: int = 0  # the newest version at that time


class VersionContent(msgspec.Struct, frozen=True, array_like=True):
    """All that is acted on under one version."""

    number: int = 0
    settings: str = ""  # the agreed tables, as JSON with sorted keys
    out: dict[str, str] = {}  # endpoints drained by hand, and who drained each
    endpoint_list: str = ""  # as JSON; "": the group owns none
    settings_at: int = 0  # the version that last changed the settings

    def digest(self) -> str:
        """The same for the same content, whatever its number."""
        identity = self.settings, sorted(self.out), self.endpoint_list
        return hashlib.blake2b(msgspec.msgpack.encode(identity), digest_size=8).hexdigest()


def encode_command(command: Command) -> bytes:
    """The data of a "data" entry in the log."""
    return msgspec.msgpack.encode(command)
