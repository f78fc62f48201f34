"""Which route a request takes: pure, with no I/O and no clock."""

from badgergap.routes.path import PathError, Target, normalise, read_host, read_target
from badgergap.routes.table import Match, Near, Route, Table

__all__ = [
    "Match",
    "Near",
    "PathError",
    "Route",
    "Table",
    "Target",
    "normalise",
    "read_host",
    "read_target",
]
