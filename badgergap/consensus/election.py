"""Elections: pre-votes and votes, for candidates and voters. Performs no I/O."""

from __future__ import annotations

import random

from badgergap.consensus.log import majority
from badgergap.consensus.persistent_state import PersistentState
from badgergap.consensus.raft_core import ELECTION_TIMEOUT_US, RaftCore, Role
from badgergap.consensus.raft_messages import (
    PreVoteRequest,
    PreVoteResponse,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
)


class Election(RaftCore):
    """Stands for election when there is no contact with a leader, and votes for others."""

    def __init__(self, id: str, persistent: PersistentState, now_us: int, random: random.Random) -> None:
        self.votes: dict[str, bool] = {}  # by identity: whether the vote was granted
        self.in_pre_vote = False  # whether `votes` are pre-votes
        super().__init__(id, persistent, now_us, random)

    def _clear_votes(self) -> None:
        self.votes = {}

    def _has_leader_contact(self, now_us: int) -> bool:
        if self.is_leader:
            return True
        return bool(self.leader) and now_us - self.leader_contact_us < ELECTION_TIMEOUT_US

    def _log_is_current(self, last_term: int, last_index: int) -> bool:
        """Whether a log that ends there is at least as up to date as this one (paper, section 5.4.1)."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    # The candidate

    def _start_pre_vote(self, now_us: int) -> None:
        """Find out whether an election could be won, without raising the term and disturbing a leader."""
        request = PreVoteRequest(self.term + 1, self.log.last_index, self.log.last_term)
        self._become_candidate(in_pre_vote=True)
        for peer_id in self._other_voters():
            self._send(peer_id, request)
        self._count_vote(now_us, self.id, True)

    def _start_election(self, now_us: int) -> None:
        self._become_candidate(in_pre_vote=False)
        self.term += 1
        self.voted_for = self.id
        self._persist()
        request = RequestVote(self.term, self.log.last_index, self.log.last_term)
        for peer_id in self._other_voters():
            self._send_when_durable(peer_id, request)
        self._count_vote(now_us, self.id, True)

    def _become_candidate(self, in_pre_vote: bool) -> None:
        self.role = Role.CANDIDATE
        self.leader = ""
        self.in_pre_vote = in_pre_vote
        self._clear_votes()

    def _other_voters(self) -> list[str]:
        return [voter for voter in self.log.voters if voter != self.id]

    def _count_vote(self, now_us: int, sender: str, granted: bool) -> None:
        self.votes[sender] = granted
        voters = self.log.voters
        if sum(self.votes.get(voter, False) for voter in voters) < majority(len(voters)):
            return
        if self.in_pre_vote:
            self._start_election(now_us)
        else:
            self._become_leader(now_us)

    def _on_pre_vote_response(self, now_us: int, sender: str, response: PreVoteResponse) -> None:
        is_candidate = self.role is Role.CANDIDATE and self.in_pre_vote
        if is_candidate and response.requested_term == self.term + 1:
            self._count_vote(now_us, sender, response.granted)

    def _on_vote_response(self, now_us: int, sender: str, response: RequestVoteResponse) -> None:
        is_candidate = self.role is Role.CANDIDATE and not self.in_pre_vote
        if is_candidate and response.term == self.term:
            self._count_vote(now_us, sender, response.granted)

    # The voter

    def _on_pre_vote_request(self, now_us: int, sender: str, request: PreVoteRequest) -> None:
        granted = (
            request.term > self.term
            and not self._has_leader_contact(now_us)
            and self._log_is_current(request.last_log_term, request.last_log_index)
        )
        self._send(sender, PreVoteResponse(self.term, request.term, granted))

    def _disturbs_leader(self, now_us: int, message: RaftMessage) -> bool:
        """Whether this requests a vote for a later term despite leader contact (section 4.2.3 of the thesis).

        Otherwise a member that was removed, or that receives no messages, would raise the term again and
        again and depose a leader that the others still follow.
        """
        is_later_vote = isinstance(message, RequestVote) and message.term > self.term
        return is_later_vote and self._has_leader_contact(now_us)

    def _on_vote_request(self, now_us: int, sender: str, request: RequestVote) -> None:
        granted = (
            request.term == self.term
            and self.voted_for in ("", sender)
            and self._log_is_current(request.last_log_term, request.last_log_index)
        )
        if granted and not self.voted_for:
            self.voted_for = sender
            self._persist()
            self._schedule_election(now_us)
        self._send_when_durable(sender, RequestVoteResponse(self.term, granted))
