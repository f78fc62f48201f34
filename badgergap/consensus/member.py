"""One member of a group: consensus, versions, leases and membership, as one state machine.

Performs no I/O. The driver (`service.py`, or a simulation) passes in events with the time, and carries out
the actions that `take_actions()` returns. `Member` dispatches the events to its parts: `raft`, `joining`, and
at a leader `leadership` with its proposals and membership changes.
"""

from __future__ import annotations

import random
from collections import deque

from badgergap.consensus import raft_actions
from badgergap.consensus.errors import MembershipChangeError, UnreadableRecordError
from badgergap.consensus.joining import Joining
from badgergap.consensus.leadership import Leadership
from badgergap.consensus.lease import REQUESTS_PER_LEASE
from badgergap.consensus.log import LogEntry, Snapshot
from badgergap.consensus.member_actions import (
    DeliverToComponent,
    LoadVersion,
    MemberAction,
    OutcomeKnown,
    Reincarnate,
    Send,
    ValidateLocally,
    VersionReceived,
)
from badgergap.consensus.member_core import NO_VERSION, MemberCore
from badgergap.consensus.member_messages import (
    ChangeMembers,
    ComponentMessage,
    ForwardedProposal,
    GroupMessage,
    Hello,
    JoinRejected,
    LeaseGrant,
    LeaseRequest,
    Message,
    RequestOutcome,
    StatusRequest,
    StatusResponse,
    ValidateSettings,
    ValidationResult,
)
from badgergap.consensus.persistent_state import Persist, PersistentState
from badgergap.consensus.proposals import OPEN_LIMIT
from badgergap.consensus.raft_messages import PreVoteRequest, RaftMessage
from badgergap.consensus.settings import MemberSettings
from badgergap.consensus.status import member_statuses
from badgergap.consensus.versions import Outcome, ProposeVersion, StoreComponentState

NAMES_LIMIT = 512
BEGUN_LIMIT = 64  # membership change requests that are recognized when repeated
COMPACT_ENTRIES = 2048
COMPACT_BYTES = 4 * 1024 * 1024
ENTRY_KINDS = ("data", "noop", "config")
CHANGE_BEGUN = 1  # in place of the version in an outcome: a membership change creates none


