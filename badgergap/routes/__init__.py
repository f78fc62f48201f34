"""Which route a request takes: pure, with no I/O and no clock."""

from badgergap.routes.path import BadPath, Target, normalise, read_host, read_target
from badgergap.routes.table import Match, Near, Route, Table

__all__ = [
    "BadPath",
    "Match",
    "Near",
    "Route",
    "Table",
    "Target",
    "normalise",
    "read_host",
    "read_target",
]
