"""Matches requests to routes. Pure: no I/O and no clock."""

from badgergap.routes.path import PathError, Target, normalise, read_host, read_target
from badgergap.routes.table import Match, Route, Table, UnmatchedRoute

__all__ = [
    "Match",
    "PathError",
    "Route",
    "Table",
    "Target",
    "UnmatchedRoute",
    "normalise",
    "read_host",
    "read_target",
]
