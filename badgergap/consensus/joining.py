"""How a group begins, and how members join it later. Pure.

A member whose folder is empty belongs to no group, and says so (`Hello`). Only once *all* voters of its
file have said within `HELLO_FRESH_US` that they are empty does the first of them by name found one. A
member that comes back empty, or as who it was not, is therefore never a voter by itself: the leader admits
it as a learner, and `replace` makes it the voter that it was.
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
ALIVE_US = 5_000_000  # a member that was heard within this time keeps its name
NAMES_LIMIT = 512
FIRST_TERM = FIRST_INDEX = 1


@dataclass(slots=True)
class Stranger:
    """Somebody who is not of the group, by its own word."""

    id: str
    hello: Hello
    last_contact_us: int


class Joining:
    """Introduces this member to others, and admits others or rejects them."""

    def __init__(self, member: MemberCore, now_us: int) -> None:
        self.member = member
        self.strangers: OrderedDict[str, Stranger] = OrderedDict()  # by name
        self.hello_due_us = now_us

    # At the member that joins

    def tick(self, now_us: int) -> None:
        """Say Hello when that is due, and found the group if it can be founded.

        A member that was removed learns so by being rejected: its own log may never say it.
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
        """The leader does not admit this member."""
        if message.why != self.member.rejected:
            self.member.rejected = message.why
            self.member.alert(f"not let into the group by {name}: {message.why}")

    def _found_group(self, now_us: int) -> None:
        """Found the group, if this is the first of its voters and all of them are empty."""
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
        member.alert(f"the group {group} is founded by {', '.join(voters)}")

    def _voters_of_file(self) -> list[str]:
        own = self.member.settings
        voters = [other.name for other in own.members.values() if other.votes]
        if own.votes:
            voters.append(own.name)
        return sorted(voters)

    def _founders(self, now_us: int, voters: list[str]) -> list[Peer] | None:
        """The voters as the first configuration has them; None unless all others said that they are empty."""
        own = self.member.settings
        peers = [Peer(self.member.id, own.name, own.zone, True)]
        for name in voters[1:]:
            stranger = self.strangers.get(name)
            if stranger is None or stranger.hello.group or now_us - stranger.last_contact_us > HELLO_FRESH_US:
                return None
            peers.append(Peer(stranger.id, name, stranger.hello.zone, True))
        return peers

    # At the leader

    def on_hello(self, now_us: int, sender: str, name: str, hello: Hello) -> None:
        """Remember who introduces itself and, at the leader, admit it as a learner or reject it."""
        self.strangers[name] = Stranger(sender, hello, now_us)
        self.strangers.move_to_end(name)
        while len(self.strangers) > NAMES_LIMIT:
            self.strangers.popitem(last=False)
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
        """In the place of an earlier learner of its name; an earlier voter stays until it is replaced."""
        member = self.member
        leadership = member.current_leadership(now_us)
        leadership.grantor.leaving.discard(sender)  # this leader may have removed it before
        others = [peer for peer in member.raft.log.configuration if peer.name != name or peer.votes]
        leadership.changes.configure(now_us, (*others, Peer(sender, name, hello.zone, False)))
        member.alert(f"{name} comes in as {sender}, and learns")

    def reject_former_member(self, now_us: int, sender: str, name: str) -> None:
        """Tell one that asks for votes, but is no member any more."""
        member = self.member
        if member.raft.committed_configuration and not member.has_member(sender):
            why = self._why_rejected(now_us, sender, name, None)
            message = JoinRejected(why or f"{name} is no member of the group any more")
            member.send(sender, message, name)

    def _why_rejected(self, now_us: int, sender: str, name: str, hello: Hello | None) -> str:
        """Why one is not admitted; empty if it is. `hello`: unless it takes itself for a member."""
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