class Member(MemberCore):
    """The state machine, with the entry points for time, messages, finished writes and requests."""

    def __init__(
        self,
        settings: MemberSettings,
        id: str,
        persistent: PersistentState,
        now_us: int,
        random: random.Random,
        incarnation: int = 1,
    ) -> None:
        """Start from the state on disk; see `MemberCore`."""
        super().__init__(settings, id, persistent, now_us, random, incarnation)
        self.joining = Joining(self, now_us)
        self.latest_status: tuple[int, StatusResponse] | None = None  # when it arrived, and the status
        self._lease_request_due_us = now_us
        self._requested_version = -1  # the newest version, as of the last lease request
        self._handed_over_version = NO_VERSION  # the newest version given to the driver to load
        self._received_version = NO_VERSION  # the newest version reported to the driver
        self._begun_changes: deque[str] = deque(maxlen=BEGUN_LIMIT)  # ids of requests
        self._announced_leader = ""
        self._announced_acting: bool | None = None
        self.set_lease_duration()
        self._report_versions()

    # Events

    def tick(self, now_us: int) -> None:
        """Do what is due."""
        self.now_us = now_us
        self.raft.tick(now_us)
        self.carry_out_raft(now_us)
        self.joining.tick(now_us)
        self._request_lease(now_us)
        self.lead(now_us)
        self._announce_changes(now_us)

    def receive(self, now_us: int, sender: str, name: str, message: Message) -> None:
        """Handle a message from the member with the identity `sender` and the name `name`.

        The driver has checked the group, the key and the addressee.
        """
        self.now_us = now_us
        self._remember_name(sender, name)
        if isinstance(message, ComponentMessage):
            self.actions.append(DeliverToComponent(name, message.component, message.data))
            return
        if isinstance(message, RaftMessage):
            self._on_raft_message(now_us, sender, name, message)
        else:
            self._on_group_message(now_us, sender, name, message)
        self._continue(now_us)

    def on_persisted(self, now_us: int, token: int) -> None:
        """Record that all writes up to `token` are durable."""
        self.raft.on_persisted(now_us, token)
        self._continue(now_us)

    def on_disk_failed(self, why: str) -> None:
        """Halt, since the disk failed: no message that depends on it is sent any more."""
        self.raft.on_disk_failed()
        self.halt(f"the log cannot be written: {why}")

    def on_loaded(self, version: int) -> None:
        """Record that the gateway acts on `version` from now on."""
        self.loaded_version = version
        self._request_lease_at_once()

    def on_load_failed(self, version: int, why: str) -> None:
        """Halt, since the gateway cannot act on a version that is in force."""
        self.halt(f"version {version} cannot be loaded here: {why}")

    def on_validated(self, now_us: int, id: str, why: str) -> None:
        """Report whether the settings of a proposal can be loaded here: `why` not, or empty if so."""
        requester = self.validating.pop(id, "")
        result = ValidationResult(id, why)
        if requester == self.id:
            self._on_validation_result(now_us, self.id, result)
            self.carry_out_raft(now_us)
        elif requester:
            self.send(requester, result)

    def take_actions(self) -> list[MemberAction]:
        """Return the pending actions and clear them."""
        actions, self.actions = self.actions, []
        return actions

    # Requests of operators and of other components

    def propose(self, now_us: int, proposal: ProposeVersion) -> None:
        """Propose a version; `OutcomeKnown` reports the outcome. Repeating it with the same id is safe."""
        outcome = self.state.outcomes.get(proposal.id)
        if outcome is not None:
            self.actions.append(OutcomeKnown(outcome))
        elif self.raft.is_leader:
            self._on_proposal(now_us, self.id, proposal)
            self.carry_out_raft(now_us)
        elif self.raft.leader:
            self.send(self.raft.leader, ForwardedProposal(proposal))

    def store_component_state(self, now_us: int, component: str, number: int, data: bytes) -> None:
        """Propose the next state of another component, at the leader. The proposal may be lost."""
        if self.raft.is_established_leader and not self.halted:
            self.propose_command(now_us, StoreComponentState(component, number, data))
            self.carry_out_raft(now_us)

    def request_status(self, now_us: int) -> None:
        """Request the status from the leader; it is stored in `latest_status`."""
        if self.raft.is_leader:
            self.latest_status = (now_us, self._status(now_us))
        elif self.raft.leader:
            self.send(self.raft.leader, StatusRequest())

    def request_change(self, now_us: int, request: ChangeMembers) -> None:
        """Request a membership change; `OutcomeKnown` reports whether it was begun, or why not."""
        if self.raft.is_leader:
            self._on_change_request(now_us, self.id, request)
        elif self.raft.leader:
            self.send(self.raft.leader, request)

    def change_members(self, now_us: int, name: str, action: str) -> None:
        """Begin a membership change, at the leader; does nothing if the change is already made.

        Raises MembershipChangeError for a change that cannot be made, and at members that do not lead.
        """
        if not self.raft.is_established_leader:
            no_leader = "there is no leader"
            raise MembershipChangeError(
                f"the leader is {self.leader_name}" if self.raft.leader else no_leader
            )
        self.current_leadership(now_us).changes.begin(now_us, name, action)

    def force_single_member(self, now_us: int) -> None:
        """Make this member the only member of the group.

        Raises MembershipChangeError if it has contact with a leader or is not in the configuration.
        """
        if self.lease_left_us(now_us) > 0 or not self.raft.force_single_member(now_us):
            raise MembershipChangeError("a leader is heard, or this member is none")
        self.alert(
            "BY FORCE this is now the only member of the group: empty the data directories of the others"
        )
        self.carry_out_raft(now_us)

    # Messages

    def _remember_name(self, sender: str, name: str) -> None:
        if sender:
            self.names[sender] = name
        while len(self.names) > NAMES_LIMIT:
            self.names.popitem(last=False)

    def _on_raft_message(self, now_us: int, sender: str, name: str, message: RaftMessage) -> None:
        self.raft.receive(now_us, sender, message)
        if isinstance(message, PreVoteRequest) and self.raft.is_established_leader:
            self.joining.reject_former_member(now_us, sender, name)

    def _on_group_message(self, now_us: int, sender: str, name: str, message: GroupMessage) -> None:
        match message:
            case Hello():
                self.joining.on_hello(now_us, sender, name, message)
            case JoinRejected():
                self.joining.on_rejected(name, message)
            case LeaseRequest():
                self._on_lease_request(now_us, sender, message)
            case LeaseGrant():
                self._on_lease_grant(now_us, sender, message)
            case ForwardedProposal():
                self._on_proposal(now_us, sender, message.proposal)
            case ChangeMembers():
                self._on_change_request(now_us, sender, message)
            case RequestOutcome():
                self.actions.append(OutcomeKnown(message.outcome))
            case ValidateSettings():
                self._on_validation_request(sender, message)
            case ValidationResult():
                self._on_validation_result(now_us, sender, message)
            case StatusRequest():
                if self.raft.is_leader:
                    self.send(sender, self._status(now_us))
            case StatusResponse():
                self.latest_status = (now_us, message)

    def _on_lease_request(self, now_us: int, sender: str, request: LeaseRequest) -> None:
        if self.raft.is_leader and request.term == self.raft.term:
            self.current_leadership(now_us).grantor.on_request(now_us, sender, request)
            self.lead(now_us)

    def _on_lease_grant(self, now_us: int, sender: str, grant: LeaseGrant) -> None:
        """Apply a lease grant, unless it is from an earlier leader or for an earlier process.

        An earlier process had another clock, so its grant has no meaning here.
        """
        is_for_this_process = grant.incarnation == self.incarnation
        is_of_leader = grant.term >= self.raft.term and sender == self.raft.leader
        if is_for_this_process and is_of_leader:
            self.lease.extend(now_us, grant.sent_at_us, grant.minimum_version)
            self.rejected = ""

    def _on_proposal(self, now_us: int, origin: str, proposal: ProposeVersion) -> None:
        if self.raft.is_established_leader:
            self.current_leadership(now_us).proposals.receive(now_us, origin, proposal)

    def _on_change_request(self, now_us: int, origin: str, request: ChangeMembers) -> None:
        """Begin a requested membership change, unless an earlier copy of the request has begun it.

        A member repeats its request until it is answered.
        """
        if not self.raft.is_leader:
            return
        if request.id not in self._begun_changes:
            try:
                self.change_members(now_us, request.name, request.action)
            except MembershipChangeError as error:
                self.report_outcome(origin, Outcome(request.id, 0, str(error)))
                return
            self._begun_changes.append(request.id)
        self.report_outcome(origin, Outcome(request.id, CHANGE_BEGUN))

    def _on_validation_request(self, sender: str, request: ValidateSettings) -> None:
        if len(self.validating) < OPEN_LIMIT:
            self.validating[request.id] = sender
            self.actions.append(ValidateLocally(request.id, request.settings))

    def _on_validation_result(self, now_us: int, sender: str, result: ValidationResult) -> None:
        if self.leadership is not None:
            self.leadership.proposals.on_validated(now_us, sender, result)

    def _status(self, now_us: int) -> StatusResponse:
        return StatusResponse(self.raft.term, member_statuses(self, now_us))

    # After each event

    def _continue(self, now_us: int) -> None:
        self.carry_out_raft(now_us)
        self._request_lease(now_us)  # at once if a version has arrived
        self.lead(now_us)

    def lead(self, now_us: int) -> None:
        """Carry out the duties of a leader that are due; does nothing at other members."""
        if self.raft.is_leader:
            self.current_leadership(now_us).step(now_us)

    def current_leadership(self, now_us: int) -> Leadership:
        """Return the leader's duties in the current term."""
        if self.leadership is None or self.leadership.elected_us != self.raft.elected_us:
            self.leadership = Leadership(self)
        return self.leadership

    def carry_out_raft(self, now_us: int) -> None:
        """Carry out the actions of Raft, and apply what it has committed."""
        while self.raft.actions:
            actions, self.raft.actions = self.raft.actions, []
            for action in actions:
                self._carry_out(action)
        self._report_versions()

    def _carry_out(self, action: raft_actions.RaftAction) -> None:
        match action:
            case Persist():
                self.actions.append(action)
            case raft_actions.SendToPeer(peer_id, message, after_token):
                self.actions.append(Send(self.name_of(peer_id), peer_id, message, after_token))
            case raft_actions.ApplyEntry(entry):
                self._apply(entry)
            case raft_actions.RestoreSnapshot(snapshot):
                self._restore(snapshot)
            case raft_actions.Disowned(acknowledged_index):
                why = f"others hold {acknowledged_index} of its entries, it does not"
                self.actions.append(Reincarnate(why))

    def _apply(self, entry: LogEntry) -> None:
        """Apply a committed entry; halt at one of a later release, which must not be skipped."""
        if self.halted:
            return
        if entry.kind not in ENTRY_KINDS:
            self.halt(f"entry {entry.index} is of a kind that this program does not know: {entry.kind}")
        if entry.kind != "data":
            return
        try:
            outcome = self.state.apply(entry.data)
        except UnreadableRecordError as error:
            self.halt(f"entry {entry.index} is of a later program version: {error}")
            return
        if outcome is not None:
            self.actions.append(OutcomeKnown(outcome))
            if self.leadership is not None:
                self.leadership.proposals.forget(outcome.id)

    def _restore(self, snapshot: Snapshot) -> None:
        try:
            self.state.restore(snapshot.state)
        except UnreadableRecordError as error:
            self.halt(f"the snapshot at {snapshot.index} is of a later program version: {error}")
            return
        self.set_lease_duration()
        for outcome in self.state.outcomes.values():
            self.actions.append(OutcomeKnown(outcome))

    def _report_versions(self) -> None:
        """Have new versions loaded and reported, and compact the log if it has grown large."""
        acting, newest = self.state.acting, self.state.newest
        if acting.number > self._handed_over_version and not self.halted:
            self._handed_over_version = acting.number
            self.actions.append(LoadVersion(acting))
        if newest.number > self._received_version:
            self._received_version = newest.number
            self.actions.append(VersionReceived(newest))
        if newest.number != self._requested_version:
            self._request_lease_at_once()  # the leader waits until this member holds the version
        if self._compaction_is_due() and not self.halted:
            self.raft.compact(self.state.snapshot())
            self.carry_out_raft(self.now_us)

    def _compaction_is_due(self) -> bool:
        log = self.raft.log
        is_large = len(log.entries) > COMPACT_ENTRIES or log.size_bytes() > COMPACT_BYTES
        return is_large and self.raft.applied_index > log.snapshot.index

    # The lease

    def _request_lease_at_once(self) -> None:
        self._lease_request_due_us = 0

    def _request_lease(self, now_us: int) -> None:
        """Request a lease from the leader when that is due."""
        has_leader = bool(self.raft.leader) and not self.raft.is_leader
        if not has_leader or not self.is_member or self.halted or now_us < self._lease_request_due_us:
            return
        self._lease_request_due_us = now_us + self.lease.duration_us // REQUESTS_PER_LEASE
        self._requested_version = self.state.newest.number
        request = LeaseRequest(
            self.incarnation,
            self.raft.term,
            now_us,
            self._requested_version,
            self.loaded_version,
            self.raft.log.size_bytes(),
        )
        self.send(self.raft.leader, request)

    def _announce_changes(self, now_us: int) -> None:
        """Log each change of the leader, and of whether this member may act."""
        leader = self.leader_name
        if leader != self._announced_leader:
            self._announced_leader = leader
            if leader:
                self.alert(f"{leader} leads the group in term {self.raft.term}")
        acting = self.may_act(now_us)
        if acting != self._announced_acting and self.loaded_version:
            self._announced_acting = acting
            self.alert("may act on the version of the group" if acting else "HAS NO LEASE: serves nothing")
