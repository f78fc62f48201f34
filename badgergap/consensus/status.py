"""The status of all members as one member sees it, for operators. Pure."""

from __future__ import annotations

from badgergap.consensus.lease import MemberRecord
from badgergap.consensus.log import Peer
from badgergap.consensus.member_core import MemberCore
from badgergap.consensus.member_messages import MemberStatus

NO_CONTACT_MS = -1


def member_statuses(member: MemberCore, now_us: int) -> tuple[MemberStatus, ...]:
    """Return the status of each member. Complete at the leader only: others lack the reports of members."""
    return tuple(_status(member, now_us, peer) for peer in member.raft.log.configuration)


def _status(member: MemberCore, now_us: int, peer: Peer) -> MemberStatus:
    if peer.id == member.id:
        return _own_status(member, now_us, peer)
    leadership = member.leadership
    record = leadership.grantor.records.get(peer.id) if leadership is not None else None
    if record is None:
        return MemberStatus(
            peer.name, peer.id, peer.zone, peer.votes, _role(member, peer), 0, 0, 0, NO_CONTACT_MS, 0
        )
    lease_ms, last_contact_ms = _times_ms(now_us, record)
    return MemberStatus(
        peer.name,
        peer.id,
        peer.zone,
        peer.votes,
        _role(member, peer),
        record.newest_version,
        record.acting_version,
        lease_ms,
        last_contact_ms,
        record.log_bytes,
    )


def _times_ms(now_us: int, record: MemberRecord) -> tuple[int, int]:
    """Return the time left of the member's lease, and the time since the last contact with it."""
    if record.last_contact_us <= 0:
        return 0, NO_CONTACT_MS
    return max(0, record.lease_end_us - now_us) // 1000, (now_us - record.last_contact_us) // 1000


def _own_status(member: MemberCore, now_us: int, peer: Peer) -> MemberStatus:
    return MemberStatus(
        peer.name,
        peer.id,
        peer.zone,
        peer.votes,
        _role(member, peer),
        member.state.newest.number,
        member.loaded_version,
        member.lease_left_us(now_us) // 1000,
        0,
        member.raft.log.size_bytes(),
    )


def _role(member: MemberCore, peer: Peer) -> str:
    is_leader = member.raft.is_leader if peer.id == member.id else peer.id == member.raft.leader
    if is_leader:
        return "leader"
    return "voter" if peer.votes else "learner"
