"""The replicas' part of `badgergap copies status`: plain data with the keys of the command's reply."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from badgergap.replication import messages
from badgergap.replication.messages import Report, ReportSummary
from badgergap.replication.placement import Placement, Replica
from badgergap.replication.replica import ReplicaNode


def describe_group(node: ReplicaNode, summary: ReportSummary | None, problems: list[str]) -> dict[str, Any]:
    """Return the status of the group's replicas.

    `summary`: the leader's summary of all reports, None if no leader answered; `problems`: of this gateway.
    """
    placement = node.placement
    reports = summary.lines if summary is not None else {}
    absent = {
        replica.disk_id
        for replica in placement.replicas
        if not _is_present(replica, reports.get(replica.name))
    }
    counts = count_copies(placement, absent) if placement.epoch else {}
    reasons = [] if summary is not None else ["no leader is heard"]
    reasons += problems
    reasons += _replica_problems(placement, reports)
    reasons += _placement_problems(placement, reports, counts, bool(absent))
    return {
        "ok": not reasons,
        "why": reasons,
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
    problems = []
    for replica in placement.replicas:
        report = reports.get(replica.name)
        if not _is_present(replica, report):
            state = report.broken if report is not None and report.broken else "is not there"
            problems.append(f"{replica.name} {state}")
        elif report is not None and report.epoch != placement.epoch:
            problems.append(f"{replica.name} has yet to hear of epoch {placement.epoch}")
    return problems


def _placement_problems(
    placement: Placement, reports: Mapping[str, Report], counts: dict[int, int], is_any_absent: bool
) -> list[str]:
    problems = []
    if placement.before is not None:
        problems.append("seats are moving: new ones are being filled")
    behind: set[int] = set()
    for report in reports.values():
        behind |= messages.decode_partitions(report.behind)
    if behind:
        problems.append(f"{len(behind)} parts lack something at one of their seats, and are being mended")
    if not placement.epoch:
        problems.append("nothing is placed yet")
    if any(copies < placement.copies for copies in counts) and not is_any_absent:
        problems.append(f"there are fewer than {placement.copies} members to hold copies")
    return problems


def describe_replica(replica: Replica, report: Report | None) -> dict[str, Any]:
    """Return the status of one replica by its last report."""
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
    """Return a map from a number of copies to the number of partitions with so many.

    Copies on absent disks are not counted.
    """
    counts: dict[int, int] = {}
    for partition in range(placement.partitions):
        copies = sum(replica.disk_id not in absent for replica in placement.sets(partition)[0])
        counts[copies] = counts.get(copies, 0) + 1
    return counts
