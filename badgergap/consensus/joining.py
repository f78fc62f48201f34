"""How a group is founded, and how members join it later. Performs no I/O.

A member whose data directory is empty belongs to no group and announces that (`Hello`). The voter whose name
comes first in sort order founds a group, but only after *all* voters in its settings file have
announced within `HELLO_FRESH_US` that they are empty. A member that returns empty, or with another identity,
therefore never becomes a voter by itself: the leader admits it as a learner, and `replace` makes it the voter
that it was.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

from badgergap.consensus.log import Peer, Snapshot
from badgergap.consensus.member_actions import Send
from badgergap.consensus.member_core import MemberCore
from badgergap.consensus.member_messages import Hello, JoinRejected
from badgergap.consensus.replicated_state import GroupState

HELLO_INTERVAL_US = 300_000
HELLO_FRESH_US = 2_000_000
ALIVE_US = 5_000_000  # no other member can take a name that was in use within this time
NAMES_LIMIT = 512
FIRST_TERM = FIRST_INDEX = 1


@dataclass(slots=True)
class Applicant:
    """A process that has announced that it is not a member of the group."""

    id: str
    hello: Hello
    last_contact_us: int


class Joining:
    """Announces this member to others, and admits or rejects other members."""

    def __init__(self, member: MemberCore, now_us: int) -> None:
        self.member = member
        self.applicants: OrderedDict[str, Applicant] = OrderedDict()  # by name
        self.hello_due_us = now_us

    # At the joining member

    def tick(self, now_us: int) -> None:
        """Send `Hello` when it is due, and found the group if possible.

        A removed member is notified by a rejection, since the entry that removed it may never reach its log.
        """
        member = self.member
        is_settled_member = member.is_member and not member.rejected
        if now_us < self.hello_due_us or is_settled_member or member.halted:
            return
        self.hello_due_us = now_us + HELLO_INTERVAL_US
        own = member.settings
        for name in own.members:
            member.actions.append(Send(name, "", Hello(own.zone, own.votes, member.state.group)))
        self._found_group(now_us)

    def on_rejected(self, name: str, message: JoinRejected) -> None:
        """Record why the leader does not admit this member."""
        if message.why != self.member.rejected:
            self.member.rejected = message.why
            self.member.alert(f"not let into the group by {name}: {message.why}")

    def _found_group(self, now_us: int) -> None:
        """Found the group if this is the first voter by name and all voters are empty."""
        member = self.member
        own = member.settings
        voters = self._voters_of_file()
        is_empty = not member.state.group and not member.raft.log.last_index
        if not is_empty or not voters or voters[0] != own.name:
            return
        peers = self._founders(now_us, voters)
        if peers is None:
            return
        identities = "".join(peer.id for peer in peers)
        group = hashlib.blake2b(identities.encode(), digest_size=8).hexdigest()
        member.state = GroupState(group, own.contradiction_us)
        member.set_lease_duration()
        first = Snapshot(FIRST_INDEX, FIRST_TERM, tuple(peers), member.state.snapshot())
        member.raft.bootstrap(now_us, first)
        member.alert(f"group {group} was founded by {', '.join(voters)}")

    def _voters_of_file(self) -> list[str]:
        own = self.member.settings
        voters = [other.name for other in own.members.values() if other.votes]
        if own.votes:
            voters.append(own.name)
        return sorted(voters)

    def _founders(self, now_us: int, voters: list[str]) -> list[Peer] | None:
        """Return the voters of the first configuration; None unless all others recently were empty."""
        own = self.member.settings
        peers = [Peer(self.member.id, own.name, own.zone, True)]
        for name in voters[1:]:
            applicant = self.applicants.get(name)
            if (
                applicant is None
                or applicant.hello.group
                or now_us - applicant.last_contact_us > HELLO_FRESH_US
            ):
                return None
            peers.append(Peer(applicant.id, name, applicant.hello.zone, True))
        return peers

    # At the leader

    def on_hello(self, now_us: int, sender: str, name: str, hello: Hello) -> None:
        """Record an announcement and, at the leader, admit the sender as a learner or reject it."""
        self.applicants[name] = Applicant(sender, hello, now_us)
        self.applicants.move_to_end(name)
        while len(self.applicants) > NAMES_LIMIT:
            self.applicants.popitem(last=False)
        member = self.member
        if not member.raft.is_established_leader:
            return
        why = self._why_rejected(now_us, sender, name, hello)
        if why:
            member.send(sender, JoinRejected(why), name)
            return
        if member.raft.committed_configuration is None or member.has_member(sender):
            return
        self._admit(now_us, sender, name, hello)

    def _admit(self, now_us: int, sender: str, name: str, hello: Hello) -> None:
        """Add a learner in place of an earlier learner of its name; an earlier voter stays until replaced."""
        member = self.member
        leadership = member.current_leadership(now_us)
        leadership.grantor.leaving.discard(sender)  # this leader may have removed it earlier
        others = [peer for peer in member.raft.log.configuration if peer.name != name or peer.votes]
        leadership.changes.configure(now_us, (*others, Peer(sender, name, hello.zone, False)))
        member.alert(f"{name} joins the group as {sender}, a learner")

    def reject_former_member(self, now_us: int, sender: str, name: str) -> None:
        """Notify a former member that requests votes that it was removed."""
        member = self.member
        if member.raft.committed_configuration and not member.has_member(sender):
            why = self._why_rejected(now_us, sender, name, None)
            message = JoinRejected(why or f"{name} is no member of the group any more")
            member.send(sender, message, name)

    def _why_rejected(self, now_us: int, sender: str, name: str, hello: Hello | None) -> str:
        """Return why the sender is not admitted; empty if it is.

        `hello` is None for a sender that considers itself a member.
        """
        member = self.member
        if name in member.state.banned:
            return f"{name} was taken out of the group; `group add {name}` lets it in again"
        if hello is not None and hello.group and hello.group != member.state.group:
            return f"it is of another group, {hello.group}"
        for peer in member.raft.log.configuration:
            if peer.name == name and peer.id != sender and self._is_alive(now_us, peer.id):
                return f"another member called {name} is alive"
        return ""

    def _is_alive(self, now_us: int, id: str) -> bool:
        record = self.member.current_leadership(now_us).grantor.records.get(id)
        if id == self.member.id:
            return True
        return record is not None and now_us - record.last_contact_us < ALIVE_US
