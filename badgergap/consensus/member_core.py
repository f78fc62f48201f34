"""The state that all parts of a member share, and whether it may act. Performs no I/O."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import TYPE_CHECKING

from badgergap.consensus import versions
from badgergap.consensus.lease import Lease, LeaseGrantor, lease_duration_us
from badgergap.consensus.member_actions import Alert, MemberAction, OutcomeKnown, Send
from badgergap.consensus.member_messages import Message, RequestOutcome
from badgergap.consensus.persistent_state import PersistentState
from badgergap.consensus.raft import Raft
from badgergap.consensus.replicated_state import GroupState
from badgergap.consensus.settings import MemberSettings
from badgergap.consensus.versions import Command, Outcome

if TYPE_CHECKING:
    from badgergap.consensus.leadership import Leadership

NO_VERSION = 0


class MemberCore(ABC):
    """Raft, the agreed state and the lease of one member. Its driver carries out `actions` next."""

    raft_class: type[Raft] = Raft  # tests replace it with one that lacks a safeguard
    lease_class: type[Lease] = Lease
    grantor_class: type[LeaseGrantor] = LeaseGrantor

    def __init__(
        self,
        settings: MemberSettings,
        id: str,
        persistent: PersistentState,
        now_us: int,
        random: random.Random,
        incarnation: int = 1,
    ) -> None:
        """Start from the state on disk. Raises UnreadableRecordError for a snapshot of a later release.

        `incarnation`: higher than in any earlier process with this identity; the counter is kept on disk.
        """
        self.settings = settings
        self.id = id
        self.incarnation = incarnation
        self.now_us = now_us
        self.raft = self.raft_class(id, persistent, now_us, random)
        self.state = GroupState()
        if persistent.snapshot is not None:
            self.state.restore(persistent.snapshot.state)
        self.lease = self.lease_class(0)
        self.leadership: Leadership | None = None  # of the newest term in which this member led
        self.halted = ""  # why this member has stopped for good, and never acts; empty if it has not
        self.rejected = ""  # why the leader did not admit this member; empty if it did
        self.loaded_version = NO_VERSION  # the version that the gateway acts on
        self.names: OrderedDict[str, str] = OrderedDict()  # names by identity, as senders give them
        self.validating: dict[str, str] = {}  # proposals to validate here, and the requesting members
        self.actions: list[MemberAction] = []

    # Implemented by Member

    @abstractmethod
    def carry_out_raft(self, now_us: int) -> None:
        """Carry out the actions of Raft, and apply what it has committed."""

    @abstractmethod
    def lead(self, now_us: int) -> None:
        """Carry out the duties of a leader that are due."""

    @abstractmethod
    def current_leadership(self, now_us: int) -> Leadership:
        """Return the leader's duties in the current term."""

    # Members and names

    @property
    def leader_name(self) -> str:
        """The leader's name; empty if none is known."""
        return self.name_of(self.raft.leader) if self.raft.leader else ""

    @property
    def is_member(self) -> bool:
        """Whether this member is in the newest configuration in the log."""
        return self.has_member(self.id)

    def has_member(self, id: str) -> bool:
        """Whether an identity is in the newest configuration in the log."""
        return any(peer.id == id for peer in self.raft.log.configuration)

    def name_of(self, id: str) -> str:
        """Return the name of an identity; empty if it is not known."""
        for peer in self.raft.log.configuration:
            if peer.id == id:
                return peer.name
        return self.names.get(id, "")

    # Whether the member may act

    def may_act(self, now_us: int) -> bool:
        """Whether requests may be accepted and sent under the loaded version. Check before each one."""
        if self.halted or self.loaded_version == NO_VERSION:
            return False
        if self.settings.serves_without_lease:
            return True
        return self.lease_left_us(now_us) > 0 and self.loaded_version >= self.minimum_version()

    def lease_left_us(self, now_us: int) -> int:
        """Return the time until the lease ends; a leader's lease starts when it was last confirmed."""
        if self.raft.is_established_leader:
            end_us = self.raft.confirmed_us(now_us) + self.lease.duration_us
            return max(0, end_us - now_us)
        return self.lease.left_us(now_us)

    def leader_confirmed_us(self, now_us: int) -> int:
        """Return when the leader was last known to lead: what it sent before may have been delayed since."""
        if self.raft.is_established_leader:
            return self.raft.confirmed_us(now_us)
        return self.lease.end_us - self.lease.duration_us

    def minimum_version(self) -> int:
        """Return the version that must be loaded to act under the lease."""
        if self.raft.is_established_leader:
            return self.state.acting.number
        return self.lease.minimum_version

    def set_lease_duration(self) -> None:
        """Set the lease duration from the bound that the group was founded with, not from the settings file.

        Otherwise a member with a longer time in its file would still act after its leader counts its lease
        as ended.
        """
        own, agreed = self.settings.contradiction_us, self.state.contradiction_us
        self.lease.duration_us = lease_duration_us(agreed or own)
        if agreed and agreed != own:
            self.alert(f"group.contradiction is {agreed / 1e6:g} s since the founding, not {own / 1e6:g} s")

    # Actions

    def send(self, id: str, message: Message, name: str = "") -> None:
        """Send a message to an identity; `name` is needed if its name is not known."""
        self.actions.append(Send(name or self.name_of(id), id, message))

    def alert(self, text: str) -> None:
        """Write a line to the log for the operator."""
        self.actions.append(Alert(text))

    def halt(self, why: str) -> None:
        """Stop for good, without acting any more."""
        if not self.halted:
            self.halted = why
            self.lease.drop()
            self.alert(f"this member can go no further and serves nothing: {why}")

    def propose_command(self, now_us: int, command: Command) -> None:
        """Add a command to the log; has no effect unless this member leads."""
        self.raft.propose(now_us, "data", versions.encode_command(command))

    def report_outcome(self, origin: str, outcome: Outcome) -> None:
        """Send the outcome of a request to the member that made it."""
        if origin == self.id:
            self.actions.append(OutcomeKnown(outcome))
        else:
            self.send(origin, RequestOutcome(outcome))
