"""The settings of a replica node, as the operator file gives them."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgergap.replication.acceptor import Bounds
from badgergap.replication.placement import PARTITIONS


@dataclass(slots=True)
class Options:
    """The settings of one member's replica node."""

    name: str
    zone: str = ""
    copies: int = 3  # replicas of each partition
    rate: int = 4000  # records a second that are fetched or settled to fill or repair this replica
    bounds: Bounds = field(default_factory=Bounds)
    partitions: int = PARTITIONS
    max_retention_us: int = 600_000_000  # the longest time for which any route keeps a record
