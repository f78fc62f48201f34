"""The admin socket: what a gateway shows and takes from its operator, over a Unix domain socket."""

from badgergap.admin.boxes import ABLE, is_last_able
from badgergap.admin.client import AdminClient, AdminError, NoAnswer, NoGateway, call
from badgergap.admin.figures import Figures
from badgergap.admin.paths import default_socket
from badgergap.admin.protocol import BoxView, ClassView, Failure, LogLine, Said, Snapshot, SourceView, Window
from badgergap.admin.room import AdminRoom, CallRefused, Keeper

__all__ = [
    "ABLE",
    "AdminClient",
    "AdminError",
    "AdminRoom",
    "BoxView",
    "CallRefused",
    "ClassView",
    "Failure",
    "Figures",
    "Keeper",
    "LogLine",
    "NoAnswer",
    "NoGateway",
    "Said",
    "Snapshot",
    "SourceView",
    "Window",
    "call",
    "default_socket",
    "is_last_able",
]
