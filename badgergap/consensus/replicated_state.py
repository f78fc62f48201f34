"""The replicated state machine: the versions that result from a group's log, the same at every member.

Performs no I/O. Each `ProposeVersion` creates a version, which may contradict the one before it (see
`compatibility`). A contradicting version comes into force with an `EnforceVersion`, which the leader adds
after every member that acts holds the version or has stopped acting. `acting` is the version that a member
with a lease acts on: the newest one before the first contradicting version that is not in force.
"""

from __future__ import annotations

from collections import OrderedDict, deque

import msgspec

from badgergap.consensus.errors import ProposalError, UnreadableRecordError
from badgergap.consensus.versions import (
    BanMember,
    Command,
    EnforceVersion,
    Outcome,
    ProposeVersion,
    StoreComponentState,
    VersionContent,
    VersionHeader,
)

VERSIONS_KEPT = 1000  # headers of versions; older ones are discarded
BODIES_KEPT = 64  # settings that can be shown, compared and rolled back to
OUTCOMES_KEPT = 512  # outcomes by which a repeated proposal is recognized
BODY_LIMIT = 1024 * 1024  # bytes of one version's settings, or of a list
DRAINED_LIMIT = 1000  # manually drained endpoints
WAITING_LIMIT = 64  # versions that wait to come into force
BANNED_LIMIT = 1000
COMPONENTS_LIMIT = 16  # other components with a state in the log
COMPONENT_STATE_LIMIT = 512 * 1024  # bytes of one such state
FORMAT = 1

ALREADY_DRAINED, NOT_DRAINED = "it is out by hand already", "it is not out by hand"


class StoredState(msgspec.Struct, array_like=True):
    """The encoding of the state in a snapshot."""

    newest: VersionContent
    pending_contents: list[VersionContent]
    headers: list[VersionHeader]
    bodies: dict[int, str]
    enforced: int
    outcomes: list[Outcome]
    group: str
    banned: list[str]
    contradiction_us: int
    format: int = 1
    components: dict[str, tuple[int, bytes]] = {}


_command_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_state_decoder: msgspec.msgpack.Decoder[StoredState] = msgspec.msgpack.Decoder(StoredState)


