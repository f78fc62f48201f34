"""Proposals at the leader: checked, validated by the members, then added to the log. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from badgergap.consensus import compatibility
from badgergap.consensus.errors import ProposalError
from badgergap.consensus.lease import LeaseGrantor
from badgergap.consensus.log import majority
from badgergap.consensus.member_actions import ValidateLocally
from badgergap.consensus.member_core import MemberCore
from badgergap.consensus.member_messages import ValidateSettings, ValidationResult
from badgergap.consensus.replicated_state import GroupState
from badgergap.consensus.settings_text import decode_endpoint_list, decode_tables
from badgergap.consensus.versions import Outcome, ProposeVersion

VALIDATION_TIMEOUT_US = 2_000_000  # for the members to validate settings
RECENT_CONTACT_US = 1_000_000  # members with contact within it validate settings
OPEN_LIMIT = 64  # proposals that wait for validation


@dataclass(slots=True)
class OpenProposal:
    """A proposal that waits for the members' validation results."""

    proposal: ProposeVersion
    origin: str  # the identity of the member that it came from
    since_us: int
    unanswered: set[str]  # identities of the validators without a result
    contradicts: bool
    accepted: int = 0


class OpenProposals:
    """The proposals that one leader has received and not yet added to the log."""

    def __init__(self, member: MemberCore, grantor: LeaseGrantor) -> None:
        self.member = member
        self.grantor = grantor
        self.open: dict[str, OpenProposal] = {}  # by the id of the proposal

    def receive(self, now_us: int, origin: str, proposal: ProposeVersion) -> None:
        """Handle a proposal from the member with the identity `origin`; a known one is ignored."""
        member = self.member
        is_known = proposal.id in member.state.outcomes or proposal.id in self.open
        if not member.raft.is_established_leader or is_known:
            return
        try:
            contradicts = self._check(proposal)
        except ProposalError as error:
            self._refuse(proposal.id, origin, str(error))
            return
        validators = self._validators(now_us) if proposal.kind == "settings" else set()
        opened = OpenProposal(proposal, origin, now_us, validators, contradicts)
        self.open[proposal.id] = opened
        if not validators:
            self._close(proposal.id, opened, now_us)
            return
        for id in sorted(validators - {member.id}):
            member.send(id, ValidateSettings(proposal.id, proposal.body))
        member.validating[proposal.id] = member.id
        member.actions.append(ValidateLocally(proposal.id, proposal.body))

    def _check(self, proposal: ProposeVersion) -> bool:
        """Return whether a proposal contradicts the newest version. Raises ProposalError if invalid."""
        self.member.state.check_proposal(proposal)
        if len(self.open) >= OPEN_LIMIT:
            raise ProposalError(f"{OPEN_LIMIT} proposals wait already")
        if proposal.kind == "back":
            return False
        if proposal.kind == "out":
            return True
        try:
            return bool(contradictions(self.member.state, proposal))
        except msgspec.MsgspecError as error:
            raise ProposalError(f"it cannot be read: {error}") from None

    def _validators(self, now_us: int) -> set[str]:
        """Return the identities that validate settings: this member, and all with recent contact."""
        reachable = {
            id
            for id, record in self.grantor.records.items()
            if now_us - record.last_contact_us < RECENT_CONTACT_US
        }
        members = {peer.id for peer in self.member.raft.log.configuration}
        return (reachable & members) | {self.member.id}

    def on_validated(self, now_us: int, sender: str, result: ValidationResult) -> None:
        """Record a member's validation result."""
        opened = self.open.get(result.id)
        if opened is None or sender not in opened.unanswered:
            return
        opened.unanswered.discard(sender)
        if result.why:
            del self.open[result.id]
            name = self.member.name_of(sender) or sender
            self._refuse(result.id, opened.origin, f"{name} cannot load it: {result.why}")
            return
        opened.accepted += 1
        if not opened.unanswered:
            self._close(result.id, opened, now_us)

    def close_overdue(self, now_us: int) -> None:
        """Decide on proposals whose validation has timed out."""
        for id, opened in list(self.open.items()):
            if now_us - opened.since_us > VALIDATION_TIMEOUT_US:
                self._close(id, opened, now_us)

    def forget(self, id: str) -> None:
        """Drop a proposal whose outcome is known."""
        self.open.pop(id, None)

    def _close(self, id: str, opened: OpenProposal, now_us: int) -> None:
        """Add the proposal to the log if all validators accepted it, or a majority did before the timeout.

        Otherwise it is refused.
        """
        member = self.member
        needed = majority(len(member.raft.log.voters))
        if opened.unanswered and opened.accepted < needed:
            del self.open[id]
            names = ", ".join(sorted(member.name_of(validator) for validator in opened.unanswered))
            why = f"no word in time on whether it can be loaded, from {names}"
            self._refuse(id, opened.origin, why)
            return
        opened.unanswered.clear()
        contradicts = self._contradicts_now(opened)
        member.propose_command(now_us, msgspec.structs.replace(opened.proposal, contradicts=contradicts))
        del self.open[id]

    def _contradicts_now(self, opened: OpenProposal) -> bool:
        """Whether the proposal contradicts the newest version, which may be newer than at its arrival."""
        if opened.proposal.kind not in ("settings", "list"):
            return opened.contradicts
        return bool(contradictions(self.member.state, opened.proposal))

    def _refuse(self, id: str, origin: str, why: str) -> None:
        self.member.report_outcome(origin, Outcome(id, 0, why, self.member.state.newest.number))


def contradictions(state: GroupState, proposal: ProposeVersion) -> list[str]:
    """Describe where a proposal contradicts the newest version.

    Raises msgspec.MsgspecError if a version cannot be decoded.
    """
    newest = state.newest
    if proposal.kind == "list":
        older, newer = decode_endpoint_list(newest.endpoint_list), decode_endpoint_list(proposal.body)
        return compatibility.contradictions(older, newer)
    older, newer = decode_tables(newest.settings), decode_tables(proposal.body)
    return compatibility.contradictions(older, newer) if newest.settings_at else []
