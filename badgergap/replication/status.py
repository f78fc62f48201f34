"""What `badgergap copies status` shows of the replicas: plain data, whose keys are the command's."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from badgergap.replication import messages
from badgergap.replication.messages import Report, ReportSummary
from badgergap.replication.placement import Placement, Replica
from badgergap.replication.replica import ReplicaNode


def describe_group(node: ReplicaNode, summary: ReportSummary | None, problems: list[str]) -> dict[str, Any]:
    """How the group's replicas stand. `summary`: what the leader knows; None: no leader answered."""
    placement = node.placement
    reports = summary.lines if summary is not None else {}
    absent = {
        replica.disk_id
        for replica in placement.replicas
        if not _is_present(replica, reports.get(replica.name))
    }
    counts = count_copies(placement, absent) if placement.epoch else {}
    why = [] if summary is not None else ["no leader is heard"]
    why += problems
    why += _replica_problems(placement, reports)
    why += _placement_problems(placement, reports, counts, bool(absent))
    return {
        "ok": not why,
        "why": why,
        "me": node.options.name,
        "epoch": placement.epoch,
        "moving": placement.before is not None,
        "copies": placement.copies,
        "parts": {str(copies): count for copies, count in sorted(counts.items())},
        "under_copied": sum(count for copies, count in counts.items() if copies < placement.copies),
        "lost": sum(
            placement.may_have_lost_records(partition, node.clock.agreed_us)
            for partition in range(placement.partitions)
        ),
        "promised": max((report.records for report in reports.values()), default=0),
        "in_doubt": max((report.doubt for report in reports.values()), default=0),
        "clock_s": node.clock.now_us(node.now_us) // 1_000_000,
        "seats": [describe_replica(replica, reports.get(replica.name)) for replica in placement.replicas],
    }


def _is_present(replica: Replica, report: Report | None) -> bool:
    return report is not None and report.disk_id == replica.disk_id and not report.broken


def _replica_problems(placement: Placement, reports: Mapping[str, Report]) -> list[str]:
    found = []
    for replica in placement.replicas:
        report = reports.get(replica.name)
        if not _is_present(replica, report):
            state = report.broken if report is not None and report.broken else "is not there"
            found.append(f"{replica.name} {state}")
        elif report is not None and report.epoch != placement.epoch:
            found.append(f"{replica.name} has yet to hear of epoch {placement.epoch}")
    return found


def _placement_problems(
    placement: Placement, reports: Mapping[str, Report], counts: dict[int, int], is_any_absent: bool
) -> list[str]:
    found = []
    if placement.before is not None:
        found.append("seats are moving: new ones are being filled")
    behind: set[int] = set()
    for report in reports.values():
        behind |= messages.decode_partitions(report.behind)
    if behind:
        found.append(f"{len(behind)} parts lack something at one of their seats, and are being mended")
    if not placement.epoch:
        found.append("nothing is placed yet")
    if any(copies < placement.copies for copies in counts) and not is_any_absent:
        found.append(f"there are fewer than {placement.copies} members to hold copies")
    return found


def describe_replica(replica: Replica, report: Report | None) -> dict[str, Any]:
    """One replica, and what it reported last."""
    description: dict[str, Any] = {
        "name": replica.name,
        "zone": replica.zone,
        "there": _is_present(replica, report),
    }
    if report is None:
        return {**description, "records": 0, "bytes": 0, "behind": 0, "scrubbed_s": -1, "mended": 0}
    return {
        **description,
        "records": report.records,
        "bytes": report.size,
        "behind": len(messages.decode_partitions(report.behind)),
        "scrubbed_s": report.scrubbed_us // 1_000_000 if report.scrubbed_us >= 0 else -1,
        "mended": report.mended,
    }


def count_copies(placement: Placement, absent: set[str]) -> dict[int, int]:
    """Of how many partitions there are so many copies, without those of the absent disks."""
    counts: dict[int, int] = {}
    for partition in range(placement.partitions):
        copies = sum(replica.disk_id not in absent for replica in placement.sets(partition)[0])
        counts[copies] = counts.get(copies, 0) + 1
    return counts