class GroupState:
    """The agreed state of a group."""

    def __init__(self, group: str = "", contradiction_us: int = 0) -> None:
        # The longest that two members may act on contradicting versions, fixed when the group was founded:
        # members whose settings files differ must compute the same lease duration. 0: no group yet.
        self.contradiction_us = contradiction_us
        self.group = group  # the identifier computed when the group was founded; "": none yet
        self.banned: list[str] = []
        self.newest = VersionContent()
        # Contents from the acting version on, while a contradicting version waits; else empty.
        self.pending_contents: deque[VersionContent] = deque()
        self.headers: deque[VersionHeader] = deque(maxlen=VERSIONS_KEPT)
        self.bodies: OrderedDict[int, str] = OrderedDict()
        self.enforced = 0
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self.components: dict[str, tuple[int, bytes]] = {}  # numbered states of other components

    @property
    def acting(self) -> VersionContent:
        """The content that a member with a lease acts on."""
        return self.pending_contents[0] if self.pending_contents else self.newest

    @property
    def waiting(self) -> int:
        """The newest contradicting version that is not enforced yet; 0: none."""
        return max((header.number for header in self.headers if self.is_waiting(header)), default=0)

    def is_waiting(self, header: VersionHeader) -> bool:
        """Whether a version contradicts the one before it and is not in force yet."""
        return header.contradicts and header.number > self.enforced

    def header(self, number: int) -> VersionHeader | None:
        """Return the header of a version, or None if it is no longer kept."""
        return next((header for header in self.headers if header.number == number), None)

    # Commands

    def apply(self, data: bytes) -> Outcome | None:
        """Apply a committed command; returns the outcome of a proposal.

        Raises UnreadableRecordError for a command of a later release, and then changes nothing.
        """
        try:
            command = _command_decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise UnreadableRecordError(str(error)) from None
        match command:
            case ProposeVersion():
                return self._apply_proposal(command)
            case EnforceVersion():
                self.enforced = max(self.enforced, min(command.version, self.newest.number))
                self._drop_superseded_contents()
            case BanMember():
                self._ban(command)
            case StoreComponentState():
                self._store_component_state(command)
        return None

    def _apply_proposal(self, proposal: ProposeVersion) -> Outcome:
        """Apply a proposal; a repeated one, with the same id, has the outcome of the first."""
        outcome = self.outcomes.get(proposal.id)
        if outcome is None:
            try:
                outcome = Outcome(proposal.id, self._add_version(proposal), "", self.newest.number)
            except ProposalError as error:
                outcome = Outcome(proposal.id, 0, str(error), self.newest.number)
        self.outcomes[proposal.id] = outcome
        while len(self.outcomes) > OUTCOMES_KEPT:
            self.outcomes.popitem(last=False)
        return outcome

    def _ban(self, command: BanMember) -> None:
        others = [name for name in self.banned if name != command.name]
        self.banned = others[-BANNED_LIMIT + 1 :]
        if command.banned:
            self.banned.append(command.name)

    def _store_component_state(self, command: StoreComponentState) -> None:
        number, _ = self.components.get(command.component, (0, b""))
        fits = len(command.data) <= COMPONENT_STATE_LIMIT
        has_capacity = number > 0 or len(self.components) < COMPONENTS_LIMIT
        if command.number == number + 1 and fits and has_capacity:
            self.components[command.component] = (command.number, command.data)

    # Versions

    def check_proposal(self, proposal: ProposeVersion) -> None:
        """Raise ProposalError for a proposal that cannot become the next version."""
        if proposal.parent >= 0 and proposal.parent != self.newest.settings_at:
            raise ProposalError(f"conflict: version {self.newest.settings_at} has come in between")
        if len(self.pending_contents) > WAITING_LIMIT:
            raise ProposalError(f"{WAITING_LIMIT} changes wait to come into force")
        if len(proposal.body) > BODY_LIMIT:
            raise ProposalError(f"over {BODY_LIMIT} bytes")
        out = self.newest.out
        if proposal.kind == "out" and proposal.body in out:
            raise ProposalError(ALREADY_DRAINED)
        if proposal.kind == "out" and len(out) >= DRAINED_LIMIT:
            raise ProposalError(f"{DRAINED_LIMIT} hosts are out by hand already")
        if proposal.kind == "back" and proposal.body not in out:
            raise ProposalError(NOT_DRAINED)

    def _add_version(self, proposal: ProposeVersion) -> int:
        """Add a version and return its number. Raises ProposalError if it cannot be the next version."""
        self.check_proposal(proposal)
        before, number = self.newest, self.newest.number + 1
        if not self.pending_contents:
            self.pending_contents.append(before)
        self.newest = self._next_content(proposal, number)
        self.pending_contents.append(self.newest)
        self.headers.append(
            VersionHeader(
                number,
                proposal.kind,
                self.newest.digest(),
                proposal.author,
                proposal.reason,
                before.number,
                proposal.contradicts,
                proposal.body if proposal.kind in ("out", "back") else "",
            )
        )
        self._drop_superseded_contents()
        return number

    def _next_content(self, proposal: ProposeVersion, number: int) -> VersionContent:
        before = self.newest
        settings, settings_at = before.settings, before.settings_at
        endpoint_list, out = before.endpoint_list, dict(before.out)
        match proposal.kind:
            case "settings":
                settings, settings_at = proposal.body, number
                self._remember_body(number, settings)
            case "list":
                endpoint_list = proposal.body
            case "out":
                out[proposal.body] = proposal.author
            case "back":
                del out[proposal.body]
        return VersionContent(number, settings, out, endpoint_list, settings_at)

    def _remember_body(self, number: int, settings: str) -> None:
        self.bodies[number] = settings
        while len(self.bodies) > BODIES_KEPT:
            self.bodies.popitem(last=False)

    def _drop_superseded_contents(self) -> None:
        """Drop the contents that no member may act on any more."""
        barriers = [header.number for header in self.headers if self.is_waiting(header)]
        newest_allowed = min(barriers, default=self.newest.number + 1) - 1
        while self.pending_contents and self.pending_contents[0].number < newest_allowed:
            self.pending_contents.popleft()
        if not barriers:
            self.pending_contents.clear()

    # Snapshots

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return msgspec.msgpack.encode(
            StoredState(
                self.newest,
                list(self.pending_contents),
                list(self.headers),
                dict(self.bodies),
                self.enforced,
                list(self.outcomes.values()),
                self.group,
                self.banned,
                self.contradiction_us,
                components=self.components,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with a snapshot.

        Raises UnreadableRecordError for a snapshot of a later release, and then changes nothing.
        """
        try:
            stored = _state_decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise UnreadableRecordError(str(error)) from None
        if stored.format > FORMAT:
            raise UnreadableRecordError(f"a snapshot of format {stored.format}")
        self.group = stored.group
        self.banned = stored.banned
        self.contradiction_us = stored.contradiction_us
        self.newest = stored.newest
        self.pending_contents = deque(stored.pending_contents)
        self.headers = deque(stored.headers, maxlen=VERSIONS_KEPT)
        self.bodies = OrderedDict(sorted(stored.bodies.items()))
        self.enforced = stored.enforced
        self.outcomes = OrderedDict((outcome.id, outcome) for outcome in stored.outcomes)
        self.components = dict(stored.components)
