"""The state that all parts of a member share, and the right to act that follows from it. Pure."""

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
    """Raft, the agreed state and the lease of one member. `actions` is what its driver carries out next."""

    raft_class: type[Raft] = Raft  # tests put one in its place that lacks a guard
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
        """`incarnation`: more than that of any process with this identity before; it is counted on the disk.

        Raises UnreadableRecordError for a snapshot of a later release.
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
        self.leadership: Leadership | None = None  # of the newest term that this member has led
        self.halted = ""  # why this member can go no further; it never acts then
        self.rejected = ""  # why it was not admitted to the group
        self.loaded_version = NO_VERSION  # what the gateway acts on
        self.names: OrderedDict[str, str] = OrderedDict()  # by identity, as they said themselves
        self.validating: dict[str, str] = {}  # proposals to be validated here, and who asks
        self.actions: list[MemberAction] = []

    # Implemented by Member

    @abstractmethod
    def carry_out_raft(self, now_us: int) -> None:
        """Take over what Raft wants done, and act on what it has committed."""

    @abstractmethod
    def lead(self, now_us: int) -> None:
        """Do what is due as a leader."""

    @abstractmethod
    def current_leadership(self, now_us: int) -> Leadership:
        """The duties of the present term, at its leader."""

    # Who is who

    @property
    def leader_name(self) -> str:
        """The leader's name; empty if none is known."""
        return self.name_of(self.raft.leader) if self.raft.leader else ""

    @property
    def is_member(self) -> bool:
        """Whether the newest configuration in the log has this member."""
        return self.has_member(self.id)

    def has_member(self, id: str) -> bool:
        """Whether the newest configuration in the log has this identity."""
        return any(peer.id == id for peer in self.raft.log.configuration)

    def name_of(self, id: str) -> str:
        """The name of an identity; empty if it is not known."""
        for peer in self.raft.log.configuration:
            if peer.id == id:
                return peer.name
        return self.names.get(id, "")

    # The right to act

    def may_act(self, now_us: int) -> bool:
        """Whether requests may be taken and sent under the version that is loaded. To be asked each time."""
        if self.halted or self.loaded_version == NO_VERSION:
            return False
        if self.settings.serves_without_lease:
            return True
        return self.lease_left_us(now_us) > 0 and self.loaded_version >= self.minimum_version()

    def lease_left_us(self, now_us: int) -> int:
        """How long the lease still lasts; a leader's from the last moment at which it certainly was one."""
        if self.raft.is_established_leader:
            end_us = self.raft.confirmed_us(now_us) + self.lease.duration_us
            return max(0, end_us - now_us)
        return self.lease.left_us(now_us)

    def minimum_version(self) -> int:
        """The version that must be loaded to act under the lease."""
        if self.raft.is_established_leader:
            return self.state.acting.number
        return self.lease.minimum_version

    def set_lease_duration(self) -> None:
        """Leases are as long as the group was founded with, whatever this member's file says.

        Else one with a longer time in its file would still act when its leader takes its lease for over.
        """
        own, agreed = self.settings.contradiction_us, self.state.contradiction_us
        self.lease.duration_us = lease_duration_us(agreed or own)
        if agreed and agreed != own:
            self.alert(f"group.contradiction is {agreed / 1e6:g} s since the founding, not {own / 1e6:g} s")

    # What is to be done

    def send(self, id: str, message: Message, name: str = "") -> None:
        """Send a message to an identity; `name` where it is no member."""
        self.actions.append(Send(name or self.name_of(id), id, message))

    def alert(self, text: str) -> None:
        """Tell people."""
        self.actions.append(Alert(text))

    def halt(self, why: str) -> None:
        """Go no further, and act no more."""
        if not self.halted:
            self.halted = why
            self.lease.drop()
            self.alert(f"this member can go no further and serves nothing: {why}")

    def propose_command(self, now_us: int, command: Command) -> None:
        """Add a command to the log, at the leader."""
        self.raft.propose(now_us, "data", versions.encode_command(command))

    def report_outcome(self, origin: str, outcome: Outcome) -> None:
        """Tell the member that asked what became of its request."""
        if origin == self.id:
            self.actions.append(OutcomeKnown(outcome))
        else:
            self.send(origin, RequestOutcome(outcome))
